#include "yuccawick/admission/admission_controller.h"

#include <algorithm>
#include <cmath>
#include <utility>

// Index: Asking, Turns, Programs, Other homes.

namespace yuccawick::admission {
namespace {

// Programs that were silent for long are remembered as known for this long, so
// that their next turn counts as one of a program under way.
constexpr Duration    kMemory = 10'000;
// Nobody waits longer for a turn; one that is under way then was lost.
constexpr Duration    kLongestTurn = 60'000;
constexpr std::size_t kMostRoutes = 256;
constexpr double      kMemoryWhenIdle = 2.0;
constexpr double      kLeastNeeds = 0.5;
constexpr double      kMostNeeds = 0.8;

Duration Part(Duration whole, double part) {
  return static_cast<Duration>(static_cast<double>(whole) * part);
}

}  // namespace

CapacityUsage& CapacityUsage::operator+=(const CapacityUsage& other) {
  programs += other.programs;
  slots += other.slots;
  memory += other.memory;
  return *this;
}

AdmissionController::AdmissionController(const AdmissionSettings*  settings,
                                         fairness::FairnessPolicy* share,
                                         Time                      started)
    : m_settings(settings), m_share(share), m_started(started) {}

// Asking ---------------------------------------------------------------------

AdmissionDecision AdmissionController::TryAdmit(
    const AdmissionRequest& ask, const capacity::ServiceCapacity& room,
    Time now) {
  const auto known = m_programs.find(ask.program);
  if (known != m_programs.end()) {
    AddTurn(&known->second, ask, now);
    return {};
  }
  const bool counts = m_settings->slot_overcommit > 0 && room.known();
  if (counts && !ask.under_way) {
    const RetryList::Entry* sent_away = m_returns.Find(ask.program);
    const auto              slack = SlackOf(ask, sent_away);
    const bool              late = slack && *slack <= 0;
    if (!Fits(ask, slack, sent_away != nullptr, room, now)) {
      const int      before = sent_away == nullptr ? 0 : sent_away->refusals;
      const Duration retry = RetryAfter(slack, before, now);
      m_returns.Put(ask.program, ask.left, late, retry, now);
      ++m_refused;
      return {false, retry};
    }
  }
  m_returns.Remove(ask.program);
  Begin(ask, now);
  return {};
}

// Programs state a time that suits what they are going to do, so a long one is
// not late for being long, only for having waited.
std::optional<Duration> AdmissionController::SlackOf(
    const AdmissionRequest& ask, const RetryList::Entry* sent_away) {
  if (!ask.left) return std::nullopt;
  const Duration stated =
      sent_away == nullptr ? *ask.left : sent_away->stated.value_or(*ask.left);
  return *ask.left - Part(stated, ProfileOf(ask.route).TimeShare());
}

// With more turns under way each takes longer: a program may begin while it
// would still be in time, in the part of its time that it does not need.
double AdmissionController::MostPlaces(const AdmissionRequest& ask, bool late) {
  if (!ask.left || late) return m_settings->slot_overcommit;
  // What is learned while servers are overloaded is more than programs need.
  const double needs =
      std::clamp(ProfileOf(ask.route).TimeShare(), kLeastNeeds, kMostNeeds);
  return m_settings->slot_overcommit / needs;
}

bool AdmissionController::Fits(const AdmissionRequest& ask,
                               std::optional<Duration> slack, bool returns,
                               const capacity::ServiceCapacity& room,
                               Time                             now) {
  const bool    late = slack && *slack <= 0;
  CapacityUsage use = TotalUse(now);
  use.slots += 1;
  use.memory += LikelyTokens(ask);
  const auto memory = static_cast<double>(use.memory);
  const auto most_memory = static_cast<double>(room.memory);
  if (use.slots <= room.slots * m_settings->idle) {
    return memory <=
           most_memory * std::max(kMemoryWhenIdle, m_settings->memory);
  }
  if (now - m_started < m_settings->settling) return false;
  double share = m_share->AdmissionThreshold(
      {ask.workspace, ask.route, ask.priority, late}, now);
  if (late) share = std::min(share, m_settings->late);
  // Those that came before and can still be in time go first.
  const auto kept =
      returns && !late ? 0.0 : static_cast<double>(m_returns.CountDue(now));
  const auto kept_memory = kept * static_cast<double>(LikelyTokens(ask));
  return use.slots + kept <= room.slots * MostPlaces(ask, late) * share &&
         memory + kept_memory <= most_memory * m_settings->memory * share;
}

// Room for those ahead comes free as programs end. Who can still be in time is
// to ask twice more before that is over; it goes before those that can't. A
// client has few tries: each refusal doubles the time to the next one, or all
// would be used up before the shortest burst is over.
Duration AdmissionController::RetryAfter(std::optional<Duration> slack,
                                         int refusals, Time now) const {
  constexpr int kMostDoublings = 4;
  const bool    late = slack && *slack <= 0;
  const auto ahead = static_cast<double>(m_returns.CountAhead(late, now) + 1);
  const auto gap = m_end_gap.empty() ? 0.0 : m_end_gap.value();
  Duration   most = m_settings->max_retry_delay;
  if (slack && !late) most = std::min(most, *slack / 3);
  const Duration least = std::min(
      m_settings->min_retry_delay << std::min(refusals, kMostDoublings),
      m_settings->max_retry_delay);
  return std::clamp(static_cast<Duration>(ahead * gap), least,
                    std::max(least, most));
}

Duration AdmissionController::RetryDelay(const std::string& program,
                                         Time               now) const {
  const RetryList::Entry* entry = m_returns.Find(program);
  if (entry == nullptr) return m_settings->min_retry_delay;
  return std::max((entry->from + entry->until) / 2 - now,
                  m_settings->min_retry_delay);
}

RouteProfile& AdmissionController::ProfileOf(const std::string& route) {
  const auto found = m_profiles.find(route);
  if (found != m_profiles.end()) return found->second;
  if (m_profiles.size() >= kMostRoutes) m_profiles.erase(m_profiles.begin());
  return m_profiles.emplace(route, RouteProfile(m_settings->default_think_time))
      .first->second;
}

Tokens AdmissionController::LikelyTokens(const AdmissionRequest& ask) {
  return std::max(ask.prompt_tokens + ask.max_tokens,
                  ProfileOf(ask.route).EndTokens());
}

int AdmissionController::TakeRefusedCount() {
  return std::exchange(m_refused, 0);
}

// Turns ----------------------------------------------------------------------

void AdmissionController::Begin(const AdmissionRequest& ask, Time now) {
  Program& program = m_programs[ask.program];
  program.partition = ask.partition;
  program.route = ask.route;
  program.workspace = ask.workspace;
  program.began = now;
  program.stated = std::max<Duration>(0, ask.left.value_or(0));
  program.changed = now;
  AddTurn(&program, ask, now);
  m_begun += {1, 1, program.held};
}

void AdmissionController::AddTurn(Program* program, const AdmissionRequest& ask,
                                  Time now) {
  if (program->turns == 0 && program->changed < now) {
    ProfileOf(program->route).ObserveThinkTime(now - program->changed);
  }
  program->work += program->turns * static_cast<double>(now - program->changed);
  program->changed = now;
  ++program->turns;
  m_own[program->partition].slots += 1;
  program->tokens = std::max(program->tokens, ask.prompt_tokens);
  Hold(program);
}

void AdmissionController::OnTurnEnded(const AdmissionRequest& ask, Tokens used,
                                      Time now) {
  const auto found = m_programs.find(ask.program);
  if (found == m_programs.end() || found->second.turns == 0) return;
  Program& program = found->second;
  program.tokens = std::max(program.tokens, ask.prompt_tokens + used);
  EndTurn(&program, now);
  m_share->Charge(program.workspace, std::exchange(program.work, 0.0), now);
  Hold(&program);
}

void AdmissionController::CancelAdmission(const AdmissionRequest& ask,
                                          Time                    now) {
  const auto found = m_programs.find(ask.program);
  if (found == m_programs.end() || found->second.turns == 0) return;
  EndTurn(&found->second, now);
}

void AdmissionController::EndTurn(Program* program, Time now) {
  program->work += program->turns * static_cast<double>(now - program->changed);
  program->changed = now;
  --program->turns;
  m_own[program->partition].slots -= 1;
}

// Programs -------------------------------------------------------------------

void AdmissionController::Hold(Program* program) {
  if (!program->counted) {
    program->counted = true;
    ++m_own[program->partition].programs;
  }
  const Tokens held =
      std::max(program->tokens, ProfileOf(program->route).EndTokens());
  m_own[program->partition].memory += held - program->held;
  program->held = held;
}

void AdmissionController::Release(Program* program) {
  program->counted = false;
  CapacityUsage& use = m_own[program->partition];
  --use.programs;
  use.memory -= std::exchange(program->held, 0);
  ProfileOf(program->route)
      .ObserveEnd(program->tokens, program->changed - program->began,
                  program->stated);
}

Duration AdmissionController::LongestSilence(const Program& program) {
  return static_cast<Duration>(
      m_settings->think_time_factor *
      static_cast<double>(ProfileOf(program.route).MaxThinkTime()));
}

void AdmissionController::Sweep(Time now) {
  int ended = 0;
  for (auto& [name, program] : m_programs) {
    const Duration unchanged = now - program.changed;
    if (unchanged > kLongestTurn) {
      m_own[program.partition].slots -= std::exchange(program.turns, 0);
    }
    const bool silent = program.turns == 0 && program.counted &&
                        unchanged > LongestSilence(program);
    if (!silent) continue;
    Release(&program);
    ++ended;
  }
  if (ended > 0) {
    // After a lull the gap says nothing of the rate when there is no room.
    const Duration since =
        std::min(now - m_ended_at, m_settings->max_retry_delay);
    const auto gap = static_cast<double>(since) / ended;
    for (int i = 0; i < ended; ++i) m_end_gap.Observe(gap);
    m_ended_at = now;
  }
  std::erase_if(m_programs, [now](const auto& each) {
    const Program& program = each.second;
    return !program.counted && now - program.changed > kMemory;
  });
  m_returns.Sweep(now);
}

// Other homes ----------------------------------------------------------------

CapacityUsage AdmissionController::LocalUsage() const {
  CapacityUsage own;
  for (const auto& [partition, use] : m_own) own += use;
  return own;
}

void AdmissionController::SetPeerUsage(const std::string&      home,
                                       const UsageByPartition& uses, Time now) {
  m_homes[home] = {uses, now, m_begun};
}

CapacityUsage AdmissionController::TotalUse(Time now) const {
  UsageByPartition parts = m_own;
  CapacityUsage    total;
  for (const auto& [name, home] : m_homes) {
    if (now - home.heard > m_settings->usage_report_ttl) continue;
    for (const auto& [partition, use] : home.uses) {
      // A turn is counted by the home that let it in; a program by each home
      // that one of its turns came to.
      CapacityUsage& part = parts[partition];
      part.programs = std::max(part.programs, use.programs);
      part.slots += use.slots;
      part.memory = std::max(part.memory, use.memory);
    }
    // What begins here without its knowledge begins there as well.
    total += {m_begun.programs - home.begun_before.programs,
              m_begun.slots - home.begun_before.slots,
              m_begun.memory - home.begun_before.memory};
  }
  for (const auto& [partition, use] : parts) total += use;
  return total;
}

}  // namespace yuccawick::admission

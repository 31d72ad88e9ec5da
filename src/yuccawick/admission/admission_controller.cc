#include "yuccawick/admission/admission_controller.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace yuccawick::admission {
namespace {

// Idle programs are still remembered for this long (ms), so that their next
// turn counts as a turn of a running program.
constexpr Duration    kEndedProgramTtl = 10'000;
// Upper bound on the duration of a turn, in ms. A turn that runs longer is
// considered lost.
constexpr Duration    kMaxTurnDuration = 60'000;
constexpr std::size_t kMaxRoutes = 256;
constexpr double      kIdleMemoryFactor = 2.0;
constexpr double      kMinTimeNeeded = 0.5;
constexpr double      kMaxTimeNeeded = 0.8;

Duration Scale(Duration whole, double factor) {
  return static_cast<Duration>(static_cast<double>(whole) * factor);
}

}  // namespace

CapacityUsage& CapacityUsage::operator+=(const CapacityUsage& other) {
  programs += other.programs;
  slots += other.slots;
  memory += other.memory;
  return *this;
}

AdmissionController::AdmissionController(const AdmissionSettings*  settings,
                                         fairness::FairnessPolicy* policy,
                                         Time                      started)
    : m_settings(settings), m_policy(policy), m_started(started) {}

// Admission -------------------------------------------------------------------

AdmissionDecision AdmissionController::TryAdmit(
    const AdmissionRequest& request, const capacity::ServiceCapacity& capacity,
    Time now) {
  const auto known = m_programs.find(request.program);
  if (known != m_programs.end()) {
    AddTurn(&known->second, request, now);
    return {};
  }
  const bool is_limited = m_settings->slot_overcommit > 0 && capacity.known();
  if (is_limited && !request.under_way) {
    const RetryList::Entry* retry_entry = m_retries.Find(request.program);
    const auto              slack = SlackOf(request, retry_entry);
    const bool              late = slack && *slack <= 0;
    if (!Fits(request, slack, retry_entry != nullptr, capacity, now)) {
      const int earlier_refusals =
          retry_entry == nullptr ? 0 : retry_entry->refusals;
      const Duration delay = ComputeRetryDelay(slack, earlier_refusals, now);
      m_retries.Put(request.program, request.left, late, delay, now);
      ++m_refused;
      return {false, delay};
    }
  }
  m_retries.Remove(request.program);
  AdmitProgram(request, now);
  return {};
}

// Clients choose the deadline to fit the length of their program, so a long
// program is late only if it has spent time waiting.
std::optional<Duration> AdmissionController::SlackOf(
    const AdmissionRequest& request, const RetryList::Entry* retry_entry) {
  if (!request.left) return std::nullopt;
  const Duration initial_time_left =
      retry_entry == nullptr
          ? *request.left
          : retry_entry->initial_time_left.value_or(*request.left);
  return *request.left -
         Scale(initial_time_left, ProfileOf(request.route).TimeShare());
}

// A turn takes longer when more turns run. A program with slack accepts that,
// so it may be admitted at a higher overcommit. Programs of a route that is not
// yet known reserve too little memory to be limited by it, and may have no
// slack.
double AdmissionController::MaxSlots(const AdmissionRequest& request,
                                     bool                    late) {
  constexpr double    kUnknownRouteOvercommit = 1.0;  // turns per slot
  const RouteProfile& profile = ProfileOf(request.route);
  double              overcommit = m_settings->slot_overcommit;
  if (request.left && !late) {
    // Time shares observed during overload overestimate what a program needs.
    overcommit /=
        std::clamp(profile.TimeShare(), kMinTimeNeeded, kMaxTimeNeeded);
  }
  return profile.known() ? overcommit
                         : std::min(overcommit, kUnknownRouteOvercommit);
}

bool AdmissionController::Fits(const AdmissionRequest& request,
                               std::optional<Duration> slack, bool is_retrying,
                               const capacity::ServiceCapacity& capacity,
                               Time                             now) {
  const bool    late = slack && *slack <= 0;
  CapacityUsage usage = TotalUse(now);
  usage.slots += 1;
  usage.memory += EstimateTokens(request);
  const auto   memory = static_cast<double>(usage.memory);
  const auto   max_memory = static_cast<double>(capacity.memory);
  // Usage is known to within one turn per coordinator, see TotalUse(). A limit
  // below that would refuse programs while all slots are idle.
  const double coordinators = 1.0 + ReportingPeers(now);
  if (usage.slots <=
      std::max(coordinators, capacity.slots * m_settings->idle)) {
    return memory <=
           max_memory * std::max(kIdleMemoryFactor, m_settings->memory);
  }
  if (now - m_started < m_settings->settling) return false;
  double threshold = m_policy->AdmissionThreshold(
      {request.workspace, request.route, request.priority, late}, now);
  if (late) threshold = std::min(threshold, m_settings->late);
  // Retrying programs that can still finish in time go before new ones.
  const auto due_retries =
      is_retrying && !late ? 0.0 : static_cast<double>(m_retries.CountDue(now));
  const auto due_memory =
      due_retries * static_cast<double>(EstimateTokens(request));
  return usage.slots + due_retries <=
             capacity.slots * MaxSlots(request, late) * threshold &&
         memory + due_memory <= max_memory * m_settings->memory * threshold;
}

// Capacity for the programs ahead becomes free as programs end. A program that
// can still finish in time retries at least twice more before its slack is used
// up. Each refusal doubles the minimum delay, so that a client with few tries
// does not use all of them within one short burst.
Duration AdmissionController::ComputeRetryDelay(std::optional<Duration> slack,
                                                int refusals, Time now) const {
  constexpr int kMaxDoublings = 4;
  const bool    late = slack && *slack <= 0;
  const auto    programs_ahead =
      static_cast<double>(m_retries.CountAhead(late, now) + 1);
  const auto interval = m_end_interval.empty() ? 0.0 : m_end_interval.value();
  Duration   max_delay = m_settings->max_retry_delay;
  if (slack && !late) max_delay = std::min(max_delay, *slack / 3);
  const Duration min_delay =
      std::min(m_settings->min_retry_delay << std::min(refusals, kMaxDoublings),
               m_settings->max_retry_delay);
  return std::clamp(static_cast<Duration>(programs_ahead * interval), min_delay,
                    std::max(min_delay, max_delay));
}

Duration AdmissionController::RetryDelay(const std::string& program,
                                         Time               now) const {
  const RetryList::Entry* entry = m_retries.Find(program);
  if (entry == nullptr) return m_settings->min_retry_delay;
  return std::max((entry->earliest + entry->latest) / 2 - now,
                  m_settings->min_retry_delay);
}

RouteProfile& AdmissionController::ProfileOf(const std::string& route) {
  const auto found = m_profiles.find(route);
  if (found != m_profiles.end()) return found->second;
  if (m_profiles.size() >= kMaxRoutes) m_profiles.erase(m_profiles.begin());
  return m_profiles.emplace(route, RouteProfile(m_settings->default_think_time))
      .first->second;
}

Tokens AdmissionController::EstimateTokens(const AdmissionRequest& request) {
  return std::max(request.prompt_tokens + request.max_tokens,
                  ProfileOf(request.route).FinalTokens());
}

int AdmissionController::TakeRefusedCount() {
  return std::exchange(m_refused, 0);
}

// Turns -----------------------------------------------------------------------

void AdmissionController::AdmitProgram(const AdmissionRequest& request,
                                       Time                    now) {
  Program& program = m_programs[request.program];
  program.partition = request.partition;
  program.route = request.route;
  program.workspace = request.workspace;
  program.admitted_at = now;
  program.initial_time_left = std::max<Duration>(0, request.left.value_or(0));
  program.turns_changed_at = now;
  AddTurn(&program, request, now);
  m_admitted += {1, 1, program.reserved_memory};
}

void AdmissionController::AddTurn(Program*                program,
                                  const AdmissionRequest& request, Time now) {
  if (program->running_turns == 0 && program->turns_changed_at < now) {
    ProfileOf(program->route).ObserveThinkTime(now - program->turns_changed_at);
  }
  program->uncharged_work +=
      program->running_turns *
      static_cast<double>(now - program->turns_changed_at);
  program->turns_changed_at = now;
  ++program->running_turns;
  m_local_usage[program->partition].slots += 1;
  program->peak_tokens = std::max(program->peak_tokens, request.prompt_tokens);
  UpdateReservation(program);
}

void AdmissionController::OnTurnEnded(const AdmissionRequest& request,
                                      Tokens generated, Time now) {
  const auto found = m_programs.find(request.program);
  if (found == m_programs.end() || found->second.running_turns == 0) return;
  Program& program = found->second;
  program.peak_tokens =
      std::max(program.peak_tokens, request.prompt_tokens + generated);
  EndTurn(&program, now);
  m_policy->Charge(program.workspace,
                   std::exchange(program.uncharged_work, 0.0), now);
  UpdateReservation(&program);
}

void AdmissionController::CancelAdmission(const AdmissionRequest& request,
                                          Time                    now) {
  const auto found = m_programs.find(request.program);
  if (found == m_programs.end() || found->second.running_turns == 0) return;
  EndTurn(&found->second, now);
}

void AdmissionController::EndTurn(Program* program, Time now) {
  program->uncharged_work +=
      program->running_turns *
      static_cast<double>(now - program->turns_changed_at);
  program->turns_changed_at = now;
  --program->running_turns;
  m_local_usage[program->partition].slots -= 1;
}

// Programs --------------------------------------------------------------------

void AdmissionController::UpdateReservation(Program* program) {
  if (!program->is_counted) {
    program->is_counted = true;
    ++m_local_usage[program->partition].programs;
  }
  const Tokens reserved_memory =
      std::max(program->peak_tokens, ProfileOf(program->route).FinalTokens());
  m_local_usage[program->partition].memory +=
      reserved_memory - program->reserved_memory;
  program->reserved_memory = reserved_memory;
}

void AdmissionController::Release(Program* program) {
  program->is_counted = false;
  CapacityUsage& usage = m_local_usage[program->partition];
  --usage.programs;
  usage.memory -= std::exchange(program->reserved_memory, 0);
  ProfileOf(program->route)
      .ObserveEnd(program->peak_tokens,
                  program->turns_changed_at - program->admitted_at,
                  program->initial_time_left);
}

Duration AdmissionController::IdleTimeout(const Program& program) {
  return static_cast<Duration>(
      m_settings->think_time_factor *
      static_cast<double>(ProfileOf(program.route).MaxThinkTime()));
}

void AdmissionController::Sweep(Time now) {
  int ended = 0;
  for (auto& [name, program] : m_programs) {
    const Duration unchanged_for = now - program.turns_changed_at;
    if (unchanged_for > kMaxTurnDuration) {
      m_local_usage[program.partition].slots -=
          std::exchange(program.running_turns, 0);
    }
    const bool is_idle = program.running_turns == 0 && program.is_counted &&
                         unchanged_for > IdleTimeout(program);
    if (!is_idle) continue;
    Release(&program);
    ++ended;
  }
  if (ended > 0) {
    // The interval is capped, because after an idle period it does not reflect
    // the rate at which capacity becomes free under load.
    const Duration elapsed =
        std::min(now - m_last_end, m_settings->max_retry_delay);
    const auto interval = static_cast<double>(elapsed) / ended;
    for (int i = 0; i < ended; ++i) m_end_interval.Observe(interval);
    m_last_end = now;
  }
  std::erase_if(m_programs, [now](const auto& each) {
    const Program& program = each.second;
    return !program.is_counted &&
           now - program.turns_changed_at > kEndedProgramTtl;
  });
  m_retries.Sweep(now);
}

// Peers -----------------------------------------------------------------------

CapacityUsage AdmissionController::LocalUsage() const {
  CapacityUsage local_usage;
  for (const auto& [partition, usage] : m_local_usage) local_usage += usage;
  return local_usage;
}

void AdmissionController::SetPeerUsage(const std::string&      peer,
                                       const UsageByPartition& usage,
                                       Time                    now) {
  m_peers[peer] = {usage, now, m_admitted};
}

int AdmissionController::ReportingPeers(Time now) const {
  return static_cast<int>(
      std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& each) {
        return now - each.second.received_at <= m_settings->usage_report_ttl;
      }));
}

CapacityUsage AdmissionController::TotalUse(Time now) const {
  UsageByPartition parts = m_local_usage;
  CapacityUsage    total;
  for (const auto& [name, peer] : m_peers) {
    if (now - peer.received_at > m_settings->usage_report_ttl) continue;
    for (const auto& [partition, usage] : peer.usage) {
      // A turn is counted by the coordinator that admitted it, a program by
      // every coordinator that received one of its turns.
      CapacityUsage& merged = parts[partition];
      merged.programs = std::max(merged.programs, usage.programs);
      merged.slots += usage.slots;
      merged.memory = std::max(merged.memory, usage.memory);
    }
    // The peer's report does not include what was admitted here after it
    // arrived. Assume that the peer admitted as much in the meantime.
    total += {m_admitted.programs - peer.admitted_before.programs,
              m_admitted.slots - peer.admitted_before.slots,
              m_admitted.memory - peer.admitted_before.memory};
  }
  for (const auto& [partition, usage] : parts) total += usage;
  return total;
}

}  // namespace yuccawick::admission

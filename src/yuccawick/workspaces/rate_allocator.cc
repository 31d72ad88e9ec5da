#include "yuccawick/workspaces/rate_allocator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace yuccawick::workspaces {
namespace {

constexpr double   kMillisPerSecond = 1000.0;
// Claimed ahead, as so many ms of what is asked for: some calls of the log.
constexpr double   kAhead = 300.0;
// With less of the allowance left than this share, a node must ask before it
// lets a program begin.
constexpr double   kScarceShare = 0.5;
// With more of it left than this share, they are plenty.
constexpr double   kPlentyShare = 0.6;
// Of what is left, a node gets this share beyond what it asked for, up to so
// many: the next steps of the program that it serves find a token at hand.
constexpr double   kExtraShare = 0.05;
constexpr double   kMostExtra = 8.0;
// Claims that end within this time, in ms, are room for programs under way:
// about a program's length.
constexpr Duration kLookAhead = 2000;
// A program that no node told of for so long, in ms, has ended: longer than its
// pauses, and than a node takes to use what it has at hand.
constexpr Duration kEndedAfter = 2000;
// Programs that end so long after the last refusal, in ms, were not cut.
constexpr Duration kWholeAfter = 5000;
constexpr Duration kCommittedAge = 20;  // ms
// Of the allowance, that one program is reckoned with.
constexpr double   kMostOfOne = 0.5;
constexpr double   kLeastRest = 0.25;  // of the typical need
// What a program is learned from counts at most as so many typical ones.
constexpr double   kMostLearned = 2.0;
constexpr double   kLearning = 0.02;  // weight of one program
// Nobody is sent away for longer, in ms: no client waits that long.
constexpr Duration kLongestReturn = 3000;
// A workspace that nobody asked for is forgotten after this time, in ms.
constexpr Duration kStateMemory = 60'000;
constexpr Duration kUnlimitedValid = 1000;  // ms

}  // namespace

void ProgramDemand::Observe(ProgramHash program, std::int64_t taken, Time now) {
  Program& noted = m_programs[program];
  noted.seen = now;
  noted.taken += taken;
}

double ProgramDemand::Committed(Time now) {
  if (m_committed_at >= 0 && now - m_committed_at < kCommittedAge) {
    return m_committed;
  }
  m_committed = 0;
  m_committed_at = now;
  for (const auto& [hash, program] : m_programs) {
    if (now - program.seen >= kEndedAfter) continue;
    // One that took more than most may still take some.
    const double rest = *m_typical - static_cast<double>(program.taken);
    m_committed += std::max(rest, kLeastRest * *m_typical);
  }
  return m_committed;
}

void ProgramDemand::Sweep(Time now, bool whole) {
  std::erase_if(m_programs, [this, now, whole](const auto& entry) {
    if (now - entry.second.seen < kEndedAfter) return false;
    if (!whole) return true;
    // Programs that do not end must not pass for what is usual.
    const double taken = std::min(static_cast<double>(entry.second.taken),
                                  kMostLearned * *m_typical);
    *m_typical += (std::max(1.0, taken) - *m_typical) * kLearning;
    return true;
  });
}

RateAllocator::State& RateAllocator::StateOf(const std::string& workspace) {
  return m_states.try_emplace(workspace, &m_typical).first->second;
}

double RateAllocator::LongRun(const RateLimit& limit) const {
  return Allowance(limit, m_window) * kMillisPerSecond /
         static_cast<double>(m_ledger.Span());
}

std::int64_t RateAllocator::Extra(const std::string& workspace,
                                  const RateLimit& limit, Time now) const {
  const double left = m_ledger.Remaining(workspace, now);
  if (left < kPlentyShare * Allowance(limit, m_window)) return 0;
  return static_cast<std::int64_t>(std::min(kMostExtra, kExtraShare * left));
}

bool RateAllocator::IsScarce(const std::string& workspace,
                             const RateLimit& limit, Time now) const {
  return m_ledger.Remaining(workspace, now) <
         kScarceShare * Allowance(limit, m_window);
}

double RateAllocator::Free(const std::string& workspace, State* state,
                           Time now) const {
  return m_ledger.Remaining(workspace, now + kLookAhead) +
         static_cast<double>(state->pool.Available(now)) -
         state->programs.Committed(now);
}

Duration RateAllocator::NextReturn(State* state, const RateLimit& limit,
                                   Time now) const {
  const double   pause = m_typical / LongRun(limit) * kMillisPerSecond;
  const Duration wait =
      std::max(state->next_return, now) + std::llround(pause) - now;
  state->next_return = wait > kLongestReturn ? now : now + wait;
  return std::clamp<Duration>(wait, 1, kLongestReturn);
}

RateAllocator::SubmittedRequest RateAllocator::Submit(const RateRequest& ask,
                                                      Time               now) {
  SubmittedRequest entered{ask.workspace, ask.want, ask.waiting, false};
  const auto       limit = m_limit_of(ask.workspace);
  if (!limit) {
    entered.need += static_cast<int>(ask.waiting.size());
    return entered;
  }
  State& state = StateOf(ask.workspace);
  state.used = now;
  for (const RateRequest::Step& step : ask.steps) {
    state.programs.Observe(step.program, step.tokens, now);
  }
  entered.may_go_on.clear();
  // A limit may be smaller than what a program usually needs.
  const double needed =
      std::min(m_typical, kMostOfOne * Allowance(*limit, m_window));
  double free = Free(ask.workspace, &state, now);
  for (const ProgramHash program : ask.waiting) {
    if (!state.programs.Knows(program)) {
      if (free < needed) {
        entered.refused = true;
        ++state.turned_away;
        continue;
      }
      free -= needed;
    }
    state.programs.Observe(program, 0, now);
    entered.may_go_on.push_back(program);
  }
  entered.need += static_cast<int>(entered.may_go_on.size());
  state.unused.insert(state.unused.end(), ask.unused.begin(), ask.unused.end());
  m_due.insert(ask.workspace);
  return entered;
}

std::optional<RateResponse> RateAllocator::TryRespond(
    const SubmittedRequest& entered, Time now) {
  RateResponse answer;
  answer.may_go_on = entered.may_go_on;
  const auto limit = m_limit_of(entered.workspace);
  if (!limit) {
    answer.tokens = entered.need;
    answer.valid = kUnlimitedValid;
    return answer;
  }
  State& state = StateOf(entered.workspace);
  answer.scarce = IsScarce(entered.workspace, *limit, now);
  if (entered.refused) {
    answer.new_program_retry_delay = NextReturn(&state, *limit, now);
  }
  if (entered.need == 0) return answer;
  const auto extra = Extra(entered.workspace, *limit, now);
  answer.plenty = extra > 0;
  const auto batch = state.pool.TakeUpTo(entered.need + extra, now);
  if (batch.tokens > 0) {
    // What is handed out counts, not what is asked for: who gets nothing asks
    // again and again.
    const auto handed = static_cast<double>(batch.tokens);
    state.demand.Count(handed, now);
    answer.tokens = static_cast<int>(batch.tokens);
    answer.valid = batch.until - now;
    answer.origin = batch.origin;
    return answer;
  }
  if (m_ledger.Remaining(entered.workspace, now) >= 1) {
    m_due.insert(entered.workspace);
    return std::nullopt;
  }
  ++state.turned_away;
  state.refused_at = now;
  answer.retry_delay = std::min(
      kLongestReturn, m_ledger.TimeUntilRemaining(entered.workspace, 1, now)
                          .value_or(kLongestReturn));
  answer.new_program_retry_delay =
      std::max(answer.new_program_retry_delay, answer.retry_delay);
  return answer;
}

void RateAllocator::TakeUnused(const std::string& workspace, State* state,
                               Time now, std::vector<RateEntry>* entries) {
  for (const TokenPool::Batch& ended : state->pool.TakeExpired(now)) {
    entries->push_back({workspace, -ended.tokens, ended.origin});
  }
  for (const RateEntry& told : std::exchange(state->unused, {})) {
    entries->push_back(told);
  }
}

std::int64_t RateAllocator::Lacking(const std::string& workspace, State* state,
                                    const RateLimit& limit, Duration pause,
                                    Time now) const {
  const auto   pool = static_cast<double>(state->pool.Available(now));
  const double ahead = state->demand.PerSecond(now) *
                       (kAhead + static_cast<double>(pause)) / kMillisPerSecond;
  // Half of it is left: the next claim is in time.
  if (pool >= 1 && pool > ahead / 2) return 0;
  const double wish = std::max(1.0, std::ceil(ahead - pool)) +
                      static_cast<double>(Extra(workspace, limit, now));
  return static_cast<std::int64_t>(
      std::floor(std::min(m_ledger.Remaining(workspace, now), wish)));
}

std::vector<RateEntry> RateAllocator::NextClaim(Duration pause, Time now) {
  std::vector<RateEntry> claims;
  // First, so that what is given back is there for the claims behind it.
  std::vector<RateEntry> entries;
  for (const std::string& workspace : std::exchange(m_due, {})) {
    const auto limit = m_limit_of(workspace);
    if (!limit) continue;
    State& state = StateOf(workspace);
    TakeUnused(workspace, &state, now, &entries);
    const auto tokens = Lacking(workspace, &state, *limit, pause, now);
    if (tokens >= 1) claims.push_back({workspace, tokens, -1});
  }
  entries.insert(entries.end(), claims.begin(), claims.end());
  return entries;
}

std::vector<RateEntry> RateAllocator::NextReleases(Time now) {
  std::vector<RateEntry> entries;
  for (auto& [workspace, state] : m_states) {
    TakeUnused(workspace, &state, now, &entries);
  }
  return entries;
}

void RateAllocator::OnGranted(const LoggedRate& claim, Time sent, Time now) {
  const Time until = sent + kRateTokenLifetime;
  for (const RateEntry& entry : claim.record.entries) {
    if (entry.tokens < 0 || !m_limit_of(entry.workspace)) continue;
    const double lacking =
        std::max(0.0, -m_ledger.Remaining(entry.workspace, now));
    const auto granted =
        entry.tokens - static_cast<std::int64_t>(std::ceil(lacking));
    StateOf(entry.workspace).pool.Add({granted, until, claim.offset});
  }
}

void RateAllocator::Sweep(Time now) {
  m_ledger.Sweep(now);
  for (auto& [workspace, state] : m_states) {
    state.programs.Sweep(now, now - state.refused_at > kWholeAfter);
  }
  std::erase_if(m_states, [now](const auto& entry) {
    return now - entry.second.used > kStateMemory;
  });
}

std::vector<RateAllocator::RefusalReport> RateAllocator::TakeRefusalReports(
    Time now) {
  std::vector<RefusalReport> uses;
  for (auto& [workspace, state] : m_states) {
    const auto limit = m_limit_of(workspace);
    if (!limit || state.turned_away == 0) continue;
    uses.push_back(
        {workspace, state.demand.PerSecond(now), Allowance(*limit, m_window),
         m_ledger.Remaining(workspace, now), state.pool.Available(now),
         m_typical, std::exchange(state.turned_away, 0)});
  }
  return uses;
}

}  // namespace yuccawick::workspaces

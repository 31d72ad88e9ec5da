#include "yuccawick/workspaces/rate_allocator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace yuccawick::workspaces {
namespace {

constexpr double   kMillisPerSecond = 1000.0;
// Expected demand to claim ahead, in ms; covers a few log writes.
constexpr double   kClaimAhead = 300.0;
// Below this share of the allowance, tokens are scarce: nodes must ask before
// they start a program.
constexpr double   kScarceShare = 0.5;
// Above this share of the allowance, nodes receive extra tokens.
constexpr double   kPlentyShare = 0.6;
// Share of the remaining tokens that a node receives beyond its request, up to
// kMaxExtraTokens. They serve the next calls of the same programs without
// another request.
constexpr double   kExtraTokenShare = 0.05;
constexpr double   kMaxExtraTokens = 8.0;
// Claims that expire within this time, in ms, count as available for new
// programs. About the length of a program.
constexpr Duration kProjectionTime = 2000;
// A program not reported for this time, in ms, is considered finished. Longer
// than the pauses between calls and than the time in which a node uses its
// tokens.
constexpr Duration kProgramIdleTimeout = 2000;
// Programs that end at least this long after the last refusal, in ms, were not
// cut short by the limit.
constexpr Duration kUnthrottledAfter = 5000;
constexpr Duration kCommittedCacheTime = 20;  // ms
// Maximum share of the allowance assumed for one program.
constexpr double   kMaxProgramShare = 0.5;
// Minimum remaining need of a running program, as a share of the typical need.
constexpr double   kMinRemainingShare = 0.25;
// Caps the need learned from one program, as a multiple of the typical need.
constexpr double   kMaxSampleRatio = 2.0;
constexpr double   kLearningRate = 0.02;   // weight of one program
constexpr Duration kMaxRetryDelay = 3000;  // ms; clients give up beyond it
// Time in ms after which an unused workspace's state is dropped.
constexpr Duration kIdleStateLifetime = 60'000;
constexpr Duration kUnlimitedTokenLifetime = 1000;  // ms

}  // namespace

void ProgramDemand::Observe(ProgramHash program, std::int64_t taken, Time now) {
  Program& observed = m_programs[program];
  observed.last_seen = now;
  observed.taken += taken;
}

double ProgramDemand::Committed(Time now) {
  if (m_committed_at >= 0 && now - m_committed_at < kCommittedCacheTime) {
    return m_committed;
  }
  m_committed = 0;
  m_committed_at = now;
  for (const auto& [hash, program] : m_programs) {
    if (now - program.last_seen >= kProgramIdleTimeout) continue;
    // A program that exceeds the typical need may still use more.
    const double remaining_need =
        *m_typical_need - static_cast<double>(program.taken);
    m_committed +=
        std::max(remaining_need, kMinRemainingShare * *m_typical_need);
  }
  return m_committed;
}

void ProgramDemand::Sweep(Time now, bool unthrottled) {
  std::erase_if(m_programs, [this, now, unthrottled](const auto& entry) {
    if (now - entry.second.last_seen < kProgramIdleTimeout) return false;
    if (!unthrottled) return true;
    // Programs that never end must not raise the typical need without bound.
    const double taken = std::min(static_cast<double>(entry.second.taken),
                                  kMaxSampleRatio * *m_typical_need);
    *m_typical_need += (std::max(1.0, taken) - *m_typical_need) * kLearningRate;
    return true;
  });
}

RateAllocator::State& RateAllocator::StateOf(const std::string& workspace) {
  return m_states.try_emplace(workspace, &m_typical_need).first->second;
}

double RateAllocator::SustainedRate(const RateLimit& limit) const {
  return Allowance(limit, m_window) * kMillisPerSecond /
         static_cast<double>(m_ledger.Span());
}

std::int64_t RateAllocator::ExtraTokens(const std::string& workspace,
                                        const RateLimit&   limit,
                                        Time               now) const {
  const double left = m_ledger.Remaining(workspace, now);
  if (left < kPlentyShare * Allowance(limit, m_window)) return 0;
  return static_cast<std::int64_t>(
      std::min(kMaxExtraTokens, kExtraTokenShare * left));
}

bool RateAllocator::IsScarce(const std::string& workspace,
                             const RateLimit& limit, Time now) const {
  return m_ledger.Remaining(workspace, now) <
         kScarceShare * Allowance(limit, m_window);
}

double RateAllocator::UncommittedTokens(const std::string& workspace,
                                        State* state, Time now) const {
  return m_ledger.Remaining(workspace, now + kProjectionTime) +
         static_cast<double>(state->pool.Available(now)) -
         state->programs.Committed(now);
}

Duration RateAllocator::NextRetryDelay(State* state, const RateLimit& limit,
                                       Time now) const {
  const double delay = m_typical_need / SustainedRate(limit) * kMillisPerSecond;
  const Duration wait =
      std::max(state->next_retry_at, now) + std::llround(delay) - now;
  state->next_retry_at = wait > kMaxRetryDelay ? now : now + wait;
  return std::clamp<Duration>(wait, 1, kMaxRetryDelay);
}

RateAllocator::SubmittedRequest RateAllocator::Submit(
    const RateRequest& request, Time now) {
  SubmittedRequest submitted{request.workspace, request.want, request.waiting,
                             false};
  const auto       limit = m_limit_of(request.workspace);
  if (!limit) {
    submitted.need += static_cast<int>(request.waiting.size());
    return submitted;
  }
  State& state = StateOf(request.workspace);
  state.last_used = now;
  for (const RateRequest::Step& step : request.steps) {
    state.programs.Observe(step.program, step.tokens, now);
  }
  submitted.may_go_on.clear();
  // The limit may be smaller than a typical program's need.
  const double needed =
      std::min(m_typical_need, kMaxProgramShare * Allowance(*limit, m_window));
  double uncommitted = UncommittedTokens(request.workspace, &state, now);
  for (const ProgramHash program : request.waiting) {
    if (!state.programs.Knows(program)) {
      if (uncommitted < needed) {
        submitted.refused = true;
        ++state.refused_count;
        continue;
      }
      uncommitted -= needed;
    }
    state.programs.Observe(program, 0, now);
    submitted.may_go_on.push_back(program);
  }
  submitted.need += static_cast<int>(submitted.may_go_on.size());
  state.unused.insert(state.unused.end(), request.unused.begin(),
                      request.unused.end());
  m_claims_due.insert(request.workspace);
  return submitted;
}

std::optional<RateResponse> RateAllocator::TryRespond(
    const SubmittedRequest& submitted, Time now) {
  RateResponse response;
  response.may_go_on = submitted.may_go_on;
  const auto limit = m_limit_of(submitted.workspace);
  if (!limit) {
    response.tokens = submitted.need;
    response.valid = kUnlimitedTokenLifetime;
    return response;
  }
  State& state = StateOf(submitted.workspace);
  response.scarce = IsScarce(submitted.workspace, *limit, now);
  if (submitted.refused) {
    response.new_program_retry_delay = NextRetryDelay(&state, *limit, now);
  }
  if (submitted.need == 0) return response;
  const auto extra = ExtraTokens(submitted.workspace, *limit, now);
  response.plenty = extra > 0;
  const auto batch = state.pool.TakeUpTo(submitted.need + extra, now);
  if (batch.tokens > 0) {
    // Counts tokens granted, not requested: refused nodes repeat their
    // requests.
    const auto granted = static_cast<double>(batch.tokens);
    state.demand.Count(granted, now);
    response.tokens = static_cast<int>(batch.tokens);
    response.valid = batch.until - now;
    response.origin = batch.origin;
    return response;
  }
  if (m_ledger.Remaining(submitted.workspace, now) >= 1) {
    m_claims_due.insert(submitted.workspace);
    return std::nullopt;
  }
  ++state.refused_count;
  state.refused_at = now;
  response.retry_delay = std::min(
      kMaxRetryDelay, m_ledger.TimeUntilRemaining(submitted.workspace, 1, now)
                          .value_or(kMaxRetryDelay));
  response.new_program_retry_delay =
      std::max(response.new_program_retry_delay, response.retry_delay);
  return response;
}

void RateAllocator::TakeUnused(const std::string& workspace, State* state,
                               Time now, std::vector<RateEntry>* entries) {
  for (const TokenPool::Batch& expired_batch : state->pool.TakeExpired(now)) {
    entries->push_back(
        {workspace, -expired_batch.tokens, expired_batch.origin});
  }
  for (const RateEntry& unused_entry : std::exchange(state->unused, {})) {
    entries->push_back(unused_entry);
  }
}

std::int64_t RateAllocator::TokensToClaim(const std::string& workspace,
                                          State* state, const RateLimit& limit,
                                          Duration delay, Time now) const {
  const auto   pool = static_cast<double>(state->pool.Available(now));
  const double expected_demand = state->demand.PerSecond(now) *
                                 (kClaimAhead + static_cast<double>(delay)) /
                                 kMillisPerSecond;
  // While more than half of the expected demand is available, the next claim is
  // still in time.
  if (pool >= 1 && pool > expected_demand / 2) return 0;
  const double tokens_wanted =
      std::max(1.0, std::ceil(expected_demand - pool)) +
      static_cast<double>(ExtraTokens(workspace, limit, now));
  return static_cast<std::int64_t>(
      std::floor(std::min(m_ledger.Remaining(workspace, now), tokens_wanted)));
}

std::vector<RateEntry> RateAllocator::NextClaim(Duration delay, Time now) {
  std::vector<RateEntry> claims;
  // Releases come first, so that the claims can use the released tokens.
  std::vector<RateEntry> entries;
  for (const std::string& workspace : std::exchange(m_claims_due, {})) {
    const auto limit = m_limit_of(workspace);
    if (!limit) continue;
    State& state = StateOf(workspace);
    TakeUnused(workspace, &state, now, &entries);
    const auto tokens = TokensToClaim(workspace, &state, *limit, delay, now);
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
    const double excess =
        std::max(0.0, -m_ledger.Remaining(entry.workspace, now));
    const auto granted =
        entry.tokens - static_cast<std::int64_t>(std::ceil(excess));
    StateOf(entry.workspace).pool.Add({granted, until, claim.offset});
  }
}

void RateAllocator::Sweep(Time now) {
  m_ledger.Sweep(now);
  for (auto& [workspace, state] : m_states) {
    state.programs.Sweep(now, now - state.refused_at > kUnthrottledAfter);
  }
  std::erase_if(m_states, [now](const auto& entry) {
    return now - entry.second.last_used > kIdleStateLifetime;
  });
}

std::vector<RateAllocator::RefusalReport> RateAllocator::TakeRefusalReports(
    Time now) {
  std::vector<RefusalReport> reports;
  for (auto& [workspace, state] : m_states) {
    const auto limit = m_limit_of(workspace);
    if (!limit || state.refused_count == 0) continue;
    reports.push_back(
        {workspace, state.demand.PerSecond(now), Allowance(*limit, m_window),
         m_ledger.Remaining(workspace, now), state.pool.Available(now),
         m_typical_need, std::exchange(state.refused_count, 0)});
  }
  return reports;
}

}  // namespace yuccawick::workspaces

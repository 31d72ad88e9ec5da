#include "yuccawick/gateway/rate_limiter.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace yuccawick::gateway {
namespace {

using workspaces::RateRequest;
using workspaces::RateResponse;

// Largest number of coordinators asked for one request, one after another.
constexpr std::size_t  kMaxCoordinators = 3;
// Tokens requested in advance, as a duration of this node's demand (ms).
constexpr double       kPrefetchTime = 150.0;
constexpr int          kMaxPrefetch = 20;
// Local tokens below which more are requested while tokens are plentiful.
constexpr std::int64_t kLowWatermark = 2;
constexpr double       kMillisPerSecond = 1000.0;
// How long a report of scarce or plentiful tokens applies (ms).
constexpr Duration     kSupplyReportTtl = 500;
// Programs not seen for this long (ms) are treated as ended.
constexpr Duration     kProgramTtl = 10'000;
constexpr Duration     kMinRequestInterval = 25;  // ms between two requests
constexpr Duration     kWorkspaceTtl = 60'000;    // ms

// 0 if there is no program.
workspaces::ProgramHash HashProgram(const std::string& program) {
  if (program.empty()) return 0;
  return std::max<workspaces::ProgramHash>(
      1, XXH3_64bits(program.data(), program.size()));
}

// Writes the programs to the list that `init` creates.
template <class Init>
void WritePrograms(const std::vector<workspaces::ProgramHash>& programs,
                   Init                                        init) {
  auto     list = init(static_cast<unsigned>(programs.size()));
  unsigned at = 0;
  for (const auto program : programs) list.set(at++, program);
}

}  // namespace

RateLimiter::RateLimiter(net::EventLoop* loop, const Thresholds* thresholds,
                         const programs::NodeInfo& self, PeerNetwork* network,
                         std::vector<RateCoordinator>* coordinators,
                         CoordinatorLookup             rank_coordinators)
    : m_loop(loop),
      m_thresholds(thresholds),
      m_self(self),
      m_network(network),
      m_coordinators(coordinators),
      m_rank_coordinators(std::move(rank_coordinators)) {}

RateCoordinator& RateLimiter::CoordinatorFor(const std::string& workspace) {
  return (
      *m_coordinators)[static_cast<std::size_t>(RatePartitionOf(workspace))];
}

void RateLimiter::Sweep(bool limits) {
  const Time now = m_loop->now();
  std::erase_if(m_programs, [now](const auto& entry) {
    return now - entry.second > kProgramTtl;
  });
  std::erase_if(m_workspaces, [now](const auto& entry) {
    const WorkspaceState& state = entry.second;
    return state.waiting.empty() && !state.request_pending &&
           now - state.last_used > kWorkspaceTtl;
  });
  for (int i = 0; i < kRatePartitions; ++i) {
    RateCoordinator& coordinator =
        (*m_coordinators)[static_cast<std::size_t>(i)];
    coordinator.Sweep();
    if (!limits) continue;
    const auto candidates = m_rank_coordinators(RateCoordinatorKey(i));
    if (!candidates.empty() && candidates.front().name == m_self.name)
      coordinator.Open();
  }
}

// Admitting ------------------------------------------------------------------

bool RateLimiter::TakeToken(WorkspaceState* state, const Waiter& waiter,
                            RateLimitResult* result) {
  result->token = state->pool.TakeUpTo(1, m_loop->ReadClock());
  if (result->token.tokens == 0) return false;
  result->outcome = RateLimitOutcome::kAdmitted;
  if (waiter.program == 0) return true;
  ++state->steps[waiter.program];
  m_programs[waiter.program] = m_loop->now();
  return true;
}

void RateLimiter::Acquire(const workspaces::Workspace& workspace,
                          const ProgramStep& step, Done done) {
  if (!workspace.limit) {
    done({RateLimitOutcome::kAdmitted, 0, {}});
    return;
  }
  const Time      now = m_loop->now();
  WorkspaceState& state = m_workspaces[workspace.name];
  state.last_used = now;
  state.demand.Count(1, now);
  Waiter waiter{HashProgram(step.program), true, now, step.max_wait,
                std::move(done)};
  waiter.known_program = waiter.program == 0 || step.continues ||
                         m_programs.contains(waiter.program);
  RateLimitResult result;
  const bool      scarce = now < state.scarce_until;
  const bool      may_take =
      state.waiting.empty() && (waiter.known_program || !scarce);
  if (may_take && TakeToken(&state, waiter, &result)) {
    RequestMore(workspace.name);
    waiter.done(result);
    return;
  }
  state.waiting.push_back(std::move(waiter));
  RequestMore(workspace.name);
}

void RateLimiter::Refund(const std::string&                  workspace,
                         const workspaces::TokenPool::Batch& token) {
  m_workspaces[workspace].pool.Add(token);
}

void RateLimiter::Charge(const std::string& workspace) {
  WorkspaceState& state = m_workspaces[workspace];
  if (!state.pool.Take(m_loop->ReadClock())) ++state.debt;
}

void RateLimiter::ServeWaiting(const std::string& workspace) {
  WorkspaceState& state = m_workspaces[workspace];
  const bool      scarce = m_loop->now() < state.scarce_until;
  struct Admitted {
    Done            done;
    RateLimitResult result;
  };
  std::vector<Admitted> admitted;
  std::deque<Waiter>    remaining;
  for (Waiter& waiter : state.waiting) {
    RateLimitResult result;
    const bool      may_take = waiter.known_program || !scarce;
    if (may_take && TakeToken(&state, waiter, &result)) {
      admitted.push_back({std::move(waiter.done), result});
    } else {
      remaining.push_back(std::move(waiter));
    }
  }
  state.waiting = std::move(remaining);
  for (const Admitted& each : admitted) each.done(each.result);
}

void RateLimiter::RefuseWaiting(const std::string&  workspace,
                                RateLimitOutcome    outcome,
                                const RateResponse& response) {
  WorkspaceState&     state = m_workspaces[workspace];
  const Time          now = m_loop->now();
  std::deque<Waiter>  remaining;
  std::vector<Waiter> refused;
  for (Waiter& waiter : state.waiting) {
    // An outage of the log or a coordinator is usually shorter than the time
    // until an exhausted limit has tokens again.
    const Duration max_wait = outcome == RateLimitOutcome::kUnsure
                                  ? waiter.max_wait
                                  : m_thresholds->rate_wait;
    // New programs are refused at once while tokens are scarce; running
    // programs wait as long as a token can arrive in time.
    const bool     too_late =
        now + std::max(response.retry_delay, kMinRequestInterval) >=
        waiter.since + max_wait;
    const bool refuse = too_late || (!waiter.known_program && response.scarce);
    (refuse ? refused.emplace_back(std::move(waiter))
            : remaining.emplace_back(std::move(waiter)));
  }
  state.waiting = std::move(remaining);
  for (const Waiter& waiter : refused) {
    waiter.done({outcome,
                 waiter.known_program ? response.retry_delay
                                      : response.new_program_retry_delay,
                 {}});
  }
}

// Requesting -----------------------------------------------------------------

RateRequest RateLimiter::BuildRequest(const std::string& workspace,
                                      WorkspaceState*    state) const {
  const Time  now = m_loop->now();
  RateRequest request;
  request.workspace = workspace;
  for (const Waiter& waiter : state->waiting) {
    if (waiter.known_program) {
      ++request.want;
    } else {
      request.waiting.push_back(waiter.program);
    }
  }
  request.want += static_cast<int>(state->debt);
  for (const auto& [program, tokens] : std::exchange(state->steps, {})) {
    request.steps.push_back({program, tokens});
  }
  for (const auto& expired : state->pool.TakeExpired(m_loop->ReadClock())) {
    request.unused.push_back({workspace, -expired.tokens, expired.origin});
  }
  if (now >= state->scarce_until) {
    request.want += std::min(
        kMaxPrefetch, static_cast<int>(state->demand.PerSecond(now) *
                                       kPrefetchTime / kMillisPerSecond));
  }
  return request;
}

void RateLimiter::RequestMore(const std::string& workspace) {
  WorkspaceState& state = m_workspaces[workspace];
  const Time      now = m_loop->now();
  const bool      request_ahead =
      now < state.plenty_until && state.pool.Available(now) < kLowWatermark;
  if (state.request_pending || (state.waiting.empty() && !request_ahead))
    return;
  state.request_pending = true;
  RequestFromRank(BuildRequest(workspace, &state), 0, m_loop->now());
}

void RateLimiter::RequestFromRank(const RateRequest& request, std::size_t rank,
                                  Time requested_at) {
  const auto candidates = m_rank_coordinators(
      RateCoordinatorKey(RatePartitionOf(request.workspace)));
  if (rank >= std::min(candidates.size(), kMaxCoordinators)) {
    RateResponse unsure;
    unsure.unsure = true;
    OnResponse(request, unsure, requested_at);
    return;
  }
  const auto on_response = [this, request, rank,
                            requested_at](const RateResponse& response) {
    if (response.unsure) {
      // This coordinator cannot reach the log; the next one may reach it.
      RequestFromRank(request, rank + 1, requested_at);
    } else {
      OnResponse(request, response, requested_at);
    }
  };
  if (candidates[rank].name == m_self.name) {
    CoordinatorFor(request.workspace).RequestTokens(request, on_response);
  } else {
    RequestFromNode(candidates[rank], request, on_response);
  }
}

void RateLimiter::RequestFromNode(const programs::NodeInfo&    coordinator,
                                  const RateRequest&           request,
                                  const RateCoordinator::Done& done) {
  m_network->SendRequest(
      coordinator,
      [&request](PeerMessage::Builder message) {
        auto builder = message.initRateAsk();
        builder.setWorkspace(request.workspace);
        builder.setWant(static_cast<std::uint16_t>(request.want));
        WritePrograms(request.waiting,
                      [&](auto size) { return builder.initWaiting(size); });
        auto steps =
            builder.initSteps(static_cast<unsigned>(request.steps.size()));
        for (unsigned i = 0; i < steps.size(); ++i) {
          steps[i].setProgram(request.steps[i].program);
          steps[i].setTokens(
              static_cast<std::uint32_t>(request.steps[i].tokens));
        }
        auto unused =
            builder.initUnused(static_cast<unsigned>(request.unused.size()));
        for (unsigned i = 0; i < unused.size(); ++i) {
          unused[i].setTokens(
              static_cast<std::int32_t>(request.unused[i].tokens));
          unused[i].setOrigin(request.unused[i].origin);
        }
      },
      m_thresholds->rate_timeout,
      [done](std::optional<PeerMessage::Reader> message) {
        RateResponse response;
        response.unsure = !message || !message->isRateAnswer();
        if (!response.unsure) {
          const auto reader = message->getRateAnswer();
          response.unsure = reader.getUnsure();
          response.tokens = reader.getTokens();
          for (const auto program : reader.getMayGoOn()) {
            response.may_go_on.push_back(program);
          }
          response.origin = reader.getOrigin();
          response.valid = reader.getValidMs();
          response.retry_delay = reader.getRetryMs();
          response.new_program_retry_delay = reader.getBeginRetryMs();
          response.scarce = reader.getScarce();
          response.plenty = reader.getPlenty();
        }
        done(response);
      });
}

void RateLimiter::OnResponse(const RateRequest&  request,
                             const RateResponse& response, Time requested_at) {
  WorkspaceState& state = m_workspaces[request.workspace];
  state.request_pending = false;
  if (response.scarce) state.scarce_until = m_loop->now() + kSupplyReportTtl;
  state.plenty_until = response.plenty ? m_loop->now() + kSupplyReportTtl : 0;
  const auto paid_debt = std::min<std::int64_t>(state.debt, response.tokens);
  state.debt -= paid_debt;
  // Validity starts at the request, since the transit time is unknown.
  state.pool.Add({response.tokens - paid_debt, requested_at + response.valid,
                  response.origin});
  for (Waiter& waiter : state.waiting) {
    const auto& admitted_programs = response.may_go_on;
    if (std::find(admitted_programs.begin(), admitted_programs.end(),
                  waiter.program) == admitted_programs.end()) {
      continue;
    }
    m_programs[waiter.program] = m_loop->now();
    waiter.known_program = true;
  }
  ServeWaiting(request.workspace);
  RefuseWaiting(request.workspace,
                response.unsure ? RateLimitOutcome::kUnsure
                                : RateLimitOutcome::kOverLimit,
                response);
  if (m_workspaces[request.workspace].waiting.empty()) return;
  ScheduleRequest(
      request.workspace,
      response.unsure ? m_thresholds->reserve_pause
      : response.tokens > 0
          ? 0
          : std::max<Duration>(response.retry_delay, kMinRequestInterval));
}

void RateLimiter::ScheduleRequest(const std::string& workspace,
                                  Duration           delay) {
  m_loop->After(delay, [this, workspace] { RequestMore(workspace); });
}

void RateLimiter::ServeRequest(PeerMessage::Reader       message,
                               const PeerNetwork::Reply& reply) {
  const auto  reader = message.getRateAsk();
  RateRequest request;
  request.workspace = reader.getWorkspace().cStr();
  request.want = reader.getWant();
  for (const auto program : reader.getWaiting())
    request.waiting.push_back(program);
  for (const auto& step : reader.getSteps()) {
    request.steps.push_back({step.getProgram(), step.getTokens()});
  }
  for (const auto& unused : reader.getUnused()) {
    request.unused.push_back(
        {request.workspace, unused.getTokens(), unused.getOrigin()});
  }
  CoordinatorFor(request.workspace)
      .RequestTokens(request, [reply](const RateResponse& response) {
        reply([&response](PeerMessage::Builder builder) {
          auto rate = builder.initRateAnswer();
          rate.setUnsure(response.unsure);
          rate.setTokens(static_cast<std::uint16_t>(response.tokens));
          WritePrograms(response.may_go_on,
                        [&](auto size) { return rate.initMayGoOn(size); });
          rate.setOrigin(response.origin);
          rate.setValidMs(static_cast<std::uint32_t>(response.valid));
          rate.setRetryMs(static_cast<std::uint32_t>(response.retry_delay));
          rate.setBeginRetryMs(
              static_cast<std::uint32_t>(response.new_program_retry_delay));
          rate.setScarce(response.scarce);
          rate.setPlenty(response.plenty);
        });
      });
}

}  // namespace yuccawick::gateway

#include "yuccawick/gateway/rate_limiter.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

// Index: Admitting, Asking.

namespace yuccawick::gateway {
namespace {

using workspaces::RateRequest;
using workspaces::RateResponse;

// Homes that are asked one after the other.
constexpr std::size_t  kMostHomes = 3;
// Asked for ahead, as so many ms of this node's own demand.
constexpr double       kAhead = 150.0;
constexpr int          kMostAhead = 20;
// With fewer tokens at hand, more are asked for where they are plenty.
constexpr std::int64_t kLowMark = 2;
constexpr double       kMillisPerSecond = 1000.0;
// How long a home's word that tokens are scarce is believed, in ms.
constexpr Duration     kScarceMemory = 500;
// A program that was not seen for so long, in ms, has ended.
constexpr Duration     kProgramMemory = 10'000;
constexpr Duration     kLeastPause = 25;  // ms between two questions for more
constexpr Duration     kLocalMemory = 60'000;  // ms

// 0 stands for no program.
workspaces::ProgramHash HashOf(const std::string& program) {
  if (program.empty()) return 0;
  return std::max<workspaces::ProgramHash>(
      1, XXH3_64bits(program.data(), program.size()));
}

// Fills the list that `init` makes of the size.
template <class Init>
void WriteList(const std::vector<workspaces::ProgramHash>& programs,
               Init                                        init) {
  auto     list = init(static_cast<unsigned>(programs.size()));
  unsigned at = 0;
  for (const auto program : programs) list.set(at++, program);
}

}  // namespace

RateLimiter::RateLimiter(net::EventLoop* loop, const Thresholds* thresholds,
                         const programs::NodeInfo& self, PeerNetwork* network,
                         std::vector<RateCoordinator>* desks,
                         CoordinatorLookup             homes_for)
    : m_loop(loop),
      m_thresholds(thresholds),
      m_self(self),
      m_network(network),
      m_desks(desks),
      m_homes_for(std::move(homes_for)) {}

RateCoordinator& RateLimiter::DeskOf(const std::string& workspace) {
  return (*m_desks)[static_cast<std::size_t>(RatePartitionOf(workspace))];
}

void RateLimiter::Sweep(bool limits) {
  const Time now = m_loop->now();
  std::erase_if(m_programs, [now](const auto& entry) {
    return now - entry.second > kProgramMemory;
  });
  std::erase_if(m_locals, [now](const auto& entry) {
    const Local& local = entry.second;
    return local.waiting.empty() && !local.asking &&
           now - local.used > kLocalMemory;
  });
  for (int i = 0; i < kRatePartitions; ++i) {
    RateCoordinator& desk = (*m_desks)[static_cast<std::size_t>(i)];
    desk.Sweep();
    if (!limits) continue;
    const auto homes = m_homes_for(RateCoordinatorKey(i));
    if (!homes.empty() && homes.front().name == m_self.name) desk.Open();
  }
}

// Admitting ------------------------------------------------------------------

bool RateLimiter::TakeToken(Local* local, const Waiter& waiter,
                            RateLimitResult* admission) {
  admission->token = local->pool.TakeUpTo(1, m_loop->ReadClock());
  if (admission->token.tokens == 0) return false;
  admission->outcome = RateLimitOutcome::kAdmitted;
  if (waiter.program == 0) return true;
  ++local->steps[waiter.program];
  m_programs[waiter.program] = m_loop->now();
  return true;
}

void RateLimiter::Acquire(const workspaces::Workspace& workspace,
                          const ProgramStep& step, Done done) {
  if (!workspace.limit) {
    done({RateLimitOutcome::kAdmitted, 0, {}});
    return;
  }
  const Time now = m_loop->now();
  Local&     local = m_locals[workspace.name];
  local.used = now;
  local.demand.Count(1, now);
  Waiter waiter{HashOf(step.program), true, now, step.patience,
                std::move(done)};
  waiter.known = waiter.program == 0 || step.continues ||
                 m_programs.contains(waiter.program);
  RateLimitResult admission;
  const bool      scarce = now < local.scarce_until;
  const bool      may_take = local.waiting.empty() && (waiter.known || !scarce);
  if (may_take && TakeToken(&local, waiter, &admission)) {
    Ask(workspace.name);
    waiter.done(admission);
    return;
  }
  local.waiting.push_back(std::move(waiter));
  Ask(workspace.name);
}

void RateLimiter::Refund(const std::string&                  workspace,
                         const workspaces::TokenPool::Batch& token) {
  m_locals[workspace].pool.Add(token);
}

void RateLimiter::Charge(const std::string& workspace) {
  Local& local = m_locals[workspace];
  if (!local.pool.Take(m_loop->ReadClock())) ++local.debt;
}

void RateLimiter::ServeWaiting(const std::string& workspace) {
  Local&     local = m_locals[workspace];
  const bool scarce = m_loop->now() < local.scarce_until;
  struct Admitted {
    Done            done;
    RateLimitResult admission;
  };
  std::vector<Admitted> admitted;
  std::deque<Waiter>    left;
  for (Waiter& waiter : local.waiting) {
    RateLimitResult admission;
    const bool      may_take = waiter.known || !scarce;
    if (may_take && TakeToken(&local, waiter, &admission)) {
      admitted.push_back({std::move(waiter.done), admission});
    } else {
      left.push_back(std::move(waiter));
    }
  }
  local.waiting = std::move(left);
  for (const Admitted& each : admitted) each.done(each.admission);
}

void RateLimiter::TurnAway(const std::string&  workspace,
                           RateLimitOutcome    outcome,
                           const RateResponse& answer) {
  Local&              local = m_locals[workspace];
  const Time          now = m_loop->now();
  std::deque<Waiter>  left;
  std::vector<Waiter> ended;
  for (Waiter& waiter : local.waiting) {
    // An outage of the log, or of a home, ends; a limit that is used up stays
    // so for longer.
    const Duration patience = outcome == RateLimitOutcome::kUnsure
                                  ? waiter.patience
                                  : m_thresholds->rate_wait;
    // A program that may not begin now is told at once; one under way waits
    // while that is of use.
    const bool     useless = now + std::max(answer.retry_delay, kLeastPause) >=
                         waiter.since + patience;
    const bool ends = useless || (!waiter.known && answer.scarce);
    (ends ? ended.emplace_back(std::move(waiter))
          : left.emplace_back(std::move(waiter)));
  }
  local.waiting = std::move(left);
  for (const Waiter& waiter : ended) {
    waiter.done(
        {outcome,
         waiter.known ? answer.retry_delay : answer.new_program_retry_delay,
         {}});
  }
}

// Asking ---------------------------------------------------------------------

RateRequest RateLimiter::NextAsk(const std::string& workspace,
                                 Local*             local) const {
  const Time  now = m_loop->now();
  RateRequest ask;
  ask.workspace = workspace;
  for (const Waiter& waiter : local->waiting) {
    if (waiter.known) {
      ++ask.want;
    } else {
      ask.waiting.push_back(waiter.program);
    }
  }
  ask.want += static_cast<int>(local->debt);
  for (const auto& [program, tokens] : std::exchange(local->steps, {})) {
    ask.steps.push_back({program, tokens});
  }
  for (const auto& ended : local->pool.TakeExpired(m_loop->ReadClock())) {
    ask.unused.push_back({workspace, -ended.tokens, ended.origin});
  }
  if (now >= local->scarce_until) {
    ask.want +=
        std::min(kMostAhead, static_cast<int>(local->demand.PerSecond(now) *
                                              kAhead / kMillisPerSecond));
  }
  return ask;
}

void RateLimiter::Ask(const std::string& workspace) {
  Local&     local = m_locals[workspace];
  const Time now = m_loop->now();
  const bool ahead =
      now < local.plenty_until && local.pool.Available(now) < kLowMark;
  if (local.asking || (local.waiting.empty() && !ahead)) return;
  local.asking = true;
  AskRank(NextAsk(workspace, &local), 0, m_loop->now());
}

void RateLimiter::AskRank(const RateRequest& ask, std::size_t rank,
                          Time asked) {
  const auto homes =
      m_homes_for(RateCoordinatorKey(RatePartitionOf(ask.workspace)));
  if (rank >= std::min(homes.size(), kMostHomes)) {
    RateResponse unsure;
    unsure.unsure = true;
    TakeAnswer(ask, unsure, asked);
    return;
  }
  const auto answered = [this, ask, rank, asked](const RateResponse& answer) {
    if (answer.unsure) {
      // It does not reach the log; who takes its place may.
      AskRank(ask, rank + 1, asked);
    } else {
      TakeAnswer(ask, answer, asked);
    }
  };
  if (homes[rank].name == m_self.name) {
    DeskOf(ask.workspace).RequestTokens(ask, answered);
  } else {
    AskNode(homes[rank], ask, answered);
  }
}

void RateLimiter::AskNode(const programs::NodeInfo&    home,
                          const RateRequest&           ask,
                          const RateCoordinator::Done& done) {
  m_network->SendRequest(
      home,
      [&ask](PeerMessage::Builder message) {
        auto asked = message.initRateAsk();
        asked.setWorkspace(ask.workspace);
        asked.setWant(static_cast<std::uint16_t>(ask.want));
        WriteList(ask.waiting,
                  [&](auto size) { return asked.initWaiting(size); });
        auto steps = asked.initSteps(static_cast<unsigned>(ask.steps.size()));
        for (unsigned i = 0; i < steps.size(); ++i) {
          steps[i].setProgram(ask.steps[i].program);
          steps[i].setTokens(static_cast<std::uint32_t>(ask.steps[i].tokens));
        }
        auto unused =
            asked.initUnused(static_cast<unsigned>(ask.unused.size()));
        for (unsigned i = 0; i < unused.size(); ++i) {
          unused[i].setTokens(static_cast<std::int32_t>(ask.unused[i].tokens));
          unused[i].setOrigin(ask.unused[i].origin);
        }
      },
      m_thresholds->rate_timeout,
      [done](std::optional<PeerMessage::Reader> message) {
        RateResponse answer;
        answer.unsure = !message || !message->isRateAnswer();
        if (!answer.unsure) {
          const auto told = message->getRateAnswer();
          answer.unsure = told.getUnsure();
          answer.tokens = told.getTokens();
          for (const auto program : told.getMayGoOn()) {
            answer.may_go_on.push_back(program);
          }
          answer.origin = told.getOrigin();
          answer.valid = told.getValidMs();
          answer.retry_delay = told.getRetryMs();
          answer.new_program_retry_delay = told.getBeginRetryMs();
          answer.scarce = told.getScarce();
          answer.plenty = told.getPlenty();
        }
        done(answer);
      });
}

void RateLimiter::TakeAnswer(const RateRequest& ask, const RateResponse& answer,
                             Time asked) {
  Local& local = m_locals[ask.workspace];
  local.asking = false;
  if (answer.scarce) local.scarce_until = m_loop->now() + kScarceMemory;
  local.plenty_until = answer.plenty ? m_loop->now() + kScarceMemory : 0;
  const auto paid = std::min<std::int64_t>(local.debt, answer.tokens);
  local.debt -= paid;
  // Counted from when it was asked: the answer took some of the time.
  local.pool.Add({answer.tokens - paid, asked + answer.valid, answer.origin});
  for (Waiter& waiter : local.waiting) {
    const auto& go_on = answer.may_go_on;
    if (std::find(go_on.begin(), go_on.end(), waiter.program) == go_on.end()) {
      continue;
    }
    m_programs[waiter.program] = m_loop->now();
    waiter.known = true;
  }
  ServeWaiting(ask.workspace);
  TurnAway(ask.workspace,
           answer.unsure ? RateLimitOutcome::kUnsure : RateLimitOutcome::kOver,
           answer);
  if (m_locals[ask.workspace].waiting.empty()) return;
  AskLater(ask.workspace,
           answer.unsure ? m_thresholds->reserve_pause
           : answer.tokens > 0
               ? 0
               : std::max<Duration>(answer.retry_delay, kLeastPause));
}

void RateLimiter::AskLater(const std::string& workspace, Duration delay) {
  m_loop->After(delay, [this, workspace] { Ask(workspace); });
}

void RateLimiter::ServeRequest(PeerMessage::Reader       message,
                               const PeerNetwork::Reply& reply) {
  const auto  asked = message.getRateAsk();
  RateRequest ask;
  ask.workspace = asked.getWorkspace().cStr();
  ask.want = asked.getWant();
  for (const auto program : asked.getWaiting()) ask.waiting.push_back(program);
  for (const auto& step : asked.getSteps()) {
    ask.steps.push_back({step.getProgram(), step.getTokens()});
  }
  for (const auto& unused : asked.getUnused()) {
    ask.unused.push_back(
        {ask.workspace, unused.getTokens(), unused.getOrigin()});
  }
  DeskOf(ask.workspace).RequestTokens(ask, [reply](const RateResponse& answer) {
    reply([&answer](PeerMessage::Builder told) {
      auto rate = told.initRateAnswer();
      rate.setUnsure(answer.unsure);
      rate.setTokens(static_cast<std::uint16_t>(answer.tokens));
      WriteList(answer.may_go_on,
                [&](auto size) { return rate.initMayGoOn(size); });
      rate.setOrigin(answer.origin);
      rate.setValidMs(static_cast<std::uint32_t>(answer.valid));
      rate.setRetryMs(static_cast<std::uint32_t>(answer.retry_delay));
      rate.setBeginRetryMs(
          static_cast<std::uint32_t>(answer.new_program_retry_delay));
      rate.setScarce(answer.scarce);
      rate.setPlenty(answer.plenty);
    });
  });
}

}  // namespace yuccawick::gateway

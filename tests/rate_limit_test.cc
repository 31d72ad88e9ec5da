// Rate limits of workspaces on a simulated clock and log: grants never exceed
// the limit of any window, in any order of events, and go to programs that can
// finish.
#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>

#include "yuccawick/workspaces/rate_allocator.h"

namespace yuccawick::tests {
namespace {

using net::Duration;
using net::Time;
using workspaces::LoggedRate;
using workspaces::RateAllocator;
using workspaces::RateLimit;
using workspaces::RateRecord;
using workspaces::RateRequest;
using workspaces::RateResponse;
using workspaces::RateWindow;

const std::string    kWorkspace = "w";
constexpr RateWindow kWindow{5000, 0.1, 20};

// Random simulation of coordinators and nodes on one log. Appends and replies
// may be late or lost, coordinators grant as soon as possible, and nodes use
// their tokens immediately or as late as allowed.
class RateSimulation {
 public:
  RateSimulation(unsigned seed, RateLimit limit, int coordinators)
      : m_random(seed), m_limit(limit) {
    for (int i = 0; i < coordinators; ++i)
      m_coordinators.push_back(NewCoordinator(i));
  }

  void Run(Duration length) {
    const Time end = m_now + length;
    while (m_now < end) {
      m_now += Pick(1, 20);
      DeliverAppends();
      for (Coordinator& coordinator : m_coordinators) Advance(&coordinator);
      if (Pick(0, 400) == 0) RestartAll();
      if (Pick(0, 200) == 0) m_slow_until = m_now + Pick(100, 3000);
    }
  }

  // The maximum number of uses in any window.
  std::size_t MaxUsesInWindow() {
    std::sort(m_uses.begin(), m_uses.end());
    std::size_t max_uses = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < m_uses.size(); ++last) {
      while (m_uses[last] - m_uses[first] >= kWindow.length) ++first;
      max_uses = std::max(max_uses, last - first + 1);
    }
    return max_uses;
  }
  std::size_t uses() const { return m_uses.size(); }
  Time        now() const { return m_now; }

 private:
  struct Coordinator {
    std::string                    node;
    std::unique_ptr<RateAllocator> allocator;
    std::int64_t  next = -1;  // next offset to read; -1: not started
    std::int64_t  last = -1;
    Time          acked = 0;
    bool          waiting = false;  // an append is in flight
    std::uint64_t generation = 0;
    std::optional<RateAllocator::SubmittedRequest> submitted_request;
  };
  // An append on its way to the log, and its reply.
  struct PendingAppend {
    std::size_t                 coordinator = 0;
    std::uint64_t               generation = 0;
    RateRecord                  record;
    Time                        stored_at = 0;
    Time                        reply_at = 0;
    std::optional<std::int64_t> offset;
  };

  int Pick(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(m_random);
  }

  Coordinator NewCoordinator(int number) {
    Coordinator coordinator;
    coordinator.generation = ++m_last_generation;
    coordinator.node = "n" + std::to_string(number) + "/" +
                       std::to_string(coordinator.generation);
    coordinator.allocator = std::make_unique<RateAllocator>(
        [this](const std::string&) { return std::optional(m_limit); }, kWindow);
    return coordinator;
  }

  void RestartAll() {
    for (std::size_t i = 0; i < m_coordinators.size(); ++i) {
      // Some of them keep running.
      if (Pick(0, 3) > 0)
        m_coordinators[i] = NewCoordinator(static_cast<int>(i));
    }
  }

  void Send(Coordinator* coordinator, RateRecord record) {
    const auto number =
        static_cast<std::size_t>(coordinator - m_coordinators.data());
    const Duration extra_delay = m_now < m_slow_until ? Pick(0, 2500) : 0;
    PendingAppend  append{
        number, coordinator->generation, std::move(record), 0, 0, {}};
    append.stored_at = m_now + Pick(1, 10) + extra_delay;
    // One reply in ten is late, possibly beyond the life of its coordinator.
    append.reply_at = append.stored_at + Pick(1, 10) +
                      (Pick(0, 9) == 0 ? Pick(100, 4000) : 0);
    coordinator->waiting = true;
    m_pending_appends.push_back(std::move(append));
  }

  void DeliverAppends() {
    for (PendingAppend& append : m_pending_appends) {
      if (append.offset || append.stored_at > m_now) continue;
      append.offset = static_cast<std::int64_t>(m_log.size());
      m_log.push_back(append.record);
    }
    for (std::size_t i = 0; i < m_pending_appends.size();) {
      if (!m_pending_appends[i].offset ||
          m_pending_appends[i].reply_at > m_now) {
        ++i;
        continue;
      }
      const PendingAppend append = m_pending_appends[i];
      m_pending_appends.erase(m_pending_appends.begin() +
                              static_cast<std::ptrdiff_t>(i));
      Coordinator& coordinator = m_coordinators[append.coordinator];
      if (coordinator.generation == append.generation)
        OnReply(&coordinator, append);
    }
  }

  void OnReply(Coordinator* coordinator, const PendingAppend& append) {
    coordinator->waiting = false;
    const Time sent = append.record.sent;
    if (coordinator->next < 0) {
      std::vector<LoggedRate> before;
      for (std::int64_t i = 0; i < *append.offset; ++i) {
        before.push_back({i, m_log[static_cast<std::size_t>(i)]});
      }
      coordinator->allocator->ledger().Begin(before, m_now);
    } else {
      for (std::int64_t i = coordinator->next; i < *append.offset; ++i) {
        coordinator->allocator->ledger().Apply(
            {i, m_log[static_cast<std::size_t>(i)]}, m_now);
      }
      const LoggedRate claim{*append.offset, append.record};
      coordinator->allocator->ledger().Apply(claim, m_now);
      coordinator->allocator->OnGranted(claim, sent, m_now);
    }
    coordinator->next = *append.offset + 1;
    coordinator->last = *append.offset;
    coordinator->acked = m_now;
  }

  void Advance(Coordinator* coordinator) {
    if (coordinator->next < 0) {
      if (!coordinator->waiting)
        Send(coordinator, {coordinator->node, -1, m_now, 0, {}});
      return;
    }
    if (!coordinator->submitted_request && Pick(0, 2) == 0) {
      RateRequest request;
      request.workspace = kWorkspace;
      request.want = Pick(1, 12);
      for (const auto& unused : m_unused) request.unused.push_back(unused);
      m_unused.clear();
      coordinator->submitted_request =
          coordinator->allocator->Submit(request, m_now);
    }
    if (coordinator->submitted_request) {
      const auto response = coordinator->allocator->TryRespond(
          *coordinator->submitted_request, m_now);
      if (response) {
        coordinator->submitted_request.reset();
        UseTokens(*response);
      }
    }
    if (coordinator->waiting) return;
    auto entries = Pick(0, 9) == 0
                       ? coordinator->allocator->NextReleases(m_now)
                       : coordinator->allocator->NextClaim(10, m_now);
    if (entries.empty()) return;
    Send(coordinator, {coordinator->node, coordinator->last, m_now,
                       coordinator->acked, std::move(entries)});
  }

  void UseTokens(const RateResponse& response) {
    for (int i = 0; i < response.tokens; ++i) {
      if (Pick(0, 9) == 0) {
        m_unused.push_back({kWorkspace, -1, response.origin});
        continue;
      }
      // Used immediately or at the end of its lifetime.
      const bool late = Pick(0, 1) == 0;
      m_uses.push_back(late ? m_now + response.valid - 1 : m_now);
    }
  }

  std::mt19937                       m_random;
  RateLimit                          m_limit;
  Time                               m_now = 1'000'000;
  Time                               m_slow_until = 0;
  std::uint64_t                      m_last_generation = 0;
  std::vector<RateRecord>            m_log;
  std::vector<PendingAppend>         m_pending_appends;
  std::vector<Coordinator>           m_coordinators;
  std::vector<workspaces::RateEntry> m_unused;
  std::vector<Time>                  m_uses;
};

// A single coordinator with its own log and one workspace.
class SingleCoordinator {
 public:
  explicit SingleCoordinator(RateLimit limit)
      : m_limit(limit),
        allocator([this](const std::string&) { return std::optional(m_limit); },
                  kWindow) {
    allocator.ledger().Begin({}, now);
  }

  // Sends a request and appends claims until there is a response.
  RateResponse RequestTokens(RateRequest request) {
    request.workspace = kWorkspace;
    const auto submitted = allocator.Submit(request, now);
    for (;;) {
      if (const auto response = allocator.TryRespond(submitted, now))
        return *response;
      Claim();
    }
  }
  // Uses up to `tokens` tokens; keeps granted tokens in excess, as a node does.
  int TakeTokens(int tokens) {
    for (int taken = 0; taken < tokens; ++taken) {
      if (tokens_held.Take(now)) continue;
      RateRequest request;
      request.want = tokens - taken;
      for (const auto& ended : tokens_held.TakeExpired(now)) {
        request.unused.push_back({kWorkspace, -ended.tokens, ended.origin});
      }
      const RateResponse response = RequestTokens(request);
      tokens_held.Add({response.tokens, now + response.valid, response.origin});
      if (!tokens_held.Take(now)) return taken;
    }
    return tokens;
  }
  // Reports the node's expired tokens to the coordinator.
  void ReportUnused() {
    RateRequest request;
    request.workspace = kWorkspace;
    for (const auto& ended : tokens_held.TakeExpired(now)) {
      request.unused.push_back({kWorkspace, -ended.tokens, ended.origin});
    }
    allocator.Submit(request, now);
  }
  void Claim() { Append(allocator.NextClaim(10, now)); }
  void Append(std::vector<workspaces::RateEntry> entries) {
    if (entries.empty()) return;
    const LoggedRate claim{m_offset, {"n", m_offset - 1, now, now, entries}};
    ++m_offset;
    allocator.ledger().Apply(claim, now);
    allocator.OnGranted(claim, now, now);
  }
  void Pass(Duration time) {
    now += time;
    allocator.Sweep(now);
    Append(allocator.NextReleases(now));
  }

 private:
  std::int64_t m_offset = 0;

 public:
  RateLimit             m_limit;
  Time                  now = 1'000'000;
  RateAllocator         allocator;
  workspaces::TokenPool tokens_held;  // of the node
};

RateRecord Record(const std::string& node, std::int64_t previous, Time sent,
                  Time acked, std::int64_t tokens) {
  return {node, previous, sent, acked, {{kWorkspace, tokens, -1}}};
}

}  // namespace

// Guards against exceeding the limit when four nodes coordinate a workspace
// without receiving each other's messages, with late and lost claims and
// replies, restarts and releases of unused tokens.
Test(RateLimits, ConcurrentCoordinatorsAndLosses_NoWindowExceedsTheLimit) {
  for (const RateLimit limit : {RateLimit{6, 6}, RateLimit{66, 66},
                                RateLimit{3, 0}, RateLimit{300, 20}}) {
    for (unsigned seed = 1; seed <= 40; ++seed) {
      RateSimulation simulation(seed, limit, 4);
      simulation.Run(40'000);
      const auto max_uses = static_cast<double>(simulation.MaxUsesInWindow());
      cr_assert_leq(max_uses, workspaces::Allowance(limit, kWindow),
                    "rate %f, seed %u: %f", limit.per_second, seed, max_uses);
    }
  }
}

// Guards against refusing requests that the limit allows.
Test(RateLimits, SingleCoordinator_GrantsNearlyTheWholeLimit) {
  SingleCoordinator d({66, 66});
  int               granted = 0;
  for (int i = 0; i < 40'000 / 20; ++i) {
    granted += d.TakeTokens(3);  // 150 a second
    d.Pass(20);
  }
  const double spans =
      40'000.0 / static_cast<double>(d.allocator.ledger().Span());
  const double max_granted = spans * workspaces::Allowance(d.m_limit, kWindow);
  cr_assert_geq(granted, 0.95 * max_granted, "%d of %f", granted, max_granted);
}

Test(RateLimits, RequestsBelowTheLimit_NoneIsRefused) {
  SingleCoordinator d({20, 20});
  for (int i = 0; i < 2000; ++i) {
    cr_assert_eq(d.TakeTokens(4), 4, "after %d ms", i * 250);  // 16 a second
    d.Pass(250);
  }
}

// Guards against unused claims that reduce the limit for a whole window.
Test(RateLimits, ClaimedTokensUnused_AreReleased) {
  SingleCoordinator d({20, 20});
  for (int i = 0; i < 40; ++i) {
    cr_assert_eq(d.TakeTokens(2), 2);
    d.Pass(25);
  }
  // All tokens of the node and of the coordinator expire.
  for (int i = 0; i < 3; ++i) {
    d.Pass(workspaces::kRateTokenLifetime);
    d.ReportUnused();
  }
  const double used = workspaces::Allowance(d.m_limit, kWindow) -
                      d.allocator.ledger().Remaining(kWorkspace, d.now);
  cr_assert_eq(used, 80.0, "%f", used);
}

// Guards against releases that free more than was claimed, e.g. when a claim is
// late and follows the releases of its tokens in the log.
Test(RateLimits, InvalidReleases_FreeNoMoreThanWasClaimed) {
  workspaces::RateLedger ledger(
      [](const std::string&) {
        return std::optional(RateLimit{20, 20});
      },
      kWindow);
  ledger.Begin({}, 0);
  const double allowance = ledger.Remaining(kWorkspace, 0);
  ledger.Apply({0, Record("a", -1, 0, 0, 10)}, 0);
  ledger.Apply({1, {"b", -1, 0, 0, {{kWorkspace, -10, 0}}}},
               0);  // not b's claim
  cr_assert_eq(ledger.Remaining(kWorkspace, 0), allowance - 10);
  ledger.Apply({2, {"a", 0, 0, 0, {{kWorkspace, -30, 0}}}}, 0);
  cr_assert_eq(ledger.Remaining(kWorkspace, 0), allowance);
  ledger.Apply({3, Record("a", 2, 0, 0, 7)}, 0);
  ledger.Apply({4, {"a", 3, 0, 0, {{kWorkspace, -7, 2}}}},
               0);  // older origin
  cr_assert_eq(ledger.Remaining(kWorkspace, 0), allowance - 7);
}

Test(RateLimits, LimitLowered_AppliesAtOnce) {
  SingleCoordinator d({100, 100});
  cr_assert_eq(d.TakeTokens(200), 200);
  d.m_limit = {10, 10};
  d.Pass(workspaces::kRateTokenLifetime);  // granted tokens expire
  cr_assert_eq(d.TakeTokens(1), 0);
  d.Pass(d.allocator.ledger().Span());
  cr_assert_geq(d.TakeTokens(100), 60);
}

// Guards against counting expired claims after a full restart.
Test(RateLimits, AllNodesRestart_ExpiredClaimsDoNotCount) {
  std::vector<LoggedRate> claims;
  // A claim every 20 ms for 12 s; each took 6 ms to be acknowledged.
  for (std::int64_t i = 0; i < 600; ++i) {
    claims.push_back({i, Record("a", i - 1, 20 * i, 20 * (i - 1) + 6, 1)});
  }
  const auto ages = workspaces::MinAges(claims);
  for (std::size_t i = 0; i < claims.size(); ++i) {
    const Duration passed = 20 * static_cast<Duration>(claims.size() - 1 - i);
    cr_assert_leq(ages[i], passed);
    cr_assert_geq(ages[i], passed - 6);
  }
  workspaces::RateLedger ledger(
      [](const std::string&) {
        return std::optional(RateLimit{100, 100});
      },
      kWindow);
  ledger.Begin(claims, 0);
  const double used = workspaces::Allowance({100, 100}, kWindow) -
                      ledger.Remaining(kWorkspace, 0);
  cr_assert_leq(used, static_cast<double>(ledger.Span()) / 20 + 3);
}

Test(RateLimits, ClaimsOfSeveralCoordinators_AgesAreNeverOverestimated) {
  std::mt19937 random(7);
  const auto   pick = [&random](int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random);
  };
  for (int round = 0; round < 200; ++round) {
    // By coordinator: offset and acknowledgement time of its last claim.
    std::map<int, std::pair<std::int64_t, Time>> last;
    std::vector<LoggedRate>                      claims;
    std::vector<Time>                            appended;
    Time                                         now = 0;
    for (std::int64_t i = 0; i < 60; ++i) {
      const int  coordinator = pick(0, 2);
      const Time skew = 1000L * coordinator;
      const auto before = last.find(coordinator);
      const Time sent = now + pick(0, 5);
      now = sent + pick(0, 30);
      const Time acked = now + pick(0, 30);
      // A coordinator sends its next claim after that acknowledgement.
      if (before != last.end() && before->second.second > sent + skew) continue;
      RateRecord record =
          Record("n" + std::to_string(coordinator), -1, sent + skew, 0, 1);
      if (before != last.end()) {
        record.previous = before->second.first;
        record.previous_acked = before->second.second;
      }
      const auto offset = static_cast<std::int64_t>(claims.size());
      claims.push_back({offset, record});
      appended.push_back(now);
      last[coordinator] = {offset, acked + skew};
    }
    const auto ages = workspaces::MinAges(claims);
    for (std::size_t i = 0; i < claims.size(); ++i) {
      cr_assert_leq(ages[i], appended.back() - appended[i]);
    }
  }
}

// Guards against cutting programs midway: a workspace sends eight times its
// limit in programs of fifteen requests. Started programs must finish; the
// others are refused at their start, with different retry delays.
Test(RateLimits, WorkspaceFarAboveItsLimit_StartedProgramsFinish) {
  constexpr int     kSteps = 15;
  SingleCoordinator d({50, 50});
  struct Program {
    workspaces::ProgramHash hash = 0;
    int                     steps = 0;
    bool                    admitted = false;
    Time                    next = 0;
    Time                    tried = 0;  // first attempt of the current step
  };
  std::vector<Program>    programs;
  std::set<Duration>      retry_delays;
  workspaces::ProgramHash last = 0;
  int                     refusals = 0;
  int                     aborted = 0;
  int                     ended = 0;
  const Time              begin = d.now;
  while (d.now < begin + 40'000) {
    // 27 programs a second.
    if (d.now / 37 != (d.now - 10) / 37) {
      programs.push_back({++last, 0, false, d.now, 0});
    }
    for (Program& program : programs) {
      if (program.next > d.now) continue;
      RateRequest request;
      if (program.admitted) {
        request.want = 1;
      } else {
        request.waiting = {program.hash};
      }
      if (program.tried == 0) program.tried = d.now;
      if (program.steps > 0) request.steps = {{program.hash, 1}};
      const RateResponse response = d.RequestTokens(request);
      if (response.tokens > 0) {
        program.admitted = true;
        program.tried = 0;
        program.next = d.now + 60;
        ++program.steps;
      } else if (!program.admitted && response.may_go_on.empty()) {
        ++refusals;
        retry_delays.insert(response.new_program_retry_delay);
        program.steps = -1;
      } else if (d.now - program.tried > 1000) {
        ++aborted;
        program.steps = -1;
      } else {
        program.admitted = true;
        program.next = d.now + std::max<Duration>(25, response.retry_delay);
      }
    }
    std::erase_if(programs, [&ended](const Program& program) {
      if (program.steps == kSteps) ++ended;
      return program.steps < 0 || program.steps == kSteps;
    });
    d.Pass(10);
  }
  // The limit of 50 per second and the burst allow 3.6 programs per second.
  cr_assert_geq(ended, 100, "%d ended, %d aborted, %d refused", ended, aborted,
                refusals);
  cr_assert_leq(aborted, ended / 5, "%d ended, %d aborted, %d refused", ended,
                aborted, refusals);
  cr_assert_geq(retry_delays.size(), 20);
}

// Guards against refusing every program of a workspace whose limit is below the
// need of one program.
Test(RateLimits, LimitBelowOneProgramsNeed_ProgramIsStillStarted) {
  constexpr RateWindow                kExact{5000, 0, 0};
  workspaces::RateLedger::LimitLookup limit_of = [](const std::string&) {
    return std::optional(RateLimit{1, 0});
  };
  RateAllocator allocator(limit_of, kExact);
  allocator.ledger().Begin({}, 0);
  RateRequest request;
  request.workspace = kWorkspace;
  request.waiting = {17};
  const auto submitted = allocator.Submit(request, 0);
  cr_assert_eq(submitted.may_go_on.size(), 1);
  cr_assert_not(submitted.refused);
}

}  // namespace yuccawick::tests

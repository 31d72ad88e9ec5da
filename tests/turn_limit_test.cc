// Tests of the concurrency limit and the dispatch queue: nodes detect the limit
// of the servers, and under overload complete some programs in time instead of
// delaying all of them.
#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "yuccawick/gateway/turn_dispatcher.h"

namespace yuccawick::tests {
namespace {

using gateway::TurnDispatcher;
using net::Duration;
using net::Time;
using traffic::ConcurrencyLimit;
using traffic::ConcurrencyLimitSettings;

// Limits turns once first events exceed their target latency.
constexpr ConcurrencyLimitSettings kEnabled{1.0};
constexpr unsigned                 kSeeds = 5;
constexpr int                      kServers = 12;
constexpr int                      kSlots = 6;
// Latency of the first event at an idle and at a full server (ms).
constexpr Duration                 kFirstEvent = 50;
constexpr Duration                 kFirstEventAtFull = 100;
// Target latency of first events (ms).
constexpr Duration                 kTargetLatency = 200;
constexpr Duration                 kTurnTime = 160;  // ms in a slot
constexpr int                      kNodes = 6;
constexpr int                      kTurnsPerProgram = 6;
constexpr Duration                 kThinkTime = 30;  // ms

// Simulates programs of consecutive turns on servers with slots and FIFO
// queues, with or without a dispatcher on each node. The clock advances in
// steps of 1 ms.
class BurstSimulation {
 public:
  BurstSimulation(unsigned seed, bool with_dispatchers)
      : m_random(seed),
        m_loop([this] { return m_now; }),
        m_use_dispatchers(with_dispatchers) {
    for (int i = 0; i < kNodes; ++i) {
      m_dispatchers.push_back(
          std::make_unique<TurnDispatcher>(&m_loop, kEnabled));
    }
  }

  struct Outcome {
    int started = 0;
    int in_time = 0;
  };

  // Starts `per_second` programs, and `factor` times as many from 4 to 8 s.
  // Counts the programs started from 4 to 10 s.
  Outcome Run(double per_second, double factor) {
    for (m_now = 0; m_now < 20'000; ++m_now) {
      const bool   burst = m_now >= 4000 && m_now < 8000;
      const double rate = per_second * (burst ? factor : 1.0) / 1000;
      std::poisson_distribution<int> arrivals(rate);
      for (int i = arrivals(m_random); i > 0; --i) StartProgram();
      RunEvents();
      for (Server& server : m_servers) Serve(&server);
      m_loop.RunOnce(0);
      if (m_now % 50 == 0) {
        for (auto& dispatcher : m_dispatchers) dispatcher->Sweep();
      }
    }
    Outcome outcome;
    for (const Program& program : m_programs) {
      if (program.start_time < 4000 || program.start_time >= 10'000) continue;
      ++outcome.started;
      const bool in_time = program.end_time > 0 &&
                           program.end_time - program.start_time <= kDeadline;
      outcome.in_time += in_time ? 1 : 0;
    }
    return outcome;
  }

  // Throughput of all servers in programs per second.
  static double Capacity() {
    return kServers * kSlots * 1000.0 / kTurnTime / kTurnsPerProgram;
  }

 private:
  // Deadline: 1.5 times the duration without queueing (ms).
  static constexpr Duration kDeadline =
      kTurnsPerProgram * (kTurnTime + kThinkTime) * 3 / 2;

  struct Program {
    std::string        id;
    Time               start_time = 0;
    Time               end_time = 0;
    int                turns = 0;
    TurnDispatcher::Id dispatch_id = 0;
  };
  struct Server {
    std::vector<std::pair<Time, std::size_t>> running;  // end, program
    std::deque<std::size_t>                   queue;
  };

  void StartProgram() {
    Program program;
    program.id = "p" + std::to_string(m_programs.size());
    program.start_time = m_now;
    m_programs.push_back(program);
    StartTurn(m_programs.size() - 1);
  }

  TurnDispatcher& DispatcherFor(std::size_t program) {
    // Each turn uses another node.
    return *m_dispatchers[(program + static_cast<std::size_t>(
                                         m_programs[program].turns)) %
                          kNodes];
  }

  void StartTurn(std::size_t number) {
    if (!m_use_dispatchers) {
      Send(number);
      return;
    }
    Program&       program = m_programs[number];
    const Duration left = kDeadline - (m_now - program.start_time);
    program.dispatch_id = DispatcherFor(number).Enqueue(
        "llm", traffic::QueueRank(program.id, 0, left), kTargetLatency,
        [this, number] { Send(number); });
  }

  // Sends to the less loaded of two random servers, as nodes with outdated
  // peer reports do.
  void Send(std::size_t number) {
    std::uniform_int_distribution<std::size_t> pick(0, kServers - 1);
    Server*                                    a = &m_servers[pick(m_random)];
    Server*                                    b = &m_servers[pick(m_random)];
    const auto                                 load = [](const Server* server) {
      return server->running.size() + server->queue.size();
    };
    (load(a) <= load(b) ? a : b)->queue.push_back(number);
  }

  void Serve(Server* server) {
    for (std::size_t i = 0; i < server->running.size();) {
      const auto [until, number] = server->running[i];
      if (until > m_now) {
        ++i;
        continue;
      }
      server->running.erase(server->running.begin() +
                            static_cast<std::ptrdiff_t>(i));
      EndTurn(number);
    }
    while (server->running.size() < kSlots && !server->queue.empty()) {
      const std::size_t number = server->queue.front();
      server->queue.pop_front();
      server->running.emplace_back(m_now + kTurnTime, number);
      const auto     running = static_cast<Duration>(server->running.size());
      const Duration first = kFirstEvent + (kFirstEventAtFull - kFirstEvent) *
                                               (running - 1) / (kSlots - 1);
      if (m_use_dispatchers)
        m_events.emplace(m_now + first, std::pair(number, true));
    }
  }

  void EndTurn(std::size_t number) {
    Program& program = m_programs[number];
    if (m_use_dispatchers) DispatcherFor(number).Release(&program.dispatch_id);
    if (++program.turns == kTurnsPerProgram) {
      program.end_time = m_now;
      return;
    }
    m_events.emplace(m_now + kThinkTime, std::pair(number, false));
  }

  void RunEvents() {
    while (!m_events.empty() && m_events.begin()->first <= m_now) {
      const auto [number, first_event] = m_events.begin()->second;
      m_events.erase(m_events.begin());
      if (first_event) {
        DispatcherFor(number).FirstEvent(m_programs[number].dispatch_id);
      } else {
        StartTurn(number);
      }
    }
  }

  std::mt19937                                      m_random;
  Time                                              m_now = 0;
  net::EventLoop                                    m_loop;
  bool                                              m_use_dispatchers;
  std::vector<std::unique_ptr<TurnDispatcher>>      m_dispatchers;
  std::vector<Program>                              m_programs;
  std::array<Server, kServers>                      m_servers;
  std::multimap<Time, std::pair<std::size_t, bool>> m_events;
};

BurstSimulation::Outcome RunSeeds(bool with_dispatchers, double load,
                                  double factor) {
  BurstSimulation::Outcome sum;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    BurstSimulation burst(seed, with_dispatchers);
    const auto outcome = burst.Run(load * BurstSimulation::Capacity(), factor);
    sum.started += outcome.started;
    sum.in_time += outcome.in_time;
  }
  return sum;
}

}  // namespace

// Guards against a burst of twice the capacity delaying every program: with the
// dispatchers, programs with a low rank still end in time.
Test(TurnLimits, BurstOfTwiceTheCapacity_LowRankedProgramsEndInTime) {
  const auto without = RunSeeds(false, 0.7, 2.9);
  const auto with = RunSeeds(true, 0.7, 2.9);
  cr_assert_geq(with.in_time, 3 * without.in_time, "%d of %d, %d of %d",
                without.in_time, without.started, with.in_time, with.started);
}

// Guards against low goodput in the same burst: programs worth half of the
// capacity, until two seconds after its end, must end in time.
Test(TurnLimits, BurstOfTwiceWhatIsCarried_HalfOfWhatIsCarriedEndsInTime) {
  constexpr double kSeconds = 6;
  const auto       with = RunSeeds(true, 0.7, 2.9);
  const double     capacity = kSeeds * kSeconds * BurstSimulation::Capacity();
  cr_assert_geq(2 * with.in_time, capacity, "%d of %f", with.in_time, capacity);
}

// Guards against dispatchers delaying turns below capacity.
Test(TurnLimits, LoadBelowCapacity_NoAddedDelay) {
  const auto without = RunSeeds(false, 0.6, 1.0);
  const auto with = RunSeeds(true, 0.6, 1.0);
  cr_assert_geq(100 * with.in_time, 99 * without.in_time, "%d, %d",
                without.in_time, with.in_time);
}

Test(TurnLimits, FirstEventsSlowDown_LimitFallsAndRecovers) {
  ConcurrencyLimit limit(kEnabled);
  Time             now = 1000;
  const auto       observe = [&](Duration took, int under_way, int rounds) {
    for (int i = 0; i < rounds; ++i) {
      now += 20;
      limit.Observe(took, 120, now);
      limit.MayStart(under_way, now);
    }
  };
  observe(50, 20, 50);
  cr_assert_not(limit.bounded());
  observe(400, 20, 30);
  cr_assert(limit.bounded());
  cr_assert_leq(limit.limit(), 18);
  cr_assert_not(limit.MayStart(20, now));
  observe(50, 5, 100);
  cr_assert(limit.MayStart(20, now));
}

Test(TurnLimits, Disabled_NoTurnIsLimited) {
  ConcurrencyLimit limit({});
  for (Time now = 1000; now < 3000; now += 10) {
    limit.Observe(5000, 120, now);
    cr_assert(limit.MayStart(1000, now));
  }
}

// Guards against a limit of zero: a node that sends nothing would not notice
// that the servers have recovered.
Test(TurnLimits, ServersSlowForLong_SomeTurnsAreStillSent) {
  ConcurrencyLimit limit(kEnabled);
  Time             now = 1000;
  for (int i = 0; i < 500; ++i) {
    now += 20;
    limit.Observe(i < 20 ? 50 : 3000, 120, now);
    limit.MayStart(2, now);
  }
  cr_assert(limit.MayStart(1, now));
}

Test(TurnLimits, QueueRank_IsDeterministicAndLateProgramsComeLast) {
  const double rank = traffic::QueueRank("w\nprogram", 0, 500);
  cr_assert_eq(rank, traffic::QueueRank("w\nprogram", 0, 20));
  cr_assert_geq(rank, 0);
  cr_assert_lt(rank, 1);
  cr_assert_lt(rank, traffic::QueueRank("w\nprogram", 1, 500));
  cr_assert_gt(traffic::QueueRank("w\nprogram", 0, 0),
               traffic::QueueRank("w\nother", 5, 1));
}

// Guards against released turns that stay queued, and against capacity that is
// not passed on when a running turn ends.
Test(TurnDispatching, WaitingTurnsReleasedOrStarted_InRankOrder) {
  Time                            now = 1000;
  net::EventLoop                  loop([&now] { return now; });
  TurnDispatcher                  dispatcher(&loop, kEnabled);
  std::vector<TurnDispatcher::Id> sent;
  // First events slow down from 50 to 600 ms, which activates the limit.
  for (const int took : {50, 600}) {
    const std::size_t first = sent.size();
    for (int i = 0; i < 8; ++i)
      sent.push_back(dispatcher.Enqueue("llm", 0, 120, [] {}));
    now += took;
    loop.RunOnce(0);
    for (std::size_t i = first; i < sent.size(); ++i)
      dispatcher.FirstEvent(sent[i]);
  }
  cr_assert_eq(dispatcher.waiting(), 0);
  std::vector<char>  start_order;
  TurnDispatcher::Id b = dispatcher.Enqueue(
      "llm", 0.5, 120, [&start_order] { start_order.push_back('b'); });
  TurnDispatcher::Id c = dispatcher.Enqueue(
      "llm", 0.9, 120, [&start_order] { start_order.push_back('c'); });
  TurnDispatcher::Id a = dispatcher.Enqueue(
      "llm", 0.1, 120, [&start_order] { start_order.push_back('a'); });
  cr_assert(start_order.empty());
  cr_assert_eq(dispatcher.waiting(), 3);
  dispatcher.Release(&b);
  cr_assert_eq(dispatcher.waiting(), 2);
  for (TurnDispatcher::Id& id : sent) dispatcher.Release(&id);
  loop.RunOnce(0);
  cr_assert_eq(start_order.size(), 2);
  cr_assert_eq(start_order[0], 'a');
  cr_assert_eq(start_order[1], 'c');
  dispatcher.Release(&a);
  dispatcher.Release(&c);
}

}  // namespace yuccawick::tests

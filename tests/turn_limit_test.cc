// Where turns wait when there are more than the servers carry, and which go
// first: a node finds the servers' limit by itself, and programs end in time in
// a burst, not a little of each.
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

// The limit sets in where first events miss their objective.
constexpr ConcurrencyLimitSettings kOn{1.0};
constexpr unsigned                 kSeeds = 5;
constexpr int                      kServers = 12;
constexpr int                      kSlots = 6;
// ms until the first event at an idle server, and at one whose slots are full.
constexpr Duration                 kFirst = 50;
constexpr Duration                 kFirstFull = 100;
// Within what time first events are to come, in ms.
constexpr Duration                 kObjective = 200;
constexpr Duration kTurn = 160;  // ms that a turn holds its slot
constexpr int      kNodes = 6;
constexpr int      kTurnsOfProgram = 6;
constexpr Duration kTool = 30;  // ms between two turns

// Servers with slots, each with a queue in the order of coming; nodes with a
// gate each, or none; programs of some turns, one after the other. A step of
// the clock is a millisecond.
class Burst {
 public:
  Burst(unsigned seed, bool gates)
      : m_random(seed), m_loop([this] { return m_now; }), m_gates_on(gates) {
    for (int i = 0; i < kNodes; ++i) {
      m_gates.push_back(std::make_unique<TurnDispatcher>(&m_loop, kOn));
    }
  }

  struct Outcome {
    int begun = 0;
    int in_time = 0;
  };

  // Programs begin at `per_second`, `factor` times as many from 4 to 8 s; those
  // that began from then until 10 s count.
  Outcome Run(double per_second, double factor) {
    for (m_now = 0; m_now < 20'000; ++m_now) {
      const bool   burst = m_now >= 4000 && m_now < 8000;
      const double rate = per_second * (burst ? factor : 1.0) / 1000;
      std::poisson_distribution<int> arrivals(rate);
      for (int i = arrivals(m_random); i > 0; --i) Begin();
      RunDue();
      for (Server& server : m_servers) Serve(&server);
      m_loop.RunOnce(0);
      if (m_now % 50 == 0) {
        for (auto& gate : m_gates) gate->Sweep();
      }
    }
    Outcome outcome;
    for (const Program& program : m_programs) {
      if (program.began < 4000 || program.began >= 10'000) continue;
      ++outcome.begun;
      const bool in_time =
          program.ended > 0 && program.ended - program.began <= kAim;
      outcome.in_time += in_time ? 1 : 0;
    }
    return outcome;
  }

  // What the servers carry, in programs a second.
  static double Capacity() {
    return kServers * kSlots * 1000.0 / kTurn / kTurnsOfProgram;
  }

 private:
  // One and a half times what a program takes alone.
  static constexpr Duration kAim = kTurnsOfProgram * (kTurn + kTool) * 3 / 2;

  struct Program {
    std::string        id;
    Time               began = 0;
    Time               ended = 0;
    int                turns = 0;
    TurnDispatcher::Id at_gate = 0;
  };
  struct Server {
    std::vector<std::pair<Time, std::size_t>> running;  // until, program
    std::deque<std::size_t>                   queue;
  };

  void Begin() {
    Program program;
    program.id = "p" + std::to_string(m_programs.size());
    program.began = m_now;
    m_programs.push_back(program);
    NextTurn(m_programs.size() - 1);
  }

  TurnDispatcher& GateOf(std::size_t program) {
    // Another node for each turn.
    return *m_gates[(program +
                     static_cast<std::size_t>(m_programs[program].turns)) %
                    kNodes];
  }

  void NextTurn(std::size_t number) {
    if (!m_gates_on) {
      Send(number);
      return;
    }
    Program&       program = m_programs[number];
    const Duration left = kAim - (m_now - program.began);
    program.at_gate =
        GateOf(number).Enqueue("llm", traffic::QueueRank(program.id, 0, left),
                               kObjective, [this, number] { Send(number); });
  }

  // To a server by chance, the less busy of two: news of others are old.
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
      server->running.emplace_back(m_now + kTurn, number);
      const auto     running = static_cast<Duration>(server->running.size());
      const Duration first =
          kFirst + (kFirstFull - kFirst) * (running - 1) / (kSlots - 1);
      if (m_gates_on) m_due.emplace(m_now + first, std::pair(number, true));
    }
  }

  void EndTurn(std::size_t number) {
    Program& program = m_programs[number];
    if (m_gates_on) GateOf(number).Release(&program.at_gate);
    if (++program.turns == kTurnsOfProgram) {
      program.ended = m_now;
      return;
    }
    m_due.emplace(m_now + kTool, std::pair(number, false));
  }

  void RunDue() {
    while (!m_due.empty() && m_due.begin()->first <= m_now) {
      const auto [number, first_event] = m_due.begin()->second;
      m_due.erase(m_due.begin());
      if (first_event) {
        GateOf(number).FirstEvent(m_programs[number].at_gate);
      } else {
        NextTurn(number);
      }
    }
  }

  std::mt19937                                      m_random;
  Time                                              m_now = 0;
  net::EventLoop                                    m_loop;
  bool                                              m_gates_on;
  std::vector<std::unique_ptr<TurnDispatcher>>      m_gates;
  std::vector<Program>                              m_programs;
  std::array<Server, kServers>                      m_servers;
  std::multimap<Time, std::pair<std::size_t, bool>> m_due;
};

Burst::Outcome Sum(bool gates, double load, double factor) {
  Burst::Outcome sum;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    Burst      burst(seed, gates);
    const auto outcome = burst.Run(load * Burst::Capacity(), factor);
    sum.begun += outcome.begun;
    sum.in_time += outcome.in_time;
  }
  return sum;
}

}  // namespace

// A burst brings twice what the servers carry for four seconds. Served in the
// order of coming, all turns wait and nearly every program of that time is
// late. Where turns wait at the nodes, programs in front end in time.
Test(TurnLimits, BurstOfTwiceWhatIsCarried_ProgramsInFrontEndInTime) {
  const auto without = Sum(false, 0.7, 2.9);
  const auto with = Sum(true, 0.7, 2.9);
  cr_assert_geq(with.in_time, 3 * without.in_time, "%d of %d, %d of %d",
                without.in_time, without.begun, with.in_time, with.begun);
}

// The same burst. The aim: half of what the servers carry, from its beginning
// to two seconds after its end, ends in time, whatever comes beside it.
Test(TurnLimits, BurstOfTwiceWhatIsCarried_HalfOfWhatIsCarriedEndsInTime) {
  constexpr double kSeconds = 6;
  const auto       with = Sum(true, 0.7, 2.9);
  const double     carried = kSeeds * kSeconds * Burst::Capacity();
  cr_assert_geq(2 * with.in_time, carried, "%d of %f", with.in_time, carried);
}

// Below what the servers carry the gates stop nobody.
Test(TurnLimits, LoadThatIsCarried_NobodyWaitsLonger) {
  const auto without = Sum(false, 0.6, 1.0);
  const auto with = Sum(true, 0.6, 1.0);
  cr_assert_geq(100 * with.in_time, 99 * without.in_time, "%d, %d",
                without.in_time, with.in_time);
}

Test(TurnLimits, FirstEventsGrowSlow_LimitFallsAndGrowsAgain) {
  ConcurrencyLimit limit(kOn);
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

Test(TurnLimits, NotSwitchedOn_NobodyIsHeld) {
  ConcurrencyLimit limit({});
  for (Time now = 1000; now < 3000; now += 10) {
    limit.Observe(5000, 120, now);
    cr_assert(limit.MayStart(1000, now));
  }
}

// The limit never keeps a node from sending at all, or it would not learn that
// the servers are quick again.
Test(TurnLimits, ServersSlowForLong_SomeTurnsAreAlwaysSent) {
  ConcurrencyLimit limit(kOn);
  Time             now = 1000;
  for (int i = 0; i < 500; ++i) {
    now += 20;
    limit.Observe(i < 20 ? 50 : 3000, 120, now);
    limit.MayStart(2, now);
  }
  cr_assert(limit.MayStart(1, now));
}

Test(TurnLimits, PlacesOfPrograms_AreTheSameEverywhereAndLateOnesLast) {
  const double place = traffic::QueueRank("w\nprogram", 0, 500);
  cr_assert_eq(place, traffic::QueueRank("w\nprogram", 0, 20));
  cr_assert_geq(place, 0);
  cr_assert_lt(place, 1);
  cr_assert_lt(place, traffic::QueueRank("w\nprogram", 1, 500));
  cr_assert_gt(traffic::QueueRank("w\nprogram", 0, 0),
               traffic::QueueRank("w\nother", 5, 1));
}

// Who waits and gives up leaves no trace; who goes makes room for the next.
Test(TurnGates, TurnsThatWaitLeaveOrGo_InTheirOrder) {
  Time                            now = 1000;
  net::EventLoop                  loop([&now] { return now; });
  TurnDispatcher                  gate(&loop, kOn);
  std::vector<TurnDispatcher::Id> sent;
  // First events after 50 ms, then after 600: the limit sets in.
  for (const int took : {50, 600}) {
    const std::size_t first = sent.size();
    for (int i = 0; i < 8; ++i)
      sent.push_back(gate.Enqueue("llm", 0, 120, [] {}));
    now += took;
    loop.RunOnce(0);
    for (std::size_t i = first; i < sent.size(); ++i) gate.FirstEvent(sent[i]);
  }
  cr_assert_eq(gate.waiting(), 0);
  std::vector<char>  went;
  TurnDispatcher::Id b =
      gate.Enqueue("llm", 0.5, 120, [&went] { went.push_back('b'); });
  TurnDispatcher::Id c =
      gate.Enqueue("llm", 0.9, 120, [&went] { went.push_back('c'); });
  TurnDispatcher::Id a =
      gate.Enqueue("llm", 0.1, 120, [&went] { went.push_back('a'); });
  cr_assert(went.empty());
  cr_assert_eq(gate.waiting(), 3);
  gate.Release(&b);
  cr_assert_eq(gate.waiting(), 2);
  for (TurnDispatcher::Id& id : sent) gate.Release(&id);
  loop.RunOnce(0);
  cr_assert_eq(went.size(), 2);
  cr_assert_eq(went[0], 'a');
  cr_assert_eq(went[1], 'c');
  gate.Release(&a);
  gate.Release(&c);
}

}  // namespace yuccawick::tests

// Tests the order in which a node's waiting turns start.
#include "yuccawick/gateway/turn_dispatcher.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace yuccawick::tests {
namespace {

using gateway::TurnDispatcher;
using net::Duration;
using net::Time;
using traffic::QueueRank;

constexpr Duration kTargetLatency = 120;  // ms

// A dispatcher whose limit is reached, so that further turns wait.
class FullDispatcherFixture {
 public:
  FullDispatcherFixture() {
    constexpr int kTurns = 8;
    for (const Duration latency : {50, 600}) {
      const std::size_t first = m_running.size();
      for (int i = 0; i < kTurns; ++i)
        m_running.push_back(dispatcher.Enqueue("s", 0, kTargetLatency, [] {}));
      Wait(latency);
      for (std::size_t i = first; i < m_running.size(); ++i)
        dispatcher.FirstEvent(m_running[i]);
    }
    cr_assert_eq(dispatcher.waiting(), 0);
  }

  TurnDispatcher::Id Enqueue(const std::string& program, Duration left) {
    return dispatcher.Enqueue("s", QueueRank(program, 0, left), kTargetLatency,
                              [this, program] { started.push_back(program); });
  }
  void Wait(Duration duration) {
    m_now += duration;
    m_loop.RunOnce(0);
  }
  void EndRunningTurns() {
    for (TurnDispatcher::Id& id : m_running) dispatcher.Release(&id);
    m_loop.RunOnce(0);
  }

 private:
  Time           m_now = 1000;
  net::EventLoop m_loop{[this] { return m_now; }};

 public:
  TurnDispatcher           dispatcher{&m_loop, {1.0}};
  std::vector<std::string> started;

 private:
  std::vector<TurnDispatcher::Id> m_running;
};

// Two programs; the first one ranks before the second one.
struct RankedPair {
  std::string first = "a";
  std::string second = "b";
  RankedPair() {
    if (QueueRank(first, 0, 1) > QueueRank(second, 0, 1)) first.swap(second);
  }
};

// Guards against turns that became late while they waited and start before
// turns whose programs can still end in time.
Test(TurnDispatching,
     ProgramBecomesLateWhileWaiting_StartsAfterProgramsInTime) {
  FullDispatcherFixture fixture;
  const RankedPair      programs;
  fixture.Enqueue(programs.first, 100);
  fixture.Enqueue(programs.second, 5000);
  fixture.Wait(200);
  fixture.EndRunningTurns();
  cr_assert_eq(fixture.started.size(), 2);
  cr_assert_eq(fixture.started[0], programs.second);
  cr_assert_eq(fixture.started[1], programs.first);
}

Test(TurnDispatching, ProgramsStillInTime_StartInRankOrder) {
  FullDispatcherFixture fixture;
  const RankedPair      programs;
  fixture.Enqueue(programs.second, 5000);
  fixture.Enqueue(programs.first, 300);
  fixture.Wait(200);
  fixture.EndRunningTurns();
  cr_assert_eq(fixture.started.size(), 2);
  cr_assert_eq(fixture.started[0], programs.first);
}

// Guards against deadlines of turns that no longer wait.
Test(TurnDispatching, TurnReleasedBeforeItsDeadline_OthersStart) {
  FullDispatcherFixture fixture;
  const RankedPair      programs;
  TurnDispatcher::Id    released = fixture.Enqueue(programs.first, 100);
  fixture.Enqueue(programs.second, 100);
  fixture.dispatcher.Release(&released);
  fixture.Wait(200);
  fixture.EndRunningTurns();
  cr_assert_eq(fixture.started.size(), 1);
  cr_assert_eq(fixture.started[0], programs.second);
}

}  // namespace
}  // namespace yuccawick::tests

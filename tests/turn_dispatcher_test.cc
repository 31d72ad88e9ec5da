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
    // First events slow down from 50 to 600 ms, which activates the limit.
    for (const Duration latency : {50, 600}) {
      const std::size_t first = m_running.size();
      for (int i = 0; i < kTurns; ++i) {
        m_running.push_back(
            m_dispatcher.Enqueue("s", 0, kTargetLatency, [] {}));
      }
      Wait(latency);
      for (std::size_t i = first; i < m_running.size(); ++i)
        m_dispatcher.FirstEvent(m_running[i]);
    }
    cr_assert_eq(m_dispatcher.waiting(), 0);
  }

  // `left`: ms until the deadline of the program.
  TurnDispatcher::Id Enqueue(const std::string& program, Duration left) {
    return m_dispatcher.Enqueue(
        "s", QueueRank(program, 0, left), kTargetLatency,
        [this, program] { m_started.push_back(program); });
  }
  void Release(TurnDispatcher::Id id) { m_dispatcher.Release(&id); }
  void Wait(Duration duration) {
    m_now += duration;
    m_loop.RunOnce(0);
  }
  void EndRunningTurns() {
    for (TurnDispatcher::Id& id : m_running) m_dispatcher.Release(&id);
    m_loop.RunOnce(0);
  }
  const std::vector<std::string>& started() const { return m_started; }

 private:
  Time                            m_now = 1000;
  net::EventLoop                  m_loop{[this] { return m_now; }};
  TurnDispatcher                  m_dispatcher{&m_loop, {1.0}};
  std::vector<TurnDispatcher::Id> m_running;
  std::vector<std::string>        m_started;
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
  cr_assert_eq(fixture.started().size(), 2);
  cr_assert_eq(fixture.started()[0], programs.second);
  cr_assert_eq(fixture.started()[1], programs.first);
}

Test(TurnDispatching, ProgramsStillInTime_StartInRankOrder) {
  FullDispatcherFixture fixture;
  const RankedPair      programs;
  fixture.Enqueue(programs.second, 5000);
  fixture.Enqueue(programs.first, 300);
  fixture.Wait(200);
  fixture.EndRunningTurns();
  cr_assert_eq(fixture.started().size(), 2);
  cr_assert_eq(fixture.started()[0], programs.first);
}

// Guards against deadlines of turns that no longer wait.
Test(TurnDispatching, TurnReleasedBeforeItsDeadline_OthersStart) {
  FullDispatcherFixture fixture;
  const RankedPair      programs;
  const auto            released = fixture.Enqueue(programs.first, 100);
  fixture.Enqueue(programs.second, 100);
  fixture.Release(released);
  fixture.Wait(200);
  fixture.EndRunningTurns();
  cr_assert_eq(fixture.started().size(), 1);
  cr_assert_eq(fixture.started()[0], programs.second);
}

}  // namespace
}  // namespace yuccawick::tests

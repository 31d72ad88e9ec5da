// Urgency of turns at full servers, and its benefit for programs.
#include "yuccawick/traffic/urgency.h"

#include <criterion/criterion.h>

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <tuple>
#include <vector>

namespace yuccawick::tests {
namespace {

using net::Duration;
using net::Time;
using traffic::ComputeUrgency;

Test(Urgency, LessTimeLeft_IsNeverLessUrgent) {
  for (int priority = 0; priority < 6; ++priority) {
    for (Duration left = -1000; left < 10'000; left += 50) {
      cr_assert_leq(ComputeUrgency(priority, left),
                    ComputeUrgency(priority, left + 50));
      cr_assert_leq(ComputeUrgency(priority, left),
                    ComputeUrgency(priority + 1, left));
    }
  }
  cr_assert_eq(ComputeUrgency(-1, -5), 0);
  cr_assert_leq(ComputeUrgency(1000, std::nullopt), traffic::kLeastUrgent);
}

// Simulates programs of several turns at servers that run the most urgent
// waiting turn whenever a slot is free. Times in ms.
class Burst {
 public:
  using Policy = std::function<int(Duration left)>;

  Burst(unsigned seed, Policy policy)
      : m_random(seed), m_policy(std::move(policy)) {}

  // Returns the share of programs that end in time.
  double Run() {
    for (double at = 0; at < kLength; at += DrawGap(at)) {
      const int      turns = 2 + static_cast<int>(m_random() % 5);
      const Duration idle = turns * kTurn + (turns - 1) * kPause;
      const auto     begin = static_cast<Time>(at);
      m_programs.push_back({turns, begin + idle * 13 / 10 + kSlack});
      m_events[begin].push_back(
          [this, i = m_programs.size() - 1] { SubmitTurn(i); });
    }
    while (!m_events.empty()) {
      m_now = m_events.begin()->first;
      const auto current_events = std::move(m_events.begin()->second);
      m_events.erase(m_events.begin());
      for (const auto& event : current_events) event();
      StartTurns();
    }
    return static_cast<double>(m_in_time) /
           static_cast<double>(m_programs.size());
  }

 private:
  struct Program {
    int  turns = 0;
    Time deadline = 0;
  };
  struct Waiting {
    int         urgency = 0;
    Time        since = 0;
    std::size_t program = 0;
    bool        operator<(const Waiting& other) const {
             return std::tie(urgency, since, program) >
                    std::tie(other.urgency, other.since, other.program);
    }
  };
  static constexpr int      kSlots = 60;
  static constexpr Duration kTurn = 180;
  static constexpr Duration kPause = 60;
  static constexpr Duration kSlack = 250;
  static constexpr double   kLength = 12'000;

  // Mean gap between programs: load 0.75, and 1.5 for four seconds.
  double DrawGap(double at) {
    constexpr double kMeanTurns = 4;
    constexpr double kFull = kTurn * kMeanTurns / kSlots;
    const double     load = at > 3000 && at < 7000 ? 1.5 : 0.75;
    return std::exponential_distribution<double>(load / kFull)(m_random);
  }
  void SubmitTurn(std::size_t program) {
    const Duration left = m_programs[program].deadline - m_now;
    m_waiting.push({m_policy(left), m_now, program});
  }
  void StartTurns() {
    while (m_busy < kSlots && !m_waiting.empty()) {
      const std::size_t program = m_waiting.top().program;
      m_waiting.pop();
      ++m_busy;
      m_events[m_now + kTurn].push_back([this, program] { EndTurn(program); });
    }
  }
  void EndTurn(std::size_t program) {
    --m_busy;
    Program& ended = m_programs[program];
    if (--ended.turns > 0) {
      m_events[m_now + kPause].push_back(
          [this, program] { SubmitTurn(program); });
    } else if (m_now <= ended.deadline) {
      ++m_in_time;
    }
  }

  std::mt19937                                       m_random;
  Policy                                             m_policy;
  Time                                               m_now = 0;
  int                                                m_busy = 0;
  int                                                m_in_time = 0;
  std::vector<Program>                               m_programs;
  std::priority_queue<Waiting>                       m_waiting;
  std::map<Time, std::vector<std::function<void()>>> m_events;
};

Test(Urgency, BurstAboveCapacity_MoreProgramsEndInTime) {
  // Guards against urgency levels without benefit: with each seed, more
  // programs end in time than with first come, first served.
  for (unsigned seed = 1; seed <= 8; ++seed) {
    const double first_come = Burst(seed, [](Duration) { return 0; }).Run();
    const double urgent = Burst(seed, [](Duration left) {
                            return ComputeUrgency(0, left);
                          }).Run();
    cr_expect_gt(urgent, first_come + 0.05, "seed %u: %.3f against %.3f", seed,
                 urgent, first_come);
  }
}

}  // namespace
}  // namespace yuccawick::tests

// Limits the turns that a node runs at the model servers, and orders the turns
// that wait.
//
// In a burst above capacity, a model server serves as many turns as it has
// slots and queues the rest first come, first served. All turns wait alike,
// each program takes several times as long, and nearly all programs miss their
// deadline. Turns therefore wait here, where the order can still be chosen.
//
// ConcurrencyLimit adapts the number of running turns to the observed time to
// first event. The limit engages when that time is too long for the objective
// set by the operator, and then shrinks or grows to keep the time well below
// the objective. Nodes need not exchange anything, because all of them observe
// the same slow servers. While first events arrive in time, there is no limit.
//
// QueueRank orders the waiting turns. The rank is a hash of the program id, the
// same on every node and for all turns of a program, so that capacity goes to
// complete programs instead of a little to each. Programs past their deadline
// rank last, also if it passes while their turn waits; they continue after the
// burst.
#pragma once

#include <deque>
#include <optional>
#include <string_view>
#include <vector>

#include "yuccawick/net/event_loop.h"

namespace yuccawick::traffic {

using net::Duration;
using net::Time;

// Times in ms.
struct ConcurrencyLimitSettings {
  // Ratios of time to first event to its objective: the limit engages above
  // `engage` and then steers towards `target`. An `engage` of 0 turns it off.
  // The limit helps in bursts far above capacity. It does harm in smaller ones,
  // in which all programs could wait a little and still finish in time, so the
  // operator decides.
  double   engage = 0;
  double   target = 0.6;
  // Time between two changes of the limit; about the time after which a change
  // takes effect.
  Duration pause = 150;
  double   least = 2;  // minimum limit, in turns
};

class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(const ConcurrencyLimitSettings& settings)
      : m_settings(settings) {}

  // Records a time to first event. `objective`: intended maximum in ms; samples
  // without one (0) are ignored.
  void   Observe(Duration latency, Duration objective, Time now);
  // `under_way`: turns now running at the servers.
  bool   MayStart(int under_way, Time now);
  // Only valid if bounded().
  double limit() const { return m_limit; }
  bool   bounded() const { return m_bounded; }

 private:
  struct Sample {
    Time   at = 0;
    double share = 0;  // time to first event, as a share of its objective
  };
  void                  Adapt(int under_way, Time now);
  std::optional<double> Median() const;

  ConcurrencyLimitSettings m_settings;
  std::deque<Sample>       m_samples;
  double                   m_limit = 0;
  bool                     m_bounded = false;
  Time                     m_next_adapt = 0;
  Time                     m_last_change = 0;
};

// Rank of a waiting turn; lower goes first.
class QueueRank {
 public:
  // `priority`: 0 is most urgent. `left`: ms until the deadline of the program;
  // nullopt if it has none.
  QueueRank(std::string_view program, int priority,
            std::optional<Duration> left);
  // Rank of a turn without a deadline. Ranks convert from and to their value.
  // NOLINTNEXTLINE(google-explicit-constructor)
  QueueRank(double value) : m_value(value) {}
  // NOLINTNEXTLINE(google-explicit-constructor)
  operator double() const { return m_value; }

  // ms until the program becomes late; nullopt if it already is or never will.
  std::optional<Duration> time_to_late() const { return m_time_to_late; }
  // Rank of the same turn once the program is late.
  static double           Late(double rank);

 private:
  double                  m_value;
  std::optional<Duration> m_time_to_late;
};

}  // namespace yuccawick::traffic

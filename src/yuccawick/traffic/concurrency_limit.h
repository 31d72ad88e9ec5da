// How many turns a node has under way at the model servers, and which of those
// that wait goes next.
//
// Load pattern: for some seconds there come one and a half to three times as
// many turns as the servers carry. A server works on as many as it has slots
// and keeps the others in the order in which they came, whatever their urgency;
// so all turns wait alike, each of a program's turns takes four times as long,
// and nearly all programs miss their time, also those that came before the
// burst. Turns therefore wait here, where the order can still be chosen.
//
// ConcurrencyLimit finds by itself how many may be under way. The operator says
// within what time a first event is to come. Once most take longer, turns wait
// at servers for too long, and fewer are sent until they come well within it.
// No node needs to know what others send: all see the same servers grow slow.
// While first events are in time nothing is held: all programs have time enough
// to share the wait.
//
// QueueRank() orders those that wait. Each program has a place of its own, by
// its id, the same at every node and for all its turns: what the servers carry
// goes to the programs in front, which end in time, and not a little to each.
// Programs past their time come last; they go on when the burst is over.
#pragma once

#include <deque>
#include <optional>
#include <string_view>
#include <vector>

#include "yuccawick/net/event_loop.h"

namespace yuccawick::traffic {

using net::Duration;
using net::Time;

// What ConcurrencyLimit may be told; times in ms.
struct ConcurrencyLimitSettings {
  // First events as shares of their objective: above the first the limit sets
  // in, and from then on it holds them at the second. 0: it never sets in. It
  // helps where a burst is far above what the servers carry, and costs where
  // programs have time to share a shorter wait; so the operator says.
  double   engage = 0;
  double   target = 0.6;
  // Between two changes of the limit: what is changed shows after as long.
  Duration pause = 150;
  double   least = 2;  // turns that may always be under way
};

class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(const ConcurrencyLimitSettings& settings)
      : m_settings(settings) {}

  // A turn's first event came so long after it was sent; `objective`: within
  // what time it was to come, in ms; 0: not said, and it tells nothing.
  void   Observe(Duration took, Duration objective, Time now);
  // `under_way`: turns at servers now.
  bool   MayStart(int under_way, Time now);
  // Nothing: no bound.
  double limit() const { return m_limit; }
  bool   bounded() const { return m_bounded; }

 private:
  struct Sample {
    Time   at = 0;
    double share = 0;  // of the objective
  };
  void                  Adapt(int under_way, Time now);
  std::optional<double> Median() const;

  ConcurrencyLimitSettings m_settings;
  std::deque<Sample>       m_samples;
  double                   m_limit = 0;
  bool                     m_bounded = false;
  Time                     m_adapt_at = 0;
};

// Lower goes first. `priority`: 0 is first. `left`: until the program should be
// finished, in ms; nothing: it does not say.
double QueueRank(std::string_view program, int priority,
                 std::optional<Duration> left);

}  // namespace yuccawick::traffic

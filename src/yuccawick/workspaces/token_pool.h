// Tokens at hand, each good until a time, and how many are asked for.
//
// A token lets one request of a workspace go to a backend server. Whoever holds
// tokens loses those that it does not use in time: were they good for ever, a
// node could save up many and send them all within one window of the limit.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "yuccawick/net/event_loop.h"

namespace yuccawick::workspaces {

using net::Duration;
using net::Time;

class TokenPool {
 public:
  struct Batch {
    std::int64_t tokens = 0;
    Time         until = 0;    // good before this
    std::int64_t origin = -1;  // offset of the claim in the log
  };

  void               Add(const Batch& batch);
  // One token; false: there is none.
  bool               Take(Time now) { return TakeUpTo(1, now).tokens == 1; }
  // Up to so many, all good until the same time; those that end first.
  Batch              TakeUpTo(std::int64_t most, Time now);
  std::int64_t       Available(Time now);
  // Those that ended unused since the last call.
  std::vector<Batch> TakeExpired(Time now);

 private:
  void Expire(Time now);

  std::deque<Batch>  m_batches;  // by time
  std::vector<Batch> m_ended;
};

// Events a second, older ones count less.
class RateMeter {
 public:
  // `memory`: ms after which an event counts about a third.
  explicit RateMeter(Duration memory) : m_memory(memory) {}
  void   Count(double events, Time now);
  double PerSecond(Time now) const;

 private:
  Duration m_memory;
  double   m_events = 0;  // weighted, as of m_at
  Time     m_at = 0;
};

}  // namespace yuccawick::workspaces

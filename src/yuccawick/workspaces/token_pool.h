// Pool of request tokens with expiry times, and a meter of their use.
//
// A token allows one request of a workspace to be sent to a backend server.
// Tokens expire so that a node cannot accumulate them and send a burst within
// one window of the limit.
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
    Time         until = 0;    // valid before this time
    std::int64_t origin = -1;  // log offset of the claim
  };

  void               Add(const Batch& batch);
  // Takes one token; returns false if there is none.
  bool               Take(Time now) { return TakeUpTo(1, now).tokens == 1; }
  // Takes up to `max_tokens` tokens of the batch that expires first.
  Batch              TakeUpTo(std::int64_t max_tokens, Time now);
  std::int64_t       Available(Time now);
  // Returns tokens that expired unused since the last call.
  std::vector<Batch> TakeExpired(Time now);

 private:
  void Expire(Time now);

  std::deque<Batch>  m_batches;  // by expiry time
  std::vector<Batch> m_expired;
};

// Events per second, as an exponentially decaying average.
class RateMeter {
 public:
  // `decay_time`: time constant of the decay, in ms.
  explicit RateMeter(Duration decay_time) : m_decay_time(decay_time) {}
  void   Count(double events, Time now);
  double PerSecond(Time now) const;

 private:
  Duration m_decay_time;
  double   m_events = 0;  // decayed count as of m_updated_at
  Time     m_updated_at = 0;
};

}  // namespace yuccawick::workspaces

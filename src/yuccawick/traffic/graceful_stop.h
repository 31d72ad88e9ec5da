// Decides what a node may still begin after it was told to stop.
//
// The platform kills a node at a fixed time after SIGTERM. A request that is
// still running then has used a backend server for nothing, and its caller may
// not be allowed to send it again. So work begins only if it ends in time even
// when it takes as long as it may:
//
//   Begin(now, times)       SIGTERM
//   OnRequest(bound)        a request was read that may take `bound` ms
//   Allows(deadline)        whether work that may last until `deadline` begins;
//                           ask before each step after which it would be lost
//   KeepsListening(...)     whether new connections are still useful
//   ClosesConnections(now)  whether idle connections are closed
//
// The answer of Allows() depends on the deadline alone, not on how long such
// requests usually take: only the deadline is a promise.
#pragma once

#include <algorithm>
#include <optional>

#include "yuccawick/net/event_loop.h"

namespace yuccawick::traffic {

using net::Duration;
using net::Time;

// All in ms.
struct StopTimes {
  Duration limit = 0;         // until all answers must have ended
  Duration balancer_lag = 0;  // until the balancer sends no more connections
  Duration quiet = 0;         // without a connection, after balancer_lag
};

class GracefulStop {
 public:
  // Only the first call has an effect: a second signal does not move the end.
  void                    Begin(Time now, const StopTimes& times);
  bool                    begun() const { return m_begin.has_value(); }
  // Time until all answers must have ended; empty if the node is not stopping.
  std::optional<Duration> TimeLeft(Time now) const;

  bool Allows(Time deadline) const;
  void OnRequest(Duration bound) { m_max_bound = std::max(m_max_bound, bound); }
  // True until the balancer had time to notice the stop. After that, until no
  // connection has come for a while, or until requests as they have come since
  // SIGTERM would be refused: the next process serves them sooner if this one
  // ends.
  bool KeepsListening(Time now, Time last_connection) const;
  bool ClosesConnections(Time now) const;

 private:
  Time                end() const { return *m_begin + m_times.limit; }
  std::optional<Time> m_begin;
  StopTimes           m_times;
  Duration            m_max_bound = 0;  // of the requests since SIGTERM
};

}  // namespace yuccawick::traffic

// The time that a node has left after it was told to stop.
//
// The platform kills a node at a fixed time after SIGTERM, so all answers have
// to end before.
#pragma once

#include <optional>

#include "yuccawick/net/event_loop.h"

namespace yuccawick::traffic {

using net::Duration;
using net::Time;

class GracefulStop {
 public:
  // All answers end `limit` ms after `now`. Only the first call has an effect:
  // a second signal does not move the end.
  void                    Begin(Time now, Duration limit);
  bool                    begun() const { return m_end.has_value(); }
  // ms until all answers have ended; empty if the node is not stopping.
  std::optional<Duration> TimeLeft(Time now) const;

 private:
  std::optional<Time> m_end;
};

}  // namespace yuccawick::traffic

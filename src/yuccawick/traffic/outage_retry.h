// Decides how long a request waits for an unavailable log, and when its client
// should retry.
//
// During a log outage no turn can be persisted, counted or admitted. Clients
// have a limited number of tries, so each try should last as long as the client
// tolerates: for a part of that time the request waits here, the rest is the
// retry delay. Holding a request for most of its client's time would leave too
// little for the turn itself or for another try.
#pragma once

#include "yuccawick/net/event_loop.h"

namespace yuccawick::traffic {

struct OutageSettings {
  net::Duration hold = 2000;        // maximum wait, in ms
  double        hold_share = 0.45;  // share of the client's time left
};

// Maximum retry delay that clients honor, as a share of their time left.
inline constexpr double kMaxRetryDelayShare = 1.0 / 3.0;

// Returns how long the request waits here, in ms. `left`: ms for which its
// client still waits when the request arrives.
net::Duration OutageHoldTime(const OutageSettings& settings,
                             net::Duration         left);
// `left`: ms that the client still waits; `draw`: uniform in [0, 1), for
// jitter.
net::Duration OutageRetryDelay(net::Duration left, double draw);

}  // namespace yuccawick::traffic

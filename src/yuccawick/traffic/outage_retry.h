// How long a request waits for a log that answers no node, and when its client
// comes back.
//
// Load pattern: the log is away for several seconds, and every program under
// way asks for a turn that cannot be kept, counted or admitted until it is
// back. A client has few tries for a turn and few repeats of a turn; a program
// whose tries are used up ends. So each try lets as much time pass as its
// client bears: a part of it here, the rest until the client's return. A client
// that is held for most of its time has none left for its turn once the log is
// back, or for another try.
#pragma once

#include "yuccawick/net/event_loop.h"

namespace yuccawick::traffic {

struct OutageSettings {
  net::Duration hold = 2000;        // ms, at the most
  double        hold_share = 0.45;  // of the time that a client has left
};

// Clients heed a time to come back up to this part of what they have left.
inline constexpr double kMaxRetryDelayShare = 1.0 / 3.0;

// `left`: of the client's time when its request came, in ms.
net::Duration OutageHoldTime(const OutageSettings& settings,
                             net::Duration         left);
// `left`: of the client's time; `draw`: uniform in [0, 1), spreads returns.
net::Duration OutageRetryDelay(net::Duration left, double draw);

}  // namespace yuccawick::traffic

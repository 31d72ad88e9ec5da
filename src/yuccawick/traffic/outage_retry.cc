#include "yuccawick/traffic/outage_retry.h"

#include <algorithm>

namespace yuccawick::traffic {
namespace {

using net::Duration;

// Returns are spread over the last tenth only: the requests that they follow
// came spread already.
constexpr double kSpread = 0.1;

Duration Part(double share, Duration time) {
  return static_cast<Duration>(share * static_cast<double>(time));
}

}  // namespace

Duration OutageHoldTime(const OutageSettings& settings, Duration left) {
  return std::clamp<Duration>(Part(settings.hold_share, left), 0,
                              settings.hold);
}

Duration OutageRetryDelay(Duration left, double draw) {
  const double share = kMaxRetryDelayShare * (1.0 - kSpread * draw);
  return std::max<Duration>(1, Part(share, left));
}

}  // namespace yuccawick::traffic

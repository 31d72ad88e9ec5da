#include "yuccawick/traffic/outage_retry.h"

#include <algorithm>

namespace yuccawick::traffic {
namespace {

using net::Duration;

// Share of the retry delay that is randomized. Small, because the requests
// already arrived at different times.
constexpr double kSpread = 0.1;

Duration Scale(double share, Duration time) {
  return static_cast<Duration>(share * static_cast<double>(time));
}

}  // namespace

Duration OutageHoldTime(const OutageSettings& settings, Duration left) {
  return std::clamp<Duration>(Scale(settings.hold_share, left), 0,
                              settings.hold);
}

Duration OutageRetryDelay(Duration left, double draw) {
  const double share = kMaxRetryDelayShare * (1.0 - kSpread * draw);
  return std::max<Duration>(1, Scale(share, left));
}

}  // namespace yuccawick::traffic

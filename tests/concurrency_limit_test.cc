// Tests how the limit of running turns follows the latency of first events.
#include "yuccawick/traffic/concurrency_limit.h"

#include <criterion/criterion.h>

namespace yuccawick::tests {
namespace {

using net::Duration;
using net::Time;
using traffic::ConcurrencyLimit;

constexpr Duration kTargetLatency = 200;  // ms
constexpr Duration kSlowEvent = 300;      // ms
constexpr int      kUnderWay = 20;
constexpr Duration kInterval = 10;  // ms between first events

// Guards against a limit that shrinks again and again on first events of turns
// sent before it was lowered, which leaves slots idle.
Test(TurnLimits, EventsOfTurnsSentBeforeAChange_DoNotChangeTheLimitAgain) {
  ConcurrencyLimit limit({1.0});
  Time             now = 1000;
  while (!limit.bounded()) {
    now += kInterval;
    limit.Observe(kSlowEvent, kTargetLatency, now);
    limit.MayStart(kUnderWay, now);
  }
  const double lowered = limit.limit();
  const Time   change = now;
  cr_assert_lt(lowered, kUnderWay);
  while (now + kInterval < change + kSlowEvent) {
    now += kInterval;
    limit.Observe(kSlowEvent, kTargetLatency, now);
    limit.MayStart(kUnderWay, now);
  }
  cr_assert_float_eq(limit.limit(), lowered, 1e-9);
  for (int i = 0; i < kUnderWay; ++i) {
    now += kInterval;
    limit.Observe(kSlowEvent, kTargetLatency, now);
    limit.MayStart(kUnderWay, now);
  }
  cr_assert_lt(limit.limit(), lowered);
}

}  // namespace
}  // namespace yuccawick::tests

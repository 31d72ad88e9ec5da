// What a node may still begin after it was told to stop: the decision alone.
#include "yuccawick/traffic/graceful_stop.h"

#include <criterion/criterion.h>

namespace yuccawick::tests {
namespace {

using traffic::Duration;
using traffic::GracefulStop;
using traffic::StopTimes;
using traffic::Time;

constexpr Time      kBegin = 1'000'000;
constexpr StopTimes kTimes{7300, 2600, 1200};  // ms
constexpr Time      kEnd = kBegin + kTimes.limit;
constexpr Time      kBalancerKnows = kBegin + kTimes.balancer_lag;

struct Stopping : GracefulStop {
  Stopping() { Begin(kBegin, kTimes); }
};

Test(GracefulStop, NotBegun_EverythingIsAllowed) {
  const GracefulStop stop;
  cr_expect(stop.Allows(kEnd + 1'000'000));
  cr_expect(stop.KeepsListening(kEnd, 0));
  cr_expect_not(stop.ClosesConnections(kEnd));
  cr_expect_not(stop.TimeLeft(kBegin).has_value());
}

// Guards against beginning work that may last longer than the node.
Test(GracefulStop, WorkMayOutlastTheNode_IsNotAllowed) {
  const Stopping stop;
  cr_expect(stop.Allows(kEnd));
  cr_expect_not(stop.Allows(kEnd + 1));
  cr_expect_eq(stop.TimeLeft(kBegin + 300), 7000);
}

// Guards against a second signal that postpones the end beyond the kill.
Test(GracefulStop, BegunAgain_EndStays) {
  Stopping stop;
  stop.Begin(kBegin + 3000, kTimes);
  cr_expect_not(stop.Allows(kEnd + 1));
}

// Guards against callers that find no listener while the balancer still sends
// them, however long requests may take.
Test(GracefulStop, BalancerMayStillSend_KeepsListening) {
  Stopping stop;
  stop.OnRequest(kTimes.limit + 1);
  cr_expect(stop.KeepsListening(kBalancerKnows - 1, 0));
  cr_expect_not(stop.KeepsListening(kBalancerKnows, kBalancerKnows));
}

Test(GracefulStop, NoConnectionsForAWhile_StopsListening) {
  const Stopping stop;
  const Time     last = kBalancerKnows;
  cr_expect(stop.KeepsListening(last + kTimes.quiet - 1, last));
  cr_expect_not(stop.KeepsListening(last + kTimes.quiet, last));
}

// Guards against a process that stays only to refuse, while the next one could
// serve.
Test(GracefulStop, RequestsNoLongerFit_StopsListening) {
  Stopping           stop;
  constexpr Duration kBound = 3000;
  stop.OnRequest(kBound);
  stop.OnRequest(kBound / 2);
  const Time last = kEnd - kBound;
  cr_expect(stop.KeepsListening(last, last));
  cr_expect_not(stop.KeepsListening(last + 1, last));
}

// Guards against requests of before the stop that shorten it.
Test(GracefulStop, LongRequestsCameBefore_DoNotCount) {
  GracefulStop stop;
  stop.OnRequest(kTimes.limit);
  stop.Begin(kBegin, kTimes);
  cr_expect(stop.KeepsListening(kBalancerKnows, kBalancerKnows));
}

}  // namespace
}  // namespace yuccawick::tests

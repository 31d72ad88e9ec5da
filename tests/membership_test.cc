// Membership: suspicion, pauses and claims.
#include <criterion/criterion.h>

#include "fixture.h"

namespace yuccawick::tests {
namespace {

using core::Safeguard;
using core::Safeguards;

bool PausedNodeClaimsNoPeer(Safeguards safeguards) {
  SmallGroup s(safeguards);
  s.Start();
  const std::string replica = s.Replica();
  // The log is unavailable meanwhile, so that nobody claims the paused node.
  s.group.log().SetMode(LogMode::kDown);
  s.group.Freeze(replica);
  s.group.Advance(10'000);
  s.group.log().SetMode(LogMode::kUp);
  s.group.Thaw(replica);
  s.group.Advance(10'000);
  return s.group.IsRunning(s.Coordinator());
}

Test(Membership, NodeResumesAfterPause_ClaimsNoHealthyCoordinator) {
  // Guards against claims by a node that was paused and therefore assumes that
  // all its peers are unreachable.
  cr_assert_not(
      PausedNodeClaimsNoPeer(Safeguards::Without(Safeguard::kPauseDetection)));
  cr_assert(PausedNodeClaimsNoPeer(Safeguards::All()));
}

Test(Membership, PeerIsWatchedAfterLongPause_TimerIsReset) {
  // Guards against a claim of a healthy coordinator that was not watched before
  // and therefore has an old time of its last message.
  GroupSettings settings;
  settings.control_poll = 2000;
  Group group(settings);
  for (int i = 0; i < 12; ++i) {
    group.AddAgent("model-" + std::to_string(i), i % 2 == 0 ? "x" : "y",
                   core::BackendKind::kModel, "m");
  }
  group.Advance(30'000);
  for (int i = 0; i < 12; ++i)
    cr_assert(group.IsRunning("model-" + std::to_string(i)));
}

Test(Membership, OneConnectionBreaks_CoordinatorIsNotClaimed) {
  SmallGroup s;
  s.Start();
  s.group.Inject(s.Replica(), core::SendFailed{s.program.origin, {}});
  s.group.Advance(5000);
  cr_assert(s.group.IsRunning(s.Coordinator()));
  cr_assert_eq(s.CurrentCoordinator(), s.Coordinator());
}

Test(Membership, CoordinatorAndReplicaCutFromEachOther_OneOwnerRemains) {
  // Guards against two owners when coordinator and replica cannot reach each
  // other but both reach the log.
  SmallGroup s;
  s.Start();
  const std::string coordinator = s.Coordinator();
  const std::string replica = s.Replica();
  s.group.Cut(coordinator, replica);
  s.group.Advance(8000);
  const auto reply = s.group.CallThrough({"entry-a", "entry-b"},
                                         s.group.ModelCall(s.program, 1, "one"),
                                         kRecoveryTimeout);
  cr_assert(reply.ok, "%s", core::Name(reply.failure.reason).data());
  const bool claimed = s.CurrentCoordinator() != coordinator;
  cr_assert_eq(s.group.IsRunning(coordinator), !claimed);
}

Test(Membership, ReplicaDies_AnotherIsAssigned) {
  SmallGroup s;
  s.Start();
  const std::string first = s.Replica();
  s.group.Kill(first);
  cr_assert(s.group.AdvanceUntil([&] { return s.Replica() != first; },
                                 kRecoveryTimeout));
  cr_assert_neq(s.Replica(), s.Coordinator());
}

Test(Membership, TwoAgentsClaimAtOnce_FirstInLogOrderOwns) {
  core::Control control(Safeguards::All());
  const auto    join = [](const std::string& vm) {
    core::JoinRecord record;
    record.node = {vm, 1};
    return record;
  };
  core::Offset offset = 0;
  for (const auto* vm : {"a", "b", "c"}) control.Apply({offset++, join(vm)});
  const core::NodeRef a{"a", 1};
  const core::NodeRef b{"b", 1};
  const core::NodeRef c{"c", 1};
  cr_assert(control.Apply({offset++, core::ClaimRecord{a, b}}) ==
            core::Effect::kApplied);
  cr_assert(control.Apply({offset++, core::ClaimRecord{a, c}}) ==
            core::Effect::kVoid);
  cr_assert(control.Resolve(a).node == b);
  cr_assert_eq(control.Resolve(a).fence, 3);
}

}  // namespace
}  // namespace yuccawick::tests

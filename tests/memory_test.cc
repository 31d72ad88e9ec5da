// Guarantee: no engine memory stays allocated for programs that ended or whose
// caller is gone.
#include <criterion/criterion.h>

#include "fixture.h"

namespace yuccawick::tests {
namespace {

using core::Safeguard;
using core::Safeguards;

std::size_t HeldPrefixes(SmallGroup& s) {
  std::size_t held = 0;
  for (const auto& vm : {kCoordinatorA, kCoordinatorB, kCoordinatorC})
    held += s.group.backend(vm).prefixes_held();
  return held;
}

void End(SmallGroup& s) {
  const auto query = s.group.Query("entry-a", s.program, "sakhli", "w1", true);
  s.group.AdvanceUntil([&] { return s.group.IsAnswered(query); },
                       kRecoveryTimeout);
  s.group.Advance(2000);
}

bool EndedProgramHoldsNothing(Safeguards safeguards) {
  SmallGroup s(safeguards);
  s.Start();
  s.group.CallNow("entry-a", s.group.ModelCall(s.program, 1, "one"));
  if (HeldPrefixes(s) == 0) return false;
  End(s);
  return HeldPrefixes(s) == 0;
}

Test(EngineMemory, ProgramEnds_IsReleased) {
  cr_assert_not(
      EndedProgramHoldsNothing(Safeguards::Without(Safeguard::kPrefixRelease)));
  cr_assert(EndedProgramHoldsNothing(Safeguards::All()));
}

Test(EngineMemory, CallerVanishes_IsReleasedAfterIdleTimeout) {
  // The idle timeout ends a program whose caller is gone, and releases its
  // prefix and its slot.
  SmallGroup s;
  s.Start();
  s.group.CallNow("entry-a", s.group.ModelCall(s.program, 1, "one"));
  s.group.Advance(70'000);
  cr_assert_eq(HeldPrefixes(s), 0);
  const auto reply =
      s.group.CallNow("entry-b", s.group.ModelCall(s.program, 2, "two"));
  cr_assert(reply.failure.reason == core::Reason::kProgramEnded);
}

Test(EngineMemory, ReleaseIsLost_LeaseRunsOut) {
  // Guards against leaked engine memory when the release message is lost: the
  // lease expires.
  SmallGroup s;
  s.Start();
  const std::string coordinator = s.Coordinator();
  s.group.backend(coordinator).Hold(true);
  for (int i = 0; i < 40; ++i) {
    // Fill the coordinator's engine so that the program's call runs elsewhere.
    const auto other = s.group.StartNow("entry-a", "sakhli", "w1");
    if (!other) continue;
    auto call = s.group.ModelCall(*other, 1, "fill");
    call.max_tokens =
        10'000;  // makes the coordinator's engine the slower choice
    s.group.Call("entry-a", call);
  }
  s.group.Advance(100);
  s.group.CallNow("entry-a", s.group.ModelCall(s.program, 1, "one"));
  s.group.backend(coordinator).Hold(false);
  s.group.Advance(1000);
  cr_assert_eq(s.group.backend(coordinator).EffectsOf({s.program, 1}), 0);
  s.group.SetFilter([](const core::NodeRef&, const core::SendMessage& send) {
    const bool release =
        std::holds_alternative<core::ReleaseCache>(send.message);
    return release ? Fate::kLose : Fate::kDeliver;
  });
  End(s);
  s.group.Advance(200'000);
  cr_assert_eq(HeldPrefixes(s), 0);
}

Test(EngineMemory, AgentRestarted_DropsWhatItsPredecessorHeld) {
  // Guards against prefixes left by a killed agent: the next incarnation
  // releases all of them.
  SmallGroup s;
  s.Start();
  s.group.CallNow("entry-a", s.group.ModelCall(s.program, 1, "one"));
  const std::string coordinator = s.Coordinator();
  s.group.Kill(coordinator);
  cr_assert_eq(s.group.backend(coordinator).prefixes_held(), 1);
  s.group.Restart(coordinator);
  s.group.Advance(5000);
  cr_assert_eq(s.group.backend(coordinator).prefixes_held(), 0);
}

Test(EngineMemory, LoopingProgram_IsStoppedByItsTurnLimit) {
  // A looping program is refused at its turn limit and released when it becomes
  // idle.
  SmallGroup s;
  auto       contract = Group::DefaultContract("sakhli");
  contract.max_turns = 5;
  s.group.Publish(contract);
  s.group.Advance(2000);
  s.Start();
  core::CallReply reply;
  core::Sequence  sequence = 0;
  do {
    reply = s.group.CallNow("entry-a",
                            s.group.ModelCall(s.program, ++sequence, "again"));
  } while (reply.ok && sequence < 20);
  cr_assert_eq(sequence, 6);
  cr_assert(reply.failure.reason == core::Reason::kTurnLimit);
  s.group.Advance(70'000);
  cr_assert_eq(HeldPrefixes(s), 0);
}

Test(EngineMemory, ToolHangs_CallEndsAtItsDeadlineAndProgramGoesIdle) {
  // A call that an application server never answers ends at its deadline, is
  // not repeated, and the program's prefix is released.
  SmallGroup s;
  s.Start();
  s.group.CallNow("entry-a", s.group.ModelCall(s.program, 1, "one"));
  for (const auto& app_server : {kAppServerA, kAppServerB})
    s.group.backend(app_server).Hold(true);
  const auto reply =
      s.group.CallNow("entry-a", s.group.ServiceCall(s.program, 2, "hang"));
  cr_assert(reply.failure.ran == core::Ran::kUnknown);
  s.group.Advance(70'000);
  cr_assert_eq(HeldPrefixes(s), 0);
  cr_assert_eq(s.group.TotalEffects({s.program, 2}), 1);
}

Test(EngineMemory, EngineThatChecksFences_RefusesThePredecessor) {
  // Guards against a release by a frozen agent whose successor has joined: the
  // engine refuses the lower fencing number.
  FakeBackend engine;
  engine.CheckFence(true);
  core::RunCall order;
  order.run = 1;
  order.fence = 7;
  order.call.program = {{"vm", 1}, 1};
  order.call.sequence = 1;
  engine.Run(order, 0, 10);
  engine.Release({core::ProgramId{}, 3});
  cr_assert_eq(engine.prefixes_held(), 1);
}

}  // namespace
}  // namespace yuccawick::tests

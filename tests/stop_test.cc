// Planned stops: a leaving server gets no new work after a few seconds, and no
// request in flight is cut off.
#include <criterion/criterion.h>

#include "fixture.h"

namespace yuccawick::tests {
namespace {

using core::Safeguard;
using core::Safeguards;

constexpr core::Duration kFewSeconds = 3000;

std::vector<core::VmEntry> ListWithLeaving(const std::string& leaving) {
  std::vector<core::VmEntry> list;
  for (const auto& vm :
       {kCoordinatorA, kCoordinatorB, kCoordinatorC, kAppServerA, kAppServerB})
    list.push_back({vm, "", vm == leaving});
  return list;
}

bool LeavingServerGetsNothing(Safeguards safeguards) {
  SmallGroup s(safeguards);
  s.group.SetVmList(ListWithLeaving(kAppServerA));
  s.group.Advance(kFewSeconds);
  const auto before = s.group.backend(kAppServerA).order().size();
  for (int i = 0; i < 20; ++i) {
    s.Start();
    s.group.CallNow("entry-a", s.group.ServiceCall(s.program, 1, "x"));
  }
  return s.group.backend(kAppServerA).order().size() == before;
}

Test(Leaving, ServerListedAsLeaving_GetsNoNewWork) {
  // Guards against work sent to a server that the VM list reports as leaving.
  cr_assert_not(LeavingServerGetsNothing(
      Safeguards::Without(Safeguard::kLeavingStopsWork)));
  cr_assert(LeavingServerGetsNothing(Safeguards::All()));
}

Test(Leaving, StaleListAndPartitionedEntry_LeavingNodeGetsNoNewWork) {
  // Guards against an entry that relies on a stale VM list: the control stream
  // must tell it that an unreachable node is leaving.
  SmallGroup s;
  s.group.SetVmList(ListWithLeaving(""));
  s.group.Cut("entry-a", kCoordinatorA);
  s.group.Cut("entry-a", kAppServerA);
  s.group.log().Append(
      {0,
       std::string(core::kControlStream),
       {core::LeaveRecord{s.group.agent(kCoordinatorA).self()}}});
  s.group.Advance(kFewSeconds);
  for (int i = 0; i < 20; ++i)
    cr_assert_neq(s.Start().origin.vm, kCoordinatorA);
}

bool StoppedAgentFinishesItsCall(Safeguards safeguards) {
  SmallGroup s(safeguards);
  s.Start();
  for (const auto& server : {kAppServerA, kAppServerB})
    s.group.backend(server).Hold(true);
  const auto request =
      s.group.Call("entry-a", s.group.ServiceCall(s.program, 1, "friday 9"));
  s.group.AdvanceUntil([&] { return !s.AppServerOf(1).empty(); }, kFewSeconds);
  s.group.Stop(s.AppServerOf(1));
  s.group.Advance(1000);
  for (const auto& server : {kAppServerA, kAppServerB})
    s.group.backend(server).Hold(false);
  s.group.AdvanceUntil([&] { return s.group.IsAnswered(request); },
                       kRecoveryTimeout);
  return std::get<core::CallReply>(*s.group.AnswerTo(request)).ok;
}

Test(PlannedStop, ServiceAgentWithCallInFlight_FinishesIt) {
  // Guards against an agent that stops before its call in flight has ended and
  // its answer has been delivered.
  cr_assert_not(StoppedAgentFinishesItsCall(
      Safeguards::Without(Safeguard::kDrainInFlight)));
  cr_assert(StoppedAgentFinishesItsCall(Safeguards::All()));
}

Test(PlannedStop, CoordinatorWithCallInFlight_AnswersThenHandsOver) {
  // Guards against a coordinator that stops without answering accepted calls or
  // without handing its programs to a replica.
  SmallGroup s;
  s.Start();
  const auto request =
      s.group.Call("entry-a", s.group.ModelCall(s.program, 1, "one"));
  s.group.Advance(20);
  s.group.Stop(s.Coordinator());
  cr_assert(s.group.AdvanceUntil([&] { return s.group.IsAnswered(request); },
                                 kRecoveryTimeout));
  cr_assert(std::get<core::CallReply>(*s.group.AnswerTo(request)).ok);
  const auto next = s.group.CallThrough(
      {"entry-b"}, s.group.ModelCall(s.program, 2, "two"), kRecoveryTimeout);
  cr_assert(next.ok, "%s", core::Name(next.failure.reason).data());
  s.group.Advance(5000);
  cr_assert_not(s.group.IsRunning(s.Coordinator()));
  cr_assert_eq(s.group.TotalEffects({s.program, 1}), 1);
}

Test(PlannedStop, EntryWithRequestInFlight_AnswersFirst) {
  SmallGroup s;
  s.Start();
  const auto request =
      s.group.Call("entry-a", s.group.ModelCall(s.program, 1, "one"));
  s.group.Stop("entry-a");
  cr_assert(s.group.IsRunning("entry-a"));
  s.group.Advance(1000);
  cr_assert(std::get<core::CallReply>(*s.group.AnswerTo(request)).ok);
  cr_assert_not(s.group.IsRunning("entry-a"));
}

Test(PlannedStop, EntryAndCoordinatorTogether_NoCallIsCutOff) {
  SmallGroup s;
  s.Start();
  const auto request =
      s.group.Call("entry-a", s.group.ModelCall(s.program, 1, "one"));
  s.group.Advance(20);
  s.group.Stop("entry-a");
  s.group.Stop(s.Coordinator());
  s.group.Advance(5000);
  cr_assert(std::get<core::CallReply>(*s.group.AnswerTo(request)).ok);
}

Test(PlannedStop, RollingRestart_NoProgramIsLost) {
  // Guards against programs lost or service calls repeated during a rolling
  // restart of all nodes.
  SmallGroup                   s;
  std::vector<core::ProgramId> programs;
  programs.reserve(12);
  for (int i = 0; i < 12; ++i) programs.push_back(s.Start());
  core::Sequence                 sequence = 0;
  const std::vector<std::string> nodes{
      kCoordinatorA, kAppServerA, kCoordinatorB, kAppServerB,
      kCoordinatorC, "entry-a",   "entry-b"};
  for (const auto& vm : nodes) {
    ++sequence;
    const std::string entry = vm == "entry-a" ? "entry-b" : "entry-a";
    s.group.Stop(vm);
    for (const auto& program : programs) {
      const auto call = sequence % 2 == 0
                            ? s.group.ServiceCall(program, sequence, "book")
                            : s.group.ModelCall(program, sequence, "say");
      const auto reply = s.group.CallThrough({entry}, call, kRecoveryTimeout);
      cr_assert(reply.ok, "%s at %s: %s", core::ToString(program).c_str(),
                vm.c_str(), core::Name(reply.failure.reason).data());
      cr_assert_eq(s.group.TotalEffects({program, sequence}), 1);
    }
    cr_assert(s.group.AdvanceUntil([&] { return !s.group.IsRunning(vm); },
                                   kRecoveryTimeout),
              "%s stops", vm.c_str());
    s.group.Restart(vm);
    cr_assert(s.group.Settle(), "%s is back", vm.c_str());
  }
}

}  // namespace
}  // namespace yuccawick::tests

// Guarantee: an unrepeatable request runs at most once. If its outcome cannot
// be determined, the caller gets kOutcomeUnknown and it never runs again.
#include <criterion/criterion.h>

#include "fixture.h"

namespace yuccawick::tests {
namespace {

using core::Ran;
using core::Reason;
using core::Safeguard;
using core::Safeguards;

bool IsDispatch(const core::SendMessage& send) {
  return std::holds_alternative<core::Dispatch>(send.message);
}

// Repeats the call with the same sequence through both entries, whatever the
// answer.
void RepeatCall(SmallGroup& s, core::Sequence sequence) {
  for (int i = 0; i < 6; ++i) {
    s.group.CallNow(i % 2 == 0 ? "entry-a" : "entry-b",
                    s.group.ServiceCall(s.program, sequence, "friday 9"));
    s.group.Advance(1000);
  }
}

int Effects(const SmallGroup& s, core::Sequence sequence) {
  return s.group.TotalEffects({s.program, sequence});
}

Test(Unrepeatable, CallerAsksAgainThroughAnotherEntry_RunsOnce) {
  // Guards against a second run when the caller repeats its request through the
  // other entry while the first is in progress.
  SmallGroup s;
  s.Start();
  s.group.backend(kAppServerA).Hold(true);
  s.group.backend(kAppServerB).Hold(true);
  const auto first =
      s.group.Call("entry-a", s.group.ServiceCall(s.program, 1, "friday 9"));
  s.group.Advance(500);
  const auto second =
      s.group.Call("entry-b", s.group.ServiceCall(s.program, 1, "friday 9"));
  s.group.Advance(500);
  s.group.backend(kAppServerA).Hold(false);
  s.group.backend(kAppServerB).Hold(false);
  s.group.Advance(1000);
  for (const auto request : {first, second})
    cr_assert(std::get<core::CallReply>(*s.group.AnswerTo(request)).ok);
  cr_assert_eq(Effects(s, 1), 1);
}

bool RunsOnceIfDispatchIsRepeated(Safeguards safeguards) {
  SmallGroup s(safeguards);
  s.Start();
  s.group.SetFilter([](const core::NodeRef&, const core::SendMessage& send) {
    return IsDispatch(send) ? Fate::kRepeat : Fate::kDeliver;
  });
  s.group.CallNow("entry-a", s.group.ServiceCall(s.program, 1, "friday 9"));
  s.group.Advance(5000);
  return Effects(s, 1) == 1;
}

Test(Unrepeatable, DispatchArrivesTwice_RunsOnce) {
  // Guards against a second run when the network duplicates the dispatch.
  cr_assert_not(RunsOnceIfDispatchIsRepeated(
      Safeguards::Without(Safeguard::kExecutorDedup)));
  cr_assert(RunsOnceIfDispatchIsRepeated(Safeguards::All()));
}

bool RunsOnceIfCoordinatorAndAppServerDie(Safeguards safeguards) {
  SmallGroup s(safeguards);
  s.Start();
  // The first copies that name the application server are lost.
  int lost = 0;
  s.group.SetFilter(
      [&lost](const core::NodeRef&, const core::SendMessage& send) {
        const auto* copy = std::get_if<core::Replicate>(&send.message);
        const bool  names_app_server =
            copy != nullptr && copy->deltas[0].meta.intent.IsSet();
        if (!names_app_server || lost == 2) return Fate::kDeliver;
        ++lost;
        return Fate::kLose;
      });
  for (const auto& app_server : {kAppServerA, kAppServerB})
    s.group.backend(app_server).Hold(true);
  s.group.Call("entry-a", s.group.ServiceCall(s.program, 1, "friday 9"));
  s.group.AdvanceUntil([&] { return !s.AppServerOf(1).empty(); }, 3000);
  s.group.Kill(s.Coordinator());
  s.group.Kill(s.AppServerOf(1));
  for (const auto& app_server : {kAppServerA, kAppServerB})
    s.group.backend(app_server).Hold(false);
  s.group.Advance(6000);
  RepeatCall(s, 1);
  return Effects(s, 1) == 1;
}

Test(Unrepeatable, CoordinatorAndAppServerAgentDieAfterDispatch_RunsOnce) {
  // Guards against a second run at another application server when coordinator
  // and executor die after the dispatch: the replica must know the executor
  // before the call is sent.
  cr_assert_not(RunsOnceIfCoordinatorAndAppServerDie(
      Safeguards::Without(Safeguard::kIntentFirst)));
  cr_assert(RunsOnceIfCoordinatorAndAppServerDie(Safeguards::All()));
}

Test(Unrepeatable, CoordinatorKilledBetweenDispatchAndAnswer_AnswerIsFound) {
  // The new coordinator fences the executor, learns that the call is running
  // and waits for its result.
  SmallGroup s;
  s.Start();
  for (const auto& app_server : {kAppServerA, kAppServerB})
    s.group.backend(app_server).Hold(true);
  s.group.Call("entry-a", s.group.ServiceCall(s.program, 1, "friday 9"));
  s.group.AdvanceUntil([&] { return !s.AppServerOf(1).empty(); }, 3000);
  s.group.Kill(s.Coordinator());
  s.group.Advance(4000);
  for (const auto& app_server : {kAppServerA, kAppServerB})
    s.group.backend(app_server).Hold(false);
  const auto reply = s.group.CallThrough(
      {"entry-b"}, s.group.ServiceCall(s.program, 1, "friday 9"),
      kRecoveryTimeout);
  cr_assert(reply.ok, "%s", core::Name(reply.failure.reason).data());
  cr_assert_eq(Effects(s, 1), 1);
}

bool RunsOnceIfOldOrderArrivesLate(Safeguards safeguards) {
  SmallGroup s(safeguards);
  s.Start();
  const std::string coordinator = s.Coordinator();
  const auto        replicas = s.Replicas();
  // The coordinator's dispatch is delayed by 20 s, as from a paused VM.
  s.group.SetLateness(20'000);
  bool sent = false;
  s.group.SetFilter(
      [&](const core::NodeRef& from, const core::SendMessage& send) {
        if (!IsDispatch(send) || from.vm != coordinator) return Fate::kDeliver;
        sent = true;
        return Fate::kDelay;
      });
  s.group.Call("entry-a", s.group.ServiceCall(s.program, 1, "friday 9"));
  s.group.AdvanceUntil([&] { return sent; }, 3000);
  s.group.Freeze(coordinator);
  s.group.Kill("entry-a");
  // The successor fences the executor, then loses its connection to it and runs
  // the call at the other one.
  std::string fenced;
  s.group.SetFilter(
      [&](const core::NodeRef& from, const core::SendMessage& send) {
        if (std::holds_alternative<core::FenceReply>(send.message))
          fenced = from.vm;
        return Fate::kDeliver;
      });
  s.group.AdvanceUntil([&] { return !fenced.empty(); }, 10'000);
  s.group.Advance(5);
  for (const auto& replica : replicas) s.group.Cut(replica, fenced);
  s.group.Advance(4000);
  s.group.CallThrough({"entry-b"},
                      s.group.ServiceCall(s.program, 1, "friday 9"), 5000);
  if (Effects(s, 1) != 1) return false;
  s.group.Advance(20'000);
  return Effects(s, 1) == 1;
}

Test(Unrepeatable, ReplacedCoordinatorsOrderArrivesLate_RunsOnce) {
  // Guards against a second run when a dispatch of the replaced coordinator
  // arrives late: the executor has a higher fence and refuses it.
  cr_assert_not(RunsOnceIfOldOrderArrivesLate(
      Safeguards::Without(Safeguard::kExecutorFence)));
  cr_assert(RunsOnceIfOldOrderArrivesLate(Safeguards::All()));
}

Test(Unrepeatable, ReplacedCoordinatorWakesAfterTakeover_RunsOnce) {
  // Guards against a second run by a replaced coordinator that resumes without
  // access to the log and gets the request again.
  SmallGroup s;
  s.Start();
  const std::string coordinator = s.Coordinator();
  s.group.Freeze(coordinator);
  const auto reply = s.group.CallThrough(
      {"entry-b"}, s.group.ServiceCall(s.program, 1, "friday 9"),
      kRecoveryTimeout);
  cr_assert(reply.ok);
  s.group.CutLog(coordinator, true);
  s.group.Thaw(coordinator);
  s.group.Inject(
      coordinator,
      core::MessageReceived{
          s.group.entry("entry-a").self(), s.program.origin,
          core::CallRequest{1, s.group.ServiceCall(s.program, 1, "friday 9")}});
  s.group.Advance(20'000);
  cr_assert_eq(Effects(s, 1), 1);
}

bool RunsOnceIfAppServerAgentIsReplaced(Safeguards safeguards) {
  SmallGroup s(safeguards);
  s.Start();
  s.group.SetLateness(4000);
  std::string app_server;
  s.group.SetFilter([&](const core::NodeRef&, const core::SendMessage& send) {
    if (!IsDispatch(send)) return Fate::kDeliver;
    app_server = send.to.vm;
    return Fate::kRepeat;
  });
  s.group.Call("entry-a", s.group.ServiceCall(s.program, 1, "friday 9"));
  s.group.AdvanceUntil([&] { return Effects(s, 1) > 0; }, 3000);
  s.group.Kill(app_server);
  s.group.Restart(app_server);
  s.group.Advance(10'000);
  RepeatCall(s, 1);
  return Effects(s, 1) == 1;
}

Test(Unrepeatable, LateCopyReachesReplacedAppServerAgent_RunsOnce) {
  // Guards against a second run when a late copy of the dispatch reaches the
  // executor's next incarnation, which must refuse it.
  cr_assert_not(RunsOnceIfAppServerAgentIsReplaced(
      Safeguards::Without(Safeguard::kIncarnationCheck)));
  cr_assert(RunsOnceIfAppServerAgentIsReplaced(Safeguards::All()));
}

bool RunsOnceIfCallerRepeats(Safeguards safeguards) {
  SmallGroup s(safeguards);
  s.Start();
  for (const auto& app_server : {kAppServerA, kAppServerB})
    s.group.backend(app_server).Hold(true);
  s.group.Call("entry-a", s.group.ServiceCall(s.program, 1, "friday 9"));
  s.group.AdvanceUntil([&] { return Effects(s, 1) > 0; }, 3000);
  s.group.Kill(s.AppServerOf(1));
  for (const auto& app_server : {kAppServerA, kAppServerB})
    s.group.backend(app_server).Hold(false);
  s.group.Advance(6000);
  RepeatCall(s, 1);
  return Effects(s, 1) == 1;
}

Test(Unrepeatable, AppServerAgentDiesAndCallerRepeats_RunsOnce) {
  // Guards against a second run when the executor died and the caller repeats
  // the request: the unknown outcome is stored as the turn.
  cr_assert_not(
      RunsOnceIfCallerRepeats(Safeguards::Without(Safeguard::kUnknownIsFinal)));
  cr_assert(RunsOnceIfCallerRepeats(Safeguards::All()));
}

Test(Unrepeatable, OutcomeCannotBeKnown_CallerGetsOutcomeUnknown) {
  // An unknown outcome has no retry delay.
  SmallGroup s;
  s.Start();
  for (const auto& app_server : {kAppServerA, kAppServerB})
    s.group.backend(app_server).Hold(true);
  const auto request =
      s.group.Call("entry-a", s.group.ServiceCall(s.program, 1, "friday 9"));
  s.group.AdvanceUntil([&] { return Effects(s, 1) > 0; }, 3000);
  s.group.Kill(s.AppServerOf(1));
  cr_assert(s.group.AdvanceUntil([&] { return s.group.IsAnswered(request); },
                                 kRecoveryTimeout));
  const auto& reply = std::get<core::CallReply>(*s.group.AnswerTo(request));
  cr_assert(reply.failure.reason == Reason::kOutcomeUnknown);
  cr_assert(reply.failure.ran == Ran::kUnknown);
  cr_assert_eq(reply.failure.retry_after, 0);
}

}  // namespace
}  // namespace yuccawick::tests

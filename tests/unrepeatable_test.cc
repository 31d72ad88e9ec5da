// 7. A request marked unrepeatable runs at most once. Where nobody can know
// whether it ran, the caller is told `unknown`, and it is never run again.
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

// Calls as a stubborn caller: again and again with the same sequence, whatever
// the answer, through both entries.
void InsistOn(SmallGroup& s, core::Sequence sequence) {
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
  // The caller hears nothing, asks again through the other entry while the
  // first request still runs, and gets one answer on each; the slot is recorded
  // once.
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

bool OnceThoughDispatchIsRepeated(Safeguards safeguards) {
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
  // The caller sees one booking. The order reaches the desk's agent again after
  // it has been carried out; the agent remembers it.
  cr_assert_not(OnceThoughDispatchIsRepeated(
      Safeguards::Without(Safeguard::kExecutorDedup)));
  cr_assert(OnceThoughDispatchIsRepeated(Safeguards::All()));
}

bool OnceThoughCoordinatorAndAppServerDie(Safeguards safeguards) {
  SmallGroup s(safeguards);
  s.Start();
  // The copies that name the desk are lost the first time.
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
  InsistOn(s, 1);
  return Effects(s, 1) == 1;
}

Test(Unrepeatable, CoordinatorAndAppServerAgentDieAfterDispatch_RunsOnce) {
  // The caller is told `unknown` however often it asks. The order is under way
  // when home and desk agent die. The new home knows from its copy where the
  // call may have run; a home that sent before that copy was held would leave a
  // successor that runs it at the other desk.
  cr_assert_not(OnceThoughCoordinatorAndAppServerDie(
      Safeguards::Without(Safeguard::kIntentFirst)));
  cr_assert(OnceThoughCoordinatorAndAppServerDie(Safeguards::All()));
}

Test(Unrepeatable, CoordinatorKilledBetweenDispatchAndAnswer_AnswerIsFound) {
  // The caller sees a late but true answer. The home dies while the desk works;
  // the new home fences the desk's agent, reads that the call is running, and
  // waits for its result.
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

bool OnceThoughOldOrderComesLate(Safeguards safeguards) {
  SmallGroup s(safeguards);
  s.Start();
  const std::string coordinator = s.Coordinator();
  const auto        replicas = s.Replicas();
  // The home's order leaves it 20 s late, as from a paused VM.
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
  // The successor fences the desk named, then loses touch with it and runs the
  // call at the other one.
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

Test(Unrepeatable, OldCoordinatorsOrderComesAfterTakeover_RunsOnce) {
  // The caller has its answer from the new home. The old one was paused with
  // its order on the way; the desk does not check who gives it orders, so its
  // agent must: it was given the higher fencing number first.
  cr_assert_not(OnceThoughOldOrderComesLate(
      Safeguards::Without(Safeguard::kExecutorFence)));
  cr_assert(OnceThoughOldOrderComesLate(Safeguards::All()));
}

Test(Unrepeatable, FrozenOldCoordinatorWakesAfterTakeover_RunsOnce) {
  // The caller has its answer from the new home. The old one wakes cut off from
  // the log, still believing that it owns the program, and is asked again.
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

bool OnceThoughAppServerAgentIsReplaced(Safeguards safeguards) {
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
  InsistOn(s, 1);
  return Effects(s, 1) == 1;
}

Test(Unrepeatable, LateCopyReachesReplacedAppServerAgent_RunsOnce) {
  // The caller is told `unknown`. The order was carried out by an agent that
  // died with its memory; a late copy reaches the next incarnation, which says
  // that it is not the one meant.
  cr_assert_not(OnceThoughAppServerAgentIsReplaced(
      Safeguards::Without(Safeguard::kIncarnationCheck)));
  cr_assert(OnceThoughAppServerAgentIsReplaced(Safeguards::All()));
}

bool OnceThoughCallerInsists(Safeguards safeguards) {
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
  InsistOn(s, 1);
  return Effects(s, 1) == 1;
}

Test(Unrepeatable, AppServerAgentDiesAndCallerInsists_RunsOnce) {
  // The caller is told `unknown` each time it asks. The desk's agent dies while
  // the desk works. That outcome becomes the call's turn; forgetting it would
  // let the next request run at the other desk.
  cr_assert_not(
      OnceThoughCallerInsists(Safeguards::Without(Safeguard::kUnknownIsFinal)));
  cr_assert(OnceThoughCallerInsists(Safeguards::All()));
}

Test(Unrepeatable, NobodyCanKnow_CallerIsToldUnknown) {
  // The caller sees outcome_unknown, ran unknown, and no time to come back.
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

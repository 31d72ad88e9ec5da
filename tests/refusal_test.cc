// Guarantees: each caller receives the complete answer to its own request; a
// request reported as not run did not run.
#include <criterion/criterion.h>

#include <memory>

#include "fixture.h"

namespace yuccawick::tests {
namespace {

using core::Ran;
using core::Reason;
using core::Safeguard;
using core::Safeguards;

bool AnswerReachesOnlyItsCaller(Safeguards safeguards) {
  constexpr std::uint64_t kNumber = 900;
  SmallGroup              s(safeguards);
  s.Start();
  const auto own = s.program;
  const auto other = s.group.StartNow("entry-b", "sakhli", "w2");
  for (const auto& vm : {kCoordinatorA, kCoordinatorB, kCoordinatorC})
    s.group.backend(vm).Hold(true);
  s.group.CallAs("entry-a", kNumber, s.group.ModelCall(own, 1, "mine"));
  s.group.Advance(50);
  // The entry is replaced and numbers its requests from the start again.
  s.group.Kill("entry-a");
  s.group.Restart("entry-a");
  s.group.Advance(3000);
  auto call = s.group.ModelCall(*other, 1, "other");
  call.workspace = "w2";
  s.group.CallAs("entry-a", kNumber, call);
  s.group.Advance(10);
  s.group.backend(own.origin.vm).Hold(false);
  s.group.Advance(2000);
  for (const auto& vm : {kCoordinatorA, kCoordinatorB, kCoordinatorC})
    s.group.backend(vm).Hold(false);
  s.group.AdvanceUntil([&] { return s.group.IsAnswered(kNumber); },
                       kRecoveryTimeout);
  const auto& reply = std::get<core::CallReply>(*s.group.AnswerTo(kNumber));
  return reply.ok && reply.answer.text == FakeBackend::AnswerTo(call);
}

Test(Answers, LateAnswerHasNumberOfOtherRequest_ReachesOnlyItsCaller) {
  // Guards against an answer that reaches the wrong caller: it arrives late at
  // a new incarnation of the entry, where its number belongs to another
  // workspace's request.
  cr_assert_not(
      AnswerReachesOnlyItsCaller(Safeguards::Without(Safeguard::kReplyMatch)));
  cr_assert(AnswerReachesOnlyItsCaller(Safeguards::All()));
}

Test(Answers, EveryMessageRepeatedAndLate_OneWholeAnswerEach) {
  // Guards against repeated or mixed-up answers when every message is delivered
  // twice, the copy much later.
  SmallGroup s;
  s.Start();
  s.group.SetFilter([](const core::NodeRef&, const core::SendMessage&) {
    return Fate::kRepeat;
  });
  for (core::Sequence i = 1; i <= 8; ++i) {
    const auto call = s.group.ModelCall(s.program, i, std::to_string(i));
    const auto request = s.group.Call(i % 2 == 0 ? "entry-a" : "entry-b", call);
    s.group.AdvanceUntil([&] { return s.group.IsAnswered(request); },
                         kRecoveryTimeout);
    const auto& reply = std::get<core::CallReply>(*s.group.AnswerTo(request));
    cr_assert_eq(reply.answer.text, FakeBackend::AnswerTo(call));
    s.group.Advance(1500);
    cr_assert_eq(s.group.AnswerCount(request), 1);
    cr_assert_eq(s.group.TotalEffects({s.program, i}), 1);
  }
}

bool SameAnswerWhenAskedAgain(Safeguards safeguards) {
  SmallGroup s(safeguards);
  s.Start();
  const auto first =
      s.group.CallNow("entry-a", s.group.ServiceCall(s.program, 1, "book"));
  const auto again =
      s.group.CallNow("entry-b", s.group.ServiceCall(s.program, 1, "book"));
  return first.ok && again.ok && first.answer == again.answer &&
         s.group.TotalEffects({s.program, 1}) == 1;
}

Test(Answers, CallerAsksAgainAfterItsAnswer_GetsTheSame) {
  // A repeated request is answered from the history; the application server
  // does not run it again.
  cr_assert_not(SameAnswerWhenAskedAgain(
      Safeguards::Without(Safeguard::kCoordinatorDedup)));
  cr_assert(SameAnswerWhenAskedAgain(Safeguards::All()));
}

Test(Answers, CallerReconnectsDuringCancel_GetsItsAnswer) {
  // Guards against a retried request that fails because an earlier one of the
  // same call is being cancelled.
  SmallGroup s;
  s.Start();
  const auto first =
      s.group.Call("entry-a", s.group.ModelCall(s.program, 1, "one"));
  s.group.Advance(20);
  s.group.Inject("entry-a",
                 core::CallerMessage{core::CancelRequest{first, s.program}});
  const auto again =
      s.group.CallNow("entry-b", s.group.ModelCall(s.program, 1, "one"));
  cr_assert(again.ok, "%s", core::Name(again.failure.reason).data());
  cr_assert_eq(s.group.AnswerCount(first), 0);
}

// Drops the first message of the given type.
template <class Lost>
void LoseFirst(SmallGroup& s) {
  const auto lost = std::make_shared<bool>(false);
  s.group.SetFilter(
      [lost](const core::NodeRef&, const core::SendMessage& send) {
        if (*lost || !std::holds_alternative<Lost>(send.message))
          return Fate::kDeliver;
        *lost = true;
        return Fate::kLose;
      });
}

Test(Answers, ReplyLostOnTheWay_ComesWhenAskedAgain) {
  // Guards against a lost reply that is never resent: the entry repeats the
  // request, and the coordinator answers it from the stored turn.
  SmallGroup s;
  LoseFirst<core::StartReply>(s);
  s.Start();
  cr_assert(s.program.IsSet());
  LoseFirst<core::CallReply>(s);
  const auto called = s.group.now();
  cr_assert(
      s.group.CallNow("entry-a", s.group.ModelCall(s.program, 1, "one")).ok);
  cr_assert_lt(s.group.now() - called, 10'000);
  cr_assert_eq(s.group.TotalEffects({s.program, 1}), 1);
  LoseFirst<core::ProgramReply>(s);
  const auto end = s.group.Query("entry-b", s.program, "sakhli", "w1", true);
  cr_assert(
      s.group.AdvanceUntil([&] { return s.group.IsAnswered(end); }, 10'000));
  // The repeated start created one program.
  cr_assert_eq(s.group.CountOf(core::Counter::kPrograms, "started"), 1);
}

// Drops the n-th message after the call is made. Returns true if Ran::kNo was
// reported only when the call had no effect.
bool RanIsAccurateIfMessageIsLost(int n, bool* dropped) {
  SmallGroup s;
  s.Start();
  int count = 0;
  s.group.SetFilter([&](const core::NodeRef&, const core::SendMessage& send) {
    const bool probe = std::holds_alternative<core::Probe>(send.message) ||
                       std::holds_alternative<core::ProbeReply>(send.message);
    if (probe) return Fate::kDeliver;
    if (count++ != n) return Fate::kDeliver;
    *dropped = true;
    return Fate::kLose;
  });
  const auto reply =
      s.group.CallNow("entry-a", s.group.ServiceCall(s.program, 1, "friday 9"));
  const int effects = s.group.TotalEffects({s.program, 1});
  if (reply.ok) return effects == 1;
  return reply.failure.ran != Ran::kNo || effects == 0;
}

Test(NotRun, AnyOneMessageIsLost_RanIsAccurate) {
  // Guards against a false Ran::kNo when any one message of a call is lost.
  int  steps = 0;
  bool dropped = true;
  for (; dropped; ++steps) {
    dropped = false;
    cr_assert(RanIsAccurateIfMessageIsLost(steps, &dropped), "step %d", steps);
  }
  cr_assert_geq(steps, 8);
}

// Kills `victim` (coordinator, application server or replica) `after` ms into
// the call.
bool RanIsAccurateIfKilled(int victim, core::Duration after) {
  SmallGroup s;
  s.Start();
  const std::string replica = s.Replica();
  const auto        request =
      s.group.Call("entry-a", s.group.ServiceCall(s.program, 1, "friday 9"));
  s.group.Advance(after);
  const std::string app_server =
      s.AppServerOf(1).empty() ? kAppServerA : s.AppServerOf(1);
  const std::string victims[] = {s.Coordinator(), app_server, replica};
  s.group.Kill(victims[victim]);
  s.group.AdvanceUntil([&] { return s.group.IsAnswered(request); },
                       2 * kRecoveryTimeout);
  s.group.Advance(5000);
  const auto& reply = std::get<core::CallReply>(*s.group.AnswerTo(request));
  const int   effects = s.group.TotalEffects({s.program, 1});
  if (reply.ok) return effects == 1;
  return reply.failure.ran != Ran::kNo || effects == 0;
}

Test(NotRun,
     CoordinatorAppServerOrReplicaKilledAtEachMillisecond_RanIsAccurate) {
  for (int victim = 0; victim < 3; ++victim) {
    for (core::Duration after = 0; after <= 30; ++after) {
      cr_assert(RanIsAccurateIfKilled(victim, after), "victim %d after %d ms",
                victim, static_cast<int>(after));
    }
  }
}

bool RanIsAccurateIfEntryGivesUp(Safeguards safeguards) {
  SmallGroup s(safeguards);
  s.Start();
  for (const auto& app_server : {kAppServerA, kAppServerB})
    s.group.backend(app_server).Hold(true);
  const auto request =
      s.group.Call("entry-a", s.group.ServiceCall(s.program, 1, "friday 9"));
  s.group.AdvanceUntil([&] { return !s.AppServerOf(1).empty(); }, 3000);
  // No node can take over while the log is unavailable, so the entry gives up.
  s.group.log().SetMode(LogMode::kDown);
  s.group.Freeze(s.Coordinator());
  s.group.AdvanceUntil([&] { return s.group.IsAnswered(request); },
                       kRecoveryTimeout);
  const auto& reply = std::get<core::CallReply>(*s.group.AnswerTo(request));
  return reply.failure.ran != Ran::kNo;
}

Test(NotRun, EntryGivesUpOnUnreachableCoordinator_IsNotReportedAsNotRun) {
  // Guards against a false Ran::kNo when the entry stops waiting for a
  // coordinator during a log outage.
  cr_assert_not(RanIsAccurateIfEntryGivesUp(
      Safeguards::Without(Safeguard::kRanAccuracy)));
  cr_assert(RanIsAccurateIfEntryGivesUp(Safeguards::All()));
}

Test(Refusals, QueueTooLongForTheContract_IsRefusedAtOnceWithRetryDelay) {
  // A call that cannot start within its contract's waiting time is refused at
  // once, not near its deadline.
  SmallGroup s;
  auto       contract = Group::DefaultContract("sakhli");
  contract.classes = {{"normal", 5, 200}};
  s.group.Publish(contract);
  s.group.Advance(2000);
  std::vector<core::ProgramId> programs;
  programs.reserve(120);
  for (int i = 0; i < 120; ++i)
    programs.push_back(*s.group.StartNow("entry-a", "sakhli", "w1"));
  for (const auto& vm : {kCoordinatorA, kCoordinatorB, kCoordinatorC})
    s.group.backend(vm).Hold(true);
  std::vector<std::uint64_t> requests;
  requests.reserve(programs.size());
  for (const auto& program : programs)
    requests.push_back(
        s.group.Call("entry-a", s.group.ModelCall(program, 1, "now")));
  s.group.Advance(200);
  int refused = 0;
  for (const auto request : requests) {
    if (!s.group.IsAnswered(request)) continue;
    const auto& reply = std::get<core::CallReply>(*s.group.AnswerTo(request));
    cr_assert(reply.failure.reason == Reason::kOverloaded);
    cr_assert(reply.failure.ran == Ran::kNo);
    cr_assert_gt(reply.failure.retry_after, 0);
    ++refused;
  }
  cr_assert_gt(refused, 0);
}

Test(Refusals, NoContractOrUnknownNames_AreTyped) {
  SmallGroup s;
  const auto reason = [&](const std::string& customer,
                          const std::string& model) {
    const auto request = s.group.Start("entry-a", customer, "w1", model);
    s.group.AdvanceUntil([&] { return s.group.IsAnswered(request); },
                         kRecoveryTimeout);
    return std::get<core::StartReply>(*s.group.AnswerTo(request))
        .failure.reason;
  };
  cr_assert(reason("nobody", "m") == Reason::kNoContract);
  cr_assert(reason("sakhli", "none") == Reason::kUnknownBackend);
  s.Start();
  auto call = s.group.ModelCall(s.program, 1, "x");
  call.program.number = 777;
  cr_assert(s.group.CallNow("entry-a", call).failure.reason ==
            Reason::kUnknownProgram);
}

}  // namespace
}  // namespace yuccawick::tests

// 5. Each caller receives the whole answer to its own request.
// 6. When the system says that a request did not run, it did not run.
#include <criterion/criterion.h>

#include <memory>

#include "fixture.h"

namespace yuccawick::tests {
namespace {

using core::Ran;
using core::Reason;
using core::Safeguard;
using core::Safeguards;

bool StrangerGetsNothing(Safeguards safeguards) {
  constexpr std::uint64_t kNumber = 900;
  SmallGroup              s(safeguards);
  s.Start();
  const auto mine = s.program;
  const auto other = s.group.StartNow("entry-b", "sakhli", "w2");
  for (const auto& vm : {kCoordinatorA, kCoordinatorB, kCoordinatorC})
    s.group.backend(vm).Hold(true);
  s.group.CallAs("entry-a", kNumber, s.group.ModelCall(mine, 1, "mine"));
  s.group.Advance(50);
  // The entry is replaced and counts its requests from the beginning again.
  s.group.Kill("entry-a");
  s.group.Restart("entry-a");
  s.group.Advance(3000);
  auto call = s.group.ModelCall(*other, 1, "other");
  call.workspace = "w2";
  s.group.CallAs("entry-a", kNumber, call);
  s.group.Advance(10);
  s.group.backend(mine.origin.vm).Hold(false);
  s.group.Advance(2000);
  for (const auto& vm : {kCoordinatorA, kCoordinatorB, kCoordinatorC})
    s.group.backend(vm).Hold(false);
  s.group.AdvanceUntil([&] { return s.group.IsAnswered(kNumber); },
                       kRecoveryTimeout);
  const auto& reply = std::get<core::CallReply>(*s.group.AnswerTo(kNumber));
  return reply.ok && reply.answer.text == FakeBackend::AnswerTo(call);
}

Test(Answers, LateAnswerMeetsSameNumberAtNewEntry_ReachesNobodyElse) {
  // The second caller sees its own answer only. The first caller's entry is
  // replaced; the answer to its request arrives late at the new incarnation,
  // where the same number belongs to another workspace's request.
  cr_assert_not(
      StrangerGetsNothing(Safeguards::Without(Safeguard::kReplyMatch)));
  cr_assert(StrangerGetsNothing(Safeguards::All()));
}

Test(Answers, EveryMessageRepeatedAndLate_OneWholeAnswerEach) {
  // Each caller sees one answer, its own. Every reply comes twice, the copy
  // much later, while the next calls are under way.
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
  // The caller lost its answer, asks again through the other entry, and gets it
  // from the program's history; the desk hears nothing.
  cr_assert_not(SameAnswerWhenAskedAgain(
      Safeguards::Without(Safeguard::kCoordinatorDedup)));
  cr_assert(SameAnswerWhenAskedAgain(Safeguards::All()));
}

Test(Answers, CallerGoesAndComesBackDuringCancel_GetsItsAnswer) {
  // The caller's connection breaks, and it asks again at once through the other
  // entry. Its first request is being cancelled at the engine meanwhile; the
  // second must not be told of that, but served.
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

// Loses the first message of the given type.
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
  // The caller waits some seconds longer and sees one answer. The reply goes
  // into a connection whose other end has gone; the entry, hearing nothing,
  // sends the request once more, and the home answers it from its turn.
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
  // The start that was sent twice made one program.
  cr_assert_eq(s.group.CountOf(core::Counter::kPrograms, "started"), 1);
}

// Loses the n-th message sent after the call is made. True if an answer that
// says `ran: no` was given only where the call had no effect.
bool TrueWhenMessageIsLost(int n, bool* lost_one) {
  SmallGroup s;
  s.Start();
  int count = 0;
  s.group.SetFilter([&](const core::NodeRef&, const core::SendMessage& send) {
    const bool probe = std::holds_alternative<core::Probe>(send.message) ||
                       std::holds_alternative<core::ProbeReply>(send.message);
    if (probe) return Fate::kDeliver;
    if (count++ != n) return Fate::kDeliver;
    *lost_one = true;
    return Fate::kLose;
  });
  const auto reply =
      s.group.CallNow("entry-a", s.group.ServiceCall(s.program, 1, "friday 9"));
  const int effects = s.group.TotalEffects({s.program, 1});
  if (reply.ok) return effects == 1;
  return reply.failure.ran != Ran::kNo || effects == 0;
}

Test(NotRun, AnyOneMessageOfTheExchangeLost_IsTrue) {
  // The caller sees an answer or a typed failure; where that says `no`, the
  // desk's own count agrees. One message is lost at each step in turn.
  int  steps = 0;
  bool lost_one = true;
  for (; lost_one; ++steps) {
    lost_one = false;
    cr_assert(TrueWhenMessageIsLost(steps, &lost_one), "step %d", steps);
  }
  cr_assert_geq(steps, 8);
}

// Kills `victim` (home, desk or replica) `after` ms into the call.
bool TrueWhenKilled(int victim, core::Duration after) {
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

Test(NotRun, CoordinatorAppServerOrReplicaKilledAtEachMillisecond_IsTrue) {
  for (int victim = 0; victim < 3; ++victim) {
    for (core::Duration after = 0; after <= 30; ++after) {
      cr_assert(TrueWhenKilled(victim, after), "victim %d after %d ms", victim,
                static_cast<int>(after));
    }
  }
}

bool TrueWhenEntryGivesUp(Safeguards safeguards) {
  SmallGroup s(safeguards);
  s.Start();
  for (const auto& app_server : {kAppServerA, kAppServerB})
    s.group.backend(app_server).Hold(true);
  const auto request =
      s.group.Call("entry-a", s.group.ServiceCall(s.program, 1, "friday 9"));
  s.group.AdvanceUntil([&] { return !s.AppServerOf(1).empty(); }, 3000);
  // Nobody can take over while the log is down; the entry gives up.
  s.group.log().SetMode(LogMode::kDown);
  s.group.Freeze(s.Coordinator());
  s.group.AdvanceUntil([&] { return s.group.IsAnswered(request); },
                       kRecoveryTimeout);
  const auto& reply = std::get<core::CallReply>(*s.group.AnswerTo(request));
  return reply.failure.ran != Ran::kNo;
}

Test(NotRun, EntryGivesUpOnSilentCoordinator_IsNotClaimed) {
  // The caller is told `unknown` and when to come back. The desk has taken the
  // call; the home falls silent in a log outage, and the entry stops waiting.
  cr_assert_not(
      TrueWhenEntryGivesUp(Safeguards::Without(Safeguard::kRanAccuracy)));
  cr_assert(TrueWhenEntryGivesUp(Safeguards::All()));
}

Test(Refusals, QueueTooLongForTheContract_AnswersAtOnceWithWhenToReturn) {
  // The caller that cannot be served in its contract's time hears so at once,
  // not near its deadline.
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

// Guarantee: a program's history is never lost and never visible to another
// workspace.
#include <criterion/criterion.h>

#include <algorithm>

#include "fixture.h"

namespace yuccawick::tests {
namespace {

using core::Safeguard;
using core::Safeguards;

// The history as a caller reads it through an entry; nullopt if refused.
std::optional<core::ProgramDelta> ReadHistory(SmallGroup&        s,
                                              const std::string& entry,
                                              const std::string& workspace) {
  for (int i = 0; i < 20; ++i) {
    const auto query =
        s.group.Query(entry, s.program, "sakhli", workspace, false);
    s.group.AdvanceUntil([&] { return s.group.IsAnswered(query); },
                         kRecoveryTimeout);
    const auto& reply = std::get<core::ProgramReply>(*s.group.AnswerTo(query));
    if (reply.ok) return reply.program;
    if (reply.failure.retry_after == 0) return std::nullopt;
    s.group.Advance(reply.failure.retry_after);
  }
  return std::nullopt;
}

bool HasTurn(const std::optional<core::ProgramDelta>& history,
             core::Sequence sequence, const std::string& text) {
  if (!history) return false;
  for (const auto& turn : history->turns) {
    if (turn.call.sequence == sequence) return turn.answer.text == text;
  }
  return false;
}

Fate LoseReplication(const core::NodeRef& /*from*/,
                     const core::SendMessage& send) {
  const bool copy = std::holds_alternative<core::Replicate>(send.message);
  return copy ? Fate::kLose : Fate::kDeliver;
}

bool AnswerSurvivesCoordinatorDeath(Safeguards safeguards) {
  SmallGroup s(safeguards);
  s.Start();
  s.group.SetFilter(LoseReplication);
  const auto reply =
      s.group.CallNow("entry-a", s.group.ModelCall(s.program, 1, "draft"));
  s.group.Kill(s.Coordinator());
  s.group.SetFilter({});
  return reply.ok &&
         HasTurn(ReadHistory(s, "entry-b", "w1"), 1, reply.answer.text);
}

Test(History, CoordinatorKilledAfterAnswerWithCopiesLost_IsComplete) {
  // Guards against an acknowledged answer that is lost when its copies are lost
  // and the coordinator dies at once: the answer must wait for the log instead.
  cr_assert_not(AnswerSurvivesCoordinatorDeath(
      Safeguards::Without(Safeguard::kDurableAnswer)));
  cr_assert(AnswerSurvivesCoordinatorDeath(Safeguards::All()));
}

Test(History, CoordinatorKilledBeforeAnswer_HasTheCallOnce) {
  // Guards against a lost or duplicate turn when the coordinator dies while the
  // engine works; the repeated call runs at the new coordinator.
  SmallGroup s;
  s.Start();
  cr_assert(
      s.group.CallNow("entry-a", s.group.ModelCall(s.program, 1, "one")).ok);
  const auto request =
      s.group.Call("entry-a", s.group.ModelCall(s.program, 2, "two"));
  s.group.Advance(30);
  s.group.Kill(s.Coordinator());
  cr_assert(s.group.AdvanceUntil([&] { return s.group.IsAnswered(request); },
                                 kRecoveryTimeout));
  cr_assert(std::get<core::CallReply>(*s.group.AnswerTo(request)).ok);
  const auto history = ReadHistory(s, "entry-b", "w1");
  cr_assert(history.has_value());
  cr_assert_eq(history->turns.size(), 2);
}

bool OnlyTheReplicaTakesOver(Safeguards safeguards) {
  SmallGroup s(safeguards);
  s.group.AddAgent("model-d", "isani", core::BackendKind::kModel, "m");
  s.group.Settle();
  s.Start();
  const auto reply =
      s.group.CallNow("entry-a", s.group.ModelCall(s.program, 1, "draft"));
  const auto replicas = s.Replicas();
  for (const auto& replica : replicas) s.group.CutLog(replica, true);
  s.group.Kill(s.Coordinator());
  // A node that is not a replica claims the coordinator.
  std::string other;
  for (const auto& vm :
       {kCoordinatorA, kCoordinatorB, kCoordinatorC, std::string("model-d")}) {
    const bool replica =
        std::find(replicas.begin(), replicas.end(), vm) != replicas.end();
    if (vm != s.Coordinator() && !replica) other = vm;
  }
  s.group.log().Append(
      {0,
       std::string(core::kControlStream),
       {core::ClaimRecord{s.program.origin, s.group.agent(other).self()}}});
  s.group.Advance(6000);
  for (const auto& replica : replicas) s.group.CutLog(replica, false);
  return reply.ok &&
         HasTurn(ReadHistory(s, "entry-b", "w1"), 1, reply.answer.text);
}

Test(History, ReplicasCutOffFromLogWhenCoordinatorDies_IsComplete) {
  // Guards against a claim by a node that is not a replica: it would own the
  // program without an answer that is not in the log yet.
  cr_assert_not(OnlyTheReplicaTakesOver(
      Safeguards::Without(Safeguard::kReplicaClaimsOnly)));
  cr_assert(OnlyTheReplicaTakesOver(Safeguards::All()));
}

Test(History, CoordinatorKilledDuringLogOutage_IsComplete) {
  // Guards against lost answers when the coordinator dies during a log outage:
  // two zones hold each answer, and no claim happens until the log is back.
  SmallGroup s;
  s.Start();
  std::vector<std::string> answers;
  for (core::Sequence i = 1; i <= 10; ++i) {
    if (i == 2) s.group.log().SetMode(LogMode::kDown);
    const auto reply = s.group.CallNow(
        "entry-a", s.group.ModelCall(s.program, i, std::to_string(i)));
    cr_assert(reply.ok, "%s", core::Name(reply.failure.reason).data());
    answers.push_back(reply.answer.text);
  }
  s.group.Kill(s.Coordinator());
  s.group.Advance(20'000);
  s.group.log().SetMode(LogMode::kUp);
  s.group.Advance(10'000);
  const auto history = ReadHistory(s, "entry-b", "w1");
  for (core::Sequence i = 1; i <= 10; ++i)
    cr_assert(HasTurn(history, i, answers[i - 1]));
}

Test(History, ReplicaLostDuringOutage_AnswerIsTypedNotDurable) {
  // The caller gets kNotDurable with a retry delay while an answer cannot be
  // made durable, and the same answer after the outage.
  SmallGroup s;
  s.Start();
  s.group.CallNow("entry-a", s.group.ModelCall(s.program, 1, "one"));
  s.group.log().SetMode(LogMode::kDown);
  const auto request =
      s.group.Call("entry-a", s.group.ModelCall(s.program, 2, "two"));
  s.group.AdvanceUntil([&] { return s.IsBusy(s.Coordinator()); }, 1000);
  s.group.Kill(s.Replica());
  cr_assert(s.group.AdvanceUntil([&] { return s.group.IsAnswered(request); },
                                 kRecoveryTimeout));
  const auto& reply = std::get<core::CallReply>(*s.group.AnswerTo(request));
  cr_assert(reply.failure.reason == core::Reason::kNotDurable);
  cr_assert(reply.failure.ran == core::Ran::kYes);
  cr_assert_gt(reply.failure.retry_after, 0);
  s.group.log().SetMode(LogMode::kUp);
  const auto again = s.group.CallThrough(
      {"entry-b"}, s.group.ModelCall(s.program, 2, "two"), kRecoveryTimeout);
  cr_assert(again.ok);
  cr_assert_eq(s.group.TotalEffects({s.program, 2}), 1);
}

bool SurvivesTwoDeathsAtOnce(std::size_t replicas) {
  SmallGroup s(Safeguards::All(), 1, replicas);
  s.Start();
  const auto reply =
      s.group.CallNow("entry-a", s.group.ModelCall(s.program, 1, "draft"));
  const std::string replica = s.Replica();
  s.group.Kill(s.Coordinator());
  s.group.Kill(replica);
  return HasTurn(ReadHistory(s, "entry-b", "w1"), 1, reply.answer.text);
}

Test(History, CoordinatorAndReplicaDieTogether_IsComplete) {
  // Guards against a lost answer when coordinator and replica die together
  // before the log has it: two replicas are required.
  cr_assert_not(SurvivesTwoDeathsAtOnce(1));
  cr_assert(SurvivesTwoDeathsAtOnce(2));
}

Test(History, TwoCoordinatorsDieInTurn_IsComplete) {
  // Guards against a lost history when the first successor dies too, after it
  // got replicas of its own.
  SmallGroup s;
  s.group.AddAgent("model-d", "isani", core::BackendKind::kModel, "m");
  s.group.Settle();
  s.Start();
  const auto first_reply =
      s.group.CallNow("entry-a", s.group.ModelCall(s.program, 1, "one"));
  s.group.Kill(s.Coordinator());
  const auto second_reply = s.group.CallThrough(
      {"entry-b"}, s.group.ModelCall(s.program, 2, "two"), kRecoveryTimeout);
  cr_assert(second_reply.ok);
  s.group.Kill(s.CurrentCoordinator());
  const auto third_reply = s.group.CallThrough(
      {"entry-a"}, s.group.ModelCall(s.program, 3, "three"), kRecoveryTimeout);
  cr_assert(third_reply.ok, "%s",
            core::Name(third_reply.failure.reason).data());
  const auto history = ReadHistory(s, "entry-b", "w1");
  cr_assert(HasTurn(history, 1, first_reply.answer.text));
  cr_assert(HasTurn(history, 2, second_reply.answer.text));
  cr_assert(HasTurn(history, 3, third_reply.answer.text));
}

Test(History, AdopterServesAnotherModel_CallsRunAtTheProgramsModel) {
  // Guards against calls that cannot be routed after an adoption by an agent of
  // another model, which has no load reports of the program's model.
  GroupSettings settings;
  Group         group(settings);
  group.AddEntry("entry-a", "saburtalo");
  group.AddAgent("x-1", "saburtalo", core::BackendKind::kModel, "x");
  group.AddAgent("x-2", "saburtalo", core::BackendKind::kModel, "x");
  for (int i = 0; i < 40; ++i) {
    group.AddAgent("m-" + std::to_string(i), i % 2 == 0 ? "gldani" : "isani",
                   core::BackendKind::kModel, "m");
  }
  group.Publish(Group::DefaultContract("sakhli"));
  cr_assert(group.Settle());
  const auto start = group.Start("entry-a", "sakhli", "w1", "x");
  group.AdvanceUntil([&] { return group.IsAnswered(start); }, kRecoveryTimeout);
  const auto program =
      std::get<core::StartReply>(*group.AnswerTo(start)).program;
  auto call = group.ModelCall(program, 1, "one");
  call.target = "x";
  cr_assert(group.CallNow("entry-a", call).ok);
  group.Kill(program.origin.vm);
  call = group.ModelCall(program, 2, "two");
  call.target = "x";
  const auto reply = group.CallThrough({"entry-a"}, call, kRecoveryTimeout);
  cr_assert(reply.ok, "%s", core::Name(reply.failure.reason).data());
  const std::string other = program.origin.vm == "x-1" ? "x-2" : "x-1";
  cr_assert_eq(group.backend(other).EffectsOf({program, 2}), 1);
}

Test(History, BacklogOfLogOutage_IsLoggedSoonAfterIt) {
  // Guards against a backlog after a log outage that grows faster than it is
  // written: batches follow each other without waiting for the interval.
  SmallGroup s;
  s.Start();
  s.group.CallNow("entry-a", s.group.ModelCall(s.program, 1, "one"));
  s.group.log().SetMode(LogMode::kDown);
  const std::string long_text(300'000, 'x');
  for (core::Sequence i = 2; i <= 12; ++i) {
    auto call = s.group.ServiceCall(s.program, i, long_text);
    cr_assert(s.group.CallNow("entry-a", call).ok);
  }
  cr_assert_gt(s.group.agent(s.Coordinator()).durability().UnloggedBytes(),
               3U << 20U);
  s.group.log().SetMode(LogMode::kUp);
  s.group.Advance(7000);
  cr_assert_eq(s.group.agent(s.Coordinator()).durability().UnloggedBytes(), 0);
}

bool WorkspacesStayApart(Safeguards safeguards) {
  SmallGroup s(safeguards);
  s.Start();
  s.group.CallNow("entry-a", s.group.ModelCall(s.program, 1, "secret"));
  if (ReadHistory(s, "entry-b", "w2")) return false;
  auto call = s.group.ModelCall(s.program, 1, "secret");
  call.workspace = "w2";
  return !s.group.CallNow("entry-b", call).ok;
}

Test(History, SameProgramIdInAnotherWorkspace_IsRefused) {
  // A caller of another workspace gets a typed refusal, neither the history nor
  // the stored answer.
  cr_assert_not(
      WorkspacesStayApart(Safeguards::Without(Safeguard::kWorkspaceCheck)));
  cr_assert(WorkspacesStayApart(Safeguards::All()));
}

Test(History, CallerResumesAtAnotherEntry_ReadsItByteForByte) {
  SmallGroup s;
  s.Start();
  const std::string text = "pão, «ქართული», \t\"quoted\"\n";
  const auto        reply =
      s.group.CallNow("entry-a", s.group.ModelCall(s.program, 1, text));
  const auto history = ReadHistory(s, "entry-b", "w1");
  cr_assert(history.has_value());
  cr_assert_eq(history->turns[0].call.body, text);
  cr_assert_eq(history->turns[0].answer.text, reply.answer.text);
}

Test(History, ReplacedCoordinatorAppendsLate_OwnersTurnStands) {
  // Guards against a late turn of a replaced coordinator that overwrites the
  // turn of the current owner.
  SmallGroup s;
  s.Start();
  const auto request =
      s.group.Call("entry-a", s.group.ModelCall(s.program, 1, "one"));
  s.group.AdvanceUntil([&] { return s.IsBusy(s.Coordinator()); }, 1000);
  s.group.Freeze(s.Coordinator());
  cr_assert(s.group.AdvanceUntil([&] { return s.group.IsAnswered(request); },
                                 kRecoveryTimeout));
  s.group.Thaw(s.Coordinator());
  s.group.Advance(10'000);
  cr_assert_not(s.group.IsRunning(s.Coordinator()));
  const auto history = ReadHistory(s, "entry-b", "w1");
  cr_assert_eq(history->turns.size(), 1);
  cr_assert_eq(s.group.AnswerCount(request), 1);
}

}  // namespace
}  // namespace yuccawick::tests

// An accepted configuration takes effect on every node within seconds and never
// reverts.
#include <criterion/criterion.h>

#include "fixture.h"
#include "yuccawick/cli/operator.h"

namespace yuccawick::tests {
namespace {

using core::Reason;
using core::Safeguard;
using core::Safeguards;

const std::vector<std::string> kAgents{kCoordinatorA, kCoordinatorB,
                                       kCoordinatorC, kAppServerA, kAppServerB};

std::int64_t TurnsAt(SmallGroup& s, const std::string& agent) {
  const auto* contract = s.group.agent(agent).control().FindContract("sakhli");
  return contract == nullptr ? 0 : contract->contract.max_turns;
}

core::Contract WithTurns(std::int64_t turns) {
  auto contract = Group::DefaultContract("sakhli");
  contract.max_turns = turns;
  return contract;
}

bool LateStateChangesNothing(Safeguards safeguards) {
  SmallGroup              s(safeguards);
  const core::ControlPush late{
      s.group.agent(kCoordinatorB).control().Snapshot()};
  s.group.Publish(WithTurns(77));
  s.group.Advance(2000);
  if (TurnsAt(s, kCoordinatorA) != 77) return false;
  // A peer's outdated state arrives late, several times.
  for (int i = 0; i < 3; ++i) {
    s.group.Inject(
        kCoordinatorA,
        core::MessageReceived{s.group.agent(kCoordinatorB).self(),
                              s.group.agent(kCoordinatorA).self(), late});
  }
  return TurnsAt(s, kCoordinatorA) == 77;
}

Test(Configuration, OlderStateArrivesLateAndAgain_DoesNotRevert) {
  // Guards against a late control push that reverts an amended contract.
  cr_assert_not(LateStateChangesNothing(
      Safeguards::Without(Safeguard::kNewerControlOnly)));
  cr_assert(LateStateChangesNothing(Safeguards::All()));
}

class GroupLog : public cli::LogAccess {
 public:
  explicit GroupLog(testing::FakeLog& log) : m_log(log) {}
  core::AppendDone Append(const core::AppendRecords& command) override {
    if (m_before_append) m_before_append();
    m_before_append = {};
    return m_log.Append(command);
  }
  core::ReadDone Read(const core::ReadRecords& command) override {
    return m_log.Read(command);
  }
  // Runs once, just before the next append.
  void BeforeAppend(std::function<void()> action) {
    m_before_append = std::move(action);
  }

 private:
  testing::FakeLog&     m_log;
  std::function<void()> m_before_append;
};

// Two operators amend the same version; the second appends between the first
// one's read and append.
bool ExactlyOneWins(Safeguards safeguards) {
  SmallGroup    s(safeguards);
  GroupLog      first_log(s.group.log());
  GroupLog      second_log(s.group.log());
  cli::Operator first(first_log, "first");
  cli::Operator second(second_log, "second");
  first_log.BeforeAppend([&] { (void)second.Publish(WithTurns(22), nullptr); });
  const auto lost = first.Publish(WithTurns(11), nullptr);
  s.group.Advance(2000);
  const bool conflict = !lost && lost.error().reason == Reason::kConflict &&
                        lost.error().ran == core::Ran::kNo;
  return conflict && TurnsAt(s, kCoordinatorA) == 22 &&
         TurnsAt(s, kCoordinatorB) == 22;
}

Test(Configuration, ConcurrentAmendments_OneGetsConflict) {
  // Guards against a lost update: without the check of the amended version, the
  // later record would silently replace the earlier one.
  cr_assert_not(ExactlyOneWins(Safeguards::Without(Safeguard::kAmendsVersion)));
  cr_assert(ExactlyOneWins(Safeguards::All()));
}

Test(Configuration, AppendReplyLost_PublishStillSucceeds) {
  SmallGroup    s;
  GroupLog      log(s.group.log());
  cli::Operator op(log, "op");
  s.group.log().SetMode(LogMode::kLosesReply);
  const auto published = op.Publish(WithTurns(33), nullptr);
  cr_assert(published.has_value());
  s.group.Advance(2000);
  cr_assert_eq(TurnsAt(s, kCoordinatorA), 33);
}

Test(Configuration, LogDown_PublishFailsAsNotExecuted) {
  SmallGroup    s;
  GroupLog      log(s.group.log());
  cli::Operator op(log, "op");
  s.group.log().SetMode(LogMode::kDown);
  const auto published = op.Publish(WithTurns(33), nullptr);
  cr_assert(published.error().reason == Reason::kLogUnavailable);
  cr_assert(published.error().ran == core::Ran::kNo);
}

Test(Configuration, DefaultPolling_ContractInForceWithinEightSeconds) {
  // Guards against slow propagation while some reads of the log fail.
  GroupSettings settings;
  settings.control_poll = 2000;
  Group group(settings);
  group.AddEntry("entry-a", "saburtalo");
  for (int i = 0; i < 12; ++i) {
    group.AddAgent("model-" + std::to_string(i), i % 2 == 0 ? "x" : "y",
                   core::BackendKind::kModel, "m");
  }
  cr_assert(group.Settle(60'000));
  group.Publish(WithTurns(55));
  for (int i = 0; i < 12; ++i) group.CutLog("model-" + std::to_string(i), true);
  group.Advance(2500);
  for (int i = 0; i < 12; ++i)
    group.CutLog("model-" + std::to_string(i), false);
  group.Advance(8000 - 2500);
  for (int i = 0; i < 12; ++i) {
    const auto* contract = group.agent("model-" + std::to_string(i))
                               .control()
                               .FindContract("sakhli");
    cr_assert_eq(contract->contract.max_turns, 55);
  }
}

Test(Configuration, NodeStartsInOutage_TakesPeersState) {
  // Guards against a node that starts during a log outage without the current
  // contract: it must ask the peers of the VM list.
  SmallGroup s;
  s.group.Publish(WithTurns(66));
  s.group.Advance(2000);
  for (int i = 0; i < 9; ++i) s.Start();  // coordinators have free slots
  std::vector<core::VmEntry> list;
  list.reserve(kAgents.size());
  for (const auto& vm : kAgents) list.push_back({vm, "", false});
  s.group.SetVmList(list);
  s.group.log().SetMode(LogMode::kDown);
  s.group.AddEntry("entry-c", "isani");
  s.group.Advance(10'000);
  const auto* contract =
      s.group.entry("entry-c").control().FindContract("sakhli");
  cr_assert_not_null(contract);
  cr_assert_eq(contract->contract.max_turns, 66);
  cr_assert(s.group.StartNow("entry-c", "sakhli", "w1").has_value());
}

Test(Configuration, RetentionDropsOldRecords_SnapshotReplacesThem) {
  // Guards against a contract lost to retention: a snapshot written in time
  // must replace the dropped records.
  GroupSettings settings;
  settings.tune = [](core::AgentSettings* agent) {
    agent->control.snapshot_interval = 5000;
  };
  Group group(settings);
  group.AddEntry("entry-a", "saburtalo");
  group.AddAgent("model-a", "saburtalo", core::BackendKind::kModel, "m");
  group.AddAgent("model-b", "gldani", core::BackendKind::kModel, "m");
  group.Publish(WithTurns(44));
  cr_assert(group.Settle());
  group.Advance(15'000);
  const std::string control(core::kControlStream);
  core::Offset      snapshot = core::kNoOffset;
  for (core::Offset i = 0; i < group.log().EndOf(control); ++i) {
    const auto& record =
        group.log().Records(control)[static_cast<std::size_t>(i)];
    if (std::holds_alternative<core::SnapshotRecord>(record)) snapshot = i;
  }
  cr_assert_neq(snapshot, core::kNoOffset);
  group.log().Trim(control, snapshot);
  group.AddEntry("entry-b", "gldani");
  group.Advance(3000);
  const auto* contract =
      group.entry("entry-b").control().FindContract("sakhli");
  cr_assert_not_null(contract);
  cr_assert_eq(contract->contract.max_turns, 44);
  cr_assert(group.StartNow("entry-b", "sakhli", "w1").has_value());
}

Test(Configuration, RecordsDroppedWithoutSnapshot_StateStaysEmpty) {
  core::Control control(Safeguards::All());
  SmallGroup    s;
  s.group.log().Trim(std::string(core::kControlStream), 3);
  s.group.AddEntry("entry-c", "isani");
  s.group.Advance(3000);
  cr_assert_eq(s.group.entry("entry-c").control().version(), core::kNoOffset);
}

}  // namespace
}  // namespace yuccawick::tests

// Guarantee: no program spends beyond the budget that its contract grants.
#include <criterion/criterion.h>

#include "fixture.h"

namespace yuccawick::tests {
namespace {

using core::Reason;
using core::Resource;
using core::Safeguard;
using core::Safeguards;

const std::string kLongBody(250, 'x');  // the answer reaches max_tokens

core::Tokens SpentAtEngines(SmallGroup& s) {
  core::Tokens total = 0;
  for (const auto& vm : {kCoordinatorA, kCoordinatorB, kCoordinatorC})
    total += s.group.backend(vm).TokensOf("sakhli");
  return total;
}

void SetBudget(SmallGroup& s, core::Tokens program, core::Tokens total) {
  auto contract = Group::DefaultContract("sakhli");
  contract.program_budget = program;
  contract.total_budget = total;
  s.group.Publish(contract);
  s.group.Advance(2000);
}

// Runs programs on three coordinators; each calls until it is refused.
core::Tokens SpendAll(SmallGroup& s, int programs, int rounds) {
  std::vector<core::ProgramId> ids;
  for (int i = 0; i < programs; ++i) {
    const auto id =
        s.group.StartNow(i % 2 == 0 ? "entry-a" : "entry-b", "sakhli", "w1");
    if (id) ids.push_back(*id);
  }
  for (int round = 1; round <= rounds; ++round) {
    for (const auto& id : ids) {
      s.group.Call(
          "entry-a",
          s.group.ModelCall(id, static_cast<core::Sequence>(round), kLongBody));
    }
    s.group.Advance(3000);
  }
  return SpentAtEngines(s);
}

bool CustomerTotalHolds(Safeguards safeguards) {
  SmallGroup s(safeguards);
  SetBudget(s, 2000, 2000);
  return SpendAll(s, 12, 4) <= 2000;
}

Test(Budget, ManyProgramsNearTheLimit_TotalIsNotExceeded) {
  // Guards against overspending when three coordinators request the last slice
  // at once and one spends it before reading it back.
  cr_assert_not(
      CustomerTotalHolds(Safeguards::Without(Safeguard::kGrantReadBack)));
  cr_assert(CustomerTotalHolds(Safeguards::All()));
}

bool ProgramBudgetHolds(Safeguards safeguards) {
  SmallGroup s(safeguards);
  SetBudget(s, 300, 1'000'000);
  s.Start();
  for (core::Sequence i = 1; i <= 8; ++i)
    s.group.CallNow("entry-a", s.group.ModelCall(s.program, i, kLongBody));
  return SpentAtEngines(s) <= 300;
}

Test(Budget, ProgramKeepsCalling_ItsBudgetIsNotExceeded) {
  // Guards against overspending by a call whose worst-case cost was not
  // reserved.
  cr_assert_not(
      ProgramBudgetHolds(Safeguards::Without(Safeguard::kWorstCaseReserve)));
  cr_assert(ProgramBudgetHolds(Safeguards::All()));
}

Test(Budget, RefusedForBudget_DidNotRun) {
  SmallGroup s;
  SetBudget(s, 300, 1'000'000);
  s.Start();
  core::CallReply reply;
  core::Sequence  sequence = 0;
  do {
    reply = s.group.CallNow(
        "entry-a", s.group.ModelCall(s.program, ++sequence, kLongBody));
  } while (reply.ok && sequence < 20);
  cr_assert(reply.failure.reason == Reason::kProgramBudget);
  cr_assert(reply.failure.ran == core::Ran::kNo);
  cr_assert_eq(s.group.TotalEffects({s.program, sequence}), 0);
}

Test(Budget, CoordinatorKilledAgainAndAgain_ProgramBudgetHolds) {
  // Guards against overspending when coordinators die during calls: the
  // possible cost of such a call stays charged.
  SmallGroup s;
  SetBudget(s, 500, 1'000'000);
  s.Start();
  for (core::Sequence i = 1; i <= 3; ++i) {
    s.group.Call("entry-a", s.group.ModelCall(s.program, i, kLongBody));
    s.group.Advance(60);
    const std::string coordinator = s.CurrentCoordinator();
    s.group.Kill(coordinator);
    s.group.Advance(6000);
    s.group.Restart(coordinator);
    s.group.Advance(6000);
  }
  cr_assert_leq(SpentAtEngines(s), 500);
}

Test(Budget, AppendRepliesLost_TotalIsNotExceeded) {
  // Guards against grants that are counted twice or never when the log's
  // replies to appends are lost.
  SmallGroup s;
  SetBudget(s, 3000, 3000);
  s.group.log().SetMode(LogMode::kLosesReply);
  const core::Tokens spent = SpendAll(s, 9, 4);
  cr_assert_gt(spent, 0);
  cr_assert_leq(spent, 3000);
}

Test(Budget, LoweredWhileAnAgentIsCutOff_NothingNewBeyondWhatWasGranted) {
  // A coordinator that is cut off may spend the slice it was granted before the
  // total was lowered, but nothing beyond it.
  SmallGroup s;
  SetBudget(s, 100'000, 100'000);
  SpendAll(s, 6, 1);
  const std::string cut = kCoordinatorA;
  const auto        slice =
      s.group.agent(cut).budget().AvailableOf("sakhli", Resource::kTokens);
  for (const auto& vm :
       {kCoordinatorB, kCoordinatorC, kAppServerA, kAppServerB})
    s.group.Cut(cut, vm);
  s.group.CutLog(cut, true);
  const core::Tokens before = SpentAtEngines(s);
  SetBudget(s, 1000, 1000);
  SpendAll(s, 6, 3);
  const core::Tokens after = SpentAtEngines(s) - before;
  cr_assert_leq(after, slice + std::max<core::Tokens>(0, 1000 - before));
}

Test(Budget, LoweredTotal_UnusedSlicesAreReleased) {
  // Guards against slices that stay unusable although every holder is running.
  SmallGroup s;
  SetBudget(s, 50'000, 64'000);
  SpendAll(s, 6, 1);
  const core::Tokens spent = SpentAtEngines(s);
  SetBudget(s, 40'000, 50'000);
  s.group.Advance(5000);
  core::GrantLedger ledger;
  const auto read = s.group.log().Read({0, core::GrantStream("sakhli"), 0});
  for (const auto& logged : read.records) ledger.Apply(logged, 0);
  cr_assert_eq(ledger.state(Resource::kTokens).granted, spent);
  cr_assert_eq(ledger.state(Resource::kTokens).total, 50'000);
}

Test(Budget, LogUnavailableWithSliceUsedUp_IsRefusedWithRetryDelay) {
  // Without a slice and without the log, calls are refused with kLogUnavailable
  // and a retry delay.
  SmallGroup s;
  SetBudget(s, 60'000, 64'000);
  s.Start();
  s.group.CallNow("entry-a", s.group.ModelCall(s.program, 1, kLongBody));
  s.group.log().SetMode(LogMode::kDown);
  core::CallReply reply;
  core::Sequence  sequence = 1;
  do {
    reply = s.group.CallNow(
        "entry-a", s.group.ModelCall(s.program, ++sequence, kLongBody));
  } while (reply.ok && sequence < 60);
  cr_assert_gt(sequence, 2);
  cr_assert(reply.failure.reason == Reason::kLogUnavailable);
  cr_assert_gt(reply.failure.retry_after, 0);
}

Test(Budget, ProgramSlots_AreNotExceededAndAreReleased) {
  SmallGroup s;
  auto       contract = Group::DefaultContract("sakhli");
  contract.max_programs = 10;
  s.group.Publish(contract);
  s.group.Advance(2000);
  std::vector<core::ProgramId> programs;
  for (int i = 0; i < 30; ++i) {
    const auto id = s.group.StartNow("entry-a", "sakhli", "w1");
    if (id) programs.push_back(*id);
  }
  cr_assert_leq(programs.size(), 10);
  cr_assert_geq(programs.size(), 1);
  for (const auto& id : programs) {
    s.group.Query("entry-a", id, "sakhli", "w1", true);
    s.group.Advance(100);
  }
  s.group.Advance(3000);
  cr_assert(s.group.StartNow("entry-b", "sakhli", "w1").has_value());
}

// A ledger read from its start and one read from a later record have equal
// sums.
Test(GrantLedger, EarlyRecordsDropped_SumsAreKnownFromACheckpoint) {
  SmallGroup s;
  SpendAll(s, 9, 2);
  const std::string stream = core::GrantStream("sakhli");
  const auto        read = s.group.log().Read({0, stream, 0});
  cr_assert_gt(read.records.size(), 3);
  core::GrantLedger whole;
  for (const auto& logged : read.records) whole.Apply(logged, 0);
  for (std::size_t cut = 1; cut < read.records.size(); ++cut) {
    core::GrantLedger part;
    for (std::size_t i = cut; i < read.records.size(); ++i)
      part.Apply(read.records[i], static_cast<core::Offset>(cut));
    if (!part.IsKnown(Resource::kTokens)) continue;
    cr_assert_eq(part.state(Resource::kTokens).granted,
                 whole.state(Resource::kTokens).granted);
  }
}

}  // namespace
}  // namespace yuccawick::tests

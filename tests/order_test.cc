// Guarantee: the calls of a program run in the order of their sequence numbers.
#include <criterion/criterion.h>

#include <algorithm>

#include "fixture.h"

namespace yuccawick::tests {
namespace {

using core::Safeguard;
using core::Safeguards;

// The sequence numbers of a program's calls in the order that engines ran them.
std::vector<core::Sequence> RunOrder(SmallGroup&            s,
                                     const core::ProgramId& program) {
  std::vector<core::Sequence> order;
  for (const auto& vm : {kCoordinatorA, kCoordinatorB, kCoordinatorC}) {
    for (const auto& [id, sequence] : s.group.backend(vm).order()) {
      if (id == program) order.push_back(sequence);
    }
  }
  return order;
}

bool ReorderedCallsRunInOrder(Safeguards safeguards) {
  SmallGroup s(safeguards);
  s.Start();
  std::vector<std::uint64_t>     requests;
  const std::vector<std::string> entries{"entry-a", "entry-b"};
  for (const core::Sequence sequence : {3, 1, 4, 2}) {
    requests.push_back(s.group.Call(
        entries[sequence % 2],
        s.group.ModelCall(s.program, sequence, std::to_string(sequence))));
  }
  s.group.AdvanceUntil(
      [&] {
        return std::all_of(requests.begin(), requests.end(),
                           [&](auto r) { return s.group.IsAnswered(r); });
      },
      kRecoveryTimeout);
  return RunOrder(s, s.program) == std::vector<core::Sequence>{1, 2, 3, 4};
}

Test(CallOrder, CallsArriveReordered_RunInIssuedOrder) {
  // Guards against a call that runs before its predecessors and so acts on a
  // state that its program has not reached.
  cr_assert_not(
      ReorderedCallsRunInOrder(Safeguards::Without(Safeguard::kCallOrder)));
  cr_assert(ReorderedCallsRunInOrder(Safeguards::All()));
}

Test(CallOrder, CoordinatorReplacedBetweenReorderedCalls_RunInIssuedOrder) {
  // Guards against a lost waiting call: call 2 waits for call 1 when the
  // coordinator dies, and the entry sends it to the new one.
  SmallGroup s;
  s.Start();
  const auto second =
      s.group.Call("entry-a", s.group.ModelCall(s.program, 2, "second"));
  s.group.Advance(20);
  s.group.Kill(s.Coordinator());
  const auto first = s.group.CallThrough(
      {"entry-b"}, s.group.ModelCall(s.program, 1, "first"), kRecoveryTimeout);
  cr_assert(first.ok);
  cr_assert(s.group.AdvanceUntil([&] { return s.group.IsAnswered(second); },
                                 kRecoveryTimeout));
  const auto& reply = std::get<core::CallReply>(*s.group.AnswerTo(second));
  cr_assert(reply.ok, "%s", core::Name(reply.failure.reason).data());
  const std::vector<core::Sequence> order{1, 2};
  cr_assert(RunOrder(s, s.program) == order);
}

Test(CallOrder, SubAgentBesideItsParent_IsOrderedIndependently) {
  SmallGroup s;
  s.Start();
  const auto started = s.group.Start("entry-b", "sakhli", "w1", "m", s.program);
  cr_assert(s.group.AdvanceUntil([&] { return s.group.IsAnswered(started); },
                                 kRecoveryTimeout));
  const auto child =
      std::get<core::StartReply>(*s.group.AnswerTo(started)).program;
  cr_assert_eq(child.origin, s.program.origin);
  for (const core::Sequence sequence : {2, 1})
    s.group.Call("entry-a", s.group.ModelCall(child, sequence, "child"));
  s.group.Call("entry-b", s.group.ModelCall(s.program, 1, "parent"));
  s.group.Advance(2000);
  const std::vector<core::Sequence> child_order{1, 2};
  cr_assert(RunOrder(s, child) == child_order);
  cr_assert(RunOrder(s, s.program) == std::vector<core::Sequence>{1});
}

Test(CallOrder, SequenceFarAhead_IsRefusedAsNotRun) {
  SmallGroup s;
  s.Start();
  const auto reply =
      s.group.CallNow("entry-a", s.group.ModelCall(s.program, 40, "far"));
  cr_assert_not(reply.ok);
  cr_assert(reply.failure.reason == core::Reason::kSequenceGap);
  cr_assert(reply.failure.ran == core::Ran::kNo);
  cr_assert_eq(s.group.TotalEffects({s.program, 40}), 0);
}

Test(CallOrder, SameSequenceOtherContent_IsRefused) {
  SmallGroup s;
  s.Start();
  cr_assert(
      s.group.CallNow("entry-a", s.group.ModelCall(s.program, 1, "one")).ok);
  const auto reply =
      s.group.CallNow("entry-a", s.group.ModelCall(s.program, 1, "other"));
  cr_assert(reply.failure.reason == core::Reason::kSequenceReused);
}

}  // namespace
}  // namespace yuccawick::tests

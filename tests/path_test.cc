// End-to-end test of the core: start, dependent calls, an unrepeatable call,
// the end, and a takeover.
#include <criterion/criterion.h>

#include "fixture.h"

namespace yuccawick::tests {
namespace {

Test(Program, CallsOverTwoEntries_FinishesWithCompleteHistory) {
  SmallGroup s;
  cr_assert(s.settled);
  s.Start();
  cr_assert(s.program.IsSet());
  const auto first = s.group.CallNow(
      "entry-a", s.group.ModelCall(s.program, 1, "a slot on Friday"));
  cr_assert(first.ok, "%s", core::Name(first.failure.reason).data());
  const auto booked =
      s.group.CallNow("entry-b", s.group.ServiceCall(s.program, 2, "friday 9"));
  cr_assert(booked.ok, "%s", core::Name(booked.failure.reason).data());
  const auto last =
      s.group.CallNow("entry-b", s.group.ModelCall(s.program, 3, "receipt"));
  cr_assert(last.ok);
  cr_assert_eq(s.group.TotalEffects({s.program, 2}), 1);
  const auto end = s.group.Query("entry-a", s.program, "sakhli", "w1", true);
  cr_assert(s.group.AdvanceUntil([&] { return s.group.IsAnswered(end); },
                                 kRecoveryTimeout));
  const auto& reply = std::get<core::ProgramReply>(*s.group.AnswerTo(end));
  cr_assert(reply.ok);
  cr_assert_eq(reply.program.turns.size(), 3);
  s.group.Advance(1000);
  cr_assert_eq(s.group.backend(s.Coordinator()).prefixes_held(), 0);
}

Test(Program, CoordinatorKilledBetweenTurns_ContinuesAtReplica) {
  // A replica claims the dead coordinator and serves the next call with the
  // complete history.
  SmallGroup s;
  s.Start();
  cr_assert(
      s.group.CallNow("entry-a", s.group.ModelCall(s.program, 1, "one")).ok);
  s.group.Kill(s.Coordinator());
  const auto reply = s.group.CallThrough({"entry-a", "entry-b"},
                                         s.group.ModelCall(s.program, 2, "two"),
                                         kRecoveryTimeout);
  cr_assert(reply.ok, "%s", core::Name(reply.failure.reason).data());
  const auto* state =
      s.group.agent(s.CurrentCoordinator()).coordinator().Find(s.program);
  cr_assert_not_null(state);
  cr_assert_eq(state->turns.size(), 2);
}

// The text that an entry streams to its caller for a message of `from`.
std::string StreamedText(SmallGroup* s, const core::NodeRef& from,
                         const core::CallChunk& chunk) {
  core::Entry& entry = s->group.entry("entry-a");
  std::string  text;
  for (const auto& command : entry.Handle(
           s->group.now(), core::MessageReceived{from, entry.self(), chunk})) {
    const auto* reply = std::get_if<core::ReplyToCaller>(&command);
    if (reply == nullptr) continue;
    if (const auto* part = std::get_if<core::CallChunk>(&reply->reply))
      text += part->text;
  }
  return text;
}

Test(StreamedCall, RunsAgainAfterAPart_TextsOfTwoRunsAreNotJoined) {
  // Guards against a stream that goes on with the text of another run, whose
  // words before that position the caller has not received.
  SmallGroup s;
  s.Start();
  s.group.backend(s.Coordinator()).Hold(true);
  const auto call =
      s.group.Call("entry-a", s.group.ModelCall(s.program, 1, "q"));
  s.group.Advance(20);
  const auto from =
      s.group.entry("entry-a").control().Resolve(s.program.origin).node;
  cr_assert_str_eq(StreamedText(&s, from, {call, 0, "alpha "}).c_str(),
                   "alpha ");
  cr_expect_str_empty(StreamedText(&s, from, {call, 0, "gamma "}).c_str());
  cr_expect_str_empty(StreamedText(&s, from, {call, 6, "delta"}).c_str());
}

}  // namespace
}  // namespace yuccawick::tests

#include "yuccawick/traffic/attempt.h"

#include <array>
#include <cstdlib>

#include "yuccawick/core/chart_text.h"

namespace yuccawick::traffic {
namespace {

const core::NameList kPhases{"preparing", "connecting",   "sent",
                             "answering", "reconnecting", "continuing",
                             "recording", "done"};
const core::NameList kEvents{"prepared",     "connected",  "answer_began",
                             "answer_ended", "send_again", "recorded",
                             "refuse",       "finish"};

}  // namespace

const AttemptChart& GetAttemptChart() {
  static const AttemptChart kChart = [] {
    auto chart = core::Chart::Parse(core::kAttemptChartText, kPhases, kEvents);
    // The chart is compiled in, so parsing it cannot fail at run time.
    if (!chart) std::abort();
    return AttemptChart(*chart);
  }();
  return kChart;
}

std::string_view Name(AttemptPhase phase) {
  return kPhases[static_cast<std::size_t>(phase)];
}

std::string_view Name(SendFailureCause cause) {
  constexpr std::array<std::string_view, 4> kNames{"not_connected", "not_run",
                                                   "broken", "bad_answer"};
  return kNames[static_cast<std::size_t>(cause)];
}

std::string_view Name(NextStep step) {
  constexpr std::array<std::string_view, 5> kNames{
      "other_server", "same_server", "refuse", "fail", "cut_off"};
  return kNames[static_cast<std::size_t>(step)];
}

NextStep DecideNextStep(const Route& route, const SendFailure& failure) {
  const bool certain = failure.cause == SendFailureCause::kNotConnected ||
                       failure.cause == SendFailureCause::kNotRun;
  const bool may_have_run = failure.in_doubt || !certain;
  const bool may_repeat = (route.Repeatable() || !may_have_run) &&
                          (!failure.answering || failure.can_continue);
  const bool has_time =
      failure.left >= kMinTimeToRepeat && failure.repeats < kMaxRepeats;
  const NextStep give_up = failure.answering ? NextStep::kCutOff
                           : may_have_run    ? NextStep::kFail
                                             : NextStep::kRefuse;
  if (!may_repeat || !has_time) return give_up;
  // A server that accepts no connection has stopped or is unreachable; it does
  // not count towards the servers that the route allows.
  const bool more_servers = failure.cause == SendFailureCause::kNotConnected ||
                            failure.servers_sent < route.max_attempts;
  if (failure.other_server && more_servers) return NextStep::kOtherServer;
  // Repeating on the same server does not count as a further server. It does
  // not help if the server is full, because that lasts longer than a repeat
  // takes.
  const bool repeat_helps = failure.cause == SendFailureCause::kBroken ||
                            failure.cause == SendFailureCause::kBadAnswer;
  return repeat_helps ? NextStep::kSameServer : give_up;
}

}  // namespace yuccawick::traffic

#include "yuccawick/traffic/attempt.h"

#include <array>
#include <cstdlib>

#include "yuccawick/core/chart_text.h"

namespace yuccawick::traffic {
namespace {

const core::NameList kPhases{"preparing", "connecting", "sent",
                             "answering", "recording",  "done"};
const core::NameList kEvents{"prepared",     "connected",  "answer_began",
                             "answer_ended", "send_again", "recorded",
                             "finish"};

}  // namespace

const AttemptChart& GetAttemptChart() {
  static const AttemptChart kChart = [] {
    auto chart = core::Chart::Parse(core::kAttemptChartText, kPhases, kEvents);
    // Nothing can be decided without the chart, and it is compiled in.
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

NextStep DecideNextStep(const Route& route, const SendFailure& loss) {
  const bool certain = loss.cause == SendFailureCause::kNotConnected ||
                       loss.cause == SendFailureCause::kNotRun;
  const bool may_have_run = loss.in_doubt || !certain;
  const bool may_repeat = route.Repeatable() || !may_have_run;
  const bool has_time =
      loss.left >= kLeastTimeToRepeat && loss.repeats < kMaxRepeats;
  const NextStep give_up = loss.answering ? NextStep::kCutOff
                           : may_have_run ? NextStep::kFail
                                          : NextStep::kRefuse;
  if (!may_repeat || !has_time) return give_up;
  // A server that takes no connection has ended or is cut off; it does not use
  // up one of the servers that the route allows.
  const bool more_servers = loss.cause == SendFailureCause::kNotConnected ||
                            loss.servers_sent < route.max_attempts;
  if (loss.other_server && more_servers) return NextStep::kOtherServer;
  // The same server again costs no further server. One that is full stays full
  // for longer than a repeat takes.
  const bool same_helps = loss.cause == SendFailureCause::kBroken ||
                          loss.cause == SendFailureCause::kBadAnswer;
  return same_helps ? NextStep::kSameServer : give_up;
}

}  // namespace yuccawick::traffic

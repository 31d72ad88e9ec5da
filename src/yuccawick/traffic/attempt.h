// What follows when sending a request to a backend server comes to nothing.
//
// The phases of an attempt stand in charts/attempt.chart. DecideNextStep() is
// the one place that decides whether a request may be sent again and what the
// caller is told, from what is certain about the server:
//
//   not connected       the server saw nothing of it
//   not run             the server vouches that it did not run it
//   broken, bad answer  it may have run
//
// "Not run" is promised to the caller only in the first two cases, and only if
// no earlier send of the same attempt is in doubt.
#pragma once

#include <cstdint>
#include <string_view>

#include "yuccawick/core/chart.h"
#include "yuccawick/traffic/manifest.h"

namespace yuccawick::traffic {

enum class AttemptPhase : std::uint8_t {
  kPreparing,   // history and budget are being looked up
  kConnecting,  // a server is chosen, nothing was sent
  kSent,        // at the server, no answer yet
  kAnswering,   // part of the answer went to the client
  kRecording,   // the answer is whole; its turn is being made durable
  kDone,
};
enum class AttemptEvent : std::uint8_t {
  kPrepared,
  kConnected,
  kAnswerBegan,
  kAnswerEnded,
  kSendAgain,
  kRecorded,
  kFinish,
};
using AttemptChart = core::TypedChart<AttemptPhase, AttemptEvent>;
const AttemptChart& GetAttemptChart();
std::string_view    Name(AttemptPhase phase);

enum class SendFailureCause : std::uint8_t {
  kNotConnected,
  kNotRun,
  kBroken,     // the connection ended or failed in the middle
  kBadAnswer,  // bytes that are no answer to this request
};
std::string_view Name(SendFailureCause cause);

struct SendFailure {
  SendFailureCause cause = SendFailureCause::kBroken;
  int              servers_sent = 0;   // distinct servers that were sent it
  int              repeats = 0;        // sends after the first
  bool             in_doubt = false;   // some send of it may have run
  bool             answering = false;  // part of the answer went to the client
  bool             other_server = false;  // one is left that was not tried
  Duration         left = 0;              // ms until the attempt is given up
};

enum class NextStep : std::uint8_t {
  kOtherServer,  // send it whole to another server
  kSameServer,   // send it again to the same server, on a new connection; as a
                 // continuation if part of the answer was passed on
  kRefuse,       // tell the client that it did not run, and when to come back
  kFail,         // tell the client that it failed, promising nothing
  kCutOff,       // end the connection so that the answer looks incomplete
};
std::string_view Name(NextStep step);

NextStep DecideNextStep(const Route& route, const SendFailure& loss);

// Sends after the first that one attempt may cost, whatever the route allows.
inline constexpr int      kMaxRepeats = 3;
// With less time than this left, in ms, a repeat could not be answered.
inline constexpr Duration kLeastTimeToRepeat = 20;

}  // namespace yuccawick::traffic

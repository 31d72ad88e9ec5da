// Decides what to do after a failed send to a backend server.
//
// The phases of an attempt are defined in charts/attempt.chart.
// DecideNextStep() alone decides whether a request may be sent again and what
// the client is told, depending on what is known about the server:
//
//   not connected       the server received nothing
//   not run             the server states that it did not run the request
//   broken, bad answer  the request may have run
//
// The client is told that the request did not run only in the first two cases,
// and only if no earlier send of the same attempt may have run.
#pragma once

#include <cstdint>
#include <string_view>

#include "yuccawick/core/chart.h"
#include "yuccawick/traffic/manifest.h"

namespace yuccawick::traffic {

enum class AttemptPhase : std::uint8_t {
  kPreparing,     // looking up history and budget
  kConnecting,    // server chosen, nothing sent
  kSent,          // sent, no response yet
  kAnswering,     // part of the response was sent to the client
  kReconnecting,  // like kConnecting, to continue that response
  kContinuing,    // sent to continue it, nothing more received yet
  kRecording,     // response complete, turn being persisted
  kDone,
};
enum class AttemptEvent : std::uint8_t {
  kPrepared,
  kConnected,
  kAnswerBegan,
  kAnswerEnded,
  kSendAgain,
  kRecorded,
  kRefuse,
  kFinish,
};
using AttemptChart = core::TypedChart<AttemptPhase, AttemptEvent>;
const AttemptChart& GetAttemptChart();
std::string_view    Name(AttemptPhase phase);

enum class SendFailureCause : std::uint8_t {
  kNotConnected,
  kNotRun,
  kBroken,     // connection closed or failed before the end
  kBadAnswer,  // not a valid response to this request
};
std::string_view Name(SendFailureCause cause);

struct SendFailure {
  SendFailureCause cause = SendFailureCause::kBroken;
  int              servers_sent = 0;   // distinct servers that it was sent to
  int              repeats = 0;        // sends after the first
  bool             in_doubt = false;   // an earlier send may have run
  bool             answering = false;  // part of the response was sent
  bool             can_continue = false;  // another send may complete it
  bool             other_server = false;  // an untried server is left
  Duration         left = 0;              // ms until the attempt times out
};

enum class NextStep : std::uint8_t {
  kOtherServer,  // send the whole request to another server
  kSameServer,  // resend to the same server on a new connection; resume if part
                // of the response was passed on
  kRefuse,  // tell the client that the request did not run, with a retry delay
  kFail,    // report a failure; the request may have run
  kCutOff,  // close the connection so that the response is visibly incomplete
};
std::string_view Name(NextStep step);

NextStep DecideNextStep(const Route& route, const SendFailure& failure);

// Maximum number of sends after the first one of an attempt, on any route.
inline constexpr int      kMaxRepeats = 3;
// Minimum time left, in ms, in which a repeat can complete.
inline constexpr Duration kMinTimeToRepeat = 20;

}  // namespace yuccawick::traffic

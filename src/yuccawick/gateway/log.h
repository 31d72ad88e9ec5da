// Structured log on standard output: one JSON object per line.
//
// Write() formats a line from its fields:
//
//   log.Write(LogEvent::kRefused, {{"request", id}, {"reason", "overloaded"}});
//
// Write() never blocks. Lines wait in a bounded buffer until Flush() writes
// them; lines above the buffer size or the rate limit are dropped, and a
// kDropped line reports how many. The lines pass through Boost.Log, so an
// embedding program can add sinks of its own.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "yuccawick/net/event_loop.h"

namespace yuccawick::gateway {

enum class LogEvent : std::uint8_t {
  kStarted,
  kStopping,
  kStopped,
  kSettings,   // settings file reloaded
  kManifest,   // a manifest took effect on this node
  kServers,    // the list of backend servers changed
  kLogLost,    // a partition of the platform's log became unavailable
  kLogBack,    // the partition answers again
  kLogUse,     // calls to the platform's log since the last such line
  kAccepted,   // a request was read and matched a route
  kSent,       // sent to a backend server, with the reasons for the choice
  kLoss,       // a send failed, with the next step
  kProbed,     // a server that broke off a request was asked if it still runs
  kSuspect,    // what is known of a send under which a server may have ended
  kContinued,  // a server answered after part of an answer was passed on
  kAnswered,   // the client received its whole answer
  kRefused,    // answered by the gateway itself, with an error
  kCutOff,     // the answer was aborted
  kClientLeft,
  kWaiting,   // the turn waits for the platform's log before it is sent
  kClaim,     // tokens of a program were claimed
  kSettled,   // what a turn used was recorded late, or not at all
  kScan,      // the log was searched for turns
  kOrigins,   // origins of streams were read from the log
  kLimit,     // requests refused by a workspace's rate limit
  kRoom,      // capacity of a service's model servers changed or ran out
  kShare,     // admission threshold of a workspace with high usage
  kPace,      // a backend server became slow or recovered
  kPressure,  // memory use approached its limit or fell below it again
  kPeer,      // a peer joined or left
  kDropped,   // lines of this log were dropped
  kFault,     // internal error
};
std::string_view Name(LogEvent event);

struct LogField {
  LogField(std::string_view field, std::string_view text)
      : name(field), value(text) {}
  LogField(std::string_view field, const std::string& text)
      : name(field), value(text) {}
  LogField(std::string_view field, const char* text)
      : name(field), value(text) {}
  LogField(std::string_view field, std::int64_t number)
      : name(field), value(std::to_string(number)), is_number(true) {}
  LogField(std::string_view field, int number)
      : LogField(field, static_cast<std::int64_t>(number)) {}
  LogField(std::string_view field, std::size_t number)
      : LogField(field, static_cast<std::int64_t>(number)) {}

  std::string_view name;
  std::string      value;
  bool             is_number = false;
};

class Log {
 public:
  Log(std::string node, std::string zone);
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  // Thread-safe.
  void        Write(LogEvent event, std::initializer_list<LogField> fields);
  // Turns logging on or off for the whole process.
  static void SetEnabled(bool enabled);
  // Writes buffered lines to standard output without blocking; call once per
  // iteration of the event loop.
  void        Flush();

 private:
  class Sink;

  std::string           m_node;
  std::string           m_zone;
  std::shared_ptr<Sink> m_sink;
};

}  // namespace yuccawick::gateway

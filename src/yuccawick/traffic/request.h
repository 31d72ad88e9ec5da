// One client attempt, and the response head of a backend server, independent of
// the wire format.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "yuccawick/net/event_loop.h"

namespace yuccawick::traffic {

using net::Duration;
using net::Time;

struct RequestInfo {
  std::string                 attempt;  // unique id of the attempt
  std::string                 host;
  std::optional<Duration>     deadline;      // ms that the client waits
  std::string                 program;       // empty: none
  std::string                 session;       // chain of turns in the program
  std::optional<Duration>     program_left;  // ms to the program's deadline
  std::optional<std::int64_t> budget;        // tokens of the program
  std::int64_t                prompt_tokens = 0;
  // Tokens of the prompt prefix shared with other programs.
  std::int64_t                shared_tokens = 0;
  std::int64_t                max_tokens = 0;  // limit of generated tokens
  std::string                 previous_turn;
  std::string                 last_event;  // resume after this event
  std::string                 resumes;  // attempt that brought the first event
  std::string                 prefix;   // id of the first prompt part
  std::string                 key;      // workspace key; secret; empty: none
};

struct AnswerInfo {
  int         status = 0;
  std::string attempt;          // id of the answered attempt; empty: not stated
  bool        stamped = false;  // has the server's signature
  bool        not_run = false;  // server states it did not run
  bool        encoded = false;  // has an unrequested encoding
  bool        event_stream = false;
  std::optional<Duration> retry_after;  // ms
};

}  // namespace yuccawick::traffic

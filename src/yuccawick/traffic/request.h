// One client attempt, and what a backend server said of it, in our own terms.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "yuccawick/net/event_loop.h"

namespace yuccawick::traffic {

using net::Duration;
using net::Time;

struct RequestInfo {
  std::string                 attempt;  // unique to this attempt of a client
  std::string                 host;
  std::optional<Duration>     deadline;      // ms the client still waits
  std::string                 program;       // agent program; empty: none
  std::string                 session;       // line of turns in the program
  std::optional<Duration>     program_left;  // ms until it should be finished
  std::optional<std::int64_t> budget;        // tokens of the whole program
  std::int64_t                prompt_tokens = 0;
  // Of the prompt, that other programs' prompts begin with as well.
  std::int64_t                shared_tokens = 0;
  std::int64_t                max_tokens = 0;  // that the turn may generate
  std::string                 previous_turn;
  std::string                 last_event;  // resumes after this event
  std::string                 prefix;      // id of the first prompt part
  std::string                 key;  // of its workspace; secret; empty: none
};

struct AnswerInfo {
  std::string             attempt;  // the one it answers; empty: not said
  bool                    stamped = false;  // carries the server's signature
  bool                    not_run = false;  // the server vouches for that
  bool                    encoded = false;  // a body that nobody asked for
  bool                    event_stream = false;
  std::optional<Duration> retry_after;  // ms
};

}  // namespace yuccawick::traffic

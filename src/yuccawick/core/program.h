// State of a program: its calls, history and spending.
//
// Each program is owned by one coordinator at a time. ProgramDelta is the unit
// that is copied to replicas, written to the log and read back after a failure.
// Applying deltas is idempotent and independent of order: of two versions of a
// turn the one with the higher fence wins, and metadata is ordered by fence and
// revision.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "yuccawick/core/failure.h"
#include "yuccawick/core/types.h"

namespace yuccawick::core {

struct Usage {
  Tokens prompt = 0;      // tokens of the whole prompt
  Tokens cached = 0;      // prompt tokens found in the prefix cache
  Tokens completion = 0;  // generated tokens

  bool operator==(const Usage&) const = default;
  template <class V>
  void Visit(V& v) {
    v("prompt", prompt);
    v("cached", cached);
    v("completion", completion);
  }
};

struct Answer {
  std::string text;   // complete text
  Usage       usage;  // as reported by the backend server

  bool operator==(const Answer&) const = default;
  template <class V>
  void Visit(V& v) {
    v("text", text);
    v("usage", usage);
  }
};

using Outcome = tl::expected<Answer, Failure>;

// A call as issued by its program.
struct Call {
  ProgramId   program;
  std::string customer;
  std::string workspace;
  Sequence    sequence = 0;  // 1 for the first call of the program
  BackendKind kind = BackendKind::kModel;
  std::string target;                // name of the model or service
  std::string body;                  // new user content or tool arguments
  Tokens      max_tokens = 0;        // limit of generated tokens
  bool        unrepeatable = false;  // must run at most once
  Time        deadline = 0;          // the caller stops waiting at this time

  template <class V>
  void Visit(V& v) {
    v("program", program);
    v("customer", customer);
    v("workspace", workspace);
    v("sequence", sequence);
    v("kind", kind);
    v("target", target);
    v("body", body);
    v("maxTokens", max_tokens);
    v("unrepeatable", unrepeatable);
    v("deadline", deadline);
  }
};

// True if two calls with the same sequence number are the same request.
bool SameRequest(const Call& a, const Call& b);

// A finished call. An unrepeatable call with unknown outcome is stored as a
// turn too, so that it never runs again.
struct Turn {
  Call    call;
  Answer  answer;
  bool    failed = false;  // `failure` is valid, not `answer`
  Failure failure;
  Offset  fence = kNoOffset;  // claim under which the owner wrote this

  Outcome ToOutcome() const;
  template <class V>
  void Visit(V& v) {
    v("call", call);
    v("answer", answer);
    v("failed", failed);
    v("failure", failure);
    v("fence", fence);
  }
};

// Made durable before an unrepeatable call is sent, so that a new owner knows
// where the call may have run.
struct Intent {
  Call    call;      // sequence 0: no intent
  NodeRef executor;  // the incarnation that it is sent to

  bool IsSet() const { return call.sequence != 0; }
  template <class V>
  void Visit(V& v) {
    v("call", call);
    v("executor", executor);
  }
};

struct ProgramMeta {
  ProgramId     id;
  std::string   customer;
  std::string   workspace;
  std::string   model;              // model that the program was started for
  std::string   service_class;      // service class of the contract
  ProgramId     parent;             // set for a sub-agent
  Offset        fence = kNoOffset;  // claim under which the owner wrote this
  std::uint64_t revision = 0;       // incremented by the owner on every change
  Tokens        spent = 0;  // spending of this program, including reservations
  bool          ended = false;
  Time          started = 0;
  Time          last_active = 0;
  Intent        intent;  // unrepeatable call without a known outcome

  template <class V>
  void Visit(V& v) {
    v("id", id);
    v("customer", customer);
    v("workspace", workspace);
    v("model", model);
    v("serviceClass", service_class);
    v("parent", parent);
    v("fence", fence);
    v("revision", revision);
    v("spent", spent);
    v("ended", ended);
    v("started", started);
    v("lastActive", last_active);
    v("intent", intent);
  }
};

struct ProgramDelta {
  ProgramMeta       meta;
  std::vector<Turn> turns;  // new turns, or all of them

  template <class V>
  void Visit(V& v) {
    v("meta", meta);
    v("turns", turns);
  }
};

struct ProgramState {
  ProgramMeta              meta;
  std::map<Sequence, Turn> turns;

  Sequence     NextSequence() const;
  // The prompt before a new call: the text of every finished model turn.
  std::string  Prompt() const;
  void         Apply(const ProgramDelta& delta);
  // The complete state as a delta.
  ProgramDelta ToDelta() const;
};

// The part of the prompt for one finished turn.
std::string PromptOfTurn(const Turn& turn);
// The complete prompt of a model call after the given history.
std::string FullPrompt(std::string_view history, const Call& call);

}  // namespace yuccawick::core

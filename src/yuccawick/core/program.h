// What is kept of one program: its calls in order, its history, its spending.
//
// A program is owned by one home at a time. ProgramDelta is the unit in which
// that state is copied to the replica, written to the log and read back after a
// failure. Applying deltas is idempotent and order-free: a turn is keyed by its
// sequence, and of two the one written under the higher claim stands; the rest
// goes by claim and revision.
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
  Tokens cached = 0;      // of these, found in the prefix cache
  Tokens completion = 0;  // tokens generated

  bool operator==(const Usage&) const = default;
  template <class V>
  void Visit(V& v) {
    v("prompt", prompt);
    v("cached", cached);
    v("completion", completion);
  }
};

struct Answer {
  std::string text;   // whole text of the answer
  Usage       usage;  // as the backend server counted it

  bool operator==(const Answer&) const = default;
  template <class V>
  void Visit(V& v) {
    v("text", text);
    v("usage", usage);
  }
};

using Outcome = tl::expected<Answer, Failure>;

// One call as its program issued it.
struct Call {
  ProgramId   program;
  std::string customer;
  std::string workspace;
  Sequence    sequence = 0;  // 1 for the first call of the program
  BackendKind kind = BackendKind::kModel;
  std::string target;                // model or service name
  std::string body;                  // new user content or tool arguments
  Tokens      max_tokens = 0;        // most tokens to generate
  bool        unrepeatable = false;  // may run at most once
  Time        deadline = 0;          // no use after this

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

// True if two calls of one sequence are the same request issued again.
bool SameRequest(const Call& a, const Call& b);

// A finished call. An unrepeatable call whose outcome nobody can know is a turn
// too, so that it is never run again.
struct Turn {
  Call    call;
  Answer  answer;
  bool    failed = false;  // `failure` holds, not `answer`
  Failure failure;
  Offset  fence = kNoOffset;  // claim its owner held when writing this

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

// Held safely before an unrepeatable call is sent, so that whoever takes over
// knows where it may have run.
struct Intent {
  Call    call;      // sequence 0: no intent
  NodeRef executor;  // the one incarnation it is sent to

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
  std::string   model;              // the model the program was started for
  std::string   service_class;      // class of the contract
  ProgramId     parent;             // set for a sub-agent
  Offset        fence = kNoOffset;  // claim its owner held when writing this
  std::uint64_t revision = 0;       // grows with every change of one owner
  Tokens        spent = 0;          // own spending, reservations included
  bool          ended = false;
  Time          started = 0;
  Time          last_active = 0;
  Intent        intent;  // open unrepeatable call

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
  std::vector<Turn> turns;  // the new ones, or all of them

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
  // Text the engine is given before the new call: every finished model turn.
  std::string  Prompt() const;
  void         Apply(const ProgramDelta& delta);
  // Everything, for a new replica or a rewrite in the log.
  ProgramDelta ToDelta() const;
};

// The part of the prompt that one finished turn makes up.
std::string PromptOfTurn(const Turn& turn);
// The whole prompt of a model call after the given history.
std::string FullPrompt(std::string_view history, const Call& call);

}  // namespace yuccawick::core

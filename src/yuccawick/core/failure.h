// The one type of failure a caller can see.
//
// Every refusal says three things: why (Reason), whether the request ran (Ran)
// and when to come back. A reason is added here and in the table of failure.cc;
// the metrics, the HTTP status and the JSON names all come from that table, so
// no reason can be left without a counter.
//
// Use Refuse() where the request certainly did not run. Say Ran::kNo only then.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "yuccawick/core/types.h"

namespace yuccawick::core {

enum class Ran : std::uint8_t { kNo, kYes, kUnknown };

enum class Reason : std::uint8_t {
  kMalformed,           // the request could not be understood
  kTooLarge,            // body above the size limit
  kNoContract,          // the customer has no contract in force
  kUnknownClass,        // the contract has no such service class
  kUnknownProgram,      // no node holds a program of that id
  kWrongWorkspace,      // the program belongs to another workspace
  kProgramEnded,        // the program has been ended or has timed out
  kSequenceGap,         // too far ahead of the calls seen so far
  kSequenceReused,      // same sequence, other content
  kTurnLimit,           // the contract's limit of calls per program
  kProgramLimit,        // the contract's limit of programs under way
  kProgramBudget,       // the program's own budget is used up
  kCustomerBudget,      // the customer's total for the period is used up
  kUnknownBackend,      // no backend server of that model or service
  kOverloaded,          // could not start within the contract's waiting time
  kDeadline,            // the caller's deadline passed
  kDraining,            // the node is leaving
  kNotReady,            // the node has not joined yet
  kHomeUnreachable,     // the program's home does not answer
  kFenced,              // the sender has been replaced by a newer owner
  kWrongIncarnation,    // addressed to an earlier incarnation of this node
  kBackendUnreachable,  // the backend server or its agent does not answer
  kBackendError,        // the backend server answered with an error
  kOutcomeUnknown,      // may have run; nobody can know
  kNotDurable,          // ran, but its record is not yet held safely
  kCancelled,           // the caller went away
  kConflict,            // another operator's amendment came first
  kLogUnavailable,      // the platform's log does not answer
  kSlowClient,          // the caller did not read or send in time
};
constexpr std::size_t kReasonCount =
    static_cast<std::size_t>(Reason::kSlowClient) + 1;

struct Failure {
  Reason   reason = Reason::kMalformed;  // why
  Ran      ran = Ran::kNo;               // whether the request ran
  Duration retry_after = 0;              // ms; 0: do not repeat unchanged

  bool operator==(const Failure&) const = default;
  template <class V>
  void Visit(V& v) {
    v("reason", reason);
    v("ran", ran);
    v("retryAfter", retry_after);
  }
};

struct ReasonInfo {
  Reason           reason;       // equals its index in the table
  std::string_view name;         // stable name in JSON, logs and metrics
  int              http_status;  // status of a refusal with this reason
  Duration         retry_after;  // default, ms; 0: not worth repeating
};

const std::array<ReasonInfo, kReasonCount>& ReasonTable();
const ReasonInfo&                           Info(Reason reason);
std::string_view                            Name(Reason reason);
std::string_view                            Name(Ran ran);

// A refusal of something that did not run.
Failure Refuse(Reason reason);
// The same with an explicit time to come back, in ms.
Failure Refuse(Reason reason, Duration retry_after);

}  // namespace yuccawick::core

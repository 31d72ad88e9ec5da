// Failures that callers can see.
//
// A failure has a reason, says whether the request ran, and when to retry. To
// add a reason, extend Reason and the table in failure.cc; metrics, HTTP status
// and JSON names are derived from that table.
//
// Use Refuse() and Ran::kNo only for requests that certainly did not run.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "yuccawick/core/types.h"

namespace yuccawick::core {

enum class Ran : std::uint8_t { kNo, kYes, kUnknown };

enum class Reason : std::uint8_t {
  kMalformed,           // the request could not be parsed
  kTooLarge,            // body above the size limit
  kNoContract,          // the customer has no contract in force
  kUnknownClass,        // the contract has no such service class
  kUnknownProgram,      // no program with this id
  kWrongWorkspace,      // the program belongs to another workspace
  kProgramEnded,        // the program has ended or expired
  kSequenceGap,         // too far ahead of the calls received so far
  kSequenceReused,      // same sequence number, different content
  kTurnLimit,           // the contract's limit of calls per program
  kProgramLimit,        // the contract's limit of concurrent programs
  kProgramBudget,       // the program's budget is exhausted
  kCustomerBudget,      // the customer's total for the period is exhausted
  kUnknownBackend,      // no backend server of that model or service
  kOverloaded,          // cannot start within the contract's waiting time
  kDeadline,            // the caller's deadline passed
  kDraining,            // the node is leaving
  kNotReady,            // the node has not joined yet
  kHomeUnreachable,     // the program's coordinator does not respond
  kFenced,              // the sender has been replaced by a newer owner
  kWrongIncarnation,    // addressed to an earlier incarnation of this node
  kBackendUnreachable,  // the backend server or its agent does not respond
  kBackendError,        // the backend server returned an error
  kOutcomeUnknown,      // may have run; cannot be determined
  kNotDurable,          // ran, but its record is not yet durable
  kCancelled,           // the caller disconnected or cancelled
  kConflict,            // another amendment of this version came first
  kLogUnavailable,      // the platform's log does not respond
  kSlowClient,          // the caller did not read or send in time
};
constexpr std::size_t kReasonCount =
    static_cast<std::size_t>(Reason::kSlowClient) + 1;

struct Failure {
  Reason   reason = Reason::kMalformed;
  Ran      ran = Ran::kNo;   // whether the request ran
  Duration retry_after = 0;  // ms; 0: do not retry unchanged

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
  int              http_status;  // status of a response with this reason
  Duration         retry_after;  // default, ms; 0: do not retry
};

const std::array<ReasonInfo, kReasonCount>& ReasonTable();
const ReasonInfo&                           Info(Reason reason);
std::string_view                            Name(Reason reason);
std::string_view                            Name(Ran ran);

// A failure of a request that did not run, with the default retry delay of the
// reason.
Failure Refuse(Reason reason);
// The same with an explicit retry delay, ms.
Failure Refuse(Reason reason, Duration retry_after);

}  // namespace yuccawick::core

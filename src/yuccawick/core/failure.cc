#include "yuccawick/core/failure.h"

#include <cassert>

namespace yuccawick::core {
namespace {

constexpr std::array<ReasonInfo, kReasonCount> kReasons{{
    {Reason::kMalformed, "malformed", 400, 0},
    {Reason::kTooLarge, "too_large", 413, 0},
    {Reason::kNoContract, "no_contract", 403, 5000},
    {Reason::kUnknownClass, "unknown_class", 400, 0},
    {Reason::kUnknownProgram, "unknown_program", 404, 0},
    {Reason::kWrongWorkspace, "wrong_workspace", 403, 0},
    {Reason::kProgramEnded, "program_ended", 410, 0},
    {Reason::kSequenceGap, "sequence_gap", 409, 500},
    {Reason::kSequenceReused, "sequence_reused", 409, 0},
    {Reason::kTurnLimit, "turn_limit", 403, 0},
    {Reason::kProgramLimit, "program_limit", 429, 2000},
    {Reason::kProgramBudget, "program_budget", 402, 0},
    {Reason::kCustomerBudget, "customer_budget", 402, 60000},
    {Reason::kUnknownBackend, "unknown_backend", 404, 5000},
    {Reason::kOverloaded, "overloaded", 503, 2000},
    {Reason::kDeadline, "deadline", 504, 1000},
    {Reason::kDraining, "draining", 503, 300},
    {Reason::kNotReady, "not_ready", 503, 1000},
    {Reason::kHomeUnreachable, "home_unreachable", 503, 2000},
    {Reason::kFenced, "fenced", 503, 300},
    {Reason::kWrongIncarnation, "wrong_incarnation", 503, 500},
    {Reason::kBackendUnreachable, "backend_unreachable", 502, 1000},
    {Reason::kBackendError, "backend_error", 502, 1000},
    {Reason::kOutcomeUnknown, "outcome_unknown", 504, 0},
    {Reason::kNotDurable, "not_durable", 503, 1000},
    {Reason::kCancelled, "cancelled", 499, 0},
    {Reason::kConflict, "conflict", 409, 0},
    {Reason::kLogUnavailable, "log_unavailable", 503, 2000},
    {Reason::kSlowClient, "slow_client", 408, 0},
}};

}  // namespace

const std::array<ReasonInfo, kReasonCount>& ReasonTable() { return kReasons; }

const ReasonInfo& Info(Reason reason) {
  const auto index = static_cast<std::size_t>(reason);
  assert(index < kReasonCount && "add the reason to kReasons");
  assert(kReasons[index].reason == reason && "keep kReasons in enum order");
  return kReasons[index];
}

std::string_view Name(Reason reason) { return Info(reason).name; }

std::string_view Name(Ran ran) {
  constexpr std::array<std::string_view, 3> kNames{"no", "yes", "unknown"};
  return kNames[static_cast<std::size_t>(ran)];
}

Failure Refuse(Reason reason) {
  return {reason, Ran::kNo, Info(reason).retry_after};
}

Failure Refuse(Reason reason, Duration retry_after) {
  return {reason, Ran::kNo, retry_after};
}

}  // namespace yuccawick::core

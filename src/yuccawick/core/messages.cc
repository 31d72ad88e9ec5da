#include "yuccawick/core/messages.h"

#include <array>
#include <utility>

namespace yuccawick::core {
namespace {

constexpr std::array<std::string_view, 4>  kSeverityNames{"debug", "info",
                                                         "warning", "error"};
constexpr std::array<std::string_view, 18> kEventNames{
    "joined",          "replica_assigned", "contract_in_force",
    "peer_suspected",  "claim_appended",   "adopted",
    "superseded",      "program_started",  "program_ended",
    "call_finished",   "call_refused",     "call_retried",
    "outcome_unknown", "leaving",          "stopped",
    "log_down",        "log_back",         "vm_list_odd"};
constexpr std::array<std::string_view, kCounterCount> kCounterNames{
    "refusals", "retries",  "calls",         "programs",
    "appends",  "messages", "fenced_orders", "stale_messages"};
constexpr std::array<std::string_view, 2> kStopNames{"drained", "superseded"};

constexpr std::array<std::string_view, std::variant_size_v<Message>>
    kMessageNames{"start_program",  "start_reply",    "call_request",
                  "call_chunk",     "call_reply",     "program_query",
                  "program_reply",  "cancel_request", "dispatch",
                  "dispatch_chunk", "dispatch_reply", "cancel_dispatch",
                  "release_cache",  "replicate",      "replicate_reply",
                  "fence_call",     "fence_reply",    "probe",
                  "probe_reply",    "control_pull",   "control_push"};

std::string_view StreamKind(std::string_view stream) {
  if (stream == kControlStream) return "control";
  return stream.starts_with("history.") ? "history" : "grants";
}

}  // namespace

std::string_view Name(Severity severity) {
  return kSeverityNames[static_cast<std::size_t>(severity)];
}
std::string_view Name(LogEvent event) {
  return kEventNames[static_cast<std::size_t>(event)];
}
std::string_view Name(Counter counter) {
  return kCounterNames[static_cast<std::size_t>(counter)];
}
std::string_view Name(StopCause cause) {
  return kStopNames[static_cast<std::size_t>(cause)];
}

void Outbox::Send(const NodeRef& to, Message message) {
  Push(Count{Counter::kMessages, kMessageNames[message.index()], 1});
  Push(SendMessage{to, std::move(message)});
}

std::uint64_t Outbox::Append(std::string stream, std::vector<Record> records) {
  const auto number = NextNumber();
  Push(Count{Counter::kAppends, StreamKind(stream), 1});
  Push(AppendRecords{number, std::move(stream), std::move(records)});
  return number;
}

std::uint64_t Outbox::Read(std::string stream, Offset from) {
  const auto number = NextNumber();
  Push(ReadRecords{number, std::move(stream), from});
  return number;
}

void Outbox::Push(Command command) { m_commands.push_back(std::move(command)); }

void Outbox::CountRefusal(Reason reason) {
  Push(Count{Counter::kRefusals, Name(reason), 1});
}

void Outbox::CountRetry(Reason reason) {
  Push(Count{Counter::kRetries, Name(reason), 1});
}

std::vector<Command> Outbox::Take() { return std::exchange(m_commands, {}); }

}  // namespace yuccawick::core

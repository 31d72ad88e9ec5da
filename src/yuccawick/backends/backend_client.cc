#include "yuccawick/backends/backend_client.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Timespan.h>

namespace yuccawick::backends {
namespace {

constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kDone = "[DONE]";
constexpr std::string_view kErrorReason = "error";
constexpr int              kFirstErrorStatus = 400;
constexpr int              kMicrosPerMilli = 1000;

Poco::Timespan Millis(int ms) {
  return Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(ms) *
                        kMicrosPerMilli);
}

Poco::JSON::Object CompletionBody(const core::RunCall& command) {
  Poco::JSON::Object::Ptr message = new Poco::JSON::Object;
  message->set("role", "user");
  message->set("content", core::FullPrompt(command.prompt, command.call));
  Poco::JSON::Array::Ptr messages = new Poco::JSON::Array;
  messages->add(message);
  Poco::JSON::Object body;
  body.set("model", command.call.target);
  body.set("messages", messages);
  body.set("max_tokens", command.call.max_tokens);
  body.set("stream", true);
  body.set("priority", command.priority);
  body.set("cache_key", core::ToString(command.call.program));
  body.set("fence", command.fence);
  return body;
}

enum class EventKind : std::uint8_t { kPart, kLast, kError };

// An engine that fails midway reports it in an event of its own or as the
// reason for the end; [DONE] may follow.
bool IsError(const Poco::JSON::Object& event) {
  if (!event.isNull("error")) return true;
  const auto choices = event.getArray("choices");
  if (choices.isNull() || choices->size() == 0) return false;
  return choices->getObject(0)->optValue<std::string>("finish_reason", "") ==
         kErrorReason;
}

// Adds the text and usage of one server-sent event of the engine to `done`.
EventKind ApplyEvent(const std::string& data, core::RunDone* done,
                     const ChunkSink& on_chunk) {
  if (data == kDone) return EventKind::kLast;
  Poco::JSON::Parser parser;
  const auto event = parser.parse(data).extract<Poco::JSON::Object::Ptr>();
  if (IsError(*event)) return EventKind::kError;
  const auto choices = event->getArray("choices");
  if (!choices.isNull() && choices->size() > 0) {
    const auto delta = choices->getObject(0)->getObject("delta");
    if (!delta.isNull() && delta->has("content")) {
      const auto text = delta->getValue<std::string>("content");
      done->answer.text += text;
      on_chunk(text);
    }
  }
  const auto usage = event->getObject("usage");
  if (!usage.isNull()) {
    done->answer.usage.prompt = usage->getValue<core::Tokens>("prompt_tokens");
    done->answer.usage.cached = usage->getValue<core::Tokens>("cached_tokens");
    done->answer.usage.completion =
        usage->getValue<core::Tokens>("completion_tokens");
  }
  return EventKind::kPart;
}

core::Failure CancelledFailure() {
  return {core::Reason::kCancelled, core::Ran::kUnknown, 0};
}

}  // namespace

core::Failure FailureOf(HttpError error) {
  using core::Ran;
  using core::Reason;
  const auto retry_delay = core::Info(Reason::kBackendError).retry_after;
  switch (error) {
    case HttpError::kNotSent:
      return core::Refuse(Reason::kBackendUnreachable);
    case HttpError::kRefused:
      return core::Refuse(Reason::kBackendError);
    case HttpError::kFailed:
      return {Reason::kBackendError, Ran::kYes, retry_delay};
    case HttpError::kNoAnswer:
    case HttpError::kBadAnswer:
      break;
  }
  return {Reason::kBackendUnreachable, Ran::kUnknown, retry_delay};
}

core::RunDone EngineClient::Run(const core::RunCall&     command,
                                const std::atomic<bool>& cancelled,
                                const ChunkSink&         on_chunk) const {
  core::RunDone done;
  done.run = command.run;
  const auto fail = [&](core::Failure failure) {
    done.failure = failure;
    return done;
  };
  bool sent = false;
  try {
    Poco::Net::HTTPClientSession session(m_endpoint.host, m_endpoint.port);
    session.setTimeout(Millis(m_settings.connect_timeout_ms),
                       Millis(m_settings.answer_timeout_ms),
                       Millis(m_settings.answer_timeout_ms));
    const auto             body = ToText(CompletionBody(command));
    Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_POST,
                                   "/v1/chat/completions",
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    if (cancelled) return fail(core::Refuse(core::Reason::kCancelled));
    auto& out = session.sendRequest(request);
    sent = true;
    out << body << std::flush;
    Poco::Net::HTTPResponse response;
    auto&                   response_stream = session.receiveResponse(response);
    if (response.getStatus() >= kFirstErrorStatus)
      return fail(FailureOf(ErrorOf(response.getStatus())));
    for (std::string line; std::getline(response_stream, line);) {
      if (cancelled) return fail(CancelledFailure());
      if (!line.starts_with(kDataPrefix)) continue;
      const auto kind =
          ApplyEvent(line.substr(kDataPrefix.size()), &done, on_chunk);
      if (kind == EventKind::kError) return fail(FailureOf(HttpError::kFailed));
      if (kind == EventKind::kLast) {
        done.ok = true;
        return done;
      }
    }
    // The stream ended before its last event; a partial response is a failure.
    return fail(FailureOf(HttpError::kNoAnswer));
  } catch (const Poco::Exception&) {
    return fail(FailureOf(sent ? HttpError::kNoAnswer : HttpError::kNotSent));
  }
}

void EngineClient::Release(const core::ReleasePrefix& command) const {
  Poco::JSON::Object body;
  body.set("fence", command.fence);
  if (command.program.IsSet()) {
    body.set("cache_key", core::ToString(command.program));
  } else {
    body.set("all", true);
  }
  // A lost release needs no retry: the engine's cache is bounded, and the next
  // incarnation of the agent releases everything.
  (void)PostJson(m_endpoint, "/v1/cache/release", body, m_settings);
}

core::RunDone ServiceClient::Run(const core::RunCall&     command,
                                 const std::atomic<bool>& cancelled,
                                 const ChunkSink& /*on_chunk*/) const {
  core::RunDone done;
  done.run = command.run;
  if (cancelled) {
    done.failure = core::Refuse(core::Reason::kCancelled);
    return done;
  }
  Poco::JSON::Object body;
  body.set("program", core::ToString(command.call.program));
  body.set("sequence", command.call.sequence);
  body.set("arguments", command.call.body);
  body.set("fence", command.fence);
  const auto answer = PostJson(m_endpoint, "/v1/calls", body, m_settings);
  if (!answer) {
    done.failure = FailureOf(answer.error());
    return done;
  }
  try {
    done.answer.text = (*answer)->getValue<std::string>("result");
    done.ok = true;
  } catch (const Poco::Exception&) {
    done.failure = FailureOf(HttpError::kBadAnswer);
  }
  return done;
}

void ServiceClient::Release(const core::ReleasePrefix& /*command*/) const {}

}  // namespace yuccawick::backends

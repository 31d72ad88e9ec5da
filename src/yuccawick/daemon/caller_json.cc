#include "yuccawick/daemon/caller_json.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <Poco/UTF8Encoding.h>

#include <charconv>
#include <sstream>

namespace yuccawick::daemon {

namespace {

using core::Failure;
using core::Reason;
using core::Refuse;
using Poco::JSON::Object;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr core::Duration kMsPerSecond = 1000;
constexpr core::Tokens   kDefaultMaxTokens = 256;
constexpr std::size_t    kMaxDiscardedBytes = 64U << 20U;
constexpr core::Tokens   kMaxCallTokens = 1'000'000;

tl::unexpected<Failure> Malformed() {
  return tl::make_unexpected(Refuse(Reason::kMalformed));
}

}  // namespace

// ---- Requests

namespace {

std::string Header(const HTTPServerRequest& request, const char* name) {
  return request.get(std::string("X-Yuccawick-") + name, "");
}

template <class T>
bool ParseNumber(const std::string& text, T* value) {
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, *value);
  return error == std::errc() && end == last && !text.empty();
}

}  // namespace

tl::expected<CallerHeaders, Failure> ReadHeaders(
    const HTTPServerRequest& request, const CallerApiSettings& settings) {
  CallerHeaders headers;
  headers.customer = Header(request, "Customer");
  headers.workspace = Header(request, "Workspace");
  if (!core::IsValidName(headers.customer)) return Malformed();
  if (!core::IsValidName(headers.workspace)) return Malformed();
  headers.deadline = settings.default_deadline;
  const std::string deadline = Header(request, "Deadline-Ms");
  if (!deadline.empty() && !ParseNumber(deadline, &headers.deadline))
    return Malformed();
  if (headers.deadline <= 0 || headers.deadline > settings.max_deadline)
    return Malformed();
  return headers;
}

tl::expected<CallerHeaders, Failure> ReadCallHeaders(
    const HTTPServerRequest& request, const CallerApiSettings& settings) {
  auto headers = ReadHeaders(request, settings);
  if (!headers) return headers;
  const auto program = core::ParseProgramId(Header(request, "Program"));
  if (!program) return Malformed();
  headers->program = *program;
  if (!ParseNumber(Header(request, "Sequence"), &headers->sequence))
    return Malformed();
  if (headers->sequence == 0) return Malformed();
  return headers;
}

namespace {

bool IsText(const std::string& text) {
  if (text.find('\0') != std::string::npos) return false;
  Poco::UTF8Encoding utf8;
  const auto*        at = reinterpret_cast<const unsigned char*>(text.data());
  const auto*        end = at + text.size();
  while (at < end) {
    const int length = utf8.sequenceLength(at, static_cast<int>(end - at));
    if (length <= 0 || length > end - at) return false;
    if (!Poco::UTF8Encoding::isLegal(at, length)) return false;
    at += length;
  }
  return true;
}

tl::expected<std::string, Failure> ReadBody(HTTPServerRequest& request,
                                            std::size_t        max_bytes) {
  std::string body;
  std::size_t read = 0;
  char        buffer[4096];
  auto&       in = request.stream();
  while (in.read(buffer, sizeof(buffer)) || in.gcount() > 0) {
    read += static_cast<std::size_t>(in.gcount());
    // A client that is still sending would not see the refusal, so the rest of
    // an oversized body is read and discarded, up to a limit.
    if (read > kMaxDiscardedBytes) break;
    if (read <= max_bytes)
      body.append(buffer, static_cast<std::size_t>(in.gcount()));
  }
  if (read > max_bytes) return tl::make_unexpected(Refuse(Reason::kTooLarge));
  const bool whole =
      !request.hasContentLength() ||
      body.size() == static_cast<std::size_t>(request.getContentLength64());
  // The client closed or stalled before the end of its request.
  if (!whole) return tl::make_unexpected(Refuse(Reason::kSlowClient));
  return body;
}

}  // namespace

tl::expected<Object::Ptr, Failure> ReadJson(HTTPServerRequest& request,
                                            std::size_t        max_bytes) {
  const auto body = ReadBody(request, max_bytes);
  if (!body) return tl::make_unexpected(body.error());
  if (!IsText(*body)) return Malformed();
  try {
    Poco::JSON::Parser parser;
    return parser.parse(*body).extract<Object::Ptr>();
  } catch (const Poco::Exception&) {
    return Malformed();
  }
}

tl::expected<std::string, Failure> TextOf(const Object&      json,
                                          const std::string& name,
                                          const std::string* fallback) {
  if (!json.has(name)) {
    if (fallback != nullptr) return *fallback;
    return Malformed();
  }
  const auto value = json.get(name);
  if (!value.isString()) return Malformed();
  auto text = value.convert<std::string>();
  if (text.find('\0') != std::string::npos) return Malformed();
  return text;
}

tl::expected<std::string, Failure> ContentOf(const Object& json) {
  if (!json.isArray("messages")) return Malformed();
  const auto  messages = json.getArray("messages");
  std::string content;
  for (std::size_t i = 0; i < messages->size(); ++i) {
    if (!messages->isObject(static_cast<unsigned>(i))) return Malformed();
    const auto message = messages->getObject(static_cast<unsigned>(i));
    auto       text = TextOf(*message, "content", nullptr);
    if (!text) return text;
    if (!content.empty()) content += "\n";
    content += *text;
  }
  if (content.empty()) return Malformed();
  return content;
}

tl::expected<core::Tokens, Failure> MaxTokensOf(const Object& json) {
  if (!json.has("max_tokens")) return kDefaultMaxTokens;
  const auto value = json.get("max_tokens");
  if (!value.isInteger()) return Malformed();
  const auto tokens = value.convert<core::Tokens>();
  if (tokens <= 0 || tokens > kMaxCallTokens) return Malformed();
  return tokens;
}

bool FlagOf(const Object& json, const std::string& name) {
  return json.has(name) && json.get(name).isBoolean() &&
         json.getValue<bool>(name);
}

// ---- Replies

Object::Ptr FailureJson(const Failure& failure) {
  Object::Ptr error = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
  error->set("reason", std::string(core::Name(failure.reason)));
  error->set("ran", std::string(core::Name(failure.ran)));
  error->set("retry_after_ms", failure.retry_after);
  Object::Ptr json = new Object;
  json->set("error", error);
  return json;
}

std::string ToText(const Object& json) {
  std::ostringstream out;
  json.stringify(out);
  return out.str();
}

void SendJson(HTTPServerResponse& response, int status, const Object& json) {
  response.setStatus(static_cast<HTTPServerResponse::HTTPStatus>(status));
  response.setReason(HTTPServerResponse::getReasonForStatus(
      static_cast<HTTPServerResponse::HTTPStatus>(status)));
  response.setContentType("application/json");
  const std::string text = ToText(json) + "\n";
  response.sendBuffer(text.data(), text.size());
}

void SendFailure(HTTPServerResponse& response, const Failure& failure) {
  if (failure.retry_after > 0) {
    const auto seconds =
        (failure.retry_after + kMsPerSecond - 1) / kMsPerSecond;
    response.set("Retry-After", std::to_string(seconds));
  }
  SendJson(response, core::Info(failure.reason).http_status,
           *FailureJson(failure));
}

Object::Ptr UsageJson(const core::Usage& usage) {
  Object::Ptr json = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
  json->set("prompt_tokens", usage.prompt);
  json->set("cached_tokens", usage.cached);
  json->set("completion_tokens", usage.completion);
  json->set("total_tokens", usage.prompt + usage.completion);
  return json;
}

Object::Ptr ChoiceJson(const char* key, const std::string& content,
                       bool finished) {
  Object::Ptr message = new Object;
  message->set("role", "assistant");
  message->set("content", content);
  Object::Ptr choice = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
  choice->set("index", 0);
  choice->set(key, message);
  if (finished) choice->set("finish_reason", "stop");
  return choice;
}

Object::Ptr CompletionJson(const core::Call& call, const char* kind,
                           const Object::Ptr& choice) {
  Object::Ptr json = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
  json->set("id",
            core::ToString(call.program) + "/" + std::to_string(call.sequence));
  json->set("object", kind);
  json->set("model", call.target);
  Poco::JSON::Array::Ptr choices = new Poco::JSON::Array;
  choices->add(choice);
  json->set("choices", choices);
  return json;
}

namespace {

Object::Ptr TurnJson(const core::Turn& turn) {
  Object::Ptr json = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
  json->set("sequence", turn.call.sequence);
  json->set("kind", std::string(core::Name(turn.call.kind)));
  json->set("target", turn.call.target);
  json->set("request", turn.call.body);
  if (turn.failed) {
    json->set("error", FailureJson(turn.failure)->getObject("error"));
  } else {
    json->set("answer", turn.answer.text);
  }
  return json;
}

}  // namespace

Object::Ptr ProgramJson(const core::ProgramDelta& program) {
  Object::Ptr json = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
  json->set("program", core::ToString(program.meta.id));
  json->set("customer", program.meta.customer);
  json->set("workspace", program.meta.workspace);
  json->set("ended", program.meta.ended);
  json->set("spent_tokens", program.meta.spent);
  Poco::JSON::Array::Ptr turns = new Poco::JSON::Array;
  for (const auto& turn : program.turns) turns->add(TurnJson(turn));
  json->set("turns", turns);
  return json;
}

}  // namespace yuccawick::daemon

#include "yuccawick/daemon/caller_api.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/TextEncoding.h>
#include <Poco/URI.h>
#include <Poco/UTF8Encoding.h>

#include <charconv>
#include <chrono>
#include <optional>
#include <sstream>
#include <utility>

namespace yuccawick::daemon {

// Index
//   Requests   reading and checking what callers send
//   Replies    writing what they get
//   Handlers   one for each kind of request
//   Api        mailboxes

namespace {

using core::Failure;
using core::Reason;
using core::Refuse;
using Poco::JSON::Object;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr core::Duration kMsPerSecond = 1000;
constexpr double         kSecondsPerMs = 0.001;
constexpr core::Tokens   kDefaultMaxTokens = 256;
constexpr std::size_t    kMostDiscarded = 64U << 20U;  // bytes
constexpr core::Tokens   kMostTokens = 1'000'000;

tl::unexpected<Failure> Malformed() {
  return tl::make_unexpected(Refuse(Reason::kMalformed));
}

// ---- Requests

struct CallerHeaders {
  std::string     customer;
  std::string     workspace;
  core::ProgramId program;
  core::Sequence  sequence = 0;
  core::Duration  deadline = 0;  // ms from now
};

std::string Header(const HTTPServerRequest& request, const char* name) {
  return request.get(std::string("X-Yuccawick-") + name, "");
}

template <class T>
bool ParseWhole(const std::string& text, T* value) {
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, *value);
  return error == std::errc() && end == last && !text.empty();
}

tl::expected<CallerHeaders, Failure> ReadHeaders(
    const HTTPServerRequest& request, const CallerApiSettings& settings) {
  CallerHeaders headers;
  headers.customer = Header(request, "Customer");
  headers.workspace = Header(request, "Workspace");
  if (!core::IsValidName(headers.customer)) return Malformed();
  if (!core::IsValidName(headers.workspace)) return Malformed();
  headers.deadline = settings.default_deadline;
  const std::string deadline = Header(request, "Deadline-Ms");
  if (!deadline.empty() && !ParseWhole(deadline, &headers.deadline))
    return Malformed();
  if (headers.deadline <= 0 || headers.deadline > settings.longest_deadline)
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
  if (!ParseWhole(Header(request, "Sequence"), &headers->sequence))
    return Malformed();
  if (headers->sequence == 0) return Malformed();
  return headers;
}

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
                                            std::size_t        most) {
  std::string body;
  std::size_t read = 0;
  char        buffer[4096];
  auto&       in = request.stream();
  while (in.read(buffer, sizeof(buffer)) || in.gcount() > 0) {
    read += static_cast<std::size_t>(in.gcount());
    // A client that is still sending would not see the refusal: what is too
    // much is read on and dropped, up to a point.
    if (read > kMostDiscarded) break;
    if (read <= most)
      body.append(buffer, static_cast<std::size_t>(in.gcount()));
  }
  if (read > most) return tl::make_unexpected(Refuse(Reason::kTooLarge));
  const bool whole =
      !request.hasContentLength() ||
      body.size() == static_cast<std::size_t>(request.getContentLength64());
  // A client that closed or stalled halfway: its request is not acted upon.
  if (!whole) return tl::make_unexpected(Refuse(Reason::kSlowClient));
  return body;
}

tl::expected<Object::Ptr, Failure> ReadJson(HTTPServerRequest& request,
                                            std::size_t        most) {
  const auto body = ReadBody(request, most);
  if (!body) return tl::make_unexpected(body.error());
  if (!IsText(*body)) return Malformed();
  try {
    Poco::JSON::Parser parser;
    return parser.parse(*body).extract<Object::Ptr>();
  } catch (const Poco::Exception&) {
    return Malformed();
  }
}

// A text member; `fallback` if it is absent, failure if it is of another type.
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

// The new messages of a chat completion, as one text. History is kept by the
// system and not sent again.
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
  if (tokens <= 0 || tokens > kMostTokens) return Malformed();
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

// ---- Handlers

// What all handlers share: a number, a mailbox and the wait for replies.
class Handler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit Handler(CallerApi& api) : m_api(api), m_request(api.NextRequest()) {}

  void handleRequest(HTTPServerRequest&  request,
                     HTTPServerResponse& response) final {
    m_box = m_api.Open(m_request);
    try {
      Serve(request, response);
    } catch (const Poco::TimeoutException&) {
      if (!response.sent()) SendFailure(response, Refuse(Reason::kSlowClient));
      Abandon();
    } catch (const Poco::Exception&) {
      Abandon();  // the client has gone
    }
    m_api.Close(m_request);
  }

 protected:
  virtual void Serve(HTTPServerRequest&  request,
                     HTTPServerResponse& response) = 0;

  // Waits for the next reply until the deadline has passed by a margin.
  bool Wait(core::Message* message, core::Duration deadline) {
    return m_box->Take(message, deadline + m_api.settings().answer_margin);
  }

  void Refused(HTTPServerResponse& response, const Failure& failure) {
    m_api.metrics().Add(
        {core::Counter::kRefusals, core::Name(failure.reason), 1});
    SendFailure(response, failure);
  }

  // No reply at all, which only a stopped control thread can explain.
  static Failure NoReply() {
    return {Reason::kOutcomeUnknown, core::Ran::kUnknown,
            core::Info(Reason::kHomeUnreachable).retry_after};
  }

  void Abandon() {
    m_api.Post(m_request, core::CancelRequest{m_request, m_program});
  }

  CallerApi&               m_api;
  std::uint64_t            m_request;
  core::ProgramId          m_program;
  std::shared_ptr<Mailbox> m_box;
};

class StartHandler : public Handler {
 public:
  using Handler::Handler;

 private:
  void Serve(HTTPServerRequest&  request,
             HTTPServerResponse& response) override {
    const auto start = ReadStart(request);
    if (!start) return Refused(response, start.error());
    m_api.Post(m_request, *start);
    core::Message message;
    if (!Wait(&message, m_api.settings().default_deadline))
      return SendFailure(response, NoReply());
    const auto& reply = std::get<core::StartReply>(message);
    if (!reply.ok) return SendFailure(response, reply.failure);
    Object json(Poco::JSON_PRESERVE_KEY_ORDER);
    json.set("program", core::ToString(reply.program));
    json.set("next_sequence", 1);
    SendJson(response, HTTPServerResponse::HTTP_CREATED, json);
  }

  tl::expected<core::StartProgram, Failure> ReadStart(
      HTTPServerRequest& request) {
    const auto headers = ReadHeaders(request, m_api.settings());
    if (!headers) return tl::make_unexpected(headers.error());
    const auto json = ReadJson(request, m_api.settings().max_body_bytes);
    if (!json) return tl::make_unexpected(json.error());
    const std::string none;
    const auto        model = TextOf(**json, "model", nullptr);
    const auto        service_class = TextOf(**json, "class", &none);
    const auto        parent = TextOf(**json, "parent", &none);
    if (!model || !service_class || !parent) return Malformed();
    core::StartProgram start;
    start.request = m_request;
    start.customer = headers->customer;
    start.workspace = headers->workspace;
    start.model = *model;
    start.service_class = *service_class;
    if (parent->empty()) return start;
    const auto id = core::ParseProgramId(*parent);
    if (!id) return Malformed();
    start.parent = *id;
    return start;
  }
};

// Shared by model and service calls.
class CallHandler : public Handler {
 public:
  using Handler::Handler;

 protected:
  tl::expected<core::Call, Failure> ReadCall(const CallerHeaders& headers) {
    core::Call call;
    call.program = headers.program;
    call.customer = headers.customer;
    call.workspace = headers.workspace;
    call.sequence = headers.sequence;
    call.deadline = WallClock() + headers.deadline;
    m_program = headers.program;
    m_deadline = headers.deadline;
    return call;
  }

  // Posts the call and waits for its whole answer.
  core::CallReply Ask(const core::Call& call) {
    Begin(call);
    core::Message message;
    while (Wait(&message, m_deadline)) {
      if (const auto* reply = std::get_if<core::CallReply>(&message)) {
        Observe(*reply);
        return *reply;
      }
      FirstToken();
    }
    return {m_request, false, {}, NoReply()};
  }

  void Begin(const core::Call& call) {
    m_began = std::chrono::steady_clock::now();
    m_api.Post(m_request, core::CallRequest{m_request, call});
  }
  double SecondsSinceBegin() const {
    const std::chrono::duration<double> elapsed =
        std::chrono::steady_clock::now() - m_began;
    return elapsed.count();
  }
  void FirstToken() {
    if (m_first_token) return;
    m_first_token = true;
    m_api.metrics().ObserveFirstToken(SecondsSinceBegin());
  }
  void Observe(const core::CallReply& reply) {
    if (reply.ok) m_api.metrics().ObserveCall(SecondsSinceBegin());
  }

  core::Duration                        m_deadline = 0;
  std::chrono::steady_clock::time_point m_began;
  bool                                  m_first_token = false;
};

class CompletionHandler : public CallHandler {
 public:
  using CallHandler::CallHandler;

 private:
  void Serve(HTTPServerRequest&  request,
             HTTPServerResponse& response) override {
    const auto headers = ReadCallHeaders(request, m_api.settings());
    if (!headers) return Refused(response, headers.error());
    const auto json = ReadJson(request, m_api.settings().max_body_bytes);
    if (!json) return Refused(response, json.error());
    const auto model = TextOf(**json, "model", nullptr);
    const auto content = ContentOf(**json);
    const auto tokens = MaxTokensOf(**json);
    if (!model || !content || !tokens)
      return Refused(response, Refuse(Reason::kMalformed));
    auto call = ReadCall(*headers);
    call->target = *model;
    call->body = *content;
    call->max_tokens = *tokens;
    if (FlagOf(**json, "stream")) return Stream(*call, response);
    const auto reply = Ask(*call);
    if (!reply.ok) return SendFailure(response, reply.failure);
    auto whole = CompletionJson(*call, "chat.completion",
                                ChoiceJson("message", reply.answer.text, true));
    whole->set("usage", UsageJson(reply.answer.usage));
    SendJson(response, HTTPServerResponse::HTTP_OK, *whole);
  }

  // Headers go out with the first text, so that a refusal before it still has
  // its own status code.
  void Stream(const core::Call& call, HTTPServerResponse& response) {
    Begin(call);
    std::ostream* out = nullptr;
    std::size_t   written = 0;
    core::Message message;
    while (Wait(&message, m_deadline)) {
      if (const auto* chunk = std::get_if<core::CallChunk>(&message)) {
        FirstToken();
        WriteText(call, chunk->text, response, &out);
        written += chunk->text.size();
        continue;
      }
      const auto& reply = std::get<core::CallReply>(message);
      Observe(reply);
      return Finish(call, reply, written, response, out);
    }
    Finish(call, {m_request, false, {}, NoReply()}, written, response, out);
  }

  void Finish(const core::Call& call, const core::CallReply& reply,
              std::size_t written, HTTPServerResponse& response,
              std::ostream* out) {
    if (!reply.ok && out == nullptr)
      return SendFailure(response, reply.failure);
    if (!reply.ok) {
      WriteEvent(*out, *FailureJson(reply.failure));
      return;
    }
    if (reply.answer.text.size() > written) {
      FirstToken();
      WriteText(call, reply.answer.text.substr(written), response, &out);
    }
    if (out == nullptr) out = &Open(response);
    auto last = CompletionJson(call, "chat.completion.chunk",
                               ChoiceJson("delta", "", true));
    last->set("usage", UsageJson(reply.answer.usage));
    WriteEvent(*out, *last);
    *out << "data: [DONE]\n\n" << std::flush;
  }

  static std::ostream& Open(HTTPServerResponse& response) {
    response.setContentType("text/event-stream");
    response.setChunkedTransferEncoding(true);
    return response.send();
  }

  static void WriteText(const core::Call& call, const std::string& text,
                        HTTPServerResponse& response, std::ostream** out) {
    if (*out == nullptr) *out = &Open(response);
    WriteEvent(**out, *CompletionJson(call, "chat.completion.chunk",
                                      ChoiceJson("delta", text, false)));
  }

  static void WriteEvent(std::ostream& out, const Object& json) {
    out << "data: " << ToText(json) << "\n\n" << std::flush;
    if (!out) throw Poco::Net::ConnectionResetException("client");
  }
};

class ServiceHandler : public CallHandler {
 public:
  ServiceHandler(CallerApi& api, std::string service)
      : CallHandler(api), m_service(std::move(service)) {}

 private:
  void Serve(HTTPServerRequest&  request,
             HTTPServerResponse& response) override {
    const auto headers = ReadCallHeaders(request, m_api.settings());
    if (!headers) return Refused(response, headers.error());
    const auto json = ReadJson(request, m_api.settings().max_body_bytes);
    if (!json) return Refused(response, json.error());
    const auto arguments = TextOf(**json, "arguments", nullptr);
    if (!arguments || !core::IsValidName(m_service))
      return Refused(response, Refuse(Reason::kMalformed));
    auto call = ReadCall(*headers);
    call->kind = core::BackendKind::kService;
    call->target = m_service;
    call->body = *arguments;
    // Unless the caller says otherwise a service's call is not repeated.
    call->unrepeatable =
        !(*json)->has("unrepeatable") || FlagOf(**json, "unrepeatable");
    const auto reply = Ask(*call);
    if (!reply.ok) return SendFailure(response, reply.failure);
    Object whole(Poco::JSON_PRESERVE_KEY_ORDER);
    whole.set("id", core::ToString(call->program) + "/" +
                        std::to_string(call->sequence));
    whole.set("service", m_service);
    whole.set("result", reply.answer.text);
    SendJson(response, HTTPServerResponse::HTTP_OK, whole);
  }

  std::string m_service;
};

class ProgramHandler : public Handler {
 public:
  ProgramHandler(CallerApi& api, std::string id)
      : Handler(api), m_id(std::move(id)) {}

 private:
  void Serve(HTTPServerRequest&  request,
             HTTPServerResponse& response) override {
    const auto headers = ReadHeaders(request, m_api.settings());
    if (!headers) return Refused(response, headers.error());
    const auto program = core::ParseProgramId(m_id);
    if (!program) return Refused(response, Refuse(Reason::kMalformed));
    const bool end = request.getMethod() == Poco::Net::HTTPRequest::HTTP_DELETE;
    m_api.Post(m_request,
               core::ProgramQuery{m_request, *program, headers->customer,
                                  headers->workspace, end});
    core::Message message;
    if (!Wait(&message, headers->deadline))
      return SendFailure(response, NoReply());
    const auto& reply = std::get<core::ProgramReply>(message);
    if (!reply.ok) return SendFailure(response, reply.failure);
    SendJson(response, HTTPServerResponse::HTTP_OK,
             *ProgramJson(reply.program));
  }

  std::string m_id;
};

class UnknownHandler : public Handler {
 public:
  using Handler::Handler;

 private:
  void Serve(HTTPServerRequest& /*request*/,
             HTTPServerResponse& response) override {
    auto json = FailureJson(Refuse(Reason::kMalformed));
    SendJson(response, HTTPServerResponse::HTTP_NOT_FOUND, *json);
  }
};

}  // namespace

// ---- Api

void Mailbox::Put(core::Message message) {
  {
    const std::lock_guard lock(m_mutex);
    m_messages.push_back(std::move(message));
  }
  m_put.notify_one();
}

bool Mailbox::Take(core::Message* message, core::Duration limit) {
  std::unique_lock lock(m_mutex);
  const bool       put = m_put.wait_for(lock, std::chrono::milliseconds(limit),
                                        [this] { return !m_messages.empty(); });
  if (!put) return false;
  *message = std::move(m_messages.front());
  m_messages.pop_front();
  return true;
}

CallerApi::CallerApi(CallerApiSettings settings, NodeShell& shell,
                     Metrics& metrics)
    : m_settings(settings), m_shell(shell), m_metrics(metrics) {}

Poco::Net::HTTPRequestHandler* CallerApi::Make(
    const HTTPServerRequest& request) {
  std::vector<std::string> path;
  Poco::URI(request.getURI()).getPathSegments(path);
  const std::string& method = request.getMethod();
  const bool         post = method == Poco::Net::HTTPRequest::HTTP_POST;
  const bool         v1 = !path.empty() && path[0] == "v1";
  const auto         is = [&](std::size_t i, const char* name) {
    return path.size() > i && path[i] == name;
  };
  if (v1 && post && path.size() == 2 && is(1, "programs"))
    return new StartHandler(*this);
  if (v1 && !post && path.size() == 3 && is(1, "programs"))
    return new ProgramHandler(*this, path[2]);
  if (v1 && post && path.size() == 3 && is(1, "chat") && is(2, "completions"))
    return new CompletionHandler(*this);
  if (v1 && post && path.size() == 4 && is(1, "services") && is(3, "calls"))
    return new ServiceHandler(*this, path[2]);
  return new UnknownHandler(*this);
}

void CallerApi::Deliver(const core::ReplyToCaller& reply) {
  std::shared_ptr<Mailbox> box;
  {
    const std::lock_guard lock(m_mutex);
    const auto            it = m_boxes.find(reply.request);
    if (it == m_boxes.end()) return;
    box = it->second;
  }
  box->Put(reply.reply);
}

std::shared_ptr<Mailbox> CallerApi::Open(std::uint64_t request) {
  auto                  box = std::make_shared<Mailbox>();
  const std::lock_guard lock(m_mutex);
  m_boxes[request] = box;
  return box;
}

void CallerApi::Close(std::uint64_t request) {
  const std::lock_guard lock(m_mutex);
  m_boxes.erase(request);
}

void CallerApi::Post(std::uint64_t request, const core::Message& message) {
  if (m_shell.Post(core::CallerMessage{message})) return;
  // The daemon has stopped; the request went nowhere, and the caller is told so
  // now instead of waiting for a reply that cannot come.
  const auto failure = Refuse(Reason::kDraining);
  if (std::holds_alternative<core::StartProgram>(message))
    Deliver({request, core::StartReply{request, false, {}, failure}});
  if (std::holds_alternative<core::CallRequest>(message))
    Deliver({request, core::CallReply{request, false, {}, failure}});
  if (std::holds_alternative<core::ProgramQuery>(message))
    Deliver({request, core::ProgramReply{request, false, {}, failure}});
}

}  // namespace yuccawick::daemon

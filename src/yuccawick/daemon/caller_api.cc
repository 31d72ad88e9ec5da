#include "yuccawick/daemon/caller_api.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/URI.h>

#include <chrono>
#include <utility>

namespace yuccawick::daemon {

namespace {

using core::Failure;
using core::Reason;
using core::Refuse;
using Poco::JSON::Object;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

tl::unexpected<Failure> Malformed() {
  return tl::make_unexpected(Refuse(Reason::kMalformed));
}

// ---- Handlers

// Base of all handlers: opens the mailbox, runs Serve() and cancels the request
// if the client stalls or disconnects.
class Handler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit Handler(CallerApi& api) : m_api(api), m_request(api.NextRequest()) {}

  void handleRequest(HTTPServerRequest&  request,
                     HTTPServerResponse& response) final {
    m_mailbox = m_api.Open(m_request);
    try {
      Serve(request, response);
    } catch (const Poco::TimeoutException&) {
      if (!response.sent()) SendFailure(response, Refuse(Reason::kSlowClient));
      SendCancel();
    } catch (const Poco::Exception&) {
      SendCancel();  // the client has disconnected
    }
    m_api.Close(m_request);
  }

 protected:
  virtual void Serve(HTTPServerRequest&  request,
                     HTTPServerResponse& response) = 0;

  // Waits for the next reply until shortly after the deadline.
  bool Wait(core::Message* message, core::Duration deadline) {
    return m_mailbox->Take(message, deadline + m_api.settings().answer_margin);
  }

  void SendRefusal(HTTPServerResponse& response, const Failure& failure) {
    m_api.metrics().Add(
        {core::Counter::kRefusals, core::Name(failure.reason), 1});
    SendFailure(response, failure);
  }

  // Without any reply the control thread has stopped, so the outcome is
  // unknown.
  static Failure NoReply() {
    return {Reason::kOutcomeUnknown, core::Ran::kUnknown,
            core::Info(Reason::kHomeUnreachable).retry_after};
  }

  void SendCancel() {
    m_api.Post(m_request, core::CancelRequest{m_request, m_program});
  }

  CallerApi&               m_api;
  std::uint64_t            m_request;
  core::ProgramId          m_program;
  std::shared_ptr<Mailbox> m_mailbox;
};

class StartHandler : public Handler {
 public:
  using Handler::Handler;

 private:
  void Serve(HTTPServerRequest&  request,
             HTTPServerResponse& response) override {
    const auto start = ReadStart(request);
    if (!start) return SendRefusal(response, start.error());
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

// Base of the handlers of model and service calls.
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

  // Posts the call and waits for its complete answer.
  core::CallReply CallAndWait(const core::Call& call) {
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
    if (!headers) return SendRefusal(response, headers.error());
    const auto json = ReadJson(request, m_api.settings().max_body_bytes);
    if (!json) return SendRefusal(response, json.error());
    const auto model = TextOf(**json, "model", nullptr);
    const auto content = ContentOf(**json);
    const auto tokens = MaxTokensOf(**json);
    if (!model || !content || !tokens)
      return SendRefusal(response, Refuse(Reason::kMalformed));
    auto call = ReadCall(*headers);
    call->target = *model;
    call->body = *content;
    call->max_tokens = *tokens;
    if (FlagOf(**json, "stream")) return Stream(*call, response);
    const auto reply = CallAndWait(*call);
    if (!reply.ok) return SendFailure(response, reply.failure);
    auto whole = CompletionJson(*call, "chat.completion",
                                ChoiceJson("message", reply.answer.text, true));
    whole->set("usage", UsageJson(reply.answer.usage));
    SendJson(response, HTTPServerResponse::HTTP_OK, *whole);
  }

  // Headers are sent with the first text, so that a refusal before it still has
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
    if (!headers) return SendRefusal(response, headers.error());
    const auto json = ReadJson(request, m_api.settings().max_body_bytes);
    if (!json) return SendRefusal(response, json.error());
    const auto arguments = TextOf(**json, "arguments", nullptr);
    if (!arguments || !core::IsValidName(m_service))
      return SendRefusal(response, Refuse(Reason::kMalformed));
    auto call = ReadCall(*headers);
    call->kind = core::BackendKind::kService;
    call->target = m_service;
    call->body = *arguments;
    // By default a service call must not be repeated.
    call->unrepeatable =
        !(*json)->has("unrepeatable") || FlagOf(**json, "unrepeatable");
    const auto reply = CallAndWait(*call);
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
    if (!headers) return SendRefusal(response, headers.error());
    const auto program = core::ParseProgramId(m_id);
    if (!program) return SendRefusal(response, Refuse(Reason::kMalformed));
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
  m_message_added.notify_one();
}

bool Mailbox::Take(core::Message* message, core::Duration limit) {
  std::unique_lock lock(m_mutex);
  const bool       received =
      m_message_added.wait_for(lock, std::chrono::milliseconds(limit),
                               [this] { return !m_messages.empty(); });
  if (!received) return false;
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
  std::shared_ptr<Mailbox> mailbox;
  {
    const std::lock_guard lock(m_mutex);
    const auto            it = m_mailboxes.find(reply.request);
    if (it == m_mailboxes.end()) return;
    mailbox = it->second;
  }
  mailbox->Put(reply.reply);
}

std::shared_ptr<Mailbox> CallerApi::Open(std::uint64_t request) {
  auto                  mailbox = std::make_shared<Mailbox>();
  const std::lock_guard lock(m_mutex);
  m_mailboxes[request] = mailbox;
  return mailbox;
}

void CallerApi::Close(std::uint64_t request) {
  const std::lock_guard lock(m_mutex);
  m_mailboxes.erase(request);
}

void CallerApi::Post(std::uint64_t request, const core::Message& message) {
  if (m_shell.Post(core::CallerMessage{message})) return;
  // The daemon has stopped. Refuse at once instead of letting the caller wait
  // for a reply that cannot come.
  const auto failure = Refuse(Reason::kDraining);
  if (std::holds_alternative<core::StartProgram>(message))
    Deliver({request, core::StartReply{request, false, {}, failure}});
  if (std::holds_alternative<core::CallRequest>(message))
    Deliver({request, core::CallReply{request, false, {}, failure}});
  if (std::holds_alternative<core::ProgramQuery>(message))
    Deliver({request, core::ProgramReply{request, false, {}, failure}});
}

}  // namespace yuccawick::daemon

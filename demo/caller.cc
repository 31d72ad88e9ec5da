#include "caller.h"

#include <Poco/JSON/Object.h>

#include <chrono>
#include <sstream>
#include <thread>

namespace demo {
namespace {

constexpr int kMaxAttempts = 60;
constexpr int kOk = 200;
constexpr int kCreated = 201;

// Retry delay in ms; 0 if the request must not be retried.
int RetryAfter(const Answer& answer) {
  if (answer.status == 0) return 100;  // the entry is unreachable
  if (answer.json.isNull() || !answer.json->isObject("error")) return 0;
  return answer.json->getObject("error")->optValue<int>("retry_after_ms", 0);
}

}  // namespace

std::string Quote(const std::string& text) {
  std::ostringstream out;
  Poco::JSON::Stringifier::formatString(text, out);
  return out.str();
}

Caller::Caller(ProcessGroup& group, std::vector<std::string> entries,
               std::string customer, std::string workspace)
    : m_group(group),
      m_entries(std::move(entries)),
      m_customer(std::move(customer)),
      m_workspace(std::move(workspace)) {}

std::string Caller::NextEntry() {
  return m_group.HttpOf(m_entries[m_next_entry++ % m_entries.size()]);
}

Headers Caller::CallHeaders() const {
  Headers headers{{"X-Yuccawick-Customer", m_customer},
                  {"X-Yuccawick-Workspace", m_workspace}};
  if (m_program.empty()) return headers;
  headers["X-Yuccawick-Program"] = m_program;
  headers["X-Yuccawick-Sequence"] = std::to_string(m_sequence);
  return headers;
}

Answer Caller::PostWithRetries(const std::string& path,
                               const std::string& body) {
  Answer answer;
  for (int i = 0; i < kMaxAttempts; ++i) {
    ++m_tries;
    answer = m_group.Post(NextEntry(), path, CallHeaders(), body);
    if (answer.status == kOk || answer.status == kCreated) return answer;
    const int wait = RetryAfter(answer);
    if (wait == 0) return answer;
    std::this_thread::sleep_for(std::chrono::milliseconds(wait));
  }
  return answer;
}

bool Caller::Start(const std::string& model, const std::string& parent,
                   const std::string& service_class) {
  std::string body = R"({"model": )" + Quote(model);
  if (!parent.empty()) body += R"(, "parent": )" + Quote(parent);
  if (!service_class.empty()) body += R"(, "class": )" + Quote(service_class);
  const Answer answer = PostWithRetries("/v1/programs", body + "}");
  m_program = answer.Text("program");
  return answer.status == kCreated;
}

Answer Caller::Model(const std::string& model, const std::string& content,
                     bool stream) {
  ++m_sequence;
  return PostWithRetries("/v1/chat/completions",
                         R"({"model": )" + Quote(model) +
                             R"(, "messages": [{"role": "user", "content": )" +
                             Quote(content) +
                             R"(}], "max_tokens": 64, "stream": )" +
                             (stream ? "true" : "false") + "}");
}

Answer Caller::Service(const std::string& service,
                       const std::string& arguments) {
  ++m_sequence;
  return PostWithRetries("/v1/services/" + service + "/calls",
                         R"({"arguments": )" + Quote(arguments) + "}");
}

Answer Caller::History() {
  return m_group.Get(NextEntry(), "/v1/programs/" + m_program, CallHeaders());
}

Answer Caller::End() {
  return m_group.Get(NextEntry(), "/v1/programs/" + m_program, CallHeaders(),
                     "DELETE");
}

}  // namespace demo

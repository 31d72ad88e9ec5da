#include "application.h"

namespace standins {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kHangPollMs = 20;

}  // namespace

void Application::Serve(const Request&                 request,
                        Poco::Net::HTTPServerResponse& response) {
  if (request.path == "/v1/calls") return Call(request, response);
  if (request.path == "/control") {
    const std::lock_guard lock(m_mutex);
    m_slow_ms = request.body->optValue<int>("slow_ms", m_slow_ms);
    m_lose_replies =
        request.body->optValue<bool>("lose_replies", m_lose_replies);
    m_hang = request.body->optValue<bool>("hang", m_hang);
    return SendStatus(response, kOk);
  }
  if (request.path != "/effects") return SendStatus(response, kNotFound);
  Poco::JSON::Object      json;
  Poco::JSON::Object::Ptr calls = new Poco::JSON::Object;
  const std::lock_guard   lock(m_mutex);
  for (const auto& [key, count] : m_calls) calls->set(key, count);
  json.set("calls", calls);
  json.set("total", m_total);
  SendJson(response, kOk, json);
}

void Application::Call(const Request&                 request,
                       Poco::Net::HTTPServerResponse& response) {
  const std::string key = request.body->getValue<std::string>("program") + "/" +
                          request.body->getValue<std::string>("sequence");
  int  slow = 0;
  int  total = 0;
  bool lose = false;
  {
    const std::lock_guard lock(m_mutex);
    ++m_calls[key];
    total = ++m_total;
    slow = m_slow_ms;
    lose = m_lose_replies;
  }
  SleepFor(slow);
  while (true) {
    {
      const std::lock_guard lock(m_mutex);
      if (!m_hang) break;
    }
    SleepFor(kHangPollMs);
  }
  if (lose) throw LostReply();
  Poco::JSON::Object json;
  json.set("result", "receipt " + std::to_string(total) + ": " +
                         request.body->getValue<std::string>("arguments"));
  SendJson(response, kOk, json);
}

}  // namespace standins

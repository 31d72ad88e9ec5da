#include "log_service.h"

#include <Poco/JSON/Array.h>

namespace standins {
namespace {

constexpr int         kOk = 200;
constexpr int         kNotFound = 404;
constexpr int         kUnavailable = 503;
constexpr std::size_t kPageRecords = 1000;
constexpr auto        kSecond = std::chrono::seconds(1);

}  // namespace

void LogService::Serve(const Request&                 request,
                       Poco::Net::HTTPServerResponse& response) {
  if (request.path == "/control") {
    Control(request);
    return SendStatus(response, kOk);
  }
  if (request.path == "/effects") return Effects(response);
  const std::string prefix = "/streams/";
  const std::string suffix = "/records";
  const auto&       path = request.path;
  if (!path.starts_with(prefix) || !path.ends_with(suffix))
    return SendStatus(response, kNotFound);
  const std::string name =
      path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
  int  slow = 0;
  bool down = false;
  {
    const std::lock_guard lock(m_mutex);
    slow = m_slow_ms;
    down = m_mode == Mode::kDown;
  }
  SleepFor(slow);
  if (down) return SendStatus(response, kUnavailable);
  if (request.method == "POST") return Append(name, request, response);
  Read(name, request, response);
}

void LogService::Control(const Request& request) {
  const std::lock_guard lock(m_mutex);
  const auto            mode = request.body->optValue<std::string>("mode", "");
  if (mode == "up") m_mode = Mode::kUp;
  if (mode == "down") m_mode = Mode::kDown;
  if (mode == "lose_replies") m_mode = Mode::kLoseReplies;
  m_slow_ms = request.body->optValue<int>("slow_ms", m_slow_ms);
  m_retention_ms =
      request.body->optValue<std::int64_t>("retention_ms", m_retention_ms);
}

bool LogService::TryConsumeQuota() {
  const auto now = Clock::now();
  while (!m_recent.empty() && now - m_recent.front() > kSecond)
    m_recent.pop_front();
  if (static_cast<int>(m_recent.size()) >= m_appends_per_second) return false;
  m_recent.push_back(now);
  return true;
}

void LogService::DeleteExpired(Stream* stream) {
  if (m_retention_ms == 0) return;
  const auto keep = std::chrono::milliseconds(m_retention_ms);
  const auto now = Clock::now();
  while (!stream->records.empty() && now - stream->records.front().at > keep) {
    stream->records.pop_front();
    ++stream->earliest;
  }
}

void LogService::Append(const std::string& name, const Request& request,
                        Poco::Net::HTTPServerResponse& response) {
  const auto         records = request.body->getArray("records");
  Poco::JSON::Object json;
  bool               lose = false;
  {
    const std::lock_guard lock(m_mutex);
    if (!TryConsumeQuota()) {
      ++m_refused;
      return SendStatus(response, kUnavailable);
    }
    ++m_appends;
    Stream& stream = m_streams[name];
    for (std::size_t i = 0; i < records->size(); ++i) {
      stream.records.push_back(
          {records->getElement<std::string>(static_cast<unsigned>(i)),
           Clock::now()});
    }
    json.set("last", stream.earliest +
                         static_cast<std::int64_t>(stream.records.size()) - 1);
    lose = m_mode == Mode::kLoseReplies;
  }
  if (lose) throw LostReply();
  SendJson(response, kOk, json);
}

void LogService::Read(const std::string& name, const Request& request,
                      Poco::Net::HTTPServerResponse& response) {
  const auto             from = request.query.find("from");
  Poco::JSON::Object     json;
  Poco::JSON::Array::Ptr list = new Poco::JSON::Array;
  {
    const std::lock_guard lock(m_mutex);
    ++m_reads;
    Stream& stream = m_streams[name];
    DeleteExpired(&stream);
    const std::int64_t asked =
        from == request.query.end() ? 0 : std::stoll(from->second);
    const auto first = std::max(asked, stream.earliest) - stream.earliest;
    for (auto i = static_cast<std::size_t>(first);
         i < stream.records.size() && list->size() < kPageRecords; ++i) {
      Poco::JSON::Object::Ptr item = new Poco::JSON::Object;
      item->set("offset", stream.earliest + static_cast<std::int64_t>(i));
      item->set("data", stream.records[i].data);
      list->add(item);
    }
    json.set("earliest", stream.earliest);
    json.set("end", stream.earliest +
                        static_cast<std::int64_t>(stream.records.size()));
  }
  json.set("records", list);
  SendJson(response, kOk, json);
}

void LogService::Effects(Poco::Net::HTTPServerResponse& response) {
  Poco::JSON::Object    json;
  const std::lock_guard lock(m_mutex);
  json.set("appends", m_appends);
  json.set("refused", m_refused);
  json.set("reads", m_reads);
  SendJson(response, kOk, json);
}

}  // namespace standins

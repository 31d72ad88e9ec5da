#include "engine.h"

#include <Poco/JSON/Array.h>

#include <algorithm>
#include <sstream>

namespace standins {
namespace {

constexpr int          kOk = 200;
constexpr int          kNotFound = 404;
constexpr int          kConflict = 409;
constexpr std::int64_t kBytesPerToken = 4;
constexpr int          kHoldPollMs = 5;

std::int64_t Tokens(std::size_t bytes) {
  return (static_cast<std::int64_t>(bytes) + kBytesPerToken - 1) /
         kBytesPerToken;
}

std::string ContentOf(const Request& request) {
  std::string content;
  const auto  messages = request.body->getArray("messages");
  for (std::size_t i = 0; i < messages->size(); ++i) {
    content += messages->getObject(static_cast<unsigned>(i))
                   ->getValue<std::string>("content");
  }
  return content;
}

// The response depends on the whole prompt, so that tests detect a lost or
// mixed-up history.
std::string AnswerTo(const std::string& content) {
  const auto last = content.rfind("user: ");
  const auto from = last == std::string::npos ? 0 : last + 6;
  const auto end = content.find('\n', from);
  return "[" + std::to_string(content.size()) +
         "] heard: " + content.substr(from, end - from);
}

std::string Event(const std::string& content) {
  Poco::JSON::Object::Ptr delta = new Poco::JSON::Object;
  delta->set("content", content);
  Poco::JSON::Object::Ptr choice = new Poco::JSON::Object;
  choice->set("index", 0);
  choice->set("delta", delta);
  Poco::JSON::Array::Ptr choices = new Poco::JSON::Array;
  choices->add(choice);
  Poco::JSON::Object json;
  json.set("choices", choices);
  std::ostringstream out;
  json.stringify(out);
  return "data: " + out.str() + "\n\n";
}

std::string UsageEvent(std::int64_t prompt, std::int64_t cached,
                       std::int64_t completion) {
  Poco::JSON::Object::Ptr usage = new Poco::JSON::Object;
  usage->set("prompt_tokens", prompt);
  usage->set("cached_tokens", cached);
  usage->set("completion_tokens", completion);
  Poco::JSON::Object json;
  json.set("choices", Poco::JSON::Array::Ptr(new Poco::JSON::Array));
  json.set("usage", usage);
  std::ostringstream out;
  json.stringify(out);
  return "data: " + out.str() + "\n\ndata: [DONE]\n\n";
}

}  // namespace

void Engine::Serve(const Request&                 request,
                   Poco::Net::HTTPServerResponse& response) {
  if (request.path == "/v1/chat/completions")
    return Complete(request, response);
  if (request.path == "/v1/cache/release") return Release(request, response);
  if (request.path == "/v1/load") return Load(response);
  if (request.path == "/v1/cache/events") return Events(request, response);
  if (request.path == "/effects") return Effects(response);
  if (request.path == "/control") {
    const std::lock_guard lock(m_mutex);
    m_hold = request.body->optValue<bool>("hold", m_hold);
    return SendStatus(response, kOk);
  }
  SendStatus(response, kNotFound);
}

bool Engine::IsFenced(std::int64_t fence) {
  if (!m_settings.checks_fence) return false;
  if (fence < m_fence) {
    ++m_refused;
    return true;
  }
  m_fence = fence;
  return false;
}

void Engine::AcquireSlot(std::int64_t priority) {
  std::unique_lock lock(m_mutex);
  m_waiting.insert(priority);
  m_changed.wait(lock, [&] {
    return m_running < m_settings.slots && *m_waiting.begin() == priority;
  });
  m_waiting.erase(m_waiting.find(priority));
  ++m_running;
  RecordLoad();
}

void Engine::ReleaseSlot() {
  {
    const std::lock_guard lock(m_mutex);
    --m_running;
    RecordLoad();
  }
  m_changed.notify_all();
}

std::int64_t Engine::UsePrefix(const std::string& key, std::int64_t tokens) {
  const std::lock_guard lock(m_mutex);
  const auto            found = m_prefixes.find(key);
  std::int64_t          cached = 0;
  if (found != m_prefixes.end()) {
    cached = std::min(tokens, found->second.tokens);
    m_cached -= found->second.tokens;
    m_lru_keys.erase(found->second.lru_position);
    m_prefixes.erase(found);
  }
  m_lru_keys.push_back(key);
  m_prefixes[key] = {tokens, std::prev(m_lru_keys.end())};
  m_cached += tokens;
  Publish(key, "stored");
  while (m_cached > m_settings.cache_tokens && m_prefixes.size() > 1)
    Drop(std::string(m_lru_keys.front()), "evicted");
  return cached;
}

void Engine::Drop(const std::string& key, const char* why) {
  const auto found = m_prefixes.find(key);
  if (found == m_prefixes.end()) return;
  m_cached -= found->second.tokens;
  m_lru_keys.erase(found->second.lru_position);
  m_prefixes.erase(found);
  Publish(key, why);
}

void Engine::Publish(const std::string& key, const char* what) {
  ++m_event_number;
  if (m_event_number % m_settings.event_gap_every == 0) return;  // dropped
  m_events.push_back({m_event_number, Clock::now(), key, what});
}

void Engine::Complete(const Request&                 request,
                      Poco::Net::HTTPServerResponse& response) {
  const auto key = request.body->getValue<std::string>("cache_key");
  const auto limit = request.body->getValue<std::int64_t>("max_tokens");
  const auto content = ContentOf(request);
  {
    const std::lock_guard lock(m_mutex);
    if (IsFenced(request.body->getValue<std::int64_t>("fence")))
      return SendStatus(response, kConflict);
  }
  AcquireSlot(request.body->optValue<std::int64_t>("priority", 0));
  const std::int64_t prompt = Tokens(content.size());
  const std::int64_t cached = UsePrefix(key, prompt);
  {
    const std::lock_guard lock(m_mutex);
    ++m_completions[key];
  }
  SleepFor(
      static_cast<int>((prompt - cached) / m_settings.prefill_tokens_per_ms));
  std::string answer = AnswerTo(content);
  answer.resize(std::min(answer.size(),
                         static_cast<std::size_t>(limit * kBytesPerToken)));
  response.setContentType("text/event-stream");
  response.setChunkedTransferEncoding(true);
  auto& out = response.send();
  for (std::size_t at = 0; at < answer.size() && out; at += kBytesPerToken) {
    SleepFor(m_settings.decode_ms);
    out << Event(answer.substr(at, kBytesPerToken)) << std::flush;
  }
  std::unique_lock lock(m_mutex);
  while (m_hold && out) {
    lock.unlock();
    SleepFor(kHoldPollMs);
    lock.lock();
  }
  m_tokens += prompt + Tokens(answer.size());
  lock.unlock();
  out << UsageEvent(prompt, cached, Tokens(answer.size())) << std::flush;
  ReleaseSlot();
}

void Engine::Release(const Request&                 request,
                     Poco::Net::HTTPServerResponse& response) {
  const std::lock_guard lock(m_mutex);
  if (IsFenced(request.body->getValue<std::int64_t>("fence")))
    return SendStatus(response, kConflict);
  if (request.body->optValue<bool>("all", false)) {
    while (!m_lru_keys.empty())
      Drop(std::string(m_lru_keys.front()), "released");
  } else {
    Drop(request.body->getValue<std::string>("cache_key"), "released");
  }
  SendStatus(response, kOk);
}

void Engine::Load(Poco::Net::HTTPServerResponse& response) {
  Poco::JSON::Object    json;
  const std::lock_guard lock(m_mutex);
  const auto            as_of =
      Clock::now() - std::chrono::milliseconds(m_settings.event_lag_ms);
  LoadReport shown;
  for (const auto& report : m_loads) {
    if (report.at <= as_of) shown = report;
  }
  json.set("running", shown.running);
  json.set("waiting", shown.waiting);
  json.set("cached_tokens", shown.cached);
  SendJson(response, kOk, json);
}

void Engine::RecordLoad() {
  constexpr std::size_t kMaxReports = 4096;
  m_loads.push_back({Clock::now(), m_running, m_waiting.size(), m_cached});
  if (m_loads.size() > kMaxReports) m_loads.erase(m_loads.begin());
}

void Engine::Events(const Request&                 request,
                    Poco::Net::HTTPServerResponse& response) {
  const auto         from = request.query.find("from");
  const std::int64_t first =
      from == request.query.end() ? 0 : std::stoll(from->second);
  const auto as_of =
      Clock::now() - std::chrono::milliseconds(m_settings.event_lag_ms);
  Poco::JSON::Array::Ptr list = new Poco::JSON::Array;
  const std::lock_guard  lock(m_mutex);
  for (const auto& event : m_events) {
    if (event.number < first || event.at > as_of) continue;
    Poco::JSON::Object::Ptr item = new Poco::JSON::Object;
    item->set("number", event.number);
    item->set("key", event.key);
    item->set("what", event.what);
    list->add(item);
  }
  Poco::JSON::Object json;
  json.set("events", list);
  SendJson(response, kOk, json);
}

void Engine::Effects(Poco::Net::HTTPServerResponse& response) {
  Poco::JSON::Object      json;
  Poco::JSON::Object::Ptr completions = new Poco::JSON::Object;
  const std::lock_guard   lock(m_mutex);
  for (const auto& [key, count] : m_completions) completions->set(key, count);
  json.set("completions", completions);
  json.set("prefixes_held", m_prefixes.size());
  json.set("fenced_refusals", m_refused);
  json.set("tokens", m_tokens);
  SendJson(response, kOk, json);
}

}  // namespace standins

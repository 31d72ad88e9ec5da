#include "yuccawick/gateway/log.h"

#include <Poco/JSONString.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>
#include <chrono>
#include <mutex>

namespace yuccawick::gateway {
namespace {

// Bytes buffered for standard output; bounds memory when its reader stalls.
constexpr std::size_t kMaxBufferBytes = 256UL * 1024;
// Limit per process; further lines of that second are dropped. A node at its
// share of the target load writes 3 lines for each of 60 requests a second.
constexpr std::size_t kMaxLinesPerSecond = 600;
constexpr net::Time   kSecond = 1000;  // ms

std::string Format(std::string_view node, std::string_view zone, LogEvent event,
                   std::initializer_list<LogField> fields) {
  const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
  std::string line = "{\"time_ms\":" + std::to_string(time);
  line.append(",\"event\":\"").append(Name(event));
  line.append("\",\"node\":\"").append(node);
  line.append("\",\"zone\":\"").append(zone).append("\"");
  for (const LogField& field : fields) {
    line.append(",\"").append(field.name).append("\":");
    line.append(field.is_number ? field.value : Poco::toJSON(field.value));
  }
  return line.append("}\n");
}

}  // namespace

std::string_view Name(LogEvent event) {
  constexpr std::array<std::string_view, 32> kNames{
      "started",     "stopping", "stopped",   "settings", "manifest", "servers",
      "log_lost",    "log_back", "log_use",   "accepted", "sent",     "loss",
      "probed",      "suspect",  "continued", "answered", "refused",  "cut_off",
      "client_left", "waiting",  "claim",     "settled",  "scan",     "origins",
      "limit",       "room",     "share",     "pace",     "pressure", "peer",
      "dropped",     "fault"};
  return kNames[static_cast<std::size_t>(event)];
}

// Boost.Log backend with a bounded buffer in front of non-blocking output.
class Log::Sink final : public boost::log::sinks::basic_formatted_sink_backend<
                            char, boost::log::sinks::concurrent_feeding> {
 public:
  Sink() {
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }

  void consume(const boost::log::record_view& /*record*/,
               const string_type& line) {
    Add(line);
  }

  void Add(std::string_view line) {
    const std::scoped_lock lock(m_lock);
    const net::Time        second = net::Now() / kSecond;
    if (second != m_second) {
      m_second = second;
      m_lines = 0;
    }
    if (++m_lines > kMaxLinesPerSecond ||
        m_buffer.size() + line.size() > kMaxBufferBytes) {
      ++m_dropped;
      return;
    }
    m_buffer += line;
  }

  std::size_t TakeDropped() {
    const std::scoped_lock lock(m_lock);
    if (m_lines >= kMaxLinesPerSecond ||
        m_buffer.size() > kMaxBufferBytes / 2) {
      return 0;
    }
    return std::exchange(m_dropped, 0);
  }

  void Flush() {
    const std::scoped_lock lock(m_lock);
    while (!m_buffer.empty()) {
      const auto written =
          write(STDOUT_FILENO, m_buffer.data(), m_buffer.size());
      if (written <= 0) return;
      m_buffer.erase(0, static_cast<std::size_t>(written));
    }
  }

 private:
  std::mutex  m_lock;
  std::string m_buffer;
  std::size_t m_dropped = 0;
  std::size_t m_lines = 0;
  net::Time   m_second = 0;
};

Log::Log(std::string node, std::string zone)
    : m_node(std::move(node)), m_zone(std::move(zone)) {
  const auto backend = boost::make_shared<Sink>();
  m_sink = std::shared_ptr<Sink>(backend.get(), [backend](Sink*) {});
  using Frontend = boost::log::sinks::unlocked_sink<Sink>;
  boost::log::core::get()->remove_all_sinks();
  boost::log::core::get()->add_sink(boost::make_shared<Frontend>(backend));
}

Log::~Log() {
  Flush();
  boost::log::core::get()->remove_all_sinks();
}

void Log::Write(LogEvent event, std::initializer_list<LogField> fields) {
  static boost::log::sources::logger_mt logger;
  BOOST_LOG(logger) << Format(m_node, m_zone, event, fields);
}

void Log::SetEnabled(bool enabled) {
  boost::log::core::get()->set_logging_enabled(enabled);
}

void Log::Flush() {
  const std::size_t dropped = m_sink->TakeDropped();
  if (dropped > 0) Write(LogEvent::kDropped, {{"lines", dropped}});
  m_sink->Flush();
}

}  // namespace yuccawick::gateway

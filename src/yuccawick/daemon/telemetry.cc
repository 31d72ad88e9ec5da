#include "yuccawick/daemon/telemetry.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/JSON/Object.h>
#include <Poco/Timestamp.h>
#include <prometheus/text_serializer.h>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <chrono>
#include <iostream>
#include <sstream>

namespace yuccawick::daemon {
namespace {

constexpr int kMicrosPerMilli = 1000;

core::Time Now() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

const prometheus::Histogram::BucketBoundaries kSeconds{
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60};

}  // namespace

std::string FormatLine(const core::LogLine& line, const core::NodeRef& self,
                       const std::string& zone, core::Time now) {
  Poco::JSON::Object    json(Poco::JSON_PRESERVE_KEY_ORDER);
  const Poco::Timestamp time(static_cast<Poco::Timestamp::TimeVal>(now) *
                             kMicrosPerMilli);
  json.set("time", Poco::DateTimeFormatter::format(
                       time, Poco::DateTimeFormat::ISO8601_FRAC_FORMAT));
  json.set("severity", std::string(core::Name(line.severity)));
  json.set("event", std::string(core::Name(line.event)));
  json.set("vm", self.vm);
  json.set("zone", zone);
  if (!line.customer.empty()) json.set("customer", line.customer);
  if (!line.program.empty()) json.set("program", line.program);
  if (line.call != 0) json.set("call", line.call);
  if (!line.reason.empty()) json.set("reason", line.reason);
  if (!line.detail.empty()) json.set("detail", line.detail);
  std::ostringstream out;
  json.stringify(out);
  return out.str();
}

JsonLog::JsonLog(core::NodeRef self, std::string zone,
                 core::Severity min_severity)
    : m_self(std::move(self)),
      m_zone(std::move(zone)),
      m_min_severity(min_severity) {
  namespace expr = boost::log::expressions;
  boost::log::core::get()->remove_all_sinks();
  boost::log::add_console_log(
      std::clog, boost::log::keywords::format = expr::stream << expr::smessage,
      boost::log::keywords::auto_flush = true);
}

void JsonLog::Write(const core::LogLine& line) {
  if (line.severity < m_min_severity) return;
  static boost::log::sources::logger_mt logger;
  BOOST_LOG(logger) << FormatLine(line, m_self, m_zone, Now());
}

Metrics::Metrics() : m_registry(std::make_shared<prometheus::Registry>()) {
  for (std::size_t i = 0; i < core::kCounterCount; ++i) {
    const std::string name(core::Name(static_cast<core::Counter>(i)));
    m_counters[i] = &prometheus::BuildCounter()
                         .Name("yuccawick_" + name + "_total")
                         .Help("Number of " + name + " by label")
                         .Register(*m_registry);
  }
  // Registers every reason at startup, so that alerts never meet a missing
  // series.
  for (const auto& reason : core::ReasonTable()) {
    Add({core::Counter::kRefusals, reason.name, 0});
    Add({core::Counter::kRetries, reason.name, 0});
  }
  m_call_seconds = &prometheus::BuildHistogram()
                        .Name("yuccawick_call_seconds")
                        .Help("From a caller's request to its whole answer")
                        .Register(*m_registry)
                        .Add({}, kSeconds);
  m_first_token_seconds =
      &prometheus::BuildHistogram()
           .Name("yuccawick_first_token_seconds")
           .Help("From a caller's request to the first text")
           .Register(*m_registry)
           .Add({}, kSeconds);
}

void Metrics::Add(const core::Count& count) {
  m_counters[static_cast<std::size_t>(count.counter)]
      ->Add({{"label", std::string(count.label)}})
      .Increment(static_cast<double>(count.amount));
}

void Metrics::ObserveCall(double seconds) { m_call_seconds->Observe(seconds); }

void Metrics::ObserveFirstToken(double seconds) {
  m_first_token_seconds->Observe(seconds);
}

std::string Metrics::Text() const {
  const prometheus::TextSerializer serializer;
  return serializer.Serialize(m_registry->Collect());
}

}  // namespace yuccawick::daemon

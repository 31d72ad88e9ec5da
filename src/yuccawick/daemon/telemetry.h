// Logs and metrics of a daemon.
//
// Logs are JSON lines on standard error, by Boost.Log. Metrics are counters of
// prometheus-cpp, one for each refusal and retry reason; their labels come from
// the table of core/failure.h, so none can be forgotten.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <memory>
#include <string>
#include <string_view>

#include "yuccawick/core/messages.h"

namespace yuccawick::daemon {

class JsonLog {
 public:
  JsonLog(core::NodeRef self, std::string zone, core::Severity least);
  void Write(const core::LogLine& line);

 private:
  core::NodeRef  m_self;
  std::string    m_zone;
  core::Severity m_least;
};

// The line as it is written, without its end. Time is ms since the epoch.
std::string FormatLine(const core::LogLine& line, const core::NodeRef& self,
                       const std::string& zone, core::Time now);

class Metrics {
 public:
  Metrics();
  void        Add(const core::Count& count);
  void        ObserveCall(double seconds);
  void        ObserveFirstToken(double seconds);
  // All of them in Prometheus' text format.
  std::string Text() const;

 private:
  using CounterFamily = prometheus::Family<prometheus::Counter>;
  std::shared_ptr<prometheus::Registry>           m_registry;
  std::array<CounterFamily*, core::kCounterCount> m_counters{};
  prometheus::Histogram*                          m_calls = nullptr;
  prometheus::Histogram*                          m_first_tokens = nullptr;
};

}  // namespace yuccawick::daemon

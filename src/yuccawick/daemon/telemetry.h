// Log and metrics of a daemon.
//
// The log is written as JSON lines to standard error through Boost.Log. Metrics
// are prometheus-cpp counters and histograms, with a counter for every refusal
// and retry reason of core/failure.h.
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
  JsonLog(core::NodeRef self, std::string zone, core::Severity min_severity);
  void Write(const core::LogLine& line);

 private:
  core::NodeRef  m_self;
  std::string    m_zone;
  core::Severity m_min_severity;
};

// Formats a log line without its newline. `now` is ms since the epoch.
std::string FormatLine(const core::LogLine& line, const core::NodeRef& self,
                       const std::string& zone, core::Time now);

class Metrics {
 public:
  Metrics();
  void        Add(const core::Count& count);
  void        ObserveCall(double seconds);
  void        ObserveFirstToken(double seconds);
  // All metrics in the Prometheus text format.
  std::string Text() const;

 private:
  using CounterFamily = prometheus::Family<prometheus::Counter>;
  std::shared_ptr<prometheus::Registry>           m_registry;
  std::array<CounterFamily*, core::kCounterCount> m_counters{};
  prometheus::Histogram*                          m_call_seconds = nullptr;
  prometheus::Histogram* m_first_token_seconds = nullptr;
};

}  // namespace yuccawick::daemon

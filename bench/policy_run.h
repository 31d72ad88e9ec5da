// Simulates one scenario under one policy, with the core's real executors and
// queue and route policies on simulated engines.
#pragma once

#include <map>
#include <string>

#include "engine_model.h"
#include "workload.h"
#include "yuccawick/core/scheduling.h"

namespace yuccawick::bench {

struct Policy {
  std::string              name;
  const core::QueuePolicy& queue;
  const core::RoutePolicy& route;
  bool limit_prefixes = false;  // limits prefixes to the engine's cache
};

enum class Fault : std::uint8_t { kNone, kEngineCrash, kEngineSlowdown };

struct RunSettings {
  Fault          fault = Fault::kNone;
  core::Duration load_lag = 500;            // ms between load reports
  core::Duration max_duration = 2'700'000;  // simulated ms
};

struct RunResult {
  std::string  policy;
  std::size_t  programs = 0;
  std::size_t  finished = 0;            // complete, within their time limit
  double       p50 = 0;                 // program latency, s; programs
  double       p95 = 0;                 // that did not finish in time
  double       p99 = 0;                 // count with their time limit
  core::Tokens computed = 0;            // prompt tokens
  core::Tokens wasted = 0;              // prompt tokens computed again
  double       goodput = 0;             // programs finished per minute
  double       first_class_p95 = 0;     // s, class of highest priority
  std::map<std::string, int> refusals;  // by reason
};

RunResult RunPolicy(const Scenario& scenario, const Policy& policy,
                    const RunSettings& settings);

}  // namespace yuccawick::bench

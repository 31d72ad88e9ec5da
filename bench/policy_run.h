// One scenario under one policy: the real executors and strategies of the core
// over models of engines.
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
  bool                     limits = false;  // programs by the engine's memory
};

enum class Trouble : std::uint8_t { kNone, kEngineLost, kEngineSlow };

struct RunSettings {
  Trouble        trouble = Trouble::kNone;
  core::Duration load_lag = 500;     // ms between looks at another's load
  core::Duration limit = 2'700'000;  // ms of model time
};

struct RunResult {
  std::string  policy;
  std::size_t  programs = 0;
  std::size_t  finished = 0;            // whole, within patience
  double       p50 = 0;                 // program latency, s, of all that
  double       p95 = 0;                 // finished; unfinished count as
  double       p99 = 0;                 // their patience
  core::Tokens computed = 0;            // prompt tokens
  core::Tokens wasted = 0;              // computed more than once
  double       goodput = 0;             // finished a minute
  double       first_class_p95 = 0;     // s, of the class of best priority
  std::map<std::string, int> refusals;  // by reason
};

RunResult RunPolicy(const Scenario& scenario, const Policy& policy,
                    const RunSettings& settings);

}  // namespace yuccawick::bench

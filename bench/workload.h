// Generates the programs of two example customers from a seed. All programs
// arrive within one minute.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "yuccawick/core/contract.h"
#include "yuccawick/core/types.h"

namespace yuccawick::bench {

struct PlannedCall {
  core::Tokens   input = 0;      // new prompt tokens
  core::Tokens   output = 0;     // tokens generated
  core::Duration tool_time = 0;  // ms until the next call
};

struct PlannedProgram {
  core::Time               arrival = 0;
  std::size_t              service_class = 0;  // index into contract.classes
  core::Tokens             history = 0;        // initial tokens
  std::vector<PlannedCall> calls;
  core::Duration           time_limit = 0;  // ms from arrival
};

struct Scenario {
  std::string                 name;
  core::Contract              contract;
  int                         servers = 0;
  std::vector<PlannedProgram> programs;
};

// Load 1 is about what the servers can complete within the time limits.
Scenario MakeSakhli(std::uint64_t seed, double load);
Scenario MakeMandacaru(std::uint64_t seed, double load);

}  // namespace yuccawick::bench

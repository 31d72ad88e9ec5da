// The two customers' programs, drawn from a seed.
//
// Everyone arrives within one minute. Sizes are those of the brief's
// deployments; lengths are round numbers for the programs it describes.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "yuccawick/core/contract.h"
#include "yuccawick/core/types.h"

namespace yuccawick::bench {

struct PlannedCall {
  core::Tokens   input = 0;   // new tokens of the call
  core::Tokens   output = 0;  // tokens generated
  core::Duration pause = 0;   // ms of tool work before the next call
};

struct PlannedProgram {
  core::Time               arrives = 0;
  std::size_t              service_class = 0;  // index in the contract
  core::Tokens             history = 0;        // tokens it begins with
  std::vector<PlannedCall> calls;
  core::Duration           patience = 0;  // ms until the result is of no use
};

struct Scenario {
  std::string                 name;
  core::Contract              contract;
  int                         servers = 0;
  std::vector<PlannedProgram> programs;
};

// Load 1 is about what the servers can do in the minute and the patience.
Scenario MakeSakhli(std::uint64_t seed, double load);
Scenario MakeMandacaru(std::uint64_t seed, double load);

}  // namespace yuccawick::bench

// Hash function for rendezvous ranking and load spreading; stable across nodes
// and runs.
#pragma once

#include <cstdint>
#include <string_view>

namespace yuccawick::core {

// Returns a uniformly distributed hash of two names.
std::uint64_t PairHash(std::string_view a, std::string_view b);

}  // namespace yuccawick::core

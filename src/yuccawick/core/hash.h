// One hash, the same on every node and in every run.
#pragma once

#include <cstdint>
#include <string_view>

namespace yuccawick::core {

// A well-mixed hash of two names.
std::uint64_t PairHash(std::string_view a, std::string_view b);

}  // namespace yuccawick::core

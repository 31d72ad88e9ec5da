#include "yuccawick/core/hash.h"

#include <xxhash.h>

namespace yuccawick::core {

std::uint64_t PairHash(std::string_view a, std::string_view b) {
  return XXH3_64bits_withSeed(b.data(), b.size(),
                              XXH3_64bits(a.data(), a.size()));
}

}  // namespace yuccawick::core

#include "yuccawick/pressure/connection_limit.h"

#include <algorithm>

namespace yuccawick::pressure {
namespace {

// Descriptors that are not available to sockets.
constexpr std::size_t kFileDescriptors = 200;
// Lower bound, for a node whose limit is too small to be shared out.
constexpr std::size_t kMinClients = 16;
constexpr std::size_t kDescriptorsPerClient = 2;

}  // namespace

std::size_t MaxClients(std::size_t descriptors) {
  if (descriptors == 0) return kUnlimited;
  const std::size_t sockets =
      descriptors - std::min(descriptors, kFileDescriptors);
  return std::max(kMinClients, sockets / kDescriptorsPerClient);
}

}  // namespace yuccawick::pressure

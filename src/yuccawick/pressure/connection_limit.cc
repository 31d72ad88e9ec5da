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

std::size_t MaxClients(std::size_t descriptors, std::size_t spare_bytes) {
  const std::size_t buffers = spare_bytes == kUnlimited
                                  ? kUnlimited
                                  : spare_bytes / 2 / kMinReceiveBuffer;
  if (descriptors == 0) return std::max(kMinClients, buffers);
  const std::size_t sockets =
      descriptors - std::min(descriptors, kFileDescriptors);
  return std::max(kMinClients,
                  std::min(buffers, sockets / kDescriptorsPerClient));
}

int ReceiveBufferFor(std::size_t clients, std::size_t spare_bytes) {
  // Part of the spare memory that the clients that came first share.
  constexpr std::size_t kSharedPart = 16;
  const std::size_t     share = spare_bytes / kSharedPart / (clients + 1);
  return static_cast<int>(
      std::clamp<std::size_t>(share, kMinReceiveBuffer, kMaxReceiveBuffer));
}

}  // namespace yuccawick::pressure

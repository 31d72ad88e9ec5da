// How many clients a node serves at once.
#pragma once

#include <cstddef>

namespace yuccawick::pressure {

inline constexpr std::size_t kUnlimited = static_cast<std::size_t>(-1);

// `descriptors`: limit of the process; 0: unlimited. Half of those that sockets
// may use are left to servers, to the log, to peers and to checks of readiness:
// each client may need one more for its server.
std::size_t MaxClients(std::size_t descriptors);

}  // namespace yuccawick::pressure

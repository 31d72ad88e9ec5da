// How many clients a node serves at once.
#pragma once

#include <cstddef>

namespace yuccawick::pressure {

inline constexpr std::size_t kUnlimited = static_cast<std::size_t>(-1);

// Bytes that may wait unread on the connection of a client: what each has, and
// what one has that is alone. They count as the process's memory, but a small
// buffer slows large bodies.
inline constexpr int kMinReceiveBuffer = 16 * 1024;
inline constexpr int kMaxReceiveBuffer = 256 * 1024;

// `descriptors`: limit of the process; 0: unlimited. Half of those that sockets
// may use are left to servers, to the log, to peers and to checks of readiness:
// each client may need one more for its server. `spare_bytes`: memory that the
// budget leaves to the kernel and the allocator, of which half may be full
// receive buffers.
std::size_t MaxClients(std::size_t descriptors,
                       std::size_t spare_bytes = kUnlimited);

// Receive buffer in bytes of the next client of a node that has `clients`. The
// buffers of all clients together stay within the spare memory.
int ReceiveBufferFor(std::size_t clients, std::size_t spare_bytes);

}  // namespace yuccawick::pressure

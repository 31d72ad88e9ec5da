// IPv4 endpoints, written as "10.1.0.3:80", and non-blocking TCP sockets.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace yuccawick::net {

struct Endpoint {
  std::uint32_t address = 0;  // host byte order
  std::uint16_t port = 0;

  bool        operator==(const Endpoint&) const = default;
  std::string Text() const;
};

// Returns nullopt unless `text` is "ADDRESS:PORT".
std::optional<Endpoint> ParseEndpoint(std::string_view text);

// Each returns a file descriptor, or -1 with errno set. Connect() returns while
// the connection is being established. `user_timeout` is the TCP user timeout
// in ms: how long sent bytes may stay unacknowledged. A peer that lost power
// sends no reset; without the timeout, a pooled connection to it would hang for
// minutes.
// `receive_buffer`: bytes that may wait unread on each accepted connection; 0:
// the system's default.
int Listen(const Endpoint& at, int receive_buffer = 0);
int Connect(const Endpoint& to, int user_timeout);
int Accept(int listener, int user_timeout);

// Sets how many bytes may wait unread on a connected socket.
void SetReceiveBuffer(int fd, int bytes);

}  // namespace yuccawick::net

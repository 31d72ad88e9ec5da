// An IPv4 address and port, as settings and discovery write it: "10.1.0.3:80".
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

std::optional<Endpoint> ParseEndpoint(std::string_view text);

// Non-blocking sockets; -1 with errno set if the system refuses. Connecting is
// under way when Connect() returns. `silence` (ms) bounds how long bytes may
// stay unacknowledged: a peer that lost power or is cut off sends no reset, and
// without the bound a pooled connection to it would hang for minutes.
int Listen(const Endpoint& at);
int Connect(const Endpoint& to, int silence);
int Accept(int listener, int silence);

}  // namespace yuccawick::net

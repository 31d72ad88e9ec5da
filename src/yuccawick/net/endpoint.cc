#include "yuccawick/net/endpoint.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>

namespace yuccawick::net {
namespace {

constexpr int kBacklog = 1024;  // connections that may wait for accept()

sockaddr_in ToSystem(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(endpoint.address);
  address.sin_port = htons(endpoint.port);
  return address;
}

void SetSocketOptions(int fd, int user_timeout) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const auto timeout = static_cast<unsigned>(user_timeout);
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
}

}  // namespace

std::string Endpoint::Text() const {
  in_addr system{};
  system.s_addr = htonl(address);
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &system, text, sizeof text);
  return std::string(text) + ":" + std::to_string(port);
}

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const std::string host(text.substr(0, colon));
  in_addr           system{};
  if (inet_pton(AF_INET, host.c_str(), &system) != 1) return std::nullopt;
  Endpoint    endpoint{ntohl(system.s_addr), 0};
  const char* end = text.data() + text.size();
  const auto  port =
      std::from_chars(text.data() + colon + 1, end, endpoint.port);
  if (port.ec != std::errc() || port.ptr != end) return std::nullopt;
  return endpoint;
}

int Listen(const Endpoint& at, int receive_buffer) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  // Accepted connections inherit it.
  if (receive_buffer > 0) SetReceiveBuffer(fd, receive_buffer);
  const sockaddr_in address = ToSystem(at);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
          0 ||
      listen(fd, kBacklog) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

int Connect(const Endpoint& to, int user_timeout) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  SetSocketOptions(fd, user_timeout);
  const sockaddr_in address = ToSystem(to);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0 &&
      errno != EINPROGRESS) {
    close(fd);
    return -1;
  }
  return fd;
}

int Accept(int listener, int user_timeout) {
  const int fd =
      accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd >= 0) SetSocketOptions(fd, user_timeout);
  return fd;
}

void SetReceiveBuffer(int fd, int bytes) {
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
}

}  // namespace yuccawick::net

#include "yuccawick/net/listener.h"

#include <unistd.h>

#include <cerrno>
#include <utility>

namespace yuccawick::net {
namespace {

constexpr Duration kRest = 100;  // ms without a descriptor
// Connections accepted before other sockets of the loop get their turn.
constexpr int      kMaxAcceptsPerEvent = 64;

bool IsOutOfResources(int error) {
  return error == EMFILE || error == ENFILE || error == ENOBUFS ||
         error == ENOMEM;
}

}  // namespace

Listener::Listener(EventLoop* loop, int user_timeout, AcceptHandler on_accept)
    : m_loop(loop),
      m_user_timeout(user_timeout),
      m_on_accept(std::move(on_accept)) {}

Listener::~Listener() { Close(); }

bool Listener::Listen(const Endpoint& at, int receive_buffer) {
  m_fd = net::Listen(at, receive_buffer);
  if (m_fd < 0) return false;
  m_loop->Watch(m_fd, this, true, false);
  return true;
}

void Listener::Close() {
  m_loop->Cancel(&m_rest_timer);
  if (m_fd < 0) return;
  m_loop->Forget(m_fd);
  close(m_fd);
  m_fd = -1;
}

void Listener::OnReadable() {
  for (int i = 0; i < kMaxAcceptsPerEvent && is_open(); ++i) {
    const int fd = Accept(m_fd, m_user_timeout);
    if (fd >= 0) {
      m_on_accept(fd);
    } else if (IsOutOfResources(errno)) {
      return Rest();
    } else if (errno != EINTR && errno != ECONNABORTED) {
      return;
    }
  }
}

void Listener::Rest() {
  m_loop->Change(m_fd, false, false, false);
  m_rest_timer = m_loop->After(kRest, [this] {
    m_rest_timer = 0;
    m_loop->Change(m_fd, true, false);
  });
}

}  // namespace yuccawick::net

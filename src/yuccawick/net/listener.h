// Accepts TCP connections at one address.
//
// While the process has no descriptor left, the listener rests for a short
// time: the connection that waits would otherwise be reported in every
// iteration of the loop.
#pragma once

#include <functional>

#include "yuccawick/net/endpoint.h"
#include "yuccawick/net/event_loop.h"

namespace yuccawick::net {

class Listener final : public SocketHandler {
 public:
  // Receives a connected, non-blocking socket and owns it.
  using AcceptHandler = std::function<void(int fd)>;

  // `user_timeout`: of accepted sockets, see Accept().
  Listener(EventLoop* loop, int user_timeout, AcceptHandler on_accept);
  ~Listener() override;
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // Returns false if the address cannot be bound. `receive_buffer`: see
  // net::Listen().
  bool Listen(const Endpoint& at, int receive_buffer = 0);
  void Close();
  bool is_open() const { return m_fd >= 0; }

  void OnReadable() override;
  void OnWritable() override {}
  void OnHangup() override {}

 private:
  void Rest();

  EventLoop*    m_loop;
  int           m_user_timeout;  // ms
  AcceptHandler m_on_accept;
  int           m_fd = -1;
  TimerId       m_rest_timer = 0;
};

}  // namespace yuccawick::net

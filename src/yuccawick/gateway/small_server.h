// Minimal HTTP server for readiness checks and metrics. Answers requests
// without a body through one callback on the event loop.
//
// Memory and descriptors are bounded: each connection holds one answer at most,
// the next request is read once the client has taken it, and a new connection
// replaces the one that was quiet for longest.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "yuccawick/net/endpoint.h"
#include "yuccawick/net/event_loop.h"
#include "yuccawick/net/listener.h"

namespace yuccawick::gateway {

struct SmallAnswer {
  int         status = 200;
  std::string body;
  std::string content_type = "text/plain";
};

class SmallServer final {
 public:
  using Answer = std::function<SmallAnswer(std::string_view target)>;
  SmallServer(net::EventLoop* loop, Answer answer);
  ~SmallServer();

  // Returns false if the address cannot be bound.
  bool Listen(const net::Endpoint& at) { return m_listener.Listen(at); }

 private:
  class Connection;
  using Connections = std::list<std::unique_ptr<Connection>>;

  void OnAccepted(int fd);
  void Drop(Connections::iterator connection);
  // The connection sent a request or took its answer.
  void MarkActive(Connections::iterator connection);

  net::EventLoop* m_loop;
  Answer          m_answer;
  net::Listener   m_listener;
  Connections     m_connections;  // quiet for longest first
};

}  // namespace yuccawick::gateway

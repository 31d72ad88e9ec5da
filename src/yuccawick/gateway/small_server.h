// Minimal HTTP server for readiness checks and metrics. Answers
// requests without a body through one callback on the event loop.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "yuccawick/net/endpoint.h"
#include "yuccawick/net/event_loop.h"

namespace yuccawick::gateway {

struct SmallAnswer {
  int         status = 200;
  std::string body;
  std::string content_type = "text/plain";
};

class SmallServer final : public net::SocketHandler {
 public:
  using Answer = std::function<SmallAnswer(std::string_view target)>;
  SmallServer(net::EventLoop* loop, Answer answer);
  ~SmallServer() override;

  // Returns false if the address cannot be bound.
  bool Listen(const net::Endpoint& at);

  void OnReadable() override;
  void OnWritable() override {}
  void OnHangup() override {}

 private:
  class Connection;
  net::EventLoop*                                              m_loop;
  Answer                                                       m_answer;
  int                                                          m_listener = -1;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> m_connections;
};

}  // namespace yuccawick::gateway

// HTTP client for one server with a pool of kept-alive connections, on one
// event loop.
//
// Intended for control traffic with small calls whose responses are read whole.
// Each call completes exactly once, with a response or with a failure that says
// whether the server may have executed it.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "yuccawick/net/endpoint.h"
#include "yuccawick/net/http.h"
#include "yuccawick/net/stream.h"

namespace yuccawick::net {

enum class CallFailure : std::uint8_t {
  kNotSent,  // no connection; the server received nothing
  kUnknown,  // no complete response; it may have been executed
};
std::string_view Name(CallFailure failure);

struct CallAnswer {
  int         status = 0;
  std::string body;
};

using CallResult = tl::expected<CallAnswer, CallFailure>;
using CallDone = std::function<void(CallResult)>;

struct Call {
  std::string method;
  std::string target;
  std::string body;
  std::string content_type;
  Duration    timeout = 0;  // ms, for the whole call
};

class HttpClient {
 public:
  HttpClient(EventLoop* loop, Endpoint server);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  void            Send(const Call& call, CallDone done);
  const Endpoint& server() const { return m_server; }

 private:
  class Connection;
  Connection* FindIdle();
  void        Release(Connection* connection, bool usable);

  EventLoop*                             m_loop;
  Endpoint                               m_server;
  std::list<std::unique_ptr<Connection>> m_connections;
};

}  // namespace yuccawick::net

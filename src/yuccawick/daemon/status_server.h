// HTTP server of a daemon: /healthz, /status, /metrics and the daemon's own
// paths.
#pragma once

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServer.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "yuccawick/daemon/telemetry.h"

namespace yuccawick::daemon {

struct HttpServerSettings {
  std::string host;
  int         port = 0;
  int         threads = 8;  // maximum number of concurrent requests
  int         client_timeout_ms = 10000;  // longest stall of a client
};

class StatusServer {
 public:
  // Creates a handler for one of the daemon's own paths; null for none.
  using Factory = std::function<Poco::Net::HTTPRequestHandler*(
      const Poco::Net::HTTPServerRequest& request)>;
  using StatusText = std::function<std::string()>;

  StatusServer(const HttpServerSettings& settings, const Metrics& metrics,
               StatusText status, Factory factory);
  ~StatusServer();
  StatusServer(const StatusServer&) = delete;
  StatusServer& operator=(const StatusServer&) = delete;

  void Start();
  // Stops accepting connections; requests in flight finish.
  void Stop();
  int  port() const;

 private:
  std::unique_ptr<Poco::Net::HTTPServer> m_server;
  int                                    m_port = 0;
};

}  // namespace yuccawick::daemon

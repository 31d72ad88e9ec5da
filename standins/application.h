// Stand-in for an application server or a tool: executes unrepeatable calls and
// counts how often each one ran. It ignores fencing numbers.
//
//   POST /v1/calls {"program", "sequence", "arguments", "fence"}
//   GET  /effects  {"calls": {"program/sequence": count}}
//   POST /control  {"slow_ms": N, "lose_replies": bool, "hang": bool}
#pragma once

#include <mutex>

#include "server.h"

namespace standins {

class Application : public StandIn {
 public:
  void Serve(const Request&                 request,
             Poco::Net::HTTPServerResponse& response) override;

 private:
  void Call(const Request& request, Poco::Net::HTTPServerResponse& response);

  std::mutex                 m_mutex;
  std::map<std::string, int> m_calls;
  int                        m_total = 0;
  int                        m_slow_ms = 0;
  bool                       m_lose_replies = false;
  bool                       m_hang = false;
};

}  // namespace standins

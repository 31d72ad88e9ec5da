// Stand-in for the platform's list of VMs, which is returned with a lag.
//
//   PUT    /vms/V  {"address": "host:port", "leaving": false}
//   DELETE /vms/V
//   GET    /vms    the list as of `lag_ms` ago
#pragma once

#include <chrono>
#include <mutex>
#include <vector>

#include "server.h"

namespace standins {

class VmList : public StandIn {
 public:
  explicit VmList(int lag_ms) : m_lag(lag_ms) {}
  void Serve(const Request&                 request,
             Poco::Net::HTTPServerResponse& response) override;

 private:
  using Clock = std::chrono::steady_clock;
  struct Vm {
    std::string address;
    bool        leaving = false;
  };
  using Vms = std::map<std::string, Vm>;
  struct Version {
    Clock::time_point at;
    Vms               vms;
  };

  void List(Poco::Net::HTTPServerResponse& response);

  std::mutex                m_mutex;
  std::chrono::milliseconds m_lag;
  std::vector<Version>      m_versions;
};

}  // namespace standins

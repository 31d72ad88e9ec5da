// Finds out whether a backend server ended or only broke a connection.
//
// A reset is no proof of either. A probe asks the server itself, over a
// connection that is open or a new one, and names the start that is expected:
//
//   answered   the start still runs, whatever its answer says
//   ended      the connection was refused, or another start answered
//   silent     nothing came within `probe_wait` ms: the server hangs, is cut
//              off, or resets new connections because it is full
//
// At most one probe of a server is under way. An answer tells only of the time
// before it, so a question that comes while a probe waits is answered by the
// next one.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "yuccawick/gateway/backends.h"
#include "yuccawick/gateway/log.h"
#include "yuccawick/gateway/metrics.h"
#include "yuccawick/traffic/manifest.h"

namespace yuccawick::gateway {

class ServerProbes {
 public:
  ServerProbes(net::EventLoop* loop, const Thresholds* thresholds,
               Backends* backends, Log* log, Metrics* metrics);
  ~ServerProbes();

  using Done = std::function<void(ProbeOutcome)>;
  // `done` is called once, not during the call.
  void Probe(const std::string& server, Done done);
  void TakeManifest(const traffic::ManifestPtr& manifest) {
    m_manifest = manifest;
  }
  // Whether a probe of the server is under way.
  bool IsProbing(const std::string& server) const {
    return m_probes.contains(server);
  }

 private:
  class Run;
  struct Probed {
    std::shared_ptr<Run> run;
    std::vector<Done>    waiting;  // for this run
    std::vector<Done>    next;     // asked since it began
  };
  void Start(const std::string& server);
  void Finish(const std::string& server, ProbeOutcome outcome);

  net::EventLoop*                         m_loop;
  const Thresholds*                       m_thresholds;
  Backends*                               m_backends;
  Log*                                    m_log;
  Metrics*                                m_metrics;
  traffic::ManifestPtr                    m_manifest;
  std::unordered_map<std::string, Probed> m_probes;  // by server id
};

}  // namespace yuccawick::gateway

// Which software could have begun a stream lately: the versions listed for each
// service, and the services of each host's routes.
//
// A stream whose origin no node remembers can still be resumed if only one
// origin is possible. Both histories have to see every record of the log: what
// existed between two listings is not known, so a listing starts them anew.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "yuccawick/net/event_loop.h"
#include "yuccawick/traffic/directory.h"
#include "yuccawick/traffic/manifest.h"
#include "yuccawick/traffic/stream_origins.h"

namespace yuccawick::traffic {

// Longest time (ms) that the histories cover.
inline constexpr Duration kMaxSoftwareHistory = 600'000;
// A version counts for this long (ms) after its last server was removed: a node
// that is cut off from the log uses the server for as long as it runs.
inline constexpr Duration kRemovedVersionTime = 20'000;

class VersionHistory {
 public:
  // `listed`: the servers come from a listing.
  void TakeServers(const ServerList& servers, bool listed, Time now);
  // The only version of the service since `begin`; empty if there were several,
  // or if not all of that time is known.
  std::optional<std::string> SoleVersion(const std::string& service,
                                         Time               begin) const;

 private:
  struct Presence {
    bool now = false;
    Time until = 0;  // if not present now
  };

  std::optional<Time>                                    m_since;
  // By service, then version.
  std::map<std::string, std::map<std::string, Presence>> m_versions;
};

class RouteHistory {
 public:
  // `listed`: the manifest comes from a listing.
  void TakeManifest(const Manifest& manifest, bool listed, Time now);
  // Whether the host's routes have led to the same services since `begin`.
  bool Unchanged(const std::string& host, Time begin) const;

 private:
  struct HostRoutes {
    std::string services;  // of each path prefix
    Time        since = 0;
  };
  std::map<std::string, HostRoutes> m_hosts;
};

struct SoftwareHistory {
  std::shared_ptr<const VersionHistory> versions;
  std::shared_ptr<const RouteHistory>   routes;

  // The only possible origin of the route's streams in the last `window` ms;
  // empty if there may have been several.
  std::optional<StreamOrigin> SoleOrigin(const Route& route, Duration window,
                                         Time now) const;
};

}  // namespace yuccawick::traffic

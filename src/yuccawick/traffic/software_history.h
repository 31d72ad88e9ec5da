// Which software could have begun a stream: the versions listed for each
// service, and the services of each host's routes.
//
// A stream whose origin no node remembers can still be resumed if only one
// origin is possible. Both histories have to see every record of the log: what
// existed between two listings is not known, so a listing starts them anew.
// What nodes saw before that is in PossibleOrigins, which they keep in the log.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

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

// A version of a service, or a service of a route, under which streams may have
// begun.
struct PossibleOrigin {
  std::string group;   // the service, or the host
  std::string member;  // the version, or a path prefix and a service

  auto operator<=>(const PossibleOrigin&) const = default;
};
PossibleOrigin VersionOrigin(const BackendServer& server);
PossibleOrigin RouteOrigin(const std::string& host,
                           const std::string& path_prefix,
                           const std::string& service);

// All origins that any node has seen in the last kMaxSoftwareHistory ms.
// Clients may resume a stream at any time after it broke off.
class PossibleOrigins {
 public:
  // `present`: those of now. Returns whether one of them was not known before.
  bool Take(const std::vector<PossibleOrigin>& present, Time now);
  // Another node, or this one before its start, has seen it. Returns whether it
  // was not known before.
  bool TakeRecorded(const PossibleOrigin& origin, Time now);
  // Forgets those that were last seen too long ago and returns them.
  std::vector<PossibleOrigin> DropExpired(Time now);
  bool                        HasOtherVersion(const std::string& service,
                                              const std::string& version) const;
  // Whether another service was behind a route that a request to this route may
  // have taken.
  bool HasOtherService(const Route& route, const std::string& service) const;

 private:
  struct Presence {
    bool now = false;
    Time seen_at = 0;  // if not present now
  };
  std::map<PossibleOrigin, Presence> m_origins;
};

struct SoftwareHistory {
  std::shared_ptr<const VersionHistory>  versions;
  std::shared_ptr<const RouteHistory>    routes;
  // nullptr until what the log keeps of it is known.
  std::shared_ptr<const PossibleOrigins> origins;

  // The only possible origin of the route's streams; empty if there may have
  // been several. `window` is the time (ms) within which all nodes have told
  // what they saw.
  std::optional<StreamOrigin> SoleOrigin(const Route& route, Duration window,
                                         Time now) const;
};

}  // namespace yuccawick::traffic

// The configuration published by the operator: routes, services, client limits.
//
// A manifest is immutable once decoded, and a new version replaces it as a
// whole. Each request keeps a shared pointer while it runs, so that it sees one
// version.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "yuccawick/net/event_loop.h"
#include "yuccawick/workspaces/workspace.h"

namespace yuccawick::traffic {

using net::Duration;
using net::Time;

// Whether a request may be repeated.
enum class RequestKind : std::uint8_t {
  kSafe,       // may run any number of times
  kUnsafe,     // may run at most once per client attempt
  kStreaming,  // sends events; like kUnsafe unless resumable
};
std::string_view           Name(RequestKind kind);
std::optional<RequestKind> ParseRequestKind(std::string_view name);

struct WeightedService {
  std::string  service;
  std::int64_t weight = 1;  // relative to the route's other services
};

struct Route {
  std::string                  name;
  std::string                  host;
  std::string                  path_prefix;  // begins and ends with a slash
  RequestKind                  kind = RequestKind::kSafe;
  Duration                     timeout = 0;         // ms; total time limit
  Duration                     target_latency = 0;  // ms; latency objective
  Duration                     max_pause = 0;       // ms between two events
  int                          priority = 0;        // 0 is most urgent
  std::vector<WeightedService> services;            // at least one
  int                          max_attempts = 1;    // servers per attempt
  bool                         resumable = false;   // may resume after an event
  bool                         prefix_affinity = false;
  bool                         keeps_turns = false;  // history is stored
  Duration                     retention = 0;        // ms that a turn is kept
  bool is_public = false;  // without keys and workspaces

  bool Repeatable() const {
    return kind == RequestKind::kSafe ||
           (kind == RequestKind::kStreaming && resumable);
  }
};

struct EngineLimits {
  int          slots = 0;         // concurrent requests
  std::int64_t cache_tokens = 0;  // shared by runs and cached prefixes
  std::int64_t tokens_per_event = 1;
};

struct Service {
  std::string                 name;
  std::string                 health_path;
  int                         max_connections = 0;  // from all nodes together
  std::optional<EngineLimits> engine;               // of a model service
};

struct ClientLimits {
  std::size_t max_head_bytes = 0;
  std::size_t max_body_bytes = 0;
  Duration    head_timeout = 0;  // ms to receive a whole head
  Duration    idle_timeout = 0;  // ms between two requests
};

struct Manifest {
  std::int64_t                              version = 0;
  std::vector<Route>                        routes;
  std::map<std::string, Service>            services;  // keyed by name
  ClientLimits                              limits;
  // nullopt: no workspaces, and requests carry no keys.
  std::optional<workspaces::WorkspaceTable> workspaces;

  const Service* FindService(const std::string& name) const;
};

using ManifestPtr = std::shared_ptr<const Manifest>;

// Finds the route of a request: the longest path prefix among the routes of the
// host. The cost depends on the number of slashes in the path, not on the
// number of routes.
class RouteTable {
 public:
  explicit RouteTable(ManifestPtr manifest);
  const Route*       Find(std::string_view host, std::string_view path) const;
  const ManifestPtr& manifest() const { return m_manifest; }

 private:
  struct HostRoutes {
    // Keys are owned by the manifest.
    std::unordered_map<std::string_view, const Route*> by_prefix;
    std::size_t max_prefix_bytes = 0;  // longest prefix, in bytes
  };
  ManifestPtr                                    m_manifest;
  std::map<std::string, HostRoutes, std::less<>> m_by_host;
};

// Picks a service by weight; `draw` is uniform in [0, 1).
const std::string& PickService(const Route& route, double draw);

}  // namespace yuccawick::traffic

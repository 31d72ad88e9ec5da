#include "yuccawick/traffic/manifest.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <utility>

namespace yuccawick::traffic {
namespace {

constexpr std::array<std::pair<RequestKind, std::string_view>, 3> kKinds{{
    {RequestKind::kSafe, "safe"},
    {RequestKind::kUnsafe, "unsafe"},
    {RequestKind::kStreaming, "streaming"},
}};

}  // namespace

std::string_view Name(RequestKind kind) {
  return kKinds[static_cast<std::size_t>(kind)].second;
}

std::optional<RequestKind> ParseRequestKind(std::string_view name) {
  for (const auto& [kind, text] : kKinds) {
    if (text == name) return kind;
  }
  return std::nullopt;
}

const Service* Manifest::FindService(const std::string& name) const {
  const auto found = services.find(name);
  return found == services.end() ? nullptr : &found->second;
}

RouteTable::RouteTable(ManifestPtr manifest) : m_manifest(std::move(manifest)) {
  for (const Route& route : m_manifest->routes) {
    HostRoutes& host = m_by_host[route.host];
    // If two routes have the same prefix, the first one wins.
    host.by_prefix.emplace(route.path_prefix, &route);
    host.max_prefix_bytes =
        std::max(host.max_prefix_bytes, route.path_prefix.size());
  }
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  const auto found = m_by_host.find(host);
  if (found == m_by_host.end()) return nullptr;
  const HostRoutes& host_routes = found->second;
  // Longer prefixes cannot match. Cutting them off bounds the lookups for a
  // path of thousands of slashes.
  std::string_view  prefix = path.substr(0, host_routes.max_prefix_bytes);
  for (auto slash = prefix.rfind('/'); slash != std::string_view::npos;
       slash = prefix.rfind('/')) {
    const auto route = host_routes.by_prefix.find(prefix.substr(0, slash + 1));
    if (route != host_routes.by_prefix.end()) return route->second;
    prefix = prefix.substr(0, slash);
  }
  return nullptr;
}

const std::string& PickService(const Route& route, double draw) {
  const auto total = std::accumulate(
      route.services.begin(), route.services.end(), std::int64_t{0},
      [](std::int64_t sum, const auto& weighted) {
        return sum + weighted.weight;
      });
  double remaining = draw * static_cast<double>(total);
  for (const WeightedService& weighted : route.services) {
    remaining -= static_cast<double>(weighted.weight);
    if (remaining < 0) return weighted.service;
  }
  return route.services.back().service;
}

}  // namespace yuccawick::traffic

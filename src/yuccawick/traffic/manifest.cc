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

bool LongerPrefix(const Route* a, const Route* b) {
  return a->path_prefix.size() > b->path_prefix.size();
}

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
    m_by_host[route.host].push_back(&route);
  }
  for (auto& [host, routes] : m_by_host) {
    std::stable_sort(routes.begin(), routes.end(), LongerPrefix);
  }
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  const auto found = m_by_host.find(host);
  if (found == m_by_host.end()) return nullptr;
  for (const Route* route : found->second) {
    if (path.starts_with(route->path_prefix)) return route;
  }
  return nullptr;
}

const std::string& PickService(const Route& route, double draw) {
  const auto total = std::accumulate(
      route.services.begin(), route.services.end(), std::int64_t{0},
      [](std::int64_t sum, const auto& part) { return sum + part.weight; });
  double left = draw * static_cast<double>(total);
  for (const WeightedService& part : route.services) {
    left -= static_cast<double>(part.weight);
    if (left < 0) return part.service;
  }
  return route.services.back().service;
}

}  // namespace yuccawick::traffic

#include "yuccawick/traffic/software_history.h"

#include <utility>

namespace yuccawick::traffic {

void VersionHistory::TakeServers(const ServerList& servers, bool listed,
                                 Time now) {
  if (listed || !m_since) m_since = now;
  for (auto& [service, versions] : m_versions) {
    for (auto& [version, presence] : versions) {
      if (std::exchange(presence.now, false)) presence.until = now;
    }
  }
  for (const BackendServer& server : servers) {
    m_versions[server.service][server.version].now = true;
  }
  for (auto& [service, versions] : m_versions) {
    std::erase_if(versions, [now](const auto& entry) {
      return !entry.second.now && now - entry.second.until >
                                      kMaxSoftwareHistory + kRemovedVersionTime;
    });
  }
  std::erase_if(m_versions,
                [](const auto& entry) { return entry.second.empty(); });
}

std::optional<std::string> VersionHistory::SoleVersion(
    const std::string& service, Time begin) const {
  const auto versions = m_versions.find(service);
  if (!m_since || *m_since > begin || versions == m_versions.end())
    return std::nullopt;
  std::optional<std::string> sole;
  for (const auto& [version, presence] : versions->second) {
    const bool gone = presence.until + kRemovedVersionTime < begin;
    if (!presence.now && gone) continue;
    if (sole) return std::nullopt;
    sole = version;
  }
  return sole;
}

void RouteHistory::TakeManifest(const Manifest& manifest, bool listed,
                                Time now) {
  std::map<std::string, HostRoutes> hosts;
  for (const Route& route : manifest.routes) {
    std::string& services = hosts[route.host].services;
    services.append(route.path_prefix).append(" ");
    for (const WeightedService& each : route.services)
      services.append(each.service).append(" ");
  }
  for (auto& [host, routes] : hosts) {
    const auto before = m_hosts.find(host);
    const bool same = !listed && before != m_hosts.end() &&
                      before->second.services == routes.services;
    routes.since = same ? before->second.since : now;
  }
  m_hosts = std::move(hosts);
}

bool RouteHistory::Unchanged(const std::string& host, Time begin) const {
  const auto found = m_hosts.find(host);
  return found != m_hosts.end() && found->second.since <= begin;
}

std::optional<StreamOrigin> SoftwareHistory::SoleOrigin(const Route& route,
                                                        Duration     window,
                                                        Time now) const {
  const Time begin = now - window;
  const bool sole_service = route.services.size() == 1 && routes &&
                            routes->Unchanged(route.host, begin);
  if (window > kMaxSoftwareHistory || !sole_service || !versions)
    return std::nullopt;
  const std::string& service = route.services.front().service;
  const auto         version = versions->SoleVersion(service, begin);
  if (!version) return std::nullopt;
  return StreamOrigin{service, *version};
}

}  // namespace yuccawick::traffic

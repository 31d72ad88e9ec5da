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

namespace {

constexpr std::string_view kServiceGroup = "service ";
constexpr std::string_view kHostGroup = "host ";
constexpr char             kSeparator = '\n';

std::string ServiceGroup(const std::string& service) {
  return std::string(kServiceGroup) + service;
}

bool IsPrefix(std::string_view prefix, std::string_view path) {
  return path.starts_with(prefix);
}

}  // namespace

PossibleOrigin VersionOrigin(const BackendServer& server) {
  return {ServiceGroup(server.service), server.version};
}

PossibleOrigin RouteOrigin(const std::string& host,
                           const std::string& path_prefix,
                           const std::string& service) {
  return {std::string(kHostGroup) + host, path_prefix + kSeparator + service};
}

bool PossibleOrigins::Take(const std::vector<PossibleOrigin>& present,
                           Time                               now) {
  const std::size_t known = m_origins.size();
  for (auto& [origin, presence] : m_origins) {
    if (std::exchange(presence.now, false)) presence.seen_at = now;
  }
  for (const PossibleOrigin& origin : present) {
    m_origins[origin].now = true;
  }
  return m_origins.size() > known;
}

bool PossibleOrigins::TakeRecorded(const PossibleOrigin& origin, Time now) {
  return m_origins.try_emplace(origin, Presence{false, now}).second;
}

std::vector<PossibleOrigin> PossibleOrigins::DropExpired(Time now) {
  std::vector<PossibleOrigin> dropped;
  for (const auto& [origin, presence] : m_origins) {
    if (!presence.now && now - presence.seen_at > kMaxSoftwareHistory)
      dropped.push_back(origin);
  }
  for (const PossibleOrigin& origin : dropped) m_origins.erase(origin);
  return dropped;
}

bool PossibleOrigins::HasOtherVersion(const std::string& service,
                                      const std::string& version) const {
  const std::string group = ServiceGroup(service);
  for (auto next = m_origins.lower_bound({group, {}});
       next != m_origins.end() && next->first.group == group; ++next) {
    if (next->first.member != version) return true;
  }
  return false;
}

bool PossibleOrigins::HasOtherService(const Route&       route,
                                      const std::string& service) const {
  const std::string group = RouteOrigin(route.host, {}, {}).group;
  for (auto next = m_origins.lower_bound({group, {}});
       next != m_origins.end() && next->first.group == group; ++next) {
    const std::string_view member = next->first.member;
    const auto             separator = member.find(kSeparator);
    const auto             prefix = member.substr(0, separator);
    const bool             overlaps = IsPrefix(prefix, route.path_prefix) ||
                          IsPrefix(route.path_prefix, prefix);
    if (overlaps && member.substr(separator + 1) != service) return true;
  }
  return false;
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
  if (!version || !origins) return std::nullopt;
  if (origins->HasOtherVersion(service, *version) ||
      origins->HasOtherService(route, service)) {
    return std::nullopt;
  }
  return StreamOrigin{service, *version};
}

}  // namespace yuccawick::traffic

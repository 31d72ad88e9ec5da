#include "yuccawick/traffic/directory.h"

#include <set>

namespace yuccawick::traffic {

void Directory::Put(const BackendServer& server) {
  m_delayed_removals.erase(server.entry);
  auto& stored_server = m_servers[server.entry];
  if (stored_server == server) return;
  stored_server = server;
  m_changed = true;
}

void Directory::Remove(const std::string& entry, Time now) {
  if (!m_servers.contains(entry)) return;
  if (m_reachable && now >= m_grace_end) {
    m_servers.erase(entry);
    m_changed = true;
    return;
  }
  m_delayed_removals.try_emplace(
      entry, m_reachable ? m_grace_end : now + kRecoveryGrace);
}

void Directory::Drop(const std::string& entry) {
  m_delayed_removals.erase(entry);
  m_changed = m_servers.erase(entry) > 0 || m_changed;
}

void Directory::ReplaceAll(const ServerList& servers, Time now) {
  std::set<std::string> present;
  for (const BackendServer& server : servers) {
    present.insert(server.entry);
    Put(server);
  }
  std::vector<std::string> absent;
  for (const auto& [entry, server] : m_servers) {
    if (!present.contains(entry)) absent.push_back(entry);
  }
  for (const std::string& entry : absent) Remove(entry, now);
}

void Directory::SetReachable(bool reachable, Time now) {
  if (reachable == m_reachable) return;
  m_reachable = reachable;
  if (reachable) m_grace_end = now + kRecoveryGrace;
}

void Directory::Expire(Time now) {
  if (!m_reachable) return;
  for (auto it = m_delayed_removals.begin(); it != m_delayed_removals.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    m_changed = m_servers.erase(it->first) > 0 || m_changed;
    it = m_delayed_removals.erase(it);
  }
}

bool Directory::TakeChange() {
  const bool changed = m_changed;
  m_changed = false;
  return changed;
}

ServerListPtr Directory::List() const {
  auto list = std::make_shared<ServerList>();
  for (const auto& [entry, server] : m_servers) list->push_back(server);
  return list;
}

}  // namespace yuccawick::traffic

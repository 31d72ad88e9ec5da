#include "yuccawick/traffic/server_pool.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace yuccawick::traffic {
namespace {

std::uint64_t PositionOf(const std::string& text) {
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

void ServerPool::Assign(std::vector<const BackendServer*> servers,
                        const std::string&                zone) {
  m_servers = std::move(servers);
  m_ring.clear();
  m_zone_ring.clear();
  for (const BackendServer* server : m_servers) {
    m_ring.push_back({PositionOf(server->id), server});
  }
  std::sort(m_ring.begin(), m_ring.end(),
            [](const Point& a, const Point& b) { return a.at < b.at; });
  for (const Point& point : m_ring) {
    if (point.server->zone == zone) m_zone_ring.push_back(point);
  }
}

std::span<const BackendServer* const> ServerPool::Draw(
    std::size_t most, std::mt19937_64* random) {
  if (m_servers.size() <= most) return m_servers;
  for (std::size_t i = 0; i < most; ++i) {
    std::uniform_int_distribution<std::size_t> any(i, m_servers.size() - 1);
    std::swap(m_servers[i], m_servers[any(*random)]);
  }
  return std::span(m_servers).first(most);
}

std::vector<const BackendServer*> ServerPool::Around(const std::string& program,
                                                     AffinityScope      reach,
                                                     std::size_t most) const {
  const Ring& ring = reach == AffinityScope::kZone ? m_zone_ring : m_ring;
  std::vector<const BackendServer*> around;
  const auto                        first = std::lower_bound(
                             ring.begin(), ring.end(), PositionOf(program),
                             [](const Point& point, std::uint64_t at) { return point.at < at; });
  auto next = first;
  for (std::size_t i = 0; i < std::min(most, ring.size()); ++i) {
    if (next == ring.end()) next = ring.begin();
    around.push_back((next++)->server);
  }
  return around;
}

}  // namespace yuccawick::traffic

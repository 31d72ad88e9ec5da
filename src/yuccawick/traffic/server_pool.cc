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
  std::sort(m_ring.begin(), m_ring.end(), [](const Point& a, const Point& b) {
    return a.position < b.position;
  });
  for (const Point& point : m_ring) {
    if (point.server->zone == zone) m_zone_ring.push_back(point);
  }
}

std::span<const BackendServer* const> ServerPool::Draw(
    std::size_t limit, std::mt19937_64* random) {
  if (m_servers.size() <= limit) return m_servers;
  for (std::size_t i = 0; i < limit; ++i) {
    std::uniform_int_distribution<std::size_t> index(i, m_servers.size() - 1);
    std::swap(m_servers[i], m_servers[index(*random)]);
  }
  return std::span(m_servers).first(limit);
}

std::vector<const BackendServer*> ServerPool::Around(const std::string& program,
                                                     AffinityScope      scope,
                                                     std::size_t limit) const {
  const Ring& ring = scope == AffinityScope::kZone ? m_zone_ring : m_ring;
  std::vector<const BackendServer*> result;
  const auto                        first =
      std::lower_bound(ring.begin(), ring.end(), PositionOf(program),
                       [](const Point& point, std::uint64_t position) {
                         return point.position < position;
                       });
  auto next = first;
  for (std::size_t i = 0; i < std::min(limit, ring.size()); ++i) {
    if (next == ring.end()) next = ring.begin();
    result.push_back((next++)->server);
  }
  return result;
}

}  // namespace yuccawick::traffic

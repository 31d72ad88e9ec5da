#include "yuccawick/traffic/stream_origins.h"

#include <xxhash.h>

#include <utility>

namespace yuccawick::traffic {

StreamOrigin OriginOf(const BackendServer& server) {
  return {server.service, server.version};
}

StreamKey StreamKeyOf(std::string_view scoped_attempt) {
  const XXH128_hash_t hash =
      XXH3_128bits(scoped_attempt.data(), scoped_attempt.size());
  return {hash.high64, hash.low64};
}

std::string Text(const StreamKey& key) {
  return "stream " + std::to_string(key.high) + " " + std::to_string(key.low);
}

void StreamOrigins::Put(const StreamKey& key, const StreamOrigin& origin,
                        Time now) {
  if (origin.service.size() + origin.version.size() > kMaxOriginBytes) return;
  DropExpired(now);
  const auto [entry, added] = m_entries.try_emplace(key, Entry{origin, now});
  if (added) {
    m_order.push_back(key);
  } else if (entry->second.origin != origin) {
    entry->second.origin.reset();
  }
}

std::optional<StreamOrigin> StreamOrigins::Find(const StreamKey& key,
                                                Time             now) const {
  const auto found = m_entries.find(key);
  const bool valid =
      found != m_entries.end() && now - found->second.put_at < m_lifetime;
  return valid ? found->second.origin : std::nullopt;
}

bool StreamOrigins::TakeNew(const StreamKey& key) {
  const auto found = m_entries.find(key);
  return found != m_entries.end() && found->second.origin &&
         !std::exchange(found->second.taken, true);
}

std::vector<StreamOrigins::Stream> StreamOrigins::TakeNew(
    const Wanted& wanted) {
  std::vector<Stream> streams;
  for (auto& [key, entry] : m_entries) {
    if (entry.taken || !entry.origin || !wanted(*entry.origin)) continue;
    entry.taken = true;
    streams.push_back({key, *entry.origin});
  }
  return streams;
}

void StreamOrigins::DropExpired(Time now) {
  while (!m_order.empty()) {
    const auto oldest = m_entries.find(m_order.front());
    const bool expired = now - oldest->second.put_at >= m_lifetime;
    if (!expired && m_order.size() < kMaxStreamOrigins) return;
    m_entries.erase(oldest);
    m_order.pop_front();
  }
}

}  // namespace yuccawick::traffic

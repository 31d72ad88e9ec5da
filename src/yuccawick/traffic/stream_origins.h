// Remembers which software began each stream, so that it is resumed at the
// same software only.
//
// Servers of one service may run several software versions, whose events do not
// fit together. A stream is identified by the attempt that brought its first
// event.
//
//   origins.Put(StreamKeyOf(attempt), {service, version}, now);
//   if (auto origin = origins.Find(key, now)) ...
//
// Entries expire after the lifetime; above kMaxStreamOrigins the oldest are
// dropped. Service names and versions are bounded, so memory is too.
#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "yuccawick/net/event_loop.h"
#include "yuccawick/traffic/directory.h"

namespace yuccawick::traffic {

// The software whose events a stream consists of.
struct StreamOrigin {
  std::string service;
  std::string version;  // see BackendServer

  bool operator==(const StreamOrigin&) const = default;
};
StreamOrigin OriginOf(const BackendServer& server);

// Hash of the attempt's id, which includes its workspace.
struct StreamKey {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const StreamKey&) const = default;
};
StreamKey   StreamKeyOf(std::string_view scoped_attempt);
// As a key for rendezvous hashing.
std::string Text(const StreamKey& key);

inline constexpr std::size_t kMaxStreamOrigins = 4096;
inline constexpr std::size_t kMaxOriginBytes = 256;  // service and version

class StreamOrigins {
 public:
  explicit StreamOrigins(Duration lifetime) : m_lifetime(lifetime) {}

  void     SetLifetime(Duration lifetime) { m_lifetime = lifetime; }
  Duration lifetime() const { return m_lifetime; }
  // Two different origins of one key make it unknown: the attempt's id was used
  // twice. Origins above kMaxOriginBytes are ignored.
  void     Put(const StreamKey& key, const StreamOrigin& origin, Time now);
  std::optional<StreamOrigin> Find(const StreamKey& key, Time now) const;
  // Whether the stream is known and was not taken before. Takes it.
  bool                        TakeNew(const StreamKey& key);
  // The streams that were not taken before and whose origin `wanted` accepts.
  struct Stream {
    StreamKey    key;
    StreamOrigin origin;
  };
  using Wanted = std::function<bool(const StreamOrigin& origin)>;
  std::vector<Stream> TakeNew(const Wanted& wanted);
  std::size_t         size() const { return m_entries.size(); }

 private:
  struct Entry {
    std::optional<StreamOrigin> origin;  // none: contradictory
    Time                        put_at = 0;
    bool                        taken = false;
  };
  void DropExpired(Time now);

  Duration                   m_lifetime;
  std::map<StreamKey, Entry> m_entries;
  std::deque<StreamKey>      m_order;  // of m_entries, oldest first
};

}  // namespace yuccawick::traffic

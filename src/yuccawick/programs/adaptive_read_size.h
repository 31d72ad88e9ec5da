// Chooses how many bytes to request in the next read of the log, from the
// latency of earlier reads. Used by the readers of turns and claims.
//
// When many nodes read at once (after a full restart or an outage), reads that
// time out are still served by the log and then repeated, so large reads could
// overload it permanently and keep manifests and server lists from arriving. A
// slow read therefore halves the next size and a fast one doubles it, between
// kMinReadBytes and the given maximum.
#pragma once

#include <algorithm>
#include <cstddef>

#include "yuccawick/net/event_loop.h"

namespace yuccawick::programs {

inline constexpr std::size_t   kMinReadBytes = 16UL * 1024;  // a few turns
// Latency in ms below which a read is fast; above twice this value it is slow.
// A page takes 70 ms over a VM's link of 30 Mbit/s.
inline constexpr net::Duration kFastReadTime = 150;

class AdaptiveReadSize {
 public:
  explicit AdaptiveReadSize(std::size_t max_bytes)
      : m_max_bytes(max_bytes), m_bytes(max_bytes) {}

  std::size_t bytes() const { return m_bytes; }
  void        OnReply(net::Duration latency) {
           if (latency > 2 * kFastReadTime) {
             OnTimeout();
    } else if (latency < kFastReadTime) {
             m_bytes = std::min(2 * m_bytes, m_max_bytes);
    }
  }
  // Call after a read that got no reply in time.
  void OnTimeout() { m_bytes = std::max(m_bytes / 2, kMinReadBytes); }

 private:
  std::size_t m_max_bytes;
  std::size_t m_bytes;
};

}  // namespace yuccawick::programs

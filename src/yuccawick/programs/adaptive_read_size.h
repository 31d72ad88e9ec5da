// How much of the log to ask for at once, by how soon the last reads came.
//
// Load pattern: more nodes read more of the log than it carries: after a start
// of all, at the end of an outage, or because of a fault of ours. A read that
// nobody waits for any more is answered all the same, and asked again; so reads
// that are too large keep the log at its limit for good, and what everybody
// needs, the manifest and the list of servers, reaches nobody.
//
// A late read therefore halves what the next one asks for, a quick one doubles
// it. Forty readers of a page of 16 KB each 600 ms are 1 MB/s, which any log
// bears beside the rest.
#pragma once

#include <algorithm>
#include <cstddef>

#include "yuccawick/net/event_loop.h"

namespace yuccawick::programs {

inline constexpr std::size_t   kLeastRead = 16UL * 1024;  // a few turns
// Sooner than this, in ms, is quick; later than twice this is late: an idle log
// takes 6 for a call and 3 for the bytes of a page, a VM's link of 30
// Mbit/s 70.
inline constexpr net::Duration kQuickRead = 150;

class AdaptiveReadSize {
 public:
  explicit AdaptiveReadSize(std::size_t most) : m_most(most), m_bytes(most) {}

  std::size_t bytes() const { return m_bytes; }
  void        OnReply(net::Duration took) {
           if (took > 2 * kQuickRead) {
             OnTimeout();
    } else if (took < kQuickRead) {
             m_bytes = std::min(2 * m_bytes, m_most);
    }
  }
  // No answer in time.
  void OnTimeout() { m_bytes = std::max(m_bytes / 2, kLeastRead); }

 private:
  std::size_t m_most;
  std::size_t m_bytes;
};

}  // namespace yuccawick::programs

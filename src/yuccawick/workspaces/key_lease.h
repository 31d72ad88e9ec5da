// Decides whether a node may still rely on the API keys it has read from the
// manifest.
//
// The operator revokes a key with a new manifest, and nodes must stop accepting
// the key within a configured bound. A node that cannot read the log cannot see
// the change, so it treats its copy of the keys as a lease that starts when the
// last successful read was sent. Once the lease expires, requests with keys
// are refused with 503, because whether their key is valid is not certain.
//
// Call Holds() right before each send to a server, with the current time: a
// process resumed after a suspension still has its old lease and loop time.
#pragma once

#include <algorithm>
#include <optional>

#include "yuccawick/net/event_loop.h"

namespace yuccawick::workspaces {

using net::Duration;
using net::Time;

class KeyLease {
 public:
  // `bound`: ms for which a revoked key may still be accepted; nullopt: no
  // bound, the lease never expires.
  explicit KeyLease(std::optional<Duration> bound) : m_bound(bound) {}

  // Records that this node knows all manifests written before `as_of`.
  void Renew(Time as_of) { m_as_of = std::max(m_as_of.value_or(as_of), as_of); }
  bool Holds(Time now) const {
    return !m_bound || (m_as_of && now < *m_as_of + *m_bound - kSendMargin);
  }
  // True well before the lease expires, so that clients can be sent to other
  // nodes in time. Remains false while the log answers.
  bool IsExpiring(Time now) const {
    return m_bound &&
           (!m_as_of || static_cast<double>(now - *m_as_of) >
                            kExpiringShare * static_cast<double>(*m_bound));
  }
  // Time since the last renewal in ms; nullopt if never renewed.
  std::optional<Duration> Age(Time now) const {
    if (!m_as_of) return std::nullopt;
    return now - *m_as_of;
  }
  bool bounded() const { return m_bound.has_value(); }

 private:
  // Covers a request's transit to its server and timer resolution, in ms.
  static constexpr Duration kSendMargin = 150;
  static constexpr double   kExpiringShare = 0.45;

  std::optional<Duration> m_bound;
  std::optional<Time>     m_as_of;
};

}  // namespace yuccawick::workspaces

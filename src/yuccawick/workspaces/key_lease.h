// For how long a node may rely on the keys that it knows.
//
// The operator takes a key away by a new manifest, and no node may honour it
// for longer than a bound after that. A node that the log does not answer
// cannot hear of it. So its knowledge is a lease: it runs from the moment at
// which the read was sent that showed the manifest to be the newest, since
// whatever was written before that moment is known here. When it has run out
// the node refuses with 503, as it does not know; it never says that a key is
// unknown.
//
// Ask at each send to a server, with the time read at that moment: a node that
// was frozen in between wakes with an old lease and an old idea of the time.
#pragma once

#include <algorithm>
#include <optional>

#include "yuccawick/net/event_loop.h"

namespace yuccawick::workspaces {

using net::Duration;
using net::Time;

class KeyLease {
 public:
  // `bound`: ms for which a key may be honoured after it was taken away;
  // nothing: the operator sets none, and the lease always holds.
  explicit KeyLease(std::optional<Duration> bound) : m_bound(bound) {}

  // All that was written before `as_of` is known here.
  void Renew(Time as_of) { m_as_of = std::max(m_as_of.value_or(as_of), as_of); }
  bool Holds(Time now) const {
    return !m_bound || (m_as_of && now < *m_as_of + *m_bound - kMargin);
  }
  // So old that it would run out soon: clients are better sent elsewhere.
  // Always renewed well before that while the log answers.
  bool IsExpiring(Time now) const {
    return m_bound &&
           (!m_as_of || static_cast<double>(now - *m_as_of) >
                            kOldShare * static_cast<double>(*m_bound));
  }
  // In ms; nothing: never renewed.
  std::optional<Duration> Age(Time now) const {
    if (!m_as_of) return std::nullopt;
    return now - *m_as_of;
  }
  bool bounded() const { return m_bound.has_value(); }

 private:
  // For a request's way to its server, and the coarseness of timers, in ms.
  static constexpr Duration kMargin = 150;
  static constexpr double   kOldShare = 0.45;

  std::optional<Duration> m_bound;
  std::optional<Time>     m_as_of;
};

}  // namespace yuccawick::workspaces

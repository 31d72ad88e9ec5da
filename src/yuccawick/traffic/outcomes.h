// Recent successes and failures of one backend server.
//
// Counts decay exponentially. A server that fails fast has little load and
// would attract all traffic; its failure share therefore counts as load
// (FailureShare).
#pragma once

#include "yuccawick/net/event_loop.h"

namespace yuccawick::traffic {

using net::Duration;
using net::Time;

struct OutcomeCounts {
  double answers = 0;
  double failures = 0;  // included in answers

  OutcomeCounts& operator+=(const OutcomeCounts& other);
};

// Half-life of the counts. Long enough to cover several answers of a server,
// short enough that a repaired server is tried again within seconds.
inline constexpr Duration kOutcomeHalfLife = 1000;  // ms

class Outcomes {
 public:
  void          Observe(bool failed, Time now);
  OutcomeCounts At(Time now) const;

 private:
  OutcomeCounts m_counts;
  Time          m_updated_at = 0;
};

// Share of failures that counts against a server, 0 to 1. The usual failures of
// a healthy service and single failures do not count.
double FailureShare(const OutcomeCounts& counts);

}  // namespace yuccawick::traffic

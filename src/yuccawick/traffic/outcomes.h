// How the answers of one backend server turned out lately.
//
// Counts fade: an outcome weighs half after kOutcomeHalfLife. A server that
// fails at once is the least loaded one, and without this would draw all
// traffic; with it, its share of failures counts as load.
#pragma once

#include "yuccawick/net/event_loop.h"

namespace yuccawick::traffic {

using net::Duration;
using net::Time;

struct OutcomeCounts {
  double answers = 0;
  double failures = 0;  // of these

  OutcomeCounts& operator+=(const OutcomeCounts& other);
};

// Long enough for a handful of answers from each server, short enough that a
// mended server is tried again within some seconds.
inline constexpr Duration kOutcomeHalfLife = 1000;  // ms

class Outcomes {
 public:
  void          Observe(bool failed, Time now);
  OutcomeCounts At(Time now) const;

 private:
  OutcomeCounts m_counts;
  Time          m_as_of = 0;
};

// Share of failures that counts against a server, 0 to 1: none for the few that
// every service has, nor for one failure among few answers.
double FailureShare(const OutcomeCounts& counts);

}  // namespace yuccawick::traffic

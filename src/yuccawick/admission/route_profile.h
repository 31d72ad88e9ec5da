// What programs of one route do, learned from those that were seen.
//
// Constant in size: means and quantiles move with each observation and forget
// old ones after about a hundred.
#pragma once

#include <cstdint>

#include "yuccawick/net/event_loop.h"

namespace yuccawick::admission {

using net::Duration;
using net::Time;
using Tokens = std::int64_t;

class RunningMean {
 public:
  void   Observe(double value);
  bool   empty() const { return m_count == 0; }
  double value() const { return m_value; }

 private:
  int    m_count = 0;
  double m_value = 0;
};

// The value that the given part of the observations stays below. It moves by
// factors, so it suits times of any scale; the values must be positive.
class RunningQuantile {
 public:
  RunningQuantile(double part, double first) : m_part(part), m_value(first) {}
  void   Observe(double value);
  double value() const { return m_value; }

 private:
  double m_part;
  double m_value;
};

class RouteProfile {
 public:
  // `silence`: taken for the longest pause until programs were seen.
  explicit RouteProfile(Duration silence);

  // A program ended with so many tokens after `took`; `stated`: the time that
  // it said at its first turn that it has, 0 if it said none.
  void ObserveEnd(Tokens tokens, Duration took, Duration stated);
  void ObserveThinkTime(Duration silence);

  // Tokens of a program at its end, on average; 0: none was seen yet.
  Tokens   EndTokens() const;
  // Hardly any program is silent for longer and goes on.
  Duration MaxThinkTime() const;
  // What a program takes of the time that it states, when all goes well.
  double   TimeShare() const;

 private:
  RunningMean     m_end_tokens;
  RunningQuantile m_silence;
  RunningQuantile m_time_share;
};

}  // namespace yuccawick::admission

// Statistics of the programs of one route: think time, final size, and
// duration.
//
// Uses constant memory: means and quantiles are updated with each observation
// and weigh recent observations more.
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
  int    count() const { return m_count; }  // observations, up to the window
  double value() const { return m_value; }

 private:
  int    m_count = 0;
  double m_value = 0;
};

// Estimates a quantile of a stream of positive values. The estimate moves by
// factors, so it works at any scale.
class RunningQuantile {
 public:
  RunningQuantile(double quantile, double initial)
      : m_quantile(quantile), m_value(initial) {}
  void   Observe(double value);
  double value() const { return m_value; }

 private:
  double m_quantile;
  double m_value;
};

class RouteProfile {
 public:
  // `think_time`: initial estimate of the think time, in ms.
  explicit RouteProfile(Duration think_time);

  // Records a program that ended with `tokens` tokens after `duration` ms.
  // `initial_time_left`: time until its deadline at its first turn, in ms; 0 if
  // it had none.
  void ObserveEnd(Tokens tokens, Duration duration, Duration initial_time_left);
  void ObserveThinkTime(Duration think_time);

  // Whether enough programs have ended to rely on FinalTokens() and
  // TimeShare().
  bool     known() const;
  // Mean tokens of a program at its end; 0 if none was observed.
  Tokens   FinalTokens() const;
  // High quantile of the pause between two turns, in ms.
  Duration MaxThinkTime() const;
  // High quantile of the duration of a program, as a share of its initial time
  // left.
  double   TimeShare() const;

 private:
  RunningMean     m_final_tokens;
  RunningQuantile m_think_time;
  RunningQuantile m_time_share;
};

}  // namespace yuccawick::admission

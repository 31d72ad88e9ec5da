#include "yuccawick/admission/route_profile.h"

#include <algorithm>
#include <cmath>

namespace yuccawick::admission {
namespace {

constexpr int    kMeanWindow = 64;     // observations
constexpr double kQuantileStep = 0.2;  // step on a logarithmic scale
constexpr int    kMinEndedPrograms = 4;
constexpr double kThinkTimeQuantile = 0.98;
constexpr double kTimeShareQuantile = 0.67;
constexpr double kInitialTimeShare = 0.6;
constexpr double kMaxTimeShare = 0.9;

}  // namespace

void RunningMean::Observe(double value) {
  m_count = std::min(m_count + 1, kMeanWindow);
  m_value += (value - m_value) / m_count;
}

void RunningQuantile::Observe(double value) {
  m_value *= value > m_value ? std::exp(kQuantileStep * m_quantile)
                             : std::exp(-kQuantileStep * (1 - m_quantile));
}

RouteProfile::RouteProfile(Duration think_time)
    : m_think_time(kThinkTimeQuantile, static_cast<double>(think_time)),
      m_time_share(kTimeShareQuantile, kInitialTimeShare) {}

void RouteProfile::ObserveEnd(Tokens tokens, Duration duration,
                              Duration initial_time_left) {
  m_final_tokens.Observe(static_cast<double>(tokens));
  if (initial_time_left > 0) {
    m_time_share.Observe(static_cast<double>(duration) /
                         static_cast<double>(initial_time_left));
  }
}

void RouteProfile::ObserveThinkTime(Duration think_time) {
  m_think_time.Observe(static_cast<double>(std::max<Duration>(1, think_time)));
}

bool RouteProfile::known() const {
  return m_final_tokens.count() >= kMinEndedPrograms;
}

Tokens RouteProfile::FinalTokens() const {
  return static_cast<Tokens>(m_final_tokens.value());
}

Duration RouteProfile::MaxThinkTime() const {
  return static_cast<Duration>(m_think_time.value());
}

double RouteProfile::TimeShare() const {
  return std::min(m_time_share.value(), kMaxTimeShare);
}

}  // namespace yuccawick::admission

#include "yuccawick/admission/route_profile.h"

#include <algorithm>
#include <cmath>

namespace yuccawick::admission {
namespace {

constexpr int    kMemory = 64;  // observations that a mean goes back
constexpr double kStep = 0.2;   // of a quantile, on a logarithmic scale
constexpr double kSilencePart = 0.98;
// The faster third: with servers overloaded, most programs take longer than a
// new one would if it were let in alone.
constexpr double kTimePart = 0.67;
constexpr double kFirstTimeShare = 0.6;
constexpr double kMostTimeShare = 0.9;

}  // namespace

void RunningMean::Observe(double value) {
  m_count = std::min(m_count + 1, kMemory);
  m_value += (value - m_value) / m_count;
}

void RunningQuantile::Observe(double value) {
  m_value *= value > m_value ? std::exp(kStep * m_part)
                             : std::exp(-kStep * (1 - m_part));
}

RouteProfile::RouteProfile(Duration silence)
    : m_silence(kSilencePart, static_cast<double>(silence)),
      m_time_share(kTimePart, kFirstTimeShare) {}

void RouteProfile::ObserveEnd(Tokens tokens, Duration took, Duration stated) {
  m_end_tokens.Observe(static_cast<double>(tokens));
  if (stated > 0) {
    m_time_share.Observe(static_cast<double>(took) /
                         static_cast<double>(stated));
  }
}

void RouteProfile::ObserveThinkTime(Duration silence) {
  m_silence.Observe(static_cast<double>(std::max<Duration>(1, silence)));
}

Tokens RouteProfile::EndTokens() const {
  return static_cast<Tokens>(m_end_tokens.value());
}

Duration RouteProfile::MaxThinkTime() const {
  return static_cast<Duration>(m_silence.value());
}

double RouteProfile::TimeShare() const {
  return std::min(m_time_share.value(), kMostTimeShare);
}

}  // namespace yuccawick::admission

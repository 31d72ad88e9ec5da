#include "yuccawick/traffic/concurrency_limit.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace yuccawick::traffic {
namespace {

// Samples older than this (ms) are ignored.
constexpr Duration    kSampleWindow = 200;
constexpr std::size_t kMinSamples = 5;
constexpr std::size_t kMaxSamples = 64;
constexpr double      kMinStepFactor = 0.6;
constexpr double      kMaxStepFactor = 1.1;
constexpr double      kStepIncrement = 0.5;  // turns added at each change
constexpr double      kMinShare = 0.01;      // avoids division by zero
constexpr double      kLiftRatio = 3.0;      // of limit to running turns + 1
// Shift of the rank for each priority level, as a share of the range of ranks.
constexpr double      kPriorityStep = 0.25;
constexpr double      kLateRank = 10.0;  // added for late programs

}  // namespace

std::optional<double> ConcurrencyLimit::Median() const {
  if (m_samples.size() < kMinSamples) return std::nullopt;
  std::vector<double> shares;
  shares.reserve(m_samples.size());
  for (const Sample& sample : m_samples) shares.push_back(sample.share);
  const auto middle =
      shares.begin() + static_cast<std::ptrdiff_t>(shares.size() / 2);
  std::nth_element(shares.begin(), middle, shares.end());
  return *middle;
}

void ConcurrencyLimit::Observe(Duration latency, Duration objective, Time now) {
  // A turn sent before the last change does not show its effect.
  const bool is_outdated = m_bounded && now - latency < m_last_change;
  if (objective <= 0 || is_outdated) return;
  m_samples.push_back(
      {now, static_cast<double>(latency) / static_cast<double>(objective)});
  if (m_samples.size() > kMaxSamples) m_samples.pop_front();
}

void ConcurrencyLimit::Adapt(int under_way, Time now) {
  if (m_settings.engage <= 0 || now < m_next_adapt) return;
  while (!m_samples.empty() && now - m_samples.front().at > kSampleWindow) {
    m_samples.pop_front();
  }
  const auto median = Median();
  if (!median) return;
  m_next_adapt = now + m_settings.pause;
  if (!m_bounded) {
    m_bounded = *median > m_settings.engage;
    m_limit = under_way;
  }
  if (!m_bounded) return;
  const double share =
      std::clamp(m_settings.target / std::max(*median, kMinShare),
                 kMinStepFactor, kMaxStepFactor);
  m_limit = std::max(m_settings.least, m_limit * share + kStepIncrement);
  m_last_change = now;
  m_samples.clear();
  // A limit well above the running turns has no effect and is lifted.
  m_bounded = m_limit <= kLiftRatio * (under_way + 1);
}

bool ConcurrencyLimit::MayStart(int under_way, Time now) {
  Adapt(under_way, now);
  return !m_bounded || under_way < m_limit;
}

QueueRank::QueueRank(std::string_view program, int priority,
                     std::optional<Duration> left)
    : m_time_to_late(left) {
  const auto hash = XXH3_64bits(program.data(), program.size());
  m_value = std::ldexp(static_cast<double>(hash), -64) +
            kPriorityStep * std::max(priority, 0);
  if (left && *left <= 0) {
    m_value = Late(m_value);
    m_time_to_late.reset();
  }
}

double QueueRank::Late(double rank) { return rank + kLateRank; }

}  // namespace yuccawick::traffic

#include "yuccawick/traffic/concurrency_limit.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace yuccawick::traffic {
namespace {

// First events of so many ms say how matters stand.
constexpr Duration    kSampleMemory = 200;
constexpr std::size_t kFewSamples = 5;  // fewer say nothing
constexpr std::size_t kMostSamples = 64;
constexpr double      kMostShrink = 0.6;  // at once
constexpr double      kMostGrow = 1.1;
constexpr double      kGrowth = 0.5;       // turns, at each change
constexpr double      kLeastShare = 0.01;  // of an objective
constexpr double      kUnbounded = 3.0;    // times what is under way
// Share of all places by which a route comes behind the next more urgent one.
constexpr double      kPriorityStep = 0.25;
constexpr double      kPastItsTime = 10.0;  // behind all others

}  // namespace

std::optional<double> ConcurrencyLimit::Median() const {
  if (m_samples.size() < kFewSamples) return std::nullopt;
  std::vector<double> shares;
  shares.reserve(m_samples.size());
  for (const Sample& sample : m_samples) shares.push_back(sample.share);
  const auto middle =
      shares.begin() + static_cast<std::ptrdiff_t>(shares.size() / 2);
  std::nth_element(shares.begin(), middle, shares.end());
  return *middle;
}

void ConcurrencyLimit::Observe(Duration took, Duration objective, Time now) {
  if (objective <= 0) return;
  m_samples.push_back(
      {now, static_cast<double>(took) / static_cast<double>(objective)});
  if (m_samples.size() > kMostSamples) m_samples.pop_front();
}

void ConcurrencyLimit::Adapt(int under_way, Time now) {
  if (m_settings.engage <= 0 || now < m_adapt_at) return;
  while (!m_samples.empty() && now - m_samples.front().at > kSampleMemory) {
    m_samples.pop_front();
  }
  const auto median = Median();
  if (!median) return;
  m_adapt_at = now + m_settings.pause;
  if (!m_bounded) {
    m_bounded = *median > m_settings.engage;
    m_limit = under_way;
  }
  if (!m_bounded) return;
  const double share =
      std::clamp(m_settings.target / std::max(*median, kLeastShare),
                 kMostShrink, kMostGrow);
  m_limit = std::max(m_settings.least, m_limit * share + kGrowth);
  // Well above what is there: it bounds nothing any more.
  m_bounded = m_limit <= kUnbounded * (under_way + 1);
}

bool ConcurrencyLimit::MayStart(int under_way, Time now) {
  Adapt(under_way, now);
  return !m_bounded || under_way < m_limit;
}

double QueueRank(std::string_view program, int priority,
                 std::optional<Duration> left) {
  const auto   hash = XXH3_64bits(program.data(), program.size());
  const double place = std::ldexp(static_cast<double>(hash), -64);
  const double late = left && *left <= 0 ? kPastItsTime : 0.0;
  return place + kPriorityStep * std::max(priority, 0) + late;
}

}  // namespace yuccawick::traffic

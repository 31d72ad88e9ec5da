#include "yuccawick/workspaces/token_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace yuccawick::workspaces {

void TokenPool::Expire(Time now) {
  while (!m_batches.empty() && m_batches.front().until <= now) {
    m_expired.push_back(m_batches.front());
    m_batches.pop_front();
  }
}

void TokenPool::Add(const Batch& batch) {
  if (batch.tokens <= 0) return;
  const auto insert_position = std::upper_bound(
      m_batches.begin(), m_batches.end(), batch.until,
      [](Time until, const Batch& other) { return until < other.until; });
  m_batches.insert(insert_position, batch);
}

TokenPool::Batch TokenPool::TakeUpTo(std::int64_t max_tokens, Time now) {
  Expire(now);
  if (m_batches.empty()) return {};
  Batch&      first = m_batches.front();
  const Batch taken{std::min(max_tokens, first.tokens), first.until,
                    first.origin};
  first.tokens -= taken.tokens;
  if (first.tokens == 0) m_batches.pop_front();
  return taken;
}

std::vector<TokenPool::Batch> TokenPool::TakeExpired(Time now) {
  Expire(now);
  return std::exchange(m_expired, {});
}

std::int64_t TokenPool::Available(Time now) {
  Expire(now);
  std::int64_t tokens = 0;
  for (const Batch& batch : m_batches) tokens += batch.tokens;
  return tokens;
}

void RateMeter::Count(double events, Time now) {
  const double age = static_cast<double>(now - m_updated_at);
  m_events *= std::exp(-age / static_cast<double>(m_decay_time));
  m_events += events;
  m_updated_at = now;
}

double RateMeter::PerSecond(Time now) const {
  constexpr double kMillisPerSecond = 1000.0;
  const double     decay_time = static_cast<double>(m_decay_time);
  const double     age = static_cast<double>(now - m_updated_at);
  return m_events * std::exp(-age / decay_time) * kMillisPerSecond / decay_time;
}

}  // namespace yuccawick::workspaces

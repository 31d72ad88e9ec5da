#include "yuccawick/core/retry.h"

#include <algorithm>

namespace yuccawick::core {

bool IsRetriable(const Failure& failure) {
  if (failure.ran != Ran::kNo) return false;
  switch (failure.reason) {
    case Reason::kDraining:
    case Reason::kNotReady:
    case Reason::kHomeUnreachable:
    case Reason::kFenced:
    case Reason::kBackendUnreachable:
      return true;
    default:
      return false;
  }
}

RetryBudget::RetryBudget(RetrySettings settings, std::uint64_t seed)
    : m_settings(settings), m_tokens(settings.burst), m_random(seed) {}

void RetryBudget::OnFreshRequest() {
  m_tokens = std::min(m_settings.burst, m_tokens + m_settings.per_request);
}

bool RetryBudget::Take(int attempts_made) {
  if (attempts_made >= m_settings.max_attempts) return false;
  // Without this bound a node that refuses everything would receive each
  // request many times while it is overloaded.
  if (m_tokens < 1) return false;
  m_tokens -= 1;
  return true;
}

Duration RetryBudget::Wait(int attempts_made, Duration requested_delay) {
  constexpr int  kMaxDoublings = 16;
  const int      doublings = std::min(attempts_made, kMaxDoublings);
  const Duration cap =
      std::min(m_settings.max_wait, m_settings.initial_wait << doublings);
  std::uniform_int_distribution<Duration> jitter(cap / 2, cap);
  return std::max(requested_delay, jitter(m_random));
}

}  // namespace yuccawick::core

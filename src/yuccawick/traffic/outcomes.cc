#include "yuccawick/traffic/outcomes.h"

#include <algorithm>
#include <cmath>

namespace yuccawick::traffic {
namespace {

// Failure share that is ignored: one request in a hundred fails at a healthy
// service.
constexpr double kToleratedShare = 0.1;
// Assumed successful answers, so that a single failure does not count much.
constexpr double kPriorSuccesses = 3.0;

}  // namespace

OutcomeCounts& OutcomeCounts::operator+=(const OutcomeCounts& other) {
  answers += other.answers;
  failures += other.failures;
  return *this;
}

OutcomeCounts Outcomes::At(Time now) const {
  const double age = static_cast<double>(now - m_updated_at) / kOutcomeHalfLife;
  const double decay = std::exp2(-age);
  return {m_counts.answers * decay, m_counts.failures * decay};
}

void Outcomes::Observe(bool failed, Time now) {
  m_counts = At(now);
  m_updated_at = now;
  m_counts.answers += 1.0;
  if (failed) m_counts.failures += 1.0;
}

double FailureShare(const OutcomeCounts& counts) {
  const double share = counts.failures / (counts.answers + kPriorSuccesses);
  return std::max(0.0, share - kToleratedShare) / (1.0 - kToleratedShare);
}

}  // namespace yuccawick::traffic

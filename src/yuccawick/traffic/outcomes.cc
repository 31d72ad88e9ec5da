#include "yuccawick/traffic/outcomes.h"

#include <algorithm>
#include <cmath>

namespace yuccawick::traffic {
namespace {

// Sound services fail one request in a hundred by themselves.
constexpr double kTolerated = 0.1;
// Answers that are taken to have been sound before the first one was seen: one
// failure alone is no sign.
constexpr double kBenefitOfDoubt = 3.0;

}  // namespace

OutcomeCounts& OutcomeCounts::operator+=(const OutcomeCounts& other) {
  answers += other.answers;
  failures += other.failures;
  return *this;
}

OutcomeCounts Outcomes::At(Time now) const {
  const double age = static_cast<double>(now - m_as_of) / kOutcomeHalfLife;
  const double rest = std::exp2(-age);
  return {m_counts.answers * rest, m_counts.failures * rest};
}

void Outcomes::Observe(bool failed, Time now) {
  m_counts = At(now);
  m_as_of = now;
  m_counts.answers += 1.0;
  if (failed) m_counts.failures += 1.0;
}

double FailureShare(const OutcomeCounts& counts) {
  const double share = counts.failures / (counts.answers + kBenefitOfDoubt);
  return std::max(0.0, share - kTolerated) / (1.0 - kTolerated);
}

}  // namespace yuccawick::traffic

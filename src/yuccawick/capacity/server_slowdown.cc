#include "yuccawick/capacity/server_slowdown.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace yuccawick::capacity {
namespace {

// Clamps a single observation, so that an outlier cannot dominate an estimate.
constexpr double kMaxLogSlowdown = 1.4;  // natural logarithm of about 4
// Weight of the prior at the median, in samples.
constexpr double kLastingPriorWeight = 4.0;
constexpr double kTransientPriorWeight = 0.7;
// Factor by which one sample reduces the weight of earlier ones in the
// transient estimate.
constexpr double kSampleDecay = 0.5;
constexpr double kLn2 = 0.6931471805599453;

// Kinds of work whose log duration has at most this variance count with full
// weight; others count less, in inverse proportion to their variance. That of
// calls whose work depends on their content is about ten times as high.
constexpr double kFullWeightVariance = 0.1;
constexpr int    kMinBaselineSamples = 8;
constexpr int    kMaxBaselineSamples = 200;
constexpr double kMinSamplesToRecenter = 1.0;

}  // namespace

void LogMean::Decay(double decay) {
  sum *= decay;
  weight *= decay;
}

void LogMean::Add(double value, double value_weight) {
  sum += value * value_weight;
  weight += value_weight;
}

void ServerSlowdown::Observe(const SlowdownEstimate& observed, Time now) {
  Add(observed, now);
  m_unsent.Add(std::log(observed.factor), observed.samples);
}

void ServerSlowdown::MergePeer(const SlowdownEstimate& observed, Time now) {
  if (!(observed.samples > 0 && observed.factor > 0)) return;
  Add({observed.factor, std::min(observed.samples, m_settings.max_samples)},
      now);
}

void ServerSlowdown::Add(const SlowdownEstimate& observed, Time now) {
  const double value =
      std::clamp(std::log(observed.factor), -kMaxLogSlowdown, kMaxLogSlowdown);
  const double deviation = value - m_lasting.ShrunkMean(kLastingPriorWeight);
  m_lasting.Decay(
      std::pow(1.0 - 1.0 / m_settings.max_samples, observed.samples));
  m_lasting.Add(value, observed.samples);
  const double decay = std::pow(kSampleDecay, observed.samples);
  m_transient.Decay(decay * TransientDecay(now));
  m_transient.Add(deviation, (1.0 - decay) / (1.0 - kSampleDecay));
  m_transient_time = now;
}

double ServerSlowdown::TransientDecay(Time now) const {
  const auto age = static_cast<double>(now - m_transient_time);
  return std::exp2(-age / static_cast<double>(m_settings.transient_half_life));
}

SlowdownEstimate ServerSlowdown::Lasting() const {
  return {std::exp(m_lasting.ShrunkMean(kLastingPriorWeight)),
          m_lasting.weight};
}

double ServerSlowdown::At(Time now) const {
  LogMean transient = m_transient;
  transient.Decay(TransientDecay(now));
  // A transient never makes a server faster: work that takes less than usual
  // only had a short prompt.
  const double transient_slowdown =
      std::max(0.0, transient.ShrunkMean(kTransientPriorWeight));
  return std::exp(m_lasting.ShrunkMean(kLastingPriorWeight) +
                  transient_slowdown);
}

SlowdownEstimate ServerSlowdown::Unsent() const {
  if (m_unsent.weight <= 0) return {};
  return {std::exp(m_unsent.ShrunkMean(0)), m_unsent.weight};
}

SlowdownEstimate ServerSlowdown::TakeUnsent() {
  const SlowdownEstimate unsent = Unsent();
  m_unsent = {};
  return unsent;
}

bool ServerSlowdown::NeedsImmediateReport() const {
  return m_unsent.weight > 0 &&
         std::abs(m_unsent.ShrunkMean(0) -
                  m_lasting.ShrunkMean(kLastingPriorWeight)) > kLn2;
}

void ServerSlowdown::Rescale(double factor) {
  m_lasting.sum += std::log(factor) * m_lasting.weight;
  m_unsent.sum += std::log(factor) * m_unsent.weight;
}

bool ServerSlowdown::UpdateSlow() {
  const double fast_again = std::min(m_settings.fast_again, m_settings.slow);
  const double limit = m_slow ? fast_again : m_settings.slow;
  const bool   slow = Lasting().factor >= limit;
  return std::exchange(m_slow, slow) != slow;
}

std::optional<SlowdownEstimate> SlowdownBaseline::Compare(std::string_view kind,
                                                          double duration,
                                                          double slowdown,
                                                          Time   now) {
  constexpr double kMinDuration = 0.5;  // ms; clock resolution
  Baseline&        baseline = m_kinds[std::string(kind)];
  const double     log_duration = std::log(std::max(kMinDuration, duration));
  const double     log_duration_at_median = log_duration - std::log(slowdown);
  const double     observed = log_duration - baseline.log_time;
  const bool       has_baseline = baseline.count >= kMinBaselineSamples;
  const double     variance = baseline.variance;
  const double     share =
      1.0 / (std::min(baseline.count, kMaxBaselineSamples) + 1);
  const double deviation = log_duration_at_median - baseline.log_time;
  baseline.log_time += share * deviation;
  if (baseline.count > 0)
    baseline.variance += share * (deviation * deviation - baseline.variance);
  ++baseline.count;
  baseline.last_used = now;
  if (!has_baseline) return std::nullopt;
  const double weight =
      std::min(1.0, kFullWeightVariance / std::max(1e-6, variance));
  return SlowdownEstimate{
      std::exp(std::clamp(observed, -kMaxLogSlowdown, kMaxLogSlowdown)),
      weight};
}

void SlowdownBaseline::Recenter(const std::vector<ServerSlowdown*>& servers) {
  std::vector<double> slowdowns;
  for (const ServerSlowdown* server : servers) {
    const SlowdownEstimate lasting = server->Lasting();
    if (lasting.samples >= kMinSamplesToRecenter)
      slowdowns.push_back(lasting.factor);
  }
  if (slowdowns.empty()) return;
  const auto median = slowdowns.begin() +
                      static_cast<std::ptrdiff_t>((slowdowns.size() - 1) / 2);
  std::nth_element(slowdowns.begin(), median, slowdowns.end());
  for (ServerSlowdown* server : servers) server->Rescale(1.0 / *median);
  for (auto& [kind, baseline] : m_kinds) baseline.log_time += std::log(*median);
}

void SlowdownBaseline::Forget(Time before) {
  std::erase_if(m_kinds, [before](const auto& entry) {
    return entry.second.last_used < before;
  });
}

}  // namespace yuccawick::capacity

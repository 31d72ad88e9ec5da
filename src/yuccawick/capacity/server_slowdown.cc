#include "yuccawick/capacity/server_slowdown.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace yuccawick::capacity {
namespace {

// One observation further off than this is an accident, not a pace.
constexpr double kMostLog = 1.4;  // a factor of four
// Imagined observations at the median.
constexpr double kLastingDoubt = 4.0;
constexpr double kSpellDoubt = 0.7;
// What an observation leaves of those before it in the picture of a spell.
constexpr double kSpellKeep = 0.5;
constexpr double kLn2 = 0.6931471805599453;

// Kinds of work that scatter by this variance count fully. Calls whose work
// differs by its content scatter ten times as much, and say as much less.
constexpr double kFullScatter = 0.1;
constexpr int    kSeenEnough = 8;
constexpr int    kUsualMemory = 200;
constexpr double kSamplesEnough = 1.0;

}  // namespace

void LogMean::Fade(double keep) {
  sum *= keep;
  weight *= keep;
}

void LogMean::Add(double value, double value_weight) {
  sum += value * value_weight;
  weight += value_weight;
}

void ServerSlowdown::Observe(const SlowdownEstimate& seen, Time now) {
  Add(seen, now);
  m_untold.Add(std::log(seen.factor), seen.samples);
}

void ServerSlowdown::MergePeer(const SlowdownEstimate& seen, Time now) {
  if (!(seen.samples > 0 && seen.factor > 0)) return;
  Add({seen.factor, std::min(seen.samples, m_settings.max_samples)}, now);
}

void ServerSlowdown::Add(const SlowdownEstimate& seen, Time now) {
  const double value = std::clamp(std::log(seen.factor), -kMostLog, kMostLog);
  const double off = value - m_lasting.Held(kLastingDoubt);
  m_lasting.Fade(std::pow(1.0 - 1.0 / m_settings.max_samples, seen.samples));
  m_lasting.Add(value, seen.samples);
  const double keep = std::pow(kSpellKeep, seen.samples);
  m_spell.Fade(keep * SpellKept(now));
  m_spell.Add(off, (1.0 - keep) / (1.0 - kSpellKeep));
  m_spell_as_of = now;
}

double ServerSlowdown::SpellKept(Time now) const {
  const auto age = static_cast<double>(now - m_spell_as_of);
  return std::exp2(-age / static_cast<double>(m_settings.transient_half_life));
}

SlowdownEstimate ServerSlowdown::Lasting() const {
  return {std::exp(m_lasting.Held(kLastingDoubt)), m_lasting.weight};
}

double ServerSlowdown::At(Time now) const {
  LogMean spell = m_spell;
  spell.Fade(SpellKept(now));
  // Servers have no spells of fast work, only turns with little to read.
  const double slower = std::max(0.0, spell.Held(kSpellDoubt));
  return std::exp(m_lasting.Held(kLastingDoubt) + slower);
}

SlowdownEstimate ServerSlowdown::Unsent() const {
  if (m_untold.weight <= 0) return {};
  return {std::exp(m_untold.Held(0)), m_untold.weight};
}

SlowdownEstimate ServerSlowdown::TakeUnsent() {
  const SlowdownEstimate untold = Unsent();
  m_untold = {};
  return untold;
}

bool ServerSlowdown::NeedsImmediateReport() const {
  return m_untold.weight > 0 &&
         std::abs(m_untold.Held(0) - m_lasting.Held(kLastingDoubt)) > kLn2;
}

void ServerSlowdown::Rescale(double by) {
  m_lasting.sum += std::log(by) * m_lasting.weight;
  m_untold.sum += std::log(by) * m_untold.weight;
}

bool ServerSlowdown::UpdateSlow() {
  const double fast_again = std::min(m_settings.fast_again, m_settings.slow);
  const double limit = m_slow ? fast_again : m_settings.slow;
  const bool   slow = Lasting().factor >= limit;
  return std::exchange(m_slow, slow) != slow;
}

std::optional<SlowdownEstimate> SlowdownBaseline::Compare(std::string_view kind,
                                                          double           took,
                                                          double           pace,
                                                          Time now) {
  constexpr double kShortest = 0.5;  // ms; the clock shows no less
  Usual&           usual = m_kinds[std::string(kind)];
  const double     time = std::log(std::max(kShortest, took));
  const double     at_median = time - std::log(pace);
  const double     seen = time - usual.log_time;
  const bool       enough = usual.seen >= kSeenEnough;
  const double     scatter = usual.scatter;
  const double     share = 1.0 / (std::min(usual.seen, kUsualMemory) + 1);
  const double     off = at_median - usual.log_time;
  usual.log_time += share * off;
  if (usual.seen > 0) usual.scatter += share * (off * off - usual.scatter);
  ++usual.seen;
  usual.used = now;
  if (!enough) return std::nullopt;
  const double counts = std::min(1.0, kFullScatter / std::max(1e-6, scatter));
  return SlowdownEstimate{std::exp(std::clamp(seen, -kMostLog, kMostLog)),
                          counts};
}

void SlowdownBaseline::Recenter(const std::vector<ServerSlowdown*>& servers) {
  std::vector<double> paces;
  for (const ServerSlowdown* server : servers) {
    const SlowdownEstimate lasting = server->Lasting();
    if (lasting.samples >= kSamplesEnough) paces.push_back(lasting.factor);
  }
  if (paces.empty()) return;
  const auto middle =
      paces.begin() + static_cast<std::ptrdiff_t>((paces.size() - 1) / 2);
  std::nth_element(paces.begin(), middle, paces.end());
  for (ServerSlowdown* server : servers) server->Rescale(1.0 / *middle);
  for (auto& [kind, usual] : m_kinds) usual.log_time += std::log(*middle);
}

void SlowdownBaseline::Forget(Time before) {
  std::erase_if(m_kinds, [before](const auto& entry) {
    return entry.second.used < before;
  });
}

}  // namespace yuccawick::capacity

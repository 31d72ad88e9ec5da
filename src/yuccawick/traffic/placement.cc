#include "yuccawick/traffic/placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace yuccawick::traffic {
namespace {

double LoadPerSlot(const Candidate& candidate) {
  return static_cast<double>(candidate.load()) /
         std::max(1, candidate.server->slots);
}

double FailureCost(const Candidate&        candidate,
                   const PlacementWeights& weights) {
  return weights.failure *
         (candidate.recent_failures + candidate.failure_share);
}

double SlowdownFactor(double slowdown, const PlacementWeights& weights) {
  const double tolerance = weights.slowdown_tolerance;
  if (slowdown > tolerance)
    return std::pow(slowdown / tolerance, weights.slowdown_exponent);
  if (slowdown * tolerance < 1.0)
    return std::pow(slowdown * tolerance, weights.slowdown_exponent);
  return 1.0;
}

// Returns the candidate with the lowest cost; `draw` breaks ties.
template <class Cost>
std::size_t ChooseLowestCost(const std::vector<Candidate>& candidates,
                             double draw, Cost cost) {
  constexpr double         kEpsilon = 1e-9;
  double                   best = cost(candidates.front());
  std::vector<std::size_t> ties;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const double value = cost(candidates[i]);
    if (value < best - kEpsilon) {
      best = value;
      ties.clear();
    }
    if (value <= best + kEpsilon) ties.push_back(i);
  }
  const auto pick =
      static_cast<std::size_t>(draw * static_cast<double>(ties.size()));
  return ties[std::min(pick, ties.size() - 1)];
}

class LeastLoaded final : public Placement {
 public:
  explicit LeastLoaded(const PlacementWeights& weights) : m_weights(weights) {}
  std::size_t Choose(const std::vector<Candidate>& candidates,
                     double                        draw) const override {
    return ChooseLowestCost(
        candidates, draw, [this](const Candidate& candidate) {
          return LoadPerSlot(candidate) + FailureCost(candidate, m_weights);
        });
  }

 private:
  PlacementWeights m_weights;
};

class ZoneAndPrefix final : public Placement {
 public:
  explicit ZoneAndPrefix(const PlacementWeights& weights)
      : m_weights(weights) {}
  std::size_t Choose(const std::vector<Candidate>& candidates,
                     double                        draw) const override {
    return ChooseLowestCost(
        candidates, draw, [this](const Candidate& candidate) {
          double cost = LoadPerSlot(candidate);
          if (!candidate.same_zone) cost += m_weights.cross_zone;
          if (!candidate.holds_prefix)
            cost += ReadingCost(candidate.prompt_tokens, candidate.memory_part,
                                m_weights);
          return cost + FailureCost(candidate, m_weights);
        });
  }

 private:
  PlacementWeights m_weights;
};

// Estimates when the turn would end, in turns at the median server. Slowdown
// multiplies the turn and the queue before it. Occupied slots add a cost that
// does not depend on the slowdown.
class SoonestEnd final : public Placement {
 public:
  explicit SoonestEnd(const PlacementWeights& weights) : m_weights(weights) {}
  std::size_t Choose(const std::vector<Candidate>& candidates,
                     double                        draw) const override {
    return ChooseLowestCost(
        candidates, draw, [this](const Candidate& candidate) {
          const double load = LoadPerSlot(candidate);
          double       turn_cost = 1.0 + std::max(0.0, load - 1.0);
          if (!candidate.holds_prefix)
            turn_cost += ReadingCost(candidate.prompt_tokens,
                                     candidate.memory_part, m_weights);
          double cost =
              SlowdownFactor(candidate.slowdown, m_weights) * turn_cost;
          cost += std::min(1.0, load);
          if (!candidate.same_zone) cost += m_weights.cross_zone;
          return cost + FailureCost(candidate, m_weights);
        });
  }

 private:
  PlacementWeights m_weights;
};

}  // namespace

double ReadingCost(std::int64_t tokens, double memory_part,
                   const PlacementWeights& weights) {
  constexpr double kThousand = 1000.0;
  const double     thousands = static_cast<double>(tokens) / kThousand;
  const double     cost = std::max(weights.cold_per_1000 * thousands,
                                   weights.cold_memory * memory_part);
  return std::clamp(cost, weights.cold_prefix,
                    std::max(weights.cold_prefix, weights.cold_most));
}

void SampleCandidates(std::vector<Candidate>* candidates,
                      const Sampling& sampling, std::mt19937_64* random) {
  if (static_cast<std::int64_t>(candidates->size()) <= sampling.few) return;
  std::bernoulli_distribution keep(sampling.share);
  std::vector<Candidate>      sampled;
  for (const Candidate& candidate : *candidates) {
    if (candidate.holds_prefix || keep(*random)) sampled.push_back(candidate);
  }
  if (!sampled.empty()) *candidates = std::move(sampled);
}

std::unique_ptr<Placement> MakePlacement(PlacementKind           kind,
                                         const PlacementWeights& weights) {
  if (kind == PlacementKind::kLeastLoaded) {
    return std::make_unique<LeastLoaded>(weights);
  }
  if (kind == PlacementKind::kZoneAndPrefix) {
    return std::make_unique<ZoneAndPrefix>(weights);
  }
  return std::make_unique<SoonestEnd>(weights);
}

}  // namespace yuccawick::traffic

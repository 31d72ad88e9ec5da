#include "yuccawick/traffic/placement.h"

#include <algorithm>

namespace yuccawick::traffic {
namespace {

double LoadPerSlot(const Candidate& candidate) {
  return static_cast<double>(candidate.load()) /
         std::max(1, candidate.server->slots);
}

// Lowest cost; among equals, the one that the draw falls on.
template <class Cost>
std::size_t Cheapest(const std::vector<Candidate>& candidates, double draw,
                     Cost cost) {
  constexpr double         kSame = 1e-9;
  double                   best = cost(candidates.front());
  std::vector<std::size_t> ties;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const double price = cost(candidates[i]);
    if (price < best - kSame) {
      best = price;
      ties.clear();
    }
    if (price <= best + kSame) ties.push_back(i);
  }
  const auto pick =
      static_cast<std::size_t>(draw * static_cast<double>(ties.size()));
  return ties[std::min(pick, ties.size() - 1)];
}

class LeastLoaded final : public Placement {
 public:
  std::size_t Choose(const std::vector<Candidate>& candidates,
                     double                        draw) const override {
    return Cheapest(candidates, draw, [](const Candidate& candidate) {
      return LoadPerSlot(candidate) +
             kFailurePenalty * candidate.recent_failures;
    });
  }
};

class ZoneAndPrefix final : public Placement {
 public:
  std::size_t Choose(const std::vector<Candidate>& candidates,
                     double                        draw) const override {
    return Cheapest(candidates, draw, [](const Candidate& candidate) {
      double cost = LoadPerSlot(candidate);
      if (!candidate.same_zone) cost += kCrossZonePenalty;
      if (!candidate.holds_prefix) cost += kColdPrefixPenalty;
      return cost + kFailurePenalty * candidate.recent_failures;
    });
  }
};

}  // namespace

std::unique_ptr<Placement> MakePlacement(PlacementKind kind) {
  if (kind == PlacementKind::kLeastLoaded) {
    return std::make_unique<LeastLoaded>();
  }
  return std::make_unique<ZoneAndPrefix>();
}

}  // namespace yuccawick::traffic

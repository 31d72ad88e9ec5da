#include "yuccawick/core/scheduling.h"

#include <algorithm>
#include <cmath>

namespace yuccawick::core {
namespace {

// One priority level outweighs this many doublings of attained service.
constexpr double kPriorityStep = 4.0;
// Priority levels gained by waiting for the complete allowed time.
constexpr double kAgingClasses = 10.0;
// Weight of a token to recompute at full cache weight.
constexpr double kCacheEmphasis = 8.0;
constexpr double kFullWeight = 100.0;
constexpr double kResidencyUnit = 1000.0;  // tokens

// Upper bound of the priority levels gained by program age, so that old work of
// a normal class never precedes a new urgent call. Half of this bound is
// reached at kHalfAge.
constexpr double kMaxAgeClasses = 4.5;
constexpr double kHalfAge = 40'000;  // ms

// Priority levels gained by waiting so far.
double Aging(const QueuedCall& call, Time now) {
  const double waited = static_cast<double>(now - call.arrived);
  const double allowed =
      static_cast<double>(std::max<Duration>(1, call.max_wait));
  return kAgingClasses * waited / allowed;
}

template <class Cost>
int Cheapest(const std::vector<RouteCandidate>& candidates, Cost cost) {
  int    best = -1;
  double best_cost = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (!candidates[i].usable) continue;
    const double value = cost(candidates[i]);
    if (best >= 0 && value >= best_cost) continue;
    best = static_cast<int>(i);
    best_cost = value;
  }
  return best;
}

}  // namespace

double FifoQueue::Rank(const QueuedCall& call, Time /*now*/) const {
  return static_cast<double>(call.arrived);
}

double AttainedServiceQueue::Rank(const QueuedCall& call, Time now) const {
  const double attained =
      std::log2(1.0 + static_cast<double>(std::max<Tokens>(0, call.attained)));
  return kPriorityStep *
             (static_cast<double>(call.priority) - Aging(call, now)) +
         attained;
}

double OldestProgramQueue::Rank(const QueuedCall& call, Time now) const {
  const double aging = Aging(call, now);
  const auto   program_age = static_cast<double>(now - call.started);
  const double age_gain =
      kMaxAgeClasses * program_age / (program_age + kHalfAge);
  return static_cast<double>(call.priority) - aging - age_gain;
}

int LeastLoadedRoute::Choose(
    const RouteRequest& /*request*/,
    const std::vector<RouteCandidate>& candidates) const {
  return Cheapest(candidates, [](const RouteCandidate& c) {
    return static_cast<double>(c.wait);
  });
}

int StickyRoute::Choose(const RouteRequest& /*request*/,
                        const std::vector<RouteCandidate>& candidates) const {
  return Cheapest(candidates, [](const RouteCandidate& c) {
    return c.is_coordinator ? -1.0 : static_cast<double>(c.wait);
  });
}

int CacheAwareRoute::Choose(
    const RouteRequest&                request,
    const std::vector<RouteCandidate>& candidates) const {
  const double weight = 1.0 + (kCacheEmphasis - 1.0) *
                                  static_cast<double>(request.cache_weight) /
                                  kFullWeight;
  return Cheapest(candidates, [&](const RouteCandidate& c) {
    const auto uncached =
        static_cast<double>(std::max<Tokens>(0, request.prompt - c.cached));
    const Duration switch_cost = c.is_coordinator ? 0 : m_switch_cost;
    const double   residency =
        m_residency_cost * static_cast<double>(c.resident) / kResidencyUnit;
    return static_cast<double>(c.wait + switch_cost) + residency +
           weight * uncached / m_prefill_tokens_per_ms;
  });
}

}  // namespace yuccawick::core

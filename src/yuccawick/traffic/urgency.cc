#include "yuccawick/traffic/urgency.h"

#include <algorithm>

namespace yuccawick::traffic {
namespace {

int LevelOf(std::optional<net::Duration> left) {
  if (!left) return kHurryLevels;
  int           level = 0;
  net::Duration limit = kHurry;
  while (level<kHurryLevels&& * left> limit) {
    ++level;
    limit *= 2;
  }
  return level;
}

}  // namespace

int ComputeUrgency(int priority, std::optional<net::Duration> left) {
  const int first = kLevelsPerPriority * std::max(priority, 0);
  return std::min(first + LevelOf(left), kLeastUrgent);
}

}  // namespace yuccawick::traffic

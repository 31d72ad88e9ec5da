#include "yuccawick/traffic/urgency.h"

#include <algorithm>

namespace yuccawick::traffic {
namespace {

int TimeLevel(std::optional<net::Duration> left) {
  if (!left) return kTimeLevels;
  int           level = 0;
  net::Duration limit = kMostUrgentTime;
  while (level<kTimeLevels&& * left> limit) {
    ++level;
    limit *= 2;
  }
  return level;
}

}  // namespace

int ComputeUrgency(int priority, std::optional<net::Duration> left) {
  const int first = kLevelsPerPriority * std::max(priority, 0);
  return std::min(first + TimeLevel(left), kLeastUrgent);
}

}  // namespace yuccawick::traffic

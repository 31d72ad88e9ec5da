// Computes the urgency of a turn at a model server that queues turns.
//
// In a burst above capacity, first come, first served lets all turns wait
// alike, and nearly all programs miss their deadline. Turns of programs with
// the least time left therefore go first: most of their work is done, or their
// deadline is tight. A program past its deadline stays most urgent, or it would
// starve while the burst lasts.
//
// Servers have ten levels, 0 first. A route's priority adds two levels each, so
// a program of a less urgent route goes first only with far less time left.
#pragma once

#include <optional>

#include "yuccawick/net/event_loop.h"

namespace yuccawick::traffic {

// Less time left than this, in ms, is most urgent. Each doubling is one level
// less urgent.
inline constexpr net::Duration kMostUrgentTime = 400;
// Levels by time left, above the first.
inline constexpr int           kTimeLevels = 3;
inline constexpr int           kLevelsPerPriority = 2;
inline constexpr int           kLeastUrgent = 9;

// `left`: ms until the deadline of the program; nullopt, if it has none, counts
// as the longest time.
int ComputeUrgency(int priority, std::optional<net::Duration> left);

}  // namespace yuccawick::traffic

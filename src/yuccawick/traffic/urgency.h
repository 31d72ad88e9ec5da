// Computes the urgency of a turn at a model server that queues turns.
//
// In a burst above capacity, first come, first served lets all turns wait
// alike, and nearly all programs miss their deadline. Turns of programs with
// the least time left therefore go first: most of their work is done, or their
// deadline is tight. A program past its deadline stays most urgent;
// otherwise it would starve while the burst lasts.
//
// Servers have ten levels; level 0 goes first. Each step of a route's priority
// adds two levels, so a program of a less urgent route goes first only with far
// less time left.
#pragma once

#include <optional>

#include "yuccawick/net/event_loop.h"

namespace yuccawick::traffic {

// Up to this time left, in ms, a turn has the most urgent level of its
// priority: one turn at a busy server, after which lost time cannot be made up.
// Each doubling of the time left makes it one level less urgent.
inline constexpr net::Duration kMostUrgentTime = 400;
// Maximum number of levels added because of the time left.
inline constexpr int           kTimeLevels = 3;
inline constexpr int           kLevelsPerPriority = 2;
inline constexpr int           kLeastUrgent = 9;

// `left`: ms until the deadline of the program; nullopt: no deadline, which
// counts as the longest time.
int ComputeUrgency(int priority, std::optional<net::Duration> left);

}  // namespace yuccawick::traffic

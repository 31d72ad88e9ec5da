// How urgent a turn is to a model server that has more of them than slots.
//
// Load pattern: a burst of one and a half to three times what the servers
// carry. Served in the order in which they come, all programs' turns wait a
// little, and nearly all programs miss their time; a program is worth little
// once it has. So turns of programs with the least time left go first: those
// are the ones with most of their work behind them, or with little to lose. A
// program past its time is not put back: it would starve while a burst lasts.
//
// Servers know ten levels, 0 first. A route's priority counts two of them, so a
// program of the next route overtakes only where it has far less time left.
#pragma once

#include <optional>

#include "yuccawick/net/event_loop.h"

namespace yuccawick::traffic {

// Less time than this, in ms, is the most urgent: one turn at a busy server,
// after which nothing can be made up for. Each doubling is a level less urgent.
inline constexpr net::Duration kHurry = 400;
// Levels by time left, after the first.
inline constexpr int           kHurryLevels = 3;
inline constexpr int           kLevelsPerPriority = 2;
inline constexpr int           kLeastUrgent = 9;

// `left`: until the program should be finished, in ms; nothing: it does not
// say, and counts as having all the time.
int ComputeUrgency(int priority, std::optional<net::Duration> left);

}  // namespace yuccawick::traffic

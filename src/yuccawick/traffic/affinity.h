// Chooses the server that most likely has the prompt of an agent program
// cached, without communication between nodes.
//
// The turns of one program arrive at many nodes, and each prompt repeats the
// earlier ones. A node remembers where it placed a session, but the other nodes
// do not know that server; each would choose another one, which would recompute
// the prompt.
// PreferredServer() returns the same server for a program on all nodes of a
// zone, by rendezvous hashing over the zone's servers: when a server is added
// or removed, only the programs of that server move. The result is only a
// preference; Placement weighs it against load.
//
// Sessions also move between zones. For long prompts the preferred server is
// therefore chosen among the servers of all zones (ChooseAffinityScope). For
// short prompts, cross-zone traffic on each turn would cost more than
// recomputing the prompt.
#pragma once

#include <string>
#include <vector>

#include "yuccawick/traffic/placement.h"

namespace yuccawick::traffic {

enum class AffinityScope : std::uint8_t { kZone, kAllZones };

// Returns the id of the server, or an empty string if no candidate is in scope.
std::string PreferredServer(const std::string&            program,
                            const std::vector<Candidate>& candidates,
                            AffinityScope                 scope);

// Chooses all zones if computing a prompt of `tokens` tokens costs clearly more
// than cross-zone traffic, otherwise the zone. `memory_part`: see Candidate.
AffinityScope ChooseAffinityScope(std::int64_t tokens, double memory_part,
                                  const PlacementWeights& weights);

}  // namespace yuccawick::traffic

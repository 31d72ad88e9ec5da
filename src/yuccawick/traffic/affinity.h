// Where the prompt of an agent program is most likely cached, as far as nodes
// can tell without asking each other.
//
// Load pattern: the turns of one program come in at many nodes, and each prompt
// repeats all that its program said before. A node that placed the last turn
// knows where; the others would each pick a server of their own and have the
// prompt read again. PreferredServer() gives all nodes of a zone the same
// server for a program, by rendezvous hashing of the program over the zone's
// servers: when a server comes or goes, only its programs move. It is a
// preference of Placement, bounded by load like any other, and decides nothing
// alone.
//
// Lines of turns also change zones. For long prompts the home is therefore one
// of all zones' servers, see ChooseAffinityScope(); for short ones the way
// there and its bytes, paid with each turn, would cost more than reading the
// prompt once more.
#pragma once

#include <string>
#include <vector>

#include "yuccawick/traffic/placement.h"

namespace yuccawick::traffic {

enum class AffinityScope : std::uint8_t { kZone, kAllZones };

// Id of the server, or empty: none within reach is among the candidates.
std::string PreferredServer(const std::string&            program,
                            const std::vector<Candidate>& candidates,
                            AffinityScope                 reach);

// Whether a home in another zone is worth its way for a prompt of that length.
AffinityScope ChooseAffinityScope(std::int64_t tokens, double memory_part,
                                  const PlacementWeights& weights);

}  // namespace yuccawick::traffic

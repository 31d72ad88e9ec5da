// Where the prompt of an agent program is most likely cached, as far as nodes
// can tell without asking each other.
//
// Load pattern: the turns of one program come in at many nodes, and each prompt
// repeats all that its program said before. A node that placed the last turn
// knows where; the others would each pick a server of their own and have the
// prompt read again. LikelyHome() gives all nodes of a zone the same server for
// a program, by rendezvous hashing of the program over the zone's servers: when
// a server comes or goes, only its programs move. It is a preference of
// Placement, bounded by load like any other, and decides nothing alone.
//
// Other zones are left out: their way and their bytes are paid for with each
// turn, a prompt that is read again once.
#pragma once

#include <string>
#include <vector>

#include "yuccawick/traffic/placement.h"

namespace yuccawick::traffic {

// Id of the server, or empty: none of this zone is among the candidates.
std::string LikelyHome(const std::string&            program,
                       const std::vector<Candidate>& candidates);

}  // namespace yuccawick::traffic

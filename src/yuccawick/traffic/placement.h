// Which backend server a request goes to.
//
// A strategy sees candidates with what is known of their load and returns one.
// Strategies hold no state and read no clock, so each is tested with a table of
// candidates. LeastLoaded is the baseline; SoonestEnd is what runs. It is
// ZoneAndPrefix, which takes all servers for equally fast, with their pace.
#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <string_view>
#include <vector>

#include "yuccawick/traffic/directory.h"

namespace yuccawick::traffic {

struct Candidate {
  const BackendServer* server = nullptr;
  int    local_load = 0;        // requests this node has under way there
  int    peer_load = 0;         // the same of other nodes, as last heard
  bool   same_zone = false;     // as this node
  bool   holds_prefix = false;  // has the request's prompt cached, most likely
  int    recent_failures = 0;   // since its last success
  double failure_share = 0;     // of its latest answers, 0 to 1
  std::int64_t prompt_tokens = 0;  // of the request, if not cached there
  // Of the memory that the server has for each of its slots, what the prompt
  // takes; 0: not known.
  double       memory_part = 0;
  double slowdown = 1;  // time of the same work, in medians of the service

  int load() const { return local_load + peer_load; }
};

class Placement {
 public:
  virtual ~Placement() = default;
  // Index of the chosen candidate; `candidates` is not empty. `draw` is uniform
  // in [0, 1) and settles ties, so that nodes with the same view spread.
  virtual std::size_t Choose(const std::vector<Candidate>& candidates,
                             double                        draw) const = 0;
};

// Load, in requests waiting or running per slot, at which the advantages of a
// near or warm server stop to count; see docs/design.
struct PlacementWeights {
  double cross_zone = 0.45;
  // What a prompt that has to be read there counts as: at least, for each 1,000
  // of its tokens, at most. A step of an engine takes longer by what it reads,
  // for all requests that run there.
  double cold_prefix = 0.15;
  double cold_per_1000 = 0.06;
  // The same by the memory that it takes there, in parts of a slot's. Where
  // memory is short, a second copy of a prompt evicts that of another program,
  // which is then read again in its turn.
  double cold_memory = 1.7;
  double cold_most = 1.0;
  double failure = 4.0;  // any healthy server first; also of a share of one
  // Power to which the pace counts; 0: all servers are taken for equally fast.
  double slowdown_exponent = 1.2;
  // Paces up to this, and down to one over it, count as the median: servers
  // that are equal seem to differ by as much, by what their turns read.
  double slowdown_tolerance = 1.35;
};

// What a prompt that is not cached counts as.
double ReadingCost(std::int64_t tokens, double memory_part,
                   const PlacementWeights& weights);

// How many of the servers a node looks at for one request.
struct Sampling {
  double       share = 0.34;  // of the candidates, each by chance
  std::int64_t few = 16;      // so many or fewer are all looked at
  std::int64_t most = 128;    // of larger services, so many come into question
};

// Leaves some of the candidates. What nodes know of each other's load is older
// than a turn at its start: if all looked at all servers, they would all find
// the same one idle, and fill it before they hear of each other. The one that
// holds the prefix stays.
void SampleCandidates(std::vector<Candidate>* candidates,
                      const Sampling& sampling, std::mt19937_64* random);

enum class PlacementKind : std::uint8_t {
  kLeastLoaded,
  kZoneAndPrefix,
  kSoonestEnd,
};
std::unique_ptr<Placement> MakePlacement(PlacementKind           kind,
                                         const PlacementWeights& weights);

}  // namespace yuccawick::traffic

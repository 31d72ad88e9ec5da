// Chooses the backend server for a request.
//
// A strategy receives candidates with their known load and returns one of them.
// Strategies have no state and no clock, so they are tested with tables of
// candidates.
//
//   LeastLoaded    load and failures only; the baseline
//   ZoneAndPrefix  also zone and cached prompt; treats all servers as equally
//                  fast
//   SoonestEnd     ZoneAndPrefix with the slowdown of servers; the default
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
  int                  local_load = 0;        // requests of this node
  int                  peer_load = 0;         // last reported by the peers
  bool                 same_zone = false;     // as this node
  bool                 holds_prefix = false;  // probably has the prompt cached
  int                  recent_failures = 0;   // since the last success
  double               failure_share = 0;     // of recent answers, 0 to 1
  std::int64_t         prompt_tokens = 0;     // to compute if not cached there
  // Memory of the prompt, relative to the server's memory per slot; 0 if
  // unknown.
  double               memory_part = 0;
  double               slowdown = 1;  // relative to the median

  int load() const { return local_load + peer_load; }
};

class Placement {
 public:
  virtual ~Placement() = default;
  // Returns the index of the chosen candidate; `candidates` must not be empty.
  // `draw` is uniform in [0, 1) and breaks ties, so that nodes with the same
  // view choose different servers.
  virtual std::size_t Choose(const std::vector<Candidate>& candidates,
                             double                        draw) const = 0;
};

// Costs in units of load, that is, waiting or running requests per slot; see
// docs/design.
struct PlacementWeights {
  double cross_zone = 0.45;
  // Cost of computing a prompt that is not cached: minimum, per 1,000 tokens,
  // and maximum. A long prompt slows down all requests that run beside it.
  double cold_prefix = 0.15;
  double cold_per_1000 = 0.06;
  // Cost of the memory of a second copy of the prompt, multiplied by
  // Candidate::memory_part.
  // Where memory is short, the copy evicts the prompt of another program, which
  // must then be recomputed.
  double cold_memory = 1.7;
  double cold_most = 1.0;
  // Per recent failure, and for a failure share of 1. High, so that healthy
  // servers are chosen first.
  double failure = 4.0;
  // Exponent of the slowdown in the cost; 0 ignores it.
  double slowdown_exponent = 1.2;
  // Slowdowns from 1 / slowdown_tolerance to slowdown_tolerance count as 1:
  // equal servers appear to differ that much, depending on their prompts.
  double slowdown_tolerance = 1.35;
};

// Cost of computing a prompt that is not cached.
double ReadingCost(std::int64_t tokens, double memory_part,
                   const PlacementWeights& weights);

// Limits the servers that are considered for one request.
struct Sampling {
  double       share = 0.34;  // probability of each candidate
  std::int64_t few = 16;    // up to this number, all candidates are considered
  std::int64_t most = 128;  // upper bound for large services
};

// Removes candidates at random, but keeps the one that holds the prefix.
// A report of peer load is older than the time that a turn takes to start: if
// all nodes considered all servers, they would choose the same idle server and
// fill it before the next report.
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

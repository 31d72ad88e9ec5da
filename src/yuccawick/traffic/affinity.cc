#include "yuccawick/traffic/affinity.h"

#include <xxhash.h>

namespace yuccawick::traffic {

std::string PreferredServer(const std::string&            program,
                            const std::vector<Candidate>& candidates,
                            AffinityScope                 reach) {
  const XXH64_hash_t   seed = XXH3_64bits(program.data(), program.size());
  const BackendServer* home = nullptr;
  XXH64_hash_t         highest = 0;
  for (const Candidate& candidate : candidates) {
    if (reach == AffinityScope::kZone && !candidate.same_zone) continue;
    const std::string& id = candidate.server->id;
    const auto weight = XXH3_64bits_withSeed(id.data(), id.size(), seed);
    if (home != nullptr && weight <= highest) continue;
    home = candidate.server;
    highest = weight;
  }
  return home == nullptr ? std::string() : home->id;
}

AffinityScope ChooseAffinityScope(std::int64_t tokens, double memory_part,
                                  const PlacementWeights& weights) {
  // A prompt grows with its line, and a line whose reach changed is read again:
  // so it must be worth its way clearly.
  constexpr double kClearly = 1.5;
  return ReadingCost(tokens, memory_part, weights) >
                 kClearly * weights.cross_zone
             ? AffinityScope::kAllZones
             : AffinityScope::kZone;
}

}  // namespace yuccawick::traffic

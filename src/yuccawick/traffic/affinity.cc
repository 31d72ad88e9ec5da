#include "yuccawick/traffic/affinity.h"

#include <xxhash.h>

namespace yuccawick::traffic {

std::string PreferredServer(const std::string&            program,
                            const std::vector<Candidate>& candidates,
                            AffinityScope                 scope) {
  const XXH64_hash_t   seed = XXH3_64bits(program.data(), program.size());
  const BackendServer* preferred = nullptr;
  XXH64_hash_t         highest = 0;
  for (const Candidate& candidate : candidates) {
    if (scope == AffinityScope::kZone && !candidate.same_zone) continue;
    const std::string& id = candidate.server->id;
    const auto weight = XXH3_64bits_withSeed(id.data(), id.size(), seed);
    if (preferred != nullptr && weight <= highest) continue;
    preferred = candidate.server;
    highest = weight;
  }
  return preferred == nullptr ? std::string() : preferred->id;
}

AffinityScope ChooseAffinityScope(std::int64_t tokens, double memory_part,
                                  const PlacementWeights& weights) {
  // A prompt grows with its session. Changing the scope moves the session to
  // another server, which recomputes the prompt, so the benefit must be clear.
  constexpr double kMinBenefit = 1.5;
  return ReadingCost(tokens, memory_part, weights) >
                 kMinBenefit * weights.cross_zone
             ? AffinityScope::kAllZones
             : AffinityScope::kZone;
}

}  // namespace yuccawick::traffic

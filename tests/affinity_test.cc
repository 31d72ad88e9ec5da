// Preferred servers for cached prompts, and their weight against load.
#include "yuccawick/traffic/affinity.h"

#include <criterion/criterion.h>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace yuccawick::tests {
namespace {

using traffic::AffinityScope;
using traffic::BackendServer;
using traffic::Candidate;
using traffic::PreferredServer;

constexpr int          kServers = 15;         // per zone
constexpr std::int64_t kLongPrompt = 15'000;  // tokens
constexpr std::int64_t kShortPrompt = 1500;

std::vector<BackendServer> MakeServers(const std::string& zone) {
  std::vector<BackendServer> servers;
  for (int i = 0; i < kServers; ++i) {
    BackendServer server;
    server.id = zone + std::to_string(i);
    server.zone = zone;
    server.slots = 16;
    servers.push_back(server);
  }
  return servers;
}

std::vector<Candidate> CandidatesOf(const std::vector<BackendServer>& servers,
                                    std::int64_t tokens = kLongPrompt) {
  std::vector<Candidate> candidates;
  for (const BackendServer& server : servers) {
    Candidate candidate;
    candidate.server = &server;
    candidate.same_zone = server.zone == "a";
    candidate.prompt_tokens = tokens;
    candidates.push_back(candidate);
  }
  return candidates;
}

std::string ProgramName(int number) {
  return "program" + std::to_string(number);
}

// A node that places turns by its own loads and by the server of the session:
// the one it used last, or the preferred server of the zone.
struct PlacingNode {
  std::map<std::string, std::string> servers_by_program;  // server by program
  std::map<std::string, int>         loads;

  std::string Place(const std::string&                program,
                    const std::vector<BackendServer>& servers,
                    std::mt19937_64*                  random) {
    auto              candidates = CandidatesOf(servers);
    const std::string preferred =
        servers_by_program.contains(program)
            ? servers_by_program[program]
            : PreferredServer(program, candidates, AffinityScope::kZone);
    for (Candidate& candidate : candidates) {
      candidate.local_load = loads[candidate.server->id];
      candidate.holds_prefix = candidate.server->id == preferred;
    }
    const double draw = std::uniform_real_distribution<double>()(*random);
    const auto   placement =
        MakePlacement(traffic::PlacementKind::kZoneAndPrefix, {});
    const auto& chosen = candidates[placement->Choose(candidates, draw)];
    ++loads[chosen.server->id];
    return servers_by_program[program] = chosen.server->id;
  }
};

Test(Affinity, TurnsOfAProgramArriveAtManyNodes_MostFindTheirPromptCached) {
  // Guards against recomputing prompts when the turns of a program arrive at
  // different nodes, of which each knows only its own placements.
  const auto                         servers = MakeServers("a");
  std::vector<PlacingNode>           nodes(10);
  std::mt19937_64                    random(1);
  std::map<std::string, std::string> last;
  int                                recomputed = 0;
  constexpr int                      kPrograms = 200;
  constexpr int                      kTurns = 5;
  for (int turn = 0; turn < kTurns; ++turn) {
    for (int i = 0; i < kPrograms; ++i) {
      const std::string program = ProgramName(i);
      const std::string server =
          nodes[random() % nodes.size()].Place(program, servers, &random);
      if (turn > 0 && last[program] != server) ++recomputed;
      last[program] = server;
    }
    for (PlacingNode& node : nodes) node.loads.clear();  // all turns end
  }
  cr_expect_leq(recomputed, kPrograms * (kTurns - 1) / 10, "%d of %d",
                recomputed, kPrograms * (kTurns - 1));
}

Test(Affinity, ServerRemoved_OnlyItsProgramsMove) {
  const auto servers = MakeServers("a");
  auto       candidates = CandidatesOf(servers);
  auto       fewer = candidates;
  fewer.erase(fewer.begin());
  for (int i = 0; i < 100; ++i) {
    const std::string before =
        PreferredServer(ProgramName(i), candidates, AffinityScope::kZone);
    const std::string after =
        PreferredServer(ProgramName(i), fewer, AffinityScope::kZone);
    cr_expect(after == before || before == servers.front().id);
  }
}

Test(Affinity, ManyPrograms_AreSpreadOverTheServers) {
  const auto                 servers = MakeServers("a");
  const auto                 candidates = CandidatesOf(servers);
  std::map<std::string, int> counts;
  for (int i = 0; i < 100 * kServers; ++i) {
    ++counts[PreferredServer(ProgramName(i), candidates, AffinityScope::kZone)];
  }
  for (const auto& [server, count] : counts) {
    cr_expect(count > 60 && count < 150, "%s: %d", server.c_str(), count);
  }
}

Test(Affinity, NoServerInTheZone_NoneIsPreferred) {
  const auto servers = MakeServers("b");
  cr_expect(PreferredServer("p", CandidatesOf(servers), AffinityScope::kZone)
                .empty());
}

// Whether a turn stays at the server that holds its prompt, if that server has
// `extra_load` more requests than the others.
bool Stays(std::int64_t tokens, int extra_load) {
  const auto servers = MakeServers("a");
  auto       candidates = CandidatesOf(servers, tokens);
  candidates.front().holds_prefix = true;
  candidates.front().local_load = extra_load;
  const auto placement =
      MakePlacement(traffic::PlacementKind::kZoneAndPrefix, {});
  return placement->Choose(candidates, 0.5) == 0;
}

Test(Affinity, ServerWithPromptHasMoreLoad_LongPromptsStayLonger) {
  // A short prompt is recomputed in a few steps; a long one delays all requests
  // that run on the same server.
  cr_expect(Stays(kShortPrompt, 2));
  cr_expect_not(Stays(kShortPrompt, 3));
  cr_expect(Stays(kLongPrompt, 14));
  cr_expect_not(Stays(kLongPrompt, 15));
}

Test(Affinity, SessionChangesZones_LongPromptsHaveOnePreferredServer) {
  // Guards against recomputing a long prompt in each zone from which its
  // session sends requests. Short prompts cost less than cross-zone traffic.
  const traffic::PlacementWeights weights;
  cr_expect(ChooseAffinityScope(kLongPrompt, 0, weights) ==
            AffinityScope::kAllZones);
  cr_expect(ChooseAffinityScope(kShortPrompt, 0, weights) ==
            AffinityScope::kZone);
  const auto servers_of_a = MakeServers("a");
  auto       servers = MakeServers("b");
  servers.insert(servers.end(), servers_of_a.begin(), servers_of_a.end());
  const auto seen_from_a = CandidatesOf(servers);
  auto       seen_from_b = seen_from_a;
  for (Candidate& each : seen_from_b) each.same_zone = !each.same_zone;
  for (int i = 0; i < 50; ++i) {
    const std::string program = ProgramName(i);
    cr_expect(PreferredServer(program, seen_from_a, AffinityScope::kAllZones) ==
              PreferredServer(program, seen_from_b, AffinityScope::kAllZones));
  }
}

Test(Affinity, ServerWithVeryLongPromptIsFull_AnotherRecomputesIt) {
  constexpr std::int64_t kVeryLong = 120'000;
  cr_expect_not(Stays(kVeryLong, 17));
}

}  // namespace
}  // namespace yuccawick::tests

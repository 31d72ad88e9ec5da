// Tests placement by expected end time: with servers of unequal speed, outdated
// load reports, zones whose demand exceeds their capacity, and services of few
// and many servers.
#include "yuccawick/traffic/placement.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <numeric>
#include <set>
#include <string>
#include <vector>

#include "yuccawick/gateway/backends.h"
#include "yuccawick/net/newest.h"
#include "yuccawick/traffic/server_pool.h"

namespace yuccawick::tests {
namespace {

using net::Time;
using traffic::AffinityScope;
using traffic::BackendServer;
using traffic::Candidate;
using traffic::PlacementKind;
using traffic::ServerPool;

constexpr int                        kSlots = 6;
constexpr std::array<const char*, 3> kZoneNames{"a", "b", "c"};

std::vector<BackendServer> MakeServers(int count, const std::string& zone) {
  std::vector<BackendServer> servers(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    BackendServer& server = servers[static_cast<std::size_t>(i)];
    server.id = zone + std::to_string(i);
    server.zone = zone;
    server.slots = kSlots;
  }
  return servers;
}

constexpr int kZones = 3;
constexpr int kNodesOfAZone = 12;

std::vector<BackendServer> ServersOfZones(const std::vector<int>& counts) {
  std::vector<BackendServer> servers;
  for (std::size_t zone = 0; zone < counts.size(); ++zone) {
    for (const auto& server : MakeServers(counts[zone], kZoneNames[zone])) {
      servers.push_back(server);
    }
  }
  return servers;
}

// Simulates servers that each run up to `kSlots` requests at a time, and nodes
// that place the requests. A step is a quarter of a median turn. A node knows
// the requests it placed itself in the current step, and the load from its zone
// at the beginning of the step. It knows nothing about nodes of other zones.
class Simulation {
 public:
  Simulation(const std::vector<int>& servers_of_zones,
             std::vector<double>     slowdowns)
      : m_servers(ServersOfZones(servers_of_zones)),
        m_slowdowns(std::move(slowdowns)),
        m_load(kZones, std::vector<double>(m_servers.size())),
        m_completed(m_servers.size()) {}

  // Runs for `turns` median turns, with `arrivals` requests per turn in each
  // zone. `assumed_slowdown(node, server)`: the slowdown that the node assumes
  // for the server.
  template <class AssumedSlowdown>
  void Run(int turns, const std::vector<double>& arrivals,
           AssumedSlowdown assumed_slowdown) {
    std::vector<double> unplaced(kZones);
    for (int step = 0; step < turns * kStepsInATurn; ++step) {
      m_stale = m_load;
      m_own.assign(kNodesOfAZone, {});
      for (std::size_t zone = 0; zone < kZones; ++zone) {
        for (auto& own : m_own) own.assign(m_servers.size(), 0);
        unplaced[zone] += arrivals[zone] / kStepsInATurn;
        for (; unplaced[zone] >= 1; unplaced[zone] -= 1)
          Place(zone, assumed_slowdown);
      }
      for (std::size_t k = 0; k < m_servers.size(); ++k) Advance(k);
    }
  }
  void Run(int turns, const std::vector<double>& arrivals) {
    Run(turns, arrivals, [this](std::size_t, std::size_t server) {
      return m_slowdowns[server];
    });
  }
  void ResetCompleted() {
    std::fill(m_completed.begin(), m_completed.end(), 0.0);
  }

  // Requests completed by the servers in [first, last).
  double Completed(std::size_t first, std::size_t last) const {
    const auto at = [this](std::size_t server) {
      return m_completed.begin() + static_cast<std::ptrdiff_t>(server);
    };
    return std::accumulate(at(first), at(last), 0.0);
  }
  double Completed(std::size_t server) const { return m_completed[server]; }
  double max_load() const { return m_max_load; }

 private:
  static constexpr int kStepsInATurn = 4;

  template <class AssumedSlowdown>
  void Place(std::size_t zone, AssumedSlowdown assumed_slowdown) {
    const std::size_t      node = m_random() % kNodesOfAZone;
    std::vector<Candidate> candidates;
    for (std::size_t k = 0; k < m_servers.size(); ++k) {
      Candidate candidate;
      candidate.server = &m_servers[k];
      candidate.local_load = m_own[node][k];
      candidate.same_zone = m_servers[k].zone == kZoneNames[zone];
      candidate.peer_load = static_cast<int>(std::lround(m_stale[zone][k]));
      candidate.slowdown = assumed_slowdown(node, k);
      candidates.push_back(candidate);
    }
    traffic::SampleCandidates(&candidates, {}, &m_random);
    const double draw = std::uniform_real_distribution<double>()(m_random);
    const auto   chosen = static_cast<std::size_t>(
        candidates[m_placement->Choose(candidates, draw)].server -
        m_servers.data());
    ++m_own[node][chosen];
    m_load[zone][chosen] += 1;
    m_max_load = std::max(m_max_load, LoadAt(chosen));
  }
  double LoadAt(std::size_t server) const {
    double sum = 0;
    for (const auto& of_zone : m_load) sum += of_zone[server];
    return sum;
  }
  void Advance(std::size_t server) {
    const double load = LoadAt(server);
    const double running = std::min<double>(load, kSlots);
    const double completed = running / m_slowdowns[server] / kStepsInATurn;
    const double share = load > 0 ? completed / load : 0;
    for (auto& of_zone : m_load) of_zone[server] *= std::max(0.0, 1.0 - share);
    m_completed[server] += completed;
  }

  std::vector<BackendServer>          m_servers;
  std::vector<double>                 m_slowdowns;
  std::vector<std::vector<int>>       m_own;    // of each node, in this step
  std::vector<std::vector<double>>    m_load;   // from each zone
  std::vector<std::vector<double>>    m_stale;  // m_load when the step began
  std::vector<double>                 m_completed;
  double                              m_max_load = 0;
  std::mt19937_64                     m_random{1};
  std::unique_ptr<traffic::Placement> m_placement =
      MakePlacement(PlacementKind::kSoonestEnd, {});
};

std::vector<double> UnequalSlowdowns(std::size_t servers) {
  std::vector<double> slowdowns(servers, 1.0);
  for (std::size_t i = 2; i < servers; i += 3) slowdowns[i] = 1.7 / 0.7;
  return slowdowns;
}

double TotalCapacity(const std::vector<double>& slowdowns) {
  return std::accumulate(
      slowdowns.begin(), slowdowns.end(), 0.0,
      [](double sum, double slowdown) { return sum + kSlots / slowdown; });
}

const std::vector<int> kServersOfZones{15, 15, 15};

std::vector<double> EvenDemand(double all) {
  return std::vector<double>(kZones, all / kZones);
}

Test(SoonestEnd, ServersDifferInSpeedAndAllAreNeeded_ServeInProportion) {
  const auto   slowdowns = UnequalSlowdowns(45);
  const double all = TotalCapacity(slowdowns);
  Simulation   simulation(kServersOfZones, slowdowns);
  simulation.Run(20, EvenDemand(all));
  simulation.ResetCompleted();
  simulation.Run(100, EvenDemand(all));
  const double fair = simulation.Completed(0, 45) / all * kSlots;
  for (std::size_t i = 0; i < slowdowns.size(); ++i) {
    const double relative_rate = simulation.Completed(i) * slowdowns[i] / fair;
    cr_expect(relative_rate > 0.9 && relative_rate < 1.1, "%zu: %f", i,
              relative_rate);
  }
}

Test(SoonestEnd, DemandIsNearCapacity_NoEngineMustTurnWorkAway) {
  // Engines queue up to three times as many requests as they have slots.
  const auto slowdowns = UnequalSlowdowns(45);
  Simulation simulation(kServersOfZones, slowdowns);
  simulation.Run(100, EvenDemand(0.9 * TotalCapacity(slowdowns)));
  cr_expect_lt(simulation.max_load(), 4 * kSlots, "%f", simulation.max_load());
}

Test(SoonestEnd, FastServersAreEnough_SlowOnesGetFewTurns) {
  const auto slowdowns = UnequalSlowdowns(45);
  Simulation simulation(kServersOfZones, slowdowns);
  simulation.Run(100, EvenDemand(0.4 * TotalCapacity(slowdowns)));
  double slow = 0;
  for (std::size_t i = 2; i < slowdowns.size(); i += 3)
    slow += simulation.Completed(i);
  cr_expect_lt(slow, 0.02 * simulation.Completed(0, 45), "%f", slow);
}

Test(SoonestEnd, ManyNodesSeeOneFastServer_DoNotOverloadIt) {
  // Guards against overload when all nodes learn of a fast server at once.
  std::vector<double> slowdowns(45, 2.0);
  slowdowns[0] = 1.0;
  Simulation simulation({45, 0, 0}, slowdowns);
  simulation.Run(50, {0.7 * TotalCapacity(slowdowns), 0.0, 0.0});
  cr_expect_lt(simulation.max_load(), 4 * kSlots, "%f", simulation.max_load());
}

Test(SoonestEnd, NodesDisagreeAboutAServer_ItIsUsedAndNotOverloaded) {
  // Half of the nodes still have an outdated slowdown estimate.
  const std::vector<double> slowdowns(45, 1.0);
  Simulation                simulation(kServersOfZones, slowdowns);
  simulation.Run(100, EvenDemand(0.8 * TotalCapacity(slowdowns)),
                 [](std::size_t node, std::size_t server) {
                   return node % 2 == 0 && server == 0 ? 2.5 : 1.0;
                 });
  cr_expect_gt(simulation.Completed(0), 0.4 * simulation.Completed(0, 45) / 45);
  cr_expect_lt(simulation.max_load(), 4 * kSlots, "%f", simulation.max_load());
}

Test(SoonestEnd, ZoneDemandExceedsCapacity_RestIsSharedInProportion) {
  Simulation simulation({12, 8, 16}, std::vector<double>(36, 1.0));
  simulation.Run(100, {1.5 * 12 * kSlots, 0.0, 0.0});
  const double per_server_in_a = simulation.Completed(0, 12) / 12;
  const double per_server_in_b = simulation.Completed(12, 20) / 8;
  const double per_server_in_c = simulation.Completed(20, 36) / 16;
  cr_expect_lt(std::abs(per_server_in_b / per_server_in_c - 1.0), 0.1, "%f, %f",
               per_server_in_b, per_server_in_c);
  cr_expect_gt(per_server_in_a, 1.2 * per_server_in_c);
  cr_expect_lt(simulation.max_load(), 3 * kSlots, "%f", simulation.max_load());
}

Test(SoonestEnd, EqualServers_ChoiceIsThatOfZoneAndPrefix) {
  const auto      servers = MakeServers(10, "a");
  const auto      with = MakePlacement(PlacementKind::kSoonestEnd, {});
  const auto      without = MakePlacement(PlacementKind::kZoneAndPrefix, {});
  std::mt19937_64 random(1);
  for (int i = 0; i < 500; ++i) {
    std::vector<Candidate> candidates;
    for (const BackendServer& server : servers) {
      Candidate candidate;
      candidate.server = &server;
      candidate.local_load = static_cast<int>(random() % 9);
      candidate.same_zone = random() % 3 == 0;
      candidate.holds_prefix = random() % 5 == 0;
      candidate.recent_failures = random() % 8 == 0 ? 1 : 0;
      candidate.prompt_tokens = 4000;
      candidates.push_back(candidate);
    }
    cr_expect_eq(with->Choose(candidates, 0.5),
                 without->Choose(candidates, 0.5));
  }
}

Test(SoonestEnd, ServerWithPromptIsSlow_AnotherRecomputesIt) {
  const auto             servers = MakeServers(2, "a");
  std::vector<Candidate> candidates(2);
  for (std::size_t i = 0; i < 2; ++i) candidates[i].server = &servers[i];
  candidates[0].holds_prefix = true;
  for (Candidate& each : candidates) each.prompt_tokens = 4000;
  const auto placement = MakePlacement(PlacementKind::kSoonestEnd, {});
  candidates[0].slowdown = 1.1;
  cr_expect_eq(placement->Choose(candidates, 0.5), 0);
  candidates[0].slowdown = 2.5;
  cr_expect_eq(placement->Choose(candidates, 0.5), 1);
}

// Guards against second copies of a prompt that evict the prompts of paused
// programs.
Test(SoonestEnd, MemoryOfServersIsShort_TurnStaysWithItsPrompt) {
  const auto             servers = MakeServers(2, "a");
  std::vector<Candidate> candidates(2);
  for (std::size_t i = 0; i < 2; ++i) candidates[i].server = &servers[i];
  candidates[0].holds_prefix = true;
  candidates[0].local_load = kSlots / 2;
  for (Candidate& each : candidates) each.prompt_tokens = 2000;
  const auto placement = MakePlacement(PlacementKind::kSoonestEnd, {});
  cr_expect_eq(placement->Choose(candidates, 0.5), 1);
  for (Candidate& each : candidates) each.memory_part = 0.4;
  cr_expect_eq(placement->Choose(candidates, 0.5), 0);
}

ServerPool PoolOf(const std::vector<BackendServer>& servers) {
  std::vector<const BackendServer*> all;
  all.reserve(servers.size());
  for (const BackendServer& server : servers) all.push_back(&server);
  ServerPool pool;
  pool.Assign(all, "a");
  return pool;
}

std::string PreferredServerOf(const ServerPool&  pool,
                              const std::string& program) {
  std::vector<Candidate> candidates;
  for (const auto* server : pool.Around(program, AffinityScope::kZone, 64)) {
    Candidate candidate;
    candidate.server = server;
    candidate.same_zone = true;
    candidates.push_back(candidate);
  }
  return PreferredServer(program, candidates, AffinityScope::kZone);
}

Test(ServerPool, PoolOfAnySize_QueriesAreBounded) {
  std::mt19937_64 random(1);
  for (const int count : {30, 3000}) {
    const auto        servers = MakeServers(count, "a");
    ServerPool        pool = PoolOf(servers);
    const std::size_t most = traffic::Sampling().most;
    const auto        drawn = pool.Draw(most, &random);
    cr_expect_eq(drawn.size(), std::min<std::size_t>(count, most));
    const std::set<const BackendServer*> distinct(drawn.begin(), drawn.end());
    cr_expect_eq(distinct.size(), drawn.size());
    const auto around = pool.Around("p", AffinityScope::kAllZones, 64);
    cr_expect_eq(around.size(), std::min<std::size_t>(count, 64));
  }
}

Test(ServerPool, ServerRemovedFromLargeService_FewOtherProgramsMove) {
  const auto                 servers = MakeServers(500, "a");
  std::vector<BackendServer> fewer(servers.begin() + 1, servers.end());
  const ServerPool           before = PoolOf(servers);
  const ServerPool           after = PoolOf(fewer);
  int                        moved = 0;
  constexpr int              kPrograms = 5000;
  for (int i = 0; i < kPrograms; ++i) {
    const std::string program = "program" + std::to_string(i);
    const std::string preferred = PreferredServerOf(before, program);
    if (preferred != servers.front().id &&
        preferred != PreferredServerOf(after, program))
      ++moved;
  }
  cr_expect_lt(moved, kPrograms / 200, "%d", moved);
}

Test(ServerPool, ZoneWithoutServers_NoneIsReturned) {
  const auto servers = MakeServers(3, "b");
  cr_expect(PoolOf(servers).Around("p", AffinityScope::kZone, 64).empty());
  cr_expect_eq(PoolOf(servers).Around("p", AffinityScope::kAllZones, 64).size(),
               3);
}

// One node's view of a service, with a manual clock.
class BackendsFixture {
 public:
  explicit BackendsFixture(int servers) : m_servers(MakeServers(servers, "a")) {
    Publish();
  }

  void Publish() {
    m_backends.Update(std::make_shared<traffic::ServerList>(m_servers));
  }
  void Wait(Time ms) {
    m_now += ms;
    m_loop.RunOnce(0);
  }
  void Observe(const std::string& id, double took) {
    m_backends.ObserveServiceTime(id, "", took);
  }
  double LoadOf(const std::string& id) { return Find(id).load; }
  double SlowdownOf(const std::string& id) { return Find(id).slowdown; }
  gateway::Backends::Choice Find(const std::string& id) {
    return *m_backends.Find(id, gateway::Backends::SendKind::kFree);
  }
  gateway::Backends&          backends() { return m_backends; }
  std::vector<BackendServer>& servers() { return m_servers; }

 private:
  Time                       m_now = 1000;
  net::EventLoop             m_loop{[this] { return m_now; }};
  gateway::Thresholds        m_thresholds;
  std::vector<BackendServer> m_servers;
  gateway::Backends          m_backends{
      &m_loop, &m_thresholds, "a",
      MakePlacement(PlacementKind::kSoonestEnd, m_thresholds.placement),
      std::make_shared<pressure::MemoryBudget>(m_thresholds.memory, 0)};
};

// Guards against a backlog of server lists when thousands of servers register
// while the loop is busy.
Test(Newest, ListsArriveFasterThanHandled_OnlyTheLastIsHandled) {
  Time             now = 1000;
  net::EventLoop   loop([&now] { return now; });
  std::vector<int> handled;
  net::Newest<int> newest(&loop, [&](int value) { handled.push_back(value); });
  for (int i = 0; i < 3000; ++i) newest.Put(i);
  loop.RunOnce(0);
  newest.Put(7);
  loop.RunOnce(0);
  cr_expect(handled == std::vector<int>({2999, 7}));
}

Test(Backends, PeersStopReporting_LastReportsCountUntilTheyExpire) {
  BackendsFixture                  fixture(2);
  gateway::Backends::ServerReports small_report;
  small_report["a0"].requests = 6;
  gateway::Backends::ServerReports large_report = small_report;
  large_report["a0"].requests = 12;
  fixture.backends().SetPeerReport("x", large_report);
  fixture.backends().SetPeerReport("x", small_report);
  fixture.backends().SetPeerReport("y", large_report);
  cr_expect_float_eq(fixture.LoadOf("a0"), 3.0, 1e-9);
  fixture.Wait(500);
  fixture.backends().SetPeerReport("y", small_report);
  fixture.Wait(500);
  fixture.backends().Sweep();
  cr_expect_float_eq(fixture.LoadOf("a0"), 1.0, 1e-9);
  fixture.Wait(1000);
  fixture.backends().Sweep();
  cr_expect_float_eq(fixture.LoadOf("a0"), 0.0, 1e-9);
}

Test(Backends, ServerRestartsUnderItsEntry_SlowdownIsReset) {
  BackendsFixture fixture(3);
  for (int i = 0; i < 100; ++i) {
    for (const auto& server : fixture.servers()) {
      fixture.Observe(server.id, server.id == "a2" ? 120 : 40);
    }
    fixture.Wait(20);
  }
  fixture.backends().Sweep();
  cr_expect_gt(fixture.SlowdownOf("a2"), 2.5);
  cr_expect_eq(fixture.backends().slow_servers(), 1);
  fixture.servers()[2].id = "a2, started again";
  fixture.Publish();
  cr_expect_float_eq(fixture.SlowdownOf("a2, started again"), 1.0, 1e-9);
  cr_expect_eq(fixture.backends().slow_servers(), 0);
}

}  // namespace
}  // namespace yuccawick::tests

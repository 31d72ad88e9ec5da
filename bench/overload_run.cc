#include "overload_run.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "yuccawick/admission/admission_controller.h"
#include "yuccawick/fairness/fair_share_policy.h"
#include "yuccawick/traffic/placement.h"

namespace yuccawick::bench {
namespace {

using net::Duration;
using net::Time;

constexpr Time   kStart = 1'000'000;  // arbitrary
constexpr int    kHomes = 8;
constexpr int    kNodes = 8;
constexpr int    kZones = 4;        // a quarter of servers and nodes each
constexpr double kNewsPause = 50;   // ms between what nodes and homes tell
constexpr double kWay = 12;         // ms from a client to a node, and back
constexpr double kPatience = 4000;  // ms that a client waits for a turn
constexpr int    kRestarts = 2;     // of a turn
constexpr double kDrain = 8000;     // ms after the last program asked
constexpr double kMsPerSecond = 1000;
constexpr int    kSharedTokens = 512;
constexpr ModelServerParameters kServer;

struct RouteShape {
  const char* name;
  int         priority;
  double      part;  // of the programs
  double      turns;
  int         most_turns;
  double      input;  // tokens a turn
  double      pause;  // ms, with tools
  double      aim_factor;
  double      aim_ms;
};
constexpr std::array<RouteShape, 2> kRoutes{
    RouteShape{"plan", 0, 0.6, 4, 8, 654, 110, 1.5, 200},
    RouteShape{"help", 2, 0.4, 11, 22, 327, 240, 1.2, 400},
};
constexpr double kMade = 73;  // tokens a turn
// Part of the places that programs of load 1 take, alone at the servers.
// Reading slows turns down: beyond, an open door serves fewer and fewer in
// time.
constexpr double kCarried = 0.65;

class Draw {
 public:
  explicit Draw(unsigned seed) : m_random(seed) {}
  double Uniform() {
    return static_cast<double>(m_random() >> 11U) * 0x1.0p-53;
  }
  double Exponential(double mean) { return -mean * std::log1p(-Uniform()); }
  // Between half and one and a half of the mean.
  std::int64_t Around(double mean) {
    return std::llround(mean * (0.5 + Uniform()));
  }

 private:
  std::mt19937_64 m_random;
};

OverloadProgram PlanProgram(double asks, int workspace, Draw* draw) {
  OverloadProgram program;
  program.asks = asks;
  program.route = draw->Uniform() < kRoutes[0].part ? 0 : 1;
  program.workspace = static_cast<std::size_t>(workspace);
  const RouteShape& route = kRoutes[program.route];
  const auto        turns =
      std::clamp<std::int64_t>(draw->Around(route.turns), 1, route.most_turns);
  double alone = 0;
  for (std::int64_t i = 0; i < turns; ++i) {
    PlannedTurn turn{draw->Around(route.input), draw->Around(kMade),
                     draw->Exponential(route.pause)};
    const ModelServerParameters server;
    const auto   read = turn.input + (i == 0 ? kSharedTokens : 0);
    const double work = static_cast<double>(read) / server.read_tokens_per_ms +
                        static_cast<double>(turn.made) * server.step_ms;
    program.work += work;
    alone += work + 2 * kWay + (i + 1 < turns ? turn.pause : 0);
    program.turns.push_back(turn);
  }
  program.aim = alone * route.aim_factor + route.aim_ms;
  return program;
}

// Programs a second that take kCarried of the places, by the shapes above.
double CarriedPerSecond() {
  const ModelServerParameters server;
  double                      work = 0;
  for (const RouteShape& route : kRoutes) {
    work +=
        route.part * (route.turns * (route.input / server.read_tokens_per_ms +
                                     kMade * server.step_ms));
  }
  return kCarried * kOverloadServers * static_cast<double>(server.slots) *
         kMsPerSecond / work;
}

std::vector<OverloadProgram> PlanPrograms(const Load& load) {
  Draw                         draw(load.seed);
  std::vector<OverloadProgram> programs;
  const double per_ms = load.base * CarriedPerSecond() / kMsPerSecond;
  for (int workspace = 0; workspace < load.workspaces; ++workspace) {
    const bool   swells = load.hot < 0 || load.hot == workspace;
    const double most = swells ? std::max(1.0, load.times) : 1.0;
    const double pause = load.workspaces / (per_ms * most);
    for (double at = draw.Exponential(pause); at < load.length;
         at += draw.Exponential(pause)) {
      const bool   within = at >= load.from && at < load.until;
      const double times = swells && within ? load.times : 1.0;
      if (draw.Uniform() * most < times)
        programs.push_back(PlanProgram(at, workspace, &draw));
    }
  }
  return programs;
}

// The homes of programs' tokens; each decides for the programs that hash to it,
// and knows what workspaces use by these alone.
class Homes {
 public:
  Homes(const OverloadSettings& settings, Time now) {
    for (int i = 0; i < kHomes; ++i) {
      m_shares.push_back(MakeShare(settings.door));
      m_rooms.push_back(std::make_unique<admission::AdmissionController>(
          &m_settings, m_shares.back().get(), now));
    }
  }

  admission::AdmissionController& Of(std::size_t program) {
    return *m_rooms[program % kHomes];
  }

  void TellEachOther(Time now) {
    for (int from = 0; from < kHomes; ++from) {
      const auto& uses =
          m_rooms[static_cast<std::size_t>(from)]->LocalUsageByPartition();
      for (int to = 0; to < kHomes; ++to) {
        if (to == from) continue;
        m_rooms[static_cast<std::size_t>(to)]->SetPeerUsage(
            "home-" + std::to_string(from), uses, now);
      }
    }
    for (auto& room : m_rooms) room->Sweep(now);
    for (const auto& from : m_shares) {
      const auto charges = from->TakeUnsent();
      for (const auto& to : m_shares) {
        if (to != from) to->MergePeer(charges, now);
      }
    }
  }

 private:
  static std::unique_ptr<fairness::FairnessPolicy> MakeShare(Door door) {
    if (door != Door::kShares)
      return std::make_unique<fairness::FirstComePolicy>();
    return std::make_unique<fairness::FairSharePolicy>(
        fairness::FairShareSettings{}, [](const std::string&) { return 0; });
  }

  admission::AdmissionSettings                                 m_settings;
  std::vector<std::unique_ptr<fairness::FairnessPolicy>>       m_shares;
  std::vector<std::unique_ptr<admission::AdmissionController>> m_rooms;
};

// The nodes' pictures of the servers: own turns now, others' as last told.
class Nodes {
 public:
  Nodes()
      : m_placement(traffic::MakePlacement(
            traffic::PlacementKind::kZoneAndPrefix, {})) {
    for (auto& node : m_own) node.fill(0);
    m_told = m_own;
    for (auto& server : m_servers) server.slots = ModelServerParameters{}.slots;
  }

  std::size_t Choose(std::size_t node, std::optional<std::size_t> warm,
                     std::int64_t prompt, double draw) const {
    std::vector<traffic::Candidate> candidates(kOverloadServers);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      traffic::Candidate& candidate = candidates[i];
      candidate.server = &m_servers[i];
      candidate.local_load = m_own[node][i];
      for (std::size_t other = 0; other < kNodes; ++other) {
        if (other != node) candidate.peer_load += m_told[other][i];
      }
      candidate.same_zone = i % kZones == node % kZones;
      candidate.holds_prefix = warm == i;
      candidate.prompt_tokens = prompt;
      candidate.memory_part = static_cast<double>(prompt) *
                              static_cast<double>(kServer.slots) /
                              static_cast<double>(kServer.memory);
    }
    return m_placement->Choose(candidates, draw);
  }
  void Sent(std::size_t node, std::size_t server) { ++m_own[node][server]; }
  void Ended(std::size_t node, std::size_t server) { --m_own[node][server]; }
  void TellEachOther() { m_told = m_own; }

 private:
  using Loads = std::array<std::array<int, kOverloadServers>, kNodes>;
  std::unique_ptr<traffic::Placement>                  m_placement;
  Loads                                                m_own{};
  Loads                                                m_told{};
  std::array<traffic::BackendServer, kOverloadServers> m_servers;
};

class Overload {
 public:
  Overload(const Load& load, const OverloadSettings& settings)
      : m_load(load), m_settings(settings), m_draw(load.seed + 1000) {
    for (std::size_t i = 0; i < kOverloadServers; ++i) {
      ModelServerParameters parameters;
      if (!settings.slowdowns.empty())
        parameters.slowdown = settings.slowdowns[i % settings.slowdowns.size()];
      m_servers.emplace_back(parameters);
    }
    m_result.programs = PlanPrograms(load);
    m_result.turns_of_server.assign(kOverloadServers, 0);
    m_clients.resize(m_result.programs.size());
  }

  OverloadResult Run() {
    for (std::size_t i = 0; i < m_clients.size(); ++i) {
      At(m_result.programs[i].asks + kWay, [this, i] { Ask(i); });
    }
    for (double now = 0; now < m_load.length + kDrain; now += 1) {
      m_now = now;
      RunDue();
      for (std::size_t i = 0; i < m_servers.size(); ++i) Serve(i);
      if (std::fmod(now, kNewsPause) == 0) TellEachOther();
    }
    for (const ModelServer& server : m_servers) {
      m_result.read += server.read();
      m_result.preempted += server.preempted();
    }
    return std::move(m_result);
  }

 private:
  struct Client {
    std::size_t                node = 0;
    std::size_t                turn = 0;
    int                        tries = 0;  // of this turn
    bool                       came_back = false;
    bool                       let_in = false;
    std::int64_t               history = 0;
    std::optional<std::size_t> server;   // of the last turn
    std::uint64_t              run = 0;  // under way; 0: none
  };

  Time Clock() const { return kStart + static_cast<Time>(m_now); }
  void At(double time, std::function<void()> what) {
    m_due.emplace(time, std::move(what));
  }
  void RunDue() {
    while (!m_due.empty() && m_due.begin()->first <= m_now) {
      const auto what = std::move(m_due.begin()->second);
      m_due.erase(m_due.begin());
      what();
    }
  }
  void TellEachOther() {
    m_nodes.TellEachOther();
    if (m_homes) m_homes->TellEachOther(Clock());
  }

  bool DoorOpen() {
    if (m_settings.door == Door::kOpen || m_now < m_settings.open_until)
      return true;
    if (!m_homes) m_homes.emplace(m_settings, Clock());
    return false;
  }

  admission::AdmissionRequest AskOf(std::size_t i) const {
    const OverloadProgram&      program = m_result.programs[i];
    const Client&               client = m_clients[i];
    const RouteShape&           route = kRoutes[program.route];
    const PlannedTurn&          turn = program.turns[client.turn];
    admission::AdmissionRequest ask;
    ask.program = "program-" + std::to_string(i);
    ask.service = "llm";
    ask.route = route.name;
    ask.workspace = "workspace-" + std::to_string(program.workspace);
    ask.priority = route.priority;
    ask.partition = static_cast<int>(i % kHomes);
    ask.under_way = client.turn > 0;
    ask.prompt_tokens = client.history + turn.input;
    ask.max_tokens = 2 * turn.made;
    ask.left = static_cast<Duration>(program.aim - (m_now - program.asks));
    return ask;
  }

  static capacity::ServiceCapacity AllRoom() {
    const ModelServerParameters server;
    return {kOverloadServers,
            static_cast<double>(kOverloadServers * server.slots),
            kOverloadServers * server.memory};
  }

  void Ask(std::size_t i) {
    Client& client = m_clients[i];
    if (client.turn == 0 && client.tries == 0) client.history = kSharedTokens;
    if (!DoorOpen()) {
      const auto ask = AskOf(i);
      const auto answer = m_homes->Of(i).TryAdmit(ask, AllRoom(), Clock());
      if (!answer.admitted) {
        Refuse(i, answer.retry_delay);
        return;
      }
      client.let_in = true;
    }
    Send(i);
  }

  void Refuse(std::size_t i, Duration retry) {
    Client& client = m_clients[i];
    if (client.came_back) {
      m_result.programs[i].outcome = Outcome::kRefused;
      return;
    }
    client.came_back = true;
    // Spread, so that they do not come back together.
    const double wait = static_cast<double>(retry) * (0.5 + m_draw.Uniform());
    At(m_now + 2 * kWay + wait, [this, i] { Ask(i); });
  }

  void Send(std::size_t i) {
    Client&            client = m_clients[i];
    const PlannedTurn& turn = m_result.programs[i].turns[client.turn];
    // Any node of the client's zone.
    client.node = i % kZones + kZones * static_cast<std::size_t>(
                                            m_draw.Uniform() * kNodes / kZones);
    const std::int64_t prompt = client.history + turn.input;
    const std::size_t  server =
        m_nodes.Choose(client.node, client.server, prompt, m_draw.Uniform());
    client.server = server;
    client.run = ++m_last_run;
    m_program_of[client.run] = i;
    m_nodes.Sent(client.node, server);
    m_servers[server].Start(client.run, i, prompt, turn.made);
    At(m_now + kPatience - 2 * kWay,
       [this, i, run = client.run] { GiveUp(i, run); });
  }

  void EndRun(std::size_t i) {
    Client& client = m_clients[i];
    m_program_of.erase(client.run);
    client.run = 0;
    m_nodes.Ended(client.node, *client.server);
  }

  void GiveUp(std::size_t i, std::uint64_t run) {
    Client& client = m_clients[i];
    if (client.run != run) return;
    m_servers[*client.server].Drop(run);
    EndRun(i);
    if (client.let_in) m_homes->Of(i).CancelAdmission(AskOf(i), Clock());
    client.let_in = false;
    if (client.tries++ == kRestarts) {
      m_result.programs[i].outcome = Outcome::kFailed;
      return;
    }
    At(m_now + 2 * kWay, [this, i] { Ask(i); });
  }

  void Serve(std::size_t number) {
    for (const auto& finished : m_servers[number].Advance(m_now)) {
      const std::size_t i = m_program_of[finished.run];
      ++m_result.turns_of_server[number];
      EndTurn(i);
    }
  }

  void EndTurn(std::size_t i) {
    Client&            client = m_clients[i];
    OverloadProgram&   program = m_result.programs[i];
    const PlannedTurn& turn = program.turns[client.turn];
    EndRun(i);
    if (client.let_in) m_homes->Of(i).OnTurnEnded(AskOf(i), turn.made, Clock());
    client.let_in = false;
    client.history += turn.input + turn.made;
    client.tries = 0;
    if (++client.turn == program.turns.size()) {
      const double took = m_now + kWay - program.asks;
      program.outcome = took <= program.aim ? Outcome::kInTime : Outcome::kLate;
      return;
    }
    At(m_now + 2 * kWay + turn.pause, [this, i] { Ask(i); });
  }

  Load                                         m_load;
  OverloadSettings                             m_settings;
  Draw                                         m_draw;
  double                                       m_now = 0;
  std::vector<ModelServer>                     m_servers;
  Nodes                                        m_nodes;
  std::optional<Homes>                         m_homes;
  std::vector<Client>                          m_clients;
  std::map<std::uint64_t, std::size_t>         m_program_of;  // by run
  std::multimap<double, std::function<void()>> m_due;
  std::uint64_t                                m_last_run = 0;
  OverloadResult                               m_result;
};

}  // namespace

std::string_view Name(Door door) {
  constexpr std::array<std::string_view, 3> kNames{"open", "room",
                                                   "room and shares"};
  return kNames[static_cast<std::size_t>(door)];
}

OverloadResult::Count OverloadResult::Of(double from, double until, int route,
                                         int but_workspace) const {
  Count count;
  for (const OverloadProgram& program : programs) {
    if (program.asks < from || program.asks >= until) continue;
    if (route >= 0 && static_cast<int>(program.route) != route) continue;
    if (static_cast<int>(program.workspace) == but_workspace) continue;
    ++count.asked;
    switch (program.outcome) {
      case Outcome::kInTime:
        ++count.in_time;
        count.goodput += program.work / (until - from);
        break;
      case Outcome::kRefused:
        ++count.refused;
        break;
      case Outcome::kFailed:
        ++count.failed;
        break;
      case Outcome::kLate:
      case Outcome::kUnderWay:
        ++count.late;
        break;
    }
  }
  return count;
}

OverloadResult RunOverload(const Load& load, const OverloadSettings& settings) {
  return Overload(load, settings).Run();
}

}  // namespace yuccawick::bench

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
constexpr int    kCoordinators = 8;
constexpr int    kNodes = 8;
constexpr int    kZones = 4;             // servers and nodes are spread evenly
constexpr double kReportInterval = 50;   // ms, of nodes and coordinators
constexpr double kNetworkDelay = 12;     // ms, one way between client and node
constexpr double kClientTimeout = 4000;  // ms per attempt of a turn
constexpr int    kMaxRetries = 2;        // of a turn
constexpr double kDrainTime = 8000;      // ms after the end of the load
constexpr double kMsPerSecond = 1000;
constexpr int    kSharedTokens = 512;
constexpr ModelServerParameters kServer;

struct RouteShape {
  const char* name;
  int         priority;
  double      fraction;  // of all programs
  double      turns;
  int         max_turns;
  double      input;       // tokens a turn
  double      think_time;  // mean, ms
  double      goal_factor;
  double      goal_ms;
};
constexpr std::array<RouteShape, 2> kRoutes{
    RouteShape{"plan", 0, 0.6, 4, 8, 654, 110, 1.5, 200},
    RouteShape{"help", 2, 0.4, 11, 22, 327, 240, 1.2, 400},
};
constexpr double kOutputTokens = 73;  // tokens a turn
// Fraction of the slots that programs of load 1 use. It is below 1 because
// prefill slows down all runs of a server.
constexpr double kSlotUtilization = 0.65;

class Random {
 public:
  explicit Random(unsigned seed) : m_random(seed) {}
  double Uniform() {
    return static_cast<double>(m_random() >> 11U) * 0x1.0p-53;
  }
  double Exponential(double mean) { return -mean * std::log1p(-Uniform()); }
  // Uniform between 0.5 and 1.5 times the mean.
  std::int64_t NearMean(double mean) {
    return std::llround(mean * (0.5 + Uniform()));
  }

 private:
  std::mt19937_64 m_random;
};

OverloadProgram PlanProgram(double arrival, int workspace, Random* rng) {
  OverloadProgram program;
  program.arrival = arrival;
  program.route = rng->Uniform() < kRoutes[0].fraction ? 0 : 1;
  program.workspace = static_cast<std::size_t>(workspace);
  const RouteShape& route = kRoutes[program.route];
  const auto        turns =
      std::clamp<std::int64_t>(rng->NearMean(route.turns), 1, route.max_turns);
  double unloaded_latency = 0;
  for (std::int64_t i = 0; i < turns; ++i) {
    PlannedTurn turn{rng->NearMean(route.input), rng->NearMean(kOutputTokens),
                     rng->Exponential(route.think_time)};
    const ModelServerParameters server;
    const auto   prompt = turn.input + (i == 0 ? kSharedTokens : 0);
    const double work =
        static_cast<double>(prompt) / server.prefill_tokens_per_ms +
        static_cast<double>(turn.output_tokens) * server.step_ms;
    program.work += work;
    unloaded_latency +=
        work + 2 * kNetworkDelay + (i + 1 < turns ? turn.think_time : 0);
    program.turns.push_back(turn);
  }
  program.latency_goal = unloaded_latency * route.goal_factor + route.goal_ms;
  return program;
}

// Programs per second that use kSlotUtilization of all slots.
double BaseProgramsPerSecond() {
  const ModelServerParameters server;
  double                      work = 0;
  for (const RouteShape& route : kRoutes) {
    work += route.fraction *
            (route.turns * (route.input / server.prefill_tokens_per_ms +
                            kOutputTokens * server.step_ms));
  }
  return kSlotUtilization * kOverloadServers *
         static_cast<double>(server.slots) * kMsPerSecond / work;
}

std::vector<OverloadProgram> PlanPrograms(const Load& load) {
  Random                       rng(load.seed);
  std::vector<OverloadProgram> programs;
  const double per_ms = load.base * BaseProgramsPerSecond() / kMsPerSecond;
  for (int workspace = 0; workspace < load.workspaces; ++workspace) {
    const bool   has_burst = load.hot < 0 || load.hot == workspace;
    const double max_factor = has_burst ? std::max(1.0, load.factor) : 1.0;
    const double mean_interval = load.workspaces / (per_ms * max_factor);
    for (double at = rng.Exponential(mean_interval); at < load.length;
         at += rng.Exponential(mean_interval)) {
      const bool   in_burst = at >= load.from && at < load.until;
      const double factor = has_burst && in_burst ? load.factor : 1.0;
      if (rng.Uniform() * max_factor < factor)
        programs.push_back(PlanProgram(at, workspace, &rng));
    }
  }
  return programs;
}

// Coordinators, each of which admits the programs that hash to it and knows the
// usage of the others only from their reports.
class Coordinators {
 public:
  Coordinators(const OverloadSettings& settings, Time now) {
    for (int i = 0; i < kCoordinators; ++i) {
      m_fairness.push_back(MakeFairnessPolicy(settings.mode));
      m_controllers.push_back(std::make_unique<admission::AdmissionController>(
          &m_settings, m_fairness.back().get(), now));
    }
  }

  admission::AdmissionController& For(std::size_t program) {
    return *m_controllers[program % kCoordinators];
  }

  void ExchangeReports(Time now) {
    for (int from = 0; from < kCoordinators; ++from) {
      const auto& usage = m_controllers[static_cast<std::size_t>(from)]
                              ->LocalUsageByPartition();
      for (int to = 0; to < kCoordinators; ++to) {
        if (to == from) continue;
        m_controllers[static_cast<std::size_t>(to)]->SetPeerUsage(
            "home-" + std::to_string(from), usage, now);
      }
    }
    for (auto& controller : m_controllers) controller->Sweep(now);
    for (const auto& from : m_fairness) {
      const auto charges = from->TakeUnsent();
      for (const auto& to : m_fairness) {
        if (to != from) to->MergePeer(charges, now);
      }
    }
  }

 private:
  static std::unique_ptr<fairness::FairnessPolicy> MakeFairnessPolicy(
      AdmissionMode mode) {
    if (mode != AdmissionMode::kFairShare)
      return std::make_unique<fairness::FirstComePolicy>();
    return std::make_unique<fairness::FairSharePolicy>(
        fairness::FairShareSettings{}, [](const std::string&) { return 0; });
  }

  admission::AdmissionSettings                                 m_settings;
  std::vector<std::unique_ptr<fairness::FairnessPolicy>>       m_fairness;
  std::vector<std::unique_ptr<admission::AdmissionController>> m_controllers;
};

// Server load as each node sees it: its own turns, which are current, and the
// turns of other nodes as last reported.
class Nodes {
 public:
  Nodes()
      : m_placement(traffic::MakePlacement(
            traffic::PlacementKind::kZoneAndPrefix, {})) {
    for (auto& node : m_local) node.fill(0);
    m_reported = m_local;
    for (auto& server : m_servers) server.slots = ModelServerParameters{}.slots;
  }

  std::size_t Choose(std::size_t node, std::optional<std::size_t> last_server,
                     std::int64_t prompt, double random) const {
    std::vector<traffic::Candidate> candidates(kOverloadServers);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      traffic::Candidate& candidate = candidates[i];
      candidate.server = &m_servers[i];
      candidate.local_load = m_local[node][i];
      for (std::size_t other = 0; other < kNodes; ++other) {
        if (other != node) candidate.peer_load += m_reported[other][i];
      }
      candidate.same_zone = i % kZones == node % kZones;
      candidate.holds_prefix = last_server == i;
      candidate.prompt_tokens = prompt;
      candidate.memory_part = static_cast<double>(prompt) *
                              static_cast<double>(kServer.slots) /
                              static_cast<double>(kServer.memory_tokens);
    }
    return m_placement->Choose(candidates, random);
  }
  void OnSent(std::size_t node, std::size_t server) { ++m_local[node][server]; }
  void OnEnded(std::size_t node, std::size_t server) {
    --m_local[node][server];
  }
  void ExchangeReports() { m_reported = m_local; }

 private:
  using Loads = std::array<std::array<int, kOverloadServers>, kNodes>;
  std::unique_ptr<traffic::Placement>                  m_placement;
  Loads                                                m_local{};
  Loads                                                m_reported{};
  std::array<traffic::BackendServer, kOverloadServers> m_servers;
};

class Simulation {
 public:
  Simulation(const Load& load, const OverloadSettings& settings)
      : m_load(load), m_settings(settings), m_rng(load.seed + 1000) {
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
      Schedule(m_result.programs[i].arrival + kNetworkDelay,
               [this, i] { RequestAdmission(i); });
    }
    for (double now = 0; now < m_load.length + kDrainTime; now += 1) {
      m_now = now;
      RunDueEvents();
      for (std::size_t i = 0; i < m_servers.size(); ++i) AdvanceServer(i);
      if (std::fmod(now, kReportInterval) == 0) ExchangeReports();
    }
    for (const ModelServer& server : m_servers) {
      m_result.prefilled += server.prefilled();
      m_result.preempted += server.preempted();
    }
    return std::move(m_result);
  }

 private:
  struct Client {
    std::size_t                node = 0;
    std::size_t                turn = 0;
    int                        attempts = 0;  // of the current turn
    bool                       has_retried = false;
    bool                       holds_admission = false;
    std::int64_t               history = 0;
    std::optional<std::size_t> server;   // of the last turn
    std::uint64_t              run = 0;  // of the current turn; 0: none
  };

  Time Now() const { return kStart + static_cast<Time>(m_now); }
  void Schedule(double time, std::function<void()> action) {
    m_events.emplace(time, std::move(action));
  }
  void RunDueEvents() {
    while (!m_events.empty() && m_events.begin()->first <= m_now) {
      const auto action = std::move(m_events.begin()->second);
      m_events.erase(m_events.begin());
      action();
    }
  }
  void ExchangeReports() {
    m_nodes.ExchangeReports();
    if (m_coordinators) m_coordinators->ExchangeReports(Now());
  }

  bool AdmitsAll() {
    if (m_settings.mode == AdmissionMode::kAdmitAll ||
        m_now < m_settings.admit_all_until)
      return true;
    if (!m_coordinators) m_coordinators.emplace(m_settings, Now());
    return false;
  }

  admission::AdmissionRequest MakeRequest(std::size_t i) const {
    const OverloadProgram&      program = m_result.programs[i];
    const Client&               client = m_clients[i];
    const RouteShape&           route = kRoutes[program.route];
    const PlannedTurn&          turn = program.turns[client.turn];
    admission::AdmissionRequest request;
    request.program = "program-" + std::to_string(i);
    request.service = "llm";
    request.route = route.name;
    request.workspace = "workspace-" + std::to_string(program.workspace);
    request.priority = route.priority;
    request.partition = static_cast<int>(i % kCoordinators);
    request.under_way = client.turn > 0;
    request.prompt_tokens = client.history + turn.input;
    request.max_tokens = 2 * turn.output_tokens;
    request.left =
        static_cast<Duration>(program.latency_goal - (m_now - program.arrival));
    return request;
  }

  static capacity::ServiceCapacity TotalCapacity() {
    const ModelServerParameters server;
    return {kOverloadServers,
            static_cast<double>(kOverloadServers * server.slots),
            kOverloadServers * server.memory_tokens};
  }

  void RequestAdmission(std::size_t i) {
    Client& client = m_clients[i];
    if (client.turn == 0 && client.attempts == 0)
      client.history = kSharedTokens;
    if (!AdmitsAll()) {
      const auto request = MakeRequest(i);
      const auto decision =
          m_coordinators->For(i).TryAdmit(request, TotalCapacity(), Now());
      if (!decision.admitted) {
        OnRefused(i, decision.retry_delay);
        return;
      }
      client.holds_admission = true;
    }
    StartTurn(i);
  }

  void OnRefused(std::size_t i, Duration retry) {
    Client& client = m_clients[i];
    if (client.has_retried) {
      m_result.programs[i].outcome = Outcome::kRefused;
      return;
    }
    client.has_retried = true;
    // Jitter prevents synchronized retries.
    const double wait = static_cast<double>(retry) * (0.5 + m_rng.Uniform());
    Schedule(m_now + 2 * kNetworkDelay + wait,
             [this, i] { RequestAdmission(i); });
  }

  void StartTurn(std::size_t i) {
    Client&            client = m_clients[i];
    const PlannedTurn& turn = m_result.programs[i].turns[client.turn];
    // A random node in the client's zone.
    client.node = i % kZones + kZones * static_cast<std::size_t>(
                                            m_rng.Uniform() * kNodes / kZones);
    const std::int64_t prompt = client.history + turn.input;
    const std::size_t  server =
        m_nodes.Choose(client.node, client.server, prompt, m_rng.Uniform());
    client.server = server;
    client.run = ++m_last_run;
    m_program_of[client.run] = i;
    m_nodes.OnSent(client.node, server);
    m_servers[server].Start(client.run, i, prompt, turn.output_tokens);
    Schedule(m_now + kClientTimeout - 2 * kNetworkDelay,
             [this, i, run = client.run] { OnClientTimeout(i, run); });
  }

  void EndRun(std::size_t i) {
    Client& client = m_clients[i];
    m_program_of.erase(client.run);
    client.run = 0;
    m_nodes.OnEnded(client.node, *client.server);
  }

  void OnClientTimeout(std::size_t i, std::uint64_t run) {
    Client& client = m_clients[i];
    if (client.run != run) return;
    m_servers[*client.server].Drop(run);
    EndRun(i);
    if (client.holds_admission)
      m_coordinators->For(i).CancelAdmission(MakeRequest(i), Now());
    client.holds_admission = false;
    if (client.attempts++ == kMaxRetries) {
      m_result.programs[i].outcome = Outcome::kFailed;
      return;
    }
    Schedule(m_now + 2 * kNetworkDelay, [this, i] { RequestAdmission(i); });
  }

  void AdvanceServer(std::size_t number) {
    for (const auto& finished : m_servers[number].Advance(m_now)) {
      const std::size_t i = m_program_of[finished.run];
      ++m_result.turns_of_server[number];
      OnTurnFinished(i);
    }
  }

  void OnTurnFinished(std::size_t i) {
    Client&            client = m_clients[i];
    OverloadProgram&   program = m_result.programs[i];
    const PlannedTurn& turn = program.turns[client.turn];
    EndRun(i);
    if (client.holds_admission)
      m_coordinators->For(i).OnTurnEnded(MakeRequest(i), turn.output_tokens,
                                         Now());
    client.holds_admission = false;
    client.history += turn.input + turn.output_tokens;
    client.attempts = 0;
    if (++client.turn == program.turns.size()) {
      const double latency = m_now + kNetworkDelay - program.arrival;
      program.outcome =
          latency <= program.latency_goal ? Outcome::kInTime : Outcome::kLate;
      return;
    }
    Schedule(m_now + 2 * kNetworkDelay + turn.think_time,
             [this, i] { RequestAdmission(i); });
  }

  Load                                         m_load;
  OverloadSettings                             m_settings;
  Random                                       m_rng;
  double                                       m_now = 0;
  std::vector<ModelServer>                     m_servers;
  Nodes                                        m_nodes;
  std::optional<Coordinators>                  m_coordinators;
  std::vector<Client>                          m_clients;
  std::map<std::uint64_t, std::size_t>         m_program_of;  // by run number
  std::multimap<double, std::function<void()>> m_events;
  std::uint64_t                                m_last_run = 0;
  OverloadResult                               m_result;
};

}  // namespace

std::string_view Name(AdmissionMode mode) {
  constexpr std::array<std::string_view, 3> kNames{"open", "room",
                                                   "room and shares"};
  return kNames[static_cast<std::size_t>(mode)];
}

OverloadResult::Count OverloadResult::CountPrograms(
    double from, double until, int route, int excluded_workspace) const {
  Count count;
  for (const OverloadProgram& program : programs) {
    if (program.arrival < from || program.arrival >= until) continue;
    if (route >= 0 && static_cast<int>(program.route) != route) continue;
    if (static_cast<int>(program.workspace) == excluded_workspace) continue;
    ++count.arrived;
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
  return Simulation(load, settings).Run();
}

}  // namespace yuccawick::bench

#include "policy_run.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <optional>
#include <queue>
#include <set>

#include "yuccawick/core/executor.h"

namespace yuccawick::bench {
namespace {

constexpr core::Time     kStart = 1'000'000;  // arbitrary
constexpr core::Duration kStep = 5;           // ms
constexpr core::Duration kTick = 50;
constexpr core::Duration kPrefixHold = 1'200'000;
constexpr core::Duration kFaultTime = 30'000;            // ms into the run
constexpr core::Duration kFailureDetectionDelay = 2500;  // ms
constexpr double         kSlowdownFactor = 4;
constexpr double         kMsPerSecond = 1000;
constexpr double         kMsPerMinute = 60'000;

struct Server {
  core::NodeRef                   node;
  core::Outbox                    outbox;
  std::unique_ptr<core::Executor> executor;
  std::unique_ptr<EngineModel>    engine;
  core::Duration                  known_load = 0;
  core::Tokens                    known_resident = 0;
  bool                            alive = true;
};

struct Program {
  const PlannedProgram*               plan = nullptr;
  core::ProgramId                     id;
  std::size_t                         next_call = 0;  // index of the next call
  core::Tokens                        history = 0;
  core::Tokens                        attained = 0;
  std::size_t                         coordinator = 0;
  std::map<std::size_t, core::Tokens> prefixes;
  bool                                has_coordinator = false;
  bool                                done = false;
  bool                                in_time = false;
  std::size_t                         server = 0;  // of the running call
  std::uint64_t  dispatch = 0;  // of the running call; 0: none
  core::Duration latency = 0;
};

class Simulation {
 public:
  Simulation(const Scenario& scenario, const Policy& policy,
             const RunSettings& settings)
      : m_scenario(scenario), m_policy(policy), m_settings(settings) {
    for (int i = 0; i < scenario.servers; ++i) AddServer(i);
    for (std::size_t i = 0; i < scenario.programs.size(); ++i) {
      Program program;
      program.plan = &scenario.programs[i];
      program.id = {{"bench", 1}, i + 1};
      program.history = program.plan->history;
      m_programs.push_back(program);
      ++m_unfinished;
      Schedule(kStart + program.plan->arrival, i);
    }
  }

  RunResult Run() {
    const core::Time end = kStart + m_settings.max_duration;
    for (m_now = kStart; m_now < end && m_unfinished > 0; m_now += kStep) {
      InjectFault();
      while (!m_events.empty() && m_events.top().first <= m_now) {
        const std::size_t index = m_events.top().second;
        m_events.pop();
        SendNextCall(index);
      }
      for (std::size_t i = 0; i < m_servers.size(); ++i) AdvanceServer(i);
    }
    return Result();
  }

 private:
  void AddServer(int number) {
    auto server = std::make_unique<Server>();
    server->node = {"server-" + std::to_string(number), 1};
    core::ExecutorSettings settings;
    settings.slots = EngineParameters{}.max_batch;
    settings.decode_tokens_per_ms = 1 / 34.0;
    settings.prefix_hold = kPrefixHold;
    if (m_policy.limit_prefixes)
      settings.prefix_tokens = EngineParameters{}.cache_tokens;
    server->executor = std::make_unique<core::Executor>(
        server->node, settings, core::Safeguards::All(), m_policy.queue,
        server->outbox);
    server->executor->OnJoined(0);
    server->engine = std::make_unique<EngineModel>(EngineParameters{});
    m_servers.push_back(std::move(server));
  }

  void Schedule(core::Time time, std::size_t program) {
    m_events.push({time, program});
  }

  void InjectFault() {
    if (m_settings.fault == Fault::kNone || m_fault_injected) return;
    if (m_now < kStart + kFaultTime) return;
    m_fault_injected = true;
    Server& first = *m_servers.front();
    if (m_settings.fault == Fault::kEngineSlowdown) {
      first.engine->SetSlowdown(kSlowdownFactor);
      return;
    }
    first.alive = false;
    first.engine->Reset();
    for (std::size_t i = 0; i < m_programs.size(); ++i) {
      Program& program = m_programs[i];
      program.prefixes.erase(0);
      if (program.coordinator == 0) program.has_coordinator = false;
      if (program.dispatch == 0 || program.server != 0) continue;
      // Its call is sent again once the failure has been detected.
      program.dispatch = 0;
      Schedule(m_now + kFailureDetectionDelay, i);
    }
  }

  std::vector<core::RouteCandidate> Candidates(const Program& program) {
    std::vector<core::RouteCandidate> candidates;
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
      core::RouteCandidate candidate;
      candidate.usable = m_servers[i]->alive;
      candidate.is_coordinator =
          program.has_coordinator && program.coordinator == i;
      // A coordinator knows its own load exactly, others' as last reported.
      candidate.wait = candidate.is_coordinator
                           ? m_servers[i]->executor->LoadMs()
                           : m_servers[i]->known_load;
      candidate.resident = m_servers[i]->known_resident;
      const auto prefix = program.prefixes.find(i);
      if (prefix != program.prefixes.end()) candidate.cached = prefix->second;
      candidates.push_back(candidate);
    }
    return candidates;
  }

  void SendNextCall(std::size_t index) {
    Program& program = m_programs[index];
    if (program.done) return;
    const PlannedProgram& plan = *program.plan;
    const core::Time      expires = kStart + plan.arrival + plan.time_limit;
    if (m_now >= expires) return Finish(index, false);
    core::RouteRequest request;
    request.prompt = program.history;
    request.cache_weight = m_scenario.contract.cache_weight;
    const int  chosen = m_policy.route.Choose(request, Candidates(program));
    const auto at = static_cast<std::size_t>(chosen);
    if (!program.has_coordinator) {
      program.coordinator = at;
      program.has_coordinator = true;
    }
    program.server = at;
    const PlannedCall& call = plan.calls[program.next_call];
    const auto&    service = m_scenario.contract.classes[plan.service_class];
    core::Dispatch dispatch;
    dispatch.dispatch = ++m_dispatches;
    dispatch.executor = m_servers[at]->node;
    dispatch.call.program = program.id;
    dispatch.call.sequence = static_cast<core::Sequence>(program.next_call + 1);
    dispatch.call.body.assign(
        static_cast<std::size_t>(call.input * core::kBytesPerToken), 'u');
    dispatch.call.max_tokens = call.output;
    dispatch.call.deadline = expires;
    dispatch.prompt.assign(
        static_cast<std::size_t>(program.history * core::kBytesPerToken), 'h');
    dispatch.priority = service.priority;
    dispatch.max_wait = service.max_wait;
    dispatch.attained = program.attained;
    dispatch.cache_weight = m_scenario.contract.cache_weight;
    dispatch.started = kStart + plan.arrival;
    m_program_of[dispatch.dispatch] = index;
    program.dispatch = dispatch.dispatch;
    m_servers[at]->executor->OnDispatch({"home", 1}, dispatch, m_now);
    ExecuteCommands(at);
  }

  void AdvanceServer(std::size_t i) {
    Server& server = *m_servers[i];
    if (!server.alive) return;
    for (const auto run : server.engine->Advance(static_cast<double>(m_now))) {
      core::RunDone done;
      done.run = run;
      done.ok = true;
      server.executor->OnRunDone(done, m_now);
    }
    if (m_now % kTick == 0) server.executor->OnTick(m_now);
    if (m_now % m_settings.load_lag == 0) {
      server.known_load = server.executor->LoadMs();
      server.known_resident = server.executor->ResidentTokens();
    }
    ExecuteCommands(i);
  }

  void ExecuteCommands(std::size_t at) {
    Server& server = *m_servers[at];
    for (const auto& command : server.outbox.Take()) {
      if (const auto* run = std::get_if<core::RunCall>(&command)) {
        const core::Tokens prompt = core::EstimateTokens(run->prompt) +
                                    core::EstimateTokens(run->call.body);
        server.engine->Start(run->run, run->call.program, prompt,
                             run->call.max_tokens);
      }
      if (const auto* release = std::get_if<core::ReleasePrefix>(&command)) {
        if (release->program.IsSet()) server.engine->Release(release->program);
      }
      const auto* send = std::get_if<core::SendMessage>(&command);
      if (send == nullptr) continue;
      if (const auto* reply = std::get_if<core::DispatchReply>(&send->message))
        OnReply(at, *reply);
    }
  }

  void OnReply(std::size_t at, const core::DispatchReply& reply) {
    const auto found = m_program_of.find(reply.dispatch);
    if (found == m_program_of.end()) return;
    const std::size_t index = found->second;
    m_program_of.erase(found);
    Program& program = m_programs[index];
    if (program.dispatch != reply.dispatch) return;
    program.dispatch = 0;
    if (!reply.ok) {
      ++m_refusals[std::string(core::Name(reply.failure.reason))];
      // The caller retries after the retry delay it received.
      return Schedule(
          m_now + std::max<core::Duration>(100, reply.failure.retry_after),
          index);
    }
    const PlannedCall& call = program.plan->calls[program.next_call];
    program.history += call.input + call.output;
    program.attained += call.input + call.output;
    program.prefixes[at] = program.history;
    ++program.next_call;
    if (program.next_call == program.plan->calls.size())
      return Finish(index, true);
    Schedule(m_now + call.tool_time, index);
  }

  void Finish(std::size_t index, bool complete) {
    Program&             program = m_programs[index];
    const core::Duration latency_ms = m_now - kStart - program.plan->arrival;
    program.done = true;
    program.in_time = complete && latency_ms <= program.plan->time_limit;
    program.latency = program.in_time ? latency_ms : program.plan->time_limit;
    --m_unfinished;
    for (auto& server : m_servers) {
      server->executor->OnRelease(program.id);
      server->engine->Release(program.id);
    }
  }

  static double Quantile(const std::vector<core::Duration>& sorted, double q) {
    const auto last = static_cast<double>(sorted.size() - 1);
    return static_cast<double>(
               sorted[static_cast<std::size_t>(std::floor(q * last))]) /
           kMsPerSecond;
  }

  double FirstClassP95() const {
    const auto& classes = m_scenario.contract.classes;
    const auto  first = std::min_element(classes.begin(), classes.end(),
                                         [](const auto& a, const auto& b) {
                                          return a.priority < b.priority;
                                        }) -
                       classes.begin();
    std::vector<core::Duration> latencies;
    for (const auto& program : m_programs) {
      if (program.plan->service_class != static_cast<std::size_t>(first))
        continue;
      latencies.push_back(program.done ? program.latency
                                       : program.plan->time_limit);
    }
    std::sort(latencies.begin(), latencies.end());
    return Quantile(latencies, 0.95);
  }

  RunResult Result() {
    RunResult                   result;
    std::vector<core::Duration> latencies;
    core::Tokens                needed = 0;
    core::Time                  last = kStart;
    result.policy = m_policy.name;
    result.programs = m_programs.size();
    for (const auto& program : m_programs) {
      result.finished += program.in_time ? 1 : 0;
      latencies.push_back(program.done ? program.latency
                                       : program.plan->time_limit);
      if (program.done)
        last = std::max(last, kStart + program.plan->arrival + program.latency);
      // Computed under any policy: the initial history and the inputs of all
      // finished calls.
      core::Tokens inputs = program.next_call > 0 ? program.plan->history : 0;
      for (std::size_t i = 0; i < program.next_call; ++i)
        inputs += program.plan->calls[i].input;
      needed += inputs;
    }
    for (const auto& server : m_servers)
      result.computed += server->engine->computed();
    result.wasted = std::max<core::Tokens>(0, result.computed - needed);
    std::sort(latencies.begin(), latencies.end());
    result.first_class_p95 = FirstClassP95();
    result.p50 = Quantile(latencies, 0.50);
    result.p95 = Quantile(latencies, 0.95);
    result.p99 = Quantile(latencies, 0.99);
    result.goodput = static_cast<double>(result.finished) * kMsPerMinute /
                     static_cast<double>(last - kStart);
    result.refusals = m_refusals;
    return result;
  }

  const Scenario&                      m_scenario;
  const Policy&                        m_policy;
  RunSettings                          m_settings;
  core::Time                           m_now = kStart;
  std::vector<std::unique_ptr<Server>> m_servers;
  std::vector<Program>                 m_programs;
  std::size_t                          m_unfinished = 0;
  std::uint64_t                        m_dispatches = 0;
  bool                                 m_fault_injected = false;
  std::map<std::uint64_t, std::size_t> m_program_of;  // by dispatch
  std::map<std::string, int>           m_refusals;
  using Event = std::pair<core::Time, std::size_t>;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
};

}  // namespace

RunResult RunPolicy(const Scenario& scenario, const Policy& policy,
                    const RunSettings& settings) {
  return Simulation(scenario, policy, settings).Run();
}

}  // namespace yuccawick::bench

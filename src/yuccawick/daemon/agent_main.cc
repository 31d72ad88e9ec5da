// yw-agent: the server agent, one per backend server.
//
// Exit codes: 0 stopped on request, 2 invalid settings, 3 superseded (another
// agent has claimed this one's programs; the platform starts the next
// incarnation).
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <gflags/gflags.h>

#include <atomic>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>

#include "yuccawick/backends/backend_client.h"
#include "yuccawick/core/agent.h"
#include "yuccawick/daemon/node_flags.h"
#include "yuccawick/daemon/node_shell.h"
#include "yuccawick/daemon/settings.h"
#include "yuccawick/daemon/status_server.h"

DEFINE_string(backend, "", "host:port of the backend server of this agent");
DEFINE_string(kind, "model", "kind of backend server: model or service");
DEFINE_string(target, "", "name of the model or service it serves");
DEFINE_int32(slots, 0, "concurrent calls; 0: 8 for models, 1 for services");
DEFINE_int32(replicas, 2, "replicas of each program in other zones");
DEFINE_int32(flush_ms, 4000, "interval between appends of history, in ms");
DEFINE_int32(prefix_tokens, 0,
             "engine memory for prefixes, in tokens; 0: unknown");
DEFINE_int32(prefix_hold_ms, 120000,
             "time an unused prefix stays in engine memory, in ms");
DEFINE_int32(snapshot_ms, 3600000,
             "interval between control snapshots, in ms; must be below a third "
             "of the log's retention");
DEFINE_int32(
    call_timeout_ms, 120000,
    "longest time without data from the backend server in a call, in ms");

namespace yuccawick::daemon {
namespace {

constexpr int            kExitSuperseded = 3;
constexpr int            kModelSlots = 8;
constexpr int            kStatusThreads = 4;
constexpr int            kMaxMs = 86'400'000;
// Assumed prefill speed of an engine.
constexpr double         kPrefillTokensPerMs = 10;
// Weights of the cache-aware route policy: the advantage in ms that another
// server must have, and the cost in ms of 1000 resident tokens.
constexpr core::Duration kRouteMarginMs = 5000;
constexpr double         kResidentCostMs = 30;

std::vector<SettingRule> Rules() {
  using Kind = SettingKind;
  return NodeRules({{"backend", Kind::kEndpoint},
                    {"kind", Kind::kChoice, 0, 0, true, {"model", "service"}},
                    {"target", Kind::kName},
                    {"slots", Kind::kNumber, 0, 1024},
                    {"replicas", Kind::kNumber, 0, 3},
                    {"flush_ms", Kind::kNumber, 20, 60000},
                    {"prefix_tokens", Kind::kNumber, 0, 1'000'000'000},
                    {"prefix_hold_ms", Kind::kNumber, 100, kMaxMs},
                    {"snapshot_ms", Kind::kNumber, 1000, kMaxMs},
                    {"call_timeout_ms", Kind::kNumber, 100, 3600000}});
}

std::vector<SettingError> Contradictions() {
  auto errors = NodeContradictions();
  if (FLAGS_kind == "service" && FLAGS_slots > 1) {
    errors.push_back({SettingFault::kContradiction, "slots",
                      "a service handles one call at a time"});
  }
  return errors;
}

bool IsService() { return FLAGS_kind == "service"; }

int Slots() {
  if (FLAGS_slots > 0) return FLAGS_slots;
  return IsService() ? 1 : kModelSlots;
}

core::AgentSettings MakeSettings(const core::NodeRef& self) {
  core::AgentSettings settings;
  settings.join.node = self;
  settings.join.zone = FLAGS_zone;
  settings.join.kind =
      IsService() ? core::BackendKind::kService : core::BackendKind::kModel;
  settings.join.target = FLAGS_target;
  settings.join.address = FLAGS_listen;
  settings.join.server = FLAGS_backend;
  settings.replicas = static_cast<std::size_t>(FLAGS_replicas);
  settings.control = MakeControlSettings();
  settings.control.snapshot_interval = FLAGS_snapshot_ms;
  settings.membership = MakeMembershipSettings();
  settings.durability.flush_interval = FLAGS_flush_ms;
  settings.executor.kind = settings.join.kind;
  settings.executor.slots = static_cast<std::size_t>(Slots());
  settings.executor.prefix_tokens = FLAGS_prefix_tokens;
  settings.executor.prefix_hold = FLAGS_prefix_hold_ms;
  settings.executor.prefill_tokens_per_ms = kPrefillTokensPerMs;
  return settings;
}

class AgentDecider : public Decider {
 public:
  AgentDecider(core::AgentSettings settings, const core::QueuePolicy& queue,
               const core::RoutePolicy& route)
      : m_agent(std::move(settings), core::Safeguards::All(), queue, route) {}

  std::vector<core::Command> Handle(core::Time         now,
                                    const core::Event& event) override {
    return m_agent.Handle(now, event);
  }
  const core::Control& control() const override { return m_agent.control(); }

  std::string Status() const override {
    Poco::JSON::Object     json(Poco::JSON_PRESERVE_KEY_ORDER);
    Poco::JSON::Array::Ptr replicas = new Poco::JSON::Array;
    for (const auto& node : m_agent.durability().Replicas())
      replicas->add(node.vm);
    json.set("vm", FLAGS_vm);
    json.set("zone", FLAGS_zone);
    json.set("serves", FLAGS_kind + " " + FLAGS_target);
    json.set("joined", m_agent.IsJoined());
    json.set("draining", m_agent.IsDraining());
    json.set("configuration", std::string(core::Name(m_agent.config_phase())));
    json.set("control_version", m_agent.control().version());
    json.set("contracts", m_agent.control().contracts().size());
    json.set("replicas", replicas);
    json.set("programs", m_agent.coordinator().ProgramCount());
    json.set("backed_up_programs", m_agent.backups().ProgramCount());
    json.set("in_flight", m_agent.coordinator().InFlight());
    json.set("queued", m_agent.executor().QueueLength());
    json.set("running", m_agent.executor().RunningCount());
    json.set("prefixes", m_agent.executor().PrefixCount());
    json.set("unlogged_bytes", m_agent.durability().UnloggedBytes());
    std::ostringstream out;
    json.stringify(out, 2);
    return out.str() + "\n";
  }

 private:
  core::Agent m_agent;
};

// Runs the core's commands on the backend server, each on a pool thread.
class BackendRunner {
 public:
  BackendRunner(const backends::BackendClient& client, std::size_t threads)
      : m_client(client), m_pool(threads) {}

  void SetShell(NodeShell* shell) { m_shell = shell; }

  void Execute(const core::Command& command) {
    if (const auto* run = std::get_if<core::RunCall>(&command)) Run(*run);
    if (const auto* cancel = std::get_if<core::CancelRun>(&command))
      Cancel(cancel->run);
    if (const auto* release = std::get_if<core::ReleasePrefix>(&command)) {
      m_pool.Add([this, order = *release] { m_client.Release(order); });
    }
  }

 private:
  using Flag = std::shared_ptr<std::atomic<bool>>;

  void Run(const core::RunCall& order) {
    auto cancelled = std::make_shared<std::atomic<bool>>(false);
    {
      const std::lock_guard lock(m_mutex);
      m_runs[order.run] = cancelled;
    }
    m_pool.Add([this, order, cancelled] {
      const auto done =
          m_client.Run(order, *cancelled, [&](const std::string& text) {
            m_shell->Post(core::RunChunk{order.run, text});
          });
      m_shell->Post(done);
      const std::lock_guard lock(m_mutex);
      m_runs.erase(order.run);
    });
  }

  void Cancel(std::uint64_t run) {
    const std::lock_guard lock(m_mutex);
    const auto            it = m_runs.find(run);
    if (it != m_runs.end()) *it->second = true;
  }

  const backends::BackendClient& m_client;
  NodeShell*                     m_shell = nullptr;
  std::mutex                     m_mutex;
  std::map<std::uint64_t, Flag>  m_runs;
  WorkerPool                     m_pool;
};

std::unique_ptr<backends::BackendClient> MakeClient() {
  const auto endpoint = *backends::ParseEndpoint(FLAGS_backend);
  const backends::HttpSettings http{1000, FLAGS_call_timeout_ms};
  if (IsService())
    return std::make_unique<backends::ServiceClient>(endpoint, http);
  return std::make_unique<backends::EngineClient>(endpoint, http);
}

int Run() {
  BlockStopSignals();
  const core::NodeRef            self{FLAGS_vm, GenerateIncarnation()};
  JsonLog                        log(self, FLAGS_zone, MinSeverity());
  Metrics                        metrics;
  const core::OldestProgramQueue queue;
  const core::CacheAwareRoute    route(kPrefillTokensPerMs, kRouteMarginMs,
                                       kResidentCostMs);
  AgentDecider                   decider(MakeSettings(self), queue, route);
  const auto                     client = MakeClient();
  const auto threads = static_cast<std::size_t>(Slots()) + 2;
  auto       runner = std::make_unique<BackendRunner>(*client, threads);
  NodeShell  shell(
       MakeShellSettings(self), decider, log, metrics,
       [&](const core::Command& command) { runner->Execute(command); });
  runner->SetShell(&shell);
  const auto   http = *backends::ParseEndpoint(FLAGS_http);
  StatusServer server(
      {http.host, http.port, kStatusThreads}, metrics,
      [&] { return shell.Status(); }, [](const auto&) { return nullptr; });
  const auto cause = shell.Run([&] { server.Start(); });
  server.Stop();
  runner.reset();  // joins its threads, which use the shell
  return cause == core::StopCause::kSuperseded ? kExitSuperseded : 0;
}

}  // namespace
}  // namespace yuccawick::daemon

int main(int argc, char** argv) {
  namespace daemon = yuccawick::daemon;
  int exit = 0;
  if (!daemon::LoadSettings(&argc, &argv, daemon::Rules(),
                            daemon::Contradictions, &exit))
    return exit;
  return daemon::Run();
}

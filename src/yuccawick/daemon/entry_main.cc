// yw-entry: the entry daemon, on the thin VMs behind the platform's balancer.
//
// Exit codes: 0 stopped as asked, 2 bad settings.
#include <Poco/JSON/Object.h>
#include <gflags/gflags.h>

#include <memory>
#include <sstream>

#include "yuccawick/core/entry.h"
#include "yuccawick/daemon/caller_api.h"
#include "yuccawick/daemon/node_shell.h"
#include "yuccawick/daemon/settings.h"
#include "yuccawick/daemon/status_server.h"

DEFINE_string(vm, "", "name of this VM");
DEFINE_string(zone, "", "availability zone of this VM");
DEFINE_string(listen, "", "host:port for other nodes (RPC)");
DEFINE_string(http, "", "host:port for callers, /healthz, /status, /metrics");
DEFINE_string(log_service, "", "host:port of the platform's log");
DEFINE_string(vm_list, "", "host:port of the platform's list of VMs");
DEFINE_int32(threads, 256, "callers' requests served at once");
DEFINE_int32(max_body_kb, 1024, "largest request body");
DEFINE_int32(client_timeout_ms, 10000, "for a caller to send or read on");
DEFINE_int32(default_deadline_ms, 60000, "of a call that names none");
DEFINE_int32(control_poll_ms, 2000, "between reads of the control stream");
DEFINE_int32(probe_ms, 500, "between probes of one peer");
DEFINE_int32(suspect_ms, 2000, "silence after which a peer is suspect");
DEFINE_string(log_level, "info", "least severity logged");

namespace yuccawick::daemon {
namespace {

constexpr std::size_t kBytesPerKb = 1024;

std::vector<SettingRule> Rules() {
  using Kind = SettingKind;
  return {{"vm", Kind::kName},
          {"zone", Kind::kName},
          {"listen", Kind::kEndpoint},
          {"http", Kind::kEndpoint},
          {"log_service", Kind::kEndpoint},
          {"vm_list", Kind::kEndpoint},
          {"threads", Kind::kNumber, 1, 4096},
          {"max_body_kb", Kind::kNumber, 1, 65536},
          {"client_timeout_ms", Kind::kNumber, 50, 600000},
          {"default_deadline_ms", Kind::kNumber, 100, 3600000},
          {"control_poll_ms", Kind::kNumber, 50, 7000},
          {"probe_ms", Kind::kNumber, 50, 10000},
          {"suspect_ms", Kind::kNumber, 200, 60000},
          {"log_level",
           Kind::kChoice,
           0,
           0,
           true,
           {"debug", "info", "warning", "error"}}};
}

std::vector<SettingError> Contradictions() {
  std::vector<SettingError> errors;
  if (!FLAGS_listen.empty() && FLAGS_listen == FLAGS_http) {
    errors.push_back(
        {SettingFault::kContradiction, "http", "must differ from listen"});
  }
  if (FLAGS_suspect_ms < 2 * FLAGS_probe_ms) {
    errors.push_back({SettingFault::kContradiction, "suspect_ms",
                      "must allow for two probes (probe_ms)"});
  }
  return errors;
}

class EntryDecider : public Decider {
 public:
  explicit EntryDecider(core::EntrySettings settings)
      : m_entry(std::move(settings), core::Safeguards::All()) {}

  std::vector<core::Command> Handle(core::Time         now,
                                    const core::Event& event) override {
    return m_entry.Handle(now, event);
  }
  const core::Control& control() const override { return m_entry.control(); }

  std::string Status() const override {
    Poco::JSON::Object json(Poco::JSON_PRESERVE_KEY_ORDER);
    json.set("vm", FLAGS_vm);
    json.set("zone", FLAGS_zone);
    json.set("draining", m_entry.IsDraining());
    json.set("configuration", std::string(core::Name(m_entry.config_phase())));
    json.set("control_version", m_entry.control().version());
    json.set("contracts", m_entry.control().contracts().size());
    json.set("members", m_entry.control().members().size());
    json.set("in_flight", m_entry.InFlight());
    std::ostringstream out;
    json.stringify(out, 2);
    return out.str() + "\n";
  }

 private:
  core::Entry m_entry;
};

core::EntrySettings MakeSettings(const core::NodeRef& self) {
  core::EntrySettings settings;
  settings.self = self;
  settings.seed = self.incarnation;
  settings.control.poll_interval = FLAGS_control_poll_ms;
  settings.control.writes_snapshots = false;
  settings.membership.probe_interval = FLAGS_probe_ms;
  settings.membership.suspect_after = FLAGS_suspect_ms;
  settings.default_deadline = FLAGS_default_deadline_ms;
  return settings;
}

core::Severity LeastSeverity() {
  for (const auto s : {core::Severity::kDebug, core::Severity::kWarning,
                       core::Severity::kError}) {
    if (core::Name(s) == FLAGS_log_level) return s;
  }
  return core::Severity::kInfo;
}

void Run() {
  BlockStopSignals();
  const core::NodeRef self{FLAGS_vm, MintIncarnation()};
  JsonLog             log(self, FLAGS_zone, LeastSeverity());
  Metrics             metrics;
  EntryDecider        decider(MakeSettings(self));
  ShellSettings       settings;
  settings.self = self;
  settings.listen = FLAGS_listen;
  settings.log = *platform::ParseEndpoint(FLAGS_log_service);
  settings.vm_list = *platform::ParseEndpoint(FLAGS_vm_list);
  std::unique_ptr<CallerApi> api;
  NodeShell                  shell(
                       settings, decider, log, metrics, [&](const core::Command& command) {
        const auto* reply = std::get_if<core::ReplyToCaller>(&command);
        if (reply != nullptr) api->Deliver(*reply);
      });
  CallerApiSettings api_settings;
  api_settings.max_body_bytes =
      static_cast<std::size_t>(FLAGS_max_body_kb) * kBytesPerKb;
  api_settings.default_deadline = FLAGS_default_deadline_ms;
  api = std::make_unique<CallerApi>(api_settings, shell, metrics);
  const auto   http = *platform::ParseEndpoint(FLAGS_http);
  StatusServer server(
      {http.host, http.port, FLAGS_threads, FLAGS_client_timeout_ms}, metrics,
      [&] { return shell.Status(); },
      [&](const auto& request) { return api->Make(request); });
  shell.Run([&] { server.Start(); });
  server.Stop();
}

}  // namespace
}  // namespace yuccawick::daemon

int main(int argc, char** argv) {
  namespace daemon = yuccawick::daemon;
  int exit = 0;
  if (!daemon::LoadSettings(&argc, &argv, daemon::Rules(),
                            daemon::Contradictions, &exit))
    return exit;
  daemon::Run();
  return 0;
}

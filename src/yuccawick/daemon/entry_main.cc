// yw-entry: the entry daemon, which runs on small VMs behind the platform's
// load balancer.
//
// Exit codes: 0 stopped on request, 2 invalid settings.
#include <Poco/JSON/Object.h>
#include <gflags/gflags.h>

#include <memory>
#include <sstream>

#include "yuccawick/core/entry.h"
#include "yuccawick/daemon/caller_api.h"
#include "yuccawick/daemon/node_flags.h"
#include "yuccawick/daemon/node_shell.h"
#include "yuccawick/daemon/settings.h"
#include "yuccawick/daemon/status_server.h"

DEFINE_int32(threads, 256, "concurrent requests of callers");
DEFINE_int32(max_body_kb, 1024, "largest request body, in KB");
DEFINE_int32(client_timeout_ms, 10000,
             "longest time that a caller may stall, in ms");
DEFINE_int32(default_deadline_ms, 60000,
             "deadline of calls that set none, in ms");

namespace yuccawick::daemon {
namespace {

constexpr std::size_t kBytesPerKb = 1024;

std::vector<SettingRule> Rules() {
  using Kind = SettingKind;
  return NodeRules({{"threads", Kind::kNumber, 1, 4096},
                    {"max_body_kb", Kind::kNumber, 1, 65536},
                    {"client_timeout_ms", Kind::kNumber, 50, 600000},
                    {"default_deadline_ms", Kind::kNumber, 100, 3600000}});
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
  settings.control = MakeControlSettings();
  settings.control.writes_snapshots = false;
  settings.membership = MakeMembershipSettings();
  settings.default_deadline = FLAGS_default_deadline_ms;
  return settings;
}

void Run() {
  BlockStopSignals();
  const core::NodeRef        self{FLAGS_vm, GenerateIncarnation()};
  JsonLog                    log(self, FLAGS_zone, MinSeverity());
  Metrics                    metrics;
  EntryDecider               decider(MakeSettings(self));
  std::unique_ptr<CallerApi> api;
  NodeShell         shell(MakeShellSettings(self), decider, log, metrics,
                          [&](const core::Command& command) {
                    const auto* reply =
                        std::get_if<core::ReplyToCaller>(&command);
                    if (reply != nullptr) api->Deliver(*reply);
                  });
  CallerApiSettings api_settings;
  api_settings.max_body_bytes =
      static_cast<std::size_t>(FLAGS_max_body_kb) * kBytesPerKb;
  api_settings.default_deadline = FLAGS_default_deadline_ms;
  api = std::make_unique<CallerApi>(api_settings, shell, metrics);
  const auto   http = *backends::ParseEndpoint(FLAGS_http);
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
                            daemon::NodeContradictions, &exit))
    return exit;
  daemon::Run();
  return 0;
}

#include "yuccawick/daemon/node_flags.h"

DEFINE_string(vm, "", "name of this VM");
DEFINE_string(zone, "", "availability zone of this VM");
DEFINE_string(listen, "", "host:port of the RPC listener for other nodes");
DEFINE_string(
    http, "",
    "host:port of the HTTP server: /healthz, /status, /metrics, callers");
DEFINE_string(log_service, "", "host:port of the platform's log");
DEFINE_string(vm_list, "", "host:port of the platform's list of VMs");
DEFINE_int32(control_poll_ms, 2000,
             "interval between reads of the control stream, in ms");
DEFINE_int32(probe_ms, 500, "interval between probes of one peer, in ms");
DEFINE_int32(suspect_ms, 2000,
             "time without an answer after which a peer is suspected, in ms");
DEFINE_string(log_level, "info",
              "lowest severity logged: debug, info, warning or error");

namespace yuccawick::daemon {

std::vector<SettingRule> NodeRules(const std::vector<SettingRule>& own) {
  using Kind = SettingKind;
  std::vector<SettingRule> rules{{"vm", Kind::kName},
                                 {"zone", Kind::kName},
                                 {"listen", Kind::kEndpoint},
                                 {"http", Kind::kEndpoint},
                                 {"log_service", Kind::kEndpoint},
                                 {"vm_list", Kind::kEndpoint},
                                 {"control_poll_ms", Kind::kNumber, 50, 7000},
                                 {"probe_ms", Kind::kNumber, 50, 10000},
                                 {"suspect_ms", Kind::kNumber, 200, 60000},
                                 {"log_level",
                                  Kind::kChoice,
                                  0,
                                  0,
                                  true,
                                  {"debug", "info", "warning", "error"}}};
  rules.insert(rules.end(), own.begin(), own.end());
  return rules;
}

std::vector<SettingError> NodeContradictions() {
  std::vector<SettingError> errors;
  if (!FLAGS_listen.empty() && FLAGS_listen == FLAGS_http) {
    errors.push_back(
        {SettingFault::kContradiction, "http", "must differ from listen"});
  }
  if (FLAGS_suspect_ms < 2 * FLAGS_probe_ms) {
    errors.push_back({SettingFault::kContradiction, "suspect_ms",
                      "must be at least twice probe_ms"});
  }
  return errors;
}

core::Severity MinSeverity() {
  for (const auto s : {core::Severity::kDebug, core::Severity::kWarning,
                       core::Severity::kError}) {
    if (core::Name(s) == FLAGS_log_level) return s;
  }
  return core::Severity::kInfo;
}

core::ControlTailSettings MakeControlSettings() {
  core::ControlTailSettings settings;
  settings.poll_interval = FLAGS_control_poll_ms;
  return settings;
}

core::MembershipSettings MakeMembershipSettings() {
  core::MembershipSettings settings;
  settings.probe_interval = FLAGS_probe_ms;
  settings.suspect_after = FLAGS_suspect_ms;
  return settings;
}

ShellSettings MakeShellSettings(const core::NodeRef& self) {
  ShellSettings settings;
  settings.self = self;
  settings.listen = FLAGS_listen;
  settings.log = *backends::ParseEndpoint(FLAGS_log_service);
  settings.vm_list = *backends::ParseEndpoint(FLAGS_vm_list);
  return settings;
}

}  // namespace yuccawick::daemon

// yw-standin: one stand-in of the platform, chosen by --kind. For tests and
// demonstrations only.
#include <gflags/gflags.h>

#include <iostream>
#include <memory>

#include "application.h"
#include "engine.h"
#include "log_service.h"
#include "vm_list.h"

DEFINE_string(kind, "", "log, vms, engine or app");
DEFINE_string(host, "127.0.0.1", "address to serve on");
DEFINE_int32(port, 0, "port to serve on; 0 takes any and prints it");
DEFINE_int32(appends_per_second, 400, "appends the log takes");
DEFINE_int32(lag_ms, 3000, "lag of the list of VMs");
DEFINE_string(model, "laundry-7b", "model of the engine");
DEFINE_int32(slots, 8, "calls the engine serves at once");
DEFINE_int32(decode_ms, 2, "engine's time for a token");
DEFINE_bool(checks_fence, true, "engine refuses old fencing numbers");
DEFINE_int64(cache_tokens, 200000, "engine's prefix cache");

namespace {

std::unique_ptr<standins::StandIn> Make() {
  if (FLAGS_kind == "log")
    return std::make_unique<standins::LogService>(FLAGS_appends_per_second);
  if (FLAGS_kind == "vms")
    return std::make_unique<standins::VmList>(FLAGS_lag_ms);
  if (FLAGS_kind == "app") return std::make_unique<standins::Application>();
  if (FLAGS_kind != "engine") return nullptr;
  standins::EngineSettings settings;
  settings.model = FLAGS_model;
  settings.slots = FLAGS_slots;
  settings.decode_ms = FLAGS_decode_ms;
  settings.checks_fence = FLAGS_checks_fence;
  settings.cache_tokens = FLAGS_cache_tokens;
  return std::make_unique<standins::Engine>(settings);
}

}  // namespace

int main(int argc, char** argv) {
  constexpr int kBadSettings = 2;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const auto stand_in = Make();
  if (stand_in == nullptr) {
    std::cerr << "--kind must be log, vms, engine or app\n";
    return kBadSettings;
  }
  return standins::RunServer(*stand_in, FLAGS_host, FLAGS_port);
}

// yw-standin: runs one stand-in for a part of the platform, selected by --kind.
// For tests and demonstrations only.
#include <gflags/gflags.h>

#include <iostream>
#include <memory>

#include "application.h"
#include "engine.h"
#include "log_service.h"
#include "vm_list.h"

DEFINE_string(kind, "", "log, vms, engine or app");
DEFINE_string(host, "127.0.0.1", "address to listen on");
DEFINE_int32(port, 0, "port to listen on; 0 selects and prints a free one");
DEFINE_int32(appends_per_second, 400, "limit of appends to the log");
DEFINE_int32(lag_ms, 3000, "lag of the list of VMs in ms");
DEFINE_string(model, "laundry-7b", "name of the engine's model");
DEFINE_int32(slots, 8, "concurrent calls of the engine");
DEFINE_int32(decode_ms, 2, "engine's time per generated token in ms");
DEFINE_bool(checks_fence, true, "engine rejects old fencing numbers");
DEFINE_int64(cache_tokens, 200000, "engine's prefix cache size in tokens");

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

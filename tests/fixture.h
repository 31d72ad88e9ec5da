// Test cluster for the core: two entries, three agents beside model engines in
// three availability zones and two agents beside application servers.
#pragma once

#include <string>

#include "yuccawick/testing/group.h"

namespace yuccawick::tests {

using testing::FakeBackend;
using testing::Fate;
using testing::Group;
using testing::GroupSettings;
using testing::LogMode;

constexpr core::Duration kRecoveryTimeout =
    60'000;  // ms, longer than any recovery

inline const std::string kCoordinatorA = "model-a";
inline const std::string kCoordinatorB = "model-b";
inline const std::string kCoordinatorC = "model-c";
inline const std::string kAppServerA = "app-a";
inline const std::string kAppServerB = "app-b";

struct SmallGroup {
  explicit SmallGroup(core::Safeguards safeguards = core::Safeguards::All(),
                      std::uint64_t seed = 1, std::size_t replicas = 2)
      : group(Settings(safeguards, seed, replicas)) {
    group.AddEntry("entry-a", "saburtalo");
    group.AddEntry("entry-b", "gldani");
    group.AddAgent(kCoordinatorA, "saburtalo", core::BackendKind::kModel, "m");
    group.AddAgent(kCoordinatorB, "gldani", core::BackendKind::kModel, "m");
    group.AddAgent(kCoordinatorC, "isani", core::BackendKind::kModel, "m");
    group.AddAgent(kAppServerA, "saburtalo", core::BackendKind::kService,
                   "booking");
    group.AddAgent(kAppServerB, "gldani", core::BackendKind::kService,
                   "booking");
    group.Publish(Group::DefaultContract("sakhli"));
    settled = group.Settle();
  }

  static GroupSettings Settings(core::Safeguards safeguards, std::uint64_t seed,
                                std::size_t replicas) {
    GroupSettings settings;
    settings.safeguards = safeguards;
    settings.seed = seed;
    settings.replicas = replicas;
    return settings;
  }

  // Starts a program; Coordinator() is its coordinator.
  core::ProgramId Start() {
    const auto started = group.StartNow("entry-a", "sakhli", "w1");
    program = started.value_or(core::ProgramId{});
    return program;
  }
  std::string              Coordinator() const { return program.origin.vm; }
  // The VMs that are replicas of the coordinator.
  std::vector<std::string> Replicas() {
    std::vector<std::string> names;
    for (const auto& node : group.agent(Coordinator()).durability().Replicas())
      names.push_back(node.vm);
    return names;
  }
  // The first replica.
  std::string Replica() { return Replicas().front(); }
  // The current coordinator, as seen by entry-b.
  std::string CurrentCoordinator() {
    return group.entry("entry-b").control().Resolve(program.origin).node.vm;
  }
  bool IsBusy(const std::string& vm) {
    return group.agent(vm).executor().RunningCount() > 0;
  }
  // The application server that ran the call; empty if none.
  std::string AppServerOf(core::Sequence sequence) {
    for (const auto& vm : {kAppServerA, kAppServerB}) {
      if (group.backend(vm).EffectsOf({program, sequence}) > 0) return vm;
    }
    return {};
  }

  Group           group;
  core::ProgramId program;
  bool            settled = false;
};

}  // namespace yuccawick::tests

// Shares scarce capacity by workspace usage, urgency, and time left.
//
// First come, first served grants capacity in proportion to demand: when one
// workspace sends many times its usual load, all workspaces are refused alike.
// This policy keeps a margin of the capacity free for the programs that should
// go first (trunk reservation). The margin is the sum of three parts:
//
//   usage     grows with the usage of the workspace above the average of the
//             others
//   urgency   grows with each priority level behind the most urgent one that
//             has requested admission recently
//   lateness  constant, for programs that cannot finish in time
//
// Usage is slot time at the model servers in ms, as an exponentially decaying
// sum, so a refused workspace returns to the average and is admitted again. The
// margins for urgency and lateness are lifted for a part of each cycle, which
// prevents starvation.
//
// Each coordinator has one instance. Coordinators exchange their charges, since
// each sees only a few programs of a workspace.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "yuccawick/fairness/fairness_policy.h"

namespace yuccawick::fairness {

// Times in ms, margins as shares of the capacity.
struct FairShareSettings {
  // Half-life of usage, and the time for which a request of an urgent route
  // counts as recent.
  Duration     usage_half_life = 4000;
  // Margin for each doubling of a workspace's usage above the average of the
  // others. Must exceed the random variation of running turns, about a tenth at
  // a service of 70 slots; otherwise the workspace uses up the margin whenever
  // few turns happen to run.
  double       step = 0.15;
  double       max_usage_margin = 0.2;
  // Lower bound of the others' average, in turns of average work: no usage
  // margin applies to a workspace until it has used more than about one program
  // does.
  double       credit_turns = 10;
  double       urgency = 0.025;  // for each level behind the most urgent one
  double       late = 0.05;
  // Share of each cycle in which the urgency and lateness margins are lifted.
  Duration     cycle = 300;
  double       open = 1.0 / 3;
  std::int64_t workspaces = 16'384;  // maximum number tracked
};

class FairSharePolicy final : public FairnessPolicy {
 public:
  // Priority of a workspace, 0 first; its weight is 1 / (1 + priority).
  using PriorityOf = std::function<int(const std::string& workspace)>;

  FairSharePolicy(const FairShareSettings& settings, PriorityOf priority_of);

  double AdmissionThreshold(const NewProgram& program, Time now) override;
  void   Charge(const std::string& workspace, double work, Time now) override;
  std::vector<UsageCharge> TakeUnsent() override;
  void MergePeer(const std::vector<UsageCharge>& charges, Time now) override;

  struct WorkspaceUsage {
    std::string workspace;
    double      part = 0;    // share of all usage
    double      margin = 0;  // usage margin it currently leaves free
  };
  // Workspaces with the highest usage, in descending order.
  std::vector<WorkspaceUsage> TopWorkspaces(std::size_t max_count) const;
  std::size_t                 workspaces() const { return m_usage.size(); }

 private:
  struct Usage {
    double work = 0;  // scaled to m_origin
    double weight = 1;
  };
  void   Add(const UsageCharge& charge, Time now);
  // Weight of a charge made now, relative to one made at m_origin.
  double GrowthFactor(Time now) const;
  double UsageMargin(const Usage& usage) const;
  double UrgencyMargin(int priority, Time now);
  bool   HasRequestedRecently(int level, Time now) const;
  double WeightOf(const std::string& workspace) const;
  bool   AreMarginsLifted(Time now) const;
  // Rescales all sums to `now` and drops workspaces with negligible usage.
  void   Sweep(Time now);

  FairShareSettings                            m_settings;
  PriorityOf                                   m_priority_of;
  std::unordered_map<std::string, Usage>       m_usage;  // keyed by workspace
  // Totals over m_usage, and the charged turns; all decay alike.
  double                                       m_work = 0;
  double                                       m_weight = 0;
  double                                       m_turns = 0;
  Time                                         m_origin = 0;
  std::unordered_map<std::string, UsageCharge> m_unsent;  // keyed by workspace
  // Time of the last request of each of the first priority levels.
  std::array<std::optional<Time>, 3>           m_last_requests;
};

}  // namespace yuccawick::fairness

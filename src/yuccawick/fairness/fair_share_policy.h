// Shares of the room by what workspaces use, by urgency, and by time left.
//
// Load pattern: servers are nearly full and one workspace asks for many times
// its usual, or routes of several priorities come at once. First come, first
// served hands out room in proportion to what is asked, so all are refused
// alike.
//
// Whoever should come last leaves a margin of the room free for the others
// (trunk reservation). A workspace leaves more the further its use is above the
// others' average, a route the more urgent ones have asked lately, a late
// program always. What is left below the margins goes to anyone.
//
// Use is place time at model servers, in ms, as an exponentially fading sum, so
// a refused workspace falls back to the average and is let in again: each gets
// at least the average. Urgency and lateness do not fade; their margins are
// lifted for a part of each cycle, so that nobody starves.
//
// Every home has one. Homes tell each other what they charged, since the few
// programs of a workspace that one of them sees say little.
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

// Times in ms, margins as parts of the room.
struct FairShareSettings {
  // Half-life of use and of what is known of urgent routes.
  Duration     usage_half_life = 4000;
  // For each doubling of a workspace's use above the others' average. Turns
  // under way at a service of 70 places vary by a tenth by chance; a smaller
  // margin is taken whenever they are few for a moment.
  double       step = 0.15;
  double       max_usage_margin = 0.2;
  // A workspace is not ahead by so many turns of average work: one program.
  double       credit_turns = 10;
  double       urgency = 0.025;  // for each level behind the most urgent
  double       late = 0.05;
  // Margins of urgency and lateness are lifted for this part of each cycle.
  Duration     cycle = 300;
  double       open = 1.0 / 3;
  std::int64_t workspaces = 16'384;  // counted at once
};

class FairSharePolicy final : public FairnessPolicy {
 public:
  // 0 is first; weighs 1 / (1 + priority).
  using PriorityOf = std::function<int(const std::string& workspace)>;

  FairSharePolicy(const FairShareSettings& settings, PriorityOf priority_of);

  double AdmissionThreshold(const NewProgram& beginner, Time now) override;
  void   Charge(const std::string& workspace, double work, Time now) override;
  std::vector<UsageCharge> TakeUnsent() override;
  void MergePeer(const std::vector<UsageCharge>& charges, Time now) override;

  struct WorkspaceUsage {
    std::string workspace;
    double      part = 0;    // of all use
    double      margin = 0;  // that it leaves now
  };
  // Those that use most, the first one first.
  std::vector<WorkspaceUsage> TopWorkspaces(std::size_t most) const;
  std::size_t                 workspaces() const { return m_uses.size(); }

 private:
  struct Use {
    double work = 0;  // as of m_origin
    double weight = 1;
  };
  void   Add(const UsageCharge& charge, Time now);
  // What one unit of now counts for, as of m_origin.
  double Growth(Time now) const;
  double UseMargin(const Use& use) const;
  double UrgencyMargin(int priority, Time now);
  bool   HasAsked(int level, Time now) const;
  double WeightOf(const std::string& workspace) const;
  bool   IsOpen(Time now) const;
  // Moves the origin to now and drops what has faded.
  void   Sweep(Time now);

  FairShareSettings                            m_settings;
  PriorityOf                                   m_priority_of;
  std::unordered_map<std::string, Use>         m_uses;  // by workspace
  // Sums over m_uses, and the turns that were charged, fading alike.
  double                                       m_work = 0;
  double                                       m_weight = 0;
  double                                       m_turns = 0;
  Time                                         m_origin = 0;
  std::unordered_map<std::string, UsageCharge> m_untold;  // by workspace
  // When each of the first priorities last asked.
  std::array<std::optional<Time>, 3>           m_asked;
};

}  // namespace yuccawick::fairness

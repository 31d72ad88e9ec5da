// Tests fair sharing while capacity is scarce: margins apply to hot workspaces,
// less urgent routes and late programs, and none of these starves.
#include <criterion/criterion.h>

#include <cmath>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "yuccawick/fairness/fair_share_policy.h"

namespace yuccawick::tests {
namespace {

using fairness::FairnessPolicy;
using fairness::FairSharePolicy;
using fairness::FairShareSettings;
using fairness::FirstComePolicy;
using fairness::NewProgram;
using net::Duration;
using net::Time;

// A time in the cycle at which the margins of urgency and lateness apply.
constexpr Time kMarginsApply = 1190;

std::unique_ptr<FairSharePolicy> MakeFairPolicy() {
  return std::make_unique<FairSharePolicy>(
      FairShareSettings{}, [](const std::string&) { return 0; });
}

struct Caller {
  NewProgram who;
  double     per_second = 0;
};

struct Served {
  int    requested = 0;
  int    admitted = 0;
  double share() const {
    return requested == 0 ? 1 : 1.0 * admitted / requested;
  }
};

// Simulates a coordinator with capacity for a fixed number of programs. Each
// program runs turns of 200 ms with a pause of 200 ms after each; refused
// programs do not retry.
class Simulation {
 public:
  Simulation(int programs, FairnessPolicy* policy)
      : m_programs(programs), m_policy(policy) {}

  // Returns the counts of each caller, measured after the first 4 s.
  std::map<std::string, Served> Run(const std::vector<Caller>& callers,
                                    Duration                   length) {
    std::map<std::string, Served> served;
    for (Time now = 1000; now < 1000 + length; ++now) {
      EndTurns(now);
      for (const Caller& caller : callers) {
        if (!std::bernoulli_distribution(caller.per_second / 1000)(m_random)) {
          continue;
        }
        const bool admit =
            m_running + 1 <=
            m_programs * m_policy->AdmissionThreshold(caller.who, now);
        if (admit) Start(caller.who.workspace, now);
        if (now < 5000) continue;
        Served& count = served[caller.who.workspace + caller.who.route +
                               (caller.who.late ? " late" : "")];
        ++count.requested;
        count.admitted += admit ? 1 : 0;
      }
    }
    return served;
  }

  static constexpr int      kTurns = 6;
  static constexpr Duration kTurn = 200;

 private:
  struct Turn {
    Time        ends = 0;
    int         left = 0;
    std::string workspace;
    bool        operator<(const Turn& other) const { return ends > other.ends; }
  };

  void Start(const std::string& workspace, Time now) {
    ++m_running;
    m_turns.push({now + kTurn, kTurns, workspace});
  }

  void EndTurns(Time now) {
    while (!m_turns.empty() && m_turns.top().ends <= now) {
      Turn turn = m_turns.top();
      m_turns.pop();
      m_policy->Charge(turn.workspace, kTurn, now);
      if (--turn.left == 0) {
        --m_running;
        continue;
      }
      turn.ends = now + 2 * kTurn;
      m_turns.push(turn);
    }
  }

  int                       m_programs;
  FairnessPolicy*           m_policy;
  std::mt19937              m_random{42};
  int                       m_running = 0;
  std::priority_queue<Turn> m_turns;
};

constexpr int      kCapacity = 60;
constexpr Duration kDuration = 60'000;

// Programs per second that use the whole capacity.
double FullRate() {
  return kCapacity * 1000.0 /
         (Simulation::kTurn * (2 * Simulation::kTurns - 1));
}

std::vector<Caller> Workspaces(int count, double load) {
  std::vector<Caller> callers;
  for (int i = 0; i < count; ++i) {
    Caller caller;
    caller.who.workspace = "w" + std::to_string(i);
    caller.who.route = "r";
    caller.per_second = load * FullRate() / count;
    callers.push_back(caller);
  }
  return callers;
}

// Admitted share of all programs except those of w0.
double OthersShare(const std::map<std::string, Served>& served) {
  Served sum;
  for (const auto& [name, count] : served) {
    if (name == "w0r") continue;
    sum.requested += count.requested;
    sum.admitted += count.admitted;
  }
  return sum.share();
}

double OthersShareWithHot(FairnessPolicy* policy, double load, double times) {
  auto callers = Workspaces(10, load);
  callers[0].per_second *= times;
  return OthersShare(Simulation(kCapacity, policy).Run(callers, kDuration));
}

}  // namespace

// Guards against one hot workspace crowding out the others. Ten workspaces
// request 70% of the capacity, then one of them eight times its share.
Test(Fairness, OneWorkspaceSendsEightTimesItsLoad_OthersLoseUnderFivePercent) {
  const auto      fair = MakeFairPolicy();
  const double    calm = OthersShareWithHot(MakeFairPolicy().get(), 0.7, 1);
  const double    hot = OthersShareWithHot(fair.get(), 0.7, 8);
  FirstComePolicy equal;
  const double    first_come = OthersShareWithHot(&equal, 0.7, 8);
  cr_assert_geq(hot, 0.95 * calm, "%f of %f, first come %f", hot, calm,
                first_come);
  cr_assert_lt(first_come, 0.95 * calm, "%f", first_come);
  const auto top = fair->TopWorkspaces(1);
  cr_assert_eq(top.size(), 1);
  cr_assert(top[0].workspace == "w0");
  cr_assert_gt(top[0].margin, 0);
}

// Guards against unused capacity: a hot workspace may fill all but its margin.
Test(Fairness, OneWorkspaceSendsTwentyTimesItsLoad_GetsUnusedCapacity) {
  auto callers = Workspaces(10, 0.5);
  callers[0].per_second *= 20;
  auto served =
      Simulation(kCapacity, MakeFairPolicy().get()).Run(callers, kDuration);
  const Served hot = served["w0r"];
  const double seconds = (kDuration - 4000) / 1000.0;
  cr_assert_geq(hot.admitted / seconds, 0.35 * FullRate(), "%d of %d",
                hot.admitted, hot.requested);
}

// Guards against starvation of a workspace when the total demand is about twice
// the capacity.
Test(Fairness, AllWorkspacesOverloaded_NoneIsServedLessThanAQuarterOfAverage) {
  auto callers = Workspaces(10, 1.6);
  callers[0].per_second *= 4;
  Served all;
  auto   served =
      Simulation(kCapacity, MakeFairPolicy().get()).Run(callers, kDuration);
  for (const auto& [name, count] : served) {
    all.requested += count.requested;
    all.admitted += count.admitted;
  }
  for (const auto& [name, count] : served) {
    cr_assert_geq(4 * count.share(), all.share(), "%s: %f of %f", name.c_str(),
                  count.share(), all.share());
  }
}

Test(Fairness, WorkspaceNoLongerHot_MarginIsGoneAfterFourHalfLives) {
  const auto fair = MakeFairPolicy();
  for (int turn = 0; turn < 300; ++turn) {
    fair->Charge("hot", 200, 1000);
    if (turn % 6 == 0)
      fair->Charge("w" + std::to_string(turn / 6 % 5), 200, 1000);
  }
  const NewProgram hot{"hot", "r"};
  cr_assert_lt(fair->AdmissionThreshold(hot, 1000), 0.95);
  Time now = 1000;
  for (int turn = 0; turn < 100; ++turn) {
    now += 160;
    for (int i = 0; i < 5; ++i) {
      fair->Charge("w" + std::to_string(i), 100, now);
    }
  }
  cr_assert_geq(fair->AdmissionThreshold(hot, now), 0.98);
}

// Guards against ignoring workspace priorities: a higher priority allows more
// usage before a margin applies.
Test(Fairness, WorkspacesOfTwoPriorities_FirstMayUseMoreBeforeMargin) {
  FairSharePolicy fair(FairShareSettings{}, [](const std::string& name) {
    return name == "second";
  });
  for (int turn = 0; turn < 100; ++turn) {
    fair.Charge("first", 200, 1000);
    fair.Charge("second", 200, 1000);
  }
  cr_assert_float_eq(fair.AdmissionThreshold({"first", "r"}, kMarginsApply), 1,
                     1e-9);
  cr_assert_lt(fair.AdmissionThreshold({"second", "r"}, kMarginsApply), 1);
}

// Guards against ignoring route priorities, and against starvation of the less
// urgent route. The total demand is twice the capacity.
Test(Fairness, RoutesOfTwoPriorities_UrgentIsServedMoreAndOtherNotStarved) {
  std::vector<Caller> callers(2);
  callers[0].who.route = "urgent";
  callers[1].who.route = "other";
  callers[1].who.priority = 1;
  callers[0].per_second = callers[1].per_second = FullRate();
  auto served =
      Simulation(kCapacity, MakeFairPolicy().get()).Run(callers, kDuration);
  const double urgent = served["urgent"].share();
  const double other = served["other"].share();
  cr_assert_gt(urgent, other);
  cr_assert_geq(4 * other, (urgent + other) / 2, "%f, %f", urgent, other);
}

// Guards against starvation of a less urgent route when the urgent one alone
// requests twice the capacity.
Test(Fairness, UrgentRouteOverloaded_OtherIsNotStarved) {
  std::vector<Caller> callers(2);
  callers[0].who.route = "urgent";
  callers[0].per_second = 2 * FullRate();
  callers[1].who.route = "other";
  callers[1].who.priority = 2;
  callers[1].per_second = 0.2 * FullRate();
  auto served =
      Simulation(kCapacity, MakeFairPolicy().get()).Run(callers, kDuration);
  const double other = served["other"].share();
  cr_assert_geq(4 * other, served["urgent"].share(), "%f", other);
}

// Guards against keeping capacity free for an urgent route without requests.
Test(Fairness, OnlyLessUrgentRouteRequests_MayTakeTheLastSlot) {
  const auto fair = MakeFairPolicy();
  NewProgram other{"", "other", 1};
  cr_assert_float_eq(fair->AdmissionThreshold(other, kMarginsApply), 1, 1e-9);
  fair->AdmissionThreshold({"", "urgent", 0}, kMarginsApply);
  cr_assert_lt(fair->AdmissionThreshold(other, kMarginsApply), 1);
  cr_assert_float_eq(fair->AdmissionThreshold(other, kMarginsApply + 10'200), 1,
                     1e-9);
}

Test(Fairness, LateProgramsAtLowLoad_AreServed) {
  std::vector<Caller> callers(2);
  callers[0].who.route = callers[1].who.route = "r";
  callers[1].who.late = true;
  callers[0].per_second = 0.5 * FullRate();
  callers[1].per_second = 0.1 * FullRate();
  auto served =
      Simulation(kCapacity, MakeFairPolicy().get()).Run(callers, kDuration);
  cr_assert_geq(served["r late"].share(), 0.99, "%f", served["r late"].share());
}

// Guards against late programs displacing those in time, and against their
// starvation. The programs in time alone request twice the capacity.
Test(Fairness, LateProgramsInOverload_AreServedLessAndNotStarved) {
  std::vector<Caller> callers(2);
  callers[0].who.route = callers[1].who.route = "r";
  callers[1].who.late = true;
  callers[0].per_second = 2 * FullRate();
  callers[1].per_second = 0.5 * FullRate();
  auto served =
      Simulation(kCapacity, MakeFairPolicy().get()).Run(callers, kDuration);
  const double on_time = served["r"].share();
  const double late = served["r late"].share();
  cr_assert_lt(late, on_time, "%f, %f", late, on_time);
  cr_assert_geq(4 * late, on_time, "%f, %f", late, on_time);
}

// Guards against refusing a workspace on too few samples after a restart.
Test(Fairness, AfterRestart_AllWorkspacesAreTreatedAlike) {
  const auto fair = MakeFairPolicy();
  for (const char* name : {"a", "b", "hot"}) {
    cr_assert_float_eq(fair->AdmissionThreshold({name, "r"}, kMarginsApply), 1,
                       1e-9);
  }
  fair->Charge("hot", 200, kMarginsApply);
  cr_assert_float_eq(fair->AdmissionThreshold({"hot", "r"}, kMarginsApply), 1,
                     1e-9);
  fair->Charge("a", 20, kMarginsApply);
  cr_assert_float_eq(fair->AdmissionThreshold({"hot", "r"}, kMarginsApply), 1,
                     1e-9);
}

// Guards against a hot workspace staying undetected because each coordinator
// sees only a few of its programs.
Test(Fairness, TwoCoordinatorsSeeFewTurnsOfHotWorkspace_ExchangeRevealsIt) {
  const auto first = MakeFairPolicy();
  const auto second = MakeFairPolicy();
  for (int turn = 0; turn < 16; ++turn) {
    for (const auto& coordinator : {first.get(), second.get()}) {
      coordinator->Charge("hot", 200, 1000);
      if (turn % 2 == 0)
        coordinator->Charge("w" + std::to_string(turn), 200, 1000);
    }
  }
  const double before = first->AdmissionThreshold({"hot", "r"}, kMarginsApply);
  second->MergePeer(first->TakeUnsent(), 1000);
  first->MergePeer(second->TakeUnsent(), 1000);
  const double after = first->AdmissionThreshold({"hot", "r"}, kMarginsApply);
  cr_assert_lt(after, before, "%f, %f", before, after);
  cr_assert_float_eq(
      after, second->AdmissionThreshold({"hot", "r"}, kMarginsApply), 1e-9);
  // Charges received from one peer are not sent to another.
  cr_assert(first->TakeUnsent().empty());
}

// Guards against invalid values from a peer that runs another version.
Test(Fairness, InvalidCharges_AreIgnored) {
  const auto   fair = MakeFairPolicy();
  const double kNan = std::nan("");
  fair->MergePeer({{"a", kNan, 1}, {"b", -5, 1}, {"c", 5, 0}, {"", 5, 1}},
                  1000);
  cr_assert_eq(fair->workspaces(), 0);
}

// Guards against a margin that no other workspace could use.
Test(Fairness, OneWorkspaceAlone_MayTakeTheLastSlot) {
  const auto fair = MakeFairPolicy();
  for (int i = 0; i < 100; ++i) fair->Charge("only", 200, 1000 + i);
  cr_assert_float_eq(fair->AdmissionThreshold({"only", "r"}, kMarginsApply), 1,
                     1e-9);
}

Test(Fairness, EightThousandWorkspaces_StateIsBoundedAndIdleOnesAreDropped) {
  FairShareSettings settings;
  settings.workspaces = 1000;
  FairSharePolicy fair(settings, [](const std::string&) { return 0; });
  Time            now = 1000;
  for (int i = 0; i < 8200; ++i) {
    fair.Charge("w" + std::to_string(i), 100, now);
    cr_assert_leq(fair.workspaces(), 1000);
    now += 1;
  }
  // Only the four active workspaces remain.
  for (int i = 0; i < 400; ++i) {
    now += 200;
    fair.Charge("w" + std::to_string(i % 4), 100, now);
  }
  cr_assert_eq(fair.workspaces(), 4, "%zu", fair.workspaces());
}

// Guards against overflow of the decaying sums after a clock jump.
Test(Fairness, ClockJumps_SumsStayFinite) {
  const auto fair = MakeFairPolicy();
  fair->Charge("a", 200, 1000);
  fair->Charge("b", 200, 1000);
  fair->Charge("a", 200, 1000 + 1'000'000'000);
  const double threshold = fair->AdmissionThreshold({"a", "r"}, 1'000'001'190);
  cr_assert_geq(threshold, 0.5);
  cr_assert_leq(threshold, 1.0);
}

}  // namespace yuccawick::tests

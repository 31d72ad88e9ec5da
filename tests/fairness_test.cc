// Who may begin while room is short: what a hot workspace, a less urgent route
// and a late program leave to others, and that none of them starves.
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

// A moment at which the margins of urgency and lateness hold.
constexpr Time kMargins = 1190;

std::unique_ptr<FairSharePolicy> Fair() {
  return std::make_unique<FairSharePolicy>(
      FairShareSettings{}, [](const std::string&) { return 0; });
}

struct Callers {
  NewProgram who;
  double     per_second = 0;
};

struct Served {
  int    asked = 0;
  int    begun = 0;
  double part() const { return asked == 0 ? 1 : 1.0 * begun / asked; }
};

// Room for so many programs at one home. Each takes turns of 200 ms of a place
// with as long a pause after each; one that is refused does not come back.
class Room {
 public:
  Room(int programs, FairnessPolicy* share)
      : m_programs(programs), m_share(share) {}

  // What callers of each name got, from 4 s on.
  std::map<std::string, Served> Run(const std::vector<Callers>& callers,
                                    Duration                    length) {
    std::map<std::string, Served> served;
    for (Time now = 1000; now < 1000 + length; ++now) {
      EndTurns(now);
      for (const Callers& caller : callers) {
        if (!std::bernoulli_distribution(caller.per_second / 1000)(m_random)) {
          continue;
        }
        const bool may =
            m_under_way + 1 <=
            m_programs * m_share->AdmissionThreshold(caller.who, now);
        if (may) Begin(caller.who.workspace, now);
        if (now < 5000) continue;
        Served& count = served[caller.who.workspace + caller.who.route +
                               (caller.who.late ? " late" : "")];
        ++count.asked;
        count.begun += may ? 1 : 0;
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

  void Begin(const std::string& workspace, Time now) {
    ++m_under_way;
    m_turns.push({now + kTurn, kTurns, workspace});
  }

  void EndTurns(Time now) {
    while (!m_turns.empty() && m_turns.top().ends <= now) {
      Turn turn = m_turns.top();
      m_turns.pop();
      m_share->Charge(turn.workspace, kTurn, now);
      if (--turn.left == 0) {
        --m_under_way;
        continue;
      }
      turn.ends = now + 2 * kTurn;
      m_turns.push(turn);
    }
  }

  int                       m_programs;
  FairnessPolicy*           m_share;
  std::mt19937              m_random{42};
  int                       m_under_way = 0;
  std::priority_queue<Turn> m_turns;
};

constexpr int      kRoom = 60;
constexpr Duration kLength = 60'000;

// Programs a second that fill the room.
double Carried() {
  return kRoom * 1000.0 / (Room::kTurn * (2 * Room::kTurns - 1));
}

std::vector<Callers> Workspaces(int count, double load) {
  std::vector<Callers> callers;
  for (int i = 0; i < count; ++i) {
    Callers caller;
    caller.who.workspace = "w" + std::to_string(i);
    caller.who.route = "r";
    caller.per_second = load * Carried() / count;
    callers.push_back(caller);
  }
  return callers;
}

// The part of all programs but those of w0 that began.
double Others(const std::map<std::string, Served>& served) {
  Served sum;
  for (const auto& [name, count] : served) {
    if (name == "w0r") continue;
    sum.asked += count.asked;
    sum.begun += count.begun;
  }
  return sum.part();
}

double OthersWithHot(FairnessPolicy* share, double load, double times) {
  auto callers = Workspaces(10, load);
  callers[0].per_second *= times;
  return Others(Room(kRoom, share).Run(callers, kLength));
}

}  // namespace

// Ten workspaces ask for seven tenths of the room, then one of them for eight
// times as much as before.
Test(Fairness, OneWorkspaceAsksEightTimesAsMuch_CostsOthersUnderFiveInHundred) {
  const auto      fair = Fair();
  const double    calm = OthersWithHot(Fair().get(), 0.7, 1);
  const double    hot = OthersWithHot(fair.get(), 0.7, 8);
  FirstComePolicy equal;
  const double    first_come = OthersWithHot(&equal, 0.7, 8);
  cr_assert_geq(hot, 0.95 * calm, "%f of %f, first come %f", hot, calm,
                first_come);
  cr_assert_lt(first_come, 0.95 * calm, "%f", first_come);
  const auto top = fair->TopWorkspaces(1);
  cr_assert_eq(top.size(), 1);
  cr_assert(top[0].workspace == "w0");
  cr_assert_gt(top[0].margin, 0);
}

// What others leave is used: the hot workspace fills the room up to its margin.
Test(Fairness, OneWorkspaceAsksEightTimesAsMuch_GetsWhatOthersLeave) {
  auto callers = Workspaces(10, 0.5);
  callers[0].per_second *= 20;
  auto         served = Room(kRoom, Fair().get()).Run(callers, kLength);
  const Served hot = served["w0r"];
  const double seconds = (kLength - 4000) / 1000.0;
  cr_assert_geq(hot.begun / seconds, 0.35 * Carried(), "%d of %d", hot.begun,
                hot.asked);
}

// All workspaces ask for twice what there is, one for four times the average.
Test(Fairness, AllAskTooMuch_NoWorkspaceIsServedLessThanAQuarterAsOften) {
  auto callers = Workspaces(10, 1.6);
  callers[0].per_second *= 4;
  Served all;
  auto   served = Room(kRoom, Fair().get()).Run(callers, kLength);
  for (const auto& [name, count] : served) {
    all.asked += count.asked;
    all.begun += count.begun;
  }
  for (const auto& [name, count] : served) {
    cr_assert_geq(4 * count.part(), all.part(), "%s: %f of %f", name.c_str(),
                  count.part(), all.part());
  }
}

Test(Fairness, WorkspaceIsHotNoMore_IsLikeOthersAfterFourHalfLives) {
  const auto fair = Fair();
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

// By its priority a workspace may use more before it leaves room to others.
Test(Fairness, WorkspacesOfTwoPriorities_FirstMayUseMore) {
  FairSharePolicy fair(FairShareSettings{}, [](const std::string& name) {
    return name == "second";
  });
  for (int turn = 0; turn < 100; ++turn) {
    fair.Charge("first", 200, 1000);
    fair.Charge("second", 200, 1000);
  }
  cr_assert_float_eq(fair.AdmissionThreshold({"first", "r"}, kMargins), 1,
                     1e-9);
  cr_assert_lt(fair.AdmissionThreshold({"second", "r"}, kMargins), 1);
}

// A route of the next priority asks for as much; together it is twice the room.
Test(Fairness, RoutesOfTwoPriorities_UrgentServedMoreAndOtherNotStarved) {
  std::vector<Callers> callers(2);
  callers[0].who.route = "urgent";
  callers[1].who.route = "other";
  callers[1].who.priority = 1;
  callers[0].per_second = callers[1].per_second = Carried();
  auto         served = Room(kRoom, Fair().get()).Run(callers, kLength);
  const double urgent = served["urgent"].part();
  const double other = served["other"].part();
  cr_assert_gt(urgent, other);
  cr_assert_geq(4 * other, (urgent + other) / 2, "%f, %f", urgent, other);
}

// The urgent route alone asks for twice the room.
Test(Fairness, UrgentRouteFillsRoom_OtherIsNotStarved) {
  std::vector<Callers> callers(2);
  callers[0].who.route = "urgent";
  callers[0].per_second = 2 * Carried();
  callers[1].who.route = "other";
  callers[1].who.priority = 2;
  callers[1].per_second = 0.2 * Carried();
  auto         served = Room(kRoom, Fair().get()).Run(callers, kLength);
  const double other = served["other"].part();
  cr_assert_geq(4 * other, served["urgent"].part(), "%f", other);
}

// A route leaves no room to a more urgent one that nobody asks for.
Test(Fairness, OnlyLessUrgentRouteAsks_MayTakeTheLastPlace) {
  const auto fair = Fair();
  NewProgram other{"", "other", 1};
  cr_assert_float_eq(fair->AdmissionThreshold(other, kMargins), 1, 1e-9);
  fair->AdmissionThreshold({"", "urgent", 0}, kMargins);
  cr_assert_lt(fair->AdmissionThreshold(other, kMargins), 1);
  cr_assert_float_eq(fair->AdmissionThreshold(other, kMargins + 10'200), 1,
                     1e-9);
}

Test(Fairness, LateProgramsInCalm_AreServed) {
  std::vector<Callers> callers(2);
  callers[0].who.route = callers[1].who.route = "r";
  callers[1].who.late = true;
  callers[0].per_second = 0.5 * Carried();
  callers[1].per_second = 0.1 * Carried();
  auto served = Room(kRoom, Fair().get()).Run(callers, kLength);
  cr_assert_geq(served["r late"].part(), 0.99, "%f", served["r late"].part());
}

// Programs on time alone ask for twice the room.
Test(Fairness, LateProgramsInOverload_ComeBehindAndAreNotStarved) {
  std::vector<Callers> callers(2);
  callers[0].who.route = callers[1].who.route = "r";
  callers[1].who.late = true;
  callers[0].per_second = 2 * Carried();
  callers[1].per_second = 0.5 * Carried();
  auto         served = Room(kRoom, Fair().get()).Run(callers, kLength);
  const double on_time = served["r"].part();
  const double late = served["r late"].part();
  cr_assert_lt(late, on_time, "%f, %f", late, on_time);
  cr_assert_geq(4 * late, on_time, "%f, %f", late, on_time);
}

// A home that lost its sums must not keep anyone out by chance.
Test(Fairness, HomeStartsAnew_TreatsAllAlike) {
  const auto fair = Fair();
  for (const char* name : {"a", "b", "hot"}) {
    cr_assert_float_eq(fair->AdmissionThreshold({name, "r"}, kMargins), 1,
                       1e-9);
  }
  fair->Charge("hot", 200, kMargins);
  cr_assert_float_eq(fair->AdmissionThreshold({"hot", "r"}, kMargins), 1, 1e-9);
  fair->Charge("a", 20, kMargins);
  cr_assert_float_eq(fair->AdmissionThreshold({"hot", "r"}, kMargins), 1, 1e-9);
}

// Each home sees a few of a workspace's programs, too few to say much.
Test(Fairness, TwoHomesEachSeeLittleOfHotWorkspace_BothKnowWhenTold) {
  const auto one = Fair();
  const auto other = Fair();
  for (int turn = 0; turn < 16; ++turn) {
    for (const auto& home : {one.get(), other.get()}) {
      home->Charge("hot", 200, 1000);
      if (turn % 2 == 0) home->Charge("w" + std::to_string(turn), 200, 1000);
    }
  }
  const double before = one->AdmissionThreshold({"hot", "r"}, kMargins);
  other->MergePeer(one->TakeUnsent(), 1000);
  one->MergePeer(other->TakeUnsent(), 1000);
  const double after = one->AdmissionThreshold({"hot", "r"}, kMargins);
  cr_assert_lt(after, before, "%f, %f", before, after);
  cr_assert_float_eq(after, other->AdmissionThreshold({"hot", "r"}, kMargins),
                     1e-9);
  // What was heard is not told on.
  cr_assert(one->TakeUnsent().empty());
}

// A node that runs another version may send anything.
Test(Fairness, ChargesThatAreNoNumbers_AreLeftOut) {
  const auto   fair = Fair();
  const double kNan = std::nan("");
  fair->MergePeer({{"a", kNan, 1}, {"b", -5, 1}, {"c", 5, 0}, {"", 5, 1}},
                  1000);
  cr_assert_eq(fair->workspaces(), 0);
}

// Nobody to leave room to.
Test(Fairness, OneWorkspaceAlone_MayTakeTheLastPlace) {
  const auto fair = Fair();
  for (int i = 0; i < 100; ++i) fair->Charge("only", 200, 1000 + i);
  cr_assert_float_eq(fair->AdmissionThreshold({"only", "r"}, kMargins), 1,
                     1e-9);
}

Test(Fairness, EightThousandWorkspaces_StateIsBoundedAndIdleOnesForgotten) {
  FairShareSettings settings;
  settings.workspaces = 1000;
  FairSharePolicy fair(settings, [](const std::string&) { return 0; });
  Time            now = 1000;
  for (int i = 0; i < 8200; ++i) {
    fair.Charge("w" + std::to_string(i), 100, now);
    cr_assert_leq(fair.workspaces(), 1000);
    now += 1;
  }
  // The four that go on are all that is left of them.
  for (int i = 0; i < 400; ++i) {
    now += 200;
    fair.Charge("w" + std::to_string(i % 4), 100, now);
  }
  cr_assert_eq(fair.workspaces(), 4, "%zu", fair.workspaces());
}

// The clock of a node that slept jumps.
Test(Fairness, LongIdle_SumsStayNumbers) {
  const auto fair = Fair();
  fair->Charge("a", 200, 1000);
  fair->Charge("b", 200, 1000);
  fair->Charge("a", 200, 1000 + 1'000'000'000);
  const double share = fair->AdmissionThreshold({"a", "r"}, 1'000'001'190);
  cr_assert_geq(share, 0.5);
  cr_assert_leq(share, 1.0);
}

}  // namespace yuccawick::tests

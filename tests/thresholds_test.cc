// Thresholds that an operator sets: what is taken, and what is refused how.
#include "yuccawick/gateway/thresholds.h"

#include <criterion/criterion.h>

#include <sstream>

namespace yuccawick::tests {
namespace {

using gateway::ParseThresholds;
using gateway::ThresholdFault;
using gateway::Thresholds;

// The only fault of `text`; ends the test if there is not exactly one.
gateway::ThresholdError FaultOf(std::string_view text) {
  const auto result = ParseThresholds(text, Thresholds());
  cr_assert(!result.has_value() && result.error().size() == 1);
  return result.error().front();
}

Test(Thresholds, NothingGiven_DefaultsStand) {
  const auto result = ParseThresholds("", Thresholds());
  cr_assert(result.has_value());
  cr_assert_eq(result->connect_timeout, Thresholds().connect_timeout);
}

Test(Thresholds, SeveralGiven_EachIsSetAndOthersStand) {
  const auto result = ParseThresholds(
      "connect_timeout=123,idle_share=0.25,cross_zone_weight=2", Thresholds());
  cr_assert(result.has_value());
  cr_assert_eq(result->connect_timeout, 123);
  cr_assert_float_eq(result->idle_share, 0.25, 1e-9);
  cr_assert_float_eq(result->placement.cross_zone, 2.0, 1e-9);
  cr_assert_eq(result->linger, Thresholds().linger);
}

Test(Thresholds, GivenOverOthers_LaterOnesWin) {
  const auto first = ParseThresholds("linger=10,find_timeout=20", Thresholds());
  const auto second = ParseThresholds("linger=30", *first);
  cr_assert_eq(second->linger, 30);
  cr_assert_eq(second->find_timeout, 20);
}

Test(Thresholds, UnknownName_IsRefused) {
  const auto error = FaultOf("patience=3");
  cr_assert(error.fault == ThresholdFault::kUnknownName);
  cr_assert(error.threshold == "patience");
}

Test(Thresholds, NotANumber_IsRefused) {
  for (const auto* text : {"linger", "linger=", "linger=3s", "linger=1.5",
                           "idle_share=half", "linger=99999999999999999999"}) {
    cr_assert(FaultOf(text).fault == ThresholdFault::kBadValue, "%s", text);
  }
}

Test(Thresholds, OutsideItsBounds_IsRefusedWithThem) {
  for (const auto* text : {"linger=-1", "idle_share=1.1", "idle_share=nan"}) {
    const auto error = FaultOf(text);
    cr_assert(error.fault == ThresholdFault::kOutOfRange, "%s", text);
    cr_assert(error.detail.starts_with("want 0 to "), "%s", text);
  }
}

Test(Thresholds, TwoThatExcludeEachOther_AreRefused) {
  for (const auto* text :
       {"outage_memory=200", "load_memory=400", "home_answer=700",
        "relay_timeout=500", "reader_timeout=400", "log_timeout=120"}) {
    cr_assert(FaultOf(text).fault == ThresholdFault::kContradiction, "%s",
              text);
  }
}

Test(Thresholds, SeveralFaults_AreAllListed) {
  const auto result =
      ParseThresholds("nonsense=1,linger=x,relay_timeout=5", Thresholds());
  cr_assert(!result.has_value());
  cr_assert_eq(result.error().size(), 3);
}

Test(Thresholds, Described_EveryLineCanBeGivenBack) {
  Thresholds changed;
  changed.find_timeout = 77;
  std::string        given;
  std::istringstream lines(Describe(changed));
  for (std::string line; std::getline(lines, line);) {
    given += (given.empty() ? "" : ",") + line.substr(0, line.find(' '));
  }
  const auto result = ParseThresholds(given, Thresholds());
  cr_assert(result.has_value());
  cr_assert_eq(result->find_timeout, 77);
}

}  // namespace
}  // namespace yuccawick::tests

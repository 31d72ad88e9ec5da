// Parsing of operator thresholds: accepted values, and the error for each
// invalid one.
#include "yuccawick/gateway/thresholds.h"

#include <criterion/criterion.h>

#include <sstream>

namespace yuccawick::tests {
namespace {

using gateway::ParseThresholds;
using gateway::ThresholdFault;
using gateway::Thresholds;

// The single error of `text`; the test fails unless there is exactly one.
gateway::ThresholdError OnlyError(std::string_view text) {
  const auto result = ParseThresholds(text, Thresholds());
  cr_assert(!result.has_value() && result.error().size() == 1);
  return result.error().front();
}

Test(Thresholds, EmptyText_DefaultsAreUsed) {
  const auto result = ParseThresholds("", Thresholds());
  cr_assert(result.has_value());
  cr_assert_eq(result->connect_timeout, Thresholds().connect_timeout);
}

Test(Thresholds, SeveralSet_OthersKeepDefaults) {
  const auto result = ParseThresholds(
      "connect_timeout=123,idle_share=0.25,cross_zone_weight=2", Thresholds());
  cr_assert(result.has_value());
  cr_assert_eq(result->connect_timeout, 123);
  cr_assert_float_eq(result->idle_share, 0.25, 1e-9);
  cr_assert_float_eq(result->placement.cross_zone, 2.0, 1e-9);
  cr_assert_eq(result->linger, Thresholds().linger);
}

Test(Thresholds, ParsedOverOthers_LaterValuesWin) {
  const auto first = ParseThresholds("linger=10,find_timeout=20", Thresholds());
  const auto second = ParseThresholds("linger=30", *first);
  cr_assert_eq(second->linger, 30);
  cr_assert_eq(second->find_timeout, 20);
}

Test(Thresholds, UnknownName_IsRefused) {
  const auto error = OnlyError("patience=3");
  cr_assert(error.fault == ThresholdFault::kUnknownName);
  cr_assert(error.threshold == "patience");
}

Test(Thresholds, NotANumber_IsRefused) {
  for (const auto* text : {"linger", "linger=", "linger=3s", "linger=1.5",
                           "idle_share=half", "linger=99999999999999999999"}) {
    cr_assert(OnlyError(text).fault == ThresholdFault::kBadValue, "%s", text);
  }
}

Test(Thresholds, OutOfRange_IsRefusedWithValidRange) {
  for (const auto* text : {"linger=-1", "idle_share=1.1", "idle_share=nan"}) {
    const auto error = OnlyError(text);
    cr_assert(error.fault == ThresholdFault::kOutOfRange, "%s", text);
    cr_assert(error.detail.starts_with("want 0 to "), "%s", text);
  }
}

Test(Thresholds, ConflictingPair_IsRefused) {
  for (const auto* text :
       {"outage_memory=200", "load_memory=400", "home_answer=700",
        "relay_timeout=500", "reader_timeout=400", "log_timeout=120"}) {
    cr_assert(OnlyError(text).fault == ThresholdFault::kContradiction, "%s",
              text);
  }
}

Test(Thresholds, SeveralErrors_AreAllReturned) {
  const auto result =
      ParseThresholds("nonsense=1,linger=x,relay_timeout=5", Thresholds());
  cr_assert(!result.has_value());
  cr_assert_eq(result.error().size(), 3);
}

Test(Thresholds, Described_EveryLineParsesAgain) {
  Thresholds changed;
  changed.find_timeout = 77;
  std::string        text_form;
  std::istringstream lines(Describe(changed));
  for (std::string line; std::getline(lines, line);) {
    text_form +=
        (text_form.empty() ? "" : ",") + line.substr(0, line.find(' '));
  }
  const auto result = ParseThresholds(text_form, Thresholds());
  cr_assert(result.has_value());
  cr_assert_eq(result->find_timeout, 77);
}

}  // namespace
}  // namespace yuccawick::tests

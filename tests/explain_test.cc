// Timelines of requests and programs from the logs of several nodes.
#include "yuccawick/cli/explain.h"

#include <criterion/criterion.h>

#include <sstream>
#include <string>

namespace yuccawick::tests {
namespace {

const std::string kLogs =
    "  1.5 node-a {\"time_ms\":5000,\"event\":\"refused\",\"node\":\"a\","
    "\"request\":\"r1\",\"reason\":\"budget_unsure\",\"status\":503}\n"
    "{\"time_ms\":4000,\"event\":\"accepted\",\"node\":\"a\","
    "\"request\":\"r1\",\"program\":\"p\",\"left_ms\":900}\n"
    "{\"time_ms\":3500,\"event\":\"log_lost\",\"node\":\"a\","
    "\"partition\":\"claims 0\"}\n"
    "{\"time_ms\":100,\"event\":\"log_lost\",\"node\":\"a\"}\n"
    "{\"time_ms\":4200,\"event\":\"log_lost\",\"node\":\"other\"}\n"
    "{\"time_ms\":4300,\"event\":\"claim\",\"node\":\"h\","
    "\"program\":\"p\",\"granted\":0}\n"
    "{\"time_ms\":4400,\"event\":\"sent\",\"node\":\"a\","
    "\"request\":\"r2\"}\n"
    "{\"time_ms\":45";

Test(Explain, RefusedRequest_TimelineShowsCauseInOrder) {
  std::istringstream logs(kLogs);
  const auto         timeline = cli::Explain(logs, "r1");
  cr_assert(timeline.has_value());
  cr_assert_eq(timeline->size(), 4);
  cr_assert(timeline->at(0).find("log_lost  partition=claims 0") !=
            std::string::npos);
  cr_assert(timeline->at(1).find("accepted") != std::string::npos);
  cr_assert(timeline->at(2).find("claim  granted=0") != std::string::npos);
  cr_assert(timeline->at(3).find("reason=budget_unsure") != std::string::npos);
}

Test(Explain, Program_TimelineShowsAllRequests) {
  std::istringstream logs(kLogs);
  cr_assert_eq(cli::Explain(logs, "p")->size(), 4);
}

// The timeline includes the capacity lines of the program's coordinator, not
// those of other nodes.
Test(Explain, ProgramWithoutCapacity_TimelineShowsCoordinatorsCapacity) {
  std::istringstream logs(
      "{\"time_ms\":4000,\"event\":\"room\",\"node\":\"h\",\"turns\":9}\n"
      "{\"time_ms\":4000,\"event\":\"room\",\"node\":\"i\",\"turns\":8}\n"
      "{\"time_ms\":5000,\"event\":\"refused\",\"node\":\"a\","
      "\"request\":\"r1\",\"reason\":\"no_room\","
      "\"tokens_counted_by\":\"h\"}\n");
  const auto timeline = cli::Explain(logs, "r1");
  cr_assert_eq(timeline->size(), 2);
  cr_assert(timeline->at(0).find("h  room  turns=9") != std::string::npos);
}

// The second attempt of a request names the servers of the first one.
Test(Explain, LaterAttempt_TimelineShowsTheServersOfTheFirst) {
  std::istringstream logs(
      "{\"time_ms\":4000,\"event\":\"accepted\",\"node\":\"a\","
      "\"request\":\"r1\",\"request_key\":\"k\"}\n"
      "{\"time_ms\":4010,\"event\":\"loss\",\"node\":\"a\","
      "\"request\":\"r1\",\"server\":\"s\"}\n"
      "{\"time_ms\":4012,\"event\":\"probed\",\"node\":\"a\","
      "\"server\":\"s\",\"outcome\":\"ended\"}\n"
      "{\"time_ms\":4012,\"event\":\"probed\",\"node\":\"a\","
      "\"server\":\"other\",\"outcome\":\"ended\"}\n"
      "{\"time_ms\":4100,\"event\":\"accepted\",\"node\":\"b\","
      "\"request\":\"r2\",\"request_key\":\"k\"}\n"
      "{\"time_ms\":4100,\"event\":\"accepted\",\"node\":\"b\","
      "\"request\":\"r3\",\"request_key\":\"l\"}\n");
  const auto timeline = cli::Explain(logs, "r2");
  cr_assert(timeline.has_value());
  cr_assert_eq(timeline->size(), 4, "%zu", timeline->size());
  cr_assert(timeline->at(2).find("outcome=ended") != std::string::npos);
}

// Guards against a timeline that does not tell that the node ended.
Test(Explain, RequestCutOffByAStop_TimelineShowsTheStop) {
  std::istringstream logs(
      "{\"time_ms\":1000,\"event\":\"stopping\",\"node\":\"a\"}\n"
      "{\"time_ms\":3000,\"event\":\"accepted\",\"node\":\"a\","
      "\"request\":\"r1\",\"left_ms\":9000,\"node_ends_in_ms\":5300}\n"
      "{\"time_ms\":8300,\"event\":\"stopped\",\"node\":\"a\","
      "\"requests_cut\":1}\n"
      "{\"time_ms\":8300,\"event\":\"refused\",\"node\":\"a\","
      "\"request\":\"r1\",\"reason\":\"node_ends\"}\n");
  const auto timeline = cli::Explain(logs, "r1");
  cr_assert_eq(timeline->size(), 4);
  cr_assert(timeline->at(2).find("stopped  requests_cut=1") !=
            std::string::npos);
}

Test(Explain, UnknownId_IsNotFound) {
  std::istringstream logs(kLogs);
  cr_assert(cli::Explain(logs, "none").error() == cli::ExplainFault::kNotFound);
}

}  // namespace
}  // namespace yuccawick::tests

// State charts: all states are reachable; invalid charts are rejected.
#include "yuccawick/core/chart.h"

#include <criterion/criterion.h>

#include <set>
#include <string>

namespace yuccawick::tests {
namespace {

using core::Chart;
using core::ChartFault;

const core::NameList kStates{"off", "on"};
const core::NameList kEvents{"press"};

ChartFault FaultOf(const std::string& text) {
  const auto chart = Chart::Parse(text, kStates, kEvents);
  cr_assert_not(chart.has_value(), "%s", text.c_str());
  return chart.error().fault;
}

Test(Charts, EveryChartCompiledIn_LoadsAndEveryStateIsReached) {
  for (const auto& source : core::ChartSources()) {
    const auto chart = Chart::Parse(source.text, source.states, source.events);
    cr_assert(chart.has_value(), "%s", std::string(source.name).c_str());
    std::set<int>    reached{chart->start()};
    std::vector<int> unvisited{chart->start()};
    while (!unvisited.empty()) {
      const int state = unvisited.back();
      unvisited.pop_back();
      for (std::size_t event = 0; event < source.events.size(); ++event) {
        const int next = chart->Next(state, static_cast<int>(event));
        if (next >= 0 && reached.insert(next).second) unvisited.push_back(next);
      }
    }
    cr_assert_eq(reached.size(), source.states.size());
  }
}

Test(Charts, BadCharts_AreRefusedWithTheFault) {
  cr_assert(FaultOf("start off\noff press up\n") == ChartFault::kUnknownState);
  cr_assert(FaultOf("start off\noff pull on\n") == ChartFault::kUnknownEvent);
  cr_assert(FaultOf("start off\noff press off\n") ==
            ChartFault::kUnreachableState);
  cr_assert(FaultOf("off press on\n") == ChartFault::kNoStart);
  cr_assert(FaultOf("start off\nstart on\n") == ChartFault::kNoStart);
  cr_assert(FaultOf("start off\noff press on\noff press on\n") ==
            ChartFault::kDuplicate);
  cr_assert(FaultOf("start off\noff press\n") == ChartFault::kBadLine);
}

Test(Charts, EventNotAllowedInState_DoesNotMove) {
  auto phase = core::GetProgramChart().Start();
  cr_assert_not(
      core::GetProgramChart().Fire(&phase, core::ProgramEvent::kDurable));
  cr_assert(phase == core::ProgramPhase::kIdle);
}

}  // namespace
}  // namespace yuccawick::tests

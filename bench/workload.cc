#include "workload.h"

#include <random>

namespace yuccawick::bench {
namespace {

constexpr core::Duration kMinute = 60'000;

class Random {
 public:
  explicit Random(std::uint64_t seed) : m_random(seed) {}
  std::int64_t Between(std::int64_t min, std::int64_t max) {
    return std::uniform_int_distribution<std::int64_t>(min, max)(m_random);
  }
  bool OneIn(int n) { return Between(1, n) == 1; }

 private:
  std::mt19937_64 m_random;
};

struct ProgramShape {
  std::int64_t min_calls, max_calls;
  std::int64_t min_input, max_input;
  std::int64_t min_output, max_output;
  std::int64_t min_tool_time, max_tool_time;  // ms
};

void AddCalls(const ProgramShape& shape, Random* rng, PlannedProgram* program) {
  const auto count = rng->Between(shape.min_calls, shape.max_calls);
  for (std::int64_t i = 0; i < count; ++i) {
    program->calls.push_back(
        {rng->Between(shape.min_input, shape.max_input),
         rng->Between(shape.min_output, shape.max_output),
         rng->Between(shape.min_tool_time, shape.max_tool_time)});
  }
}

constexpr ProgramShape kBooking{4, 9, 40, 140, 30, 120, 200, 2500};
constexpr ProgramShape kDispute{8, 20, 80, 300, 60, 220, 300, 4000};
constexpr ProgramShape kDraft{6, 16, 60, 400, 120, 400, 1000, 15'000};
constexpr ProgramShape kUrgent{2, 3, 40, 120, 40, 100, 100, 500};
constexpr ProgramShape kRefresh{2, 4, 30, 100, 60, 160, 200, 1000};

}  // namespace

Scenario MakeSakhli(std::uint64_t seed, double load) {
  constexpr int kPrograms = 420;
  Scenario      scenario;
  scenario.name = "sakhli";
  scenario.servers = 9;
  scenario.contract.cache_weight = 20;
  scenario.contract.classes = {{"booking", 3, 15'000}, {"dispute", 5, 60'000}};
  Random rng(seed);
  for (int i = 0; i < static_cast<int>(kPrograms * load); ++i) {
    PlannedProgram program;
    program.arrival = rng.Between(0, kMinute);
    const bool dispute = rng.OneIn(5);
    program.service_class = dispute ? 1 : 0;
    program.history = rng.Between(600, 1200);
    program.time_limit = dispute ? 6 * kMinute : 3 * kMinute;
    AddCalls(dispute ? kDispute : kBooking, &rng, &program);
    scenario.programs.push_back(program);
  }
  return scenario;
}

Scenario MakeMandacaru(std::uint64_t seed, double load) {
  constexpr int kPrograms = 160;
  Scenario      scenario;
  scenario.name = "mandacaru";
  scenario.servers = 8;
  scenario.contract.cache_weight = 90;
  scenario.contract.classes = {
      {"draft", 5, 60'000}, {"urgent", 0, 5000}, {"refresh", 9, 600'000}};
  Random rng(seed);
  for (int i = 0; i < static_cast<int>(kPrograms * load); ++i) {
    PlannedProgram program;
    program.arrival = rng.Between(0, kMinute);
    const auto kind = rng.Between(1, 10);
    if (kind <= 6) {
      program.service_class = 0;
      program.history = rng.Between(4000, 30'000);
      program.time_limit = 10 * kMinute;
      AddCalls(kDraft, &rng, &program);
    } else if (kind <= 8) {
      program.service_class = 1;
      program.history = rng.Between(300, 900);
      program.time_limit = kMinute;
      AddCalls(kUrgent, &rng, &program);
    } else {
      program.service_class = 2;
      program.history = rng.Between(1000, 3000);
      program.time_limit = 30 * kMinute;
      AddCalls(kRefresh, &rng, &program);
    }
    scenario.programs.push_back(program);
  }
  return scenario;
}

}  // namespace yuccawick::bench

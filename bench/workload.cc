#include "workload.h"

#include <random>

namespace yuccawick::bench {
namespace {

constexpr core::Duration kMinute = 60'000;

class Draw {
 public:
  explicit Draw(std::uint64_t seed) : m_random(seed) {}
  std::int64_t Between(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(m_random);
  }
  bool OneIn(int n) { return Between(1, n) == 1; }

 private:
  std::mt19937_64 m_random;
};

struct Shape {
  std::int64_t calls_low, calls_high;
  std::int64_t input_low, input_high;
  std::int64_t output_low, output_high;
  std::int64_t pause_low, pause_high;  // ms
};

void AddCalls(const Shape& shape, Draw* draw, PlannedProgram* program) {
  const auto count = draw->Between(shape.calls_low, shape.calls_high);
  for (std::int64_t i = 0; i < count; ++i) {
    program->calls.push_back(
        {draw->Between(shape.input_low, shape.input_high),
         draw->Between(shape.output_low, shape.output_high),
         draw->Between(shape.pause_low, shape.pause_high)});
  }
}

constexpr Shape kBooking{4, 9, 40, 140, 30, 120, 200, 2500};
constexpr Shape kDispute{8, 20, 80, 300, 60, 220, 300, 4000};
constexpr Shape kDraft{6, 16, 60, 400, 120, 400, 1000, 15'000};
constexpr Shape kUrgent{2, 3, 40, 120, 40, 100, 100, 500};
constexpr Shape kRefresh{2, 4, 30, 100, 60, 160, 200, 1000};

}  // namespace

Scenario MakeSakhli(std::uint64_t seed, double load) {
  constexpr int kPrograms = 420;
  Scenario      scenario;
  scenario.name = "sakhli";
  scenario.servers = 9;
  scenario.contract.cache_weight = 20;
  scenario.contract.classes = {{"booking", 3, 15'000}, {"dispute", 5, 60'000}};
  Draw draw(seed);
  for (int i = 0; i < static_cast<int>(kPrograms * load); ++i) {
    PlannedProgram program;
    program.arrives = draw.Between(0, kMinute);
    const bool dispute = draw.OneIn(5);
    program.service_class = dispute ? 1 : 0;
    program.history = draw.Between(600, 1200);
    program.patience = dispute ? 6 * kMinute : 3 * kMinute;
    AddCalls(dispute ? kDispute : kBooking, &draw, &program);
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
  Draw draw(seed);
  for (int i = 0; i < static_cast<int>(kPrograms * load); ++i) {
    PlannedProgram program;
    program.arrives = draw.Between(0, kMinute);
    const auto kind = draw.Between(1, 10);
    if (kind <= 6) {
      program.service_class = 0;
      program.history = draw.Between(4000, 30'000);
      program.patience = 10 * kMinute;
      AddCalls(kDraft, &draw, &program);
    } else if (kind <= 8) {
      program.service_class = 1;
      program.history = draw.Between(300, 900);
      program.patience = kMinute;
      AddCalls(kUrgent, &draw, &program);
    } else {
      program.service_class = 2;
      program.history = draw.Between(1000, 3000);
      program.patience = 30 * kMinute;
      AddCalls(kRefresh, &draw, &program);
    }
    scenario.programs.push_back(program);
  }
  return scenario;
}

}  // namespace yuccawick::bench

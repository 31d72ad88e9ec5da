// Benchmark of coordinator failover: log appends, bytes, messages and time, for
// several numbers of coordinators and programs. Runs the real core in a Group
// on a simulated clock, so results are deterministic. Exits 1 if a bound is
// broken.
#include <cmath>
#include <iomanip>
#include <iostream>

#include "yuccawick/testing/group.h"

namespace yuccawick::bench {
namespace {

using testing::Group;

constexpr core::Duration kTimeout = 120'000;

struct Cost {
  int            coordinators = 0;  // that failed
  int            programs = 0;      // per coordinator
  std::int64_t   appends = 0;
  std::int64_t   append_bytes = 0;
  std::int64_t   messages = 0;
  core::Duration first_served = 0;  // ms until the first program is served
  core::Duration all_served = 0;    // ms until all are served
};

core::Call NextCall(Group& group, const core::ProgramId& program) {
  return group.ModelCall(program, 2, "next");
}

// Runs `coordinators` coordinators in zone a with as many replicas in each of
// zones b and c, then kills zone a.
Cost Measure(int coordinators, int programs) {
  testing::GroupSettings settings;
  settings.model_time = 5;
  settings.service_time = 5;
  settings.tune = [](core::AgentSettings* agent) {
    agent->executor.slots = 64;
  };
  Group group(settings);
  group.AddEntry("entry", "b");
  for (int i = 0; i < coordinators; ++i) {
    const std::string number = std::to_string(i);
    group.AddAgent("a-" + number, "a", core::BackendKind::kModel, "lost");
    group.AddAgent("b-" + number, "b", core::BackendKind::kModel, "m");
    group.AddAgent("c-" + number, "c", core::BackendKind::kModel, "m");
  }
  auto contract = Group::DefaultContract("sakhli");
  contract.max_programs = 100'000;
  contract.total_budget = 1'000'000'000;
  contract.classes = {{"normal", 5, 60'000}};
  group.Publish(contract);
  group.Settle(kTimeout);
  std::vector<core::ProgramId> ids;
  std::vector<std::uint64_t>   starts;
  starts.reserve(static_cast<std::size_t>(coordinators) *
                 static_cast<std::size_t>(programs));
  for (int i = 0; i < coordinators * programs; ++i)
    starts.push_back(group.Start("entry", "sakhli", "w1", "lost"));
  group.Advance(5000);
  for (const auto start : starts) {
    if (!group.IsAnswered(start)) continue;
    const auto& reply = std::get<core::StartReply>(*group.AnswerTo(start));
    if (reply.ok) ids.push_back(reply.program);
  }
  std::vector<std::uint64_t> first_calls;
  for (const auto& id : ids) {
    auto call = group.ModelCall(id, 1, std::string(400, 'x'));
    call.target = "lost";
    first_calls.push_back(group.Call("entry", call));
  }
  group.Advance(10'000);
  Cost cost;
  cost.coordinators = coordinators;
  cost.programs = static_cast<int>(ids.size()) / coordinators;
  const auto appends = group.log().append_count();
  const auto bytes = group.log().append_bytes();
  const auto messages = group.message_count();
  const auto killed_at = group.now();
  for (int i = 0; i < coordinators; ++i) group.Kill("a-" + std::to_string(i));
  std::vector<std::uint64_t> second_calls;
  second_calls.reserve(ids.size());
  for (const auto& id : ids)
    second_calls.push_back(group.Call("entry", NextCall(group, id)));
  std::size_t answered = 0;
  while (answered < second_calls.size() && group.now() - killed_at < kTimeout) {
    group.Advance(10);
    answered = 0;
    for (const auto request : second_calls)
      answered += group.IsAnswered(request) ? 1 : 0;
    if (answered > 0 && cost.first_served == 0)
      cost.first_served = group.now() - killed_at;
  }
  cost.all_served = group.now() - killed_at;
  cost.appends = group.log().append_count() - appends;
  cost.append_bytes = group.log().append_bytes() - bytes;
  cost.messages = group.message_count() - messages;
  return cost;
}

void Print(const Cost& cost) {
  std::cout << std::setw(6) << cost.coordinators << std::setw(10)
            << cost.programs << std::setw(9) << cost.appends << std::setw(12)
            << cost.append_bytes << std::setw(10) << cost.messages
            << std::setw(10) << cost.first_served << std::setw(9)
            << cost.all_served << "\n";
}

int Run() {
  std::cout << " nodes  programs  appends       bytes  messages  first ms"
               "   all ms\n";
  std::vector<Cost> one_coordinator;
  for (const int programs : {10, 50, 100, 333}) {
    one_coordinator.push_back(Measure(1, programs));
    Print(one_coordinator.back());
  }
  std::vector<Cost> many_coordinators;
  for (const int coordinators : {1, 2, 4, 8}) {
    many_coordinators.push_back(Measure(coordinators, 40));
    Print(many_coordinators.back());
  }
  const auto&  small = one_coordinator.front();
  const auto&  large = one_coordinator.back();
  const double per_program =
      static_cast<double>(large.messages - small.messages) /
      (large.programs - small.programs);
  std::cout << "messages per program: " << per_program << "\n";
  // A claim is one append per coordinator, not one per program.
  const bool appends_flat = large.appends <= 4 * small.appends + 8;
  const bool time_flat = many_coordinators.back().all_served <=
                         2 * many_coordinators.front().all_served;
  std::cout << (appends_flat ? "bound holds:  " : "BOUND BROKEN: ")
            << "appends for 333 programs at most 4 times those for 10, plus 8\n"
            << (time_flat ? "bound holds:  " : "BOUND BROKEN: ")
            << "eight failed nodes recover within twice the time of one\n";
  return appends_flat && time_flat ? 0 : 1;
}

}  // namespace
}  // namespace yuccawick::bench

int main() { return yuccawick::bench::Run(); }

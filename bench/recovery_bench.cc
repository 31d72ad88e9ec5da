// What it costs to take over lost homes: appends, messages, bytes and time, at
// several sizes, to give slopes. The real core in the hand-driven group;
// everything is counted on the manual clock, so the figures are the same every
// time. Exits 1 if a bound is broken.
#include <cmath>
#include <iomanip>
#include <iostream>

#include "yuccawick/testing/group.h"

namespace yuccawick::bench {
namespace {

using testing::Group;

constexpr core::Duration kLong = 120'000;

struct Cost {
  int            coordinators = 0;  // lost
  int            programs = 0;      // on each
  std::int64_t   appends = 0;
  std::int64_t   append_bytes = 0;
  std::int64_t   messages = 0;
  core::Duration first = 0;  // ms until the first program is served again
  core::Duration all = 0;    // ms until all are
};

core::Call NextCall(Group& group, const core::ProgramId& program) {
  return group.ModelCall(program, 2, "next");
}

// `homes` homes in zone a, as many replicas in b and c; then zone a is lost.
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
  group.Settle(kLong);
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
  std::vector<std::uint64_t> firsts;
  for (const auto& id : ids) {
    auto call = group.ModelCall(id, 1, std::string(400, 'x'));
    call.target = "lost";
    firsts.push_back(group.Call("entry", call));
  }
  group.Advance(10'000);
  Cost cost;
  cost.coordinators = coordinators;
  cost.programs = static_cast<int>(ids.size()) / coordinators;
  const auto appends = group.log().append_count();
  const auto bytes = group.log().append_bytes();
  const auto messages = group.message_count();
  const auto began = group.now();
  for (int i = 0; i < coordinators; ++i) group.Kill("a-" + std::to_string(i));
  std::vector<std::uint64_t> seconds;
  seconds.reserve(ids.size());
  for (const auto& id : ids)
    seconds.push_back(group.Call("entry", NextCall(group, id)));
  std::size_t answered = 0;
  while (answered < seconds.size() && group.now() - began < kLong) {
    group.Advance(10);
    answered = 0;
    for (const auto request : seconds)
      answered += group.IsAnswered(request) ? 1 : 0;
    if (answered > 0 && cost.first == 0) cost.first = group.now() - began;
  }
  cost.all = group.now() - began;
  cost.appends = group.log().append_count() - appends;
  cost.append_bytes = group.log().append_bytes() - bytes;
  cost.messages = group.message_count() - messages;
  return cost;
}

void Print(const Cost& cost) {
  std::cout << std::setw(6) << cost.coordinators << std::setw(10)
            << cost.programs << std::setw(9) << cost.appends << std::setw(12)
            << cost.append_bytes << std::setw(10) << cost.messages
            << std::setw(10) << cost.first << std::setw(9) << cost.all << "\n";
}

int Run() {
  std::cout << " homes  programs  appends       bytes  messages  first ms"
               "   all ms\n";
  std::vector<Cost> one_coordinator;
  for (const int programs : {10, 50, 100, 333}) {
    one_coordinator.push_back(Measure(1, programs));
    Print(one_coordinator.back());
  }
  std::vector<Cost> zones;
  for (const int coordinators : {1, 2, 4, 8}) {
    zones.push_back(Measure(coordinators, 40));
    Print(zones.back());
  }
  const auto&  small = one_coordinator.front();
  const auto&  large = one_coordinator.back();
  const double per_program =
      static_cast<double>(large.messages - small.messages) /
      (large.programs - small.programs);
  std::cout << "messages for each program: " << per_program << "\n";
  // Claims are one append a home, not one a program.
  const bool appends_flat = large.appends <= 4 * small.appends + 8;
  const bool time_flat = zones.back().all <= 2 * zones.front().all;
  std::cout << (appends_flat ? "bound holds:  " : "BOUND BROKEN: ")
            << "appends for 333 programs at most 4 times those for 10, plus 8\n"
            << (time_flat ? "bound holds:  " : "BOUND BROKEN: ")
            << "eight homes lost are back within twice the time of one\n";
  return appends_flat && time_flat ? 0 : 1;
}

}  // namespace
}  // namespace yuccawick::bench

int main() { return yuccawick::bench::Run(); }

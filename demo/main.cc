// yw-demo: demonstration of the whole system on loopback.
//
// Publishes two contracts, runs a booking program and a drafting program with a
// sub-agent, kills the coordinator of the booking program between two turns,
// and compares the results reported to the callers with the calls executed by
// the stand-ins. Exits 0 if they agree.
//
// With --serve it only starts the system and waits for the end of its input.
#include <gflags/gflags.h>
#include <signal.h>

#include <chrono>
#include <iostream>

#include "caller.h"

DEFINE_string(programs, ".", "directory of the built programs");
DEFINE_string(contracts, "contracts", "directory of the contract files");
DEFINE_bool(serve, false,
            "only start the system and wait for the end of input");

namespace demo {
namespace {

constexpr const char*          kBookingModel = "laundry-7b";
constexpr const char*          kDraftModel = "bulletin-13b";
const std::vector<std::string> kModelAgents{"model-1", "model-2", "model-3",
                                            "draft-1", "draft-2"};
const std::vector<std::string> kServiceAgents{"desk-1", "press-1"};
const std::vector<std::string> kEntryVms{"entry-1", "entry-2"};

// Prints failed expectations and remembers whether there were any.
class Checks {
 public:
  void Expect(bool ok, const std::string& what) {
    if (!ok) std::cout << "  FAILED: " << what << "\n";
    m_ok = m_ok && ok;
  }
  bool good() const { return m_ok; }

 private:
  bool m_ok = true;
};

bool StartSystem(ProcessGroup& group) {
  group.StartPlatform();
  group.AddAgent({"model-1", "saburtalo", "model", kBookingModel, true});
  group.AddAgent({"model-2", "gldani", "model", kBookingModel, false});
  group.AddAgent({"model-3", "isani", "model", kBookingModel, true});
  group.AddAgent({"draft-1", "saburtalo", "model", kDraftModel, true});
  group.AddAgent({"draft-2", "gldani", "model", kDraftModel, false});
  group.AddAgent({"desk-1", "gldani", "service", "booking", true});
  group.AddAgent({"press-1", "isani", "service", "publish", true});
  for (const auto& entry : kEntryVms) group.AddEntry(entry, "saburtalo");
  for (const auto& vm : kModelAgents) {
    if (!group.WaitUntilReady(vm)) return false;
  }
  for (const auto* vms : {&kServiceAgents, &kEntryVms}) {
    for (const auto& vm : *vms) {
      if (!group.WaitUntilReady(vm)) return false;
    }
  }
  return true;
}

bool PublishContracts(ProcessGroup& group) {
  std::string output;
  for (const auto* customer : {"sakhli", "mandacaru"}) {
    const std::string file =
        FLAGS_contracts + "/" + std::string(customer) + ".json";
    const int code = group.Operate({"contract", "publish", file}, &output);
    std::cout << "  yw contract publish: " << output;
    if (code != 0) return false;
  }
  for (const auto& vm : kModelAgents) {
    for (const auto* customer : {"sakhli", "mandacaru"}) {
      if (!group.WaitForContract(vm, customer)) return false;
    }
  }
  return true;
}

std::string CoordinatorOf(const std::string& program) {
  return program.substr(0, program.find('.'));
}

class Stopwatch {
 public:
  long Milliseconds() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now() - m_start)
        .count();
  }

 private:
  std::chrono::steady_clock::time_point m_start =
      std::chrono::steady_clock::now();
};

void PrintHistory(const Answer& history) { std::cout << history.body; }

void RunBooking(ProcessGroup& group, Checks& checks) {
  std::cout << "booking program (sakhli)\n";
  const Stopwatch watch;
  Caller          caller(group, kEntryVms, "sakhli", "household-17");
  checks.Expect(caller.Start(kBookingModel), "the program starts");
  const Answer first = caller.Model(kBookingModel, "a slot on Friday", true);
  checks.Expect(first.body.find("[DONE]") != std::string::npos,
                "the first answer is streamed to its end");
  const std::string coordinator = CoordinatorOf(caller.program());
  std::cout << "  killing coordinator " << coordinator
            << " between two turns\n";
  group.node(coordinator).Signal(SIGKILL);
  group.node(coordinator).Wait();
  const Answer booked = caller.Service("booking", "friday 09:00 machine 2");
  checks.Expect(booked.status == 200, "the booking succeeds: " + booked.body);
  const Answer receipt = caller.Model(kBookingModel, "confirm it");
  checks.Expect(receipt.status == 200,
                "the receipt is returned: " + receipt.body);
  const Answer end = caller.End();
  checks.Expect(end.status == 200, "the program ends: " + end.body);
  PrintHistory(end);
  const Answer effects = group.Effects("desk-1");
  const int    bookings = effects.json->getObject("calls")->optValue<int>(
      caller.program() + "/2", 0);
  checks.Expect(bookings == 1, "the slot is booked exactly once");
  checks.Expect(end.json->getArray("turns")->size() == 3,
                "the history has three turns");
  std::cout << "  latency " << watch.Milliseconds() << " ms, " << caller.tries()
            << " requests, bookings executed " << bookings << "\n";
  group.Restart(coordinator);
  checks.Expect(group.WaitUntilReady(coordinator), coordinator + " rejoins");
}

void RunDrafting(ProcessGroup& group, Checks& checks) {
  std::cout << "drafting program (mandacaru)\n";
  const Stopwatch watch;
  Caller          editor(group, kEntryVms, "mandacaru", "editor-4");
  checks.Expect(editor.Start(kDraftModel, "", "draft"), "the program starts");
  const Answer draft =
      editor.Model(kDraftModel, "draft the morning bulletin", true);
  checks.Expect(draft.body.find("[DONE]") != std::string::npos,
                "the draft is streamed to its end");
  Caller fact_checker(group, kEntryVms, "mandacaru", "editor-4");
  checks.Expect(fact_checker.Start(kDraftModel, editor.program()),
                "the sub-agent starts");
  checks.Expect(
      fact_checker.Model(kDraftModel, "check the figures").status == 200,
      "the sub-agent answers");
  const Answer published = editor.Service("publish", "bulletin of today");
  checks.Expect(published.status == 200,
                "the bulletin is published: " + published.body);
  const Answer foreign = Caller(group, kEntryVms, "mandacaru", "editor-5")
                             .History();  // has no program
  checks.Expect(foreign.status != 200,
                "another editor cannot read the history");
  const Answer end = editor.End();
  checks.Expect(end.status == 200, "the program ends: " + end.body);
  PrintHistory(end);
  const Answer effects = group.Effects("press-1");
  const int    alerts = effects.json->getObject("calls")->optValue<int>(
      editor.program() + "/2", 0);
  checks.Expect(alerts == 1, "the bulletin is published exactly once");
  std::cout << "  latency " << watch.Milliseconds() << " ms, "
            << editor.tries() + fact_checker.tries()
            << " requests, publications executed " << alerts << "\n";
}

void CheckEngines(ProcessGroup& group, Checks& checks) {
  std::cout << "engines\n";
  for (const auto& vm : kModelAgents) {
    // Prefixes are released asynchronously.
    int held = -1;
    for (int i = 0; i < 200 && held != 0; ++i) {
      held = group.Effects(vm).json->getValue<int>("prefixes_held");
    }
    std::cout << "  " << vm << " prefixes held " << held << "\n";
    checks.Expect(held == 0, vm + " holds no prefixes of ended programs");
  }
}

int Run() {
  ProcessGroup group(FLAGS_programs);
  Checks       checks;
  std::cout << "starting the system\n";
  checks.Expect(StartSystem(group), "every node joins");
  checks.Expect(PublishContracts(group), "both contracts are in force");
  if (FLAGS_serve && checks.good()) {
    std::cout << "entry " << group.HttpOf(kEntryVms[0]) << "\nlog "
              << group.log_address() << std::endl;
    for (std::string line; std::getline(std::cin, line);) {
    }
    return 0;
  }
  if (checks.good()) {
    RunBooking(group, checks);
    RunDrafting(group, checks);
    CheckEngines(group, checks);
  }
  std::cout << (checks.good() ? "callers and stand-ins agree\n"
                              : "callers and stand-ins DISAGREE\n");
  return checks.good() ? 0 : 1;
}

}  // namespace
}  // namespace demo

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return demo::Run();
}

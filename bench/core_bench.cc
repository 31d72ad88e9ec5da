// Microbenchmarks of the core: CPU time, heap and message sizes, for several
// numbers of members and programs.
#include <benchmark/benchmark.h>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <malloc.h>

#include "yuccawick/core/agent.h"
#include "yuccawick/core/entry.h"
#include "yuccawick/rpc/convert.h"
#include "yuccawick/testing/group.h"

namespace yuccawick::bench {
namespace {

constexpr core::Time kStart = 1'000'000'000;

// Control stream of a group with `agents` agents in six zones, for 18 models.
std::vector<core::LoggedRecord> ControlRecords(int agents) {
  std::vector<core::LoggedRecord> records;
  core::Offset                    offset = 0;
  const auto                      add = [&](const core::Record& record) {
    records.push_back({offset++, record});
  };
  core::ContractRecord contract;
  contract.contract = testing::Group::DefaultContract("sakhli");
  contract.contract.max_programs = 1'000'000;
  contract.contract.program_budget = 1'000'000'000;
  contract.contract.total_budget = 1'000'000'000'000;
  add(contract);
  for (int i = 0; i < agents; ++i) {
    core::JoinRecord join;
    join.node = {"vm-" + std::to_string(i), 1};
    join.zone = "zone-" + std::to_string(i % 6);
    // No other agent serves the model of the measured one, so that every call
    // runs there.
    join.target = i == 0 ? "solo" : "model-" + std::to_string(i % 18);
    join.address = "127.0.0.1:1";
    add(join);
  }
  for (int i = 0; i < agents; ++i) {
    core::ReplicaRecord replica;
    replica.coordinator = {"vm-" + std::to_string(i), 1};
    for (const int step : {1, 2}) {
      replica.replicas.push_back(
          {"vm-" + std::to_string((i + 18 * step + step) % agents), 1});
    }
    add(replica);
  }
  return records;
}

std::size_t HeapBytes() { return mallinfo2().uordblks; }

// Drives one agent on a simulated clock; its log, backend server and replicas
// answer immediately.
class AgentHarness {
 public:
  explicit AgentHarness(int agents) : m_control(ControlRecords(agents)) {
    core::AgentSettings settings;
    settings.join.node = {"vm-0", 1};
    settings.join.zone = "zone-0";
    settings.join.target = "solo";
    m_agent = std::make_unique<core::Agent>(settings, core::Safeguards::All(),
                                            m_queue, m_route);
    for (int i = 0; i < 400; ++i) Tick();
  }

  void Tick() {
    m_now += 50;
    Feed(core::Tick{});
  }

  // Ticks until pending records are appended to the log.
  void Settle() {
    for (int i = 0; i < 100; ++i) Tick();
  }

  core::ProgramId Start() {
    core::StartProgram start{++m_request, "sakhli", "w1", "solo", "", {}};
    Feed(core::MessageReceived{{"entry", 1}, m_agent->self(), start});
    for (int i = 0; i < 40 && m_started < m_request; ++i) Tick();
    return m_program;
  }

  void CallOnce(const core::ProgramId& program, core::Sequence sequence) {
    core::Call call;
    call.program = program;
    call.customer = "sakhli";
    call.workspace = "w1";
    call.sequence = sequence;
    call.target = "solo";
    call.body = std::string(400, 'x');
    call.max_tokens = 64;
    call.deadline = m_now + 60'000;
    Feed(core::MessageReceived{
        {"entry", 1}, m_agent->self(), core::CallRequest{++m_request, call}});
  }

  core::Agent&     agent() { return *m_agent; }
  std::int64_t     messages() const { return m_messages; }
  std::int64_t     answered() const { return m_answered; }
  // Reason of the last refusal; empty if there was none.
  std::string_view refusal() const { return m_refusal; }

 private:
  void Feed(const core::Event& event) {
    std::vector<core::Command> commands = m_agent->Handle(m_now, event);
    while (!commands.empty()) {
      std::vector<core::Command> next;
      for (const auto& command : commands) ExecuteCommand(command, &next);
      commands = std::move(next);
    }
  }

  void HandleEvent(const core::Event& event, std::vector<core::Command>* next) {
    for (auto& command : m_agent->Handle(m_now, event))
      next->push_back(std::move(command));
  }

  void ExecuteCommand(const core::Command&        command,
                      std::vector<core::Command>* next) {
    if (const auto* read = std::get_if<core::ReadRecords>(&command)) {
      core::ReadDone done;
      done.read = read->read;
      done.stream = read->stream;
      auto& records =
          read->stream == core::kControlStream ? m_control : m_grants;
      done.end = static_cast<core::Offset>(records.size());
      for (core::Offset i = read->from; i < done.end; ++i)
        done.records.push_back(records[static_cast<std::size_t>(i)]);
      return HandleEvent(done, next);
    }
    if (const auto* append = std::get_if<core::AppendRecords>(&command)) {
      const bool control = append->stream == core::kControlStream;
      if (control || append->stream.starts_with("grants")) {
        auto& records = control ? m_control : m_grants;
        for (const auto& record : append->records) {
          records.push_back(
              {static_cast<core::Offset>(records.size()), record});
        }
      }
      return HandleEvent(
          core::AppendDone{append->append, core::LogStatus::kOk, 0}, next);
    }
    if (const auto* run = std::get_if<core::RunCall>(&command)) {
      core::RunDone done;
      done.run = run->run;
      done.ok = true;
      done.answer.text = std::string(240, 'y');
      done.answer.usage = {core::EstimateTokens(run->prompt), 0, 60};
      return HandleEvent(done, next);
    }
    const auto* send = std::get_if<core::SendMessage>(&command);
    if (send == nullptr) return;
    ++m_messages;
    AnswerMessage(*send, next);
  }

  void AnswerMessage(const core::SendMessage&    send,
                     std::vector<core::Command>* next) {
    const auto from = [&](core::Message message) {
      HandleEvent(
          core::MessageReceived{send.to, m_agent->self(), std::move(message)},
          next);
    };
    if (const auto* copy = std::get_if<core::Replicate>(&send.message))
      return from(core::ReplicateReply{copy->batch, true});
    if (std::holds_alternative<core::Probe>(send.message))
      return from(core::ProbeReply{m_agent->control().version(), false, 0, 0});
    if (const auto* reply = std::get_if<core::StartReply>(&send.message)) {
      m_program = reply->program;
      m_started = reply->request;
    }
    if (const auto* reply = std::get_if<core::CallReply>(&send.message)) {
      ++m_answered;
      if (!reply->ok) m_refusal = core::Name(reply->failure.reason);
    }
  }

  core::OldestProgramQueue        m_queue;
  core::CacheAwareRoute           m_route{10, 5000, 30};
  core::Time                      m_now = kStart;
  std::vector<core::LoggedRecord> m_control;
  std::vector<core::LoggedRecord> m_grants;
  std::unique_ptr<core::Agent>    m_agent;
  std::uint64_t                   m_request = 0;
  std::uint64_t                   m_started = 0;
  std::int64_t                    m_messages = 0;
  std::int64_t                    m_answered = 0;
  core::ProgramId                 m_program;
  std::string_view                m_refusal;
};

// One tick of an agent. Arguments: members, programs.
void AgentTick(benchmark::State& state) {
  AgentHarness harness(static_cast<int>(state.range(0)));
  for (int i = 0; i < state.range(1); ++i) harness.Start();
  const auto   before = harness.messages();
  std::int64_t ticks = 0;
  for (auto _ : state) {
    harness.Tick();
    ++ticks;
  }
  state.counters["messages_per_s"] =
      20.0 * static_cast<double>(harness.messages() - before) /
      static_cast<double>(ticks);
}
BENCHMARK(AgentTick)
    ->Args({60, 0})
    ->Args({600, 0})
    ->Args({600, 100})
    ->Args({600, 333})
    ->Unit(benchmark::kMicrosecond);

// One model call through an agent, from reservation to reply, with two
// replicas. Arguments: programs, turns already in the history.
void AgentCall(benchmark::State& state) {
  AgentHarness                 harness(600);
  std::vector<core::ProgramId> programs;
  programs.reserve(static_cast<std::size_t>(state.range(0)));
  for (int i = 0; i < state.range(0); ++i) programs.push_back(harness.Start());
  core::Sequence sequence = 1;
  for (; sequence <= state.range(1); ++sequence) {
    for (const auto& program : programs) harness.CallOnce(program, sequence);
    harness.Settle();
  }
  const auto  before = harness.messages();
  const auto  answered = harness.answered();
  std::size_t next = 0;
  for (auto _ : state) {
    if (sequence > 140) {
      state.SkipWithError("turn limit of the contract reached");
      break;
    }
    harness.CallOnce(programs[next], sequence);
    if (++next < programs.size()) continue;
    next = 0;
    ++sequence;
    state.PauseTiming();
    harness.Settle();
    state.ResumeTiming();
  }
  if (!harness.refusal().empty())
    state.SkipWithError(std::string(harness.refusal()).c_str());
  const auto calls = static_cast<double>(harness.answered() - answered);
  state.counters["messages_per_call"] =
      static_cast<double>(harness.messages() - before) / calls;
}
BENCHMARK(AgentCall)
    ->Args({100, 1})
    ->Args({333, 1})
    ->Args({333, 20})
    ->Args({333, 60})
    ->Iterations(2000)
    ->Unit(benchmark::kMicrosecond);

// One call through an entry. Argument: members.
void EntryCall(benchmark::State& state) {
  core::EntrySettings settings;
  settings.self = {"entry", 1};
  core::Entry    entry(settings, core::Safeguards::All());
  core::ReadDone read;
  read.stream = std::string(core::kControlStream);
  read.records = ControlRecords(static_cast<int>(state.range(0)));
  read.end = static_cast<core::Offset>(read.records.size());
  entry.Handle(kStart, core::Tick{});
  read.read = 1;
  entry.Handle(kStart, read);
  core::Call call;
  call.program = {{"vm-7", 1}, 1};
  call.sequence = 1;
  call.body = std::string(400, 'x');
  call.deadline = kStart + 60'000;
  std::uint64_t request = 0;
  for (auto _ : state) {
    entry.Handle(kStart,
                 core::CallerMessage{core::CallRequest{++request, call}});
    core::CallReply reply{request, true, {}, {}};
    entry.Handle(kStart, core::MessageReceived{
                             call.program.origin, {"entry", 1}, reply});
  }
}
BENCHMARK(EntryCall)->Arg(60)->Arg(600)->Unit(benchmark::kMicrosecond);

void EntryTick(benchmark::State& state) {
  core::EntrySettings settings;
  settings.self = {"entry", 1};
  core::Entry    entry(settings, core::Safeguards::All());
  core::ReadDone read;
  read.stream = std::string(core::kControlStream);
  read.read = 1;
  read.records = ControlRecords(static_cast<int>(state.range(0)));
  read.end = static_cast<core::Offset>(read.records.size());
  entry.Handle(kStart, core::Tick{});
  entry.Handle(kStart, read);
  core::Time now = kStart;
  for (auto _ : state) entry.Handle(now += 50, core::Tick{});
}
BENCHMARK(EntryTick)->Arg(60)->Arg(600)->Unit(benchmark::kMicrosecond);

// Applies the whole control stream; reports the heap it uses. Argument:
// members.
void ControlFold(benchmark::State& state) {
  const auto  records = ControlRecords(static_cast<int>(state.range(0)));
  std::size_t bytes = 0;
  for (auto _ : state) {
    const auto    before = HeapBytes();
    core::Control control(core::Safeguards::All());
    for (const auto& record : records) control.Apply(record);
    bytes = HeapBytes() - before;
  }
  state.counters["heap_bytes_per_member"] =
      static_cast<double>(bytes) / static_cast<double>(state.range(0));
}
BENCHMARK(ControlFold)->Arg(60)->Arg(600)->Unit(benchmark::kMicrosecond);

// Heap per program of a coordinator. Arguments: programs, turns of 640 bytes.
void ProgramMemory(benchmark::State& state) {
  double per_program = 0;
  for (auto _ : state) {
    AgentHarness                 harness(60);
    const auto                   before = HeapBytes();
    std::vector<core::ProgramId> programs;
    programs.reserve(static_cast<std::size_t>(state.range(0)));
    for (int i = 0; i < state.range(0); ++i)
      programs.push_back(harness.Start());
    for (core::Sequence s = 1; s <= state.range(1); ++s) {
      for (const auto& program : programs) harness.CallOnce(program, s);
      harness.Settle();
    }
    // Drains pending appends and lets state of finished calls expire.
    for (int i = 0; i < 2000; ++i) harness.Tick();
    per_program = static_cast<double>(HeapBytes() - before) /
                  static_cast<double>(state.range(0));
  }
  state.counters["heap_bytes_per_program"] = per_program;
}
BENCHMARK(ProgramMemory)
    ->Args({100, 0})
    ->Args({100, 10})
    ->Args({100, 40})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

// Serializes and parses one message; reports its size without TCP headers.
void Wire(benchmark::State& state, const core::Message& message) {
  const rpc::Envelope envelope{
      {"vm-123", 77}, {"vm-45", 78}, "127.10.20.30:7000", message};
  std::size_t bytes = 0;
  for (auto _ : state) {
    capnp::MallocMessageBuilder builder;
    auto                        root = builder.initRoot<rpc::wire::Envelope>();
    rpc::Write(envelope, root);
    bytes = capnp::computeSerializedSizeInWords(builder) * sizeof(capnp::word);
    benchmark::DoNotOptimize(rpc::Read(root.asReader()));
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}

core::Replicate MakeReplicate() {
  core::ProgramDelta delta;
  delta.meta.id = {{"vm-123", 77}, 5};
  delta.meta.customer = "sakhli";
  delta.meta.workspace = "w1";
  core::Turn turn;
  turn.call.program = delta.meta.id;
  turn.call.body = std::string(400, 'x');
  turn.answer.text = std::string(240, 'y');
  delta.turns.push_back(turn);
  return {1, {delta}};
}

BENCHMARK_CAPTURE(Wire, probe, core::Probe{12});
BENCHMARK_CAPTURE(Wire, probe_reply, core::ProbeReply{12, false, 3, 4});
BENCHMARK_CAPTURE(Wire, replicate_640_bytes, MakeReplicate());

}  // namespace
}  // namespace yuccawick::bench

BENCHMARK_MAIN();

#include "yuccawick/testing/group.h"

#include <algorithm>
#include <cassert>
#include <type_traits>
#include <utility>

namespace yuccawick::testing {
namespace {

constexpr core::Duration kCallDeadline = 30000;  // ms
constexpr core::Tokens   kCallTokens = 64;

}  // namespace

Group::Group(GroupSettings settings)
    : m_settings(std::move(settings)), m_random(m_settings.seed) {
  m_next_tick = m_now;
}

// ---- Nodes

core::NodeRef Group::AddAgent(const std::string& vm, const std::string& zone,
                              core::BackendKind  kind,
                              const std::string& target) {
  Node& node = m_nodes[vm];
  node.zone = zone;
  node.kind = kind;
  node.target = target;
  node.ref.vm = vm;
  m_backends.try_emplace(vm);
  return Restart(vm);
}

core::NodeRef Group::AddEntry(const std::string& vm, const std::string& zone) {
  Node& node = m_nodes[vm];
  node.zone = zone;
  node.ref.vm = vm;
  return Restart(vm);
}

core::NodeRef Group::Restart(const std::string& vm) {
  Node& node = m_nodes.at(vm);
  node.ref.incarnation = ++m_incarnations;
  node.alive = true;
  node.frozen = false;
  node.buffered.clear();
  CreateNode(&node);
  return node.ref;
}

void Group::CreateNode(Node* node) {
  if (node->target.empty()) {
    core::EntrySettings settings;
    settings.self = node->ref;
    settings.seed = m_settings.seed;
    settings.control.writes_snapshots = false;
    settings.control.poll_interval = m_settings.control_poll;
    node->entry =
        std::make_unique<core::Entry>(settings, m_settings.safeguards);
    return;
  }
  core::AgentSettings settings;
  settings.join.node = node->ref;
  settings.join.zone = node->zone;
  settings.join.kind = node->kind;
  settings.join.target = node->target;
  settings.join.address = node->ref.vm;
  settings.control.poll_interval = m_settings.control_poll;
  settings.executor.kind = node->kind;
  settings.executor.decode_tokens_per_ms = 0.64;
  if (node->kind == core::BackendKind::kService) settings.executor.slots = 1;
  settings.replicas = m_settings.replicas;
  if (m_settings.tune) m_settings.tune(&settings);
  node->agent = std::make_unique<core::Agent>(settings, m_settings.safeguards,
                                              m_queue_policy, m_route_policy);
}

void Group::Kill(const std::string& vm) {
  Node& node = m_nodes.at(vm);
  node.alive = false;
  node.agent.reset();
  node.entry.reset();
  node.buffered.clear();
}

void Group::Freeze(const std::string& vm) { m_nodes.at(vm).frozen = true; }

void Group::Thaw(const std::string& vm) {
  Node& node = m_nodes.at(vm);
  node.frozen = false;
  // The expired timer fires before buffered messages are read.
  Deliver(&node, core::Tick{});
  for (const auto& event : std::exchange(node.buffered, {}))
    Deliver(&node, event);
}

void Group::Stop(const std::string& vm) {
  Deliver(&m_nodes.at(vm), core::StopRequested{});
}

void Group::Cut(const std::string& a, const std::string& b) {
  m_cuts.insert(std::minmax(a, b));
}

void Group::Heal() { m_cuts.clear(); }

void Group::CutLog(const std::string& vm, bool cut) {
  m_nodes.at(vm).log_cut = cut;
}

void Group::SetVmList(const std::vector<core::VmEntry>& vms) {
  m_vm_list = vms;
  m_has_vm_list = true;
}

bool Group::IsCut(const std::string& a, const std::string& b) const {
  return m_cuts.contains(std::minmax(a, b));
}

// ---- Time

core::Duration Group::Latency() {
  if (m_settings.jitter == 0) return m_settings.latency;
  std::uniform_int_distribution<core::Duration> jitter(0, m_settings.jitter);
  return m_settings.latency + jitter(m_random);
}

void Group::Schedule(const std::string& vm, std::uint64_t incarnation,
                     core::Duration after, core::Event event) {
  m_events.push(
      {m_now + after, ++m_last_sequence, vm, incarnation, std::move(event)});
}

void Group::DeliverUntil(core::Time time) {
  while (!m_events.empty() && m_events.top().at <= time) {
    const ScheduledEvent next = m_events.top();
    m_events.pop();
    m_now = std::max(m_now, next.at);
    Node&      node = m_nodes.at(next.vm);
    const bool same =
        next.incarnation == 0 || next.incarnation == node.ref.incarnation;
    if (same) Deliver(&node, next.event);
  }
  m_now = std::max(m_now, time);
}

void Group::FinishRuns() {
  for (auto& [vm, backend] : m_backends) {
    Node& node = m_nodes.at(vm);
    for (const auto& done : backend.Finish(m_now)) {
      if (node.alive) Schedule(vm, node.ref.incarnation, 0, done);
    }
  }
}

void Group::Advance(core::Duration ms) {
  const core::Time until = m_now + ms;
  while (m_now < until) {
    FinishRuns();
    if (m_now >= m_next_tick) {
      m_next_tick = m_now + m_settings.tick;
      for (auto& [vm, node] : m_nodes) {
        if (m_has_vm_list && node.alive)
          Schedule(vm, 0, 0, core::VmListRead{m_vm_list});
        if (node.alive && !node.frozen) Schedule(vm, 0, 0, core::Tick{});
      }
    }
    DeliverUntil(m_now);
    DeliverUntil(std::min(until, m_now + 1));
  }
}

bool Group::AdvanceUntil(const std::function<bool()>& done,
                         core::Duration               limit) {
  const core::Time until = m_now + limit;
  while (!done()) {
    if (m_now >= until) return false;
    Advance(1);
  }
  return true;
}

// The configured number, limited by the model agents alive in other zones.
std::size_t Group::ExpectedReplicas(const Node& node) const {
  std::size_t others = 0;
  for (const auto& [vm, other] : m_nodes) {
    const bool fits = other.alive && other.zone != node.zone &&
                      !other.target.empty() &&
                      other.kind == core::BackendKind::kModel;
    others += fits ? 1 : 0;
  }
  return std::min(others, m_settings.replicas);
}

bool Group::Settle(core::Duration limit) {
  return AdvanceUntil(
      [&] {
        for (const auto& [vm, node] : m_nodes) {
          if (!node.alive) continue;
          if (node.entry != nullptr &&
              node.entry->config_phase() != core::ConfigPhase::kCurrent)
            return false;
          const auto end = m_log.EndOf(std::string(core::kControlStream));
          const auto version = node.agent != nullptr
                                   ? node.agent->control().version()
                                   : node.entry->control().version();
          if (version + 1 != end) return false;
          if (node.agent == nullptr) continue;
          if (!node.agent->IsJoined()) return false;
          const bool needs_replica = node.kind == core::BackendKind::kModel;
          if (needs_replica && node.agent->durability().Replicas().size() <
                                   ExpectedReplicas(node))
            return false;
        }
        return true;
      },
      limit);
}

// ---- Commands of the core

void Group::Deliver(Node* node, const core::Event& event) {
  if (!node->alive) return;
  if (node->frozen) {
    node->buffered.push_back(event);
    return;
  }
  std::vector<core::Command> commands = node->agent != nullptr
                                            ? node->agent->Handle(m_now, event)
                                            : node->entry->Handle(m_now, event);
  for (const auto& command : commands) Execute(node, command);
}

void Group::Execute(Node* node, const core::Command& command) {
  const std::string& vm = node->ref.vm;
  const auto         incarnation = node->ref.incarnation;
  std::visit(
      [&](const auto& c) {
        using C = std::decay_t<decltype(c)>;
        if constexpr (std::is_same_v<C, core::SendMessage>) {
          RouteMessage(node, c);
        } else if constexpr (std::is_same_v<C, core::AppendRecords>) {
          core::AppendDone done{c.append, core::LogStatus::kRefused, -1};
          if (!node->log_cut) done = m_log.Append(c);
          Schedule(vm, incarnation, Latency(), done);
        } else if constexpr (std::is_same_v<C, core::ReadRecords>) {
          core::ReadDone done;
          done.stream = c.stream;
          done.read = c.read;
          done.status = core::LogStatus::kRefused;
          if (!node->log_cut) done = m_log.Read(c);
          Schedule(vm, incarnation, Latency(), done);
        } else if constexpr (std::is_same_v<C, core::RunCall>) {
          const bool model = c.call.kind == core::BackendKind::kModel;
          m_backends.at(vm).Run(
              c, m_now,
              model ? m_settings.model_time : m_settings.service_time);
        } else if constexpr (std::is_same_v<C, core::CancelRun>) {
          m_backends.at(vm).Cancel(c.run);
        } else if constexpr (std::is_same_v<C, core::ReleasePrefix>) {
          m_backends.at(vm).Release(c);
        } else if constexpr (std::is_same_v<C, core::ReplyToCaller>) {
          if (std::holds_alternative<core::CallChunk>(c.reply)) return;
          m_answers[c.request].push_back(c.reply);
          m_answered_at[c.request] = m_now;
        } else if constexpr (std::is_same_v<C, core::Count>) {
          m_counts[{c.counter, std::string(c.label)}] += c.amount;
        } else if constexpr (std::is_same_v<C, core::Stop>) {
          node->alive = false;
        }
      },
      command);
}

void Group::RouteMessage(Node* node, const core::SendMessage& send) {
  ++m_messages;
  const std::string& from = node->ref.vm;
  const auto         to = m_nodes.find(send.to.vm);
  if (to == m_nodes.end() || IsCut(from, send.to.vm)) return;
  const core::MessageReceived received{node->ref, send.to, send.message};
  const Fate fate = m_filter ? m_filter(node->ref, send) : Fate::kDeliver;
  if (fate == Fate::kLose) return;
  if (!to->second.alive) {
    Schedule(from, node->ref.incarnation, Latency(),
             core::SendFailed{send.to, send.message});
    return;
  }
  const core::Duration delay = fate == Fate::kDelay ? m_lateness : 0;
  Schedule(send.to.vm, 0, Latency() + delay, received);
  if (fate == Fate::kRepeat)
    Schedule(send.to.vm, 0, Latency() + m_lateness, received);
}

// ---- Requests of callers

void Group::Publish(const core::Contract& contract) {
  core::Control control(core::Safeguards::All());
  const auto    read = m_log.Read({0, std::string(core::kControlStream), 0});
  for (const auto& logged : read.records) control.Apply(logged);
  const auto*          current = control.FindContract(contract.customer);
  core::ContractRecord record;
  record.amendment = "a" + std::to_string(++m_requests);
  record.amends = current == nullptr ? core::kNoOffset : current->version;
  record.contract = contract;
  m_log.Append({0, std::string(core::kControlStream), {record}});
}

core::Contract Group::DefaultContract(const std::string& customer) {
  core::Contract contract;
  contract.customer = customer;
  contract.max_programs = 1000;
  contract.max_turns = 140;
  contract.program_budget = 200'000;
  contract.total_budget = 100'000'000;
  contract.period = 86'400'000;
  contract.idle_timeout = 60'000;
  contract.classes = {{"normal", 5, 20'000}, {"urgent", 0, 5'000}};
  return contract;
}

std::uint64_t Group::SendToEntry(const std::string& entry,
                                 core::Message message, std::uint64_t request) {
  Deliver(&m_nodes.at(entry), core::CallerMessage{std::move(message)});
  return request;
}

std::uint64_t Group::Start(const std::string&     entry,
                           const std::string&     customer,
                           const std::string&     workspace,
                           const std::string&     model,
                           const core::ProgramId& parent) {
  const auto request = ++m_requests;
  return SendToEntry(
      entry,
      core::StartProgram{request, customer, workspace, model, "", parent},
      request);
}

std::uint64_t Group::Call(const std::string& entry, core::Call call) {
  const auto request = ++m_requests;
  return SendToEntry(entry, core::CallRequest{request, std::move(call)},
                     request);
}

std::uint64_t Group::CallAs(const std::string& entry, std::uint64_t request,
                            core::Call call) {
  return SendToEntry(entry, core::CallRequest{request, std::move(call)},
                     request);
}

void Group::Inject(const std::string& vm, const core::Event& event) {
  Deliver(&m_nodes.at(vm), event);
}

std::uint64_t Group::Query(const std::string&     entry,
                           const core::ProgramId& program,
                           const std::string&     customer,
                           const std::string& workspace, bool end) {
  const auto request = ++m_requests;
  return SendToEntry(
      entry, core::ProgramQuery{request, program, customer, workspace, end},
      request);
}

core::Call Group::ModelCall(const core::ProgramId& program,
                            core::Sequence sequence, const std::string& body) {
  core::Call call;
  call.program = program;
  call.customer = "sakhli";
  call.workspace = "w1";
  call.sequence = sequence;
  call.target = "m";
  call.body = body;
  call.max_tokens = kCallTokens;
  call.deadline = m_now + kCallDeadline;
  return call;
}

core::Call Group::ServiceCall(const core::ProgramId& program,
                              core::Sequence         sequence,
                              const std::string&     body) {
  core::Call call = ModelCall(program, sequence, body);
  call.kind = core::BackendKind::kService;
  call.target = "booking";
  call.unrepeatable = true;
  return call;
}

std::optional<core::ProgramId> Group::StartNow(const std::string& entry,
                                               const std::string& customer,
                                               const std::string& workspace) {
  const auto request = Start(entry, customer, workspace);
  if (!AdvanceUntil([&] { return IsAnswered(request); }, kCallDeadline))
    return std::nullopt;
  const auto& reply = std::get<core::StartReply>(*AnswerTo(request));
  if (!reply.ok) return std::nullopt;
  return reply.program;
}

core::CallReply Group::CallNow(const std::string& entry, core::Call call) {
  const auto request = Call(entry, std::move(call));
  AdvanceUntil([&] { return IsAnswered(request); }, 2 * kCallDeadline);
  const core::Message* answer = AnswerTo(request);
  if (answer == nullptr) return {};
  return std::get<core::CallReply>(*answer);
}

core::CallReply Group::CallThrough(const std::vector<std::string>& entries,
                                   core::Call call, core::Duration limit) {
  const core::Time until = m_now + limit;
  core::CallReply  reply;
  for (std::size_t i = 0; m_now < until; ++i) {
    call.deadline = m_now + kCallDeadline;
    reply = CallNow(entries[i % entries.size()], call);
    if (reply.ok || reply.failure.retry_after == 0) return reply;
    Advance(reply.failure.retry_after);
  }
  return reply;
}

bool Group::IsAnswered(std::uint64_t request) const {
  return m_answers.contains(request);
}

const core::Message* Group::AnswerTo(std::uint64_t request) const {
  const auto it = m_answers.find(request);
  return it == m_answers.end() ? nullptr : &it->second.front();
}

std::size_t Group::AnswerCount(std::uint64_t request) const {
  const auto it = m_answers.find(request);
  return it == m_answers.end() ? 0 : it->second.size();
}

core::Time Group::AnsweredAt(std::uint64_t request) const {
  const auto it = m_answered_at.find(request);
  return it == m_answered_at.end() ? 0 : it->second;
}

core::Agent& Group::agent(const std::string& vm) {
  auto& agent = m_nodes.at(vm).agent;
  assert(agent != nullptr && "the agent has been killed");
  return *agent;
}

core::Entry& Group::entry(const std::string& vm) {
  return *m_nodes.at(vm).entry;
}

FakeBackend& Group::backend(const std::string& vm) { return m_backends.at(vm); }

bool Group::IsRunning(const std::string& vm) const {
  return m_nodes.at(vm).alive;
}

std::int64_t Group::CountOf(core::Counter      counter,
                            const std::string& label) const {
  const auto it = m_counts.find({counter, label});
  return it == m_counts.end() ? 0 : it->second;
}

int Group::TotalEffects(const FakeBackend::Key& key) const {
  int total = 0;
  for (const auto& [vm, backend] : m_backends) total += backend.EffectsOf(key);
  return total;
}

}  // namespace yuccawick::testing

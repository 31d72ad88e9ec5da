#include "yuccawick/core/coordinator.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "yuccawick/core/hash.h"

namespace yuccawick::core {

// Calls are in coordinator_calls.cc, recovery after a claim in
// coordinator_recovery.cc.

Coordinator::Coordinator(NodeRef self, std::string model,
                         CoordinatorSettings settings, Safeguards safeguards,
                         Dependencies dependencies)
    : m_self(std::move(self)),
      m_model(std::move(model)),
      m_settings(settings),
      m_safeguards(safeguards),
      m_deps(dependencies) {}

// ---- Starting

tl::expected<void, Failure> Coordinator::CheckStart(
    const StartProgram& start) const {
  if (m_draining) return tl::make_unexpected(Refuse(Reason::kDraining));
  const ContractInForce* contract = m_deps.control.FindContract(start.customer);
  if (contract == nullptr)
    return tl::make_unexpected(Refuse(Reason::kNoContract));
  if (FindClass(contract->contract, start.service_class) == nullptr)
    return tl::make_unexpected(Refuse(Reason::kUnknownClass));
  // A sub-agent is owned by its parent's coordinator, whatever its model.
  if (start.model != m_model && !start.parent.IsSet())
    return tl::make_unexpected(Refuse(Reason::kUnknownBackend));
  if (!m_deps.executor.IsJoined())
    return tl::make_unexpected(Refuse(Reason::kNotReady));
  if (!start.parent.IsSet()) return {};
  const auto parent = m_programs.find(start.parent);
  if (parent == m_programs.end())
    return tl::make_unexpected(Refuse(Reason::kUnknownProgram));
  const ProgramMeta& meta = parent->second.state.meta;
  if (meta.workspace != start.workspace || meta.customer != start.customer)
    return tl::make_unexpected(Refuse(Reason::kWrongWorkspace));
  if (meta.ended) return tl::make_unexpected(Refuse(Reason::kProgramEnded));
  return {};
}

void Coordinator::OnStart(const NodeRef& from, const StartProgram& start,
                          Time now) {
  const Caller caller{from, start.request};
  // A repeated start must not create a second program.
  if (const auto existing = m_program_by_start.find(caller);
      existing != m_program_by_start.end())
    return RepeatStart(caller, existing->second);
  const auto has_same_caller = [&](const PendingStart& pending_start) {
    return pending_start.caller == caller;
  };
  if (std::any_of(m_starts.begin(), m_starts.end(), has_same_caller)) return;
  if (auto ok = CheckStart(start); !ok)
    return ReplyStart(caller, tl::make_unexpected(ok.error()));
  TryStart({caller, start, now}, now);
}

void Coordinator::RepeatStart(const Caller& caller, const ProgramId& id) {
  const auto is_same_program = [&](const auto& entry) {
    return entry.second == id;
  };
  if (std::any_of(m_program_by_start_ticket.begin(),
                  m_program_by_start_ticket.end(), is_same_program))
    return;
  ReplyStart(caller, id);
}

void Coordinator::TryStart(const PendingStart& start, Time now) {
  // Sub-agents share their parent's slot. With slots of their own, all parents
  // could wait for sub-agents that get none.
  if (start.start.parent.IsSet()) return CreateProgram(start, false, now);
  const Funding funding =
      m_deps.budget.Reserve(start.start.customer, Resource::kPrograms, 1, now);
  switch (funding) {
    case Funding::kFunded:
      return CreateProgram(start, true, now);
    case Funding::kWaiting:
      if (now - start.since < m_settings.funding_timeout) {
        m_starts.push_back(start);
        return;
      }
      [[fallthrough]];
    case Funding::kLogUnavailable:
      return ReplyStart(start.caller,
                        tl::make_unexpected(Refuse(Reason::kLogUnavailable)));
    case Funding::kRefused:
      return ReplyStart(start.caller,
                        tl::make_unexpected(Refuse(Reason::kProgramLimit)));
  }
}

void Coordinator::CreateProgram(const PendingStart& start, bool owns_slot,
                                Time now) {
  const ProgramId id{m_self, ++m_last_number};
  Program&        program = m_programs[id];
  ProgramMeta&    meta = program.state.meta;
  meta.id = id;
  meta.customer = start.start.customer;
  meta.workspace = start.start.workspace;
  meta.model = start.start.model;
  meta.service_class = start.start.service_class;
  meta.parent = start.start.parent;
  meta.started = now;
  meta.last_active = now;
  program.owns_slot = owns_slot;
  m_deps.outbox.Push(Count{Counter::kPrograms, "started", 1});
  Log(LogEvent::kProgramStarted, program, 0, "");
  const Ticket ticket = MakeMetaDurable(&program, now);
  m_start_by_ticket[ticket] = {start.caller, start.start, now};
  m_program_by_start_ticket[ticket] = id;
  m_program_by_start[start.caller] = id;
}

void Coordinator::RetryStarts(const std::string& customer, Time now) {
  for (const auto& start : std::exchange(m_starts, {})) {
    if (start.start.customer == customer) {
      TryStart(start, now);
    } else {
      m_starts.push_back(start);
    }
  }
}

// ---- Ending

void Coordinator::OnQuery(const NodeRef& from, const ProgramQuery& query,
                          Time now) {
  const Caller caller{from, query.request};
  const auto   found = FindFor(query.program, query.customer, query.workspace);
  if (!found) return ReplyQuery(caller, tl::make_unexpected(found.error()));
  Program* program = *found;
  if (program->phase == ProgramPhase::kRecovering)
    return ReplyQuery(caller, tl::make_unexpected(Refuse(Reason::kNotReady)));
  if (!query.end || program->state.meta.ended)
    return ReplyQuery(caller, program->state.ToDelta());
  if (program->active || !program->waiting.empty())
    return ReplyQuery(caller, tl::make_unexpected(Refuse(Reason::kNotReady)));
  Finish(program, now);
  const Ticket ticket = MakeMetaDurable(program, now);
  m_end_by_ticket[ticket] = {caller, query.program};
}

// Ends the program and its sub-agents. None has a call in progress.
void Coordinator::Finish(Program* program, Time now) {
  if (program->state.meta.ended) return;
  const ProgramId id = program->state.meta.id;
  program->state.meta.ended = true;
  program->state.meta.last_active = now;
  Fire(program, ProgramEvent::kEnd);
  ReleasePrefixes(program);
  if (program->owns_slot) {
    program->owns_slot = false;
    m_deps.budget.Release(program->state.meta.customer, Resource::kPrograms, 1,
                          now);
  }
  m_deps.outbox.Push(Count{Counter::kPrograms, "ended", 1});
  Log(LogEvent::kProgramEnded, *program, 0, "");
  for (auto& [child_id, child] : m_programs) {
    const bool must_end =
        child.state.meta.parent == id && child.phase == ProgramPhase::kIdle;
    if (!must_end || child.state.meta.ended) continue;
    Finish(&child, now);
    MakeMetaDurable(&child, now);
  }
}

void Coordinator::ReleasePrefixes(Program* program) {
  if (!m_safeguards.Has(Safeguard::kPrefixRelease)) return;
  for (const auto& [executor, tokens] : program->prefixes)
    m_deps.outbox.Send(executor, ReleaseCache{program->state.meta.id});
  program->prefixes.clear();
}

void Coordinator::ExpireIdle(Time now) {
  std::vector<ProgramId> forgotten;
  for (auto& [id, program] : m_programs) {
    const ProgramMeta& meta = program.state.meta;
    const Duration     idle = now - meta.last_active;
    if (meta.ended) {
      if (idle > m_settings.ended_retention) forgotten.push_back(id);
      continue;
    }
    const ContractInForce* contract =
        m_deps.control.FindContract(meta.customer);
    if (contract == nullptr || program.phase != ProgramPhase::kIdle) continue;
    if (!program.waiting.empty() || idle <= contract->contract.idle_timeout)
      continue;
    // The caller is gone, or its tool hangs: release engine memory and slot.
    m_deps.outbox.Push(Count{Counter::kPrograms, "expired", 1});
    Finish(&program, now);
    MakeMetaDurable(&program, now);
  }
  for (const auto& id : forgotten) m_programs.erase(id);
  std::erase_if(m_program_by_start, [this](const auto& entry) {
    return !m_programs.contains(entry.second);
  });
}

// ---- Shared

void Coordinator::Fire(Program* program, ProgramEvent event) {
  const bool legal = GetProgramChart().Fire(&program->phase, event);
  assert(legal && "charts/program.chart has no such transition");
  (void)legal;
}

Ticket Coordinator::MakeMetaDurable(Program* program, Time now) {
  ++program->state.meta.revision;
  return m_deps.durability.MakeDurable({program->state.meta, {}}, now);
}

Ticket Coordinator::MakeTurnDurable(Program* program, const Turn& turn,
                                    Time now) {
  ++program->state.meta.revision;
  return m_deps.durability.MakeDurable({program->state.meta, {turn}}, now);
}

Coordinator::Program* Coordinator::RootOf(Program* program) {
  while (program->state.meta.parent.IsSet()) {
    const auto it = m_programs.find(program->state.meta.parent);
    if (it == m_programs.end()) break;
    program = &it->second;
  }
  return program;
}

Tokens Coordinator::WorstCase(const Program& program, const Call& call) const {
  if (call.kind != BackendKind::kModel) return 0;
  if (!m_safeguards.Has(Safeguard::kWorstCaseReserve)) return 1;
  const Tokens prompt =
      EstimateTokens(FullPrompt(program.state.Prompt(), call));
  return prompt + call.max_tokens;
}

bool Coordinator::HasBackend(const Call& call) const {
  const auto& members = m_deps.control.members();
  return std::any_of(members.begin(), members.end(), [&](const auto& entry) {
    const JoinRecord& join = entry.second.join;
    return !entry.second.IsClaimed() && join.kind == call.kind &&
           join.target == call.target;
  });
}

NodeRef Coordinator::Route(const Program& program, const Call& call) const {
  std::vector<NodeRef>        nodes;
  std::vector<RouteCandidate> candidates;
  for (const auto& [node, member] : m_deps.control.members()) {
    if (member.join.kind != call.kind || member.join.target != call.target)
      continue;
    RouteCandidate candidate;
    candidate.is_coordinator = node == m_self;
    const auto& peers = m_deps.membership.peers();
    const bool has_load_data = candidate.is_coordinator || peers.contains(node);
    // An engine of unknown load would look idle, so it is skipped, unless this
    // coordinator serves another model and knows the load of no engine.
    const bool own_model =
        call.kind == BackendKind::kModel && call.target == m_model;
    if (!has_load_data && own_model) continue;
    candidate.usable =
        candidate.is_coordinator || m_deps.membership.IsUsable(node);
    candidate.wait = candidate.is_coordinator ? m_deps.executor.LoadMs()
                                              : m_deps.membership.LoadOf(node);
    candidate.resident = candidate.is_coordinator
                             ? m_deps.executor.ResidentTokens()
                             : m_deps.membership.ResidentOf(node);
    const auto prefix = program.prefixes.find(node);
    if (prefix != program.prefixes.end()) candidate.cached = prefix->second;
    nodes.push_back(node);
    candidates.push_back(candidate);
  }
  if (nodes.empty()) return {};
  // Equal candidates are ordered differently for each program, or all
  // coordinators would choose the same server. The coordinator's own engine
  // comes first, since later calls will find their prefix there.
  const auto shift = static_cast<std::ptrdiff_t>(
      PairHash("route", ToString(program.state.meta.id)) % nodes.size());
  std::rotate(nodes.begin(), nodes.begin() + shift, nodes.end());
  std::rotate(candidates.begin(), candidates.begin() + shift, candidates.end());
  const auto own_node = std::find(nodes.begin(), nodes.end(), m_self);
  if (own_node != nodes.end()) {
    const auto index = static_cast<std::size_t>(own_node - nodes.begin());
    std::swap(candidates.front(), candidates[index]);
    std::swap(nodes.front(), nodes[index]);
  }
  RouteRequest request;
  request.prompt = EstimateTokens(program.state.Prompt());
  const ContractInForce* contract =
      m_deps.control.FindContract(program.state.meta.customer);
  if (contract != nullptr)
    request.cache_weight = contract->contract.cache_weight;
  const int chosen = m_deps.routes.Choose(request, candidates);
  return chosen < 0 ? NodeRef{} : nodes[static_cast<std::size_t>(chosen)];
}

void Coordinator::ReplyAll(const std::vector<Caller>& callers,
                           const Outcome&             outcome) {
  for (const auto& caller : callers) Reply(caller, outcome);
}

template <class R, class T>
void Coordinator::SendReply(const Caller&                   caller,
                            const tl::expected<T, Failure>& result,
                            T R::*value) {
  R reply;
  reply.request = caller.request;
  reply.ok = result.has_value();
  if (result) {
    reply.*value = *result;
  } else {
    reply.failure = result.error();
    m_deps.outbox.CountRefusal(result.error().reason);
  }
  m_deps.outbox.Send(caller.entry, std::move(reply));
}

void Coordinator::Reply(const Caller& caller, const Outcome& outcome) {
  SendReply(caller, outcome, &CallReply::answer);
}

void Coordinator::ReplyStart(const Caller&                           caller,
                             const tl::expected<ProgramId, Failure>& result) {
  SendReply(caller, result, &StartReply::program);
}

void Coordinator::ReplyQuery(
    const Caller& caller, const tl::expected<ProgramDelta, Failure>& result) {
  SendReply(caller, result, &ProgramReply::program);
}

std::size_t Coordinator::InFlight() const {
  std::size_t count =
      m_starts.size() + m_start_by_ticket.size() + m_end_by_ticket.size();
  for (const auto& [id, program] : m_programs)
    count += program.waiting.size() + (program.active ? 1 : 0);
  return count;
}

std::vector<ProgramDelta> Coordinator::AllPrograms() const {
  std::vector<ProgramDelta> deltas;
  for (const auto& [id, program] : m_programs)
    deltas.push_back(program.state.ToDelta());
  return deltas;
}

const ProgramState* Coordinator::Find(const ProgramId& id) const {
  const auto it = m_programs.find(id);
  return it == m_programs.end() ? nullptr : &it->second.state;
}

std::optional<ProgramPhase> Coordinator::PhaseOf(const ProgramId& id) const {
  const auto it = m_programs.find(id);
  if (it == m_programs.end()) return std::nullopt;
  return it->second.phase;
}

void Coordinator::Log(LogEvent event, const Program& program, Sequence call,
                      std::string_view reason) {
  LogLine line;
  line.event = event;
  line.customer = program.state.meta.customer;
  line.program = ToString(program.state.meta.id);
  line.call = call;
  line.reason = std::string(reason);
  m_deps.outbox.Push(std::move(line));
}

}  // namespace yuccawick::core

#include <algorithm>
#include <cassert>
#include <utility>

#include "yuccawick/core/coordinator.h"

namespace yuccawick::core {

// ---- Calls

tl::expected<Coordinator::Program*, Failure> Coordinator::FindFor(
    const ProgramId& id, const std::string& customer,
    const std::string& workspace) {
  const auto it = m_programs.find(id);
  if (it == m_programs.end()) {
    const auto coordinator = m_deps.control.Resolve(id.origin);
    const bool owned_elsewhere = coordinator.node != m_self;
    return tl::make_unexpected(
        Refuse(owned_elsewhere ? Reason::kFenced : Reason::kUnknownProgram));
  }
  const ProgramMeta& meta = it->second.state.meta;
  const bool         matches_owner =
      meta.workspace == workspace && meta.customer == customer;
  if (!matches_owner && m_safeguards.Has(Safeguard::kWorkspaceCheck))
    return tl::make_unexpected(Refuse(Reason::kWrongWorkspace));
  return &it->second;
}

void Coordinator::OnCall(const NodeRef& from, const CallRequest& request,
                         Time now) {
  const Caller caller{from, request.request};
  const Call&  call = request.call;
  const auto   found = FindFor(call.program, call.customer, call.workspace);
  if (!found) return Reply(caller, tl::make_unexpected(found.error()));
  Program* program = *found;
  if (AnswerKnown(program, caller, call)) return;
  if (auto ok = CheckNew(*program, call, now); !ok)
    return Reply(caller, tl::make_unexpected(ok.error()));
  program->state.meta.last_active = now;
  RootOf(program)->state.meta.last_active = now;
  program->waiting[call.sequence] = {call, {caller}};
  Advance(program, now);
}

bool Coordinator::AnswerKnown(Program* program, const Caller& caller,
                              const Call& call) {
  const auto attach = [&](const Call&          known_call,
                          std::vector<Caller>* callers) {
    if (!SameRequest(known_call, call)) {
      Reply(caller, tl::make_unexpected(Refuse(Reason::kSequenceReused)));
      return;
    }
    if (std::find(callers->begin(), callers->end(), caller) == callers->end())
      callers->push_back(caller);
  };
  if (!m_safeguards.Has(Safeguard::kCoordinatorDedup)) return false;
  if (program->active && program->active->call.sequence == call.sequence) {
    attach(program->active->call, &program->active->callers);
    return true;
  }
  const auto waiting = program->waiting.find(call.sequence);
  if (waiting != program->waiting.end()) {
    attach(waiting->second.call, &waiting->second.callers);
    return true;
  }
  const auto turn = program->state.turns.find(call.sequence);
  if (turn == program->state.turns.end()) return false;
  if (SameRequest(turn->second.call, call)) {
    Reply(caller, turn->second.ToOutcome());
  } else {
    Reply(caller, tl::make_unexpected(Refuse(Reason::kSequenceReused)));
  }
  return true;
}

tl::expected<void, Failure> Coordinator::CheckNew(const Program& program,
                                                  const Call&    call,
                                                  Time           now) const {
  const auto refuse = [](Reason reason) {
    return tl::make_unexpected(Refuse(reason));
  };
  const ProgramMeta& meta = program.state.meta;
  if (meta.ended) return refuse(Reason::kProgramEnded);
  if (m_draining) return refuse(Reason::kDraining);
  if (m_deps.durability.IsFull()) return refuse(Reason::kLogUnavailable);
  const ContractInForce* contract = m_deps.control.FindContract(meta.customer);
  if (contract == nullptr) return refuse(Reason::kNoContract);
  if (call.sequence == 0) return refuse(Reason::kMalformed);
  if (call.sequence > contract->contract.max_turns)
    return refuse(Reason::kTurnLimit);
  if (call.sequence >= program.state.NextSequence() + m_settings.window)
    return refuse(Reason::kSequenceGap);
  if (now >= call.deadline) return refuse(Reason::kDeadline);
  if (!HasBackend(call)) return refuse(Reason::kUnknownBackend);
  return {};
}

void Coordinator::Advance(Program* program, Time now) {
  if (program->phase != ProgramPhase::kIdle || program->waiting.empty()) return;
  auto       next = program->waiting.begin();
  const bool in_order = next->first == program->state.NextSequence();
  // Running a later call first would act on a state that its program has not
  // reached yet.
  if (!in_order && m_safeguards.Has(Safeguard::kCallOrder)) return;
  ActiveCall active;
  active.call = next->second.call;
  active.callers = std::move(next->second.callers);
  active.since = now;
  program->waiting.erase(next);
  program->active = std::move(active);
  Fire(program, ProgramEvent::kCallReady);
  Fund(program, now);
}

void Coordinator::Fund(Program* program, Time now) {
  ActiveCall&            active = *program->active;
  const std::string&     customer = program->state.meta.customer;
  const ContractInForce* contract = m_deps.control.FindContract(customer);
  if (contract == nullptr)
    return FinishRefused(program, Refuse(Reason::kNoContract), now);
  const Tokens worst_case = WorstCase(*program, active.call);
  Tokens&      spent = RootOf(program)->state.meta.spent;
  if (spent + worst_case > contract->contract.program_budget)
    return FinishRefused(program, Refuse(Reason::kProgramBudget), now);
  const Funding funding =
      m_deps.budget.Reserve(customer, Resource::kTokens, worst_case, now);
  switch (funding) {
    case Funding::kFunded:
      active.reserved = worst_case;
      spent += worst_case;
      Fire(program, ProgramEvent::kFunded);
      return Record(program, now);
    case Funding::kWaiting:
      return;
    case Funding::kRefused:
      return FinishRefused(program, Refuse(Reason::kCustomerBudget), now);
    case Funding::kLogUnavailable:
      return FinishRefused(program, Refuse(Reason::kLogUnavailable), now);
  }
}

void Coordinator::Record(Program* program, Time now) {
  ActiveCall& active = *program->active;
  active.since = now;
  active.executor = Route(*program, active.call);
  if (active.executor.vm.empty())
    return FinishRefused(program, Refuse(Reason::kBackendUnreachable), now);
  // The executor is recorded durably before the call is sent. Otherwise a new
  // owner would not know that the call may have run and would run it again.
  if (active.call.unrepeatable)
    program->state.meta.intent = {active.call, active.executor};
  Program* root = RootOf(program);
  active.tickets.insert(MakeMetaDurable(program, now));
  if (root != program) active.tickets.insert(MakeMetaDurable(root, now));
  for (const Ticket ticket : active.tickets)
    m_program_by_ticket[ticket] = program->state.meta.id;
  if (!m_safeguards.Has(Safeguard::kIntentFirst)) {
    active.tickets.clear();
    Fire(program, ProgramEvent::kRecorded);
    Send(program, now);
  }
}

void Coordinator::Send(Program* program, Time now) {
  ActiveCall&        active = *program->active;
  const ProgramMeta& meta = program->state.meta;
  active.since = now;
  active.dispatch = m_deps.outbox.NextNumber();
  m_program_by_dispatch[active.dispatch] = meta.id;
  Dispatch dispatch;
  dispatch.dispatch = active.dispatch;
  dispatch.fence = program->fence;
  dispatch.executor = active.executor;
  dispatch.call = active.call;
  dispatch.started = RootOf(program)->state.meta.started;
  dispatch.attained = RootOf(program)->attained;
  const bool model = active.call.kind == BackendKind::kModel;
  if (model) {
    dispatch.prompt = program->state.Prompt();
    program->prefixes[active.executor] = EstimateTokens(dispatch.prompt);
  }
  const ContractInForce* contract = m_deps.control.FindContract(meta.customer);
  if (contract != nullptr) {
    const ServiceClass* service =
        FindClass(contract->contract, meta.service_class);
    if (service == nullptr) service = FindClass(contract->contract, "");
    dispatch.priority = service->priority;
    dispatch.max_wait = service->max_wait;
    dispatch.cache_weight = contract->contract.cache_weight;
  }
  m_deps.outbox.Send(active.executor, dispatch);
}

// ---- Outcomes

void Coordinator::OnDispatchChunk(const NodeRef&       from,
                                  const DispatchChunk& chunk) {
  const auto it = m_program_by_dispatch.find(chunk.dispatch);
  if (it == m_program_by_dispatch.end()) return;
  const auto program = m_programs.find(it->second);
  if (program == m_programs.end() || !program->second.active) return;
  const ActiveCall& active = *program->second.active;
  if (active.dispatch != chunk.dispatch || active.executor != from) return;
  for (const auto& caller : active.callers) {
    m_deps.outbox.Send(caller.entry,
                       CallChunk{caller.request, chunk.position, chunk.text});
  }
}

void Coordinator::OnDispatchReply(const NodeRef&       from,
                                  const DispatchReply& reply, Time now) {
  m_deps.membership.OnLoad(from, static_cast<Duration>(reply.load_ms),
                           reply.resident);
  const auto it = m_program_by_dispatch.find(reply.dispatch);
  const auto found = it == m_program_by_dispatch.end()
                         ? m_programs.end()
                         : m_programs.find(it->second);
  Program*   program = found == m_programs.end() ? nullptr : &found->second;
  // Replies may be late, duplicated or reordered: accept only the reply to the
  // current dispatch from the node that it was sent to.
  const bool matches = program != nullptr && program->active &&
                       program->phase == ProgramPhase::kRunning &&
                       program->active->dispatch == reply.dispatch &&
                       program->active->executor == from;
  if (!matches) {
    m_deps.outbox.Push(Count{Counter::kStaleMessages, "dispatch_reply", 1});
    return;
  }
  m_program_by_dispatch.erase(it);
  if (reply.ok) return Settle(program, reply.answer, nullptr, now);
  if (reply.failure.reason == Reason::kDraining)
    m_deps.membership.OnLeaving(from, now);
  FinishFailed(program, reply.failure, now);
}

// The call did not run: its reservation is released.
void Coordinator::FinishRefused(Program* program, Failure failure, Time now) {
  ActiveCall active = std::move(*program->active);
  program->active.reset();
  for (const Ticket ticket : active.tickets) m_program_by_ticket.erase(ticket);
  if (active.reserved > 0) {
    RootOf(program)->state.meta.spent -= active.reserved;
    m_deps.budget.Release(program->state.meta.customer, Resource::kTokens,
                          active.reserved, now);
  }
  program->state.meta.intent = {};
  Fire(program, ProgramEvent::kRefused);
  Log(LogEvent::kCallRefused, *program, active.call.sequence,
      Name(failure.reason));
  ReplyAll(active.callers, tl::make_unexpected(failure));
  Advance(program, now);
}

void Coordinator::FinishFailed(Program* program, Failure failure, Time now) {
  if (failure.ran == Ran::kNo) return FinishRefused(program, failure, now);
  const bool unrepeatable = program->active->call.unrepeatable;
  if (unrepeatable && m_safeguards.Has(Safeguard::kUnknownIsFinal)) {
    if (failure.ran == Ran::kUnknown)
      failure = {Reason::kOutcomeUnknown, Ran::kUnknown, 0};
    // The failure is stored as a turn, so that the same sequence always gets
    // this outcome and never runs again.
    return Settle(program, {}, &failure, now);
  }
  if (failure.reason == Reason::kCancelled) {
    // A caller repeated the request while the call was being cancelled for
    // another caller: the call starts over.
    ActiveCall& active = *program->active;
    if (!active.callers.empty()) {
      program->waiting[active.call.sequence] = {
          active.call, std::exchange(active.callers, {})};
    }
  }
  // The caller may issue the same sequence again. The possible cost stays
  // charged.
  program->active->reserved = 0;
  FinishRefused(program, failure, now);
}

void Coordinator::Settle(Program* program, const Answer& answer,
                         const Failure* failure, Time now) {
  ActiveCall&  active = *program->active;
  ProgramMeta& meta = program->state.meta;
  Program*     root = RootOf(program);
  const Tokens actual = answer.usage.prompt + answer.usage.completion;
  const Tokens unused =
      failure != nullptr ? 0 : std::max<Tokens>(0, active.reserved - actual);
  if (active.call.kind == BackendKind::kModel && unused > 0) {
    root->state.meta.spent -= unused;
    m_deps.budget.Release(meta.customer, Resource::kTokens, unused, now);
  }
  root->attained += actual;
  Turn turn;
  turn.call = active.call;
  turn.answer = answer;
  turn.failed = failure != nullptr;
  if (failure != nullptr) turn.failure = *failure;
  turn.fence = program->fence;
  program->state.turns[active.call.sequence] = turn;
  meta.intent = {};
  meta.last_active = now;
  active.since = now;
  active.tickets = {MakeTurnDurable(program, turn, now)};
  if (root != program) MakeMetaDurable(root, now);
  m_program_by_ticket[*active.tickets.begin()] = meta.id;
  Fire(program, ProgramEvent::kAnswered);
  if (m_safeguards.Has(Safeguard::kDurableAnswer)) return;
  m_program_by_ticket.erase(*active.tickets.begin());
  FinishAnswered(program, now);
}

void Coordinator::FinishAnswered(Program* program, Time now) {
  ActiveCall active = std::move(*program->active);
  program->active.reset();
  Fire(program, ProgramEvent::kDurable);
  const Turn& turn = program->state.turns.at(active.call.sequence);
  m_deps.outbox.Push(Count{Counter::kCalls, turn.failed ? "failed" : "ok", 1});
  const bool unknown = turn.failed && turn.failure.ran == Ran::kUnknown;
  Log(unknown ? LogEvent::kOutcomeUnknown : LogEvent::kCallFinished, *program,
      active.call.sequence, turn.failed ? Name(turn.failure.reason) : "");
  ReplyAll(active.callers, turn.ToOutcome());
  Advance(program, now);
}

void Coordinator::OnDurable(Ticket ticket, Time now) {
  if (const auto it = m_start_by_ticket.find(ticket);
      it != m_start_by_ticket.end()) {
    const PendingStart start = it->second;
    const auto         id = m_program_by_start_ticket.at(ticket);
    m_start_by_ticket.erase(it);
    m_program_by_start_ticket.erase(ticket);
    return ReplyStart(start.caller, id);
  }
  if (const auto it = m_end_by_ticket.find(ticket);
      it != m_end_by_ticket.end()) {
    const PendingEnd ending = it->second;
    m_end_by_ticket.erase(it);
    const auto program = m_programs.find(ending.program);
    if (program != m_programs.end())
      ReplyQuery(ending.caller, program->second.state.ToDelta());
    return;
  }
  const auto it = m_program_by_ticket.find(ticket);
  if (it == m_program_by_ticket.end()) return;
  const ProgramId id = it->second;
  m_program_by_ticket.erase(it);
  const auto found = m_programs.find(id);
  if (found == m_programs.end() || !found->second.active) return;
  Program* program = &found->second;
  auto&    tickets = program->active->tickets;
  tickets.erase(ticket);
  if (!tickets.empty()) return;
  if (program->phase == ProgramPhase::kRecording) {
    Fire(program, ProgramEvent::kRecorded);
    return Send(program, now);
  }
  if (program->phase == ProgramPhase::kSettling) FinishAnswered(program, now);
}

void Coordinator::OnFunding(const std::string& customer, Time now) {
  RetryStarts(customer, now);
  for (auto& [id, program] : m_programs) {
    const bool waits = program.phase == ProgramPhase::kFunding &&
                       program.state.meta.customer == customer;
    if (waits) Fund(&program, now);
  }
}

void Coordinator::OnUnsent(const Dispatch& dispatch, Time now) {
  const auto found = m_programs.find(dispatch.call.program);
  if (found == m_programs.end()) return;
  Program*   program = &found->second;
  const bool matches = program->phase == ProgramPhase::kRunning &&
                       program->active->dispatch == dispatch.dispatch;
  if (!matches) return;
  m_program_by_dispatch.erase(dispatch.dispatch);
  FinishRefused(program, Refuse(Reason::kBackendUnreachable), now);
}

void Coordinator::OnPeerUnreachable(const NodeRef& node, Time now) {
  for (auto& [id, program] : m_programs) {
    const bool waits = program.phase == ProgramPhase::kRunning &&
                       program.active->executor == node;
    if (!waits) continue;
    // A repeatable call fails at once. For an unrepeatable one the answer may
    // still arrive, while an unknown outcome would need manual inspection.
    if (program.active->call.unrepeatable && !IsExecutorGone(node, now))
      continue;
    m_program_by_dispatch.erase(program.active->dispatch);
    FinishFailed(&program,
                 {Reason::kBackendUnreachable, Ran::kUnknown,
                  Info(Reason::kBackendUnreachable).retry_after},
                 now);
  }
}

bool Coordinator::IsExecutorGone(const NodeRef& node, Time now) const {
  return m_deps.membership.IsReplaced(node) ||
         m_deps.membership.UnreachableFor(node, now) >
             m_settings.unknown_timeout;
}

void Coordinator::OnTimeouts(Program* program, Time now) {
  if (!program->active) return;
  ActiveCall&    active = *program->active;
  const Duration waited = now - active.since;
  switch (program->phase) {
    case ProgramPhase::kFunding:
      if (waited > m_settings.funding_timeout || now > active.call.deadline)
        return FinishRefused(program, Refuse(Reason::kLogUnavailable), now);
      return Fund(program, now);
    case ProgramPhase::kRecording:
      if (waited > m_settings.durable_timeout || now > active.call.deadline)
        return FinishRefused(program, Refuse(Reason::kNotDurable), now);
      return;
    case ProgramPhase::kRunning:
      if (now <= active.call.deadline + m_settings.reply_margin) return;
      m_deps.outbox.Send(active.executor, CancelDispatch{active.dispatch});
      m_program_by_dispatch.erase(active.dispatch);
      return FinishFailed(program,
                          {Reason::kDeadline, Ran::kUnknown,
                           Info(Reason::kDeadline).retry_after},
                          now);
    case ProgramPhase::kSettling: {
      if (waited <= m_settings.durable_timeout) return;
      // The answer exists but could still be lost: callers get a failure now
      // and the answer when they retry.
      const Failure failure{Reason::kNotDurable, Ran::kYes,
                            Info(Reason::kNotDurable).retry_after};
      ReplyAll(std::exchange(active.callers, {}), tl::make_unexpected(failure));
      return;
    }
    default:
      return;
  }
}

void Coordinator::DropLateWaiting(Program* program, Time now) {
  std::vector<WaitingCall> expired;
  std::erase_if(program->waiting, [&](auto& entry) {
    if (now <= entry.second.call.deadline) return false;
    expired.push_back(std::move(entry.second));
    return true;
  });
  for (const auto& waiting : expired) {
    ReplyAll(waiting.callers, tl::make_unexpected(Refuse(Reason::kDeadline)));
  }
}

void Coordinator::OnCancel(const NodeRef& from, const CancelRequest& cancel,
                           Time /*now*/) {
  const auto found = m_programs.find(cancel.program);
  if (found == m_programs.end()) return;
  Program&     program = found->second;
  const Caller caller{from, cancel.request};
  for (auto& [sequence, waiting] : program.waiting)
    std::erase(waiting.callers, caller);
  std::erase_if(program.waiting,
                [](const auto& entry) { return entry.second.callers.empty(); });
  if (!program.active) return;
  std::erase(program.active->callers, caller);
  const bool must_cancel = program.active->callers.empty() &&
                           program.phase == ProgramPhase::kRunning &&
                           !program.active->call.unrepeatable;
  if (!must_cancel) return;
  m_deps.outbox.Send(program.active->executor,
                     CancelDispatch{program.active->dispatch});
}

void Coordinator::OnTick(Time now) {
  for (auto& [id, program] : m_programs) {
    DropLateWaiting(&program, now);
    if (program.phase == ProgramPhase::kRunning &&
        program.active->executor != m_self)
      m_deps.membership.ProbeTemporarily(program.active->executor, now);
    if (program.phase == ProgramPhase::kRecovering) {
      ResolveIntent(&program, now);
    } else {
      OnTimeouts(&program, now);
    }
  }
  for (const auto& start : std::exchange(m_starts, {})) TryStart(start, now);
  std::vector<Ticket> expired;
  for (const auto& [ticket, start] : m_start_by_ticket) {
    if (now - start.since > m_settings.durable_timeout)
      expired.push_back(ticket);
  }
  for (const Ticket ticket : expired) {
    const Caller caller = m_start_by_ticket.at(ticket).caller;
    Program*     program = &m_programs.at(m_program_by_start_ticket.at(ticket));
    Finish(program, now);
    MakeMetaDurable(program, now);
    m_start_by_ticket.erase(ticket);
    m_program_by_start_ticket.erase(ticket);
    m_program_by_start.erase(caller);
    ReplyStart(caller, tl::make_unexpected(Refuse(Reason::kNotDurable)));
  }
  ExpireIdle(now);
}

}  // namespace yuccawick::core

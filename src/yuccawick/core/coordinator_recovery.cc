#include <utility>

#include "yuccawick/core/coordinator.h"

namespace yuccawick::core {

void Coordinator::Adopt(const NodeRef& target, Offset fence,
                        const std::vector<ProgramDelta>& deltas, Time now) {
  for (const auto& delta : deltas) {
    Program& program = m_programs[delta.meta.id];
    program.state.Apply(delta);
    program.fence = fence;
    program.adopted_from = target;
    program.owns_slot = !delta.meta.parent.IsSet() && !delta.meta.ended;
    program.attained = delta.meta.spent;
    if (delta.meta.ended) {
      Fire(&program, ProgramEvent::kEnd);
      continue;
    }
    // The idle timeout starts again, since requests may have been delayed by
    // the takeover.
    program.state.meta.last_active = now;
    Fire(&program, ProgramEvent::kAdopted);
    m_deps.outbox.Push(Count{Counter::kPrograms, "adopted", 1});
  }
}

void Coordinator::OnHistory(const NodeRef& target, const HistoryRecord& record,
                            Time now) {
  const auto owner = m_deps.control.Resolve(record.coordinator);
  if (owner.node != m_self || record.coordinator == m_self) return;
  for (const auto& delta : record.deltas) {
    const auto found = m_programs.find(delta.meta.id);
    if (found == m_programs.end()) {
      // The program may belong to an earlier incarnation on that VM; it is
      // recovered with the others when this read is complete.
      Adopt(target, owner.fence, {delta}, now);
      continue;
    }
    Program& program = found->second;
    if (program.phase != ProgramPhase::kRecovering) continue;
    program.state.Apply(delta);
    if (!program.state.meta.ended) continue;
    Fire(&program, ProgramEvent::kEnd);
    program.owns_slot = false;
  }
}

void Coordinator::OnHistoryComplete(const NodeRef& target, Time now) {
  for (auto& [id, program] : m_programs) {
    if (program.adopted_from != target) continue;
    program.adopted_from = {};
    program.state.meta.fence = program.fence;
    m_deps.durability.MakeDurable(program.state.ToDelta(), now);
    if (program.phase == ProgramPhase::kRecovering)
      ResolveIntent(&program, now);
  }
}

void Coordinator::ResolveIntent(Program* program, Time now) {
  if (!program->adopted_from.vm.empty()) return;  // history not read yet
  const Intent& intent = program->state.meta.intent;
  const bool    settled =
      !intent.IsSet() || program->state.turns.contains(intent.call.sequence);
  if (settled) return FinishRecovery(program, now);
  if (!program->active) {
    ActiveCall active;
    active.call = intent.call;
    active.executor = intent.executor;
    active.since = now;
    const auto waiting = program->waiting.find(intent.call.sequence);
    if (waiting != program->waiting.end()) {
      active.callers = std::move(waiting->second.callers);
      program->waiting.erase(waiting);
    }
    program->active = std::move(active);
  }
  ActiveCall& active = *program->active;
  m_deps.membership.ProbeTemporarily(active.executor, now);
  const bool timed_out = now - active.since > m_settings.unknown_timeout;
  if (timed_out || m_deps.membership.IsReplaced(active.executor)) {
    // No reply from the only node where the call may have run: its outcome is
    // unknown.
    const Failure unknown{Reason::kOutcomeUnknown, Ran::kUnknown, 0};
    return Settle(program, {}, &unknown, now);
  }
  if (active.fence_sent != 0 &&
      now - active.fence_sent < m_settings.fence_resend)
    return;
  active.fence_sent = now;
  m_deps.outbox.Send(active.executor,
                     FenceCall{program->state.meta.id, active.call.sequence,
                               program->fence, active.executor});
}

void Coordinator::OnFenceReply(const NodeRef& from, const FenceReply& reply,
                               Time now) {
  const auto found = m_programs.find(reply.program);
  if (found == m_programs.end()) return;
  Program*   program = &found->second;
  const bool matches = program->phase == ProgramPhase::kRecovering &&
                       program->active && program->active->executor == from &&
                       program->active->call.sequence == reply.sequence &&
                       program->fence == reply.fence;
  if (!matches) return;
  switch (reply.state) {
    case FencedState::kNeverSeen:
      // The executor refuses older orders for the program from now on, so the
      // call can safely run again.
      if (!program->active->callers.empty()) {
        program->waiting[reply.sequence] = {
            program->active->call, std::move(program->active->callers)};
      }
      program->active.reset();
      program->state.meta.intent = {};
      return FinishRecovery(program, now);
    case FencedState::kRunning:
      program->active->since = now;  // alive: ask again
      return;
    case FencedState::kFinished:
    case FencedState::kNotMe:
      break;
  }
  Failure failure = reply.failure;
  if (reply.state == FencedState::kNotMe)
    failure = {Reason::kOutcomeUnknown, Ran::kUnknown, 0};
  const bool ok = reply.state == FencedState::kFinished && reply.ok;
  Settle(program, reply.answer, ok ? nullptr : &failure, now);
}

void Coordinator::FinishRecovery(Program* program, Time now) {
  program->active.reset();
  Fire(program, ProgramEvent::kRecovered);
  Advance(program, now);
}

}  // namespace yuccawick::core

#include "yuccawick/core/executor.h"

#include <algorithm>
#include <cassert>
#include <tuple>

#include "yuccawick/core/hash.h"

namespace yuccawick::core {
namespace {

// A prompt is small if it is below this fraction (1/n) of the engine's memory.
constexpr Tokens   kSmallPromptDivisor = 50;
constexpr Duration kMinRetryDelay = 1000;  // ms
constexpr Duration kRetryJitter = 1000;    // ms

}  // namespace

Executor::Executor(NodeRef self, ExecutorSettings settings,
                   Safeguards safeguards, const QueuePolicy& policy,
                   Outbox& outbox)
    : m_self(std::move(self)),
      m_settings(settings),
      m_safeguards(safeguards),
      m_policy(policy),
      m_outbox(outbox) {
  assert(settings.slots > 0 && "a server needs at least one slot");
}

void Executor::OnJoined(Offset joined) {
  m_joined = joined;
  m_outbox.Push(ReleasePrefix{ProgramId{}, m_joined});
}

// ---- Orders

void Executor::Refuse(const NodeRef& coordinator, const Dispatch& dispatch,
                      Failure failure) {
  m_outbox.CountRefusal(failure.reason);
  DispatchReply reply;
  reply.dispatch = dispatch.dispatch;
  reply.failure = failure;
  reply.load_ms = static_cast<std::uint64_t>(LoadMs());
  reply.resident = ResidentTokens();
  m_outbox.Send(coordinator, reply);
}

bool Executor::IsFencedOff(const Dispatch& dispatch) const {
  if (!m_safeguards.Has(Safeguard::kExecutorFence)) return false;
  const auto it = m_fences.find(dispatch.call.program);
  return it != m_fences.end() && dispatch.fence < it->second;
}

void Executor::OnDispatch(const NodeRef& from, const Dispatch& dispatch,
                          Time now) {
  const CallKey key{dispatch.call.program, dispatch.call.sequence};
  const bool    checks_incarnation =
      m_safeguards.Has(Safeguard::kIncarnationCheck);
  if (checks_incarnation && dispatch.executor != m_self) {
    // An earlier incarnation, whose state is lost, may have run the call.
    Failure failure = core::Refuse(Reason::kWrongIncarnation);
    if (dispatch.call.unrepeatable)
      failure = {Reason::kOutcomeUnknown, Ran::kUnknown, 0};
    return Refuse(from, dispatch, failure);
  }
  if (IsFencedOff(dispatch)) {
    // The sender was replaced while paused or partitioned. Its order could
    // repeat a call that the new owner has handled already.
    m_outbox.Push(Count{Counter::kFencedOrders, "home", 1});
    return Refuse(from, dispatch, core::Refuse(Reason::kFenced));
  }
  Offset& fence = m_fences.try_emplace(key.first, kNoOffset).first->second;
  fence = std::max(fence, dispatch.fence);
  if (m_safeguards.Has(Safeguard::kExecutorDedup) &&
      AnswerKnown(from, dispatch, key))
    return;
  // Calls are forgotten some time after their deadline; a copy that arrives
  // even later must not be taken for a new call.
  if (now > dispatch.call.deadline)
    return Refuse(from, dispatch, core::Refuse(Reason::kDeadline));
  if (!IsJoined())
    return Refuse(from, dispatch, core::Refuse(Reason::kNotReady));
  if (m_draining)
    return Refuse(from, dispatch, core::Refuse(Reason::kDraining));
  Enqueue(from, dispatch, now);
}

bool Executor::AnswerKnown(const NodeRef& from, const Dispatch& dispatch,
                           const CallKey& key) {
  const auto it = m_entries.find(key);
  if (it == m_entries.end()) return false;
  Entry&     entry = it->second;
  const bool repeated =
      entry.coordinator == from && dispatch.dispatch <= entry.order.dispatch;
  const bool finished = entry.phase == CallPhase::kDone;
  // A new attempt at a repeatable call runs again.
  if (finished && !repeated && !dispatch.call.unrepeatable) return false;
  // A call that was cancelled before it started runs again, too.
  if (finished && !repeated && entry.reply.failure.ran == Ran::kNo &&
      !entry.reply.ok)
    return false;
  if (!repeated) {
    entry.coordinator = from;
    entry.order.dispatch = dispatch.dispatch;
    entry.order.fence = dispatch.fence;
  }
  if (!finished) return true;
  entry.reply.dispatch = entry.order.dispatch;
  m_outbox.Send(entry.coordinator, entry.reply);
  return true;
}

void Executor::Enqueue(const NodeRef& from, const Dispatch& dispatch,
                       Time now) {
  const CallKey key{dispatch.call.program, dispatch.call.sequence};
  Entry         entry;
  entry.coordinator = from;
  entry.order = dispatch;
  entry.arrived = now;
  const Duration wait = WaitAhead(entry, now);
  const Duration allowed_wait =
      std::min<Duration>(dispatch.max_wait, dispatch.call.deadline - now);
  if (wait > allowed_wait) {
    // The call cannot start in time: refuse now, with a retry delay.
    return Refuse(from, dispatch,
                  core::Refuse(Reason::kOverloaded,
                               RetryDelay(dispatch, wait - allowed_wait)));
  }
  m_entries[key] = std::move(entry);
  m_queue.insert(key);
  StartNext(now);
}

Duration Executor::RetryDelay(const Dispatch& dispatch, Duration min_delay) {
  // Jitter keeps callers from retrying all at once; the minimum keeps them from
  // retrying in a tight loop.
  const auto jitter =
      static_cast<Duration>(PairHash(ToString(dispatch.call.program),
                                     std::to_string(dispatch.dispatch)) %
                            static_cast<std::uint64_t>(kRetryJitter));
  return std::max(min_delay, kMinRetryDelay) + jitter;
}

void Executor::OnCancel(const NodeRef& from, const CancelDispatch& cancel,
                        Time now) {
  for (auto& [key, entry] : m_entries) {
    if (entry.coordinator != from || entry.order.dispatch != cancel.dispatch)
      continue;
    if (entry.phase == CallPhase::kQueued) {
      DispatchReply reply;
      reply.failure = core::Refuse(Reason::kCancelled);
      m_queue.erase(key);
      GetCallChart().Fire(&entry.phase, CallEvent::kGiveUp);
      return Finish(CallKey(key), reply, now);
    }
    // An unrepeatable call is left to finish, since stopping it would leave an
    // unknown outcome.
    const bool must_cancel = entry.phase == CallPhase::kRunning &&
                             !entry.order.call.unrepeatable && !entry.cancelled;
    if (!must_cancel) return;
    entry.cancelled = true;
    m_outbox.Push(CancelRun{entry.run});
    return;
  }
}

void Executor::OnFence(const NodeRef& from, const FenceCall& fence, Time now) {
  FenceReply reply;
  reply.program = fence.program;
  reply.sequence = fence.sequence;
  reply.fence = fence.fence;
  if (fence.executor != m_self) {
    reply.state = FencedState::kNotMe;
    m_outbox.Send(from, reply);
    return;
  }
  Offset& highest_fence =
      m_fences.try_emplace(fence.program, kNoOffset).first->second;
  highest_fence = std::max(highest_fence, fence.fence);
  const CallKey key{fence.program, fence.sequence};
  const auto    it = m_entries.find(key);
  if (it != m_entries.end() && it->second.phase == CallPhase::kQueued) {
    // The call is still queued; with the fence raised it will never run.
    m_queue.erase(key);
    GetCallChart().Fire(&it->second.phase, CallEvent::kGiveUp);
    DispatchReply given_up;
    given_up.failure = core::Refuse(Reason::kFenced);
    Finish(key, given_up, now);
  }
  if (it == m_entries.end()) {
    reply.state = FencedState::kNeverSeen;
  } else if (it->second.phase == CallPhase::kRunning) {
    reply.state = FencedState::kRunning;
  } else {
    const DispatchReply& done = it->second.reply;
    const bool           never_ran = !done.ok && done.failure.ran == Ran::kNo;
    reply.state = never_ran ? FencedState::kNeverSeen : FencedState::kFinished;
    reply.ok = done.ok;
    reply.answer = done.answer;
    reply.failure = done.failure;
  }
  m_outbox.Send(from, reply);
}

// ---- Running

void Executor::StartRun(const CallKey& key, Time now) {
  Entry& entry = m_entries.at(key);
  GetCallChart().Fire(&entry.phase, CallEvent::kStart);
  entry.run = m_outbox.NextNumber();
  m_queue.erase(key);
  m_runs[entry.run] = key;
  m_outbox.Push(RunCall{entry.run, m_joined, entry.order.call,
                        entry.order.prompt, entry.order.priority});
  if (m_settings.kind != BackendKind::kModel) return;
  Prefix& prefix = m_prefixes[key.first];
  prefix.tokens = EstimateTokens(entry.order.prompt);
  prefix.last_used = now;
}

void Executor::OnRunChunk(const RunChunk& chunk) {
  const auto it = m_runs.find(chunk.run);
  if (it == m_runs.end()) return;
  Entry& entry = m_entries.at(it->second);
  m_outbox.Send(entry.coordinator, DispatchChunk{entry.order.dispatch,
                                                 entry.position, chunk.text});
  entry.position += chunk.text.size();
}

void Executor::OnRunDone(const RunDone& done, Time now) {
  const auto it = m_runs.find(done.run);
  if (it == m_runs.end()) {
    m_outbox.Push(Count{Counter::kStaleMessages, "run_done", 1});
    return;
  }
  const CallKey key = it->second;
  m_runs.erase(it);
  Entry& entry = m_entries.at(key);
  GetCallChart().Fire(&entry.phase, CallEvent::kFinish);
  DispatchReply reply;
  reply.ok = done.ok;
  reply.answer = done.answer;
  reply.failure = done.failure;
  const auto prefix = m_prefixes.find(key.first);
  if (prefix != m_prefixes.end()) {
    prefix->second.last_used = now;
    prefix->second.tokens += EstimateTokens(entry.order.call.body) +
                             EstimateTokens(done.answer.text);
  }
  Finish(key, reply, now);
  StartNext(now);
}

void Executor::Finish(const CallKey& key, DispatchReply reply, Time now) {
  Entry& entry = m_entries.at(key);
  entry.phase = CallPhase::kDone;
  entry.done_at = now;
  reply.dispatch = entry.order.dispatch;
  reply.load_ms = static_cast<std::uint64_t>(LoadMs());
  reply.resident = ResidentTokens();
  entry.reply = reply;
  // The prompt is never needed again, and the answer only for unrepeatable
  // calls.
  entry.order.prompt.clear();
  m_outbox.Send(entry.coordinator, std::move(reply));
  if (!entry.order.call.unrepeatable) entry.reply.answer.text.clear();
}

// ---- Queue

QueuedCall Executor::Describe(const Entry& entry) const {
  QueuedCall call;
  call.priority = entry.order.priority;
  call.started = entry.order.started;
  call.attained = entry.order.attained;
  call.prompt = EstimateTokens(entry.order.prompt);
  call.cached = std::min(call.prompt, CachedTokens(entry.order.call.program));
  call.max_tokens = entry.order.call.max_tokens;
  call.cache_weight = entry.order.cache_weight;
  call.max_wait = entry.order.max_wait;
  call.arrived = entry.arrived;
  return call;
}

Duration Executor::EstimateDuration(const Entry& entry) const {
  const QueuedCall call = Describe(entry);
  const double     prefill = static_cast<double>(call.prompt - call.cached) /
                         m_settings.prefill_tokens_per_ms;
  const double decode =
      static_cast<double>(call.max_tokens) / m_settings.decode_tokens_per_ms;
  return static_cast<Duration>(prefill + decode);
}

Duration Executor::WaitAhead(const Entry& entry, Time now) const {
  const bool fits_in_memory = FitsInMemory(entry);
  if (fits_in_memory && m_runs.size() < m_settings.slots) return 0;
  const double rank = m_policy.Rank(Describe(entry), now);
  Duration     total_work = 0;
  for (const auto& key : m_queue) {
    const Entry& queued_entry = m_entries.at(key);
    // A call that waits for memory does not delay a call that fits.
    if (fits_in_memory && !FitsInMemory(queued_entry)) continue;
    if (m_policy.Rank(Describe(queued_entry), now) <= rank)
      total_work += EstimateDuration(queued_entry);
  }
  // Running calls are assumed to be halfway through.
  for (const auto& [run, key] : m_runs)
    total_work += EstimateDuration(m_entries.at(key)) / 2;
  return total_work / static_cast<Duration>(m_settings.slots);
}

Duration Executor::LoadMs() const {
  if (m_runs.size() + m_queue.size() < m_settings.slots) return 0;
  Duration total_work = 0;
  for (const auto& key : m_queue)
    total_work += EstimateDuration(m_entries.at(key));
  for (const auto& [run, key] : m_runs)
    total_work += EstimateDuration(m_entries.at(key)) / 2;
  return total_work / static_cast<Duration>(m_settings.slots);
}

void Executor::StartNext(Time now) {
  while (m_runs.size() < m_settings.slots) {
    const CallKey* best = nullptr;
    double         best_rank = 0;
    for (const auto& key : m_queue) {
      const Entry& entry = m_entries.at(key);
      if (!FitsInMemory(entry)) continue;
      const double rank = m_policy.Rank(Describe(entry), now);
      if (best != nullptr && rank >= best_rank) continue;
      best = &key;
      best_rank = rank;
    }
    if (best == nullptr) return;
    StartRun(CallKey(*best), now);
  }
}

bool Executor::FitsInMemory(const Entry& entry) const {
  const Tokens prompt = EstimateTokens(entry.order.prompt);
  const Tokens memory_limit = m_settings.prefix_tokens;
  // Programs that do not fit evict each other's prefixes, and the engine spends
  // its time recomputing prompts. A new program waits until another has ended;
  // small ones are admitted, since they need little memory.
  if (memory_limit == 0 || prompt * kSmallPromptDivisor < memory_limit)
    return true;
  if (m_runs.empty() || m_prefixes.contains(entry.order.call.program))
    return true;
  return ResidentTokens() + prompt <= memory_limit;
}

void Executor::ExpireQueued(Time now) {
  std::vector<CallKey> expired;
  for (const auto& key : m_queue) {
    const Entry& entry = m_entries.at(key);
    const Time   latest_start = std::min(entry.arrived + entry.order.max_wait,
                                         entry.order.call.deadline);
    if (now > latest_start) expired.push_back(key);
  }
  for (const auto& key : expired) {
    Entry& entry = m_entries.at(key);
    m_queue.erase(key);
    GetCallChart().Fire(&entry.phase, CallEvent::kGiveUp);
    const bool    past_deadline = now > entry.order.call.deadline;
    DispatchReply reply;
    reply.failure = past_deadline
                        ? core::Refuse(Reason::kDeadline)
                        : core::Refuse(Reason::kOverloaded,
                                       RetryDelay(entry.order, LoadMs()));
    m_outbox.CountRefusal(reply.failure.reason);
    Finish(key, reply, now);
  }
}

void Executor::OnTick(Time now) {
  ExpireQueued(now);
  for (const auto& [run, key] : m_runs) {
    Entry&     entry = m_entries.at(key);
    const bool must_cancel = now > entry.order.call.deadline &&
                             !entry.cancelled && !entry.order.call.unrepeatable;
    if (!must_cancel) continue;
    entry.cancelled = true;
    m_outbox.Push(CancelRun{run});
  }
  ForgetOld(now);
  StartNext(now);
}

// ---- Memory

void Executor::OnRelease(const ProgramId& program) {
  if (!m_safeguards.Has(Safeguard::kPrefixRelease)) return;
  if (m_prefixes.erase(program) == 0) return;
  m_outbox.Push(ReleasePrefix{program, m_joined});
}

void Executor::ReleaseAll() {
  m_prefixes.clear();
  m_outbox.Push(ReleasePrefix{ProgramId{}, m_joined});
}

void Executor::ForgetOld(Time now) {
  std::erase_if(m_entries, [&](const auto& item) {
    const Entry& entry = item.second;
    return entry.phase == CallPhase::kDone &&
           now > entry.order.call.deadline + m_settings.clock_margin;
  });
  std::vector<ProgramId> unused;
  for (const auto& [program, prefix] : m_prefixes) {
    if (now - prefix.last_used > m_settings.prefix_hold)
      unused.push_back(program);
  }
  // A lost release message or a failed coordinator must not leak engine memory,
  // so every prefix has a lease that only calls of its program renew.
  for (const auto& program : unused) OnRelease(program);
  std::erase_if(m_fences, [&](const auto& item) {
    const CallKey first{item.first, 0};
    const auto    it = m_entries.lower_bound(first);
    const bool    has_calls =
        it != m_entries.end() && it->first.first == item.first;
    return !has_calls && item.second == kNoOffset;
  });
}

Tokens Executor::ResidentTokens() const {
  Tokens resident = 0;
  for (const auto& [program, prefix] : m_prefixes) resident += prefix.tokens;
  return resident;
}

Tokens Executor::CachedTokens(const ProgramId& program) const {
  const auto it = m_prefixes.find(program);
  return it == m_prefixes.end() ? 0 : it->second.tokens;
}

}  // namespace yuccawick::core

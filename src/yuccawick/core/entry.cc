#include "yuccawick/core/entry.h"

#include <algorithm>
#include <tuple>
#include <type_traits>
#include <utility>

#include "yuccawick/core/hash.h"

namespace yuccawick::core {
namespace {

// Engines whose leased prefixes differ by fewer tokens than this count as
// equal.
constexpr Tokens kResidentStep = 4096;

// Whether a chunk that begins within `streamed` repeats the text there.
bool Repeats(const std::string& streamed, const CallChunk& chunk) {
  const auto shared =
      std::min(chunk.text.size(), streamed.size() - chunk.position);
  return streamed.compare(chunk.position, shared, chunk.text, 0, shared) == 0;
}

}  // namespace

Entry::Entry(EntrySettings settings, Safeguards safeguards)
    : m_settings(std::move(settings)),
      m_safeguards(safeguards),
      m_control(safeguards),
      m_tail(m_settings.self, m_settings.control, m_control, m_outbox,
             [this](Time now) {
               if (!std::exchange(m_ready, true)) {
                 LogLine line;
                 line.event = LogEvent::kJoined;
                 m_outbox.Push(line);
               }
               m_membership.OnControl();
               m_membership.Watch({}, now);
             }),
      m_membership(m_settings.self, m_settings.membership, safeguards,
                   m_control, m_outbox),
      m_retries(m_settings.retry, m_settings.seed) {}

std::vector<Command> Entry::Handle(Time now, const Event& event) {
  // A request that arrives after the stop is refused at once.
  const bool is_caller_message = std::holds_alternative<CallerMessage>(event);
  if (m_stopped && !is_caller_message) return {};
  std::visit([&](const auto& e) { On(e, now); }, event);
  if (m_stopped) return m_outbox.Take();
  if (m_draining && m_pending.empty()) {
    m_outbox.Push(Stop{StopCause::kDrained});
    m_stopped = true;
  }
  return m_outbox.Take();
}

// ---- Events

void Entry::On(const Tick& /*event*/, Time now) {
  m_tail.OnTick(now);
  m_membership.OnTick(now);
  if (m_tail.IsLogUnavailable() || !m_tail.HasState()) {
    const NodeRef* newer_peer = m_membership.PeerAhead();
    if (newer_peer != nullptr) m_tail.RequestSnapshot(*newer_peer);
  }
  std::vector<std::uint64_t> retries_due;
  std::vector<std::uint64_t> past_deadline;
  std::vector<std::uint64_t> unanswered;
  for (auto& [request, pending] : m_pending) {
    if (now > pending.deadline + m_settings.reply_margin) {
      past_deadline.push_back(request);
    } else if (pending.retry_at != 0 && now >= pending.retry_at) {
      retries_due.push_back(request);
    } else if (pending.retry_at == 0 &&
               now - pending.sent_at > m_settings.resend_after) {
      unanswered.push_back(request);
    }
  }
  for (const auto request : past_deadline)
    GiveUp(request, Refuse(Reason::kDeadline));
  for (const auto request : retries_due) TrySend(request, now);
  // Coordinators recognize a repeated request by entry and number, and answer
  // it once.
  for (const auto request : unanswered) Transmit(request, now);
  std::vector<NodeRef> unreachable;
  for (const auto& [node, peer] : m_membership.peers()) {
    if (m_membership.IsSuspect(node)) unreachable.push_back(node);
  }
  for (const auto& node : unreachable) OnCoordinatorUnreachable(node, now);
}

void Entry::On(const CallerMessage& event, Time now) {
  if (const auto* cancel = std::get_if<CancelRequest>(&event.message)) {
    const auto it = m_pending.find(cancel->request);
    if (it == m_pending.end()) return;
    if (!it->second.sent_to.vm.empty())
      m_outbox.Send(it->second.sent_to, *cancel);
    m_pending.erase(it);
    return;
  }
  Pending pending;
  pending.message = event.message;
  pending.arrived = now;
  pending.deadline = now + m_settings.default_deadline;
  std::uint64_t request = 0;
  if (const auto* start = std::get_if<StartProgram>(&event.message)) {
    request = start->request;
    pending.program = start->parent;
  } else if (const auto* call = std::get_if<CallRequest>(&event.message)) {
    request = call->request;
    pending.program = call->call.program;
    pending.deadline = call->call.deadline;
  } else if (const auto* query = std::get_if<ProgramQuery>(&event.message)) {
    request = query->request;
    pending.program = query->program;
  }
  Accept(request, std::move(pending), now);
}

void Entry::Accept(std::uint64_t request, Pending pending, Time now) {
  m_pending[request] = std::move(pending);
  if (m_draining) return GiveUp(request, Refuse(Reason::kDraining));
  m_retries.OnFreshRequest();
  TrySend(request, now);
}

void Entry::On(const MessageReceived& event, Time now) {
  const bool addressed_here = IsMeant(event.to, m_settings.self);
  // A reply to an earlier incarnation contains a request number that this
  // incarnation may have given to another caller, who would receive the wrong
  // answer.
  if (!addressed_here && m_safeguards.Has(Safeguard::kReplyMatch)) {
    m_outbox.Push(Count{Counter::kStaleMessages, "other_incarnation", 1});
    return;
  }
  m_membership.OnMessage(event.from, now);
  std::visit(
      [&](const auto& m) {
        using M = std::decay_t<decltype(m)>;
        if constexpr (std::is_same_v<M, StartReply> ||
                      std::is_same_v<M, CallReply> ||
                      std::is_same_v<M, ProgramReply>) {
          OnReply(event.from, m.request, m.ok, m.failure, m, now);
        } else if constexpr (std::is_same_v<M, CallChunk>) {
          OnChunk(event.from, m, now);
        } else if constexpr (std::is_same_v<M, Probe>) {
          m_outbox.Send(event.from,
                        ProbeReply{m_control.version(), m_draining, 0, 0});
        } else if constexpr (std::is_same_v<M, ProbeReply>) {
          m_membership.OnProbeReply(event.from, m, now);
        } else if constexpr (std::is_same_v<M, ControlPull>) {
          m_tail.OnPull(event.from);
        } else if constexpr (std::is_same_v<M, ControlPush>) {
          m_tail.OnPush(m, now);
        }
      },
      event.message);
}

void Entry::On(const SendFailed& event, Time now) {
  m_membership.OnSendFailed(event.to, now);
  OnCoordinatorUnreachable(event.to, now);
}

void Entry::On(const ReadDone& event, Time now) { m_tail.OnRead(event, now); }

void Entry::On(const VmListRead& event, Time now) {
  m_membership.OnVmList(event, now);
  m_tail.OnVmList(event);
}

void Entry::On(const StopRequested& /*event*/, Time /*now*/) {
  m_draining = true;
  LogLine line;
  line.event = LogEvent::kLeaving;
  m_outbox.Push(line);
}

// ---- Sending

tl::expected<NodeRef, Failure> Entry::ChooseCoordinator(
    const std::string& model, std::uint64_t request) const {
  const Member* best = nullptr;
  bool          has_member = false;
  const auto    cost = [&](const Member& m) {
    // Equally loaded nodes are ordered differently for each request.
    return std::tuple(m_membership.LoadOf(m.join.node),
                         m_membership.ResidentOf(m.join.node) / kResidentStep,
                         PairHash(std::to_string(request), m.join.node.vm));
  };
  for (const auto& [node, member] : m_control.members()) {
    if (member.join.kind != BackendKind::kModel) continue;
    if (member.join.target != model || member.IsClaimed()) continue;
    has_member = true;
    if (!m_membership.IsUsable(node)) continue;
    if (best == nullptr || cost(member) < cost(*best)) best = &member;
  }
  if (best != nullptr) return best->join.node;
  return tl::make_unexpected(
      Refuse(has_member ? Reason::kHomeUnreachable : Reason::kUnknownBackend));
}

tl::expected<NodeRef, Failure> Entry::Target(const Pending& pending) const {
  if (!m_tail.HasState()) return tl::make_unexpected(Refuse(Reason::kNotReady));
  if (!pending.program.IsSet()) {
    const auto& start = std::get<StartProgram>(pending.message);
    return ChooseCoordinator(start.model, start.request);
  }
  const auto coordinator = m_control.Resolve(pending.program.origin);
  if (m_control.FindMember(coordinator.node) == nullptr)
    return tl::make_unexpected(Refuse(Reason::kUnknownProgram));
  if (m_membership.IsSuspect(coordinator.node))
    return tl::make_unexpected(Refuse(Reason::kHomeUnreachable));
  return coordinator.node;
}

void Entry::TrySend(std::uint64_t request, Time now) {
  Pending&   pending = m_pending.at(request);
  const auto target = Target(pending);
  if (!target) {
    if (target.error().reason == Reason::kHomeUnreachable)
      return WaitForCoordinator(request, now);
    return OnFailure(request, target.error(), now);
  }
  pending.retry_at = 0;
  pending.waiting_since = 0;
  pending.sent_to = *target;
  pending.may_have_run = true;
  ++pending.attempts;
  Transmit(request, now);
}

void Entry::Transmit(std::uint64_t request, Time now) {
  Pending& pending = m_pending.at(request);
  pending.sent_at = now;
  std::visit(
      [&](const auto& m) {
        using M = std::decay_t<decltype(m)>;
        if constexpr (std::is_same_v<M, StartProgram> ||
                      std::is_same_v<M, CallRequest> ||
                      std::is_same_v<M, ProgramQuery>) {
          m_outbox.Send(pending.sent_to, m);
        }
      },
      pending.message);
}

void Entry::WaitForCoordinator(std::uint64_t request, Time now) {
  Pending& pending = m_pending.at(request);
  if (pending.waiting_since == 0) {
    pending.waiting_since = now;
    m_outbox.CountRetry(Reason::kHomeUnreachable);
  }
  const bool waited_too_long =
      now - pending.waiting_since > m_settings.max_coordinator_wait ||
      now >= pending.deadline;
  if (waited_too_long) return GiveUp(request, Refuse(Reason::kHomeUnreachable));
  pending.retry_at = now + m_settings.retry.initial_wait;
}

// Replies with a failure. Ran::kNo is kept only if the request was never sent,
// or the last coordinator that received it reported so.
void Entry::GiveUp(std::uint64_t request, Failure failure) {
  const auto it = m_pending.find(request);
  if (it == m_pending.end()) return;
  const bool call = std::holds_alternative<CallRequest>(it->second.message);
  const bool run_uncertain =
      it->second.may_have_run && call && failure.ran == Ran::kNo;
  if (run_uncertain && m_safeguards.Has(Safeguard::kRanAccuracy))
    failure.ran = Ran::kUnknown;
  m_outbox.CountRefusal(failure.reason);
  m_outbox.Push(ReplyToCaller{
      request, FailureReply(it->second.message, request, failure)});
  m_pending.erase(it);
}

Message Entry::FailureReply(const Message& request_message,
                            std::uint64_t request, const Failure& failure) {
  if (std::holds_alternative<StartProgram>(request_message))
    return StartReply{request, false, {}, failure};
  if (std::holds_alternative<CallRequest>(request_message))
    return CallReply{request, false, {}, failure};
  return ProgramReply{request, false, {}, failure};
}

// ---- Replies

Entry::Pending* Entry::FindFrom(const NodeRef& from, std::uint64_t request) {
  const auto it = m_pending.find(request);
  const bool matches =
      it != m_pending.end() &&
      (it->second.sent_to == from || !m_safeguards.Has(Safeguard::kReplyMatch));
  if (matches) return &it->second;
  m_outbox.Push(Count{Counter::kStaleMessages, "reply", 1});
  return nullptr;
}

void Entry::OnChunk(const NodeRef& from, const CallChunk& chunk, Time now) {
  Pending* pending = FindFrom(from, chunk.request);
  if (pending == nullptr) return;
  // The call may have run again with another text, which must not continue the
  // text of the first run.
  if (chunk.position < pending->streamed.size() &&
      !Repeats(pending->streamed, chunk)) {
    pending->text_changed = true;
  }
  // A lost or reordered chunk ends streaming; the reply contains the rest.
  const bool continues = chunk.position == pending->streamed.size();
  if (pending->text_changed || !continues) return;
  pending->sent_at = now;
  pending->streamed += chunk.text;
  m_outbox.Push(ReplyToCaller{chunk.request, chunk});
}

void Entry::OnReply(const NodeRef& from, std::uint64_t request, bool ok,
                    const Failure& failure, const Message& reply, Time now) {
  Pending* pending = FindFrom(from, request);
  if (pending == nullptr) return;
  if (!ok) {
    // The only coordinator that received the request reports that it did not
    // run.
    if (failure.ran == Ran::kNo && pending->attempts == 1)
      pending->may_have_run = false;
    return OnFailure(request, failure, now);
  }
  const auto* answer = std::get_if<CallReply>(&reply);
  const bool  text_differs =
      answer != nullptr && !answer->answer.text.starts_with(pending->streamed);
  if (text_differs) {
    // The call ran again after a failure with a text that differs from what the
    // caller has received. A retry returns the complete text.
    const Failure restart{Reason::kHomeUnreachable, Ran::kYes, 1};
    return GiveUp(request, restart);
  }
  m_outbox.Push(ReplyToCaller{request, reply});
  m_pending.erase(request);
}

void Entry::OnFailure(std::uint64_t request, const Failure& failure, Time now) {
  Pending&   pending = m_pending.at(request);
  const bool may_retry = IsRetriable(failure) && pending.streamed.empty() &&
                         now < pending.deadline && !m_draining &&
                         m_retries.Take(pending.attempts);
  if (!may_retry) return GiveUp(request, failure);
  m_outbox.CountRetry(failure.reason);
  ++pending.attempts;
  pending.retry_at =
      now + m_retries.Wait(pending.attempts - 1, failure.retry_after);
}

void Entry::OnCoordinatorUnreachable(const NodeRef& node, Time now) {
  for (auto& [request, pending] : m_pending) {
    if (pending.sent_to != node || pending.retry_at != 0) continue;
    // The request is sent again to the new coordinator, which recognizes a
    // repeated sequence number by its turn and an unrepeatable call by its
    // intent.
    pending.retry_at = now;
    pending.waiting_since = now;
    m_outbox.CountRetry(Reason::kHomeUnreachable);
  }
}

}  // namespace yuccawick::core

#include "yuccawick/core/agent.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <type_traits>
#include <utility>

#include "yuccawick/core/hash.h"

namespace yuccawick::core {

Agent::Agent(AgentSettings settings, Safeguards safeguards,
             const QueuePolicy& queue_policy, const RoutePolicy& route_policy)
    : m_settings(std::move(settings)),
      m_self(m_settings.join.node),
      m_safeguards(safeguards),
      m_control(safeguards),
      m_tail(m_self, m_settings.control, m_control, m_outbox,
             [this](Time now) { OnControlChanged(now); }),
      m_membership(m_self, m_settings.membership, safeguards, m_control,
                   m_outbox),
      m_budget(m_self, m_settings.budget, safeguards, m_control, m_outbox,
               [this](const std::string& customer) {
                 m_funding_changed.insert(customer);
               }),
      m_durability(
          m_self, m_settings.durability, m_control, m_outbox,
          [this](Ticket ticket) { m_durable_tickets.push_back(ticket); }),
      m_backups(m_control, m_outbox),
      m_executor(m_self, m_settings.executor, safeguards, queue_policy,
                 m_outbox),
      m_coordinator(m_self, m_settings.join.target, m_settings.coordinator,
                    safeguards,
                    {m_control, m_membership, m_budget, m_durability,
                     m_executor, route_policy, m_outbox}) {}

std::vector<Command> Agent::Handle(Time now, const Event& event) {
  if (m_stopped) return {};
  std::visit([&](const auto& e) { On(e, now); }, event);
  return TakeCommands(now);
}

// Delivers messages that the agent sends to itself, since coordinator and
// executor are parts of one node, and returns the other commands.
std::vector<Command> Agent::TakeCommands(Time now) {
  std::vector<Command> other_commands;
  while (true) {
    RetryFunding(now);
    for (const Ticket ticket : std::exchange(m_durable_tickets, {}))
      m_coordinator.OnDurable(ticket, now);
    auto commands = m_outbox.Take();
    if (commands.empty() && m_funding_changed.empty() &&
        m_durable_tickets.empty())
      return other_commands;
    for (auto& command : commands) {
      auto* send = std::get_if<SendMessage>(&command);
      if (send != nullptr && send->to == m_self) {
        OnMessage(m_self, send->message, now);
      } else {
        other_commands.push_back(std::move(command));
      }
    }
  }
}

void Agent::RetryFunding(Time now) {
  for (const auto& customer : std::exchange(m_funding_changed, {}))
    m_coordinator.OnFunding(customer, now);
}

// ---- Events

void Agent::On(const Tick& /*event*/, Time now) {
  m_tail.OnTick(now);
  m_membership.OnTick(now);
  m_budget.OnTick(now);
  m_durability.OnTick(now);
  if (m_durability.WantsControlRead())
    m_durability.OnControlReadStarted(m_tail.ReadNow(now));
  m_executor.OnTick(now);
  m_coordinator.OnTick(now);
  EnsureJoined(now);
  EnsureReplicas(now);
  if (now >= m_next_scan) Scan(now);
  if (m_tail.IsLogUnavailable() || !m_tail.HasState()) {
    const NodeRef* newer_peer = m_membership.PeerAhead();
    if (newer_peer != nullptr) m_tail.RequestSnapshot(*newer_peer);
  }
  if (m_draining) Drain(now);
}

// Work that visits every member and every backed-up program; too expensive for
// each tick in a large group.
void Agent::Scan(Time now) {
  m_next_scan = now + m_settings.scan_interval;
  for (const auto& [node, peer] : m_membership.peers()) {
    if (m_membership.IsSuspect(node))
      m_coordinator.OnPeerUnreachable(node, now);
  }
  m_backups.Forget(m_self, now);
  ClaimDeadPeers(now);
}

void Agent::On(const MessageReceived& event, Time now) {
  // Messages to an earlier incarnation are dropped, since their numbers have
  // another meaning here.
  const bool  addressed_here = IsMeant(event.to, m_self);
  const auto* dispatch = std::get_if<Dispatch>(&event.message);
  const auto* fence = std::get_if<FenceCall>(&event.message);
  // Dispatch and FenceCall name their recipient and need a typed reply.
  const bool  names_recipient = dispatch != nullptr || fence != nullptr;
  if (!addressed_here && !names_recipient &&
      m_safeguards.Has(Safeguard::kReplyMatch)) {
    m_outbox.Push(Count{Counter::kStaleMessages, "other_incarnation", 1});
    return;
  }
  m_membership.OnMessage(event.from, now);
  OnMessage(event.from, event.message, now);
}

void Agent::On(const CallerMessage& /*event*/, Time /*now*/) {}

void Agent::On(const SendFailed& event, Time now) {
  m_membership.OnSendFailed(event.to, now);
  const auto* order =
      event.unsent ? std::get_if<Dispatch>(&*event.unsent) : nullptr;
  if (order != nullptr) return m_coordinator.OnUnsent(*order, now);
  m_coordinator.OnPeerUnreachable(event.to, now);
}

void Agent::On(const AppendDone& event, Time now) {
  m_budget.OnAppend(event, now);
  m_durability.OnAppend(event, now);
  if (m_durability.WantsControlRead())
    m_durability.OnControlReadStarted(m_tail.ReadNow(now));
}

void Agent::On(const ReadDone& event, Time now) {
  if (m_tail.OnRead(event, now)) {
    m_durability.OnControlRead(event.read, event.status == LogStatus::kOk);
    return;
  }
  if (m_history_reads.contains(event.read)) return OnHistoryRead(event, now);
  m_budget.OnRead(event, now);
}

void Agent::On(const VmListRead& event, Time now) {
  m_membership.OnVmList(event, now);
  m_tail.OnVmList(event);
}

void Agent::On(const RunChunk& event, Time /*now*/) {
  m_executor.OnRunChunk(event);
}

void Agent::On(const RunDone& event, Time now) {
  m_executor.OnRunDone(event, now);
}

void Agent::On(const StopRequested& /*event*/, Time now) {
  if (m_draining) return;
  m_draining = true;
  m_coordinator.StartDraining();
  m_executor.StartDraining();
  LogLine line;
  line.event = LogEvent::kLeaving;
  m_outbox.Push(line);
  Drain(now);
}

// ---- Messages

void Agent::OnMessage(const NodeRef& from, const Message& message, Time now) {
  std::visit(
      [&](const auto& m) {
        using M = std::decay_t<decltype(m)>;
        if constexpr (std::is_same_v<M, StartProgram>) {
          m_coordinator.OnStart(from, m, now);
        } else if constexpr (std::is_same_v<M, CallRequest>) {
          m_coordinator.OnCall(from, m, now);
        } else if constexpr (std::is_same_v<M, ProgramQuery>) {
          m_coordinator.OnQuery(from, m, now);
        } else if constexpr (std::is_same_v<M, CancelRequest>) {
          m_coordinator.OnCancel(from, m, now);
        } else if constexpr (std::is_same_v<M, Dispatch>) {
          m_executor.OnDispatch(from, m, now);
        } else if constexpr (std::is_same_v<M, DispatchChunk>) {
          m_coordinator.OnDispatchChunk(from, m);
        } else if constexpr (std::is_same_v<M, DispatchReply>) {
          m_coordinator.OnDispatchReply(from, m, now);
        } else if constexpr (std::is_same_v<M, CancelDispatch>) {
          m_executor.OnCancel(from, m, now);
        } else if constexpr (std::is_same_v<M, ReleaseCache>) {
          m_executor.OnRelease(m.program);
        } else if constexpr (std::is_same_v<M, Replicate>) {
          m_backups.OnReplicate(from, m, now);
        } else if constexpr (std::is_same_v<M, ReplicateReply>) {
          m_durability.OnReplicateReply(from, m, now);
        } else if constexpr (std::is_same_v<M, FenceCall>) {
          m_executor.OnFence(from, m, now);
        } else if constexpr (std::is_same_v<M, FenceReply>) {
          m_coordinator.OnFenceReply(from, m, now);
        } else if constexpr (std::is_same_v<M, Probe>) {
          OnProbe(from, m, now);
        } else if constexpr (std::is_same_v<M, ProbeReply>) {
          m_membership.OnProbeReply(from, m, now);
        } else if constexpr (std::is_same_v<M, ControlPull>) {
          m_tail.OnPull(from);
        } else if constexpr (std::is_same_v<M, ControlPush>) {
          m_tail.OnPush(m, now);
        }
      },
      message);
}

void Agent::OnProbe(const NodeRef& from, const Probe& probe, Time now) {
  ProbeReply reply;
  reply.control_version = m_control.version();
  reply.leaving = m_draining;
  reply.load_ms = static_cast<std::uint64_t>(m_executor.LoadMs());
  reply.resident = m_executor.ResidentTokens();
  m_outbox.Send(from, reply);
  if (probe.control_version > m_control.version() && m_tail.IsLogUnavailable())
    m_tail.RequestSnapshot(from);
  (void)now;
}

// ---- Membership

void Agent::OnControlChanged(Time now) {
  m_membership.OnControl();
  m_budget.OnContracts(now);
  LogContracts();
  const Member* self = m_control.FindMember(m_self);
  if (self != nullptr && !m_executor.IsJoined()) {
    m_executor.OnJoined(self->joined);
    LogLine line;
    line.event = LogEvent::kJoined;
    m_outbox.Push(line);
  }
  if (self != nullptr && m_durability.OnAssigned(self->replicas)) {
    LogLine line;
    line.event = LogEvent::kReplicaAssigned;
    for (const auto& node : self->replicas) line.detail += " " + node.vm;
    m_outbox.Push(line);
  }
  AdoptClaimed(now);
  WatchDependencies(now);
  // An operator requests a drain by appending a leave record.
  if (self != nullptr && self->leaving) On(StopRequested{}, now);
  const bool superseded = self != nullptr && self->IsClaimed() && !m_draining;
  if (!superseded) return;
  // Another node owns the programs, so the state here is out of date. This
  // incarnation stops and the platform starts the next one.
  LogLine line;
  line.severity = Severity::kWarning;
  line.event = LogEvent::kSuperseded;
  line.detail = ToString(self->adopter);
  m_outbox.Push(line);
  m_outbox.Push(Stop{StopCause::kSuperseded});
  m_stopped = true;
}

void Agent::LogContracts() {
  for (const auto& [customer, contract] : m_control.contracts()) {
    Offset& logged =
        m_logged_contracts.try_emplace(customer, kNoOffset).first->second;
    if (logged == contract.version) continue;
    logged = contract.version;
    LogLine line;
    line.event = LogEvent::kContractInForce;
    line.customer = customer;
    line.detail = std::to_string(contract.version);
    m_outbox.Push(line);
  }
}

bool Agent::MayRetry(Time* last_attempt, Time now) const {
  if (*last_attempt != 0 && now - *last_attempt < m_settings.append_retry)
    return false;
  *last_attempt = now;
  return true;
}

void Agent::EnsureJoined(Time now) {
  if (m_executor.IsJoined() || m_tail.phase() != ConfigPhase::kCurrent) return;
  if (m_draining || !MayRetry(&m_joined_at, now)) return;
  m_outbox.Append(std::string(kControlStream), {m_settings.join});
  m_tail.ReadNow(now);
}

// Chooses the usable current replicas, then the members that back up the fewest
// coordinators, each in its own zone if there are enough zones.
std::vector<NodeRef> Agent::ChooseReplicas() const {
  std::map<NodeRef, int> coordinators_backed;
  for (const auto& [node, member] : m_control.members()) {
    if (member.IsClaimed()) continue;
    for (const auto& replica : member.replicas) ++coordinators_backed[replica];
  }
  std::vector<NodeRef>  chosen;
  std::set<std::string> zones{m_settings.join.zone};
  const auto            add_member = [&](const Member& member) {
    chosen.push_back(member.join.node);
    zones.insert(member.join.zone);
  };
  for (const auto& node : m_durability.Replicas()) {
    const Member* member = m_control.FindMember(node);
    if (member != nullptr && MayBeReplica(*member)) add_member(*member);
  }
  const auto cost = [&](const Member& m) {
    const bool other_model = m.join.target != m_settings.join.target;
    return std::tuple(zones.contains(m.join.zone), other_model,
                      coordinators_backed[m.join.node],
                      PairHash(m_self.vm, m.join.node.vm));
  };
  while (chosen.size() < m_settings.replicas) {
    const Member* best = nullptr;
    for (const auto& [node, member] : m_control.members()) {
      const bool is_chosen =
          std::find(chosen.begin(), chosen.end(), node) != chosen.end();
      if (is_chosen || !MayBeReplica(member)) continue;
      if (best == nullptr || cost(member) < cost(*best)) best = &member;
    }
    if (best == nullptr) break;
    add_member(*best);
  }
  return chosen;
}

bool Agent::MayBeReplica(const Member& member) const {
  // A replica in the coordinator's zone would fail together with it.
  return member.join.kind == BackendKind::kModel &&
         member.join.zone != m_settings.join.zone && !member.leaving &&
         m_membership.IsUsable(member.join.node);
}

void Agent::EnsureReplicas(Time now) {
  if (m_settings.join.kind != BackendKind::kModel) return;
  if (!m_executor.IsJoined() || m_draining) return;
  const auto usable = [this](const std::vector<NodeRef>& nodes) {
    return std::all_of(nodes.begin(), nodes.end(), [this](const auto& node) {
      return m_membership.IsUsable(node);
    });
  };
  if (!usable(m_durability.Candidates())) m_durability.DropCandidates();
  if (m_durability.Candidates().empty()) {
    const auto replicas = m_durability.Replicas();
    const bool sufficient =
        replicas.size() >= m_settings.replicas && usable(replicas);
    if (sufficient) return;
    const auto chosen = ChooseReplicas();
    if (chosen.empty() || chosen == replicas) return;
    m_durability.StartCandidates(chosen, m_coordinator.AllPrograms(), now);
    m_assigned_at = 0;
    return;
  }
  // Candidates are assigned only when up to date, since from then on only they
  // may claim.
  if (!m_durability.AreCandidatesReady() || !MayRetry(&m_assigned_at, now))
    return;
  m_outbox.Append(std::string(kControlStream),
                  {ReplicaRecord{m_self, m_durability.Candidates()}});
  m_tail.ReadNow(now);
}

void Agent::WatchDependencies(Time now) {
  std::set<NodeRef> watched;
  for (const auto& [node, member] : m_control.members()) {
    if (member.IsClaimed()) continue;
    if (member.HasReplica(m_self)) watched.insert(node);
    const bool may_claim = member.join.kind == BackendKind::kModel &&
                           m_control.MayClaim(node, m_self);
    if (may_claim && IsFirstToClaim(node)) watched.insert(node);
  }
  for (const auto& node : m_durability.Replicas()) watched.insert(node);
  m_membership.Watch(watched, now);
}

// ---- Ownership

bool Agent::IsFirstToClaim(const NodeRef& target) const {
  const Member* member = m_control.FindMember(target);
  if (member != nullptr && member->HasReplica(m_self)) return true;
  std::optional<std::pair<std::uint64_t, NodeRef>> first;
  for (const auto& [node, other] : m_control.members()) {
    const bool able = other.join.kind == BackendKind::kModel &&
                      !other.IsClaimed() && node != target && !other.leaving &&
                      (node == m_self || m_membership.IsUsable(node));
    if (!able) continue;
    const std::pair rank{PairHash(ToString(target), ToString(node)), node};
    if (!first || rank < *first) first = rank;
  }
  return first && first->second == m_self;
}

void Agent::ClaimDeadPeers(Time now) {
  if (m_settings.join.kind != BackendKind::kModel || m_draining) return;
  if (!m_executor.IsJoined()) return;
  for (const auto& [node, member] : m_control.members()) {
    const bool dead = member.join.kind == BackendKind::kModel &&
                      !member.IsClaimed() && node != m_self &&
                      m_membership.IsPresumedDead(node, now);
    if (!dead || !m_control.MayClaim(node, m_self)) continue;
    if (IsFirstToClaim(node)) AppendClaim(node, m_self, now);
  }
}

void Agent::AppendClaim(const NodeRef& target, const NodeRef& adopter,
                        Time now) {
  if (!MayRetry(&m_claimed_at[target], now)) return;
  m_outbox.Append(std::string(kControlStream), {ClaimRecord{target, adopter}});
  LogLine line;
  line.severity = Severity::kWarning;
  line.event = LogEvent::kClaimAppended;
  line.detail = ToString(target);
  m_outbox.Push(line);
  m_tail.ReadNow(now);
}

void Agent::AdoptClaimed(Time now) {
  for (const auto& [node, member] : m_control.members()) {
    if (member.adopter != m_self || m_adopted.contains(node)) continue;
    m_adopted.insert(node);
    m_coordinator.Adopt(node, member.claimed, m_backups.Take(node), now);
    LogLine line;
    line.severity = Severity::kWarning;
    line.event = LogEvent::kAdopted;
    line.detail = ToString(node);
    m_outbox.Push(line);
    ReadHistory(node, 0);
  }
}

void Agent::ReadHistory(const NodeRef& target, Offset from) {
  m_history_reads[m_outbox.Read(HistoryStream(target.vm), from)] = target;
}

void Agent::OnHistoryRead(const ReadDone& done, Time now) {
  const NodeRef target = m_history_reads.at(done.read);
  m_history_reads.erase(done.read);
  // Without the history an acknowledged answer could be missing, so the read is
  // repeated until it succeeds. Requests of callers wait meanwhile.
  if (done.status != LogStatus::kOk) return ReadHistory(target, 0);
  Offset next = done.end;
  for (const auto& logged : done.records) {
    next = logged.offset + 1;
    const auto* history = std::get_if<HistoryRecord>(&logged.record);
    if (history != nullptr) m_coordinator.OnHistory(target, *history, now);
  }
  if (next < done.end) return ReadHistory(target, next);
  m_coordinator.OnHistoryComplete(target, now);
}

// ---- Stopping

// The first usable replica; the first replica if none is usable.
NodeRef Agent::ChooseSuccessor(const std::vector<NodeRef>& replicas) const {
  const auto usable_replica =
      std::find_if(replicas.begin(), replicas.end(),
                   [this](const auto& n) { return m_membership.IsUsable(n); });
  return usable_replica == replicas.end() ? replicas.front() : *usable_replica;
}

void Agent::Drain(Time now) {
  const Member* self = m_control.FindMember(m_self);
  if (self != nullptr && !self->leaving && MayRetry(&m_left_at, now)) {
    m_outbox.Append(std::string(kControlStream), {LeaveRecord{m_self}});
    m_tail.ReadNow(now);
  }
  const bool busy = m_coordinator.InFlight() > 0 || !m_executor.IsIdle();
  if (busy && m_safeguards.Has(Safeguard::kDrainInFlight)) return;
  m_durability.FlushNow(now);
  if (!m_durability.IsQuiet()) return;
  m_budget.ReleaseAllUnused(now);
  if (!m_budget.IsQuiet()) return;
  const bool must_transfer =
      self != nullptr && !self->IsClaimed() && !m_durability.Replicas().empty();
  if (must_transfer)
    return AppendClaim(m_self, ChooseSuccessor(m_durability.Replicas()), now);
  const bool announced = self == nullptr || self->leaving || self->IsClaimed();
  if (!announced) return;
  // Other nodes see the leave record later. Until then this process refuses
  // their orders as not run; if it had stopped, their outcome would be unknown.
  const bool in_grace_period = self != nullptr && m_left_at != 0 &&
                               now - m_left_at < m_settings.leave_grace;
  if (in_grace_period && m_safeguards.Has(Safeguard::kDrainInFlight)) return;
  m_executor.ReleaseAll();
  LogLine line;
  line.event = LogEvent::kStopped;
  m_outbox.Push(line);
  m_outbox.Push(Stop{StopCause::kDrained});
  m_stopped = true;
}

}  // namespace yuccawick::core

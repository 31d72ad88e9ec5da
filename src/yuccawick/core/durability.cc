#include "yuccawick/core/durability.h"

#include <algorithm>
#include <utility>

namespace yuccawick::core {
namespace {

constexpr std::size_t kMetaBytes = 200;  // metadata of a delta
constexpr std::size_t kTurnBytes = 100;  // turn without its texts
constexpr Duration    kEndedRetention =
    60'000;  // ms; longer than a flush interval
constexpr Duration kUnassignedRetention =
    600'000;  // ms; longer than a full copy takes
constexpr std::size_t kMaxDeltasPerAppend = 512;
constexpr std::size_t kMaxBytesPerAppend = 1 << 20;

}  // namespace

std::size_t SizeOf(const ProgramDelta& delta) {
  std::size_t size = kMetaBytes;
  for (const auto& turn : delta.turns)
    size += kTurnBytes + turn.call.body.size() + turn.answer.text.size();
  return size;
}

// ---- Durability

Durability::Durability(NodeRef self, DurabilitySettings settings,
                       const Control& control, Outbox& outbox,
                       std::function<void(Ticket)> on_durable)
    : m_self(std::move(self)),
      m_settings(settings),
      m_control(control),
      m_outbox(outbox),
      m_on_durable(std::move(on_durable)) {}

Ticket Durability::MakeDurable(const ProgramDelta& delta, Time now) {
  const Ticket ticket = m_outbox.NextNumber();
  m_not_durable.insert(ticket);
  const std::size_t bytes = SizeOf(delta);
  m_unlogged.push_back({ticket, delta, bytes});
  m_unlogged_bytes += bytes;
  for (auto& link : m_replicas) SendBatch(&link, ticket, delta, now);
  for (auto& link : m_candidates) SendBatch(&link, ticket, delta, now);
  return ticket;
}

void Durability::SendBatch(ReplicaLink* link, Ticket ticket,
                           const ProgramDelta& delta, Time now) {
  if (link->unacked.empty()) link->oldest_sent = now;
  link->unacked[ticket] = delta;
  link->last_sent = now;
  m_outbox.Send(link->node, Replicate{ticket, {delta}});
}

void Durability::StartCandidates(const std::vector<NodeRef>&      nodes,
                                 const std::vector<ProgramDelta>& all_programs,
                                 Time                             now) {
  DropCandidates();
  m_candidate_nodes = nodes;
  const auto replicas = Replicas();
  for (const auto& node : nodes) {
    if (std::find(replicas.begin(), replicas.end(), node) != replicas.end())
      continue;
    m_candidates.push_back({node, {}, now, now});
    for (const auto& delta : all_programs)
      SendBatch(&m_candidates.back(), m_outbox.NextNumber(), delta, now);
  }
}

bool Durability::AreCandidatesReady() const {
  return !m_candidate_nodes.empty() &&
         std::all_of(
             m_candidates.begin(), m_candidates.end(),
             [](const ReplicaLink& link) { return link.unacked.empty(); });
}

void Durability::DropCandidates() {
  m_candidates.clear();
  m_candidate_nodes.clear();
}

std::vector<NodeRef> Durability::Replicas() const {
  std::vector<NodeRef> nodes;
  nodes.reserve(m_replicas.size());
  for (const auto& link : m_replicas) nodes.push_back(link.node);
  return nodes;
}

bool Durability::OnAssigned(const std::vector<NodeRef>& replicas) {
  if (replicas.empty() || replicas == Replicas()) return false;
  if (replicas != m_candidate_nodes) return false;
  std::vector<ReplicaLink> assigned;
  for (const auto& node : replicas) {
    for (auto* links : {&m_candidates, &m_replicas}) {
      for (auto& link : *links) {
        if (link.node == node) assigned.push_back(std::move(link));
      }
    }
  }
  m_replicas = std::move(assigned);
  DropCandidates();
  // Acknowledgements that the new replicas sent as candidates count now.
  for (const Ticket ticket : std::set<Ticket>(m_not_durable))
    MarkIfReplicated(ticket);
  return true;
}

void Durability::OnReplicateReply(const NodeRef&        from,
                                  const ReplicateReply& reply, Time now) {
  if (!reply.stored) return;
  for (auto* links : {&m_candidates, &m_replicas}) {
    for (auto& link : *links) {
      if (link.node != from || link.unacked.erase(reply.batch) == 0) continue;
      link.oldest_sent = now;
    }
  }
  MarkIfReplicated(reply.batch);
}

bool Durability::IsFullyReplicated(Ticket ticket) const {
  return !m_replicas.empty() &&
         std::none_of(m_replicas.begin(), m_replicas.end(),
                      [ticket](const ReplicaLink& link) {
                        return link.unacked.contains(ticket);
                      });
}

void Durability::MarkIfReplicated(Ticket ticket) {
  if (IsFullyReplicated(ticket)) MarkDurable(ticket);
}

void Durability::MarkDurable(Ticket ticket) {
  if (m_not_durable.erase(ticket) > 0) m_on_durable(ticket);
}

bool Durability::IsLate(Time now) const {
  const auto is_link_late = [&](const ReplicaLink& link) {
    return !link.unacked.empty() &&
           now - link.oldest_sent > m_settings.late_after;
  };
  return m_replicas.empty() ||
         std::any_of(m_replicas.begin(), m_replicas.end(), is_link_late);
}

void Durability::OnTick(Time now) {
  for (auto& link : m_replicas) Resend(&link, now);
  for (auto& link : m_candidates) Resend(&link, now);
  const Duration interval =
      IsLate(now) ? m_settings.flush_linger : m_settings.flush_interval;
  if (now - m_last_flush >= interval) FlushNow(now);
}

void Durability::Resend(ReplicaLink* link, Time now) {
  if (now - link->last_sent < m_settings.resend_after) return;
  link->last_sent = now;
  for (const auto& [ticket, delta] : link->unacked)
    m_outbox.Send(link->node, Replicate{ticket, {delta}});
}

void Durability::FlushNow(Time now) {
  if (m_append != 0 || m_unlogged.empty() || now < m_retry_at) return;
  m_last_flush = now;
  HistoryRecord record;
  record.coordinator = m_self;
  std::size_t bytes = 0;
  while (!m_unlogged.empty() && m_appending.size() < kMaxDeltasPerAppend &&
         bytes < kMaxBytesPerAppend) {
    Item& item = m_unlogged.front();
    bytes += item.bytes;
    record.deltas.push_back(item.delta);
    m_appending.push_back(std::move(item));
    m_unlogged.pop_front();
  }
  m_has_backlog = !m_unlogged.empty();
  m_append = m_outbox.Append(HistoryStream(m_self.vm), {std::move(record)});
}

void Durability::OnAppend(const AppendDone& done, Time now) {
  if (done.append != m_append || m_append == 0) return;
  m_append = 0;
  if (done.status == LogStatus::kOk) {
    for (const auto& item : m_appending) {
      m_unlogged_bytes -= item.bytes;
      if (m_not_durable.contains(item.ticket))
        m_unconfirmed.insert(item.ticket);
    }
    m_appending.clear();
    // Continue with a backlog at once. Waiting for the next interval could let
    // it grow faster than it is written.
    if (m_has_backlog) FlushNow(now);
    return;
  }
  // The append was refused or its outcome is unknown: append again. Reading a
  // delta twice has no effect.
  for (auto it = m_appending.rbegin(); it != m_appending.rend(); ++it)
    m_unlogged.push_front(std::move(*it));
  m_appending.clear();
  m_retry_at = now + Info(Reason::kLogUnavailable).retry_after;
}

bool Durability::WantsControlRead() const {
  return !m_unconfirmed.empty() && m_control_read == 0;
}

void Durability::OnControlReadStarted(std::uint64_t read) {
  m_control_read = read;
  m_confirming.merge(m_unconfirmed);
  m_unconfirmed.clear();
}

void Durability::OnControlRead(std::uint64_t read, bool ok) {
  if (read != m_control_read || m_control_read == 0) return;
  m_control_read = 0;
  const Member* member = m_control.FindMember(m_self);
  const bool    owner = member != nullptr && !member->IsClaimed();
  if (!ok) {
    m_unconfirmed.merge(m_confirming);
    m_confirming.clear();
    return;
  }
  // After a claim, the adopter may have read the history before the append.
  if (!owner) return;
  for (const Ticket ticket : std::exchange(m_confirming, {}))
    MarkDurable(ticket);
}

// ---- BackupStore

void BackupStore::OnReplicate(const NodeRef& from, const Replicate& replicate,
                              Time now) {
  const Member*  member = m_control.FindMember(from);
  ReplicateReply reply{replicate.batch, false};
  const bool     claimed = member != nullptr && member->IsClaimed();
  if (!claimed) {
    Backup& backup = m_coordinators[from];
    backup.updated = now;
    for (const auto& delta : replicate.deltas)
      backup.programs[delta.meta.id].Apply(delta);
    reply.stored = true;
  }
  m_outbox.Send(from, reply);
}

std::vector<ProgramDelta> BackupStore::Take(const NodeRef& coordinator) {
  std::vector<ProgramDelta> deltas;
  const auto                it = m_coordinators.find(coordinator);
  if (it == m_coordinators.end()) return deltas;
  for (const auto& [id, state] : it->second.programs)
    deltas.push_back(state.ToDelta());
  m_coordinators.erase(it);
  return deltas;
}

void BackupStore::Forget(const NodeRef& self, Time now) {
  for (auto& [coordinator, backup] : m_coordinators) {
    std::erase_if(backup.programs, [now](const auto& entry) {
      const ProgramMeta& meta = entry.second.meta;
      return meta.ended && now - meta.last_active > kEndedRetention;
    });
  }
  std::erase_if(m_coordinators, [&](const auto& entry) {
    const Member* member = m_control.FindMember(entry.first);
    if (member == nullptr) return false;
    if (member->IsClaimed()) return member->adopter != self;
    const bool replicated_elsewhere =
        !member->replicas.empty() && !member->HasReplica(self);
    return replicated_elsewhere &&
           now - entry.second.updated > kUnassignedRetention;
  });
}

std::size_t BackupStore::ProgramCount() const {
  std::size_t count = 0;
  for (const auto& [coordinator, backup] : m_coordinators)
    count += backup.programs.size();
  return count;
}

}  // namespace yuccawick::core

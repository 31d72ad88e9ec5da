// Makes program deltas durable before their results are acknowledged.
//
// A delta is durable once either
//  - every assigned replica, each in another availability zone, has
//    acknowledged it, or
//  - the log has accepted it and a read of the control stream that began
//    afterwards shows no claim of this coordinator.
// The first way costs one round trip between zones; deltas are still appended
// to the log, in batches. The second is used while replicas are missing or
// slow. The read is required because an adopter claims first and then reads the
// history: the adopter would miss a delta appended after that.
//
// Durability    the coordinator's side
// BackupStore   the replica's side
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "yuccawick/core/control.h"
#include "yuccawick/core/messages.h"

namespace yuccawick::core {

struct DurabilitySettings {
  Duration    flush_interval = 4000;  // ms between appends with replicas
  Duration    flush_linger = 30;      // ms to collect a batch without replicas
  Duration    resend_after = 400;  // ms until an unacknowledged delta is resent
  Duration    late_after = 200;    // ms until a replica counts as late
  std::size_t max_unlogged = 16 << 20;  // bytes waiting for the log
};

using Ticket = std::uint64_t;  // identifies one delta

class Durability {
 public:
  // `on_durable` is called once for each ticket when its delta is durable.
  Durability(NodeRef self, DurabilitySettings settings, const Control& control,
             Outbox& outbox, std::function<void(Ticket)> on_durable);

  // Starts to make a delta durable. Replicas receive deltas in call order.
  Ticket MakeDurable(const ProgramDelta& delta, Time now);

  // Starts to copy to future replicas: first `all_programs`, then each later
  // delta. Nodes that are replicas already need no copy. The current replicas
  // stay in use until the control stream assigns the new set.
  void                        StartCandidates(const std::vector<NodeRef>&      nodes,
                                              const std::vector<ProgramDelta>& all_programs, Time now);
  // True once every candidate is up to date and the set may be assigned.
  bool                        AreCandidatesReady() const;
  const std::vector<NodeRef>& Candidates() const { return m_candidate_nodes; }
  void                        DropCandidates();
  // Applies the replica set of the control stream (empty: none). Returns true
  // if the set changed.
  bool                        OnAssigned(const std::vector<NodeRef>& replicas);
  std::vector<NodeRef>        Replicas() const;

  void OnReplicateReply(const NodeRef& from, const ReplicateReply& reply,
                        Time now);
  void OnAppend(const AppendDone& done, Time now);
  // A read of the control stream has ended; `read` is its number.
  void OnControlRead(std::uint64_t read, bool ok);
  void OnTick(Time now);
  // Appends unlogged deltas without waiting for the interval.
  void FlushNow(Time now);

  // True while a read of the control stream is needed. The caller starts one
  // and passes its number to OnControlReadStarted().
  bool WantsControlRead() const;
  void OnControlReadStarted(std::uint64_t read);

  bool IsQuiet() const { return m_not_durable.empty() && IsLogged(); }
  bool IsLogged() const { return m_unlogged.empty() && m_append == 0; }
  // True while too much data waits for the log; new work is refused.
  bool IsFull() const { return m_unlogged_bytes > m_settings.max_unlogged; }
  std::size_t UnloggedBytes() const { return m_unlogged_bytes; }

 private:
  struct Item {
    Ticket       ticket = 0;
    ProgramDelta delta;
    std::size_t  bytes = 0;
  };
  // The copy stream to one node.
  struct ReplicaLink {
    NodeRef                        node;
    std::map<Ticket, ProgramDelta> unacked;
    Time                           last_sent = 0;
    Time oldest_sent = 0;  // of the oldest unacknowledged delta
  };

  void SendBatch(ReplicaLink* link, Ticket ticket, const ProgramDelta& delta,
                 Time now);
  void Resend(ReplicaLink* link, Time now);
  bool IsFullyReplicated(Ticket ticket) const;
  bool IsLate(Time now) const;
  void MarkIfReplicated(Ticket ticket);
  void MarkDurable(Ticket ticket);

  NodeRef                     m_self;
  DurabilitySettings          m_settings;
  const Control&              m_control;
  Outbox&                     m_outbox;
  std::function<void(Ticket)> m_on_durable;

  std::set<Ticket>         m_not_durable;  // of deltas in progress
  std::vector<ReplicaLink> m_replicas;     // assigned in the control stream
  std::vector<ReplicaLink> m_candidates;   // receiving a full copy
  std::vector<NodeRef> m_candidate_nodes;  // the complete set to be assigned
  std::deque<Item>     m_unlogged;
  std::size_t          m_unlogged_bytes = 0;  // of m_unlogged and m_appending
  std::vector<Item>    m_appending;           // being appended
  std::uint64_t        m_append = 0;          // number of that append; 0: none
  std::set<Ticket>     m_unconfirmed;  // logged; control stream not read since
  std::set<Ticket>     m_confirming;   // covered by the read m_control_read
  std::uint64_t        m_control_read = 0;
  bool m_has_backlog = false;  // the last append left deltas unlogged
  Time m_last_flush = 0;
  Time m_retry_at = 0;
};

// Copies of the programs of other coordinators. Stops acknowledging deltas of a
// coordinator once it has been claimed, since its programs are then served
// elsewhere.
class BackupStore {
 public:
  BackupStore(const Control& control, Outbox& outbox)
      : m_control(control), m_outbox(outbox) {}

  void OnReplicate(const NodeRef& from, const Replicate& replicate, Time now);
  // Removes and returns all programs of `coordinator`.
  std::vector<ProgramDelta> Take(const NodeRef& coordinator);
  // Drops programs some time after they ended, coordinators claimed by other
  // nodes, and coordinators that have had other replicas for some time.
  void                      Forget(const NodeRef& self, Time now);
  std::size_t               ProgramCount() const;

 private:
  struct Backup {
    std::map<ProgramId, ProgramState> programs;
    Time                              updated = 0;
  };
  const Control&            m_control;
  Outbox&                   m_outbox;
  std::map<NodeRef, Backup> m_coordinators;
};

// Approximate size of a delta in memory and on the wire, bytes.
std::size_t SizeOf(const ProgramDelta& delta);

}  // namespace yuccawick::core

// Holding what a home has done safely before it says so.
//
// A delta is held once either
//   - every assigned replica, each in another availability zone, has
//     acknowledged it, or
//   - the log has taken it and a read of the control stream begun afterwards
//     shows no claim of this home.
// The first costs one exchange between zones and no append; the log is written
// lazily, many deltas an append. Two replicas outlive any two failures at once.
// The second is the way while replicas are missing or late. The read after the
// append is needed because the adopter claims first and reads the history then:
// whatever it cannot see must not have been acknowledged.
//
// Durability   the home's side
// BackupStore  the replica's side
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
  Duration flush_interval = 4000;  // ms between appends while a replica holds
  Duration flush_linger = 30;      // ms to gather a batch without a replica
  Duration resend_after = 400;     // ms without an acknowledgement
  Duration late_after = 200;       // ms until a replica counts as late
  std::size_t max_unlogged = 16 << 20;  // bytes kept while the log is down
};

using Ticket = std::uint64_t;  // names one held delta

class Durability {
 public:
  // `on_durable` is told each ticket once, when its delta is safe.
  Durability(NodeRef self, DurabilitySettings settings, const Control& control,
             Outbox& outbox, std::function<void(Ticket)> on_durable);

  // Sets about holding a delta. Call order is kept towards the replica.
  Ticket MakeDurable(const ProgramDelta& delta, Time now);

  // Begins to copy to nodes that are to become the replicas: `everything`
  // first, each later delta after it. Those that are replicas already have it.
  // The replicas so far stay in use until the control stream names the new set.
  void                        StartCandidates(const std::vector<NodeRef>&      nodes,
                                              const std::vector<ProgramDelta>& everything, Time now);
  // True once every candidate has everything and the set may be assigned.
  bool                        AreCandidatesReady() const;
  const std::vector<NodeRef>& Candidates() const { return m_candidate_nodes; }
  void                        DropCandidates();
  // The control stream names this node's replicas (empty: none). Returns true
  // if that changes them.
  bool                        OnAssigned(const std::vector<NodeRef>& replicas);
  std::vector<NodeRef>        Replicas() const;

  void OnReplicateReply(const NodeRef& from, const ReplicateReply& reply,
                        Time now);
  void OnAppend(const AppendDone& done, Time now);
  // A read of the control stream has ended; `read` is its number.
  void OnControlRead(std::uint64_t read, bool ok);
  void OnTick(Time now);
  // Appends what is not yet logged without waiting for the interval.
  void FlushNow(Time now);

  // Set while a control read is needed; the caller starts one and tells its
  // number.
  bool WantsControlRead() const;
  void OnControlReadStarted(std::uint64_t read);

  bool        IsQuiet() const { return m_waiting.empty() && IsLogged(); }
  bool        IsLogged() const { return m_unlogged.empty() && m_append == 0; }
  // Too much is waiting for the log: refuse new work.
  bool        IsFull() const { return m_bytes > m_settings.max_unlogged; }
  std::size_t UnloggedBytes() const { return m_bytes; }

 private:
  struct Item {
    Ticket       ticket = 0;
    ProgramDelta delta;
    std::size_t  bytes = 0;
  };
  // Copying to one node.
  struct ReplicaLink {
    NodeRef                        node;
    std::map<Ticket, ProgramDelta> unacked;
    Time                           last_sent = 0;
    Time                           oldest_sent = 0;  // for the oldest of these
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

  std::set<Ticket>         m_waiting;          // not yet told to be held
  std::vector<ReplicaLink> m_replicas;         // assigned in the control stream
  std::vector<ReplicaLink> m_candidates;       // being brought up to date
  std::vector<NodeRef>     m_candidate_nodes;  // the whole set to be assigned
  std::deque<Item>         m_unlogged;
  std::size_t              m_bytes = 0;    // of m_unlogged and m_appending
  std::vector<Item>        m_appending;    // under way to the log
  std::uint64_t            m_append = 0;   // its number; 0: none
  std::set<Ticket>         m_unconfirmed;  // logged, control not read since
  std::set<Ticket>         m_confirming;   // covered by m_control_read
  std::uint64_t            m_control_read = 0;
  bool m_batch_was_full = false;  // more was waiting than one append takes
  Time m_last_flush = 0;
  Time m_retry_at = 0;
};

// Copies of other homes' programs, by home. Answers truthfully whether a delta
// is held: not once the home has been claimed, since its programs are then
// served elsewhere.
class BackupStore {
 public:
  BackupStore(const Control& control, Outbox& outbox)
      : m_control(control), m_outbox(outbox) {}

  void OnReplicate(const NodeRef& from, const Replicate& replicate, Time now);
  // Hands over everything held of `home` and forgets it.
  std::vector<ProgramDelta> Take(const NodeRef& coordinator);
  // Forgets ended programs after a while, and homes that have been claimed by
  // others or have had another replica for a while.
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

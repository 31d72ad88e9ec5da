// The server agent's decisions: everything the process beside a backend server
// does, without the process.
//
// Give it events with the time; carry out the commands it returns, in order.
// It joins by a record on the control stream, gets itself a replica in another
// availability zone, owns programs (Coordinator), gives orders to its server
// (Executor), and takes over the programs of homes it backs up.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "yuccawick/core/budget.h"
#include "yuccawick/core/control_tail.h"
#include "yuccawick/core/coordinator.h"
#include "yuccawick/core/durability.h"
#include "yuccawick/core/executor.h"
#include "yuccawick/core/membership.h"

namespace yuccawick::core {

struct AgentSettings {
  JoinRecord          join;  // who and where this agent is
  ControlTailSettings control;
  MembershipSettings  membership;
  BudgetSettings      budget;
  DurabilitySettings  durability;
  ExecutorSettings    executor;
  CoordinatorSettings coordinator;
  std::size_t         replicas = 2;  // copies beside the home's own, in other
                                     // zones
  Duration            leave_grace = 5000;   // ms a leaving agent still refuses
                                            // orders, for others to hear of it
  Duration            scan_interval = 250;  // ms between looks at every member
  Duration            append_retry = 2000;  // ms until a record of ours that is
                                            // not seen is appended again
};

class Agent {
 public:
  Agent(AgentSettings settings, Safeguards safeguards,
        const QueuePolicy& queue_policy, const RoutePolicy& route_policy);
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  std::vector<Command> Handle(Time now, const Event& event);

  // Inspection, for status pages and tests.
  const Control&     control() const { return m_control; }
  const Membership&  membership() const { return m_membership; }
  const Budget&      budget() const { return m_budget; }
  const Durability&  durability() const { return m_durability; }
  const Executor&    executor() const { return m_executor; }
  const Coordinator& coordinator() const { return m_coordinator; }
  const BackupStore& backups() const { return m_backups; }
  ConfigPhase        config_phase() const { return m_tail.phase(); }
  bool               IsJoined() const { return m_executor.IsJoined(); }
  bool               IsDraining() const { return m_draining; }
  const NodeRef&     self() const { return m_self; }

 private:
  // Events.
  void On(const Tick& event, Time now);
  void On(const MessageReceived& event, Time now);
  void On(const CallerMessage& event, Time now);
  void On(const SendFailed& event, Time now);
  void On(const AppendDone& event, Time now);
  void On(const ReadDone& event, Time now);
  void On(const VmListRead& event, Time now);
  void On(const RunChunk& event, Time now);
  void On(const RunDone& event, Time now);
  void On(const StopRequested& event, Time now);

  // Messages.
  void OnMessage(const NodeRef& from, const Message& message, Time now);
  void OnProbe(const NodeRef& from, const Probe& probe, Time now);
  void Scan(Time now);

  // Membership and ownership.
  void                 OnControlChanged(Time now);
  void                 LogContracts();
  void                 EnsureJoined(Time now);
  void                 EnsureReplicas(Time now);
  std::vector<NodeRef> ChooseReplicas() const;
  bool                 MayBeReplica(const Member& member) const;
  void                 ClaimDeadPeers(Time now);
  bool                 IsFirstToClaim(const NodeRef& target) const;
  void AppendClaim(const NodeRef& target, const NodeRef& adopter, Time now);
  void AdoptClaimed(Time now);
  void ReadHistory(const NodeRef& target, Offset from);
  void OnHistoryRead(const ReadDone& done, Time now);
  void WatchDependencies(Time now);

  // Planned stop.
  NodeRef ChooseSuccessor(const std::vector<NodeRef>& replicas) const;
  void    Drain(Time now);
  bool    MayRetry(Time* last, Time now) const;

  void                 RetryFunding(Time now);
  std::vector<Command> TakeCommands(Time now);

  AgentSettings m_settings;
  NodeRef       m_self;
  Safeguards    m_safeguards;
  Outbox        m_outbox;
  Control       m_control;
  ControlTail   m_tail;
  Membership    m_membership;
  Budget        m_budget;
  Durability    m_durability;
  BackupStore   m_backups;
  Executor      m_executor;
  Coordinator   m_coordinator;

  std::vector<Ticket>              m_durable_tickets;
  std::set<std::string>            m_funding_changed;  // customers
  std::map<std::string, Offset>    m_logged_contracts;
  std::set<NodeRef>                m_adopted;
  std::map<std::uint64_t, NodeRef> m_history_reads;  // read to target
  std::map<NodeRef, Time>          m_claimed_at;     // last claim appended
  Time                             m_joined_at = 0;  // last join appended
  Time                             m_assigned_at = 0;
  Time                             m_left_at = 0;
  Time                             m_next_scan = 0;
  bool                             m_draining = false;
  bool                             m_stopped = false;
};

}  // namespace yuccawick::core

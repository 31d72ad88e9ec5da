// Decision logic of the server agent, the process beside a backend server.
//
// Handle() takes one event with the current time and returns commands, which
// the daemon carries out in order. Agent does no I/O and reads no clock. It
// joins through a record on the control stream, keeps replicas in other
// availability zones, owns programs (Coordinator), dispatches calls to its
// server (Executor) and takes over the programs of failed coordinators that it
// backs up.
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
  JoinRecord          join;  // identity and address of this agent
  ControlTailSettings control;
  MembershipSettings  membership;
  BudgetSettings      budget;
  DurabilitySettings  durability;
  ExecutorSettings    executor;
  CoordinatorSettings coordinator;
  // Copies in other zones; two survive any two simultaneous failures.
  std::size_t         replicas = 2;
  Duration leave_grace = 5000;   // ms that a leaving agent still refuses orders
  Duration scan_interval = 250;  // ms between scans of all members
  Duration append_retry = 2000;  // ms until an unconfirmed append is repeated
};

class Agent {
 public:
  Agent(AgentSettings settings, Safeguards safeguards,
        const QueuePolicy& queue_policy, const RoutePolicy& route_policy);
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  std::vector<Command> Handle(Time now, const Event& event);

  // State for status pages and tests.
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

  void OnMessage(const NodeRef& from, const Message& message, Time now);
  void OnProbe(const NodeRef& from, const Probe& probe, Time now);
  void Scan(Time now);

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

  NodeRef ChooseSuccessor(const std::vector<NodeRef>& replicas) const;
  void    Drain(Time now);
  bool    MayRetry(Time* last_attempt, Time now) const;

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
  std::set<std::string>            m_funding_changed;  // customers to retry
  std::map<std::string, Offset>    m_logged_contracts;
  std::set<NodeRef>                m_adopted;
  std::map<std::uint64_t, NodeRef> m_history_reads;  // read to adopted node
  std::map<NodeRef, Time>          m_claimed_at;     // time of the last claim
  Time                             m_joined_at = 0;  // time of the last join
  Time                             m_assigned_at = 0;
  Time                             m_left_at = 0;
  Time                             m_next_scan = 0;
  bool                             m_draining = false;
  bool                             m_stopped = false;
};

}  // namespace yuccawick::core

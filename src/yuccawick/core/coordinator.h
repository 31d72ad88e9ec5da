// Owns programs and runs their calls, as one part of the agent.
//
// The calls of a program run one after another in the order of their sequence
// numbers, through the phases of charts/program.chart:
//
// funding     reserves the worst-case cost from the budgets of the program
//             and the customer
// recording   makes the reservation durable and, for an unrepeatable call,
//             the executor that it will be sent to
// running     waits for the executor's answer
// settling    makes the answer durable before callers receive it
// recovering  after a claim: an unrepeatable call that may have run is looked
//             up at its executor, which is fenced first
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "yuccawick/core/budget.h"
#include "yuccawick/core/chart.h"
#include "yuccawick/core/durability.h"
#include "yuccawick/core/executor.h"
#include "yuccawick/core/membership.h"
#include "yuccawick/core/scheduling.h"

namespace yuccawick::core {

struct CoordinatorSettings {
  Sequence window = 16;             // calls that may arrive ahead of their turn
  Duration durable_timeout = 3000;  // ms until kNotDurable is returned
  Duration funding_timeout = 3000;  // ms that a call waits for a budget slice
  Duration reply_margin = 2000;     // ms past the deadline for a late reply
  Duration unknown_timeout = 10000;  // ms of no contact until kOutcomeUnknown
  Duration fence_resend = 300;       // ms between fence requests
  Duration ended_retention = 60000;  // ms that an ended program is kept
};

class Coordinator {
 public:
  // Other parts of the agent; all outlive the coordinator.
  struct Dependencies {
    const Control&     control;
    Membership&        membership;
    Budget&            budget;
    Durability&        durability;
    const Executor&    executor;
    const RoutePolicy& routes;
    Outbox&            outbox;
  };
  Coordinator(NodeRef self, std::string model, CoordinatorSettings settings,
              Safeguards safeguards, Dependencies dependencies);

  // Requests of callers, forwarded by an entry.
  void OnStart(const NodeRef& from, const StartProgram& start, Time now);
  void OnCall(const NodeRef& from, const CallRequest& request, Time now);
  void OnQuery(const NodeRef& from, const ProgramQuery& query, Time now);
  void OnCancel(const NodeRef& from, const CancelRequest& cancel, Time now);

  // Messages of executors.
  void OnDispatchChunk(const NodeRef& from, const DispatchChunk& chunk);
  void OnDispatchReply(const NodeRef& from, const DispatchReply& reply,
                       Time now);
  void OnFenceReply(const NodeRef& from, const FenceReply& reply, Time now);
  // The dispatch certainly did not leave this node.
  void OnUnsent(const Dispatch& dispatch, Time now);
  // The node is unreachable; calls dispatched to it may have run.
  void OnPeerUnreachable(const NodeRef& node, Time now);

  // Notifications of the agent's other parts.
  void OnDurable(Ticket ticket, Time now);
  void OnFunding(const std::string& customer, Time now);
  void OnTick(Time now);

  // Takes over the programs of `target` under the claim at offset `fence`:
  // first the replica's copies, then the history in the log, then recovery.
  void Adopt(const NodeRef& target, Offset fence,
             const std::vector<ProgramDelta>& deltas, Time now);
  void OnHistory(const NodeRef& target, const HistoryRecord& record, Time now);
  void OnHistoryComplete(const NodeRef& target, Time now);

  void                        StartDraining() { m_draining = true; }
  // Number of calls, starts and ends not yet answered.
  std::size_t                 InFlight() const;
  std::size_t                 ProgramCount() const { return m_programs.size(); }
  // State of every program, for a new replica.
  std::vector<ProgramDelta>   AllPrograms() const;
  const ProgramState*         Find(const ProgramId& id) const;
  std::optional<ProgramPhase> PhaseOf(const ProgramId& id) const;

 private:
  struct Caller {
    NodeRef       entry;
    std::uint64_t request = 0;
    auto          operator<=>(const Caller&) const = default;
  };
  struct WaitingCall {
    Call                call;
    std::vector<Caller> callers;
  };
  struct ActiveCall {
    Call                call;
    std::vector<Caller> callers;
    Tokens              reserved = 0;
    NodeRef             executor;
    std::uint64_t       dispatch = 0;  // 0: not sent
    std::set<Ticket>    tickets;       // must be durable before the next phase
    Time                since = 0;     // start of the current phase
    Time                fence_sent = 0;
  };
  struct Program {
    ProgramState                    state;
    ProgramPhase                    phase = ProgramPhase::kIdle;
    std::map<Sequence, WaitingCall> waiting;
    std::optional<ActiveCall>       active;
    Offset                          fence = kNoOffset;
    NodeRef adopted_from;                // set until the history has been read
    std::map<NodeRef, Tokens> prefixes;  // prefix size by engine
    bool                      owns_slot = false;  // counts against max_programs
    Tokens                    attained = 0;
  };
  struct PendingStart {
    Caller       caller;
    StartProgram start;
    Time         since = 0;
  };
  struct PendingEnd {
    Caller    caller;
    ProgramId program;
  };

  tl::expected<void, Failure> CheckStart(const StartProgram& start) const;
  void                        TryStart(const PendingStart& start, Time now);
  void RepeatStart(const Caller& caller, const ProgramId& id);
  void CreateProgram(const PendingStart& start, bool owns_slot, Time now);
  void Finish(Program* program, Time now);
  void ReleasePrefixes(Program* program);
  void RetryStarts(const std::string& customer, Time now);

  tl::expected<Program*, Failure> FindFor(const ProgramId&   id,
                                          const std::string& customer,
                                          const std::string& workspace);
  tl::expected<void, Failure> CheckNew(const Program& program, const Call& call,
                                       Time now) const;
  bool AnswerKnown(Program* program, const Caller& caller, const Call& call);
  void Advance(Program* program, Time now);
  void Fund(Program* program, Time now);
  void Record(Program* program, Time now);
  void Send(Program* program, Time now);
  void FinishRefused(Program* program, Failure failure, Time now);
  void FinishFailed(Program* program, Failure failure, Time now);
  void Settle(Program* program, const Answer& answer, const Failure* failure,
              Time now);
  bool IsExecutorGone(const NodeRef& node, Time now) const;
  void FinishAnswered(Program* program, Time now);
  void OnTimeouts(Program* program, Time now);
  void DropLateWaiting(Program* program, Time now);
  void ExpireIdle(Time now);

  void ResolveIntent(Program* program, Time now);
  void FinishRecovery(Program* program, Time now);

  void     Fire(Program* program, ProgramEvent event);
  Ticket   MakeMetaDurable(Program* program, Time now);
  Ticket   MakeTurnDurable(Program* program, const Turn& turn, Time now);
  Program* RootOf(Program* program);
  Tokens   WorstCase(const Program& program, const Call& call) const;
  NodeRef  Route(const Program& program, const Call& call) const;
  bool     HasBackend(const Call& call) const;
  void     ReplyAll(const std::vector<Caller>& callers, const Outcome& outcome);
  template <class R, class T>
  void SendReply(const Caller& caller, const tl::expected<T, Failure>& result,
                 T R::*value);
  void Reply(const Caller& caller, const Outcome& outcome);
  void ReplyStart(const Caller&                           caller,
                  const tl::expected<ProgramId, Failure>& result);
  void ReplyQuery(const Caller&                              caller,
                  const tl::expected<ProgramDelta, Failure>& result);
  void Log(LogEvent event, const Program& program, Sequence call,
           std::string_view reason);

  NodeRef             m_self;
  std::string         m_model;
  CoordinatorSettings m_settings;
  Safeguards          m_safeguards;
  Dependencies        m_deps;
  bool                m_draining = false;

  std::uint64_t                  m_last_number = 0;
  std::map<ProgramId, Program>   m_programs;
  std::vector<PendingStart>      m_starts;           // waiting for a slot
  std::map<Ticket, PendingStart> m_start_by_ticket;  // waiting for durability
  std::map<Ticket, ProgramId>    m_program_by_start_ticket;
  std::map<Caller, ProgramId>    m_program_by_start;  // answers repeated starts
  std::map<Ticket, PendingEnd>   m_end_by_ticket;     // waiting for durability
  std::map<Ticket, ProgramId>    m_program_by_ticket;  // of active calls
  std::map<std::uint64_t, ProgramId> m_program_by_dispatch;
};

}  // namespace yuccawick::core

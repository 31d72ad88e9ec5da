// The agent's half that owns programs.
//
// A program's calls run one after another in the order of their sequence
// numbers, through the phases of charts/program.chart:
//
//   funding     its worst case is reserved from the program's and the
//               customer's budget
//   recording   the reservation, and where an unrepeatable call is about to be
//               sent, are held safely
//   running     one executor incarnation has the order
//   settling    the answer is being held safely; only then is it given out
//
// After a claim, programs pass through `recovering`: an unrepeatable call that
// may have run is looked up at the executor, which is fenced first (compare the
// recovery of open ledgers in BookKeeper: fence, then read).
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
  Sequence window = 16;              // calls that may arrive ahead of order
  Duration durable_timeout = 3000;   // ms until an answer is refused as not
                                     // durable
  Duration funding_timeout = 3000;   // ms a call waits for a slice
  Duration reply_margin = 2000;      // ms past the deadline for a late reply
  Duration unknown_timeout = 10000;  // ms of an executor's silence until an
                                     // unrepeatable call counts as unknown
  Duration fence_resend = 300;       // ms between questions to it
  Duration ended_retention = 60000;  // ms an ended program is still known
};

class Coordinator {
 public:
  // What a home needs of its agent. All outlive the home.
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
              Safeguards safeguards, Dependencies parts);

  // Callers, by way of an entry.
  void OnStart(const NodeRef& from, const StartProgram& start, Time now);
  void OnCall(const NodeRef& from, const CallRequest& request, Time now);
  void OnQuery(const NodeRef& from, const ProgramQuery& query, Time now);
  void OnCancel(const NodeRef& from, const CancelRequest& cancel, Time now);

  // Executors.
  void OnDispatchChunk(const NodeRef& from, const DispatchChunk& chunk);
  void OnDispatchReply(const NodeRef& from, const DispatchReply& reply,
                       Time now);
  void OnFenceReply(const NodeRef& from, const FenceReply& reply, Time now);
  // An order that has certainly not left this node.
  void OnUnsent(const Dispatch& dispatch, Time now);
  // The node no longer answers; what it was given may have run.
  void OnPeerUnreachable(const NodeRef& node, Time now);

  // The agent's other parts.
  void OnDurable(Ticket ticket, Time now);
  void OnFunding(const std::string& customer, Time now);
  void OnTick(Time now);

  // Taking over `target` under the claim at `fence`: first the replica's copy,
  // then what the log holds, then recovery.
  void Adopt(const NodeRef& target, Offset fence,
             const std::vector<ProgramDelta>& deltas, Time now);
  void OnHistory(const NodeRef& target, const HistoryRecord& record, Time now);
  void OnHistoryComplete(const NodeRef& target, Time now);

  void                        StartDraining() { m_draining = true; }
  // Calls and starts not yet answered.
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
    std::set<Ticket>    tickets;       // must be held before going on
    Time                since = 0;     // of the present phase
    Time                fence_sent = 0;
  };
  struct Program {
    ProgramState                    state;
    ProgramPhase                    phase = ProgramPhase::kIdle;
    std::map<Sequence, WaitingCall> waiting;
    std::optional<ActiveCall>       active;
    Offset                          fence = kNoOffset;
    NodeRef                         adopted_from;  // while history is read
    std::map<NodeRef, Tokens>       prefixes;      // engines that hold some
    bool                            owns_slot = false;  // of max_programs
    Tokens                          attained = 0;
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

  // Starting and ending.
  tl::expected<void, Failure> CheckStart(const StartProgram& start) const;
  void                        TryStart(const PendingStart& start, Time now);
  void RepeatStart(const Caller& caller, const ProgramId& id);
  void CreateProgram(const PendingStart& start, bool owns_slot, Time now);
  void Finish(Program* program, Time now);
  void ReleasePrefixes(Program* program);
  void RetryStarts(const std::string& customer, Time now);

  // One call.
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
  bool HasLostExecutor(const NodeRef& node, Time now) const;
  void FinishAnswered(Program* program, Time now);
  void OnTimeouts(Program* program, Time now);
  void DropLateWaiting(Program* program, Time now);
  void ExpireIdle(Time now);

  // Recovery.
  void ResolveIntent(Program* program, Time now);
  void FinishRecovery(Program* program, Time now);

  // Shared.
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
  std::vector<PendingStart>      m_starts;   // wait for a slot
  std::map<Ticket, PendingStart> m_started;  // wait to be held
  std::map<Ticket, ProgramId>    m_started_as;
  std::map<Caller, ProgramId>    m_program_by_start;  // of programs still kept
  std::map<Ticket, PendingEnd>   m_ending;            // wait to be held
  std::map<Ticket, ProgramId>    m_tickets;           // of active calls
  std::map<std::uint64_t, ProgramId> m_dispatches;
};

}  // namespace yuccawick::core

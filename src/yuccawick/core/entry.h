// Decision logic of an entry: forwards callers' requests to coordinators.
//
// An entry holds no durable state. It finds the coordinator by the program id
// and the claims on the control stream and forwards the request. It is the only
// node that retries: requests that certainly did not run, and requests that the
// coordinator recognizes by their sequence number. Requests for an unreachable
// coordinator wait up to `max_coordinator_wait` for its successor.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "yuccawick/core/control_tail.h"
#include "yuccawick/core/membership.h"
#include "yuccawick/core/retry.h"

namespace yuccawick::core {

struct EntrySettings {
  NodeRef             self;
  ControlTailSettings control;
  MembershipSettings  membership;
  RetrySettings       retry;
  std::uint64_t       seed = 1;
  Duration max_coordinator_wait = 8000;  // ms to wait for a successor
  Duration reply_margin = 6000;          // ms past the deadline for the reply
  Duration default_deadline = 60000;     // ms, for starts and queries
  Duration resend_after = 5000;  // ms until an unanswered request is resent
};

class Entry {
 public:
  Entry(EntrySettings settings, Safeguards safeguards);
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  std::vector<Command> Handle(Time now, const Event& event);

  const Control&    control() const { return m_control; }
  const Membership& membership() const { return m_membership; }
  ConfigPhase       config_phase() const { return m_tail.phase(); }
  std::size_t       InFlight() const { return m_pending.size(); }
  bool              IsDraining() const { return m_draining; }
  const NodeRef&    self() const { return m_settings.self; }

 private:
  struct Pending {
    Message     message;  // as received from the caller
    ProgramId   program;  // unset for a start without a parent
    Time        arrived = 0;
    Time        deadline = 0;
    int         attempts = 0;
    Time        retry_at = 0;       // 0: sent, waiting for the reply
    Time        waiting_since = 0;  // 0: not waiting for a new coordinator
    NodeRef     sent_to;            // empty: never sent
    Time        sent_at = 0;
    bool        may_have_run = false;  // some attempt may have been received
    std::string streamed;              // text already sent to the caller
    bool        text_changed = false;  // a chunk differed from `streamed`
  };
  using Requests = std::map<std::uint64_t, Pending>;

  void On(const Tick& event, Time now);
  void On(const MessageReceived& event, Time now);
  void On(const CallerMessage& event, Time now);
  void On(const SendFailed& event, Time now);
  void On(const ReadDone& event, Time now);
  void On(const VmListRead& event, Time now);
  void On(const StopRequested& event, Time now);
  void On(const AppendDone&, Time) {}
  void On(const RunChunk&, Time) {}
  void On(const RunDone&, Time) {}

  void Accept(std::uint64_t request, Pending pending, Time now);
  void TrySend(std::uint64_t request, Time now);
  // The node to send the request to, or the failure if there is none.
  tl::expected<NodeRef, Failure> Target(const Pending& pending) const;
  tl::expected<NodeRef, Failure> ChooseCoordinator(const std::string& model,
                                                   std::uint64_t request) const;
  void                           Transmit(std::uint64_t request, Time now);
  void     WaitForCoordinator(std::uint64_t request, Time now);
  void     GiveUp(std::uint64_t request, Failure failure);
  void     OnFailure(std::uint64_t request, const Failure& failure, Time now);
  void     OnChunk(const NodeRef& from, const CallChunk& chunk, Time now);
  void     OnReply(const NodeRef& from, std::uint64_t request, bool ok,
                   const Failure& failure, const Message& reply, Time now);
  void     OnCoordinatorUnreachable(const NodeRef& node, Time now);
  Pending* FindFrom(const NodeRef& from, std::uint64_t request);
  static Message FailureReply(const Message& request_message,
                              std::uint64_t request, const Failure& failure);

  EntrySettings m_settings;
  Safeguards    m_safeguards;
  Outbox        m_outbox;
  Control       m_control;
  ControlTail   m_tail;
  Membership    m_membership;
  RetryBudget   m_retries;
  Requests      m_pending;
  bool          m_ready = false;  // has a control state
  bool          m_draining = false;
  bool          m_stopped = false;
};

}  // namespace yuccawick::core

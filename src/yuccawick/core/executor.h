// The agent's half that stands before its backend server.
//
// Executor is the only source of orders for that server. It queues calls by the
// queue policy, refuses at once what cannot start in time, remembers every call
// it was given so that none runs twice, and refuses orders from a home that has
// been replaced. It also holds the leases on prefixes in the engine's memory.
//
// It answers truthfully whether a call ran: kNo only while the order has not
// been given to the server.
#pragma once

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "yuccawick/core/chart.h"
#include "yuccawick/core/messages.h"
#include "yuccawick/core/safeguards.h"
#include "yuccawick/core/scheduling.h"

namespace yuccawick::core {

struct ExecutorSettings {
  BackendKind kind = BackendKind::kModel;
  std::size_t slots = 8;                    // calls at the server at once
  double      prefill_tokens_per_ms = 10;   // to estimate waits
  double      decode_tokens_per_ms = 0.05;  // per call
  Tokens      prefix_tokens = 0;     // engine memory for prefixes; 0: not known
  Duration    prefix_hold = 120000;  // ms an unused prefix is kept
  Duration    clock_margin = 2000;   // ms a finished call is remembered past
                                     // its deadline
};

class Executor {
 public:
  Executor(NodeRef self, ExecutorSettings settings, Safeguards safeguards,
           const QueuePolicy& policy, Outbox& outbox);

  // This incarnation has joined; orders carry `joined` as fencing number. Drops
  // whatever an earlier incarnation left in the engine's memory.
  void OnJoined(Offset joined);
  bool IsJoined() const { return m_joined != kNoOffset; }

  void OnDispatch(const NodeRef& from, const Dispatch& dispatch, Time now);
  void OnCancel(const NodeRef& from, const CancelDispatch& cancel, Time now);
  void OnFence(const NodeRef& from, const FenceCall& fence, Time now);
  void OnRelease(const ProgramId& program);
  void OnRunChunk(const RunChunk& chunk);
  void OnRunDone(const RunDone& done, Time now);
  void OnTick(Time now);

  // Refuses new calls; those accepted are finished.
  void StartDraining() { m_draining = true; }
  bool IsIdle() const { return m_queue.empty() && m_runs.empty(); }
  // Drops every prefix (planned stop).
  void ReleaseAll();

  // Time a call arriving now would wait, ms.
  Duration    LoadMs() const;
  Tokens      CachedTokens(const ProgramId& program) const;
  std::size_t QueueLength() const { return m_queue.size(); }
  std::size_t RunningCount() const { return m_runs.size(); }
  std::size_t PrefixCount() const { return m_prefixes.size(); }
  Tokens      ResidentTokens() const;  // of all prefixes leased

 private:
  using CallKey = std::pair<ProgramId, Sequence>;
  struct Entry {
    NodeRef       coordinator;  // who is told the outcome
    Dispatch      order;
    CallPhase     phase = CallPhase::kQueued;
    Time          arrived = 0;
    std::uint64_t run = 0;
    std::uint64_t position = 0;  // bytes streamed
    bool          cancelled = false;
    DispatchReply reply;  // once done
    Time          done_at = 0;
  };
  struct Prefix {
    Tokens tokens = 0;
    Time   used = 0;
  };

  void Refuse(const NodeRef& coordinator, const Dispatch& dispatch,
              Failure failure);
  bool IsFencedOff(const Dispatch& dispatch) const;
  // True if the call was known already and has been dealt with.
  bool AnswerKnown(const NodeRef& from, const Dispatch& dispatch,
                   const CallKey& key);
  void Enqueue(const NodeRef& from, const Dispatch& dispatch, Time now);
  void Finish(const CallKey& key, DispatchReply reply, Time now);
  void StartNext(Time now);
  void StartRun(const CallKey& key, Time now);
  void ExpireQueued(Time now);
  void ForgetOld(Time now);
  // True if the engine has room for the call's program beside the others.
  bool FitsInMemory(const Entry& entry) const;
  // When to come back, at least `least` ms from now.
  static Duration RetryDelay(const Dispatch& dispatch, Duration min_delay);
  Duration        Estimate(const Entry& entry) const;
  Duration        WaitAhead(const Entry& entry, Time now) const;
  QueuedCall      Describe(const Entry& entry) const;

  NodeRef                          m_self;
  ExecutorSettings                 m_settings;
  Safeguards                       m_safeguards;
  const QueuePolicy&               m_policy;
  Outbox&                          m_outbox;
  Offset                           m_joined = kNoOffset;
  bool                             m_draining = false;
  std::map<CallKey, Entry>         m_entries;
  std::set<CallKey>                m_queue;
  std::map<std::uint64_t, CallKey> m_runs;
  std::map<ProgramId, Offset>      m_fences;
  std::map<ProgramId, Prefix>      m_prefixes;
};

}  // namespace yuccawick::core

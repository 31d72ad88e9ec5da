// Runs calls at the agent's backend server.
//
// Executor is the only source of orders to that server. It orders the queue by
// the queue policy, refuses calls that cannot start in time, remembers each
// call so that none runs twice, and refuses orders of coordinators that have
// been replaced. It also holds the leases on prefixes in the engine's memory.
//
// It reports Ran::kNo only for calls that were never given to the server.
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
  std::size_t slots = 8;                    // concurrent calls at the server
  double      prefill_tokens_per_ms = 10;   // for wait estimates
  double      decode_tokens_per_ms = 0.05;  // per call, for wait estimates
  Tokens      prefix_tokens = 0;     // engine memory for prefixes; 0: unknown
  Duration    prefix_hold = 120000;  // ms until an unused prefix is released
  Duration    clock_margin = 2000;   // ms that a call is kept past its deadline
};

class Executor {
 public:
  Executor(NodeRef self, ExecutorSettings settings, Safeguards safeguards,
           const QueuePolicy& policy, Outbox& outbox);

  // This incarnation has joined: orders carry `joined` as fencing number.
  // Releases all prefixes left in the engine by earlier incarnations.
  void OnJoined(Offset joined);
  bool IsJoined() const { return m_joined != kNoOffset; }

  void OnDispatch(const NodeRef& from, const Dispatch& dispatch, Time now);
  void OnCancel(const NodeRef& from, const CancelDispatch& cancel, Time now);
  void OnFence(const NodeRef& from, const FenceCall& fence, Time now);
  void OnRelease(const ProgramId& program);
  void OnRunChunk(const RunChunk& chunk);
  void OnRunDone(const RunDone& done, Time now);
  void OnTick(Time now);

  // Refuses new calls; accepted calls finish.
  void StartDraining() { m_draining = true; }
  bool IsIdle() const { return m_queue.empty() && m_runs.empty(); }
  // Releases every prefix (planned stop).
  void ReleaseAll();

  // Estimated wait of a new call, ms.
  Duration    LoadMs() const;
  Tokens      CachedTokens(const ProgramId& program) const;
  std::size_t QueueLength() const { return m_queue.size(); }
  std::size_t RunningCount() const { return m_runs.size(); }
  std::size_t PrefixCount() const { return m_prefixes.size(); }
  Tokens      ResidentTokens() const;  // sum over all leased prefixes

 private:
  using CallKey = std::pair<ProgramId, Sequence>;
  struct Entry {
    NodeRef       coordinator;  // receives the outcome
    Dispatch      order;
    CallPhase     phase = CallPhase::kQueued;
    Time          arrived = 0;
    std::uint64_t run = 0;
    std::uint64_t position = 0;  // bytes streamed so far
    bool          cancelled = false;
    DispatchReply reply;  // set when done
    Time          done_at = 0;
  };
  struct Prefix {
    Tokens tokens = 0;
    Time   last_used = 0;
  };

  void Refuse(const NodeRef& coordinator, const Dispatch& dispatch,
              Failure failure);
  bool IsFencedOff(const Dispatch& dispatch) const;
  // Returns true if the call is known and has been handled.
  bool AnswerKnown(const NodeRef& from, const Dispatch& dispatch,
                   const CallKey& key);
  void Enqueue(const NodeRef& from, const Dispatch& dispatch, Time now);
  void Finish(const CallKey& key, DispatchReply reply, Time now);
  void StartNext(Time now);
  void StartRun(const CallKey& key, Time now);
  void ExpireQueued(Time now);
  void ForgetOld(Time now);
  // True if engine memory allows the call to start.
  bool FitsInMemory(const Entry& entry) const;
  // Retry delay for the caller, at least `min_delay` ms.
  static Duration RetryDelay(const Dispatch& dispatch, Duration min_delay);
  Duration        EstimateDuration(const Entry& entry) const;
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

// Prometheus counters, gauges and histograms of the gateway.
//
// Every refusal, retry and send failure has a counter per reason, registered at
// startup so that alerts never meet a missing series. Values are recorded on
// the traffic thread unless noted and can be read from any thread.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "platform/store.h"
#include "yuccawick/pressure/memory_budget.h"
#include "yuccawick/traffic/answer_progress.h"
#include "yuccawick/traffic/attempt.h"
#include "yuccawick/traffic/refusal.h"

namespace yuccawick::gateway {

enum class Gauge : std::uint8_t {
  kRequests,
  kConnections,
  kTurns,
  kServers,
  kPrograms,       // active, with tokens counted on this node
  kProgramTurns,   // turns of these programs at model servers
  kProgramTokens,  // server memory used by these programs, in tokens
  kSlowServers,
  kSuspects,  // requests under which servers may have ended
};
constexpr std::size_t kGaugeCount = 9;

// What became of a stream that a client resumed at this node.
enum class ResumptionOutcome : std::uint8_t {
  kContinued,       // an event was passed on
  kVersionUnknown,  // refused, see traffic::Refusal
  kVersionGone,
  kOtherRefusal,
};
constexpr std::size_t kResumptionOutcomeCount = 4;

// What a probe of a backend server found; see gateway/server_probes.h.
enum class ProbeOutcome : std::uint8_t { kAnswered, kEnded, kSilent };
constexpr std::size_t kProbeOutcomeCount = 3;
std::string_view      Name(ProbeOutcome outcome);

class Metrics {
 public:
  Metrics();
  void CountRefusal(traffic::Refusal refusal);
  void CountSendFailure(traffic::SendFailureCause cause);
  void CountRetry(traffic::SendFailureCause cause);
  void CountAnswer(traffic::RequestKind kind);
  // A server answered after a part of an answer had been passed on.
  void CountLaterAnswer(traffic::AnswerFit fit);
  void CountResumption(ResumptionOutcome outcome);
  void CountProbe(ProbeOutcome outcome);
  // A server ended under a request that this node had sent.
  void CountServerEnd();
  void CountStoreCall(const platform::CallReport& call);  // thread-safe
  void CountTurnPersisted(bool by_peer);
  void ObserveAnswer(double seconds);
  void ObserveFirstEvent(double seconds);
  void ObserveTurnPersisted(double seconds);
  void Set(Gauge gauge, double value);
  void SetMemory(const pressure::MemoryBudget& memory);
  void CountClientDropped();
  // Clients without a whole request that made room for others, and clients that
  // were closed unread, since no other could make room.
  void CountYields(std::size_t made_room, std::size_t turned_away);
  // Calls of one kind on one topic since the previous TakeLogUsage().
  struct LogUsage {
    platform::Topic    topic;
    platform::CallKind kind;
    std::int64_t       calls = 0;
    std::int64_t       unanswered = 0;
    std::int64_t       bytes = 0;  // sent and received
  };
  std::vector<LogUsage> TakeLogUsage();
  // All metrics in the Prometheus text format.
  std::string           Text() const;

 private:
  void AddServerEnds(prometheus::Registry* registry);
  void AddLogCalls(prometheus::Registry* registry);
  void AddMemory(prometheus::Registry* registry);

  std::shared_ptr<prometheus::Registry>                      m_registry;
  std::array<prometheus::Counter*, traffic::kRefusalCount>   m_refusals{};
  std::array<prometheus::Counter*, 4>                        m_send_failures{};
  std::array<prometheus::Counter*, 4>                        m_retries{};
  std::array<prometheus::Counter*, 3>                        m_answers{};
  std::array<prometheus::Counter*, traffic::kAnswerFitCount> m_later_answers{};
  std::array<prometheus::Counter*, kResumptionOutcomeCount>  m_resumptions{};
  std::array<prometheus::Counter*, kProbeOutcomeCount>       m_probes{};
  prometheus::Counter*                m_server_ends = nullptr;
  std::array<prometheus::Counter*, 2> m_turns_persisted{};
  struct LogCalls {
    prometheus::Counter* succeeded = nullptr;
    prometheus::Counter* failed = nullptr;
    prometheus::Counter* bytes = nullptr;
    LogUsage             reported;  // totals at the last TakeLogUsage()
  };
  std::array<LogCalls, platform::kTopicCount * platform::kCallKindCount>
                                                             m_log_calls;
  std::array<prometheus::Gauge*, kGaugeCount>                m_gauges{};
  std::array<prometheus::Gauge*, pressure::kMemoryKindCount> m_memory_bytes{};
  prometheus::Gauge*     m_memory_limit = nullptr;
  prometheus::Gauge*     m_memory_level = nullptr;
  prometheus::Counter*   m_clients_dropped = nullptr;
  prometheus::Counter*   m_clients_yielded = nullptr;
  prometheus::Counter*   m_clients_turned_away = nullptr;
  prometheus::Histogram* m_answer_seconds = nullptr;
  prometheus::Histogram* m_first_event_seconds = nullptr;
  prometheus::Histogram* m_turn_persist_seconds = nullptr;
};

}  // namespace yuccawick::gateway

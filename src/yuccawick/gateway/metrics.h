// Counters and histograms of the gateway, for prometheus.
//
// Every refusal, retry and loss has a counter by its reason, present from the
// start so that an alert never meets a missing series. Observations are made on
// the traffic thread, reads from any.
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
#include "yuccawick/traffic/attempt.h"
#include "yuccawick/traffic/refusal.h"

namespace yuccawick::gateway {

enum class Gauge : std::uint8_t {
  kRequests,
  kConnections,
  kTurns,
  kServers,
  kPrograms,       // under way, of those whose tokens are counted here
  kProgramTurns,   // at model servers, of these programs
  kProgramTokens,  // of the servers' memory, held by them
  kSlowServers,
};
constexpr std::size_t kGaugeCount = 8;

class Metrics {
 public:
  Metrics();
  void CountRefusal(traffic::Refusal refusal);
  void CountSendFailure(traffic::SendFailureCause cause);
  void CountRetry(traffic::SendFailureCause cause);
  void CountAnswer(traffic::RequestKind kind);
  void CountStoreCall(const platform::CallReport& call);  // any thread
  void CountTurnPersisted(bool by_peer);
  void ObserveAnswer(double seconds);
  void ObserveFirstEvent(double seconds);
  void ObserveTurnPersisted(double seconds);
  void Set(Gauge gauge, double value);
  void SetMemory(const pressure::MemoryBudget& memory);
  void CountClientDropped();
  // Calls of one kind on one topic since the last TakeLogUsage().
  struct LogUsage {
    platform::Topic    topic;
    platform::CallKind kind;
    std::int64_t       calls = 0;
    std::int64_t       unanswered = 0;
    std::int64_t       bytes = 0;  // both ways
  };
  std::vector<LogUsage> TakeLogUsage();
  // All of them in prometheus' text format.
  std::string           Text() const;

 private:
  void AddLogCalls(prometheus::Registry* registry);
  void AddMemory(prometheus::Registry* registry);

  std::shared_ptr<prometheus::Registry>                    m_registry;
  std::array<prometheus::Counter*, traffic::kRefusalCount> m_refusals{};
  std::array<prometheus::Counter*, 4>                      m_losses{};
  std::array<prometheus::Counter*, 4>                      m_repeats{};
  std::array<prometheus::Counter*, 3>                      m_answers{};
  std::array<prometheus::Counter*, 2>                      m_turns_kept{};
  struct LogCalls {
    prometheus::Counter* succeeded = nullptr;
    prometheus::Counter* failed = nullptr;
    prometheus::Counter* bytes = nullptr;
    LogUsage             told;  // by TakeLogUsage()
  };
  std::array<LogCalls, platform::kTopicCount * platform::kCallKindCount>
                                                             m_log_calls;
  std::array<prometheus::Gauge*, kGaugeCount>                m_gauges{};
  std::array<prometheus::Gauge*, pressure::kMemoryKindCount> m_held_bytes{};
  prometheus::Gauge*     m_memory_bound = nullptr;
  prometheus::Gauge*     m_memory_level = nullptr;
  prometheus::Counter*   m_readers_let_go = nullptr;
  prometheus::Histogram* m_answer_seconds = nullptr;
  prometheus::Histogram* m_first_event_seconds = nullptr;
  prometheus::Histogram* m_turn_kept_seconds = nullptr;
};

}  // namespace yuccawick::gateway

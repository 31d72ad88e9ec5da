#include "yuccawick/gateway/metrics.h"

#include <prometheus/text_serializer.h>

#include <utility>

namespace yuccawick::gateway {
namespace {

using Labels = std::array<std::string_view, 4>;

// Bucket bounds, in seconds: from a hop inside a zone to the longest route
// timeout.
const prometheus::Histogram::BucketBoundaries kSeconds{
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10};

prometheus::Family<prometheus::Counter>& CounterFamily(
    prometheus::Registry* registry, const char* name, const char* help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(*registry);
}

prometheus::Histogram* AddHistogram(prometheus::Registry* registry,
                                    const char* name, const char* help) {
  return &prometheus::BuildHistogram()
              .Name(name)
              .Help(help)
              .Register(*registry)
              .Add({}, kSeconds);
}

}  // namespace

Metrics::Metrics() : m_registry(std::make_shared<prometheus::Registry>()) {
  auto* registry = m_registry.get();
  auto& refusals =
      CounterFamily(registry, "yuccawick_refusals_total",
                    "Requests that got an answer of our own, by reason");
  for (std::size_t i = 0; i < m_refusals.size(); ++i) {
    const std::string name(Name(static_cast<traffic::Refusal>(i)));
    m_refusals[i] = &refusals.Add({{"reason", name}});
  }
  auto& send_failures = CounterFamily(registry, "yuccawick_losses_total",
                                      "Sends that came to nothing, by cause");
  auto& retries = CounterFamily(registry, "yuccawick_retries_total",
                                "Requests sent again, by cause");
  for (std::size_t i = 0; i < m_send_failures.size(); ++i) {
    const std::string name(Name(static_cast<traffic::SendFailureCause>(i)));
    m_send_failures[i] = &send_failures.Add({{"cause", name}});
    m_retries[i] = &retries.Add({{"cause", name}});
  }
  auto& answers = CounterFamily(registry, "yuccawick_answers_total",
                                "Servers' answers passed on whole, by kind");
  for (std::size_t i = 0; i < m_answers.size(); ++i) {
    const std::string name(Name(static_cast<traffic::RequestKind>(i)));
    m_answers[i] = &answers.Add({{"kind", name}});
  }
  auto& later_answers = CounterFamily(
      registry, "yuccawick_later_answers_total",
      "Servers' answers that came after a part of an answer was passed on");
  for (std::size_t i = 0; i < m_later_answers.size(); ++i) {
    const std::string name(Name(static_cast<traffic::AnswerFit>(i)));
    m_later_answers[i] = &later_answers.Add({{"fit", name}});
  }
  constexpr std::array<const char*, kResumptionOutcomeCount> kResumptions{
      "continued", "version_unknown", "version_gone", "other_refusal"};
  auto& resumptions =
      CounterFamily(registry, "yuccawick_resumptions_total",
                    "Streams that clients resumed here, by outcome");
  for (std::size_t i = 0; i < m_resumptions.size(); ++i) {
    m_resumptions[i] = &resumptions.Add({{"outcome", kResumptions[i]}});
  }
  AddServerEnds(registry);
  AddLogCalls(registry);
  AddMemory(registry);
  auto& persisted =
      CounterFamily(registry, "yuccawick_turns_kept_total",
                    "Turns that the log has, by who appended them");
  m_turns_persisted = {&persisted.Add({{"by", "this_node"}}),
                       &persisted.Add({{"by", "another_node"}})};
  constexpr std::array<const char*, kGaugeCount> kGauges{
      "requests",      "connections",    "turns",        "servers", "programs",
      "program_turns", "program_tokens", "slow_servers", "suspects"};
  auto& gauges = prometheus::BuildGauge()
                     .Name("yuccawick_held")
                     .Help("What this node holds at the moment")
                     .Register(*m_registry);
  for (std::size_t i = 0; i < kGaugeCount; ++i) {
    m_gauges[i] = &gauges.Add({{"what", kGauges[i]}});
  }
  m_answer_seconds =
      AddHistogram(registry, "yuccawick_answer_seconds",
                   "From a whole request to the end of its answer");
  m_first_event_seconds =
      AddHistogram(registry, "yuccawick_first_event_seconds",
                   "From a whole request to the first event of its stream");
  m_turn_persist_seconds =
      AddHistogram(registry, "yuccawick_turn_kept_seconds",
                   "From the end of a stream to its turn being durable");
}

void Metrics::AddServerEnds(prometheus::Registry* registry) {
  auto& probes =
      CounterFamily(registry, "yuccawick_server_probes_total",
                    "Probes of backend servers that broke off a request or "
                    "left it unanswered, by outcome");
  for (std::size_t i = 0; i < m_probes.size(); ++i) {
    const std::string name(Name(static_cast<ProbeOutcome>(i)));
    m_probes[i] = &probes.Add({{"outcome", name}});
  }
  m_server_ends =
      &CounterFamily(registry, "yuccawick_server_ends_total",
                     "Ends of backend servers, counted once for each request "
                     "of this node that was under way there")
           .Add({});
}

void Metrics::AddLogCalls(prometheus::Registry* registry) {
  auto& calls =
      CounterFamily(registry, "yuccawick_log_calls_total",
                    "Calls to the platform's log, by what they are for");
  auto& bytes =
      CounterFamily(registry, "yuccawick_log_bytes_total",
                    "Bytes sent to and received from the platform's log");
  for (std::size_t i = 0; i < m_log_calls.size(); ++i) {
    LogCalls& entry = m_log_calls[i];
    entry.reported.topic =
        static_cast<platform::Topic>(i / platform::kCallKindCount);
    entry.reported.kind =
        static_cast<platform::CallKind>(i % platform::kCallKindCount);
    const std::string topic(Name(entry.reported.topic));
    const std::string kind(Name(entry.reported.kind));
    const auto        with = [&](const char* outcome) {
      return &calls.Add(
                 {{"topic", topic}, {"call", kind}, {"outcome", outcome}});
    };
    entry.succeeded = with("succeeded");
    entry.failed = with("failed");
    entry.bytes = &bytes.Add({{"topic", topic}, {"call", kind}});
  }
}

void Metrics::AddMemory(prometheus::Registry* registry) {
  auto& memory_bytes = prometheus::BuildGauge()
                           .Name("yuccawick_held_bytes")
                           .Help("Memory held for others, by kind")
                           .Register(*registry);
  for (std::size_t i = 0; i < m_memory_bytes.size(); ++i) {
    const std::string kind(Name(static_cast<pressure::MemoryKind>(i)));
    m_memory_bytes[i] = &memory_bytes.Add({{"kind", kind}});
  }
  m_memory_limit = &prometheus::BuildGauge()
                        .Name("yuccawick_held_bytes_bound")
                        .Help("Most that is held for others; 0: no bound")
                        .Register(*registry)
                        .Add({});
  m_memory_level = &prometheus::BuildGauge()
                        .Name("yuccawick_memory_level")
                        .Help("0: calm, 1: near the bound, 2: full")
                        .Register(*registry)
                        .Add({});
  m_clients_dropped =
      &CounterFamily(registry, "yuccawick_readers_let_go_total",
                     "Clients cut off that did not take their answers")
           .Add({});
  auto& yielded =
      CounterFamily(registry, "yuccawick_clients_yielded_total",
                    "Clients without a whole request that were refused or "
                    "closed to make room, and those closed unread");
  m_clients_yielded = &yielded.Add({{"what", "made_room"}});
  m_clients_turned_away = &yielded.Add({{"what", "turned_away"}});
}

void Metrics::SetMemory(const pressure::MemoryBudget& memory) {
  for (std::size_t i = 0; i < m_memory_bytes.size(); ++i) {
    const auto kind = static_cast<pressure::MemoryKind>(i);
    m_memory_bytes[i]->Set(static_cast<double>(memory.used(kind)));
  }
  m_memory_limit->Set(memory.bounded() ? static_cast<double>(memory.bound())
                                       : 0.0);
  m_memory_level->Set(static_cast<double>(memory.level()));
}

void Metrics::CountClientDropped() { m_clients_dropped->Increment(); }

void Metrics::CountYields(std::size_t made_room, std::size_t turned_away) {
  m_clients_yielded->Increment(static_cast<double>(made_room));
  m_clients_turned_away->Increment(static_cast<double>(turned_away));
}

void Metrics::CountRefusal(traffic::Refusal refusal) {
  m_refusals[static_cast<std::size_t>(refusal)]->Increment();
}

void Metrics::CountProbe(ProbeOutcome outcome) {
  m_probes[static_cast<std::size_t>(outcome)]->Increment();
}

void Metrics::CountServerEnd() { m_server_ends->Increment(); }

void Metrics::CountSendFailure(traffic::SendFailureCause cause) {
  m_send_failures[static_cast<std::size_t>(cause)]->Increment();
}

void Metrics::CountRetry(traffic::SendFailureCause cause) {
  m_retries[static_cast<std::size_t>(cause)]->Increment();
}

void Metrics::CountAnswer(traffic::RequestKind kind) {
  m_answers[static_cast<std::size_t>(kind)]->Increment();
}

void Metrics::CountResumption(ResumptionOutcome outcome) {
  m_resumptions[static_cast<std::size_t>(outcome)]->Increment();
}

void Metrics::CountLaterAnswer(traffic::AnswerFit fit) {
  m_later_answers[static_cast<std::size_t>(fit)]->Increment();
}

void Metrics::CountTurnPersisted(bool by_peer) {
  m_turns_persisted[by_peer ? 1 : 0]->Increment();
}

void Metrics::CountStoreCall(const platform::CallReport& call) {
  const auto topic = static_cast<std::size_t>(call.topic);
  const auto kind = static_cast<std::size_t>(call.kind);
  LogCalls&  entry = m_log_calls[topic * platform::kCallKindCount + kind];
  (call.answered ? entry.succeeded : entry.failed)->Increment();
  entry.bytes->Increment(static_cast<double>(call.sent + call.received));
}

std::vector<Metrics::LogUsage> Metrics::TakeLogUsage() {
  const auto value = [](const prometheus::Counter* counter) {
    return static_cast<std::int64_t>(counter->Value());
  };
  std::vector<LogUsage> usage;
  for (LogCalls& entry : m_log_calls) {
    LogUsage now = entry.reported;
    now.unanswered = value(entry.failed);
    now.calls = value(entry.succeeded) + now.unanswered;
    now.bytes = value(entry.bytes);
    const LogUsage before = std::exchange(entry.reported, now);
    now.calls -= before.calls;
    now.unanswered -= before.unanswered;
    now.bytes -= before.bytes;
    if (now.calls > 0) usage.push_back(now);
  }
  return usage;
}

void Metrics::ObserveAnswer(double seconds) {
  m_answer_seconds->Observe(seconds);
}

void Metrics::ObserveFirstEvent(double seconds) {
  m_first_event_seconds->Observe(seconds);
}

void Metrics::ObserveTurnPersisted(double seconds) {
  m_turn_persist_seconds->Observe(seconds);
}

void Metrics::Set(Gauge gauge, double value) {
  m_gauges[static_cast<std::size_t>(gauge)]->Set(value);
}

std::string Metrics::Text() const {
  return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

}  // namespace yuccawick::gateway

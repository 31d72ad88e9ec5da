#include "yuccawick/gateway/thresholds.h"

#include <array>
#include <charconv>
#include <sstream>

namespace yuccawick::gateway {
namespace {

using Field = std::variant<
    Duration Thresholds::*, double Thresholds::*,
    double traffic::PlacementWeights::*, double traffic::Sampling::*,
    double       traffic::ConcurrencyLimitSettings::*,
    Duration     traffic::ConcurrencyLimitSettings::*,
    std::int64_t traffic::Sampling::*, double admission::AdmissionSettings::*,
    Duration admission::AdmissionSettings::*,
    double   fairness::FairShareSettings::*,
    Duration fairness::FairShareSettings::*,
    double   capacity::SlowdownSettings::*,
    Duration capacity::SlowdownSettings::*,
    double   pressure::MemoryBudgetSettings::*,
    Duration pressure::MemoryBudgetSettings::*>;

struct Entry {
  std::string_view name;
  Field            field;
  double           low;
  double           high;
};

using T = Thresholds;
using W = traffic::PlacementWeights;
using S = traffic::Sampling;
using L = traffic::ConcurrencyLimitSettings;
using A = admission::AdmissionSettings;
using F = fairness::FairShareSettings;
using P = capacity::SlowdownSettings;
using M = pressure::MemoryBudgetSettings;

// Valid range of each threshold; rejects typing errors that would disable a
// node.
constexpr std::array kEntries{
    Entry{"connect_timeout", &T::connect_timeout, 10, 60'000},
    Entry{"server_silence", &T::server_silence, 50, 60'000},
    Entry{"probe_wait", &T::probe_wait, 10, 60'000},
    Entry{"suspect_memory", &T::suspect_memory, 1000, 3'600'000},
    Entry{"end_watch", &T::end_watch, 0, 60'000},
    Entry{"mark_save_wait", &T::mark_save_wait, 10, 5000},
    Entry{"optional_marks", &T::optional_marks, 0, 1000},
    Entry{"probe_pause", &T::probe_pause, 10, 10'000},
    Entry{"doubt_after", &T::doubt_after, 1, 60'000},
    Entry{"idle_limit", &T::idle_limit, 0, 600'000},
    Entry{"idle_share", &T::idle_share, 0, 1},
    Entry{"idle_connections", &T::idle_connections, 0, 10'000},
    Entry{"unexpected_body_wait", &T::unexpected_body_wait, 0, 60'000},
    Entry{"leaving_use", &T::leaving_use, 0, 60'000},
    Entry{"failure_memory", &T::failure_memory, 0, 60'000},
    Entry{"prefix_memory", &T::prefix_memory, 0, 3'600'000},
    Entry{"load_memory", &T::load_memory, 0, 60'000},
    Entry{"cross_zone_weight", &W::cross_zone, 0, 100},
    Entry{"cold_prefix_weight", &W::cold_prefix, 0, 100},
    Entry{"cold_per_1000_weight", &W::cold_per_1000, 0, 100},
    Entry{"cold_memory_weight", &W::cold_memory, 0, 100},
    Entry{"cold_most_weight", &W::cold_most, 0, 100},
    Entry{"failure_weight", &W::failure, 0, 100},
    Entry{"pace_weight", &W::slowdown_exponent, 0, 10},
    Entry{"pace_tolerance", &W::slowdown_tolerance, 1, 100},
    Entry{"sampling_share", &S::share, 0, 1},
    Entry{"sampling_few", &S::few, 0, 100'000},
    Entry{"sampling_most", &S::most, 1, 100'000},
    Entry{"pace_memory", &P::max_samples, 2, 100'000},
    Entry{"pace_spell_half_life", &P::transient_half_life, 1, 60'000},
    Entry{"pace_slow", &P::slow, 1, 1000},
    Entry{"pace_fast_again", &P::fast_again, 1, 1000},
    Entry{"turn_engage", &L::engage, 0, 1000},
    Entry{"turn_hold", &L::target, 0.01, 1000},
    Entry{"turn_pause", &L::pause, 1, 10'000},
    Entry{"turn_least", &L::least, 1, 10'000},
    Entry{"room_places", &A::slot_overcommit, 0, 1000},
    Entry{"room_memory", &A::memory, 0.01, 1000},
    Entry{"room_idle", &A::idle, 0, 1},
    Entry{"room_late", &A::late, 0.01, 1},
    Entry{"room_settling", &A::settling, 0, 60'000},
    Entry{"room_silence", &A::default_think_time, 1, 60'000},
    Entry{"room_silence_margin", &A::think_time_factor, 1, 100},
    Entry{"room_return_least", &A::min_retry_delay, 1, 60'000},
    Entry{"room_return_most", &A::max_retry_delay, 1, 60'000},
    Entry{"room_use_memory", &A::usage_report_ttl, 10, 60'000},
    Entry{"share_memory", &F::usage_half_life, 10, 3'600'000},
    Entry{"share_step", &F::step, 0, 1},
    Entry{"share_most", &F::max_usage_margin, 0, 1},
    Entry{"share_credit", &F::credit_turns, 0, 1'000'000},
    Entry{"share_urgency", &F::urgency, 0, 1},
    Entry{"share_late", &F::late, 0, 1},
    Entry{"share_cycle", &F::cycle, 1, 60'000},
    Entry{"share_open", &F::open, 0, 1},
    Entry{"share_workspaces", &F::workspaces, 1, 1'000'000},
    Entry{"answer_way", &T::answer_way, 0, 1000},
    Entry{"return_delay", &T::return_delay, 1, 60'000},
    Entry{"start_delay", &T::start_delay, 1, 60'000},
    Entry{"first_request", &T::first_request, 0, 60'000},
    Entry{"client_silence", &T::client_silence, 50, 600'000},
    Entry{"linger", &T::linger, 0, 60'000},
    Entry{"reader_patience", &T::reader_patience, 100, 600'000},
    Entry{"memory_own_mb", &M::own_mb, 0, 100'000},
    Entry{"memory_connections_mb", &M::connections_mb, 0, 100'000},
    Entry{"memory_spare", &M::spare, 0, 0.95},
    Entry{"memory_small_spare", &M::small_spare, 0, 1},
    Entry{"memory_near", &M::near, 0.01, 1},
    Entry{"memory_full", &M::full, 0.01, 1},
    Entry{"memory_calm", &M::calm, 0, 1},
    Entry{"memory_turns", &M::turns, 0, 1},
    Entry{"memory_hold", &M::hold, 0, 600'000},
    Entry{"memory_full_patience", &M::full_stall_timeout, 0, 600'000},
    Entry{"memory_yield_rate", &M::yield_rate, 0.001, 1'000'000},
    Entry{"memory_yield_after", &M::yield_after, 0, 600'000},
    Entry{"log_timeout", &T::log_timeout, 10, 60'000},
    Entry{"log_patience", &T::log_patience, 0, 10'000},
    Entry{"append_first_timeout", &T::append_first_timeout, 5, 60'000},
    Entry{"relay_answer", &T::relay_answer, 5, 60'000},
    Entry{"relay_timeout", &T::relay_timeout, 10, 60'000},
    Entry{"relay_pause", &T::relay_pause, 1, 10'000},
    Entry{"log_away_pause", &T::log_away_pause, 1, 10'000},
    Entry{"log_wait", &T::log_wait, 0, 60'000},
    Entry{"wait_share", &T::wait_share, 0, 1},
    Entry{"log_wait_pause", &T::log_wait_pause, 1, 10'000},
    Entry{"outage_return", &T::outage_return, 1, 60'000},
    Entry{"outage_hold", &T::outage_hold, 0, 60'000},
    Entry{"outage_hold_share", &T::outage_hold_share, 0, 1},
    Entry{"settle_delay", &T::settle_delay, 0, 10'000},
    Entry{"settle_answer", &T::settle_answer, 1, 60'000},
    Entry{"reserve_timeout", &T::reserve_timeout, 10, 60'000},
    Entry{"home_answer", &T::home_answer, 1, 60'000},
    Entry{"reserve_pause", &T::reserve_pause, 1, 10'000},
    Entry{"rate_answer", &T::rate_answer, 1, 60'000},
    Entry{"rate_timeout", &T::rate_timeout, 10, 60'000},
    Entry{"rate_wait", &T::rate_wait, 0, 60'000},
    Entry{"peer_connect_timeout", &T::peer_connect_timeout, 5, 60'000},
    Entry{"find_timeout", &T::find_timeout, 5, 60'000},
    Entry{"stream_memory", &T::stream_memory, 0, 600'000},
    Entry{"origin_memory", &T::origin_memory, 0, 3'600'000},
    Entry{"origin_timeout", &T::origin_timeout, 5, 60'000},
    Entry{"origin_wait", &T::origin_wait, 0, 60'000},
    Entry{"reader_answer", &T::reader_answer, 5, 60'000},
    Entry{"reader_timeout", &T::reader_timeout, 5, 60'000},
    Entry{"outage_pause", &T::outage_pause, 10, 60'000},
    Entry{"reading_memory", &T::reading_memory, 0, 600'000},
    Entry{"outage_settling", &T::outage_settling, 0, 600'000},
    Entry{"outage_memory", &T::outage_memory, 10, 60'000},
    Entry{"isolation_delay", &T::isolation_delay, 10, 60'000},
    Entry{"news_pause", &T::news_pause, 5, 10'000},
    Entry{"news_anyway", &T::news_anyway, 5, 10'000},
    Entry{"balancer_lag", &T::balancer_lag, 0, 60'000},
    Entry{"stop_margin", &T::stop_margin, 0, 60'000},
    Entry{"stop_quiet", &T::stop_quiet, 0, 60'000},
    Entry{"handover_delay", &T::handover_delay, 1, 60'000},
};

// Requires `small` < `large`; `why` is the error message.
struct Order {
  std::string_view name;
  Duration Thresholds::*small;
  Duration Thresholds::*large;
  std::string_view      why;
};
constexpr std::array kOrders{
    Order{
        "outage_memory", &T::outage_pause, &T::outage_memory,
        "must exceed outage_pause, or an outage report expires before the next "
        "one"},
    Order{
        "load_memory", &T::news_anyway, &T::load_memory,
        "must exceed news_anyway, or load reports expire before the next one"},
    Order{"reserve_timeout", &T::settle_answer, &T::reserve_timeout,
          "must exceed settle_answer, or a coordinator that waits for the log "
          "seems unreachable"},
    Order{"reserve_timeout", &T::home_answer, &T::reserve_timeout,
          "must exceed home_answer, or a coordinator that holds a request "
          "seems unreachable"},
    Order{"rate_timeout", &T::rate_answer, &T::rate_timeout,
          "must exceed rate_answer, or a coordinator that waits for the log "
          "seems unreachable"},
    Order{"relay_timeout", &T::relay_answer, &T::relay_timeout,
          "must exceed relay_answer, or a node that waits for the log seems "
          "unreachable"},
    Order{"reader_timeout", &T::reader_answer, &T::reader_timeout,
          "must exceed reader_answer, or a node that waits for the log seems "
          "unreachable"},
    Order{"log_timeout", &T::append_first_timeout, &T::log_timeout,
          "must exceed append_first_timeout, its upper bound"},
};

struct MemoryOrder {
  std::string_view name;
  double M::*small;
  double M::*      large;
  std::string_view why;
};
constexpr std::array kMemoryOrders{
    MemoryOrder{"memory_calm", &M::calm, &M::near,
                "must be below memory_near, or the memory level oscillates"},
    MemoryOrder{
        "memory_turns", &M::turns, &M::near,
        "must be below memory_near, or turns alone make a node unready"},
    MemoryOrder{"memory_near", &M::near, &M::full,
                "must be below memory_full, or clients are refused before new "
                "connections go to other nodes"},
};

// Calls `visitor` with the value of `field` in `thresholds`.
template <class AnyThresholds, class Visitor>
void Visit(const Field& field, AnyThresholds& thresholds, Visitor visitor) {
  if (const auto* time = std::get_if<Duration T::*>(&field)) {
    visitor(thresholds.**time);
  } else if (const auto* number = std::get_if<double T::*>(&field)) {
    visitor(thresholds.**number);
  } else if (const auto* limit_number = std::get_if<double L::*>(&field)) {
    visitor(thresholds.concurrency_limit.**limit_number);
  } else if (const auto* memory_number = std::get_if<double M::*>(&field)) {
    visitor(thresholds.memory.**memory_number);
  } else if (const auto* memory_time = std::get_if<Duration M::*>(&field)) {
    visitor(thresholds.memory.**memory_time);
  } else if (const auto* limit_time = std::get_if<Duration L::*>(&field)) {
    visitor(thresholds.concurrency_limit.**limit_time);
  } else if (const auto* admission_number = std::get_if<double A::*>(&field)) {
    visitor(thresholds.admission.**admission_number);
  } else if (const auto* admission_time = std::get_if<Duration A::*>(&field)) {
    visitor(thresholds.admission.**admission_time);
  } else if (const auto* fairness_number = std::get_if<double F::*>(&field)) {
    visitor(thresholds.fairness.**fairness_number);
  } else if (const auto* fairness_time = std::get_if<Duration F::*>(&field)) {
    visitor(thresholds.fairness.**fairness_time);
  } else if (const auto* slowdown_number = std::get_if<double P::*>(&field)) {
    visitor(thresholds.slowdown.**slowdown_number);
  } else if (const auto* slowdown_time = std::get_if<Duration P::*>(&field)) {
    visitor(thresholds.slowdown.**slowdown_time);
  } else if (const auto* sampling_number = std::get_if<double S::*>(&field)) {
    visitor(thresholds.sampling.**sampling_number);
  } else if (const auto* sampling_count =
                 std::get_if<std::int64_t S::*>(&field)) {
    visitor(thresholds.sampling.**sampling_count);
  } else {
    visitor(thresholds.placement.*std::get<double W::*>(field));
  }
}

const Entry* FindEntry(std::string_view name) {
  for (const Entry& entry : kEntries) {
    if (entry.name == name) return &entry;
  }
  return nullptr;
}

// Parses all of `text` as a number; false if it is malformed or overflows.
template <class Number>
bool ReadNumber(std::string_view text, Number* value) {
  const char* end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, *value);
  return error == std::errc() && last == end;
}

std::string Bounds(const Entry& entry) {
  std::ostringstream text;
  text << "want " << entry.low << " to " << entry.high;
  return text.str();
}

class Parser {
 public:
  explicit Parser(const Thresholds& base) : m_thresholds(base) {}

  void Apply(std::string_view pair) {
    const auto   equals = pair.find('=');
    const auto   name = pair.substr(0, equals);
    const Entry* entry = FindEntry(name);
    if (entry == nullptr) {
      AddError(ThresholdFault::kUnknownName, name, "no such threshold");
    } else if (equals == std::string_view::npos) {
      AddError(ThresholdFault::kBadValue, name, "want name=value");
    } else {
      Set(*entry, pair.substr(equals + 1));
    }
  }

  tl::expected<Thresholds, std::vector<ThresholdError>> Finish() {
    for (const Order& order : kOrders) {
      if (m_thresholds.*order.small < m_thresholds.*order.large) continue;
      AddError(ThresholdFault::kContradiction, order.name, order.why);
    }
    for (const MemoryOrder& order : kMemoryOrders) {
      const M& memory = m_thresholds.memory;
      if (memory.*order.small < memory.*order.large) continue;
      AddError(ThresholdFault::kContradiction, order.name, order.why);
    }
    if (!m_errors.empty()) return tl::unexpected(m_errors);
    return m_thresholds;
  }

 private:
  void Set(const Entry& entry, std::string_view text) {
    Visit(entry.field, m_thresholds, [&](auto& value) {
      auto number = value;
      if (!ReadNumber(text, &number)) {
        AddError(ThresholdFault::kBadValue, entry.name, Bounds(entry));
      } else if (!(static_cast<double>(number) >= entry.low &&
                   static_cast<double>(number) <= entry.high)) {
        AddError(ThresholdFault::kOutOfRange, entry.name, Bounds(entry));
      } else {
        value = number;
      }
    });
  }
  void AddError(ThresholdFault fault, std::string_view name,
                std::string_view detail) {
    m_errors.push_back({fault, std::string(name), std::string(detail)});
  }

  Thresholds                  m_thresholds;
  std::vector<ThresholdError> m_errors;
};

}  // namespace

std::string_view Name(ThresholdFault fault) {
  constexpr std::array<std::string_view, 4> kNames{
      "unknown name", "bad value", "out of range", "contradiction"};
  return kNames[static_cast<std::size_t>(fault)];
}

tl::expected<Thresholds, std::vector<ThresholdError>> ParseThresholds(
    std::string_view text, const Thresholds& base) {
  Parser parser(base);
  while (!text.empty()) {
    const auto comma = text.find(',');
    parser.Apply(text.substr(0, comma));
    if (comma == std::string_view::npos) break;
    text.remove_prefix(comma + 1);
  }
  return parser.Finish();
}

std::string Describe(const Thresholds& thresholds) {
  std::ostringstream text;
  for (const Entry& entry : kEntries) {
    text << entry.name << "=";
    Visit(entry.field, thresholds,
          [&text](const auto& value) { text << value; });
    text << "  (" << entry.low << " to " << entry.high << ")\n";
  }
  return text.str();
}

}  // namespace yuccawick::gateway

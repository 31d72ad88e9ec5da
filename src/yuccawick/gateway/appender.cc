#include "yuccawick/gateway/appender.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace yuccawick::gateway {
namespace {

using net::Duration;
using platform::StoreFailure;

// The last record of a batch may exceed this; the log takes 2 MB a call.
constexpr std::size_t kMaxBatchBytes = 1UL << 20;
// The first timeout, as a multiple of the average latency.
constexpr Duration    kTimeoutFactor = 4;
constexpr Duration    kSmoothingWeight = 4;  // weight of the old average

}  // namespace

Appender::Appender(net::EventLoop* loop, const Thresholds* thresholds,
                   platform::RecordLog* store, LogHealth* health,
                   platform::Topic topic, int partition, std::string producer)
    : m_loop(loop),
      m_thresholds(thresholds),
      m_store(store),
      m_health(health),
      m_topic(topic),
      m_partition(partition),
      m_id{std::move(producer), 0, 0} {}

void Appender::Add(std::string record, Done done, Wanted wanted) {
  m_queue.push_back({std::move(record), std::move(done), std::move(wanted)});
  Pump();
}

void Appender::Pump() {
  if (m_busy || m_batching) return;
  TakeBatch();
  if (m_in_flight.empty()) return;
  m_busy = true;
  m_timeout = FirstTimeout();
  Send();
}

void Appender::DropUnwanted() {
  std::erase_if(m_queue,
                [](const Item& item) { return item.wanted && !item.wanted(); });
}

void Appender::TakeBatch() {
  DropUnwanted();
  std::size_t bytes = 0;
  std::size_t taken = 0;
  while (taken < m_queue.size() && bytes < kMaxBatchBytes) {
    bytes += m_queue[taken++].record.size();
  }
  const auto end = m_queue.begin() + static_cast<std::ptrdiff_t>(taken);
  m_in_flight.assign(std::make_move_iterator(m_queue.begin()),
                     std::make_move_iterator(end));
  m_queue.erase(m_queue.begin(), end);
}

Duration Appender::FirstTimeout() const {
  return std::clamp(kTimeoutFactor * m_mean_latency,
                    m_thresholds->append_first_timeout,
                    m_thresholds->log_timeout);
}

void Appender::Send() {
  std::vector<std::string> records;
  records.reserve(m_in_flight.size());
  for (const Item& item : m_in_flight) records.push_back(item.record);
  m_sent_at = m_loop->now();
  m_store->Append(m_topic, m_partition, records, m_id, m_timeout,
                  [this](const Result& result) { OnResult(result); });
}

void Appender::OnResult(const Result& result) {
  if (result) {
    m_health->Observe(true, "append");
    const Duration elapsed = m_loop->now() - m_sent_at;
    m_mean_latency =
        (kSmoothingWeight * m_mean_latency + elapsed) / (kSmoothingWeight + 1);
  } else if (result.error().failure == StoreFailure::kRefused) {
    OnRefused(result.error());
    return;
  } else {
    Retry(result.error());
    return;
  }
  ++m_id.number;
  auto completed = std::exchange(m_in_flight, {});
  m_loop->Defer([this] {
    m_busy = false;
    Pump();
  });
  Result record_result = result;
  for (const Item& item : completed) {
    item.done(record_result);
    ++record_result->offset;
  }
}

// Starts a new epoch, which makes the log refuse appends of the old one that
// are still in transit.
void Appender::BeginEpoch() {
  ++m_id.epoch;
  m_id.number = 0;
}

void Appender::Retry(const platform::StoreError& error) {
  // The log has lost or superseded this producer's sequence. Records that end
  // up stored twice are deduplicated by their readers.
  if (error.failure == StoreFailure::kOutOfOrder) BeginEpoch();
  // A timeout below log_timeout does not yet mean that the log is unavailable.
  const bool     waited_log_timeout = m_timeout >= m_thresholds->log_timeout;
  const bool     no_answer = error.failure == StoreFailure::kUnknown;
  const Duration elapsed = m_loop->now() - m_sent_at;
  // Without a lower bound, a log that resets connections at once would be
  // called in a tight loop.
  const Duration pause =
      no_answer ? m_timeout - elapsed : m_thresholds->log_away_pause;
  if (waited_log_timeout || !no_answer) m_health->Observe(false, "append");
  m_timeout = std::min(2 * m_timeout, m_thresholds->log_timeout);
  DropUnwanted();
  m_loop->After(std::max<Duration>(0, pause), [this] { Send(); });
}

// The log permanently refuses this append. The first record is retried alone,
// then reported as failed, so that one bad record cannot block the others.
void Appender::OnRefused(const platform::StoreError& error) {
  BeginEpoch();
  if (m_in_flight.size() > 1) {
    m_queue.insert(m_queue.begin(),
                   std::make_move_iterator(m_in_flight.begin() + 1),
                   std::make_move_iterator(m_in_flight.end()));
    m_in_flight.resize(1);
    m_loop->Defer([this] { Send(); });
    return;
  }
  const Item item = std::move(m_in_flight.front());
  m_in_flight.clear();
  m_loop->After(m_thresholds->log_away_pause, [this] {
    m_busy = false;
    Pump();
  });
  item.done(tl::unexpected(error));
}

}  // namespace yuccawick::gateway

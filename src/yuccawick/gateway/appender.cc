#include "yuccawick/gateway/appender.h"

#include <iterator>
#include <utility>

namespace yuccawick::gateway {
namespace {

using net::Duration;

constexpr std::size_t kMaxBatchBytes = 1UL << 20;  // the log takes 2 MB a call

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

void Appender::Add(std::string record, bool insist, Done done) {
  m_waiting.push_back({std::move(record), insist, std::move(done)});
  Pump();
}

void Appender::Pump() {
  if (m_busy || m_waiting.empty()) return;
  m_busy = true;
  std::size_t bytes = 0;
  std::size_t taken = 0;
  while (taken < m_waiting.size() && bytes < kMaxBatchBytes) {
    bytes += m_waiting[taken++].record.size();
  }
  const auto end = m_waiting.begin() + static_cast<std::ptrdiff_t>(taken);
  m_flying.assign(std::make_move_iterator(m_waiting.begin()),
                  std::make_move_iterator(end));
  m_waiting.erase(m_waiting.begin(), end);
  Send();
}

void Appender::Send() {
  std::vector<std::string> records;
  records.reserve(m_flying.size());
  for (const Item& item : m_flying) records.push_back(item.record);
  const auto id =
      m_id.producer.empty() ? std::nullopt : std::make_optional(m_id);
  m_store->Append(m_topic, m_partition, records, id, m_thresholds->log_timeout,
                  [this](const Result& result) { Finish(result); });
}

void Appender::SendAgain(const platform::StoreError& error) {
  // The log does not know this producer's last append any more, or knows of
  // another. An epoch of its own begins anew; should the records lie there
  // twice, their readers count them as the log has them.
  if (error.failure == platform::StoreFailure::kOutOfOrder) {
    ++m_id.epoch;
    m_id.number = 0;
  }
  m_loop->After(m_thresholds->log_away_pause, [this] { Send(); });
}

void Appender::Finish(const Result& result) {
  m_health->Note(result.has_value(), "append");
  if (!result && !m_id.producer.empty()) {
    SendAgain(result.error());
    return;
  }
  ++m_id.number;
  auto              flown = std::exchange(m_flying, {});
  std::vector<Item> again;
  m_loop->After(result ? 0 : m_thresholds->log_away_pause, [this] {
    m_busy = false;
    Pump();
  });
  Result own = result;
  for (Item& item : flown) {
    if (!result && item.insist) {
      again.push_back(std::move(item));
    } else {
      item.done(own);
    }
    if (own) ++own->offset;
  }
  m_waiting.insert(m_waiting.begin(), std::make_move_iterator(again.begin()),
                   std::make_move_iterator(again.end()));
}

}  // namespace yuccawick::gateway

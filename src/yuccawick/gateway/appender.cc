#include "yuccawick/gateway/appender.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace yuccawick::gateway {
namespace {

using net::Duration;
using platform::StoreFailure;

constexpr std::size_t kMaxBatchBytes = 1UL << 20;  // the log takes 2 MB a call
// The first try waits for so many usual answers.
constexpr Duration    kPatience = 4;
constexpr Duration    kSmoothing = 4;  // weight of the past against an answer

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
  m_waiting.push_back({std::move(record), std::move(done), std::move(wanted)});
  Pump();
}

void Appender::Pump() {
  if (m_busy) return;
  TakeBatch();
  if (m_flying.empty()) return;
  m_busy = true;
  m_timeout = FirstTimeout();
  Send();
}

void Appender::DropUnwanted() {
  std::erase_if(m_waiting,
                [](const Item& item) { return item.wanted && !item.wanted(); });
}

void Appender::TakeBatch() {
  DropUnwanted();
  std::size_t bytes = 0;
  std::size_t taken = 0;
  while (taken < m_waiting.size() && bytes < kMaxBatchBytes) {
    bytes += m_waiting[taken++].record.size();
  }
  const auto end = m_waiting.begin() + static_cast<std::ptrdiff_t>(taken);
  m_flying.assign(std::make_move_iterator(m_waiting.begin()),
                  std::make_move_iterator(end));
  m_waiting.erase(m_waiting.begin(), end);
}

Duration Appender::FirstTimeout() const {
  return std::clamp(kPatience * m_usual, m_thresholds->append_first_timeout,
                    m_thresholds->log_timeout);
}

void Appender::Send() {
  std::vector<std::string> records;
  records.reserve(m_flying.size());
  for (const Item& item : m_flying) records.push_back(item.record);
  m_sent_at = m_loop->now();
  m_store->Append(m_topic, m_partition, records, m_id, m_timeout,
                  [this](const Result& result) { Finish(result); });
}

void Appender::Finish(const Result& result) {
  if (result) {
    m_health->Observe(true, "append");
    const Duration took = m_loop->now() - m_sent_at;
    m_usual = (kSmoothing * m_usual + took) / (kSmoothing + 1);
  } else if (result.error().failure == StoreFailure::kRefused) {
    Refused(result.error());
    return;
  } else {
    SendAgain(result.error());
    return;
  }
  ++m_id.number;
  auto flown = std::exchange(m_flying, {});
  m_loop->Defer([this] {
    m_busy = false;
    Pump();
  });
  Result own = result;
  for (const Item& item : flown) {
    item.done(own);
    ++own->offset;
  }
}

// Fences what was sent in the last epoch and may still be on its way.
void Appender::BeginEpoch() {
  ++m_id.epoch;
  m_id.number = 0;
}

void Appender::SendAgain(const platform::StoreError& error) {
  // The log does not know this producer's last append any more, or knows of
  // another. Should the records lie there twice, their readers count them once.
  if (error.failure == StoreFailure::kOutOfOrder) BeginEpoch();
  // A short try that got no answer says little about the log.
  const bool     waited_long = m_timeout >= m_thresholds->log_timeout;
  const bool     no_answer = error.failure == StoreFailure::kUnknown;
  const Duration took = m_loop->now() - m_sent_at;
  // A log that resets connections ends a try at once; it is not to be asked
  // more often than one that is silent.
  const Duration pause =
      no_answer ? m_timeout - took : m_thresholds->log_away_pause;
  if (waited_long || !no_answer) m_health->Observe(false, "append");
  m_timeout = std::min(2 * m_timeout, m_thresholds->log_timeout);
  DropUnwanted();
  m_loop->After(std::max<Duration>(0, pause), [this] { Send(); });
}

// The log will not take this append, however often it is sent. One record of it
// must not keep the others from it, nor those that come after.
void Appender::Refused(const platform::StoreError& error) {
  BeginEpoch();
  if (m_flying.size() > 1) {
    m_waiting.insert(m_waiting.begin(),
                     std::make_move_iterator(m_flying.begin() + 1),
                     std::make_move_iterator(m_flying.end()));
    m_flying.resize(1);
    m_loop->Defer([this] { Send(); });
    return;
  }
  const Item item = std::move(m_flying.front());
  m_flying.clear();
  m_loop->After(m_thresholds->log_away_pause, [this] {
    m_busy = false;
    Pump();
  });
  item.done(tl::unexpected(error));
}

}  // namespace yuccawick::gateway

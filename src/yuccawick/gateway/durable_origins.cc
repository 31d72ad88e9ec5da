#include "yuccawick/gateway/durable_origins.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "yuccawick/traffic/request_key.h"

namespace yuccawick::gateway {
namespace {

using platform::LogRecord;
using platform::NewestPage;
using platform::StoreFailure;
using platform::StoreResult;
using platform::Topic;
using programs::OriginStreams;
using traffic::StreamKey;
using traffic::StreamOrigin;

constexpr Duration kListTimeout = 1000;  // ms
constexpr Duration kRetryDelay = 500;    // ms after a failure
constexpr Duration kMinPause = 100;      // ms between two batches
// ms between two batches for each node: 100 batches a second of all nodes.
constexpr Duration kPausePerNode = 10;

}  // namespace

DurableOrigins::DurableOrigins(net::EventLoop*             loop,
                               const Thresholds*           thresholds,
                               platform::Store*            store,
                               const programs::Membership* members, Log* log)
    : m_loop(loop),
      m_thresholds(thresholds),
      m_store(store),
      m_members(members),
      m_log(log),
      // Hashed, since a key has 255 bytes at most.
      m_key_prefix(traffic::Text(traffic::HashOf(members->self().name)) + "/"),
      m_lifetime(thresholds->origin_memory) {}

// Loading --------------------------------------------------------------------

void DurableOrigins::Load(OnOrigin on_origin) {
  m_on_origin = std::move(on_origin);
  List(m_key_prefix);
}

void DurableOrigins::List(const std::string& after) {
  m_store->Newest(
      Topic::kStreams, after, kListTimeout,
      [this](const StoreResult<NewestPage>& result) {
        if (result) {
          TakePage(*result);
        } else if (result.error().failure == StoreFailure::kRefused) {
          EndLoading();
        } else {
          m_records.clear();
          m_loop->After(kRetryDelay, [this] { List(m_key_prefix); });
        }
      });
}

void DurableOrigins::TakePage(const NewestPage& page) {
  for (const LogRecord& record : page.records) {
    if (record.key.starts_with(m_key_prefix)) m_records.push_back(record);
  }
  const bool more = page.more && !page.records.empty() &&
                    page.records.back().key.starts_with(m_key_prefix);
  if (more) {
    List(page.records.back().key);
  } else {
    EndLoading();
  }
}

void DurableOrigins::EndLoading() {
  std::sort(m_records.begin(), m_records.end(),
            [](const LogRecord& a, const LogRecord& b) {
              return a.offset < b.offset;
            });
  std::size_t count = 0;
  for (const LogRecord& record : m_records) {
    const auto batch = programs::DecodeStreams(record.value);
    if (!batch) {
      m_log->Write(LogEvent::kFault,
                   {{"what", "undecodable origins"}, {"key", record.key}});
      continue;
    }
    for (const OriginStreams& each : *batch) {
      for (const StreamKey& key : each.streams) m_on_origin(key, each.origin);
      count += each.streams.size();
    }
  }
  if (!m_records.empty()) {
    const std::string& newest = m_records.back().key;
    std::from_chars(newest.data() + m_key_prefix.size(),
                    newest.data() + newest.size(), m_next_slot);
    ++m_next_slot;
    m_log->Write(LogEvent::kOrigins, {{"count", count}});
  }
  m_records = {};
  m_loaded = true;
  WriteLater();
}

// Writing --------------------------------------------------------------------

Duration DurableOrigins::Pause() const {
  const auto nodes = static_cast<Duration>(m_members->All().size() + 1);
  return std::max(kMinPause, kPausePerNode * nodes);
}

std::string DurableOrigins::NextKey() {
  // One for the batch that is being collected, one for the one under way.
  const auto slots = static_cast<std::uint64_t>(m_lifetime / Pause() + 2);
  const auto slot = m_next_slot++ % slots;
  return m_key_prefix + std::to_string(slot);
}

void DurableOrigins::Put(const StreamKey& key, const StreamOrigin& origin) {
  Queue({{origin, {key}}});
  WriteLater();
}

void DurableOrigins::Queue(const Batch& batch) {
  for (const OriginStreams& added : batch) {
    if (m_queued >= traffic::kMaxStreamOrigins) {
      m_queue.clear();
      m_queued = 0;
    }
    m_queued += added.streams.size();
    const auto same = std::find_if(m_queue.begin(), m_queue.end(),
                                   [&added](const OriginStreams& each) {
                                     return each.origin == added.origin;
                                   });
    if (same == m_queue.end()) {
      m_queue.push_back(added);
    } else {
      same->streams.insert(same->streams.end(), added.streams.begin(),
                           added.streams.end());
    }
  }
}

void DurableOrigins::WriteLater() {
  if (!m_loaded || m_queue.empty() || std::exchange(m_writing, true)) return;
  const Duration wait = m_written_at + Pause() - m_loop->now();
  m_loop->After(std::max<Duration>(0, wait), [this] { Write(); });
}

void DurableOrigins::Write() {
  Batch batch = std::exchange(m_queue, {});
  m_queued = 0;
  m_written_at = m_loop->now();
  const std::string value = programs::EncodeStreams(batch);
  m_store->Put(Topic::kStreams, NextKey(), value, m_thresholds->log_timeout,
               [this, batch = std::move(batch)](
                   const StoreResult<platform::Appended>& result) {
                 m_writing = false;
                 const bool repeats = !result && result.error().failure !=
                                                     StoreFailure::kRefused;
                 if (repeats) Queue(batch);
                 WriteLater();
               });
}

}  // namespace yuccawick::gateway

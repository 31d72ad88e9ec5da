#include "yuccawick/gateway/origin_records.h"

#include <utility>

#include "yuccawick/programs/record.h"
#include "yuccawick/traffic/request_key.h"

namespace yuccawick::gateway {
namespace {

using net::Duration;
using platform::LogRecord;
using platform::StoreResult;
using platform::Topic;
using traffic::PossibleOrigin;

constexpr Duration kWriteTimeout = 1000;  // ms
constexpr Duration kRetryDelay = 500;     // ms after a failure
// ms over which nodes spread writes that one of them has to make.
constexpr Duration kPausePerNode = 20;

constexpr std::string_view kKeyPrefix = "origin/";

// Hashed, since a key has 255 bytes at most.
std::string RecordKey(const PossibleOrigin& origin) {
  return std::string(kKeyPrefix) +
         traffic::Text(traffic::HashOf(origin.group)) + "/" +
         traffic::Text(traffic::HashOf(origin.member));
}

}  // namespace

OriginRecords::OriginRecords(net::EventLoop* loop, platform::Store* store,
                             Log* log, Changed changed)
    : m_loop(loop),
      m_store(store),
      m_log(log),
      m_changed(std::move(changed)),
      m_random(std::random_device{}()) {}

void OriginRecords::SetVersions(Origins origins) {
  if (origins == m_versions) return;
  m_versions = std::move(origins);
  Update();
}

void OriginRecords::SetRoutes(Origins origins) {
  if (origins == m_routes) return;
  m_routes = std::move(origins);
  Update();
}

bool OriginRecords::Take(const LogRecord& record) {
  if (!record.key.starts_with(kKeyPrefix)) return false;
  if (record.removed) {
    // By a node that has not seen it for long; this one may still see it.
    if (m_written.erase(record.key) > 0) Update();
    return true;
  }
  const auto origin = programs::DecodePossibleOrigin(record.value);
  if (!origin) {
    m_log->Write(LogEvent::kFault,
                 {{"what", "undecodable origin"}, {"key", record.key}});
    return true;
  }
  m_written.insert(record.key);
  if (m_origins.TakeRecorded(*origin, m_loop->now())) Publish();
  return true;
}

void OriginRecords::EndListing() {
  m_listed = true;
  Update();
  Publish();
}

void OriginRecords::Update() {
  std::vector<PossibleOrigin> present(m_versions.begin(), m_versions.end());
  present.insert(present.end(), m_routes.begin(), m_routes.end());
  if (m_origins.Take(present, m_loop->now())) Publish();
  // Before the listing it is not known which are written.
  if (!m_listed) return;
  for (const PossibleOrigin& origin : present) {
    if (!m_written.contains(RecordKey(origin))) m_unwritten.insert(origin);
  }
  if (!m_unwritten.empty() && !std::exchange(m_writing, true)) WriteLater(0);
}

void OriginRecords::Publish() {
  if (m_listed) m_changed(m_origins);
}

Duration OriginRecords::DrawPause() {
  const auto most = kPausePerNode * static_cast<Duration>(m_node_count);
  return std::uniform_int_distribution<Duration>(0, most)(m_random);
}

void OriginRecords::WriteLater(Duration delay) {
  m_loop->After(delay + DrawPause(), [this] { WriteNext(); });
}

void OriginRecords::WriteNext() {
  std::erase_if(m_unwritten, [this](const PossibleOrigin& origin) {
    return m_written.contains(RecordKey(origin));
  });
  if (m_unwritten.empty()) {
    m_writing = false;
    return;
  }
  // Nodes begin at different ones, so that they share the work.
  auto next = m_unwritten.begin();
  std::advance(next, m_random() % m_unwritten.size());
  const std::string key = RecordKey(*next);
  m_store->Put(Topic::kHistory, key, programs::EncodePossibleOrigin(*next),
               kWriteTimeout,
               [this, key](const StoreResult<platform::Appended>& result) {
                 if (result) m_written.insert(key);
                 WriteLater(result ? 0 : kRetryDelay);
               });
}

void OriginRecords::DropExpired() {
  const auto dropped = m_origins.DropExpired(m_loop->now());
  if (!dropped.empty()) Publish();
  for (const PossibleOrigin& origin : dropped)
    DeleteLater(RecordKey(origin), 0);
}

void OriginRecords::DeleteLater(const std::string& key, Duration delay) {
  m_loop->After(delay + DrawPause(), [this, key] {
    if (!m_written.contains(key)) return;
    m_store->Put(Topic::kHistory, key, std::nullopt, kWriteTimeout,
                 [this, key](const StoreResult<platform::Appended>& result) {
                   if (!result) DeleteLater(key, kRetryDelay);
                 });
  });
}

}  // namespace yuccawick::gateway

#include "yuccawick/gateway/durable_marks.h"

#include <utility>

namespace yuccawick::gateway {
namespace {

using platform::Topic;
using programs::KeptMark;

constexpr std::string_view kKeyPrefix = "mark/";

// The server is hashed, since a key has 255 bytes at most.
std::string RecordKey(const KeptMark& mark) {
  return std::string(kKeyPrefix) + traffic::Text(mark.key) + "/" +
         traffic::Text(traffic::HashOf(mark.server));
}

}  // namespace

void DurableMarks::Save(const KeptMark& mark) {
  const std::string key = RecordKey(mark);
  const auto [record, added] = m_records.try_emplace(key, Record{mark});
  const bool same = !added && record->second.mark.ended == mark.ended;
  if (same && (record->second.saved || record->second.saving)) return;
  record->second.mark = mark;
  record->second.saved = false;
  Write(key);
}

void DurableMarks::Write(const std::string& key) {
  Record& record = m_records.at(key);
  record.saving = true;
  ++m_saving[record.mark.server];
  m_store->Put(Topic::kHistory, key, programs::EncodeMark(record.mark),
               m_thresholds->mark_save_wait,
               [this, key, mark = record.mark](
                   const platform::StoreResult<platform::Appended>& result) {
                 const auto written = m_records.find(key);
                 if (written != m_records.end() &&
                     written->second.mark.ended == mark.ended) {
                   written->second.saving = false;
                   written->second.saved = result.has_value();
                 }
                 OnWritten(key, mark.server, result.has_value());
               });
}

void DurableMarks::OnWritten(const std::string& key, const std::string& server,
                             bool written) {
  if (!written)
    m_log->Write(LogEvent::kSuspect, {{"state", "not_saved"}, {"key", key}});
  if (--m_saving[server] > 0) return;
  m_saving.erase(server);
  auto waiting = m_waiting.extract(server);
  if (waiting.empty()) return;
  for (const auto& done : waiting.mapped()) done();
}

void DurableMarks::WhenSaved(const std::string&    server,
                             std::function<void()> done) {
  if (m_saving.contains(server)) {
    m_waiting[server].push_back(std::move(done));
  } else {
    done();
  }
}

std::optional<KeptMark> DurableMarks::Take(const platform::LogRecord& record) {
  if (!record.key.starts_with(kKeyPrefix)) return std::nullopt;
  if (record.removed) {
    m_records.erase(record.key);
    return std::nullopt;
  }
  auto mark = programs::DecodeMark(record.value);
  if (!mark) {
    m_log->Write(LogEvent::kFault,
                 {{"what", "undecodable mark"}, {"key", record.key}});
    return std::nullopt;
  }
  Record& known =
      m_records.try_emplace(record.key, Record{*mark}).first->second;
  // A later record of the same mark may say less.
  if (known.mark.ended == mark->ended) known.saved = true;
  return mark;
}

void DurableMarks::Sweep(const IsKnown& is_known) {
  // So that an outage of the log doesn't end in a burst.
  constexpr int            kMaxWrites = 8;
  int                      writes = 0;
  std::vector<std::string> gone;
  for (const auto& [key, record] : m_records) {
    if (!is_known(record.mark.key, record.mark.server)) {
      gone.push_back(key);
    } else if (!record.saved && !record.saving && writes < kMaxWrites) {
      ++writes;
      Write(key);
    }
  }
  for (const std::string& key : gone) {
    m_records.erase(key);
    const auto nodes = m_members->RankCoordinators(key);
    if (nodes.empty() || nodes.front().name != m_members->self().name) continue;
    m_store->Put(Topic::kHistory, key, std::nullopt, m_thresholds->log_timeout,
                 [](const platform::StoreResult<platform::Appended>&) {});
  }
}

}  // namespace yuccawick::gateway

#include "yuccawick/gateway/durable_marks.h"

#include <algorithm>
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

bool DurableMarks::TakeAllowance() {
  constexpr double kMillisPerSecond = 1000;
  const net::Time  now = m_loop->now();
  const auto       nodes = static_cast<double>(m_members->All().size() + 1);
  const double     rate = m_thresholds->optional_marks / nodes;
  const double     gained =
      static_cast<double>(now - m_allowance_at) * rate / kMillisPerSecond;
  m_allowance = std::min(kMaxAllowance, m_allowance + gained);
  m_allowance_at = now;
  if (m_allowance < 1) return false;
  m_allowance -= 1;
  return true;
}

void DurableMarks::SaveOptional(const KeptMark& mark) {
  if (!m_records.contains(RecordKey(mark)) && TakeAllowance()) Save(mark);
}

void DurableMarks::Save(const KeptMark& mark) {
  const std::string key = RecordKey(mark);
  const auto [record, added] = m_records.try_emplace(key, Record{mark});
  const Record& known = record->second;
  const bool    same = !added && known.mark.ended == mark.ended;
  if (same && !known.deleting && (known.saved || known.saving)) return;
  record->second.mark = mark;
  record->second.saved = false;
  Write(key);
}

bool DurableMarks::WasWritten(const KeptMark& mark) const {
  const auto record = m_records.find(RecordKey(mark));
  return record != m_records.end() && record->second.mark.ended == mark.ended;
}

void DurableMarks::Write(const std::string& key) {
  Record& record = m_records.at(key);
  record.own = true;
  record.deleted = false;
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

std::optional<DurableMarks::Change> DurableMarks::Take(
    const platform::LogRecord& record) {
  if (!record.key.starts_with(kKeyPrefix)) return std::nullopt;
  if (record.removed) {
    const auto removed = m_records.find(record.key);
    if (removed == m_records.end()) return std::nullopt;
    removed->second = {.mark = removed->second.mark, .deleted = true};
    return Change{removed->second.mark, true};
  }
  auto mark = programs::DecodeMark(record.value);
  if (!mark) {
    m_log->Write(LogEvent::kFault,
                 {{"what", "undecodable mark"}, {"key", record.key}});
    return std::nullopt;
  }
  Record& known =
      m_records.try_emplace(record.key, Record{*mark}).first->second;
  known.mark.ended = known.mark.ended || mark->ended;
  known.deleted = false;
  // A later record of the same mark may say less.
  known.saved = known.mark.ended == mark->ended;
  // The node may have forgotten an early end of its own meanwhile.
  if (known.own && !mark->ended) return std::nullopt;
  return Change{*mark, false};
}

void DurableMarks::Sweep(const IsKnown& is_known) {
  // So that an outage of the log doesn't end in a burst.
  constexpr int            kMaxWrites = 8;
  int                      writes = 0;
  std::vector<std::string> gone;
  for (const auto& [key, record] : m_records) {
    if (!is_known(record.mark.key, record.mark.server)) {
      gone.push_back(key);
    } else if (record.own && !record.saved && !record.saving &&
               writes < kMaxWrites) {
      ++writes;
      Write(key);
    }
  }
  for (const std::string& key : gone) {
    const Record& record = m_records.at(key);
    if (record.deleted || !(record.own || RanksFirst(key))) {
      m_records.erase(key);
    } else if (!record.deleting && writes < kMaxWrites) {
      ++writes;
      Delete(key);
    }
  }
}

bool DurableMarks::RanksFirst(const std::string& key) const {
  const auto nodes = m_members->RankCoordinators(key);
  return !nodes.empty() && nodes.front().name == m_members->self().name;
}

void DurableMarks::Delete(const std::string& key) {
  m_records.at(key).deleting = true;
  m_store->Put(
      Topic::kHistory, key, std::nullopt, m_thresholds->log_timeout,
      [this, key](const platform::StoreResult<platform::Appended>& result) {
        const auto deleted = m_records.find(key);
        if (deleted == m_records.end()) return;
        deleted->second.deleting = false;
        deleted->second.deleted = result.has_value();
      });
}

}  // namespace yuccawick::gateway

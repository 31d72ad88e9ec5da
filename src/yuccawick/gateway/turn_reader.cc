#include "yuccawick/gateway/turn_reader.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace yuccawick::gateway {
namespace {

using platform::LogRecord;
using platform::ReadPage;
using platform::StoreFailure;
using platform::StoreResult;
using platform::Topic;

// How long positions are remembered; the log stores records as long.
constexpr Duration    kPositionRetention = 300'000;  // ms
// Bytes that the log stores before each record.
constexpr std::size_t kRecordOverhead = 4;
// The smallest read that the log allows, in bytes.
constexpr std::size_t kProbeBytes = 1024;
// A partition that was called within this time, in ms, needs no probe.
constexpr Duration    kProbeIdleTime = 500;

}  // namespace

TurnReader::TurnReader(net::EventLoop* loop, const Thresholds* thresholds,
                       platform::RecordLog* store, Log* log,
                       programs::TurnHistory* history)
    : m_loop(loop),
      m_thresholds(thresholds),
      m_store(store),
      m_log(log),
      m_history(history),
      m_scans(kTurnPartitions) {
  for (int i = 0; i < kTurnPartitions; ++i) {
    ScanOf(i).health =
        std::make_unique<LogHealth>(loop, log, "turns " + std::to_string(i));
  }
}

// Scan -----------------------------------------------------------------------

void TurnReader::Scan(int partition, ScanDone done, std::string wanted) {
  ScanState& scan = ScanOf(partition);
  // Probes detect when the partition is back; a scan would only delay the
  // search of the peers' memory by a timeout.
  if (scan.health->unavailable()) {
    done(false);
    return;
  }
  scan.waiting.push_back({std::move(done), std::move(wanted)});
  if (!scan.busy) BeginScan(partition);
}

void TurnReader::BeginScan(int partition) {
  ScanState& scan = ScanOf(partition);
  scan.busy = true;
  scan.records_read = 0;
  scan.plan.Begin();
  ReadNextPage(partition);
}

// Requests made before a read at the end of the partition are completed by that
// read.
void TurnReader::ServeWaiting(ScanState* scan) {
  for (ScanRequest& request : scan->waiting) {
    scan->served.push_back(std::move(request));
  }
  scan->waiting.clear();
}

void TurnReader::CompleteFound(ScanState* scan) {
  const auto found = std::stable_partition(
      scan->served.begin(), scan->served.end(),
      [this](const ScanRequest& each) {
        return each.wanted.empty() || !m_history->Holds(each.wanted);
      });
  const std::vector<ScanRequest> completed(
      std::make_move_iterator(found),
      std::make_move_iterator(scan->served.end()));
  scan->served.erase(found, scan->served.end());
  for (const ScanRequest& request : completed) request.done(false);
}

void TurnReader::ReadNextPage(int partition, bool is_retry) {
  ScanState& scan = ScanOf(partition);
  if (scan.plan.at_end()) ServeWaiting(&scan);
  const Time         began = m_loop->now();
  const std::int64_t from = scan.plan.from();
  m_store->Read(
      Topic::kTurns, partition, {from, m_read_size.bytes()},
      m_thresholds->log_timeout,
      [this, partition, is_retry, began, from,
       &scan](const StoreResult<ReadPage>& result) {
        if (!result && result.error().failure == StoreFailure::kExpired) {
          SkipTo(partition, from, result.error().first);
          return;
        }
        const Duration elapsed = m_loop->now() - began;
        const bool     in_time = elapsed < m_thresholds->log_timeout;
        if (result) {
          m_read_size.OnReply(elapsed);
        } else if (!in_time) {
          m_read_size.OnTimeout();
        }
        // A read on a dropped keep-alive connection fails at once and is
        // repeated. A read that timed out is not: the log is probably
        // overloaded, and repeated reads would keep it so.
        const bool failed_fast = elapsed < m_thresholds->log_timeout / 2;
        if (!result && failed_fast && !is_retry &&
            result.error().failure == StoreFailure::kUnknown) {
          ReadNextPage(partition, true);
          return;
        }
        scan.health->Observe(result.has_value(), "read");
        if (result) {
          ApplyPage(partition, *result);
        } else {
          EndScan(partition, false);
        }
      });
}

// The log deletes records that are old, or when there are too many. In the
// latter case a deleted turn may still be named by a client until its retention
// has passed.
void TurnReader::SkipTo(int partition, std::int64_t from, std::int64_t first) {
  ScanState& scan = ScanOf(partition);
  scan.health->Observe(true, "read");
  if (first <= from) {
    EndScan(partition, false);
    return;
  }
  if (scan.plan.OnRecordsDeleted(first)) {
    scan.complete_after = m_loop->now() + m_retention + kRetentionSlack;
  }
  ReadNextPage(partition);
}

void TurnReader::ApplyPage(int partition, const ReadPage& page) {
  ScanState& scan = ScanOf(partition);
  const bool at_end = scan.plan.at_end();
  const auto from = scan.plan.from();
  for (const LogRecord& record : page.records) ApplyRecord(partition, record);
  scan.records_read += page.records.size();
  // A stale response, or a page without the records that exist: neither proves
  // that a turn does not exist.
  const bool is_stale = page.end < from;
  const bool records_missing =
      page.records.empty() && (!at_end || from < page.end);
  if (is_stale || records_missing) {
    EndScan(partition, false);
    return;
  }
  scan.plan.OnPageRead(page.next, page.end,
                       static_cast<std::int64_t>(page.records.size()));
  if (scan.plan.complete()) {
    EndScan(partition, true);
  } else {
    CompleteFound(&scan);
    ReadNextPage(partition);
  }
}

void TurnReader::EndScan(int partition, bool complete) {
  ScanState& scan = ScanOf(partition);
  const bool scan_complete = complete && m_loop->now() >= scan.complete_after;
  const auto served = std::exchange(scan.served, {});
  scan.busy = false;
  m_log->Write(LogEvent::kScan, {{"partition", partition},
                                 {"complete", scan_complete ? "yes" : "no"},
                                 {"offset", scan.plan.from()},
                                 {"end", scan.plan.end()},
                                 {"records", scan.records_read},
                                 {"questions", served.size()}});
  // Requests made during this scan need a scan that starts after them.
  if (!scan.waiting.empty()) BeginScan(partition);
  for (const ScanRequest& request : served) request.done(scan_complete);
}

void TurnReader::ApplyRecord(int partition, const LogRecord& record) {
  auto read = programs::DecodeTurn(record.value);
  if (!read) {
    m_log->Write(LogEvent::kFault,
                 {{"what", "undecodable turn"}, {"offset", record.offset}});
    // A client may name the turn that could not be decoded.
    ScanOf(partition).complete_after =
        m_loop->now() + m_retention + kRetentionSlack;
    return;
  }
  const Time        expires_at = m_loop->now() + kPositionRetention;
  const RecordRange range{record.offset, record.value.size() + kRecordOverhead};
  if (read->parts == 1) {
    AddTurn(std::move(read->turn), {partition, {range}, expires_at});
    return;
  }
  const std::pair key(partition, read->turn.id);
  PartialTurn&    partial = m_partial_turns[key];
  partial.position.partition = partition;
  partial.position.expires_at = expires_at;
  if (!partial.parts.emplace(read->part, std::move(read->turn)).second) return;
  partial.position.records.push_back(range);
  if (partial.parts.size() < read->parts) return;
  const PartialTurn partial_turn =
      std::move(m_partial_turns.extract(key).mapped());
  programs::Turn full_turn = partial_turn.parts.begin()->second;
  for (auto part = std::next(partial_turn.parts.begin());
       part != partial_turn.parts.end(); ++part) {
    full_turn.input += part->second.input;
    full_turn.output += part->second.output;
  }
  AddTurn(std::move(full_turn), partial_turn.position);
}

void TurnReader::AddTurn(programs::Turn turn, Position position) {
  m_positions.insert_or_assign(turn.id, std::move(position));
  m_history->Add(std::move(turn), m_loop->now(), m_retention + kRetentionSlack);
}

// Fetch ----------------------------------------------------------------------

void TurnReader::Fetch(const std::string&           id,
                       const std::function<void()>& done) {
  const auto found = m_positions.find(id);
  if (found == m_positions.end()) {
    done();
    return;
  }
  FetchRecord(id, found->second, 0, done);
}

void TurnReader::FetchRecord(const std::string& id, const Position& position,
                             std::size_t                  part,
                             const std::function<void()>& done) {
  if (part == position.records.size() || m_history->Holds(id)) {
    // The turn is no longer at this position; a scan has to find it.
    if (!m_history->Holds(id)) m_positions.erase(id);
    done();
    return;
  }
  if (IsUnavailable(position.partition)) {
    done();
    return;
  }
  m_store->Read(
      Topic::kTurns, position.partition,
      {position.records[part].offset, position.records[part].bytes, 0,
       platform::CallKind::kFetch},
      m_thresholds->log_timeout,
      [this, id, position, part, done](const StoreResult<ReadPage>& result) {
        const bool expired =
            !result && result.error().failure == StoreFailure::kExpired;
        ScanOf(position.partition)
            .health->Observe(result.has_value() || expired, "fetch");
        if (expired) m_positions.erase(id);
        if (!result || result->records.empty()) {
          done();
          return;
        }
        ApplyRecord(position.partition, result->records.front());
        FetchRecord(id, position, part + 1, done);
      });
}

// Availability ---------------------------------------------------------------

bool TurnReader::IsUnavailable(int partition) const {
  return m_scans[static_cast<std::size_t>(partition)].health->unavailable();
}

Duration TurnReader::UnavailableFor() const {
  Duration shortest_outage = m_scans.front().health->UnavailableFor();
  for (const ScanState& scan : m_scans) {
    shortest_outage = std::min(shortest_outage, scan.health->UnavailableFor());
  }
  return shortest_outage;
}

void TurnReader::Probe() {
  for (int i = 0; i < kTurnPartitions; ++i) {
    if (ScanOf(i).health->IdleFor(kProbeIdleTime)) ProbePartition(i);
  }
}

// Reads as little as possible: all nodes probe at the same time in an outage,
// and larger reads would overload the log, so that no read is answered in time.
void TurnReader::ProbePartition(int partition) {
  ScanState& scan = ScanOf(partition);
  if (scan.busy || scan.probing) return;
  scan.probing = true;
  const std::int64_t from = std::max(scan.plan.end(), scan.probed_end);
  m_store->Read(Topic::kTurns, partition,
                {from, kProbeBytes, 0, platform::CallKind::kProbe},
                m_thresholds->log_timeout,
                [&scan](const StoreResult<ReadPage>& result) {
                  scan.probing = false;
                  const bool expired = !result && result.error().failure ==
                                                      StoreFailure::kExpired;
                  if (result) scan.probed_end = result->end;
                  scan.health->Observe(result.has_value() || expired, "probe");
                });
}

void TurnReader::Sweep() {
  const Time now = m_loop->now();
  const auto is_expired = [now](const auto& entry) {
    return entry.second.expires_at < now;
  };
  std::erase_if(m_positions, is_expired);
  std::erase_if(m_partial_turns, [now](const auto& entry) {
    return entry.second.position.expires_at < now;
  });
  for (int i = 0; i < kTurnPartitions; ++i) {
    if (IsUnavailable(i)) ProbePartition(i);
  }
}

}  // namespace yuccawick::gateway

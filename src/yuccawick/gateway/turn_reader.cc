#include "yuccawick/gateway/turn_reader.h"

#include <algorithm>
#include <iterator>
#include <utility>

// Index: Scanning, Fetching, Health.

namespace yuccawick::gateway {
namespace {

using platform::LogRecord;
using platform::ReadPage;
using platform::StoreFailure;
using platform::StoreResult;
using platform::Topic;

// The platform keeps records for 300 s.
constexpr Duration    kPlaceMemory = 300'000;  // ms
// The length that the log keeps before each record, in bytes.
constexpr std::size_t kRecordOverhead = 4;
// The least that the log gives.
constexpr std::size_t kProbeBytes = 1024;
// A partition that was asked within this time, in ms, needs no probe.
constexpr Duration    kProbeAfter = 500;

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

// Scanning -------------------------------------------------------------------

void TurnReader::Scan(int partition, ScanDone done, std::string wanted) {
  ScanState& scan = ScanOf(partition);
  // Probes look for the return of a partition; a question would only wait for a
  // timeout before the peers are asked.
  if (scan.health->unavailable()) {
    done(false);
    return;
  }
  scan.waiting.push_back({std::move(done), std::move(wanted)});
  if (!scan.busy) Begin(partition);
}

void TurnReader::Begin(int partition) {
  ScanState& scan = ScanOf(partition);
  scan.busy = true;
  scan.taken = 0;
  scan.plan.Begin();
  ReadPart(partition);
}

// Whoever asks before a look at the end of the partition is served by it.
void TurnReader::TakeWaiting(ScanState* scan) {
  for (Question& question : scan->waiting) {
    scan->served.push_back(std::move(question));
  }
  scan->waiting.clear();
}

void TurnReader::AnswerFound(ScanState* scan) {
  const auto found = std::stable_partition(
      scan->served.begin(), scan->served.end(), [this](const Question& each) {
        return each.wanted.empty() || !m_history->Holds(each.wanted);
      });
  const std::vector<Question> answered(
      std::make_move_iterator(found),
      std::make_move_iterator(scan->served.end()));
  scan->served.erase(found, scan->served.end());
  for (const Question& question : answered) question.done(false);
}

void TurnReader::ReadPart(int partition, bool again) {
  ScanState& scan = ScanOf(partition);
  if (scan.plan.at_end()) TakeWaiting(&scan);
  const Time         began = m_loop->now();
  const std::int64_t from = scan.plan.from();
  m_store->Read(
      Topic::kTurns, partition, {from, m_pace.bytes()},
      m_thresholds->log_timeout,
      [this, partition, again, began, from,
       &scan](const StoreResult<ReadPage>& result) {
        if (!result && result.error().failure == StoreFailure::kExpired) {
          SkipTo(partition, from, result.error().first);
          return;
        }
        const Duration took = m_loop->now() - began;
        const bool     in_time = took < m_thresholds->log_timeout;
        if (result) {
          m_pace.OnReply(took);
        } else if (!in_time) {
          m_pace.OnTimeout();
        }
        // A kept connection that was dropped ends a read at once, and says
        // nothing of the log. One that timed out is not repeated: after a
        // restart of all nodes the log is busy, and a page read twice keeps it
        // so.
        const bool at_once = took < m_thresholds->log_timeout / 2;
        if (!result && at_once && !again &&
            result.error().failure == StoreFailure::kUnknown) {
          ReadPart(partition, true);
          return;
        }
        scan.health->Observe(result.has_value(), "read");
        if (result) {
          TakePage(partition, *result);
        } else {
          End(partition, false);
        }
      });
}

// The log deletes records that are old, or too many. If they were too many, a
// turn among them may still be owed; after a turn's retention none is.
void TurnReader::SkipTo(int partition, std::int64_t from, std::int64_t first) {
  ScanState& scan = ScanOf(partition);
  scan.health->Observe(true, "read");
  if (first <= from) {
    End(partition, false);
    return;
  }
  if (scan.plan.OnRecordsDeleted(first)) {
    scan.sure_from = m_loop->now() + m_retention + kRetentionSlack;
  }
  ReadPart(partition);
}

void TurnReader::TakePage(int partition, const ReadPage& page) {
  ScanState& scan = ScanOf(partition);
  const bool at_end = scan.plan.at_end();
  const auto from = scan.plan.from();
  for (const LogRecord& record : page.records) Take(partition, record);
  scan.taken += page.records.size();
  // An answer from before what was read already, or records that are there and
  // do not come: neither rules a turn out.
  const bool stale = page.end < from;
  const bool withheld = page.records.empty() && (!at_end || from < page.end);
  if (stale || withheld) {
    End(partition, false);
    return;
  }
  scan.plan.OnPageRead(page.next, page.end,
                       static_cast<std::int64_t>(page.records.size()));
  if (scan.plan.complete()) {
    End(partition, true);
  } else {
    AnswerFound(&scan);
    ReadPart(partition);
  }
}

void TurnReader::End(int partition, bool complete) {
  ScanState& scan = ScanOf(partition);
  const bool sure = complete && m_loop->now() >= scan.sure_from;
  const auto served = std::exchange(scan.served, {});
  scan.busy = false;
  m_log->Write(LogEvent::kScan, {{"partition", partition},
                                 {"complete", sure ? "yes" : "no"},
                                 {"offset", scan.plan.from()},
                                 {"end", scan.plan.end()},
                                 {"records", scan.taken},
                                 {"questions", served.size()}});
  // Whoever asked while this scan ran needs one that starts now.
  if (!scan.waiting.empty()) Begin(partition);
  for (const Question& question : served) question.done(sure);
}

void TurnReader::Take(int partition, const LogRecord& record) {
  auto read = programs::DecodeTurn(record.value);
  if (!read) {
    m_log->Write(LogEvent::kFault,
                 {{"what", "undecodable turn"}, {"offset", record.offset}});
    // It may be the one that somebody will ask for.
    ScanOf(partition).sure_from = m_loop->now() + m_retention + kRetentionSlack;
    return;
  }
  const Time  until = m_loop->now() + kPlaceMemory;
  const Piece piece{record.offset, record.value.size() + kRecordOverhead};
  if (read->parts == 1) {
    Keep(std::move(read->turn), {partition, {piece}, until});
    return;
  }
  const std::pair key(partition, read->turn.id);
  Pieces&         pieces = m_pieces[key];
  pieces.place.partition = partition;
  pieces.place.until = until;
  if (!pieces.parts.emplace(read->part, std::move(read->turn)).second) return;
  pieces.place.pieces.push_back(piece);
  if (pieces.parts.size() < read->parts) return;
  const Pieces   all = std::move(m_pieces.extract(key).mapped());
  programs::Turn whole = all.parts.begin()->second;
  for (auto part = std::next(all.parts.begin()); part != all.parts.end();
       ++part) {
    whole.input += part->second.input;
    whole.output += part->second.output;
  }
  Keep(std::move(whole), all.place);
}

void TurnReader::Keep(programs::Turn turn, Place place) {
  m_places.insert_or_assign(turn.id, std::move(place));
  m_history->Add(std::move(turn), m_loop->now(), m_retention + kRetentionSlack);
}

// Fetching -------------------------------------------------------------------

void TurnReader::Fetch(const std::string&           id,
                       const std::function<void()>& done) {
  const auto found = m_places.find(id);
  if (found == m_places.end()) {
    done();
    return;
  }
  FetchPart(id, found->second, 0, done);
}

void TurnReader::FetchPart(const std::string& id, const Place& place,
                           std::size_t                  part,
                           const std::function<void()>& done) {
  if (part == place.pieces.size() || m_history->Holds(id)) {
    // Not what lay there: a scan has to find it.
    if (!m_history->Holds(id)) m_places.erase(id);
    done();
    return;
  }
  if (IsUnavailable(place.partition)) {
    done();
    return;
  }
  m_store->Read(
      Topic::kTurns, place.partition,
      {place.pieces[part].offset, place.pieces[part].bytes, 0,
       platform::CallKind::kFetch},
      m_thresholds->log_timeout,
      [this, id, place, part, done](const StoreResult<ReadPage>& result) {
        const bool gone =
            !result && result.error().failure == StoreFailure::kExpired;
        ScanOf(place.partition)
            .health->Observe(result.has_value() || gone, "fetch");
        if (gone) m_places.erase(id);
        if (!result || result->records.empty()) {
          done();
          return;
        }
        Take(place.partition, result->records.front());
        FetchPart(id, place, part + 1, done);
      });
}

// Health ---------------------------------------------------------------------

bool TurnReader::IsUnavailable(int partition) const {
  return m_scans[static_cast<std::size_t>(partition)].health->unavailable();
}

Duration TurnReader::UnavailableFor() const {
  Duration least = m_scans.front().health->UnavailableFor();
  for (const ScanState& scan : m_scans) {
    least = std::min(least, scan.health->UnavailableFor());
  }
  return least;
}

void TurnReader::Probe() {
  for (int i = 0; i < kTurnPartitions; ++i) {
    if (ScanOf(i).health->IdleFor(kProbeAfter)) ProbePartition(i);
  }
}

// Asks for next to nothing. All nodes look at the same time, when some of them
// lose the log or all do: pages of 256 KB took 64 of the log's 80 MB/s from 88
// nodes, until no read of any node was answered in time and each was asked
// again.
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
                  const bool gone = !result && result.error().failure ==
                                                   StoreFailure::kExpired;
                  if (result) scan.probed_end = result->end;
                  scan.health->Observe(result.has_value() || gone, "probe");
                });
}

void TurnReader::Sweep() {
  const Time now = m_loop->now();
  const auto old = [now](const auto& entry) {
    return entry.second.until < now;
  };
  std::erase_if(m_places, old);
  std::erase_if(m_pieces, [now](const auto& entry) {
    return entry.second.place.until < now;
  });
  for (int i = 0; i < kTurnPartitions; ++i) {
    if (IsUnavailable(i)) ProbePartition(i);
  }
}

}  // namespace yuccawick::gateway

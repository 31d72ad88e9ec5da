#include "yuccawick/gateway/turn_keeper.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "yuccawick/programs/record.h"

// Index: Finding, Keeping.

namespace yuccawick::gateway {
namespace {

using platform::LogRecord;
using platform::ReadPage;
using platform::StoreFailure;
using platform::StoreResult;
using platform::Topic;

// Turns are kept longer than a client may name them, so that answers on the way
// and the time of a search do not matter.
constexpr Duration kRetentionSlack = 15'000;  // ms
constexpr double   kMillisPerSecond = 1000.0;

int PartitionOf(const std::string& program) {
  return static_cast<int>(XXH3_64bits(program.data(), program.size()) %
                          kTurnPartitions);
}

}  // namespace

TurnKeeper::TurnKeeper(net::EventLoop* loop, const Thresholds* thresholds,
                       platform::RecordLog* store, Log* log, Metrics* metrics)
    : m_loop(loop),
      m_thresholds(thresholds),
      m_store(store),
      m_log(log),
      m_metrics(metrics),
      m_scans(kTurnPartitions) {
  for (int i = 0; i < kTurnPartitions; ++i) {
    auto& health = m_scans[static_cast<std::size_t>(i)].health;
    health = std::make_unique<LogHealth>(loop, thresholds, log, metrics,
                                         "turns " + std::to_string(i));
    m_appenders.emplace_back(loop, thresholds, store, health.get(),
                             Topic::kTurns, i);
  }
}

// Finding --------------------------------------------------------------------

void TurnKeeper::Find(const std::string& id, const std::string& program,
                      FindDone done) {
  // A turn usually continues one of its own program, whose partition is known.
  const Question question{id, PartitionOf(program), std::move(done)};
  Search(question);
}

void TurnKeeper::Search(const Question& question) {
  const std::string missing = m_history.Missing(question.id);
  if (missing.empty()) {
    question.done(FindOutcome::kFound);
    return;
  }
  LookIn(question.partition, missing, [this, question, missing](bool complete) {
    const std::string left = m_history.Missing(question.id);
    if (left == missing) {
      SearchElsewhere(question, missing, complete);
    } else {
      Search(question);
    }
  });
}

void TurnKeeper::SearchElsewhere(const Question&    question,
                                 const std::string& missing,
                                 bool               first_complete) {
  auto       open = std::make_shared<int>(kTurnPartitions - 1);
  auto       complete = std::make_shared<bool>(first_complete);
  const auto end = [this, question, missing, complete] {
    if (m_history.Missing(question.id) == missing) {
      AskPeers(question, missing, *complete);
    } else {
      // An ancestor may lie in yet another partition.
      Search(question);
    }
  };
  for (int i = 0; i < kTurnPartitions; ++i) {
    if (i == question.partition) continue;
    LookIn(i, missing, [open, complete, end](bool whole) {
      *complete = *complete && whole;
      if (--*open == 0) end();
    });
  }
}

void TurnKeeper::AskPeers(const Question& question, const std::string& missing,
                          bool log_complete) {
  m_peers->AskForTurn(missing, [this, question, missing,
                                log_complete](const TurnPeers::Search& search) {
    TakeCopies(search.turns);
    // The node that finished a turn holds it beside its copies.
    const bool ruled_out = log_complete && search.silent <= kTurnCopies;
    m_log->Write(LogEvent::kScan, {{"asked_for", question.id},
                                   {"missing", missing},
                                   {"complete", log_complete ? "yes" : "no"},
                                   {"turns_found", search.turns.size()},
                                   {"nodes_silent", search.silent}});
    if (m_history.Missing(question.id) != missing) {
      Search(question);
    } else {
      question.done(ruled_out ? FindOutcome::kUnknown : FindOutcome::kUnsure);
    }
  });
}

void TurnKeeper::TakeCopies(const std::vector<programs::Turn>& turns) {
  for (const programs::Turn& turn : turns) {
    m_history.Add(turn, m_loop->now(), m_retention + kRetentionSlack);
  }
}

void TurnKeeper::LookIn(int partition, const std::string& id,
                        std::function<void(bool)> done) {
  const auto answered = [this, partition,
                         done](const TurnPeers::Lookup& lookup) {
    TakeCopies(lookup.turns);
    if (lookup.answered && lookup.complete) {
      done(true);
    } else {
      ScanPartition(partition, done);
    }
  };
  if (!m_peers->AskReader(partition, id, answered)) {
    ScanPartition(partition, std::move(done));
  }
}

void TurnKeeper::ScanPartition(int partition, std::function<void(bool)> done) {
  Scan& scan = m_scans[static_cast<std::size_t>(partition)];
  // Probes look for the return of a partition; a question would only wait for a
  // timeout before the peers are asked.
  if (scan.health->away()) {
    done(false);
    return;
  }
  scan.waiting.push_back(std::move(done));
  if (!scan.busy) BeginScan(partition);
}

void TurnKeeper::Sweep() {
  m_history.Expire(m_loop->now());
  for (int i = 0; i < kTurnPartitions; ++i) {
    const Scan& scan = m_scans[static_cast<std::size_t>(i)];
    if (scan.health->away() && !scan.busy) BeginScan(i);
  }
}

void TurnKeeper::BeginScan(int partition) {
  Scan& scan = m_scans[static_cast<std::size_t>(partition)];
  scan.busy = true;
  scan.served = std::exchange(scan.waiting, {});
  scan.taken = 0;
  ReadPart(partition);
}

void TurnKeeper::ReadPart(int partition) {
  Scan& scan = m_scans[static_cast<std::size_t>(partition)];
  m_store->Read(
      Topic::kTurns, partition, scan.next, 0, m_thresholds->log_timeout,
      [this, partition, &scan](const StoreResult<ReadPage>& result) {
        if (!result && result.error().failure == StoreFailure::kExpired) {
          scan.next = result.error().first;
          ReadPart(partition);
          return;
        }
        scan.health->Note(result.has_value(), "read");
        if (!result) {
          EndScan(partition, false);
          return;
        }
        TakeTurns(result->records);
        scan.end = result->end;
        scan.taken += result->records.size();
        scan.next = std::max(scan.next, result->next);
        if (scan.next >= result->end) {
          EndScan(partition, true);
        } else if (result->records.empty()) {
          // Records that are there and do not come: no turn is ruled out.
          EndScan(partition, false);
        } else {
          ReadPart(partition);
        }
      });
}

void TurnKeeper::EndScan(int partition, bool complete) {
  Scan&      scan = m_scans[static_cast<std::size_t>(partition)];
  const auto served = std::exchange(scan.served, {});
  scan.busy = false;
  m_log->Write(LogEvent::kScan, {{"partition", partition},
                                 {"complete", complete ? "yes" : "no"},
                                 {"offset", scan.next},
                                 {"end", scan.end},
                                 {"records", scan.taken},
                                 {"questions", served.size()}});
  // Whoever asked while this search ran needs one that starts now.
  if (!scan.waiting.empty()) BeginScan(partition);
  for (const auto& done : served) done(complete);
}

void TurnKeeper::TakeTurns(const std::vector<LogRecord>& records) {
  for (const LogRecord& record : records) {
    auto turn = programs::DecodeTurn(record.value);
    if (!turn) {
      m_log->Write(LogEvent::kFault,
                   {{"what", "undecodable turn"}, {"offset", record.offset}});
      continue;
    }
    m_history.Add(std::move(*turn), m_loop->now(),
                  m_retention + kRetentionSlack);
  }
}

// Keeping --------------------------------------------------------------------

int TurnKeeper::PlaceFor(const programs::Turn& turn) const {
  const int own = PartitionOf(turn.program);
  for (int i = 0; i < kTurnPartitions; ++i) {
    const int partition = (own + i) % kTurnPartitions;
    if (!m_scans[static_cast<std::size_t>(partition)].health->away()) {
      return partition;
    }
  }
  return own;
}

void TurnKeeper::Append(const programs::Turn& turn, int partition,
                        Appender::Done done) {
  ++m_unkept;
  m_appenders[static_cast<std::size_t>(partition)].Add(
      programs::EncodeTurn(turn), true,
      [this, done = std::move(done)](const Appender::Result& result) {
        --m_unkept;
        done(result);
      });
}

void TurnKeeper::Keep(const programs::Turn& turn, Duration retention,
                      KeepDone done) {
  const Time began = m_loop->now();
  m_history.Add(turn, began, retention + kRetentionSlack);
  auto       open = std::make_shared<bool>(true);
  const auto settle = [this, began, open,
                       done = std::move(done)](const Kept& kept) {
    if (!std::exchange(*open, false)) return;
    m_metrics->CountTurnKept(kept.in_log);
    m_metrics->ObserveTurnKept(static_cast<double>(m_loop->now() - began) /
                               kMillisPerSecond);
    done(kept);
  };
  const auto in_log = [settle](int partition) {
    return [settle, partition](const Appender::Result& result) {
      settle({true, partition, result->offset});
    };
  };
  const int first = PlaceFor(turn);
  Append(turn, first, in_log(first));
  const bool away = m_scans[static_cast<std::size_t>(first)].health->away();
  m_loop->After(away ? 0 : m_thresholds->log_patience,
                [this, turn, retention, first, open, settle, in_log] {
                  if (!*open) return;
                  const int second = PlaceFor(turn);
                  // A turn that lies in the log twice is the same turn.
                  if (second != first) Append(turn, second, in_log(second));
                  m_peers->CopyTurn(turn, retention, [settle](bool copied) {
                    if (copied) settle({});
                  });
                });
}

void TurnKeeper::KeepCopy(const programs::Turn& turn, Duration retention) {
  if (m_history.Holds(turn.id)) return;
  m_history.Add(turn, m_loop->now(), retention + kRetentionSlack);
  // The sender appends it as well; a turn that lies in the log twice is the
  // same turn, and this copy counts if the sender dies first.
  Append(turn, PlaceFor(turn), [](const Appender::Result&) {});
}

}  // namespace yuccawick::gateway

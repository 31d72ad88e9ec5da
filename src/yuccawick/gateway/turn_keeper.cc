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
  Search({id, PartitionOf(program), false, std::move(done)});
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
      EndSearch(question, missing, *complete);
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

// Only the log can rule a turn out, and only the turn that was asked for: that
// an ancestor is not at hand says that it has left this node's memory since it
// was read, so it is read again.
void TurnKeeper::EndSearch(Question question, const std::string& missing,
                           bool complete) {
  m_log->Write(LogEvent::kScan, {{"asked_for", question.id},
                                 {"missing", missing},
                                 {"complete", complete ? "yes" : "no"}});
  if (!complete) {
    AskPeers(question, missing);
  } else if (missing == question.id) {
    question.done(FindOutcome::kUnknown);
  } else if (!question.reread) {
    question.reread = true;
    for (Scan& scan : m_scans) scan.next = 0;
    Search(question);
  } else {
    question.done(FindOutcome::kUnsure);
  }
}

void TurnKeeper::AskPeers(const Question&    question,
                          const std::string& missing) {
  m_peers->AskForTurn(missing,
                      [this, question, missing](const TurnPeers::Turns& turns) {
                        TakeCopies(turns);
                        if (m_history.Missing(question.id) != missing) {
                          Search(question);
                        } else {
                          question.done(FindOutcome::kUnsure);
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
        if (result->end < scan.next) {
          // An answer from before what was read already: it rules nothing out.
          EndScan(partition, false);
          return;
        }
        scan.next = result->next;
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

bool TurnKeeper::Away(int partition) const {
  return m_scans[static_cast<std::size_t>(partition)].health->away();
}

Duration TurnKeeper::AwayFor() const {
  Duration least = m_scans.front().health->AwayFor();
  for (const Scan& scan : m_scans) {
    least = std::min(least, scan.health->AwayFor());
  }
  return least;
}

bool TurnKeeper::MayKeep() const {
  for (int i = 0; i < kTurnPartitions; ++i) {
    if (!Away(i)) return true;
  }
  return m_peers->AnyReachesLog();
}

int TurnKeeper::PlaceFrom(int first) const {
  for (int i = 0; i < kTurnPartitions; ++i) {
    const int partition = (first + i) % kTurnPartitions;
    if (!Away(partition)) return partition;
  }
  return first;
}

int TurnKeeper::PlaceFor(const programs::Turn& turn) const {
  return PlaceFrom(PartitionOf(turn.program));
}

void TurnKeeper::Append(const programs::Turn& turn, int partition, bool insist,
                        Appender::Done done) {
  ++m_unkept;
  m_appenders[static_cast<std::size_t>(partition)].Add(
      programs::EncodeTurn(turn), insist,
      [this, done = std::move(done)](const Appender::Result& result) {
        --m_unkept;
        done(result);
      });
}

void TurnKeeper::Settle(const std::shared_ptr<Keeping>& keeping,
                        const Kept&                     kept) {
  if (!std::exchange(keeping->open, false)) return;
  m_history.Add(keeping->turn, m_loop->now(),
                keeping->retention + kRetentionSlack);
  m_metrics->CountTurnKept(kept.by_peer);
  m_metrics->ObserveTurnKept(
      static_cast<double>(m_loop->now() - keeping->began) / kMillisPerSecond);
  std::exchange(keeping->done, nullptr)(kept);
}

void TurnKeeper::Send(const std::shared_ptr<Keeping>& keeping) {
  const int partition = keeping->partition;
  keeping->tried.insert(partition);
  Append(keeping->turn, partition, true,
         [this, keeping, partition](const Appender::Result& result) {
           Settle(keeping, {partition, result->offset});
         });
}

void TurnKeeper::Keep(const programs::Turn& turn, Duration retention,
                      KeepDone done) {
  const auto keeping = std::make_shared<Keeping>(Keeping{turn,
                                                         retention,
                                                         m_loop->now(),
                                                         PlaceFor(turn),
                                                         {},
                                                         true,
                                                         std::move(done)});
  Send(keeping);
  m_loop->After(Away(keeping->partition) ? 0 : m_thresholds->log_patience,
                [this, keeping] { TryElsewhere(keeping); });
}

// Another partition, then a node that the log may answer. Partitions fail one
// by one, and that this one does is known only after a timeout: so the next one
// is taken whatever is known of this one. A turn that lies in the log twice is
// the same turn.
void TurnKeeper::TryElsewhere(const std::shared_ptr<Keeping>& keeping) {
  const bool given_up =
      m_loop->now() - keeping->began > m_thresholds->relay_patience;
  if (!keeping->open || given_up) return;
  const auto again = [this, keeping](Duration pause) {
    m_loop->After(pause, [this, keeping] { TryElsewhere(keeping); });
  };
  const int next = PlaceFrom((keeping->partition + 1) % kTurnPartitions);
  if (!Away(next) && !keeping->tried.contains(next)) {
    keeping->partition = next;
    Send(keeping);
    again(m_thresholds->log_patience);
    return;
  }
  m_peers->AppendFor(keeping->turn, keeping->retention,
                     [this, keeping, again](std::optional<Kept> kept) {
                       if (kept) {
                         Settle(keeping, *kept);
                       } else {
                         again(m_thresholds->relay_pause);
                       }
                     });
}

void TurnKeeper::KeepFor(const programs::Turn& turn, Duration retention,
                         TurnPeers::AppendDone done) {
  const int partition = PlaceFor(turn);
  Append(turn, partition, false,
         [this, turn, retention, partition,
          done = std::move(done)](const Appender::Result& result) {
           if (!result) {
             done(std::nullopt);
             return;
           }
           m_history.Add(turn, m_loop->now(), retention + kRetentionSlack);
           done(Kept{partition, result->offset});
         });
}

}  // namespace yuccawick::gateway

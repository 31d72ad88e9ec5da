#include "yuccawick/gateway/turn_store.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace yuccawick::gateway {
namespace {

using platform::Topic;

constexpr double kMillisPerSecond = 1000.0;

int PartitionOf(const std::string& program) {
  return static_cast<int>(XXH3_64bits(program.data(), program.size()) %
                          kTurnPartitions);
}

}  // namespace

TurnStore::TurnStore(net::EventLoop* loop, const Thresholds* thresholds,
                     platform::RecordLog* store, Log* log, Metrics* metrics,
                     const std::string& incarnation)
    : m_loop(loop),
      m_thresholds(thresholds),
      m_log(log),
      m_metrics(metrics),
      m_reader(loop, thresholds, store, log, &m_history) {
  for (int i = 0; i < kTurnPartitions; ++i) {
    m_appenders.emplace_back(loop, thresholds, store, m_reader.health(i),
                             Topic::kTurns, i, incarnation);
  }
}

void TurnStore::Sweep() {
  m_history.Expire(m_loop->now());
  m_reader.Sweep();
}

// Find -----------------------------------------------------------------------

void TurnStore::Find(const std::string& id, const std::string& program,
                     FindDone done) {
  // The previous turn usually belongs to the same program.
  Search({id, PartitionOf(program), std::move(done)});
}

void TurnStore::Search(const FindRequest& request) {
  const std::string missing = m_history.Missing(request.id);
  if (missing.empty()) {
    request.done(FindOutcome::kFound);
  } else if (m_history.Holds(missing)) {
    // A cycle: a client reused an id, so that turns name each other as
    // previous.
    request.done(FindOutcome::kUnsure);
  } else if (m_reader.KnowsPositionOf(missing)) {
    m_reader.Fetch(missing, [this, request, missing] {
      if (m_history.Holds(missing)) {
        Search(request);
      } else {
        RequestFromPeers(request, missing);
      }
    });
  } else {
    SearchOwnPartition(request, missing);
  }
}

void TurnStore::SearchOwnPartition(const FindRequest& request,
                                   const std::string& missing) {
  const auto on_searched = [this, request, missing](bool complete) {
    if (m_history.Missing(request.id) == missing) {
      SearchOthers(request, missing, complete);
    } else {
      Search(request);
    }
  };
  SearchPartition({request.partition, missing, on_searched});
}

void TurnStore::SearchOthers(const FindRequest& request,
                             const std::string& missing, bool first_complete) {
  auto       pending_searches = std::make_shared<int>(kTurnPartitions - 1);
  auto       complete = std::make_shared<bool>(first_complete);
  const auto end = [this, request, missing, complete] {
    if (m_history.Missing(request.id) == missing) {
      EndSearch(request, missing, *complete);
    } else {
      // The next ancestor may lie in yet another partition.
      Search(request);
    }
  };
  for (int i = 0; i < kTurnPartitions; ++i) {
    if (i == request.partition) continue;
    const auto on_searched = [pending_searches, complete,
                              end](bool scan_complete) {
      *complete = *complete && scan_complete;
      if (--*pending_searches == 0) end();
    };
    SearchPartition({i, missing, on_searched});
  }
}

// If the missing turn is the requested one, a complete scan proves that it does
// not exist. If an ancestor is missing, the scan does not prove that: the log
// may have deleted the ancestor, so peers are searched for it.
void TurnStore::EndSearch(const FindRequest& request,
                          const std::string& missing, bool complete) {
  m_log->Write(LogEvent::kScan, {{"asked_for", request.id},
                                 {"missing", missing},
                                 {"complete", complete ? "yes" : "no"}});
  if (complete && missing == request.id) {
    request.done(FindOutcome::kUnknown);
  } else {
    RequestFromPeers(request, missing);
  }
}

void TurnStore::RequestFromPeers(const FindRequest& request,
                                 const std::string& missing) {
  m_peers->RequestTurn(missing,
                       [this, request, missing](const TurnPeers::Turns& turns) {
                         AddTurns(turns);
                         if (m_history.Missing(request.id) != missing) {
                           Search(request);
                         } else {
                           request.done(FindOutcome::kUnsure);
                         }
                       });
}

void TurnStore::AddTurns(const std::vector<programs::Turn>& turns) {
  for (const programs::Turn& turn : turns) {
    m_history.Add(turn, m_loop->now(), m_reader.retention() + kRetentionSlack);
  }
}

void TurnStore::SearchPartition(const PartitionSearch& search) {
  const auto on_lookup = [this, search](const TurnPeers::Lookup& lookup) {
    OnLookup(search, lookup);
  };
  switch (m_peers->RequestLookup(search.partition, search.id, search.rank,
                                 on_lookup)) {
    case ReaderLocation::kOtherNode:
      break;
    case ReaderLocation::kThisNode:
      ScanHere(search);
      break;
    case ReaderLocation::kNone:
      search.done(false);
      break;
  }
}

void TurnStore::SearchNextReader(PartitionSearch search) {
  ++search.rank;
  search.tries = kReaderRetries;
  SearchPartition(search);
}

void TurnStore::OnLookup(const PartitionSearch&   search,
                         const TurnPeers::Lookup& lookup) {
  AddTurns(lookup.turns);
  if (lookup.answered && (lookup.complete || m_history.Holds(search.id))) {
    search.done(lookup.complete);
  } else if (lookup.reading && search.tries > 0) {
    PartitionSearch retry = search;
    --retry.tries;
    SearchPartition(retry);
  } else {
    SearchNextReader(search);
  }
}

void TurnStore::ScanHere(const PartitionSearch& search) {
  m_reader.Scan(
      search.partition,
      [this, search](bool complete) {
        if (complete || m_history.Holds(search.id)) {
          search.done(complete);
        } else {
          SearchNextReader(search);
        }
      },
      search.id);
}

// Persist --------------------------------------------------------------------

bool TurnStore::CanPersist() const {
  return m_reader.UnavailableFor() == 0 || m_peers->AnyReachesLog();
}

int TurnStore::ChoosePartition(int first) const {
  for (int i = 0; i < kTurnPartitions; ++i) {
    const int partition = (first + i) % kTurnPartitions;
    if (!m_reader.IsUnavailable(partition)) return partition;
  }
  return first;
}

void TurnStore::Append(const programs::Turn& turn, int partition,
                       const Appender::Wanted& wanted, AppendedCallback done) {
  const auto records = programs::EncodeTurn(turn);
  auto       remaining = std::make_shared<std::size_t>(records.size());
  auto       position =
      std::make_shared<std::optional<LogPosition>>(LogPosition{partition});
  const auto appended = [remaining, position, done = std::move(done)](
                            const Appender::Result& result) {
    if (!result) {
      position->reset();
    } else if (*position && (*position)->offset < 0) {
      (*position)->offset = result->offset;
    }
    if (--*remaining == 0) done(*position);
  };
  Appender& appender = m_appenders[static_cast<std::size_t>(partition)];
  for (const std::string& record : records) {
    appender.Add(record, appended, wanted);
  }
}

void TurnStore::EndAttempts(const PendingPersistPtr& pending) {
  if (!std::exchange(pending->active, false)) return;
  --m_pending_persists;
  pending->done = nullptr;
}

void TurnStore::FinishPersist(const PendingPersistPtr& pending,
                              const LogPosition&       position) {
  if (!pending->active) return;
  const PersistDone done = std::move(pending->done);
  EndAttempts(pending);
  m_history.Add(pending->turn, m_loop->now(),
                pending->retention + kRetentionSlack);
  m_metrics->CountTurnPersisted(position.by_peer);
  m_metrics->ObserveTurnPersisted(
      static_cast<double>(m_loop->now() - pending->started) / kMillisPerSecond);
  done(position);
}

void TurnStore::SendAppend(const PendingPersistPtr& pending) {
  pending->tried.insert(pending->partition);
  Append(
      pending->turn, pending->partition, [pending] { return pending->active; },
      [this, pending](std::optional<LogPosition> position) {
        if (position) FinishPersist(pending, *position);
      });
}

void TurnStore::Persist(const programs::Turn& turn, Duration retention,
                        Time deadline, PersistDone done) {
  const int  partition = ChoosePartition(PartitionOf(turn.program));
  const Time now = m_loop->now();
  const auto pending = std::make_shared<PendingPersist>(PendingPersist{
      turn, retention, now, partition, {}, 0, true, std::move(done)});
  ++m_pending_persists;
  SendAppend(pending);
  m_loop->After(
      m_reader.IsUnavailable(partition) ? 0 : m_thresholds->log_patience,
      [this, pending] { RetryElsewhere(pending); });
  m_loop->After(std::max<Duration>(0, deadline - now),
                [this, pending] { EndAttempts(pending); });
}

// Tries another partition and, from the second call on, other nodes. Partitions
// fail independently, and a failure is known only after a timeout, so the next
// partition is tried whatever the state of the current one. Duplicate copies of
// a turn in the log are harmless.
void TurnStore::RetryElsewhere(const PendingPersistPtr& pending) {
  if (!pending->active) return;
  const auto retry = [this, pending](Duration pause) {
    m_loop->After(pause, [this, pending] { RetryElsewhere(pending); });
  };
  const int next_partition =
      ChoosePartition((pending->partition + 1) % kTurnPartitions);
  const bool try_next = !m_reader.IsUnavailable(next_partition) &&
                        !pending->tried.contains(next_partition);
  if (try_next) {
    pending->partition = next_partition;
    SendAppend(pending);
  }
  if (try_next && pending->tried.size() == 2) {
    retry(m_thresholds->log_patience);
    return;
  }
  m_peers->AppendFor(
      pending->turn, pending->retention, pending->relay_attempts++,
      [this, pending, retry](std::optional<LogPosition> position) {
        if (position) {
          FinishPersist(pending, *position);
        } else {
          retry(m_thresholds->relay_pause);
        }
      });
}

void TurnStore::PersistForPeer(const programs::Turn& turn, Duration retention,
                               TurnPeers::AppendDone done) {
  auto       waiting = std::make_shared<TurnPeers::AppendDone>(std::move(done));
  const auto respond = [waiting](std::optional<LogPosition> position) {
    if (const auto callback = std::exchange(*waiting, nullptr))
      callback(position);
  };
  // Respond before the requester times out and suspects this node.
  m_loop->After(m_thresholds->relay_answer,
                [respond] { respond(std::nullopt); });
  Append(
      turn, ChoosePartition(PartitionOf(turn.program)),
      [waiting] { return *waiting != nullptr; },
      [this, turn, retention, respond](std::optional<LogPosition> position) {
        if (position) {
          m_history.Add(turn, m_loop->now(), retention + kRetentionSlack);
        }
        respond(position);
      });
}

}  // namespace yuccawick::gateway

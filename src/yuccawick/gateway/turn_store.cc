#include "yuccawick/gateway/turn_store.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

// Index: Finding, Keeping.

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

// Finding --------------------------------------------------------------------

void TurnStore::Find(const std::string& id, const std::string& program,
                     FindDone done) {
  // A turn usually continues one of its own program, whose partition is known.
  Search({id, PartitionOf(program), std::move(done)});
}

void TurnStore::Search(const Question& question) {
  const std::string missing = m_history.Missing(question.id);
  if (missing.empty()) {
    question.done(FindOutcome::kFound);
  } else if (m_history.Holds(missing)) {
    // Turns that name each other, because a client used an id twice.
    question.done(FindOutcome::kUnsure);
  } else if (m_reader.KnowsPositionOf(missing)) {
    m_reader.Fetch(missing, [this, question, missing] {
      if (m_history.Holds(missing)) {
        Search(question);
      } else {
        AskPeers(question, missing);
      }
    });
  } else {
    SearchOwnPartition(question, missing);
  }
}

void TurnStore::SearchOwnPartition(const Question&    question,
                                   const std::string& missing) {
  const auto looked = [this, question, missing](bool complete) {
    if (m_history.Missing(question.id) == missing) {
      SearchOthers(question, missing, complete);
    } else {
      Search(question);
    }
  };
  LookIn({question.partition, missing, looked});
}

void TurnStore::SearchOthers(const Question&    question,
                             const std::string& missing, bool first_complete) {
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
    const auto looked = [open, complete, end](bool whole) {
      *complete = *complete && whole;
      if (--*open == 0) end();
    };
    LookIn({i, missing, looked});
  }
}

// Only the log can rule a turn out, and only the one that was asked for: an
// ancestor that the log does not have any more says nothing about it.
void TurnStore::EndSearch(const Question& question, const std::string& missing,
                          bool complete) {
  m_log->Write(LogEvent::kScan, {{"asked_for", question.id},
                                 {"missing", missing},
                                 {"complete", complete ? "yes" : "no"}});
  if (complete && missing == question.id) {
    question.done(FindOutcome::kUnknown);
  } else {
    AskPeers(question, missing);
  }
}

void TurnStore::AskPeers(const Question& question, const std::string& missing) {
  m_peers->AskForTurn(missing,
                      [this, question, missing](const TurnPeers::Turns& turns) {
                        TakeTurns(turns);
                        if (m_history.Missing(question.id) != missing) {
                          Search(question);
                        } else {
                          question.done(FindOutcome::kUnsure);
                        }
                      });
}

void TurnStore::TakeTurns(const std::vector<programs::Turn>& turns) {
  for (const programs::Turn& turn : turns) {
    m_history.Add(turn, m_loop->now(), m_reader.retention() + kRetentionSlack);
  }
}

void TurnStore::LookIn(const Look& look) {
  const auto answered = [this, look](const TurnPeers::Lookup& lookup) {
    TakeLookup(look, lookup);
  };
  switch (m_peers->AskReader(look.partition, look.id, look.rank, answered)) {
    case ReaderLocation::kAnother:
      break;
    case ReaderLocation::kSelf:
      ScanHere(look);
      break;
    case ReaderLocation::kNobody:
      look.done(false);
      break;
  }
}

void TurnStore::LookAtNext(Look look) {
  ++look.rank;
  look.tries = kReaderTries;
  LookIn(look);
}

void TurnStore::TakeLookup(const Look& look, const TurnPeers::Lookup& lookup) {
  TakeTurns(lookup.turns);
  if (lookup.answered && (lookup.complete || m_history.Holds(look.id))) {
    look.done(lookup.complete);
  } else if (lookup.reading && look.tries > 0) {
    Look again = look;
    --again.tries;
    LookIn(again);
  } else {
    LookAtNext(look);
  }
}

void TurnStore::ScanHere(const Look& look) {
  m_reader.Scan(
      look.partition,
      [this, look](bool complete) {
        if (complete || m_history.Holds(look.id)) {
          look.done(complete);
        } else {
          LookAtNext(look);
        }
      },
      look.id);
}

// Keeping --------------------------------------------------------------------

bool TurnStore::CanPersist() const {
  return m_reader.UnavailableFor() == 0 || m_peers->AnyReachesLog();
}

int TurnStore::PlaceFrom(int first) const {
  for (int i = 0; i < kTurnPartitions; ++i) {
    const int partition = (first + i) % kTurnPartitions;
    if (!m_reader.IsUnavailable(partition)) return partition;
  }
  return first;
}

void TurnStore::Append(const programs::Turn& turn, int partition,
                       const Appender::Wanted& wanted, PlacedDone done) {
  const auto records = programs::EncodeTurn(turn);
  auto       left = std::make_shared<std::size_t>(records.size());
  auto       kept =
      std::make_shared<std::optional<LogPosition>>(LogPosition{partition});
  const auto appended =
      [left, kept, done = std::move(done)](const Appender::Result& result) {
        if (!result) {
          kept->reset();
        } else if (*kept && (*kept)->offset < 0) {
          (*kept)->offset = result->offset;
        }
        if (--*left == 0) done(*kept);
      };
  Appender& appender = m_appenders[static_cast<std::size_t>(partition)];
  for (const std::string& record : records) {
    appender.Add(record, appended, wanted);
  }
}

void TurnStore::Close(const KeepingPtr& keeping) {
  if (!std::exchange(keeping->open, false)) return;
  --m_unkept;
  keeping->done = nullptr;
}

void TurnStore::Settle(const KeepingPtr& keeping, const LogPosition& kept) {
  if (!keeping->open) return;
  const PersistDone done = std::move(keeping->done);
  Close(keeping);
  m_history.Add(keeping->turn, m_loop->now(),
                keeping->retention + kRetentionSlack);
  m_metrics->CountTurnPersisted(kept.by_peer);
  m_metrics->ObserveTurnPersisted(
      static_cast<double>(m_loop->now() - keeping->began) / kMillisPerSecond);
  done(kept);
}

void TurnStore::Send(const KeepingPtr& keeping) {
  keeping->tried.insert(keeping->partition);
  Append(
      keeping->turn, keeping->partition, [keeping] { return keeping->open; },
      [this, keeping](std::optional<LogPosition> kept) {
        if (kept) Settle(keeping, *kept);
      });
}

void TurnStore::Persist(const programs::Turn& turn, Duration retention,
                        Time until, PersistDone done) {
  const int  place = PlaceFrom(PartitionOf(turn.program));
  const Time now = m_loop->now();
  const auto keeping = std::make_shared<Keeping>(
      Keeping{turn, retention, now, place, {}, 0, true, std::move(done)});
  ++m_unkept;
  Send(keeping);
  m_loop->After(m_reader.IsUnavailable(place) ? 0 : m_thresholds->log_patience,
                [this, keeping] { TryElsewhere(keeping); });
  m_loop->After(std::max<Duration>(0, until - now),
                [this, keeping] { Close(keeping); });
}

// Another partition, and from the second time on other nodes. Partitions fail
// one by one, and that this one does is known only after a timeout: so the next
// one is taken whatever is known of this one. A turn that lies in the log twice
// is the same turn.
void TurnStore::TryElsewhere(const KeepingPtr& keeping) {
  if (!keeping->open) return;
  const auto again = [this, keeping](Duration pause) {
    m_loop->After(pause, [this, keeping] { TryElsewhere(keeping); });
  };
  const int  next = PlaceFrom((keeping->partition + 1) % kTurnPartitions);
  const bool another =
      !m_reader.IsUnavailable(next) && !keeping->tried.contains(next);
  if (another) {
    keeping->partition = next;
    Send(keeping);
  }
  if (another && keeping->tried.size() == 2) {
    again(m_thresholds->log_patience);
    return;
  }
  m_peers->AppendFor(keeping->turn, keeping->retention, keeping->relays++,
                     [this, keeping, again](std::optional<LogPosition> place) {
                       if (place) {
                         Settle(keeping, *place);
                       } else {
                         again(m_thresholds->relay_pause);
                       }
                     });
}

void TurnStore::PersistForPeer(const programs::Turn& turn, Duration retention,
                               TurnPeers::AppendDone done) {
  auto       waiting = std::make_shared<TurnPeers::AppendDone>(std::move(done));
  const auto answer = [waiting](std::optional<LogPosition> kept) {
    if (const auto told = std::exchange(*waiting, nullptr)) told(kept);
  };
  // An asker that hears nothing would take this node for lost.
  m_loop->After(m_thresholds->relay_answer, [answer] { answer(std::nullopt); });
  Append(
      turn, PlaceFrom(PartitionOf(turn.program)),
      [waiting] { return *waiting != nullptr; },
      [this, turn, retention, answer](std::optional<LogPosition> kept) {
        if (kept) {
          m_history.Add(turn, m_loop->now(), retention + kRetentionSlack);
        }
        answer(kept);
      });
}

}  // namespace yuccawick::gateway

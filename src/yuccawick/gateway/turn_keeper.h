// The turns of agent programs as this node serves them: from memory where it
// can, from the platform's log where it must.
//
//   Find  a turn that this node does not hold is looked for in the log. The
//         search starts after the question came. One node of each zone reads
//         a partition for the others: if all read all of it, a restart of every
//         node would keep the log busy for longer than the nodes' recovery.
//         What it does not find may still lie at nodes that finished it while
//         the log was away, so they are asked too. A turn is unknown only if
//         the log was read whole and fewer nodes are silent than hold a turn
//         that the log does not have.
//   Keep  a finished turn is appended to the log before the client sees the end
//         of its answer, to its program's partition or, if that is away, to
//         another: whoever misses a turn searches all. If the whole log is
//         away, copies at two other nodes have to do until it is back; they
//         append it too, in case this node dies.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "yuccawick/gateway/appender.h"
#include "yuccawick/gateway/log_health.h"
#include "yuccawick/programs/turn_history.h"

namespace yuccawick::gateway {

using net::Duration;
using net::Time;

// Partitions of the log that hold turns, by program. Each takes an append every
// two milliseconds with any number of records.
inline constexpr int kTurnPartitions = 4;

enum class FindOutcome : std::uint8_t {
  kFound,
  kUnknown,  // certainly no such turn
  kUnsure,   // the log does not answer, and no peer holds it
};

// Copies that make a turn durable without the log; two losses at once are rarer
// than the outages of the log that they bridge.
inline constexpr std::size_t kTurnCopies = 2;

// What other nodes can do for turns; see peer_service.h.
class TurnPeers {
 public:
  virtual ~TurnPeers() = default;
  struct Search {
    std::vector<programs::Turn> turns;  // it and its ancestors; empty: not held
    std::size_t                 silent = 0;  // nodes that did not answer
  };
  // Asks the others for a turn.
  virtual void AskForTurn(const std::string&                 id,
                          std::function<void(const Search&)> done) = 0;
  // Has the node that reads the partition for this zone look for a turn there.
  // False, and `done` is not called, if that is this node.
  struct Lookup {
    bool                        answered = false;
    bool                        complete = false;  // it read up to the end
    std::vector<programs::Turn> turns;
  };
  virtual bool AskReader(int partition, const std::string& id,
                         std::function<void(const Lookup&)> done) = 0;
  // Has two others keep the turn; `done(true)` once both do.
  virtual void CopyTurn(const programs::Turn& turn, Duration retention,
                        std::function<void(bool)> done) = 0;
};

class TurnKeeper {
 public:
  TurnKeeper(net::EventLoop* loop, const Thresholds* thresholds,
             platform::RecordLog* store, Log* log, Metrics* metrics);
  void SetPeers(TurnPeers* peers) { m_peers = peers; }

  // Makes sure that the chain of the turn is in history().
  using FindDone = std::function<void(FindOutcome)>;
  void Find(const std::string& id, const std::string& program, FindDone done);

  // What the end of the turn's answer rests on.
  struct Kept {
    bool         in_log = false;  // else: copies at peers
    int          partition = -1;  // of the log
    std::int64_t offset = -1;     // of the append that carried it
  };
  using KeepDone = std::function<void(const Kept&)>;
  // `done` once the turn is durable; never, if that cannot be had.
  void Keep(const programs::Turn& turn, Duration retention, KeepDone done);
  // A peer's turn, kept here and appended to the log when it answers.
  void KeepCopy(const programs::Turn& turn, Duration retention);

  // Reads the partition up to its end; `done` with whether that worked.
  void ScanPartition(int partition, std::function<void(bool)> done);

  programs::TurnHistory& history() { return m_history; }
  std::size_t            unkept() const { return m_unkept; }
  // How long turns read from the log are kept, in ms: the longest of the
  // routes.
  void SetRetention(Duration retention) { m_retention = retention; }
  // Forgets old turns and looks for partitions that were away. Call often.
  void Sweep();

 private:
  struct Question {
    std::string id;
    int         partition = 0;  // where it most likely lies
    FindDone    done;
  };
  // Reads one partition up to its end, for those who asked before it began.
  struct Scan {
    std::unique_ptr<LogHealth>             health;
    std::int64_t                           next = 0;
    std::int64_t                           end = 0;    // as last heard
    std::size_t                            taken = 0;  // records, in this scan
    bool                                   busy = false;
    std::vector<std::function<void(bool)>> served;
    std::vector<std::function<void(bool)>> waiting;
  };

  // As ScanPartition, by the node that reads it for this zone if possible.
  void LookIn(int partition, const std::string& id,
              std::function<void(bool)> done);
  void BeginScan(int partition);
  void ReadPart(int partition);
  void EndScan(int partition, bool complete);
  // Looks for the nearest turn of the chain that is not at hand, then for the
  // next: turns of one chain may lie in different partitions.
  void Search(const Question& question);
  void SearchElsewhere(const Question& question, const std::string& missing,
                       bool first_complete);
  void AskPeers(const Question& question, const std::string& missing,
                bool log_complete);
  void TakeCopies(const std::vector<programs::Turn>& turns);
  void TakeTurns(const std::vector<platform::LogRecord>& records);
  // The turn's own partition, or another if that one does not answer.
  int  PlaceFor(const programs::Turn& turn) const;
  void Append(const programs::Turn& turn, int partition, Appender::Done done);

  net::EventLoop*       m_loop;
  const Thresholds*     m_thresholds;
  platform::RecordLog*  m_store;
  Log*                  m_log;
  Metrics*              m_metrics;
  TurnPeers*            m_peers = nullptr;
  programs::TurnHistory m_history;
  std::vector<Appender> m_appenders;   // by partition
  std::vector<Scan>     m_scans;       // by partition
  std::size_t           m_unkept = 0;  // turns of this node not in the log
  Duration              m_retention = 60'000;  // until a manifest says
};

}  // namespace yuccawick::gateway

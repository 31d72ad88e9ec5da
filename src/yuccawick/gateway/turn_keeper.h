// The turns of agent programs as this node serves them: from memory where it
// can, from the platform's log where it must.
//
//   Find  a turn that this node does not hold is looked for in the log. The
//         search starts after the question came. One node of each zone reads
//         a partition for the others: if all read all of it, a restart of every
//         node would keep the log busy for longer than the nodes' recovery.
//         A turn is unknown only if every partition was read up to its end.
//         If the log does not answer, the memories of other nodes are asked:
//         what they hold may be used, what they do not hold proves nothing.
//   Keep  a finished turn is appended to the log before the client sees the end
//         of its answer, to its program's partition or, if that is away, to
//         another: whoever misses a turn searches all. If the log is away for
//         this node, a node that reaches it appends the turn for it. If it is
//         away for all, the end waits: all nodes may lose power at any moment,
//         and a turn that only memories held would be unknown after that,
//         though its client has the whole answer.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
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

// Where the log holds a turn.
struct Kept {
  int          partition = -1;
  std::int64_t offset = -1;      // of the append that carried it
  bool         by_peer = false;  // the log did not answer this node
};

// What other nodes can do for turns; see peer_service.h.
class TurnPeers {
 public:
  virtual ~TurnPeers() = default;
  // Asks the others' memories for a turn; it and its ancestors, or nothing.
  using Turns = std::vector<programs::Turn>;
  virtual void AskForTurn(const std::string&                id,
                          std::function<void(const Turns&)> done) = 0;
  // Has the node that reads the partition for this zone look for a turn there.
  // False, and `done` is not called, if that is this node.
  struct Lookup {
    bool  answered = false;
    bool  complete = false;  // it read up to the end
    Turns turns;
  };
  virtual bool AskReader(int partition, const std::string& id,
                         std::function<void(const Lookup&)> done) = 0;
  // A node that the log seems to answer, as far as is known here.
  virtual bool AnyReachesLog() const = 0;
  // Has such a node append the turn; nothing if there is no such node or it
  // could not.
  using AppendDone = std::function<void(std::optional<Kept>)>;
  virtual void AppendFor(const programs::Turn& turn, Duration retention,
                         AppendDone done) = 0;
};

class TurnKeeper {
 public:
  TurnKeeper(net::EventLoop* loop, const Thresholds* thresholds,
             platform::RecordLog* store, Log* log, Metrics* metrics);
  void SetPeers(TurnPeers* peers) { m_peers = peers; }

  // Makes sure that the chain of the turn is in history().
  using FindDone = std::function<void(FindOutcome)>;
  void Find(const std::string& id, const std::string& program, FindDone done);

  using KeepDone = std::function<void(const Kept&)>;
  // `done` once the log has acknowledged the turn; never, if it does not.
  void     Keep(const programs::Turn& turn, Duration retention, KeepDone done);
  // Appends a peer's turn, once; nothing if the log did not acknowledge it.
  void     KeepFor(const programs::Turn& turn, Duration retention,
                   TurnPeers::AppendDone done);
  // Whether a turn that ends now could be kept: a partition answers this node,
  // or some other node.
  bool     MayKeep() const;
  // How long no partition has answered this node, in ms; 0: one does.
  Duration AwayFor() const;

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
    int         partition = 0;   // where it most likely lies
    bool        reread = false;  // the log was read from its start for it
    FindDone    done;
  };
  // A turn on its way into the log.
  struct Keeping {
    programs::Turn turn;
    Duration       retention = 0;
    Time           began = 0;
    int            partition = 0;  // where it was sent last
    std::set<int>  tried;          // partitions it was sent to
    bool           open = true;
    KeepDone       done;
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
  void AskPeers(const Question& question, const std::string& missing);
  void EndSearch(Question question, const std::string& missing, bool complete);
  void TakeCopies(const std::vector<programs::Turn>& turns);
  void TakeTurns(const std::vector<platform::LogRecord>& records);
  // The first partition from `first` on that answers, as far as is known.
  int  PlaceFrom(int first) const;
  int  PlaceFor(const programs::Turn& turn) const;
  bool Away(int partition) const;
  void Append(const programs::Turn& turn, int partition, bool insist,
              Appender::Done done);
  void TryElsewhere(const std::shared_ptr<Keeping>& keeping);
  // Appends it to the partition where it is to be sent next.
  void Send(const std::shared_ptr<Keeping>& keeping);
  void Settle(const std::shared_ptr<Keeping>& keeping, const Kept& kept);

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

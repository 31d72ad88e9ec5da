// The turns of agent programs as this node serves them: from memory where it
// can, from the platform's log where it must.
//
//   Find  a turn that this node does not hold is looked for in the log. The
//         search starts after the question came. Two nodes of each zone read
//         a partition for the others, one after the other: if all read all of
//         it, a restart of every node, or a short absence of the log, would
//         keep the log busy for longer than the nodes' recovery. A turn is
//         unknown only if complete scans of every partition, see turn_reader.h,
//         did not find it. If the log does not answer, the memories of other
//         nodes are asked: what they hold may be used, what they do not hold
//         proves nothing.
//   Persist  a finished turn is appended to the log before the client sees the
//         end of its answer, to its program's partition or, if that is away, to
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
#include <vector>

#include "yuccawick/gateway/appender.h"
#include "yuccawick/gateway/metrics.h"
#include "yuccawick/gateway/turn_reader.h"

namespace yuccawick::gateway {

// How often a reader that is still reading is asked again; then the next one.
inline constexpr int         kReaderTries = 5;
// How many nodes of a zone read a partition for it: the second takes the place
// of the first, if the log or the zone does not reach that. Were there no
// bound, all nodes would read everything after a short absence of the log. With
// 31 nodes that kept the log's reads at their limit for 13 s, and claims waited
// 350 ms for theirs.
inline constexpr std::size_t kReadersOfZone = 2;

enum class ReaderLocation : std::uint8_t { kAnother, kSelf, kNobody };

enum class FindOutcome : std::uint8_t {
  kFound,
  kUnknown,  // certainly no such turn
  kUnsure,   // the log does not answer, and no peer holds it
};

// Where the log holds a turn.
struct LogPosition {
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
  // Has the node that reads the partition for this zone, the `rank`-th in turn,
  // look for a turn there. `done` is called only if that is another node.
  struct Lookup {
    bool  answered = false;
    bool  complete = false;  // it read up to the end
    bool  reading = false;   // not yet; ask again
    Turns turns;
  };
  virtual ReaderLocation AskReader(int partition, const std::string& id,
                                   std::size_t                        rank,
                                   std::function<void(const Lookup&)> done) = 0;
  // A node that the log seems to answer, as far as is known here.
  virtual bool           AnyReachesLog() const = 0;
  // Has such nodes append the turn, others at each attempt, from 0 on; nothing
  // if there is no such node or none could.
  using AppendDone = std::function<void(std::optional<LogPosition>)>;
  virtual void AppendFor(const programs::Turn& turn, Duration retention,
                         std::size_t attempt, AppendDone done) = 0;
};

class TurnStore {
 public:
  // `incarnation` names this start of the node among all that append turns.
  TurnStore(net::EventLoop* loop, const Thresholds* thresholds,
            platform::RecordLog* store, Log* log, Metrics* metrics,
            const std::string& incarnation);
  void SetPeers(TurnPeers* peers) { m_peers = peers; }

  // Makes sure that the chain of the turn is in history().
  using FindDone = std::function<void(FindOutcome)>;
  void Find(const std::string& id, const std::string& program, FindDone done);

  using PersistDone = std::function<void(const LogPosition&)>;
  // `done` once the log has acknowledged the turn; never, if it does not by
  // `until`. Nobody is told of such a turn's end, so it need not be kept then.
  void Persist(const programs::Turn& turn, Duration retention, Time until,
               PersistDone done);
  // Appends a peer's turn; nothing if the log does not acknowledge it soon.
  void PersistForPeer(const programs::Turn& turn, Duration retention,
                      TurnPeers::AppendDone done);
  // Whether a turn that ends now could be kept: a partition answers this node,
  // or some other node.
  bool CanPersist() const;

  TurnReader&            reader() { return m_reader; }
  programs::TurnHistory& history() { return m_history; }
  // Turns of this node whose clients wait for the log.
  std::size_t            pending_persists() const { return m_unkept; }
  // Forgets old turns and looks for partitions that were away. Call often.
  void                   Sweep();

 private:
  struct Question {
    std::string id;
    int         partition = 0;  // where it most likely lies
    FindDone    done;
  };
  // A turn on its way into the log.
  struct Keeping {
    programs::Turn turn;
    Duration       retention = 0;
    Time           began = 0;
    int            partition = 0;  // where it was sent last
    std::set<int>  tried;          // partitions it was sent to
    std::size_t    relays = 0;     // attempts through other nodes
    bool           open = true;
    PersistDone    done;
  };
  using KeepingPtr = std::shared_ptr<Keeping>;

  // Looks for the nearest turn of the chain that is not at hand, then for the
  // next: turns of one chain may lie in different partitions.
  void Search(const Question& question);
  void SearchOwnPartition(const Question& question, const std::string& missing);
  void SearchOthers(const Question& question, const std::string& missing,
                    bool first_complete);
  void EndSearch(const Question& question, const std::string& missing,
                 bool complete);
  void AskPeers(const Question& question, const std::string& missing);
  // A look for a turn in one partition, by a node that reads it for this zone.
  struct Look {
    int                       partition = 0;
    std::string               id;
    std::function<void(bool)> done;      // with whether a scan was complete
    std::size_t               rank = 0;  // of the reader
    int                       tries = kReaderTries;
  };
  void LookIn(const Look& look);
  void LookAtNext(Look look);
  void TakeLookup(const Look& look, const TurnPeers::Lookup& lookup);
  void ScanHere(const Look& look);
  void TakeTurns(const std::vector<programs::Turn>& turns);
  // The first partition from `first` on that answers, as far as is known.
  int  PlaceFrom(int first) const;
  // Appends all records of a turn; `done` with the place of the first, or
  // nothing if the log refused one.
  using PlacedDone = std::function<void(std::optional<LogPosition>)>;
  void Append(const programs::Turn& turn, int partition,
              const Appender::Wanted& wanted, PlacedDone done);
  void Send(const KeepingPtr& keeping);
  void TryElsewhere(const KeepingPtr& keeping);
  void Settle(const KeepingPtr& keeping, const LogPosition& kept);
  // The turn is kept, or nobody waits for it any more.
  void Close(const KeepingPtr& keeping);

  net::EventLoop*       m_loop;
  const Thresholds*     m_thresholds;
  Log*                  m_log;
  Metrics*              m_metrics;
  TurnPeers*            m_peers = nullptr;
  programs::TurnHistory m_history;
  TurnReader            m_reader;
  std::vector<Appender> m_appenders;  // by partition
  std::size_t           m_unkept = 0;
};

}  // namespace yuccawick::gateway

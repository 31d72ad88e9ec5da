// Finds and persists the turns of agent programs, in memory where possible,
// otherwise in the platform log.
//
//   Find()     searches memory, then scans the log, starting after the call.
//              Two nodes of each zone read a partition for the others: if every
//              node read all partitions after a restart or an outage, the log
//              would stay overloaded for longer than the outage lasted. The
//              outcome is kUnknown only if complete scans (see turn_reader.h)
//              of all partitions did not find the turn. If the log is
//              unavailable, the memory of other nodes is searched; not finding
//              the turn there yields kUnsure, not kUnknown.
//   Persist()  appends a finished turn before the client receives the end of
//              its response: to the partition of its program, to another
//              partition if that one is unavailable, or through another node
//              that can reach the log. While no node can reach it, the end of
//              the response is held back. Otherwise a loss of power on all
//              nodes would lose a turn that its client has received in full.
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

// Retries at a reader that is still reading, before the next reader is tried.
inline constexpr int         kReaderRetries = 5;
// Nodes of a zone that read a partition for it; the second takes over if the
// first is unreachable or cannot reach the log. The bound keeps all nodes from
// reading everything after an outage, which would overload the log.
inline constexpr std::size_t kReadersPerZone = 2;

enum class ReaderLocation : std::uint8_t { kOtherNode, kThisNode, kNone };

enum class FindOutcome : std::uint8_t {
  kFound,
  kUnknown,  // proven not to exist
  kUnsure,   // the log is unavailable, and no peer has the turn in memory
};

// Position of a turn in the log.
struct LogPosition {
  int          partition = -1;
  std::int64_t offset = -1;      // of the turn's first record
  bool         by_peer = false;  // appended by another node
};

// Operations on turns that other nodes perform; implemented by PeerTurns.
class TurnPeers {
 public:
  virtual ~TurnPeers() = default;
  // Searches the memory of other nodes; `done` receives the turn and its
  // ancestors, or nothing.
  using Turns = std::vector<programs::Turn>;
  virtual void RequestTurn(const std::string&                id,
                           std::function<void(const Turns&)> done) = 0;
  // Has the reader of this zone with the given rank look up a turn in a
  // partition. Calls `done` only if the result is kOtherNode.
  struct Lookup {
    bool  answered = false;
    bool  complete = false;  // read to the end of the partition
    bool  reading = false;   // still reading; repeat the request
    Turns turns;
  };
  virtual ReaderLocation RequestLookup(
      int partition, const std::string& id, std::size_t rank,
      std::function<void(const Lookup&)> done) = 0;
  // Whether there is another node that may reach the log: it has not reported
  // the log unavailable lately.
  virtual bool AnyReachesLog() const = 0;
  // Asks other nodes that may reach the log to append the turn; each `attempt`
  // (from 0) selects different nodes. `done` receives nothing if all fail.
  using AppendDone = std::function<void(std::optional<LogPosition>)>;
  virtual void AppendFor(const programs::Turn& turn, Duration retention,
                         std::size_t attempt, AppendDone done) = 0;
};

class TurnStore {
 public:
  // `incarnation` identifies this start of the node among all writers of turns.
  TurnStore(net::EventLoop* loop, const Thresholds* thresholds,
            platform::RecordLog* store, Log* log, Metrics* metrics,
            const std::string& incarnation);
  void SetPeers(TurnPeers* peers) { m_peers = peers; }

  // Loads the turn and its ancestors into history().
  using FindDone = std::function<void(FindOutcome)>;
  void Find(const std::string& id, const std::string& program, FindDone done);

  using PersistDone = std::function<void(const LogPosition&)>;
  // Calls `done` once the log has acknowledged the turn. After `deadline` the
  // turn is abandoned and `done` is never called: its client has not received
  // the end of the response, so the turn need not be stored.
  void Persist(const programs::Turn& turn, Duration retention, Time deadline,
               PersistDone done);
  // Appends a peer's turn; `done` receives nothing if the log does not
  // acknowledge it within `relay_answer` ms.
  void PersistForPeer(const programs::Turn& turn, Duration retention,
                      TurnPeers::AppendDone done);
  // Whether this node or another could persist a turn that ends now.
  bool CanPersist() const;

  TurnReader&            reader() { return m_reader; }
  programs::TurnHistory& history() { return m_history; }
  // Turns that wait for the acknowledgement of the log.
  std::size_t            pending_persists() const { return m_pending_persists; }
  // Removes expired turns and probes unavailable partitions. Call often.
  void                   Sweep();

 private:
  struct FindRequest {
    std::string id;
    int         partition = 0;  // most likely partition
    FindDone    done;
  };
  // A turn that is being appended to the log.
  struct PendingPersist {
    programs::Turn turn;
    Duration       retention = 0;
    Time           started = 0;
    int            partition = 0;       // last one tried
    std::set<int>  tried;               // partitions tried
    std::size_t    relay_attempts = 0;  // attempts by other nodes
    bool           active = true;
    PersistDone    done;
  };
  using PendingPersistPtr = std::shared_ptr<PendingPersist>;

  // Searches for the nearest missing turn of the chain, then for its nearest
  // missing ancestor, because turns of one chain may lie in different
  // partitions.
  void Search(const FindRequest& request);
  void SearchOwnPartition(const FindRequest& request,
                          const std::string& missing);
  void SearchOthers(const FindRequest& request, const std::string& missing,
                    bool first_complete);
  void EndSearch(const FindRequest& request, const std::string& missing,
                 bool complete);
  void RequestFromPeers(const FindRequest& request, const std::string& missing);
  // The lookup of a turn in one partition by the readers of this zone.
  struct PartitionSearch {
    int                       partition = 0;
    std::string               id;
    std::function<void(bool)> done;      // whether a scan was complete
    std::size_t               rank = 0;  // of the reader in this zone
    int                       tries = kReaderRetries;
  };
  void SearchPartition(const PartitionSearch& search);
  void SearchNextReader(PartitionSearch search);
  void OnLookup(const PartitionSearch& search, const TurnPeers::Lookup& lookup);
  void ScanHere(const PartitionSearch& search);
  void AddTurns(const std::vector<programs::Turn>& turns);
  // The first partition, starting at `first`, that is not known to be
  // unavailable.
  int  ChoosePartition(int first) const;
  // Appends all records of a turn; `done` receives the position of the first,
  // or nothing if the log refused one.
  using AppendedCallback = std::function<void(std::optional<LogPosition>)>;
  void Append(const programs::Turn& turn, int partition,
              const Appender::Wanted& wanted, AppendedCallback done);
  void SendAppend(const PendingPersistPtr& pending);
  void RetryElsewhere(const PendingPersistPtr& pending);
  void FinishPersist(const PendingPersistPtr& pending,
                     const LogPosition&       position);
  // Ends the attempts: the turn is persisted or abandoned.
  void EndAttempts(const PendingPersistPtr& pending);

  net::EventLoop*       m_loop;
  const Thresholds*     m_thresholds;
  Log*                  m_log;
  Metrics*              m_metrics;
  TurnPeers*            m_peers = nullptr;
  programs::TurnHistory m_history;
  TurnReader            m_reader;
  std::vector<Appender> m_appenders;  // by partition
  std::size_t           m_pending_persists = 0;
};

}  // namespace yuccawick::gateway

// Reads turns from the platform's log.
//
//   Scan   reads what lies between the last scan and the end of a partition,
//          newest records first if it is much (programs/scan_plan.h), and puts
//          the turns into memory. Whoever asks while a scan runs is served by
//          its next look at the end.
//   Fetch  reads one turn again that was read before and has left memory since.
//
// A scan is complete if nothing that the partition ever held can have been
// missed: it came to the end, and it passed over no deleted records that may
// still be owed. Only complete scans may rule a turn out. That memory does not
// hold a turn says nothing: it forgets turns after their routes' retention, and
// that may have changed, or a later turn may continue from them. So the place
// of each turn is remembered for as long as the log keeps it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "platform/store.h"
#include "yuccawick/gateway/log_health.h"
#include "yuccawick/gateway/thresholds.h"
#include "yuccawick/programs/adaptive_read_size.h"
#include "yuccawick/programs/record.h"
#include "yuccawick/programs/scan_plan.h"
#include "yuccawick/programs/turn_history.h"

namespace yuccawick::gateway {

using net::Duration;
using net::Time;

// Partitions of the log that hold turns, by program. Each takes an append every
// two milliseconds with any number of records.
inline constexpr int kTurnPartitions = 4;

// Turns are kept longer than a client may name them, so that answers on the way
// and the time of a search do not matter.
inline constexpr Duration kRetentionSlack = 15'000;  // ms

class TurnReader {
 public:
  TurnReader(net::EventLoop* loop, const Thresholds* thresholds,
             platform::RecordLog* store, Log* log,
             programs::TurnHistory* history);

  // `done` with whether the scan was complete; sooner, with false, once the
  // turn `wanted` is in memory.
  using ScanDone = std::function<void(bool)>;
  void Scan(int partition, ScanDone done, std::string wanted = {});
  // Whether it was read before, so that Fetch() may find it.
  bool KnowsPositionOf(const std::string& id) const {
    return m_places.contains(id);
  }
  // `done` once the turn is in memory, or could not be read.
  void Fetch(const std::string& id, const std::function<void()>& done);

  LogHealth* health(int partition) { return ScanOf(partition).health.get(); }
  bool       IsUnavailable(int partition) const;
  // How long no partition has answered this node, in ms; 0: one does.
  Duration   UnavailableFor() const;
  // How long turns read are kept, in ms: the longest of the routes.
  void       SetRetention(Duration retention) { m_retention = retention; }
  Duration   retention() const { return m_retention; }
  // Finds out whether partitions answer that nobody asked lately.
  void       Probe();
  // Forgets old places and looks for partitions that were away. Call often.
  void       Sweep();

 private:
  struct Question {
    ScanDone    done;
    std::string wanted;
  };
  struct ScanState {
    std::unique_ptr<LogHealth> health;
    programs::ScanPlan         plan;
    std::int64_t               probed_end = 0;  // of the partition
    std::size_t                taken = 0;       // records, in this scan
    Time                       sure_from = 0;   // complete scans from then on
    bool                       busy = false;
    bool                       probing = false;
    std::vector<Question>      served;
    std::vector<Question>      waiting;
  };
  // A record of the log. Fetching one must not read a whole page for it: a
  // turn is a few KB of the 256.
  struct Piece {
    std::int64_t offset = 0;
    std::size_t  bytes = 0;
  };
  struct Place {
    int                partition = 0;
    std::vector<Piece> pieces;  // the turn, or its parts
    Time               until = 0;
  };
  // A turn of several records of which not all have been read in a partition.
  struct Pieces {
    std::map<std::uint32_t, programs::Turn> parts;
    Place                                   place;
  };

  ScanState& ScanOf(int partition) {
    return m_scans[static_cast<std::size_t>(partition)];
  }
  void Begin(int partition);
  void TakeWaiting(ScanState* scan);
  void AnswerFound(ScanState* scan);
  void ProbePartition(int partition);
  // `again`: the last read failed at once.
  void ReadPart(int partition, bool again = false);
  void TakePage(int partition, const platform::ReadPage& page);
  void SkipTo(int partition, std::int64_t from, std::int64_t first);
  void End(int partition, bool complete);
  void Take(int partition, const platform::LogRecord& record);
  void Keep(programs::Turn turn, Place place);
  void FetchPart(const std::string& id, const Place& place, std::size_t part,
                 const std::function<void()>& done);

  net::EventLoop*            m_loop;
  const Thresholds*          m_thresholds;
  platform::RecordLog*       m_store;
  Log*                       m_log;
  programs::TurnHistory*     m_history;
  programs::AdaptiveReadSize m_pace{platform::kPageBytes};  // of all scans
  std::vector<ScanState>     m_scans;                       // by partition
  std::unordered_map<std::string, Place>        m_places;   // by turn
  std::map<std::pair<int, std::string>, Pieces> m_pieces;   // partition, turn
  Duration m_retention = 60'000;  // until a manifest says
};

}  // namespace yuccawick::gateway

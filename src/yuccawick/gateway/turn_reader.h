// Reads turns from the platform log into a TurnHistory.
//
//   Scan()   reads the records between the last scan and the end of a
//            partition, the newest first if there are many, see
//            programs/scan_plan.h. Requests that arrive during a scan are
//            completed by its next read at the end of the partition.
//   Fetch()  reads again a turn that was read before and has been evicted.
//
// A scan is complete if it reached the end of the partition and skipped no
// deleted record that clients may still name. Only a complete scan proves that
// a turn does not exist. Absence from memory does not prove it: a turn is
// evicted after the retention of its route, which may change, and later turns
// may continue from an evicted turn. The position of a turn is remembered for
// as long as the log stores the turn.
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

// Partitions of the turns topic; a turn's partition is chosen by its program.
// The log takes an append every 2 ms on each, with any number of records.
inline constexpr int kTurnPartitions = 4;

// Time that turns are stored beyond their retention, to allow for responses in
// transit and the duration of a search.
inline constexpr Duration kRetentionSlack = 15'000;  // ms

class TurnReader {
 public:
  TurnReader(net::EventLoop* loop, const Thresholds* thresholds,
             platform::RecordLog* store, Log* log,
             programs::TurnHistory* history);

  // Calls `done` at the end of the scan with whether the scan was complete, or
  // earlier, with false, as soon as the turn `wanted` is in memory.
  using ScanDone = std::function<void(bool)>;
  void Scan(int partition, ScanDone done, std::string wanted = {});
  // Whether the turn was read before, so that Fetch() can find it.
  bool KnowsPositionOf(const std::string& id) const {
    return m_positions.contains(id);
  }
  // Calls `done` once the turn is in memory or the read has failed.
  void Fetch(const std::string& id, const std::function<void()>& done);

  LogHealth* health(int partition) { return ScanOf(partition).health.get(); }
  bool       IsUnavailable(int partition) const;
  // Time for which all partitions have been unavailable, in ms; 0: some
  // partition is available.
  Duration   UnavailableFor() const;
  // How long turns are stored in memory, in ms: the maximum of all routes.
  void       SetRetention(Duration retention) { m_retention = retention; }
  Duration   retention() const { return m_retention; }
  // Probes the partitions that were not called lately.
  void       Probe();
  // Removes expired positions and probes unavailable partitions. Call often.
  void       Sweep();

 private:
  struct ScanRequest {
    ScanDone    done;
    std::string wanted;
  };
  struct ScanState {
    std::unique_ptr<LogHealth> health;
    programs::ScanPlan         plan;
    std::int64_t               probed_end = 0;    // end offset seen by probes
    std::size_t                records_read = 0;  // records read by this scan
    Time complete_after = 0;  // scans before this time are incomplete
    bool busy = false;
    bool probing = false;
    std::vector<ScanRequest> served;
    std::vector<ScanRequest> waiting;
  };
  // A record of the log; its size limits a fetch to this record.
  struct RecordRange {
    std::int64_t offset = 0;
    std::size_t  bytes = 0;
  };
  struct Position {
    int                      partition = 0;
    std::vector<RecordRange> records;  // one record, or one per part
    Time                     expires_at = 0;
  };
  // A turn of several records of one partition, not all of them read yet.
  struct PartialTurn {
    std::map<std::uint32_t, programs::Turn> parts;
    Position                                position;
  };

  ScanState& ScanOf(int partition) {
    return m_scans[static_cast<std::size_t>(partition)];
  }
  void BeginScan(int partition);
  void ServeWaiting(ScanState* scan);
  void CompleteFound(ScanState* scan);
  void ProbePartition(int partition);
  // `is_retry`: this read repeats a read that failed immediately.
  void ReadNextPage(int partition, bool is_retry = false);
  void ApplyPage(int partition, const platform::ReadPage& page);
  void SkipTo(int partition, std::int64_t from, std::int64_t first);
  void EndScan(int partition, bool complete);
  void ApplyRecord(int partition, const platform::LogRecord& record);
  void AddTurn(programs::Turn turn, Position position);
  void FetchRecord(const std::string& id, const Position& position,
                   std::size_t part, const std::function<void()>& done);

  net::EventLoop*            m_loop;
  const Thresholds*          m_thresholds;
  platform::RecordLog*       m_store;
  Log*                       m_log;
  programs::TurnHistory*     m_history;
  programs::AdaptiveReadSize m_read_size{
      platform::kPageBytes};                              // shared by all scans
  std::vector<ScanState>                    m_scans;      // by partition
  std::unordered_map<std::string, Position> m_positions;  // by turn id
  std::map<std::pair<int, std::string>, PartialTurn>
           m_partial_turns;       // by partition and turn id
  Duration m_retention = 60'000;  // ms; until a manifest sets it
};

}  // namespace yuccawick::gateway

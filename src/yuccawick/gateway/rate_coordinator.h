// Runs a workspaces::RateAllocator for one rate partition: appends its claims
// to the platform log and reads the claims of other nodes. One claim is pending
// at a time.
//
// Opening a coordinator appends an empty claim, which returns the end of the
// log, and reads the records before that end. An open coordinator reads only
// when records of other nodes lie between its own claims.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "yuccawick/gateway/appender.h"
#include "yuccawick/gateway/log_health.h"
#include "yuccawick/gateway/thresholds.h"
#include "yuccawick/workspaces/rate_allocator.h"

namespace yuccawick::gateway {

using net::Duration;
using net::Time;

// Partitions of the rates topic. One claim serves all workspaces of its
// partition, so fewer coordinators need fewer log calls.
inline constexpr int kRatePartitions = 4;
int                  RatePartitionOf(const std::string& workspace);
// Key by which the coordinators of a partition are ranked.
std::string          RateCoordinatorKey(int partition);

class RateCoordinator {
 public:
  using Done = std::function<void(const workspaces::RateResponse&)>;

  RateCoordinator(net::EventLoop* loop, const Thresholds* thresholds,
                  platform::RecordLog* store, Log* log, std::string incarnation,
                  int                                        partition,
                  const workspaces::RateLedger::LimitLookup& limit_lookup,
                  const workspaces::RateWindow&              window);

  // Calls `done` once, within `rate_answer` ms.
  void RequestTokens(const workspaces::RateRequest& request, Done done);
  // Opens in advance, so that the first request does not wait.
  void Open();
  // Removes expired state and releases unused tokens.
  void Sweep();
  void LogRefusals();

  workspaces::RateAllocator& allocator() { return m_allocator; }

 private:
  enum class State : std::uint8_t { kClosed, kOpening, kOpen };
  struct PendingRequest {
    std::uint64_t                               number = 0;
    workspaces::RateAllocator::SubmittedRequest submitted;
    Done                                        done;
  };
  // A claim in the log that follows records not read yet.
  struct PendingClaim {
    workspaces::RateRecord record;
    Time                   sent = 0;
    std::int64_t           offset = 0;
  };
  using RecordCallback = std::function<void(const platform::LogRecord&)>;

  void     Serve();
  void     AbandonRequest(std::uint64_t number);
  void     RespondUnsure();
  Duration ClaimInterval() const;
  // Claims now, or once ClaimInterval() has passed since the last claim.
  void     Claim();
  void     SendClaim(std::vector<workspaces::RateEntry> entries);
  void     Append(const workspaces::RateRecord&                    record,
                  std::function<void(std::optional<std::int64_t>)> done);
  void     OnClaimAppended(const workspaces::RateRecord& record, Time sent,
                           std::optional<std::int64_t> offset);
  void     ApplyClaim(const PendingClaim& pending_claim);
  void     Close();
  void     ReadBack(std::int64_t end, std::int64_t count);
  // Reads the records from `from` up to `to`, then calls `done`; calls Close()
  // if the read fails.
  void     ReadUpTo(std::int64_t from, std::int64_t to,
                    const RecordCallback&        on_record,
                    const std::function<void()>& done);

  net::EventLoop*           m_loop;
  const Thresholds*         m_thresholds;
  platform::RecordLog*      m_store;
  LogHealth                 m_health;
  Log*                      m_log;
  std::string               m_incarnation;
  int                       m_partition;
  workspaces::RateAllocator m_allocator;
  Appender                  m_appender;
  State                     m_state = State::kClosed;
  std::int64_t  m_next_offset = 0;  // offset of the next record to apply
  bool          m_claiming = false;
  bool          m_claim_scheduled = false;  // a timer runs
  Time          m_claimed_at = 0;           // when the last claim was sent
  // Records of other nodes between the last two claims of this node.
  std::int64_t  m_other_records = 0;
  std::int64_t  m_last_offset = -1;  // of the last own record
  Time          m_last_acked = 0;
  std::uint64_t m_last_request = 0;
  std::vector<PendingRequest> m_pending;
};

}  // namespace yuccawick::gateway

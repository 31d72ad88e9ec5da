// Carries out workspaces/rate_allocator.h for one partition of the rate claims:
// appends claims to the platform's log, and reads what others claimed in
// between.
//
// A desk opens with an append of its own, then reads the last records before
// it; from there on it reads only if its next claim does not follow its last
// one. One claim is under way at a time.
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

// Partitions of the rate claims. Fewer than of the claims on budgets: one claim
// serves all workspaces of its partition, so fewer homes make fewer calls.
inline constexpr int kRatePartitions = 4;
int                  RatePartitionOf(const std::string& workspace);
// What the homes of a partition are ranked by.
std::string          RateCoordinatorKey(int partition);

class RateCoordinator {
 public:
  using Done = std::function<void(const workspaces::RateResponse&)>;

  RateCoordinator(net::EventLoop* loop, const Thresholds* thresholds,
                  platform::RecordLog* store, Log* log, std::string incarnation,
                  int                                        partition,
                  const workspaces::RateLedger::LimitLookup& limit_of,
                  const workspaces::RateWindow&              window);

  // `done` is called once, within `rate_answer` ms.
  void RequestTokens(const workspaces::RateRequest& ask, Done done);
  // Makes ready for questions, so that the first does not wait.
  void Open();
  // Forgets what is old, and gives back what was not used.
  void Sweep();
  void LogRefusals();

  workspaces::RateAllocator& allocator() { return m_home; }

 private:
  enum class State : std::uint8_t { kClosed, kOpening, kOpen };
  struct Waiting {
    std::uint64_t                               number = 0;
    workspaces::RateAllocator::SubmittedRequest entered;
    Done                                        done;
  };
  // A claim in the log, behind others that are still to be read.
  struct Claimed {
    workspaces::RateRecord record;
    Time                   sent = 0;
    std::int64_t           offset = 0;
  };
  using TakeRecord = std::function<void(const platform::LogRecord&)>;

  void     Serve();
  void     GiveUp(std::uint64_t number);
  void     AnswerUnsure();
  Duration ClaimPause() const;
  // Claims now, or when the pause after the last claim is over.
  void     Claim();
  void     SendClaim(std::vector<workspaces::RateEntry> entries);
  void     Append(const workspaces::RateRecord&                    record,
                  std::function<void(std::optional<std::int64_t>)> done);
  void     ClaimAppended(const workspaces::RateRecord& record, Time sent,
                         std::optional<std::int64_t> offset);
  void     TakeClaimed(const Claimed& claimed);
  void     Close();
  void     ReadBack(std::int64_t end, std::int64_t count);
  // Reads the records from `from` up to `to`, then calls `done`; closes the
  // desk if they are not to be had.
  void     ReadUpTo(std::int64_t from, std::int64_t to, const TakeRecord& take,
                    const std::function<void()>& done);

  net::EventLoop*           m_loop;
  const Thresholds*         m_thresholds;
  platform::RecordLog*      m_store;
  LogHealth                 m_health;
  Log*                      m_log;
  std::string               m_incarnation;
  int                       m_partition;
  workspaces::RateAllocator m_home;
  Appender                  m_appender;
  State                     m_state = State::kClosed;
  std::int64_t              m_next = 0;  // offset after what was taken
  bool                      m_claiming = false;
  bool                      m_claim_due = false;  // a timer runs
  Time                      m_claimed_at = 0;     // sent
  // Records of other homes between the last two claims of this one.
  std::int64_t              m_others = 0;
  std::int64_t              m_last_offset = -1;  // of its own last record
  Time                      m_last_acked = 0;
  std::uint64_t             m_last_question = 0;
  std::vector<Waiting>      m_waiting;
};

}  // namespace yuccawick::gateway

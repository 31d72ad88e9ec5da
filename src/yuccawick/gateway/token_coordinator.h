// Reserves tokens for turns within each program's budget, for the programs of
// one claim partition.
//
// Accounts are kept in memory and obtain tokens by appending claims to the
// platform log. Reserve() completes at once if the account has enough tokens,
// otherwise after one append. If that takes longer than `home_answer` ms, it
// completes with kHold, or with kUnsure while the log is unavailable.
//
// A turn never runs on tokens that the log has not granted, and unused tokens
// are released. Otherwise a loss of power on all nodes could grant the same
// tokens twice, so that a program exceeds its budget, or lose granted tokens,
// so that a program is refused while its budget lasts.
//
// Normally one node coordinates a partition and no other node writes to it, so
// that the outcome of an append is known without reading the log back.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "yuccawick/gateway/admission_service.h"
#include "yuccawick/gateway/appender.h"
#include "yuccawick/gateway/log_health.h"
#include "yuccawick/gateway/thresholds.h"
#include "yuccawick/programs/adaptive_read_size.h"
#include "yuccawick/programs/token_ledger.h"

namespace yuccawick::gateway {

using net::Duration;
using net::Time;

// Partitions of the claims topic; the number of nodes that share the
// coordinator role. At most the partitions that a topic has, a dozen on the
// smallest platform.
inline constexpr int kClaimPartitions = 8;
int                  ClaimPartitionOf(const std::string& program);
// Key by which the coordinators of a partition are ranked.
std::string          TokenCoordinatorKey(int partition);

enum class ReserveOutcome : std::uint8_t {
  kUnsure,  // the log is unavailable
  kStart,
  kSpent,
  kHold,    // undecided; repeat the request at this node
  kNoRoom,  // no capacity for another program
};
std::string_view Name(ReserveOutcome outcome);

struct TurnBudget {
  std::string                 program;
  programs::Tokens            budget = 0;      // of the program, tokens
  programs::Tokens            max_tokens = 0;  // limit of the turn, tokens
  admission::AdmissionRequest admission_request =
      {};  // capacity needed at model servers
};

class TokenCoordinator {
 public:
  using Done = std::function<void(ReserveOutcome)>;

  // `admission_service` decides which programs may start; nullptr: all may.
  TokenCoordinator(net::EventLoop* loop, const Thresholds* thresholds,
                   platform::RecordLog* store, Log* log,
                   std::string incarnation, int partition,
                   AdmissionService* admission_service = nullptr);

  // Calls `done` once, within `home_answer` ms.
  void        Reserve(const TurnBudget& turn, Done done);
  // Call when a turn has ended. `used`: tokens that reached the client.
  // `server`: the server that ran the turn and has its prompt cached; empty:
  // unknown.
  void        EndTurn(const TurnBudget& turn, programs::Tokens used,
                      const std::string& server = {});
  // The server that ran the program's last turn; empty: unknown.
  std::string LastServer(const std::string& program) const;
  // Releases all unused tokens, for the shutdown of the node.
  void        ReleaseAllUnused();
  // Removes accounts that were idle for kAccountRetention.
  void        Sweep();

  Duration LogUnavailableFor() const { return m_health.UnavailableFor(); }
  int      partition() const { return m_partition; }

 private:
  struct PendingRequest {
    std::uint64_t number = 0;
    TurnBudget    turn;
    Done          done;
    bool          denied = false;    // its claim was granted nothing
    bool          admitted = false;  // counted by m_admission
  };
  struct Account {
    programs::TokenAccount      tokens;
    Time                        last_used = 0;
    std::vector<PendingRequest> waiting;
    bool                        claiming = false;
    programs::Tokens            max_tokens = 0;  // of the last turn
    bool        spent = false;    // some claim was granted nothing
    bool        started = false;  // some turn was admitted
    std::string server = {};      // server that ran the last turn
  };
  struct OpenClaim {
    std::string      program;
    programs::Tokens need = 0;
  };

  // Completes the requests that can be decided, then balances the account.
  void Serve(const std::string& program);
  // Admits the request unless it has been admitted before. Does nothing until
  // the claims have been read, since they tell whether the program is new.
  // Returns false if the request is refused.
  bool Admit(Account* account, PendingRequest* request);
  void CancelAdmission(const PendingRequest& request);
  std::optional<ReserveOutcome> Decide(Account*              account,
                                       const PendingRequest& request) const;
  void AbandonRequest(const std::string& program, std::uint64_t number);
  // Claims the tokens that waiting turns lack and the tokens reserved ahead, or
  // schedules the release of tokens that no turn needs.
  void Balance(const std::string& program, Account* account);
  void SendClaim(const std::string& program, Account* account,
                 programs::Tokens max_tokens, programs::Tokens wish);
  // Tokens that the account claims in advance for its next turns.
  programs::Tokens TokensAhead(const Account& account) const;
  void             SendRecord(programs::TokenClaim record);
  void OnRecordAppended(const std::string& record, std::int64_t offset);
  void OnClaimDecided(std::uint64_t number, programs::Tokens granted);
  void OnClaimRefused(std::uint64_t number);
  void CatchUp();
  void FinishCatchUp();
  void SkipTo(std::int64_t first);
  void ReadClaims();
  void ReadPage();
  void ScheduleRead();  // after `log_away_pause`
  void ApplyPage(const platform::ReadPage& page);
  void ApplyRecord(const std::string& record);
  // Applies own appended records that are next in order without reading them
  // back.
  void ApplyAppended();
  void ScheduleReleases();
  void Release(const std::string& program, Account* account);

  net::EventLoop*                          m_loop;
  const Thresholds*                        m_thresholds;
  platform::RecordLog*                     m_store;
  LogHealth                                m_health;
  Log*                                     m_log;
  std::string                              m_incarnation;
  int                                      m_partition;
  programs::TokenLedger                    m_ledger;
  Appender                                 m_appender;
  AdmissionService*                        m_admission;
  programs::AdaptiveReadSize               m_read_size{platform::kPageBytes};
  std::unordered_map<std::string, Account> m_accounts;    // by program
  std::unordered_map<std::uint64_t, OpenClaim> m_claims;  // by number
  std::unordered_map<std::string, Time>
                m_release_at;                 // time of release, by program
  bool          m_release_scheduled = false;  // a timer runs
  std::uint64_t m_last_record = 0;            // number of the last record
  std::uint64_t m_last_request = 0;
  std::int64_t  m_next_offset = 0;  // offset to read on from
  std::int64_t  m_read_until = 0;   // offset to read up to
  // Own acknowledged records that follow records not read yet, by offset.
  std::map<std::int64_t, std::string> m_appended;
  bool                                m_reading = false;
  bool                                m_read_scheduled = false;  // a timer runs
  bool m_caught_up = false;  // has read to the end once
};

}  // namespace yuccawick::gateway

// Counts the tokens of the agent programs that this node is home of.
//
// Accounts live in memory and claim from the platform's log. Whoever asks for a
// turn gets an answer soon: at once if the account has room, after one append
// if not, "hold" if that takes longer than its asker should wait in silence.
//
// No turn runs on tokens that the log has not granted, and an account keeps
// none that no turn needs. All nodes may lose power at any moment, also while
// the log is away. Tokens used without a record would be granted a second time
// after that, and the program would end above its budget; tokens granted and
// not used would be missing, and a program whose budget holds them would be
// refused.
//
// One node counts all programs of a partition of the claims, so that nobody
// else writes there as a rule: it knows what its append decides without
// reading.
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

// Partitions of the claims; one of a dozen that a topic has on the smallest
// platform, so that homes are spread over that many nodes.
inline constexpr int kClaimPartitions = 8;
int                  ClaimPartitionOf(const std::string& program);
// What the homes of a partition are ranked by.
std::string          TokenCoordinatorKey(int partition);

enum class ReserveOutcome : std::uint8_t {
  kUnsure,  // the log does not answer
  kStart,
  kSpent,
  kHold,    // not decided yet; ask this node again
  kNoRoom,  // model servers have no room for another program
};
std::string_view Name(ReserveOutcome outcome);

struct TurnBudget {
  std::string                 program;
  programs::Tokens            budget = 0;      // of the program
  programs::Tokens            max_tokens = 0;  // that the turn may generate
  admission::AdmissionRequest admission_request =
      {};  // that it wants at model servers
};

class TokenCoordinator {
 public:
  using Done = std::function<void(ReserveOutcome)>;

  // One desk counts the programs whose claims lie in one partition. `room`:
  // decides which of them may begin; nullptr: all.
  TokenCoordinator(net::EventLoop* loop, const Thresholds* thresholds,
                   platform::RecordLog* store, Log* log,
                   std::string incarnation, int partition,
                   AdmissionService* room = nullptr);

  // `done` is called once, within `home_answer` ms.
  void        Reserve(const TurnBudget& turn, Done done);
  // The turn ended; `used` of its tokens were handed to the client.
  // `server`: that ran it and holds its prompt; empty: not known.
  void        EndTurn(const TurnBudget& turn, programs::Tokens used,
                      const std::string& server = {});
  // The server that ran the program's last turn; empty: not known.
  std::string LastServer(const std::string& program) const;
  // The node stops: what it was granted and does not need goes back.
  void        ReleaseAllUnused();
  // Forgets programs that were idle for long.
  void        Sweep();

  Duration LogUnavailableFor() const { return m_health.UnavailableFor(); }
  int      partition() const { return m_partition; }

 private:
  struct Waiting {
    std::uint64_t number = 0;
    TurnBudget    turn;
    Done          done;
    bool          denied = false;  // the log granted its claim nothing
    bool          let_in = false;  // counted by m_room
  };
  struct Account {
    programs::TokenAccount tokens;
    Time                   used = 0;
    std::vector<Waiting>   waiting;
    bool                   claiming = false;
    programs::Tokens       most = 0;       // of its last turn
    bool                   spent = false;  // the log granted a claim nothing
    bool                   begun = false;  // a turn of it was let in
    std::string            server = {};    // that ran its last turn
  };
  struct OpenClaim {
    std::string      program;
    programs::Tokens need = 0;
  };

  // Answers whom it can, then balances the account.
  void                          Serve(const std::string& program);
  // Asks for room, once for each request and when the claims tell whether its
  // program is new; false: it is refused.
  bool                          LetIn(Account* account, Waiting* request);
  void                          Withdraw(const Waiting& request);
  std::optional<ReserveOutcome> Decide(Account*       account,
                                       const Waiting& request) const;
  void             GiveUp(const std::string& program, std::uint64_t number);
  // Claims what waiting turns lack or what is kept ahead, or sees to it that
  // what no turn needs is given back.
  void             Balance(const std::string& program, Account* account);
  void             SendClaim(const std::string& program, Account* account,
                             programs::Tokens most, programs::Tokens wish);
  // What the account keeps for its next turns; 0: nothing.
  programs::Tokens Ahead(const Account& account) const;
  void             SendRecord(programs::TokenClaim record);
  void RecordAppended(const std::string& record, std::int64_t offset);
  void ClaimDecided(std::uint64_t number, programs::Tokens granted);
  void ClaimRefused(std::uint64_t number);
  void CatchUp();
  void EndCatchUp();
  void SkipTo(std::int64_t first);
  void ReadClaims();
  void ReadPage();
  void ReadAgain();  // after a pause
  void TakePage(const platform::ReadPage& page);
  void TakeRecord(const std::string& record);
  // Takes own records that come next, without reading them back.
  void TakeAppended();
  void GiveBackSpare();
  void GiveBack(const std::string& program, Account* account);

  net::EventLoop*                              m_loop;
  const Thresholds*                            m_thresholds;
  platform::RecordLog*                         m_store;
  LogHealth                                    m_health;
  Log*                                         m_log;
  std::string                                  m_incarnation;
  int                                          m_partition;
  programs::TokenLedger                        m_ledger;
  Appender                                     m_appender;
  AdmissionService*                            m_room;
  programs::AdaptiveReadSize                   m_pace{platform::kPageBytes};
  std::unordered_map<std::string, Account>     m_accounts;  // by program
  std::unordered_map<std::uint64_t, OpenClaim> m_claims;    // by number
  std::unordered_map<std::string, Time> m_spare;  // programs that may have some
  bool                                m_give_back_due = false;  // a timer runs
  std::uint64_t                       m_last_number = 0;        // of records
  std::uint64_t                       m_last_request = 0;
  std::int64_t                        m_next = 0;  // offset to read on from
  std::int64_t                        m_goal = 0;  // offset to read up to
  // Own records that the log has acknowledged and that come after some that are
  // still to be read, by offset.
  std::map<std::int64_t, std::string> m_appended;
  bool                                m_reading = false;
  bool                                m_read_due = false;  // a timer runs
  bool m_caught_up = false;  // read to the end since the start
};

}  // namespace yuccawick::gateway

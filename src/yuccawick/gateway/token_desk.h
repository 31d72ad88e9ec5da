// Counts the tokens of the agent programs that this node is home of.
//
// Accounts live in memory and claim from the platform's log. Whoever asks for a
// turn gets an answer soon: at once if the account has room, after a claim (two
// calls of the log) if not, when a turn of the program ends if only turns under
// way stand in the way.
//
// No turn runs on tokens that the log has not granted. All nodes may lose power
// at any moment, also while the log is away; tokens used without a record would
// be granted a second time then, and the program would end above its budget. So
// the first home claims the next turn's tokens when a turn ends: a program has
// one turn to go on with when the log goes away, and loses one turn's tokens at
// the most when its home loses power.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "yuccawick/gateway/appender.h"
#include "yuccawick/gateway/log_health.h"
#include "yuccawick/programs/token_ledger.h"

namespace yuccawick::gateway {

using net::Duration;
using net::Time;

enum class ReserveOutcome : std::uint8_t {
  kUnsure,  // the log does not answer
  kStart,
  kSpent,
  kHold,  // not decided yet; ask this node again
};
std::string_view Name(ReserveOutcome outcome);

struct TurnBudget {
  std::string      program;
  programs::Tokens budget = 0;  // of the program
  programs::Tokens most = 0;    // that the turn may generate
};

class TokenDesk {
 public:
  using Done = std::function<void(ReserveOutcome)>;

  // One desk counts the programs whose claims lie in one partition.
  TokenDesk(net::EventLoop* loop, const Thresholds* thresholds,
            platform::RecordLog* store, Log* log, Metrics* metrics,
            std::string incarnation, int partition);

  // Reads the claims of before this node started.
  void     Start();
  // Finds out whether the log answers.
  void     Probe();
  bool     log_away() const { return m_health.away(); }
  Duration LogAwayFor() const { return m_health.AwayFor(); }
  int      partition() const { return m_partition; }

  // Whether to claim ahead for the program: only the first home does, or each
  // node that ever counted for it would keep tokens from the others.
  enum class Rank : std::uint8_t { kFirstHome, kOther };
  void Reserve(const TurnBudget& turn, Rank rank, Done done);
  void EndTurn(const TurnBudget& turn, programs::Tokens used);
  // The node stops: what it was granted and does not need goes back.
  void GiveBackAll();
  void Sweep();

 private:
  struct Waiting {
    TurnBudget turn;
    Done       done;
    Time       until = 0;
    bool       denied = false;  // the log granted its claim nothing
  };
  struct Account {
    programs::TokenAccount tokens;
    Time                   used = 0;
    // For a turn under way to end, or for the claim ahead.
    std::deque<Waiting>    waiting;
    Rank                   rank = Rank::kOther;
    bool                   claiming_ahead = false;
    bool                   spent = false;  // a claim ahead was granted nothing
  };
  struct OpenClaim {
    std::string            program;
    std::optional<Waiting> request;  // nothing: a claim ahead
  };

  void Answer(const Waiting& request);
  void Wait(const Waiting& request);
  void Claim(const Waiting& request);
  void ClaimAhead(const TurnBudget& turn);
  void SendClaim(programs::TokenClaim claim, const OpenClaim& open);
  void ClaimAppended(std::uint64_t number, std::int64_t end);
  void ClaimLost(std::uint64_t number, const platform::StoreError& error);
  void ClaimDecided(std::uint64_t number, programs::Tokens granted);
  void ClaimFailed(std::uint64_t number);
  void EndClaimAhead(const std::string& program, bool spent);
  std::uint64_t NextNumber();
  void          ReadClaims();
  void          ReadPage();
  void          ReadFailed();
  void          TakeRecord(const std::string& record);
  void          WakeWaiting(const std::string& program);

  net::EventLoop*                              m_loop;
  const Thresholds*                            m_thresholds;
  platform::RecordLog*                         m_store;
  LogHealth                                    m_health;
  Log*                                         m_log;
  std::string                                  m_incarnation;
  int                                          m_partition;
  programs::TokenLedger                        m_ledger;
  Appender                                     m_appender;
  std::unordered_map<std::string, Account>     m_accounts;  // by program
  std::unordered_map<std::uint64_t, OpenClaim> m_claims;    // by number
  std::uint64_t                                m_last_number = 0;
  std::uint64_t m_unsure_claim = 0;  // sent, and its answer was lost
  std::int64_t  m_next = 0;          // offset to read on from
  std::int64_t  m_goal = 0;          // offset to read up to
  Time          m_read_at = 0;       // began to read then
  bool          m_reading = false;
  bool          m_caught_up = false;  // read whole since the start
};

}  // namespace yuccawick::gateway

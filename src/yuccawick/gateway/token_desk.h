// Counts the tokens of the agent programs that this node is home of.
//
// Accounts live in memory and claim from the platform's log. Whoever asks for a
// turn gets an answer soon: at once if the account has room, after a claim (two
// calls of the log) if not, when a turn of the program ends if only turns under
// way stand in the way.
//
// While the log is away for most nodes, the home of a program may use tokens
// without a record, half of what the log last left; the record follows. A node
// that the log alone does not answer may not: others still claim there.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
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
  kUnsure,  // the log does not answer, and nothing is left to allow
  kStart,
  kSpent,
  // As kUnsure, and this node used tokens that the log does not know yet:
  // nobody else may claim for the program until it does.
  kHold,
};
std::string_view Name(ReserveOutcome outcome);

struct TurnBudget {
  std::string      program;
  programs::Tokens budget = 0;  // of the program
  programs::Tokens most = 0;    // that the turn may generate
};

// What the desk needs other nodes for while claims cannot be made.
class OutagePeers {
 public:
  virtual ~OutagePeers() = default;
  // Most nodes agree that the partition does not answer.
  virtual bool LogIsAwayForMost(int partition) const = 0;
  // Tells a record, or a grant of the log, to the other homes of its program.
  virtual void TellRecord(const programs::TokenClaim& record) = 0;
};

class TokenDesk {
 public:
  using Done = std::function<void(ReserveOutcome)>;

  // One desk counts the programs whose claims lie in one partition.
  TokenDesk(net::EventLoop* loop, const Thresholds* thresholds,
            platform::RecordLog* store, Log* log, Metrics* metrics,
            std::string incarnation, int partition);
  void SetPeers(OutagePeers* peers) { m_peers = peers; }

  // Reads the claims of before this node started; allowances wait for that.
  void Start();
  // Finds out whether the log answers.
  void Probe();
  bool log_away() const { return m_health.away(); }
  int  partition() const { return m_partition; }
  // Most nodes agree that the log is away; call many times a second meanwhile.
  void NoteOutageGoesOn();

  // What to do if a claim is needed and the log does not answer.
  enum class Outage : std::uint8_t { kRefuse, kUseAllowance };
  void Reserve(const TurnBudget& turn, Outage outage, Done done);
  void EndTurn(const TurnBudget& turn, programs::Tokens used);
  // A grant of the log to another node, or the record of one that used tokens
  // while the log is away. Such a record is appended from here too, in case
  // that node does not live to do it.
  void TakePeerRecord(const programs::TokenClaim& record);
  // Tells the records again that the log does not have yet: their homes may
  // have changed or started anew. Call a few times a second.
  void TellRecords();
  // The node stops: what it was granted and does not need goes back.
  void GiveBackAll();
  void Sweep();

 private:
  struct Waiting {
    TurnBudget turn;
    Outage     outage = Outage::kRefuse;
    Done       done;
    Time       until = 0;
  };
  struct Account {
    programs::TokenAccount tokens;
    Time                   used = 0;
    std::deque<Waiting>    waiting;         // for a turn under way to end
    int                    unrecorded = 0;  // allowances not yet in the log
  };

  void Answer(const Waiting& request);
  void Claim(const Waiting& request);
  void ClaimDecided(std::uint64_t number, programs::Tokens granted);
  void TellGrant(programs::TokenClaim claim, programs::Tokens granted);
  void ClaimFailed(std::uint64_t number);
  programs::TokenClaim TakenRecord(const std::string& program,
                                   programs::Tokens   budget,
                                   programs::Tokens   tokens);
  void                 UseAllowance(const Waiting& request);
  void                 Insist(const programs::TokenClaim& record);
  void                 Recorded(const programs::TokenClaim& record);
  std::uint64_t        NextNumber();
  void ClaimLost(std::uint64_t number, const platform::StoreError& error);
  void ReadClaims();
  void ReadPage();
  void ReadFailed();
  bool KnowsTheLog() const;
  programs::Tokens Allowance(const Waiting& request);
  void             TakeRecord(const std::string& record);
  void             WakeWaiting(const std::string& program);

  net::EventLoop*                            m_loop;
  const Thresholds*                          m_thresholds;
  platform::RecordLog*                       m_store;
  LogHealth                                  m_health;
  Metrics*                                   m_metrics;
  OutagePeers*                               m_peers = nullptr;
  Log*                                       m_log;
  std::string                                m_incarnation;
  int                                        m_partition;
  programs::TokenLedger                      m_ledger;
  Appender                                   m_appender;
  std::unordered_map<std::string, Account>   m_accounts;  // by program
  std::unordered_map<std::uint64_t, Waiting> m_claims;    // by number
  std::vector<programs::TokenClaim> m_unrecorded;         // not in the log yet
  std::uint64_t                     m_last_number = 0;
  std::uint64_t m_unsure_claim = 0;  // sent, and its answer was lost
  std::int64_t  m_next = 0;          // offset to read on from
  std::int64_t  m_goal = 0;          // offset to read up to
  Time          m_read_at = 0;       // began to read then
  bool          m_reading = false;
  bool          m_caught_up = false;  // read whole since the start
  // When all that the log holds was last known here, but for what others were
  // granted at that moment.
  Time          m_sure_at = 0;
};

}  // namespace yuccawick::gateway

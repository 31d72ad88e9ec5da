// Turns and token budgets as this node serves them: from memory where it can,
// from the platform's log where it must.
//
//   history   TurnHistory holds what this node finished or read. A turn it does
//             not hold is looked for in the whole log; the search starts after
//             the question came, so what it does not find does not exist.
//   recording a finished turn is appended to the log before the client sees the
//             end of its answer. Appends of a partition go one after the other,
//             each with all turns that came meanwhile.
//   budgets   claims go to the log and are decided by its order.
//
// While the log does not answer, turns wait for it in memory and are appended
// when it is back.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "platform/store.h"
#include "yuccawick/gateway/log.h"
#include "yuccawick/gateway/metrics.h"
#include "yuccawick/programs/token_ledger.h"
#include "yuccawick/programs/turn_history.h"

namespace yuccawick::gateway {

using net::Duration;
using net::Time;

// Partitions of our topics. Each takes an append every two milliseconds with
// any number of records; a search reads all of them.
inline constexpr int kTurnPartitions = 2;

// Carries records to one partition, one append at a time.
class Appender {
 public:
  using Done = std::function<void(tl::expected<platform::Appended,
                                               platform::StoreError>)>;
  Appender(net::EventLoop* loop, platform::Store* store, platform::Topic topic,
           int partition);
  // `done` is called once, with the append that carried the record. With
  // `insist`, failed appends are repeated until one succeeds.
  void Add(std::string record, bool insist, Done done);
  std::size_t waiting() const { return m_waiting.size() + m_flying.size(); }

 private:
  struct Item {
    std::string record;
    bool        insist;
    Done        done;
  };
  void Pump();
  void Finish(const tl::expected<platform::Appended, platform::StoreError>&);

  net::EventLoop*   m_loop;
  platform::Store*  m_store;
  platform::Topic   m_topic;
  int               m_partition;
  std::vector<Item> m_waiting;
  std::vector<Item> m_flying;
  bool              m_busy = false;
};

enum class FindOutcome : std::uint8_t {
  kFound,
  kUnknown,  // certainly no such turn
  kUnsure,   // the log does not answer
};

class TurnKeeper {
 public:
  TurnKeeper(net::EventLoop* loop, platform::Store* store, Log* log,
             Metrics* metrics, std::string incarnation);

  // Makes sure that the chain of turn `id` is in history().
  using FindDone = std::function<void(FindOutcome)>;
  void Find(const std::string& id, FindDone done);

  // Keeps the turn; `done` once it is durable.
  void Keep(programs::Turn turn, Duration retention,
            std::function<void()> done);

  // Reserves a turn of `most` tokens in the program's budget.
  using ReserveDone = std::function<void(std::optional<programs::TokenAnswer>)>;
  void Reserve(const std::string& program, programs::Tokens budget,
               programs::Tokens most, ReserveDone done);
  // Tokens handed to a client, and the end of a reserved turn.
  void Use(const std::string& program, programs::Tokens tokens);
  void EndTurn(const std::string& program, programs::Tokens most);

  programs::TurnHistory& history() { return m_history; }
  std::size_t            unkept() const;  // turns that are not durable yet
  // How long turns read from the log are kept, in ms: the longest of the routes.
  void                   SetRetention(Duration retention) {
    m_retention = retention;
  }
  bool                   log_away() const { return m_log_away; }
  void                   Sweep();

 private:
  struct Partition {
    std::int64_t next = 0;
    bool         done = false;
  };
  struct Account {
    programs::TokenAccount tokens;
    Time                   used = 0;
  };
  struct Waiting {
    std::string      program;
    programs::Tokens most = 0;
    ReserveDone      done;
  };

  void StartScan();
  void ScanPartition(int partition);
  void EndScan(bool complete);
  void TakeTurns(const std::vector<platform::LogRecord>& records);
  void SubmitClaim(const std::string& program, programs::Tokens most,
                   ReserveDone done);
  void ReadClaims();
  void TakeClaim(const std::string& record);
  void SettleClaim(std::uint64_t number, programs::Tokens granted);
  void ClaimFailed(std::uint64_t number);
  void Retry(const Waiting& waiting);
  void NoteLog(bool answered, std::string_view call);

  net::EventLoop*        m_loop;
  platform::Store*       m_store;
  Log*                   m_log;
  Metrics*               m_metrics;
  std::string            m_incarnation;
  programs::TurnHistory  m_history;
  programs::TokenLedger  m_ledger;
  std::vector<Appender>  m_turn_appenders;
  Appender               m_claim_appender;
  std::vector<Partition> m_partitions;
  bool                   m_scanning = false;
  int                    m_scan_open = 0;
  bool                   m_scan_failed = false;
  std::vector<std::pair<std::string, FindDone>> m_scan_waiting;  // the next one
  std::vector<std::pair<std::string, FindDone>> m_scan_served;   // this one
  std::unordered_map<std::string, Account>      m_accounts;  // by program
  std::unordered_map<std::uint64_t, Waiting>    m_claims;    // by number
  std::uint64_t m_last_claim = 0;
  std::int64_t  m_claims_next = 0;  // offset to read on from
  std::int64_t  m_claims_goal = 0;  // read up to here, at least
  bool          m_reading_claims = false;
  bool          m_log_away = false;
  Time          m_retry_log_at = 0;
  std::size_t   m_unkept = 0;
  Duration      m_retention = 60'000;  // until a manifest says
};

}  // namespace yuccawick::gateway

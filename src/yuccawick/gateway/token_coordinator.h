// Reserves tokens for turns within each program's budget, for the programs of
// one claim partition.
//
// Reservations and settlements are appended to the platform log and decided by
// replaying it (programs/token_ledger.h). The coordinator itself holds no
// tokens: any node can take over at any time, and one that was paused has
// nothing to give away. Reserve() completes after one append. If the log takes
// longer than `home_answer` ms, it completes with kUnsure; the turn may then
// ask another coordinator under the same id.
//
// Normally one node coordinates a partition and no other node writes to it, so
// that the outcome of an append is known without reading the log back.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
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
  kUnsure,  // the log does not answer
  kStart,
  kSpent,
  kHold,    // waits for turns that are not settled; repeat the request
  kNoRoom,  // no capacity for another program
};
std::string_view Name(ReserveOutcome outcome);

struct ReserveResult {
  ReserveOutcome outcome = ReserveOutcome::kUnsure;
  // Unless the turn starts: whether a claim may still grant the reservation.
  // The sender then has to settle it if it gives the turn up.
  bool           claimed = false;
};

// A turn that wants to run. It keeps its id when it is requested again, here or
// at another coordinator.
struct TurnBudget {
  std::string                 program;
  programs::ReservationId     id;
  programs::Tokens            budget = 0;      // of the program, tokens
  programs::Tokens            max_tokens = 0;  // limit of the turn, tokens
  admission::AdmissionRequest admission_request =
      {};  // capacity needed at model servers
};

// A turn that has ended, or was given up.
struct EndedTurn {
  std::string              program;
  programs::TurnSettlement settlement;
  // The server that ran it and has its prompt cached; empty: unknown.
  std::string              server = {};
};

class TokenCoordinator {
 public:
  using ReserveDone = std::function<void(const ReserveResult&)>;
  // `recorded`: the log has the settlement.
  using SettleDone = std::function<void(bool recorded)>;

  // `admission_service` decides which programs may start; nullptr: all may.
  TokenCoordinator(net::EventLoop* loop, const Thresholds* thresholds,
                   platform::RecordLog* store, Log* log,
                   std::string incarnation, int partition,
                   programs::TokenLedger::SenderCheck sender_runs,
                   AdmissionService* admission_service = nullptr);

  // Calls `done` once, within `home_answer` ms.
  void        Reserve(const TurnBudget& turn, ReserveDone done);
  // Records what a turn used. Calls `done` once, within `settle_answer` ms;
  // false: ask again, here or at another coordinator.
  void        Settle(const EndedTurn& turn, SettleDone done);
  // The turn runs under another coordinator's count, or its sender cannot be
  // reached: its capacity counts as free. Its tokens stay reserved.
  void        AbandonTurn(const programs::ReservationId& id);
  // The server that ran the program's last turn; empty: unknown.
  std::string LastServer(const std::string& program) const;
  // Whether settlements wait for the log.
  bool        HasSettlements() const;
  // Grants nothing more and appends what waits, for the shutdown of the node.
  void        Close();
  // Removes programs that were idle for kLedgerRetention.
  void        Sweep();

  Duration LogUnavailableFor() const { return m_health.UnavailableFor(); }
  int      partition() const { return m_partition; }

 private:
  struct PendingRequest {
    std::uint64_t number = 0;
    TurnBudget    turn;
    ReserveDone   done;
    bool          claimed = false;   // a claim with it was sent
    bool          denied = false;    // the last claim with it did not fit
    bool          admitted = false;  // counted by m_admission
  };
  struct PendingSettlement {
    programs::TurnSettlement settlement;
    std::vector<SettleDone>  done;
  };
  struct Program {
    Time                           last_used = 0;
    std::vector<PendingRequest>    waiting = {};
    std::vector<PendingSettlement> settlements = {};  // not sent yet
    std::vector<PendingSettlement> sent_settlements = {};
    bool        appending = false;  // a record is on its way to the log
    bool        started = false;    // some turn was admitted
    std::string server = {};        // server that ran the last turn
  };

  // Completes the requests that can be decided, then appends what remains.
  void Serve(const std::string& program);
  // Admits the request unless it has been admitted before. Does nothing until
  // the claims have been read, since they tell whether the program is new.
  // Returns false if the request is refused.
  bool Admit(Program* state, PendingRequest* request);
  void CancelAdmission(const PendingRequest& request);
  void EndAdmission(const programs::ReservationId& id, programs::Tokens used);
  std::optional<ReserveOutcome> Decide(const PendingRequest& request) const;
  void AbandonRequest(const std::string& program, std::uint64_t number);
  // Claims for the waiting requests, or schedules the append of settlements
  // that no claim takes along.
  void Balance(const std::string& program, Program* state);
  void AppendSettlements(const std::string& program);
  // Appends a record with the program's settlements and waiting requests.
  void SendRecord(const std::string& program, Program* state);
  void OnRecordAppended(const programs::TokenClaim& claim,
                        const std::string& record, std::int64_t offset);
  void OnRecordRefused(const programs::TokenClaim& claim);
  void CompleteSettlements(const std::string& program, bool recorded);
  // The outcome of the own record is known.
  void OnRecordDecided(const programs::TokenClaim& claim);
  void CatchUp();
  void FinishCatchUp();
  void SkipTo(std::int64_t first);
  void ReadClaims();
  void ReadPage();
  void ScheduleRead();  // after `log_away_pause`
  void ApplyPage(const platform::ReadPage& page);
  void ApplyRecord(const std::string& record, std::int64_t offset);
  // Applies own appended records that are next in order without reading them
  // back.
  void ApplyAppended();
  void ScheduleSettlements(const std::string& program);

  net::EventLoop*                          m_loop;
  const Thresholds*                        m_thresholds;
  platform::RecordLog*                     m_store;
  LogHealth                                m_health;
  Log*                                     m_log;
  std::string                              m_incarnation;
  int                                      m_partition;
  programs::TokenLedger                    m_ledger;
  programs::TokenLedger::SenderCheck       m_sender_runs;
  Appender                                 m_appender;
  AdmissionService*                        m_admission;
  programs::AdaptiveReadSize               m_read_size{platform::kPageBytes};
  std::unordered_map<std::string, Program> m_programs;
  // Turns that count in m_admission, by id.
  std::map<programs::ReservationId, admission::AdmissionRequest> m_running;
  std::vector<std::string> m_settling;  // programs of the next settlements
  std::uint64_t            m_last_request = 0;
  std::int64_t             m_next_offset = 0;  // offset to read on from
  std::int64_t             m_read_until = 0;   // offset to read up to
  // Own acknowledged records that follow records not read yet, by offset.
  std::map<std::int64_t, std::string>          m_appended;
  // Own records whose outcome is not known yet, by offset.
  std::map<std::int64_t, programs::TokenClaim> m_undecided;
  bool                                         m_reading = false;
  bool m_read_scheduled = false;  // a timer runs
  bool m_caught_up = false;       // has read to the end once
  bool m_closed = false;
};

}  // namespace yuccawick::gateway

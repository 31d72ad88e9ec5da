#include "yuccawick/gateway/token_coordinator.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

#include "yuccawick/programs/record.h"

namespace yuccawick::gateway {
namespace {

using platform::StoreFailure;
using platform::StoreResult;
using platform::Topic;
using programs::ReservationId;
using programs::TokenClaim;
using programs::TurnSettlement;

}  // namespace

int ClaimPartitionOf(const std::string& program) {
  return static_cast<int>(XXH3_64bits(program.data(), program.size()) %
                          kClaimPartitions);
}

std::string TokenCoordinatorKey(int partition) {
  return "claims " + std::to_string(partition);
}

std::string_view Name(ReserveOutcome outcome) {
  constexpr std::array<std::string_view, 5> kNames{"unsure", "start", "spent",
                                                   "hold", "no_room"};
  return kNames[static_cast<std::size_t>(outcome)];
}

TokenCoordinator::TokenCoordinator(
    net::EventLoop* loop, const Thresholds* thresholds,
    platform::RecordLog* store, Log* log, std::string incarnation,
    int partition, programs::TokenLedger::SenderCheck sender_runs,
    AdmissionService* admission_service)
    : m_loop(loop),
      m_thresholds(thresholds),
      m_store(store),
      m_health(loop, log, TokenCoordinatorKey(partition)),
      m_log(log),
      m_incarnation(std::move(incarnation)),
      m_partition(partition),
      m_sender_runs(std::move(sender_runs)),
      m_appender(loop, thresholds, store, &m_health, Topic::kClaims, partition,
                 m_incarnation),
      m_admission(admission_service) {}

// Reservations ---------------------------------------------------------------

void TokenCoordinator::Reserve(const TurnBudget& turn, ReserveDone done) {
  if (m_closed) {
    done({ReserveOutcome::kUnsure});
    return;
  }
  const std::uint64_t number = ++m_last_request;
  m_programs[turn.program].waiting.push_back({number, turn, std::move(done)});
  m_loop->After(m_thresholds->home_answer,
                [this, program = turn.program, number] {
                  AbandonRequest(program, number);
                });
  Serve(turn.program);
}

void TokenCoordinator::Serve(const std::string& program) {
  struct Decision {
    ReserveDone   done;
    ReserveResult result;
  };
  std::vector<Decision> decisions;
  Program&              state = m_programs.at(program);
  state.last_used = m_loop->now();
  std::vector<PendingRequest> undecided;
  for (PendingRequest& request : state.waiting) {
    const auto outcome = Admit(&state, &request)
                             ? Decide(request)
                             : std::optional(ReserveOutcome::kNoRoom);
    if (!outcome) {
      undecided.push_back(std::move(request));
      continue;
    }
    if (*outcome == ReserveOutcome::kStart) {
      m_running.emplace(request.turn.id, request.turn.admission_request);
    } else {
      CancelAdmission(request);
    }
    decisions.push_back({std::move(request.done),
                         {*outcome, request.claimed && !request.denied}});
  }
  state.waiting = std::move(undecided);
  const bool unused = !state.started && !state.appending &&
                      state.waiting.empty() && state.settlements.empty();
  if (unused) {
    m_programs.erase(program);
  } else {
    Balance(program, &state);
  }
  // Called last, because a callback may call Reserve() again.
  for (const Decision& decision : decisions) decision.done(decision.result);
}

bool TokenCoordinator::Admit(Program* state, PendingRequest* request) {
  // Until the claims are read, new programs cannot be distinguished.
  if (request->admitted || !m_caught_up) return true;
  // Granted before, but the answer did not arrive in time.
  if (m_running.contains(request->turn.id)) return true;
  if (m_admission != nullptr) {
    admission::AdmissionRequest admission_request =
        request->turn.admission_request;
    admission_request.under_way = admission_request.under_way ||
                                  state->started ||
                                  m_ledger.Granted(request->turn.program) > 0;
    if (!m_admission->TryAdmit(admission_request)) return false;
  }
  request->admitted = true;
  state->started = true;
  return true;
}

void TokenCoordinator::CancelAdmission(const PendingRequest& request) {
  if (m_admission != nullptr && request.admitted) {
    m_admission->CancelAdmission(request.turn.admission_request);
  }
}

std::optional<ReserveOutcome> TokenCoordinator::Decide(
    const PendingRequest& request) const {
  const TurnBudget& turn = request.turn;
  if (m_caught_up && m_ledger.IsGranted(turn.program, turn.id))
    return ReserveOutcome::kStart;
  if (request.denied) {
    const bool may_fit_later = m_ledger.MayFitLater(
        turn.program, turn.max_tokens, m_loop->now(), m_sender_runs);
    if (may_fit_later) return std::nullopt;
    return ReserveOutcome::kSpent;
  }
  // Claims and reads are retried until the log is back. Waiting for them would
  // only delay each turn by `home_answer`, so the requester tries the
  // coordinator next in rank at once.
  const bool waits_for_log = m_appender.busy() || !m_caught_up;
  if (m_health.unavailable() && waits_for_log) return ReserveOutcome::kUnsure;
  return std::nullopt;
}

// Responds before the requester's timeout, so that a coordinator that waits for
// the log is not suspected.
void TokenCoordinator::AbandonRequest(const std::string& program,
                                      std::uint64_t      number) {
  const auto state = m_programs.find(program);
  if (state == m_programs.end()) return;
  auto&      waiting = state->second.waiting;
  const auto request = std::find_if(
      waiting.begin(), waiting.end(),
      [number](const auto& each) { return each.number == number; });
  if (request == waiting.end()) return;
  const ReserveDone   done = std::move(request->done);
  const ReserveResult result =
      request->denied
          ? ReserveResult{ReserveOutcome::kHold}
          : ReserveResult{ReserveOutcome::kUnsure, request->claimed};
  CancelAdmission(*request);
  waiting.erase(request);
  Serve(program);
  done(result);
}

std::string TokenCoordinator::LastServer(const std::string& program) const {
  const auto found = m_programs.find(program);
  return found == m_programs.end() ? std::string() : found->second.server;
}

// Settlements ----------------------------------------------------------------

void TokenCoordinator::Settle(const EndedTurn& turn, SettleDone done) {
  const TurnSettlement& settlement = turn.settlement;
  EndAdmission(settlement.id, settlement.used);
  if (m_ledger.IsSettled(turn.program, settlement.id)) {
    done(true);
    return;
  }
  // Called by whichever comes first, the log or the timer.
  const auto callback = std::make_shared<SettleDone>(std::move(done));
  const auto complete = [callback](bool recorded) {
    const SettleDone taken = std::exchange(*callback, nullptr);
    if (taken) taken(recorded);
  };
  m_loop->After(m_thresholds->settle_answer, [complete] { complete(false); });
  Program& state = m_programs[turn.program];
  state.last_used = m_loop->now();
  if (!turn.server.empty()) state.server = turn.server;
  for (auto* pending : {&state.settlements, &state.sent_settlements}) {
    const auto same = std::find_if(
        pending->begin(), pending->end(),
        [&](const auto& each) { return each.settlement.id == settlement.id; });
    if (same == pending->end()) continue;
    same->done.emplace_back(complete);
    return;
  }
  state.settlements.push_back({settlement, {complete}});
  Balance(turn.program, &state);
}

void TokenCoordinator::CompleteSettlements(const std::string& program,
                                           bool               recorded) {
  const auto found = m_programs.find(program);
  if (found == m_programs.end()) return;
  for (const PendingSettlement& each :
       std::exchange(found->second.sent_settlements, {})) {
    for (const SettleDone& done : each.done) done(recorded);
  }
}

void TokenCoordinator::AbandonTurn(const ReservationId& id) {
  const auto found = m_running.find(id);
  if (found != m_running.end()) EndAdmission(id, found->second.max_tokens);
}

void TokenCoordinator::EndAdmission(const ReservationId& id,
                                    programs::Tokens     used) {
  const auto turn = m_running.extract(id);
  if (!turn.empty() && m_admission != nullptr)
    m_admission->OnTurnEnded(turn.mapped(), used);
}

bool TokenCoordinator::HasSettlements() const {
  return std::any_of(
      m_programs.begin(), m_programs.end(), [](const auto& entry) {
        return entry.second.appending || !entry.second.settlements.empty();
      });
}

void TokenCoordinator::Close() {
  m_closed = true;
  const Appender::Batch batch(&m_appender);
  for (const std::string& program : std::exchange(m_settling, {}))
    AppendSettlements(program);
}

// Settlements are delayed, so that one append carries those of several
// programs.
void TokenCoordinator::ScheduleSettlements(const std::string& program) {
  m_settling.push_back(program);
  if (m_settling.size() > 1) return;  // a timer runs
  m_loop->After(m_thresholds->settle_delay, [this] {
    const Appender::Batch batch(&m_appender);
    for (const std::string& due : std::exchange(m_settling, {}))
      AppendSettlements(due);
  });
}

void TokenCoordinator::AppendSettlements(const std::string& program) {
  const auto found = m_programs.find(program);
  if (found == m_programs.end()) return;
  Program& state = found->second;
  // Sent once the record on its way is decided, or the claims have been read.
  if (state.settlements.empty() || state.appending) return;
  if (m_caught_up) {
    SendRecord(program, &state);
  } else {
    CatchUp();
  }
}

// Records --------------------------------------------------------------------

// Only one record per program is on its way at a time: it states what was
// granted before it.
void TokenCoordinator::Balance(const std::string& program, Program* state) {
  if (state->appending) return;
  if (!m_caught_up) {
    if (!state->waiting.empty() || !state->settlements.empty()) CatchUp();
    return;
  }
  if (!state->settlements.empty()) {
    // What was denied may fit once these are settled.
    for (PendingRequest& request : state->waiting) request.denied = false;
  }
  const bool claims =
      std::any_of(state->waiting.begin(), state->waiting.end(),
                  [](const auto& request) { return !request.denied; });
  if (claims) {
    SendRecord(program, state);
  } else if (!state->settlements.empty()) {
    ScheduleSettlements(program);
  }
}

void TokenCoordinator::SendRecord(const std::string& program, Program* state) {
  TokenClaim claim{program};
  claim.before = m_ledger.Granted(program);
  claim.writer = m_incarnation;
  state->sent_settlements = std::exchange(state->settlements, {});
  for (const PendingSettlement& each : state->sent_settlements)
    claim.settled.push_back(each.settlement);
  for (PendingRequest& request : state->waiting) {
    if (request.denied) continue;
    request.claimed = true;
    claim.reservations.push_back({request.turn.id, request.turn.max_tokens});
    claim.budget = request.turn.budget;
  }
  state->appending = true;
  std::string encoded = programs::EncodeClaim(claim);
  m_appender.Add(
      encoded, [this, encoded, claim](const Appender::Result& result) {
        CompleteSettlements(claim.program, result.has_value());
        if (result) {
          OnRecordAppended(claim, encoded, result->offset);
        } else {
          m_log->Write(LogEvent::kFault, {{"what", "claim refused by the log"},
                                          {"program", claim.program},
                                          {"status", result.error().status}});
          OnRecordRefused(claim);
        }
      });
}

// Own records are not read back: once a read was pending, every claim would
// wait for the next read, for as long as the log's reads are slow.
void TokenCoordinator::OnRecordAppended(const TokenClaim&  claim,
                                        const std::string& record,
                                        std::int64_t       offset) {
  if (offset < m_next_offset) {  // already read
    OnRecordDecided(claim);
    return;
  }
  m_appended.emplace(offset, record);
  m_undecided.emplace(offset, claim);
  if (m_caught_up) ApplyAppended();
  if (m_next_offset > offset) return;
  // Records of other nodes precede this record.
  m_read_until = std::max(m_read_until, offset + 1);
  ReadClaims();
}

void TokenCoordinator::ApplyAppended() {
  m_appended.erase(m_appended.begin(), m_appended.lower_bound(m_next_offset));
  while (!m_appended.empty() && m_appended.begin()->first == m_next_offset) {
    const std::string record = std::move(m_appended.begin()->second);
    m_appended.erase(m_appended.begin());
    const std::int64_t offset = m_next_offset++;
    ApplyRecord(record, offset);
  }
}

void TokenCoordinator::OnRecordDecided(const TokenClaim& claim) {
  const auto found = m_programs.find(claim.program);
  if (found == m_programs.end()) return;
  Program& state = found->second;
  state.appending = false;
  std::size_t granted = 0;
  for (const programs::TokenReservation& reservation : claim.reservations) {
    if (m_ledger.IsGranted(claim.program, reservation.id)) {
      ++granted;
      continue;
    }
    for (PendingRequest& request : state.waiting) {
      if (request.turn.id == reservation.id) request.denied = true;
    }
  }
  m_log->Write(LogEvent::kClaim, {{"program", claim.program},
                                  {"turns", claim.reservations.size()},
                                  {"granted", granted},
                                  {"settled", claim.settled.size()},
                                  {"tokens", m_ledger.Granted(claim.program)},
                                  {"budget", claim.budget}});
  Serve(claim.program);
}

void TokenCoordinator::OnRecordRefused(const TokenClaim& claim) {
  const auto found = m_programs.find(claim.program);
  if (found == m_programs.end()) return;
  found->second.appending = false;
  for (const PendingRequest& request :
       std::exchange(found->second.waiting, {})) {
    CancelAdmission(request);
    request.done({ReserveOutcome::kUnsure});
  }
}

// Reads ----------------------------------------------------------------------

// Reads the existing claims before the first own record: each states the tokens
// granted before it, for readers that find older records deleted.
void TokenCoordinator::CatchUp() {
  if (!m_reading) ReadPage();
}

void TokenCoordinator::FinishCatchUp() {
  if (std::exchange(m_caught_up, true)) return;
  std::vector<std::string> programs;
  for (const auto& [program, state] : m_programs) programs.push_back(program);
  for (const std::string& program : programs) {
    if (m_programs.contains(program)) Serve(program);
  }
}

// The log has deleted records that were not read. Later records state what was
// granted before them.
void TokenCoordinator::SkipTo(std::int64_t first) {
  m_next_offset = first;
  m_ledger.MarkStale();
  // The outcome of own records among the deleted ones cannot be read. Their
  // turns are claimed again under the same ids.
  while (!m_undecided.empty() && m_undecided.begin()->first < first) {
    const auto claim = m_undecided.extract(m_undecided.begin());
    const auto state = m_programs.find(claim.mapped().program);
    if (state == m_programs.end()) continue;
    state->second.appending = false;
    Serve(claim.mapped().program);
  }
  ReadPage();
}

void TokenCoordinator::ReadClaims() {
  if (!m_reading && m_next_offset < m_read_until) ReadPage();
}

// Retries even when no request waits: while unavailable, requests are refused
// at once and would not detect that the log is back.
void TokenCoordinator::ScheduleRead() {
  if (std::exchange(m_read_scheduled, true)) return;
  m_loop->After(m_thresholds->log_away_pause, [this] {
    m_read_scheduled = false;
    if (m_caught_up) {
      ReadClaims();
    } else {
      CatchUp();
    }
  });
}

void TokenCoordinator::ReadPage() {
  m_reading = true;
  m_store->Read(Topic::kClaims, m_partition,
                {m_next_offset, m_read_size.bytes()}, m_thresholds->log_timeout,
                [this, began = m_loop->now()](
                    const StoreResult<platform::ReadPage>& result) {
                  m_reading = false;
                  const Duration elapsed = m_loop->now() - began;
                  if (result) {
                    m_read_size.OnReply(elapsed);
                  } else if (elapsed >= m_thresholds->log_timeout) {
                    m_read_size.OnTimeout();
                  }
                  const bool expired = !result && result.error().failure ==
                                                      StoreFailure::kExpired;
                  m_health.Observe(result.has_value() || expired, "read");
                  if (expired && result.error().first > m_next_offset) {
                    SkipTo(result.error().first);
                    return;
                  }
                  if (!result) {
                    ScheduleRead();
                    return;
                  }
                  ApplyPage(*result);
                  if (m_next_offset >= result->end) {
                    FinishCatchUp();
                  } else if (!m_caught_up) {
                    m_read_until = std::max(m_read_until, result->end);
                  }
                  ReadClaims();
                });
}

void TokenCoordinator::ApplyPage(const platform::ReadPage& page) {
  // Applying a record may trigger a read; while m_reading is set, none starts.
  m_reading = true;
  for (const auto& record : page.records) {
    if (record.offset < m_next_offset)
      continue;  // applied when it was appended
    m_next_offset = record.offset + 1;
    ApplyRecord(record.value, record.offset);
  }
  m_next_offset = std::max(m_next_offset, page.next);
  ApplyAppended();
  m_reading = false;
}

void TokenCoordinator::ApplyRecord(const std::string& record,
                                   std::int64_t       offset) {
  const auto own = m_undecided.extract(offset);
  const auto claim = programs::DecodeClaim(record);
  if (!claim) {
    m_log->Write(LogEvent::kFault, {{"what", "undecodable claim"}});
    return;
  }
  m_ledger.Apply(*claim, m_loop->now());
  for (const TurnSettlement& settlement : claim->settled)
    EndAdmission(settlement.id, settlement.used);
  if (!own.empty()) {
    OnRecordDecided(*claim);
    return;
  }
  const auto state = m_programs.find(claim->program);
  if (state == m_programs.end()) return;
  if (!claim->settled.empty()) {
    for (PendingRequest& request : state->second.waiting)
      request.denied = false;
  }
  Serve(claim->program);
}

void TokenCoordinator::Sweep() {
  const Time now = m_loop->now();
  m_ledger.Expire(now);
  std::erase_if(m_programs, [now](const auto& entry) {
    const Program& state = entry.second;
    return now - state.last_used > programs::kLedgerRetention &&
           state.waiting.empty() && state.settlements.empty() &&
           !state.appending;
  });
}

}  // namespace yuccawick::gateway

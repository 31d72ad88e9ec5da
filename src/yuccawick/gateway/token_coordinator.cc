#include "yuccawick/gateway/token_coordinator.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

#include "yuccawick/programs/record.h"

namespace yuccawick::gateway {
namespace {

using platform::StoreFailure;
using platform::StoreResult;
using platform::Topic;
using programs::TokenAnswer;

// Time after which idle accounts are removed; the same as in the ledger.
constexpr Duration kAccountRetention = programs::kLedgerRetention;  // ms

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

TokenCoordinator::TokenCoordinator(net::EventLoop*      loop,
                                   const Thresholds*    thresholds,
                                   platform::RecordLog* store, Log* log,
                                   std::string incarnation, int partition,
                                   AdmissionService* admission_service)
    : m_loop(loop),
      m_thresholds(thresholds),
      m_store(store),
      m_health(loop, log, TokenCoordinatorKey(partition)),
      m_log(log),
      m_incarnation(std::move(incarnation)),
      m_partition(partition),
      m_appender(loop, thresholds, store, &m_health, Topic::kClaims, partition,
                 m_incarnation),
      m_admission(admission_service) {}

// Reservations ---------------------------------------------------------------

void TokenCoordinator::Reserve(const TurnBudget& turn, Done done) {
  const auto [account, added] = m_accounts.try_emplace(
      turn.program, Account{programs::TokenAccount(turn.budget), 0, {}});
  account->second.max_tokens = turn.max_tokens;
  const std::uint64_t number = ++m_last_request;
  account->second.waiting.push_back({number, turn, std::move(done)});
  m_loop->After(m_thresholds->home_answer,
                [this, program = turn.program, number] {
                  AbandonRequest(program, number);
                });
  Serve(turn.program);
}

void TokenCoordinator::Serve(const std::string& program) {
  struct Decision {
    Done           done;
    ReserveOutcome outcome;
  };
  std::vector<Decision> decisions;
  Account&              account = m_accounts.at(program);
  account.last_used = m_loop->now();
  std::vector<PendingRequest> undecided;
  for (PendingRequest& request : account.waiting) {
    const auto outcome = Admit(&account, &request)
                             ? Decide(&account, request)
                             : std::optional(ReserveOutcome::kNoRoom);
    if (!outcome) {
      undecided.push_back(std::move(request));
      continue;
    }
    if (*outcome != ReserveOutcome::kStart) CancelAdmission(request);
    decisions.push_back({std::move(request.done), *outcome});
  }
  account.waiting = std::move(undecided);
  const bool unused =
      !account.started && !account.claiming && account.waiting.empty();
  if (unused) {
    m_accounts.erase(program);
  } else {
    Balance(program, &account);
  }
  // Called last, because a callback may call Reserve() again.
  for (const Decision& decision : decisions) decision.done(decision.outcome);
}

bool TokenCoordinator::Admit(Account* account, PendingRequest* request) {
  // Until the claims are read, new programs cannot be distinguished.
  if (request->admitted || !m_caught_up) return true;
  if (m_admission != nullptr) {
    admission::AdmissionRequest admission_request =
        request->turn.admission_request;
    admission_request.under_way = admission_request.under_way ||
                                  account->started ||
                                  m_ledger.Granted(request->turn.program) > 0;
    if (!m_admission->TryAdmit(admission_request)) return false;
  }
  request->admitted = true;
  account->started = true;
  return true;
}

void TokenCoordinator::CancelAdmission(const PendingRequest& request) {
  if (m_admission != nullptr && request.admitted) {
    m_admission->CancelAdmission(request.turn.admission_request);
  }
}

std::optional<ReserveOutcome> TokenCoordinator::Decide(
    Account* account, const PendingRequest& request) const {
  const programs::Tokens max_tokens = request.turn.max_tokens;
  if (account->tokens.Reserve(max_tokens) == TokenAnswer::kStart) {
    return ReserveOutcome::kStart;
  }
  if (request.denied) {
    if (account->tokens.MayFitLater(max_tokens)) return std::nullopt;
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
// the log is not suspected. Tokens granted for the request later are released.
void TokenCoordinator::AbandonRequest(const std::string& program,
                                      std::uint64_t      number) {
  const auto account = m_accounts.find(program);
  if (account == m_accounts.end()) return;
  auto&      waiting = account->second.waiting;
  const auto request = std::find_if(
      waiting.begin(), waiting.end(),
      [number](const auto& each) { return each.number == number; });
  if (request == waiting.end()) return;
  const Done done = std::move(request->done);
  const bool unavailable = !request->denied && m_health.unavailable();
  CancelAdmission(*request);
  waiting.erase(request);
  // The tokens held for this request may be released now.
  Serve(program);
  done(unavailable ? ReserveOutcome::kUnsure : ReserveOutcome::kHold);
}

std::string TokenCoordinator::LastServer(const std::string& program) const {
  const auto found = m_accounts.find(program);
  return found == m_accounts.end() ? std::string() : found->second.server;
}

void TokenCoordinator::EndTurn(const TurnBudget& turn, programs::Tokens used,
                               const std::string& server) {
  if (m_admission != nullptr)
    m_admission->OnTurnEnded(turn.admission_request, used);
  const auto found = m_accounts.find(turn.program);
  if (found == m_accounts.end()) return;
  found->second.tokens.EndTurn(turn.max_tokens, used);
  if (!server.empty()) found->second.server = server;
  // They lack fewer tokens now, so a new claim may succeed.
  for (PendingRequest& request : found->second.waiting) request.denied = false;
  Serve(turn.program);
}

// Claims ---------------------------------------------------------------------

// Only one claim per account is pending at a time, since the size of the next
// depends on the result.
void TokenCoordinator::Balance(const std::string& program, Account* account) {
  if (account->claiming) return;
  if (!m_caught_up) {
    if (!account->waiting.empty()) CatchUp();
    return;
  }
  programs::Tokens  wish = TokensAhead(*account) - account->tokens.Available();
  const TurnBudget* first = nullptr;
  for (const PendingRequest& request : account->waiting) {
    if (request.denied) continue;
    if (first == nullptr) first = &request.turn;
    wish += request.turn.max_tokens;
  }
  if (first != nullptr) {
    SendClaim(program, account, first->max_tokens, wish);
  } else if (account->waiting.empty() &&
             account->tokens.Available() <
                 std::min(account->max_tokens, TokensAhead(*account)) &&
             !m_appender.busy()) {
    SendClaim(program, account, account->max_tokens, wish);
  } else if (account->waiting.empty() && account->tokens.Available() > 0) {
    const Duration delay = TokensAhead(*account) > 0
                               ? m_thresholds->ahead_memory
                               : m_thresholds->give_back_delay;
    m_release_at[program] = m_loop->now() + delay;
    ScheduleReleases();
  }
}

programs::Tokens TokenCoordinator::TokensAhead(const Account& account) const {
  const auto budget = account.tokens.budget();
  const bool budget_is_small =
      budget < m_thresholds->ahead_turns * account.max_tokens;
  if (budget_is_small || account.spent) return 0;
  return std::max(account.max_tokens, budget / m_thresholds->ahead_divisor);
}

void TokenCoordinator::SendClaim(const std::string& program, Account* account,
                                 programs::Tokens max_tokens,
                                 programs::Tokens wish) {
  programs::TokenClaim claim = account->tokens.NextClaim(max_tokens);
  claim.wish = std::max(claim.need, wish);
  claim.program = program;
  claim.number = ++m_last_record;
  account->claiming = true;
  m_claims.emplace(claim.number, OpenClaim{program, claim.need});
  SendRecord(std::move(claim));
}

void TokenCoordinator::SendRecord(programs::TokenClaim record) {
  record.node = m_incarnation;
  record.before = m_ledger.Granted(record.program);
  std::string encoded = programs::EncodeClaim(record);
  m_appender.Add(
      encoded, [this, encoded, record](const Appender::Result& result) {
        if (result) {
          OnRecordAppended(encoded, result->offset);
        } else {
          m_log->Write(LogEvent::kFault, {{"what", "claim refused by the log"},
                                          {"program", record.program},
                                          {"status", result.error().status}});
          OnClaimRefused(record.number);
        }
      });
}

// Own records are not read back: once a read was pending, every claim would
// wait for the next read, for as long as the log's reads are slow.
void TokenCoordinator::OnRecordAppended(const std::string& record,
                                        std::int64_t       offset) {
  if (offset < m_next_offset) return;  // already read
  m_appended.emplace(offset, record);
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
    ++m_next_offset;
    ApplyRecord(record);
  }
}

void TokenCoordinator::OnClaimDecided(std::uint64_t    number,
                                      programs::Tokens granted) {
  const auto claim = m_claims.extract(number);
  if (claim.empty()) return;
  const auto& [program, need] = claim.mapped();
  Account& account = m_accounts.at(program);
  account.claiming = false;
  account.tokens.OnGranted(granted);
  m_log->Write(LogEvent::kClaim, {{"program", program},
                                  {"number", static_cast<std::int64_t>(number)},
                                  {"need", need},
                                  {"granted", granted}});
  if (granted == 0) {
    account.spent = true;
    // Any request that lacks as many tokens would be denied too.
    for (PendingRequest& request : account.waiting) {
      const auto missing_tokens =
          request.turn.max_tokens - account.tokens.Available();
      request.denied = request.denied || missing_tokens >= need;
    }
  }
  Serve(program);
}

// Ends a claim without a decision: the log refused it or deleted its record.
void TokenCoordinator::OnClaimRefused(std::uint64_t number) {
  const auto claim = m_claims.extract(number);
  if (claim.empty()) return;
  Account& account = m_accounts.at(claim.mapped().program);
  account.claiming = false;
  for (const PendingRequest& request : std::exchange(account.waiting, {})) {
    CancelAdmission(request);
    request.done(ReserveOutcome::kUnsure);
  }
}

// Reads ----------------------------------------------------------------------

// Reads the existing claims before the first own claim: each claim states the
// tokens granted before it, for readers that find older records deleted.
void TokenCoordinator::CatchUp() {
  if (!m_reading) ReadPage();
}

void TokenCoordinator::FinishCatchUp() {
  if (std::exchange(m_caught_up, true)) return;
  std::vector<std::string> programs;
  for (const auto& [program, account] : m_accounts) programs.push_back(program);
  for (const std::string& program : programs) {
    if (m_accounts.contains(program)) Serve(program);
  }
}

// The log has deleted records that were not read. The ledger is out of date and
// is rebuilt from later records, which state what was granted before them.
void TokenCoordinator::SkipTo(std::int64_t first) {
  m_next_offset = first;
  m_ledger = {};
  // Own claims among the deleted records were decided, but the outcome cannot
  // be read.
  std::vector<std::uint64_t> open_claims;
  for (const auto& [number, claim] : m_claims) open_claims.push_back(number);
  if (!m_appender.busy()) {
    for (const std::uint64_t number : open_claims) OnClaimRefused(number);
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
    ApplyRecord(record.value);
  }
  m_next_offset = std::max(m_next_offset, page.next);
  ApplyAppended();
  m_reading = false;
}

void TokenCoordinator::ApplyRecord(const std::string& record) {
  const auto claim = programs::DecodeClaim(record);
  if (!claim) {
    m_log->Write(LogEvent::kFault, {{"what", "undecodable claim"}});
    return;
  }
  const auto granted = m_ledger.Apply(*claim, m_loop->now());
  if (claim->node != m_incarnation || claim->taken) return;
  OnClaimDecided(claim->number, granted);
}

// Releases -------------------------------------------------------------------

// Releases are delayed because the next turn may need the tokens, and so that
// one append carries several releases.
void TokenCoordinator::ScheduleReleases() {
  if (std::exchange(m_release_scheduled, true)) return;
  m_loop->After(m_thresholds->give_back_delay, [this] {
    m_release_scheduled = false;
    std::vector<std::string> due_programs;
    for (const auto& [program, time] : m_release_at) {
      if (time <= m_loop->now()) due_programs.push_back(program);
    }
    for (const std::string& program : due_programs) {
      m_release_at.erase(program);
      const auto account = m_accounts.find(program);
      if (account != m_accounts.end()) Release(program, &account->second);
    }
    if (!m_release_at.empty()) ScheduleReleases();
  });
}

void TokenCoordinator::Release(const std::string& program, Account* account) {
  if (account->claiming || !account->waiting.empty()) return;
  const auto released = account->tokens.ReleaseUnused();
  if (released <= 0) return;
  programs::TokenClaim release;
  release.number = ++m_last_record;
  release.program = program;
  release.wish = -released;
  release.taken = true;
  SendRecord(std::move(release));
}

void TokenCoordinator::ReleaseAllUnused() {
  for (auto& [program, account] : m_accounts) Release(program, &account);
}

void TokenCoordinator::Sweep() {
  const Time now = m_loop->now();
  m_ledger.Expire(now);
  std::erase_if(m_accounts, [now](const auto& entry) {
    const Account& account = entry.second;
    return now - account.last_used > kAccountRetention &&
           account.waiting.empty() && !account.claiming;
  });
}

}  // namespace yuccawick::gateway

#include "yuccawick/gateway/token_coordinator.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

#include "yuccawick/programs/record.h"

// Index: Asking, Claiming, Reading, Giving back.

namespace yuccawick::gateway {
namespace {

using platform::StoreFailure;
using platform::StoreResult;
using platform::Topic;
using programs::TokenAnswer;

// As long as the ledger keeps an idle program.
constexpr Duration kAccountMemory = programs::kLedgerRetention;  // ms

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
                                   AdmissionService* room)
    : m_loop(loop),
      m_thresholds(thresholds),
      m_store(store),
      m_health(loop, log, TokenCoordinatorKey(partition)),
      m_log(log),
      m_incarnation(std::move(incarnation)),
      m_partition(partition),
      m_appender(loop, thresholds, store, &m_health, Topic::kClaims, partition,
                 m_incarnation),
      m_room(room) {}

// Asking ---------------------------------------------------------------------

void TokenCoordinator::Reserve(const TurnBudget& turn, Done done) {
  const auto [account, added] = m_accounts.try_emplace(
      turn.program, Account{programs::TokenAccount(turn.budget), 0, {}});
  account->second.most = turn.max_tokens;
  const std::uint64_t number = ++m_last_request;
  account->second.waiting.push_back({number, turn, std::move(done)});
  m_loop->After(
      m_thresholds->home_answer,
      [this, program = turn.program, number] { GiveUp(program, number); });
  Serve(turn.program);
}

void TokenCoordinator::Serve(const std::string& program) {
  struct Answer {
    Done           done;
    ReserveOutcome outcome;
  };
  std::vector<Answer> answers;
  Account&            account = m_accounts.at(program);
  account.used = m_loop->now();
  std::vector<Waiting> left;
  for (Waiting& request : account.waiting) {
    const auto outcome = LetIn(&account, &request)
                             ? Decide(&account, request)
                             : std::optional(ReserveOutcome::kNoRoom);
    if (!outcome) {
      left.push_back(std::move(request));
      continue;
    }
    if (*outcome != ReserveOutcome::kStart) Withdraw(request);
    answers.push_back({std::move(request.done), *outcome});
  }
  account.waiting = std::move(left);
  const bool unused =
      !account.begun && !account.claiming && account.waiting.empty();
  if (unused) {
    m_accounts.erase(program);
  } else {
    Balance(program, &account);
  }
  // Last: whoever is answered may ask again at once.
  for (const Answer& answer : answers) answer.done(answer.outcome);
}

bool TokenCoordinator::LetIn(Account* account, Waiting* request) {
  // Before the claims are read, no program can be told from a new one.
  if (request->let_in || !m_caught_up) return true;
  if (m_room != nullptr) {
    admission::AdmissionRequest ask = request->turn.admission_request;
    ask.under_way = ask.under_way || account->begun ||
                    m_ledger.Granted(request->turn.program) > 0;
    if (!m_room->TryAdmit(ask)) return false;
  }
  request->let_in = true;
  account->begun = true;
  return true;
}

void TokenCoordinator::Withdraw(const Waiting& request) {
  if (m_room != nullptr && request.let_in) {
    m_room->CancelAdmission(request.turn.admission_request);
  }
}

std::optional<ReserveOutcome> TokenCoordinator::Decide(
    Account* account, const Waiting& request) const {
  const programs::Tokens most = request.turn.max_tokens;
  if (account->tokens.Reserve(most) == TokenAnswer::kStart) {
    return ReserveOutcome::kStart;
  }
  if (request.denied) {
    if (account->tokens.MayFitLater(most)) return std::nullopt;
    return ReserveOutcome::kSpent;
  }
  // A claim now would go behind one that hangs, or after a reading that does.
  // Either is tried again until the log is back; who takes this node's place
  // may reach it now. Were the asker held, each turn of the partition would
  // wait home_answer for nothing, for as long as this node is cut from the log.
  const bool hangs = m_appender.busy() || !m_caught_up;
  if (m_health.unavailable() && hangs) return ReserveOutcome::kUnsure;
  return std::nullopt;
}

// A home that waits for the log must not look dead to its asker. The request is
// forgotten: a claim that comes through for it is given back.
void TokenCoordinator::GiveUp(const std::string& program,
                              std::uint64_t      number) {
  const auto account = m_accounts.find(program);
  if (account == m_accounts.end()) return;
  auto&      waiting = account->second.waiting;
  const auto request = std::find_if(
      waiting.begin(), waiting.end(),
      [number](const auto& each) { return each.number == number; });
  if (request == waiting.end()) return;
  const Done done = std::move(request->done);
  const bool undecided = !request->denied && m_health.unavailable();
  Withdraw(*request);
  waiting.erase(request);
  // What was kept for it may be given back now.
  Serve(program);
  done(undecided ? ReserveOutcome::kUnsure : ReserveOutcome::kHold);
}

std::string TokenCoordinator::LastServer(const std::string& program) const {
  const auto found = m_accounts.find(program);
  return found == m_accounts.end() ? std::string() : found->second.server;
}

void TokenCoordinator::EndTurn(const TurnBudget& turn, programs::Tokens used,
                               const std::string& server) {
  if (m_room != nullptr) m_room->OnTurnEnded(turn.admission_request, used);
  const auto found = m_accounts.find(turn.program);
  if (found == m_accounts.end()) return;
  found->second.tokens.EndTurn(turn.max_tokens, used);
  if (!server.empty()) found->second.server = server;
  // They lack less now; the log may have as much.
  for (Waiting& request : found->second.waiting) request.denied = false;
  Serve(turn.program);
}

// Claiming -------------------------------------------------------------------

// One claim at a time: what a second one should ask for depends on what the
// first one brings.
void TokenCoordinator::Balance(const std::string& program, Account* account) {
  if (account->claiming) return;
  if (!m_caught_up) {
    if (!account->waiting.empty()) CatchUp();
    return;
  }
  programs::Tokens  wish = Ahead(*account) - account->tokens.Available();
  const TurnBudget* first = nullptr;
  for (const Waiting& request : account->waiting) {
    if (request.denied) continue;
    if (first == nullptr) first = &request.turn;
    wish += request.turn.max_tokens;
  }
  if (first != nullptr) {
    SendClaim(program, account, first->max_tokens, wish);
  } else if (account->waiting.empty() &&
             account->tokens.Available() <
                 std::min(account->most, Ahead(*account)) &&
             !m_appender.busy()) {
    SendClaim(program, account, account->most, wish);
  } else if (account->waiting.empty() && account->tokens.Available() > 0) {
    const Duration keep = Ahead(*account) > 0 ? m_thresholds->ahead_memory
                                              : m_thresholds->give_back_delay;
    m_spare[program] = m_loop->now() + keep;
    GiveBackSpare();
  }
}

programs::Tokens TokenCoordinator::Ahead(const Account& account) const {
  const auto budget = account.tokens.budget();
  const bool small = budget < m_thresholds->ahead_turns * account.most;
  if (small || account.spent) return 0;
  return std::max(account.most, budget / m_thresholds->ahead_divisor);
}

void TokenCoordinator::SendClaim(const std::string& program, Account* account,
                                 programs::Tokens most, programs::Tokens wish) {
  programs::TokenClaim claim = account->tokens.NextClaim(most);
  claim.wish = std::max(claim.need, wish);
  claim.program = program;
  claim.number = ++m_last_number;
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
          RecordAppended(encoded, result->offset);
        } else {
          m_log->Write(LogEvent::kFault, {{"what", "claim refused by the log"},
                                          {"program", record.program},
                                          {"status", result.error().status}});
          ClaimRefused(record.number);
        }
      });
}

// What this node wrote itself it need not read back. Reading each such record
// made every claim wait for the next reading once a reading had begun: while
// the log's reads were busy, for 350 ms in place of 12, as long as they stayed
// so.
void TokenCoordinator::RecordAppended(const std::string& record,
                                      std::int64_t       offset) {
  if (offset < m_next) return;  // a reading was faster
  m_appended.emplace(offset, record);
  if (m_caught_up) TakeAppended();
  if (m_next > offset) return;
  // Others wrote in between.
  m_goal = std::max(m_goal, offset + 1);
  ReadClaims();
}

void TokenCoordinator::TakeAppended() {
  m_appended.erase(m_appended.begin(), m_appended.lower_bound(m_next));
  while (!m_appended.empty() && m_appended.begin()->first == m_next) {
    const std::string record = std::move(m_appended.begin()->second);
    m_appended.erase(m_appended.begin());
    ++m_next;
    TakeRecord(record);
  }
}

void TokenCoordinator::ClaimDecided(std::uint64_t    number,
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
    // So would be any that needs as much.
    for (Waiting& request : account.waiting) {
      const auto lacks = request.turn.max_tokens - account.tokens.Available();
      request.denied = request.denied || lacks >= need;
    }
  }
  Serve(program);
}

// Nobody was granted or denied anything.
void TokenCoordinator::ClaimRefused(std::uint64_t number) {
  const auto claim = m_claims.extract(number);
  if (claim.empty()) return;
  Account& account = m_accounts.at(claim.mapped().program);
  account.claiming = false;
  for (const Waiting& request : std::exchange(account.waiting, {})) {
    Withdraw(request);
    request.done(ReserveOutcome::kUnsure);
  }
}

// Reading --------------------------------------------------------------------

// Before its first claim a desk reads what others claimed: a claim says how
// much was granted before it, for readers that find older records deleted.
void TokenCoordinator::CatchUp() {
  if (!m_reading) ReadPage();
}

void TokenCoordinator::EndCatchUp() {
  if (std::exchange(m_caught_up, true)) return;
  std::vector<std::string> programs;
  for (const auto& [program, account] : m_accounts) programs.push_back(program);
  for (const std::string& program : programs) {
    if (m_accounts.contains(program)) Serve(program);
  }
}

// The log has deleted records that were not read. What is known of the programs
// they tell of is out of date; later records say what was granted before them.
void TokenCoordinator::SkipTo(std::int64_t first) {
  m_next = first;
  m_ledger = {};
  // Own claims among them are decided, and nobody can say how.
  std::vector<std::uint64_t> open;
  for (const auto& [number, claim] : m_claims) open.push_back(number);
  if (!m_appender.busy()) {
    for (const std::uint64_t number : open) ClaimRefused(number);
  }
  ReadPage();
}

void TokenCoordinator::ReadClaims() {
  if (!m_reading && m_next < m_goal) ReadPage();
}

// Until the log answers, also if nobody waits for it: a desk that is unsure
// answers at once and would not learn otherwise that the log is back.
void TokenCoordinator::ReadAgain() {
  if (std::exchange(m_read_due, true)) return;
  m_loop->After(m_thresholds->log_away_pause, [this] {
    m_read_due = false;
    if (m_caught_up) {
      ReadClaims();
    } else {
      CatchUp();
    }
  });
}

void TokenCoordinator::ReadPage() {
  m_reading = true;
  m_store->Read(Topic::kClaims, m_partition, {m_next, m_pace.bytes()},
                m_thresholds->log_timeout,
                [this, began = m_loop->now()](
                    const StoreResult<platform::ReadPage>& result) {
                  m_reading = false;
                  const Duration took = m_loop->now() - began;
                  if (result) {
                    m_pace.OnReply(took);
                  } else if (took >= m_thresholds->log_timeout) {
                    m_pace.OnTimeout();
                  }
                  const bool gone = !result && result.error().failure ==
                                                   StoreFailure::kExpired;
                  m_health.Observe(result.has_value() || gone, "read");
                  if (gone && result.error().first > m_next) {
                    SkipTo(result.error().first);
                    return;
                  }
                  if (!result) {
                    ReadAgain();
                    return;
                  }
                  TakePage(*result);
                  if (m_next >= result->end) {
                    EndCatchUp();
                  } else if (!m_caught_up) {
                    m_goal = std::max(m_goal, result->end);
                  }
                  ReadClaims();
                });
}

void TokenCoordinator::TakePage(const platform::ReadPage& page) {
  // Taking a record may start the next reading: not from here again.
  m_reading = true;
  for (const auto& record : page.records) {
    if (record.offset < m_next) continue;  // taken when it was appended
    m_next = record.offset + 1;
    TakeRecord(record.value);
  }
  m_next = std::max(m_next, page.next);
  TakeAppended();
  m_reading = false;
}

void TokenCoordinator::TakeRecord(const std::string& record) {
  const auto claim = programs::DecodeClaim(record);
  if (!claim) {
    m_log->Write(LogEvent::kFault, {{"what", "undecodable claim"}});
    return;
  }
  const auto granted = m_ledger.Apply(*claim, m_loop->now());
  if (claim->node != m_incarnation || claim->taken) return;
  ClaimDecided(claim->number, granted);
}

// Giving back ----------------------------------------------------------------

// A little later: the next turn may need it, and one append takes several.
void TokenCoordinator::GiveBackSpare() {
  if (std::exchange(m_give_back_due, true)) return;
  m_loop->After(m_thresholds->give_back_delay, [this] {
    m_give_back_due = false;
    std::vector<std::string> due;
    for (const auto& [program, time] : m_spare) {
      if (time <= m_loop->now()) due.push_back(program);
    }
    for (const std::string& program : due) {
      m_spare.erase(program);
      const auto account = m_accounts.find(program);
      if (account != m_accounts.end()) GiveBack(program, &account->second);
    }
    if (!m_spare.empty()) GiveBackSpare();
  });
}

void TokenCoordinator::GiveBack(const std::string& program, Account* account) {
  if (account->claiming || !account->waiting.empty()) return;
  const auto spare = account->tokens.ReleaseUnused();
  if (spare <= 0) return;
  programs::TokenClaim back;
  back.number = ++m_last_number;
  back.program = program;
  back.wish = -spare;
  back.taken = true;
  SendRecord(std::move(back));
}

void TokenCoordinator::ReleaseAllUnused() {
  for (auto& [program, account] : m_accounts) GiveBack(program, &account);
}

void TokenCoordinator::Sweep() {
  const Time now = m_loop->now();
  m_ledger.Expire(now);
  std::erase_if(m_accounts, [now](const auto& entry) {
    const Account& account = entry.second;
    return now - account.used > kAccountMemory && account.waiting.empty() &&
           !account.claiming;
  });
}

}  // namespace yuccawick::gateway

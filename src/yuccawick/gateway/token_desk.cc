#include "yuccawick/gateway/token_desk.h"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include "yuccawick/programs/record.h"

namespace yuccawick::gateway {
namespace {

using platform::StoreFailure;
using platform::StoreResult;
using platform::Topic;
using programs::TokenAnswer;

constexpr programs::Tokens kNoTokens = 0;
constexpr Duration kAccountMemory = 180'000;  // ms; above the turns' retention

Time SentAt(const programs::TokenClaim& claim) {
  return static_cast<Time>(claim.number);
}

}  // namespace

std::string_view Name(ReserveOutcome outcome) {
  constexpr std::array<std::string_view, 4> kNames{"unsure", "start", "spent",
                                                   "hold"};
  return kNames[static_cast<std::size_t>(outcome)];
}

TokenDesk::TokenDesk(net::EventLoop* loop, const Thresholds* thresholds,
                     platform::RecordLog* store, Log* log, Metrics* metrics,
                     std::string incarnation, int partition)
    : m_loop(loop),
      m_thresholds(thresholds),
      m_store(store),
      m_health(loop, thresholds, log, metrics,
               "claims " + std::to_string(partition)),
      m_metrics(metrics),
      m_log(log),
      m_incarnation(std::move(incarnation)),
      m_partition(partition),
      m_appender(loop, thresholds, store, &m_health, Topic::kClaims,
                 partition) {}

void TokenDesk::Start() {
  if (!m_caught_up && !m_reading) ReadPage();
}

void TokenDesk::Probe() {
  if (!m_reading && m_health.WorthCalling()) ReadPage();
}

void TokenDesk::Reserve(const TurnBudget& turn, Outage outage, Done done) {
  m_accounts.try_emplace(
      turn.program, Account{programs::TokenAccount(turn.budget), 0, {}, 0});
  Answer({turn, outage, std::move(done),
          m_loop->now() + m_thresholds->turns_wait});
}

void TokenDesk::Answer(const Waiting& request) {
  Account& account = m_accounts.at(request.turn.program);
  account.used = m_loop->now();
  switch (account.tokens.Reserve(request.turn.most)) {
    case TokenAnswer::kStart:
      request.done(ReserveOutcome::kStart);
      break;
    case TokenAnswer::kSpent:
      request.done(ReserveOutcome::kSpent);
      break;
    case TokenAnswer::kClaim:
      Claim(request);
      break;
    case TokenAnswer::kWait:
      if (m_loop->now() >= request.until) {
        request.done(ReserveOutcome::kSpent);
      } else {
        account.waiting.push_back(request);
      }
      break;
  }
}

void TokenDesk::Claim(const Waiting& request) {
  programs::TokenClaim claim =
      m_accounts.at(request.turn.program).tokens.NextClaim(request.turn.most);
  claim.number = NextNumber();
  claim.node = m_incarnation;
  claim.program = request.turn.program;
  m_claims.emplace(claim.number, request);
  // While the log is away, probes look for its return; a claim that tried would
  // keep its program waiting for a timeout, and the next home from serving it.
  // Tokens that homes used during an outage are recorded first when it ends; a
  // claim before them would be granted tokens that are gone.
  if (m_health.away() || m_health.JustReturned()) {
    ClaimFailed(claim.number);
    return;
  }
  m_appender.Add(programs::EncodeClaim(claim), false,
                 [this, number = claim.number](const Appender::Result& result) {
                   if (!result) {
                     ClaimLost(number, result.error());
                     return;
                   }
                   m_goal = std::max(m_goal, result->end);
                   ReadClaims();
                 });
}

// Numbers are times, so that a record tells how long it was on its way.
std::uint64_t TokenDesk::NextNumber() {
  m_last_number =
      std::max(m_last_number + 1, static_cast<std::uint64_t>(m_loop->now()));
  return m_last_number;
}

void TokenDesk::ClaimLost(std::uint64_t               number,
                          const platform::StoreError& error) {
  if (error.failure != StoreFailure::kUnknown || m_reading) {
    ClaimFailed(number);
    return;
  }
  // It may be in the log all the same.
  m_unsure_claim = number;
  ReadPage();
}

void TokenDesk::ReadClaims() {
  if (!m_reading && m_next < m_goal) ReadPage();
}

void TokenDesk::ReadPage() {
  m_reading = true;
  m_read_at = m_loop->now();
  m_store->Read(
      Topic::kClaims, m_partition, m_next, 0, m_thresholds->log_timeout,
      [this](const StoreResult<platform::ReadPage>& result) {
        m_reading = false;
        if (!result && result.error().failure == StoreFailure::kExpired) {
          m_next = result.error().first;
          ReadPage();
          return;
        }
        m_health.Note(result.has_value(), "read");
        if (!result) {
          ReadFailed();
          return;
        }
        m_next = result->next;
        for (const auto& record : result->records) TakeRecord(record.value);
        if (m_next >= result->end) {
          m_caught_up = true;
          m_sure_at = m_read_at;
        }
        if (!m_caught_up) m_goal = std::max(m_goal, result->end);
        // Not there: it failed, or comes late.
        if (m_unsure_claim != 0) ClaimFailed(std::exchange(m_unsure_claim, 0));
        ReadClaims();
      });
}

void TokenDesk::ReadFailed() {
  // Claims that are in the log stay decided; what they bring is credited when
  // it can be read again. Nobody waits for that.
  std::vector<std::uint64_t> open;
  for (const auto& [number, request] : m_claims) open.push_back(number);
  for (const std::uint64_t number : open) ClaimFailed(number);
  m_loop->After(m_thresholds->log_retry_delay, [this] {
    ReadClaims();
    Start();
  });
}

void TokenDesk::TakeRecord(const std::string& record) {
  const auto claim = programs::DecodeClaim(record);
  if (!claim) {
    m_log->Write(LogEvent::kFault, {{"what", "undecodable claim"}});
    return;
  }
  auto granted = m_ledger.Apply(*claim, m_loop->now());
  if (claim->taken) Recorded(*claim);
  if (claim->node != m_incarnation || claim->taken) return;
  // An append that got no answer may be carried out seconds later. By then this
  // node may have used an allowance instead, so it forgoes what came late.
  const bool late = m_loop->now() - SentAt(*claim) > m_thresholds->late_claim;
  if (late) {
    m_log->Write(LogEvent::kClaim,
                 {{"program", claim->program},
                  {"number", static_cast<std::int64_t>(claim->number)},
                  {"late_ms", m_loop->now() - SentAt(*claim)}});
  }
  const auto account = m_accounts.find(claim->program);
  // Records that are on their way may take part of what the log grants.
  const auto rest = m_ledger.Rest(claim->program, claim->budget);
  granted = std::max<programs::Tokens>(0, granted + std::min(rest, kNoTokens));
  if (account != m_accounts.end() && !late) {
    account->second.tokens.Granted(granted);
    if (granted > 0) TellGrant(*claim, granted);
  }
  ClaimDecided(claim->number, granted);
}

void TokenDesk::ClaimDecided(std::uint64_t number, programs::Tokens granted) {
  auto node = m_claims.extract(number);
  if (node.empty()) return;
  const Waiting& request = node.mapped();
  m_log->Write(LogEvent::kClaim, {{"program", request.turn.program},
                                  {"number", static_cast<std::int64_t>(number)},
                                  {"granted", granted},
                                  {"most", request.turn.most}});
  // Asks again rather than taking it: other turns may have used it meanwhile.
  Answer(request);
}

// Whoever is home next may be so in an outage, and use half of what it last
// read was left. It reads too seldom to know of the last grants; with several
// that it did not know of, the program would end above its budget.
void TokenDesk::TellGrant(programs::TokenClaim claim,
                          programs::Tokens     granted) {
  claim.wish = granted;
  m_peers->TellRecord(claim);
}

void TokenDesk::ClaimFailed(std::uint64_t number) {
  auto node = m_claims.extract(number);
  if (node.empty()) return;
  const Waiting& request = node.mapped();
  UseAllowance(request);
  Account&   account = m_accounts.at(request.turn.program);
  const auto answer = account.tokens.Reserve(request.turn.most);
  const auto unsure =
      account.unrecorded > 0 ? ReserveOutcome::kHold : ReserveOutcome::kUnsure;
  request.done(answer == TokenAnswer::kStart ? ReserveOutcome::kStart : unsure);
}

void TokenDesk::UseAllowance(const Waiting& request) {
  const auto allowance = Allowance(request);
  if (allowance <= 0) return;
  const std::string& program = request.turn.program;
  Account&           account = m_accounts.at(program);
  m_metrics->CountAllowance();
  m_log->Write(LogEvent::kClaim, {{"program", program},
                                  {"log", "away"},
                                  {"allowance", allowance},
                                  {"granted", account.tokens.granted()},
                                  {"most", request.turn.most}});
  const auto record = TakenRecord(
      program, account.tokens.budget() + request.turn.most, allowance);
  m_ledger.Foretell(record, m_loop->now());
  m_peers->TellRecord(record);
  ++account.unrecorded;
  Insist(record);
}

void TokenDesk::Insist(const programs::TokenClaim& record) {
  m_unrecorded.push_back(record);
  m_appender.Add(programs::EncodeClaim(record), true,
                 [this, record](const Appender::Result&) { Recorded(record); });
}

void TokenDesk::Recorded(const programs::TokenClaim& record) {
  const auto erased = std::erase_if(m_unrecorded, [&](const auto& each) {
    return each.node == record.node && each.number == record.number;
  });
  const auto found = m_accounts.find(record.program);
  const bool own = record.node == m_incarnation;
  if (erased > 0 && own && found != m_accounts.end()) {
    --found->second.unrecorded;
  }
}

void TokenDesk::TellRecords() {
  for (const auto& record : m_unrecorded) m_peers->TellRecord(record);
}

void TokenDesk::TakePeerRecord(const programs::TokenClaim& record) {
  const bool news = m_ledger.Foretell(record, m_loop->now());
  // A grant lies in the log already.
  if (news && record.taken) Insist(record);
}

void TokenDesk::NoteOutageGoesOn() {
  // Nobody is granted anything while it goes on.
  if (KnowsTheLog()) m_sure_at = m_loop->now();
}

// A node that was frozen, or alone cut off from the log, and finds most nodes
// without the log when it is back: what it read is from before. Others claimed
// meanwhile, and told it, if at all, only what they were granted last.
bool TokenDesk::KnowsTheLog() const {
  return m_caught_up &&
         m_loop->now() - m_sure_at <= m_thresholds->reading_memory;
}

programs::Tokens TokenDesk::Allowance(const Waiting& request) {
  if (request.outage == Outage::kRefuse || !KnowsTheLog()) return 0;
  if (!m_peers->LogIsAwayForMost(m_partition)) return 0;
  auto&      tokens = m_accounts.at(request.turn.program).tokens;
  const auto rest =
      m_ledger.Rest(request.turn.program, tokens.budget() + request.turn.most);
  return tokens.TakeAllowance(request.turn.most, rest);
}

programs::TokenClaim TokenDesk::TakenRecord(const std::string& program,
                                            programs::Tokens   budget,
                                            programs::Tokens   tokens) {
  programs::TokenClaim taken;
  taken.number = NextNumber();
  taken.node = m_incarnation;
  taken.program = program;
  taken.budget = budget;
  taken.wish = tokens;
  taken.taken = true;
  return taken;
}

void TokenDesk::EndTurn(const TurnBudget& turn, programs::Tokens used) {
  const auto found = m_accounts.find(turn.program);
  if (found == m_accounts.end()) return;
  found->second.tokens.EndTurn(turn.most, used);
  found->second.used = m_loop->now();
  WakeWaiting(turn.program);
}

void TokenDesk::WakeWaiting(const std::string& program) {
  // Each asks again; those that still do not fit wait on, in order.
  auto waiting = std::exchange(m_accounts.at(program).waiting, {});
  for (const Waiting& request : waiting) Answer(request);
}

void TokenDesk::GiveBackAll() {
  for (auto& [program, account] : m_accounts) {
    const auto spare = account.tokens.GiveBack();
    if (spare <= 0) continue;
    const auto record = TakenRecord(program, account.tokens.budget(), -spare);
    m_appender.Add(programs::EncodeClaim(record), false,
                   [](const Appender::Result&) {});
  }
}

void TokenDesk::Sweep() {
  const Time now = m_loop->now();
  if (now - m_read_at >= m_thresholds->claims_reread) Probe();
  m_ledger.Expire(now);
  std::vector<std::string> overdue;
  for (const auto& [program, account] : m_accounts) {
    if (!account.waiting.empty() && account.waiting.front().until <= now) {
      overdue.push_back(program);
    }
  }
  for (const std::string& program : overdue) WakeWaiting(program);
  std::erase_if(m_accounts, [now](const auto& entry) {
    return now - entry.second.used > kAccountMemory &&
           entry.second.waiting.empty();
  });
}

}  // namespace yuccawick::gateway

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

constexpr Duration kAccountMemory = 180'000;  // ms; above the turns' retention

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

void TokenDesk::Reserve(const TurnBudget& turn, Rank rank, Done done) {
  const auto [account, added] = m_accounts.try_emplace(
      turn.program, Account{programs::TokenAccount(turn.budget), 0, {}});
  account->second.rank = rank;
  Answer({turn, std::move(done), m_loop->now() + m_thresholds->turns_wait});
}

void TokenDesk::Answer(const Waiting& request) {
  Account& account = m_accounts.at(request.turn.program);
  account.used = m_loop->now();
  if (account.tokens.Reserve(request.turn.most) == TokenAnswer::kStart) {
    request.done(ReserveOutcome::kStart);
  } else if (!request.denied) {
    Claim(request);
  } else if (account.tokens.MayFitLater(request.turn.most) &&
             m_loop->now() < request.until) {
    account.waiting.push_back(request);
  } else {
    request.done(ReserveOutcome::kSpent);
  }
}

void TokenDesk::Claim(const Waiting& request) {
  Account& account = m_accounts.at(request.turn.program);
  if (account.claiming_ahead) {
    account.waiting.push_back(request);
    ReadClaims();
    return;
  }
  // While the log is away, probes look for its return; a claim that tried would
  // keep its program waiting for a timeout, and the next home from serving it.
  if (m_health.away()) {
    request.done(ReserveOutcome::kUnsure);
    return;
  }
  SendClaim(account.tokens.NextClaim(request.turn.most),
            {request.turn.program, request});
}

// Its gain: turns that find their tokens granted wait for no call of the log,
// and go on while it is away.
void TokenDesk::ClaimAhead(const TurnBudget& turn) {
  Account& account = m_accounts.at(turn.program);
  if (account.rank != Rank::kFirstHome || account.claiming_ahead ||
      account.spent || m_health.away()) {
    return;
  }
  const auto claim = account.tokens.ClaimAhead(turn.most);
  if (!claim) return;
  account.claiming_ahead = true;
  SendClaim(*claim, {turn.program, std::nullopt});
}

void TokenDesk::SendClaim(programs::TokenClaim claim, const OpenClaim& open) {
  claim.number = NextNumber();
  claim.node = m_incarnation;
  claim.program = open.program;
  m_claims.emplace(claim.number, open);
  m_appender.Add(programs::EncodeClaim(claim), false,
                 [this, number = claim.number](const Appender::Result& result) {
                   if (result) {
                     ClaimAppended(number, result->end);
                   } else {
                     ClaimLost(number, result.error());
                   }
                 });
}

void TokenDesk::ClaimAppended(std::uint64_t number, std::int64_t end) {
  m_goal = std::max(m_goal, end);
  const auto found = m_claims.find(number);
  const bool awaited = found != m_claims.end() &&
                       (found->second.request ||
                        !m_accounts.at(found->second.program).waiting.empty());
  // Nobody waits for a claim ahead yet; one read brings several.
  m_loop->After(awaited ? 0 : m_thresholds->claims_gather,
                [this] { ReadClaims(); });
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
        if (m_next >= result->end) m_caught_up = true;
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
  for (const auto& [number, claim] : m_claims) open.push_back(number);
  for (const std::uint64_t number : open) ClaimFailed(number);
  m_loop->After(m_thresholds->log_away_pause, [this] {
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
  const auto granted = m_ledger.Apply(*claim, m_loop->now());
  if (claim->node != m_incarnation || claim->taken) return;
  // Also one whose append got no answer and was carried out seconds later: the
  // log holds the grant for this incarnation, once.
  const auto account = m_accounts.find(claim->program);
  if (account != m_accounts.end()) account->second.tokens.Granted(granted);
  ClaimDecided(claim->number, granted);
}

void TokenDesk::ClaimDecided(std::uint64_t number, programs::Tokens granted) {
  auto node = m_claims.extract(number);
  if (node.empty()) return;
  OpenClaim& claim = node.mapped();
  if (!claim.request) {
    EndClaimAhead(claim.program, granted == 0);
    return;
  }
  m_log->Write(LogEvent::kClaim, {{"program", claim.program},
                                  {"number", static_cast<std::int64_t>(number)},
                                  {"granted", granted},
                                  {"most", claim.request->turn.most}});
  claim.request->denied = granted == 0;
  // Asks again rather than taking it: other turns may have used it meanwhile.
  Answer(*claim.request);
}

void TokenDesk::ClaimFailed(std::uint64_t number) {
  auto node = m_claims.extract(number);
  if (node.empty()) return;
  const OpenClaim& claim = node.mapped();
  if (!claim.request) {
    EndClaimAhead(claim.program, false);
    return;
  }
  const TurnBudget& turn = claim.request->turn;
  // A turn that has ended meanwhile may have left enough.
  const auto answer = m_accounts.at(turn.program).tokens.Reserve(turn.most);
  claim.request->done(answer == TokenAnswer::kStart ? ReserveOutcome::kStart
                                                    : ReserveOutcome::kUnsure);
}

void TokenDesk::EndClaimAhead(const std::string& program, bool spent) {
  const auto account = m_accounts.find(program);
  if (account == m_accounts.end()) return;
  account->second.claiming_ahead = false;
  account->second.spent = spent;
  WakeWaiting(program);
}

void TokenDesk::EndTurn(const TurnBudget& turn, programs::Tokens used) {
  const auto found = m_accounts.find(turn.program);
  if (found == m_accounts.end()) return;
  found->second.tokens.EndTurn(turn.most, used);
  found->second.used = m_loop->now();
  WakeWaiting(turn.program);
  ClaimAhead(turn);
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
    programs::TokenClaim back;
    back.number = NextNumber();
    back.node = m_incarnation;
    back.program = program;
    back.budget = account.tokens.budget();
    back.wish = -spare;
    back.taken = true;
    m_appender.Add(programs::EncodeClaim(back), false,
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

#include "yuccawick/programs/token_ledger.h"

#include <algorithm>
#include <utility>

namespace yuccawick::programs {

TokenLedger::Entry& TokenLedger::EntryOf(const TokenClaim& claim, Time now) {
  Entry& entry = m_entries[claim.program];
  if (entry.budget == 0) entry.budget = claim.budget;
  // Clients state the same budget each time; the least is the safe reading.
  entry.budget = std::min(entry.budget, claim.budget);
  entry.until = now + kLedgerRetention;
  return entry;
}

Tokens TokenLedger::Apply(const TokenClaim& claim, Time now) {
  Entry&         entry = EntryOf(claim, now);
  const RecordId id(claim.node, claim.number);
  entry.foretold.erase(id);
  const bool first = entry.applied.insert(id).second;
  if (claim.taken) {
    if (!first) return 0;
    entry.granted += claim.wish;
    return claim.wish;
  }
  const Tokens rest = entry.budget - entry.granted;
  if (rest < claim.need) return 0;
  const Tokens granted = std::max(claim.need, std::min(claim.wish, rest / 2));
  entry.granted += granted;
  return granted;
}

bool TokenLedger::Foretell(const TokenClaim& claim, Time now) {
  Entry&         entry = EntryOf(claim, now);
  const RecordId id(claim.node, claim.number);
  if (entry.applied.contains(id)) return false;
  return entry.foretold.emplace(id, claim.wish).second;
}

Tokens TokenLedger::Rest(const std::string& program, Tokens budget) const {
  const auto found = m_entries.find(program);
  if (found == m_entries.end()) return budget;
  Tokens rest = std::min(budget, found->second.budget) - found->second.granted;
  for (const auto& [id, tokens] : found->second.foretold) rest -= tokens;
  return rest;
}

void TokenLedger::Expire(Time now) {
  std::erase_if(m_entries,
                [now](const auto& entry) { return entry.second.until < now; });
}

TokenAnswer TokenAccount::Reserve(Tokens most) {
  if (m_used + m_running + most <= m_granted) {
    m_running += most;
    return TokenAnswer::kStart;
  }
  if (!m_denied) return TokenAnswer::kClaim;
  // Turns under way are counted at their most; they usually end with less.
  const bool may_fit_later = m_used + most <= m_granted;
  return may_fit_later ? TokenAnswer::kWait : TokenAnswer::kSpent;
}

TokenClaim TokenAccount::NextClaim(Tokens most) const {
  TokenClaim claim;
  // One turn may go beyond the budget.
  claim.budget = m_budget + most;
  claim.need = std::max<Tokens>(1, m_used + m_running + most - m_granted);
  claim.wish = std::max(claim.need, m_budget / kWishDivisor);
  return claim;
}

void TokenAccount::Granted(Tokens granted) {
  m_granted += granted;
  m_denied = granted == 0;
}

Tokens TokenAccount::TakeAllowance(Tokens most, Tokens rest) {
  if (m_allowance_taken) return 0;
  m_allowance_taken = true;
  const Tokens allowance =
      rest < most ? 0 : std::max(most, rest / kAllowanceDivisor);
  m_granted += allowance;
  return allowance;
}

void TokenAccount::EndTurn(Tokens most, Tokens used) {
  m_running -= most;
  m_used += used;
}

Tokens TokenAccount::GiveBack() {
  const Tokens spare = m_granted - m_used - m_running;
  m_granted -= spare;
  return spare;
}

}  // namespace yuccawick::programs

#include "yuccawick/programs/token_ledger.h"

#include <algorithm>

namespace yuccawick::programs {

Tokens TokenLedger::Apply(const TokenClaim& claim, Time now) {
  auto& entry = m_entries[claim.program];
  if (entry.budget == 0) entry.budget = claim.budget;
  // Clients state the same budget each time; the least is the safe reading.
  entry.budget = std::min(entry.budget, claim.budget);
  entry.until = now + kLedgerRetention;
  if (claim.taken) {
    entry.granted += claim.wish;
    return claim.wish;
  }
  const Tokens rest = entry.budget - entry.granted;
  if (rest < claim.need) return 0;
  const Tokens granted =
      std::max(claim.need, std::min(claim.wish, rest / 2));
  entry.granted += granted;
  return granted;
}

Tokens TokenLedger::Rest(const std::string& program, Tokens budget) const {
  const auto found = m_entries.find(program);
  if (found == m_entries.end()) return budget;
  return std::min(budget, found->second.budget) - found->second.granted;
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
  return m_denied ? TokenAnswer::kSpent : TokenAnswer::kClaim;
}

TokenClaim TokenAccount::NextClaim(Tokens most) const {
  TokenClaim claim;
  claim.budget = m_budget;
  claim.need = std::max<Tokens>(1, m_used + m_running + most - m_granted);
  claim.wish = std::max(claim.need, m_budget / kWishDivisor);
  return claim;
}

void TokenAccount::Granted(Tokens granted) {
  m_granted += granted;
  m_denied = granted == 0;
}

bool TokenAccount::TakeAllowance() {
  if (m_allowance_taken) return false;
  m_allowance_taken = true;
  m_allowance = m_budget / kAllowanceDivisor;
  m_granted += m_allowance;
  return true;
}

}  // namespace yuccawick::programs

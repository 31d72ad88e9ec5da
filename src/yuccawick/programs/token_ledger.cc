#include "yuccawick/programs/token_ledger.h"

#include <algorithm>
#include <utility>

namespace yuccawick::programs {

Tokens TokenLedger::Apply(const TokenClaim& claim, Time now) {
  const auto [found, added] = m_entries.try_emplace(claim.program);
  Entry& entry = found->second;
  if (added) entry.granted = claim.before;
  entry.until = now + kLedgerRetention;
  const bool first = entry.applied.emplace(claim.node, claim.number).second;
  if (!first) return 0;
  if (claim.taken) {
    // Not below what no grant can undo: its own grant may not be known here.
    entry.granted = std::max<Tokens>(0, entry.granted + claim.wish);
    return 0;
  }
  if (entry.budget == 0) entry.budget = claim.budget;
  // Clients state the same budget each time; the least is the safe reading.
  entry.budget = std::min(entry.budget, claim.budget);
  const Tokens rest = entry.budget - entry.granted;
  if (rest < claim.need) return 0;
  const Tokens granted = std::max(claim.need, std::min(claim.wish, rest / 2));
  entry.granted += granted;
  return granted;
}

Tokens TokenLedger::Granted(const std::string& program) const {
  const auto found = m_entries.find(program);
  return found == m_entries.end() ? 0 : found->second.granted;
}

void TokenLedger::Expire(Time now) {
  std::erase_if(m_entries,
                [now](const auto& entry) { return entry.second.until < now; });
}

TokenAnswer TokenAccount::Reserve(Tokens most) {
  if (Available() < most) return TokenAnswer::kClaim;
  m_running += most;
  return TokenAnswer::kStart;
}

bool TokenAccount::MayFitLater(Tokens most) const {
  return m_running > 0 && m_used + most <= m_granted;
}

TokenClaim TokenAccount::NextClaim(Tokens most) const {
  TokenClaim claim;
  // One turn may go beyond the budget.
  claim.budget = m_budget + most;
  claim.need = std::max<Tokens>(1, most - Available());
  claim.wish = claim.need;
  return claim;
}

void TokenAccount::OnGranted(Tokens granted) { m_granted += granted; }

void TokenAccount::EndTurn(Tokens most, Tokens used) {
  m_running -= most;
  m_used += used;
}

Tokens TokenAccount::ReleaseUnused() {
  const Tokens spare = Available();
  m_granted -= spare;
  return spare;
}

}  // namespace yuccawick::programs

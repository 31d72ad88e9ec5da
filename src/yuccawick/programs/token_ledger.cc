#include "yuccawick/programs/token_ledger.h"

#include <algorithm>
#include <utility>

namespace yuccawick::programs {

Tokens TokenLedger::Apply(const TokenClaim& claim, Time now) {
  const auto [found, added] = m_entries.try_emplace(claim.program);
  Entry& entry = found->second;
  if (added) entry.granted = claim.before;
  entry.expires_at = now + kLedgerRetention;
  const bool is_new_claim =
      entry.applied.emplace(claim.node, claim.number).second;
  if (!is_new_claim) return 0;
  if (claim.taken) {
    // The grant being released may be unknown here; do not go below 0.
    entry.granted = std::max<Tokens>(0, entry.granted + claim.wish);
    return 0;
  }
  if (entry.budget == 0) entry.budget = claim.budget;
  // Clients should state the same budget each time; if not, the lowest applies.
  entry.budget = std::min(entry.budget, claim.budget);
  const Tokens remaining = entry.budget - entry.granted;
  if (remaining < claim.need) return 0;
  const Tokens granted =
      std::max(claim.need, std::min(claim.wish, remaining / 2));
  entry.granted += granted;
  return granted;
}

Tokens TokenLedger::Granted(const std::string& program) const {
  const auto found = m_entries.find(program);
  return found == m_entries.end() ? 0 : found->second.granted;
}

void TokenLedger::Expire(Time now) {
  std::erase_if(m_entries, [now](const auto& entry) {
    return entry.second.expires_at < now;
  });
}

TokenAnswer TokenAccount::Reserve(Tokens max_tokens) {
  if (Available() < max_tokens) return TokenAnswer::kClaim;
  m_reserved += max_tokens;
  return TokenAnswer::kStart;
}

bool TokenAccount::MayFitLater(Tokens max_tokens) const {
  return m_reserved > 0 && m_used + max_tokens <= m_granted;
}

TokenClaim TokenAccount::NextClaim(Tokens max_tokens) const {
  TokenClaim claim;
  // One turn may exceed the budget.
  claim.budget = m_budget + max_tokens;
  claim.need = std::max<Tokens>(1, max_tokens - Available());
  claim.wish = claim.need;
  return claim;
}

void TokenAccount::OnGranted(Tokens granted) { m_granted += granted; }

void TokenAccount::EndTurn(Tokens max_tokens, Tokens used) {
  m_reserved -= max_tokens;
  m_used += used;
}

Tokens TokenAccount::ReleaseUnused() {
  const Tokens available = Available();
  m_granted -= available;
  return available;
}

}  // namespace yuccawick::programs

#include "yuccawick/programs/token_ledger.h"

#include <algorithm>
#include <utility>

namespace yuccawick::programs {

void TokenLedger::Apply(const TokenClaim& claim, Time now) {
  Entry& entry = m_entries[claim.program];
  if (std::exchange(entry.stale, false)) entry.granted = claim.before;
  entry.expires_at = now + kLedgerRetention;
  for (const TurnSettlement& settlement : claim.settled)
    Settle(settlement, &entry);
  for (const TokenReservation& reservation : claim.reservations)
    Grant(reservation, claim.budget, now, &entry);
}

void TokenLedger::Settle(const TurnSettlement& settlement, Entry* entry) {
  if (!entry->settled.insert(settlement.id).second) return;
  // Without a grant it ends a reservation that no claim has reached yet, or one
  // whose claim has been deleted and was counted by `before`. The first kind
  // has used nothing.
  const bool was_granted = entry->unsettled.erase(settlement.id) > 0;
  if (!was_granted && settlement.used == 0) return;
  const Tokens unused =
      std::max<Tokens>(0, settlement.reserved - settlement.used);
  entry->granted = std::max<Tokens>(0, entry->granted - unused);
}

void TokenLedger::Grant(const TokenReservation& reservation, Tokens budget,
                        Time now, Entry* entry) {
  const auto& [id, max_tokens] = reservation;
  if (entry->unsettled.contains(id) || entry->settled.contains(id)) return;
  // Clients should state the same budget each time; if not, the lowest applies.
  const Tokens limit = budget + max_tokens;
  entry->limit = entry->limit == 0 ? limit : std::min(entry->limit, limit);
  if (entry->granted + max_tokens > entry->limit) return;
  entry->granted += max_tokens;
  entry->unsettled.emplace(id, Unsettled{max_tokens, now});
}

const TokenLedger::Entry* TokenLedger::Find(const std::string& program) const {
  const auto found = m_entries.find(program);
  return found == m_entries.end() ? nullptr : &found->second;
}

bool TokenLedger::IsGranted(const std::string&   program,
                            const ReservationId& id) const {
  const Entry* entry = Find(program);
  return entry != nullptr && entry->unsettled.contains(id);
}

bool TokenLedger::IsSettled(const std::string&   program,
                            const ReservationId& id) const {
  const Entry* entry = Find(program);
  return entry != nullptr && entry->settled.contains(id);
}

Tokens TokenLedger::Granted(const std::string& program) const {
  const Entry* entry = Find(program);
  return entry == nullptr ? 0 : entry->granted;
}

bool TokenLedger::MayFitLater(const std::string& program, Tokens max_tokens,
                              Time now, const SenderCheck& sender_runs) const {
  const Entry* entry = Find(program);
  if (entry == nullptr) return false;
  Tokens may_return = 0;
  for (const auto& [id, turn] : entry->unsettled) {
    const bool recent = now - turn.granted_at < kSettlementWait;
    if (recent && sender_runs(id.sender)) may_return += turn.max_tokens;
  }
  return may_return > 0 &&
         entry->granted - may_return + max_tokens <= entry->limit;
}

void TokenLedger::MarkStale() {
  for (auto& [program, entry] : m_entries) entry.stale = true;
}

void TokenLedger::Expire(Time now) {
  std::erase_if(m_entries, [now](const auto& entry) {
    return entry.second.expires_at < now;
  });
}

}  // namespace yuccawick::programs

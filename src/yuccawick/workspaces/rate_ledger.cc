#include "yuccawick/workspaces/rate_ledger.h"

#include <algorithm>
#include <unordered_map>

namespace yuccawick::workspaces {
namespace {

constexpr double   kMillisPerSecond = 1000.0;
// Used share of the excess that the operator tolerates.
constexpr double   kToleranceShare = 0.75;
// Claims of a node within this time, in ms, are merged and count as long as the
// last of them.
constexpr Duration kMergeInterval = 50;

}  // namespace

double Allowance(const RateLimit& limit, const RateWindow& window) {
  const double length = static_cast<double>(window.length) / kMillisPerSecond;
  const double limit_total = limit.per_second * length + limit.burst;
  return limit_total +
         kToleranceShare * (window.overage * limit_total + window.slack);
}

std::vector<Duration> MinAges(const std::vector<LoggedRate>& claims) {
  // Acknowledgement time of each claim, taken from the claimer's next claim.
  std::unordered_map<std::int64_t, Time> acked_at;
  for (const LoggedRate& claim : claims) {
    acked_at.emplace(claim.record.previous, claim.record.previous_acked);
  }
  // By claimer: minimum reading of its clock when the last claim was written.
  std::unordered_map<std::string, Time> clock_readings;
  std::vector<Duration>                 ages(claims.size(), 0);
  for (std::size_t i = claims.size(); i-- > 0;) {
    const RateRecord& record = claims[i].record;
    // Earlier claims are at least as old as later ones.
    if (i + 1 < claims.size()) ages[i] = ages[i + 1];
    const auto end = clock_readings.find(record.node);
    const auto ack = acked_at.find(claims[i].offset);
    if (end != clock_readings.end() && ack != acked_at.end()) {
      ages[i] = std::max(ages[i], end->second - ack->second);
    }
    Time& latest =
        clock_readings.try_emplace(record.node, record.sent + ages[i])
            .first->second;
    latest = std::max(latest, record.sent + ages[i]);
  }
  return ages;
}

void RateLedger::ReleaseTokens(Claims* claims, const std::string& node,
                               const RateEntry& entry) {
  std::int64_t tokens = -entry.tokens;
  for (ActiveClaim& active : *claims) {
    if (active.node != node || active.offset > entry.origin) continue;
    const std::int64_t released = std::min(tokens, active.tokens);
    active.tokens -= released;
    tokens -= released;
  }
}

void RateLedger::AddClaim(const LoggedRate& claim, Time until) {
  const std::string& node = claim.record.node;
  for (const RateEntry& entry : claim.record.entries) {
    Claims& claims = m_claims[entry.workspace];
    if (entry.tokens < 0) {
      ReleaseTokens(&claims, node, entry);
    } else if (!claims.empty() && claims.back().node == node &&
               until - claims.back().first_until <= kMergeInterval) {
      claims.back().until = std::max(claims.back().until, until);
      claims.back().offset = claim.offset;
      claims.back().tokens += entry.tokens;
    } else {
      claims.push_back({until, until, node, claim.offset, entry.tokens});
    }
  }
}

void RateLedger::Begin(const std::vector<LoggedRate>& before, Time now) {
  m_claims.clear();
  const auto ages = MinAges(before);
  for (std::size_t i = 0; i < before.size(); ++i) {
    if (ages[i] < Span()) AddClaim(before[i], now - ages[i] + Span());
  }
}

void RateLedger::Apply(const LoggedRate& claim, Time now) {
  AddClaim(claim, now + Span());
}

double RateLedger::AllowanceFor(const std::string& workspace) const {
  const auto limit = m_limit_of(workspace);
  return limit ? Allowance(*limit, m_window) : 0;
}

double RateLedger::Remaining(const std::string& workspace, Time now) const {
  double     remaining = AllowanceFor(workspace);
  const auto found = m_claims.find(workspace);
  if (found == m_claims.end()) return remaining;
  for (const ActiveClaim& active : found->second) {
    if (active.until > now) remaining -= static_cast<double>(active.tokens);
  }
  return remaining;
}

std::optional<Duration> RateLedger::TimeUntilRemaining(
    const std::string& workspace, double tokens, Time now) const {
  double remaining = Remaining(workspace, now);
  if (remaining >= tokens) return 0;
  const auto found = m_claims.find(workspace);
  if (found == m_claims.end()) return std::nullopt;
  for (const ActiveClaim& active : found->second) {
    if (active.until <= now) continue;
    remaining += static_cast<double>(active.tokens);
    if (remaining >= tokens) return active.until - now;
  }
  return std::nullopt;
}

void RateLedger::Sweep(Time now) {
  for (auto& [workspace, claims] : m_claims) {
    while (!claims.empty() && claims.front().until <= now) claims.pop_front();
  }
  std::erase_if(m_claims,
                [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace yuccawick::workspaces

#include "yuccawick/workspaces/rate_ledger.h"

#include <algorithm>
#include <unordered_map>

namespace yuccawick::workspaces {
namespace {

constexpr double   kMillisPerSecond = 1000.0;
constexpr double   kToleranceShare = 0.75;
// Claims so close together, in ms, are counted as one, for as long as the last.
constexpr Duration kSlot = 50;

}  // namespace

double Allowance(const RateLimit& limit, const RateWindow& window) {
  const double length = static_cast<double>(window.length) / kMillisPerSecond;
  const double limited = limit.per_second * length + limit.burst;
  return limited + kToleranceShare * (window.overage * limited + window.slack);
}

std::vector<Duration> MinAges(const std::vector<LoggedRate>& claims) {
  // When each claim was acknowledged, as its claimer's next one tells.
  std::unordered_map<std::int64_t, Time> acked;
  for (const LoggedRate& claim : claims) {
    acked.emplace(claim.record.previous, claim.record.previous_acked);
  }
  // By claimer: what its clock showed at the end, at least.
  std::unordered_map<std::string, Time> ends;
  std::vector<Duration>                 ages(claims.size(), 0);
  for (std::size_t i = claims.size(); i-- > 0;) {
    const RateRecord& record = claims[i].record;
    // Whatever lies before is not younger.
    if (i + 1 < claims.size()) ages[i] = ages[i + 1];
    const auto end = ends.find(record.node);
    const auto ack = acked.find(claims[i].offset);
    if (end != ends.end() && ack != acked.end()) {
      ages[i] = std::max(ages[i], end->second - ack->second);
    }
    Time& latest =
        ends.try_emplace(record.node, record.sent + ages[i]).first->second;
    latest = std::max(latest, record.sent + ages[i]);
  }
  return ages;
}

void RateLedger::GiveBack(Claims* claims, const std::string& node,
                          const RateEntry& entry) {
  std::int64_t tokens = -entry.tokens;
  for (Claimed& claimed : *claims) {
    if (claimed.node != node || claimed.offset > entry.origin) continue;
    const std::int64_t less = std::min(tokens, claimed.tokens);
    claimed.tokens -= less;
    tokens -= less;
  }
}

void RateLedger::Count(const LoggedRate& claim, Time until) {
  const std::string& node = claim.record.node;
  for (const RateEntry& entry : claim.record.entries) {
    Claims& claims = m_claims[entry.workspace];
    if (entry.tokens < 0) {
      GiveBack(&claims, node, entry);
    } else if (!claims.empty() && claims.back().node == node &&
               until - claims.back().first <= kSlot) {
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
    if (ages[i] < Span()) Count(before[i], now - ages[i] + Span());
  }
}

void RateLedger::Apply(const LoggedRate& claim, Time now) {
  Count(claim, now + Span());
}

double RateLedger::AllowanceOf(const std::string& workspace) const {
  const auto limit = m_limit_of(workspace);
  return limit ? Allowance(*limit, m_window) : 0;
}

double RateLedger::Remaining(const std::string& workspace, Time now) const {
  double     left = AllowanceOf(workspace);
  const auto found = m_claims.find(workspace);
  if (found == m_claims.end()) return left;
  for (const Claimed& claimed : found->second) {
    if (claimed.until > now) left -= static_cast<double>(claimed.tokens);
  }
  return left;
}

std::optional<Duration> RateLedger::TimeUntilRemaining(
    const std::string& workspace, double tokens, Time now) const {
  double left = Remaining(workspace, now);
  if (left >= tokens) return 0;
  const auto found = m_claims.find(workspace);
  if (found == m_claims.end()) return std::nullopt;
  for (const Claimed& claimed : found->second) {
    if (claimed.until <= now) continue;
    left += static_cast<double>(claimed.tokens);
    if (left >= tokens) return claimed.until - now;
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

// Enforces each workspace's request limit across all nodes, by the order of
// claims in the log.
//
// The operator's limit is a sliding window: no window may contain more than
// rate * length + burst requests. A node appends a claim to the log, subtracts
// from the limit all earlier claims that it received within the window, and
// grants the remainder. No leases or synchronized clocks are needed:
//
// - Two nodes that coordinate the same workspace see each other's claims in the
//   log, so together they stay within the limit.
// - A claim counts from when it was received. If it is received late, or its
//   claimer got no reply, it counts for longer than necessary, so that less is
//   granted, never more.
// - Unused tokens are released by a negative entry that names the claim they
//   came from. It reduces that claim or earlier ones of the same node.
// - A node that starts reads the claims of the last window. Each claim carries
//   its send time and the acknowledgement time of the previous one on the
//   claimer's clock; their differences give the minimum age of each claim, so a
//   full restart does not block requests for a whole window.
//
// Tokens are valid for kRateTokenLifetime after their claim was sent, so a
// claim counts for the length of the window plus kRateTokenLifetime.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "yuccawick/net/event_loop.h"
#include "yuccawick/workspaces/workspace.h"

namespace yuccawick::workspaces {

using net::Duration;
using net::Time;

// Lifetime of a token, in ms. Covers a few log writes by the coordinator and
// the next few requests of a node.
inline constexpr Duration kRateTokenLifetime = 1000;

// The window over which the operator measures limits.
struct RateWindow {
  Duration length = 5000;  // ms
  // Excess that the operator tolerates: a share of the limit plus a number of
  // requests.
  double   overage = 0;
  double   slack = 0;
};

// Number of requests that may be claimed within the length of the window plus
// kRateTokenLifetime. Uses a large part of the tolerated excess, because one
// program may use a small workspace's whole limit. The rest covers requests
// that are sent twice.
double Allowance(const RateLimit& limit, const RateWindow& window);

struct RateEntry {
  std::string  workspace;
  std::int64_t tokens = 0;   // negative: released
  std::int64_t origin = -1;  // log offset of the claim the tokens came from
};

// One claim, for one or more workspaces.
struct RateRecord {
  std::string  node;           // incarnation of the claimer
  std::int64_t previous = -1;  // log offset of its previous claim; -1: none
  // Times on the claimer's clock, in ms.
  Time         sent = 0;
  Time         previous_acked = 0;
  std::vector<RateEntry> entries;
};

// A claim with its log offset.
struct LoggedRate {
  std::int64_t offset = 0;
  RateRecord   record;
};

// Returns, for each claim in log order, the minimum time in ms that has passed
// between it and the last one.
std::vector<Duration> MinAges(const std::vector<LoggedRate>& claims);

class RateLedger {
 public:
  using LimitLookup =
      std::function<std::optional<RateLimit>(const std::string& workspace)>;
  RateLedger(LimitLookup limit_of, const RateWindow& window)
      : m_limit_of(std::move(limit_of)), m_window(window) {}

  // Resets the ledger to the claims already in the log.
  void   Begin(const std::vector<LoggedRate>& before, Time now);
  // Applies the next claim of the log.
  void   Apply(const LoggedRate& claim, Time now);
  // Tokens that may still be claimed; negative if too many were claimed, 0 for
  // a workspace without a limit.
  double Remaining(const std::string& workspace, Time now) const;
  // Time in ms until `tokens` may be claimed; nullopt: never.
  std::optional<Duration> TimeUntilRemaining(const std::string& workspace,
                                             double tokens, Time now) const;
  // How long a claim counts, in ms.
  Duration Span() const { return m_window.length + kRateTokenLifetime; }
  void     Sweep(Time now);

 private:
  // One claim, or several merged claims of one node.
  struct ActiveClaim {
    Time         until = 0;        // counts before this time
    Time         first_until = 0;  // `until` of the earliest merged claim
    std::string  node;             // claimer's incarnation
    std::int64_t offset = -1;      // log offset of the latest merged claim
    std::int64_t tokens = 0;
  };
  using Claims = std::deque<ActiveClaim>;  // by time
  void        AddClaim(const LoggedRate& claim, Time until);
  static void ReleaseTokens(Claims* claims, const std::string& node,
                            const RateEntry& entry);
  double      AllowanceFor(const std::string& workspace) const;

  LimitLookup                             m_limit_of;
  RateWindow                              m_window;
  std::unordered_map<std::string, Claims> m_claims;  // by workspace
};

}  // namespace yuccawick::workspaces

// How many requests each workspace may still send, over all nodes, by the order
// of claims in the platform's log.
//
// An operator's limit is a count in a sliding window: in no window may there be
// more than rate times its length, and the burst. Whoever wants to grant tokens
// appends a claim to the log, then counts all claims that lie before its own
// and that it heard of within the window, and grants what is left. So no node
// is needed whose word decides, no lease and no hand-over, and no two clocks
// are compared:
//
//   - Two nodes that both grant, because they see different members, see each
//     other's claims in the log; together they stay within the limit.
//   - A claim that is heard of late, or was lost by its claimer, is counted
//   from
//     when it was heard of, and so for longer than it has to be: what is
//     granted meanwhile is less, never more.
//   - What a claimer did not use it gives back by a claim below 0 that names
//     the one it came from. It is taken off that one or earlier ones of the
//     same claimer, so nothing is counted for too short a time.
//   - A node that begins reads back what was claimed within a window. A claim
//     tells, on its claimer's clock, when it was sent and when the one before
//     it was acknowledged; the time from that one's acknowledgement to the last
//     that its claimer sent is the least that has passed since. So after a
//     restart of all nodes nobody waits for a window to pass.
//
// Tokens are good for kRateTokenLifetime from when their claim was sent. What
// is used within a window was claimed within it or that long before, so that
// claims are counted for that much longer.
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

// For how long a token may be held, in ms: a home claims for what it expects
// within some calls of the log, and a node asks for the next few requests.
inline constexpr Duration kRateTokenLifetime = 1000;

// How the operator measures limits.
struct RateWindow {
  Duration length = 5000;  // ms
  // What a window may hold beyond its limit before that counts as broken, as a
  // share of the limit and in requests on top.
  double   overage = 0;
  double   slack = 0;
};

// Requests that may be claimed within a window and kRateTokenLifetime. Most of
// what is tolerated is used: one program of a small workspace is as much as its
// limit. The rest is for requests that are sent twice.
double Allowance(const RateLimit& limit, const RateWindow& window);

struct RateEntry {
  std::string  workspace;
  std::int64_t tokens = 0;   // below 0: given back
  std::int64_t origin = -1;  // offset of the claim that it came from
};

// One claim, for some workspaces.
struct RateRecord {
  std::string            node;           // incarnation of the claimer
  std::int64_t           previous = -1;  // offset of its claim before; -1: none
  // Both on the claimer's own clock, in ms.
  Time                   sent = 0;
  Time                   previous_acked = 0;
  std::vector<RateEntry> entries;
};

// A claim as it lies in the log.
struct LoggedRate {
  std::int64_t offset = 0;
  RateRecord   record;
};

// For each of these claims, in the log's order, the least time in ms that has
// passed between it and the last one.
std::vector<Duration> MinAges(const std::vector<LoggedRate>& claims);

class RateLedger {
 public:
  using LimitLookup =
      std::function<std::optional<RateLimit>(const std::string& workspace)>;
  RateLedger(LimitLookup limit_of, const RateWindow& window)
      : m_limit_of(std::move(limit_of)), m_window(window) {}

  // Forgets everything, and counts what was claimed before.
  void   Begin(const std::vector<LoggedRate>& before, Time now);
  // The next record of the log.
  void   Apply(const LoggedRate& claim, Time now);
  // Below 0: more was claimed than may be. Without a limit: 0.
  double Remaining(const std::string& workspace, Time now) const;
  // Until so many are left, in ms; nothing: never.
  std::optional<Duration> TimeUntilRemaining(const std::string& workspace,
                                             double tokens, Time now) const;
  // How long a claim counts, in ms.
  Duration Span() const { return m_window.length + kRateTokenLifetime; }
  void     Sweep(Time now);

 private:
  struct Claimed {
    Time         until = 0;    // counts before this
    Time         first = 0;    // the same of the earliest that it stands for
    std::string  node;         // the claimer's incarnation
    std::int64_t offset = -1;  // of the last that it stands for
    std::int64_t tokens = 0;
  };
  using Claims = std::deque<Claimed>;  // by time
  void        Count(const LoggedRate& claim, Time until);
  static void GiveBack(Claims* claims, const std::string& node,
                       const RateEntry& entry);
  double      AllowanceOf(const std::string& workspace) const;

  LimitLookup                             m_limit_of;
  RateWindow                              m_window;
  std::unordered_map<std::string, Claims> m_claims;  // by workspace
};

}  // namespace yuccawick::workspaces

// Policies that choose which call runs next and on which server.
//
// Future calls of a program are unknown, so the policies use its past: the
// service that it has received (attained service), the prefix that an engine
// may still hold, and its service class.
//
// QueuePolicy   ranks the calls waiting at one backend server
// RoutePolicy   chooses among the backend servers of one model or service
#pragma once

#include <string_view>
#include <vector>

#include "yuccawick/core/types.h"

namespace yuccawick::core {

struct QueuedCall {
  std::int64_t priority = 5;       // 0 first, 9 last
  Time         started = 0;        // start time of the program
  Tokens       attained = 0;       // service received by the program, tokens
  Tokens       prompt = 0;         // tokens of the prompt
  Tokens       cached = 0;         // prompt tokens likely in the prefix cache
  Tokens       max_tokens = 0;     // limit of generated tokens
  std::int64_t cache_weight = 50;  // 0: favor latency, 100: favor cache hits
  Duration     max_wait = 0;       // ms that the call may wait
  Time         arrived = 0;
};

class QueuePolicy {
 public:
  virtual ~QueuePolicy() = default;
  virtual std::string_view Name() const = 0;
  // The call with the lowest rank runs next.
  virtual double           Rank(const QueuedCall& call, Time now) const = 0;
};

// First come, first served.
class FifoQueue : public QueuePolicy {
 public:
  std::string_view Name() const override { return "fifo"; }
  double           Rank(const QueuedCall& call, Time now) const override;
};

// Orders by priority, then by least attained service of the program. Waiting
// lowers the rank steadily, so that no call starves.
class AttainedServiceQueue : public QueuePolicy {
 public:
  std::string_view Name() const override { return "attained"; }
  double           Rank(const QueuedCall& call, Time now) const override;
};

// Orders by priority, then by start time of the program, so that started
// programs finish before later ones. Waiting lowers the rank steadily, so that
// no call starves.
class OldestProgramQueue : public QueuePolicy {
 public:
  std::string_view Name() const override { return "oldest_program"; }
  double           Rank(const QueuedCall& call, Time now) const override;
};

struct RouteCandidate {
  bool     usable = true;           // alive and not leaving
  Duration wait = 0;                // estimated wait of a new call, ms
  Tokens   cached = 0;              // prompt tokens likely cached there
  Tokens   resident = 0;            // tokens of all leased prefixes
  bool     is_coordinator = false;  // the coordinator's own server
};

struct RouteRequest {
  Tokens       prompt = 0;
  std::int64_t cache_weight = 50;
};

class RoutePolicy {
 public:
  virtual ~RoutePolicy() = default;
  virtual std::string_view Name() const = 0;
  // Index of the chosen candidate; -1 if none is usable.
  virtual int              Choose(const RouteRequest&                request,
                                  const std::vector<RouteCandidate>& candidates) const = 0;
};

// Chooses the shortest wait.
class LeastLoadedRoute : public RoutePolicy {
 public:
  std::string_view Name() const override { return "least_loaded"; }
  int              Choose(const RouteRequest&                request,
                          const std::vector<RouteCandidate>& candidates) const override;
};

// Prefers the coordinator's own server while it is usable.
class StickyRoute : public RoutePolicy {
 public:
  std::string_view Name() const override { return "sticky"; }
  int              Choose(const RouteRequest&                request,
                          const std::vector<RouteCandidate>& candidates) const override;
};

// Minimizes the wait plus the time to compute uncached prompt tokens, which
// counts more at higher cache weights.
class CacheAwareRoute : public RoutePolicy {
 public:
  // `residency_cost`: ms added per 1000 resident tokens. Programs that pause
  // for a tool call need their prefixes again, and prefixes that no longer fit
  // must be recomputed.
  // `switch_cost`: ms by which another server must be better than the
  // coordinator's own, since load reports are outdated and other nodes act on
  // the same reports.
  CacheAwareRoute(double prefill_tokens_per_ms, Duration switch_cost,
                  double residency_cost)
      : m_prefill_tokens_per_ms(prefill_tokens_per_ms),
        m_switch_cost(switch_cost),
        m_residency_cost(residency_cost) {}
  std::string_view Name() const override { return "cache_aware"; }
  int              Choose(const RouteRequest&                request,
                          const std::vector<RouteCandidate>& candidates) const override;

 private:
  double   m_prefill_tokens_per_ms;
  Duration m_switch_cost;
  double   m_residency_cost;
};

}  // namespace yuccawick::core

// Which call runs next, and where.
//
// A program's graph is unknown, so its past is what there is to go by: the
// service its calls have had (attained service), the prefix an engine may still
// hold, and the class its contract gives it.
//
// QueuePolicy  ranks the calls waiting at one backend server
// RoutePolicy  chooses among the backend servers of one model or service
//
// Both are small strategy objects; the baselines that ours is compared with
// stand beside it.
#pragma once

#include <string_view>
#include <vector>

#include "yuccawick/core/types.h"

namespace yuccawick::core {

struct QueuedCall {
  std::int64_t priority = 5;       // 0 first, 9 last
  Time         started = 0;        // when its program started
  Tokens       attained = 0;       // service its program has had, tokens
  Tokens       prompt = 0;         // tokens of the prompt
  Tokens       cached = 0;         // of these, likely in the prefix cache
  Tokens       max_tokens = 0;     // most tokens to generate
  std::int64_t cache_weight = 50;  // 0 latency .. 100 cache
  Duration     max_wait = 0;       // ms it may wait
  Time         arrived = 0;
};

class QueuePolicy {
 public:
  virtual ~QueuePolicy() = default;
  virtual std::string_view Name() const = 0;
  // The call of lowest rank runs next.
  virtual double           Rank(const QueuedCall& call, Time now) const = 0;
};

// First come, first served.
class FifoQueue : public QueuePolicy {
 public:
  std::string_view Name() const override { return "fifo"; }
  double           Rank(const QueuedCall& call, Time now) const override;
};

// Class first, then the program that has had least service; waiting lowers the
// rank steadily, so that nothing starves.
class AttainedServiceQueue : public QueuePolicy {
 public:
  std::string_view Name() const override { return "attained"; }
  double           Rank(const QueuedCall& call, Time now) const override;
};

// Class first, then the program that started first; waiting lowers the rank
// steadily, so that nothing starves. A program that has begun is finished
// before later ones, whatever its graph turns out to be.
class OldestProgramQueue : public QueuePolicy {
 public:
  std::string_view Name() const override { return "oldest_program"; }
  double           Rank(const QueuedCall& call, Time now) const override;
};

struct RouteCandidate {
  bool     usable = true;           // alive and not leaving
  Duration wait = 0;                // ms a new call would wait there
  Tokens   cached = 0;              // tokens of its prompt likely cached there
  Tokens   resident = 0;            // tokens of all prefixes leased there
  bool     is_coordinator = false;  // the program's own server
};

struct RouteRequest {
  Tokens       prompt = 0;
  std::int64_t cache_weight = 50;
};

class RoutePolicy {
 public:
  virtual ~RoutePolicy() = default;
  virtual std::string_view Name() const = 0;
  // Index of the chosen candidate, or -1 if none is usable.
  virtual int              Choose(const RouteRequest&                request,
                                  const std::vector<RouteCandidate>& candidates) const = 0;
};

// Shortest wait.
class LeastLoadedRoute : public RoutePolicy {
 public:
  std::string_view Name() const override { return "least_loaded"; }
  int              Choose(const RouteRequest&                request,
                          const std::vector<RouteCandidate>& candidates) const override;
};

// Always the program's own server while it is usable.
class StickyRoute : public RoutePolicy {
 public:
  std::string_view Name() const override { return "sticky"; }
  int              Choose(const RouteRequest&                request,
                          const std::vector<RouteCandidate>& candidates) const override;
};

// Wait there plus the time to compute what is not cached there, the latter
// weighted up for customers who mind wasted cache.
class CacheAwareRoute : public RoutePolicy {
 public:
  // `crowding`: ms that each 1000 resident tokens count; programs in a tool
  // pause come back, and prefixes that do not fit are computed again.
  // `reluctance`: ms by which another server must be better than the home's,
  // since what is known of its load is old and others act on it too.
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

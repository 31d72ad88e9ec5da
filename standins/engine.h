// Stand-in for a model engine.
//
// Streams responses token by token, runs a limited number of calls at once in
// priority order, caches prefixes up to a limit, reports load with a lag, and
// publishes cache events late and with gaps. Depending on `checks_fence`, it
// rejects requests with an old fencing number (409).
//
//   POST /v1/chat/completions, POST /v1/cache/release
//   GET  /v1/load, GET /v1/cache/events?from=N, GET /effects
//   POST /control {"hold": bool}   while true, calls run but do not finish
#pragma once

#include <chrono>
#include <condition_variable>
#include <list>
#include <mutex>
#include <set>
#include <utility>
#include <vector>

#include "server.h"

namespace standins {

struct EngineSettings {
  std::string  model;
  int          slots = 8;
  int          decode_ms = 2;  // per generated token
  int          prefill_tokens_per_ms = 50;
  std::int64_t cache_tokens = 200000;
  int          event_lag_ms = 500;
  int          event_gap_every = 10;  // every nth cache event is dropped
  bool         checks_fence = true;
};

class Engine : public StandIn {
 public:
  explicit Engine(EngineSettings settings) : m_settings(std::move(settings)) {}
  void Serve(const Request&                 request,
             Poco::Net::HTTPServerResponse& response) override;

 private:
  using Clock = std::chrono::steady_clock;
  struct Prefix {
    std::int64_t                     tokens = 0;
    std::list<std::string>::iterator lru_position;
  };
  struct LoadReport {
    Clock::time_point at;
    int               running = 0;
    std::size_t       waiting = 0;
    std::int64_t      cached = 0;
  };
  struct CacheEvent {
    std::int64_t      number = 0;
    Clock::time_point at;
    std::string       key;
    std::string       what;
  };

  void Complete(const Request&                 request,
                Poco::Net::HTTPServerResponse& response);
  void Release(const Request& request, Poco::Net::HTTPServerResponse& response);
  void Load(Poco::Net::HTTPServerResponse& response);
  void RecordLoad();
  void Events(const Request& request, Poco::Net::HTTPServerResponse& response);
  void Effects(Poco::Net::HTTPServerResponse& response);
  bool IsFenced(std::int64_t fence);
  void AcquireSlot(std::int64_t priority);
  void ReleaseSlot();
  // Caches the prompt's prefix and returns the tokens that were cached before.
  std::int64_t UsePrefix(const std::string& key, std::int64_t tokens);
  void         Drop(const std::string& key, const char* why);
  void         Publish(const std::string& key, const char* what);

  EngineSettings                m_settings;
  std::mutex                    m_mutex;
  std::condition_variable       m_changed;
  std::vector<LoadReport>       m_loads;  // oldest first
  int                           m_running = 0;
  std::multiset<std::int64_t>   m_waiting;  // priorities
  bool                          m_hold = false;
  std::int64_t                  m_fence = -1;
  std::map<std::string, Prefix> m_prefixes;
  std::list<std::string>        m_lru_keys;  // least recently used first
  std::int64_t                  m_cached = 0;
  std::vector<CacheEvent>       m_events;
  std::int64_t                  m_event_number = 0;
  std::map<std::string, int>    m_completions;  // by cache key
  std::int64_t                  m_refused = 0;
  std::int64_t                  m_tokens = 0;
};

}  // namespace standins

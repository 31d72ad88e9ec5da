// Queues the turns of one node for the model servers of each service, and
// starts them within traffic/concurrency_limit.h. Exchange enqueues each turn;
// Gateway calls Sweep().
//
//   Enqueue(...)    calls `start` once the turn may be sent, possibly at once
//   FirstEvent(id)  the server sent the first event of the turn
//   Release(&id)    the turn ended, or no longer waits to start
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "yuccawick/traffic/concurrency_limit.h"

namespace yuccawick::gateway {

using net::Duration;
using net::Time;

class TurnDispatcher {
 public:
  using Id = std::uint64_t;  // 0: no turn
  using StartCallback = std::function<void()>;

  TurnDispatcher(net::EventLoop*                          loop,
                 const traffic::ConcurrencyLimitSettings& settings)
      : m_loop(loop), m_settings(settings) {}

  // Turns with a lower `rank` start first; a turn moves behind the others when
  // its program becomes late. `target_latency`: of the first event (ms); 0 if
  // none.
  Id   Enqueue(const std::string& service, const traffic::QueueRank& rank,
               Duration target_latency, StartCallback start);
  void FirstEvent(Id id);
  void Release(Id* id);  // sets it to 0
  // Starts eligible turns; call often, since limits grow with time.
  void Sweep();

  std::size_t waiting() const;

 private:
  using QueueKey = std::pair<double, Id>;  // equal ranks: lower id first
  struct Service {
    traffic::ConcurrencyLimit         limit;
    std::map<QueueKey, StartCallback> waiting;
    std::set<std::pair<Time, Id>>     deadlines;  // of waiting turns, not late
    int                               running = 0;
  };
  struct Turn {
    Service*            service = nullptr;
    QueueKey            key;
    std::optional<Time> deadline;  // of the program
    Duration            target_latency = 0;
    std::optional<Time> sent_time;  // nullopt while waiting
  };
  Service*      GetService(const std::string& name);
  void          StartEligible(Service* service);
  void          MoveLateTurnsBack(Service* service);
  // Removes the turn from the queue and returns its callback.
  StartCallback Dequeue(const Turn& turn);

  net::EventLoop*                          m_loop;
  traffic::ConcurrencyLimitSettings        m_settings;
  std::unordered_map<std::string, Service> m_services;
  std::unordered_map<Id, Turn>             m_turns;
  Id                                       m_last_id = 0;
};

}  // namespace yuccawick::gateway

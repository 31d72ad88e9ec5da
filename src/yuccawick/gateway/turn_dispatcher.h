// Turns that wait for a model server, of one node; see
// traffic/concurrency_limit.h for which goes when.
//
//   Enqueue(place, go)  `go` is called once a turn may be sent, perhaps at
//                       once
//   FirstEvent(id)      its server began to answer
//   Release(&id)        it ended, or does not want to wait any more
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>

#include "yuccawick/traffic/concurrency_limit.h"

namespace yuccawick::gateway {

using net::Duration;
using net::Time;

class TurnDispatcher {
 public:
  using Id = std::uint64_t;  // 0 names no turn
  using Go = std::function<void()>;

  TurnDispatcher(net::EventLoop*                          loop,
                 const traffic::ConcurrencyLimitSettings& settings)
      : m_loop(loop), m_settings(settings) {}

  // `service`: whose servers the turn is for. `objective`: within what time its
  // first event is to come, in ms; 0: not said.
  Id   Enqueue(const std::string& service, double place, Duration objective,
               Go go);
  void FirstEvent(Id id);
  void Release(Id* id);  // sets it to 0
  // Lets those go that may; call often, since limits grow with time.
  void Sweep();

  std::size_t waiting() const;

 private:
  using Place = std::pair<double, Id>;  // the earlier one first among equals
  struct Service {
    traffic::ConcurrencyLimit limit;
    std::map<Place, Go>       waiting;
    int                       under_way = 0;
  };
  struct Turn {
    Service* service = nullptr;
    Place    place;
    Duration objective = 0;
    Time     sent = 0;  // 0: it waits
  };
  Service* ServiceOf(const std::string& name);
  void     LetGo(Service* service);

  net::EventLoop*                          m_loop;
  traffic::ConcurrencyLimitSettings        m_settings;
  std::unordered_map<std::string, Service> m_services;
  std::unordered_map<Id, Turn>             m_turns;
  Id                                       m_last = 0;
};

}  // namespace yuccawick::gateway

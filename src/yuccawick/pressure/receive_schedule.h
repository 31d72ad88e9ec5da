// How far a client is behind the lowest rate at which a node under pressure
// still waits for the rest of its request.
//
// Time spent on schedule is not credited: a client that sent a large part at
// once and then stops falls behind as fast as one that sends nothing.
#pragma once

#include <algorithm>
#include <cstddef>

#include "yuccawick/net/event_loop.h"

namespace yuccawick::pressure {

using net::Duration;
using net::Time;

class ReceiveSchedule {
 public:
  // `rate`: lowest rate in bytes per ms.
  explicit ReceiveSchedule(double rate) : m_rate(rate) {}

  // The first bytes of a request arrive.
  void Start(Time now) { m_due = static_cast<double>(now); }
  void OnBytes(std::size_t bytes, Time now) {
    m_due = std::min(static_cast<double>(now),
                     m_due + static_cast<double>(bytes) / m_rate);
  }
  // Time until which the request is on schedule; it is behind by the time since
  // then.
  Time due() const { return static_cast<Time>(m_due); }

 private:
  double m_rate;
  double m_due = 0;
};

}  // namespace yuccawick::pressure

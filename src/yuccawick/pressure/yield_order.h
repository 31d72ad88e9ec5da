// Decides which client connections make room for others when the node runs out
// of connections or memory.
//
// Connections whose request is whole are never asked. The others are put here
// by what they wait for. Nothing yields while there is room, so that a client
// within the manifest's limits meets no further limit.
//
//   silent     sent nothing since it connected
//   lingering  was answered for the last time and is about to be closed
//   receiving  a part of a request was received
//   idle       was answered and may send another request
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <utility>

#include "yuccawick/net/event_loop.h"

namespace yuccawick::pressure {

using net::Duration;
using net::Time;

enum class YieldClass : std::uint8_t {
  kSilent,
  kLingering,
  kReceiving,
  kIdle,
  kCount,
};

// A connection that may be asked to yield.
class Yielder {
 public:
  virtual ~Yielder() = default;
  // Refuses the request in progress, or closes a connection without one. Either
  // leaves its class. A request whose bytes wait unread is not behind and takes
  // a later place instead.
  virtual void        Yield() = 0;
  // Bytes that Yield() would release.
  virtual std::size_t held_bytes() const = 0;
};

class YieldOrder {
 public:
  // `yield_after`: ms that a request may be behind before it yields, see
  // receive_schedule.h.
  explicit YieldOrder(Duration yield_after) : m_yield_after(yield_after) {}
  YieldOrder(const YieldOrder&) = delete;
  YieldOrder& operator=(const YieldOrder&) = delete;

  // A connection's place; removes it when destroyed.
  class Place {
   public:
    Place(YieldOrder* order, Yielder* yielder)
        : m_order(order), m_yielder(yielder) {}
    ~Place() { Leave(); }
    Place(const Place&) = delete;
    Place& operator=(const Place&) = delete;

    // `since`: start of the wait; of a request being received, the time until
    // which it is on schedule.
    void Set(YieldClass yield_class, Time since);
    // The connection does not yield.
    void Leave();

   private:
    friend class YieldOrder;
    YieldOrder* m_order;
    Yielder*    m_yielder;
    YieldClass  m_class = YieldClass::kCount;  // kCount: has no place
    Time        m_since = 0;
  };

  // Asks one connection to yield, of the first class above that has one, and in
  // it the one that has waited longest. False if none can.
  bool        YieldConnection(Time now);
  // Asks the requests that are behind to yield, the one furthest behind first,
  // until `fits` returns true. Never asks `asking`. Returns whether it fits.
  bool        MakeRoom(Time now, const Yielder* asking,
                       const std::function<bool()>& fits);
  // How often a connection was asked since the last call.
  std::size_t TakeYields() { return std::exchange(m_yields, 0); }
  // Bytes held by requests that are behind.
  std::size_t BytesBehind(Time now) const;

 private:
  using Waiting = std::set<std::pair<Time, Place*>>;

  Waiting& WaitingIn(YieldClass yield_class) {
    return m_waiting[static_cast<std::size_t>(yield_class)];
  }
  const Waiting& receiving() const {
    return m_waiting[static_cast<std::size_t>(YieldClass::kReceiving)];
  }
  bool IsBehind(Time due, Time now) const { return now - due >= m_yield_after; }
  void AskToYield(const Place& place);
  // The request furthest behind, without `asking`; nullptr if none is behind.
  Place* FindBehind(Time now, const Yielder* asking) const;

  Duration m_yield_after;
  std::array<Waiting, static_cast<std::size_t>(YieldClass::kCount)> m_waiting;
  std::size_t m_yields = 0;  // since TakeYields()
};

}  // namespace yuccawick::pressure

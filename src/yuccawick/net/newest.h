// Passes values to the loop of another thread, keeping only the latest one.
//
// A value that the loop has not taken yet is replaced by the next one.
// Otherwise lists of servers, rebuilt on each of thousands of registrations at
// startup, could queue up behind a busy loop and exhaust memory.
#pragma once

#include <functional>
#include <mutex>
#include <optional>
#include <utility>

#include "yuccawick/net/event_loop.h"

namespace yuccawick::net {

template <class Value>
class Newest {
 public:
  // `take` is called on the loop's thread.
  Newest(EventLoop* loop, std::function<void(Value)> take)
      : m_loop(loop), m_take(std::move(take)) {}

  // May be called from any thread.
  void Put(Value value) {
    const std::lock_guard lock(m_mutex);
    const bool            pending = m_value.has_value();
    m_value = std::move(value);
    if (!pending) m_loop->Post([this] { m_take(Take()); });
  }

 private:
  Value Take() {
    const std::lock_guard lock(m_mutex);
    return std::move(*std::exchange(m_value, std::nullopt));
  }

  EventLoop*                 m_loop;
  std::function<void(Value)> m_take;
  std::mutex                 m_mutex;
  std::optional<Value>       m_value;
};

}  // namespace yuccawick::net

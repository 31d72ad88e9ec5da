// Tracks whether one partition of the platform's log answers this node, from
// the outcomes of its calls. Partitions fail independently, so each has its own
// LogHealth.
//
// While a partition is unavailable, callers should avoid calls to it where they
// can: every request would otherwise wait for a whole timeout.
#pragma once

#include <string>
#include <string_view>
#include <utility>

#include "yuccawick/gateway/log.h"

namespace yuccawick::gateway {

class LogHealth {
 public:
  // `name` identifies the partition in log lines.
  LogHealth(net::EventLoop* loop, Log* log, std::string name)
      : m_loop(loop), m_log(log), m_name(std::move(name)) {}

  // Records the outcome of one call; `call` names it in the log line.
  void Observe(bool answered, std::string_view call);
  bool unavailable() const { return m_unavailable; }
  // True if no call has completed for `time` ms.
  bool IdleFor(net::Duration time) const {
    return m_loop->now() - m_last_call_at >= time;
  }
  // Time since the first failed call, in ms; 0 while the partition answers.
  net::Duration UnavailableFor() const;

 private:
  net::EventLoop* m_loop;
  Log*            m_log;
  std::string     m_name;
  bool            m_unavailable = false;
  net::Time       m_last_call_at = 0;
  net::Time       m_unavailable_since = 0;
};

}  // namespace yuccawick::gateway

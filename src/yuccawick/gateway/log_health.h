// Whether one partition of the platform's log answers this node, as its calls
// show. Partitions fail one by one, so each has a health of its own.
//
// While it is away, calls that can do without the log should do so: waiting for
// it again would cost each request a whole timeout.
#pragma once

#include <string>
#include <string_view>
#include <utility>

#include "yuccawick/gateway/log.h"

namespace yuccawick::gateway {

class LogHealth {
 public:
  // `name` says in logs what the partition holds.
  LogHealth(net::EventLoop* loop, Log* log, std::string name)
      : m_loop(loop), m_log(log), m_name(std::move(name)) {}

  // The outcome of one call; `call` says which, for the log line.
  void Observe(bool answered, std::string_view call);
  bool unavailable() const { return m_away; }
  // No call has ended for so long, in ms.
  bool IdleFor(net::Duration time) const {
    return m_loop->now() - m_noted_at >= time;
  }
  // Since the first call that failed, in ms; 0: it answers.
  net::Duration UnavailableFor() const;

 private:
  net::EventLoop* m_loop;
  Log*            m_log;
  std::string     m_name;
  bool            m_away = false;
  net::Time       m_noted_at = 0;
  net::Time       m_away_since = 0;
};

}  // namespace yuccawick::gateway

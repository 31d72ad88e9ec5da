// Whether the platform's log answers this node, as its calls show.
//
// After a failure, calls that can do without the log should do so until
// RetryAt(): waiting for it again would cost each request a whole timeout.
#pragma once

#include <string_view>

#include "yuccawick/gateway/log.h"
#include "yuccawick/gateway/metrics.h"

namespace yuccawick::gateway {

class LogHealth {
 public:
  LogHealth(net::EventLoop* loop, Log* log, Metrics* metrics)
      : m_loop(loop), m_log(log), m_metrics(metrics) {}

  // The outcome of one call; `call` says which, for the log line.
  void Note(bool answered, std::string_view call);
  bool away() const { return m_away; }
  bool WorthCalling() const { return m_loop->now() >= m_retry_at; }

 private:
  net::EventLoop* m_loop;
  Log*            m_log;
  Metrics*        m_metrics;
  bool            m_away = false;
  net::Time       m_retry_at = 0;
};

}  // namespace yuccawick::gateway

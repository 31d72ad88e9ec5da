#include "yuccawick/gateway/log_health.h"

namespace yuccawick::gateway {
namespace {

// Between two calls while the log is away, in ms: a few calls a second find its
// return early enough, since nothing waits for it by then.
constexpr net::Duration kAwayPause = 150;

}  // namespace

void LogHealth::Note(bool answered, std::string_view call) {
  m_metrics->CountStoreCall(answered);
  if (!answered) m_retry_at = m_loop->now() + kAwayPause;
  if (answered != m_away) return;
  m_away = !answered;
  m_log->Write(answered ? LogEvent::kLogBack : LogEvent::kLogLost,
               {{"partition", m_name}, {"call", call}});
}

}  // namespace yuccawick::gateway

#include "yuccawick/gateway/log_health.h"

namespace yuccawick::gateway {
namespace {

// Between two calls while the log is away, in ms: a few calls a second find its
// return early enough, since nothing waits for it by then.
constexpr net::Duration kAwayPause = 150;

// An absence this long, in ms, is an outage and no lost answer.
constexpr net::Duration kRealOutage = 300;
// How long the return of an outage is recent, in ms: a few retries of whoever
// has something to append from the time of the outage.
constexpr net::Duration kReturnQuiet = 400;

}  // namespace

void LogHealth::Note(bool answered, std::string_view call) {
  m_metrics->CountStoreCall(answered);
  if (!answered) m_retry_at = m_loop->now() + kAwayPause;
  if (answered != m_away) return;
  m_away = !answered;
  if (m_away) {
    m_away_since = m_loop->now();
  } else if (m_loop->now() - m_away_since >= kRealOutage) {
    m_quiet_until = m_loop->now() + kReturnQuiet;
  }
  m_log->Write(answered ? LogEvent::kLogBack : LogEvent::kLogLost,
               {{"partition", m_name}, {"call", call}});
}

bool LogHealth::JustReturned() const { return m_loop->now() < m_quiet_until; }

}  // namespace yuccawick::gateway

#include "yuccawick/gateway/log_health.h"

namespace yuccawick::gateway {

void LogHealth::Observe(bool answered, std::string_view call) {
  m_noted_at = m_loop->now();
  if (answered != m_away) return;
  m_away = !answered;
  if (m_away) m_away_since = m_loop->now();
  m_log->Write(answered ? LogEvent::kLogBack : LogEvent::kLogLost,
               {{"partition", m_name}, {"call", call}});
}

net::Duration LogHealth::UnavailableFor() const {
  return m_away ? m_loop->now() - m_away_since : 0;
}

}  // namespace yuccawick::gateway

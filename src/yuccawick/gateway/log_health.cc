#include "yuccawick/gateway/log_health.h"

namespace yuccawick::gateway {

void LogHealth::Observe(bool answered, std::string_view call) {
  m_last_call_at = m_loop->now();
  if (answered != m_unavailable) return;
  m_unavailable = !answered;
  if (m_unavailable) m_unavailable_since = m_loop->now();
  m_log->Write(answered ? LogEvent::kLogBack : LogEvent::kLogLost,
               {{"partition", m_name}, {"call", call}});
}

net::Duration LogHealth::UnavailableFor() const {
  return m_unavailable ? m_loop->now() - m_unavailable_since : 0;
}

}  // namespace yuccawick::gateway

#include "yuccawick/traffic/graceful_stop.h"

namespace yuccawick::traffic {

void GracefulStop::Begin(Time now, const StopTimes& times) {
  if (begun()) return;
  m_begin = now;
  m_times = times;
  m_max_bound = 0;
}

std::optional<Duration> GracefulStop::TimeLeft(Time now) const {
  if (!begun()) return std::nullopt;
  return end() - now;
}

bool GracefulStop::Allows(Time deadline) const {
  return !begun() || deadline <= end();
}

bool GracefulStop::KeepsListening(Time now, Time last_connection) const {
  if (!ClosesConnections(now)) return true;
  return now - last_connection < m_times.quiet && Allows(now + m_max_bound);
}

bool GracefulStop::ClosesConnections(Time now) const {
  return begun() && now >= *m_begin + m_times.balancer_lag;
}

}  // namespace yuccawick::traffic

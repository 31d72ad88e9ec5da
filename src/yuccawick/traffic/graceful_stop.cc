#include "yuccawick/traffic/graceful_stop.h"

namespace yuccawick::traffic {

void GracefulStop::Begin(Time now, Duration limit) {
  if (!m_end) m_end = now + limit;
}

std::optional<Duration> GracefulStop::TimeLeft(Time now) const {
  if (!m_end) return std::nullopt;
  return *m_end - now;
}

}  // namespace yuccawick::traffic

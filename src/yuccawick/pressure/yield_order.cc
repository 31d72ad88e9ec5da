#include "yuccawick/pressure/yield_order.h"

namespace yuccawick::pressure {

void YieldOrder::Place::Set(YieldClass yield_class, Time since) {
  if (yield_class == m_class && since == m_since) return;
  Leave();
  m_class = yield_class;
  m_since = since;
  m_order->WaitingIn(m_class).emplace(m_since, this);
}

void YieldOrder::Place::Leave() {
  if (m_class == YieldClass::kCount) return;
  m_order->WaitingIn(m_class).erase({m_since, this});
  m_class = YieldClass::kCount;
}

bool YieldOrder::YieldConnection(Time now) {
  for (const Waiting& waiting : m_waiting) {
    if (waiting.empty()) continue;
    const auto& [since, place] = *waiting.begin();
    const bool is_receiving = place->m_class == YieldClass::kReceiving;
    if (is_receiving && now - since < m_yield_after) continue;
    place->m_yielder->Yield();
    return true;
  }
  return false;
}

}  // namespace yuccawick::pressure

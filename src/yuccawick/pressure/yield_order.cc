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
    if (is_receiving && !IsBehind(since, now)) continue;
    AskToYield(*place);
    return true;
  }
  return false;
}

void YieldOrder::AskToYield(const Place& place) {
  ++m_yields;
  place.m_yielder->Yield();
}

YieldOrder::Place* YieldOrder::FindBehind(Time           now,
                                          const Yielder* asking) const {
  for (const auto& [due, place] : receiving()) {
    if (!IsBehind(due, now)) return nullptr;
    if (place->m_yielder != asking) return place;
  }
  return nullptr;
}

bool YieldOrder::MakeRoom(Time now, const Yielder* asking,
                          const std::function<bool()>& fits) {
  while (!fits()) {
    const Place* behind = FindBehind(now, asking);
    if (behind == nullptr) return false;
    AskToYield(*behind);
  }
  return true;
}

std::size_t YieldOrder::BytesBehind(Time now) const {
  std::size_t bytes = 0;
  for (const auto& [due, place] : receiving()) {
    if (!IsBehind(due, now)) break;
    bytes += place->m_yielder->held_bytes();
  }
  return bytes;
}

}  // namespace yuccawick::pressure

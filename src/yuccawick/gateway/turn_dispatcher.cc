#include "yuccawick/gateway/turn_dispatcher.h"

namespace yuccawick::gateway {

TurnDispatcher::Service* TurnDispatcher::GetService(const std::string& name) {
  const auto entry = m_services.try_emplace(
      name, Service{traffic::ConcurrencyLimit(m_settings), {}});
  return &entry.first->second;
}

TurnDispatcher::Id TurnDispatcher::Enqueue(const std::string& service,
                                           double rank, Duration target_latency,
                                           StartCallback start) {
  const Id id = ++m_last_id;
  Service* queue = GetService(service);
  m_turns.emplace(id, Turn{queue, {rank, id}, target_latency, 0});
  queue->waiting.emplace(QueueKey{rank, id}, std::move(start));
  StartEligible(queue);
  return id;
}

void TurnDispatcher::StartEligible(Service* service) {
  while (!service->waiting.empty() &&
         service->limit.MayStart(service->running, m_loop->now())) {
    const auto          first = service->waiting.begin();
    const StartCallback start = std::move(first->second);
    m_turns.at(first->first.second).sent_time = m_loop->now();
    service->waiting.erase(first);
    ++service->running;
    start();
  }
}

void TurnDispatcher::FirstEvent(Id id) {
  const auto found = m_turns.find(id);
  if (found == m_turns.end() || found->second.sent_time == 0) return;
  found->second.service->limit.Observe(m_loop->now() - found->second.sent_time,
                                       found->second.target_latency,
                                       m_loop->now());
}

void TurnDispatcher::Release(Id* id) {
  const auto found = m_turns.find(std::exchange(*id, 0));
  if (found == m_turns.end()) return;
  const Turn turn = found->second;
  m_turns.erase(found);
  if (turn.sent_time == 0) {
    turn.service->waiting.erase(turn.key);
    return;
  }
  --turn.service->running;
  // Deferred: the caller may be on the call stack of a start callback.
  m_loop->Defer([this, service = turn.service] { StartEligible(service); });
}

void TurnDispatcher::Sweep() {
  for (auto& [name, service] : m_services) StartEligible(&service);
}

std::size_t TurnDispatcher::waiting() const {
  std::size_t count = 0;
  for (const auto& [name, service] : m_services)
    count += service.waiting.size();
  return count;
}

}  // namespace yuccawick::gateway

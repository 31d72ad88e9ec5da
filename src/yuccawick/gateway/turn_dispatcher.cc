#include "yuccawick/gateway/turn_dispatcher.h"

namespace yuccawick::gateway {

TurnDispatcher::Service* TurnDispatcher::ServiceOf(const std::string& name) {
  const auto entry = m_services.try_emplace(
      name, Service{traffic::ConcurrencyLimit(m_settings), {}});
  return &entry.first->second;
}

TurnDispatcher::Id TurnDispatcher::Enqueue(const std::string& service,
                                           double place, Duration objective,
                                           Go go) {
  const Id id = ++m_last;
  Service* of = ServiceOf(service);
  m_turns.emplace(id, Turn{of, {place, id}, objective, 0});
  of->waiting.emplace(Place{place, id}, std::move(go));
  LetGo(of);
  return id;
}

void TurnDispatcher::LetGo(Service* service) {
  while (!service->waiting.empty() &&
         service->limit.MayStart(service->under_way, m_loop->now())) {
    const auto first = service->waiting.begin();
    const Go   go = std::move(first->second);
    m_turns.at(first->first.second).sent = m_loop->now();
    service->waiting.erase(first);
    ++service->under_way;
    go();
  }
}

void TurnDispatcher::FirstEvent(Id id) {
  const auto found = m_turns.find(id);
  if (found == m_turns.end() || found->second.sent == 0) return;
  found->second.service->limit.Observe(m_loop->now() - found->second.sent,
                                       found->second.objective, m_loop->now());
}

void TurnDispatcher::Release(Id* id) {
  const auto found = m_turns.find(std::exchange(*id, 0));
  if (found == m_turns.end()) return;
  const Turn turn = found->second;
  m_turns.erase(found);
  if (turn.sent == 0) {
    turn.service->waiting.erase(turn.place);
    return;
  }
  --turn.service->under_way;
  // Later: who leaves may be on the call stack.
  m_loop->Defer([this, service = turn.service] { LetGo(service); });
}

void TurnDispatcher::Sweep() {
  for (auto& [name, service] : m_services) LetGo(&service);
}

std::size_t TurnDispatcher::waiting() const {
  std::size_t count = 0;
  for (const auto& [name, service] : m_services)
    count += service.waiting.size();
  return count;
}

}  // namespace yuccawick::gateway

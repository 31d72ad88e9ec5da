#include "yuccawick/gateway/turn_dispatcher.h"

namespace yuccawick::gateway {

TurnDispatcher::Service* TurnDispatcher::GetService(const std::string& name) {
  const auto entry = m_services.try_emplace(
      name, Service{traffic::ConcurrencyLimit(m_settings), {}, {}});
  return &entry.first->second;
}

TurnDispatcher::Id TurnDispatcher::Enqueue(const std::string&        service,
                                           const traffic::QueueRank& rank,
                                           Duration      target_latency,
                                           StartCallback start) {
  const Id            id = ++m_last_id;
  Service*            queue = GetService(service);
  const QueueKey      key{rank, id};
  std::optional<Time> deadline;
  if (rank.time_to_late()) {
    deadline = m_loop->now() + *rank.time_to_late();
    queue->deadlines.emplace(*deadline, id);
  }
  m_turns.emplace(id, Turn{queue, key, deadline, target_latency, {}});
  queue->waiting.emplace(key, std::move(start));
  StartEligible(queue);
  return id;
}

void TurnDispatcher::StartEligible(Service* service) {
  MoveLateTurnsBack(service);
  while (!service->waiting.empty() &&
         service->limit.MayStart(service->running, m_loop->now())) {
    Turn& turn = m_turns.at(service->waiting.begin()->first.second);
    turn.sent_time = m_loop->now();
    const StartCallback start = Dequeue(turn);
    ++service->running;
    start();
  }
}

void TurnDispatcher::MoveLateTurnsBack(Service* service) {
  auto& deadlines = service->deadlines;
  while (!deadlines.empty() && deadlines.begin()->first <= m_loop->now()) {
    Turn& turn = m_turns.at(deadlines.begin()->second);
    auto  entry = service->waiting.extract(turn.key);
    turn.key.first = traffic::QueueRank::Late(turn.key.first);
    entry.key() = turn.key;
    service->waiting.insert(std::move(entry));
    deadlines.erase(deadlines.begin());
  }
}

TurnDispatcher::StartCallback TurnDispatcher::Dequeue(const Turn& turn) {
  Service* service = turn.service;
  if (turn.deadline)
    service->deadlines.erase({*turn.deadline, turn.key.second});
  return std::move(service->waiting.extract(turn.key).mapped());
}

void TurnDispatcher::FirstEvent(Id id) {
  const auto found = m_turns.find(id);
  if (found == m_turns.end() || !found->second.sent_time) return;
  found->second.service->limit.Observe(m_loop->now() - *found->second.sent_time,
                                       found->second.target_latency,
                                       m_loop->now());
}

void TurnDispatcher::Release(Id* id) {
  const auto found = m_turns.find(std::exchange(*id, 0));
  if (found == m_turns.end()) return;
  const Turn turn = found->second;
  m_turns.erase(found);
  if (!turn.sent_time) {
    Dequeue(turn);
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

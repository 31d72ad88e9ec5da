#include "yuccawick/gateway/room_desk.h"

#include <utility>

namespace yuccawick::gateway {

using admission::ProgramRoom;
using admission::RoomUse;
using admission::TurnAsk;

RoomDesk::RoomDesk(net::EventLoop*                     loop,
                   const admission::AdmissionSettings* settings,
                   fairness::BeginShare* share, Log* log, Metrics* metrics,
                   CapacityLookup room_of)
    : m_loop(loop),
      m_settings(settings),
      m_share(share),
      m_log(log),
      m_metrics(metrics),
      m_room_of(std::move(room_of)),
      m_started(loop->now()) {}

ProgramRoom& RoomDesk::RoomFor(const std::string& service) {
  return m_rooms.try_emplace(service, m_settings, m_share, m_started)
      .first->second;
}

bool RoomDesk::TryAdmit(const TurnAsk& ask) {
  if (ask.service.empty()) return true;
  return RoomFor(ask.service)
      .TryAdmit(ask, m_room_of(ask.service), m_loop->now())
      .admitted;
}

void RoomDesk::OnTurnEnded(const TurnAsk& ask, std::int64_t used) {
  const auto room = m_rooms.find(ask.service);
  if (room != m_rooms.end()) room->second.OnTurnEnded(ask, used, m_loop->now());
}

void RoomDesk::CancelAdmission(const TurnAsk& ask) {
  const auto room = m_rooms.find(ask.service);
  if (room != m_rooms.end()) room->second.CancelAdmission(ask, m_loop->now());
}

Duration RoomDesk::RetryDelay(const TurnAsk& ask) const {
  const auto room = m_rooms.find(ask.service);
  if (room == m_rooms.end()) return m_settings->min_retry_delay;
  return room->second.RetryDelay(ask.program, m_loop->now());
}

RoomDesk::UsageByService RoomDesk::LocalUsageByService() {
  UsageByService uses;
  for (auto& [service, room] : m_rooms) {
    room.Sweep(m_loop->now());
    uses[service] = room.LocalUsageByPartition();
  }
  return uses;
}

void RoomDesk::SetPeerUsage(const std::string& home, const UsageByService& uses) {
  for (const auto& [service, use] : uses) {
    RoomFor(service).SetPeerUsage(home, use, m_loop->now());
  }
}

std::vector<fairness::WorkCharge> RoomDesk::TakeCharges() {
  return m_share->TakeUnsent();
}

void RoomDesk::HearCharges(const std::vector<fairness::WorkCharge>& charges) {
  m_share->MergePeer(charges, m_loop->now());
}

void RoomDesk::WriteUsageLines() {
  RoomUse here;
  for (auto& [service, room] : m_rooms) {
    here += room.LocalUsage();
    const int refused = room.TakeRefusedCount();
    if (room.empty() && refused == 0) continue;
    const RoomUse total = room.TotalUse(m_loop->now());
    const auto    holds = m_room_of(service);
    m_log->Write(LogEvent::kRoom,
                 {{"service", service},
                  {"programs_here", room.LocalUsage().programs},
                  {"programs", total.programs},
                  {"turns", static_cast<std::int64_t>(total.slots)},
                  {"places", static_cast<std::int64_t>(holds.slots)},
                  {"held_tokens", total.memory},
                  {"memory_tokens", holds.memory},
                  {"refused_here", refused}});
  }
  m_metrics->Set(Gauge::kPrograms, here.programs);
  m_metrics->Set(Gauge::kProgramTurns, here.slots);
  m_metrics->Set(Gauge::kProgramTokens, static_cast<double>(here.memory));
}

}  // namespace yuccawick::gateway

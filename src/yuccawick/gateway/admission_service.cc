#include "yuccawick/gateway/admission_service.h"

#include <utility>

namespace yuccawick::gateway {

using admission::AdmissionController;
using admission::AdmissionRequest;
using admission::CapacityUsage;

AdmissionService::AdmissionService(net::EventLoop*                     loop,
                                   const admission::AdmissionSettings* settings,
                                   fairness::FairnessPolicy* share, Log* log,
                                   Metrics* metrics, CapacityLookup room_of)
    : m_loop(loop),
      m_settings(settings),
      m_share(share),
      m_log(log),
      m_metrics(metrics),
      m_room_of(std::move(room_of)),
      m_started(loop->now()) {}

AdmissionController& AdmissionService::RoomFor(const std::string& service) {
  return m_rooms.try_emplace(service, m_settings, m_share, m_started)
      .first->second;
}

bool AdmissionService::TryAdmit(const AdmissionRequest& ask) {
  if (ask.service.empty()) return true;
  return RoomFor(ask.service)
      .TryAdmit(ask, m_room_of(ask.service), m_loop->now())
      .admitted;
}

void AdmissionService::OnTurnEnded(const AdmissionRequest& ask,
                                   std::int64_t            used) {
  const auto room = m_rooms.find(ask.service);
  if (room != m_rooms.end()) room->second.OnTurnEnded(ask, used, m_loop->now());
}

void AdmissionService::CancelAdmission(const AdmissionRequest& ask) {
  const auto room = m_rooms.find(ask.service);
  if (room != m_rooms.end()) room->second.CancelAdmission(ask, m_loop->now());
}

Duration AdmissionService::RetryDelay(const AdmissionRequest& ask) const {
  const auto room = m_rooms.find(ask.service);
  if (room == m_rooms.end()) return m_settings->min_retry_delay;
  return room->second.RetryDelay(ask.program, m_loop->now());
}

AdmissionService::UsageByService AdmissionService::LocalUsageByService() {
  UsageByService uses;
  for (auto& [service, room] : m_rooms) {
    room.Sweep(m_loop->now());
    uses[service] = room.LocalUsageByPartition();
  }
  return uses;
}

void AdmissionService::SetPeerUsage(const std::string&    home,
                                    const UsageByService& uses) {
  for (const auto& [service, use] : uses) {
    RoomFor(service).SetPeerUsage(home, use, m_loop->now());
  }
}

std::vector<fairness::UsageCharge> AdmissionService::TakeCharges() {
  return m_share->TakeUnsent();
}

void AdmissionService::MergePeerCharges(
    const std::vector<fairness::UsageCharge>& charges) {
  m_share->MergePeer(charges, m_loop->now());
}

void AdmissionService::WriteUsageLines() {
  CapacityUsage here;
  for (auto& [service, room] : m_rooms) {
    here += room.LocalUsage();
    const int refused = room.TakeRefusedCount();
    if (room.empty() && refused == 0) continue;
    const CapacityUsage total = room.TotalUse(m_loop->now());
    const auto          holds = m_room_of(service);
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

#include "yuccawick/gateway/admission_service.h"

#include <utility>

namespace yuccawick::gateway {

using admission::AdmissionController;
using admission::AdmissionRequest;
using admission::CapacityUsage;

AdmissionService::AdmissionService(net::EventLoop*                     loop,
                                   const admission::AdmissionSettings* settings,
                                   fairness::FairnessPolicy* policy, Log* log,
                                   Metrics*       metrics,
                                   CapacityLookup capacity_lookup)
    : m_loop(loop),
      m_settings(settings),
      m_policy(policy),
      m_log(log),
      m_metrics(metrics),
      m_capacity_lookup(std::move(capacity_lookup)),
      m_started(loop->now()) {}

AdmissionController& AdmissionService::ControllerFor(
    const std::string& service) {
  return m_controllers.try_emplace(service, m_settings, m_policy, m_started)
      .first->second;
}

bool AdmissionService::TryAdmit(const AdmissionRequest& request) {
  if (request.service.empty()) return true;
  return ControllerFor(request.service)
      .TryAdmit(request, m_capacity_lookup(request.service), m_loop->now())
      .admitted;
}

void AdmissionService::OnTurnEnded(const AdmissionRequest& request,
                                   std::int64_t            used) {
  const auto controller = m_controllers.find(request.service);
  if (controller != m_controllers.end())
    controller->second.OnTurnEnded(request, used, m_loop->now());
}

void AdmissionService::CancelAdmission(const AdmissionRequest& request) {
  const auto controller = m_controllers.find(request.service);
  if (controller != m_controllers.end())
    controller->second.CancelAdmission(request, m_loop->now());
}

Duration AdmissionService::RetryDelay(const AdmissionRequest& request) const {
  const auto controller = m_controllers.find(request.service);
  if (controller == m_controllers.end()) return m_settings->min_retry_delay;
  return controller->second.RetryDelay(request.program, m_loop->now());
}

AdmissionService::UsageByService AdmissionService::LocalUsageByService() {
  UsageByService usage;
  for (auto& [service, controller] : m_controllers) {
    controller.Sweep(m_loop->now());
    usage[service] = controller.LocalUsageByPartition();
  }
  return usage;
}

void AdmissionService::SetPeerUsage(const std::string&    coordinator,
                                    const UsageByService& usage) {
  for (const auto& [service, service_usage] : usage) {
    ControllerFor(service).SetPeerUsage(coordinator, service_usage,
                                        m_loop->now());
  }
}

std::vector<fairness::UsageCharge> AdmissionService::TakeCharges() {
  return m_policy->TakeUnsent();
}

void AdmissionService::MergePeerCharges(
    const std::vector<fairness::UsageCharge>& charges) {
  m_policy->MergePeer(charges, m_loop->now());
}

void AdmissionService::WriteUsageLines() {
  CapacityUsage local_usage;
  for (auto& [service, controller] : m_controllers) {
    local_usage += controller.LocalUsage();
    const int refused = controller.TakeRefusedCount();
    if (controller.empty() && refused == 0) continue;
    const CapacityUsage total = controller.TotalUse(m_loop->now());
    const auto          service_capacity = m_capacity_lookup(service);
    m_log->Write(LogEvent::kRoom,
                 {{"service", service},
                  {"programs_here", controller.LocalUsage().programs},
                  {"programs", total.programs},
                  {"turns", static_cast<std::int64_t>(total.slots)},
                  {"places", static_cast<std::int64_t>(service_capacity.slots)},
                  {"held_tokens", total.memory},
                  {"memory_tokens", service_capacity.memory},
                  {"refused_here", refused}});
  }
  m_metrics->Set(Gauge::kPrograms, local_usage.programs);
  m_metrics->Set(Gauge::kProgramTurns, local_usage.slots);
  m_metrics->Set(Gauge::kProgramTokens,
                 static_cast<double>(local_usage.memory));
}

}  // namespace yuccawick::gateway

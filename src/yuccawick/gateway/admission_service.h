// Carries out admission/admission_controller.h on a node that is home of
// programs: one AdmissionController for each model service, and what other
// homes said of theirs.
//
// TokenCoordinator asks it before it claims tokens for a program's first turn,
// so that a refused program leaves no trace in the log.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "yuccawick/admission/admission_controller.h"
#include "yuccawick/gateway/log.h"
#include "yuccawick/gateway/metrics.h"

namespace yuccawick::gateway {

using net::Duration;
using net::Time;

class AdmissionService {
 public:
  // What a service's model servers hold together now.
  using CapacityLookup =
      std::function<capacity::ServiceCapacity(const std::string& service)>;
  using UsageByService =
      std::map<std::string, admission::UsageByPartition>;  // by service

  AdmissionService(net::EventLoop*                     loop,
                   const admission::AdmissionSettings* settings,
                   fairness::FairnessPolicy* share, Log* log, Metrics* metrics,
                   CapacityLookup room_of);

  // Whether the turn may run; always if it wants no room.
  bool TryAdmit(const admission::AdmissionRequest& ask);
  // `used`: tokens that the turn generated.
  void OnTurnEnded(const admission::AdmissionRequest& ask, std::int64_t used);
  // It was let in and did not run.
  void CancelAdmission(const admission::AdmissionRequest& ask);
  Duration RetryDelay(const admission::AdmissionRequest& ask) const;

  // Of the programs counted here, as of now.
  UsageByService LocalUsageByService();
  void SetPeerUsage(const std::string& home, const UsageByService& uses);
  // What turns of workspaces cost here since the last call; and at another
  // home.
  std::vector<fairness::UsageCharge> TakeCharges();
  void MergePeerCharges(const std::vector<fairness::UsageCharge>& charges);
  // One line for each service that programs of this home are under way at.
  void WriteUsageLines();

 private:
  admission::AdmissionController& RoomFor(const std::string& service);

  net::EventLoop*                                       m_loop;
  const admission::AdmissionSettings*                   m_settings;
  fairness::FairnessPolicy*                             m_share;
  Log*                                                  m_log;
  Metrics*                                              m_metrics;
  CapacityLookup                                        m_room_of;
  Time                                                  m_started;
  std::map<std::string, admission::AdmissionController> m_rooms;  // by service
};

}  // namespace yuccawick::gateway

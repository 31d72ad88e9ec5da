// Decides who is admitted while capacity is scarce.
//
// A FairnessPolicy returns the share of the capacity (slots and memory of the
// model servers) up to which a new program is admitted: with 1 it may take the
// last slot, with 0.8 it leaves a fifth to others. AdmissionController calls it
// for new programs only, never for the turns of running ones.
#pragma once

#include <string>
#include <vector>

#include "yuccawick/net/event_loop.h"

namespace yuccawick::fairness {

using net::Duration;
using net::Time;

struct NewProgram {
  std::string workspace;  // empty: the deployment has no workspaces
  std::string route;
  int         priority = 0;  // 0 is most urgent
  bool        late = false;  // can no longer finish in time
};

// Slot time, in ms, of the turns of a workspace that ended.
struct UsageCharge {
  std::string workspace;
  double      work = 0;
  double      turns = 0;
};

class FairnessPolicy {
 public:
  virtual ~FairnessPolicy() = default;
  // Share of the capacity in (0, 1].
  virtual double AdmissionThreshold(const NewProgram& program, Time now) = 0;
  // Records a turn of the workspace that used a slot for `work` ms.
  virtual void Charge(const std::string& workspace, double work, Time now) = 0;
  // TakeUnsent returns the charges made here since the last call, to send to
  // the other coordinators; MergePeer adds the charges of another coordinator.
  virtual std::vector<UsageCharge> TakeUnsent() = 0;
  virtual void MergePeer(const std::vector<UsageCharge>& charges, Time now) = 0;
};

// First come, first served, without margins.
class FirstComePolicy final : public FairnessPolicy {
 public:
  double AdmissionThreshold(const NewProgram& /*beginner*/,
                            Time /*now*/) override {
    return 1.0;
  }
  void Charge(const std::string& /*workspace*/, double /*work*/,
              Time /*now*/) override {}
  std::vector<UsageCharge> TakeUnsent() override { return {}; }
  void MergePeer(const std::vector<UsageCharge>& /*charges*/,
                 Time /*now*/) override {}
};

}  // namespace yuccawick::fairness

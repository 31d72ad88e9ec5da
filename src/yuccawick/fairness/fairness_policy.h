// Who may begin while room is short.
//
// Room is the part of the model servers' places and memory that programs under
// way take. A FairnessPolicy says up to which part of it a program may begin: 1
// lets it take the last place, 0.8 leaves a fifth to others. Programs under way
// are never asked.
#pragma once

#include <string>
#include <vector>

#include "yuccawick/net/event_loop.h"

namespace yuccawick::fairness {

using net::Duration;
using net::Time;

struct NewProgram {
  std::string workspace;  // empty: the deployment has none
  std::string route;
  int         priority = 0;  // 0 is first
  bool        late = false;  // its time is up, or does not hold its turns
};

// Turns of a workspace that ended, and the ms of places that they took.
struct UsageCharge {
  std::string workspace;
  double      work = 0;
  double      turns = 0;
};

class FairnessPolicy {
 public:
  virtual ~FairnessPolicy() = default;
  // In (0, 1].
  virtual double AdmissionThreshold(const NewProgram& beginner, Time now) = 0;
  // A turn of the workspace took `work` ms of a place at a model server.
  virtual void Charge(const std::string& workspace, double work, Time now) = 0;
  // What was charged here since the last call, for the other homes; and what
  // another home charged.
  virtual std::vector<UsageCharge> TakeUnsent() = 0;
  virtual void MergePeer(const std::vector<UsageCharge>& charges, Time now) = 0;
};

// The baseline: first come, first served.
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

// Combined capacity of the model servers of a service.
//
// Computed from the engine limits in the manifest, the servers in the
// directory, and the slowdown of each; used by AdmissionController.
#pragma once

#include <cstdint>

namespace yuccawick::capacity {

struct ServiceCapacity {
  int          servers = 0;  // listed and not draining
  double       slots = 0;    // concurrent requests, weighted by server speed
  std::int64_t memory = 0;   // tokens, shared by runs and cached prompts

  bool known() const { return servers > 0 && slots > 0 && memory > 0; }
};

}  // namespace yuccawick::capacity

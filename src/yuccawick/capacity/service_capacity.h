// What the model servers of a service can hold together.
//
// The manifest says what one engine holds, discovery how many servers there
// are, ServerSlowdown how fast each is. Whoever lets programs onto the servers
// reads only this.
#pragma once

#include <cstdint>

namespace yuccawick::capacity {

struct ServiceCapacity {
  int          servers = 0;  // listed, not leaving
  double       slots = 0;    // requests at once; a slow server's count less
  std::int64_t memory = 0;   // tokens, shared by runs and cached prompts

  bool known() const { return servers > 0 && slots > 0 && memory > 0; }
};

}  // namespace yuccawick::capacity

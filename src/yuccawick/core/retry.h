// When to try again, and when not to.
//
// Only the entry retries; every other node passes failures on. A retry costs a
// token of a bucket that fresh requests fill slowly, so that a fault cannot
// multiply the load. The wait doubles with each attempt and is spread by a
// random part drawn from the node's seed.
#pragma once

#include <random>

#include "yuccawick/core/failure.h"
#include "yuccawick/core/types.h"

namespace yuccawick::core {

struct RetrySettings {
  double   per_request = 0.2;  // retry tokens a fresh request adds
  double   burst = 50;         // most tokens saved up
  Duration initial_wait = 50;  // ms before the first retry, doubled each time
  Duration max_wait = 1000;    // ms
  int      max_attempts = 12;
};

// True if the reason is a passing state of the system and the request may be
// sent again without the caller doing so.
bool IsRetriable(const Failure& failure);

class RetryBudget {
 public:
  RetryBudget(RetrySettings settings, std::uint64_t seed);

  void     OnFreshRequest();
  // Takes one token; false if there is none or the attempts are used up.
  bool     Take(int attempts_made);
  // Wait before attempt number `attempts_made` + 1, at least what the refusing
  // node asked for.
  Duration Wait(int attempts_made, Duration asked_for);

 private:
  RetrySettings   m_settings;
  double          m_tokens;
  std::mt19937_64 m_random;
};

}  // namespace yuccawick::core

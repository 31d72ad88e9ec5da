// Retry policy of the entry, the only node that retries.
//
// A retry takes a token from a bucket that new requests refill slowly, so that
// a fault cannot multiply the load. The delay doubles with each attempt and has
// random jitter drawn from the node's seed.
#pragma once

#include <random>

#include "yuccawick/core/failure.h"
#include "yuccawick/core/types.h"

namespace yuccawick::core {

struct RetrySettings {
  double   per_request = 0.2;  // retry tokens added by each new request
  double   burst = 50;         // capacity of the token bucket
  Duration initial_wait = 50;  // ms before the first retry; doubles each time
  Duration max_wait = 1000;    // ms
  int      max_attempts = 12;
};

// True if the failure is transient and the request did not run, so that the
// request may be sent again on behalf of the caller.
bool IsRetriable(const Failure& failure);

class RetryBudget {
 public:
  RetryBudget(RetrySettings settings, std::uint64_t seed);

  void     OnFreshRequest();
  // Takes one token. Returns false if none is left or the attempts are used up.
  bool     Take(int attempts_made);
  // Delay in ms before attempt `attempts_made` + 1, at least `requested_delay`,
  // the retry delay that the refusing node returned.
  Duration Wait(int attempts_made, Duration requested_delay);

 private:
  RetrySettings   m_settings;
  double          m_tokens;
  std::mt19937_64 m_random;
};

}  // namespace yuccawick::core

// Switches that turn off single safeguards in tests.
//
// A test of a guarantee must fail with its safeguard off and pass with it on.
// Daemons always run with Safeguards::All(); no setting changes this.
#pragma once

#include <bitset>
#include <cstdint>

namespace yuccawick::core {

enum class Safeguard : std::uint8_t {
  kCallOrder,          // calls wait for their predecessors
  kWorkspaceCheck,     // a program is served only to its own workspace
  kDurableAnswer,      // an answer waits until its turn is durable
  kCoordinatorDedup,   // a finished call is answered from its turn
  kReplicaClaimsOnly,  // only assigned replicas may claim
  kIntentFirst,        // unrepeatable calls are recorded before dispatch
  kExecutorFence,      // orders below the highest fence are refused
  kExecutorDedup,      // a known call is not run again
  kIncarnationCheck,   // orders to an earlier incarnation are refused
  kUnknownIsFinal,     // a call with unknown outcome is never run again
  kGrantReadBack,      // a slice is spent only after it is read back
  kWorstCaseReserve,   // a call reserves its worst-case cost
  kPrefixRelease,      // prefixes of ended programs are released
  kReplyMatch,         // replies are matched to their request
  kRanAccuracy,        // Ran::kNo only for requests that were never sent
  kLeavingStopsWork,   // a leaving node gets no new work
  kDrainInFlight,      // a planned stop waits for calls in progress
  kNewerControlOnly,   // older control records are ignored
  kAmendsVersion,      // an amendment of an outdated version is void
  kPauseDetection,     // a node that was paused suspects no peer
};
constexpr std::size_t kSafeguardCount =
    static_cast<std::size_t>(Safeguard::kPauseDetection) + 1;

class Safeguards {
 public:
  static Safeguards All() { return Safeguards(); }
  static Safeguards Without(Safeguard safeguard) {
    Safeguards safeguards;
    safeguards.m_off.set(static_cast<std::size_t>(safeguard));
    return safeguards;
  }
  bool Has(Safeguard safeguard) const {
    return !m_off.test(static_cast<std::size_t>(safeguard));
  }

 private:
  std::bitset<kSafeguardCount> m_off;
};

}  // namespace yuccawick::core

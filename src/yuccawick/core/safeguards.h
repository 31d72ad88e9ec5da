// Switches by which a test shows what a safeguard is for.
//
// Every promise has a proof that fails with its safeguard off and passes with
// it on. The daemons always run with Safeguards::All(); there is no setting for
// these.
#pragma once

#include <bitset>
#include <cstdint>

namespace yuccawick::core {

enum class Safeguard : std::uint8_t {
  kCallOrder,          // calls wait for their predecessors
  kWorkspaceCheck,     // a program is served to its own workspace only
  kDurableAnswer,      // an answer waits until its turn is held twice
  kCoordinatorDedup,   // a finished sequence is answered from its turn
  kReplicaClaimsOnly,  // only the assigned replica may claim
  kIntentFirst,        // unrepeatable calls are recorded before they are sent
  kExecutorFence,      // orders below the highest fence are refused
  kExecutorDedup,      // a call already seen is not run again
  kIncarnationCheck,   // orders to an earlier incarnation are refused
  kUnknownIsFinal,     // an unknown outcome is never run again
  kGrantReadBack,      // a slice is spent only once the log shows it valid
  kWorstCaseReserve,   // a call reserves its worst case before it is sent
  kPrefixRelease,      // prefixes of ended programs are dropped
  kReplyMatch,         // replies reach only the request they answer
  kRanAccuracy,        // "did not run" is said only of what was never sent
  kLeavingStopsWork,   // a leaving node gets nothing new
  kDrainInFlight,      // a planned stop waits for work under way
  kNewerControlOnly,   // an older control record changes nothing
  kAmendsVersion,      // an amendment of a superseded version is void
  kPauseDetection,     // after a pause of its own a node suspects nobody
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

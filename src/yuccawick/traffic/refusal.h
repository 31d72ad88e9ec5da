// Answers of our own, in place of a backend server's.
//
// Each refusal says whether the request may have run; the status that a client
// sees comes from the table in refusal.cc and nowhere else. A status that
// promises "not run" may only be used where that is certain.
#pragma once

#include <cstdint>
#include <string_view>

namespace yuccawick::traffic {

enum class Refusal : std::uint8_t {
  kMalformed,  // not HTTP as we read it, or a bad header
  kHeadTooLarge,
  kBodyTooLarge,
  kTooSlow,  // the client did not send its request in time
  kNoRoute,
  kUnknownKey,     // no workspace has this key
  kUnknownTurn,    // the turn it continues from certainly does not exist
  kBudgetSpent,    // the program's tokens do not hold this turn
  kOverLimit,      // its workspace has sent as many as it may
  kNotReady,       // this node knows no manifest yet
  kRouteUnsure,    // no such route here, and the manifest may be an old one
  kKeyUnsure,      // the key may have been taken away, or be a new one
  kNoServer,       // no backend server can take it now
  kOverloaded,     // the server that was asked is full
  kNoRoom,         // model servers have no room for another program
  kNodeFull,       // this node holds as much for others as it may
  kLogAway,        // the log does not answer any node: no turn can be kept
  kHistoryUnsure,  // the turn may exist, and the log does not answer
  kBudgetUnsure,   // the budget cannot be claimed now
  kLimitUnsure,    // nobody knows what its workspace has sent
  kLateUnsent,     // out of time before it was sent
  kLateSent,       // out of time after it was sent
  kServerFailed,   // it may have run, and no answer can be had
  kCount,
};
constexpr std::size_t kRefusalCount = static_cast<std::size_t>(Refusal::kCount);

std::string_view Name(Refusal refusal);
int              Status(Refusal refusal);
// Refusals after which the same request may be sent again later.
bool             IsRetriable(Refusal refusal);

}  // namespace yuccawick::traffic

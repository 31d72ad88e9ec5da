// Limits the tokens an agent program may generate across all nodes.
//
// A node that wants to run turns of a program appends a claim to the log.
// TokenLedger replays the claims in log order, so every node computes the same
// grants; no leases, fencing or ownership transfer are needed. TokenAccount is
// one node's view of one program: tokens granted to it, reserved by running
// turns, and used.
//
// Invariants:
// - A turn runs only on tokens granted in the log, so lost nodes and messages
//   never cause overuse. Tokens granted to a node that dies are lost; nodes
//   therefore claim only what waiting turns need and release the rest.
// - Grants stay within the budget plus one turn, because a program may exhaust
//   its budget in the middle of a turn. A running turn counts with its maximum
//   tokens.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "yuccawick/net/event_loop.h"

namespace yuccawick::programs {

using net::Duration;
using net::Time;
using Tokens = std::int64_t;

struct TokenClaim {
  std::uint64_t number = 0;  // unique within one incarnation of the node
  std::string   node;        // the claiming node's incarnation
  std::string   program;
  Tokens        budget = 0;  // budget stated by the client, plus one turn
  Tokens        need = 0;    // minimum useful grant
  Tokens wish = 0;  // preferred grant; at most half of the remaining budget
  // True: applied without a check; `wish` is negative, the released tokens.
  bool   taken = false;
  // Tokens granted earlier, as known to the claiming node. A reader that finds
  // the program's older records deleted starts from this value.
  Tokens before = 0;
};

class TokenLedger {
 public:
  // Applies the next claim in log order and returns the tokens granted. A claim
  // that appears twice in the log counts once.
  Tokens Apply(const TokenClaim& claim, Time now);
  // Tokens granted by all claims applied so far, less those released.
  Tokens Granted(const std::string& program) const;
  void   Expire(Time now);

 private:
  using RecordId = std::pair<std::string, std::uint64_t>;  // node, number
  struct Entry {
    Tokens             budget = 0;
    Tokens             granted = 0;
    Time               expires_at = 0;
    std::set<RecordId> applied;
  };

  std::unordered_map<std::string, Entry> m_entries;  // by program
};

enum class TokenAnswer : std::uint8_t {
  kStart,  // reserved; the turn may run
  kClaim,  // too few tokens: append NextClaim() to the log, then retry
};

class TokenAccount {
 public:
  explicit TokenAccount(Tokens budget) : m_budget(budget) {}

  // Tries to reserve tokens for a turn of at most `max_tokens` tokens.
  TokenAnswer Reserve(Tokens max_tokens);
  // Whether the turn may fit once running turns end below their maximum. Call
  // after a claim for the turn was granted no tokens.
  bool        MayFitLater(Tokens max_tokens) const;
  // Returns a claim for a turn of at most `max_tokens` tokens; the caller sets
  // `number`, `node` and `program`.
  TokenClaim  NextClaim(Tokens max_tokens) const;
  void        OnGranted(Tokens granted);
  // Call when a turn ended, after `used` of its tokens were sent to the client.
  void        EndTurn(Tokens max_tokens, Tokens used);
  // Removes the available tokens from the account and returns their number.
  Tokens      ReleaseUnused();
  // Tokens granted and neither used nor reserved.
  Tokens      Available() const { return m_granted - m_used - m_reserved; }
  Tokens      budget() const { return m_budget; }

 private:
  Tokens m_budget;
  Tokens m_granted = 0;
  Tokens m_used = 0;
  Tokens m_reserved = 0;  // sum of the running turns' maximum tokens
};

// Time in ms for which an idle program's entry is kept: twice the longest
// retention of turns, within which a stopped program may resume.
inline constexpr Duration kLedgerRetention = 600'000;

}  // namespace yuccawick::programs

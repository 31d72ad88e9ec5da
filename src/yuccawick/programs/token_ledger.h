// How many tokens each agent program may still generate, over all nodes.
//
// No node owns a program. A node that wants to run turns of one appends a claim
// to the platform's log; the order of the log decides what each claim is
// granted, and every node that reads the log computes the same answer. A claim
// needs no fencing, no lease and no hand-over: a node that dies takes with it
// only what it was granted and had not used.
//
// TokenLedger is that computation. TokenAccount is one node's side of one
// program: what it was granted, what its turns used, what they may still use.
//
// A turn runs on granted tokens only, so whatever is lost, and whenever, what
// clients were handed stays within what the log has granted. What a node was
// granted and had not used is lost with it; so a node claims what the turns
// need that wait for it, and gives back what they left.
//
// The ledger grants up to the budget and one turn beyond it: a program may end
// its budget in the middle of a turn. Counting turns at the most they may
// generate, nothing that was granted can exceed that.
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
  std::uint64_t number = 0;  // unique in one incarnation of the node
  std::string   node;        // the claiming node's incarnation
  std::string   program;
  Tokens        budget = 0;  // of the program, as its client states it
  Tokens        need = 0;    // less than this is of no use
  Tokens        wish = 0;    // taken if half of the rest allows it
  // Counts whether it fits or not: `wish` is below zero and given back.
  bool          taken = false;
  // Granted before, as far as the claiming node knew. Readers begin with it
  // that find the program's older records deleted.
  Tokens        before = 0;
};

class TokenLedger {
 public:
  // Applies the next claim in log order; returns the tokens granted. A record
  // that lies in the log twice counts once.
  Tokens Apply(const TokenClaim& claim, Time now);
  // Granted by all records so far.
  Tokens Granted(const std::string& program) const;
  void   Expire(Time now);

 private:
  using RecordId = std::pair<std::string, std::uint64_t>;  // node, number
  struct Entry {
    Tokens             budget = 0;
    Tokens             granted = 0;
    Time               until = 0;
    std::set<RecordId> applied;
  };

  std::unordered_map<std::string, Entry> m_entries;  // by program
};

enum class TokenAnswer : std::uint8_t {
  kStart,  // reserved; the turn may run
  kClaim,  // claim NextClaim() first, then ask again
};

class TokenAccount {
 public:
  explicit TokenAccount(Tokens budget) : m_budget(budget) {}

  // Asks to run a turn of at most `most` tokens.
  TokenAnswer Reserve(Tokens most);
  // Whether that turn may fit once turns under way have ended with less than
  // their most. Ask after a claim for it was granted nothing.
  bool        MayFitLater(Tokens most) const;
  // A claim for such a turn; `number`, `node` and `program` are the caller's
  // to fill.
  TokenClaim  NextClaim(Tokens most) const;
  void        OnGranted(Tokens granted);
  // The turn ended and `used` of its tokens were handed to the client.
  void        EndTurn(Tokens most, Tokens used);
  // What is granted and not needed is given up; returns how much.
  Tokens      ReleaseUnused();
  // Granted, and not used or reserved.
  Tokens      Available() const { return m_granted - m_used - m_running; }
  Tokens      budget() const { return m_budget; }

 private:
  Tokens m_budget;
  Tokens m_granted = 0;
  Tokens m_used = 0;
  Tokens m_running = 0;  // the most that turns under way may use
};

// How long an idle program's entry is kept, in ms: twice the time for which the
// log keeps turns at the most, within which a stopped program may come back.
inline constexpr Duration kLedgerRetention = 600'000;

}  // namespace yuccawick::programs

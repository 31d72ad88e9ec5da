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
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

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
  // Already used while the log was away; counts whether it fits or not.
  bool          taken = false;
};

class TokenLedger {
 public:
  // Applies the next claim in log order; returns the tokens granted.
  Tokens Apply(const TokenClaim& claim, Time now);
  Tokens Rest(const std::string& program, Tokens budget) const;
  void   Expire(Time now);

 private:
  struct Entry {
    Tokens budget = 0;
    Tokens granted = 0;
    Time   until = 0;
  };
  std::unordered_map<std::string, Entry> m_entries;  // by program
};

enum class TokenAnswer : std::uint8_t {
  kStart,  // reserved; the turn may run
  kClaim,  // claim NextClaim() first, then ask again
  kSpent,  // the budget does not hold this turn
};

class TokenAccount {
 public:
  explicit TokenAccount(Tokens budget) : m_budget(budget) {}

  // Asks to run a turn of at most `most` tokens.
  TokenAnswer Reserve(Tokens most);
  // A claim for such a turn; `number` and `node` are the caller's to fill.
  TokenClaim  NextClaim(Tokens most) const;
  void        Granted(Tokens granted);
  // The log does not answer: a share of the budget that this node may use
  // without a record. False if it was taken before.
  bool        TakeAllowance();
  void        Use(Tokens tokens) { m_used += tokens; }  // handed to the client
  void        EndTurn(Tokens most) { m_running -= most; }

  Tokens budget() const { return m_budget; }
  Tokens granted() const { return m_granted; }
  Tokens used() const { return m_used; }
  Tokens allowance() const { return m_allowance; }
  void   CountAllowance() { m_allowance = 0; }  // it is in the log now

 private:
  Tokens m_budget;
  Tokens m_granted = 0;
  Tokens m_used = 0;
  Tokens m_running = 0;    // the most that turns under way may use
  Tokens m_allowance = 0;  // part of m_granted that the log does not know
  bool   m_allowance_taken = false;
  bool   m_denied = false;  // the last claim was granted nothing
};

// Share of a budget that a node takes while the log does not answer. Clients
// stay with few nodes, so a quarter keeps the sum over the nodes that see one
// program during an outage within its budget.
inline constexpr Tokens   kAllowanceDivisor = 4;
// A claim asks for half of the budget: a program that stays on its node costs
// one claim, and half is left for the nodes it moves to.
inline constexpr Tokens   kWishDivisor = 2;
// How long an idle program's entry is kept, in ms: well above the retention of
// turns, within which a stopped program may come back.
inline constexpr Duration kLedgerRetention = 180'000;

}  // namespace yuccawick::programs

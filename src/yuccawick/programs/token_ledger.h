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
// The ledger grants up to the budget and one turn beyond it: a program may end
// its budget in the middle of a turn. Counting turns at the most they may
// generate, nothing that was granted can exceed that.
#pragma once

#include <cstdint>
#include <map>
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
  // Counts whether it fits or not: `wish` was used while the log was away, or,
  // below zero, is given back by a node that stops.
  bool          taken = false;
};

class TokenLedger {
 public:
  // Applies the next claim in log order; returns the tokens granted. A record
  // that was taken without the log and lies there twice counts once.
  Tokens Apply(const TokenClaim& claim, Time now);
  // A record that will come in the log, or lies there and was not read yet: of
  // a claim, `wish` is what it was granted. It lowers Rest() from now on; what
  // others are granted stays a matter of the log's order alone. False if it is
  // known already.
  bool   Foretell(const TokenClaim& claim, Time now);
  // Not granted and not foretold; below zero if more was used.
  Tokens Rest(const std::string& program, Tokens budget) const;
  void   Expire(Time now);

 private:
  using RecordId = std::pair<std::string, std::uint64_t>;  // node, number
  struct Entry {
    Tokens                     budget = 0;
    Tokens                     granted = 0;
    Time                       until = 0;
    std::map<RecordId, Tokens> foretold;
    std::set<RecordId>         applied;  // records that lie in the log
  };
  Entry& EntryOf(const TokenClaim& claim, Time now);

  std::unordered_map<std::string, Entry> m_entries;  // by program
};

enum class TokenAnswer : std::uint8_t {
  kStart,  // reserved; the turn may run
  kClaim,  // claim NextClaim() first, then ask again
  kWait,   // ask again when a turn under way has ended
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
  // The log does not answer: tokens that may be used without its record, for
  // this turn and others; 0 if there are none. `rest`: not yet granted, as last
  // read.
  Tokens      TakeAllowance(Tokens most, Tokens rest);
  // The turn ended and `used` of its tokens were handed to the client.
  void        EndTurn(Tokens most, Tokens used);
  // What is granted and not needed is given up; returns how much.
  Tokens      GiveBack();

  Tokens budget() const { return m_budget; }
  Tokens granted() const { return m_granted; }
  Tokens used() const { return m_used; }
  Tokens running() const { return m_running; }

 private:
  Tokens m_budget;
  Tokens m_granted = 0;
  Tokens m_used = 0;
  Tokens m_running = 0;  // the most that turns under way may use
  bool   m_allowance_taken = false;
  bool   m_denied = false;  // the last claim was granted nothing
};

// A claim asks for half of the budget, and gets at most half of what is left: a
// program that stays with one counting node costs one claim, and enough is left
// for the node that counts after it.
inline constexpr Tokens   kWishDivisor = 2;
// Part of the tokens left in the log that a home may use while the log is away.
// One node is the home of a program; a second one comes in only if the first
// fails during the outage, and both together stay within what was left.
inline constexpr Tokens   kAllowanceDivisor = 2;
// How long an idle program's entry is kept, in ms: well above the retention of
// turns, within which a stopped program may come back.
inline constexpr Duration kLedgerRetention = 180'000;

}  // namespace yuccawick::programs

// Limits the tokens an agent program may generate across all nodes.
//
// A turn runs only on a reservation of its maximum tokens that a claim in the
// log grants, and ends with a settlement in the log that says what it used.
// TokenLedger replays both in log order, so every node computes the same
// grants; no leases, fencing or ownership transfer are needed.
//
// The node that sends a turn names its reservation. So it does not matter which
// node writes a record, or how often:
// - A reservation is granted once, and settled once. A claim that reaches the
//   log after the settlement grants nothing.
// - Tokens are never granted to a node, so none are lost with one. Only a turn
//   whose sender ends before it has settled it counts in full.
// - Grants stay within the budget plus one turn, because a program may exhaust
//   its budget in the middle of a turn. An unsettled turn counts with its
//   maximum tokens.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "yuccawick/net/event_loop.h"

namespace yuccawick::programs {

using net::Duration;
using net::Time;
using Tokens = std::int64_t;

// Names the tokens of one turn.
struct ReservationId {
  std::string   sender;      // incarnation of the node that sends the turn
  std::uint64_t number = 0;  // unique within the incarnation

  auto operator<=>(const ReservationId&) const = default;
};

struct TokenReservation {
  ReservationId id;
  Tokens        max_tokens = 0;
};

// Ends a reservation.
struct TurnSettlement {
  ReservationId id;
  Tokens        reserved = 0;
  Tokens        used = 0;  // sent to the client; at most `reserved`
};

// One record about a program.
struct TokenClaim {
  std::string                   program;
  Tokens                        budget = 0;  // stated by the client
  // Tokens granted earlier, as known to the writer. A reader that finds the
  // program's older records deleted starts from this value.
  Tokens                        before = 0;
  std::vector<TurnSettlement>   settled = {};  // applied first
  std::vector<TokenReservation> reservations = {};
  std::string                   writer = {};  // incarnation; decides nothing
};

// Time in ms for which an unsettled turn may still return tokens: the longest
// turn, then the search for a coordinator that reaches the log. After that it
// counts in full.
inline constexpr Duration kSettlementWait = 10'000;
// Time in ms for which an idle program's entry is kept: twice the longest
// retention of turns, within which a stopped program may resume.
inline constexpr Duration kLedgerRetention = 600'000;

class TokenLedger {
 public:
  // Applies the next record in log order. Reservations that do not fit are
  // ignored; another claim may grant them later.
  void   Apply(const TokenClaim& claim, Time now);
  // Whether the turn may run: it is granted and not settled.
  bool   IsGranted(const std::string& program, const ReservationId& id) const;
  bool   IsSettled(const std::string& program, const ReservationId& id) const;
  // Tokens of all granted turns, less what settled ones did not use.
  Tokens Granted(const std::string& program) const;
  // Tells whether the node that sends a turn still runs.
  using SenderCheck = std::function<bool(const std::string& incarnation)>;
  // Whether a turn that does not fit may do so once unsettled turns, whose
  // senders run, return what they did not use.
  bool MayFitLater(const std::string& program, Tokens max_tokens, Time now,
                   const SenderCheck& sender_runs) const;
  // Call when records were missed: the next record of a program states what was
  // granted before it. Reservations that were seen still count once.
  void MarkStale();
  void Expire(Time now);

 private:
  struct Unsettled {
    Tokens max_tokens = 0;
    Time   granted_at = 0;  // when the claim was applied here
  };
  struct Entry {
    Tokens                             limit = 0;  // budget and one turn
    Tokens                             granted = 0;
    bool                               stale = true;  // `granted` is
    Time                               expires_at = 0;
    std::map<ReservationId, Unsettled> unsettled;
    std::set<ReservationId>            settled;
  };
  static void  Settle(const TurnSettlement& settlement, Entry* entry);
  static void  Grant(const TokenReservation& reservation, Tokens budget,
                     Time now, Entry* entry);
  const Entry* Find(const std::string& program) const;

  std::unordered_map<std::string, Entry> m_entries;  // by program
};

}  // namespace yuccawick::programs

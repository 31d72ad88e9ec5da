// The turns of agent programs, kept with their chains.
//
// A turn's model input is everything its chain said before: the oldest turn's
// input, each of its events as a line, and so on, then the new input. Turns
// never change once finished, so any node may hold a copy of any turn and no
// copy is ever wrong. What this class does not hold may still be in the
// platform's log; only a complete read of the log makes a turn unknown.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "yuccawick/net/event_loop.h"

namespace yuccawick::programs {

using net::Duration;
using net::Time;

struct Turn {
  std::string id;        // the client attempt's id
  std::string previous;  // id of the turn it continues from; empty: none
  std::string program;
  std::string input;   // the request's body
  std::string output;  // each event's data, a line feed after each
};

// The body that a backend server is to receive, or the id of the nearest turn
// of the chain that is not at hand.
struct PromptBuildResult {
  std::string body;
  std::string missing;  // empty: the chain is whole
};

class TurnHistory {
 public:
  // Keeps the turn until `retention` after `now`, at least.
  void Add(Turn turn, Time now, Duration retention);
  bool Holds(const std::string& id) const { return m_turns.contains(id); }
  // The turn and all its ancestors are at hand.
  bool HoldsChain(const std::string& id) const { return Missing(id).empty(); }
  // The nearest turn of the chain that is not at hand; empty: it is whole.
  std::string       Missing(const std::string& id) const;
  // A chain that is used is kept on from now, all of it: a turn is worth
  // nothing without its ancestors.
  PromptBuildResult Build(const std::string& previous, const std::string& input,
                          Time now, Duration retention);
  // The turn and its ancestors as far as they are at hand, newest first.
  std::vector<const Turn*> CollectChain(const std::string& id) const;
  void                     Expire(Time now);
  // Drops turns until at most so many bytes are left, those first that would
  // expire first. They may still be in the log, as any that is not held.
  void                     Shrink(std::size_t bytes);
  std::size_t              size() const { return m_turns.size(); }
  std::size_t              bytes() const { return m_bytes; }  // of all turns

 private:
  struct Kept {
    Turn turn;
    Time until = 0;
  };
  std::unordered_map<std::string, Kept> m_turns;
  std::size_t                           m_bytes = 0;
};

}  // namespace yuccawick::programs

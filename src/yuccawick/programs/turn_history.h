// In-memory cache of finished turns, linked into chains by `previous`.
//
// The model input of a turn is the input and output of all its ancestors,
// oldest first, followed by its own input. Finished turns never change, so any
// node may cache any turn. A turn that is not cached may still be in the log;
// only a complete read of the log shows that it does not exist.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "yuccawick/net/event_loop.h"

namespace yuccawick::programs {

using net::Duration;
using net::Time;

struct Turn {
  std::string id;        // id of the client's attempt
  std::string previous;  // id of the turn it continues; empty if none
  std::string program;
  std::string input;   // request body
  std::string output;  // data of each event, with a line feed after each
};

// Either the request body for the backend server, or the id of the nearest turn
// in the chain that is not cached.
struct PromptBuildResult {
  std::string body;
  std::string missing;  // empty if the chain is complete
};

class TurnHistory {
 public:
  // Caches the turn until at least `retention` ms after `now`. Adding a cached
  // id again only extends that time.
  void Add(Turn turn, Time now, Duration retention);
  bool Holds(const std::string& id) const { return m_turns.contains(id); }
  // Whether the turn and all its ancestors are cached.
  bool HoldsChain(const std::string& id) const { return Missing(id).empty(); }
  // Returns the id of the nearest turn in the chain that is not cached; empty
  // if the chain is complete.
  std::string       Missing(const std::string& id) const;
  // Builds the model input that continues `previous`, and extends the retention
  // of the whole chain: a turn is useless without its ancestors.
  PromptBuildResult Build(const std::string& previous, const std::string& input,
                          Time now, Duration retention);
  // Bytes of the model input that continues `previous`, as far as its chain is
  // cached and without the new input.
  std::size_t       PromptBytes(const std::string& previous) const;
  // Returns the turn and its cached ancestors, newest first.
  std::vector<const Turn*> CollectChain(const std::string& id) const;
  void                     Expire(Time now);
  // Evicts turns, earliest expiry first, until at most `bytes` are cached.
  void                     Shrink(std::size_t bytes);
  std::size_t              size() const { return m_turns.size(); }
  // Approximate memory of all turns.
  std::size_t              bytes() const { return m_bytes; }

 private:
  struct CachedTurn {
    Turn turn;
    Time expires_at = 0;
  };
  std::unordered_map<std::string, CachedTurn> m_turns;
  std::size_t                                 m_bytes = 0;
};

}  // namespace yuccawick::programs

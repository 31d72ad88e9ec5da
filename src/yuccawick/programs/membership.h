// Tracks the nodes that take traffic, as announced in the log, and ranks them
// as coordinators of a key.
//
// Ranking uses weighted rendezvous hashing: nodes with the same view agree on
// the coordinator, each coordinates a share of keys proportional to its
// millicores, and few keys move when nodes join or leave. With equal shares,
// small VMs would delay the programs whose tokens they count. Nodes with
// different views may choose different coordinators. A coordinator therefore
// only saves work: decisions depend on the order of the log alone.
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "yuccawick/net/endpoint.h"
#include "yuccawick/net/event_loop.h"

namespace yuccawick::programs {

using net::Duration;
using net::Time;

// Assumed for a node that does not announce its capacity: one core.
inline constexpr std::uint32_t kDefaultMillicores = 1000;

struct NodeInfo {
  std::string   name;         // VM name; stable across restarts
  std::string   incarnation;  // unique per start
  net::Endpoint address;      // listen address for other nodes
  std::string   zone;
  // Processing capacity in thousandths of a core.
  std::uint32_t millicores = kDefaultMillicores;
  // Whether it remembers the origins of streams for other nodes.
  bool          holds_streams = false;

  bool operator==(const NodeInfo&) const = default;
};

class Membership {
 public:
  explicit Membership(NodeInfo self) : m_self(std::move(self)) {}

  void Put(const NodeInfo& node);
  void Remove(const std::string& name);
  // Records that the node did not answer. It coordinates no key, and no request
  // that a client waits for is sent to it, until Trust() or a new incarnation.
  // Returns true if it was not suspected before.
  bool Suspect(const std::string& name, Time now);
  // Records that a message of the node was received; returns true if it was
  // suspected.
  bool Trust(const std::string& name) { return m_suspects.erase(name) > 0; }
  // Returns the suspected nodes to probe now. The interval doubles with each
  // probe of a node.
  std::vector<NodeInfo> TakeDueProbes(Time now);
  // Returns the unsuspected nodes including self, in order of preference: the
  // key's coordinator first, then its replacements.
  std::vector<NodeInfo> RankCoordinators(std::string_view key) const;
  // Like RankCoordinators(), but includes suspected nodes.
  std::vector<NodeInfo> RankAllNodes(std::string_view key) const;
  // Up to `count` unsuspected nodes, possibly including self, that remember the
  // stream `key`. They are in different zones if there are enough zones.
  std::vector<NodeInfo> ChooseStreamHolders(std::string_view key,
                                            std::size_t      count) const;
  bool                  Suspected(const std::string& name) const {
                     return m_suspects.contains(name);
  }
  // The node, possibly self, takes no more clients and ends soon, until a new
  // incarnation.
  void SetStopping(const std::string& name);
  bool Stopping(const std::string& name) const {
    return m_stopping.contains(name);
  }
  // Whether an unsuspected node of this zone takes clients, other than self.
  bool                  OthersServeZone() const;
  // Whether the node still runs as far as known: it has not been replaced by a
  // later start, and its announcement has not lapsed.
  bool                  Runs(const std::string& incarnation) const;
  const NodeInfo&       self() const { return m_self; }
  const NodeInfo*       Find(const std::string& name) const;
  std::vector<NodeInfo> Others() const;  // without self and suspected nodes
  std::vector<NodeInfo> All() const;     // without self

 private:
  struct Suspicion {
    Time     probe_at = 0;
    Duration interval = 0;  // interval before probe_at
  };
  NodeInfo                         m_self;
  std::map<std::string, NodeInfo>  m_nodes;     // other nodes, by name
  std::map<std::string, Suspicion> m_suspects;  // by name
  std::set<std::string>            m_stopping;  // names of nodes
};

// Intervals between probes of a suspected node, in ms. A probe costs a
// connection attempt, and no request waits for it. The maximum bounds how long
// a recovered node that sends no messages stays unused.
inline constexpr Duration kMinProbeInterval = 500;
inline constexpr Duration kMaxProbeInterval = 4000;

}  // namespace yuccawick::programs

// The nodes that take traffic, as they announced themselves, and which of them
// is responsible for a key.
//
// Every node computes the same home for a key as long as it knows the same
// nodes; nodes that differ for a while choose two homes, so a home may only
// make work cheaper, never decide anything that the log does not. Rendezvous
// hashing moves no more keys than it must when nodes come and go. A node is
// home of as many keys as its capacity has a share in all: VMs of a tenth of a
// core beside VMs of a half held up the programs whose tokens they counted.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "yuccawick/net/endpoint.h"
#include "yuccawick/net/event_loop.h"

namespace yuccawick::programs {

using net::Duration;
using net::Time;

// Of a node that does not say: a whole core.
inline constexpr std::uint32_t kDefaultMillicores = 1000;

struct NodeInfo {
  std::string   name;         // of the VM; stays over restarts
  std::string   incarnation;  // of one start
  net::Endpoint address;      // for other nodes
  std::string   zone;
  // What the node can carry against others, in thousandths of a core.
  std::uint32_t millicores = kDefaultMillicores;

  bool operator==(const NodeInfo&) const = default;
};

class Membership {
 public:
  explicit Membership(NodeInfo self) : m_self(std::move(self)) {}

  void Put(const NodeInfo& node);
  void Remove(const std::string& name) { m_nodes.erase(name); }
  // The node did not answer. It is no home until it is heard of again; nothing
  // that a client waits for is sent there meanwhile. True if that is news.
  bool Suspect(const std::string& name, Time now);
  // The node was heard of; true if it had been suspected.
  bool Trust(const std::string& name) { return m_suspects.erase(name) > 0; }
  // Suspected nodes that are to be asked for a sign of life now; each is due
  // again after a pause that doubles.
  std::vector<NodeInfo> TakeDueProbes(Time now);
  // The nodes that are not suspected, self included, the home of the key first
  // and then who takes its place if it cannot serve.
  std::vector<NodeInfo> RankCoordinators(std::string_view key) const;
  // The same with suspected nodes in their places.
  std::vector<NodeInfo> RankAllNodes(std::string_view key) const;
  bool                  Suspected(const std::string& name) const {
                     return m_suspects.contains(name);
  }
  const NodeInfo&       self() const { return m_self; }
  const NodeInfo*       Find(const std::string& name) const;
  std::vector<NodeInfo> Others() const;  // not suspected
  std::vector<NodeInfo> All() const;     // but self

 private:
  struct Suspicion {
    Time     probe_at = 0;
    Duration pause = 0;  // before that
  };
  NodeInfo                         m_self;
  std::map<std::string, NodeInfo>  m_nodes;     // others, by name
  std::map<std::string, Suspicion> m_suspects;  // by name
};

// Pauses between two questions to a node that does not answer, in ms. They cost
// a connection attempt and nobody waits for them; the longest bounds how late a
// node that nobody hears of otherwise is used again.
inline constexpr Duration kFirstProbePause = 500;
inline constexpr Duration kLongestProbePause = 4000;

}  // namespace yuccawick::programs

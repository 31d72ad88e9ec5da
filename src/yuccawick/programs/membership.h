// The nodes that take traffic, as they announced themselves, and which of them
// is responsible for a key.
//
// Every node computes the same home for a key as long as it knows the same
// nodes; nodes that differ for a while choose two homes, so a home may only
// make work cheaper, never decide anything that the log does not. Rendezvous
// hashing moves no more keys than it must when nodes come and go.
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

struct NodeInfo {
  std::string   name;         // of the VM; stays over restarts
  std::string   incarnation;  // of one start
  net::Endpoint address;      // for other nodes
  std::string   zone;

  bool operator==(const NodeInfo&) const = default;
};

class Membership {
 public:
  explicit Membership(NodeInfo self) : m_self(std::move(self)) {}

  void Put(const NodeInfo& node);
  void Remove(const std::string& name) { m_nodes.erase(name); }
  // The node did not answer: it is no home for `kSuspicion`, and for twice as
  // long each further time until it is heard of, up to `kLongestSuspicion`.
  void Suspect(const std::string& name, Time now);
  void Trust(const std::string& name) { m_suspects.erase(name); }
  // The nodes that are not suspected, self included, the home of the key first
  // and then who takes its place if it cannot serve.
  std::vector<NodeInfo> HomesOf(std::string_view key, Time now) const;
  const NodeInfo&       self() const { return m_self; }
  const NodeInfo*       Find(const std::string& name) const;
  std::vector<NodeInfo> Others(Time now) const;  // not suspected
  std::vector<NodeInfo> All() const;             // but self

 private:
  struct Suspicion {
    Time     until = 0;
    Duration length = 0;  // of the present one
  };
  bool Suspected(const std::string& name, Time now) const;

  NodeInfo                        m_self;
  std::map<std::string, NodeInfo> m_nodes;     // others, by name
  std::map<std::string, Suspicion> m_suspects;  // by name
};

// How long a node that did not answer is left alone, in ms: long enough that a
// dead node costs few requests a timeout, short enough that a restarted one is
// used soon.
inline constexpr Duration kSuspicion = 1500;
// A node that is gone for good stays announced. Asking it again and again would
// cost one program in so many a timeout each time.
inline constexpr Duration kLongestSuspicion = 24'000;

}  // namespace yuccawick::programs

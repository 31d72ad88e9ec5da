// The servers of one service, with queries that return a bounded number of
// them.
//
// In large deployments, looking at all servers for each request would cost a
// node more than serving it. The cost of Draw() and Around() depends on the
// number of servers returned, not on the size of the pool.
#pragma once

#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "yuccawick/traffic/affinity.h"
#include "yuccawick/traffic/directory.h"

namespace yuccawick::traffic {

// The servers that a request may be sent to.
struct ServerFilter {
  std::string                service;
  std::optional<std::string> version;    // of their software; none: any
  std::vector<std::string>   avoid;      // ids
  std::vector<std::string>   only = {};  // ids; empty: any
};

class ServerPool {
 public:
  // The servers must stay valid until the next Assign() or the end of the pool.
  void Assign(std::vector<const BackendServer*> servers,
              const std::string&                zone);

  // Up to `limit` servers chosen at random with equal probability; valid
  // until the next call.
  std::span<const BackendServer* const> Draw(std::size_t      limit,
                                             std::mt19937_64* random);
  // Up to `limit` servers that follow the program's position on the hash ring;
  // PreferredServer() chooses among them. All nodes of a zone get the same
  // servers. Adding or removing a server affects only programs near its
  // position.
  std::vector<const BackendServer*>     Around(const std::string& program,
                                               AffinityScope      scope,
                                               std::size_t        limit) const;

  const std::vector<const BackendServer*>& all() const { return m_servers; }

 private:
  struct Point {
    std::uint64_t        position = 0;
    const BackendServer* server = nullptr;
  };
  using Ring = std::vector<Point>;  // sorted by position

  std::vector<const BackendServer*> m_servers;
  Ring                              m_ring;
  Ring                              m_zone_ring;
};

}  // namespace yuccawick::traffic

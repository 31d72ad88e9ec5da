// The servers of one service, of which a request looks at a bounded number.
//
// Load pattern: with 300 nodes before 3,000 servers, a request that looks at
// all of them costs its node more than its answer does. Draw() and Around()
// cost what they return, however many servers there are.
#pragma once

#include <random>
#include <span>
#include <string>
#include <vector>

#include "yuccawick/traffic/affinity.h"
#include "yuccawick/traffic/directory.h"

namespace yuccawick::traffic {

class ServerPool {
 public:
  // The servers must outlive the pool or the next Assign().
  void Assign(std::vector<const BackendServer*> servers,
              const std::string&                zone);

  // Up to `most` servers by chance, each with the same chance; valid until the
  // next call.
  std::span<const BackendServer* const> Draw(std::size_t      most,
                                             std::mt19937_64* random);
  // Up to `most` servers among which the program's home is, the same on all
  // nodes of a zone. A server that comes or goes moves only its neighbours'
  // programs.
  std::vector<const BackendServer*>     Around(const std::string& program,
                                               AffinityScope      reach,
                                               std::size_t        most) const;

  const std::vector<const BackendServer*>& all() const { return m_servers; }

 private:
  struct Point {
    std::uint64_t        at = 0;
    const BackendServer* server = nullptr;
  };
  using Ring = std::vector<Point>;  // by position

  std::vector<const BackendServer*> m_servers;
  Ring                              m_ring;
  Ring                              m_zone_ring;
};

}  // namespace yuccawick::traffic

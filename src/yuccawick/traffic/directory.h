// Which backend servers there are, from the platform's service discovery.
//
// Servers register themselves and renew their entry; an entry that is not
// renewed is removed. While discovery is unreachable, nothing read from it is
// taken as news. Entries may have lapsed meanwhile only because their servers
// could not renew them: removals read around the return of discovery wait for
// `kReturnGrace`, so that a short outage does not empty every service at once.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "yuccawick/net/endpoint.h"
#include "yuccawick/net/event_loop.h"

namespace yuccawick::traffic {

using net::Duration;
using net::Time;

// Servers that live register again within about two seconds of the return of
// discovery (stated by the platform); after that an absent entry is final.
inline constexpr Duration kReturnGrace = 2000;  // ms

// A server may start again under the entry that it had, and then holds and
// knows nothing of before. Whatever is kept by server (loads, failures, cached
// prompts, connections) is kept by `id`, so that none of it outlives a start.
struct BackendServer {
  std::string   id;     // of one start
  std::string   entry;  // in discovery; what the server calls itself
  std::string   service;
  net::Endpoint endpoint;
  std::string   zone;
  int           slots = 1;         // requests at once
  bool          draining = false;  // leaving: gets no new work

  bool operator==(const BackendServer&) const = default;
};

using ServerList = std::vector<BackendServer>;
using ServerListPtr = std::shared_ptr<const ServerList>;

class Directory {
 public:
  void          Put(const BackendServer& server);
  // The entry is gone; at once, or after the grace of a recent outage.
  void          Remove(const std::string& entry, Time now);
  // The entry holds something that names no server: it lives, and whatever was
  // read there before is not it.
  void          Drop(const std::string& entry);
  // A complete listing: what it does not name is gone.
  void          ReplaceAll(const ServerList& servers, Time now);
  void          SetReachable(bool reachable, Time now);
  // Carries out removals that are due. Call often.
  void          Expire(Time now);
  // True once after each change of what List() returns.
  bool          TakeChange();
  ServerListPtr List() const;

 private:
  std::map<std::string, BackendServer> m_servers;  // by entry
  std::map<std::string, Time>          m_lapsed;   // entry: when it is final
  bool                                 m_reachable = true;
  Time                                 m_grace_end = 0;
  bool                                 m_changed = false;
};

}  // namespace yuccawick::traffic

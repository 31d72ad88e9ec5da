// The backend servers known from service discovery.
//
// Servers register themselves and renew their entries; expired entries are
// removed. Entries that expire during a discovery outage may only be missing
// because their servers could not renew them. Removals are therefore not
// applied during an outage, and are delayed by up to `kRecoveryGrace` around
// its end, so that a short outage does not empty every service.
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

// Time after an outage within which running servers register again; the
// platform states about two seconds. Entries that are still absent afterwards
// are removed.
inline constexpr Duration kRecoveryGrace = 2000;  // ms

// A server may restart under the same entry, with no state from before. State
// kept per server (load, failures, cached prompts, connections) is keyed by
// `id`, so that it does not survive a restart.
struct BackendServer {
  std::string   id;     // unique to one start
  std::string   entry;  // name in discovery
  std::string   service;
  net::Endpoint endpoint;
  std::string   zone;
  int           slots = 1;         // concurrent requests
  bool          draining = false;  // receives no new work
  std::string   version;           // of its software; not empty once decoded

  bool operator==(const BackendServer&) const = default;
};

using ServerList = std::vector<BackendServer>;
using ServerListPtr = std::shared_ptr<const ServerList>;

class Directory {
 public:
  void          Put(const BackendServer& server);
  // Removes an entry; delayed during an outage and its grace period.
  void          Remove(const std::string& entry, Time now);
  // Removes at once an entry that exists in discovery, but whose value does not
  // describe a server.
  void          Drop(const std::string& entry);
  // Applies a complete listing; absent entries are removed.
  void          ReplaceAll(const ServerList& servers, Time now);
  void          SetReachable(bool reachable, Time now);
  // Performs the delayed removals that are due. Call periodically.
  void          Expire(Time now);
  // Returns true once after each change of List().
  bool          TakeChange();
  ServerListPtr List() const;

 private:
  std::map<std::string, BackendServer> m_servers;  // keyed by entry
  std::map<std::string, Time> m_delayed_removals;  // removal time by entry
  bool                        m_reachable = true;
  Time                        m_grace_end = 0;
  bool                        m_changed = false;
};

}  // namespace yuccawick::traffic

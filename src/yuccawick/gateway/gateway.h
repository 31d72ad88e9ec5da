// The traffic side of a node: takes clients' connections and serves them.
//
// Everything here runs on the traffic loop. Manifests and server lists come
// from the control thread through Take...(), posted to the loop.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "platform/settings.h"
#include "platform/store.h"
#include "yuccawick/fairness/fair_share_policy.h"
#include "yuccawick/gateway/client_connection.h"
#include "yuccawick/gateway/small_server.h"

namespace yuccawick::gateway {

class Gateway final : public ClientHost, public net::SocketHandler {
 public:
  Gateway(net::EventLoop* loop, const Thresholds* thresholds,
          const platform::Settings& settings, Log* log, Metrics* metrics,
          const std::string& incarnation);
  ~Gateway() override;

  bool Listen();  // false: an address is not to be had
  void TakeManifest(const traffic::ManifestPtr& manifest);
  void TakeServers(const traffic::ServerListPtr& servers);
  // The log began or ceased to answer.
  void TakeLogReachable(bool reachable) { m_peers.SetLogReachable(reachable); }
  // All manifests written before this moment were taken.
  void TakeManifestCurrent(Time as_of) { m_key_lease.Renew(as_of); }
  // A node announced itself, or, without a value, left.
  void TakeNode(const std::string&                       name,
                const std::optional<programs::NodeInfo>& node);
  // Serves on while the balancer turns clients away, then stops the loop.
  void Stop();

  std::shared_ptr<const traffic::RouteTable> Routes() const override {
    return m_routes;
  }
  traffic::ClientLimits Limits() const override;
  // Also while this node is cut off: a kept connection would hold its client
  // here, a new one is led to another node.
  // Likewise while its memory is short.
  bool                  Closing() const override {
    return m_closing || OthersServeBetter() || MemoryIsShort();
  }
  void                          Forget(ClientConnection* connection) override;
  const pressure::MemoryBudget& memory() const { return *m_memory; }

  void OnReadable() override;
  void OnWritable() override {}
  void OnHangup() override {}

 private:
  SmallAnswer                          AnswerReadiness() const;
  void                                 Announce();
  void                                 Tick();
  void                                 TellNews();
  void                                 WriteLogUse();
  // Workspaces that leave most room to others now.
  void                                 WriteShares();
  void                                 WritePaces();
  void                                 CloseIdle();
  void                                 StopListening();
  void                                 FinishWhenIdle();
  bool                                 Ready() const;
  // Of a model service; of others, and while servers are unknown, nothing.
  capacity::ServiceCapacity            RoomOf(const std::string& service) const;
  std::optional<workspaces::RateLimit> LimitOf(
      const std::string& workspace) const;
  // Of a workspace; without one of its own, of all that have none.
  int  PriorityOf(const std::string& workspace) const;
  // This node is cut off, or will soon not know which keys hold while others
  // do. Were it to stay, its clients would be refused by it for as long as the
  // log does not answer it.
  bool OthersServeBetter() const;
  bool MemoryIsShort() const {
    return m_memory->level() != pressure::PressureLevel::kCalm;
  }
  void WatchMemory();
  // Lets go of clients that do not take their answers, while memory is full.
  void DropStalledReaders();

  net::EventLoop*               m_loop;
  const Thresholds*             m_thresholds;
  platform::Settings            m_settings;
  Log*                          m_log;
  Metrics*                      m_metrics;
  Time                          m_started;
  platform::Store               m_store;
  pressure::MemoryBudgetPtr     m_memory;
  pressure::MemoryCharge        m_held_turns;
  Backends                      m_backends;
  TurnStore                     m_turns;
  fairness::FairSharePolicy     m_begin_share;
  AdmissionService              m_room;
  std::vector<TokenCoordinator> m_desks;  // by partition of the claims
  workspaces::KeyLease          m_key_lease;
  programs::Membership          m_members;
  std::vector<RateCoordinator> m_rate_desks;  // by partition of the rate claims
  PeerNetwork                  m_network;
  RateLimiter                  m_limiter;
  TurnDispatcher               m_gate;
  PeerService                  m_peers;
  SmallServer                  m_readiness;
  SmallServer                  m_metrics_server;
  int                          m_listener = -1;
  bool                         m_servers_known = false;
  bool                         m_stopping = false;
  bool                         m_closing = false;
  Time                         m_stop_due = 0;
  Time                         m_accepted_at = 0;  // the last connection
  Time                         m_use_written_at = 0;
  std::shared_ptr<const traffic::RouteTable> m_routes;
  std::unordered_map<ClientConnection*, std::unique_ptr<ClientConnection>>
      m_clients;
};

}  // namespace yuccawick::gateway

// The data plane of a node: accepts client connections and serves them, and
// runs the periodic work of all components below.
//
// Everything here runs on the traffic loop. The control thread passes
// manifests, server lists and nodes by posting calls of Take...() to that loop.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "platform/settings.h"
#include "platform/store.h"
#include "yuccawick/fairness/fair_share_policy.h"
#include "yuccawick/gateway/client_connection.h"
#include "yuccawick/gateway/server_probes.h"
#include "yuccawick/gateway/small_server.h"
#include "yuccawick/gateway/suspect_service.h"
#include "yuccawick/net/listener.h"
#include "yuccawick/pressure/yield_order.h"

namespace yuccawick::gateway {

class Gateway final : public ClientHost {
 public:
  Gateway(net::EventLoop* loop, const Thresholds* thresholds,
          const platform::Settings& settings, Log* log, Metrics* metrics,
          const std::string& incarnation);
  ~Gateway() override;

  bool Listen();  // false if an address cannot be bound
  void TakeManifest(const traffic::ManifestPtr& manifest);
  void TakeServers(const traffic::ServerListPtr& servers);
  // The log became reachable or unreachable.
  void TakeLogReachable(bool reachable) {
    m_peers.SetLogReachable(reachable);
    m_stream_origins.SetLogReachable(reachable);
  }
  // All manifests written before `as_of` have been applied.
  void TakeManifestCurrent(Time as_of) { m_key_lease.Renew(as_of); }
  void TakeSoftware(const traffic::SoftwareHistory& software) {
    m_stream_origins.TakeSoftware(software);
  }
  // All records of the topic before `offset` have been applied.
  void TakeFollowed(platform::Topic topic, std::int64_t offset) {
    m_stream_origins.TakeFollowed(topic, offset);
  }
  // A record of Topic::kHistory.
  void TakeHistory(const platform::LogRecord& record) {
    m_suspects.TakeHistory(record);
  }
  // All records of Topic::kHistory were taken once.
  void TakeHistoryListed() { m_suspects.SetComplete(); }
  // A node joined or changed; without a value, it left.
  void TakeNode(const std::string&                       name,
                const std::optional<programs::NodeInfo>& node);
  // Keeps serving until the balancer has removed this node, then stops the
  // loop.
  void Stop();

  std::shared_ptr<const traffic::RouteTable> Routes() const override {
    return m_routes;
  }
  traffic::ClientLimits Limits() const override;
  // True during shutdown, and while this node is isolated or low on memory: the
  // balancer then directs the client's next connection to another node.
  bool                  Closing() const override {
    return m_stop.ClosesConnections(m_loop->now()) || ShouldYieldClients() ||
           IsMemoryLow();
  }
  void RemoveConnection(ClientConnection* connection) override;
  const pressure::MemoryBudget& memory() const { return *m_memory; }
  std::size_t                   connections() const { return m_clients.size(); }

 private:
  SmallAnswer                    AnswerReadiness() const;
  void                           Announce();
  void                           Tick();
  void                           SendReportsPeriodically();
  void                           WriteLogUsage();
  // Logs the workspaces with the largest usage margin.
  void                           WriteUsageMargins();
  void                           WriteSlowdownChanges();
  void                           CloseIdle();
  void                           OnClientConnected(int fd);
  // Repeats itself until all requests have ended or the time is up.
  void                           ContinueStop();
  bool                           AllTurnsSettled() const;
  void                           Finish();
  // A copy, because the connections may remove themselves.
  std::vector<ClientConnection*> Connections() const;
  // Requests in progress.
  std::size_t                    CountRequests() const;
  bool                           Ready() const;
  // Empty if the service has no engine or its servers are unknown.
  capacity::ServiceCapacity      CapacityFor(const std::string& service) const;
  std::optional<workspaces::RateLimit> RateLimitFor(
      const std::string& workspace) const;
  // 0 if the workspace has no priority of its own.
  int  PriorityFor(const std::string& workspace) const;
  // Whether clients should move to other nodes: this node is isolated, or its
  // key lease is about to expire while other nodes reach the log. Clients that
  // stayed connected would be refused until this node reaches the log again.
  bool ShouldYieldClients() const;
  bool IsMemoryLow() const {
    return m_memory->level() != pressure::PressureLevel::kCalm;
  }
  void WatchMemory();
  // Logs how many clients made room or were turned away since the last call.
  void WriteYields();
  // Drops clients that do not read their answers, while memory is full.
  void DropStalledClients();

  net::EventLoop*               m_loop;
  const Thresholds*             m_thresholds;
  platform::Settings            m_settings;
  Log*                          m_log;
  Metrics*                      m_metrics;
  Time                          m_started;
  platform::Store               m_store;
  pressure::MemoryBudgetPtr     m_memory;
  pressure::MemoryCharge        m_turn_charge;
  Backends                      m_backends;
  ServerProbes                  m_probes;
  TurnStore                     m_turns;
  fairness::FairSharePolicy     m_fairness;
  AdmissionService              m_admission;
  std::vector<TokenCoordinator> m_token_coordinators;  // by claim partition
  workspaces::KeyLease          m_key_lease;
  programs::Membership          m_members;
  std::vector<RateCoordinator>  m_rate_coordinators;  // by rate partition
  PeerNetwork                   m_network;
  DurableOrigins                m_durable_origins;
  StreamOriginService           m_stream_origins;
  DurableMarks                  m_durable_marks;
  SuspectService                m_suspects;
  RateLimiter                   m_rate_limiter;
  TurnDispatcher                m_dispatcher;
  PeerService                   m_peers;
  SmallServer                   m_readiness;
  SmallServer                   m_metrics_server;
  net::Listener                 m_listener;
  std::size_t                   m_max_clients;
  std::size_t                   m_turned_away = 0;  // since WriteYields()
  bool                          m_servers_known = false;
  traffic::GracefulStop         m_stop;
  Time                          m_accepted_at = 0;  // last connection accepted
  Time                          m_usage_logged_at = 0;
  pressure::YieldOrder          m_yield_order;
  std::shared_ptr<const traffic::RouteTable> m_routes;
  std::unordered_map<ClientConnection*, std::unique_ptr<ClientConnection>>
      m_clients;
};

}  // namespace yuccawick::gateway

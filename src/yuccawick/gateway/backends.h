// Connections to backend servers, and the choice of a server for a request.
//
// Load, failures and slowdown of each server are observed on this node and
// merged with the reports of its peers; see capacity/server_slowdown.h. Used on
// the traffic loop only.
//
//   auto choice = backends.Choose({service, version, tried}, prompt);
//   auto* connection = backends.Acquire(choice->server.id, false);
//   connection->Send(handler, request);
//   backends.Release(connection);  // after a complete answer, else Discard()
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "yuccawick/capacity/server_slowdown.h"
#include "yuccawick/capacity/service_capacity.h"
#include "yuccawick/gateway/thresholds.h"
#include "yuccawick/net/http.h"
#include "yuccawick/net/stream.h"
#include "yuccawick/pressure/memory_budget.h"
#include "yuccawick/traffic/attempt.h"
#include "yuccawick/traffic/directory.h"
#include "yuccawick/traffic/manifest.h"
#include "yuccawick/traffic/outcomes.h"
#include "yuccawick/traffic/placement.h"
#include "yuccawick/traffic/server_pool.h"

namespace yuccawick::gateway {

using net::Duration;
using net::Time;

// Receives the events of a request sent over a BackendConnection.
class BackendHandler {
 public:
  virtual ~BackendHandler() = default;
  virtual void OnBackendConnected() = 0;
  // Returns false to skip an answer that belongs to another request.
  virtual bool OnBackendHead(const net::Head& head) = 0;
  virtual void OnBackendBody(std::string_view bytes) = 0;
  virtual void OnBackendEnd() = 0;
  virtual void OnBackendFailed(traffic::SendFailureCause cause) = 0;
};

class BackendConnection final : public net::StreamOwner, public net::HttpSink {
 public:
  BackendConnection(net::EventLoop* loop, const Thresholds* thresholds,
                    const pressure::MemoryBudgetPtr& memory, int fd,
                    std::string server_id, std::shared_ptr<Time> last_heard,
                    std::function<void(BackendConnection*)> on_idle_lost);
  ~BackendConnection() override;

  // Sends a request; `handler` receives its events until Detach(). `method` is
  // that of the request.
  void Send(BackendHandler* handler, std::string_view method, std::string head,
            std::string_view body = {});
  void HoldReading(bool hold);
  bool connected() const { return m_connected; }
  bool reusable() const;
  // Removes the handler and marks the connection idle since `now`.
  void Detach(Time now);
  void Close();
  const std::string& server_id() const { return m_server_id; }
  bool               ReusableAt(Time now) const;
  // Whether the server may still send the body of an answer that has none.
  bool               MayReceiveBody(Time now) const {
                  return now < m_idle_since + m_unexpected_body_wait;
  }

  void OnConnected() override;
  void OnBytes(std::string_view bytes) override;
  void OnClosed(net::CloseCause cause) override;
  void OnHead(net::Head head) override;
  void OnBody(std::string_view bytes) override;
  void OnMessageEnd() override;

 private:
  void Fail(traffic::SendFailureCause cause);

  net::EventLoop*                         m_loop;
  const Thresholds*                       m_thresholds;
  std::string                             m_server_id;
  std::shared_ptr<Time>                   m_last_heard;  // of the server
  std::function<void(BackendConnection*)> m_on_idle_lost;
  pressure::MemoryCharge                  m_output_charge;
  net::Stream                             m_stream;
  net::HttpReader                         m_reader;
  BackendHandler*                         m_handler = nullptr;
  net::TimerId                            m_connect_timer = 0;
  bool                                    m_connected = false;
  bool                                    m_skipping_answer = false;
  int                                     m_interim_answers = 0;
  bool                                    m_answer_complete = false;
  bool                                    m_keep_alive = false;
  // Where the next answer begins is known.
  bool                                    m_in_sync = true;
  // A request on this connection had a method whose answers have no body.
  bool                                    m_method_excludes_body = false;
  Duration                                m_max_idle_time = 0;
  Duration                                m_unexpected_body_wait = 0;
  Time                                    m_idle_since = 0;
};

class Backends {
 public:
  Backends(net::EventLoop* loop, const Thresholds* thresholds, std::string zone,
           std::unique_ptr<traffic::Placement> placement,
           pressure::MemoryBudgetPtr           memory);
  ~Backends();

  void Update(const traffic::ServerListPtr& servers);
  struct Choice {
    traffic::BackendServer server;
    double                 load = 0;           // requests per slot
    double                 failure_share = 0;  // of the recent answers
    double                 slowdown = 1;       // 1: median of the service
  };
  // Identifies the part of a request that a server may have cached.
  struct Prompt {
    std::string  session;  // requests of a session share a prompt; may be empty
    std::string  program;  // sessions of a program share a prompt prefix
    std::int64_t tokens = 0;
    double       memory_part = 0;  // see traffic::Candidate
  };
  // Chooses a server for a request; empty if none may be sent it. One that is
  // leaving is used if it is one of the last of the filter's version.
  std::optional<Choice> Choose(const traffic::ServerFilter& filter,
                               const Prompt&                prompt);
  // How a request is tied to the server that it is sent to.
  enum class SendKind : std::uint8_t {
    kFree,   // others may serve it
    kBound,  // only this server, or its version, may: an attempt that may use
             // no further server, or a stream that began there
  };
  // Whether the server may be sent a request now. Every send depends on it, at
  // the choice of the server and again if its connection opens later. A server
  // that is leaving only takes kBound requests, for `leaving_use` ms.
  bool                  MaySend(const std::string& id, SendKind kind) const;
  // The server's state as a Choice; empty if it may not be sent the request.
  std::optional<Choice> Find(const std::string& id, SendKind kind) const;
  // Also a server whose entry lapsed a short time ago; nullptr if unknown.
  const traffic::BackendServer* FindKnown(const std::string& id) const;
  bool                          IsListed(const std::string& id) const;
  // Whether the server announced that it will end.
  bool                          IsLeaving(const std::string& id) const;
  // Ids of the listed servers that are not leaving.
  std::vector<std::string>      ReadyServers(const std::string& service) const;
  // When the last byte of the server arrived; 0 if none is known.
  Time                          LastHeard(const std::string& id) const;
  // Called when a server closes a connection on which no request is under way.
  void                          SetIdleLostCallback(
                               std::function<void(const std::string& id)> callback) {
    m_on_idle_lost = std::move(callback);
  }
  // Called after Update() for each server whose state changed so.
  enum class ServerChange : std::uint8_t {
    kLeaving,   // it announced that it will end
    kUnlisted,  // its entry is gone
    kReplaced,  // the same, and another start uses its address: it has ended
  };
  using ServerChangeCallback =
      std::function<void(const std::string& id, ServerChange change)>;
  void SetServerChangeCallback(ServerChangeCallback callback) {
    m_on_server_change = std::move(callback);
  }
  // Whether Choose() could return a server.
  bool HasServer(const traffic::ServerFilter& filter);

  // An idle or new connection to the server; nullptr if none can be opened.
  // `fresh`: always opens a new connection.
  BackendConnection* Acquire(const std::string& id, bool fresh);
  void               Release(BackendConnection* connection);
  void               Discard(BackendConnection* connection);

  void RememberSession(const std::string& session, const std::string& id);
  void ObserveSuccess(const std::string& id);
  // The server was unreachable, closed early or sent an invalid answer.
  void ObserveFailure(const std::string& id);
  // A complete answer reported a failure or refusal of the server.
  void ObserveBadAnswer(const std::string& id);
  // Records a service time (ms). Servers are compared by work of the same
  // `kind` and service only.
  void ObserveServiceTime(const std::string& id, std::string_view kind,
                          double service_time);
  // Drops expired state and updates slowdowns; call about once a second.
  void Sweep();

  // A server became slow or recovered.
  struct SlowdownChange {
    std::string                server;
    std::string                service;
    bool                       slow = false;
    capacity::SlowdownEstimate lasting;
  };
  std::vector<SlowdownChange> TakeSlowdownChanges();
  std::size_t                 slow_servers() const;
  capacity::ServiceCapacity   ComputeCapacity(
        const std::string& service, const traffic::EngineLimits& engine) const;

  // A node's observations of one server, as sent to its peers.
  struct ServerReport {
    int                        requests = 0;  // in flight from the node
    traffic::OutcomeCounts     outcomes;
    capacity::SlowdownEstimate slowdown;  // since the last report
    bool slowdown_changed = false;        // since the last report

    bool operator==(const ServerReport& other) const;
  };
  using ServerReports = std::map<std::string, ServerReport>;  // by server
  void SetPeerReport(const std::string& peer, const ServerReports& reports);
  ServerReports LocalReport() const;
  // Call after sending LocalReport(). Reduces `reports` to the state that
  // remains valid until the next report.
  void          OnReportSent(ServerReports* reports);
  std::size_t   connections() const { return m_connections.size(); }
  std::size_t   servers() const { return m_servers.size(); }

 private:
  struct State {
    explicit State(const capacity::SlowdownSettings& settings)
        : slowdown(settings) {}

    traffic::BackendServer          server;
    capacity::ServerSlowdown        slowdown;
    bool                            listed = true;
    Time                            unlisted_at = 0;
    std::shared_ptr<Time>           last_heard = std::make_shared<Time>(0);
    std::optional<Time>             leaving_since;  // if seen to begin
    int                             load = 0;
    traffic::Outcomes               outcomes;
    int                             failures = 0;
    Time                            failed_at = 0;
    std::vector<BackendConnection*> idle;
  };
  struct SessionServer {
    std::string server;
    Time        used = 0;
  };
  struct PeerReport {
    ServerReports reports;
    Time          received_at = 0;
  };
  struct Service {
    // Listed servers that are not leaving: all, and those of each version.
    traffic::ServerPool                        pool;
    std::map<std::string, traffic::ServerPool> by_version;
    capacity::SlowdownBaseline                 baseline;
  };
  bool MaySend(const State& state, SendKind kind) const;
  void IndexServers();
  void IndexVersions(const std::vector<const traffic::BackendServer*>& servers,
                     Service* service) const;
  // The servers of the filter's service and version; nullptr if there are none.
  traffic::ServerPool*            PoolFor(const traffic::ServerFilter& filter);
  void                            UpdateSlowdowns(Service* service);
  const State*                    FindUsable(const std::string&           id,
                                             const traffic::ServerFilter& filter) const;
  // The servers of the filter's `only` that it allows.
  std::vector<traffic::Candidate> NamedCandidates(
      const traffic::ServerFilter& filter) const;
  // Candidates with only zone and cache affinity set.
  std::vector<traffic::Candidate> CandidatesFor(
      traffic::ServerPool* pool, const std::string& warm,
      const std::vector<std::string>& avoid);
  // Servers of the filter's version that began to leave a short time ago.
  std::vector<traffic::Candidate> LeavingCandidates(
      const traffic::ServerFilter& filter) const;
  // Sets load, failures and slowdown.
  void          FillObservations(const State&        state,
                                 traffic::Candidate* candidate) const;
  // The server most likely to have the prompt cached; empty if none.
  std::string   WarmServerFor(const traffic::ServerFilter& filter,
                              const traffic::ServerPool&   pool,
                              const Prompt&                prompt) const;
  static Choice ToChoice(const traffic::Candidate& candidate);
  // Add a report to m_peer_totals, the sum of m_peers, or subtract it.
  void          AddToTotals(const ServerReports& reports);
  void          SubtractFromTotals(const ServerReports& reports);
  void          DropExpiredReports();
  void          Destroy(BackendConnection* connection);
  void          DropIdle(State* state);
  void          DropUnlisted();
  void          UpdateLeaving(State* state, bool draining) const;
  // Whether a listed server has the address of the unlisted one.
  bool          IsReplaced(const State& unlisted) const;
  void          ReportChanges(const std::vector<std::string>& unlisted,
                              const std::vector<std::string>& leaving);
  // Forgets what was observed of the server before it restarted.
  void          Forget(State* state);

  // Takes the idle connection used last out of the pool; nullptr if there is
  // none that can be used now.
  BackendConnection* TakeIdle(State* state);

  net::EventLoop*                                m_loop;
  const Thresholds*                              m_thresholds;
  std::string                                    m_zone;
  std::unique_ptr<traffic::Placement>            m_placement;
  pressure::MemoryBudgetPtr                      m_memory;
  std::mt19937_64                                m_random;
  std::unordered_map<std::string, State>         m_servers;   // by id
  std::unordered_map<std::string, Service>       m_services;  // by name
  std::vector<SlowdownChange>                    m_slowdown_changes;
  std::unordered_map<std::string, SessionServer> m_sessions;
  std::unordered_map<std::string, PeerReport>    m_peers;
  std::unordered_map<std::string, ServerReport>  m_peer_totals;
  Time                                           m_oldest_report = 0;
  std::function<void(const std::string& id)>     m_on_idle_lost;
  ServerChangeCallback                           m_on_server_change;
  std::unordered_map<BackendConnection*, std::unique_ptr<BackendConnection>>
      m_connections;
};

}  // namespace yuccawick::gateway

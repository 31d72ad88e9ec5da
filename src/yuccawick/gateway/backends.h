// Connections to backend servers, and what this node knows of their load.
//
// One Backends serves the traffic loop. Acquire() a connection for one request,
// Release() it when its answer is whole; anything else closes it. Loads are
// exact for this node and as last heard for others. How fast servers work is
// observed here and told to neighbours; see capacity/server_slowdown.h.
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

// Who sent a request over a connection hears what becomes of it.
class BackendHandler {
 public:
  virtual ~BackendHandler() = default;
  virtual void OnBackendConnected() = 0;
  // False: this answer belongs to another request and is to be skipped.
  virtual bool OnBackendHead(const net::Head& head) = 0;
  virtual void OnBackendBody(std::string_view bytes) = 0;
  virtual void OnBackendEnd() = 0;
  virtual void OnBackendFailed(traffic::SendFailureCause cause) = 0;
};

class BackendConnection final : public net::StreamOwner, public net::HttpSink {
 public:
  BackendConnection(net::EventLoop* loop, const Thresholds* thresholds,
                    const pressure::MemoryBudgetPtr& memory, int fd,
                    std::string                             server_id,
                    std::function<void(BackendConnection*)> on_idle_lost);
  ~BackendConnection() override;

  // Sends a request; `user` hears the rest until Release() or Close().
  void               Send(BackendHandler* user, std::string_view request);
  void               HoldReading(bool hold);
  bool               connected() const { return m_connected; }
  bool               usable_again() const;
  // Ends the use of the connection by its user.
  void               Detach(Time now);
  void               Close();
  const std::string& server_id() const { return m_server_id; }
  bool               FreshAt(Time now) const;

  void OnConnected() override;
  void OnBytes(std::string_view bytes) override;
  void OnClosed(net::CloseCause cause) override;
  void OnHead(net::Head head) override;
  void OnBody(std::string_view bytes) override;
  void OnMessageEnd() override;

 private:
  void Lose(traffic::SendFailureCause cause);

  net::EventLoop*                         m_loop;
  const Thresholds*                       m_thresholds;
  std::string                             m_server_id;
  std::function<void(BackendConnection*)> m_on_idle_lost;
  pressure::MemoryCharge                  m_held_output;
  net::Stream                             m_stream;
  net::HttpReader                         m_reader;
  BackendHandler*                         m_user = nullptr;
  net::TimerId                            m_connect_timer = 0;
  bool                                    m_connected = false;
  bool                                    m_skipping = false;
  bool                                    m_ended = false;  // answer whole
  bool                                    m_keep_alive = false;
  bool                                    m_in_step = true;  // no bytes over
  Duration                                m_max_idle = 0;
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
    double                 load = 0;  // requests per slot, as far as known
    double                 failure_share = 0;  // of its latest answers
    double                 slowdown = 1;       // in medians of its service
  };
  // What a server may have cached of a request.
  struct Prompt {
    std::string  session;  // requests of one line share a prompt; empty: none
    std::string  program;  // lines of one program share its beginning
    std::int64_t tokens = 0;
    double       memory_part = 0;  // see traffic::Candidate
  };
  // The server for a request, or nothing. `avoid`: ids of servers that were
  // tried.
  std::optional<Choice> Choose(const std::string& service, const Prompt& prompt,
                               const std::vector<std::string>& avoid);
  // What Choose() would say of this server; nothing if it is not listed.
  std::optional<Choice> Find(const std::string& id) const;
  bool                  AnyIn(const std::string&              service,
                              const std::vector<std::string>& avoid) const;

  // A connection to the server, kept or new; nullptr if none can be made.
  // `fresh`: a new one.
  BackendConnection* Acquire(const std::string& id, bool fresh);
  void               Release(BackendConnection* connection);
  void               Discard(BackendConnection* connection);

  void RememberSession(const std::string& line, const std::string& id);
  void ObserveSuccess(const std::string& id);
  // The server could not be reached, broke off or answered nonsense.
  void ObserveFailure(const std::string& id);
  // A whole answer that says that the server failed, or did not want to.
  void ObserveBadAnswer(const std::string& id);
  // How long a piece of work took there, in ms. `kind`: what it compares with,
  // of this service.
  void ObserveServiceTime(const std::string& id, std::string_view kind,
                          double took);
  // Forgets what is old and rates servers anew; call about once a second.
  void Sweep();

  // A server turned slow, or fast again.
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

  // What a node knows of a server and tells others.
  struct ServerReport {
    int                        requests = 0;  // under way there from the node
    traffic::OutcomeCounts     outcomes;
    capacity::SlowdownEstimate slowdown;  // observed since it was told last
    bool slowdown_changed = false;        // from what was told before

    bool operator==(const ServerReport& other) const;
  };
  using ServerReports = std::map<std::string, ServerReport>;  // by server
  void SetPeerReport(const std::string& peer, const ServerReports& news);
  ServerReports LocalReport() const;
  // What LocalReport() returned was sent. Leaves of it what holds on.
  void          OnReportSent(ServerReports* news);
  std::size_t   connections() const { return m_connections.size(); }
  std::size_t   servers() const { return m_servers.size(); }

 private:
  struct State {
    explicit State(const capacity::SlowdownSettings& settings)
        : pace(settings) {}

    traffic::BackendServer          server;
    capacity::ServerSlowdown        pace;
    bool                            listed = true;
    int                             load = 0;
    traffic::Outcomes               outcomes;
    int                             failures = 0;
    Time                            failed_at = 0;
    std::vector<BackendConnection*> idle;
  };
  struct LineHome {
    std::string server;
    Time        used = 0;
  };
  struct PeerNews {
    ServerReports news;
    Time          heard = 0;
  };
  struct Service {
    traffic::ServerPool        pool;  // listed servers that are not leaving
    capacity::SlowdownBaseline scale;
  };
  void         IndexServers();
  void         RatePaces(Service* service);
  const State* FindUsable(const std::string& id, const std::string& service,
                          const std::vector<std::string>& avoid) const;
  // Candidates with nothing but their zone, and which one is warm.
  std::vector<traffic::Candidate> CandidatesOf(
      Service* service, const std::string& warm,
      const std::vector<std::string>& avoid);
  // Fills in what is known of it.
  void          Look(const State& state, traffic::Candidate* candidate) const;
  // The server that most likely has the prompt cached; empty: none.
  std::string   WarmFor(const std::string& service, const Service& servers,
                        const Prompt&                   prompt,
                        const std::vector<std::string>& avoid) const;
  static Choice AsChoice(const traffic::Candidate& candidate);
  // Keep the sum of what fresh news say of each server.
  void          Count(const ServerReports& news);
  void          Uncount(const ServerReports& news);
  void          DropOldNews();
  void          Destroy(BackendConnection* connection);
  void          DropIdle(State* state);

  net::EventLoop*                               m_loop;
  const Thresholds*                             m_thresholds;
  std::string                                   m_zone;
  std::unique_ptr<traffic::Placement>           m_placement;
  pressure::MemoryBudgetPtr                     m_memory;
  std::mt19937_64                               m_random;
  std::unordered_map<std::string, State>        m_servers;   // by id
  std::unordered_map<std::string, Service>      m_services;  // by name
  std::vector<SlowdownChange>                   m_pace_changes;
  std::unordered_map<std::string, LineHome>     m_lines;
  std::unordered_map<std::string, PeerNews>     m_peers;
  std::unordered_map<std::string, ServerReport> m_heard;  // sum of m_peers
  Time                                          m_oldest_news = 0;
  std::unordered_map<BackendConnection*, std::unique_ptr<BackendConnection>>
      m_connections;
};

}  // namespace yuccawick::gateway

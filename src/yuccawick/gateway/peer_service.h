// Handles the messages between nodes: token reservations, and reports on server
// load, capacity usage, charges and log outages. Messages about turns, rate
// limits, origins of streams and suspect requests are passed on to PeerTurns,
// RateLimiter, StreamOriginService and SuspectService.
//
// Each program has a coordinator: the node that counts the tokens of its claim
// partition. If the coordinator is unreachable, or the log is unreachable for
// it, the node next in rank takes over. Several coordinators at once cost extra
// log calls but cannot exceed a budget, because each grant is decided by the
// claims in the log.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "yuccawick/gateway/backends.h"
#include "yuccawick/gateway/peer_network.h"
#include "yuccawick/gateway/peer_turns.h"
#include "yuccawick/gateway/rate_limiter.h"
#include "yuccawick/gateway/stream_origin_service.h"
#include "yuccawick/gateway/suspect_service.h"
#include "yuccawick/gateway/token_coordinator.h"
#include "yuccawick/gateway/turn_settler.h"

namespace yuccawick::gateway {

// Tokens reserved for a turn.
struct Reservation {
  ReserveOutcome outcome = ReserveOutcome::kUnsure;
  TurnBudget     turn;
  std::string    coordinator;  // node that decided; empty: none did
  // Server that ran the program's last turn and may have its prompt cached;
  // empty: unknown.
  std::string    server = {};
  Duration       retry_delay = 0;  // ms; set with kNoRoom
  // See ReserveResult.
  bool           claimed = false;
};

class PeerService final : public PeerNetwork::MessageHandler {
 public:
  PeerService(net::EventLoop* loop, const Thresholds* thresholds,
              programs::Membership* members, PeerNetwork* network,
              std::vector<TokenCoordinator>* coordinators, RateLimiter* limiter,
              TurnStore* turn_store, Backends* backends,
              AdmissionService*    admission_service,
              StreamOriginService* stream_origins, SuspectService* suspects,
              Log* log);

  using ReserveDone = std::function<void(const Reservation&)>;
  // Retries for up to `patience` ms while the outcome is undecided. Names the
  // turn: its id need not be set.
  void Reserve(TurnBudget turn, Duration patience, const ReserveDone& done);
  // `server`: the server that ran the turn; empty: none.
  void EndTurn(const Reservation& reservation, programs::Tokens used,
               const std::string& server);
  // Ended turns whose use of tokens the log does not have yet.
  std::size_t unsettled_turns() const { return m_settler.pending(); }
  // The candidate coordinators of a key, in order of preference.
  std::vector<programs::NodeInfo> RankCoordinators(
      const std::string& key) const;
  // Sends the load of servers to the nodes of this zone, a log outage to all
  // nodes, and capacity usage and charges to the other coordinators. Probes
  // suspected nodes. Call often.
  void     SendReports();
  // Tells all nodes that this node takes no more clients and coordinates
  // nothing new.
  void     SendStopping();
  // Whether another node of this zone takes clients, as far as known.
  bool     OthersServeZone() const { return m_members->OthersServeZone(); }
  // The longest current log outage, in ms: of all turn partitions, or of any
  // one claim partition; 0: none.
  Duration LongestOutage() const;
  // Sets whether this node's periodic reads of the manifest succeed.
  void     SetLogReachable(bool reachable) { m_log_reachable = reachable; }
  bool     FollowsManifest() const { return m_log_reachable; }
  // Whether neither the log nor most nodes have been reachable for a while;
  // clients are then better served by other nodes.
  bool     IsIsolated() const;
  // Whether there is another node that may reach the log: it has not reported
  // the log unavailable lately.
  bool     OthersReachLog() const { return m_peer_turns.AnyReachesLog(); }

  void OnMessage(PeerNetwork::ConnectionId connection, const std::string& node,
                 PeerMessage::Reader message,
                 PeerNetwork::Reply  reply) override;
  void OnConnectionClosed(PeerNetwork::ConnectionId connection) override;
  void OnPeerBack(const std::string& node) override;
  void OnLateResponse(const std::string& node, PeerMessage::Reader message,
                      std::uint64_t number) override;

 private:
  // A turn that is being reserved, over all coordinators that are asked.
  struct ReserveCall {
    TurnBudget  turn;
    Time        retry_deadline = 0;
    ReserveDone done;
    bool        claimed = false;  // some coordinator may have claimed for it
  };
  using ReserveCallPtr = std::shared_ptr<ReserveCall>;

  void ReserveLocally(const TurnBudget& turn, const ReserveDone& done);
  // `rank`: rank of the coordinator to try, from 0.
  void ReserveFrom(const ReserveCallPtr& call, std::size_t rank);
  void OnReserveResult(const ReserveCallPtr& call, std::size_t rank,
                       const Reservation& result);
  void RetryReserve(const ReserveCallPtr& call);
  void FinishReserve(const ReserveCallPtr& call, const Reservation& result);
  void SendReserve(const programs::NodeInfo& coordinator,
                   const TurnBudget& turn, const ReserveDone& done);
  void Probe(const programs::NodeInfo& node);
  void WatchIsolation();
  void SendLoads();
  void SendOutage();
  void SendUsage();
  void FindOtherCoordinators();
  void ReceiveUsage(const std::string& node, PeerMessage::Reader message);
  void SendCharges();
  void ReceiveCharges(PeerMessage::Reader message);
  void ServeReserve(PeerNetwork::ConnectionId connection,
                    PeerMessage::Reader message, PeerNetwork::Reply reply);
  void RespondToReserve(const TurnBudget& turn, const ReserveResult& result,
                        PeerMessage::Builder response);
  void ServeSettle(PeerNetwork::ConnectionId connection,
                   PeerMessage::Reader message, PeerNetwork::Reply reply);
  TokenCoordinator& CoordinatorOf(const std::string& program);
  void ReceiveLoads(const std::string& node, PeerMessage::Reader message);

  net::EventLoop*                m_loop;
  const Thresholds*              m_thresholds;
  programs::Membership*          m_members;
  PeerNetwork*                   m_network;
  std::vector<TokenCoordinator>* m_coordinators;  // by claim partition
  RateLimiter*                   m_limiter;
  TurnStore*                     m_turn_store;
  PeerTurns                      m_peer_turns;
  Backends*                      m_backends;
  AdmissionService*              m_admission;
  StreamOriginService*           m_stream_origins;
  SuspectService*                m_suspects;
  TurnSettler                    m_settler;
  std::uint64_t                  m_last_reservation = 0;
  // Turns granted here to other nodes, by their connection.
  struct RemoteTurn {
    std::string             program;
    programs::ReservationId id;
  };
  std::unordered_map<PeerNetwork::ConnectionId, std::vector<RemoteTurn>>
                                            m_granted;
  // Reserve requests that timed out, by request number.
  std::map<std::uint64_t, TurnBudget>       m_abandoned;
  Backends::ServerReports                   m_sent_report;
  Time                                      m_report_sent_at = 0;
  Time                                      m_outage_sent_at = 0;
  AdmissionService::UsageByService          m_sent_usage;
  Time                                      m_usage_sent_at = 0;
  // Coordinators of the claim partitions; cached because ranking visits all
  // nodes.
  std::map<std::string, programs::NodeInfo> m_other_coordinators;  // by name
  Time                                      m_coordinators_found_at = 0;
  std::optional<Time> m_log_unavailable_at;  // last time on this node
  bool                m_log_reachable = true;
  std::optional<Time> m_isolated_since;
};

}  // namespace yuccawick::gateway

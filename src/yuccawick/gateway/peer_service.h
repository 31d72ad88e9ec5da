// What nodes do for each other: count tokens and tell what they know of servers
// and of the log. What they do for each other's turns is in peer_turns.h; this
// passes such messages on.
//
// Each program has a home, the node that counts the tokens of its partition of
// the claims. Homes are a matter of cost only: if the home is out of reach, or
// the log is out of its reach, the next in rank counts, and the claims in the
// log keep both within the budget.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "yuccawick/gateway/backends.h"
#include "yuccawick/gateway/peer_network.h"
#include "yuccawick/gateway/peer_turns.h"
#include "yuccawick/gateway/rate_limiter.h"
#include "yuccawick/gateway/token_coordinator.h"

namespace yuccawick::gateway {

// Tokens that were reserved for a turn, and where they are settled.
struct Reservation {
  ReserveOutcome outcome = ReserveOutcome::kUnsure;
  TurnBudget     turn;
  std::string    coordinator;  // name of the node that counts; empty: this one
  // That ran the program's last turn and may hold its prompt; empty: not known.
  std::string    server = {};
  Duration retry_delay = 0;  // with kNoRoom: ms until there should be some
};

class PeerService final : public PeerNetwork::MessageHandler {
 public:
  PeerService(net::EventLoop* loop, const Thresholds* thresholds,
              programs::Membership* members, PeerNetwork* network,
              std::vector<TokenCoordinator>* desks, RateLimiter* limiter,
              TurnStore* turns, Backends* backends, AdmissionService* room);

  using ReserveDone = std::function<void(const Reservation&)>;
  // Asks again for up to `patience` ms while it is not decided.
  void Reserve(const TurnBudget& turn, Duration patience,
               const ReserveDone& done);
  // `server`: that ran the turn; empty: none.
  void EndTurn(const Reservation& reservation, programs::Tokens used,
               const std::string& server);
  // Who may be home of a key, the first choice first.
  std::vector<programs::NodeInfo> RankCoordinators(
      const std::string& key) const;
  // Tells the nodes of this zone what this node has under way, all nodes
  // whether the log is away for it, and homes what its programs take of model
  // servers. Call often.
  void     SendReports();
  // How long the log has been away, in ms, for what is away longest: all turns,
  // or the claims of one partition; 0: nothing is.
  Duration LongestOutage() const;
  // Whether the log answers what is always asked of it, the manifest.
  void     SetLogReachable(bool reachable) { m_log_reachable = reachable; }
  bool     FollowsManifest() const { return m_log_reachable; }
  // Neither the log nor most nodes answer: this node is cut off, and clients
  // are better served by others.
  bool     IsIsolated() const;
  // Some other node that is not known to lack the log.
  bool     OthersReachLog() const { return m_turns.AnyReachesLog(); }

  void OnMessage(PeerNetwork::ConnectionId session, const std::string& node,
                 PeerMessage::Reader message,
                 PeerNetwork::Reply  reply) override;
  void OnConnectionClosed(PeerNetwork::ConnectionId session) override;
  void OnLateAnswer(const std::string& node, PeerMessage::Reader message,
                    std::uint64_t number) override;

 private:
  void ReserveHere(const TurnBudget& turn, const ReserveDone& done);
  // `rank`: of the home to ask, 0 first. `until`: no further tries then.
  void ReserveFrom(const TurnBudget& turn, std::size_t rank, Time until,
                   const ReserveDone& done);
  void AskHome(const programs::NodeInfo& home, const TurnBudget& turn,
               const ReserveDone& done);
  void ReserveUnsure(const TurnBudget& turn, Time until,
                     const ReserveDone& done);
  void Probe(const programs::NodeInfo& node);
  void WatchIsolation();
  void TellLoads();
  void TellOutage();
  void TellRoom();
  void FindOtherHomes();
  void TakeRoom(const std::string& node, PeerMessage::Reader message);
  void TellCharges();
  void TakeCharges(PeerMessage::Reader message);
  void ServeReserve(PeerNetwork::ConnectionId session,
                    PeerMessage::Reader message, PeerNetwork::Reply reply);
  void AnswerReserve(const TurnBudget& turn, ReserveOutcome outcome,
                     PeerMessage::Builder answer);
  void ServeSettle(PeerNetwork::ConnectionId session,
                   PeerMessage::Reader       message);
  TokenCoordinator& DeskOf(const std::string& program);
  void TakeLoads(const std::string& node, PeerMessage::Reader message);
  void TellSettle(const std::string& home, const TurnBudget& turn,
                  programs::Tokens used, const std::string& server);

  net::EventLoop*                m_loop;
  const Thresholds*              m_thresholds;
  programs::Membership*          m_members;
  PeerNetwork*                   m_network;
  std::vector<TokenCoordinator>* m_desks;  // by partition of the claims
  RateLimiter*                   m_limiter;
  TurnStore*                     m_keeper;
  PeerTurns                      m_turns;
  Backends*                      m_backends;
  AdmissionService*              m_room;
  // Turns reserved here for other nodes, by the session they came over.
  std::unordered_map<PeerNetwork::ConnectionId, std::vector<TurnBudget>>
                                            m_reserved;
  // Questions for a reservation that were given up, by number.
  std::map<std::uint64_t, TurnBudget>       m_given_up;
  Backends::ServerReports                   m_told;
  Time                                      m_told_at = 0;
  Time                                      m_outage_told_at = 0;
  AdmissionService::UsageByService          m_room_told;
  Time                                      m_room_told_at = 0;
  // Of the claims' partitions; ranking them takes all nodes.
  std::map<std::string, programs::NodeInfo> m_other_homes;  // by name
  Time                                      m_homes_found_at = 0;
  std::optional<Time> m_log_away_at;  // for this node, last
  bool                m_log_reachable = true;
  std::optional<Time> m_alone_since;
};

}  // namespace yuccawick::gateway

// Sees to it that the log learns what each turn of this node used of its
// tokens.
//
//   settler.Settle(turn, coordinator);   // when the turn has ended
//   settler.pending()                    // turns that the log does not have
//   yet
//
// The node that sent a turn alone knows what it used, so it owns the
// settlement: it asks the coordinator that granted the tokens, or, if that has
// ended, stops or does not reach the log, the next in rank, until one confirms
// that the log has the settlement. Repeating one is harmless, see
// programs/token_ledger.h.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "yuccawick/gateway/peer_network.h"
#include "yuccawick/gateway/token_coordinator.h"

namespace yuccawick::gateway {

class TurnSettler {
 public:
  // The coordinators of a claim partition, in order of preference.
  using RankLookup =
      std::function<std::vector<programs::NodeInfo>(int partition)>;

  TurnSettler(net::EventLoop* loop, const Thresholds* thresholds,
              const programs::Membership* members, PeerNetwork* network,
              std::vector<TokenCoordinator>* coordinators, Log* log,
              RankLookup rank_lookup);

  // `coordinator`: node that granted the tokens; empty: not known.
  void        Settle(EndedTurn turn, const std::string& coordinator);
  std::size_t pending() const { return m_pending.size(); }

 private:
  struct Pending {
    EndedTurn   turn;
    std::string coordinator;  // see Settle()
    Time        ended_at = 0;
    int         tries = 0;  // that were not confirmed
  };

  void Send(std::uint64_t number);
  void SendTo(const programs::NodeInfo& node, std::uint64_t number);
  void OnResult(std::uint64_t number, bool recorded);
  // Empty if no coordinator is known.
  std::vector<programs::NodeInfo> RankFor(const Pending& pending) const;
  Duration                        RetryDelay(int tries) const;

  net::EventLoop*                m_loop;
  const Thresholds*              m_thresholds;
  const programs::Membership*    m_members;
  PeerNetwork*                   m_network;
  std::vector<TokenCoordinator>* m_coordinators;  // by claim partition
  Log*                           m_log;
  RankLookup                     m_rank_lookup;
  std::uint64_t                  m_last = 0;  // number of the last settlement
  std::unordered_map<std::uint64_t, Pending> m_pending;  // by number
};

}  // namespace yuccawick::gateway

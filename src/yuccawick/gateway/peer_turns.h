// What nodes do for each other's turns: keep copies while the log is away, look
// for a turn in memory, and read a partition of the log for their zone.
//
// Asking: the functions of TurnPeers, for this node's TurnKeeper. Serving: the
// questions of others, from the same TurnKeeper.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "yuccawick/gateway/peer_network.h"
#include "yuccawick/gateway/thresholds.h"
#include "yuccawick/gateway/turn_keeper.h"

namespace yuccawick::gateway {

// Stands in a search for the memory of a node in place of a partition.
inline constexpr int kNoPartition = -1;

class PeerTurns final : public TurnPeers {
 public:
  PeerTurns(const Thresholds* thresholds, programs::Membership* members,
            PeerNetwork* network, TurnKeeper* turns);

  void AskForTurn(const std::string&                 id,
                  std::function<void(const Search&)> done) override;
  bool AskReader(int partition, const std::string& id,
                 std::function<void(const Lookup&)> done) override;
  void CopyTurn(const programs::Turn& turn, Duration retention,
                std::function<void(bool)> done) override;

  void ServeKeep(PeerMessage::Reader message, const PeerNetwork::Reply& reply);
  void ServeFind(PeerMessage::Reader message, const PeerNetwork::Reply& reply);

 private:
  void AnswerFind(const std::string& id, bool complete,
                  const PeerNetwork::Reply& reply);
  // Who is asked to hold copies of a key, best first.
  std::vector<programs::NodeInfo> Holders(const std::string& key) const;

  const Thresholds*     m_thresholds;
  programs::Membership* m_members;
  PeerNetwork*          m_network;
  TurnKeeper*           m_turns;
};

}  // namespace yuccawick::gateway

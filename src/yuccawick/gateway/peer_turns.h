// Exchanges turns between nodes: appends a turn for a node that cannot reach
// the log, looks up a turn in other nodes' memory, and reads a log partition on
// behalf of a zone.
//
// The TurnPeers functions send the requests of the local TurnStore; the Serve
// functions answer the requests of other nodes from it.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "yuccawick/gateway/peer_network.h"
#include "yuccawick/gateway/thresholds.h"
#include "yuccawick/gateway/turn_store.h"

namespace yuccawick::gateway {

// Partition number of a lookup that searches a node's memory only.
inline constexpr int kNoPartition = -1;

class PeerTurns final : public TurnPeers {
 public:
  PeerTurns(net::EventLoop* loop, const Thresholds* thresholds,
            programs::Membership* members, PeerNetwork* network,
            TurnStore* turns);

  void           RequestTurn(const std::string&                id,
                             std::function<void(const Turns&)> done) override;
  ReaderLocation RequestLookup(
      int partition, const std::string& id, std::size_t rank,
      std::function<void(const Lookup&)> done) override;
  bool AnyReachesLog() const override { return !NodesReachingLog().empty(); }
  void AppendFor(const programs::Turn& turn, Duration retention,
                 std::size_t attempt, AppendDone done) override;
  // Call when the node reported the log unavailable or could not append.
  void MarkLogUnavailable(const std::string& node);
  // Whether MarkLogUnavailable() was called for the node in the last
  // `outage_memory` ms.
  bool ReportedLogUnavailable(const std::string& node) const;

  void ServePersist(PeerMessage::Reader       message,
                    const PeerNetwork::Reply& reply);
  void ServeFind(PeerMessage::Reader message, const PeerNetwork::Reply& reply);

 private:
  // How far this node has read a partition on behalf of its zone.
  enum class ReadState : std::uint8_t { kIncomplete, kReading, kComplete };
  // The nodes that read the partition for this zone, in order of preference.
  std::vector<programs::NodeInfo> RankReaders(int partition) const;
  void RespondToFind(const std::string& id, ReadState state,
                     const PeerNetwork::Reply& reply);
  // Nodes that have not reported the log unavailable lately.
  std::vector<programs::NodeInfo> NodesReachingLog() const;
  // Chooses up to two of NodesReachingLog(), one in this zone and one in
  // another; each `attempt` (from 0) selects a different pair.
  std::vector<programs::NodeInfo> ChooseRelays(std::size_t attempt) const;

  net::EventLoop*                       m_loop;
  const Thresholds*                     m_thresholds;
  programs::Membership*                 m_members;
  PeerNetwork*                          m_network;
  TurnStore*                            m_turns;
  // When each node last reported the log unavailable.
  std::unordered_map<std::string, Time> m_log_unavailable_at;
  // When each reader last reported that it is still reading.
  std::unordered_map<std::string, Time> m_still_reading_at;
};

}  // namespace yuccawick::gateway

// What nodes do for each other's turns: append one for a node that the log does
// not answer, look for a turn in memory, and read a partition of the log for
// their zone.
//
// Asking: the functions of TurnPeers, for this node's TurnStore. Serving: the
// questions of others, from the same TurnStore.
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

// Stands in a search for the memory of a node in place of a partition.
inline constexpr int kNoPartition = -1;

class PeerTurns final : public TurnPeers {
 public:
  PeerTurns(net::EventLoop* loop, const Thresholds* thresholds,
            programs::Membership* members, PeerNetwork* network,
            TurnStore* turns);

  void           AskForTurn(const std::string&                id,
                            std::function<void(const Turns&)> done) override;
  ReaderLocation AskReader(int partition, const std::string& id,
                           std::size_t                        rank,
                           std::function<void(const Lookup&)> done) override;
  bool AnyReachesLog() const override { return !WhoReachLog().empty(); }
  void AppendFor(const programs::Turn& turn, Duration retention,
                 std::size_t attempt, AppendDone done) override;
  // The node said that the log does not answer it, or could not append.
  void MarkLogUnavailable(const std::string& node);
  // Whether it said so lately.
  bool ReportedLogUnavailable(const std::string& node) const;

  void ServePersist(PeerMessage::Reader       message,
                    const PeerNetwork::Reply& reply);
  void ServeFind(PeerMessage::Reader message, const PeerNetwork::Reply& reply);

 private:
  // How far this node has read a partition that it reads for its zone.
  enum class ReadState : std::uint8_t { kIncomplete, kReading, kComplete };
  // Who reads the partition for this zone, the first choice first.
  std::vector<programs::NodeInfo> ReadersOf(int partition) const;
  void AnswerFind(const std::string& id, ReadState state,
                  const PeerNetwork::Reply& reply);
  // Nodes that the log seems to answer.
  std::vector<programs::NodeInfo> WhoReachLog() const;
  // Two of them for an attempt: one of this zone and one of another, if there
  // are such; others at the next attempt.
  std::vector<programs::NodeInfo> ChooseRelays(std::size_t attempt) const;

  net::EventLoop*                       m_loop;
  const Thresholds*                     m_thresholds;
  programs::Membership*                 m_members;
  PeerNetwork*                          m_network;
  TurnStore*                            m_turns;
  // When each node was last without the log.
  std::unordered_map<std::string, Time> m_without_log;
  // When each reader last said that it still reads.
  std::unordered_map<std::string, Time> m_still_reads;
};

}  // namespace yuccawick::gateway

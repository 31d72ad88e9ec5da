#include "yuccawick/gateway/peer_turns.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "yuccawick/programs/record.h"

namespace yuccawick::gateway {

using programs::NodeInfo;
using programs::Turn;

PeerTurns::PeerTurns(net::EventLoop* loop, const Thresholds* thresholds,
                     programs::Membership* members, PeerNetwork* network,
                     TurnStore* turns)
    : m_loop(loop),
      m_thresholds(thresholds),
      m_members(members),
      m_network(network),
      m_turns(turns) {
  turns->SetPeers(this);
}

void PeerTurns::MarkLogUnavailable(const std::string& node) {
  m_log_unavailable_at[node] = m_loop->now();
  // Checks whether this node is affected too: otherwise it would keep receiving
  // requests to append for others.
  m_turns->reader().Probe();
}

std::vector<NodeInfo> PeerTurns::NodesReachingLog() const {
  auto nodes = m_members->Others();
  std::erase_if(nodes, [this](const NodeInfo& node) {
    return ReportedLogUnavailable(node.name);
  });
  return nodes;
}

bool PeerTurns::ReportedLogUnavailable(const std::string& node) const {
  const auto reported = m_log_unavailable_at.find(node);
  return reported != m_log_unavailable_at.end() &&
         m_loop->now() - reported->second < m_thresholds->outage_memory;
}

// One relay outside the zone is enough: traffic between zones is expensive, but
// a whole zone may lose the log at once.
std::vector<NodeInfo> PeerTurns::ChooseRelays(std::size_t attempt) const {
  auto       nodes = NodesReachingLog();
  const auto other_zones = std::stable_partition(
      nodes.begin(), nodes.end(), [this](const NodeInfo& node) {
        return node.zone == m_members->self().zone;
      });
  std::vector<NodeInfo> chosen;
  const auto            choose = [&chosen, attempt](auto begin, auto end) {
    const auto count = static_cast<std::size_t>(end - begin);
    if (count == 0) return;
    chosen.push_back(begin[static_cast<std::ptrdiff_t>(attempt % count)]);
  };
  choose(nodes.begin(), other_zones);
  choose(other_zones, nodes.end());
  return chosen;
}

void PeerTurns::AppendFor(const Turn& turn, Duration retention,
                          std::size_t attempt, AppendDone done) {
  const auto nodes = ChooseRelays(attempt);
  if (nodes.empty()) {
    done(std::nullopt);
    return;
  }
  auto       remaining = std::make_shared<std::size_t>(nodes.size());
  auto       pending = std::make_shared<AppendDone>(std::move(done));
  const auto on_response = [this, remaining, pending](
                               const std::string&                 node,
                               std::optional<PeerMessage::Reader> response) {
    --*remaining;
    std::optional<LogPosition> position;
    if (response && response->isTurnKept()) {
      const auto turn_kept = response->getTurnKept();
      position =
          LogPosition{turn_kept.getPartition(), turn_kept.getOffset(), true};
    } else {
      MarkLogUnavailable(node);
    }
    if (!position && *remaining > 0) return;
    if (const auto callback = std::exchange(*pending, nullptr))
      callback(position);
  };
  for (const NodeInfo& node : nodes) {
    m_network->SendRequest(
        node,
        [&](PeerMessage::Builder message) {
          auto request = message.initKeepTurn();
          programs::Write(turn, request.initTurn());
          request.setRetentionMs(retention);
        },
        m_thresholds->relay_timeout,
        [on_response,
         name = node.name](std::optional<PeerMessage::Reader> response) {
          on_response(name, response);
        });
  }
}

void PeerTurns::RequestTurn(const std::string&                id,
                            std::function<void(const Turns&)> done) {
  // Includes suspected nodes: they may hold the turn and respond again.
  const auto others = m_members->All();
  if (others.empty()) {
    done({});
    return;
  }
  auto remaining = std::make_shared<std::size_t>(others.size());
  auto completed = std::make_shared<bool>(false);
  auto found = std::make_shared<Turns>();
  for (const NodeInfo& node : others) {
    m_network->SendRequest(
        node,
        [&](PeerMessage::Builder message) {
          auto find = message.initFindTurn();
          find.setId(id);
          find.setPartition(kNoPartition);
        },
        m_thresholds->find_timeout,
        [remaining, completed, found,
         done](std::optional<PeerMessage::Reader> response) {
          --*remaining;
          if (*completed) return;
          if (response && response->isTurnFound()) {
            for (const auto& turn : response->getTurnFound().getTurns()) {
              found->push_back(programs::Read(turn));
            }
          }
          if (found->empty() && *remaining > 0) return;
          *completed = true;
          done(*found);
        });
  }
}

// Readers that are still catching up are ranked last. Otherwise all lookups of
// the zone would wait for them although the other reader may have caught up.
std::vector<NodeInfo> PeerTurns::RankReaders(int partition) const {
  auto readers =
      m_members->RankCoordinators("turns " + std::to_string(partition));
  std::erase_if(readers, [this](const NodeInfo& node) {
    return node.zone != m_members->self().zone;
  });
  if (readers.size() > kReadersPerZone) readers.resize(kReadersPerZone);
  std::stable_partition(
      readers.begin(), readers.end(), [this](const NodeInfo& node) {
        const auto reported = m_still_reading_at.find(node.name);
        return reported == m_still_reading_at.end() ||
               m_loop->now() - reported->second >= m_thresholds->reading_memory;
      });
  return readers;
}

ReaderLocation PeerTurns::RequestLookup(
    int partition, const std::string& id, std::size_t rank,
    std::function<void(const Lookup&)> done) {
  const auto readers = RankReaders(partition);
  if (rank >= readers.size()) return ReaderLocation::kNone;
  const NodeInfo& reader = readers[rank];
  if (reader.name == m_members->self().name) return ReaderLocation::kThisNode;
  m_network->SendRequest(
      reader,
      [&](PeerMessage::Builder message) {
        auto find = message.initFindTurn();
        find.setId(id);
        find.setPartition(partition);
      },
      m_thresholds->reader_timeout,
      [this, name = reader.name,
       done](std::optional<PeerMessage::Reader> response) {
        Lookup lookup;
        if (response && response->isTurnFound()) {
          const auto found = response->getTurnFound();
          lookup.answered = true;
          lookup.complete = found.getComplete();
          lookup.reading = found.getReading();
          if (lookup.reading) m_still_reading_at[name] = m_loop->now();
          for (const auto& turn : found.getTurns()) {
            lookup.turns.push_back(programs::Read(turn));
          }
        }
        done(lookup);
      });
  return ReaderLocation::kOtherNode;
}

void PeerTurns::ServePersist(PeerMessage::Reader       message,
                             const PeerNetwork::Reply& reply) {
  const auto request = message.getKeepTurn();
  m_turns->PersistForPeer(programs::Read(request.getTurn()),
                          request.getRetentionMs(),
                          [reply](std::optional<LogPosition> position) {
                            reply([position](PeerMessage::Builder response) {
                              if (!position) {
                                response.setTurnNotKept();
                                return;
                              }
                              auto turn_kept = response.initTurnKept();
                              turn_kept.setPartition(position->partition);
                              turn_kept.setOffset(position->offset);
                            });
                          });
}

void PeerTurns::ServeFind(PeerMessage::Reader       message,
                          const PeerNetwork::Reply& reply) {
  const std::string id = message.getFindTurn().getId().cStr();
  const int         partition = message.getFindTurn().getPartition();
  if (partition < 0 || partition >= kTurnPartitions ||
      m_turns->history().Holds(id)) {
    // Memory alone cannot prove that a turn does not exist.
    RespondToFind(id, ReadState::kIncomplete, reply);
    return;
  }
  auto       unanswered = std::make_shared<bool>(true);
  const auto respond = [this, id, reply, unanswered](ReadState state) {
    if (std::exchange(*unanswered, false)) RespondToFind(id, state, reply);
  };
  const auto completed = [respond](bool complete) {
    respond(complete ? ReadState::kComplete : ReadState::kIncomplete);
  };
  // Respond before the requester times out and suspects this node.
  m_loop->After(m_thresholds->reader_answer,
                [respond] { respond(ReadState::kReading); });
  TurnReader& reader = m_turns->reader();
  if (reader.KnowsPositionOf(id)) {
    reader.Fetch(
        id, [this, id, completed] { completed(m_turns->history().Holds(id)); });
  } else {
    reader.Scan(partition, completed, id);
  }
}

void PeerTurns::RespondToFind(const std::string& id, ReadState state,
                              const PeerNetwork::Reply& reply) {
  const auto chain = m_turns->history().CollectChain(id);
  reply([&chain, state](PeerMessage::Builder response) {
    auto found = response.initTurnFound();
    found.setComplete(state == ReadState::kComplete);
    found.setReading(state == ReadState::kReading);
    auto     turns = found.initTurns(static_cast<unsigned>(chain.size()));
    unsigned i = 0;
    for (const Turn* turn : chain) programs::Write(*turn, turns[i++]);
  });
}

}  // namespace yuccawick::gateway

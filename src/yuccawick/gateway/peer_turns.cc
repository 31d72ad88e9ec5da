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
  m_without_log[node] = m_loop->now();
  // This node may not have noticed: it would be asked to append for others.
  m_turns->reader().Probe();
}

std::vector<NodeInfo> PeerTurns::WhoReachLog() const {
  auto nodes = m_members->Others();
  std::erase_if(nodes, [this](const NodeInfo& node) {
    return ReportedLogUnavailable(node.name);
  });
  return nodes;
}

bool PeerTurns::ReportedLogUnavailable(const std::string& node) const {
  const auto said = m_without_log.find(node);
  return said != m_without_log.end() &&
         m_loop->now() - said->second < m_thresholds->outage_memory;
}

// Bytes between zones are dear, but a zone may lose the log as a whole.
std::vector<NodeInfo> PeerTurns::ChooseRelays(std::size_t attempt) const {
  auto       nodes = WhoReachLog();
  const auto far = std::stable_partition(
      nodes.begin(), nodes.end(), [this](const NodeInfo& node) {
        return node.zone == m_members->self().zone;
      });
  std::vector<NodeInfo> chosen;
  const auto            choose = [&chosen, attempt](auto begin, auto end) {
    const auto count = static_cast<std::size_t>(end - begin);
    if (count == 0) return;
    chosen.push_back(begin[static_cast<std::ptrdiff_t>(attempt % count)]);
  };
  choose(nodes.begin(), far);
  choose(far, nodes.end());
  return chosen;
}

void PeerTurns::AppendFor(const Turn& turn, Duration retention,
                          std::size_t attempt, AppendDone done) {
  const auto nodes = ChooseRelays(attempt);
  if (nodes.empty()) {
    done(std::nullopt);
    return;
  }
  auto       left = std::make_shared<std::size_t>(nodes.size());
  auto       waiting = std::make_shared<AppendDone>(std::move(done));
  const auto answered = [this, left, waiting](
                            const std::string&                 node,
                            std::optional<PeerMessage::Reader> answer) {
    --*left;
    std::optional<LogPosition> kept;
    if (answer && answer->isTurnKept()) {
      const auto place = answer->getTurnKept();
      kept = LogPosition{place.getPartition(), place.getOffset(), true};
    } else {
      MarkLogUnavailable(node);
    }
    if (!kept && *left > 0) return;
    if (const auto told = std::exchange(*waiting, nullptr)) told(kept);
  };
  for (const NodeInfo& node : nodes) {
    m_network->SendRequest(
        node,
        [&](PeerMessage::Builder message) {
          auto keep = message.initKeepTurn();
          programs::Write(turn, keep.initTurn());
          keep.setRetentionMs(retention);
        },
        m_thresholds->relay_timeout,
        [answered,
         name = node.name](std::optional<PeerMessage::Reader> answer) {
          answered(name, answer);
        });
  }
}

void PeerTurns::AskForTurn(const std::string&                id,
                           std::function<void(const Turns&)> done) {
  // Suspected nodes may hold it as well, and may answer by now.
  const auto others = m_members->All();
  if (others.empty()) {
    done({});
    return;
  }
  auto left = std::make_shared<std::size_t>(others.size());
  auto ended = std::make_shared<bool>(false);
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
        [left, ended, found, done](std::optional<PeerMessage::Reader> answer) {
          --*left;
          if (*ended) return;
          if (answer && answer->isTurnFound()) {
            for (const auto& turn : answer->getTurnFound().getTurns()) {
              found->push_back(programs::Read(turn));
            }
          }
          if (found->empty() && *left > 0) return;
          *ended = true;
          done(*found);
        });
  }
}

// A reader that has been cut from the log for a while, or is on a small VM, may
// read for seconds (8 at 30 Mbit/s, with 11 MB to read). All questions of the
// zone would wait for it, though the second one knows the answers.
std::vector<NodeInfo> PeerTurns::ReadersOf(int partition) const {
  auto readers =
      m_members->RankCoordinators("turns " + std::to_string(partition));
  std::erase_if(readers, [this](const NodeInfo& node) {
    return node.zone != m_members->self().zone;
  });
  if (readers.size() > kReadersOfZone) readers.resize(kReadersOfZone);
  std::stable_partition(
      readers.begin(), readers.end(), [this](const NodeInfo& node) {
        const auto said = m_still_reads.find(node.name);
        return said == m_still_reads.end() ||
               m_loop->now() - said->second >= m_thresholds->reading_memory;
      });
  return readers;
}

ReaderLocation PeerTurns::AskReader(int partition, const std::string& id,
                                    std::size_t                        rank,
                                    std::function<void(const Lookup&)> done) {
  const auto readers = ReadersOf(partition);
  if (rank >= readers.size()) return ReaderLocation::kNobody;
  const NodeInfo& reader = readers[rank];
  if (reader.name == m_members->self().name) return ReaderLocation::kSelf;
  m_network->SendRequest(
      reader,
      [&](PeerMessage::Builder message) {
        auto find = message.initFindTurn();
        find.setId(id);
        find.setPartition(partition);
      },
      m_thresholds->reader_timeout,
      [this, name = reader.name,
       done](std::optional<PeerMessage::Reader> answer) {
        Lookup lookup;
        if (answer && answer->isTurnFound()) {
          const auto found = answer->getTurnFound();
          lookup.answered = true;
          lookup.complete = found.getComplete();
          lookup.reading = found.getReading();
          if (lookup.reading) m_still_reads[name] = m_loop->now();
          for (const auto& turn : found.getTurns()) {
            lookup.turns.push_back(programs::Read(turn));
          }
        }
        done(lookup);
      });
  return ReaderLocation::kAnother;
}

void PeerTurns::ServePersist(PeerMessage::Reader       message,
                             const PeerNetwork::Reply& reply) {
  const auto keep = message.getKeepTurn();
  m_turns->PersistForPeer(programs::Read(keep.getTurn()), keep.getRetentionMs(),
                          [reply](std::optional<LogPosition> kept) {
                            reply([kept](PeerMessage::Builder answer) {
                              if (!kept) {
                                answer.setTurnNotKept();
                                return;
                              }
                              auto turn_kept = answer.initTurnKept();
                              turn_kept.setPartition(kept->partition);
                              turn_kept.setOffset(kept->offset);
                            });
                          });
}

void PeerTurns::ServeFind(PeerMessage::Reader       message,
                          const PeerNetwork::Reply& reply) {
  const std::string id = message.getFindTurn().getId().cStr();
  const int         partition = message.getFindTurn().getPartition();
  if (partition < 0 || partition >= kTurnPartitions ||
      m_turns->history().Holds(id)) {
    // What this node does not hold, it has not looked for.
    AnswerFind(id, ReadState::kIncomplete, reply);
    return;
  }
  auto       open = std::make_shared<bool>(true);
  const auto answer = [this, id, reply, open](ReadState state) {
    if (std::exchange(*open, false)) AnswerFind(id, state, reply);
  };
  const auto ended = [answer](bool complete) {
    answer(complete ? ReadState::kComplete : ReadState::kIncomplete);
  };
  // An asker that hears nothing would take this node for lost.
  m_loop->After(m_thresholds->reader_answer,
                [answer] { answer(ReadState::kReading); });
  TurnReader& reader = m_turns->reader();
  if (reader.KnowsPositionOf(id)) {
    reader.Fetch(id,
                 [this, id, ended] { ended(m_turns->history().Holds(id)); });
  } else {
    reader.Scan(partition, ended, id);
  }
}

void PeerTurns::AnswerFind(const std::string& id, ReadState state,
                           const PeerNetwork::Reply& reply) {
  const auto line = m_turns->history().CollectChain(id);
  reply([&line, state](PeerMessage::Builder answer) {
    auto found = answer.initTurnFound();
    found.setComplete(state == ReadState::kComplete);
    found.setReading(state == ReadState::kReading);
    auto     turns = found.initTurns(static_cast<unsigned>(line.size()));
    unsigned at = 0;
    for (const Turn* turn : line) programs::Write(*turn, turns[at++]);
  });
}

}  // namespace yuccawick::gateway

#include "yuccawick/gateway/peer_turns.h"

#include <xxhash.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "yuccawick/programs/record.h"

namespace yuccawick::gateway {

using programs::NodeInfo;
using programs::Turn;

PeerTurns::PeerTurns(const Thresholds*     thresholds,
                     programs::Membership* members, PeerNetwork* network,
                     TurnKeeper* turns)
    : m_thresholds(thresholds),
      m_members(members),
      m_network(network),
      m_turns(turns) {
  turns->SetPeers(this);
}

std::vector<NodeInfo> PeerTurns::Holders(const std::string& key) const {
  // Other zones first: a zone's nodes fail together more often than not.
  auto       others = m_members->Others();
  const auto rank = [&](const NodeInfo& node) {
    return std::pair(node.zone == m_members->self().zone,
                     XXH3_64bits_withSeed(node.name.data(), node.name.size(),
                                          XXH3_64bits(key.data(), key.size())));
  };
  std::sort(
      others.begin(), others.end(),
      [&](const NodeInfo& a, const NodeInfo& b) { return rank(a) < rank(b); });
  return others;
}

void PeerTurns::CopyTurn(const Turn& turn, Duration retention,
                         std::function<void(bool)> done) {
  auto holders = Holders(turn.id);
  if (holders.size() < kTurnCopies) {
    // Fewer copies could all be silent when the turn is asked for.
    done(false);
    return;
  }
  holders.resize(kTurnCopies);
  auto left = std::make_shared<std::size_t>(holders.size());
  auto kept = std::make_shared<std::size_t>(0);
  for (const NodeInfo& holder : holders) {
    m_network->Ask(
        holder,
        [&](PeerMessage::Builder message) {
          auto keep = message.initKeepTurn();
          programs::Write(turn, keep.initTurn());
          keep.setRetentionMs(retention);
        },
        m_thresholds->copy_timeout,
        [left, kept, done,
         wanted = holders.size()](std::optional<PeerMessage::Reader> answer) {
          if (answer && answer->isTurnKept()) ++*kept;
          if (--*left == 0) done(*kept == wanted);
        });
  }
}

void PeerTurns::AskForTurn(const std::string&                 id,
                           std::function<void(const Search&)> done) {
  // Suspected nodes may hold it as well, and may answer by now.
  const auto others = m_members->All();
  if (others.empty()) {
    done({});
    return;
  }
  auto left = std::make_shared<std::size_t>(others.size());
  auto ended = std::make_shared<bool>(false);
  auto search = std::make_shared<Search>();
  for (const NodeInfo& node : others) {
    m_network->Ask(
        node,
        [&](PeerMessage::Builder message) {
          auto find = message.initFindTurn();
          find.setId(id);
          find.setPartition(kNoPartition);
        },
        m_thresholds->find_timeout,
        [left, ended, search, done](std::optional<PeerMessage::Reader> answer) {
          --*left;
          if (*ended) return;
          if (!answer || !answer->isTurnFound()) {
            ++search->silent;
          } else {
            for (const auto& turn : answer->getTurnFound().getTurns()) {
              search->turns.push_back(programs::Read(turn));
            }
          }
          if (search->turns.empty() && *left > 0) return;
          *ended = true;
          done(*search);
        });
  }
}

bool PeerTurns::AskReader(int partition, const std::string& id,
                          std::function<void(const Lookup&)> done) {
  const NodeInfo* reader = nullptr;
  const auto ranked = m_members->HomesOf("turns " + std::to_string(partition));
  for (const NodeInfo& node : ranked) {
    if (node.zone != m_members->self().zone) continue;
    reader = &node;
    break;
  }
  if (reader == nullptr || reader->name == m_members->self().name) return false;
  m_network->Ask(
      *reader,
      [&](PeerMessage::Builder message) {
        auto find = message.initFindTurn();
        find.setId(id);
        find.setPartition(partition);
      },
      m_thresholds->reader_timeout,
      [done](std::optional<PeerMessage::Reader> answer) {
        Lookup lookup;
        if (answer && answer->isTurnFound()) {
          const auto found = answer->getTurnFound();
          lookup.answered = true;
          lookup.complete = found.getComplete();
          for (const auto& turn : found.getTurns()) {
            lookup.turns.push_back(programs::Read(turn));
          }
        }
        done(lookup);
      });
  return true;
}

void PeerTurns::ServeKeep(PeerMessage::Reader       message,
                          const PeerNetwork::Reply& reply) {
  const auto keep = message.getKeepTurn();
  m_turns->KeepCopy(programs::Read(keep.getTurn()), keep.getRetentionMs());
  reply([](PeerMessage::Builder answer) { answer.setTurnKept(); });
}

void PeerTurns::ServeFind(PeerMessage::Reader       message,
                          const PeerNetwork::Reply& reply) {
  const std::string id = message.getFindTurn().getId().cStr();
  const int         partition = message.getFindTurn().getPartition();
  if (partition < 0 || partition >= kTurnPartitions ||
      m_turns->history().Holds(id)) {
    AnswerFind(id, partition != kNoPartition, reply);
    return;
  }
  m_turns->ScanPartition(partition, [this, id, reply](bool complete) {
    AnswerFind(id, complete, reply);
  });
}

void PeerTurns::AnswerFind(const std::string& id, bool complete,
                           const PeerNetwork::Reply& reply) {
  const auto line = m_turns->history().Line(id);
  reply([&line, complete](PeerMessage::Builder answer) {
    auto found = answer.initTurnFound();
    found.setComplete(complete);
    auto     turns = found.initTurns(static_cast<unsigned>(line.size()));
    unsigned at = 0;
    for (const Turn* turn : line) programs::Write(*turn, turns[at++]);
  });
}

}  // namespace yuccawick::gateway

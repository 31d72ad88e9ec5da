#include "yuccawick/gateway/peer_service.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "yuccawick/programs/record.h"

// Index: Tokens, News.

namespace yuccawick::gateway {
namespace {

using programs::NodeInfo;

// Homes that are asked one after the other for one turn.
constexpr std::size_t kMaxHomes = 3;
constexpr std::size_t kMaxGivenUp = 256;

programs::wire::Reserved ToWire(ReserveOutcome outcome) {
  return static_cast<programs::wire::Reserved>(outcome);
}

ReserveOutcome FromWire(programs::wire::Reserved reserved) {
  return static_cast<ReserveOutcome>(reserved);
}

void SetAsk(const admission::AdmissionRequest& ask,
            programs::wire::Reserve::Builder*  reserve) {
  if (ask.service.empty()) return;
  reserve->setService(ask.service);
  reserve->setRoute(ask.route);
  reserve->setWorkspace(ask.workspace);
  reserve->setPriority(static_cast<std::uint8_t>(ask.priority));
  reserve->setContinues(ask.under_way);
  reserve->setPromptTokens(ask.prompt_tokens);
  reserve->setHasLeft(ask.left.has_value());
  reserve->setLeftMs(ask.left.value_or(0));
}

void FillRoomUse(const AdmissionService::UsageByService& uses,
                 PeerMessage::Builder                    message) {
  unsigned size = 0;
  for (const auto& [service, parts] : uses) {
    size += static_cast<unsigned>(parts.size());
  }
  auto     list = message.initRoomUse(size);
  unsigned i = 0;
  for (const auto& [service, parts] : uses) {
    for (const auto& [partition, use] : parts) {
      list[i].setService(service);
      list[i].setPartition(static_cast<std::uint8_t>(partition));
      list[i].setPrograms(static_cast<std::uint32_t>(use.programs));
      list[i].setPlaces(static_cast<float>(use.slots));
      list[i].setMemory(use.memory);
      ++i;
    }
  }
}

admission::AdmissionRequest GetAsk(programs::wire::Reserve::Reader reserve) {
  admission::AdmissionRequest ask;
  ask.program = reserve.getProgram().cStr();
  ask.service = reserve.getService().cStr();
  ask.partition = ClaimPartitionOf(ask.program);
  ask.route = reserve.getRoute().cStr();
  ask.workspace = reserve.getWorkspace().cStr();
  ask.priority = reserve.getPriority();
  ask.under_way = reserve.getContinues();
  ask.prompt_tokens = reserve.getPromptTokens();
  ask.max_tokens = reserve.getMost();
  if (reserve.getHasLeft()) ask.left = reserve.getLeftMs();
  return ask;
}

}  // namespace

PeerService::PeerService(net::EventLoop* loop, const Thresholds* thresholds,
                         programs::Membership* members, PeerNetwork* network,
                         std::vector<TokenCoordinator>* desks,
                         RateLimiter* limiter, TurnStore* turns,
                         Backends* backends, AdmissionService* room)
    : m_loop(loop),
      m_thresholds(thresholds),
      m_members(members),
      m_network(network),
      m_desks(desks),
      m_limiter(limiter),
      m_keeper(turns),
      m_turns(loop, thresholds, members, network, turns),
      m_backends(backends),
      m_room(room) {
  network->SetMessageHandler(this);
}

// Tokens ---------------------------------------------------------------------

TokenCoordinator& PeerService::DeskOf(const std::string& program) {
  return (*m_desks)[static_cast<std::size_t>(ClaimPartitionOf(program))];
}

void PeerService::ReserveHere(const TurnBudget& turn, const ReserveDone& done) {
  DeskOf(turn.program)
      .Reserve(turn, [this, turn, done](ReserveOutcome outcome) {
        done({outcome,
              turn,
              {},
              DeskOf(turn.program).LastServer(turn.program),
              m_room->RetryDelay(turn.admission_request)});
      });
}

void PeerService::Reserve(const TurnBudget& turn, Duration patience,
                          const ReserveDone& done) {
  ReserveFrom(turn, 0, m_loop->now() + patience, done);
}

void PeerService::ReserveUnsure(const TurnBudget& turn, Time until,
                                const ReserveDone& done) {
  if (IsIsolated() || m_loop->now() + m_thresholds->reserve_pause >= until) {
    done({ReserveOutcome::kUnsure, turn, {}});
    return;
  }
  m_loop->After(m_thresholds->reserve_pause, [this, turn, until, done] {
    ReserveFrom(turn, 0, until, done);
  });
}

// Nodes that are cut from the log for seconds come last: with three of eight
// cut, all homes that are asked for some partition may be among them, and its
// programs would be refused as long as the cut lasts.
std::vector<NodeInfo> PeerService::RankCoordinators(
    const std::string& key) const {
  auto       homes = m_members->RankCoordinators(key);
  // At the end of an outage of all, each hears of the others' return at another
  // time: 30 nodes took themselves for homes at once, and claims that others
  // made beside theirs had to be read by each.
  const bool outage_of_all = m_log_away_at && m_loop->now() - *m_log_away_at <
                                                  m_thresholds->outage_settling;
  if (outage_of_all) return homes;
  std::stable_partition(homes.begin(), homes.end(),
                        [this](const NodeInfo& node) {
                          return !m_turns.ReportedLogUnavailable(node.name);
                        });
  return homes;
}

void PeerService::ReserveFrom(const TurnBudget& turn, std::size_t rank,
                              Time until, const ReserveDone& done) {
  const auto homes =
      RankCoordinators(TokenCoordinatorKey(ClaimPartitionOf(turn.program)));
  if (rank >= std::min(homes.size(), kMaxHomes)) {
    ReserveUnsure(turn, until, done);
    return;
  }
  const NodeInfo& home = homes[rank];
  const auto      decided = [this, turn, rank, until,
                        done](const Reservation& result) {
    if (result.outcome == ReserveOutcome::kUnsure) {
      // It does not reach the log; who takes its place may.
      ReserveFrom(turn, rank + 1, until, done);
    } else if (result.outcome == ReserveOutcome::kHold) {
      ReserveUnsure(turn, until, done);
    } else {
      done(result);
    }
  };
  if (home.name == m_members->self().name) {
    ReserveHere(turn, decided);
  } else {
    AskHome(home, turn, decided);
  }
}

void PeerService::AskHome(const NodeInfo& home, const TurnBudget& turn,
                          const ReserveDone& done) {
  auto       number = std::make_shared<std::uint64_t>(0);
  const auto answered = [this, number, turn, name = home.name,
                         done](std::optional<PeerMessage::Reader> answer) {
    if (answer && answer->isReserved()) {
      const auto outcome = FromWire(answer->getReserved());
      if (outcome == ReserveOutcome::kUnsure) m_turns.MarkLogUnavailable(name);
      done({outcome, turn, name});
      return;
    }
    if (answer && answer->isStartedAt()) {
      done({ReserveOutcome::kStart, turn, name, answer->getStartedAt().cStr()});
      return;
    }
    if (answer && answer->isRoomRefusal()) {
      const auto retry = answer->getRoomRefusal().getRetryMs();
      done({ReserveOutcome::kNoRoom, turn, name, {}, retry});
      return;
    }
    if (m_given_up.size() >= kMaxGivenUp) m_given_up.erase(m_given_up.begin());
    m_given_up.emplace(*number, turn);
    done({ReserveOutcome::kUnsure, turn, name});
  };
  *number = m_network->SendRequest(
      home,
      [&turn](PeerMessage::Builder message) {
        auto reserve = message.initReserve();
        reserve.setProgram(turn.program);
        reserve.setBudget(turn.budget);
        reserve.setMost(turn.max_tokens);
        SetAsk(turn.admission_request, &reserve);
      },
      m_thresholds->reserve_timeout, answered);
}

void PeerService::EndTurn(const Reservation& reservation, programs::Tokens used,
                          const std::string& server) {
  if (reservation.coordinator.empty()) {
    DeskOf(reservation.turn.program).EndTurn(reservation.turn, used, server);
  } else {
    TellSettle(reservation.coordinator, reservation.turn, used, server);
  }
}

void PeerService::TellSettle(const std::string& home, const TurnBudget& turn,
                             programs::Tokens used, const std::string& server) {
  const NodeInfo* node = m_members->Find(home);
  if (node == nullptr) return;
  m_network->SendOneWay(*node, [&](PeerMessage::Builder message) {
    auto settle = message.initSettle();
    settle.setProgram(turn.program);
    settle.setMost(turn.max_tokens);
    settle.setUsed(used);
    settle.setServer(server);
  });
}

void PeerService::OnLateAnswer(const std::string&  node,
                               PeerMessage::Reader message,
                               std::uint64_t       number) {
  const auto found = m_given_up.find(number);
  if (found == m_given_up.end()) return;
  const TurnBudget turn = found->second;
  m_given_up.erase(found);
  const bool reserved =
      message.isStartedAt() ||
      (message.isReserved() &&
       FromWire(message.getReserved()) == ReserveOutcome::kStart);
  // Nobody runs this turn on that reservation.
  if (reserved) TellSettle(node, turn, 0, {});
}

void PeerService::ServeReserve(PeerNetwork::ConnectionId session,
                               PeerMessage::Reader       message,
                               PeerNetwork::Reply        reply) {
  const auto       asked = message.getReserve();
  const TurnBudget turn{asked.getProgram().cStr(), asked.getBudget(),
                        asked.getMost(), GetAsk(asked)};
  m_reserved.try_emplace(session);
  DeskOf(turn.program)
      .Reserve(turn, [this, session, turn,
                      reply = std::move(reply)](ReserveOutcome outcome) {
        const auto held = m_reserved.find(session);
        if (held == m_reserved.end()) {
          // Nobody will run it.
          if (outcome == ReserveOutcome::kStart)
            DeskOf(turn.program).EndTurn(turn, 0);
          return;
        }
        if (outcome == ReserveOutcome::kStart) held->second.push_back(turn);
        reply([&](PeerMessage::Builder answer) {
          AnswerReserve(turn, outcome, answer);
        });
      });
}

void PeerService::AnswerReserve(const TurnBudget& turn, ReserveOutcome outcome,
                                PeerMessage::Builder answer) {
  const std::string server = DeskOf(turn.program).LastServer(turn.program);
  if (outcome == ReserveOutcome::kNoRoom) {
    answer.initRoomRefusal().setRetryMs(
        static_cast<std::uint32_t>(m_room->RetryDelay(turn.admission_request)));
  } else if (outcome == ReserveOutcome::kStart && !server.empty()) {
    answer.setStartedAt(server);
  } else {
    answer.setReserved(ToWire(outcome));
  }
}

void PeerService::ServeSettle(PeerNetwork::ConnectionId session,
                              PeerMessage::Reader       message) {
  const auto settle = message.getSettle();
  const auto held = m_reserved.find(session);
  if (held == m_reserved.end()) return;
  const std::string program = settle.getProgram().cStr();
  const auto        turn = std::find_if(
             held->second.begin(), held->second.end(), [&](const TurnBudget& each) {
        return each.program == program && each.max_tokens == settle.getMost();
      });
  // Not there: it was counted at its most when an earlier session ended.
  if (turn == held->second.end()) return;
  const TurnBudget ended = *turn;
  held->second.erase(turn);
  DeskOf(ended.program)
      .EndTurn(ended, settle.getUsed(), settle.getServer().cStr());
}

void PeerService::OnConnectionClosed(PeerNetwork::ConnectionId session) {
  auto node = m_reserved.extract(session);
  if (node.empty()) return;
  // What these turns generate will not be heard of; their most is safe.
  for (const TurnBudget& turn : node.mapped())
    DeskOf(turn.program).EndTurn(turn, turn.max_tokens);
}

// News -----------------------------------------------------------------------

void PeerService::SendReports() {
  if (m_keeper->reader().UnavailableFor() > 0) m_log_away_at = m_loop->now();
  WatchIsolation();
  for (const NodeInfo& node : m_members->TakeDueProbes(m_loop->now())) {
    Probe(node);
  }
  TellLoads();
  TellOutage();
  TellRoom();
  TellCharges();
}

void PeerService::WatchIsolation() {
  const std::size_t known = m_members->All().size();
  const std::size_t silent = known - m_members->Others().size();
  if (m_log_reachable || 2 * silent <= known) {
    m_alone_since.reset();
  } else if (!m_alone_since) {
    m_alone_since = m_loop->now();
  }
}

bool PeerService::IsIsolated() const {
  return m_alone_since &&
         m_loop->now() - *m_alone_since >= m_thresholds->isolation_delay;
}

Duration PeerService::LongestOutage() const {
  Duration longest = m_keeper->reader().UnavailableFor();
  for (const TokenCoordinator& desk : *m_desks) {
    longest = std::max(longest, desk.LogUnavailableFor());
  }
  return longest;
}

void PeerService::Probe(const NodeInfo& node) {
  // Any answer will do; the network trusts a node that it hears of.
  m_network->SendRequest(
      node,
      [](PeerMessage::Builder message) {
        message.initFindTurn().setPartition(kNoPartition);
      },
      m_thresholds->find_timeout, [](std::optional<PeerMessage::Reader>) {});
}

void PeerService::TellOutage() {
  // A node that has kept no turn lately only notices by the manifest.
  const bool away = m_keeper->reader().UnavailableFor() > 0 || !m_log_reachable;
  if (!away || m_loop->now() - m_outage_told_at < m_thresholds->outage_pause) {
    return;
  }
  m_outage_told_at = m_loop->now();
  for (const NodeInfo& node : m_members->Others()) {
    m_network->SendOneWay(
        node, [](PeerMessage::Builder message) { message.setLogAway(); });
  }
}

void PeerService::TellLoads() {
  auto       news = m_backends->LocalReport();
  const bool due = m_loop->now() - m_told_at >= m_thresholds->news_anyway;
  if (news == m_told && !due) return;
  m_told = std::move(news);
  m_told_at = m_loop->now();
  for (const NodeInfo& node : m_members->Others()) {
    if (node.zone != m_members->self().zone) continue;
    m_network->SendOneWay(node, [&](PeerMessage::Builder message) {
      auto     list = message.initLoads(static_cast<unsigned>(m_told.size()));
      unsigned i = 0;
      for (const auto& [server, told] : m_told) {
        list[i].setServer(server);
        list[i].setRequests(static_cast<std::uint16_t>(told.requests));
        list[i].setAnswers(static_cast<float>(told.outcomes.answers));
        list[i].setFailures(static_cast<float>(told.outcomes.failures));
        list[i].setPace(static_cast<float>(told.slowdown.factor));
        list[i].setPaceSamples(static_cast<float>(told.slowdown.samples));
        ++i;
      }
    });
  }
  m_backends->OnReportSent(&m_told);
}

void PeerService::TakeLoads(const std::string&  node,
                            PeerMessage::Reader message) {
  Backends::ServerReports news;
  for (const auto& load : message.getLoads()) {
    news[load.getServer().cStr()] = {load.getRequests(),
                                     {load.getAnswers(), load.getFailures()},
                                     {load.getPace(), load.getPaceSamples()}};
  }
  m_backends->SetPeerReport(node, news);
}

void PeerService::FindOtherHomes() {
  if (m_loop->now() - m_homes_found_at < m_thresholds->news_anyway) return;
  m_homes_found_at = m_loop->now();
  m_other_homes.clear();
  for (int partition = 0; partition < kClaimPartitions; ++partition) {
    const auto homes = RankCoordinators(TokenCoordinatorKey(partition));
    if (homes.empty() || homes.front().name == m_members->self().name) continue;
    m_other_homes.emplace(homes.front().name, homes.front());
  }
}

void PeerService::TellRoom() {
  auto uses = m_room->LocalUsageByService();
  if (uses.empty()) return;
  const bool due = m_loop->now() - m_room_told_at >= m_thresholds->news_anyway;
  if (uses == m_room_told && !due) return;
  m_room_told = std::move(uses);
  m_room_told_at = m_loop->now();
  FindOtherHomes();
  for (const auto& [name, home] : m_other_homes) {
    m_network->SendOneWay(home, [this](PeerMessage::Builder message) {
      FillRoomUse(m_room_told, message);
    });
  }
}

void PeerService::TakeRoom(const std::string&  node,
                           PeerMessage::Reader message) {
  AdmissionService::UsageByService uses;
  for (const auto& use : message.getRoomUse()) {
    uses[use.getService().cStr()][use.getPartition()] = {
        static_cast<int>(use.getPrograms()), use.getPlaces(), use.getMemory()};
  }
  m_room->SetPeerUsage(node, uses);
}

void PeerService::TellCharges() {
  const auto charges = m_room->TakeCharges();
  if (charges.empty()) return;
  FindOtherHomes();
  for (const auto& [name, home] : m_other_homes) {
    m_network->SendOneWay(home, [&charges](PeerMessage::Builder message) {
      auto list =
          message.initWorkCharges(static_cast<unsigned>(charges.size()));
      unsigned i = 0;
      for (const fairness::UsageCharge& charge : charges) {
        list[i].setWorkspace(charge.workspace);
        list[i].setWork(static_cast<float>(charge.work));
        list[i].setTurns(static_cast<float>(charge.turns));
        ++i;
      }
    });
  }
}

void PeerService::TakeCharges(PeerMessage::Reader message) {
  std::vector<fairness::UsageCharge> charges;
  for (const auto& charge : message.getWorkCharges()) {
    charges.push_back(
        {charge.getWorkspace().cStr(), charge.getWork(), charge.getTurns()});
  }
  m_room->MergePeerCharges(charges);
}

void PeerService::OnMessage(PeerNetwork::ConnectionId session,
                            const std::string&        node,
                            PeerMessage::Reader       message,
                            PeerNetwork::Reply        reply) {
  switch (message.which()) {
    case PeerMessage::RESERVE:
      ServeReserve(session, message, std::move(reply));
      break;
    case PeerMessage::SETTLE:
      ServeSettle(session, message);
      break;
    case PeerMessage::KEEP_TURN:
      m_turns.ServePersist(message, reply);
      break;
    case PeerMessage::FIND_TURN:
      m_turns.ServeFind(message, reply);
      break;
    case PeerMessage::LOG_AWAY:
      m_turns.MarkLogUnavailable(node);
      break;
    case PeerMessage::RATE_ASK:
      m_limiter->ServeRequest(message, reply);
      break;
    case PeerMessage::LOADS:
      TakeLoads(node, message);
      break;
    case PeerMessage::ROOM_USE:
      TakeRoom(node, message);
      break;
    case PeerMessage::WORK_CHARGES:
      TakeCharges(message);
      break;
    default:
      break;  // answers come on links, not here
  }
}

}  // namespace yuccawick::gateway

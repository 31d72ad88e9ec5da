#include "yuccawick/gateway/peer_service.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "yuccawick/programs/record.h"

namespace yuccawick::gateway {
namespace {

using programs::NodeInfo;

// Largest number of coordinators asked for one turn, one after another.
constexpr std::size_t kMaxCoordinatorsTried = 3;
// Timed-out reserve requests that are remembered for late responses.
constexpr std::size_t kMaxAbandoned = 256;

programs::wire::Reserved ToWire(ReserveOutcome outcome) {
  return static_cast<programs::wire::Reserved>(outcome);
}

ReserveOutcome FromWire(programs::wire::Reserved reserved) {
  return static_cast<ReserveOutcome>(reserved);
}

void WriteAdmissionRequest(const admission::AdmissionRequest& request,
                           programs::wire::Reserve::Builder*  reserve) {
  if (request.service.empty()) return;
  reserve->setService(request.service);
  reserve->setRoute(request.route);
  reserve->setWorkspace(request.workspace);
  reserve->setPriority(static_cast<std::uint8_t>(request.priority));
  reserve->setContinues(request.under_way);
  reserve->setPromptTokens(request.prompt_tokens);
  reserve->setHasLeft(request.left.has_value());
  reserve->setLeftMs(request.left.value_or(0));
}

void WriteUsage(const AdmissionService::UsageByService& usage,
                PeerMessage::Builder                    message) {
  unsigned size = 0;
  for (const auto& [service, parts] : usage) {
    size += static_cast<unsigned>(parts.size());
  }
  auto     list = message.initRoomUse(size);
  unsigned i = 0;
  for (const auto& [service, parts] : usage) {
    for (const auto& [partition, entry] : parts) {
      list[i].setService(service);
      list[i].setPartition(static_cast<std::uint8_t>(partition));
      list[i].setPrograms(static_cast<std::uint32_t>(entry.programs));
      list[i].setPlaces(static_cast<float>(entry.slots));
      list[i].setMemory(entry.memory);
      ++i;
    }
  }
}

admission::AdmissionRequest ReadAdmissionRequest(
    programs::wire::Reserve::Reader reserve) {
  admission::AdmissionRequest request;
  request.program = reserve.getProgram().cStr();
  request.service = reserve.getService().cStr();
  request.partition = ClaimPartitionOf(request.program);
  request.route = reserve.getRoute().cStr();
  request.workspace = reserve.getWorkspace().cStr();
  request.priority = reserve.getPriority();
  request.under_way = reserve.getContinues();
  request.prompt_tokens = reserve.getPromptTokens();
  request.max_tokens = reserve.getMost();
  if (reserve.getHasLeft()) request.left = reserve.getLeftMs();
  return request;
}

// Without a response the request may have been granted.
Reservation ReadReserveResponse(const TurnBudget&                  turn,
                                const std::string&                 coordinator,
                                std::optional<PeerMessage::Reader> response) {
  Reservation result{ReserveOutcome::kUnsure, turn, coordinator};
  result.claimed = !response;
  if (!response) return result;
  if (response->isGranted()) {
    result.outcome = ReserveOutcome::kStart;
    result.server = response->getGranted().getServer().cStr();
  } else if (response->isRoomRefusal()) {
    result.outcome = ReserveOutcome::kNoRoom;
    result.retry_delay = response->getRoomRefusal().getRetryMs();
  } else if (response->isNotGranted()) {
    result.outcome = FromWire(response->getNotGranted().getOutcome());
    result.claimed = response->getNotGranted().getClaimed();
  }
  return result;
}

}  // namespace

PeerService::PeerService(net::EventLoop* loop, const Thresholds* thresholds,
                         programs::Membership* members, PeerNetwork* network,
                         std::vector<TokenCoordinator>* coordinators,
                         RateLimiter* limiter, TurnStore* turn_store,
                         Backends*            backends,
                         AdmissionService*    admission_service,
                         StreamOriginService* stream_origins,
                         SuspectService* suspects, Log* log)
    : m_loop(loop),
      m_thresholds(thresholds),
      m_members(members),
      m_network(network),
      m_coordinators(coordinators),
      m_limiter(limiter),
      m_turn_store(turn_store),
      m_peer_turns(loop, thresholds, members, network, turn_store),
      m_backends(backends),
      m_admission(admission_service),
      m_stream_origins(stream_origins),
      m_suspects(suspects),
      m_settler(loop, thresholds, members, network, coordinators, log,
                [this](int partition) {
                  return RankCoordinators(TokenCoordinatorKey(partition));
                }) {
  network->SetMessageHandler(this);
}

// Tokens ---------------------------------------------------------------------

TokenCoordinator& PeerService::CoordinatorOf(const std::string& program) {
  return (*m_coordinators)[static_cast<std::size_t>(ClaimPartitionOf(program))];
}

void PeerService::Reserve(TurnBudget turn, Duration patience,
                          const ReserveDone& done) {
  turn.id = {m_members->self().incarnation, ++m_last_reservation};
  ReserveFrom(std::make_shared<ReserveCall>(
                  ReserveCall{std::move(turn), m_loop->now() + patience, done}),
              0);
}

void PeerService::ReserveFrom(const ReserveCallPtr& call, std::size_t rank) {
  const auto coordinators = RankCoordinators(
      TokenCoordinatorKey(ClaimPartitionOf(call->turn.program)));
  if (rank >= std::min(coordinators.size(), kMaxCoordinatorsTried)) {
    RetryReserve(call);
    return;
  }
  const NodeInfo& coordinator = coordinators[rank];
  const auto      on_result = [this, call, rank](const Reservation& result) {
    OnReserveResult(call, rank, result);
  };
  if (coordinator.name == m_members->self().name) {
    ReserveLocally(call->turn, on_result);
  } else {
    SendReserve(coordinator, call->turn, on_result);
  }
}

void PeerService::OnReserveResult(const ReserveCallPtr& call, std::size_t rank,
                                  const Reservation& result) {
  call->claimed = call->claimed || result.claimed;
  if (result.outcome == ReserveOutcome::kUnsure) {
    // This coordinator cannot reach the log; the next in rank may reach it.
    ReserveFrom(call, rank + 1);
  } else if (result.outcome == ReserveOutcome::kHold) {
    RetryReserve(call);
  } else {
    FinishReserve(call, result);
  }
}

void PeerService::RetryReserve(const ReserveCallPtr& call) {
  if (IsIsolated() ||
      m_loop->now() + m_thresholds->reserve_pause >= call->retry_deadline) {
    FinishReserve(call, {ReserveOutcome::kUnsure, call->turn, {}});
    return;
  }
  m_loop->After(m_thresholds->reserve_pause,
                [this, call] { ReserveFrom(call, 0); });
}

void PeerService::FinishReserve(const ReserveCallPtr& call,
                                const Reservation&    result) {
  // A claim that gets to the log later must grant nothing.
  if (call->claimed && result.outcome != ReserveOutcome::kStart)
    EndTurn({ReserveOutcome::kUnsure, call->turn, {}}, 0, {});
  call->done(result);
}

void PeerService::ReserveLocally(const TurnBudget&  turn,
                                 const ReserveDone& done) {
  CoordinatorOf(turn.program)
      .Reserve(turn, [this, turn, done](const ReserveResult& result) {
        done({result.outcome, turn, m_members->self().name,
              CoordinatorOf(turn.program).LastServer(turn.program),
              m_admission->RetryDelay(turn.admission_request), result.claimed});
      });
}

// Nodes that stop are ranked last: what they coordinate moves at their end, and
// a turn that is reserved late in a stop would have to be settled elsewhere.
// Nodes that reported the log unavailable are ranked last too. Otherwise all
// coordinators tried for a partition could be cut off from the log, and its
// programs would be refused for as long as the outage lasts.
std::vector<NodeInfo> PeerService::RankCoordinators(
    const std::string& key) const {
  auto coordinators = m_members->RankCoordinators(key);
  std::stable_partition(
      coordinators.begin(), coordinators.end(),
      [this](const NodeInfo& node) { return !m_members->Stopping(node.name); });
  // After an outage that includes this node the plain ranking applies: nodes
  // learn of the recovery at different times, and rankings that differ between
  // nodes would make several of them claim in one partition.
  const bool recent_outage =
      m_log_unavailable_at &&
      m_loop->now() - *m_log_unavailable_at < m_thresholds->outage_settling;
  if (recent_outage) return coordinators;
  std::stable_partition(
      coordinators.begin(), coordinators.end(), [this](const NodeInfo& node) {
        return !m_peer_turns.ReportedLogUnavailable(node.name);
      });
  return coordinators;
}

void PeerService::SendReserve(const NodeInfo&   coordinator,
                              const TurnBudget& turn, const ReserveDone& done) {
  auto       number = std::make_shared<std::uint64_t>(0);
  const auto on_response = [this, number, turn, name = coordinator.name,
                            done](std::optional<PeerMessage::Reader> response) {
    if (!response) {
      if (m_abandoned.size() >= kMaxAbandoned)
        m_abandoned.erase(m_abandoned.begin());
      m_abandoned.emplace(*number, turn);
    }
    const Reservation result = ReadReserveResponse(turn, name, response);
    if (response && result.outcome == ReserveOutcome::kUnsure)
      m_peer_turns.MarkLogUnavailable(name);
    done(result);
  };
  *number = m_network->SendRequest(
      coordinator,
      [&turn](PeerMessage::Builder message) {
        auto reserve = message.initReserve();
        reserve.setProgram(turn.program);
        reserve.setBudget(turn.budget);
        reserve.setMost(turn.max_tokens);
        programs::Write(turn.id, reserve.initId());
        WriteAdmissionRequest(turn.admission_request, &reserve);
      },
      m_thresholds->reserve_timeout, on_response);
}

void PeerService::EndTurn(const Reservation& reservation, programs::Tokens used,
                          const std::string& server) {
  const TurnBudget& turn = reservation.turn;
  m_settler.Settle({turn.program, {turn.id, turn.max_tokens, used}, server},
                   reservation.coordinator);
}

void PeerService::OnLateResponse(const std::string&  node,
                                 PeerMessage::Reader message,
                                 std::uint64_t       number) {
  if (message.isRequestMarks()) {
    m_suspects->ReceiveMarks(node, message);
    return;
  }
  const auto abandoned = m_abandoned.extract(number);
  if (abandoned.empty() || !message.isGranted()) return;
  const NodeInfo* coordinator = m_members->Find(node);
  if (coordinator == nullptr) return;
  // The request timed out here. If the turn runs, another coordinator has
  // admitted it.
  m_network->SendOneWay(*coordinator, [&](PeerMessage::Builder notice) {
    auto elsewhere = notice.initTurnElsewhere();
    elsewhere.setProgram(abandoned.mapped().program);
    programs::Write(abandoned.mapped().id, elsewhere.initId());
  });
}

void PeerService::ServeReserve(PeerNetwork::ConnectionId connection,
                               PeerMessage::Reader       message,
                               PeerNetwork::Reply        reply) {
  const auto       reserve = message.getReserve();
  const TurnBudget turn{reserve.getProgram().cStr(),
                        programs::Read(reserve.getId()), reserve.getBudget(),
                        reserve.getMost(), ReadAdmissionRequest(reserve)};
  m_granted.try_emplace(connection);
  CoordinatorOf(turn.program)
      .Reserve(turn, [this, connection, turn,
                      reply = std::move(reply)](const ReserveResult& result) {
        const auto found = m_granted.find(connection);
        if (result.outcome == ReserveOutcome::kStart) {
          if (found == m_granted.end()) {
            // The requester has disconnected and asks another coordinator.
            CoordinatorOf(turn.program).AbandonTurn(turn.id);
            return;
          }
          found->second.push_back({turn.program, turn.id});
        }
        reply([&](PeerMessage::Builder response) {
          RespondToReserve(turn, result, response);
        });
      });
}

void PeerService::RespondToReserve(const TurnBudget&    turn,
                                   const ReserveResult& result,
                                   PeerMessage::Builder response) {
  if (result.outcome == ReserveOutcome::kNoRoom) {
    response.initRoomRefusal().setRetryMs(static_cast<std::uint32_t>(
        m_admission->RetryDelay(turn.admission_request)));
  } else if (result.outcome == ReserveOutcome::kStart) {
    response.initGranted().setServer(
        CoordinatorOf(turn.program).LastServer(turn.program));
  } else {
    auto not_granted = response.initNotGranted();
    not_granted.setOutcome(ToWire(result.outcome));
    not_granted.setClaimed(result.claimed);
  }
}

void PeerService::ServeSettle(PeerNetwork::ConnectionId connection,
                              PeerMessage::Reader       message,
                              PeerNetwork::Reply        reply) {
  const auto      settle = message.getSettle();
  const EndedTurn turn{settle.getProgram().cStr(),
                       programs::Read(settle.getSettlement()),
                       settle.getServer().cStr()};
  const auto      granted = m_granted.find(connection);
  if (granted != m_granted.end()) {
    std::erase_if(granted->second, [&](const RemoteTurn& each) {
      return each.id == turn.settlement.id;
    });
  }
  CoordinatorOf(turn.program)
      .Settle(turn, [reply = std::move(reply)](bool recorded) {
        reply([recorded](PeerMessage::Builder response) {
          response.setSettled(recorded);
        });
      });
}

void PeerService::OnConnectionClosed(PeerNetwork::ConnectionId connection) {
  const auto node = m_granted.extract(connection);
  if (node.empty()) return;
  for (const RemoteTurn& turn : node.mapped())
    CoordinatorOf(turn.program).AbandonTurn(turn.id);
}

void PeerService::OnPeerBack(const std::string& node) {
  const NodeInfo* info = m_members->Find(node);
  if (info != nullptr) m_suspects->TellNode(*info);
}

// Reports --------------------------------------------------------------------

void PeerService::SendReports() {
  if (m_turn_store->reader().UnavailableFor() > 0)
    m_log_unavailable_at = m_loop->now();
  WatchIsolation();
  for (const NodeInfo& node : m_members->TakeDueProbes(m_loop->now())) {
    Probe(node);
  }
  SendLoads();
  SendOutage();
  SendUsage();
  SendCharges();
}

void PeerService::WatchIsolation() {
  const std::size_t total = m_members->All().size();
  const std::size_t unreachable = total - m_members->Others().size();
  if (m_log_reachable || 2 * unreachable <= total) {
    m_isolated_since.reset();
  } else if (!m_isolated_since) {
    m_isolated_since = m_loop->now();
  }
}

bool PeerService::IsIsolated() const {
  return m_isolated_since &&
         m_loop->now() - *m_isolated_since >= m_thresholds->isolation_delay;
}

Duration PeerService::LongestOutage() const {
  Duration longest_outage = m_turn_store->reader().UnavailableFor();
  for (const TokenCoordinator& coordinator : *m_coordinators) {
    longest_outage = std::max(longest_outage, coordinator.LogUnavailableFor());
  }
  return longest_outage;
}

void PeerService::Probe(const NodeInfo& node) {
  // Any response is enough: PeerNetwork clears the suspicion of each node that
  // it receives a message from.
  m_network->SendRequest(
      node,
      [](PeerMessage::Builder message) {
        message.initFindTurn().setPartition(kNoPartition);
      },
      m_thresholds->find_timeout, [](std::optional<PeerMessage::Reader>) {});
}

void PeerService::SendOutage() {
  // A node that has persisted no turn lately detects an outage only by its
  // manifest reads.
  const bool unavailable =
      m_turn_store->reader().UnavailableFor() > 0 || !m_log_reachable;
  if (!unavailable ||
      m_loop->now() - m_outage_sent_at < m_thresholds->outage_pause) {
    return;
  }
  m_outage_sent_at = m_loop->now();
  for (const NodeInfo& node : m_members->Others()) {
    m_network->SendOneWay(
        node, [](PeerMessage::Builder message) { message.setLogAway(); });
  }
}

void PeerService::SendStopping() {
  m_members->SetStopping(m_members->self().name);
  for (const NodeInfo& node : m_members->Others()) {
    m_network->SendOneWay(
        node, [](PeerMessage::Builder message) { message.setStopping(); });
  }
}

void PeerService::SendLoads() {
  auto       report = m_backends->LocalReport();
  const bool report_due =
      m_loop->now() - m_report_sent_at >= m_thresholds->news_anyway;
  if (report == m_sent_report && !report_due) return;
  m_sent_report = std::move(report);
  m_report_sent_at = m_loop->now();
  for (const NodeInfo& node : m_members->Others()) {
    if (node.zone != m_members->self().zone) continue;
    m_network->SendOneWay(node, [&](PeerMessage::Builder message) {
      auto list =
          message.initLoads(static_cast<unsigned>(m_sent_report.size()));
      unsigned i = 0;
      for (const auto& [server, sent] : m_sent_report) {
        list[i].setServer(server);
        list[i].setRequests(static_cast<std::uint16_t>(sent.requests));
        list[i].setAnswers(static_cast<float>(sent.outcomes.answers));
        list[i].setFailures(static_cast<float>(sent.outcomes.failures));
        list[i].setPace(static_cast<float>(sent.slowdown.factor));
        list[i].setPaceSamples(static_cast<float>(sent.slowdown.samples));
        ++i;
      }
    });
  }
  m_backends->OnReportSent(&m_sent_report);
}

void PeerService::ReceiveLoads(const std::string&  node,
                               PeerMessage::Reader message) {
  Backends::ServerReports report;
  for (const auto& load : message.getLoads()) {
    report[load.getServer().cStr()] = {load.getRequests(),
                                       {load.getAnswers(), load.getFailures()},
                                       {load.getPace(), load.getPaceSamples()}};
  }
  m_backends->SetPeerReport(node, report);
}

void PeerService::FindOtherCoordinators() {
  if (m_loop->now() - m_coordinators_found_at < m_thresholds->news_anyway)
    return;
  m_coordinators_found_at = m_loop->now();
  m_other_coordinators.clear();
  for (int partition = 0; partition < kClaimPartitions; ++partition) {
    const auto coordinators = RankCoordinators(TokenCoordinatorKey(partition));
    if (coordinators.empty() ||
        coordinators.front().name == m_members->self().name)
      continue;
    m_other_coordinators.emplace(coordinators.front().name,
                                 coordinators.front());
  }
}

void PeerService::SendUsage() {
  auto usage = m_admission->LocalUsageByService();
  if (usage.empty()) return;
  const bool report_due =
      m_loop->now() - m_usage_sent_at >= m_thresholds->news_anyway;
  if (usage == m_sent_usage && !report_due) return;
  m_sent_usage = std::move(usage);
  m_usage_sent_at = m_loop->now();
  FindOtherCoordinators();
  for (const auto& [name, coordinator] : m_other_coordinators) {
    m_network->SendOneWay(coordinator, [this](PeerMessage::Builder message) {
      WriteUsage(m_sent_usage, message);
    });
  }
}

void PeerService::ReceiveUsage(const std::string&  node,
                               PeerMessage::Reader message) {
  AdmissionService::UsageByService usage;
  for (const auto& entry : message.getRoomUse()) {
    usage[entry.getService().cStr()][entry.getPartition()] = {
        static_cast<int>(entry.getPrograms()), entry.getPlaces(),
        entry.getMemory()};
  }
  m_admission->SetPeerUsage(node, usage);
}

void PeerService::SendCharges() {
  const auto charges = m_admission->TakeCharges();
  if (charges.empty()) return;
  FindOtherCoordinators();
  for (const auto& [name, coordinator] : m_other_coordinators) {
    m_network->SendOneWay(
        coordinator, [&charges](PeerMessage::Builder message) {
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

void PeerService::ReceiveCharges(PeerMessage::Reader message) {
  std::vector<fairness::UsageCharge> charges;
  for (const auto& charge : message.getWorkCharges()) {
    charges.push_back(
        {charge.getWorkspace().cStr(), charge.getWork(), charge.getTurns()});
  }
  m_admission->MergePeerCharges(charges);
}

void PeerService::OnMessage(PeerNetwork::ConnectionId connection,
                            const std::string&        node,
                            PeerMessage::Reader       message,
                            PeerNetwork::Reply        reply) {
  switch (message.which()) {
    case PeerMessage::RESERVE:
      ServeReserve(connection, message, std::move(reply));
      break;
    case PeerMessage::SETTLE:
      ServeSettle(connection, message, std::move(reply));
      break;
    case PeerMessage::TURN_ELSEWHERE:
      CoordinatorOf(message.getTurnElsewhere().getProgram().cStr())
          .AbandonTurn(programs::Read(message.getTurnElsewhere().getId()));
      break;
    case PeerMessage::KEEP_TURN:
      m_peer_turns.ServePersist(message, reply);
      break;
    case PeerMessage::FIND_TURN:
      m_peer_turns.ServeFind(message, reply);
      break;
    case PeerMessage::LOG_AWAY:
      m_peer_turns.MarkLogUnavailable(node);
      break;
    case PeerMessage::STOPPING:
      m_members->SetStopping(node);
      break;
    case PeerMessage::RATE_ASK:
      m_limiter->ServeRequest(message, reply);
      break;
    case PeerMessage::LOADS:
      ReceiveLoads(node, message);
      break;
    case PeerMessage::ROOM_USE:
      ReceiveUsage(node, message);
      break;
    case PeerMessage::WORK_CHARGES:
      ReceiveCharges(message);
      break;
    case PeerMessage::STREAM_BEGUN:
      m_stream_origins->ReceiveBegun(message);
      break;
    case PeerMessage::FIND_STREAM:
      m_stream_origins->ServeFind(message, reply);
      break;
    case PeerMessage::REQUEST_MARKS:
      m_suspects->ReceiveMarks(node, message);
      break;
    case PeerMessage::TELL_MARKS:
      m_suspects->ServeTellMarks(node, message, reply);
      break;
    default:
      break;  // responses arrive on outbound connections
  }
}

}  // namespace yuccawick::gateway

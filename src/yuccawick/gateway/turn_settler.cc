#include "yuccawick/gateway/turn_settler.h"

#include <algorithm>
#include <utility>

#include "yuccawick/programs/record.h"

namespace yuccawick::gateway {
namespace {

using programs::NodeInfo;

// Coordinators asked in turn, as for reservations.
constexpr std::size_t kMaxCoordinatorsTried = 3;
// Longest pause between two tries, in ms.
constexpr Duration    kMaxRetryDelay = 1000;
// The first pause doubles at most this often.
constexpr int         kMaxDoublings = 8;
// Older settlements matter to no program: its claims have expired.
constexpr Duration    kMaxAge = programs::kLedgerRetention;  // ms

}  // namespace

TurnSettler::TurnSettler(net::EventLoop* loop, const Thresholds* thresholds,
                         const programs::Membership*    members,
                         PeerNetwork*                   network,
                         std::vector<TokenCoordinator>* coordinators, Log* log,
                         RankLookup rank_lookup)
    : m_loop(loop),
      m_thresholds(thresholds),
      m_members(members),
      m_network(network),
      m_coordinators(coordinators),
      m_log(log),
      m_rank_lookup(std::move(rank_lookup)) {}

void TurnSettler::Settle(EndedTurn turn, const std::string& coordinator) {
  const std::uint64_t number = ++m_last;
  m_pending.emplace(number,
                    Pending{std::move(turn), coordinator, m_loop->now()});
  Send(number);
}

// The coordinator that granted the tokens also frees the turn's capacity, so it
// is asked first, unless it ends soon.
std::vector<NodeInfo> TurnSettler::RankFor(const Pending& pending) const {
  auto nodes = m_rank_lookup(ClaimPartitionOf(pending.turn.program));
  std::stable_partition(nodes.begin(), nodes.end(),
                        [this, &pending](const NodeInfo& node) {
                          return node.name == pending.coordinator &&
                                 !m_members->Stopping(node.name);
                        });
  if (nodes.size() > kMaxCoordinatorsTried) nodes.resize(kMaxCoordinatorsTried);
  return nodes;
}

void TurnSettler::Send(std::uint64_t number) {
  const Pending& pending = m_pending.at(number);
  const auto     nodes = RankFor(pending);
  if (nodes.empty()) {
    OnResult(number, false);
    return;
  }
  SendTo(nodes[static_cast<std::size_t>(pending.tries) % nodes.size()], number);
}

void TurnSettler::SendTo(const NodeInfo& node, std::uint64_t number) {
  const EndedTurn& turn = m_pending.at(number).turn;
  if (node.name == m_members->self().name) {
    (*m_coordinators)[static_cast<std::size_t>(ClaimPartitionOf(turn.program))]
        .Settle(turn,
                [this, number](bool recorded) { OnResult(number, recorded); });
    return;
  }
  m_network->SendRequest(
      node,
      [&turn](PeerMessage::Builder message) {
        auto settle = message.initSettle();
        settle.setProgram(turn.program);
        settle.setServer(turn.server);
        programs::Write(turn.settlement, settle.initSettlement());
      },
      m_thresholds->reserve_timeout,
      [this, number](std::optional<PeerMessage::Reader> response) {
        OnResult(number,
                 response && response->isSettled() && response->getSettled());
      });
}

void TurnSettler::OnResult(std::uint64_t number, bool recorded) {
  const auto found = m_pending.find(number);
  if (found == m_pending.end()) return;
  Pending&   pending = found->second;
  const bool too_old = m_loop->now() - pending.ended_at > kMaxAge;
  if (recorded || too_old) {
    // A settlement that the first try delivers is not worth a line.
    if (pending.tries > 0) {
      const auto& settlement = pending.turn.settlement;
      m_log->Write(LogEvent::kSettled,
                   {{"program", pending.turn.program},
                    {"coordinator", pending.coordinator},
                    {"number", static_cast<std::int64_t>(settlement.id.number)},
                    {"reserved", settlement.reserved},
                    {"used", settlement.used},
                    {"outcome", recorded ? "recorded" : "given_up"},
                    {"tries", pending.tries + 1},
                    {"took_ms", m_loop->now() - pending.ended_at}});
    }
    m_pending.erase(found);
    return;
  }
  m_loop->After(RetryDelay(pending.tries++), [this, number] { Send(number); });
}

Duration TurnSettler::RetryDelay(int tries) const {
  const Duration delay = m_thresholds->reserve_pause
                         << std::min(tries, kMaxDoublings);
  return std::min(delay, kMaxRetryDelay);
}

}  // namespace yuccawick::gateway

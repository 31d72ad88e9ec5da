#include "yuccawick/gateway/suspect_service.h"

#include <algorithm>
#include <array>
#include <utility>

namespace yuccawick::gateway {
namespace {

using programs::NodeInfo;
using programs::wire::MarkState;
using traffic::RequestKey;
using traffic::SendDecision;
using traffic::SendMark;
using traffic::SendState;
using traffic::SendVerdict;
using traffic::SuspectRequests;

// ms for which a silent server is not asked again.
constexpr Duration kSilenceMemory = 2000;
// ms for which a send may go on after its attempt's deadline, as a node may be
// slow to end it.
constexpr Duration kLateEnd = 1000;
// ms until a node that started is known from the log, or has ended.
constexpr Duration kStartMemory = 30'000;

std::string_view Name(MarkState state) {
  constexpr std::array<std::string_view, 7> kNames{
      "under_way", "unresolved", "ended",  "released",
      "alive",     "answered",   "watched"};
  return kNames[static_cast<std::size_t>(state)];
}

MarkState ToWire(SendState state) {
  switch (state) {
    case SendState::kUnderWay:
      return MarkState::UNDER_WAY;
    case SendState::kEnded:
      return MarkState::ENDED;
    case SendState::kWatched:
      return MarkState::WATCHED;
    case SendState::kLeft:
    case SendState::kUnresolved:
      break;
  }
  return MarkState::UNRESOLVED;
}

}  // namespace

SuspectService::SuspectService(net::EventLoop*   loop,
                               const Thresholds* thresholds, Backends* backends,
                               ServerProbes*               probes,
                               const programs::Membership* members,
                               PeerNetwork*                network,
                               DurableMarks* durable_marks, Log* log,
                               Metrics* metrics)
    : m_loop(loop),
      m_thresholds(thresholds),
      m_backends(backends),
      m_probes(probes),
      m_members(members),
      m_network(network),
      m_durable_marks(durable_marks),
      m_log(log),
      m_metrics(metrics),
      m_requests(thresholds->suspect_memory) {
  m_requests.SetComplete(false);
  m_backends->SetIdleLostCallback(
      [this](const std::string& server) { AskIfMarked(server); });
  m_backends->SetServerChangeCallback(
      [this](const std::string& server, Backends::ServerChange change) {
        OnServerChange(server, change);
      });
}

// Decisions ------------------------------------------------------------------

std::vector<std::string> SuspectService::UsableServers(
    const std::string& service) const {
  auto servers = m_backends->ReadyServers(service);
  std::erase_if(servers,
                [this](const auto& id) { return m_gone.contains(id); });
  return servers;
}

SendDecision SuspectService::Judge(const PendingCheck& check) const {
  return m_requests.Judge(check.key, check.is_shared,
                          UsableServers(check.service), m_loop->now());
}

void SuspectService::Check(const RequestKey& key, bool is_shared,
                           const std::string& service, CheckDone done) {
  if (m_requests.Find(key) == nullptr) {
    done({});
    return;
  }
  PendingCheck check{key, is_shared, service,
                     m_loop->now() + m_thresholds->probe_wait, std::move(done)};
  if (TryDecide(check)) return;
  AskServersOf(key);
  m_pending.push_back(std::move(check));
  m_loop->After(m_thresholds->probe_wait, [this] { DecidePending(); });
}

bool SuspectService::TryDecide(const PendingCheck& check) {
  SendDecision decision = Judge(check);
  if (decision.verdict == SendVerdict::kResolve) {
    if (m_loop->now() < check.give_up_at && MayChange(check)) return false;
    decision.verdict = SendVerdict::kRefuse;
  }
  check.done(decision);
  return true;
}

bool SuspectService::MayChange(const PendingCheck& check) const {
  if (!check.is_shared && HasSendUnderWay(check.key)) return true;
  const auto servers = UnresolvedServers(check.key);
  return std::any_of(
      servers.begin(), servers.end(), [this](const std::string& server) {
        return m_probes->IsProbing(server) || !WasSilentLately(server);
      });
}

bool SuspectService::WasSilentLately(const std::string& server) const {
  const auto gone = m_gone.find(server);
  return gone != m_gone.end() &&
         m_loop->now() - gone->second.probed_at < kSilenceMemory;
}

void SuspectService::DecidePending() {
  for (auto checks = std::exchange(m_pending, {}); !checks.empty();) {
    if (!TryDecide(checks.front())) {
      m_pending.splice(m_pending.end(), checks, checks.begin());
    } else {
      checks.pop_front();
    }
  }
}

std::vector<std::string> SuspectService::UnresolvedServers(
    const RequestKey& key) const {
  std::vector<std::string> servers;
  const auto*              marks = m_requests.Find(key);
  if (marks == nullptr) return servers;
  for (const auto& [server, mark] : *marks) {
    if (mark.state == SendState::kUnresolved) servers.push_back(server);
  }
  return servers;
}

bool SuspectService::HasSendUnderWay(const RequestKey& key) const {
  const auto* marks = m_requests.Find(key);
  return marks != nullptr &&
         std::any_of(marks->begin(), marks->end(), [](const auto& entry) {
           return entry.second.state == SendState::kUnderWay;
         });
}

void SuspectService::AskServersOf(const RequestKey& key) {
  for (const std::string& server : UnresolvedServers(key)) {
    if (!WasSilentLately(server) && !m_probes->IsProbing(server)) Ask(server);
  }
}

bool SuspectService::IsTold(const RequestKey& key) const {
  const auto* marks = m_requests.Find(key);
  return marks != nullptr &&
         std::any_of(marks->begin(), marks->end(),
                     [](const auto& entry) { return entry.second.told; });
}

std::vector<std::string> SuspectService::ServersToAvoid(
    const RequestKey& key) const {
  const Time               now = m_loop->now();
  std::vector<std::string> servers;
  if (m_requests.IsSuspect(key, now))
    servers = m_requests.ServersOfOthers(key, now);
  for (const auto& [server, gone] : m_gone) {
    if (now - gone.probed_at < m_thresholds->failure_memory)
      servers.push_back(server);
  }
  return servers;
}

// Sends of this node ---------------------------------------------------------

void SuspectService::OnSending(const RequestKey& key, const std::string& server,
                               Duration left) {
  const Time now = m_loop->now();
  if (!m_requests.IsSuspect(key, now)) return;
  const Time end = now + left + kLateEnd;
  m_requests.Put(key, server, {SendState::kUnderWay, end}, now);
  if (IsTold(key)) TellUntold({key});
}

bool SuspectService::WasGone(const std::string& server, Time sent_at) const {
  const auto gone = m_gone.find(server);
  return gone != m_gone.end() && gone->second.since < sent_at;
}

void SuspectService::OnBroken(const RequestKey& key, const std::string& server,
                              Time sent_at) {
  const Time now = m_loop->now();
  // A server that was only silent may have run until now.
  const bool had_ended = HasEnded(server) && WasGone(server, sent_at);
  if (had_ended || m_backends->IsLeaving(server)) {
    OnReleased(key, server);
    return;
  }
  m_requests.Put(key, server,
                 {SendState::kUnresolved, now + m_thresholds->end_watch}, now);
  Ask(server);
}

void SuspectService::OnLeft(const RequestKey& key, bool is_shared,
                            const std::string& server, Time sent_at) {
  const Time now = m_loop->now();
  if (WasGone(server, sent_at) || m_backends->IsLeaving(server)) {
    OnReleased(key, server);
    return;
  }
  const bool heard = m_backends->LastHeard(server) >= sent_at;
  const bool doubtful = !heard && now - sent_at >= m_thresholds->doubt_after;
  if (!doubtful) OnReleased(key, server);
  const SendState state = doubtful    ? SendState::kUnresolved
                          : is_shared ? SendState::kLeft
                                      : SendState::kWatched;
  m_requests.Put(key, server, {state, now + m_thresholds->end_watch}, now);
  // The client may be at another node soon.
  TellUntold({key});
  if (!heard) Ask(server);
}

void SuspectService::OnReleased(const RequestKey&  key,
                                const std::string& server) {
  const auto* marks = m_requests.Find(key);
  if (marks == nullptr) return;
  const auto mark = marks->find(server);
  if (mark == marks->end() || mark->second.state != SendState::kUnderWay)
    return;
  const bool told = mark->second.told;
  m_requests.Withdraw(key, server);
  if (told) Tell({{key, server, MarkState::RELEASED}});
  DecidePending();
}

void SuspectService::OnAnswered(const RequestKey& key, bool is_shared,
                                const std::string& server) {
  if (!is_shared) {
    OnReleased(key, server);
    return;
  }
  const bool told = IsTold(key);
  m_requests.SetAnswered(key, m_loop->now());
  if (told) Tell({{key, {}, MarkState::ANSWERED}});
}

void SuspectService::OnServerAnswered(const std::string& server, Time sent_at) {
  if (m_requests.HasMarks(server) || m_gone.contains(server))
    OnAlive(server, sent_at - 1);
}

void SuspectService::WhenKnown(const std::string&    server,
                               std::function<void()> done) {
  if (m_probes->IsProbing(server)) {
    m_waiting[server].push_back(std::move(done));
  } else {
    m_durable_marks->WhenSaved(server, std::move(done));
  }
}

// Servers --------------------------------------------------------------------

void SuspectService::Ask(const std::string& server) {
  m_asked_at[server] = m_loop->now();
  m_probes->Probe(
      server, [this, server, asked_at = m_loop->now()](ProbeOutcome outcome) {
        OnProbed(server, asked_at, outcome);
      });
}

bool SuspectService::HasToResolve(const std::string& server) const {
  if (m_requests.HasOwnMarks(server)) return true;
  return m_requests.HasMarks(server) && RanksFirst(server);
}

void SuspectService::AskIfMarked(const std::string& server) {
  if (m_probes->IsProbing(server) || !HasToResolve(server)) return;
  const auto     asked = m_asked_at.find(server);
  const Duration wait =
      asked == m_asked_at.end()
          ? 0
          : asked->second + m_thresholds->probe_pause - m_loop->now();
  if (wait <= 0) {
    Ask(server);
    return;
  }
  if (!m_asking_later.insert(server).second) return;
  m_loop->After(wait, [this, server] {
    m_asking_later.erase(server);
    AskIfMarked(server);
  });
}

void SuspectService::OnServerChange(const std::string&     server,
                                    Backends::ServerChange change) {
  if (!m_requests.HasMarks(server)) return;
  switch (change) {
    case Backends::ServerChange::kLeaving:
      m_requests.OnLeaving(server);
      break;
    case Backends::ServerChange::kUnlisted:
      AskIfMarked(server);
      break;
    case Backends::ServerChange::kReplaced:
      OnEnded(server);
      break;
  }
  DecidePending();
}

bool SuspectService::HasEnded(const std::string& server) const {
  const auto gone = m_gone.find(server);
  return gone != m_gone.end() && gone->second.ended;
}

void SuspectService::OnProbed(const std::string& server, Time asked_at,
                              ProbeOutcome outcome) {
  switch (outcome) {
    case ProbeOutcome::kAnswered:
      OnAlive(server, asked_at);
      break;
    case ProbeOutcome::kEnded:
      OnEnded(server);
      break;
    case ProbeOutcome::kSilent:
      OnSilent(server);
      break;
  }
  auto waiting = m_waiting.extract(server);
  if (!waiting.empty()) {
    for (const auto& done : waiting.mapped())
      m_durable_marks->WhenSaved(server, done);
  }
  DecidePending();
}

void SuspectService::OnAlive(const std::string& server, Time sent_at) {
  m_gone.erase(server);
  std::vector<Told> told;
  for (const RequestKey& key : m_requests.OnRan(server, sent_at)) {
    told.push_back({key, server, MarkState::ALIVE});
    WriteLog(told.back(), {});
  }
  Tell(told);
  // Those whose server turned out to run are told now.
  TellUntold(m_requests.Under(server));
}

void SuspectService::SetGone(const std::string& server, bool ended) {
  const Time now = m_loop->now();
  Gone&      gone = m_gone.try_emplace(server, Gone{now, now}).first->second;
  gone.probed_at = now;
  gone.ended = gone.ended || ended;
}

void SuspectService::OnEnded(const std::string& server) {
  SetGone(server, true);
  TellUntold(m_requests.MarkEnded(server, m_loop->now()));
}

void SuspectService::OnSilent(const std::string& server) {
  SetGone(server, false);
  TellUntold(m_requests.MarkSilent(server, m_loop->now()));
}

// Other nodes ----------------------------------------------------------------

std::vector<SuspectService::Told> SuspectService::Untold(
    const RequestKey& key) {
  std::vector<Told> told;
  const auto*       marks = m_requests.Find(key);
  if (marks == nullptr) return told;
  for (const auto& [server, mark] : *marks) {
    if (mark.told || mark.state == SendState::kLeft) continue;
    told.push_back({key, server, ToWire(mark.state),
                    std::max<Duration>(0, mark.until - m_loop->now())});
  }
  m_requests.SetTold(key);
  return told;
}

void SuspectService::TellUntold(const std::vector<RequestKey>& keys) {
  std::vector<Told> all;
  for (const RequestKey& key : keys) {
    const auto untold = Untold(key);
    if (!untold.empty()) SaveMarks(key);
    for (const Told& told : untold) {
      WriteLog(told, {});
      if (told.state == MarkState::ENDED) m_metrics->CountServerEnd();
      all.push_back(told);
    }
  }
  Tell(all);
}

void SuspectService::SaveMarks(const RequestKey& key) {
  const auto* marks = m_requests.Find(key);
  if (marks == nullptr) return;
  const bool has_several = m_requests.CountOpenAndEnded(key) > 1;
  for (const auto& [server, mark] : *marks) {
    const bool ended = mark.state == SendState::kEnded;
    if (ended || (has_several && SuspectRequests::IsOpen(mark))) {
      m_durable_marks->Save({key, server, ended});
    } else if (SuspectRequests::IsOpen(mark)) {
      // Frequent where servers are in trouble; most of them go on.
      m_durable_marks->SaveOptional({key, server, ended});
    }
  }
}

void SuspectService::SaveMarksOfOthers() {
  for (const RequestKey& key : m_requests.TellableRequests()) {
    const bool has_several = m_requests.CountOpenAndEnded(key) > 1;
    for (const auto& [server, mark] : *m_requests.Find(key)) {
      const bool ended = mark.state == SendState::kEnded;
      if (!ended && !(has_several && SuspectRequests::IsOpen(mark))) continue;
      const programs::KeptMark kept{key, server, ended};
      if (!m_durable_marks->WasWritten(kept) && RanksFirst(traffic::Text(key)))
        m_durable_marks->Save(kept);
    }
  }
}

bool SuspectService::RanksFirst(const std::string& key) const {
  const auto nodes = m_members->RankCoordinators(key);
  return !nodes.empty() && nodes.front().name == m_members->self().name;
}

void SuspectService::TakeHistory(const platform::LogRecord& record) {
  const auto change = m_durable_marks->Take(record);
  if (!change) return;
  const auto& [key, server, ended] = change->mark;
  if (change->removed) {
    // An end is forgotten after `suspect_memory`, by each node for itself.
    if (!ended) m_requests.WithdrawRemote(key, server);
    // The record may have been that of another send to the same server.
    SaveMarks(key);
    return;
  }
  const auto* marks = m_requests.Find(key);
  const bool  is_new = marks == nullptr || !marks->contains(server);
  if (!ended && !is_new) return;
  Receive({key, server, ended ? MarkState::ENDED : MarkState::UNRESOLVED,
           ended ? 0 : m_thresholds->end_watch});
}

std::vector<NodeInfo> SuspectService::OtherNodes() {
  std::erase_if(m_started, [this](const auto& entry) {
    const StartedNode& started = entry.second;
    const NodeInfo*    known = m_members->Find(entry.first);
    return m_loop->now() - started.asked_at >= kStartMemory ||
           (known != nullptr && known->incarnation == started.node.incarnation);
  });
  auto nodes = m_members->Others();
  std::erase_if(nodes, [this](const NodeInfo& node) {
    return m_started.contains(node.name);
  });
  for (const auto& [name, started] : m_started) nodes.push_back(started.node);
  return nodes;
}

void SuspectService::Tell(const std::vector<Told>& told) {
  if (told.empty()) return;
  for (const NodeInfo& node : OtherNodes()) {
    m_network->SendOneWay(
        node, [&told](PeerMessage::Builder message) { Write(told, message); });
  }
}

std::vector<SuspectService::Told> SuspectService::AllTold() const {
  std::vector<Told> all;
  for (const RequestKey& key : m_requests.TellableRequests()) {
    for (const auto& [server, mark] : *m_requests.Find(key)) {
      if (mark.state == SendState::kLeft) continue;
      all.push_back({key, server, ToWire(mark.state),
                     std::max<Duration>(0, mark.until - m_loop->now())});
    }
  }
  return all;
}

void SuspectService::TellNode(const NodeInfo& node) {
  const auto all = AllTold();
  if (all.empty()) return;
  m_network->SendOneWay(
      node, [&all](PeerMessage::Builder message) { Write(all, message); });
}

void SuspectService::OnNodeFound(const NodeInfo& node) {
  m_network->SendOneWay(node, [this](PeerMessage::Builder message) {
    const NodeInfo& self = m_members->self();
    auto            wire = message.initTellMarks();
    wire.setIncarnation(self.incarnation);
    wire.setAddress(self.address.Text());
    wire.setZone(self.zone);
  });
}

void SuspectService::ServeTellMarks(const std::string&        node,
                                    PeerMessage::Reader       message,
                                    const PeerNetwork::Reply& reply) {
  const auto wire = message.getTellMarks();
  const auto address = net::ParseEndpoint(wire.getAddress().cStr());
  if (node.empty() || !address) return;
  m_started[node] = {
      {node, wire.getIncarnation().cStr(), *address, wire.getZone().cStr()},
      m_loop->now()};
  const auto all = AllTold();
  if (all.empty()) return;
  reply([&all](PeerMessage::Builder response) { Write(all, response); });
}

void SuspectService::Write(const std::vector<Told>& told,
                           PeerMessage::Builder     message) {
  auto     list = message.initRequestMarks(static_cast<unsigned>(told.size()));
  unsigned i = 0;
  for (const Told& each : told) {
    auto mark = list[i++];
    auto key = mark.initKey();
    key.setHigh(each.key.high);
    key.setLow(each.key.low);
    mark.setServer(each.server);
    mark.setState(each.state);
    mark.setLeftMs(static_cast<std::uint32_t>(each.left));
  }
}

void SuspectService::ReceiveMarks(const std::string&  node,
                                  PeerMessage::Reader message) {
  for (const auto mark : message.getRequestMarks()) {
    const Told told{{mark.getKey().getHigh(), mark.getKey().getLow()},
                    mark.getServer().cStr(),
                    mark.getState(),
                    mark.getLeftMs()};
    if (told.state == MarkState::ENDED || told.state == MarkState::UNRESOLVED)
      WriteLog(told, node);
    Receive(told);
  }
  DecidePending();
}

void SuspectService::Receive(const Told& told) {
  const Time now = m_loop->now();
  const auto put = [&](SendState state) {
    SendMark mark{state, now + told.left};
    mark.told = true;
    mark.remote = true;
    m_requests.Put(told.key, told.server, mark, now);
  };
  switch (told.state) {
    case MarkState::UNDER_WAY:
      put(SendState::kUnderWay);
      break;
    case MarkState::UNRESOLVED:
      put(SendState::kUnresolved);
      break;
    case MarkState::WATCHED:
      put(SendState::kWatched);
      break;
    case MarkState::ENDED:
      put(SendState::kEnded);
      SetGone(told.server, true);
      // Requests of this node may have been under the server too.
      TellUntold(m_requests.MarkEnded(told.server, now));
      break;
    case MarkState::RELEASED:
      if (const auto* marks = m_requests.Find(told.key)) {
        const auto mark = marks->find(told.server);
        if (mark != marks->end() && mark->second.state == SendState::kUnderWay)
          m_requests.Withdraw(told.key, told.server);
      }
      break;
    case MarkState::ALIVE:
      m_requests.WithdrawRemote(told.key, told.server);
      m_gone.erase(told.server);
      break;
    case MarkState::ANSWERED:
      m_requests.SetAnswered(told.key, now);
      break;
  }
}

void SuspectService::WriteLog(const Told& told, std::string_view node) const {
  m_log->Write(LogEvent::kSuspect, {{"request_key", traffic::Text(told.key)},
                                    {"server", told.server},
                                    {"state", Name(told.state)},
                                    {"ends", m_requests.CountEnds(told.key)},
                                    {"told_by", node}});
}

void SuspectService::Sweep() {
  const Time now = m_loop->now();
  m_requests.DropExpired(now);
  // Other traffic may show until then that they run.
  for (const std::string& server :
       m_requests.ServersToAsk(now - m_thresholds->doubt_after)) {
    if (m_backends->IsListed(server) && !WasSilentLately(server))
      AskIfMarked(server);
  }
  SaveMarksOfOthers();
  m_durable_marks->Sweep([this](const RequestKey& key, const auto& server) {
    const auto* marks = m_requests.Find(key);
    return marks != nullptr && marks->contains(server);
  });
  std::erase_if(m_asked_at, [&](const auto& entry) {
    return now - entry.second >= m_thresholds->probe_pause;
  });
  std::erase_if(m_gone, [&](const auto& entry) {
    return now - entry.second.probed_at >= m_thresholds->suspect_memory;
  });
  m_metrics->Set(Gauge::kSuspects, static_cast<double>(m_requests.size()));
}

}  // namespace yuccawick::gateway

#include "yuccawick/gateway/gateway.h"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "yuccawick/programs/record.h"

namespace yuccawick::gateway {
namespace {

constexpr Duration      kTick = 500;          // ms between sweeps
constexpr Duration      kMemoryTick = 50;     // ms; most of a body comes in it
constexpr Duration      kLogUsePause = 2000;  // ms between two lines of it
constexpr Duration      kStopCheck = 50;      // ms
constexpr Duration      kLastCalls = 100;  // ms for the last appends to go out
constexpr Duration      kAnnounceRetry = 200;  // ms
constexpr std::uint16_t kMetricsPort = 9464;   // the usual one of exporters
// What clients may send until a manifest says.
constexpr traffic::ClientLimits kFirstLimits{16UL * 1024, 1UL << 20, 3000,
                                             15'000};

std::vector<TokenCoordinator> MakeDesks(net::EventLoop*      loop,
                                        const Thresholds*    thresholds,
                                        platform::RecordLog* store, Log* log,
                                        const std::string& incarnation,
                                        AdmissionService*  room) {
  std::vector<TokenCoordinator> desks;
  desks.reserve(kClaimPartitions);  // desks hand out pointers to themselves
  for (int i = 0; i < kClaimPartitions; ++i) {
    desks.emplace_back(loop, thresholds, store, log, incarnation, i, room);
  }
  return desks;
}

std::vector<RateCoordinator> MakeRateDesks(
    net::EventLoop* loop, const Thresholds* thresholds,
    platform::RecordLog* store, Log* log, const std::string& incarnation,
    const workspaces::RateLedger::LimitLookup& limit_of,
    const workspaces::RateWindow&              window) {
  std::vector<RateCoordinator> desks;
  desks.reserve(kRatePartitions);  // desks hand out pointers to themselves
  for (int i = 0; i < kRatePartitions; ++i) {
    desks.emplace_back(loop, thresholds, store, log, incarnation, i, limit_of,
                       window);
  }
  return desks;
}

std::uint32_t CapacityOf(const platform::Settings& settings) {
  constexpr double kThousandths = 1000.0;
  return static_cast<std::uint32_t>(
      std::max(1.0, settings.cores * kThousandths));
}

}  // namespace

Gateway::Gateway(net::EventLoop* loop, const Thresholds* thresholds,
                 const platform::Settings& settings, Log* log, Metrics* metrics,
                 const std::string& incarnation)
    : m_loop(loop),
      m_thresholds(thresholds),
      m_settings(settings),
      m_log(log),
      m_metrics(metrics),
      m_started(loop->now()),
      m_store(loop, settings.store,
              [metrics](const platform::CallReport& call) {
                metrics->CountStoreCall(call);
              }),
      m_memory(std::make_shared<pressure::MemoryBudget>(thresholds->memory,
                                                        settings.memory_bytes)),
      m_held_turns(m_memory, pressure::MemoryKind::kTurns),
      m_backends(loop, thresholds, settings.zone,
                 traffic::MakePlacement(traffic::PlacementKind::kSoonestEnd,
                                        thresholds->placement),
                 m_memory),
      m_turns(loop, thresholds, &m_store, log, metrics, incarnation),
      m_begin_share(thresholds->fairness,
                    [this](const std::string& workspace) {
                      return PriorityOf(workspace);
                    }),
      m_room(loop, &thresholds->admission, &m_begin_share, log, metrics,
             [this](const std::string& service) { return RoomOf(service); }),
      m_desks(MakeDesks(loop, thresholds, &m_store, log, incarnation, &m_room)),
      m_key_lease(settings.key_bound),
      m_members({settings.node,
                 incarnation,
                 {settings.address, settings.inner_ports.front()},
                 settings.zone,
                 CapacityOf(settings)}),
      m_rate_desks(MakeRateDesks(
          loop, thresholds, &m_store, log, incarnation,
          [this](const std::string& workspace) { return LimitOf(workspace); },
          settings.rate_window)),
      m_network(loop, thresholds, &m_members, log),
      m_limiter(loop, thresholds, m_members.self(), &m_network, &m_rate_desks,
                [this](const std::string& key) {
                  return m_peers.RankCoordinators(key);
                }),
      m_gate(loop, thresholds->concurrency_limit),
      m_peers(loop, thresholds, &m_members, &m_network, &m_desks, &m_limiter,
              &m_turns, &m_backends, &m_room),
      m_readiness(loop, [this](std::string_view) { return AnswerReadiness(); }),
      m_metrics_server(loop, [metrics](std::string_view) {
        return SmallAnswer{200, metrics->Text()};
      }) {}

Gateway::~Gateway() { StopListening(); }

bool Gateway::Listen() {
  m_listener = net::Listen(m_settings.clients);
  if (m_listener < 0) return false;
  m_loop->Watch(m_listener, this, true, false);
  if (!m_readiness.Listen(m_settings.readiness)) return false;
  if (!m_metrics_server.Listen({m_settings.address, kMetricsPort})) {
    m_log->Write(LogEvent::kFault, {{"what", "no address for metrics"}});
  }
  if (!m_network.Listen(m_members.self().address)) return false;
  Announce();
  Tick();
  WatchMemory();
  TellNews();
  return true;
}

void Gateway::Announce() {
  m_store.Put(platform::Topic::kNodes, m_settings.node,
              programs::EncodeNode(m_members.self()), m_thresholds->log_timeout,
              [this](const platform::StoreResult<platform::Appended>& result) {
                if (result || m_stopping) return;
                m_loop->After(kAnnounceRetry, [this] { Announce(); });
              });
}

void Gateway::TakeNode(const std::string&                       name,
                       const std::optional<programs::NodeInfo>& node) {
  if (name == m_settings.node) {
    // A late call of an earlier start took the entry back, or put its own
    // there.
    const bool mine = node && node->incarnation == m_members.self().incarnation;
    if (!mine && !m_stopping) Announce();
  } else if (node) {
    m_members.Put(*node);
  } else {
    m_members.Remove(name);
  }
}

void Gateway::TellNews() {
  m_peers.SendReports();
  m_gate.Sweep();
  m_loop->After(m_thresholds->news_pause, [this] { TellNews(); });
}

void Gateway::TakeManifest(const traffic::ManifestPtr& manifest) {
  m_routes = std::make_shared<traffic::RouteTable>(manifest);
  Duration longest = 0;
  for (const traffic::Route& route : manifest->routes) {
    if (route.keeps_turns) longest = std::max(longest, route.retention);
  }
  if (longest > 0) m_turns.reader().SetRetention(longest);
}

void Gateway::TakeServers(const traffic::ServerListPtr& servers) {
  m_servers_known = true;
  m_backends.Update(servers);
}

capacity::ServiceCapacity Gateway::RoomOf(const std::string& service) const {
  if (m_routes == nullptr) return {};
  const auto* found = m_routes->manifest()->FindService(service);
  if (found == nullptr || !found->engine) return {};
  return m_backends.ComputeCapacity(service, *found->engine);
}

std::optional<workspaces::RateLimit> Gateway::LimitOf(
    const std::string& workspace) const {
  if (m_routes == nullptr || !m_routes->manifest()->workspaces) {
    return std::nullopt;
  }
  const auto* found = m_routes->manifest()->workspaces->Find(workspace);
  return found == nullptr ? std::nullopt : found->limit;
}

int Gateway::PriorityOf(const std::string& workspace) const {
  if (m_routes == nullptr || !m_routes->manifest()->workspaces) return 0;
  const auto* found = m_routes->manifest()->workspaces->Find(workspace);
  return found == nullptr ? 0 : found->priority.value_or(0);
}

traffic::ClientLimits Gateway::Limits() const {
  return m_routes == nullptr ? kFirstLimits : m_routes->manifest()->limits;
}

bool Gateway::Ready() const {
  return m_routes != nullptr && m_servers_known && !m_stopping &&
         !OthersServeBetter() && !MemoryIsShort();
}

bool Gateway::OthersServeBetter() const {
  const bool fresh = m_routes == nullptr || !m_routes->manifest()->workspaces ||
                     !m_key_lease.IsOld(m_loop->now());
  return m_peers.IsIsolated() || (!fresh && m_peers.OthersReachLog());
}

SmallAnswer Gateway::AnswerReadiness() const {
  return {Ready() ? 200 : 503, Ready() ? "ready\n" : "not ready\n"};
}

void Gateway::OnReadable() {
  const auto silence = static_cast<int>(m_thresholds->client_silence);
  for (int fd = net::Accept(m_listener, silence); fd >= 0;
       fd = net::Accept(m_listener, silence)) {
    m_accepted_at = m_loop->now();
    const GatewayParts parts{m_loop,    m_thresholds, &m_backends, &m_turns,
                             &m_peers,  m_log,        m_metrics,   m_started,
                             &m_routes, &m_key_lease, &m_limiter,  &m_gate,
                             m_memory};
    auto connection = std::make_unique<ClientConnection>(parts, this, fd);
    ClientConnection* raw = connection.get();
    m_clients.emplace(raw, std::move(connection));
  }
}

void Gateway::Forget(ClientConnection* connection) {
  auto node = m_clients.extract(connection);
  if (node.empty()) return;
  // Destroyed later: the connection is on the call stack.
  const std::shared_ptr<ClientConnection> dying = std::move(node.mapped());
  m_loop->Defer([dying] {});
}

void Gateway::WatchMemory() {
  if (!m_memory->bounded()) return;
  auto& history = m_turns.history();
  if (const auto left = m_memory->TurnBytesTarget(history.bytes())) {
    const auto before = history.size();
    history.Shrink(*left);
    m_log->Write(LogEvent::kPressure,
                 {{"turns_dropped", before - history.size()},
                  {"turns_left", history.size()},
                  {"turn_bytes", history.bytes()}});
  }
  m_held_turns.Set(history.bytes());
  if (m_memory->Update(m_loop->now())) {
    const auto held = [this](pressure::MemoryKind kind) {
      return m_memory->used(kind);
    };
    m_log->Write(LogEvent::kPressure,
                 {{"level", Name(m_memory->level())},
                  {"held", m_memory->total()},
                  {"bound", m_memory->bound()},
                  {"requests", held(pressure::MemoryKind::kRequests)},
                  {"to_clients", held(pressure::MemoryKind::kToClients)},
                  {"to_servers", held(pressure::MemoryKind::kToServers)},
                  {"turns", held(pressure::MemoryKind::kTurns)},
                  {"connections", m_clients.size()}});
  }
  if (m_memory->level() == pressure::PressureLevel::kFull) DropStalledReaders();
  m_loop->After(kMemoryTick, [this] { WatchMemory(); });
}

void Gateway::DropStalledReaders() {
  std::vector<ClientConnection*>      clients;
  std::vector<pressure::ClientBuffer> readers;
  for (const auto& [raw, owned] : m_clients) {
    clients.push_back(raw);
    readers.push_back(raw->buffer());
  }
  while (m_memory->IsFull()) {
    const auto drop =
        ChooseClientToDrop(readers, m_thresholds->memory.full_stall_timeout);
    if (drop == pressure::kNoClient) return;
    m_log->Write(LogEvent::kPressure, {{"reader", "let_go"},
                                       {"waiting", readers[drop].waiting},
                                       {"stalled_ms", readers[drop].stalled}});
    m_metrics->CountClientDropped();
    readers[drop] = {};
    clients[drop]->DropClient();
  }
}

void Gateway::Tick() {
  m_backends.Sweep();
  m_turns.Sweep();
  for (TokenCoordinator& desk : m_desks) desk.Sweep();
  m_limiter.Sweep(m_routes != nullptr &&
                  m_routes->manifest()->workspaces.has_value());
  m_metrics->Set(Gauge::kConnections, static_cast<double>(m_clients.size()));
  m_metrics->Set(Gauge::kTurns, static_cast<double>(m_turns.history().size()));
  m_metrics->Set(Gauge::kServers, static_cast<double>(m_backends.servers()));
  m_metrics->SetMemory(*m_memory);
  if (OthersServeBetter()) CloseIdle();
  WritePaces();
  WriteLogUse();
  m_log->Flush();
  m_loop->After(kTick, [this] { Tick(); });
}

void Gateway::WriteShares() {
  constexpr std::size_t kMost = 3;
  const auto percent = [](double part) { return std::lround(100.0 * part); };
  for (const auto& user : m_begin_share.TopWorkspaces(kMost)) {
    if (user.margin <= 0) continue;
    m_log->Write(LogEvent::kShare, {{"workspace", user.workspace},
                                    {"part_percent", percent(user.part)},
                                    {"leaves_percent", percent(user.margin)}});
  }
}

void Gateway::WritePaces() {
  constexpr double kPercent = 100.0;
  m_metrics->Set(Gauge::kSlowServers,
                 static_cast<double>(m_backends.slow_servers()));
  for (const Backends::SlowdownChange& change :
       m_backends.TakeSlowdownChanges()) {
    m_log->Write(
        LogEvent::kPace,
        {{"server", change.server},
         {"service", change.service},
         {"now", change.slow ? "slow" : "fast_again"},
         {"pace_pct", static_cast<int>(change.lasting.factor * kPercent)},
         {"samples", static_cast<int>(change.lasting.samples)}});
  }
}

// Of the whole process, the control thread included.
void Gateway::WriteLogUse() {
  if (m_loop->now() - m_use_written_at < kLogUsePause) return;
  m_use_written_at = m_loop->now();
  for (RateCoordinator& desk : m_rate_desks) desk.LogRefusals();
  m_room.WriteUsageLines();
  WriteShares();
  for (const Metrics::LogUsage& use : m_metrics->TakeLogUsage()) {
    m_log->Write(LogEvent::kLogUse, {{"topic", Name(use.topic)},
                                     {"call", Name(use.kind)},
                                     {"calls", use.calls},
                                     {"unanswered", use.unanswered},
                                     {"bytes", use.bytes}});
  }
}

void Gateway::Stop() {
  if (m_stopping) return;
  m_stopping = true;
  m_stop_due =
      m_loop->now() + m_settings.stop_limit - m_thresholds->stop_margin;
  m_log->Write(LogEvent::kStopping, {{"connections", m_clients.size()}});
  m_loop->After(m_thresholds->balancer_lag, [this] {
    m_closing = true;
    CloseIdle();
    FinishWhenIdle();
  });
}

void Gateway::StopListening() {
  if (m_listener < 0) return;
  m_loop->Forget(m_listener);
  close(m_listener);
  m_listener = -1;
}

void Gateway::CloseIdle() {
  std::vector<ClientConnection*> all;
  for (const auto& [raw, owned] : m_clients) all.push_back(raw);
  for (ClientConnection* connection : all) connection->CloseIfIdle();
}

void Gateway::FinishWhenIdle() {
  // The balancer may go on sending clients, if many nodes of the zone are away.
  // Whoever connected before the end is still served: a connection that was
  // accepted and then dropped is a lost request.
  const bool quiet = m_loop->now() - m_accepted_at >= m_thresholds->stop_quiet;
  if (quiet || m_loop->now() >= m_stop_due - m_thresholds->last_requests)
    StopListening();
  CloseIdle();
  const bool served =
      m_listener < 0 && m_clients.empty() && m_turns.pending_persists() == 0;
  if (served || m_loop->now() >= m_stop_due) {
    m_log->Write(LogEvent::kStopped,
                 {{"connections_cut", m_clients.size()},
                  {"turns_not_durable", m_turns.pending_persists()}});
    for (TokenCoordinator& desk : m_desks) desk.ReleaseAllUnused();
    m_store.Put(platform::Topic::kNodes, m_settings.node, std::nullopt,
                m_thresholds->log_timeout,
                [](const platform::StoreResult<platform::Appended>&) {});
    m_loop->After(kLastCalls, [this] { m_loop->Stop(); });
    return;
  }
  m_loop->After(kStopCheck, [this] { FinishWhenIdle(); });
}

}  // namespace yuccawick::gateway

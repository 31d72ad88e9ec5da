#include "yuccawick/gateway/gateway.h"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "yuccawick/pressure/connection_limit.h"
#include "yuccawick/programs/record.h"

namespace yuccawick::gateway {
namespace {

constexpr Duration              kSweepInterval = 500;       // ms
constexpr Duration              kMemoryCheckInterval = 50;  // ms
constexpr Duration              kLogUsageInterval = 2000;   // ms
constexpr Duration              kStopCheckInterval = 50;    // ms
// ms for the last appends to be sent before the loop stops.
constexpr Duration              kFinalAppendTime = 100;
constexpr Duration              kAnnounceRetryDelay = 200;  // ms
constexpr std::uint16_t         kMetricsPort = 9464;
// Client limits until the first manifest arrives.
constexpr traffic::ClientLimits kDefaultClientLimits{16UL * 1024, 1UL << 20,
                                                     3000, 15'000};

std::vector<TokenCoordinator> MakeTokenCoordinators(
    net::EventLoop* loop, const Thresholds* thresholds,
    platform::RecordLog* store, Log* log, const std::string& incarnation,
    const programs::TokenLedger::SenderCheck& sender_runs,
    AdmissionService*                         admission_service) {
  std::vector<TokenCoordinator> coordinators;
  coordinators.reserve(kClaimPartitions);  // elements must not be moved
  for (int i = 0; i < kClaimPartitions; ++i) {
    coordinators.emplace_back(loop, thresholds, store, log, incarnation, i,
                              sender_runs, admission_service);
  }
  return coordinators;
}

std::vector<RateCoordinator> MakeRateCoordinators(
    net::EventLoop* loop, const Thresholds* thresholds,
    platform::RecordLog* store, Log* log, const std::string& incarnation,
    const workspaces::RateLedger::LimitLookup& rate_limits,
    const workspaces::RateWindow&              window) {
  std::vector<RateCoordinator> coordinators;
  coordinators.reserve(kRatePartitions);  // elements must not be moved
  for (int i = 0; i < kRatePartitions; ++i) {
    coordinators.emplace_back(loop, thresholds, store, log, incarnation, i,
                              rate_limits, window);
  }
  return coordinators;
}

std::uint32_t MillicoresFor(const platform::Settings& settings) {
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
      m_turn_charge(m_memory, pressure::MemoryKind::kTurns),
      m_backends(loop, thresholds, settings.zone,
                 traffic::MakePlacement(traffic::PlacementKind::kSoonestEnd,
                                        thresholds->placement),
                 m_memory),
      m_probes(loop, thresholds, &m_backends, log, metrics),
      m_turns(loop, thresholds, &m_store, log, metrics, incarnation),
      m_fairness(thresholds->fairness,
                 [this](const std::string& workspace) {
                   return PriorityFor(workspace);
                 }),
      m_admission(
          loop, &thresholds->admission, &m_fairness, log, metrics,
          [this](const std::string& service) { return CapacityFor(service); }),
      m_token_coordinators(MakeTokenCoordinators(
          loop, thresholds, &m_store, log, incarnation,
          [this](const std::string& sender) { return m_members.Runs(sender); },
          &m_admission)),
      m_key_lease(settings.key_bound),
      m_members({settings.node,
                 incarnation,
                 {settings.address, settings.inner_ports.front()},
                 settings.zone,
                 MillicoresFor(settings),
                 true}),
      m_rate_coordinators(MakeRateCoordinators(
          loop, thresholds, &m_store, log, incarnation,
          [this](const std::string& workspace) {
            return RateLimitFor(workspace);
          },
          settings.rate_window)),
      m_network(loop, thresholds, &m_members, log),
      m_durable_origins(loop, thresholds, &m_store, &m_members, log),
      m_stream_origins(loop, thresholds, &m_store, &m_members, &m_network,
                       &m_durable_origins),
      m_durable_marks(loop, thresholds, &m_store, &m_members, log),
      m_suspects(loop, thresholds, &m_backends, &m_probes, &m_members,
                 &m_network, &m_durable_marks, log, metrics),
      m_rate_limiter(loop, thresholds, m_members.self(), &m_network,
                     &m_rate_coordinators,
                     [this](const std::string& key) {
                       return m_peers.RankCoordinators(key);
                     }),
      m_dispatcher(loop, thresholds->concurrency_limit),
      m_peers(loop, thresholds, &m_members, &m_network, &m_token_coordinators,
              &m_rate_limiter, &m_turns, &m_backends, &m_admission,
              &m_stream_origins, &m_suspects, log),
      m_readiness(loop, [this](std::string_view) { return AnswerReadiness(); }),
      m_metrics_server(loop,
                       [metrics](std::string_view) {
                         return SmallAnswer{200, metrics->Text()};
                       }),
      m_listener(loop, static_cast<int>(thresholds->client_silence),
                 [this](int fd) { OnClientConnected(fd); }),
      m_max_clients(
          pressure::MaxClients(settings.descriptors, m_memory->spare())),
      m_yield_order(thresholds->memory.yield_after) {}

Gateway::~Gateway() = default;

bool Gateway::Listen() {
  if (!m_listener.Listen(m_settings.clients, pressure::kMinReceiveBuffer))
    return false;
  if (!m_readiness.Listen(m_settings.readiness)) return false;
  if (!m_metrics_server.Listen({m_settings.address, kMetricsPort})) {
    m_log->Write(LogEvent::kFault, {{"what", "no address for metrics"}});
  }
  if (!m_network.Listen(m_members.self().address)) return false;
  m_stream_origins.Start();
  Announce();
  Tick();
  WatchMemory();
  SendReportsPeriodically();
  return true;
}

void Gateway::Announce() {
  m_store.Put(platform::Topic::kNodes, m_settings.node,
              programs::EncodeNode(m_members.self()), m_thresholds->log_timeout,
              [this](const platform::StoreResult<platform::Appended>& result) {
                if (result || m_stop.begun()) return;
                m_loop->After(kAnnounceRetryDelay, [this] { Announce(); });
              });
}

void Gateway::TakeNode(const std::string&                       name,
                       const std::optional<programs::NodeInfo>& node) {
  if (name == m_settings.node) {
    // A delayed write of an earlier run replaced or removed this node's entry.
    const bool is_this_run =
        node && node->incarnation == m_members.self().incarnation;
    if (!is_this_run && !m_stop.begun()) Announce();
  } else if (node) {
    const auto* known = m_members.Find(name);
    const bool  started =
        known == nullptr || known->incarnation != node->incarnation;
    m_members.Put(*node);
    if (started) m_suspects.OnNodeFound(*node);
  } else {
    m_members.Remove(name);
  }
}

void Gateway::SendReportsPeriodically() {
  m_peers.SendReports();
  m_dispatcher.Sweep();
  m_loop->After(m_thresholds->news_pause,
                [this] { SendReportsPeriodically(); });
}

void Gateway::TakeManifest(const traffic::ManifestPtr& manifest) {
  m_routes = std::make_shared<traffic::RouteTable>(manifest);
  m_stream_origins.TakeManifest(*manifest);
  m_probes.TakeManifest(manifest);
  Duration max_retention = 0;
  for (const traffic::Route& route : manifest->routes) {
    if (route.keeps_turns)
      max_retention = std::max(max_retention, route.retention);
  }
  if (max_retention > 0) m_turns.reader().SetRetention(max_retention);
}

void Gateway::TakeServers(const traffic::ServerListPtr& servers) {
  m_servers_known = true;
  m_backends.Update(servers);
}

capacity::ServiceCapacity Gateway::CapacityFor(
    const std::string& service) const {
  if (m_routes == nullptr) return {};
  const auto* found = m_routes->manifest()->FindService(service);
  if (found == nullptr || !found->engine) return {};
  return m_backends.ComputeCapacity(service, *found->engine);
}

std::optional<workspaces::RateLimit> Gateway::RateLimitFor(
    const std::string& workspace) const {
  if (m_routes == nullptr || !m_routes->manifest()->workspaces) {
    return std::nullopt;
  }
  const auto* found = m_routes->manifest()->workspaces->Find(workspace);
  return found == nullptr ? std::nullopt : found->limit;
}

int Gateway::PriorityFor(const std::string& workspace) const {
  if (m_routes == nullptr || !m_routes->manifest()->workspaces) return 0;
  const auto* found = m_routes->manifest()->workspaces->Find(workspace);
  return found == nullptr ? 0 : found->priority.value_or(0);
}

traffic::ClientLimits Gateway::Limits() const {
  return m_routes == nullptr ? kDefaultClientLimits
                             : m_routes->manifest()->limits;
}

bool Gateway::Ready() const {
  return m_routes != nullptr && m_servers_known && !m_stop.begun() &&
         !ShouldYieldClients() && !IsMemoryLow();
}

bool Gateway::ShouldYieldClients() const {
  const bool keys_remain_valid = m_routes == nullptr ||
                                 !m_routes->manifest()->workspaces ||
                                 !m_key_lease.IsExpiring(m_loop->now());
  return m_peers.IsIsolated() ||
         (!keys_remain_valid && m_peers.OthersReachLog());
}

SmallAnswer Gateway::AnswerReadiness() const {
  return {Ready() ? 200 : 503, Ready() ? "ready\n" : "not ready\n"};
}

void Gateway::OnClientConnected(int fd) {
  m_accepted_at = m_loop->now();
  while (m_clients.size() >= m_max_clients) {
    if (!m_yield_order.YieldConnection(m_loop->now())) {
      // Nothing of the client was read, so it may go to another node.
      close(fd);
      ++m_turned_away;
      return;
    }
  }
  net::SetReceiveBuffer(
      fd, pressure::ReceiveBufferFor(m_clients.size(), m_memory->spare()));
  const GatewayParts parts{m_loop,
                           m_thresholds,
                           &m_backends,
                           &m_turns,
                           &m_peers,
                           m_log,
                           m_metrics,
                           m_started,
                           &m_routes,
                           &m_key_lease,
                           &m_rate_limiter,
                           &m_dispatcher,
                           &m_stream_origins,
                           &m_suspects,
                           &m_stop,
                           &m_yield_order,
                           m_memory};
  auto connection = std::make_unique<ClientConnection>(parts, this, fd);
  ClientConnection* raw = connection.get();
  m_clients.emplace(raw, std::move(connection));
}

void Gateway::RemoveConnection(ClientConnection* connection) {
  auto node = m_clients.extract(connection);
  if (node.empty()) return;
  // Deferred: the connection may still be on the call stack.
  const std::shared_ptr<ClientConnection> dying = std::move(node.mapped());
  m_loop->Defer([dying] {});
}

void Gateway::WatchMemory() {
  if (!m_memory->bounded()) return;
  auto& history = m_turns.history();
  if (const auto target_bytes = m_memory->TurnBytesTarget(history.bytes())) {
    const auto before = history.size();
    history.Shrink(*target_bytes);
    m_log->Write(LogEvent::kPressure,
                 {{"turns_dropped", before - history.size()},
                  {"turns_left", history.size()},
                  {"turn_bytes", history.bytes()}});
  }
  m_turn_charge.Set(history.bytes());
  const Time now = m_loop->now();
  if (m_memory->Update(now, m_yield_order.BytesBehind(now))) {
    const auto bytes_held = [this](pressure::MemoryKind kind) {
      return m_memory->used(kind);
    };
    m_log->Write(LogEvent::kPressure,
                 {{"level", Name(m_memory->level())},
                  {"held", m_memory->total()},
                  {"bound", m_memory->bound()},
                  {"requests", bytes_held(pressure::MemoryKind::kRequests)},
                  {"to_clients", bytes_held(pressure::MemoryKind::kToClients)},
                  {"to_servers", bytes_held(pressure::MemoryKind::kToServers)},
                  {"turns", bytes_held(pressure::MemoryKind::kTurns)},
                  {"connections", m_clients.size()}});
  }
  if (m_memory->level() == pressure::PressureLevel::kFull) DropStalledClients();
  m_loop->After(kMemoryCheckInterval, [this] { WatchMemory(); });
}

void Gateway::DropStalledClients() {
  std::vector<ClientConnection*>      clients;
  std::vector<pressure::ClientBuffer> buffers;
  for (const auto& [raw, owned] : m_clients) {
    clients.push_back(raw);
    buffers.push_back(raw->buffer());
  }
  while (m_memory->IsFull()) {
    const auto drop =
        ChooseClientToDrop(buffers, m_thresholds->memory.full_stall_timeout);
    if (drop == pressure::kNoClient) return;
    m_log->Write(LogEvent::kPressure, {{"reader", "let_go"},
                                       {"waiting", buffers[drop].waiting},
                                       {"stalled_ms", buffers[drop].stalled}});
    m_metrics->CountClientDropped();
    buffers[drop] = {};
    clients[drop]->DropClient();
  }
}

void Gateway::Tick() {
  m_backends.Sweep();
  m_suspects.Sweep();
  m_turns.Sweep();
  for (TokenCoordinator& coordinator : m_token_coordinators)
    coordinator.Sweep();
  m_rate_limiter.Sweep(m_routes != nullptr &&
                       m_routes->manifest()->workspaces.has_value());
  m_metrics->Set(Gauge::kConnections, static_cast<double>(m_clients.size()));
  m_metrics->Set(Gauge::kTurns, static_cast<double>(m_turns.history().size()));
  m_metrics->Set(Gauge::kServers, static_cast<double>(m_backends.servers()));
  m_metrics->SetMemory(*m_memory);
  if (ShouldYieldClients()) CloseIdle();
  WriteSlowdownChanges();
  WriteYields();
  WriteLogUsage();
  m_log->Flush();
  m_loop->After(kSweepInterval, [this] { Tick(); });
}

void Gateway::WriteUsageMargins() {
  constexpr std::size_t kMaxLogged = 3;
  const auto percent = [](double part) { return std::lround(100.0 * part); };
  for (const auto& usage : m_fairness.TopWorkspaces(kMaxLogged)) {
    if (usage.margin <= 0) continue;
    m_log->Write(LogEvent::kShare, {{"workspace", usage.workspace},
                                    {"part_percent", percent(usage.part)},
                                    {"leaves_percent", percent(usage.margin)}});
  }
}

void Gateway::WriteYields() {
  const std::size_t yields = m_yield_order.TakeYields();
  const std::size_t turned_away = std::exchange(m_turned_away, 0);
  if (yields + turned_away == 0) return;
  m_metrics->CountYields(yields, turned_away);
  m_log->Write(LogEvent::kPressure, {{"made_room", yields},
                                     {"turned_away", turned_away},
                                     {"connections", m_clients.size()},
                                     {"most_connections", m_max_clients},
                                     {"held", m_memory->total()}});
}

void Gateway::WriteSlowdownChanges() {
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

// The logged usage covers the whole process, including the control thread.
void Gateway::WriteLogUsage() {
  if (m_loop->now() - m_usage_logged_at < kLogUsageInterval) return;
  m_usage_logged_at = m_loop->now();
  for (RateCoordinator& coordinator : m_rate_coordinators)
    coordinator.LogRefusals();
  m_admission.WriteUsageLines();
  WriteUsageMargins();
  for (const Metrics::LogUsage& use : m_metrics->TakeLogUsage()) {
    m_log->Write(LogEvent::kLogUse, {{"topic", Name(use.topic)},
                                     {"call", Name(use.kind)},
                                     {"calls", use.calls},
                                     {"unanswered", use.unanswered},
                                     {"bytes", use.bytes}});
  }
}

void Gateway::Stop() {
  if (m_stop.begun()) return;
  m_stop.Begin(m_loop->now(),
               {m_settings.stop_limit - m_thresholds->stop_margin,
                m_thresholds->balancer_lag, m_thresholds->stop_quiet});
  m_log->Write(LogEvent::kStopping,
               {{"connections", m_clients.size()},
                {"requests", CountRequests()},
                {"node_ends_in_ms", *m_stop.TimeLeft(m_loop->now())}});
  m_peers.SendStopping();
  ContinueStop();
}

std::size_t Gateway::CountRequests() const {
  return static_cast<std::size_t>(
      std::count_if(m_clients.begin(), m_clients.end(),
                    [](const auto& client) { return client.first->busy(); }));
}

void Gateway::CloseIdle() {
  for (ClientConnection* connection : Connections()) connection->CloseIfIdle();
}

std::vector<ClientConnection*> Gateway::Connections() const {
  std::vector<ClientConnection*> connections;
  for (const auto& [raw, owned] : m_clients) connections.push_back(raw);
  return connections;
}

void Gateway::ContinueStop() {
  const Time now = m_loop->now();
  if (!m_stop.KeepsListening(now, m_accepted_at)) m_listener.Close();
  for (ClientConnection* connection : Connections())
    connection->OnNodeStopping();
  if (m_stop.ClosesConnections(now)) CloseIdle();
  const bool served = !m_listener.is_open() && m_clients.empty() &&
                      m_turns.pending_persists() == 0 && AllTurnsSettled();
  if (served || *m_stop.TimeLeft(now) <= 0) {
    Finish();
  } else {
    m_loop->After(kStopCheckInterval, [this] { ContinueStop(); });
  }
}

bool Gateway::AllTurnsSettled() const {
  return m_peers.unsettled_turns() == 0 &&
         std::none_of(m_token_coordinators.begin(), m_token_coordinators.end(),
                      [](const TokenCoordinator& coordinator) {
                        return coordinator.HasSettlements();
                      });
}

void Gateway::Finish() {
  m_log->Write(LogEvent::kStopped,
               {{"connections_cut", m_clients.size()},
                {"requests_cut", CountRequests()},
                {"turns_not_durable", m_turns.pending_persists()},
                {"turns_not_settled", m_peers.unsettled_turns()},
                {"left_ms", *m_stop.TimeLeft(m_loop->now())}});
  for (ClientConnection* connection : Connections()) connection->OnNodeEnd();
  for (TokenCoordinator& coordinator : m_token_coordinators)
    coordinator.Close();
  m_store.Put(platform::Topic::kNodes, m_settings.node, std::nullopt,
              m_thresholds->log_timeout,
              [](const platform::StoreResult<platform::Appended>&) {});
  m_loop->After(kFinalAppendTime, [this] { m_loop->Stop(); });
}

}  // namespace yuccawick::gateway

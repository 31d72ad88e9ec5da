#include "yuccawick/gateway/backends.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include "yuccawick/traffic/affinity.h"

namespace yuccawick::gateway {
namespace {

constexpr net::HttpLimits kAnswerLimits{64UL * 1024, 64UL << 20};
constexpr Duration        kMillisPerSecond = 1000;
// A program's home is one of so many servers.
constexpr std::size_t     kHomesLookedAt = 64;

Duration IdleLimit(const net::Headers& headers, const Thresholds& thresholds) {
  const std::string* keep = headers.Find("Keep-Alive");
  if (keep == nullptr) return thresholds.idle_limit;
  constexpr std::string_view kField = "timeout=";
  const auto                 at = keep->find(kField);
  if (at == std::string::npos) return thresholds.idle_limit;
  Duration    seconds = 0;
  const char* digits = keep->data() + at + kField.size();
  std::from_chars(digits, keep->data() + keep->size(), seconds);
  return static_cast<Duration>(thresholds.idle_share *
                               static_cast<double>(seconds * kMillisPerSecond));
}

bool Contains(const std::vector<std::string>& list, const std::string& id) {
  return std::find(list.begin(), list.end(), id) != list.end();
}

}  // namespace

BackendConnection::BackendConnection(
    net::EventLoop* loop, const Thresholds* thresholds,
    const pressure::MemoryBudgetPtr& memory, int fd, std::string server_id,
    std::function<void(BackendConnection*)> on_idle_lost)
    : m_loop(loop),
      m_thresholds(thresholds),
      m_server_id(std::move(server_id)),
      m_on_idle_lost(std::move(on_idle_lost)),
      m_held_output(memory, pressure::MemoryKind::kToServers),
      m_stream(loop, this, fd, true, &m_held_output),
      m_reader(net::HttpRole::kResponses, kAnswerLimits, this) {
  m_connect_timer = loop->After(m_thresholds->connect_timeout, [this] {
    m_connect_timer = 0;
    m_stream.Close();
    OnClosed(net::CloseCause::kReset);
  });
}

BackendConnection::~BackendConnection() { m_loop->Cancel(&m_connect_timer); }

void BackendConnection::Send(BackendHandler* user, std::string_view request) {
  m_user = user;
  m_ended = false;
  m_in_step = true;
  m_stream.Write(request);
}

void BackendConnection::HoldReading(bool hold) {
  m_stream.SetReading(hold ? net::Reading::kOff : net::Reading::kOn);
}

bool BackendConnection::usable_again() const {
  // An answer that came before the request was out leaves the rest of the
  // request to be read as the next one.
  return m_ended && m_keep_alive && m_in_step && m_stream.is_open() &&
         m_stream.pending() == 0 && m_max_idle > 0;
}

void BackendConnection::Detach(Time now) {
  m_user = nullptr;
  // The end of an answer may come with the bytes for which reading was held.
  HoldReading(false);
  m_idle_since = now;
}

void BackendConnection::Close() {
  m_loop->Cancel(&m_connect_timer);
  m_stream.Close();
}

bool BackendConnection::FreshAt(Time now) const {
  return m_stream.is_open() && now - m_idle_since < m_max_idle;
}

void BackendConnection::OnConnected() {
  m_connected = true;
  m_loop->Cancel(&m_connect_timer);
  if (m_user != nullptr) m_user->OnBackendConnected();
}

void BackendConnection::OnBytes(std::string_view bytes) {
  while (!bytes.empty()) {
    if (m_user == nullptr || m_ended) {
      // Bytes that no request asked for: nothing after them can be trusted.
      m_in_step = false;
      if (m_user == nullptr) {
        m_stream.Close();
        m_on_idle_lost(this);
      }
      return;
    }
    const std::size_t taken = m_reader.Feed(bytes);
    bytes.remove_prefix(taken);
    // The user may have let go of the connection while it read.
    if (m_user == nullptr) return;
    if (m_reader.fault()) {
      Lose(traffic::SendFailureCause::kBadAnswer);
      return;
    }
    if (m_ended) {
      m_in_step = bytes.empty();
      m_user->OnBackendEnd();
      return;
    }
  }
}

void BackendConnection::OnClosed(net::CloseCause cause) {
  if (m_user == nullptr) {
    m_on_idle_lost(this);
    return;
  }
  if (m_ended) return;
  if (cause == net::CloseCause::kEnd && m_reader.FeedEnd() && m_ended) {
    m_keep_alive = false;
    m_user->OnBackendEnd();
    return;
  }
  Lose(m_connected ? traffic::SendFailureCause::kBroken
                   : traffic::SendFailureCause::kNotConnected);
}

void BackendConnection::Lose(traffic::SendFailureCause cause) {
  m_stream.Close();
  if (m_user != nullptr) m_user->OnBackendFailed(cause);
}

void BackendConnection::OnHead(net::Head head) {
  constexpr int kFirstFinalStatus = 200;
  m_skipping = head.status < kFirstFinalStatus ||
               (m_user != nullptr && !m_user->OnBackendHead(head));
  m_keep_alive = head.keep_alive && !head.ends_with_connection;
  m_max_idle = IdleLimit(head.headers, *m_thresholds);
}

void BackendConnection::OnBody(std::string_view bytes) {
  if (!m_skipping && m_user != nullptr) m_user->OnBackendBody(bytes);
}

void BackendConnection::OnMessageEnd() { m_ended = !m_skipping; }

Backends::Backends(net::EventLoop* loop, const Thresholds* thresholds,
                   std::string                         zone,
                   std::unique_ptr<traffic::Placement> placement,
                   pressure::MemoryBudgetPtr           memory)
    : m_loop(loop),
      m_thresholds(thresholds),
      m_zone(std::move(zone)),
      m_placement(std::move(placement)),
      m_memory(std::move(memory)),
      m_random(std::random_device{}()) {}

Backends::~Backends() = default;

void Backends::Update(const traffic::ServerListPtr& servers) {
  for (auto& [id, state] : m_servers) state.listed = false;
  for (const traffic::BackendServer& server : *servers) {
    State& state =
        m_servers.try_emplace(server.id, m_thresholds->slowdown).first->second;
    state.server = server;
    state.listed = true;
  }
  for (auto& [id, state] : m_servers) {
    if (!state.listed) DropIdle(&state);
  }
  std::erase_if(m_servers, [](const auto& entry) {
    return !entry.second.listed && entry.second.load == 0;
  });
  IndexServers();
}

void Backends::IndexServers() {
  std::unordered_map<std::string, std::vector<const traffic::BackendServer*>>
      usable;
  for (const auto& [id, state] : m_servers) {
    if (!state.listed || state.server.draining) continue;
    usable[state.server.service].push_back(&state.server);
  }
  std::erase_if(m_services, [&usable](const auto& entry) {
    return !usable.contains(entry.first);
  });
  for (auto& [service, servers] : usable) {
    m_services[service].pool.Assign(std::move(servers), m_zone);
  }
}

void Backends::DropIdle(State* state) {
  const auto idle = std::exchange(state->idle, {});
  for (BackendConnection* connection : idle) Destroy(connection);
}

void Backends::Count(const ServerReports& news) {
  for (const auto& [id, told] : news) {
    ServerReport& sum = m_heard[id];
    sum.requests += told.requests;
    sum.outcomes += told.outcomes;
  }
}

void Backends::Uncount(const ServerReports& news) {
  constexpr double kRounding = 1e-3;  // what sums of fractions may leave
  for (const auto& [id, told] : news) {
    const auto found = m_heard.find(id);
    if (found == m_heard.end()) continue;
    ServerReport& sum = found->second;
    sum.requests -= told.requests;
    sum.outcomes += {-told.outcomes.answers, -told.outcomes.failures};
    if (sum.requests <= 0 && sum.outcomes.answers < kRounding)
      m_heard.erase(found);
  }
}

void Backends::DropOldNews() {
  const Time oldest = m_loop->now() - m_thresholds->load_memory;
  if (m_oldest_news >= oldest) return;
  m_oldest_news = m_loop->now();
  std::erase_if(m_peers, [&](const auto& entry) {
    const bool old = entry.second.heard < oldest;
    if (old) {
      Uncount(entry.second.news);
    } else {
      m_oldest_news = std::min(m_oldest_news, entry.second.heard);
    }
    return old;
  });
}

const Backends::State* Backends::FindUsable(
    const std::string& id, const std::string& service,
    const std::vector<std::string>& avoid) const {
  const auto found = m_servers.find(id);
  if (found == m_servers.end() || Contains(avoid, id)) return nullptr;
  const State& state = found->second;
  const bool   usable =
      state.listed && !state.server.draining && state.server.service == service;
  return usable ? &state : nullptr;
}

std::optional<Backends::Choice> Backends::Choose(
    const std::string& service, const Prompt& prompt,
    const std::vector<std::string>& avoid) {
  const auto found = m_services.find(service);
  if (found == m_services.end()) return std::nullopt;
  DropOldNews();
  const std::string warm = WarmFor(service, found->second, prompt, avoid);
  std::vector<traffic::Candidate> candidates =
      CandidatesOf(&found->second, warm, avoid);
  if (candidates.empty()) return std::nullopt;
  traffic::SampleCandidates(&candidates, m_thresholds->sampling, &m_random);
  for (traffic::Candidate& candidate : candidates) {
    candidate.prompt_tokens = prompt.tokens;
    candidate.memory_part = prompt.memory_part;
    Look(m_servers.at(candidate.server->id), &candidate);
  }
  const double draw =
      std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
  return AsChoice(candidates[m_placement->Choose(candidates, draw)]);
}

std::vector<traffic::Candidate> Backends::CandidatesOf(
    Service* service, const std::string& warm,
    const std::vector<std::string>& avoid) {
  std::vector<traffic::Candidate> candidates;
  const auto add = [&](const traffic::BackendServer* server) {
    if (Contains(avoid, server->id)) return;
    traffic::Candidate candidate;
    candidate.server = server;
    candidate.same_zone = server->zone == m_zone;
    candidate.holds_prefix = server->id == warm;
    candidates.push_back(candidate);
  };
  const auto most = static_cast<std::size_t>(m_thresholds->sampling.most);
  for (const auto* server : service->pool.Draw(most, &m_random)) add(server);
  const auto is_warm = [](const auto& each) { return each.holds_prefix; };
  if (!warm.empty() &&
      std::none_of(candidates.begin(), candidates.end(), is_warm)) {
    add(&m_servers.at(warm).server);
  }
  if (candidates.empty()) {
    for (const auto* server : service->pool.all()) add(server);
  }
  return candidates;
}

std::string Backends::WarmFor(const std::string& service,
                              const Service& servers, const Prompt& prompt,
                              const std::vector<std::string>& avoid) const {
  if (prompt.session.empty()) return {};
  const auto last = m_lines.find(prompt.session);
  if (last != m_lines.end() &&
      FindUsable(last->second.server, service, avoid) != nullptr) {
    return last->second.server;
  }
  const auto reach = traffic::ChooseAffinityScope(
      prompt.tokens, prompt.memory_part, m_thresholds->placement);
  std::vector<traffic::Candidate> all;
  std::vector<traffic::Candidate> fast;
  for (const auto* server :
       servers.pool.Around(prompt.program, reach, kHomesLookedAt)) {
    const State* state = FindUsable(server->id, service, avoid);
    if (state == nullptr) continue;
    traffic::Candidate candidate;
    candidate.server = server;
    candidate.same_zone = server->zone == m_zone;
    all.push_back(candidate);
    if (!state->pace.slow()) fast.push_back(candidate);
  }
  return traffic::PreferredServer(prompt.program, fast.empty() ? all : fast,
                                  reach);
}

void Backends::Look(const State& state, traffic::Candidate* candidate) const {
  const Time now = m_loop->now();
  const auto heard = m_heard.find(state.server.id);
  const auto told = heard == m_heard.end() ? ServerReport() : heard->second;
  const bool failing = now - state.failed_at < m_thresholds->failure_memory;
  auto       outcomes = state.outcomes.At(now);
  outcomes += told.outcomes;
  candidate->local_load = state.load;
  candidate->peer_load = told.requests;
  candidate->recent_failures = failing ? state.failures : 0;
  candidate->failure_share = traffic::FailureShare(outcomes);
  candidate->slowdown = state.pace.At(now);
}

Backends::Choice Backends::AsChoice(const traffic::Candidate& candidate) {
  const auto slots = static_cast<double>(std::max(1, candidate.server->slots));
  return {*candidate.server, candidate.load() / slots, candidate.failure_share,
          candidate.slowdown};
}

std::optional<Backends::Choice> Backends::Find(const std::string& id) const {
  const auto found = m_servers.find(id);
  if (found == m_servers.end() || !found->second.listed) return std::nullopt;
  traffic::Candidate candidate;
  candidate.server = &found->second.server;
  Look(found->second, &candidate);
  return AsChoice(candidate);
}

bool Backends::AnyIn(const std::string&              service,
                     const std::vector<std::string>& avoid) const {
  const auto found = m_services.find(service);
  if (found == m_services.end()) return false;
  const auto& servers = found->second.pool.all();
  return std::any_of(servers.begin(), servers.end(), [&](const auto* server) {
    return !Contains(avoid, server->id);
  });
}

BackendConnection* Backends::Acquire(const std::string& id, bool fresh) {
  const auto found = m_servers.find(id);
  if (found == m_servers.end()) return nullptr;
  State& state = found->second;
  while (!fresh && !state.idle.empty()) {
    BackendConnection* kept = state.idle.back();
    state.idle.pop_back();
    if (kept->FreshAt(m_loop->now())) {
      ++state.load;
      return kept;
    }
    Destroy(kept);
  }
  const int fd = net::Connect(state.server.endpoint,
                              static_cast<int>(m_thresholds->server_silence));
  if (fd < 0) return nullptr;
  auto connection = std::make_unique<BackendConnection>(
      m_loop, m_thresholds, m_memory, fd, id, [this](BackendConnection* lost) {
        const auto owner = m_servers.find(lost->server_id());
        if (owner != m_servers.end()) std::erase(owner->second.idle, lost);
        Destroy(lost);
      });
  BackendConnection* raw = connection.get();
  m_connections.emplace(raw, std::move(connection));
  ++state.load;
  return raw;
}

void Backends::Release(BackendConnection* connection) {
  const auto found = m_servers.find(connection->server_id());
  connection->Detach(m_loop->now());
  if (found == m_servers.end()) {
    Destroy(connection);
    return;
  }
  State& state = found->second;
  --state.load;
  const bool keep = connection->usable_again() && state.listed &&
                    static_cast<std::int64_t>(state.idle.size()) <
                        m_thresholds->idle_connections;
  if (keep) {
    state.idle.push_back(connection);
  } else {
    Destroy(connection);
  }
}

void Backends::Discard(BackendConnection* connection) {
  const auto found = m_servers.find(connection->server_id());
  connection->Detach(m_loop->now());
  if (found != m_servers.end()) --found->second.load;
  Destroy(connection);
}

void Backends::Destroy(BackendConnection* connection) {
  const auto found = m_connections.find(connection);
  if (found == m_connections.end()) return;
  connection->Close();
  // Destroyed later: the connection may be on the call stack.
  const std::shared_ptr<BackendConnection> dying = std::move(found->second);
  m_connections.erase(found);
  m_loop->Defer([dying] {});
}

void Backends::RememberSession(const std::string& line, const std::string& id) {
  if (!line.empty()) m_lines[line] = {id, m_loop->now()};
}

void Backends::ObserveSuccess(const std::string& id) {
  const auto found = m_servers.find(id);
  if (found == m_servers.end()) return;
  found->second.failures = 0;
  found->second.outcomes.Observe(false, m_loop->now());
}

void Backends::ObserveFailure(const std::string& id) {
  const auto found = m_servers.find(id);
  if (found == m_servers.end()) return;
  ++found->second.failures;
  found->second.failed_at = m_loop->now();
  found->second.outcomes.Observe(true, m_loop->now());
}

void Backends::ObserveBadAnswer(const std::string& id) {
  const auto found = m_servers.find(id);
  if (found == m_servers.end()) return;
  found->second.outcomes.Observe(true, m_loop->now());
}

void Backends::ObserveServiceTime(const std::string& id, std::string_view kind,
                                  double took) {
  const auto found = m_servers.find(id);
  if (found == m_servers.end()) return;
  State&     state = found->second;
  const auto service = m_services.find(state.server.service);
  if (service == m_services.end()) return;
  const Time now = m_loop->now();
  const auto seen =
      service->second.scale.Compare(kind, took, state.pace.At(now), now);
  if (seen) state.pace.Observe(*seen, now);
}

void Backends::RatePaces(Service* service) {
  std::vector<capacity::ServerSlowdown*> paces;
  for (const auto* server : service->pool.all()) {
    paces.push_back(&m_servers.at(server->id).pace);
  }
  service->scale.Recenter(paces);
  service->scale.Forget(m_loop->now() - m_thresholds->prefix_memory);
  for (const auto* server : service->pool.all()) {
    capacity::ServerSlowdown& pace = m_servers.at(server->id).pace;
    if (!pace.UpdateSlow()) continue;
    m_pace_changes.push_back(
        {server->id, server->service, pace.slow(), pace.Lasting()});
  }
}

std::vector<Backends::SlowdownChange> Backends::TakeSlowdownChanges() {
  return std::exchange(m_pace_changes, {});
}

std::size_t Backends::slow_servers() const {
  return static_cast<std::size_t>(
      std::count_if(m_servers.begin(), m_servers.end(), [](const auto& entry) {
        return entry.second.listed && entry.second.pace.slow();
      }));
}

capacity::ServiceCapacity Backends::ComputeCapacity(
    const std::string& service, const traffic::EngineLimits& engine) const {
  capacity::ServiceCapacity room;
  const auto                found = m_services.find(service);
  if (found == m_services.end()) return room;
  for (const auto* server : found->second.pool.all()) {
    const double pace = m_servers.at(server->id).pace.Lasting().factor;
    ++room.servers;
    room.slots += engine.slots / std::max(1.0, pace);
    room.memory += engine.cache_tokens;
  }
  return room;
}

void Backends::Sweep() {
  const Time now = m_loop->now();
  DropOldNews();
  for (auto& [name, service] : m_services) RatePaces(&service);
  std::erase_if(m_lines, [this, now](const auto& entry) {
    return now - entry.second.used > m_thresholds->prefix_memory;
  });
  for (auto& [id, state] : m_servers) {
    std::vector<BackendConnection*> stale;
    for (BackendConnection* connection : state.idle) {
      if (!connection->FreshAt(now)) stale.push_back(connection);
    }
    for (BackendConnection* connection : stale) {
      std::erase(state.idle, connection);
      Destroy(connection);
    }
  }
  std::erase_if(m_servers, [](const auto& entry) {
    return !entry.second.listed && entry.second.load == 0;
  });
}

bool Backends::ServerReport::operator==(const ServerReport& other) const {
  // Answers without failures are no news, and failures fade by themselves.
  constexpr double kSame = 0.5;
  return requests == other.requests &&
         slowdown_changed == other.slowdown_changed &&
         std::abs(outcomes.failures - other.outcomes.failures) < kSame;
}

void Backends::SetPeerReport(const std::string&   peer,
                             const ServerReports& news) {
  const Time now = m_loop->now();
  PeerNews&  known = m_peers[peer];
  Uncount(known.news);
  known = {news, now};
  Count(news);
  for (const auto& [id, told] : news) {
    const auto found = m_servers.find(id);
    if (found != m_servers.end())
      found->second.pace.MergePeer(told.slowdown, now);
  }
}

Backends::ServerReports Backends::LocalReport() const {
  constexpr double kWorthTelling = 0.25;  // of a failure
  ServerReports    news;
  for (const auto& [id, state] : m_servers) {
    ServerReport told{state.load, state.outcomes.At(m_loop->now()),
                      state.pace.Unsent(), state.pace.NeedsImmediateReport()};
    if (told.outcomes.failures < kWorthTelling) told.outcomes = {};
    if (told.requests > 0 || told.outcomes.failures > 0 ||
        told.slowdown.samples > 0) {
      news[id] = told;
    }
  }
  return news;
}

void Backends::OnReportSent(ServerReports* news) {
  for (auto& [id, told] : *news) {
    const auto found = m_servers.find(id);
    if (found != m_servers.end()) found->second.pace.TakeUnsent();
    told.slowdown = {};
    told.slowdown_changed = false;
  }
  std::erase_if(*news, [](const auto& entry) {
    return entry.second.requests == 0 && entry.second.outcomes.failures <= 0;
  });
}

}  // namespace yuccawick::gateway

#include "yuccawick/gateway/backends.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include "yuccawick/net/message_body.h"
#include "yuccawick/traffic/affinity.h"

namespace yuccawick::gateway {
namespace {

constexpr net::HttpLimits kAnswerLimits{64UL * 1024, 64UL << 20};
constexpr Duration        kMillisPerSecond = 1000;
constexpr int             kOk = 200;
// Interim answers to one request; servers send one or two.
constexpr int             kMaxInterimAnswers = 32;
// Servers considered for a program's cache affinity.
constexpr std::size_t     kAffinityCandidates = 64;

Duration IdleLimit(const net::Headers& headers, const Thresholds& thresholds) {
  const std::string* keep_alive = headers.Find("Keep-Alive");
  if (keep_alive == nullptr) return thresholds.idle_limit;
  constexpr std::string_view kField = "timeout=";
  const auto                 at = keep_alive->find(kField);
  if (at == std::string::npos) return thresholds.idle_limit;
  Duration    seconds = 0;
  const char* digits = keep_alive->data() + at + kField.size();
  std::from_chars(digits, keep_alive->data() + keep_alive->size(), seconds);
  return static_cast<Duration>(thresholds.idle_share *
                               static_cast<double>(seconds * kMillisPerSecond));
}

bool Contains(const std::vector<std::string>& list, const std::string& id) {
  return std::find(list.begin(), list.end(), id) != list.end();
}

bool Matches(const traffic::BackendServer& server,
             const traffic::ServerFilter&  filter) {
  return server.service == filter.service &&
         (!filter.version || server.version == *filter.version) &&
         !Contains(filter.avoid, server.id) &&
         (filter.only.empty() || Contains(filter.only, server.id));
}

}  // namespace

BackendConnection::BackendConnection(
    net::EventLoop* loop, const Thresholds* thresholds,
    const pressure::MemoryBudgetPtr& memory, int fd, std::string server_id,
    std::shared_ptr<Time>                   last_heard,
    std::function<void(BackendConnection*)> on_idle_lost)
    : m_loop(loop),
      m_thresholds(thresholds),
      m_server_id(std::move(server_id)),
      m_last_heard(std::move(last_heard)),
      m_on_idle_lost(std::move(on_idle_lost)),
      m_output_charge(memory, pressure::MemoryKind::kToServers),
      m_stream(loop, this, fd, true, &m_output_charge),
      m_reader(net::HttpRole::kResponses, kAnswerLimits, this) {
  m_connect_timer = loop->After(m_thresholds->connect_timeout, [this] {
    m_connect_timer = 0;
    m_stream.Close();
    OnClosed(net::CloseCause::kReset);
  });
}

BackendConnection::~BackendConnection() { m_loop->Cancel(&m_connect_timer); }

void BackendConnection::Send(BackendHandler* handler, std::string_view method,
                             std::string head, std::string_view body) {
  m_handler = handler;
  m_reader.SetRequestMethod(method);
  if (!net::ResponseHasBody(method, kOk)) m_method_excludes_body = true;
  m_answer_complete = false;
  m_in_sync = true;
  m_interim_answers = 0;
  // A large body is not copied once more to be sent together with its head.
  constexpr std::size_t kMaxJoined = 64UL * 1024;
  if (body.size() <= kMaxJoined) {
    m_stream.Write(head.append(body));
  } else {
    m_stream.Write(head);
    m_stream.Write(body);
  }
}

void BackendConnection::HoldReading(bool hold) {
  m_stream.SetReading(hold ? net::Reading::kOff : net::Reading::kOn);
}

bool BackendConnection::reusable() const {
  // After an answer that precedes the end of the request, the server would
  // parse the rest of the request as the next request.
  return m_answer_complete && m_keep_alive && m_in_sync && m_stream.is_open() &&
         m_stream.pending() == 0 && m_max_idle_time > 0;
}

void BackendConnection::Detach(Time now) {
  m_handler = nullptr;
  // The answer may have ended with the bytes that paused reading.
  HoldReading(false);
  m_idle_since = now;
}

void BackendConnection::Close() {
  m_loop->Cancel(&m_connect_timer);
  m_stream.Close();
}

bool BackendConnection::ReusableAt(Time now) const {
  return m_stream.is_open() && now - m_idle_since < m_max_idle_time;
}

void BackendConnection::OnConnected() {
  m_connected = true;
  m_loop->Cancel(&m_connect_timer);
  if (m_handler != nullptr) m_handler->OnBackendConnected();
}

void BackendConnection::OnBytes(std::string_view bytes) {
  *m_last_heard = m_loop->now();
  while (!bytes.empty()) {
    if (m_handler == nullptr || m_answer_complete) {
      // Unsolicited bytes: the connection is out of sync.
      m_in_sync = false;
      if (m_handler == nullptr) {
        m_stream.Close();
        m_on_idle_lost(this);
      }
      return;
    }
    const std::size_t consumed = m_reader.Feed(bytes);
    bytes.remove_prefix(consumed);
    // The handler may have detached during the callback.
    if (m_handler == nullptr) return;
    if (m_reader.fault() || !m_in_sync) {
      Fail(traffic::SendFailureCause::kBadAnswer);
      return;
    }
    if (m_answer_complete) {
      m_in_sync = bytes.empty();
      m_handler->OnBackendEnd();
      return;
    }
  }
}

void BackendConnection::OnClosed(net::CloseCause cause) {
  if (m_handler == nullptr) {
    m_on_idle_lost(this);
    return;
  }
  if (m_answer_complete) return;
  if (cause == net::CloseCause::kEnd && m_reader.FeedEnd() &&
      m_answer_complete) {
    m_keep_alive = false;
    m_handler->OnBackendEnd();
    return;
  }
  Fail(m_connected ? traffic::SendFailureCause::kBroken
                   : traffic::SendFailureCause::kNotConnected);
}

void BackendConnection::Fail(traffic::SendFailureCause cause) {
  m_stream.Close();
  if (m_handler != nullptr) m_handler->OnBackendFailed(cause);
}

void BackendConnection::OnHead(net::Head head) {
  constexpr int kFirstFinalStatus = 200;
  const bool    interim = head.status < kFirstFinalStatus;
  const bool    of_other_request =
      !interim && m_handler != nullptr && !m_handler->OnBackendHead(head);
  m_skipping_answer = interim || of_other_request;
  if (interim && ++m_interim_answers > kMaxInterimAnswers) m_in_sync = false;
  // It has a body or not depending on which request it answers.
  if (of_other_request && m_method_excludes_body) m_in_sync = false;
  m_unexpected_body_wait = !head.has_body && net::DescribesBody(head.headers)
                               ? m_thresholds->unexpected_body_wait
                               : 0;
  m_keep_alive = head.keep_alive && !head.ends_with_connection;
  m_max_idle_time = IdleLimit(head.headers, *m_thresholds);
}

void BackendConnection::OnBody(std::string_view bytes) {
  if (!m_skipping_answer && m_handler != nullptr)
    m_handler->OnBackendBody(bytes);
}

void BackendConnection::OnMessageEnd() {
  m_answer_complete = !m_skipping_answer;
}

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
  std::vector<std::string> unlisted;
  std::vector<std::string> leaving;
  for (auto& [id, state] : m_servers) {
    if (!std::exchange(state.listed, false)) continue;
    state.unlisted_at = m_loop->now();
    unlisted.push_back(id);
  }
  for (const traffic::BackendServer& server : *servers) {
    State& state =
        m_servers.try_emplace(server.id, m_thresholds->slowdown).first->second;
    if (state.server.version != server.version) Forget(&state);
    if (server.draining && !state.server.draining) leaving.push_back(server.id);
    UpdateLeaving(&state, server.draining);
    state.server = server;
    state.listed = true;
  }
  for (auto& [id, state] : m_servers) {
    if (!state.listed) DropIdle(&state);
  }
  DropUnlisted();
  IndexServers();
  ReportChanges(unlisted, leaving);
}

void Backends::ReportChanges(const std::vector<std::string>& unlisted,
                             const std::vector<std::string>& leaving) {
  if (!m_on_server_change) return;
  for (const std::string& id : leaving)
    m_on_server_change(id, ServerChange::kLeaving);
  for (const std::string& id : unlisted) {
    const auto found = m_servers.find(id);
    if (found == m_servers.end() || found->second.listed) continue;
    m_on_server_change(id, IsReplaced(found->second) ? ServerChange::kReplaced
                                                     : ServerChange::kUnlisted);
  }
}

bool Backends::IsReplaced(const State& unlisted) const {
  return std::any_of(m_servers.begin(), m_servers.end(),
                     [&unlisted](const auto& entry) {
                       const State& state = entry.second;
                       return state.listed &&
                              state.server.endpoint == unlisted.server.endpoint;
                     });
}

// A server may still have to be asked whether it runs after its entry lapsed.
void Backends::DropUnlisted() {
  const Time oldest = m_loop->now() - m_thresholds->end_watch;
  std::erase_if(m_servers, [oldest](const auto& entry) {
    return !entry.second.listed && entry.second.load == 0 &&
           entry.second.unlisted_at <= oldest;
  });
}

// Only a change that this node has seen tells how long the server will serve.
void Backends::UpdateLeaving(State* state, bool draining) const {
  const bool was_ready = !state->server.id.empty() && !state->server.draining;
  if (!draining) {
    state->leaving_since.reset();
  } else if (was_ready) {
    state->leaving_since = m_loop->now();
  }
}

bool Backends::MaySend(const State& state, SendKind kind) const {
  if (!state.listed) return false;
  if (!state.server.draining) return true;
  return kind == SendKind::kBound && state.leaving_since &&
         m_loop->now() - *state.leaving_since < m_thresholds->leaving_use;
}

bool Backends::MaySend(const std::string& id, SendKind kind) const {
  const auto found = m_servers.find(id);
  return found != m_servers.end() && MaySend(found->second, kind);
}

void Backends::IndexServers() {
  std::unordered_map<std::string, std::vector<const traffic::BackendServer*>>
      usable;
  for (const auto& [id, state] : m_servers) {
    if (!MaySend(state, SendKind::kFree)) continue;
    usable[state.server.service].push_back(&state.server);
  }
  std::erase_if(m_services, [&usable](const auto& entry) {
    return !usable.contains(entry.first);
  });
  for (auto& [service, servers] : usable) {
    IndexVersions(servers, &m_services[service]);
    m_services[service].pool.Assign(std::move(servers), m_zone);
  }
}

void Backends::IndexVersions(
    const std::vector<const traffic::BackendServer*>& servers,
    Service*                                          service) const {
  std::map<std::string, std::vector<const traffic::BackendServer*>> versions;
  for (const auto* server : servers)
    versions[server->version].push_back(server);
  service->by_version.clear();
  for (auto& [version, of_version] : versions) {
    service->by_version[version].Assign(std::move(of_version), m_zone);
  }
}

// Another version under the same entry is another start of the server.
void Backends::Forget(State* state) {
  DropIdle(state);
  state->slowdown = capacity::ServerSlowdown(m_thresholds->slowdown);
  state->outcomes = {};
  state->failures = 0;
}

void Backends::DropIdle(State* state) {
  const auto idle = std::exchange(state->idle, {});
  for (BackendConnection* connection : idle) Destroy(connection);
}

void Backends::AddToTotals(const ServerReports& reports) {
  for (const auto& [id, report] : reports) {
    ServerReport& sum = m_peer_totals[id];
    sum.requests += report.requests;
    sum.outcomes += report.outcomes;
  }
}

void Backends::SubtractFromTotals(const ServerReports& reports) {
  constexpr double kRounding = 1e-3;  // rounding error of the sums
  for (const auto& [id, report] : reports) {
    const auto found = m_peer_totals.find(id);
    if (found == m_peer_totals.end()) continue;
    ServerReport& sum = found->second;
    sum.requests -= report.requests;
    sum.outcomes += {-report.outcomes.answers, -report.outcomes.failures};
    if (sum.requests <= 0 && sum.outcomes.answers < kRounding)
      m_peer_totals.erase(found);
  }
}

void Backends::DropExpiredReports() {
  const Time oldest = m_loop->now() - m_thresholds->load_memory;
  if (m_oldest_report >= oldest) return;
  m_oldest_report = m_loop->now();
  std::erase_if(m_peers, [&](const auto& entry) {
    const bool expired = entry.second.received_at < oldest;
    if (expired) {
      SubtractFromTotals(entry.second.reports);
    } else {
      m_oldest_report = std::min(m_oldest_report, entry.second.received_at);
    }
    return expired;
  });
}

const Backends::State* Backends::FindUsable(
    const std::string& id, const traffic::ServerFilter& filter) const {
  const auto found = m_servers.find(id);
  if (found == m_servers.end()) return nullptr;
  const State& state = found->second;
  const bool   usable =
      MaySend(state, SendKind::kFree) && Matches(state.server, filter);
  return usable ? &state : nullptr;
}

traffic::ServerPool* Backends::PoolFor(const traffic::ServerFilter& filter) {
  const auto found = m_services.find(filter.service);
  if (found == m_services.end()) return nullptr;
  if (!filter.version) return &found->second.pool;
  const auto pool = found->second.by_version.find(*filter.version);
  return pool == found->second.by_version.end() ? nullptr : &pool->second;
}

std::optional<Backends::Choice> Backends::Choose(
    const traffic::ServerFilter& filter, const Prompt& prompt) {
  DropExpiredReports();
  std::vector<traffic::Candidate> candidates;
  if (!filter.only.empty()) {
    candidates = NamedCandidates(filter);
  } else if (traffic::ServerPool* pool = PoolFor(filter)) {
    const std::string warm = WarmServerFor(filter, *pool, prompt);
    candidates = CandidatesFor(pool, warm, filter.avoid);
  }
  if (candidates.empty()) candidates = LeavingCandidates(filter);
  if (candidates.empty()) return std::nullopt;
  traffic::SampleCandidates(&candidates, m_thresholds->sampling, &m_random);
  for (traffic::Candidate& candidate : candidates) {
    candidate.prompt_tokens = prompt.tokens;
    candidate.memory_part = prompt.memory_part;
    FillObservations(m_servers.at(candidate.server->id), &candidate);
  }
  const double draw =
      std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
  return ToChoice(candidates[m_placement->Choose(candidates, draw)]);
}

std::vector<traffic::Candidate> Backends::NamedCandidates(
    const traffic::ServerFilter& filter) const {
  std::vector<traffic::Candidate> candidates;
  for (const std::string& id : filter.only) {
    const State* state = FindUsable(id, filter);
    if (state == nullptr) continue;
    traffic::Candidate candidate;
    candidate.server = &state->server;
    candidate.same_zone = state->server.zone == m_zone;
    candidates.push_back(candidate);
  }
  return candidates;
}

std::vector<traffic::Candidate> Backends::CandidatesFor(
    traffic::ServerPool* pool, const std::string& warm,
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
  const auto max_candidates =
      static_cast<std::size_t>(m_thresholds->sampling.most);
  for (const auto* server : pool->Draw(max_candidates, &m_random)) add(server);
  const auto is_warm = [](const auto& each) { return each.holds_prefix; };
  if (!warm.empty() &&
      std::none_of(candidates.begin(), candidates.end(), is_warm)) {
    add(&m_servers.at(warm).server);
  }
  if (candidates.empty()) {
    for (const auto* server : pool->all()) add(server);
  }
  return candidates;
}

std::vector<traffic::Candidate> Backends::LeavingCandidates(
    const traffic::ServerFilter& filter) const {
  std::vector<traffic::Candidate> candidates;
  if (!filter.version) return candidates;
  for (const auto& [id, state] : m_servers) {
    const bool usable = state.server.draining &&
                        MaySend(state, SendKind::kBound) &&
                        Matches(state.server, filter);
    if (!usable) continue;
    traffic::Candidate candidate;
    candidate.server = &state.server;
    candidate.same_zone = state.server.zone == m_zone;
    candidates.push_back(candidate);
  }
  return candidates;
}

std::string Backends::WarmServerFor(const traffic::ServerFilter& filter,
                                    const traffic::ServerPool&   pool,
                                    const Prompt&                prompt) const {
  if (prompt.session.empty()) return {};
  const auto last = m_sessions.find(prompt.session);
  if (last != m_sessions.end() &&
      FindUsable(last->second.server, filter) != nullptr) {
    return last->second.server;
  }
  const auto scope = traffic::ChooseAffinityScope(
      prompt.tokens, prompt.memory_part, m_thresholds->placement);
  std::vector<traffic::Candidate> all_candidates;
  std::vector<traffic::Candidate> unslowed_candidates;
  for (const auto* server :
       pool.Around(prompt.program, scope, kAffinityCandidates)) {
    const State* state = FindUsable(server->id, filter);
    if (state == nullptr) continue;
    traffic::Candidate candidate;
    candidate.server = server;
    candidate.same_zone = server->zone == m_zone;
    all_candidates.push_back(candidate);
    if (!state->slowdown.slow()) unslowed_candidates.push_back(candidate);
  }
  return traffic::PreferredServer(
      prompt.program,
      unslowed_candidates.empty() ? all_candidates : unslowed_candidates,
      scope);
}

void Backends::FillObservations(const State&        state,
                                traffic::Candidate* candidate) const {
  const Time now = m_loop->now();
  const auto totals = m_peer_totals.find(state.server.id);
  const auto report =
      totals == m_peer_totals.end() ? ServerReport() : totals->second;
  const bool failing = now - state.failed_at < m_thresholds->failure_memory;
  auto       outcomes = state.outcomes.At(now);
  outcomes += report.outcomes;
  candidate->local_load = state.load;
  candidate->peer_load = report.requests;
  candidate->recent_failures = failing ? state.failures : 0;
  candidate->failure_share = traffic::FailureShare(outcomes);
  candidate->slowdown = state.slowdown.At(now);
}

Backends::Choice Backends::ToChoice(const traffic::Candidate& candidate) {
  const auto slots = static_cast<double>(std::max(1, candidate.server->slots));
  return {*candidate.server, candidate.load() / slots, candidate.failure_share,
          candidate.slowdown};
}

std::optional<Backends::Choice> Backends::Find(const std::string& id,
                                               SendKind           kind) const {
  const auto found = m_servers.find(id);
  if (found == m_servers.end() || !MaySend(found->second, kind))
    return std::nullopt;
  traffic::Candidate candidate;
  candidate.server = &found->second.server;
  FillObservations(found->second, &candidate);
  return ToChoice(candidate);
}

const traffic::BackendServer* Backends::FindKnown(const std::string& id) const {
  const auto found = m_servers.find(id);
  return found == m_servers.end() ? nullptr : &found->second.server;
}

bool Backends::IsListed(const std::string& id) const {
  const auto found = m_servers.find(id);
  return found != m_servers.end() && found->second.listed;
}

bool Backends::IsLeaving(const std::string& id) const {
  const auto found = m_servers.find(id);
  return found != m_servers.end() && found->second.server.draining;
}

std::vector<std::string> Backends::ReadyServers(
    const std::string& service) const {
  std::vector<std::string> ids;
  const auto               found = m_services.find(service);
  if (found == m_services.end()) return ids;
  for (const auto* server : found->second.pool.all()) ids.push_back(server->id);
  return ids;
}

Time Backends::LastHeard(const std::string& id) const {
  const auto found = m_servers.find(id);
  return found == m_servers.end() ? 0 : *found->second.last_heard;
}

bool Backends::HasServer(const traffic::ServerFilter& filter) {
  const auto untried = [&](const auto* server) {
    return !Contains(filter.avoid, server->id);
  };
  const traffic::ServerPool* pool = PoolFor(filter);
  const bool ready = pool != nullptr && std::any_of(pool->all().begin(),
                                                    pool->all().end(), untried);
  return ready || !LeavingCandidates(filter).empty();
}

BackendConnection* Backends::Acquire(const std::string& id, bool fresh) {
  const auto found = m_servers.find(id);
  if (found == m_servers.end()) return nullptr;
  State&             state = found->second;
  BackendConnection* idle_connection = fresh ? nullptr : TakeIdle(&state);
  if (idle_connection != nullptr) {
    ++state.load;
    return idle_connection;
  }
  const int fd = net::Connect(state.server.endpoint,
                              static_cast<int>(m_thresholds->server_silence));
  if (fd < 0) return nullptr;
  auto connection = std::make_unique<BackendConnection>(
      m_loop, m_thresholds, m_memory, fd, id, state.last_heard,
      [this](BackendConnection* closed) {
        const std::string server_id = closed->server_id();
        const auto        owner = m_servers.find(server_id);
        if (owner != m_servers.end()) std::erase(owner->second.idle, closed);
        Destroy(closed);
        if (m_on_idle_lost) m_on_idle_lost(server_id);
      });
  BackendConnection* raw = connection.get();
  m_connections.emplace(raw, std::move(connection));
  ++state.load;
  return raw;
}

BackendConnection* Backends::TakeIdle(State* state) {
  const Time now = m_loop->now();
  auto&      idle = state->idle;
  for (auto next = idle.end(); next != idle.begin();) {
    BackendConnection* connection = *--next;
    const bool         reusable = connection->ReusableAt(now);
    if (reusable && connection->MayReceiveBody(now)) continue;
    next = idle.erase(next);
    if (reusable) return connection;
    Destroy(connection);
  }
  return nullptr;
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
  // Connections that cannot be used yet leave half of the pool to the others.
  const std::int64_t most_idle =
      m_thresholds->idle_connections /
      (connection->MayReceiveBody(m_loop->now()) ? 2 : 1);
  const bool reuse = connection->reusable() && state.listed &&
                     static_cast<std::int64_t>(state.idle.size()) < most_idle;
  if (reuse) {
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
  // Deferred: the connection may still be on the call stack.
  const std::shared_ptr<BackendConnection> dying = std::move(found->second);
  m_connections.erase(found);
  m_loop->Defer([dying] {});
}

void Backends::RememberSession(const std::string& session,
                               const std::string& id) {
  if (!session.empty()) m_sessions[session] = {id, m_loop->now()};
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
                                  double service_time) {
  const auto found = m_servers.find(id);
  if (found == m_servers.end()) return;
  State&     state = found->second;
  const auto service = m_services.find(state.server.service);
  if (service == m_services.end()) return;
  const Time now = m_loop->now();
  const auto observed_slowdown = service->second.baseline.Compare(
      kind, service_time, state.slowdown.At(now), now);
  if (observed_slowdown) state.slowdown.Observe(*observed_slowdown, now);
}

void Backends::UpdateSlowdowns(Service* service) {
  std::vector<capacity::ServerSlowdown*> slowdowns;
  for (const auto* server : service->pool.all()) {
    slowdowns.push_back(&m_servers.at(server->id).slowdown);
  }
  service->baseline.Recenter(slowdowns);
  service->baseline.Forget(m_loop->now() - m_thresholds->prefix_memory);
  for (const auto* server : service->pool.all()) {
    capacity::ServerSlowdown& slowdown = m_servers.at(server->id).slowdown;
    if (!slowdown.UpdateSlow()) continue;
    m_slowdown_changes.push_back(
        {server->id, server->service, slowdown.slow(), slowdown.Lasting()});
  }
}

std::vector<Backends::SlowdownChange> Backends::TakeSlowdownChanges() {
  return std::exchange(m_slowdown_changes, {});
}

std::size_t Backends::slow_servers() const {
  return static_cast<std::size_t>(
      std::count_if(m_servers.begin(), m_servers.end(), [](const auto& entry) {
        return entry.second.listed && entry.second.slowdown.slow();
      }));
}

capacity::ServiceCapacity Backends::ComputeCapacity(
    const std::string& service, const traffic::EngineLimits& engine) const {
  capacity::ServiceCapacity total;
  const auto                found = m_services.find(service);
  if (found == m_services.end()) return total;
  for (const auto* server : found->second.pool.all()) {
    const double slowdown = m_servers.at(server->id).slowdown.Lasting().factor;
    ++total.servers;
    total.slots += engine.slots / std::max(1.0, slowdown);
    total.memory += engine.cache_tokens;
  }
  return total;
}

void Backends::Sweep() {
  const Time now = m_loop->now();
  DropExpiredReports();
  for (auto& [name, service] : m_services) UpdateSlowdowns(&service);
  std::erase_if(m_sessions, [this, now](const auto& entry) {
    return now - entry.second.used > m_thresholds->prefix_memory;
  });
  for (auto& [id, state] : m_servers) {
    std::vector<BackendConnection*> stale;
    for (BackendConnection* connection : state.idle) {
      if (!connection->ReusableAt(now)) stale.push_back(connection);
    }
    for (BackendConnection* connection : stale) {
      std::erase(state.idle, connection);
      Destroy(connection);
    }
  }
  DropUnlisted();
}

bool Backends::ServerReport::operator==(const ServerReport& other) const {
  // Successful answers need no report, and failures decay on their own.
  constexpr double kTolerance = 0.5;
  return requests == other.requests &&
         slowdown_changed == other.slowdown_changed &&
         std::abs(outcomes.failures - other.outcomes.failures) < kTolerance;
}

void Backends::SetPeerReport(const std::string&   peer,
                             const ServerReports& reports) {
  const Time  now = m_loop->now();
  PeerReport& stored_report = m_peers[peer];
  SubtractFromTotals(stored_report.reports);
  stored_report = {reports, now};
  AddToTotals(reports);
  for (const auto& [id, report] : reports) {
    const auto found = m_servers.find(id);
    if (found != m_servers.end())
      found->second.slowdown.MergePeer(report.slowdown, now);
  }
}

Backends::ServerReports Backends::LocalReport() const {
  constexpr double kMinReportedFailures = 0.25;  // decayed failures
  ServerReports    reports;
  for (const auto& [id, state] : m_servers) {
    ServerReport report{state.load, state.outcomes.At(m_loop->now()),
                        state.slowdown.Unsent(),
                        state.slowdown.NeedsImmediateReport()};
    if (report.outcomes.failures < kMinReportedFailures) report.outcomes = {};
    if (report.requests > 0 || report.outcomes.failures > 0 ||
        report.slowdown.samples > 0) {
      reports[id] = report;
    }
  }
  return reports;
}

void Backends::OnReportSent(ServerReports* reports) {
  for (auto& [id, report] : *reports) {
    const auto found = m_servers.find(id);
    if (found != m_servers.end()) found->second.slowdown.TakeUnsent();
    report.slowdown = {};
    report.slowdown_changed = false;
  }
  std::erase_if(*reports, [](const auto& entry) {
    return entry.second.requests == 0 && entry.second.outcomes.failures <= 0;
  });
}

}  // namespace yuccawick::gateway

#include "yuccawick/gateway/exchange.h"

#include <algorithm>
#include <array>
#include <utility>

// Sending a request and ending an exchange. See exchange_prepare.cc for the
// steps before and exchange_answer.cc for the answer.

namespace yuccawick::gateway {
namespace {

using traffic::AttemptEvent;
using traffic::AttemptPhase;
using traffic::NextStep;
using traffic::Refusal;
using traffic::RequestKind;
using traffic::SendFailureCause;

constexpr double kPercent = 100.0;

// Refusals caused by an outage of the log.
bool IsLogOutage(Refusal refusal) {
  switch (refusal) {
    case Refusal::kLogAway:
    case Refusal::kHistoryUnsure:
    case Refusal::kBudgetUnsure:
    case Refusal::kLimitUnsure:
    case Refusal::kKeyUnsure:
    case Refusal::kRouteUnsure:
      return true;
    default:
      return false;
  }
}

ResumptionOutcome OutcomeOf(Refusal refusal) {
  switch (refusal) {
    case Refusal::kVersionUnknown:
      return ResumptionOutcome::kVersionUnknown;
    case Refusal::kVersionGone:
      return ResumptionOutcome::kVersionGone;
    default:
      return ResumptionOutcome::kOtherRefusal;
  }
}

}  // namespace

Exchange::Exchange(const GatewayParts& parts, ClientSide* client,
                   std::shared_ptr<const traffic::RouteTable> routes,
                   net::Head head, std::string body)
    : m_parts(parts),
      m_client(client),
      m_routes(std::move(routes)),
      m_head(std::move(head)),
      m_body(std::move(body)),
      m_phase(traffic::GetAttemptChart().Start()),
      m_start_time(parts.loop->now()),
      m_memory_charge(parts.memory, pressure::MemoryKind::kRequests),
      m_head_charge(parts.memory, pressure::MemoryKind::kConnections) {
  m_head_charge.Set(m_head.memory());
  UpdateMemoryCharge();
}

Exchange::~Exchange() {
  m_parts.loop->Cancel(&m_timer);
  m_parts.loop->Cancel(&m_wait_timer);
}

bool Exchange::Fire(AttemptEvent event) {
  const bool event_accepted = traffic::GetAttemptChart().Fire(&m_phase, event);
  if (!event_accepted) {
    m_parts.log->Write(LogEvent::kFault, {{"request", m_info.attempt},
                                          {"phase", Name(m_phase)},
                                          {"event", static_cast<int>(event)}});
  }
  return event_accepted;
}

void Exchange::UpdateMemoryCharge() {
  // Until the prompt is sent, its second copy stays reserved. Then the server's
  // connection accounts for it.
  const std::size_t copies = m_connection == nullptr && !m_progress.begun()
                                 ? pressure::kBodyCopies
                                 : 1;
  m_memory_charge.Set(copies * (m_body.capacity() + m_prompt_body.capacity()) +
                      m_plain_body.capacity() + m_output.capacity());
}

Duration Exchange::TimeLeft() const { return m_deadline - m_parts.loop->now(); }

Duration Exchange::NodeTimeLeft() const {
  return m_parts.stop->TimeLeft(m_parts.loop->now()).value_or(-1);
}

std::optional<Duration> Exchange::ProgramTimeLeft() const {
  if (!m_info.program_left) return std::nullopt;
  return *m_info.program_left - (m_parts.loop->now() - m_start_time);
}

int Exchange::Priority() const {
  if (m_workspace != nullptr && m_workspace->priority) {
    return *m_workspace->priority;
  }
  return m_route->priority;
}

std::string Exchange::SessionKey() const {
  if (!m_route->prefix_affinity) return {};
  return ScopedId(m_info.program + "/" + m_info.session);
}

// Sending --------------------------------------------------------------------

// Called before each send: the key may have been revoked while the request
// waited or the process was suspended.
bool Exchange::EnsureKeyValid() {
  if (m_workspace == nullptr) return true;
  const auto& newest_workspaces = (*m_parts.routes)->manifest()->workspaces;
  const bool  key_known =
      !newest_workspaces || newest_workspaces->FindByKey(m_info.key) != nullptr;
  const bool lease_valid = m_parts.key_lease->Holds(m_parts.loop->ReadClock());
  if (key_known && lease_valid) return true;
  EndUnsent(key_known ? Refusal::kKeyUnsure : Refusal::kUnknownKey, "key_gone");
  return false;
}

bool Exchange::EnsureEndsInTime() {
  if (m_parts.stop->Allows(m_deadline)) return true;
  EndUnsent(Refusal::kNodeStops, Name(Refusal::kNodeStops));
  return false;
}

void Exchange::EndUnsent(Refusal not_run, std::string_view why) {
  if (m_progress.begun()) {
    AbortAnswer(why);
  } else {
    Refuse(m_may_have_run ? Refusal::kServerFailed : not_run);
  }
}

std::string Exchange::BegunVersion() const {
  const auto& origin = m_progress.origin();
  return origin ? origin->version : std::string();
}

double Exchange::PromptMemoryPart() const {
  const auto* service = m_routes->manifest()->FindService(m_service);
  if (service == nullptr || !service->engine) return 0;
  const traffic::EngineLimits& engine = *service->engine;
  if (engine.cache_tokens <= 0) return 0;
  return static_cast<double>(m_info.prompt_tokens * engine.slots) /
         static_cast<double>(engine.cache_tokens);
}

traffic::ServerFilter Exchange::AllowedServers() const {
  traffic::ServerFilter filter{m_service, std::nullopt, m_tried_servers};
  const auto&           origin = m_progress.origin();
  if (origin) filter.version = origin->version;
  return filter;
}

void Exchange::IfSendable(std::function<void()> send) {
  m_parts.suspects->Check(
      m_key, IsShared(), m_service,
      [self = shared_from_this(),
       send = std::move(send)](const traffic::SendDecision& decision) {
        if (self->m_client == nullptr) return;
        self->m_only_servers = decision.only;
        if (decision.verdict == traffic::SendVerdict::kSend) {
          send();
        } else {
          self->Refuse(Refusal::kServerEnds);
        }
      });
}

void Exchange::Dispatch() {
  IfSendable([this] { ChooseServer(); });
}

void Exchange::ChooseServer() {
  const Backends::Prompt prompt{SessionKey(), ScopedId(m_info.program),
                                m_info.prompt_tokens, PromptMemoryPart()};
  traffic::ServerFilter  filter = AllowedServers();
  const auto             avoid = m_parts.suspects->ServersToAvoid(m_key);
  filter.avoid.insert(filter.avoid.end(), avoid.begin(), avoid.end());
  filter.only = m_only_servers;
  auto choice = m_parts.backends->Choose(filter, prompt);
  if (!choice && !(avoid.empty() && filter.only.empty())) {
    // Servers that were tried are no further ones.
    filter.avoid =
        filter.only.empty() ? m_tried_servers : std::vector<std::string>();
    choice = m_parts.backends->Choose(filter, prompt);
  }
  if (choice) {
    m_send_kind =
        filter.version ? Backends::SendKind::kBound : Backends::SendKind::kFree;
    SendTo(*choice, m_resends > 0);
    return;
  }
  RefuseWithoutServer();
}

void Exchange::RefuseWithoutServer() {
  RefuseWhenKnown(m_may_have_run        ? Refusal::kServerFailed
                  : m_progress.origin() ? Refusal::kVersionGone
                                        : Refusal::kNoServer);
}

void Exchange::SendTo(const Backends::Choice& choice, bool fresh) {
  if (!EnsureKeyValid() || !EnsureEndsInTime()) return;
  const traffic::BackendServer& server = choice.server;
  const std::string             after_event =
      m_progress.begun() ? m_progress.last_id() : m_info.last_event;
  const auto permit =
      m_progress.PermitSend(server, m_route->resumable ? after_event : "");
  if (!permit) {
    RefuseWithoutServer();
    return;
  }
  m_server_id = server.id;
  m_events = {};
  m_plain_body.clear();
  m_last_event_time = 0;
  m_had_free_slot = choice.load < 1.0;
  UpdateMemoryCharge();
  m_connection = m_parts.backends->Acquire(server.id, fresh);
  if (m_connection == nullptr) {
    OnSendFailed(SendFailureCause::kNotConnected);
    return;
  }
  m_parts.suspects->OnSending(m_key, server.id, TimeLeft());
  platform::Forwarding forwarding(*permit);
  forwarding.left = std::max<Duration>(1, TimeLeft());
  const bool is_model = m_route->kind == RequestKind::kStreaming;
  forwarding.urgency =
      is_model ? traffic::ComputeUrgency(Priority(), ProgramTimeLeft()) : -1;
  forwarding.has_workspaces = m_routes->manifest()->workspaces.has_value();
  if (m_workspace != nullptr) forwarding.workspace = m_workspace->name;
  forwarding.last_event = after_event;
  forwarding.body_bytes = m_prompt_body.size();
  m_parts.log->Write(
      LogEvent::kSent,
      {{"request", m_info.attempt},
       {"server", server.id},
       {"server_zone", server.zone},
       {"version", server.version},
       {"begun_version", BegunVersion()},
       {"begun_known_from", Name(m_origin_source)},
       {"load_per_slot_pct", static_cast<int>(choice.load * kPercent)},
       {"failures_pct", static_cast<int>(choice.failure_share * kPercent)},
       {"pace_pct", static_cast<int>(choice.slowdown * kPercent)},
       {"repeats", m_resends},
       {"tokens_counted_by", m_reservation.coordinator},
       {"after_event", forwarding.last_event},
       {"left_ms", forwarding.left}});
  // The earlier send may have run, so both sends count against the rate limit.
  if (m_may_have_run && m_rate_token)
    m_parts.limiter->Charge(m_workspace->name);
  const bool connected = m_connection->connected();
  m_connection->Send(this, m_head.method,
                     platform::EncodeRequest(m_head, forwarding),
                     m_prompt_body);
  UpdateMemoryCharge();
  if (connected) OnBackendConnected();
}

void Exchange::OnBackendConnected() {
  if (!m_parts.backends->MaySend(m_server_id, m_send_kind)) {
    // It began to leave while the connection opened; nothing was sent yet.
    DetachServer(false);
    m_parts.suspects->OnReleased(m_key, m_server_id);
    OnSendFailed(SendFailureCause::kNotRun);
    return;
  }
  m_sent_time = m_parts.loop->now();
  if (std::find(m_sent_servers.begin(), m_sent_servers.end(), m_server_id) ==
      m_sent_servers.end()) {
    m_sent_servers.push_back(m_server_id);
  }
  Fire(AttemptEvent::kConnected);
}

void Exchange::DetachServer(bool reuse) {
  BackendConnection* connection = std::exchange(m_connection, nullptr);
  if (connection == nullptr) return;
  UpdateMemoryCharge();
  if (reuse) {
    m_parts.backends->Release(connection);
  } else {
    m_parts.backends->Discard(connection);
  }
}

void Exchange::GiveUpServer() {
  if (m_connection == nullptr) return;
  if (m_connection->connected()) {
    m_parts.suspects->OnLeft(m_key, IsShared(), m_server_id, m_sent_time);
  } else {
    m_parts.suspects->OnReleased(m_key, m_server_id);
  }
  DetachServer(false);
}

void Exchange::OnBackendFailed(SendFailureCause cause) {
  DetachServer(false);
  m_parts.backends->ObserveFailure(m_server_id);
  switch (cause) {
    case SendFailureCause::kBroken:
      m_parts.suspects->OnBroken(m_key, m_server_id, m_sent_time);
      break;
    case SendFailureCause::kBadAnswer:
      m_parts.suspects->OnLeft(m_key, IsShared(), m_server_id, m_sent_time);
      break;
    case SendFailureCause::kNotConnected:
      m_parts.suspects->OnReleased(m_key, m_server_id);
      m_parts.suspects->OnNotConnected(m_server_id);
      break;
    case SendFailureCause::kNotRun:
      m_parts.suspects->OnReleased(m_key, m_server_id);
      break;
  }
  OnSendFailed(cause);
}

void Exchange::OnSendFailed(SendFailureCause cause) {
  const auto self = shared_from_this();
  m_parts.metrics->CountSendFailure(cause);
  m_tried_servers.push_back(m_server_id);
  if (cause == SendFailureCause::kBroken ||
      cause == SendFailureCause::kBadAnswer) {
    m_may_have_run = true;
  }
  traffic::SendFailure failure;
  failure.cause = cause;
  failure.servers_sent = static_cast<int>(m_sent_servers.size());
  failure.repeats = m_resends;
  failure.in_doubt = m_may_have_run;
  failure.answering = m_progress.begun();
  failure.can_continue = m_progress.CanContinue(*m_route);
  failure.other_server = m_parts.backends->HasServer(AllowedServers());
  failure.left = TimeLeft();
  const NextStep step = traffic::DecideNextStep(*m_route, failure);
  m_parts.log->Write(LogEvent::kLoss,
                     {{"request", m_info.attempt},
                      {"server", m_server_id},
                      {"cause", Name(cause)},
                      {"events_passed", m_event_count},
                      {"first_id", m_progress.first_id()},
                      {"in_doubt", m_may_have_run ? "yes" : "no"},
                      {"left_ms", failure.left},
                      {"next", Name(step)}});
  switch (step) {
    case NextStep::kOtherServer:
    case NextStep::kSameServer:
      m_parts.metrics->CountRetry(cause);
      SendAgain(step);
      break;
    case NextStep::kRefuse:
    case NextStep::kFail:
    case NextStep::kCutOff:
      WhenServersKnown(0,
                       [this, step, cause] { EndAfterFailure(step, cause); });
      break;
  }
}

void Exchange::WhenServersKnown(std::size_t index, std::function<void()> done) {
  if (index == m_sent_servers.size()) {
    done();
    return;
  }
  m_parts.suspects->WhenKnown(
      m_sent_servers[index],
      [self = shared_from_this(), index, done = std::move(done)] {
        if (self->m_client != nullptr) self->WhenServersKnown(index + 1, done);
      });
}

void Exchange::RefuseWhenKnown(Refusal refusal) {
  WhenServersKnown(0, [this, refusal] { Refuse(refusal); });
}

void Exchange::EndAfterFailure(NextStep step, SendFailureCause cause) {
  if (step == NextStep::kCutOff) {
    AbortAnswer(Name(cause));
  } else if (step == NextStep::kFail) {
    Refuse(Refusal::kServerFailed);
  } else {
    Refuse(cause == SendFailureCause::kNotRun ? Refusal::kOverloaded
                                              : Refusal::kNoServer);
  }
}

void Exchange::SendAgain(NextStep step) {
  ++m_resends;
  if (!Fire(AttemptEvent::kSendAgain)) return;
  if (step == NextStep::kOtherServer) {
    Dispatch();
  } else {
    m_parts.suspects->WhenKnown(m_server_id, [self = shared_from_this()] {
      if (self->m_client == nullptr) return;
      self->IfSendable([self] { self->SendToSameServer(); });
    });
  }
}

void Exchange::SendToSameServer() {
  const auto same_server =
      m_parts.backends->Find(m_server_id, Backends::SendKind::kBound);
  const bool has_ended = m_parts.suspects->HasEnded(m_server_id);
  if (same_server && m_progress.MayServe(same_server->server) && !has_ended) {
    m_send_kind = Backends::SendKind::kBound;
    SendTo(*same_server, true);
    return;
  }
  // A server that ended doesn't count towards those that the route allows. One
  // whose entry lapsed may still run the request.
  const bool may_use_another =
      has_ended ||
      static_cast<int>(m_sent_servers.size()) < m_route->max_attempts;
  if (may_use_another) {
    Dispatch();
  } else {
    RefuseWhenKnown(Refusal::kServerFailed);
  }
}

// Ending ---------------------------------------------------------------------

bool Exchange::MayHaveRun() const {
  return m_may_have_run || m_phase == AttemptPhase::kSent ||
         m_phase == AttemptPhase::kAnswering;
}

void Exchange::OnDeadline() {
  const auto self = shared_from_this();
  if (m_client == nullptr) return;
  const bool sent = MayHaveRun();
  if (sent && !m_progress.begun())
    m_parts.backends->ObserveBadAnswer(m_server_id);
  GiveUpServer();
  if (m_progress.begun()) {
    AbortAnswer("out_of_time");
  } else {
    Refuse(sent ? Refusal::kLateSent : Refusal::kLateUnsent);
  }
}

Duration Exchange::NotReadyDelay(const GatewayParts& parts) {
  return std::clamp(parts.loop->now() - parts.started,
                    parts.thresholds->start_delay,
                    parts.thresholds->outage_return);
}

Duration Exchange::RetryAfter(Refusal refusal) const {
  if (!traffic::IsRetriable(refusal)) return -1;
  const Thresholds& limits = *m_parts.thresholds;
  Duration          mean_delay = limits.return_delay;
  if (refusal == Refusal::kNotReady) mean_delay = NotReadyDelay(m_parts);
  if (refusal == Refusal::kOverLimit) {
    mean_delay = std::max(m_rate_retry_delay, limits.return_delay);
  }
  if (refusal == Refusal::kNoRoom) mean_delay = m_reservation.retry_delay;
  if (refusal == Refusal::kNodeStops) {
    mean_delay = m_parts.peers->OthersServeZone() ? limits.handover_delay
                                                  : limits.start_delay;
  }
  if (IsLogOutage(refusal)) {
    const auto outage = OutageAge();
    if (outage && *outage >= limits.log_wait && m_deadline > 0) {
      return traffic::OutageRetryDelay(TimeLeft(), UniformRandom());
    }
    mean_delay = std::clamp(m_parts.peers->LongestOutage(), limits.return_delay,
                            limits.outage_return);
  }
  // Jitter of 0.5 to 1.5 times the mean, so that clients refused together do
  // not retry together.
  return static_cast<Duration>(static_cast<double>(mean_delay) *
                               (0.5 + UniformRandom()));
}

void Exchange::Refuse(Refusal refusal) {
  const auto self = shared_from_this();
  const auto end = m_progress.PermitOwnAnswer();
  if (!end) {
    AbortAnswer(Name(refusal));
    return;
  }
  const AttemptPhase refused_in = m_phase;
  Fire(AttemptEvent::kRefuse);
  GiveUpServer();
  m_parts.metrics->CountRefusal(refusal);
  if (m_route != nullptr && IsResumption())
    m_parts.metrics->CountResumption(OutcomeOf(refusal));
  const Duration retry_after = RetryAfter(refusal);
  m_parts.log->Write(LogEvent::kRefused,
                     {{"request", m_info.attempt},
                      {"program", m_info.program},
                      {"reason", Name(refusal)},
                      {"status", Status(refusal)},
                      {"phase", Name(refused_in)},
                      {"retry_after_ms", retry_after},
                      {"tokens_counted_by", m_reservation.coordinator},
                      {"left_ms", m_deadline == 0 ? 0 : TimeLeft()},
                      {"node_ends_in_ms", NodeTimeLeft()},
                      {"took_ms", m_parts.loop->now() - m_start_time}});
  // A node that refused one request will refuse the next one like it.
  if (refusal == Refusal::kNodeStops) m_client->CloseAfterAnswer();
  const bool close =
      refusal == Refusal::kMalformed || m_client->ClosesAfterAnswer();
  const std::string answer =
      platform::EncodeOwnAnswer({m_head.method, Status(refusal), Name(refusal),
                                 m_info.attempt, retry_after, close});
  ClientSide* client = m_client;
  End();
  client->SendAnswer(*end, answer);
}

void Exchange::LogCutOff(std::string_view why) {
  m_parts.log->Write(LogEvent::kCutOff,
                     {{"request", m_info.attempt},
                      {"why", why},
                      {"phase", Name(m_phase)},
                      {"server", m_server_id},
                      {"events", m_event_count},
                      {"left_ms", TimeLeft()},
                      {"took_ms", m_parts.loop->now() - m_start_time}});
}

void Exchange::OnNodeStopping() {
  if (m_client != nullptr && m_phase == AttemptPhase::kPreparing)
    EnsureEndsInTime();
}

void Exchange::OnNodeEnd() {
  const auto self = shared_from_this();
  if (m_client == nullptr) return;
  if (m_progress.begun()) {
    AbortAnswer(Name(Refusal::kNodeEnds));
  } else {
    Refuse(MayHaveRun() ? Refusal::kNodeEnds : Refusal::kNodeStops);
  }
}

void Exchange::AbortAnswer(std::string_view why) {
  const auto self = shared_from_this();
  GiveUpServer();
  LogCutOff(why);
  ClientSide* client = m_client;
  End();
  client->BreakAnswer();
}

void Exchange::OnClientDisconnected() {
  const auto self = shared_from_this();
  m_parts.log->Write(LogEvent::kClientLeft,
                     {{"request", m_info.attempt},
                      {"phase", Name(m_phase)},
                      {"server", m_server_id},
                      {"took_ms", m_parts.loop->now() - m_start_time}});
  // Closing the connection cancels the request at the server.
  GiveUpServer();
  End();
}

void Exchange::End() {
  m_client = nullptr;
  m_parts.loop->Cancel(&m_timer);
  m_parts.loop->Cancel(&m_wait_timer);
  if (m_phase != AttemptPhase::kDone) Fire(AttemptEvent::kFinish);
  m_parts.dispatcher->Release(&m_dispatch_id);
  if (m_rate_token && m_rate_token->tokens > 0 && m_sent_servers.empty()) {
    m_parts.limiter->Refund(m_workspace->name, *m_rate_token);
  }
  m_rate_token.reset();
  if (std::exchange(m_reserved, false)) {
    m_parts.peers->EndTurn(m_reservation, m_tokens_used,
                           m_event_count > 0 ? m_server_id : std::string());
  }
  ReleaseRequest();
}

void Exchange::ReleaseRequest() {
  m_head = {};
  m_body = {};
  m_prompt_body = {};
  m_head_charge.Set(0);
  UpdateMemoryCharge();
}

}  // namespace yuccawick::gateway

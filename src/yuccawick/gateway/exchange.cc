#include "yuccawick/gateway/exchange.h"

#include <algorithm>
#include <array>
#include <utility>

// Index: Sending, Ending. What comes before is in exchange_prepare.cc, what
// comes back in exchange_answer.cc.

namespace yuccawick::gateway {
namespace {

using traffic::AttemptEvent;
using traffic::AttemptPhase;
using traffic::NextStep;
using traffic::Refusal;
using traffic::RequestKind;
using traffic::SendFailureCause;

constexpr double kPercent = 100.0;

// Refusals that end with an outage of the log.
bool NeedsLog(Refusal refusal) {
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
      m_began(parts.loop->now()),
      m_held(parts.memory, pressure::MemoryKind::kRequests) {
  CountHeld();
}

Exchange::~Exchange() {
  m_parts.loop->Cancel(&m_timer);
  m_parts.loop->Cancel(&m_patience_timer);
}

bool Exchange::Fire(AttemptEvent event) {
  const bool moved = traffic::GetAttemptChart().Fire(&m_phase, event);
  if (!moved) {
    m_parts.log->Write(LogEvent::kFault, {{"request", m_info.attempt},
                                          {"phase", Name(m_phase)},
                                          {"event", static_cast<int>(event)}});
  }
  return moved;
}

void Exchange::CountHeld() {
  m_held.Set(m_body.size() + m_chain.size() + m_plain.size() + m_output.size());
}

Duration Exchange::Left() const { return m_due - m_parts.loop->now(); }

std::optional<Duration> Exchange::ProgramLeft() const {
  if (!m_info.program_left) return std::nullopt;
  return *m_info.program_left - (m_parts.loop->now() - m_began);
}

int Exchange::Priority() const {
  if (m_workspace != nullptr && m_workspace->priority) {
    return *m_workspace->priority;
  }
  return m_route->priority;
}

std::string Exchange::LineKey() const {
  if (!m_route->prefix_affinity) return {};
  return InScope(m_info.program + "/" + m_info.session);
}

// Sending --------------------------------------------------------------------

// Asked at each send: while a request waited, or its node was frozen, its key
// may have been taken away.
bool Exchange::KeyHolds() {
  if (m_workspace == nullptr) return true;
  const auto& newest = (*m_parts.routes)->manifest()->workspaces;
  const bool  known = !newest || newest->FindByKey(m_info.key) != nullptr;
  const bool  sure = m_parts.key_lease->Holds(m_parts.loop->ReadClock());
  if (known && sure) return true;
  if (m_passed_head) {
    CutOff("key_gone");
  } else if (m_in_doubt) {
    Refuse(Refusal::kServerFailed);
  } else {
    Refuse(known ? Refusal::kKeyUnsure : Refusal::kUnknownKey);
  }
  return false;
}

double Exchange::MemoryPart() const {
  const auto* service = m_routes->manifest()->FindService(m_service);
  if (service == nullptr || !service->engine) return 0;
  const traffic::EngineLimits& engine = *service->engine;
  if (engine.cache_tokens <= 0) return 0;
  return static_cast<double>(m_info.prompt_tokens * engine.slots) /
         static_cast<double>(engine.cache_tokens);
}

void Exchange::Dispatch() {
  const auto choice = m_parts.backends->Choose(
      m_service,
      {LineKey(), InScope(m_info.program), m_info.prompt_tokens, MemoryPart()},
      m_tried);
  if (!choice) {
    Refuse(m_in_doubt ? Refusal::kServerFailed : Refusal::kNoServer);
  } else {
    SendTo(*choice, m_repeats > 0);
  }
}

void Exchange::SendTo(const Backends::Choice& choice, bool fresh) {
  if (!KeyHolds()) return;
  const traffic::BackendServer& server = choice.server;
  m_server_id = server.id;
  m_has_answer = false;
  m_events = {};
  m_plain.clear();
  m_last_event_at = 0;
  m_found_free = choice.load < 1.0;
  CountHeld();
  m_connection = m_parts.backends->Acquire(server.id, fresh);
  if (m_connection == nullptr) {
    Lost(SendFailureCause::kNotConnected);
    return;
  }
  platform::Forwarding forwarding;
  forwarding.server = &server;
  forwarding.left = std::max<Duration>(1, Left());
  const bool is_model = m_route->kind == RequestKind::kStreaming;
  forwarding.urgency =
      is_model ? traffic::ComputeUrgency(Priority(), ProgramLeft()) : -1;
  forwarding.has_workspaces = m_routes->manifest()->workspaces.has_value();
  if (m_workspace != nullptr) forwarding.workspace = m_workspace->name;
  forwarding.last_event =
      m_last_event.empty() ? m_info.last_event : m_last_event;
  forwarding.body_bytes = m_chain.size();
  m_parts.log->Write(
      LogEvent::kSent,
      {{"request", m_info.attempt},
       {"server", server.id},
       {"server_zone", server.zone},
       {"load_per_slot_pct", static_cast<int>(choice.load * kPercent)},
       {"failures_pct", static_cast<int>(choice.failure_share * kPercent)},
       {"pace_pct", static_cast<int>(choice.slowdown * kPercent)},
       {"repeats", m_repeats},
       {"tokens_counted_by", m_reservation.coordinator},
       {"after_event", forwarding.last_event},
       {"left_ms", forwarding.left}});
  // An earlier send may have run, and counts beside this one.
  if (m_in_doubt && m_rate_token) m_parts.limiter->Charge(m_workspace->name);
  const bool connected = m_connection->connected();
  m_connection->Send(this,
                     platform::EncodeRequest(m_head, forwarding) + m_chain);
  if (connected) OnBackendConnected();
}

void Exchange::OnBackendConnected() {
  m_sent_at = m_parts.loop->now();
  if (std::find(m_sent_to.begin(), m_sent_to.end(), m_server_id) ==
      m_sent_to.end()) {
    m_sent_to.push_back(m_server_id);
  }
  Fire(AttemptEvent::kConnected);
}

void Exchange::LeaveServer(bool keep) {
  BackendConnection* connection = std::exchange(m_connection, nullptr);
  if (connection == nullptr) return;
  if (keep) {
    m_parts.backends->Release(connection);
  } else {
    m_parts.backends->Discard(connection);
  }
}

void Exchange::OnBackendFailed(SendFailureCause cause) {
  LeaveServer(false);
  m_parts.backends->ObserveFailure(m_server_id);
  Lost(cause);
}

void Exchange::Lost(SendFailureCause cause) {
  const auto self = shared_from_this();
  m_parts.metrics->CountSendFailure(cause);
  m_tried.push_back(m_server_id);
  if (cause == SendFailureCause::kBroken ||
      cause == SendFailureCause::kBadAnswer) {
    m_in_doubt = true;
  }
  traffic::SendFailure loss;
  loss.cause = cause;
  loss.servers_sent = static_cast<int>(m_sent_to.size());
  loss.repeats = m_repeats;
  loss.in_doubt = m_in_doubt;
  loss.answering = m_passed_head;
  loss.other_server = m_parts.backends->AnyIn(m_service, m_tried);
  loss.left = Left();
  const NextStep step = traffic::DecideNextStep(*m_route, loss);
  m_parts.log->Write(LogEvent::kLoss, {{"request", m_info.attempt},
                                       {"server", m_server_id},
                                       {"cause", Name(cause)},
                                       {"events_passed", m_event_count},
                                       {"in_doubt", m_in_doubt ? "yes" : "no"},
                                       {"left_ms", loss.left},
                                       {"next", Name(step)}});
  switch (step) {
    case NextStep::kOtherServer:
    case NextStep::kSameServer:
      m_parts.metrics->CountRetry(cause);
      SendAgain(step);
      break;
    case NextStep::kRefuse:
      Refuse(cause == SendFailureCause::kNotRun ? Refusal::kOverloaded
                                                : Refusal::kNoServer);
      break;
    case NextStep::kFail:
      Refuse(Refusal::kServerFailed);
      break;
    case NextStep::kCutOff:
      CutOff(Name(cause));
      break;
  }
}

void Exchange::SendAgain(NextStep step) {
  ++m_repeats;
  if (!Fire(AttemptEvent::kSendAgain)) return;
  if (step == NextStep::kOtherServer) {
    Dispatch();
    return;
  }
  const auto same = m_parts.backends->Find(m_server_id);
  if (!same) {
    // It has ended meanwhile, so another one costs the route nothing.
    Dispatch();
    return;
  }
  SendTo(*same, true);
}

// Ending ---------------------------------------------------------------------

void Exchange::OutOfTime() {
  const auto self = shared_from_this();
  if (m_client == nullptr) return;
  const bool sent = m_in_doubt || m_phase == AttemptPhase::kSent ||
                    m_phase == AttemptPhase::kAnswering;
  if (sent && !m_passed_head) m_parts.backends->ObserveBadAnswer(m_server_id);
  LeaveServer(false);
  if (m_passed_head) {
    CutOff("out_of_time");
  } else {
    Refuse(sent ? Refusal::kLateSent : Refusal::kLateUnsent);
  }
}

Duration Exchange::RetryAfter(Refusal refusal) const {
  if (!traffic::IsRetriable(refusal)) return -1;
  const Thresholds& limits = *m_parts.thresholds;
  Duration          mean = limits.return_delay;
  if (refusal == Refusal::kNotReady) {
    mean = std::clamp(m_parts.loop->now() - m_parts.started, limits.start_delay,
                      limits.outage_return);
  }
  if (refusal == Refusal::kOverLimit) {
    mean = std::max(m_limit_return, limits.return_delay);
  }
  if (refusal == Refusal::kNoRoom) mean = m_reservation.retry_delay;
  if (NeedsLog(refusal)) {
    const auto away = OutageAge();
    if (away && *away >= limits.log_wait && m_due > 0) {
      return traffic::OutageRetryDelay(Left(), Draw());
    }
    mean = std::clamp(m_parts.peers->LongestOutage(), limits.return_delay,
                      limits.outage_return);
  }
  // Spread over half to one and a half of the mean: clients refused together
  // would otherwise come back together.
  return static_cast<Duration>(static_cast<double>(mean) * (0.5 + Draw()));
}

void Exchange::Refuse(Refusal refusal) {
  const auto self = shared_from_this();
  LeaveServer(false);
  m_parts.metrics->CountRefusal(refusal);
  const Duration again = RetryAfter(refusal);
  m_parts.log->Write(LogEvent::kRefused,
                     {{"request", m_info.attempt},
                      {"program", m_info.program},
                      {"reason", Name(refusal)},
                      {"status", Status(refusal)},
                      {"phase", Name(m_phase)},
                      {"retry_after_ms", again},
                      {"tokens_counted_by", m_reservation.coordinator},
                      {"took_ms", m_parts.loop->now() - m_began}});
  const bool close =
      refusal == Refusal::kMalformed || m_client->ClosesAfterAnswer();
  m_client->WriteToClient(platform::EncodeOwnAnswer(
      Status(refusal), Name(refusal), m_info.attempt, again, close));
  ClientSide* client = m_client;
  End();
  client->AnswerDone();
}

void Exchange::CutOff(std::string_view why) {
  const auto self = shared_from_this();
  LeaveServer(false);
  m_parts.log->Write(LogEvent::kCutOff,
                     {{"request", m_info.attempt},
                      {"why", why},
                      {"events", m_event_count},
                      {"took_ms", m_parts.loop->now() - m_began}});
  ClientSide* client = m_client;
  End();
  client->AnswerBroken();
}

void Exchange::OnClientDisconnected() {
  const auto self = shared_from_this();
  m_parts.log->Write(LogEvent::kClientLeft,
                     {{"request", m_info.attempt},
                      {"phase", Name(m_phase)},
                      {"server", m_server_id},
                      {"took_ms", m_parts.loop->now() - m_began}});
  // Closing the connection is how a server learns that nobody waits any more.
  LeaveServer(false);
  End();
}

void Exchange::End() {
  m_client = nullptr;
  m_parts.loop->Cancel(&m_timer);
  m_parts.loop->Cancel(&m_patience_timer);
  if (m_phase != AttemptPhase::kDone) Fire(AttemptEvent::kFinish);
  m_parts.gate->Release(&m_gate_id);
  if (m_rate_token && m_rate_token->tokens > 0 && m_sent_to.empty()) {
    m_parts.limiter->Refund(m_workspace->name, *m_rate_token);
  }
  m_rate_token.reset();
  if (std::exchange(m_reserved, false)) {
    m_parts.peers->EndTurn(m_reservation, m_tokens_used,
                           m_event_count > 0 ? m_server_id : std::string());
  }
}

}  // namespace yuccawick::gateway

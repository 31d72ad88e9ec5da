#include <algorithm>
#include <random>
#include <utility>

#include "yuccawick/gateway/exchange.h"

// The steps of an exchange before its request is sent: key check, rate limit,
// log, history, token reservation and dispatch queue. See exchange.cc for the
// rest.

namespace yuccawick::gateway {

using traffic::AttemptEvent;
using traffic::AttemptPhase;
using traffic::Refusal;
using traffic::RequestKind;

namespace {

Refusal RefusalFor(ReserveOutcome outcome) {
  switch (outcome) {
    case ReserveOutcome::kSpent:
      return Refusal::kBudgetSpent;
    case ReserveOutcome::kNoRoom:
      return Refusal::kNoRoom;
    default:
      return Refusal::kBudgetUnsure;
  }
}

}  // namespace

double Exchange::UniformRandom() {
  static thread_local std::mt19937_64 random(std::random_device{}());
  return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

void Exchange::Start() {
  if (!CheckRequest()) return;
  StartTimer();
  m_parts.stop->OnRequest(m_deadline - m_start_time);
  if (!EnsureEndsInTime()) return;
  WaitForKeyLease();
}

// Waits until the manifest is recent enough to check keys. Refuses at once if
// only this node is cut off from the log, so that the client can use another.
void Exchange::WaitForKeyLease() {
  if (m_client == nullptr) return;
  const bool needs_key =
      m_routes->manifest()->workspaces.has_value() && !m_route->is_public;
  if (needs_key && !m_parts.key_lease->Holds(m_parts.loop->ReadClock())) {
    m_wait_refusal = Refusal::kKeyUnsure;
    const bool isolated =
        !OutageAge() && m_parts.turns->reader().UnavailableFor() > 0;
    if (isolated || !MayWaitLonger()) {
      Refuse(m_wait_refusal);
      return;
    }
    m_parts.loop->After(
        m_parts.thresholds->log_wait_pause,
        [self = shared_from_this()] { self->WaitForKeyLease(); });
    return;
  }
  if (!CheckKey()) return;
  m_key = traffic::RequestKeyOf(
      m_workspace == nullptr ? std::string_view() : m_workspace->name,
      m_head.method, m_head.target, m_body, m_info);
  m_parts.log->Write(LogEvent::kAccepted,
                     {{"request", m_info.attempt},
                      {"workspace", m_workspace == nullptr ? std::string_view()
                                                           : m_workspace->name},
                      {"request_key", traffic::Text(m_key)},
                      {"program", m_info.program},
                      {"previous", m_info.previous_turn},
                      {"resumes", m_info.resumes},
                      {"route", m_route->name},
                      {"service", m_service},
                      {"manifest", m_routes->manifest()->version},
                      {"left_ms", TimeLeft()},
                      {"node_ends_in_ms", NodeTimeLeft()}});
  IfSendable([this] { FindStreamOrigin(); });
}

bool Exchange::IsResumption() const {
  return m_route->resumable && m_route->kind == RequestKind::kStreaming &&
         !(m_info.last_event.empty() && m_info.resumes.empty());
}

void Exchange::FindStreamOrigin() {
  if (!IsResumption()) {
    AcquireRateToken();
    return;
  }
  // The record of the turn would have only the rest of its output.
  if (m_route->keeps_turns) {
    Refuse(Refusal::kPartialTurn);
    return;
  }
  m_wait_refusal = Refusal::kVersionUnknown;
  const std::string attempt =
      m_info.resumes.empty() ? std::string() : ScopedId(m_info.resumes);
  m_parts.stream_origins->Find(
      attempt, *m_route, [self = shared_from_this()](const FoundOrigin& found) {
        if (self->m_client != nullptr) self->OnStreamOrigin(found);
      });
}

void Exchange::OnStreamOrigin(const FoundOrigin& found) {
  if (!found.origin) {
    Refuse(Refusal::kVersionUnknown);
    return;
  }
  m_progress.ResumeAt(*found.origin);
  m_origin_source = found.source;
  // The route may have moved to another service since.
  m_service = found.origin->service;
  const bool allowed = std::any_of(
      m_route->services.begin(), m_route->services.end(),
      [this](const auto& each) { return each.service == m_service; });
  if (!allowed || !m_parts.backends->HasServer(AllowedServers())) {
    Refuse(Refusal::kVersionGone);
    return;
  }
  AcquireRateToken();
}

void Exchange::Reject(Refusal refusal) {
  // Decodes the attempt id, if the request has one, for the answer.
  platform::DecodeRequest(m_head, &m_info);
  const auto bound = MaxDuration(m_parts, m_routes.get(), m_head);
  if (bound) {
    m_deadline = m_start_time + *bound;
    m_parts.stop->OnRequest(*bound);
  }
  Refuse(refusal);
}

std::optional<Duration> Exchange::MaxDuration(const GatewayParts&        parts,
                                              const traffic::RouteTable* routes,
                                              const net::Head&           head) {
  traffic::RequestInfo info;
  if (routes == nullptr || !platform::DecodeRequest(head, &info))
    return std::nullopt;
  const traffic::Route* route = routes->Find(info.host, head.target);
  if (route == nullptr) return std::nullopt;
  return MaxDuration(parts, *route, info);
}

Duration Exchange::MaxDuration(const GatewayParts&         parts,
                               const traffic::Route&       route,
                               const traffic::RequestInfo& info) {
  if (!info.deadline) return route.timeout;
  return std::min(route.timeout, *info.deadline - parts.thresholds->answer_way);
}

bool Exchange::CheckRequest() {
  if (!platform::DecodeRequest(m_head, &m_info) || m_info.attempt.empty()) {
    Refuse(Refusal::kMalformed);
    return false;
  }
  if (m_routes == nullptr) {
    Refuse(Refusal::kNotReady);
    return false;
  }
  m_route = m_routes->Find(m_info.host, m_head.target);
  if (m_route == nullptr) {
    // The route may exist in a manifest that this node has not received. A
    // retriable refusal lets the client reach a node that has.
    Refuse(m_parts.peers->FollowsManifest() ? Refusal::kNoRoute
                                            : Refusal::kRouteUnsure);
    return false;
  }
  m_service = traffic::PickService(*m_route, UniformRandom());
  return true;
}

bool Exchange::CheckKey() {
  const auto& workspaces = m_routes->manifest()->workspaces;
  if (!workspaces || m_route->is_public) return true;
  m_workspace = workspaces->FindByKey(m_info.key);
  if (m_workspace == nullptr) {
    // The key may exist in a newer manifest: one that this node has not
    // received, or one that arrived while the request waited.
    const bool manifest_is_newest =
        m_parts.peers->FollowsManifest() && m_routes == *m_parts.routes;
    Refuse(manifest_is_newest ? Refusal::kUnknownKey : Refusal::kKeyUnsure);
    return false;
  }
  return true;
}

void Exchange::StartTimer() {
  const Duration limit = MaxDuration(m_parts, *m_route, m_info);
  m_deadline = m_start_time + limit;
  m_timer = m_parts.loop->After(limit, [this] {
    m_timer = 0;
    OnDeadline();
  });
  m_wait_timer =
      m_parts.loop->After(WaitTimeLeft(), [this] { OnWaitTimeout(); });
}

std::optional<Duration> Exchange::OutageAge() const {
  if (m_parts.turns->CanPersist()) return std::nullopt;
  return m_parts.turns->reader().UnavailableFor();
}

Duration Exchange::MaxLogWait() const {
  const Thresholds& limits = *m_parts.thresholds;
  if (!OutageAge()) return limits.log_wait;
  return traffic::OutageHoldTime({limits.outage_hold, limits.outage_hold_share},
                                 m_deadline - m_start_time);
}

bool Exchange::MayWaitLonger() {
  // Keeps the longest limit: MaxLogWait() is shorter after an outage, which
  // would refuse the requests that waited for the end of the outage.
  m_max_log_wait = std::max(m_max_log_wait, MaxLogWait());
  const Duration waited = m_parts.loop->now() - m_start_time;
  return waited + m_parts.thresholds->log_wait_pause <= m_max_log_wait;
}

void Exchange::AcquireRateToken() {
  if (m_workspace == nullptr) {
    WaitForLog();
    return;
  }
  m_wait_refusal = Refusal::kLimitUnsure;
  const ProgramStep step{ScopedId(m_info.program),
                         !m_info.previous_turn.empty(), MaxLogWait()};
  m_parts.limiter->Acquire(
      *m_workspace, step,
      [self = shared_from_this()](const RateLimitResult& result) {
        if (self->m_client == nullptr) {
          if (result.token.tokens > 0) {
            self->m_parts.limiter->Refund(self->m_workspace->name,
                                          result.token);
          }
          return;
        }
        self->m_rate_retry_delay = result.retry_delay;
        switch (result.outcome) {
          case RateLimitOutcome::kAdmitted:
            self->m_rate_token = result.token;
            self->WaitForLog();
            break;
          case RateLimitOutcome::kOverLimit:
            self->Refuse(Refusal::kOverLimit);
            break;
          case RateLimitOutcome::kUnsure:
            self->Refuse(Refusal::kLimitUnsure);
            break;
        }
      });
}

// Waits for the log before the turn is sent. A turn that cannot be persisted
// would be aborted at its last event, after spending the program's tokens that
// the next attempt needs.
void Exchange::WaitForLog() {
  if (m_client == nullptr) return;
  if (!m_route->keeps_turns || m_parts.turns->CanPersist()) {
    FindHistory();
    return;
  }
  m_wait_refusal = Refusal::kLogAway;
  if (!MayWaitLonger()) {
    Refuse(m_wait_refusal);
    return;
  }
  if (m_parts.loop->now() == m_start_time) {
    m_parts.log->Write(
        LogEvent::kWaiting,
        {{"request", m_info.attempt},
         {"log_away_ms", m_parts.turns->reader().UnavailableFor()}});
  }
  m_parts.loop->After(m_parts.thresholds->log_wait_pause,
                      [self = shared_from_this()] { self->WaitForLog(); });
}

Duration Exchange::WaitTimeLeft() const {
  const auto max_wait =
      static_cast<Duration>(m_parts.thresholds->wait_share *
                            static_cast<double>(m_deadline - m_start_time));
  return m_start_time + max_wait - m_parts.loop->now();
}

// Limits the sum of all waits before sending, so that the client has time left
// for a retry.
void Exchange::OnWaitTimeout() {
  m_wait_timer = 0;
  const auto self = shared_from_this();
  if (m_client != nullptr && m_phase == AttemptPhase::kPreparing) {
    Refuse(m_wait_refusal);
  }
}

void Exchange::FindHistory() {
  if (!m_route->keeps_turns) {
    m_prompt_body = std::exchange(m_body, {});
    ReserveTokens();
    return;
  }
  if (m_info.previous_turn.empty()) {
    m_prompt_body = m_body;
    UpdateMemoryCharge();
    ReserveTokens();
    return;
  }
  m_wait_refusal = Refusal::kHistoryUnsure;
  m_parts.turns->Find(ScopedId(m_info.previous_turn), ScopedId(m_info.program),
                      [self = shared_from_this()](FindOutcome outcome) {
                        if (self->m_client == nullptr) return;
                        if (outcome == FindOutcome::kUnknown) {
                          self->Refuse(Refusal::kUnknownTurn);
                        } else if (outcome == FindOutcome::kUnsure) {
                          self->Refuse(Refusal::kHistoryUnsure);
                        } else {
                          self->BuildPrompt();
                        }
                      });
}

void Exchange::BuildPrompt() {
  auto&             history = m_parts.turns->history();
  const std::string previous = ScopedId(m_info.previous_turn);
  // A chain may be many times as long as the request. Turns that waited for the
  // same chain all get here at once.
  const std::size_t bytes = history.PromptBytes(previous) + m_body.size();
  const bool        fits = m_parts.yield_order->MakeRoom(
             m_parts.loop->now(), nullptr, [this, bytes] {
        return m_parts.memory->CanAcceptBody(m_body.size() + bytes,
                                                    m_memory_charge.bytes());
      });
  if (!fits) {
    Refuse(Refusal::kNodeFull);
    return;
  }
  m_prompt_body =
      history.Build(previous, m_body, m_parts.loop->now(), m_route->retention)
          .body;
  UpdateMemoryCharge();
  ReserveTokens();
}

void Exchange::ReserveTokens() {
  if (!m_info.budget || m_info.program.empty()) {
    OnPrepared();
    return;
  }
  TurnBudget turn{
      ScopedId(m_info.program), {}, *m_info.budget, m_info.max_tokens};
  FillAdmissionRequest(&turn);
  m_wait_refusal = Refusal::kBudgetUnsure;
  const Duration patience = std::min(MaxLogWait(), WaitTimeLeft());
  m_parts.peers->Reserve(
      turn, patience,
      [self = shared_from_this()](const Reservation& reservation) {
        self->OnReservation(reservation);
      });
}

void Exchange::OnReservation(const Reservation& reservation) {
  const bool reserved = reservation.outcome == ReserveOutcome::kStart;
  if (m_client == nullptr) {
    if (reserved) m_parts.peers->EndTurn(reservation, 0, {});
    return;
  }
  m_reserved = reserved;
  m_reservation = reservation;
  if (reserved) {
    const bool server_known =
        !reservation.server.empty() && !SessionKey().empty();
    if (server_known)
      m_parts.backends->RememberSession(SessionKey(), reservation.server);
    OnPrepared();
  } else {
    Refuse(RefusalFor(reservation.outcome));
  }
}

void Exchange::FillAdmissionRequest(TurnBudget* turn) const {
  const auto* service = m_routes->manifest()->FindService(m_service);
  if (service == nullptr || !service->engine) return;
  admission::AdmissionRequest& demand = turn->admission_request;
  demand.program = turn->program;
  demand.service = m_service;
  demand.partition = ClaimPartitionOf(turn->program);
  demand.route = m_route->name;
  if (m_workspace != nullptr) demand.workspace = m_workspace->name;
  demand.priority = Priority();
  demand.under_way = !m_info.previous_turn.empty();
  demand.prompt_tokens =
      std::max<std::int64_t>(0, m_info.prompt_tokens - m_info.shared_tokens);
  demand.max_tokens = m_info.max_tokens;
  demand.left = ProgramTimeLeft();
}

void Exchange::OnPrepared() {
  if (m_route->kind == RequestKind::kStreaming) {
    EnqueueTurn();
    return;
  }
  m_parts.loop->Cancel(&m_wait_timer);
  if (Fire(AttemptEvent::kPrepared)) Dispatch();
}

void Exchange::EnqueueTurn() {
  m_wait_refusal = Refusal::kOverloaded;
  const auto queue_rank = traffic::QueueRank(ScopedId(m_info.program),
                                             Priority(), ProgramTimeLeft());
  const auto self = shared_from_this();
  m_dispatch_id = m_parts.dispatcher->Enqueue(
      m_service, queue_rank, m_route->target_latency, [this] {
        m_parts.loop->Cancel(&m_wait_timer);
        if (Fire(AttemptEvent::kPrepared)) Dispatch();
      });
  // The exchange may have ended inside the callback.
  if (m_client == nullptr) m_parts.dispatcher->Release(&m_dispatch_id);
}

}  // namespace yuccawick::gateway

#include <algorithm>
#include <random>
#include <utility>

#include "yuccawick/gateway/exchange.h"

// What an exchange does before it sends its request: whose it is, whether it
// may be sent, and what goes with it. See exchange.cc for the rest.

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

double Exchange::Draw() {
  static thread_local std::mt19937_64 random(std::random_device{}());
  return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

void Exchange::Start() {
  if (!CheckRequest()) return;
  StartTimer();
  AwaitKey();
}

// Until the manifest is known to be new enough for keys. Where others reach the
// log and this node does not, they serve better.
void Exchange::AwaitKey() {
  if (m_client == nullptr) return;
  const bool keyed =
      m_routes->manifest()->workspaces.has_value() && !m_route->is_public;
  if (keyed && !m_parts.key_lease->Holds(m_parts.loop->ReadClock())) {
    m_awaits = Refusal::kKeyUnsure;
    const bool cut_off =
        !OutageAge() && m_parts.turns->reader().UnavailableFor() > 0;
    if (cut_off || !WaitsOn()) {
      Refuse(m_awaits);
      return;
    }
    m_parts.loop->After(m_parts.thresholds->log_wait_pause,
                        [self = shared_from_this()] { self->AwaitKey(); });
    return;
  }
  if (!CheckKey()) return;
  m_parts.log->Write(LogEvent::kAccepted,
                     {{"request", m_info.attempt},
                      {"workspace", m_workspace == nullptr ? std::string_view()
                                                           : m_workspace->name},
                      {"program", m_info.program},
                      {"previous", m_info.previous_turn},
                      {"route", m_route->name},
                      {"service", m_service},
                      {"manifest", m_routes->manifest()->version},
                      {"left_ms", Left()}});
  AwaitToken();
}

void Exchange::Reject(Refusal refusal) {
  // Its attempt id goes into the answer if it can be read.
  platform::DecodeRequest(m_head, &m_info);
  Refuse(refusal);
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
    // A node that cannot follow the manifest would deny a route that others
    // serve. Its client comes back through one of them.
    Refuse(m_parts.peers->FollowsManifest() ? Refusal::kNoRoute
                                            : Refusal::kRouteUnsure);
    return false;
  }
  m_service = traffic::PickService(*m_route, Draw());
  return true;
}

bool Exchange::CheckKey() {
  const auto& workspaces = m_routes->manifest()->workspaces;
  if (!workspaces || m_route->is_public) return true;
  m_workspace = workspaces->FindByKey(m_info.key);
  if (m_workspace == nullptr) {
    // A node that cannot follow the manifest does not know the newest keys, nor
    // does a request that waited while a newer one came.
    const bool newest =
        m_parts.peers->FollowsManifest() && m_routes == *m_parts.routes;
    Refuse(newest ? Refusal::kUnknownKey : Refusal::kKeyUnsure);
    return false;
  }
  return true;
}

void Exchange::StartTimer() {
  Duration limit = m_route->timeout;
  if (m_info.deadline)
    limit = std::min(limit, *m_info.deadline - m_parts.thresholds->answer_way);
  m_due = m_began + limit;
  m_timer = m_parts.loop->After(limit, [this] {
    m_timer = 0;
    OutOfTime();
  });
  m_patience_timer =
      m_parts.loop->After(PatienceLeft(), [this] { OutOfPatience(); });
}

std::optional<Duration> Exchange::OutageAge() const {
  if (m_parts.turns->CanPersist()) return std::nullopt;
  return m_parts.turns->reader().UnavailableFor();
}

Duration Exchange::LogPatience() const {
  const Thresholds& limits = *m_parts.thresholds;
  if (!OutageAge()) return limits.log_wait;
  return traffic::OutageHoldTime({limits.outage_hold, limits.outage_hold_share},
                                 m_due - m_began);
}

bool Exchange::WaitsOn() {
  // The end of an outage must not end a wait that it is the answer to.
  m_log_patience = std::max(m_log_patience, LogPatience());
  const Duration waited = m_parts.loop->now() - m_began;
  return waited + m_parts.thresholds->log_wait_pause <= m_log_patience;
}

void Exchange::AwaitToken() {
  if (m_workspace == nullptr) {
    AwaitLog();
    return;
  }
  m_awaits = Refusal::kLimitUnsure;
  const ProgramStep step{InScope(m_info.program), !m_info.previous_turn.empty(),
                         LogPatience()};
  m_parts.limiter->Acquire(
      *m_workspace, step,
      [self = shared_from_this()](const RateLimitResult& admission) {
        if (self->m_client == nullptr) {
          if (admission.token.tokens > 0) {
            self->m_parts.limiter->Refund(self->m_workspace->name,
                                          admission.token);
          }
          return;
        }
        self->m_limit_return = admission.retry_delay;
        switch (admission.outcome) {
          case RateLimitOutcome::kAdmitted:
            self->m_rate_token = admission.token;
            self->AwaitLog();
            break;
          case RateLimitOutcome::kOver:
            self->Refuse(Refusal::kOverLimit);
            break;
          case RateLimitOutcome::kUnsure:
            self->Refuse(Refusal::kLimitUnsure);
            break;
        }
      });
}

// A turn whose end no node can keep would be read to its last event and then
// broken off, at the cost of its tokens and of a server's time; the next
// attempt would have no tokens to run on. So it waits before it is sent, not
// after.
void Exchange::AwaitLog() {
  if (m_client == nullptr) return;
  if (!m_route->keeps_turns || m_parts.turns->CanPersist()) {
    FindHistory();
    return;
  }
  m_awaits = Refusal::kLogAway;
  if (!WaitsOn()) {
    Refuse(m_awaits);
    return;
  }
  if (m_parts.loop->now() == m_began) {
    m_parts.log->Write(
        LogEvent::kWaiting,
        {{"request", m_info.attempt},
         {"log_away_ms", m_parts.turns->reader().UnavailableFor()}});
  }
  m_parts.loop->After(m_parts.thresholds->log_wait_pause,
                      [self = shared_from_this()] { self->AwaitLog(); });
}

Duration Exchange::PatienceLeft() const {
  const auto share = static_cast<Duration>(
      m_parts.thresholds->wait_share * static_cast<double>(m_due - m_began));
  return m_began + share - m_parts.loop->now();
}

// Its client can come back while it has time left. Waits that are each short
// may add up.
void Exchange::OutOfPatience() {
  m_patience_timer = 0;
  const auto self = shared_from_this();
  if (m_client != nullptr && m_phase == AttemptPhase::kPreparing) {
    Refuse(m_awaits);
  }
}

void Exchange::FindHistory() {
  if (!m_route->keeps_turns) {
    m_chain = std::move(m_body);
    m_body.clear();
    ReserveTokens();
    return;
  }
  if (m_info.previous_turn.empty()) {
    m_chain = m_body;
    CountHeld();
    ReserveTokens();
    return;
  }
  m_awaits = Refusal::kHistoryUnsure;
  m_parts.turns->Find(
      InScope(m_info.previous_turn), InScope(m_info.program),
      [self = shared_from_this()](FindOutcome outcome) {
        if (self->m_client == nullptr) return;
        if (outcome == FindOutcome::kUnknown) {
          self->Refuse(Refusal::kUnknownTurn);
        } else if (outcome == FindOutcome::kUnsure) {
          self->Refuse(Refusal::kHistoryUnsure);
        } else {
          self->m_chain = self->m_parts.turns->history()
                              .Build(self->InScope(self->m_info.previous_turn),
                                     self->m_body, self->m_parts.loop->now(),
                                     self->m_route->retention)
                              .body;
          self->CountHeld();
          self->ReserveTokens();
        }
      });
}

void Exchange::ReserveTokens() {
  if (!m_info.budget || m_info.program.empty()) {
    Prepared();
    return;
  }
  TurnBudget turn{InScope(m_info.program), *m_info.budget, m_info.max_tokens};
  AskForRoom(&turn);
  m_awaits = Refusal::kBudgetUnsure;
  const Duration patience =
      std::min(m_parts.thresholds->log_wait, PatienceLeft());
  m_parts.peers->Reserve(
      turn, patience,
      [self = shared_from_this()](const Reservation& reservation) {
        self->TakeReservation(reservation);
      });
}

void Exchange::TakeReservation(const Reservation& reservation) {
  const bool reserved = reservation.outcome == ReserveOutcome::kStart;
  if (m_client == nullptr) {
    if (reserved) m_parts.peers->EndTurn(reservation, 0, {});
    return;
  }
  m_reserved = reserved;
  m_reservation = reservation;
  if (reserved) {
    const bool known = !reservation.server.empty() && !LineKey().empty();
    if (known) m_parts.backends->RememberSession(LineKey(), reservation.server);
    Prepared();
  } else {
    Refuse(RefusalFor(reservation.outcome));
  }
}

void Exchange::AskForRoom(TurnBudget* turn) const {
  const auto* service = m_routes->manifest()->FindService(m_service);
  if (service == nullptr || !service->engine) return;
  admission::AdmissionRequest& ask = turn->admission_request;
  ask.program = turn->program;
  ask.service = m_service;
  ask.partition = ClaimPartitionOf(turn->program);
  ask.route = m_route->name;
  if (m_workspace != nullptr) ask.workspace = m_workspace->name;
  ask.priority = Priority();
  ask.under_way = !m_info.previous_turn.empty();
  ask.prompt_tokens =
      std::max<std::int64_t>(0, m_info.prompt_tokens - m_info.shared_tokens);
  ask.max_tokens = m_info.max_tokens;
  ask.left = ProgramLeft();
}

void Exchange::Prepared() {
  if (m_route->kind == RequestKind::kStreaming) {
    AwaitServers();
    return;
  }
  m_parts.loop->Cancel(&m_patience_timer);
  if (Fire(AttemptEvent::kPrepared)) Dispatch();
}

void Exchange::AwaitServers() {
  m_awaits = Refusal::kOverloaded;
  const auto place =
      traffic::QueueRank(InScope(m_info.program), Priority(), ProgramLeft());
  const auto self = shared_from_this();
  m_gate_id =
      m_parts.gate->Enqueue(m_service, place, m_route->target_latency, [this] {
        m_parts.loop->Cancel(&m_patience_timer);
        if (Fire(AttemptEvent::kPrepared)) Dispatch();
      });
  // It may have ended while it was let through.
  if (m_client == nullptr) m_parts.gate->Release(&m_gate_id);
}

}  // namespace yuccawick::gateway

#include <algorithm>
#include <array>
#include <utility>

#include "yuccawick/gateway/exchange.h"

// How a backend server's answer flows to the client; see exchange.cc for what
// comes before and after.

namespace yuccawick::gateway {
namespace {

using traffic::AttemptEvent;
using traffic::AttemptPhase;
using traffic::Refusal;
using traffic::RequestKind;
using traffic::SendFailureCause;

constexpr int                kOk = 200;
constexpr int                kMostAccepted = 299;
// Statuses by which a server could seem to promise that it did not run a
// request; only its explicit word does.
constexpr std::array<int, 4> kPromises{408, 421, 429, 503};
// A client that takes bytes slower than they come may keep this many waiting
// here before its server is read no further.
constexpr std::size_t        kMaxBacklog = 256UL * 1024;
// Plain answers up to this size are passed on whole, so that one that breaks
// off is still an honest failure or can be fetched again.
constexpr std::size_t        kMaxWhole = 256UL * 1024;
constexpr double             kMillisPerSecond = 1000.0;
// Events of all routes take an engine equally long; no route has this name.
constexpr std::string_view   kEventWork;

bool IsPromise(int status) {
  return std::find(kPromises.begin(), kPromises.end(), status) !=
         kPromises.end();
}

}  // namespace

bool Exchange::OnBackendHead(const net::Head& head) {
  const traffic::AnswerInfo info = platform::DecodeAnswer(head);
  if (!info.attempt.empty() && info.attempt != m_info.attempt) return false;
  m_answer = head;
  m_answer_info = info;
  m_has_answer = true;
  m_is_stream = info.event_stream && head.status == kOk &&
                m_route->kind == RequestKind::kStreaming;
  return true;
}

void Exchange::OnBackendBody(std::string_view bytes) {
  if (!m_has_answer) return;
  if (m_is_stream) {
    if (m_answer_info.stamped && !m_answer_info.encoded) PassEvents(bytes);
    return;
  }
  // The body of an answer that is not passed on decides nothing.
  const bool may_pass =
      IsSound() && !m_answer_info.not_run && !IsPromise(m_answer.status);
  if (!may_pass) return;
  m_plain += bytes;
  if (m_plain.size() > kMaxWhole) PassPlain();
  CountHeld();
}

void Exchange::PassPlain() {
  if (!m_passed_head) BeginAnswer(-1);
  std::string out;
  net::AppendChunk(&out, std::exchange(m_plain, {}));
  WriteAnswer(out);
}

bool Exchange::IsSound() const {
  const bool success =
      m_answer.status >= kOk && m_answer.status <= kMostAccepted;
  return m_answer_info.attempt == m_info.attempt && !m_answer_info.encoded &&
         (m_answer_info.stamped || !success);
}

void Exchange::WriteAnswer(std::string_view bytes) {
  m_client->WriteToClient(bytes);
  if (m_client->ClientBacklog() > kMaxBacklog) m_connection->HoldReading(true);
}

void Exchange::PassEvents(std::string_view bytes) {
  if (!m_events.Add(bytes)) {
    OnBackendFailed(SendFailureCause::kBadAnswer);
    return;
  }
  if (!m_passed_head) BeginAnswer(-1);
  const auto tokens_per_event = [&]() -> programs::Tokens {
    const auto* service = m_routes->manifest()->FindService(m_service);
    return service != nullptr && service->engine
               ? service->engine->tokens_per_event
               : 1;
  }();
  const std::int64_t   events_before = m_event_count;
  std::string          out;
  traffic::StreamEvent event;
  while (m_events.Next(&event)) {
    net::AppendChunk(&out, event.bytes);
    if (!event.id.empty()) m_last_event = event.id;
    if (m_route->keeps_turns) m_output.append(event.data).append("\n");
    if (m_event_count++ == 0) {
      m_first_event = m_parts.loop->now();
      m_parts.gate->FirstEvent(m_gate_id);
      m_parts.metrics->ObserveFirstEvent(
          static_cast<double>(m_first_event - m_began) / kMillisPerSecond);
    }
    m_tokens_used += tokens_per_event;
  }
  NoteEvents(events_before);
  CountHeld();
  if (!out.empty()) WriteAnswer(out);
}

// The first event of a send also holds the wait for a place and the prompt.
void Exchange::NoteEvents(std::int64_t before) {
  const auto events = static_cast<double>(m_event_count - before);
  if (events <= 0) return;
  const Time now = m_parts.loop->now();
  const Time last = std::exchange(m_last_event_at, now);
  if (last == 0) return;
  const auto took = static_cast<double>(now - last);
  m_parts.backends->ObserveServiceTime(m_server_id, kEventWork, took / events);
}

void Exchange::ClientDrained() {
  if (m_connection != nullptr) m_connection->HoldReading(false);
}

void Exchange::BeginAnswer(std::int64_t length) {
  m_passed_head = true;
  if (m_phase == AttemptPhase::kSent) Fire(AttemptEvent::kAnswerBegan);
  m_client->WriteToClient(platform::EncodeAnswerHead(
      m_answer, length, m_client->ClosesAfterAnswer()));
}

void Exchange::OnBackendEnd() {
  const auto self = shared_from_this();
  if (m_client == nullptr) return;
  if (m_answer_info.not_run) {
    LeaveServer(true);
    m_parts.backends->ObserveBadAnswer(m_server_id);
    Lost(SendFailureCause::kNotRun);
    return;
  }
  if (!IsSound() || (m_is_stream && m_events.has_partial())) {
    OnBackendFailed(SendFailureCause::kBadAnswer);
    return;
  }
  LeaveServer(true);
  NoteOutcome();
  if (m_is_stream) {
    EndStream();
  } else {
    EndPlain();
  }
}

void Exchange::NoteOutcome() {
  constexpr int kFirstServerError = 500;
  if (m_answer.status >= kFirstServerError) {
    m_parts.backends->ObserveBadAnswer(m_server_id);
  } else {
    m_parts.backends->ObserveSuccess(m_server_id);
    if (m_answer.status <= kMostAccepted && !m_is_stream && m_found_free) {
      m_parts.backends->ObserveServiceTime(
          m_server_id, m_route->name,
          static_cast<double>(m_parts.loop->now() - m_sent_at));
    }
  }
}

void Exchange::EndPlain() {
  // These would promise the client that its request did not run, and the server
  // did not say so.
  if (IsPromise(m_answer.status)) {
    Refuse(Refusal::kServerFailed);
    return;
  }
  Fire(AttemptEvent::kAnswerEnded);
  if (!m_passed_head) {
    BeginAnswer(static_cast<std::int64_t>(m_plain.size()));
    FinishAnswer(m_plain);
    return;
  }
  std::string rest;
  net::AppendChunk(&rest, m_plain);
  FinishAnswer(rest.append(net::kLastChunk));
}

void Exchange::EndStream() {
  if (!m_passed_head) BeginAnswer(-1);
  m_parts.backends->RememberSession(LineKey(), m_server_id);
  if (!Fire(AttemptEvent::kAnswerEnded)) return;
  if (m_route->keeps_turns) {
    RecordTurn();
  } else {
    FinishAnswer(net::kLastChunk);
  }
}

void Exchange::RecordTurn() {
  programs::Turn turn{InScope(m_info.attempt), InScope(m_info.previous_turn),
                      InScope(m_info.program), std::move(m_body),
                      std::move(m_output)};
  m_body.clear();
  m_output.clear();
  CountHeld();
  m_parts.turns->Persist(turn, m_route->retention, m_due,
                         [self = shared_from_this()](const LogPosition& kept) {
                           if (self->m_client == nullptr) return;
                           self->m_kept = kept;
                           self->FinishAnswer(net::kLastChunk);
                         });
}

void Exchange::FinishAnswer(std::string_view last_bytes) {
  m_client->WriteToClient(last_bytes);
  m_parts.metrics->CountAnswer(m_route->kind);
  const Duration took = m_parts.loop->now() - m_began;
  m_parts.metrics->ObserveAnswer(static_cast<double>(took) / kMillisPerSecond);
  m_parts.log->Write(
      LogEvent::kAnswered,
      {{"request", m_info.attempt},
       {"server", m_server_id},
       {"status", m_answer.status},
       {"events", m_event_count},
       {"first_event_ms", m_first_event == 0 ? 0 : m_first_event - m_began},
       {"turn_partition", m_kept.partition},
       {"turn_offset", m_kept.offset},
       {"took_ms", took}});
  ClientSide* client = m_client;
  End();
  client->AnswerDone();
}

}  // namespace yuccawick::gateway

#include <utility>

#include "yuccawick/gateway/exchange.h"

// Forwarding a backend server's answer to the client, and recording the turn.
// See exchange.cc for sending and ending.

namespace yuccawick::gateway {
namespace {

using traffic::AnswerFit;
using traffic::AttemptEvent;
using traffic::AttemptPhase;
using traffic::Refusal;
using traffic::RequestKind;
using traffic::SendFailureCause;

constexpr int              kOk = 200;
constexpr int              kMaxSuccessStatus = 299;
// Unsent bytes per client above which reading from the server is paused.
constexpr std::size_t      kMaxBacklog = 256UL * 1024;
// Answers up to this size (bytes) are buffered before forwarding, so that a
// truncated answer can still be retried or reported as a failure.
constexpr std::size_t      kMaxBufferedAnswer = 256UL * 1024;
constexpr double           kMillisPerSecond = 1000.0;
// Kind of the service time of stream events, shared by all routes; no route
// has an empty name.
constexpr std::string_view kEventServiceKind;

bool IsSuccess(int status) {
  return status >= kOk && status <= kMaxSuccessStatus;
}

// How the end of a server's answer is marked.
std::string_view Framing(const net::Head& head) {
  if (!head.has_body) return "head";
  if (head.ends_with_connection) return "connection";
  return head.headers.Find("Transfer-Encoding") != nullptr ? "chunks"
                                                           : "length";
}

}  // namespace

bool Exchange::OnBackendHead(const net::Head& head) {
  const traffic::AnswerInfo info = platform::DecodeAnswer(head);
  if (!info.attempt.empty() && info.attempt != m_info.attempt) return false;
  const bool is_stream = info.event_stream && head.status == kOk &&
                         m_route->kind == RequestKind::kStreaming;
  constexpr int kMisdirected = 421;
  if (head.status != kMisdirected)
    m_parts.suspects->OnServerAnswered(m_server_id, m_sent_time);
  m_answer = head;
  m_progress.OnHead(m_info, info, is_stream);
  if (m_progress.begun()) ObserveLaterAnswer();
  return true;
}

void Exchange::ObserveLaterAnswer() {
  m_parts.metrics->CountLaterAnswer(m_progress.fit());
  m_parts.log->Write(LogEvent::kContinued,
                     {{"request", m_info.attempt},
                      {"server", m_server_id},
                      {"status", m_answer.status},
                      {"version", m_progress.current().version},
                      {"begun_version", BegunVersion()},
                      {"fit", Name(m_progress.fit())},
                      {"framing", Framing(m_answer)},
                      {"events_passed", m_event_count}});
}

void Exchange::OnBackendBody(std::string_view bytes) {
  if (!m_progress.passes_body()) return;
  if (m_progress.is_stream()) {
    ForwardEvents(bytes);
    return;
  }
  m_plain_body += bytes;
  if (m_plain_body.size() > kMaxBufferedAnswer) ForwardPlain();
  UpdateMemoryCharge();
}

void Exchange::ForwardPlain() {
  if (!m_progress.begun()) BeginAnswer();
  WriteAnswer(std::exchange(m_plain_body, {}));
}

void Exchange::WriteAnswer(std::string_view bytes) {
  if (m_phase != AttemptPhase::kAnswering) Fire(AttemptEvent::kAnswerBegan);
  m_client->WritePart(bytes);
  m_reading_paused = m_client->ClientBacklog() > kMaxBacklog;
  if (m_reading_paused) m_connection->HoldReading(true);
}

void Exchange::ForwardEvents(std::string_view bytes) {
  if (!m_events.Add(bytes)) {
    OnBackendFailed(SendFailureCause::kBadAnswer);
    return;
  }
  const std::int64_t events_before = m_event_count;
  std::string        out;
  const bool         in_order = TakeEvents(&out);
  ObserveEventTimes(events_before);
  UpdateMemoryCharge();
  if (!out.empty()) {
    if (!m_progress.begun()) BeginAnswer();
    WriteAnswer(out);
  }
  if (!in_order) OnBackendFailed(SendFailureCause::kBadAnswer);
}

bool Exchange::TakeEvents(std::string* out) {
  const auto*            service = m_routes->manifest()->FindService(m_service);
  const programs::Tokens tokens_per_event =
      service != nullptr && service->engine ? service->engine->tokens_per_event
                                            : 1;
  traffic::StreamEvent event;
  while (m_events.Next(&event)) {
    if (!event.is_comment && !m_progress.OnEvent(event.id)) return false;
    out->append(event.bytes);
    if (event.is_comment) continue;
    if (m_route->keeps_turns) m_output.append(event.data).append("\n");
    if (m_event_count++ == 0) ObserveFirstEvent();
    m_tokens_used += tokens_per_event;
  }
  return true;
}

void Exchange::ObserveFirstEvent() {
  m_first_event_time = m_parts.loop->now();
  m_parts.dispatcher->FirstEvent(m_dispatch_id);
  m_parts.metrics->ObserveFirstEvent(
      static_cast<double>(m_first_event_time - m_start_time) /
      kMillisPerSecond);
}

// Skips the first event of a send, whose time includes queueing and prompt
// processing.
void Exchange::ObserveEventTimes(std::int64_t before) {
  const auto events = static_cast<double>(m_event_count - before);
  if (events <= 0) return;
  const Time now = m_parts.loop->now();
  const Time previous_event_time = std::exchange(m_last_event_time, now);
  if (previous_event_time == 0) return;
  const auto elapsed = static_cast<double>(now - previous_event_time);
  m_parts.backends->ObserveServiceTime(m_server_id, kEventServiceKind,
                                       elapsed / events);
}

void Exchange::ClientDrained() {
  m_reading_paused = false;
  if (m_connection != nullptr) m_connection->HoldReading(false);
}

void Exchange::BeginAnswer() {
  m_progress.Begin();
  if (m_progress.is_stream() && m_route->resumable) ObserveBegunStream();
  const auto body = ForwardedBody(std::nullopt);
  m_client->BeginAnswer(
      platform::EncodeAnswerHead(m_answer, body, m_client->ClosesAfterAnswer()),
      body);
}

net::ResponseBody Exchange::ForwardedBody(
    std::optional<std::size_t> bytes) const {
  return net::ResponseBody::Forwarded(m_head.method, m_answer.status,
                                      m_answer.headers, bytes);
}

void Exchange::ObserveBegunStream() {
  if (IsResumption()) {
    m_parts.metrics->CountResumption(ResumptionOutcome::kContinued);
    return;
  }
  m_origin_source = OriginSource::kThisNode;
  m_parts.stream_origins->Announce(ScopedId(m_info.attempt),
                                   m_progress.current());
}

void Exchange::OnBackendEnd() {
  const auto self = shared_from_this();
  if (m_client == nullptr) return;
  const auto end = m_progress.PermitEnd(m_events.has_partial());
  if (!end) {
    OnUnusableAnswer();
    return;
  }
  DetachServer(true);
  m_parts.suspects->OnAnswered(m_key, IsShared(), m_server_id);
  ObserveOutcome();
  if (m_progress.is_stream()) {
    EndStream(*end);
  } else {
    EndPlain(*end);
  }
}

// The server's answer is whole, but does not complete what the client has.
void Exchange::OnUnusableAnswer() {
  m_parts.suspects->OnReleased(m_key, m_server_id);
  switch (m_progress.fit()) {
    case AnswerFit::kNotRun:
      DetachServer(true);
      m_parts.backends->ObserveBadAnswer(m_server_id);
      OnSendFailed(SendFailureCause::kNotRun);
      return;
    case AnswerFit::kNotRunUnstated:
      DetachServer(true);
      ObserveOutcome();
      Refuse(Refusal::kServerFailed);
      return;
    case AnswerFit::kOtherStatus:
    case AnswerFit::kOtherForm:
      DetachServer(true);
      m_parts.backends->ObserveBadAnswer(m_server_id);
      OnSendFailed(SendFailureCause::kBadAnswer);
      return;
    case AnswerFit::kFirst:
    case AnswerFit::kContinuation:  // the stream stopped within an event
    case AnswerFit::kInvalid:
      OnBackendFailed(SendFailureCause::kBadAnswer);
      return;
  }
}

void Exchange::ObserveOutcome() {
  constexpr int kFirstServerError = 500;
  if (m_answer.status >= kFirstServerError) {
    m_parts.backends->ObserveBadAnswer(m_server_id);
  } else {
    m_parts.backends->ObserveSuccess(m_server_id);
    if (IsSuccess(m_answer.status) && !m_progress.is_stream() &&
        m_had_free_slot) {
      m_parts.backends->ObserveServiceTime(
          m_server_id, m_route->name,
          static_cast<double>(m_parts.loop->now() - m_sent_time));
    }
  }
}

void Exchange::EndPlain(traffic::AnswerEnd end) {
  if (!Fire(AttemptEvent::kAnswerEnded)) return;
  const bool is_turn = m_route->keeps_turns && IsSuccess(m_answer.status);
  if (!is_turn && !m_progress.begun()) {
    const auto  body = ForwardedBody(m_plain_body.size());
    std::string answer = platform::EncodeAnswerHead(
        m_answer, body, m_client->ClosesAfterAnswer());
    body.AppendPart(&answer, m_plain_body);
    FinishAnswer(end, answer);
    return;
  }
  if (!m_progress.begun()) BeginAnswer();
  m_client->WritePart(m_plain_body);
  if (is_turn) {
    RecordTurn(end);
  } else {
    FinishAnswer(end);
  }
}

void Exchange::EndStream(traffic::AnswerEnd end) {
  if (!m_progress.begun()) BeginAnswer();
  m_parts.backends->RememberSession(SessionKey(), m_server_id);
  if (!Fire(AttemptEvent::kAnswerEnded)) return;
  if (m_route->keeps_turns) {
    RecordTurn(end);
  } else {
    FinishAnswer(end);
  }
}

void Exchange::RecordTurn(traffic::AnswerEnd end) {
  programs::Turn turn{ScopedId(m_info.attempt), ScopedId(m_info.previous_turn),
                      ScopedId(m_info.program), std::move(m_body),
                      std::move(m_output)};
  m_body.clear();
  m_output.clear();
  UpdateMemoryCharge();
  m_parts.turns->Persist(
      turn, m_route->retention, m_deadline,
      [self = shared_from_this(), end](const LogPosition& kept) {
        if (self->m_client == nullptr) return;
        self->m_log_position = kept;
        self->FinishAnswer(end);
      });
}

void Exchange::FinishAnswer(traffic::AnswerEnd end, std::string_view whole) {
  m_parts.metrics->CountAnswer(m_route->kind);
  const Duration elapsed = m_parts.loop->now() - m_start_time;
  m_parts.metrics->ObserveAnswer(static_cast<double>(elapsed) /
                                 kMillisPerSecond);
  m_parts.log->Write(
      LogEvent::kAnswered,
      {{"request", m_info.attempt},
       {"server", m_server_id},
       {"status", m_answer.status},
       {"events", m_event_count},
       {"repeats", m_resends},
       {"framing", Framing(m_answer)},
       {"paused", m_reading_paused ? "yes" : "no"},
       {"first_id", m_progress.first_id()},
       {"first_event_ms",
        m_first_event_time == 0 ? 0 : m_first_event_time - m_start_time},
       {"turn_partition", m_log_position.partition},
       {"turn_offset", m_log_position.offset},
       {"took_ms", elapsed}});
  ClientSide* client = m_client;
  End();
  if (whole.empty()) {
    client->EndAnswer(end);
  } else {
    client->SendAnswer(end, whole);
  }
}

}  // namespace yuccawick::gateway

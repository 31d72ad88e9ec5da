#include <algorithm>
#include <array>
#include <utility>

#include "yuccawick/gateway/exchange.h"

// Forwarding a backend server's answer to the client, and recording the turn.
// See exchange.cc for sending and ending.

namespace yuccawick::gateway {
namespace {

using traffic::AttemptEvent;
using traffic::AttemptPhase;
using traffic::Refusal;
using traffic::RequestKind;
using traffic::SendFailureCause;

constexpr int                kOk = 200;
constexpr int                kMaxSuccessStatus = 299;
// Statuses that suggest that the request did not run. Only
// AnswerInfo::not_run states it explicitly.
constexpr std::array<int, 4> kNotRunStatuses{408, 421, 429, 503};
// Unsent bytes per client above which reading from the server is paused.
constexpr std::size_t        kMaxBacklog = 256UL * 1024;
// Answers up to this size (bytes) are buffered before forwarding, so that a
// truncated answer can still be retried or reported as a failure.
constexpr std::size_t        kMaxBufferedAnswer = 256UL * 1024;
constexpr double             kMillisPerSecond = 1000.0;
// Kind of the service time of stream events, shared by all routes; no route
// has an empty name.
constexpr std::string_view   kEventServiceKind;

// How the end of a server's answer is marked.
std::string_view Framing(const net::Head& head) {
  if (head.ends_with_connection) return "connection";
  return head.headers.Find("Transfer-Encoding") != nullptr ? "chunks"
                                                           : "length";
}

bool SuggestsNotRun(int status) {
  return std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(), status) !=
         kNotRunStatuses.end();
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
  m_progress.OnHead(m_info, info, m_is_stream);
  if (m_progress.begun()) ObserveLaterAnswer();
  return true;
}

void Exchange::ObserveLaterAnswer() {
  m_parts.metrics->CountLaterAnswer(m_progress.fit());
  m_parts.log->Write(LogEvent::kContinued, {{"request", m_info.attempt},
                                            {"server", m_server_id},
                                            {"status", m_answer.status},
                                            {"fit", Name(m_progress.fit())},
                                            {"framing", Framing(m_answer)},
                                            {"events_passed", m_event_count}});
}

void Exchange::OnBackendBody(std::string_view bytes) {
  if (!m_has_answer) return;
  if (m_is_stream) {
    if (m_answer_info.stamped && !m_answer_info.encoded) ForwardEvents(bytes);
    return;
  }
  // The body is needed only if the answer is forwarded.
  const bool may_pass = IsAnswerValid() && !m_answer_info.not_run &&
                        !SuggestsNotRun(m_answer.status);
  if (!may_pass) return;
  m_plain_body += bytes;
  if (m_plain_body.size() > kMaxBufferedAnswer) ForwardPlain();
  UpdateMemoryCharge();
}

void Exchange::ForwardPlain() {
  if (!m_head_forwarded) BeginAnswer(-1);
  m_progress.OnPlainPart();
  std::string out;
  net::AppendChunk(&out, std::exchange(m_plain_body, {}));
  WriteAnswer(out);
}

bool Exchange::IsAnswerValid() const {
  const bool success =
      m_answer.status >= kOk && m_answer.status <= kMaxSuccessStatus;
  return m_answer_info.attempt == m_info.attempt && !m_answer_info.encoded &&
         (m_answer_info.stamped || !success);
}

void Exchange::WriteAnswer(std::string_view bytes) {
  m_client->WriteToClient(bytes);
  m_reading_paused = m_client->ClientBacklog() > kMaxBacklog;
  if (m_reading_paused) m_connection->HoldReading(true);
}

void Exchange::ForwardEvents(std::string_view bytes) {
  if (!m_events.Add(bytes)) {
    OnBackendFailed(SendFailureCause::kBadAnswer);
    return;
  }
  if (!m_head_forwarded) BeginAnswer(-1);
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
    m_progress.OnEvent(event.id);
    net::AppendChunk(&out, event.bytes);
    if (!event.id.empty()) m_last_event_id = event.id;
    if (m_route->keeps_turns) m_output.append(event.data).append("\n");
    if (m_event_count++ == 0) {
      m_first_event_time = m_parts.loop->now();
      m_parts.dispatcher->FirstEvent(m_dispatch_id);
      m_parts.metrics->ObserveFirstEvent(
          static_cast<double>(m_first_event_time - m_start_time) /
          kMillisPerSecond);
    }
    m_tokens_used += tokens_per_event;
  }
  ObserveEventTimes(events_before);
  UpdateMemoryCharge();
  if (!out.empty()) WriteAnswer(out);
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

void Exchange::BeginAnswer(std::int64_t length) {
  m_head_forwarded = true;
  if (m_phase == AttemptPhase::kSent) Fire(AttemptEvent::kAnswerBegan);
  m_client->WriteToClient(platform::EncodeAnswerHead(
      m_answer, length, m_client->ClosesAfterAnswer()));
}

void Exchange::OnBackendEnd() {
  const auto self = shared_from_this();
  if (m_client == nullptr) return;
  if (m_answer_info.not_run) {
    DetachServer(true);
    m_parts.backends->ObserveBadAnswer(m_server_id);
    OnSendFailed(SendFailureCause::kNotRun);
    return;
  }
  if (!IsAnswerValid() || (m_is_stream && m_events.has_partial())) {
    OnBackendFailed(SendFailureCause::kBadAnswer);
    return;
  }
  DetachServer(true);
  ObserveOutcome();
  if (m_is_stream) {
    EndStream();
  } else {
    EndPlain();
  }
}

void Exchange::ObserveOutcome() {
  constexpr int kFirstServerError = 500;
  if (m_answer.status >= kFirstServerError) {
    m_parts.backends->ObserveBadAnswer(m_server_id);
  } else {
    m_parts.backends->ObserveSuccess(m_server_id);
    if (m_answer.status <= kMaxSuccessStatus && !m_is_stream &&
        m_had_free_slot) {
      m_parts.backends->ObserveServiceTime(
          m_server_id, m_route->name,
          static_cast<double>(m_parts.loop->now() - m_sent_time));
    }
  }
}

void Exchange::EndPlain() {
  // Such a status would promise the client that its request did not run, which
  // the server did not state.
  if (SuggestsNotRun(m_answer.status)) {
    Refuse(Refusal::kServerFailed);
    return;
  }
  Fire(AttemptEvent::kAnswerEnded);
  if (!m_head_forwarded) {
    BeginAnswer(static_cast<std::int64_t>(m_plain_body.size()));
    FinishAnswer(m_plain_body);
    return;
  }
  std::string rest;
  net::AppendChunk(&rest, m_plain_body);
  FinishAnswer(rest.append(net::kLastChunk));
}

void Exchange::EndStream() {
  if (!m_head_forwarded) BeginAnswer(-1);
  m_parts.backends->RememberSession(SessionKey(), m_server_id);
  if (!Fire(AttemptEvent::kAnswerEnded)) return;
  if (m_route->keeps_turns) {
    RecordTurn();
  } else {
    FinishAnswer(net::kLastChunk);
  }
}

void Exchange::RecordTurn() {
  programs::Turn turn{ScopedId(m_info.attempt), ScopedId(m_info.previous_turn),
                      ScopedId(m_info.program), std::move(m_body),
                      std::move(m_output)};
  m_body.clear();
  m_output.clear();
  UpdateMemoryCharge();
  m_parts.turns->Persist(turn, m_route->retention, m_deadline,
                         [self = shared_from_this()](const LogPosition& kept) {
                           if (self->m_client == nullptr) return;
                           self->m_log_position = kept;
                           self->FinishAnswer(net::kLastChunk);
                         });
}

void Exchange::FinishAnswer(std::string_view last_bytes) {
  m_client->WriteToClient(last_bytes);
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
  client->AnswerDone();
}

}  // namespace yuccawick::gateway

#include "yuccawick/gateway/client_connection.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace yuccawick::gateway {
namespace {

// Time limit of a body as a multiple of the time limit of a head.
constexpr Duration    kBodyTimeoutFactor = 3;
// Memory of a connection with nothing buffered, with its entries in tables.
constexpr std::size_t kConnectionBytes = sizeof(ClientConnection) + 1024;
// Bytes by which the capacity of a body of unknown length grows at once. Each
// step copies what was received, and a client may send one byte a chunk.
constexpr std::size_t kMinBodyGrowth = 16UL * 1024;
constexpr std::size_t kMaxBodyGrowth = 256UL * 1024;

net::HttpLimits LimitsOf(const traffic::ClientLimits& limits) {
  return {limits.max_head_bytes, limits.max_body_bytes};
}

// 0 for a chunked body.
std::size_t DeclaredLength(const net::Headers& headers) {
  std::size_t        length = 0;
  const std::string* value = headers.Find("Content-Length");
  if (value != nullptr) {
    std::from_chars(value->data(), value->data() + value->size(), length);
  }
  return length;
}

traffic::Refusal RefusalFor(net::HttpFault fault) {
  switch (fault) {
    case net::HttpFault::kHeadTooLarge:
      return traffic::Refusal::kHeadTooLarge;
    case net::HttpFault::kBodyTooLarge:
      return traffic::Refusal::kBodyTooLarge;
    case net::HttpFault::kMalformed:
      break;
  }
  return traffic::Refusal::kMalformed;
}

}  // namespace

ClientConnection::ClientConnection(const GatewayParts& parts, ClientHost* host,
                                   int fd)
    : m_parts(parts),
      m_host(host),
      m_connection_charge(parts.memory, pressure::MemoryKind::kConnections),
      m_body_charge(parts.memory, pressure::MemoryKind::kRequests),
      m_output_charge(parts.memory, pressure::MemoryKind::kToClients),
      m_stream(parts.loop, this, fd, false, &m_output_charge),
      m_reader(
          net::HttpRole::kRequests, [host] { return LimitsOf(host->Limits()); },
          this),
      m_opened_at(parts.loop->now()),
      m_schedule(parts.thresholds->memory.yield_rate),
      m_yield_place(parts.yield_order, this) {
  RestartTimer();
  UpdateConnectionCharge();
  UpdateYieldPlace();
}

ClientConnection::~ClientConnection() { m_parts.loop->Cancel(&m_timer); }

void ClientConnection::OnBytes(std::string_view bytes) {
  if (m_lingering) return;
  m_schedule.OnBytes(bytes.size(), m_parts.loop->now());
  m_input.append(bytes);
  ProcessInput();
}

void ClientConnection::ProcessInput() {
  // An exchange may end within Start(), which calls this function again. The
  // outer call handles the next request, so that the recursion is bounded.
  if (m_processing) return;
  m_processing = true;
  while (!m_exchange && !m_lingering && m_stream.is_open() &&
         m_stream.pending() == 0 && !m_input.empty()) {
    if (!m_reader.in_message()) {
      m_request_start_time = m_parts.loop->now();
      m_in_head = true;
      m_schedule.Start(m_request_start_time);
      RestartTimer();
    }
    const std::size_t consumed = m_reader.Feed(m_input);
    m_input.erase(0, consumed);
    if (m_reader.fault()) {
      RefuseInvalid(*m_reader.fault());
    } else if (const auto refusal =
                   std::exchange(m_early_refusal, std::nullopt)) {
      RejectEarly(*refusal);
    } else if (std::exchange(m_request_complete, false)) {
      StartExchange();
    }
  }
  m_processing = false;
  if (m_input.empty()) m_input.shrink_to_fit();
  // Further input stays in the kernel until the pending output is sent.
  if (m_stream.pending() > 0 && !m_lingering) {
    m_stream.SetReading(net::Reading::kWatchEnd);
  }
  const bool holds_more = UpdateConnectionCharge();
  UpdateYieldPlace();
  const bool fits = m_parts.yield_order->MakeRoom(
      m_parts.loop->now(), this, [this] { return m_parts.memory->Fits(); });
  // The memory of a body was reserved before; only a head may be too much.
  if (!fits && holds_more && IsWaitingForInput()) RefuseUnreceived();
}

bool ClientConnection::UpdateConnectionCharge() {
  const std::size_t before = m_connection_charge.bytes();
  m_connection_charge.Set(kConnectionBytes + m_input.capacity() +
                          m_reader.buffered_bytes() + m_head_bytes);
  return m_connection_charge.bytes() > before;
}

bool ClientConnection::IsWaitingForInput() const {
  return m_stream.is_open() && !m_lingering && !m_exchange && IsReceiving();
}

bool ClientConnection::IsReceiving() const {
  return m_reader.in_message() || !m_input.empty();
}

void ClientConnection::UpdateYieldPlace() {
  using pressure::YieldClass;
  const bool is_busy = m_exchange != nullptr || m_stream.pending() > 0;
  if (!m_stream.is_open() || (is_busy && !m_lingering)) {
    m_yield_place.Leave();
  } else if (m_lingering) {
    m_yield_place.Set(YieldClass::kLingering, m_timer_since);
  } else if (IsReceiving()) {
    m_yield_place.Set(YieldClass::kReceiving, m_schedule.due());
  } else if (m_request_start_time == 0) {
    m_yield_place.Set(YieldClass::kSilent, m_opened_at);
  } else {
    m_yield_place.Set(YieldClass::kIdle, m_timer_since);
  }
}

void ClientConnection::Yield() {
  if (m_lingering || !IsReceiving()) {
    m_stream.Close();
    RemoveSelf();
  } else if (m_stream.HasInput()) {
    m_schedule.Start(m_parts.loop->now());
    UpdateYieldPlace();
  } else {
    RefuseUnreceived();
  }
}

void ClientConnection::RefuseUnreceived() {
  if (m_reader.in_body()) {
    RejectEarly(traffic::Refusal::kNodeFull);
  } else {
    Refuse(traffic::Refusal::kNodeFull);
  }
}

void ClientConnection::OnHead(net::Head head) {
  m_head = std::move(head);
  m_head_bytes = m_head.memory();
  m_body = {};
  m_in_head = false;
  RestartTimer();
  if (!EndsInTime()) {
    m_early_refusal = traffic::Refusal::kNodeStops;
  } else if (!ReserveBodyMemory(DeclaredLength(m_head.headers))) {
    m_early_refusal = traffic::Refusal::kNodeFull;
  }
  if (m_early_refusal) return;
  m_body.reserve(DeclaredLength(m_head.headers));
  const std::string* expect = m_head.headers.Find("Expect");
  if (expect != nullptr && net::SameName(*expect, "100-continue")) {
    m_stream.Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void ClientConnection::OnBody(std::string_view bytes) {
  if (m_early_refusal) return;
  const std::size_t size = m_body.size() + bytes.size();
  if (size > m_body.capacity() && !GrowBody(size)) {
    ReleaseBody();
    m_early_refusal = traffic::Refusal::kNodeFull;
    return;
  }
  m_body += bytes;
}

bool ClientConnection::GrowBody(std::size_t size) {
  const std::size_t capacity = m_body.capacity();
  std::size_t       next = std::max(
            size, capacity + std::clamp(capacity, kMinBodyGrowth, kMaxBodyGrowth));
  if (!ReserveBodyMemory(next)) {
    next = std::max(size, capacity + kMinBodyGrowth);
    if (!ReserveBodyMemory(next)) return false;
  }
  // Growing m_body itself would double its capacity.
  std::string grown;
  grown.reserve(next);
  grown.append(m_body);
  m_body = std::move(grown);
  return true;
}

void ClientConnection::ReleaseBody() {
  m_body = {};
  m_body_charge.Set(0);
}

bool ClientConnection::ReserveBodyMemory(std::size_t capacity) {
  const bool fits =
      m_parts.yield_order->MakeRoom(m_parts.loop->now(), this, [&] {
        return m_parts.memory->CanAcceptBody(capacity, m_body_charge.bytes());
      });
  if (fits) m_body_charge.Set(pressure::kBodyCopies * capacity);
  return fits;
}

void ClientConnection::OnMessageEnd() { m_request_complete = true; }

void ClientConnection::StartExchange() {
  m_parts.loop->Cancel(&m_timer);
  m_close_after_answer = !m_head.keep_alive;
  m_stream.SetReading(net::Reading::kWatchEnd);
  m_body_charge.Set(0);  // the exchange accounts for it now
  m_head_bytes = 0;
  m_exchange = std::make_shared<Exchange>(m_parts, this, m_host->Routes(),
                                          std::move(m_head), std::move(m_body));
  const auto exchange = m_exchange;
  exchange->Start();
}

bool ClientConnection::EndsInTime() const {
  if (!m_parts.stop->begun()) return true;
  const auto bound =
      Exchange::MaxDuration(m_parts, m_host->Routes().get(), m_head);
  return !bound || m_parts.stop->Allows(m_parts.loop->now() + *bound);
}

void ClientConnection::RejectEarly(traffic::Refusal refusal) {
  m_parts.loop->Cancel(&m_timer);
  m_request_complete = false;
  ReleaseBody();
  m_head_bytes = 0;
  // The body is still unread, and other nodes may serve the request.
  m_close_after_answer = true;
  m_exchange = std::make_shared<Exchange>(m_parts, this, m_host->Routes(),
                                          std::move(m_head), std::string());
  const auto exchange = m_exchange;
  UpdateYieldPlace();
  exchange->Reject(refusal);
}

void ClientConnection::RefuseInvalid(net::HttpFault fault) {
  // Without a manifest it is not known what is too large.
  const bool unknown =
      fault != net::HttpFault::kMalformed && m_host->Routes() == nullptr;
  Refuse(unknown ? traffic::Refusal::kNotReady : RefusalFor(fault));
}

void ClientConnection::Refuse(traffic::Refusal refusal) {
  m_parts.metrics->CountRefusal(refusal);
  m_parts.log->Write(LogEvent::kRefused,
                     {{"reason", Name(refusal)}, {"status", Status(refusal)}});
  platform::OwnAnswer answer;
  answer.method = m_reader.method();
  answer.status = Status(refusal);
  answer.reason = Name(refusal);
  if (traffic::IsRetriable(refusal))
    answer.retry_after = Exchange::NotReadyDelay(m_parts);
  answer.close = true;
  m_stream.Write(platform::EncodeOwnAnswer(answer));
  Linger();
}

bool ClientConnection::ClosesAfterAnswer() const {
  return m_close_after_answer || m_host->Closing();
}

void ClientConnection::SendAnswer(traffic::AnswerEnd /*end*/,
                                  std::string_view answer) {
  m_stream.Write(answer);
  OnAnswerWritten();
}

void ClientConnection::BeginAnswer(std::string              head,
                                   const net::ResponseBody& body) {
  m_answer_body = body;
  if (body.exists()) {
    m_stream.Write(head);
  } else {
    m_unsent_head = std::move(head);
  }
}

void ClientConnection::WritePart(std::string_view bytes) {
  std::string part;
  m_answer_body->AppendPart(&part, bytes);
  m_stream.Write(part);
}

void ClientConnection::EndAnswer(traffic::AnswerEnd /*end*/) {
  std::string rest = std::exchange(m_unsent_head, {});
  m_answer_body->AppendEnd(&rest);
  m_answer_body.reset();
  m_stream.Write(rest);
  OnAnswerWritten();
}

void ClientConnection::OnAnswerWritten() {
  const bool close = ClosesAfterAnswer();
  m_parts.loop->Defer([exchange = std::move(m_exchange)] {});
  m_exchange = nullptr;
  if (!m_stream.is_open()) return;
  if (close) {
    m_stream.SetReading(net::Reading::kOn);
    Linger();
    return;
  }
  RestartTimer();
  if (m_stream.pending() > 0) return;  // OnDrained() continues
  m_stream.SetReading(net::Reading::kOn);
  ProcessInput();
}

void ClientConnection::BreakAnswer() {
  m_parts.loop->Defer([exchange = std::move(m_exchange)] {});
  m_exchange = nullptr;
  // The missing last chunk already marks the answer as incomplete; the reset
  // reports it without delay.
  m_stream.Reset();
  RemoveSelf();
}

void ClientConnection::OnDrained() {
  if (m_exchange) {
    m_exchange->ClientDrained();
  } else if (m_lingering) {
    RestartLinger();
  } else {
    m_stream.SetReading(net::Reading::kOn);
    RestartTimer();
    ProcessInput();
  }
}

void ClientConnection::DropClient() {
  const auto exchange = m_exchange;
  if (exchange) {
    exchange->OnClientStalled();
    return;
  }
  m_stream.Reset();
  RemoveSelf();
}

void ClientConnection::OnClosed(net::CloseCause /*cause*/) {
  const auto exchange = std::exchange(m_exchange, nullptr);
  if (exchange) exchange->OnClientDisconnected();
  RemoveSelf();
}

void ClientConnection::CloseIfIdle() {
  if (m_exchange || m_lingering || m_reader.in_message() || !m_input.empty() ||
      m_stream.pending() > 0) {
    return;
  }
  const bool awaits_first_request =
      m_request_start_time == 0 &&
      m_parts.loop->now() - m_opened_at < m_parts.thresholds->first_request;
  if (awaits_first_request) return;
  m_stream.Close();
  RemoveSelf();
}

void ClientConnection::OnNodeStopping() {
  const auto exchange = m_exchange;
  if (exchange) {
    exchange->OnNodeStopping();
  } else if (!m_lingering && m_reader.in_body() && !EndsInTime()) {
    RejectEarly(traffic::Refusal::kNodeStops);
  }
}

void ClientConnection::OnNodeEnd() {
  const auto exchange = m_exchange;
  if (exchange) exchange->OnNodeEnd();
}

void ClientConnection::RestartTimer() {
  m_timer_since = m_parts.loop->now();
  ScheduleTimeout();
}

Duration ClientConnection::TimeLimit() const {
  const traffic::ClientLimits limits = m_host->Limits();
  if (m_stream.pending() > 0) return m_parts.thresholds->reader_patience;
  if (m_reader.in_body()) return limits.head_timeout * kBodyTimeoutFactor;
  return m_in_head ? limits.head_timeout : limits.idle_timeout;
}

void ClientConnection::ScheduleTimeout() {
  m_parts.loop->Cancel(&m_timer);
  const Duration left = m_timer_since + TimeLimit() - m_parts.loop->now();
  m_timer = m_parts.loop->After(std::max<Duration>(0, left), [this] {
    m_timer = 0;
    OnTimeout();
  });
}

bool ClientConnection::TakesAnswer() const {
  return m_stream.pending() > 0 &&
         m_stream.stalled() < m_parts.thresholds->reader_patience;
}

void ClientConnection::OnTimeout() {
  if (TakesAnswer()) {
    RestartTimer();
  } else if (m_parts.loop->now() < m_timer_since + TimeLimit()) {
    ScheduleTimeout();  // the limit was raised meanwhile
  } else if (!m_reader.in_message()) {
    m_stream.Close();
    RemoveSelf();
  } else {
    Refuse(traffic::Refusal::kTooSlow);
  }
}

void ClientConnection::Linger() {
  m_lingering = true;
  m_input = {};
  m_head = {};
  m_head_bytes = 0;
  m_reader.Discard();
  ReleaseBody();
  UpdateConnectionCharge();
  m_stream.EndWriting();
  m_timer_since = m_parts.loop->now();
  RestartLinger();
  UpdateYieldPlace();
}

void ClientConnection::RestartLinger() {
  m_parts.loop->Cancel(&m_timer);
  // OnDrained() goes on once the answer is sent.
  const Duration limit = m_stream.pending() > 0
                             ? m_parts.thresholds->reader_patience
                             : m_parts.thresholds->linger;
  m_timer = m_parts.loop->After(limit, [this] {
    m_timer = 0;
    if (TakesAnswer()) return RestartLinger();
    m_stream.Close();
    RemoveSelf();
  });
}

void ClientConnection::RemoveSelf() {
  m_yield_place.Leave();
  m_host->RemoveConnection(this);
}

}  // namespace yuccawick::gateway

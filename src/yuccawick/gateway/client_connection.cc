#include "yuccawick/gateway/client_connection.h"

#include <charconv>
#include <utility>

namespace yuccawick::gateway {
namespace {

// A body may take this many times as long as a head.
constexpr Duration kBodyPatience = 3;

net::HttpLimits LimitsOf(const traffic::ClientLimits& limits) {
  return {limits.max_head_bytes, limits.max_body_bytes};
}

// 0 for a body in chunks.
std::size_t DeclaredLength(const net::Headers& headers) {
  std::size_t        length = 0;
  const std::string* value = headers.Find("Content-Length");
  if (value != nullptr) {
    std::from_chars(value->data(), value->data() + value->size(), length);
  }
  return length;
}

traffic::Refusal RefusalOf(net::HttpFault fault) {
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
      m_held_body(parts.memory, pressure::MemoryKind::kRequests),
      m_held_output(parts.memory, pressure::MemoryKind::kToClients),
      m_stream(parts.loop, this, fd, false, &m_held_output),
      m_reader(net::HttpRole::kRequests, LimitsOf(host->Limits()), this) {
  WatchTime();
}

ClientConnection::~ClientConnection() { m_parts.loop->Cancel(&m_timer); }

void ClientConnection::OnBytes(std::string_view bytes) {
  if (m_lingering) return;
  m_input.append(bytes);
  ReadOn();
}

void ClientConnection::ReadOn() {
  // An exchange may end while it is started; the loop goes on with the next
  // request then, so that no call is nested in another.
  if (m_reading) return;
  m_reading = true;
  while (!m_exchange && !m_lingering && m_stream.is_open() &&
         m_stream.pending() == 0 && !m_input.empty()) {
    if (!m_reader.in_message()) {
      m_request_began = m_parts.loop->now();
      WatchTime();
    }
    const std::size_t taken = m_reader.Feed(m_input);
    m_input.erase(0, taken);
    if (m_reader.fault()) {
      Refuse(RefusalOf(*m_reader.fault()));
    } else if (std::exchange(m_no_memory, false)) {
      RefuseForMemory();
    } else if (std::exchange(m_whole, false)) {
      StartExchange();
    }
  }
  m_reading = false;
  if (m_input.empty()) m_input.shrink_to_fit();
  // What it sends waits in the kernel until it has taken what waits for it.
  if (m_stream.pending() > 0 && !m_lingering) {
    m_stream.SetReading(net::Reading::kWatchEnd);
  }
}

void ClientConnection::OnHead(net::Head head) {
  m_head = std::move(head);
  m_body.clear();
  WatchTime();
  m_no_memory = !Reserve(DeclaredLength(m_head.headers));
  if (m_no_memory) return;
  m_body.reserve(DeclaredLength(m_head.headers));
  const std::string* expect = m_head.headers.Find("Expect");
  if (expect != nullptr && net::SameName(*expect, "100-continue")) {
    m_stream.Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void ClientConnection::OnBody(std::string_view bytes) {
  if (m_no_memory) return;
  const std::size_t size = m_body.size() + bytes.size();
  // Of a body in chunks the length is not known before.
  if (pressure::kBodyCopies * size > m_held_body.bytes() && !Reserve(size)) {
    m_no_memory = true;
    return;
  }
  m_body += bytes;
}

bool ClientConnection::Reserve(std::size_t body_bytes) {
  if (!m_parts.memory->CanAcceptBody(body_bytes, m_held_body.bytes())) {
    m_held_body.Set(0);
    m_body = {};
    return false;
  }
  m_held_body.Set(pressure::kBodyCopies * body_bytes);
  return true;
}

void ClientConnection::OnMessageEnd() { m_whole = true; }

void ClientConnection::StartExchange() {
  m_parts.loop->Cancel(&m_timer);
  m_close_after = !m_head.keep_alive;
  m_stream.SetReading(net::Reading::kWatchEnd);
  m_held_body.Set(0);  // the exchange counts it from here on
  m_exchange = std::make_shared<Exchange>(m_parts, this, m_host->Routes(),
                                          std::move(m_head), std::move(m_body));
  const auto exchange = m_exchange;
  exchange->Start();
}

void ClientConnection::RefuseForMemory() {
  m_parts.loop->Cancel(&m_timer);
  m_whole = false;
  // The body is still to come, and other nodes have memory left.
  m_close_after = true;
  m_exchange = std::make_shared<Exchange>(m_parts, this, m_host->Routes(),
                                          std::move(m_head), std::string());
  const auto exchange = m_exchange;
  exchange->Reject(traffic::Refusal::kNodeFull);
}

void ClientConnection::Refuse(traffic::Refusal refusal) {
  m_parts.metrics->CountRefusal(refusal);
  m_parts.log->Write(LogEvent::kRefused,
                     {{"reason", Name(refusal)}, {"status", Status(refusal)}});
  m_stream.Write(
      platform::EncodeOwnAnswer(Status(refusal), Name(refusal), {}, -1, true));
  Linger();
}

bool ClientConnection::ClosesAfterAnswer() const {
  return m_close_after || m_host->Closing();
}

void ClientConnection::WriteToClient(std::string_view bytes) {
  m_stream.Write(bytes);
}

void ClientConnection::AnswerDone() {
  const bool close = ClosesAfterAnswer();
  m_parts.loop->Defer([exchange = std::move(m_exchange)] {});
  m_exchange = nullptr;
  if (!m_stream.is_open()) return;
  if (close) {
    m_stream.SetReading(net::Reading::kOn);
    Linger();
    return;
  }
  WatchTime();
  if (m_stream.pending() > 0) return;  // OnDrained() goes on
  m_stream.SetReading(net::Reading::kOn);
  ReadOn();
}

void ClientConnection::AnswerBroken() {
  m_parts.loop->Defer([exchange = std::move(m_exchange)] {});
  m_exchange = nullptr;
  // The missing end of the chunked body already tells that the answer is not
  // whole; the reset tells it at once.
  m_stream.Reset();
  Drop();
}

void ClientConnection::OnDrained() {
  if (m_exchange) {
    m_exchange->ClientDrained();
  } else if (!m_lingering) {
    m_stream.SetReading(net::Reading::kOn);
    WatchTime();
    ReadOn();
  }
}

void ClientConnection::DropClient() {
  const auto exchange = m_exchange;
  if (exchange) {
    exchange->OnClientStalled();
    return;
  }
  m_stream.Reset();
  Drop();
}

void ClientConnection::OnClosed(net::CloseCause /*cause*/) {
  const auto exchange = std::exchange(m_exchange, nullptr);
  if (exchange) exchange->OnClientDisconnected();
  Drop();
}

void ClientConnection::CloseIfIdle() {
  if (m_exchange || m_lingering || m_reader.in_message() || !m_input.empty() ||
      m_stream.pending() > 0) {
    return;
  }
  m_stream.Close();
  Drop();
}

void ClientConnection::WatchTime() {
  m_parts.loop->Cancel(&m_timer);
  const traffic::ClientLimits limits = m_host->Limits();
  Duration                    limit = limits.idle_timeout;
  if (m_stream.pending() > 0) {
    limit = m_parts.thresholds->reader_patience;
  } else if (m_reader.in_body()) {
    limit = limits.head_timeout * kBodyPatience;
  } else if (m_request_began == m_parts.loop->now()) {
    limit = limits.head_timeout;
  }
  m_timer = m_parts.loop->After(limit, [this] {
    m_timer = 0;
    TimeUp();
  });
}

void ClientConnection::TimeUp() {
  const bool reads = m_stream.pending() > 0 &&
                     m_stream.stalled() < m_parts.thresholds->reader_patience;
  if (reads) {
    WatchTime();
  } else if (!m_reader.in_message()) {
    m_stream.Close();
    Drop();
  } else {
    Refuse(traffic::Refusal::kTooSlow);
  }
}

void ClientConnection::Linger() {
  m_lingering = true;
  m_input = {};
  m_body = {};
  m_held_body.Set(0);
  m_stream.EndWriting();
  m_parts.loop->Cancel(&m_timer);
  m_timer = m_parts.loop->After(m_parts.thresholds->linger, [this] {
    m_timer = 0;
    m_stream.Close();
    Drop();
  });
}

void ClientConnection::Drop() { m_host->Forget(this); }

}  // namespace yuccawick::gateway

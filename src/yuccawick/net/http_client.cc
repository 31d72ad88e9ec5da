#include "yuccawick/net/http_client.h"

#include <algorithm>
#include <array>
#include <utility>

#include "yuccawick/net/message_body.h"

namespace yuccawick::net {
namespace {

// Maximum time in ms for sent bytes to stay unacknowledged. Closes dead
// connections; calls have their own, usually longer timeout.
constexpr int        kUnackedTimeout = 2000;
constexpr HttpLimits kResponseLimits{16UL * 1024, 16UL << 20};
// Maximum idle time in ms for reuse: the server or a middlebox may have dropped
// an older connection without notice, and a new one costs only a round trip.
constexpr Duration   kMaxIdle = 10'000;

}  // namespace

std::string_view Name(CallFailure failure) {
  constexpr std::array<std::string_view, 2> kNames{"not_sent", "unknown"};
  return kNames[static_cast<std::size_t>(failure)];
}

class HttpClient::Connection final : public StreamOwner, public HttpSink {
 public:
  Connection(HttpClient* client, int fd)
      : m_client(client),
        m_stream(client->m_loop, this, fd, true),
        m_reader(HttpRole::kResponses, kResponseLimits, this) {}
  ~Connection() override { m_client->m_loop->Cancel(&m_timer); }

  bool idle() const { return !m_done && m_stream.is_open(); }
  Time idle_since() const { return m_idle_since; }

  void Start(const Call& call, CallDone done) {
    m_done = std::move(done);
    m_response = {};
    m_sent = m_connected;
    m_reader.SetRequestMethod(call.method);
    std::string request = call.method + " " + call.target + " HTTP/1.1\r\n";
    AppendHeader(&request, "Host", m_client->m_server.Text());
    if (!call.content_type.empty()) {
      AppendHeader(&request, "Content-Type", call.content_type);
    }
    if (RequestStatesLength(call.method, call.body.size())) {
      AppendHeader(&request, "Content-Length",
                   std::to_string(call.body.size()));
    }
    request += "\r\n";
    request += call.body;
    m_timer = m_client->m_loop->After(call.timeout, [this] {
      m_timer = 0;
      m_stream.Close();
      Fail();
    });
    m_stream.Write(request);
  }

  void OnConnected() override {
    m_connected = true;
    m_sent = true;
  }

  void OnBytes(std::string_view bytes) override {
    if (!m_done) {  // unexpected bytes: out of sync
      m_stream.Close();
      m_client->Release(this, false);
      return;
    }
    m_complete = false;
    const std::size_t consumed = m_reader.Feed(bytes);
    if (m_reader.fault()) {
      m_stream.Close();
      Fail();
    } else if (m_complete) {
      Succeed(consumed == bytes.size());
    }
  }

  void OnClosed(CloseCause cause) override {
    if (!m_done) {
      m_client->Release(this, false);
      return;
    }
    m_complete = false;
    if (cause == CloseCause::kEnd && m_reader.FeedEnd() && m_complete) {
      Succeed(false);
    } else {
      Fail();
    }
  }

  void OnHead(Head head) override {
    m_response.status = head.status;
    m_keep_alive = head.keep_alive;
  }
  void OnBody(std::string_view bytes) override { m_response.body += bytes; }
  void OnMessageEnd() override { m_complete = true; }

 private:
  void Succeed(bool in_sync) {
    if (m_response.status < 200) return;  // interim response
    End(std::move(m_response), m_keep_alive && in_sync && m_stream.is_open());
  }
  void Fail() {
    End(tl::unexpected(m_sent ? CallFailure::kUnknown : CallFailure::kNotSent),
        false);
  }
  void End(CallResult result, bool usable) {
    m_client->m_loop->Cancel(&m_timer);
    m_idle_since = m_client->m_loop->now();
    const CallDone done = std::exchange(m_done, nullptr);
    m_client->Release(this, usable);
    done(std::move(result));
  }

  HttpClient* m_client;
  Stream      m_stream;
  HttpReader  m_reader;
  CallDone    m_done;
  CallAnswer  m_response;
  TimerId     m_timer = 0;
  Time        m_idle_since = 0;
  bool        m_connected = false;
  bool        m_sent = false;
  bool        m_keep_alive = false;
  bool        m_complete = false;
};

HttpClient::HttpClient(EventLoop* loop, Endpoint server)
    : m_loop(loop), m_server(server) {}

HttpClient::~HttpClient() = default;

HttpClient::Connection* HttpClient::FindIdle() {
  const Time oldest = m_loop->now() - kMaxIdle;
  std::erase_if(m_connections, [&](const auto& connection) {
    return connection->idle() && connection->idle_since() < oldest;
  });
  for (const auto& connection : m_connections) {
    if (connection->idle()) return connection.get();
  }
  return nullptr;
}

void HttpClient::Send(const Call& call, CallDone done) {
  Connection* connection = FindIdle();
  if (connection == nullptr) {
    const int fd = Connect(m_server, kUnackedTimeout);
    if (fd < 0) {
      m_loop->Defer([done = std::move(done)] {
        done(tl::unexpected(CallFailure::kNotSent));
      });
      return;
    }
    m_connections.push_back(std::make_unique<Connection>(this, fd));
    connection = m_connections.back().get();
  }
  connection->Start(call, std::move(done));
}

void HttpClient::Release(Connection* connection, bool usable) {
  if (usable) return;
  const auto found = std::find_if(
      m_connections.begin(), m_connections.end(),
      [&](const auto& owned) { return owned.get() == connection; });
  if (found == m_connections.end()) return;
  // Destroyed later because the connection is still on the call stack.
  const std::shared_ptr<Connection> closed = std::move(*found);
  m_connections.erase(found);
  m_loop->Defer([closed] {});
}

}  // namespace yuccawick::net

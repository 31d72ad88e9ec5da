#include "yuccawick/gateway/small_server.h"

#include <iterator>
#include <utility>

#include "yuccawick/net/http.h"
#include "yuccawick/net/message_body.h"
#include "yuccawick/net/stream.h"

namespace yuccawick::gateway {
namespace {

constexpr net::HttpLimits kLimits{8UL * 1024, 0};  // header bytes, body bytes
constexpr int             kUnackedTimeout =
    5000;  // ms that sent bytes may stay unacknowledged
constexpr net::Duration kMaxIdle = 30'000;  // ms
constexpr std::size_t   kMaxConnections = 32;

}  // namespace

class SmallServer::Connection final : public net::StreamOwner,
                                      public net::HttpSink {
 public:
  Connection(SmallServer* server, int fd)
      : m_server(server),
        m_stream(server->m_loop, this, fd, false),
        m_reader(net::HttpRole::kRequests, kLimits, this) {
    WatchIdle();
  }
  ~Connection() override { m_server->m_loop->Cancel(&m_timer); }

  // Position in the server's list; set once it is there.
  void SetPosition(Connections::iterator position) { m_position = position; }
  void Close() {
    m_server->m_loop->Cancel(&m_timer);
    m_stream.Close();
  }

  void OnBytes(std::string_view bytes) override {
    if (m_last_sent) return;
    m_input.append(bytes);
    ProcessInput();
  }
  void OnDrained() override {
    m_server->MarkActive(m_position);
    m_stream.SetReading(net::Reading::kOn);
    ProcessInput();
  }
  void OnClosed(net::CloseCause /*cause*/) override { Drop(); }
  void OnHead(net::Head head) override { m_head = std::move(head); }
  void OnBody(std::string_view /*bytes*/) override {}
  void OnMessageEnd() override { m_request_complete = true; }

 private:
  void ProcessInput() {
    while (!m_input.empty() && !m_last_sent && m_stream.pending() == 0) {
      m_input.erase(0, m_reader.Feed(m_input));
      if (m_reader.fault()) return Drop();
      if (std::exchange(m_request_complete, false)) SendAnswer();
    }
    if (m_stream.pending() > 0) m_stream.SetReading(net::Reading::kWatchEnd);
  }
  void SendAnswer() {
    const SmallAnswer answer = m_server->m_answer(m_head.target);
    std::string       out = "HTTP/1.1 " + std::to_string(answer.status) + " ";
    out.append(net::StatusText(answer.status)).append("\r\n");
    net::AppendHeader(&out, "Content-Type", answer.content_type);
    const auto body = net::ResponseBody::OfLength(m_head.method, answer.status,
                                                  answer.body.size());
    body.AppendHeaders(&out);
    if (!m_head.keep_alive) net::AppendHeader(&out, "Connection", "close");
    out += "\r\n";
    body.AppendPart(&out, answer.body);
    m_stream.Write(out);
    m_last_sent = !m_head.keep_alive;
    if (m_last_sent) m_stream.EndWriting();
    m_server->MarkActive(m_position);
    WatchIdle();
  }
  void WatchIdle() {
    m_server->m_loop->Cancel(&m_timer);
    m_timer = m_server->m_loop->After(kMaxIdle, [this] {
      m_timer = 0;
      Drop();
    });
  }
  void Drop() { m_server->Drop(m_position); }

  SmallServer*          m_server;
  Connections::iterator m_position;
  net::Stream           m_stream;
  net::HttpReader       m_reader;
  std::string           m_input;  // received and not yet parsed
  net::Head             m_head;
  bool                  m_request_complete = false;
  bool                  m_last_sent = false;  // the connection ends with it
  net::TimerId          m_timer = 0;
};

SmallServer::SmallServer(net::EventLoop* loop, Answer answer)
    : m_loop(loop),
      m_answer(std::move(answer)),
      m_listener(loop, kUnackedTimeout, [this](int fd) { OnAccepted(fd); }) {}

SmallServer::~SmallServer() = default;

void SmallServer::OnAccepted(int fd) {
  if (m_connections.size() >= kMaxConnections) Drop(m_connections.begin());
  m_connections.push_back(std::make_unique<Connection>(this, fd));
  m_connections.back()->SetPosition(std::prev(m_connections.end()));
}

void SmallServer::MarkActive(Connections::iterator connection) {
  m_connections.splice(m_connections.end(), m_connections, connection);
}

void SmallServer::Drop(Connections::iterator connection) {
  // Deferred destruction: the connection may be on the call stack.
  const std::shared_ptr<Connection> dying = std::move(*connection);
  m_connections.erase(connection);
  dying->Close();
  m_loop->Defer([dying] {});
}

}  // namespace yuccawick::gateway

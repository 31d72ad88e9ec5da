#include "yuccawick/gateway/small_server.h"

#include <unistd.h>

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

  void OnBytes(std::string_view bytes) override {
    while (!bytes.empty() && m_stream.is_open()) {
      bytes.remove_prefix(m_reader.Feed(bytes));
      if (m_reader.fault()) Drop();
    }
  }
  void OnClosed(net::CloseCause /*cause*/) override { Drop(); }
  void OnHead(net::Head head) override { m_head = std::move(head); }
  void OnBody(std::string_view /*bytes*/) override {}
  void OnMessageEnd() override {
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
    if (!m_head.keep_alive) m_stream.EndWriting();
    WatchIdle();
  }

 private:
  void WatchIdle() {
    m_server->m_loop->Cancel(&m_timer);
    m_timer = m_server->m_loop->After(kMaxIdle, [this] {
      m_timer = 0;
      Drop();
    });
  }
  void Drop() {
    m_stream.Close();
    auto node = m_server->m_connections.extract(this);
    if (node.empty()) return;
    // Deferred destruction: this connection is still on the call stack.
    const std::shared_ptr<Connection> dying = std::move(node.mapped());
    m_server->m_loop->Defer([dying] {});
  }

  SmallServer*    m_server;
  net::Stream     m_stream;
  net::HttpReader m_reader;
  net::Head       m_head;
  net::TimerId    m_timer = 0;
};

SmallServer::SmallServer(net::EventLoop* loop, Answer answer)
    : m_loop(loop), m_answer(std::move(answer)) {}

SmallServer::~SmallServer() {
  if (m_listener < 0) return;
  m_loop->Forget(m_listener);
  close(m_listener);
}

bool SmallServer::Listen(const net::Endpoint& at) {
  m_listener = net::Listen(at);
  if (m_listener < 0) return false;
  m_loop->Watch(m_listener, this, true, false);
  return true;
}

void SmallServer::OnReadable() {
  for (int fd = net::Accept(m_listener, kUnackedTimeout); fd >= 0;
       fd = net::Accept(m_listener, kUnackedTimeout)) {
    auto        connection = std::make_unique<Connection>(this, fd);
    Connection* raw = connection.get();
    m_connections.emplace(raw, std::move(connection));
  }
}

}  // namespace yuccawick::gateway

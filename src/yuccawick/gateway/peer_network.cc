#include "yuccawick/gateway/peer_network.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <utility>

namespace yuccawick::gateway {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kMaxMessageBytes = 16UL
                                         << 20;  // fits a long chain of turns
constexpr int kUnackedTimeout =
    1000;  // ms that sent bytes may stay unacknowledged
constexpr int         kBitsPerByte = 8;
// Messages to a peer with more unsent bytes than this are dropped: a peer that
// reads so slowly is of no more use than one that is down.
constexpr std::size_t kMaxBacklogBytes = 4UL << 20;

std::string Encode(const PeerNetwork::Fill& fill, std::uint64_t number) {
  capnp::MallocMessageBuilder message;
  auto                        root = message.initRoot<PeerMessage>();
  root.setNumber(number);
  fill(root);
  kj::VectorOutputStream out;
  capnp::writePackedMessage(out, message);
  const auto  bytes = out.getArray();
  std::string frame;
  for (std::size_t i = kLengthBytes; i-- > 0;) {
    frame.push_back(static_cast<char>(bytes.size() >> (i * kBitsPerByte)));
  }
  return frame.append(reinterpret_cast<const char*>(bytes.begin()),
                      bytes.size());
}

// Splits a byte stream into messages.
class FrameReader {
 public:
  // Returns false if the bytes are not valid messages.
  template <class Handler>
  bool Feed(std::string_view bytes, Handler on_message) {
    m_buffer.append(bytes);
    std::size_t at = 0;
    bool        valid = true;
    while (valid && m_buffer.size() - at >= kLengthBytes) {
      std::size_t size = 0;
      for (std::size_t i = 0; i < kLengthBytes; ++i) {
        size =
            size << kBitsPerByte | static_cast<unsigned char>(m_buffer[at + i]);
      }
      if (size > kMaxMessageBytes) return false;
      if (m_buffer.size() - at - kLengthBytes < size) break;
      const std::string message = m_buffer.substr(at + kLengthBytes, size);
      at += kLengthBytes + size;
      valid = Read(message, on_message);
    }
    m_buffer.erase(0, at);
    return valid;
  }

 private:
  template <class Handler>
  static bool Read(const std::string& bytes, Handler on_message) {
    const auto failed = kj::runCatchingExceptions([&] {
      kj::ArrayInputStream       in(kj::arrayPtr(
                reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
      capnp::PackedMessageReader reader(in);
      on_message(reader.getRoot<PeerMessage>());
    });
    return failed == nullptr;
  }
  std::string m_buffer;
};

}  // namespace

class PeerNetwork::OutboundConnection final : public net::StreamOwner {
 public:
  OutboundConnection(PeerNetwork* network, programs::NodeInfo node, int fd)
      : m_network(network),
        m_node(std::move(node)),
        m_stream(network->m_loop, this, fd, true) {
    m_connect_timer = network->m_loop->After(
        network->m_thresholds->peer_connect_timeout, [this] {
          m_connect_timer = 0;
          m_network->DropOutbound(m_node.name, true);
        });
  }
  ~OutboundConnection() override {
    m_network->m_loop->Cancel(&m_connect_timer);
    for (auto& [number, request] : m_pending) {
      m_network->m_loop->Cancel(&request.timer);
    }
  }

  const programs::NodeInfo& node() const { return m_node; }

  void Send(const std::string& frame) {
    if (m_stream.pending() < kMaxBacklogBytes) m_stream.Write(frame);
  }

  void AddPending(std::uint64_t number, Duration timeout,
                  ResponseCallback done) {
    const net::TimerId timer =
        m_network->m_loop->After(timeout, [this, number] {
          ResponseCallback callback = TakeCallback(number);
          m_network->Suspect(m_node.name);
          callback(std::nullopt);
        });
    m_pending.emplace(number, PendingRequest{std::move(done), timer});
  }

  void Close() { m_stream.Close(); }
  void FailAll() {
    auto pending = std::exchange(m_pending, {});
    for (auto& [number, request] : pending) {
      m_network->m_loop->Cancel(&request.timer);
      request.done(std::nullopt);
    }
  }

  void OnConnected() override { m_network->m_loop->Cancel(&m_connect_timer); }
  void OnBytes(std::string_view bytes) override {
    m_network->MarkReachable(m_node.name);
    const bool valid = m_frames.Feed(
        bytes,
        [this](PeerMessage::Reader message) { HandleResponse(message); });
    if (!valid) m_network->DropOutbound(m_node.name, true);
  }
  void OnClosed(net::CloseCause /*cause*/) override {
    m_network->DropOutbound(m_node.name, true);
  }

 private:
  struct PendingRequest {
    ResponseCallback done;
    net::TimerId     timer = 0;
  };

  ResponseCallback TakeCallback(std::uint64_t number) {
    auto node = m_pending.extract(number);
    return node.empty() ? ResponseCallback() : std::move(node.mapped().done);
  }

  void HandleResponse(PeerMessage::Reader message) {
    const auto found = m_pending.find(message.getNumber());
    if (found == m_pending.end()) {
      m_network->m_handler->OnLateResponse(m_node.name, message,
                                           message.getNumber());
      return;
    }
    m_network->m_loop->Cancel(&found->second.timer);
    const ResponseCallback done = TakeCallback(message.getNumber());
    done(message);
  }

  PeerNetwork*                                      m_network;
  programs::NodeInfo                                m_node;
  net::Stream                                       m_stream;
  net::TimerId                                      m_connect_timer = 0;
  FrameReader                                       m_frames;
  std::unordered_map<std::uint64_t, PendingRequest> m_pending;
};

class PeerNetwork::InboundConnection final : public net::StreamOwner {
 public:
  InboundConnection(PeerNetwork* network, ConnectionId id, int fd)
      : m_network(network),
        m_id(id),
        m_stream(network->m_loop, this, fd, false) {}

  void Send(const std::string& frame) {
    if (m_stream.pending() < kMaxBacklogBytes) m_stream.Write(frame);
  }
  void Close() { m_stream.Close(); }

  void OnBytes(std::string_view bytes) override {
    const bool valid = m_frames.Feed(
        bytes, [this](PeerMessage::Reader message) { HandleMessage(message); });
    if (!valid) m_network->DropInbound(m_id);
  }
  void OnClosed(net::CloseCause /*cause*/) override {
    m_network->DropInbound(m_id);
  }

 private:
  void HandleMessage(PeerMessage::Reader message) {
    if (message.isHello()) {
      m_node = message.getHello().getIncarnation().cStr();
      m_node = m_node.substr(0, m_node.find('/'));
      m_network->MarkReachable(m_node);
      return;
    }
    // The reply may be sent after this connection has closed.
    const auto reply = [network = m_network, id = m_id,
                        number = message.getNumber()](const Fill& fill) {
      const auto connection = network->m_inbound.find(id);
      if (connection == network->m_inbound.end()) return;
      connection->second->Send(Encode(fill, number));
    };
    m_network->m_handler->OnMessage(m_id, m_node, message, reply);
  }

  PeerNetwork* m_network;
  ConnectionId m_id;
  net::Stream  m_stream;
  FrameReader  m_frames;
  std::string  m_node;
};

PeerNetwork::PeerNetwork(net::EventLoop* loop, const Thresholds* thresholds,
                         programs::Membership* members, Log* log)
    : m_loop(loop),
      m_thresholds(thresholds),
      m_members(members),
      m_log(log),
      m_listener(loop, kUnackedTimeout, [this](int fd) { OnAccepted(fd); }) {}

PeerNetwork::~PeerNetwork() = default;

void PeerNetwork::OnAccepted(int fd) {
  const ConnectionId id = ++m_last_connection;
  m_inbound.emplace(id, std::make_unique<InboundConnection>(this, id, fd));
}

PeerNetwork::OutboundConnection* PeerNetwork::ConnectTo(
    const programs::NodeInfo& node) {
  const auto found = m_outbound.find(node.name);
  if (found != m_outbound.end()) {
    if (found->second->node() == node) return found->second.get();
    DropOutbound(node.name, false);  // the node restarted
  }
  const int fd = net::Connect(node.address, kUnackedTimeout);
  if (fd < 0) return nullptr;
  auto connection = std::make_unique<OutboundConnection>(this, node, fd);
  OutboundConnection* raw = connection.get();
  m_outbound.emplace(node.name, std::move(connection));
  raw->Send(Encode(
      [this](PeerMessage::Builder message) {
        const auto& self = m_members->self();
        auto        hello = message.initHello();
        hello.setIncarnation(self.incarnation);
        hello.setAddress(self.address.Text());
        hello.setZone(self.zone);
      },
      0));
  return raw;
}

std::uint64_t PeerNetwork::SendRequest(const programs::NodeInfo& node,
                                       const Fill& fill, Duration timeout,
                                       ResponseCallback done) {
  const std::uint64_t number = ++m_last_request;
  OutboundConnection* connection = ConnectTo(node);
  if (connection == nullptr) {
    m_loop->Defer([done = std::move(done)] { done(std::nullopt); });
    return number;
  }
  connection->AddPending(number, timeout, std::move(done));
  connection->Send(Encode(fill, number));
  return number;
}

void PeerNetwork::SendOneWay(const programs::NodeInfo& node, const Fill& fill) {
  OutboundConnection* connection = ConnectTo(node);
  if (connection != nullptr) connection->Send(Encode(fill, 0));
}

void PeerNetwork::MarkReachable(const std::string& node) {
  if (!m_members->Trust(node)) return;
  m_log->Write(LogEvent::kPeer, {{"peer", node}, {"state", "back"}});
  m_loop->Defer([this, node] { m_handler->OnPeerBack(node); });
}

void PeerNetwork::Suspect(const std::string& node) {
  if (!m_members->Suspect(node, m_loop->now())) return;
  m_log->Write(LogEvent::kPeer, {{"peer", node}, {"state", "lost"}});
}

void PeerNetwork::DropOutbound(const std::string& node, bool suspect) {
  auto entry = m_outbound.extract(node);
  if (entry.empty()) return;
  if (suspect) Suspect(node);
  const std::shared_ptr<OutboundConnection> closing = std::move(entry.mapped());
  closing->Close();
  // Deferred: a callback may send a new request at once, and the connection may
  // still be on the call stack.
  m_loop->Defer([closing] { closing->FailAll(); });
}

void PeerNetwork::DropInbound(ConnectionId id) {
  auto entry = m_inbound.extract(id);
  if (entry.empty()) return;
  const std::shared_ptr<InboundConnection> closing = std::move(entry.mapped());
  closing->Close();
  m_handler->OnConnectionClosed(id);
  m_loop->Defer([closing] {});
}

}  // namespace yuccawick::gateway

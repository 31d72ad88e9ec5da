#include "yuccawick/gateway/peer_network.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>
#include <unistd.h>

#include <utility>

namespace yuccawick::gateway {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kMaxMessage = 16UL << 20;  // a long chain of turns
constexpr int         kSilence = 1000;           // ms of unacknowledged bytes
constexpr int         kBitsPerByte = 8;
// A peer that reads this slowly is as good as gone.
constexpr std::size_t kMaxBacklog = 4UL << 20;

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

// Cuts a stream of bytes into messages.
class FrameReader {
 public:
  // False if the bytes are no messages.
  template <class Take>
  bool Feed(std::string_view bytes, Take take) {
    m_buffer.append(bytes);
    std::size_t at = 0;
    bool        sound = true;
    while (sound && m_buffer.size() - at >= kLengthBytes) {
      std::size_t size = 0;
      for (std::size_t i = 0; i < kLengthBytes; ++i) {
        size =
            size << kBitsPerByte | static_cast<unsigned char>(m_buffer[at + i]);
      }
      if (size > kMaxMessage) return false;
      if (m_buffer.size() - at - kLengthBytes < size) break;
      const std::string message = m_buffer.substr(at + kLengthBytes, size);
      at += kLengthBytes + size;
      sound = Read(message, take);
    }
    m_buffer.erase(0, at);
    return sound;
  }

 private:
  template <class Take>
  static bool Read(const std::string& bytes, Take take) {
    const auto failed = kj::runCatchingExceptions([&] {
      kj::ArrayInputStream       in(kj::arrayPtr(
                reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
      capnp::PackedMessageReader reader(in);
      take(reader.getRoot<PeerMessage>());
    });
    return failed == nullptr;
  }
  std::string m_buffer;
};

}  // namespace

class PeerNetwork::Link final : public net::StreamOwner {
 public:
  Link(PeerNetwork* network, programs::NodeInfo node, int fd)
      : m_network(network),
        m_node(std::move(node)),
        m_stream(network->m_loop, this, fd, true) {
    m_connect_timer = network->m_loop->After(
        network->m_thresholds->peer_connect_timeout, [this] {
          m_connect_timer = 0;
          m_network->DropLink(m_node.name, true);
        });
  }
  ~Link() override {
    m_network->m_loop->Cancel(&m_connect_timer);
    for (auto& [number, question] : m_questions) {
      m_network->m_loop->Cancel(&question.timer);
    }
  }

  const programs::NodeInfo& node() const { return m_node; }

  void Send(const std::string& frame) {
    if (m_stream.pending() < kMaxBacklog) m_stream.Write(frame);
  }

  void Expect(std::uint64_t number, Duration timeout, Answered done) {
    const net::TimerId timer =
        m_network->m_loop->After(timeout, [this, number] {
          Answered late = Take(number);
          m_network->Suspect(m_node.name);
          late(std::nullopt);
        });
    m_questions.emplace(number, Question{std::move(done), timer});
  }

  void Close() { m_stream.Close(); }
  void FailAll() {
    auto questions = std::exchange(m_questions, {});
    for (auto& [number, question] : questions) {
      m_network->m_loop->Cancel(&question.timer);
      question.done(std::nullopt);
    }
  }

  void OnConnected() override { m_network->m_loop->Cancel(&m_connect_timer); }
  void OnBytes(std::string_view bytes) override {
    m_network->HeardOf(m_node.name);
    const bool sound = m_frames.Feed(
        bytes, [this](PeerMessage::Reader message) { TakeAnswer(message); });
    if (!sound) m_network->DropLink(m_node.name, true);
  }
  void OnClosed(net::CloseCause /*cause*/) override {
    m_network->DropLink(m_node.name, true);
  }

 private:
  struct Question {
    Answered     done;
    net::TimerId timer = 0;
  };

  Answered Take(std::uint64_t number) {
    auto node = m_questions.extract(number);
    return node.empty() ? Answered() : std::move(node.mapped().done);
  }

  void TakeAnswer(PeerMessage::Reader message) {
    const auto found = m_questions.find(message.getNumber());
    if (found == m_questions.end()) {
      m_network->m_service->OnLateAnswer(m_node.name, message,
                                         message.getNumber());
      return;
    }
    m_network->m_loop->Cancel(&found->second.timer);
    const Answered done = Take(message.getNumber());
    done(message);
  }

  PeerNetwork*                                m_network;
  programs::NodeInfo                          m_node;
  net::Stream                                 m_stream;
  net::TimerId                                m_connect_timer = 0;
  FrameReader                                 m_frames;
  std::unordered_map<std::uint64_t, Question> m_questions;
};

class PeerNetwork::Session final : public net::StreamOwner {
 public:
  Session(PeerNetwork* network, ConnectionId id, int fd)
      : m_network(network),
        m_id(id),
        m_stream(network->m_loop, this, fd, false) {}

  void Send(const std::string& frame) {
    if (m_stream.pending() < kMaxBacklog) m_stream.Write(frame);
  }
  void Close() { m_stream.Close(); }

  void OnBytes(std::string_view bytes) override {
    const bool sound = m_frames.Feed(
        bytes, [this](PeerMessage::Reader message) { TakeMessage(message); });
    if (!sound) m_network->DropSession(m_id);
  }
  void OnClosed(net::CloseCause /*cause*/) override {
    m_network->DropSession(m_id);
  }

 private:
  void TakeMessage(PeerMessage::Reader message) {
    if (message.isHello()) {
      m_node = message.getHello().getIncarnation().cStr();
      m_node = m_node.substr(0, m_node.find('/'));
      m_network->HeardOf(m_node);
      return;
    }
    // The reply may come after this session has ended.
    const auto reply = [network = m_network, id = m_id,
                        number = message.getNumber()](const Fill& fill) {
      const auto session = network->m_sessions.find(id);
      if (session == network->m_sessions.end()) return;
      session->second->Send(Encode(fill, number));
    };
    m_network->m_service->OnMessage(m_id, m_node, message, reply);
  }

  PeerNetwork* m_network;
  ConnectionId m_id;
  net::Stream  m_stream;
  FrameReader  m_frames;
  std::string  m_node;
};

PeerNetwork::PeerNetwork(net::EventLoop* loop, const Thresholds* thresholds,
                         programs::Membership* members, Log* log)
    : m_loop(loop), m_thresholds(thresholds), m_members(members), m_log(log) {}

PeerNetwork::~PeerNetwork() {
  if (m_listener < 0) return;
  m_loop->Forget(m_listener);
  close(m_listener);
}

bool PeerNetwork::Listen(const net::Endpoint& at) {
  m_listener = net::Listen(at);
  if (m_listener < 0) return false;
  m_loop->Watch(m_listener, this, true, false);
  return true;
}

void PeerNetwork::OnReadable() {
  for (int fd = net::Accept(m_listener, kSilence); fd >= 0;
       fd = net::Accept(m_listener, kSilence)) {
    const ConnectionId id = ++m_last_session;
    m_sessions.emplace(id, std::make_unique<Session>(this, id, fd));
  }
}

PeerNetwork::Link* PeerNetwork::LinkTo(const programs::NodeInfo& node) {
  const auto found = m_links.find(node.name);
  if (found != m_links.end()) {
    if (found->second->node() == node) return found->second.get();
    DropLink(node.name, false);  // the node was restarted
  }
  const int fd = net::Connect(node.address, kSilence);
  if (fd < 0) return nullptr;
  auto  link = std::make_unique<Link>(this, node, fd);
  Link* raw = link.get();
  m_links.emplace(node.name, std::move(link));
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
                                       Answered done) {
  const std::uint64_t number = ++m_last_number;
  Link*               link = LinkTo(node);
  if (link == nullptr) {
    m_loop->Defer([done = std::move(done)] { done(std::nullopt); });
    return number;
  }
  link->Expect(number, timeout, std::move(done));
  link->Send(Encode(fill, number));
  return number;
}

void PeerNetwork::SendOneWay(const programs::NodeInfo& node, const Fill& fill) {
  Link* link = LinkTo(node);
  if (link != nullptr) link->Send(Encode(fill, 0));
}

void PeerNetwork::HeardOf(const std::string& node) {
  if (!m_members->Trust(node)) return;
  m_log->Write(LogEvent::kPeer, {{"peer", node}, {"state", "back"}});
}

void PeerNetwork::Suspect(const std::string& node) {
  if (!m_members->Suspect(node, m_loop->now())) return;
  m_log->Write(LogEvent::kPeer, {{"peer", node}, {"state", "lost"}});
}

void PeerNetwork::DropLink(const std::string& node, bool suspect) {
  auto entry = m_links.extract(node);
  if (entry.empty()) return;
  if (suspect) Suspect(node);
  const std::shared_ptr<Link> dying = std::move(entry.mapped());
  dying->Close();
  // Questions fail later: whoever asked may ask again at once, and the link may
  // be on the call stack.
  m_loop->Defer([dying] { dying->FailAll(); });
}

void PeerNetwork::DropSession(ConnectionId id) {
  auto entry = m_sessions.extract(id);
  if (entry.empty()) return;
  const std::shared_ptr<Session> dying = std::move(entry.mapped());
  dying->Close();
  m_service->OnConnectionClosed(id);
  m_loop->Defer([dying] {});
}

}  // namespace yuccawick::gateway

// Messages between the nodes that take traffic.
//
// Cap'n Proto messages, packed, each after its length in four bytes. A node
// dials whom it wants to ask; answers come back on the same connection. The
// Cap'n Proto RPC layer is not used: its event loop cannot be joined with the
// traffic loop, and a hand-over between threads for each question would cost
// more than the question.
//
// Nothing here waits for a peer that does not answer: every question ends, by
// an answer, a lost connection or its timeout, and the peer is suspected then.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "yuccawick/gateway/log.h"
#include "yuccawick/gateway/thresholds.h"
#include "yuccawick/net/endpoint.h"
#include "yuccawick/net/stream.h"
#include "yuccawick/programs/membership.h"
#include "yuccawick/programs/record.capnp.h"

namespace yuccawick::gateway {

using net::Duration;
using net::Time;
using PeerMessage = programs::wire::PeerMessage;

class PeerNetwork final : public net::SocketHandler {
 public:
  using Fill = std::function<void(PeerMessage::Builder)>;
  // The answer, or nothing.
  using Answered = std::function<void(std::optional<PeerMessage::Reader>)>;
  using Reply = std::function<void(const Fill&)>;
  // A connection that a peer made, for as long as it lasts.
  using ConnectionId = std::uint64_t;

  class MessageHandler {
   public:
    virtual ~MessageHandler() = default;
    // `reply` may be called later, once, or never.
    virtual void OnMessage(ConnectionId session, const std::string& node,
                           PeerMessage::Reader message, Reply reply) = 0;
    virtual void OnConnectionClosed(ConnectionId session) = 0;
    // An answer came after its question had been given up.
    virtual void OnLateAnswer(const std::string&  node,
                              PeerMessage::Reader message,
                              std::uint64_t       number) = 0;
  };

  PeerNetwork(net::EventLoop* loop, const Thresholds* thresholds,
              programs::Membership* members, Log* log);
  ~PeerNetwork() override;
  void SetMessageHandler(MessageHandler* service) { m_service = service; }
  bool Listen(const net::Endpoint& at);

  // Returns the question's number.
  std::uint64_t SendRequest(const programs::NodeInfo& node, const Fill& fill,
                            Duration timeout, Answered done);
  void          SendOneWay(const programs::NodeInfo& node, const Fill& fill);

  void OnReadable() override;
  void OnWritable() override {}
  void OnHangup() override {}

 private:
  class Link;     // made by this node
  class Session;  // made by a peer
  void  HeardOf(const std::string& node);
  Link* LinkTo(const programs::NodeInfo& node);
  // A node did not answer, or its connection broke.
  void  Suspect(const std::string& node);
  void  DropLink(const std::string& node, bool suspect);
  void  DropSession(ConnectionId id);

  net::EventLoop*                                        m_loop;
  const Thresholds*                                      m_thresholds;
  programs::Membership*                                  m_members;
  Log*                                                   m_log;
  MessageHandler*                                        m_service = nullptr;
  int                                                    m_listener = -1;
  std::uint64_t                                          m_last_number = 0;
  ConnectionId                                           m_last_session = 0;
  std::unordered_map<std::string, std::unique_ptr<Link>> m_links;
  std::unordered_map<ConnectionId, std::unique_ptr<Session>> m_sessions;
};

}  // namespace yuccawick::gateway

// Exchanges Cap'n Proto messages between gateway nodes.
//
// Each message is packed and preceded by its length in four bytes. A node opens
// a connection to every peer it sends requests to; responses return on the same
// connection. Cap'n Proto RPC is not used because its event loop cannot share a
// thread with net::EventLoop, and passing each request to another thread would
// cost more than the request.
//
// The callback of a request is called once: with the response, or with nothing
// if the connection fails or the timeout passes. A peer that breaks a
// connection or lets a request time out is suspected, see
// programs/membership.h.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "yuccawick/gateway/log.h"
#include "yuccawick/gateway/thresholds.h"
#include "yuccawick/net/endpoint.h"
#include "yuccawick/net/listener.h"
#include "yuccawick/net/stream.h"
#include "yuccawick/programs/membership.h"
#include "yuccawick/programs/record.capnp.h"

namespace yuccawick::gateway {

using net::Duration;
using net::Time;
using PeerMessage = programs::wire::PeerMessage;

class PeerNetwork final {
 public:
  using Fill = std::function<void(PeerMessage::Builder)>;
  // Receives the response; nothing on a timeout or a closed connection.
  using ResponseCallback =
      std::function<void(std::optional<PeerMessage::Reader>)>;
  using Reply = std::function<void(const Fill&)>;
  // Identifies a connection that a peer opened; never reused.
  using ConnectionId = std::uint64_t;

  class MessageHandler {
   public:
    virtual ~MessageHandler() = default;
    // `reply` may be called at most once, during this call or later.
    virtual void OnMessage(ConnectionId connection, const std::string& node,
                           PeerMessage::Reader message, Reply reply) = 0;
    virtual void OnConnectionClosed(ConnectionId connection) = 0;
    // A node that was suspected can be reached again.
    virtual void OnPeerBack(const std::string& node) = 0;
    // A response arrived after its request had timed out, or one to a one-way
    // message.
    virtual void OnLateResponse(const std::string&  node,
                                PeerMessage::Reader message,
                                std::uint64_t       number) = 0;
  };

  PeerNetwork(net::EventLoop* loop, const Thresholds* thresholds,
              programs::Membership* members, Log* log);
  ~PeerNetwork();
  void SetMessageHandler(MessageHandler* handler) { m_handler = handler; }
  bool Listen(const net::Endpoint& at) { return m_listener.Listen(at); }

  // Returns the number that identifies the request.
  std::uint64_t SendRequest(const programs::NodeInfo& node, const Fill& fill,
                            Duration timeout, ResponseCallback done);
  void          SendOneWay(const programs::NodeInfo& node, const Fill& fill);

 private:
  class OutboundConnection;  // opened by this node
  class InboundConnection;   // opened by a peer
  void                OnAccepted(int fd);
  void                MarkReachable(const std::string& node);
  OutboundConnection* ConnectTo(const programs::NodeInfo& node);
  // The node did not respond in time, or its connection closed.
  void                Suspect(const std::string& node);
  void                DropOutbound(const std::string& node, bool suspect);
  void                DropInbound(ConnectionId id);

  net::EventLoop*       m_loop;
  const Thresholds*     m_thresholds;
  programs::Membership* m_members;
  Log*                  m_log;
  MessageHandler*       m_handler = nullptr;
  net::Listener         m_listener;
  std::uint64_t         m_last_request = 0;
  ConnectionId          m_last_connection = 0;
  std::unordered_map<std::string, std::unique_ptr<OutboundConnection>>
      m_outbound;
  std::unordered_map<ConnectionId, std::unique_ptr<InboundConnection>>
      m_inbound;
};

}  // namespace yuccawick::gateway

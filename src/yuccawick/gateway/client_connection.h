// A client's connection: reads requests one after the other, hands each whole
// request to an Exchange, and writes what it answers.
//
// Memory is bounded: one request's body up to the manifest's limit, and only if
// the node's budget has room for it; no reading while an exchange is under way
// or while the client has not taken the answer before. A client that goes away
// is noticed then too.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "yuccawick/gateway/exchange.h"
#include "yuccawick/net/stream.h"

namespace yuccawick::gateway {

// What the connection needs to know of its node.
class ClientHost {
 public:
  virtual ~ClientHost() = default;
  virtual std::shared_ptr<const traffic::RouteTable> Routes() const = 0;
  virtual traffic::ClientLimits                      Limits() const = 0;
  // The balancer sends nobody here any more: connections end with the answer.
  virtual bool                                       Closing() const = 0;
  virtual void Forget(class ClientConnection* connection) = 0;
};

class ClientConnection final : public net::StreamOwner,
                               public net::HttpSink,
                               public ClientSide {
 public:
  ClientConnection(const GatewayParts& parts, ClientHost* host, int fd);
  ~ClientConnection() override;

  bool                   busy() const { return m_exchange != nullptr; }
  // Ends a connection that rests between two requests.
  void                   CloseIfIdle();
  // What waits for the client, and since when it has taken nothing of it.
  pressure::ClientBuffer buffer() const {
    return {m_stream.pending(), m_stream.stalled()};
  }
  // Cuts off a client that does not take its answer.
  void DropClient();

  void OnBytes(std::string_view bytes) override;
  void OnDrained() override;
  void OnClosed(net::CloseCause cause) override;

  void OnHead(net::Head head) override;
  void OnBody(std::string_view bytes) override;
  void OnMessageEnd() override;

  void        WriteToClient(std::string_view bytes) override;
  std::size_t ClientBacklog() const override { return m_stream.pending(); }
  void        AnswerDone() override;
  void        AnswerBroken() override;
  bool        ClosesAfterAnswer() const override;

 private:
  void ReadOn();
  void StartExchange();
  // Reserves memory for the body; false if the node has none left for it.
  bool Reserve(std::size_t body_bytes);
  void RefuseForMemory();
  // Answers bytes that no exchange can be made of, and ends the connection.
  void Refuse(traffic::Refusal refusal);
  void WatchTime();
  void TimeUp();
  void Linger();
  void Drop();

  GatewayParts              m_parts;
  ClientHost*               m_host;
  pressure::MemoryCharge    m_held_body;
  pressure::MemoryCharge    m_held_output;
  net::Stream               m_stream;
  net::HttpReader           m_reader;
  std::string               m_input;  // read and not yet taken
  net::Head                 m_head;
  std::string               m_body;
  bool                      m_whole = false;  // a request waits to be started
  bool                      m_no_memory = false;  // for the request being read
  bool                      m_close_after = false;
  bool                      m_lingering = false;
  bool                      m_reading = false;  // inside ReadOn()
  Time                      m_request_began = 0;
  net::TimerId              m_timer = 0;
  std::shared_ptr<Exchange> m_exchange;
};

}  // namespace yuccawick::gateway

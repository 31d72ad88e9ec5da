// An HTTP/1.1 connection of a client: reads requests one at a time, passes each
// complete request to an Exchange, and writes the answer. Gateway owns it.
//
// Memory per connection is bounded: a body is accepted only within the limits
// of the manifest, read for each request, and the node's memory budget, and
// nothing is read while an exchange is running or its answer is still unsent.
// Even then, the end of the connection is detected. A connection without a
// whole request yields when the node runs out of connections or memory, see
// pressure/yield_order.h.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "yuccawick/gateway/exchange.h"
#include "yuccawick/net/stream.h"
#include "yuccawick/pressure/receive_schedule.h"

namespace yuccawick::gateway {

// The connection's owner; implemented by Gateway.
class ClientHost {
 public:
  virtual ~ClientHost() = default;
  virtual std::shared_ptr<const traffic::RouteTable> Routes() const = 0;
  virtual traffic::ClientLimits                      Limits() const = 0;
  // Whether connections close after the current answer.
  virtual bool                                       Closing() const = 0;
  virtual void RemoveConnection(class ClientConnection* connection) = 0;
};

class ClientConnection final : public net::StreamOwner,
                               public net::HttpSink,
                               public pressure::Yielder,
                               public ClientSide {
 public:
  ClientConnection(const GatewayParts& parts, ClientHost* host, int fd);
  ~ClientConnection() override;

  bool                   busy() const { return m_exchange != nullptr; }
  // Closes the connection if it is between two requests. A new one keeps some
  // time for its first request, which is on its way.
  void                   CloseIfIdle();
  // Refuses the request in progress if it might end after the node and has not
  // begun yet; call often while the node stops.
  void                   OnNodeStopping();
  // The node ends now.
  void                   OnNodeEnd();
  // Unsent bytes, and how long (ms) the client has read nothing.
  pressure::ClientBuffer buffer() const {
    return {m_stream.pending(), m_stream.stalled()};
  }
  // Aborts the connection of a client that does not read its answer.
  void DropClient();

  void        Yield() override;
  std::size_t held_bytes() const override {
    return m_body_charge.bytes() + m_connection_charge.bytes();
  }

  void OnBytes(std::string_view bytes) override;
  void OnDrained() override;
  void OnClosed(net::CloseCause cause) override;

  void OnHead(net::Head head) override;
  void OnBody(std::string_view bytes) override;
  void OnMessageEnd() override;

  void SendAnswer(traffic::AnswerEnd end, std::string_view answer) override;
  void BeginAnswer(std::string head, const net::ResponseBody& body) override;
  void WritePart(std::string_view bytes) override;
  void EndAnswer(traffic::AnswerEnd end) override;
  void BreakAnswer() override;
  bool ClosesAfterAnswer() const override;
  void CloseAfterAnswer() override { m_close_after_answer = true; }
  std::size_t ClientBacklog() const override { return m_stream.pending(); }

 private:
  void     ProcessInput();
  void     StartExchange();
  // Whether a part of a request was received.
  bool     IsReceiving() const;
  // Whether a request that is not whole may still be refused.
  bool     IsWaitingForInput() const;
  void     RefuseUnreceived();
  // Call after each change of what the connection waits for or holds.
  void     UpdateYieldPlace();
  // Returns whether the connection holds more than before, without its body.
  bool     UpdateConnectionCharge();
  // The answer is written; goes on with the next request or closes.
  void     OnAnswerWritten();
  // Reserves memory for a body with this capacity, for which other requests may
  // have to yield; false if the node's budget is used up.
  bool     ReserveBodyMemory(std::size_t capacity);
  // Makes room in m_body, whose length is not known, for `size` bytes.
  bool     GrowBody(std::size_t size);
  void     ReleaseBody();
  // Whether a request with the current head would end before the node if its
  // body ended now.
  bool     EndsInTime() const;
  // Refuses a request whose body is not received completely.
  void     RejectEarly(traffic::Refusal refusal);
  // Answers a request that cannot be read, and closes the connection.
  void     RefuseInvalid(net::HttpFault fault);
  void     Refuse(traffic::Refusal refusal);
  void     RestartTimer();
  // How long the connection may remain in its current state, in ms. The limits
  // are those in force now.
  Duration TimeLimit() const;
  void     ScheduleTimeout();
  void     OnTimeout();
  // Whether the client is still reading bytes that wait for it here.
  bool     TakesAnswer() const;
  // Sends what is pending and closes; input is discarded meanwhile.
  void     Linger();
  void     RestartLinger();
  void     RemoveSelf();

  GatewayParts                    m_parts;
  ClientHost*                     m_host;
  pressure::MemoryCharge          m_connection_charge;
  pressure::MemoryCharge          m_body_charge;
  pressure::MemoryCharge          m_output_charge;
  net::Stream                     m_stream;
  net::HttpReader                 m_reader;
  std::string                     m_input;  // received and not yet parsed
  net::Head                       m_head;
  std::size_t                     m_head_bytes = 0;  // memory of m_head
  std::string                     m_body;
  bool                            m_in_head = false;  // some of one was read
  bool                            m_request_complete = false;  // ready to start
  // Refusal of the current request, whose body is discarded.
  std::optional<traffic::Refusal> m_early_refusal;
  bool                            m_close_after_answer = false;
  bool                            m_lingering = false;
  bool                        m_processing = false;  // inside ProcessInput()
  Time                        m_opened_at = 0;
  Time                        m_request_start_time = 0;  // 0: none yet
  Time                        m_timer_since = 0;         // see TimeLimit()
  net::TimerId                m_timer = 0;
  pressure::ReceiveSchedule   m_schedule;  // of the request being received
  pressure::YieldOrder::Place m_yield_place;
  std::shared_ptr<Exchange>   m_exchange;
  // Of the answer that was begun.
  std::optional<net::ResponseBody> m_answer_body;
  std::string m_unsent_head;  // of an answer without a body
};

}  // namespace yuccawick::gateway

// One client attempt, from its whole request to the end of its answer.
//
//   preparing   history is looked up, tokens are reserved
//   connecting  a backend server is chosen
//   sent        the request is out
//   answering   the answer flows to the client
//   recording   the answer is whole but its last bytes wait until the turn is
//               durable: a client that saw the end may name the turn at once
//
// An Exchange carries out what traffic/attempt.h decides. It ends exactly once,
// by telling its client how.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "platform/requests.h"
#include "yuccawick/gateway/backends.h"
#include "yuccawick/gateway/log.h"
#include "yuccawick/gateway/metrics.h"
#include "yuccawick/gateway/peer_service.h"
#include "yuccawick/gateway/turn_dispatcher.h"
#include "yuccawick/gateway/turn_store.h"
#include "yuccawick/pressure/memory_budget.h"
#include "yuccawick/traffic/event_stream.h"
#include "yuccawick/traffic/manifest.h"
#include "yuccawick/traffic/refusal.h"
#include "yuccawick/traffic/urgency.h"
#include "yuccawick/workspaces/key_lease.h"

namespace yuccawick::gateway {

// The connection to the client, as an exchange sees it.
class ClientSide {
 public:
  virtual ~ClientSide() = default;
  virtual void        WriteToClient(std::string_view bytes) = 0;
  virtual std::size_t ClientBacklog() const = 0;  // bytes not yet taken
  // The answer is complete; the connection may carry another request.
  virtual void        AnswerDone() = 0;
  // The answer cannot be completed; the client must see that.
  virtual void        AnswerBroken() = 0;
  virtual bool        ClosesAfterAnswer() const = 0;
};

// What all exchanges of a node share.
struct GatewayParts {
  net::EventLoop*   loop = nullptr;
  const Thresholds* thresholds = nullptr;
  Backends*         backends = nullptr;
  TurnStore*        turns = nullptr;
  PeerService*      peers = nullptr;
  Log*              log = nullptr;
  Metrics*          metrics = nullptr;
  Time              started = 0;  // of the node, on the loop's clock
  // Of the manifest in force, which may be newer than a request's.
  const std::shared_ptr<const traffic::RouteTable>* routes = nullptr;
  const workspaces::KeyLease*                       key_lease = nullptr;
  RateLimiter*                                      limiter = nullptr;
  TurnDispatcher*                                   gate = nullptr;
  pressure::MemoryBudgetPtr                         memory;
};

class Exchange final : public BackendHandler,
                       public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(const GatewayParts& parts, ClientSide* client,
           std::shared_ptr<const traffic::RouteTable> routes, net::Head head,
           std::string body);
  ~Exchange() override;

  void Start();
  // In place of Start(): refuses a request that is not to be served at all.
  void Reject(traffic::Refusal refusal);
  void OnClientDisconnected();
  // The node needs the memory of an answer that its client does not take.
  void OnClientStalled() { CutOff("reader_stalled"); }
  void ClientDrained();

  void OnBackendConnected() override;
  bool OnBackendHead(const net::Head& head) override;
  void OnBackendBody(std::string_view bytes) override;
  void OnBackendEnd() override;
  void OnBackendFailed(traffic::SendFailureCause cause) override;

 private:
  // Preparing
  bool   CheckRequest();
  void   StartTimer();
  void   AwaitKey();
  bool   CheckKey();
  void   AwaitToken();
  void   AwaitLog();
  void   FindHistory();
  void   ReserveTokens();
  // Adds what the turn wants of model servers; nothing if they have no engine.
  void   AskForRoom(TurnBudget* turn) const;
  void   TakeReservation(const Reservation& reservation);
  void   Prepared();
  void   AwaitServers();
  // Sending
  void   Dispatch();
  // What its prompt takes of the memory that a server has for a slot.
  double MemoryPart() const;
  // Whether the request's key still holds; ends the exchange if not.
  bool   KeyHolds();
  void   SendTo(const Backends::Choice& choice, bool fresh);
  void   LeaveServer(bool keep);
  void   Lost(traffic::SendFailureCause cause);
  void   SendAgain(traffic::NextStep step);
  // Answering
  // Its status and headers are those of an answer to this request.
  bool   IsSound() const;
  void   PassEvents(std::string_view bytes);
  void   NoteEvents(std::int64_t before);
  void   PassPlain();
  void   WriteAnswer(std::string_view bytes);
  void   BeginAnswer(std::int64_t length);
  void   EndStream();
  void   NoteOutcome();
  void   EndPlain();
  void   RecordTurn();
  void   FinishAnswer(std::string_view last_bytes);
  // Ending
  void   OutOfTime();
  void   Refuse(traffic::Refusal refusal);
  void   CutOff(std::string_view why);
  void   End();

  static double           Draw();  // uniform in [0, 1)
  Duration                Left() const;
  // Until its program should be finished, if it says.
  std::optional<Duration> ProgramLeft() const;
  // How long the log has answered no node; nothing: it answers some.
  std::optional<Duration> OutageAge() const;
  // How long it waits in all, from its start on, for what needs the log.
  Duration                LogPatience() const;
  // Whether to wait on for the log.
  bool                    WaitsOn();
  // What is left of the time that this attempt may wait before it is sent.
  Duration                PatienceLeft() const;
  void                    OutOfPatience();
  Duration                RetryAfter(traffic::Refusal refusal) const;
  // Of its workspace, or else of its route; 0 is first.
  int                     Priority() const;
  std::string             LineKey() const;
  std::string             InScope(const std::string& id) const {
                return workspaces::Scoped(m_workspace, id);
  }
  bool Fire(traffic::AttemptEvent event);
  void CountHeld();  // call after what it keeps of bodies has changed

  GatewayParts                               m_parts;
  ClientSide*                                m_client;  // nullptr: ended
  std::shared_ptr<const traffic::RouteTable> m_routes;
  net::Head                                  m_head;
  std::string                                m_body;
  traffic::RequestInfo                       m_info;
  const traffic::Route*                      m_route = nullptr;
  const workspaces::Workspace* m_workspace = nullptr;  // nullptr: none
  std::string                  m_service;
  traffic::AttemptPhase        m_phase;
  Time                         m_began = 0;
  Time                         m_due = 0;  // given up then
  net::TimerId                 m_timer = 0;
  net::TimerId                 m_patience_timer = 0;
  Duration                     m_log_patience = 0;  // the longest so far
  // What it waits for, as its client is told if it waits too long.
  traffic::Refusal             m_awaits = traffic::Refusal::kLateUnsent;
  TurnDispatcher::Id           m_gate_id = 0;  // of a turn for a model server
  // Of its workspace's rate limit.
  std::optional<workspaces::TokenPool::Batch> m_rate_token;
  Duration         m_limit_return = 0;  // ms until its workspace may have room
  bool             m_reserved = false;
  Reservation      m_reservation;
  programs::Tokens m_tokens_used = 0;
  std::string      m_chain;  // body for the server

  pressure::MemoryCharge m_held;

  // The server at hand, and those before it.
  BackendConnection*       m_connection = nullptr;
  std::string              m_server_id;
  std::vector<std::string> m_tried;
  std::vector<std::string> m_sent_to;
  int                      m_repeats = 0;
  bool                     m_in_doubt = false;

  // The answer.
  net::Head              m_answer;
  traffic::AnswerInfo    m_answer_info;
  bool                   m_has_answer = false;  // a head of this send came
  bool                   m_passed_head = false;
  bool                   m_is_stream = false;
  std::string            m_plain;  // body of an answer that is passed whole
  traffic::EventSplitter m_events;
  std::string            m_last_event;  // id of the last event passed on
  std::string            m_output;      // for the turn's record
  std::int64_t           m_event_count = 0;
  Time                   m_first_event = 0;
  Time                   m_last_event_at = 0;
  Time                   m_sent_at = 0;
  bool        m_found_free = false;  // places at the server, if known
  LogPosition m_kept;                // where the log holds the turn
};

}  // namespace yuccawick::gateway

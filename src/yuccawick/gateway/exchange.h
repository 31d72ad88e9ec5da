// Serves one attempt of a client, from the complete request to the end of the
// answer. ClientConnection creates an Exchange for each request; the decisions
// on retries and refusals come from traffic/attempt.h.
//
//   preparing   checks the key and whether servers ended under the request,
//               finds out which software began a stream that the client
//               resumes, looks up history, reserves tokens
//   connecting  chooses a backend server and connects to it
//   sent        waits for the server's answer
//   answering   forwards the answer to the client
//   recording   holds back the last bytes until the turn is durable, because
//               the client may name the turn as soon as it has seen the end
//
// An exchange ends exactly once, when the answer is complete or broken, or when
// the client disconnects.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "platform/requests.h"
#include "yuccawick/gateway/backends.h"
#include "yuccawick/gateway/log.h"
#include "yuccawick/gateway/metrics.h"
#include "yuccawick/gateway/peer_service.h"
#include "yuccawick/gateway/stream_origin_service.h"
#include "yuccawick/gateway/suspect_service.h"
#include "yuccawick/gateway/turn_dispatcher.h"
#include "yuccawick/gateway/turn_store.h"
#include "yuccawick/pressure/memory_budget.h"
#include "yuccawick/pressure/yield_order.h"
#include "yuccawick/traffic/answer_progress.h"
#include "yuccawick/traffic/event_stream.h"
#include "yuccawick/traffic/graceful_stop.h"
#include "yuccawick/traffic/manifest.h"
#include "yuccawick/traffic/refusal.h"
#include "yuccawick/traffic/request_key.h"
#include "yuccawick/traffic/urgency.h"
#include "yuccawick/workspaces/key_lease.h"

namespace yuccawick::gateway {

// The client side of an exchange, implemented by ClientConnection. An answer is
// either sent in one piece, or begun, written in parts, and ended or broken.
class ClientSide {
 public:
  virtual ~ClientSide() = default;
  // Sends a complete answer, head and body.
  virtual void SendAnswer(traffic::AnswerEnd end, std::string_view answer) = 0;
  // Begins an answer whose body is sent in parts. Without a body, the head is
  // the end of the answer and is sent by EndAnswer().
  virtual void BeginAnswer(std::string head, const net::ResponseBody& body) = 0;
  virtual void WritePart(std::string_view bytes) = 0;  // no effect if empty
  // Ends the answer as complete; the connection may serve another request.
  virtual void EndAnswer(traffic::AnswerEnd end) = 0;
  // The answer cannot be completed; resets the connection.
  virtual void BreakAnswer() = 0;
  virtual bool ClosesAfterAnswer() const = 0;
  virtual void CloseAfterAnswer() = 0;
  virtual std::size_t ClientBacklog() const = 0;  // unsent bytes
};

// Services of the node that all exchanges share; not owned.
struct GatewayParts {
  net::EventLoop*   loop = nullptr;
  const Thresholds* thresholds = nullptr;
  Backends*         backends = nullptr;
  TurnStore*        turns = nullptr;
  PeerService*      peers = nullptr;
  Log*              log = nullptr;
  Metrics*          metrics = nullptr;
  Time              started = 0;  // start of the node (ms, loop clock)
  // Routes of the current manifest, which may be newer than the routes that a
  // request started with.
  const std::shared_ptr<const traffic::RouteTable>* routes = nullptr;
  const workspaces::KeyLease*                       key_lease = nullptr;
  RateLimiter*                                      limiter = nullptr;
  TurnDispatcher*                                   dispatcher = nullptr;
  StreamOriginService*                              stream_origins = nullptr;
  SuspectService*                                   suspects = nullptr;
  traffic::GracefulStop*                            stop = nullptr;
  pressure::YieldOrder*                             yield_order = nullptr;
  pressure::MemoryBudgetPtr                         memory;
};

class Exchange final : public BackendHandler,
                       public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(const GatewayParts& parts, ClientSide* client,
           std::shared_ptr<const traffic::RouteTable> routes, net::Head head,
           std::string body);
  ~Exchange() override;

  void            Start();
  // Called instead of Start() to refuse the request without serving it.
  void            Reject(traffic::Refusal refusal);
  void            OnClientDisconnected();
  // Aborts the answer of a client that does not read it, to free memory.
  void            OnClientStalled() { AbortAnswer("reader_stalled"); }
  void            ClientDrained();
  // Refuses a request that waits and might end after the node.
  void            OnNodeStopping();
  // The node ends now.
  void            OnNodeEnd();
  // Mean retry delay (ms) of a client while the node has no manifest.
  static Duration NotReadyDelay(const GatewayParts& parts);
  // The longest time (ms) that a request with this head may take once it is
  // complete; empty if it cannot be served at all.
  static std::optional<Duration> MaxDuration(const GatewayParts&        parts,
                                             const traffic::RouteTable* routes,
                                             const net::Head&           head);

  void OnBackendConnected() override;
  bool OnBackendHead(const net::Head& head) override;
  void OnBackendBody(std::string_view bytes) override;
  void OnBackendEnd() override;
  void OnBackendFailed(traffic::SendFailureCause cause) override;

 private:
  // Preparing
  bool                  CheckRequest();
  static Duration       MaxDuration(const GatewayParts&         parts,
                                    const traffic::Route&       route,
                                    const traffic::RequestInfo& info);
  void                  StartTimer();
  void                  WaitForKeyLease();
  bool                  CheckKey();
  // Whether the client resumes a stream that an earlier attempt began.
  bool                  IsResumption() const;
  void                  FindStreamOrigin();
  void                  OnStreamOrigin(const FoundOrigin& found);
  void                  AcquireRateToken();
  void                  WaitForLog();
  void                  FindHistory();
  // Builds the prompt from the history, if the node's memory allows it.
  void                  BuildPrompt();
  void                  ReserveTokens();
  // Fills in the turn's demand; no effect if the service has no engine.
  void                  FillAdmissionRequest(TurnBudget* turn) const;
  void                  OnReservation(const Reservation& reservation);
  void                  OnPrepared();
  void                  EnqueueTurn();
  // Sending
  // Servers that may still complete the client's answer.
  traffic::ServerFilter AllowedServers() const;
  // Version of the software that began the client's answer; empty if none.
  std::string           BegunVersion() const;
  // Whether callers that have nothing to do with each other may send the same
  // request.
  bool                  IsShared() const { return m_info.program.empty(); }
  // Calls `send` if the request may be sent to a server; else refuses it.
  void                  IfSendable(std::function<void()> send);
  void                  Dispatch();
  void                  ChooseServer();
  void                  RefuseWithoutServer();
  // Prompt size relative to a slot's share of the server's cache.
  double                PromptMemoryPart() const;
  // Ends the exchange and returns false if the key is no longer valid.
  bool                  EnsureKeyValid();
  // Ends the exchange and returns false if it might end after the node.
  bool                  EnsureEndsInTime();
  // Ends the exchange instead of sending the request (again). `not_run`: the
  // refusal if no server has got it yet; `why`: for the log, if a part of the
  // answer was passed on.
  void EndUnsent(traffic::Refusal not_run, std::string_view why);
  void SendTo(const Backends::Choice& choice, bool fresh);
  void DetachServer(bool reuse);
  // Gives the current send up before its answer is whole.
  void GiveUpServer();
  void OnSendFailed(traffic::SendFailureCause cause);
  void SendAgain(traffic::NextStep step);
  void SendToSameServer();

  // Takes a step that ends the exchange after a failed send.
  void EndAfterFailure(traffic::NextStep step, traffic::SendFailureCause cause);
  // Calls `done` once it is known whether the servers that got the request,
  // from the one at `index` on, still run. Other nodes have to know of an end
  // before the client reaches them.
  void WhenServersKnown(std::size_t index, std::function<void()> done);
  void RefuseWhenKnown(traffic::Refusal refusal);

  // Answering
  void              ForwardEvents(std::string_view bytes);
  // Moves the complete events to `out`; false if one of them does not go on
  // with what the client has received.
  bool              TakeEvents(std::string* out);
  void              ObserveFirstEvent();
  void              ObserveEventTimes(std::int64_t before);
  void              ForwardPlain();
  void              WriteAnswer(std::string_view bytes);
  void              ObserveLaterAnswer();
  // The body of the client's answer, `bytes` long or, if not given, in chunks.
  net::ResponseBody ForwardedBody(std::optional<std::size_t> bytes) const;
  void              BeginAnswer();
  void              ObserveBegunStream();
  void              OnUnusableAnswer();
  void              EndStream(traffic::AnswerEnd end);
  void              ObserveOutcome();
  void              EndPlain(traffic::AnswerEnd end);
  void              RecordTurn(traffic::AnswerEnd end);
  // `whole`: the answer, if no part of it was passed on.
  void FinishAnswer(traffic::AnswerEnd end, std::string_view whole = {});
  // Ending
  void OnDeadline();
  void Refuse(traffic::Refusal refusal);
  void AbortAnswer(std::string_view why);
  void LogCutOff(std::string_view why);
  void End();
  // Callbacks may hold the exchange for long after its end.
  void ReleaseRequest();

  static double           UniformRandom();  // uniform in [0, 1)
  bool                    MayHaveRun() const;
  Duration                TimeLeft() const;
  // ms until a stopping node ends; -1 if the node is not stopping.
  Duration                NodeTimeLeft() const;
  // Time until the program's deadline, if the client gave one.
  std::optional<Duration> ProgramTimeLeft() const;
  // Time for which no node has reached the log; empty while some node reaches
  // it.
  std::optional<Duration> OutageAge() const;
  // Total time that the request may wait for the log, from its start.
  Duration                MaxLogWait() const;
  // Whether the request may wait for the log for another interval.
  bool                    MayWaitLonger();
  // Remaining time that the attempt may wait before it is sent.
  Duration                WaitTimeLeft() const;
  void                    OnWaitTimeout();
  Duration                RetryAfter(traffic::Refusal refusal) const;
  // Priority of the workspace or, if it has none, of the route; 0 is the
  // highest.
  int                     Priority() const;
  std::string             SessionKey() const;
  std::string             ScopedId(const std::string& id) const {
                return workspaces::Scoped(m_workspace, id);
  }
  bool Fire(traffic::AttemptEvent event);
  void UpdateMemoryCharge();  // call after a buffered body changed

  GatewayParts                               m_parts;
  ClientSide*                                m_client;  // nullptr once ended
  std::shared_ptr<const traffic::RouteTable> m_routes;
  net::Head                                  m_head;
  std::string                                m_body;
  traffic::RequestInfo                       m_info;
  const traffic::Route*                      m_route = nullptr;
  const workspaces::Workspace* m_workspace = nullptr;  // nullptr if none
  std::string                  m_service;
  traffic::RequestKey          m_key;
  traffic::AttemptPhase        m_phase;
  Time                         m_start_time = 0;
  Time               m_deadline = 0;  // end of the attempt (ms, loop clock)
  net::TimerId       m_timer = 0;
  net::TimerId       m_wait_timer = 0;
  Duration           m_max_log_wait = 0;  // longest so far (ms)
  // Refusal sent if the current wait takes too long.
  traffic::Refusal   m_wait_refusal = traffic::Refusal::kLateUnsent;
  TurnDispatcher::Id m_dispatch_id = 0;  // 0 if not queued
  // Token of the workspace's rate limit.
  std::optional<workspaces::TokenPool::Batch> m_rate_token;
  Duration                                    m_rate_retry_delay = 0;  // ms
  Backends::SendKind m_send_kind = Backends::SendKind::kFree;  // last send
  bool               m_reserved = false;
  Reservation        m_reservation;
  programs::Tokens   m_tokens_used = 0;
  std::string        m_prompt_body;  // for the server

  pressure::MemoryCharge m_memory_charge;
  pressure::MemoryCharge m_head_charge;

  // The current server and the servers tried before it.
  BackendConnection*       m_connection = nullptr;
  std::string              m_server_id;
  std::vector<std::string> m_tried_servers;
  std::vector<std::string> m_sent_servers;
  // The only servers that may get the request; empty: any.
  std::vector<std::string> m_only_servers;
  int                      m_resends = 0;
  bool                     m_may_have_run = false;

  // The answer.
  net::Head               m_answer;  // head of the current server's answer
  bool                    m_reading_paused = false;  // until the client reads
  traffic::AnswerProgress m_progress;
  OriginSource            m_origin_source = OriginSource::kUnknown;
  std::string             m_plain_body;  // buffered body
  traffic::EventSplitter  m_events;
  std::string             m_output;  // event data for the turn record
  std::int64_t            m_event_count = 0;
  Time                    m_first_event_time = 0;
  Time                    m_last_event_time = 0;
  Time                    m_sent_time = 0;
  bool                    m_had_free_slot = false;  // when sent
  LogPosition             m_log_position;           // of the persisted turn
};

}  // namespace yuccawick::gateway

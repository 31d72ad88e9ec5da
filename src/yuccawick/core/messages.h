// Messages between nodes, and the events and commands of the core.
//
// The core is pure: a daemon (or a test) hands it one event with the time, and
// carries out the commands it returns. Nothing inside reads a clock, opens a
// socket, starts a thread or draws from a global random source.
//
// Messages may be lost, repeated, crossed and late; every handler must bear
// that. Replies carry the number of their request.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "yuccawick/core/program.h"
#include "yuccawick/core/records.h"
#include "yuccawick/core/types.h"

namespace yuccawick::core {

// ---- Between entry and home

struct StartProgram {
  std::uint64_t request = 0;  // entry's number for the caller's request
  std::string   customer;
  std::string   workspace;
  std::string   model;
  std::string   service_class;  // empty: the contract's default
  ProgramId     parent;         // set for a sub-agent

  template <class V>
  void Visit(V& v) {
    v("request", request);
    v("customer", customer);
    v("workspace", workspace);
    v("model", model);
    v("serviceClass", service_class);
    v("parent", parent);
  }
};

struct StartReply {
  std::uint64_t request = 0;
  bool          ok = false;
  ProgramId     program;
  Failure       failure;

  template <class V>
  void Visit(V& v) {
    v("request", request);
    v("ok", ok);
    v("program", program);
    v("failure", failure);
  }
};

struct CallRequest {
  std::uint64_t request = 0;
  Call          call;

  template <class V>
  void Visit(V& v) {
    v("request", request);
    v("call", call);
  }
};

// Part of an answer, in order; a hint for streaming. The reply is complete in
// itself, so a lost or crossed chunk costs time to first token and no text.
struct CallChunk {
  std::uint64_t request = 0;
  std::uint64_t position = 0;  // bytes of the answer before this text
  std::string   text;

  template <class V>
  void Visit(V& v) {
    v("request", request);
    v("position", position);
    v("text", text);
  }
};

struct CallReply {
  std::uint64_t request = 0;
  bool          ok = false;
  Answer        answer;
  Failure       failure;

  template <class V>
  void Visit(V& v) {
    v("request", request);
    v("ok", ok);
    v("answer", answer);
    v("failure", failure);
  }
};

// Asks for a program's history, or ends it.
struct ProgramQuery {
  std::uint64_t request = 0;
  ProgramId     program;
  std::string   customer;
  std::string   workspace;
  bool          end = false;  // true: end the program

  template <class V>
  void Visit(V& v) {
    v("request", request);
    v("program", program);
    v("customer", customer);
    v("workspace", workspace);
    v("end", end);
  }
};

struct ProgramReply {
  std::uint64_t request = 0;
  bool          ok = false;
  ProgramDelta  program;
  Failure       failure;

  template <class V>
  void Visit(V& v) {
    v("request", request);
    v("ok", ok);
    v("program", program);
    v("failure", failure);
  }
};

// The caller of a request has gone away.
struct CancelRequest {
  std::uint64_t request = 0;
  ProgramId     program;

  template <class V>
  void Visit(V& v) {
    v("request", request);
    v("program", program);
  }
};

// ---- Between home and executor (the agent beside the backend server)

struct Dispatch {
  std::uint64_t dispatch = 0;  // home's number for this attempt
  Offset        fence = kNoOffset;
  NodeRef       executor;  // the one incarnation meant
  Call          call;
  std::string   prompt;  // history before the call; empty for services
  std::int64_t  priority = 5;
  Duration      max_wait = 0;  // ms it may wait for the backend server
  Time          started = 0;   // when the whole program started
  Tokens        attained = 0;  // service the whole program has had
  std::int64_t  cache_weight = 50;

  template <class V>
  void Visit(V& v) {
    v("dispatch", dispatch);
    v("fence", fence);
    v("executor", executor);
    v("call", call);
    v("prompt", prompt);
    v("priority", priority);
    v("maxWait", max_wait);
    v("started", started);
    v("attained", attained);
    v("cacheWeight", cache_weight);
  }
};

struct DispatchChunk {
  std::uint64_t dispatch = 0;
  std::uint64_t position = 0;
  std::string   text;

  template <class V>
  void Visit(V& v) {
    v("dispatch", dispatch);
    v("position", position);
    v("text", text);
  }
};

struct DispatchReply {
  std::uint64_t dispatch = 0;
  bool          ok = false;
  Answer        answer;
  Failure       failure;
  std::uint64_t load_ms = 0;   // wait a new call would meet there, ms
  Tokens        resident = 0;  // tokens of all prefixes leased there

  template <class V>
  void Visit(V& v) {
    v("dispatch", dispatch);
    v("ok", ok);
    v("answer", answer);
    v("failure", failure);
    v("loadMs", load_ms);
    v("resident", resident);
  }
};

struct CancelDispatch {
  std::uint64_t dispatch = 0;

  template <class V>
  void Visit(V& v) {
    v("dispatch", dispatch);
  }
};

// The program no longer needs its prefix in the engine's memory.
struct ReleaseCache {
  ProgramId program;

  template <class V>
  void Visit(V& v) {
    v("program", program);
  }
};

// ---- Between home and replica

struct Replicate {
  std::uint64_t             batch = 0;
  std::vector<ProgramDelta> deltas;

  template <class V>
  void Visit(V& v) {
    v("batch", batch);
    v("deltas", deltas);
  }
};

struct ReplicateReply {
  std::uint64_t batch = 0;
  bool          stored = false;  // false: the sender has been replaced

  template <class V>
  void Visit(V& v) {
    v("batch", batch);
    v("held", stored);
  }
};

// ---- Between adopter and executor

// From now on refuse orders for the program below `fence`, and say what became
// of the call.
struct FenceCall {
  ProgramId program;
  Sequence  sequence = 0;
  Offset    fence = kNoOffset;
  NodeRef   executor;  // the incarnation asked

  template <class V>
  void Visit(V& v) {
    v("program", program);
    v("sequence", sequence);
    v("fence", fence);
    v("executor", executor);
  }
};

enum class FencedState : std::uint8_t {
  kNeverSeen,  // did not run and, fenced, never will
  kRunning,    // running now; ask again
  kFinished,   // `ok`, `answer` and `failure` hold
  kNotMe,      // that incarnation is gone
};

struct FenceReply {
  ProgramId   program;
  Sequence    sequence = 0;
  Offset      fence = kNoOffset;
  FencedState state = FencedState::kNotMe;
  bool        ok = false;
  Answer      answer;
  Failure     failure;

  template <class V>
  void Visit(V& v) {
    v("program", program);
    v("sequence", sequence);
    v("fence", fence);
    v("state", state);
    v("ok", ok);
    v("answer", answer);
    v("failure", failure);
  }
};

// ---- Membership

struct Probe {
  Offset control_version = kNoOffset;

  template <class V>
  void Visit(V& v) {
    v("controlVersion", control_version);
  }
};

struct ProbeReply {
  Offset        control_version = kNoOffset;
  bool          leaving = false;
  std::uint64_t load_ms = 0;
  Tokens        resident = 0;

  template <class V>
  void Visit(V& v) {
    v("controlVersion", control_version);
    v("leaving", leaving);
    v("loadMs", load_ms);
    v("resident", resident);
  }
};

struct ControlPull {
  template <class V>
  void Visit(V& /*v*/) {}
};

struct ControlPush {
  SnapshotRecord snapshot;

  template <class V>
  void Visit(V& v) {
    v("snapshot", snapshot);
  }
};

using Message =
    std::variant<StartProgram, StartReply, CallRequest, CallChunk, CallReply,
                 ProgramQuery, ProgramReply, CancelRequest, Dispatch,
                 DispatchChunk, DispatchReply, CancelDispatch, ReleaseCache,
                 Replicate, ReplicateReply, FenceCall, FenceReply, Probe,
                 ProbeReply, ControlPull, ControlPush>;

// ---- Events: what a daemon tells the core

struct Tick {};  // time has passed

struct MessageReceived {
  NodeRef from;
  NodeRef to;  // the incarnation meant
  Message message;
};

// A caller's request at an entry: StartProgram, CallRequest, ProgramQuery or
// CancelRequest, numbered by the daemon.
struct CallerMessage {
  Message message;
};

// A message may or may not have arrived; no reply will come from that node
// until it is heard again. If no connection could be made at all, the message
// certainly has not left: it is handed back in `unsent`.
struct SendFailed {
  NodeRef                to;
  std::optional<Message> unsent;
};

enum class LogStatus : std::uint8_t {
  kOk,       // done
  kRefused,  // certainly not done
  kUnknown,  // no answer: may have been done
};

struct AppendDone {
  std::uint64_t append = 0;  // number given in the command
  LogStatus     status = LogStatus::kOk;
  Offset        last_offset = kNoOffset;
};

struct ReadDone {
  std::string               stream;
  std::uint64_t             read = 0;  // number given in the command
  LogStatus                 status = LogStatus::kOk;
  std::vector<LoggedRecord> records;
  Offset                    earliest = 0;  // first offset still retained
  Offset                    end = 0;       // offset the next append will get
};

struct VmEntry {
  std::string vm;
  std::string address;  // host:port of its node
  bool        leaving = false;

  bool operator==(const VmEntry&) const = default;
};

// The platform's list as it stood some time ago.
struct VmListRead {
  std::vector<VmEntry> vms;
};

struct RunChunk {
  std::uint64_t run = 0;
  std::string   text;
};

struct RunDone {
  std::uint64_t run = 0;
  bool          ok = false;
  Answer        answer;
  Failure       failure;
};

// SIGTERM: finish what is under way, take nothing new, hand over, stop.
struct StopRequested {};

using Event =
    std::variant<Tick, MessageReceived, CallerMessage, SendFailed, AppendDone,
                 ReadDone, VmListRead, RunChunk, RunDone, StopRequested>;

// ---- Commands: what the core tells a daemon

struct SendMessage {
  NodeRef to;
  Message message;
};

struct AppendRecords {
  std::uint64_t       append = 0;
  std::string         stream;
  std::vector<Record> records;
};

struct ReadRecords {
  std::uint64_t read = 0;
  std::string   stream;
  Offset        from = 0;
};

// Order to the backend server beside this agent.
struct RunCall {
  std::uint64_t run = 0;
  Offset        fence = kNoOffset;  // offset of this agent's join
  Call          call;
  std::string   prompt;
  std::int64_t  priority = 5;
};

struct CancelRun {
  std::uint64_t run = 0;
};

// Order to drop one program's prefix; an unset id drops all of them.
struct ReleasePrefix {
  ProgramId program;
  Offset    fence = kNoOffset;
};

// Answers to callers (entry only); `reply` is a StartReply, CallChunk,
// CallReply or ProgramReply.
struct ReplyToCaller {
  std::uint64_t request = 0;
  Message       reply;
};

enum class Severity : std::uint8_t { kDebug, kInfo, kWarning, kError };
std::string_view Name(Severity severity);

enum class LogEvent : std::uint8_t {
  kJoined,
  kReplicaAssigned,
  kContractInForce,
  kPeerSuspected,
  kClaimAppended,
  kAdopted,
  kSuperseded,
  kProgramStarted,
  kProgramEnded,
  kCallFinished,
  kCallRefused,
  kCallRetried,
  kOutcomeUnknown,
  kLeaving,
  kStopped,
  kLogDown,
  kLogBack,
};
std::string_view Name(LogEvent event);

struct LogLine {
  Severity    severity = Severity::kInfo;
  LogEvent    event = LogEvent::kJoined;
  std::string customer;
  std::string program;
  Sequence    call = 0;
  std::string reason;  // name of a Reason, or empty
  std::string detail;
};

enum class Counter : std::uint8_t {
  kRefusals,       // by reason
  kRetries,        // by reason
  kCalls,          // finished calls, by "ok" or "failed"
  kPrograms,       // by "started", "ended", "adopted", "expired"
  kAppends,        // by stream kind
  kMessages,       // sent, by message name
  kFencedOrders,   // orders refused because of an old fence
  kStaleMessages,  // messages that answered nothing
};
constexpr std::size_t kCounterCount = 8;
std::string_view      Name(Counter counter);

struct Count {
  Counter          counter = Counter::kCalls;
  std::string_view label;
  std::int64_t     amount = 1;
};

enum class StopCause : std::uint8_t {
  kDrained,     // planned stop finished
  kSuperseded,  // another node has claimed this one's programs
};
std::string_view Name(StopCause cause);

struct Stop {
  StopCause cause = StopCause::kDrained;
};

using Command =
    std::variant<SendMessage, AppendRecords, ReadRecords, RunCall, CancelRun,
                 ReleasePrefix, ReplyToCaller, LogLine, Count, Stop>;

// Collects commands for the shell, and numbers appends, reads and the like.
class Outbox {
 public:
  void          Send(const NodeRef& to, Message message);
  std::uint64_t Append(std::string stream, std::vector<Record> records);
  std::uint64_t Read(std::string stream, Offset from);
  void          Push(Command command);
  void          CountRefusal(Reason reason);
  void          CountRetry(Reason reason);

  // A number never given before by this outbox.
  std::uint64_t        NextNumber() { return ++m_number; }
  // Takes the commands collected since the last call, in order.
  std::vector<Command> Take();

 private:
  std::uint64_t        m_number = 0;
  std::vector<Command> m_commands;
};

}  // namespace yuccawick::core

// Messages between nodes, and events and commands of the core.
//
// The core is deterministic: a daemon (or a test) passes it one event with the
// current time and carries out the commands it returns. The core reads no
// clock, opens no socket, starts no thread and uses no global random source.
//
// Messages may be lost, duplicated, reordered or delayed; every handler must
// tolerate that. Replies carry the number of their request.
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

// ---- Between entry and coordinator

struct StartProgram {
  std::uint64_t request = 0;  // entry's number for the request
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

// Part of an answer, for streaming. The reply contains the complete text, so a
// lost or reordered chunk only delays the first token.
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

// Reads a program's history, or ends the program.
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

// The caller of a request has disconnected.
struct CancelRequest {
  std::uint64_t request = 0;
  ProgramId     program;

  template <class V>
  void Visit(V& v) {
    v("request", request);
    v("program", program);
  }
};

// ---- Between coordinator and executor

struct Dispatch {
  std::uint64_t dispatch = 0;  // coordinator's number for this attempt
  Offset        fence = kNoOffset;
  NodeRef       executor;  // the incarnation addressed
  Call          call;
  std::string   prompt;  // history before the call; empty for services
  std::int64_t  priority = 5;
  Duration      max_wait = 0;  // ms that the call may wait for its server
  Time          started = 0;   // start time of the root program
  Tokens        attained = 0;  // service received by the root program, tokens
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
  std::uint64_t load_ms = 0;   // estimated wait of a new call there, ms
  Tokens        resident = 0;  // tokens of all leased prefixes there

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

// ---- Between coordinator and replica

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

// Asks the executor to refuse orders for the program with a fencing number
// below `fence`, and to report the state of the call.
struct FenceCall {
  ProgramId program;
  Sequence  sequence = 0;
  Offset    fence = kNoOffset;
  NodeRef   executor;  // the incarnation addressed

  template <class V>
  void Visit(V& v) {
    v("program", program);
    v("sequence", sequence);
    v("fence", fence);
    v("executor", executor);
  }
};

enum class FencedState : std::uint8_t {
  kNeverSeen,  // did not run and, being fenced, never will
  kRunning,    // still running; ask again
  kFinished,   // `ok`, `answer` and `failure` are valid
  kNotMe,      // that incarnation no longer exists
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

// ---- Events: from the daemon to the core

struct Tick {};  // time has passed

struct MessageReceived {
  NodeRef from;
  NodeRef to;  // the incarnation addressed
  Message message;
};

// A caller's request at an entry: StartProgram, CallRequest, ProgramQuery or
// CancelRequest, numbered by the daemon.
struct CallerMessage {
  Message message;
};

// A message to `to` may not have arrived; expect no reply from that node until
// its next message. If no connection could be made, the message certainly was
// not sent and is returned in `unsent`.
struct SendFailed {
  NodeRef                to;
  std::optional<Message> unsent;
};

enum class LogStatus : std::uint8_t {
  kOk,       // done
  kRefused,  // certainly not done
  kUnknown,  // no reply: may have been done
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
  Offset                    end = 0;       // offset of the next append
};

struct VmEntry {
  std::string vm;
  std::string address;  // host:port of its node
  bool        leaving = false;

  bool operator==(const VmEntry&) const = default;
};

// The platform's VM list, which may be out of date.
struct VmListRead {
  std::vector<VmEntry> vms;
  int                  unreadable = 0;  // items that name no VM
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

// SIGTERM: accept no new work, finish calls in progress, hand over programs,
// stop.
struct StopRequested {};

using Event =
    std::variant<Tick, MessageReceived, CallerMessage, SendFailed, AppendDone,
                 ReadDone, VmListRead, RunChunk, RunDone, StopRequested>;

// ---- Commands: from the core to the daemon

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

// Runs a call at the backend server beside this agent.
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

// Releases one program's prefix; an unset id releases all prefixes.
struct ReleasePrefix {
  ProgramId program;
  Offset    fence = kNoOffset;
};

// Reply to a caller (entry only); `reply` is a StartReply, CallChunk, CallReply
// or ProgramReply.
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
  kVmListOdd,  // items of the list of VMs, or all of it, cannot be read
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
  kStaleMessages,  // messages that matched no request
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
  kSuperseded,  // another node has claimed its programs
};
std::string_view Name(StopCause cause);

struct Stop {
  StopCause cause = StopCause::kDrained;
};

using Command =
    std::variant<SendMessage, AppendRecords, ReadRecords, RunCall, CancelRun,
                 ReleasePrefix, ReplyToCaller, LogLine, Count, Stop>;

// Collects commands for the daemon, and numbers appends, reads and dispatches.
class Outbox {
 public:
  void          Send(const NodeRef& to, Message message);
  std::uint64_t Append(std::string stream, std::vector<Record> records);
  std::uint64_t Read(std::string stream, Offset from);
  void          Push(Command command);
  void          CountRefusal(Reason reason);
  void          CountRetry(Reason reason);

  // Returns a number that this outbox has not returned before.
  std::uint64_t        NextNumber() { return ++m_number; }
  // Returns the commands collected since the last call, in order.
  std::vector<Command> Take();

 private:
  std::uint64_t        m_number = 0;
  std::vector<Command> m_commands;
};

}  // namespace yuccawick::core

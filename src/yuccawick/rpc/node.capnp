@0xd1c5b6a0e47f9a21;
# What nodes tell each other, and what they keep in the platform's log. The
# structs mirror those of core/messages.h and core/records.h field by field;
# rpc/convert.h copies by name. In the log, a Record stands as JSON.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("yuccawick::rpc::wire");

struct NodeRef {
  vm          @0 :Text;
  incarnation @1 :UInt64;
}

struct ProgramId {
  origin @0 :NodeRef;
  number @1 :UInt64;
}

struct Failure {
  reason     @0 :UInt16;
  ran        @1 :UInt16;
  retryAfter @2 :Int64;
}

struct Usage {
  prompt     @0 :Int64;
  cached     @1 :Int64;
  completion @2 :Int64;
}

struct Answer {
  text  @0 :Text;
  usage @1 :Usage;
}

struct Call {
  program      @0 :ProgramId;
  customer     @1 :Text;
  workspace    @2 :Text;
  sequence     @3 :UInt32;
  kind         @4 :UInt16;
  target       @5 :Text;
  body         @6 :Text;
  maxTokens    @7 :Int64;
  unrepeatable @8 :Bool;
  deadline     @9 :Int64;
}

struct Turn {
  call    @0 :Call;
  answer  @1 :Answer;
  failed  @2 :Bool;
  failure @3 :Failure;
  fence   @4 :Int64;
}

struct Intent {
  call     @0 :Call;
  executor @1 :NodeRef;
}

struct ProgramMeta {
  id           @0 :ProgramId;
  customer     @1 :Text;
  workspace    @2 :Text;
  model        @3 :Text;
  serviceClass @4 :Text;
  parent       @5 :ProgramId;
  fence        @6 :Int64;
  revision     @7 :UInt64;
  spent        @8 :Int64;
  ended        @9 :Bool;
  lastActive   @10 :Int64;
  intent       @11 :Intent;
  started      @12 :Int64;
}

struct ProgramDelta {
  meta  @0 :ProgramMeta;
  turns @1 :List(Turn);
}

# ---- Log records

struct ServiceClass {
  name     @0 :Text;
  priority @1 :Int64;
  maxWait  @2 :Int64;
}

struct Contract {
  customer      @0 :Text;
  maxPrograms   @1 :Int64;
  maxTurns      @2 :Int64;
  programBudget @3 :Int64;
  totalBudget   @4 :Int64;
  period        @5 :Int64;
  idleTimeout   @6 :Int64;
  cacheWeight   @7 :Int64;
  classes       @8 :List(ServiceClass);
}

struct JoinRecord {
  node    @0 :NodeRef;
  zone    @1 :Text;
  kind    @2 :UInt16;
  target  @3 :Text;
  address @4 :Text;
  server  @5 :Text;
}

struct ReplicaRecord {
  home     @0 :NodeRef;
  replicas @1 :List(NodeRef);
}

struct ClaimRecord {
  target  @0 :NodeRef;
  adopter @1 :NodeRef;
}

struct LeaveRecord {
  node @0 :NodeRef;
}

struct ContractRecord {
  amendment @0 :Text;
  amends    @1 :Int64;
  contract  @2 :Contract;
}

struct HistoryRecord {
  home   @0 :NodeRef;
  deltas @1 :List(ProgramDelta);
}

struct GrantCheckpoint {
  asOf    @0 :Int64;
  version @1 :Int64;
  total   @2 :Int64;
  granted @3 :Int64;
  period  @4 :Int64;
}

struct GrantRecord {
  id         @0 :Text;
  holder     @1 :NodeRef;
  resource   @2 :UInt16;
  amount     @3 :Int64;
  version    @4 :Int64;
  total      @5 :Int64;
  period     @6 :Int64;
  checkpoint @7 :GrantCheckpoint;
}

struct ContractInForce {
  version  @0 :Int64;
  contract @1 :Contract;
}

struct Member {
  join     @0 :JoinRecord;
  joined   @1 :Int64;
  replicas @2 :List(NodeRef);
  adopter  @3 :NodeRef;
  claimed  @4 :Int64;
  leaving  @5 :Bool;
}

struct SnapshotRecord {
  asOf      @0 :Int64;
  contracts @1 :List(ContractInForce);
  members   @2 :List(Member);
}

struct Record {
  union {
    join     @0 :JoinRecord;
    replica  @1 :ReplicaRecord;
    claim    @2 :ClaimRecord;
    leave    @3 :LeaveRecord;
    contract @4 :ContractRecord;
    history  @5 :HistoryRecord;
    grant    @6 :GrantRecord;
    snapshot @7 :SnapshotRecord;
  }
}

# ---- Messages

struct StartProgram {
  request      @0 :UInt64;
  customer     @1 :Text;
  workspace    @2 :Text;
  model        @3 :Text;
  serviceClass @4 :Text;
  parent       @5 :ProgramId;
}

struct StartReply {
  request @0 :UInt64;
  ok      @1 :Bool;
  program @2 :ProgramId;
  failure @3 :Failure;
}

struct CallRequest {
  request @0 :UInt64;
  call    @1 :Call;
}

struct CallChunk {
  request  @0 :UInt64;
  position @1 :UInt64;
  text     @2 :Text;
}

struct CallReply {
  request @0 :UInt64;
  ok      @1 :Bool;
  answer  @2 :Answer;
  failure @3 :Failure;
}

struct ProgramQuery {
  request   @0 :UInt64;
  program   @1 :ProgramId;
  customer  @2 :Text;
  workspace @3 :Text;
  end       @4 :Bool;
}

struct ProgramReply {
  request @0 :UInt64;
  ok      @1 :Bool;
  program @2 :ProgramDelta;
  failure @3 :Failure;
}

struct CancelRequest {
  request @0 :UInt64;
  program @1 :ProgramId;
}

struct Dispatch {
  dispatch    @0 :UInt64;
  fence       @1 :Int64;
  executor    @2 :NodeRef;
  call        @3 :Call;
  prompt      @4 :Text;
  priority    @5 :Int64;
  maxWait     @6 :Int64;
  attained    @7 :Int64;
  cacheWeight @8 :Int64;
  started     @9 :Int64;
}

struct DispatchChunk {
  dispatch @0 :UInt64;
  position @1 :UInt64;
  text     @2 :Text;
}

struct DispatchReply {
  dispatch @0 :UInt64;
  ok       @1 :Bool;
  answer   @2 :Answer;
  failure  @3 :Failure;
  loadMs   @4 :UInt64;
  resident @5 :Int64;
}

struct CancelDispatch {
  dispatch @0 :UInt64;
}

struct ReleaseCache {
  program @0 :ProgramId;
}

struct Replicate {
  batch  @0 :UInt64;
  deltas @1 :List(ProgramDelta);
}

struct ReplicateReply {
  batch @0 :UInt64;
  held  @1 :Bool;
}

struct FenceCall {
  program  @0 :ProgramId;
  sequence @1 :UInt32;
  fence    @2 :Int64;
  executor @3 :NodeRef;
}

struct FenceReply {
  program  @0 :ProgramId;
  sequence @1 :UInt32;
  fence    @2 :Int64;
  state    @3 :UInt16;
  ok       @4 :Bool;
  answer   @5 :Answer;
  failure  @6 :Failure;
}

struct Probe {
  controlVersion @0 :Int64;
}

struct ProbeReply {
  controlVersion @0 :Int64;
  leaving        @1 :Bool;
  loadMs         @2 :UInt64;
  resident       @3 :Int64;
}

struct ControlPull {
}

struct ControlPush {
  snapshot @0 :SnapshotRecord;
}

struct Message {
  union {
    startProgram   @0 :StartProgram;
    startReply     @1 :StartReply;
    callRequest    @2 :CallRequest;
    callChunk      @3 :CallChunk;
    callReply      @4 :CallReply;
    programQuery   @5 :ProgramQuery;
    programReply   @6 :ProgramReply;
    cancelRequest  @7 :CancelRequest;
    dispatch       @8 :Dispatch;
    dispatchChunk  @9 :DispatchChunk;
    dispatchReply  @10 :DispatchReply;
    cancelDispatch @11 :CancelDispatch;
    releaseCache   @12 :ReleaseCache;
    replicate      @13 :Replicate;
    replicateReply @14 :ReplicateReply;
    fenceCall      @15 :FenceCall;
    fenceReply     @16 :FenceReply;
    probe          @17 :Probe;
    probeReply     @18 :ProbeReply;
    controlPull    @19 :ControlPull;
    controlPush    @20 :ControlPush;
  }
}

struct Envelope {
  from        @0 :NodeRef;
  to          @1 :NodeRef;  # incarnation 0: whichever runs there
  fromAddress @2 :Text;     # host:port that answers to `from`
  message     @3 :Message;
}

interface Node {
  deliver @0 (envelope :Envelope) -> ();
  # Hands one message over. The return says that it arrived, nothing more.
}

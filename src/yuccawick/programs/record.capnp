@0xd6f1f6b1a2f0c3e7;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("yuccawick::programs::wire");

# What nodes keep in the platform's log and tell each other.

struct Turn {
  id       @0 :Text;
  previous @1 :Text;
  program  @2 :Text;
  input    @3 :Data;
  output   @4 :Data;
  # A turn larger than a record of the log lies in several: each has a part of
  # the input and of the output, in order.
  part     @5 :UInt32;
  parts    @6 :UInt32;  # 0: one
}

# Names the tokens of one turn; see programs/token_ledger.h.
struct ReservationId {
  sender @0 :Text;    # incarnation of the node that sends the turn
  number @1 :UInt64;  # unique there
}

struct TokenReservation {
  id        @0 :ReservationId;
  maxTokens @1 :Int64;
}

struct TurnSettlement {
  id       @0 :ReservationId;
  reserved @1 :Int64;
  used     @2 :Int64;
}

struct Claim {
  program @0 :Text;
  budget  @1 :Int64;  # as the client states it
  # Granted before, as far as the writer knew: for readers that find older
  # records deleted.
  before       @2 :Int64;
  settled      @3 :List(TurnSettlement);  # counted first
  reservations @4 :List(TokenReservation);
  writer       @5 :Text;  # incarnation; decides nothing
}

# A node that takes traffic, as it announces itself to the others.
struct Node {
  incarnation @0 :Text;
  address     @1 :Text;
  zone        @2 :Text;
  capacity    @3 :UInt32;  # thousandths of a core; 0: not said
  holdsStreams @4 :Bool;   # answers findStream; older builds do not
}

struct ServerLoad {
  server   @0 :Text;    # id of the backend server
  requests @1 :UInt16;  # under way there from the sender
  # Of its latest answers to the sender; older ones count less.
  answers  @2 :Float32;
  failures @3 :Float32;
  # How long its work takes against its service's median (capacity/), and how
  # many observations of the sender that rests on; 0: none.
  pace        @4 :Float32;
  paceSamples @5 :Float32;
}

# Tokens of a program, asked of the node that counts them.
struct Reserve {
  program @0 :Text;
  budget  @1 :Int64;
  most    @2 :Int64;  # that the turn may generate
  # What the program asks of model servers; see admission/admission_controller.h.
  service      @3 :Text;   # empty: the asker wants no room
  workspace    @4 :Text;   # empty: none
  priority     @5 :UInt8;  # 0 is first
  continues    @6 :Bool;   # names an earlier turn
  promptTokens @7 :Int64;
  leftMs       @8 :Int64;  # until the program should be finished
  hasLeft      @9 :Bool;   # leftMs is said
  route        @10 :Text;  # its name
  id           @11 :ReservationId;
}

enum Reserved {
  unsure @0;  # the log does not answer
  start  @1;  # answered by granted
  spent  @2;
  hold   @3;  # waits for turns that are not settled yet
  noRoom @4;  # model servers have no room for another program
}

# In place of Reserved where there is no room.
struct RoomRefusal {
  retryMs @0 :UInt32;  # until there will be some
}

# What programs that one home counts take of a service's model servers.
struct WorkCharge {
  # Turns of a workspace that ended, and ms of places that they took.
  workspace @0 :Text;
  work      @1 :Float32;
  turns     @2 :Float32;
}

struct RoomUse {
  service  @0 :Text;
  programs @1 :UInt32;
  places   @2 :Float32;  # turns under way
  memory   @3 :Int64;    # tokens
  partition @4 :UInt8;   # of the claims, that the programs belong to
}

# Answers reserve where the turn may run.
struct Granted {
  server @0 :Text;  # that ran the program's last turn; empty: not known
}

# Answers reserve where the turn may not run, or not yet.
struct NotGranted {
  outcome @0 :Reserved;
  claimed @1 :Bool;  # a claim with the reservation may be in the log, or get there
}

# A turn that was granted here runs under another coordinator's count.
struct TurnElsewhere {
  program @0 :Text;
  id      @1 :ReservationId;
}

struct Settle {
  program    @0 :Text;
  settlement @1 :TurnSettlement;
  server     @2 :Text;  # backend server that ran the turn; empty: not known
}

struct FindTurn {
  id        @0 :Text;
  # Read this partition up to its end first; -1: say what is at hand.
  partition @1 :Int32;
}

struct TurnFound {
  turns    @0 :List(Turn);  # the turn, then its ancestors; empty: not held
  complete @1 :Bool;        # the partition was read up to its end
  reading  @2 :Bool;        # not yet; ask again
}

# A turn to append to the log, by a node that the log answers.
struct KeepTurn {
  turn        @0 :Turn;
  retentionMs @1 :Int64;
}

# The log has acknowledged the turn there.
struct TurnKept {
  partition @0 :Int32;
  offset    @1 :Int64;
}

# Tokens of a workspace, claimed for requests to backend servers.
struct RateEntry {
  workspace @0 :Text;
  tokens    @1 :Int32;  # below 0: given back
  origin    @2 :Int64;  # offset of the claim that these came from
}

struct RateRecord {
  node     @0 :Text;   # incarnation of the claimer
  previous @1 :Int64;  # offset of its record before; -1: none
  # On the claimer's clock, in ms: this one, and the acknowledgement of that.
  sent          @2 :Int64;
  previousAcked @3 :Int64;
  entries       @4 :List(RateEntry);
}

# Tokens that a program took.
struct RateStep {
  program @0 :UInt64;
  tokens  @1 :UInt32;
}

# Tokens, asked of the workspace's home.
struct RateAsk {
  workspace @0 :Text;
  want      @1 :UInt16;
  waiting   @2 :List(UInt64);  # programs that the asker does not know
  steps     @3 :List(RateStep);  # since the last question
  unused    @4 :List(RateEntry);  # tokens that ended
}

struct RateAnswer {
  unsure       @0 :Bool;
  tokens       @1 :UInt16;
  mayGoOn      @2 :List(UInt64);
  validMs      @3 :UInt32;
  retryMs      @4 :UInt32;
  beginRetryMs @5 :UInt32;
  scarce       @6 :Bool;
  origin       @7 :Int64;
  plenty       @8 :Bool;
}

# Identifies a stream: hash of the attempt that brought its first event.
struct StreamKey {
  high @0 :UInt64;
  low  @1 :UInt64;
}

# The software that began a stream.
struct StreamOrigin {
  key     @0 :StreamKey;
  service @1 :Text;  # empty: not known
  version @2 :Text;
}

# The streams that software began, as a node keeps them in the log.
struct OriginStreams {
  service @0 :Text;
  version @1 :Text;
  streams @2 :List(StreamKey);
}
struct StreamBatch {
  origins @0 :List(OriginStreams);
}

# Software under which streams may have begun; see traffic/software_history.h.
struct PossibleOrigin {
  group  @0 :Text;
  member @1 :Text;
}

# Identifies a request over all its attempts; see traffic/request_key.h.
struct RequestKey {
  high @0 :UInt64;
  low  @1 :UInt64;
}

enum MarkState {
  underWay   @0;
  unresolved @1;  # broke off; whether the server ended is not known
  ended      @2;  # the server ended
  released   @3;  # the send ended otherwise
  alive      @4;  # the server answers: what was told of it was wrong
  answered   @5;  # forget the request
  watched    @6;  # ended early; the server ran afterwards, but may still end
}

# A send of a request under which servers may have ended.
struct RequestMark {
  key    @0 :RequestKey;
  server @1 :Text;  # id of the backend server; empty: answered
  state  @2 :MarkState;
  leftMs @3 :UInt32;  # until the mark changes by itself; 0 with ended
}

# One message between two nodes. An answer carries its question's number.
struct PeerMessage {
  number @0 :UInt64;
  union {
    hello     @1 :Node;
    loads     @2 :List(ServerLoad);
    reserve   @3 :Reserve;
    notGranted @4 :NotGranted;
    settle    @5 :Settle;
    keepTurn  @6 :KeepTurn;
    turnKept  @7 :TurnKept;
    findTurn  @8 :FindTurn;
    turnFound @9 :TurnFound;
    logAway   @10 :Void;  # no partition of turns answers the sender
    turnNotKept @11 :Void;  # the log did not answer the asked node either
    rateAsk     @12 :RateAsk;
    rateAnswer  @13 :RateAnswer;
    roomRefusal @14 :RoomRefusal;     # answers reserve
    roomUse     @15 :List(RoomUse);   # one home to the others
    granted     @16 :Granted;
    workCharges @17 :List(WorkCharge);  # one home to the others
    streamBegun @18 :StreamOrigin;  # to the nodes that remember it
    findStream  @19 :StreamKey;
    streamFound @20 :StreamOrigin;  # answers findStream
    requestMarks @21 :List(RequestMark);  # to all nodes
    tellMarks    @22 :Node;  # the sender started; answered by requestMarks
    stopping     @23 :Void;  # the sender takes no more clients; to all nodes
    settled      @24 :Bool;  # answers settle: whether the log has it
    turnElsewhere @25 :TurnElsewhere;
  }
}

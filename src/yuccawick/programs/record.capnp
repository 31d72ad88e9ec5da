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
}

struct Claim {
  number  @0 :UInt64;
  node    @1 :Text;
  program @2 :Text;
  budget  @3 :Int64;
  need    @4 :Int64;
  wish    @5 :Int64;
  taken   @6 :Bool;
}

# A node that takes traffic, as it announces itself to the others.
struct Node {
  incarnation @0 :Text;
  address     @1 :Text;
  zone        @2 :Text;
}

struct ServerLoad {
  server   @0 :Text;    # id of the backend server
  requests @1 :UInt16;  # under way there from this node
}

struct PeerMessage {
  union {
    # Sent first on each connection; names the sender.
    hello     @0 :Node;
    loads     @1 :List(ServerLoad);
    # Keep this turn, and append it to the log when that can be reached.
    keepTurn  @2 :KeepTurn;
    turnKept  @3 :UInt64;
    # Asks for a turn and its ancestors.
    findTurn  @4 :FindTurn;
    turnFound @5 :TurnFound;
  }
}

struct KeepTurn {
  number    @0 :UInt64;
  turn      @1 :Turn;
  partition @2 :UInt32;
}

struct FindTurn {
  number @0 :UInt64;
  id     @1 :Text;
}

struct TurnFound {
  number @0 :UInt64;
  turns  @1 :List(Turn);  # newest first; empty: not held
}

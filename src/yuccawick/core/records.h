// Records of the platform's log: the only place where nodes agree.
//
// Streams:
//   control            contracts, joins, replica assignments, claims, leaves
//   history.<vm>       finished calls of the programs homed at that VM
//   grants.<customer>  slices of the customer's budget and program slots
//
// The log gives no compare-and-set. Every conditional record names the state it
// was written against, and each reader decides from log order alone whether it
// took effect; all readers decide alike.
#pragma once

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

#include "yuccawick/core/contract.h"
#include "yuccawick/core/program.h"
#include "yuccawick/core/types.h"

namespace yuccawick::core {

// An agent incarnation has started beside a backend server. Its offset is the
// fencing number of the orders it gives to that server.
struct JoinRecord {
  NodeRef     node;
  std::string zone;  // availability zone
  BackendKind kind = BackendKind::kModel;
  std::string target;   // model or service name
  std::string address;  // host:port of its RPC listener
  std::string server;   // name of the backend server

  template <class V>
  void Visit(V& v) {
    v("node", node);
    v("zone", zone);
    v("kind", kind);
    v("target", target);
    v("address", address);
    v("server", server);
  }
};

// From here on `replicas` are the only nodes that may claim `home`. Each of
// them already holds everything the home has acknowledged.
struct ReplicaRecord {
  NodeRef              coordinator;
  std::vector<NodeRef> replicas;

  template <class V>
  void Visit(V& v) {
    v("home", coordinator);
    v("replicas", replicas);
  }
};

// `adopter` takes over every program of `target`. The first valid claim of a
// target wins; its offset is the fencing number.
struct ClaimRecord {
  NodeRef target;
  NodeRef adopter;

  template <class V>
  void Visit(V& v) {
    v("target", target);
    v("adopter", adopter);
  }
};

// The node takes no new work from here on.
struct LeaveRecord {
  NodeRef node;

  template <class V>
  void Visit(V& v) {
    v("node", node);
  }
};

// In force if `amends` is the customer's version in force at that point.
struct ContractRecord {
  std::string amendment;           // unique per attempt, to find it again
  Offset      amends = kNoOffset;  // version amended; kNoOffset: none yet
  Contract    contract;

  template <class V>
  void Visit(V& v) {
    v("amendment", amendment);
    v("amends", amends);
    v("contract", contract);
  }
};

// Finished calls of programs homed at `home`.
struct HistoryRecord {
  NodeRef                   coordinator;
  std::vector<ProgramDelta> deltas;

  template <class V>
  void Visit(V& v) {
    v("home", coordinator);
    v("deltas", deltas);
  }
};

enum class Resource : std::uint8_t { kTokens, kPrograms };
constexpr std::size_t kResourceCount = 2;
std::string_view      Name(Resource resource);

// State of one resource of a customer just after `as_of`. Every grant carries
// one, so the stream can be read from any record that retention has left.
struct GrantCheckpoint {
  Offset       as_of = kNoOffset;
  Offset       version = kNoOffset;  // contract version
  std::int64_t total = 0;
  std::int64_t granted = 0;
  std::int64_t period = 0;  // number of the period; slots have period 0

  bool operator==(const GrantCheckpoint&) const = default;
  template <class V>
  void Visit(V& v) {
    v("asOf", as_of);
    v("version", version);
    v("total", total);
    v("granted", granted);
    v("period", period);
  }
};

// Takes `amount` out of the total (negative: gives it back). A grant above the
// total is void. The holder of a grant is the only one to return it.
struct GrantRecord {
  std::string     id;  // unique, so that a lost reply can be looked up
  NodeRef         holder;
  Resource        resource = Resource::kTokens;
  std::int64_t    amount = 0;
  Offset          version = kNoOffset;  // contract version it was made under
  std::int64_t    total = 0;            // the total under that version
  std::int64_t    period = 0;
  GrantCheckpoint checkpoint;

  template <class V>
  void Visit(V& v) {
    v("id", id);
    v("holder", holder);
    v("resource", resource);
    v("amount", amount);
    v("version", version);
    v("total", total);
    v("period", period);
    v("checkpoint", checkpoint);
  }
};

struct ContractInForce {
  Offset   version = kNoOffset;
  Contract contract;

  bool operator==(const ContractInForce&) const = default;
  template <class V>
  void Visit(V& v) {
    v("version", version);
    v("contract", contract);
  }
};

struct Member {
  JoinRecord join;
  Offset     joined = kNoOffset;  // fencing number of orders to its server
  std::vector<NodeRef> replicas;  // hold all it has acknowledged
  NodeRef              adopter;   // set once claimed
  Offset               claimed = kNoOffset;  // fencing number of the claim
  bool                 leaving = false;

  bool IsClaimed() const { return claimed != kNoOffset; }
  bool HasReplica(const NodeRef& node) const {
    return std::find(replicas.begin(), replicas.end(), node) != replicas.end();
  }
  template <class V>
  void Visit(V& v) {
    v("join", join);
    v("joined", joined);
    v("replicas", replicas);
    v("adopter", adopter);
    v("claimed", claimed);
    v("leaving", leaving);
  }
};

// The whole state of the control stream just after `as_of`. Written again
// before retention drops its parts, and handed to nodes that start in an
// outage.
struct SnapshotRecord {
  Offset                       as_of = kNoOffset;
  std::vector<ContractInForce> contracts;
  std::vector<Member>          members;

  template <class V>
  void Visit(V& v) {
    v("asOf", as_of);
    v("contracts", contracts);
    v("members", members);
  }
};

using Record =
    std::variant<JoinRecord, ReplicaRecord, ClaimRecord, LeaveRecord,
                 ContractRecord, HistoryRecord, GrantRecord, SnapshotRecord>;

struct LoggedRecord {
  Offset offset = kNoOffset;
  Record record;
};

constexpr std::string_view kControlStream = "control";
std::string                HistoryStream(const std::string& vm);
std::string                GrantStream(const std::string& customer);

}  // namespace yuccawick::core

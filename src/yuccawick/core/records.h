// Records of the platform's log, which is the only point of agreement.
//
// control            contracts, joins, replica sets, claims, leaves
// history.<vm>       finished calls of coordinators on that VM
// grants.<customer>  slices of the customer's budget and program slots
//
// The log has no compare-and-set. A conditional record names the state that it
// was written against; each reader decides from log order alone whether it
// takes effect, so all readers agree.
#pragma once

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

#include "yuccawick/core/contract.h"
#include "yuccawick/core/program.h"
#include "yuccawick/core/types.h"

namespace yuccawick::core {

// An agent incarnation has started beside a backend server. The record's offset
// is the fencing number of its orders to that server.
struct JoinRecord {
  NodeRef     node;
  std::string zone;  // availability zone
  BackendKind kind = BackendKind::kModel;
  std::string target;   // model or service name
  std::string address;  // host:port of the RPC listener
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

// From this record on, only `replicas` may claim `coordinator`. Each of them
// already stores everything that the coordinator has acknowledged.
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

// The node accepts no new work after this record.
struct LeaveRecord {
  NodeRef node;

  template <class V>
  void Visit(V& v) {
    v("node", node);
  }
};

// Takes effect if `amends` is the version in force just before this record.
struct ContractRecord {
  std::string amendment;  // unique id of the attempt, to find it in the log
  Offset   amends = kNoOffset;  // version replaced; kNoOffset: first contract
  Contract contract;

  template <class V>
  void Visit(V& v) {
    v("amendment", amendment);
    v("amends", amends);
    v("contract", contract);
  }
};

// Finished calls of programs owned by `coordinator`.
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

// State of one resource of a customer just after `as_of`. Every grant record
// contains one, so that the stream can be read from any retained record.
struct GrantCheckpoint {
  Offset       as_of = kNoOffset;
  Offset       version = kNoOffset;  // contract version
  std::int64_t total = 0;
  std::int64_t granted = 0;
  std::int64_t period = 0;  // number of the period; 0 for program slots

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

// Takes `amount` out of the total; a negative amount releases it. A grant that
// would exceed the total is void. Only the holder of a grant may release it.
struct GrantRecord {
  std::string  id;  // unique, to find the record after a lost reply
  NodeRef      holder;
  Resource     resource = Resource::kTokens;
  std::int64_t amount = 0;
  Offset       version = kNoOffset;  // contract version that it was made under
  std::int64_t total = 0;            // total under that version
  std::int64_t period = 0;
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
  std::vector<NodeRef> replicas;  // store everything that it has acknowledged
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

// The complete state of the control stream just after `as_of`. Agents append
// a new snapshot before log retention drops the records that the state was
// built from. Nodes that start while the log is unavailable get one from a
// peer.
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

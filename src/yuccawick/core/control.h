// State of the control stream: contracts, members and claims.
//
// Every node applies the same records in the same order and reaches the same
// state. The version of the state is the offset of the last record applied. The
// version only increases, so an accepted configuration never reverts.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "yuccawick/core/records.h"
#include "yuccawick/core/safeguards.h"

namespace yuccawick::core {

enum class Effect : std::uint8_t {
  kApplied,  // the state changed
  kVoid,     // its precondition did not hold; ignored
  kOld,      // at or below the current version; ignored
};

class Control {
 public:
  explicit Control(Safeguards safeguards) : m_safeguards(safeguards) {}

  // Applies one record. Records at or below the current version change nothing.
  Effect Apply(const LoggedRecord& logged);
  // Replaces the state if the snapshot is newer.
  Effect Apply(const SnapshotRecord& snapshot);

  Offset         version() const { return m_version; }
  SnapshotRecord Snapshot() const;
  // Offset of the newest snapshot on the stream; kNoOffset if none.
  Offset         last_snapshot() const { return m_last_snapshot; }

  const ContractInForce* FindContract(const std::string& customer) const;
  const Member*          FindMember(const NodeRef& node) const;
  // The incarnation that last joined on the VM; null if none.
  const Member*          FindVm(const std::string& vm) const;
  const std::map<NodeRef, Member>& members() const { return m_members; }
  const std::map<std::string, ContractInForce>& contracts() const {
    return m_contracts;
  }

  struct Coordinator {
    NodeRef node;              // current owner of the programs
    Offset fence = kNoOffset;  // offset of the claim by `node`; kNoOffset: none
  };
  // Follows claims from `origin` to the current owner of its programs.
  Coordinator Resolve(const NodeRef& origin) const;

  // True if a claim by `adopter` would be valid now.
  bool MayClaim(const NodeRef& target, const NodeRef& adopter) const;

 private:
  Effect ApplyRecord(Offset offset, const JoinRecord& record);
  Effect ApplyRecord(Offset offset, const ReplicaRecord& record);
  Effect ApplyRecord(Offset offset, const ClaimRecord& record);
  Effect ApplyRecord(Offset offset, const LeaveRecord& record);
  Effect ApplyRecord(Offset offset, const ContractRecord& record);
  Effect ApplyRecord(Offset offset, const SnapshotRecord& record);
  Effect ApplyRecord(Offset offset, const HistoryRecord& record);
  Effect ApplyRecord(Offset offset, const GrantRecord& record);
  void   DropSettledMembers();

  Safeguards                             m_safeguards;
  Offset                                 m_version = kNoOffset;
  Offset                                 m_last_snapshot = kNoOffset;
  std::map<std::string, ContractInForce> m_contracts;
  std::map<NodeRef, Member>              m_members;
  std::map<std::string, NodeRef>         m_newest_on_vm;
};

}  // namespace yuccawick::core

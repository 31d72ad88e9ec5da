#include "yuccawick/core/control.h"

#include <algorithm>

namespace yuccawick::core {
namespace {

// Control records for which a claimed member is kept, so that program ids
// created by it still lead to the current owner: 16 days at 500 records a day.
constexpr Offset kClaimedRetention = 8192;
// Limit of a chain of claims; guards against a cycle in a corrupt state.
constexpr int    kMaxClaimChain = 64;

}  // namespace

std::string_view Name(Resource resource) {
  return resource == Resource::kTokens ? "tokens" : "programs";
}

std::string HistoryStream(const std::string& vm) { return "history." + vm; }

std::string GrantStream(const std::string& customer) {
  return "grants." + customer;
}

Effect Control::Apply(const LoggedRecord& logged) {
  // A late or repeated read may return older records; applying one could
  // restore a contract that has been amended since.
  const bool ignores_older = m_safeguards.Has(Safeguard::kNewerControlOnly);
  if (ignores_older && logged.offset <= m_version) return Effect::kOld;
  const Effect effect = std::visit(
      [&](const auto& record) { return ApplyRecord(logged.offset, record); },
      logged.record);
  m_version = logged.offset;
  return effect;
}

Effect Control::Apply(const SnapshotRecord& snapshot) {
  const bool ignores_older = m_safeguards.Has(Safeguard::kNewerControlOnly);
  if (ignores_older && snapshot.as_of <= m_version) return Effect::kOld;
  m_contracts.clear();
  m_members.clear();
  m_newest_on_vm.clear();
  for (const auto& c : snapshot.contracts) m_contracts[c.contract.customer] = c;
  std::vector<const Member*> members_by_join;
  for (const auto& m : snapshot.members) {
    m_members[m.join.node] = m;
    members_by_join.push_back(&m);
  }
  std::sort(members_by_join.begin(), members_by_join.end(),
            [](const auto* a, const auto* b) { return a->joined < b->joined; });
  for (const auto* m : members_by_join)
    m_newest_on_vm[m->join.node.vm] = m->join.node;
  m_version = snapshot.as_of;
  return Effect::kApplied;
}

SnapshotRecord Control::Snapshot() const {
  SnapshotRecord snapshot;
  snapshot.as_of = m_version;
  for (const auto& [customer, c] : m_contracts) snapshot.contracts.push_back(c);
  for (const auto& [node, m] : m_members) snapshot.members.push_back(m);
  return snapshot;
}

const ContractInForce* Control::FindContract(
    const std::string& customer) const {
  const auto it = m_contracts.find(customer);
  return it == m_contracts.end() ? nullptr : &it->second;
}

const Member* Control::FindMember(const NodeRef& node) const {
  const auto it = m_members.find(node);
  return it == m_members.end() ? nullptr : &it->second;
}

const Member* Control::FindVm(const std::string& vm) const {
  const auto it = m_newest_on_vm.find(vm);
  return it == m_newest_on_vm.end() ? nullptr : FindMember(it->second);
}

Control::Coordinator Control::Resolve(const NodeRef& origin) const {
  Coordinator coordinator{origin, kNoOffset};
  for (int i = 0; i < kMaxClaimChain; ++i) {
    const Member* member = FindMember(coordinator.node);
    if (member == nullptr || !member->IsClaimed()) break;
    coordinator = {member->adopter, member->claimed};
  }
  return coordinator;
}

bool Control::MayClaim(const NodeRef& target, const NodeRef& adopter) const {
  const Member* member = FindMember(target);
  const Member* adopting_member = FindMember(adopter);
  if (member == nullptr || member->IsClaimed()) return false;
  if (adopting_member == nullptr || adopting_member->IsClaimed() ||
      target == adopter)
    return false;
  if (member->HasReplica(adopter)) return true;
  if (!m_safeguards.Has(Safeguard::kReplicaClaimsOnly)) return true;
  // A node that is not a replica may miss acknowledged answers. The log is
  // the best remaining copy only once all replicas have been claimed.
  return std::all_of(member->replicas.begin(), member->replicas.end(),
                     [this](const NodeRef& node) {
                       const Member* replica = FindMember(node);
                       return replica == nullptr || replica->IsClaimed();
                     });
}

Effect Control::ApplyRecord(Offset offset, const JoinRecord& record) {
  if (FindMember(record.node) != nullptr) return Effect::kVoid;
  // Agents of application servers own no programs and are never claimed, so
  // their record is dropped when the next agent joins on that VM.
  const Member* older = FindVm(record.node.vm);
  if (older != nullptr && older->join.kind == BackendKind::kService)
    m_members.erase(NodeRef(older->join.node));
  Member member;
  member.join = record;
  member.joined = offset;
  m_members[record.node] = member;
  m_newest_on_vm[record.node.vm] = record.node;
  DropSettledMembers();
  return Effect::kApplied;
}

Effect Control::ApplyRecord(Offset /*offset*/, const ReplicaRecord& record) {
  const auto coordinator = m_members.find(record.coordinator);
  if (coordinator == m_members.end() || coordinator->second.IsClaimed())
    return Effect::kVoid;
  for (const auto& node : record.replicas) {
    const Member* replica = FindMember(node);
    if (replica == nullptr || replica->IsClaimed()) return Effect::kVoid;
  }
  coordinator->second.replicas = record.replicas;
  return Effect::kApplied;
}

Effect Control::ApplyRecord(Offset offset, const ClaimRecord& record) {
  if (!MayClaim(record.target, record.adopter)) return Effect::kVoid;
  Member& target = m_members[record.target];
  target.adopter = record.adopter;
  target.claimed = offset;
  return Effect::kApplied;
}

Effect Control::ApplyRecord(Offset /*offset*/, const LeaveRecord& record) {
  const auto it = m_members.find(record.node);
  if (it == m_members.end()) return Effect::kVoid;
  it->second.leaving = true;
  return Effect::kApplied;
}

Effect Control::ApplyRecord(Offset offset, const ContractRecord& record) {
  const ContractInForce* current = FindContract(record.contract.customer);
  const Offset           current_version =
      current == nullptr ? kNoOffset : current->version;
  // If two operators amend one version, the first in log order wins; the other
  // reads back that its record is void and reports a conflict.
  const bool checks_version = m_safeguards.Has(Safeguard::kAmendsVersion);
  if (checks_version && record.amends != current_version) return Effect::kVoid;
  if (!Validate(record.contract).empty()) return Effect::kVoid;
  m_contracts[record.contract.customer] = {offset, record.contract};
  return Effect::kApplied;
}

Effect Control::ApplyRecord(Offset offset, const SnapshotRecord& record) {
  m_last_snapshot = offset;
  return Apply(record) == Effect::kApplied ? Effect::kApplied : Effect::kVoid;
}

Effect Control::ApplyRecord(Offset /*offset*/,
                            const HistoryRecord& /*record*/) {
  return Effect::kVoid;
}

Effect Control::ApplyRecord(Offset /*offset*/, const GrantRecord& /*record*/) {
  return Effect::kVoid;
}

void Control::DropSettledMembers() {
  const Offset now = m_version + 1;
  std::erase_if(m_members, [now](const auto& entry) {
    const Member& member = entry.second;
    return member.IsClaimed() && member.claimed + kClaimedRetention < now;
  });
}

}  // namespace yuccawick::core

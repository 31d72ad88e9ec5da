#include "yuccawick/core/membership.h"

#include <algorithm>
#include <utility>

#include "yuccawick/core/hash.h"

namespace yuccawick::core {

std::vector<NodeRef> PickPeers(const NodeRef& self, const Control& control,
                               std::size_t count) {
  std::vector<std::pair<std::uint64_t, NodeRef>> ranked;
  for (const auto& [node, member] : control.members()) {
    if (node == self || member.IsClaimed()) continue;
    ranked.emplace_back(PairHash(self.vm, ToString(node)), node);
  }
  const auto picked_count = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(picked_count),
                    ranked.end());
  std::vector<NodeRef> picked;
  for (std::size_t i = 0; i < picked_count; ++i)
    picked.push_back(ranked[i].second);
  return picked;
}

Membership::Membership(NodeRef self, MembershipSettings settings,
                       Safeguards safeguards, const Control& control,
                       Outbox& outbox)
    : m_self(std::move(self)),
      m_settings(settings),
      m_safeguards(safeguards),
      m_control(control),
      m_outbox(outbox) {}

void Membership::Fire(Peer* peer, PeerEvent event) {
  GetPeerChart().Fire(&peer->phase, event);
}

Peer& Membership::PeerOf(const NodeRef& node, Time now) {
  const auto [it, added] = m_peers.try_emplace(node);
  if (added) it->second.last_received = now;
  return it->second;
}

void Membership::Watch(const std::set<NodeRef>& peers, Time now) {
  const std::set<NodeRef> watched_before = std::exchange(m_watched, peers);
  for (const auto& node : PickPeers(m_self, m_control, m_settings.random_peers))
    m_watched.insert(node);
  m_watched.erase(m_self);
  for (const auto& node : m_watched) {
    Peer& peer = PeerOf(node, now);
    // An unwatched peer may have sent nothing for long. Without a reset it
    // would be claimed as soon as it is watched.
    if (!watched_before.contains(node)) peer.last_received = now;
  }
}

void Membership::OnMessage(const NodeRef& from, Time now) {
  Peer& peer = PeerOf(from, now);
  peer.last_received = now;
  Fire(&peer, PeerEvent::kHeard);
}

void Membership::OnProbeReply(const NodeRef& from, const ProbeReply& reply,
                              Time now) {
  Peer& peer = PeerOf(from, now);
  peer.load = static_cast<Duration>(reply.load_ms);
  peer.resident = reply.resident;
  peer.control_version = std::max(peer.control_version, reply.control_version);
  if (reply.leaving) Fire(&peer, PeerEvent::kLeave);
}

void Membership::OnLoad(const NodeRef& from, Duration load, Tokens resident) {
  const auto it = m_peers.find(from);
  if (it == m_peers.end()) return;
  it->second.load = load;
  it->second.resident = resident;
}

void Membership::OnLeaving(const NodeRef& node, Time now) {
  Fire(&PeerOf(node, now), PeerEvent::kLeave);
}

void Membership::OnSendFailed(const NodeRef& to, Time now) {
  Fire(&PeerOf(to, now), PeerEvent::kSilent);
}

void Membership::OnVmList(const VmListRead& list, Time now) {
  std::map<std::string, bool> listed;
  for (const auto& entry : list.vms) listed[entry.vm] = entry.leaving;
  // The list lags, so a VM that is missing may be new. Only a VM that was
  // listed before has been removed.
  for (const auto& [vm, leaving] : m_leaving_by_vm) {
    if (!listed.contains(vm)) m_unlisted.insert(vm);
  }
  for (const auto& [vm, leaving] : listed) m_unlisted.erase(vm);
  m_leaving_by_vm = std::move(listed);
  for (const auto& [node, member] : m_control.members()) {
    if (node == m_self) continue;
    const auto it = m_leaving_by_vm.find(node.vm);
    if (it != m_leaving_by_vm.end() && it->second)
      Fire(&PeerOf(node, now), PeerEvent::kLeave);
  }
}

void Membership::OnControl() {
  for (auto& [node, peer] : m_peers) {
    const Member* newest = m_control.FindVm(node.vm);
    if (newest != nullptr && newest->join.node != node)
      Fire(&peer, PeerEvent::kRemoved);
    const Member* member = m_control.FindMember(node);
    if (member == nullptr) continue;
    if (member->leaving) Fire(&peer, PeerEvent::kLeave);
    if (member->IsClaimed()) Fire(&peer, PeerEvent::kRemoved);
  }
}

void Membership::OnTick(Time now) {
  const Duration pause = m_last_tick == 0 ? 0 : now - m_last_tick;
  m_last_tick = now;
  // After a pause of this node all peers look unreachable. Resetting their
  // timers avoids claims of healthy coordinators.
  const bool paused = m_safeguards.Has(Safeguard::kPauseDetection) &&
                      pause > m_settings.suspect_after / 2;
  std::erase_if(m_probed_until,
                [now](const auto& entry) { return entry.second < now; });
  for (const auto& node : m_watched) Probe(node, paused, now);
  for (const auto& [node, end_time] : m_probed_until) {
    if (!m_watched.contains(node)) Probe(node, paused, now);
  }
}

void Membership::Probe(const NodeRef& node, bool paused, Time now) {
  Peer& peer = PeerOf(node, now);
  if (peer.phase == PeerPhase::kGone) return;
  if (paused) peer.last_received = std::max(peer.last_received, now);
  if (now - peer.last_received > m_settings.suspect_after)
    Fire(&peer, PeerEvent::kSilent);
  if (now - peer.probed < m_settings.probe_interval) return;
  peer.probed = now;
  m_outbox.Send(node, core::Probe{m_control.version()});
}

void Membership::ProbeTemporarily(const NodeRef& node, Time now) {
  const bool is_new =
      !m_probed_until.contains(node) && !m_watched.contains(node);
  Peer& peer = PeerOf(node, now);
  if (is_new) peer.last_received = now;
  m_probed_until[node] = now + m_settings.probe_interval;
}

bool Membership::IsUsable(const NodeRef& node) const {
  const Member* member = m_control.FindMember(node);
  if (member == nullptr || member->IsClaimed()) return false;
  if (IsReplaced(node)) return false;
  const auto      it = m_peers.find(node);
  const PeerPhase phase =
      it == m_peers.end() ? PeerPhase::kUnknown : it->second.phase;
  const bool leaving = member->leaving || phase == PeerPhase::kLeaving;
  // New work on a leaving server would be cut off when it stops.
  if (leaving && m_safeguards.Has(Safeguard::kLeavingStopsWork)) return false;
  return phase == PeerPhase::kUnknown || phase == PeerPhase::kAlive ||
         phase == PeerPhase::kLeaving;
}

bool Membership::IsSuspect(const NodeRef& node) const {
  if (IsReplaced(node)) return true;
  const auto it = m_peers.find(node);
  if (it == m_peers.end()) return false;
  return it->second.phase == PeerPhase::kSuspect ||
         it->second.phase == PeerPhase::kGone;
}

bool Membership::IsReplaced(const NodeRef& node) const {
  const Member* newest = m_control.FindVm(node.vm);
  if (newest != nullptr && newest->join.node != node) return true;
  return m_unlisted.contains(node.vm);
}

Duration Membership::UnreachableFor(const NodeRef& node, Time now) const {
  const auto it = m_peers.find(node);
  const bool suspect =
      it != m_peers.end() && it->second.phase == PeerPhase::kSuspect;
  return suspect ? now - it->second.last_received : 0;
}

bool Membership::IsPresumedDead(const NodeRef& node, Time now) const {
  // A broken connection makes a peer suspect, but only a lasting lack of
  // messages observed by this node justifies a claim.
  return IsReplaced(node) ||
         UnreachableFor(node, now) > m_settings.suspect_after;
}

Duration Membership::LoadOf(const NodeRef& node) const {
  const auto it = m_peers.find(node);
  return it == m_peers.end() ? 0 : it->second.load;
}

Tokens Membership::ResidentOf(const NodeRef& node) const {
  const auto it = m_peers.find(node);
  return it == m_peers.end() ? 0 : it->second.resident;
}

const NodeRef* Membership::PeerAhead() const {
  for (const auto& [node, peer] : m_peers) {
    if (peer.control_version > m_control.version()) return &node;
  }
  return nullptr;
}

}  // namespace yuccawick::core

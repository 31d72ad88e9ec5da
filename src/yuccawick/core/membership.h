// Tracks which peers are alive, as observed by this node.
//
// Each node probes a few peers: those it depends on and some chosen by hash.
// The platform's VM list lags and only supplements the probes. A peer that does
// not respond becomes suspect and gets no new work; ownership changes only
// through claims on the log.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "yuccawick/core/chart.h"
#include "yuccawick/core/control.h"
#include "yuccawick/core/messages.h"
#include "yuccawick/core/safeguards.h"

namespace yuccawick::core {

struct MembershipSettings {
  Duration    probe_interval = 500;  // ms between probes of one peer
  Duration    suspect_after = 2000;  // ms without a message
  std::size_t random_peers = 4;      // probed besides the dependencies
};

struct Peer {
  PeerPhase phase = PeerPhase::kUnknown;
  Time      last_received = 0;  // time of the last message
  Time      probed = 0;         // time of the last probe
  Duration  load = 0;           // wait of a new call, ms, as last reported
  Tokens    resident = 0;       // tokens of resident prefixes, as last reported
  Offset    control_version = kNoOffset;
};

class Membership {
 public:
  Membership(NodeRef self, MembershipSettings settings, Safeguards safeguards,
             const Control& control, Outbox& outbox);

  // Sets the peers this node depends on; they are probed along with a few
  // others chosen by hash.
  void Watch(const std::set<NodeRef>& peers, Time now);

  // Probes the node for one more probe interval; called while a request to it
  // is pending.
  void ProbeTemporarily(const NodeRef& node, Time now);

  void OnMessage(const NodeRef& from, Time now);
  void OnProbeReply(const NodeRef& from, const ProbeReply& reply, Time now);
  void OnLoad(const NodeRef& from, Duration load, Tokens resident);
  // The node refused work because it is leaving.
  void OnLeaving(const NodeRef& node, Time now);
  void OnSendFailed(const NodeRef& to, Time now);
  void OnVmList(const VmListRead& list, Time now);
  void OnControl();
  void OnTick(Time now);

  // True if new work may be sent: not suspect, leaving, gone or claimed.
  bool     IsUsable(const NodeRef& node) const;
  bool     IsSuspect(const NodeRef& node) const;
  // True if the VM is gone or runs a later incarnation.
  bool     IsReplaced(const NodeRef& node) const;
  // Time since the last message, ms; 0 unless the node is suspect.
  Duration UnreachableFor(const NodeRef& node, Time now) const;
  // True if the node was replaced, or has been unreachable for long enough to
  // be claimed.
  bool     IsPresumedDead(const NodeRef& node, Time now) const;
  Duration LoadOf(const NodeRef& node) const;
  Tokens   ResidentOf(const NodeRef& node) const;
  const std::map<NodeRef, Peer>& peers() const { return m_peers; }
  // A peer with a higher control version; null if none.
  const NodeRef*                 PeerAhead() const;

 private:
  void  Fire(Peer* peer, PeerEvent event);
  void  Probe(const NodeRef& node, bool paused, Time now);
  Peer& PeerOf(const NodeRef& node, Time now);

  NodeRef                 m_self;
  MembershipSettings      m_settings;
  Safeguards              m_safeguards;
  const Control&          m_control;
  Outbox&                 m_outbox;
  std::map<NodeRef, Peer> m_peers;
  std::set<NodeRef>       m_watched;
  std::map<NodeRef, Time> m_probed_until;  // probed until the given time
  std::map<std::string, bool>
                        m_leaving_by_vm;  // VM to leaving flag, as last listed
  std::set<std::string> m_unlisted;       // VMs removed from the list
  Time                  m_last_tick = 0;
};

// Returns the `count` members that rank highest by a hash of their name and
// `self`. Spreads probes evenly without coordination.
std::vector<NodeRef> PickPeers(const NodeRef& self, const Control& control,
                               std::size_t count);

}  // namespace yuccawick::core

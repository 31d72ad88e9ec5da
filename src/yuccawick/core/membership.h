// Which peers are alive, as far as this node can tell.
//
// Each node probes a few peers: those it depends on and a few chosen by hash,
// never all. The platform's list lags and only adds to what probes show.
// Silence makes a peer suspect, which steers new work away; ownership moves by
// claims on the log alone.
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
  Duration    suspect_after = 2000;  // ms of silence
  std::size_t random_peers = 4;      // probed beside those depended on
};

struct Peer {
  PeerPhase phase = PeerPhase::kUnknown;
  Time      last_received = 0;  // last message from it
  Time      probed = 0;         // last probe sent
  Duration  load = 0;           // ms a new call would wait there, as last told
  Tokens    resident = 0;       // tokens of the prefixes there, as last told
  Offset    control_version = kNoOffset;
};

class Membership {
 public:
  Membership(NodeRef self, MembershipSettings settings, Safeguards safeguards,
             const Control& control, Outbox& outbox);

  // Peers this node depends on; probed besides a few random ones.
  void Watch(const std::set<NodeRef>& peers, Time now);

  // Probes the node for a short while, since something here waits for it.
  void ProbeTemporarily(const NodeRef& node, Time now);

  void OnMessage(const NodeRef& from, Time now);
  void OnProbeReply(const NodeRef& from, const ProbeReply& reply, Time now);
  void OnLoad(const NodeRef& from, Duration load, Tokens resident);
  // The node has refused work because it is leaving.
  void OnLeaving(const NodeRef& node, Time now);
  void OnSendFailed(const NodeRef& to, Time now);
  void OnVmList(const VmListRead& list, Time now);
  void OnControl();
  void OnTick(Time now);

  // May be given new work: not suspect, leaving, gone or claimed.
  bool     IsUsable(const NodeRef& node) const;
  bool     IsSuspect(const NodeRef& node) const;
  // Its VM has gone or runs a later incarnation.
  bool     IsReplaced(const NodeRef& node) const;
  // How long it has been silent, ms; 0 unless it is suspect.
  Duration SilentFor(const NodeRef& node, Time now) const;
  // Certainly replaced, or silent for long enough to be claimed.
  bool     IsPresumedDead(const NodeRef& node, Time now) const;
  Duration LoadOf(const NodeRef& node) const;
  Tokens   ResidentOf(const NodeRef& node) const;
  const std::map<NodeRef, Peer>& peers() const { return m_peers; }
  // A peer whose control state is ahead of ours, if any.
  const NodeRef*                 PeerAhead() const;

 private:
  void  Fire(Peer* peer, PeerEvent event);
  void  Probe(const NodeRef& node, bool paused, Time now);
  Peer& PeerOf(const NodeRef& node, Time now);

  NodeRef                     m_self;
  MembershipSettings          m_settings;
  Safeguards                  m_safeguards;
  const Control&              m_control;
  Outbox&                     m_outbox;
  std::map<NodeRef, Peer>     m_peers;
  std::set<NodeRef>           m_watched;
  std::map<NodeRef, Time>     m_temporary;  // until when they are probed
  std::map<std::string, bool> m_listed;     // VM to leaving, as last listed
  std::set<std::string>       m_unlisted;   // were listed, are no more
  Time                        m_last_tick = 0;
};

// Picks the `count` members that rank highest by a hash of their name and
// `self`; the same on every node, spread evenly.
std::vector<NodeRef> PickPeers(const NodeRef& self, const Control& control,
                               std::size_t count);

}  // namespace yuccawick::core

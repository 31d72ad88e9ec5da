// Keeps requests under which servers end away from further servers, at all
// nodes; see traffic/suspect_requests.h.
//
// Exchange reports how each send ended. A node tells all nodes of a send that
// ended without a whole answer, and finds out what becomes of its server for
// `end_watch` ms: at once, when a connection to it is lost, when its entry
// lapses, and, if it was not seen to run since, at the end of that time. What
// every send of a suspect request is doing is told as well. Nothing is told of
// requests whose servers answer them, and nothing is asked before a request
// without marks is sent.
//
//   suspects.Check(key, is_shared, service, done);  // where may it be sent?
//   suspects.OnSending(key, server, left);
//   suspects.OnBroken(key, server, sent_at);        // or one of the others
//   suspects.WhenKnown(server, done);               // before the client hears
//
// Ends and early ends are written to the platform's log as well, so that they
// outlive a loss of all nodes; see durable_marks.h. The first early end of a
// request is left out while there are many. Until a node has read the log, a
// request may have one marked server there.
//
// Messages are sent one way, and before the client gets an answer, so that they
// are usually at the other nodes before the client is. A node that starts asks
// the others for all marks, and one that was unreachable gets them.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "yuccawick/gateway/backends.h"
#include "yuccawick/gateway/durable_marks.h"
#include "yuccawick/gateway/log.h"
#include "yuccawick/gateway/metrics.h"
#include "yuccawick/gateway/peer_network.h"
#include "yuccawick/gateway/server_probes.h"
#include "yuccawick/programs/membership.h"
#include "yuccawick/traffic/suspect_requests.h"

namespace yuccawick::gateway {

class SuspectService {
 public:
  SuspectService(net::EventLoop* loop, const Thresholds* thresholds,
                 Backends* backends, ServerProbes* probes,
                 const programs::Membership* members, PeerNetwork* network,
                 DurableMarks* durable_marks, Log* log, Metrics* metrics);

  // Where the request may be sent; never kResolve. `done` is called once, at
  // once unless servers have to be asked first, which takes up to `probe_wait`
  // ms. `is_shared`: see SuspectRequests::Judge().
  using CheckDone = std::function<void(const traffic::SendDecision&)>;
  void                     Check(const traffic::RequestKey& key, bool is_shared,
                                 const std::string& service, CheckDone done);
  // Servers to use only if there are no others: those that did not answer a
  // probe lately and, for a suspect request, those at which another one is
  // under way.
  std::vector<std::string> ServersToAvoid(const traffic::RequestKey& key) const;
  // `left`: ms until the attempt times out.
  void OnSending(const traffic::RequestKey& key, const std::string& server,
                 Duration left);
  // The connection broke off before the answer was whole.
  void OnBroken(const traffic::RequestKey& key, const std::string& server,
                Time sent_at);
  // The send was given up before the answer was whole.
  void OnLeft(const traffic::RequestKey& key, bool is_shared,
              const std::string& server, Time sent_at);
  // The send ended and the server runs, or did not receive it.
  void OnReleased(const traffic::RequestKey& key, const std::string& server);
  // The client gets a whole answer of the server.
  void OnAnswered(const traffic::RequestKey& key, bool is_shared,
                  const std::string& server);
  // The server accepted no connection.
  void OnNotConnected(const std::string& server) { AskIfMarked(server); }
  // The list of servers changed.
  void OnServerChange(const std::string& server, Backends::ServerChange change);
  // The server answered what was sent at `sent_at`.
  void OnServerAnswered(const std::string& server, Time sent_at);
  // Calls `done` once it is known, told and written to the log whether the
  // server still runs; at once if nobody asks. At the latest after two probes
  // and `mark_save_wait` ms.
  void WhenKnown(const std::string& server, std::function<void()> done);
  // Whether the server is known to have ended. One that answers nothing may be
  // busy, and still run what it was sent.
  bool HasEnded(const std::string& server) const;

  // A record of Topic::kHistory.
  void TakeHistory(const platform::LogRecord& record);
  // All records of Topic::kHistory were taken once.
  void SetComplete() { m_requests.SetComplete(true); }
  void ReceiveMarks(const std::string& node, PeerMessage::Reader message);
  // Tells everything to a node that was unreachable.
  void TellNode(const programs::NodeInfo& node);
  // This node or the other one has started. Asks for what it knows.
  void OnNodeFound(const programs::NodeInfo& node);
  // The node started and knows nothing.
  void ServeTellMarks(const std::string& node, PeerMessage::Reader message,
                      const PeerNetwork::Reply& reply);
  void Sweep();  // call about twice a second

 private:
  struct PendingCheck {
    traffic::RequestKey key;
    bool                is_shared = false;
    std::string         service;
    Time                give_up_at = 0;
    CheckDone           done;
  };
  // A server that did not answer a probe.
  struct Gone {
    Time since = 0;
    Time probed_at = 0;
    bool ended = false;  // known to have ended, not only silent
  };
  struct StartedNode {
    programs::NodeInfo node;
    Time               asked_at = 0;
  };
  // What nodes are told of a request at one server.
  struct Told {
    traffic::RequestKey       key;
    std::string               server;
    programs::wire::MarkState state = programs::wire::MarkState::ENDED;
    Duration                  left = 0;
  };

  traffic::SendDecision    Judge(const PendingCheck& check) const;
  // Resolves the check if that is possible by now.
  bool                     TryDecide(const PendingCheck& check);
  // Whether waiting may bring another verdict.
  bool                     MayChange(const PendingCheck& check) const;
  bool                     WasSilentLately(const std::string& server) const;
  void                     DecidePending();
  void                     AskServersOf(const traffic::RequestKey& key);
  std::vector<std::string> UnresolvedServers(
      const traffic::RequestKey& key) const;
  bool HasSendUnderWay(const traffic::RequestKey& key) const;
  // Whether the server had gone before the request was sent to it.
  bool WasGone(const std::string& server, Time sent_at) const;
  std::vector<std::string> UsableServers(const std::string& service) const;

  void Ask(const std::string& server);
  // Whether this node has to find out what became of the server: it has own
  // marks there, or ranks first to do it for nodes that are gone.
  bool HasToResolve(const std::string& server) const;
  // Whether it is this node that does for `key` what one node has to.
  bool RanksFirst(const std::string& key) const;
  // Asks the server soon if this node has to.
  void AskIfMarked(const std::string& server);
  void OnProbed(const std::string& server, Time asked_at, ProbeOutcome outcome);
  void OnAlive(const std::string& server, Time sent_at);
  void OnEnded(const std::string& server);
  void OnSilent(const std::string& server);
  void SetGone(const std::string& server, bool ended);
  // Whether other nodes know of the request.
  bool IsTold(const traffic::RequestKey& key) const;
  // What other nodes have not been told of the request.
  std::vector<Told> Untold(const traffic::RequestKey& key);
  void              TellUntold(const std::vector<traffic::RequestKey>& keys);
  // Writes the marks of the request to the log that a loss of all nodes must
  // not forget.
  void              SaveMarks(const traffic::RequestKey& key);
  // Writes those marks of other nodes that the log did not take from them.
  void              SaveMarksOfOthers();
  void              Tell(const std::vector<Told>& told);
  // What other nodes were told of, all of it.
  std::vector<Told> AllTold() const;
  static void       Write(const std::vector<Told>& told,
                          PeerMessage::Builder     message);
  // The other nodes, also those that only announced themselves in a message.
  std::vector<programs::NodeInfo> OtherNodes();
  void                            Receive(const Told& told);
  void WriteLog(const Told& told, std::string_view node) const;

  net::EventLoop*                       m_loop;
  const Thresholds*                     m_thresholds;
  Backends*                             m_backends;
  ServerProbes*                         m_probes;
  const programs::Membership*           m_members;
  PeerNetwork*                          m_network;
  DurableMarks*                         m_durable_marks;
  Log*                                  m_log;
  Metrics*                              m_metrics;
  traffic::SuspectRequests              m_requests;
  std::list<PendingCheck>               m_pending;
  std::unordered_map<std::string, Gone> m_gone;      // by server id
  std::unordered_map<std::string, Time> m_asked_at;  // by server id
  std::unordered_set<std::string>       m_asking_later;
  std::unordered_map<std::string, std::vector<std::function<void()>>>
                                     m_waiting;  // for a probe, by server id
  // Nodes that started and are not, or as an earlier start, in m_members.
  std::map<std::string, StartedNode> m_started;  // by name
};

}  // namespace yuccawick::gateway

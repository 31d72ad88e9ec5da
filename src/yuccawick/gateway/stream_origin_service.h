// Finds out which software began a stream that a client resumes at this node.
//
// The node that passes on the first event of a stream tells a few nodes, which
// every node can derive from the attempt that brought the event. They are in
// different zones and are told without waiting for them, so the first event is
// not delayed. A node where the stream is resumed searches, in this order:
//
//   its own memory
//   the nodes that were told, for up to `origin_timeout` ms
//   the origins that are possible at all: if only one version has been listed
//     and the routes have not changed lately, no other can have begun it. The
//     node first asks the log whether it has followed it to the end, because
//     other nodes may already use servers that it does not know.
//
// While another origin is possible, nodes that were told keep what they were
// told in the log, and know it again after a restart; see durable_origins.h.
//
// An origin is never guessed: the stream is refused if none of these is sure.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "platform/store.h"
#include "yuccawick/gateway/durable_origins.h"
#include "yuccawick/gateway/peer_network.h"
#include "yuccawick/gateway/thresholds.h"
#include "yuccawick/programs/membership.h"
#include "yuccawick/traffic/manifest.h"
#include "yuccawick/traffic/software_history.h"
#include "yuccawick/traffic/stream_origins.h"

namespace yuccawick::gateway {

// Where the origin of a resumed stream is known from.
enum class OriginSource : std::uint8_t {
  kUnknown,
  kThisNode,
  kOtherNode,
  kSoleOrigin,  // no other one is possible
};
constexpr std::size_t kOriginSourceCount = 4;
std::string_view      Name(OriginSource source);

struct FoundOrigin {
  std::optional<traffic::StreamOrigin> origin;
  OriginSource                         source = OriginSource::kUnknown;
};

class StreamOriginService {
 public:
  StreamOriginService(net::EventLoop* loop, const Thresholds* thresholds,
                      platform::RecordLog*        store,
                      const programs::Membership* members, PeerNetwork* network,
                      DurableOrigins* durable_origins);

  // Reads what this node remembered before its start.
  void Start();
  // The first event of a stream is about to be passed on. `attempt` includes
  // its workspace.
  void Announce(const std::string&           attempt,
                const traffic::StreamOrigin& origin);
  // `attempt`: brought the first event; empty: the client did not name it.
  using FindDone = std::function<void(const FoundOrigin&)>;
  void Find(const std::string& attempt, const traffic::Route& route,
            FindDone done);

  void TakeManifest(const traffic::Manifest& manifest);
  void TakeSoftware(const traffic::SoftwareHistory& software);
  // All records of the topic before `offset` have been applied.
  void TakeFollowed(platform::Topic topic, std::int64_t offset) {
    m_followed[topic].applied = offset;
  }
  void SetLogReachable(bool reachable) { m_log_reachable = reachable; }

  void ReceiveBegun(PeerMessage::Reader message);
  void ServeFind(PeerMessage::Reader message, const PeerNetwork::Reply& reply);

 private:
  void AskHolders(const traffic::StreamKey& key, FindDone done);
  void FindSoleOrigin(const traffic::Route& route, const FindDone& done);
  // Whether all records of the topic that exist now have been applied, if
  // necessary after a wait until `give_up_at`.
  using ConfirmDone = std::function<void(bool)>;
  void ConfirmFollowed(platform::Topic topic, Time give_up_at,
                       ConfirmDone done);
  // Reads the end of the topic, once for all calls since the last read began;
  // empty if the log does not answer.
  using EndDone = std::function<void(std::optional<std::int64_t>)>;
  void ReadEnd(platform::Topic topic, EndDone done);
  void StartEndRead(platform::Topic topic);
  void WaitFollowed(platform::Topic topic, std::int64_t offset, Time give_up_at,
                    ConfirmDone done);
  // A topic of the log, as far as this node has followed it.
  struct FollowedTopic {
    std::int64_t         applied = 0;  // offset behind the last applied record
    bool                 reading_end = false;
    std::vector<EndDone> waiting;  // for the next read of the end
  };

  // The nodes that remember the stream, perhaps including this one.
  std::vector<programs::NodeInfo> Holders(const traffic::StreamKey& key) const;
  std::vector<programs::NodeInfo> OtherHolders(
      const traffic::StreamKey& key) const;
  // Remembers the stream for others.
  void Hold(const traffic::StreamKey& key, const traffic::StreamOrigin& origin);
  // Writes the remembered streams to the log whose origin is ambiguous by now.
  void SaveStreams();
  // Whether streams of the service may have begun under another origin.
  bool IsAmbiguous(const traffic::StreamOrigin& origin) const;

  net::EventLoop*                          m_loop;
  const Thresholds*                        m_thresholds;
  platform::RecordLog*                     m_store;
  const programs::Membership*              m_members;
  PeerNetwork*                             m_network;
  DurableOrigins*                          m_durable_origins;
  traffic::StreamOrigins                   m_origins;
  // ms within which all nodes have told which software they sent streams to.
  Duration                                 m_tell_window;
  traffic::SoftwareHistory                 m_software;
  // Services of resumable routes that have several.
  std::set<std::string>                    m_split_services;
  std::map<platform::Topic, FollowedTopic> m_followed;
  bool                                     m_log_reachable = true;
};

}  // namespace yuccawick::gateway

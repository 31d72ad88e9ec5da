// Remembers under which requests backend servers ended, and decides where such
// a request may be sent.
//
// A request can end each server that begins it, at once or some time after the
// send, and its client or program sends it again, at any node. Each node keeps
// marks: one for each pair of a request and a server start at which a send of
// it did not end with a whole answer. Marks of several nodes merge in any order
// and may be told repeatedly.
//
//   requests.Put(key, server, {SendState::kUnresolved, until}, now);
//   requests.OnRan(server, ran_at);   // what is found out about the server,
//   requests.MarkEnded(server, now);  // one of these three
//   requests.MarkSilent(server, now);
//   switch (requests.Judge(key, is_shared, usable_servers, now).verdict) ...
//
// What is known of a server, and what that permits:
//
//   ran at T   proves nothing about later times: the mark stays, and is
//              forgotten only if T lies at `until` or later. Meanwhile the
//              request may be sent to this server again.
//   ended      the mark counts for as long as the request is remembered
//   not known  the mark counts, and the request is not sent to this server
//
// At most kMaxServerEnds servers have a mark that counts, so no more can end
// under the request, whenever that is noticed. A request with as many marks is
// sent to marked servers that run, and refused if there are none.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "yuccawick/net/event_loop.h"
#include "yuccawick/traffic/request_key.h"

namespace yuccawick::traffic {

using net::Duration;
using net::Time;

// Servers that may end under one request, on all nodes together.
inline constexpr int         kMaxServerEnds = 3;
inline constexpr std::size_t kMaxSuspectRequests = 4096;
// Marks of one request; it is refused long before.
inline constexpr std::size_t kMaxMarks = 8;
// ms until a new start of a server under the name of the last one is known; an
// answer that comes sooner may be the new start's.
inline constexpr Duration    kRestartNotice = 1500;
// ms for which a whole answer shows that a shared request is harmless.
inline constexpr Duration    kAnswerMemory = 10'000;
// ms after `until` in which the node that sent the request tells what became of
// its mark. Then that node is taken to be gone.
inline constexpr Duration    kRemoteGrace = 10'000;

// What is known of a send of a request to one start of a server.
enum class SendState : std::uint8_t {
  kLeft,        // given up, of a request that others send too; counts only once
                // the server is found to have ended
  kUnderWay,    // of a request that has another mark
  kWatched,     // ended early; the server ran afterwards, but may still end
  kUnresolved,  // ended early; whether the server runs is not known
  kEnded,       // the server ended
};
constexpr std::size_t kSendStateCount = 5;
std::string_view      Name(SendState state);

struct SendMark {
  SendState state = SendState::kUnresolved;
  // A server that runs then has outlived the send. A send that is kUnderWay
  // becomes kUnresolved then. 0 with kEnded.
  Time      until = 0;
  bool      told = false;    // to the other nodes, or by one of them
  bool      remote = false;  // a send of another node
  Time      at = 0;          // of the last change; set by SuspectRequests
};

enum class SendVerdict : std::uint8_t {
  kSend,
  kResolve,  // too many servers are marked, and none of them is known to run
  kRefuse,   // too many servers ended
};
struct SendDecision {
  SendVerdict              verdict = SendVerdict::kSend;
  // With kSend: the only servers that may get the request; empty: any.
  std::vector<std::string> only;
};

class SuspectRequests {
 public:
  explicit SuspectRequests(Duration lifetime) : m_lifetime(lifetime) {}

  // What says more about the server replaces what says less. Returns whether
  // the mark is new or changed.
  bool Put(const RequestKey& key, const std::string& server,
           const SendMark& mark, Time now);
  // The send counts no more.
  void Withdraw(const RequestKey& key, const std::string& server);
  // The same, unless the send is one of this node.
  void WithdrawRemote(const RequestKey& key, const std::string& server);
  // A server answered a shared request completely. Forgets its marks.
  void SetAnswered(const RequestKey& key, Time now);
  // The server answered what was sent to it at `ran_at`. Returns the requests
  // that lost a mark there which others were told of.
  std::vector<RequestKey> OnRan(const std::string& server, Time ran_at);
  // Returns the requests that were under the server.
  std::vector<RequestKey> MarkEnded(const std::string& server, Time now);
  // The server answers nothing. Returns the requests that may have been under
  // it.
  std::vector<RequestKey> MarkSilent(const std::string& server, Time now);
  // The server leaves as planned: no request causes its end from now on.
  void                    OnLeaving(const std::string& server);

  // Whether the marks of all nodes are known. While they are not, a request may
  // have one mark that counts instead of kMaxServerEnds.
  void         SetComplete(bool complete) { m_complete = complete; }
  // `is_shared`: callers that have nothing to do with each other may send it,
  // so that one of its sends says little about another one. `usable_servers`:
  // ids, of its service.
  SendDecision Judge(const RequestKey& key, bool is_shared,
                     const std::vector<std::string>& usable_servers,
                     Time                            now) const;
  // Whether a mark other than kLeft is known.
  bool         IsSuspect(const RequestKey& key, Time now) const;
  // Number of servers that ended under the request or may still do so.
  int          CountOpenAndEnded(const RequestKey& key) const;
  // Whether the server may still end under the send.
  static bool  IsOpen(const SendMark& mark);
  // Number of servers that ended under the request.
  int          CountEnds(const RequestKey& key) const;
  bool         HasMarks(const std::string& server) const {
            return m_by_server.contains(server);
  }
  // The requests with a mark at the server.
  std::vector<RequestKey>  Under(const std::string& server) const;
  // Whether it is this node's task to find out what became of the server.
  bool                     HasOwnMarks(const std::string& server) const;
  // Servers with open marks that were not seen to run at `until` or later: own
  // marks, and those that their own node did not resolve for kRemoteGrace.
  std::vector<std::string> ServersToAsk(Time now) const;
  // Servers at which other suspect requests are under way. A suspect request
  // that is sent to another one does not end together with them.
  std::vector<std::string> ServersOfOthers(const RequestKey& key,
                                           Time              now) const;
  using Marks = std::map<std::string, SendMark>;  // by server id
  // nullptr if there are none.
  const Marks*            Find(const RequestKey& key) const;
  // The requests that other nodes should know of.
  std::vector<RequestKey> TellableRequests() const;
  void                    SetTold(const RequestKey& key);

  void        DropExpired(Time now);
  std::size_t size() const { return m_requests.size(); }

 private:
  struct Request {
    Marks marks;
    Time  changed_at = 0;
  };
  struct KeyHash {
    std::size_t operator()(const RequestKey& key) const { return key.low; }
  };
  using Requests = std::unordered_map<RequestKey, Request, KeyHash>;

  // Whether what is known `now` replaces what was known of the same send.
  static bool      Replaces(SendState now, SendState before);
  static bool      HasLapsed(const SendMark& mark, Time now);
  static SendState StateAt(const SendMark& mark, Time now);
  static bool      IsCounted(const Request& request);
  // Whether a whole answer to the request was seen lately.
  bool             WasAnswered(const RequestKey& key, Time now) const;
  void             EraseMark(const RequestKey& key, const std::string& server);
  void             Erase(Requests::iterator request);
  // Whether the request may have one more mark.
  bool             MakeRoomFor(const RequestKey& key, Marks* marks);
  // Drops the oldest request, if possible one whose marks don't count.
  void             MakeRoom();

  Duration                                                 m_lifetime;
  bool                                                     m_complete = true;
  Requests                                                 m_requests;
  std::unordered_map<std::string, std::vector<RequestKey>> m_by_server;
  std::unordered_map<RequestKey, Time, KeyHash>            m_answered;
};

}  // namespace yuccawick::traffic

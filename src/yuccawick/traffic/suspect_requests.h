// Remembers under which requests backend servers ended, and decides whether
// such a request may be sent to another server.
//
// A request can end each server that begins it, and its client or program sends
// it again, at any node. So that it ends at most kMaxServerEnds servers, each
// node keeps marks: one for each pair of a request and a server start, with
// what is known of the send. Marks of several nodes merge in any order and may
// be told repeatedly.
//
//   requests.Put(key, server, {SendState::kUnresolved}, now);  // it broke off
//   requests.MarkEnded(server, now);     // the server's connections are
//   refused requests.Refute(server, now);        // or it answers switch
//   (requests.Judge(key, is_shared, usable_servers, now)) ...
//
// A mark counts as an end until the server is known to run: a request that
// stood beside the end of a server has a mark too, and is served elsewhere.
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

// What is known of a send of a request to one start of a server.
enum class SendState : std::uint8_t {
  kLeft,        // given up by this node before the server answered; counts only
                // if the server is found to have ended shortly afterwards
  kUnderWay,    // of a request that has another mark
  kUnresolved,  // broke off; whether the server ended is not known
  kEnded,       // the server ended
};
constexpr std::size_t kSendStateCount = 4;
std::string_view      Name(SendState state);

struct SendMark {
  SendState state = SendState::kUnresolved;
  // A mark that is kLeft is forgotten then, one that is kUnderWay becomes
  // kUnresolved; 0: stays.
  Time      until = 0;
  bool      told = false;  // to the other nodes, or by one of them
  Time      at = 0;        // of the last change; set by SuspectRequests
};

enum class SendVerdict : std::uint8_t {
  kSend,
  kResolve,  // too many sends are under way or unresolved: find out first
  kRefuse,   // too many servers ended
};

class SuspectRequests {
 public:
  explicit SuspectRequests(Duration lifetime) : m_lifetime(lifetime) {}

  // What says more about the server replaces what says less. Returns whether
  // the mark is new or changed.
  bool Put(const RequestKey& key, const std::string& server,
           const SendMark& mark, Time now);
  // The server still runs the request's start, so the send counts no more.
  void Withdraw(const RequestKey& key, const std::string& server);
  // Forgets the request.
  void Clear(const RequestKey& key);
  // The server answered what was sent to it after `sent_at`, so its marks until
  // then count no more. Returns the requests that lost one which others were
  // told of.
  std::vector<RequestKey> Refute(const std::string& server, Time sent_at);
  // Returns the requests that were under the server.
  std::vector<RequestKey> MarkEnded(const std::string& server, Time now);
  // The server answers nothing. Returns the requests that may have been under
  // it.
  std::vector<RequestKey> MarkSilent(const std::string& server, Time now);

  // `is_shared`: callers that have nothing to do with each other may send it,
  // so that one of its sends under way says nothing about another one.
  // `usable_servers`: of its service.
  SendVerdict             Judge(const RequestKey& key, bool is_shared,
                                std::size_t usable_servers, Time now) const;
  // The requests with a mark at the server.
  std::vector<RequestKey> Under(const std::string& server) const {
    return RequestsAt(server);
  }
  // Whether a mark other than kLeft is known.
  bool IsSuspect(const RequestKey& key, Time now) const;
  // Number of servers that ended under the request.
  int  CountEnds(const RequestKey& key) const;
  bool HasMarks(const std::string& server) const {
    return m_by_server.contains(server);
  }
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
  static bool             Replaces(SendState now, SendState before);
  static bool             HasLapsed(const SendMark& mark, Time now);
  static SendState        StateAt(const SendMark& mark, Time now);
  static bool             IsCounted(const Request& request);
  std::vector<RequestKey> RequestsAt(const std::string& server) const;
  void EraseMark(const RequestKey& key, const std::string& server);
  void Erase(Requests::iterator request);
  // Whether the request may have one more mark.
  bool MakeRoomFor(const RequestKey& key, Marks* marks);
  // Drops the oldest request, if possible one whose marks don't count.
  void MakeRoom();

  Duration                                                 m_lifetime;
  Requests                                                 m_requests;
  std::unordered_map<std::string, std::vector<RequestKey>> m_by_server;
};

}  // namespace yuccawick::traffic

// Follows what the operator and the backend servers publish, on the control
// thread: the manifest and the list of servers.
//
// Each topic is read whole once, then its log is followed from there. A topic
// whose records are gone is read whole again. The manifest never goes back to
// an older version while the process lives.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "platform/store.h"
#include "yuccawick/gateway/log.h"
#include "yuccawick/programs/membership.h"
#include "yuccawick/traffic/directory.h"
#include "yuccawick/traffic/manifest.h"

namespace yuccawick::gateway {

using net::Duration;
using net::Time;

// Follows one keyed topic. `on_record` sees every record in order, `on_listing`
// the end of each whole reading with the keys it saw.
class TopicFollower {
 public:
  struct Callbacks {
    std::function<void(const platform::LogRecord&)> on_record;
    std::function<void()>                           on_listing_began;
    std::function<void()>                           on_listing_ended;
    std::function<void(bool)>                       on_reachable;
    // All that was written before this moment has been told.
    std::function<void(Time)>                       on_current;
  };
  // `wait`: ms a read waits for the first record. `pause`: ms between two
  // readings that brought something.
  struct PollSettings {
    Duration wait = 0;
    Duration pause = 0;
  };
  // `name` says in logs what the topic holds.
  TopicFollower(net::EventLoop* loop, platform::Store* store, Log* log,
                platform::Topic topic, std::string name, PollSettings pace,
                Callbacks callbacks);
  void Start();

 private:
  void List(const std::string& after, Time began);
  void Follow();
  void Again(Duration delay, void (TopicFollower::*step)());
  void Restart();
  void NoteReachable(bool reachable);

  net::EventLoop*  m_loop;
  platform::Store* m_store;
  platform::Topic  m_topic;
  PollSettings     m_pace;
  Callbacks        m_callbacks;
  Log*             m_log;
  std::string      m_name;
  bool             m_reachable = true;
  std::int64_t     m_next = 0;
  bool             m_first_page = true;
};

// Publishes manifests and server lists to whoever serves traffic.
class Follower {
 public:
  struct Outputs {
    std::function<void(traffic::ManifestPtr)>   manifest;
    std::function<void(traffic::ServerListPtr)> servers;
    // A node announced itself, or, without a value, left.
    std::function<void(std::string, std::optional<programs::NodeInfo>)> node;
    // Whether the log answers; told when that changes.
    std::function<void(bool)> log_reachable;
    // All manifests that were written before this moment have been told.
    std::function<void(Time)> manifest_current;
  };
  // `key_bound`: how old the manifest may be, in ms; nothing: any age.
  Follower(net::EventLoop* loop, platform::Store* store, Log* log,
           Outputs outputs, std::optional<Duration> key_bound = std::nullopt);
  void Start();

 private:
  void NoteLogReachable(bool reachable);
  void TakeManifest(const platform::LogRecord& record);
  void TakeNode(const platform::LogRecord& record);
  void TakeServer(const platform::LogRecord& record);
  bool IsRenewal(const platform::LogRecord& record);
  void EndServerListing();
  void PublishServers();
  void Tick();

  net::EventLoop*                                m_loop;
  Log*                                           m_log;
  Outputs                                        m_outputs;
  traffic::Directory                             m_directory;
  traffic::ServerList                            m_listing;
  // By entry: a hash of what was read there last, but for its renewal.
  std::unordered_map<std::string, std::uint64_t> m_entry_hashes;
  bool                                           m_listing_servers = false;
  bool                                           m_servers_known = false;
  std::int64_t  m_version = -1;       // of the manifest in force
  std::uint64_t m_manifest_hash = 0;  // of the last record of one
  bool          m_log_reachable = true;
  TopicFollower m_operator;
  TopicFollower m_servers;
  TopicFollower m_nodes;
};

}  // namespace yuccawick::gateway

// Follows the manifest, the list of backend servers and the list of nodes in
// the platform's log; runs on the control thread.
//
// Each topic is listed once, then followed from the offset of the listing. If
// the next records have expired, the topic is listed again. The manifest never
// reverts to an older version during the life of the process.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "platform/store.h"
#include "yuccawick/gateway/log.h"
#include "yuccawick/gateway/origin_records.h"
#include "yuccawick/programs/membership.h"
#include "yuccawick/traffic/directory.h"
#include "yuccawick/traffic/manifest.h"
#include "yuccawick/traffic/software_history.h"

namespace yuccawick::gateway {

using net::Duration;
using net::Time;

// Follows one keyed topic. `on_record` receives every record in order; listings
// are bracketed by `on_listing_began` and `on_listing_ended`.
class TopicFollower {
 public:
  struct Callbacks {
    std::function<void(const platform::LogRecord&)> on_record;
    std::function<void()>                           on_listing_began;
    std::function<void()>                           on_listing_ended;
    std::function<void(bool)>                       on_reachable;
    // Every record written before this time has been delivered.
    std::function<void(Time)>                       on_current;
    // Every record before this offset has been delivered.
    std::function<void(std::int64_t)>               on_followed;
  };
  // `wait`: longest time that a read waits for a record, in ms. `pause`: delay
  // after a read that returned records, in ms.
  struct PollSettings {
    Duration wait = 0;
    Duration pause = 0;
  };
  // `name` identifies the topic in log lines.
  TopicFollower(net::EventLoop* loop, platform::Store* store, Log* log,
                platform::Topic topic, std::string name, PollSettings poll,
                Callbacks callbacks);
  void Start();

 private:
  void List(const std::string& after, Time began);
  void Follow();
  void Schedule(Duration delay, void (TopicFollower::*step)());
  void Restart();
  void UpdateReachability(bool reachable);
  void RetryList(const platform::StoreError& error);
  void LogUnreadable(int items);

  net::EventLoop*  m_loop;
  platform::Store* m_store;
  platform::Topic  m_topic;
  PollSettings     m_poll;
  Callbacks        m_callbacks;
  Log*             m_log;
  std::string      m_name;
  Duration         m_list_delay;  // ms, after a listing that fails
  bool             m_reachable = true;
  std::int64_t     m_next_offset = 0;
  bool             m_first_page = true;
};

// Decodes the followed topics and passes changes to the callbacks in Outputs,
// on the control thread.
class Follower {
 public:
  struct Outputs {
    std::function<void(traffic::ManifestPtr)>   manifest;
    std::function<void(traffic::ServerListPtr)> servers;
    // A node joined or, without a value, left.
    std::function<void(std::string, std::optional<programs::NodeInfo>)> node;
    // Called when the log becomes reachable or unreachable.
    std::function<void(bool)>                          log_reachable;
    // Every manifest written before this time has been delivered.
    std::function<void(Time)>                          manifest_current;
    // Which software may have begun a stream changed. A later value includes
    // the earlier ones.
    std::function<void(traffic::SoftwareHistory)>      software;
    // Every record of the manifest or the servers before this offset has been
    // delivered.
    std::function<void(platform::Topic, std::int64_t)> followed;
    // A record of Topic::kHistory.
    std::function<void(platform::LogRecord)>           history;
    // Every record of Topic::kHistory that existed at the start of this node
    // has been delivered.
    std::function<void()>                              history_listed;
  };
  // `key_bound`: largest age of the manifest, in ms; none: any age.
  Follower(net::EventLoop* loop, platform::Store* store, Log* log,
           Outputs outputs, std::optional<Duration> key_bound = std::nullopt);
  void Start();

 private:
  void UpdateLogReachability(bool reachable);
  void HandleHistory(const platform::LogRecord& record);
  void PublishOrigins(const traffic::PossibleOrigins& origins);
  void HandleManifest(const platform::LogRecord& record);
  void HandleNode(const platform::LogRecord& record);
  void HandleServer(const platform::LogRecord& record);
  bool IsRenewal(const platform::LogRecord& record);
  void EndServerListing();
  void PublishServers();
  void Tick();

  net::EventLoop*                                m_loop;
  platform::Store*                               m_store;
  Log*                                           m_log;
  Outputs                                        m_outputs;
  traffic::Directory                             m_directory;
  traffic::ServerList                            m_listing;
  // Hash of each server's last entry without its renewal time, by key.
  std::unordered_map<std::string, std::uint64_t> m_entry_hashes;
  bool                                           m_listing_servers = false;
  bool                                           m_listing_manifest = false;
  bool                     m_servers_listed = false;  // and not published since
  traffic::VersionHistory  m_version_history;
  traffic::RouteHistory    m_route_history;
  traffic::SoftwareHistory m_software;
  OriginRecords            m_origin_records;
  std::set<std::string>    m_node_names;
  bool                     m_servers_known = false;
  std::int64_t             m_version = -1;       // of the manifest in force
  std::uint64_t            m_manifest_hash = 0;  // of the last manifest record
  bool                     m_log_reachable = true;
  TopicFollower            m_manifest_topic;
  TopicFollower            m_servers;
  TopicFollower            m_nodes;
  TopicFollower            m_history;
};

}  // namespace yuccawick::gateway

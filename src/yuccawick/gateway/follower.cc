#include "yuccawick/gateway/follower.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "platform/manifest_codec.h"
#include "yuccawick/programs/record.h"

namespace yuccawick::gateway {
namespace {

using platform::LogRecord;
using platform::NewestPage;
using platform::ReadPage;
using platform::StoreFailure;
using platform::StoreResult;
using platform::Topic;

// Short enough that a dead connection is noticed and a change still takes
// effect within 2 s of its acknowledgement.
constexpr Duration kMaxReadWait = 800;  // ms that a read waits for a record
// An answer is as old as its request, so reads must be short where the age of
// the manifest is bounded: two reads and a lost one must fit.
constexpr Duration kReadsPerBound = 10;
// ms added to the wait: the time of a slow answer.
constexpr Duration kResponseMargin = 500;
// Nodes change rarely, and no change is needed at once.
constexpr Duration kNodesWait = 4000;    // ms
constexpr Duration kNodesPause = 500;    // ms
constexpr Duration kHistoryPause = 100;  // ms
constexpr Duration kListTimeout = 1000;  // ms
constexpr Duration kRetryDelay = 120;    // ms after a failure
// ms after pages that cannot be read; the delay doubles up to this.
constexpr Duration kMaxListDelay = 2000;
constexpr Duration kManifestPause = 20;  // ms; manifests are rare
// Servers renew their entries continuously; batching the renewals saves calls.
// Must stay well below the 2 s in which a leaving server stops receiving work.
constexpr Duration kServersPause = 300;    // ms
constexpr Duration kExpiryInterval = 100;  // ms; for expired servers

Duration ManifestReadWait(std::optional<Duration> key_bound) {
  return std::min(
      kMaxReadWait,
      key_bound.value_or(kMaxReadWait * kReadsPerBound) / kReadsPerBound);
}

}  // namespace

TopicFollower::TopicFollower(net::EventLoop* loop, platform::Store* store,
                             Log* log, Topic topic, std::string name,
                             PollSettings poll, Callbacks callbacks)
    : m_loop(loop),
      m_store(store),
      m_topic(topic),
      m_poll(poll),
      m_callbacks(std::move(callbacks)),
      m_log(log),
      m_name(std::move(name)),
      m_list_delay(kRetryDelay) {}

void TopicFollower::Start() { Restart(); }

void TopicFollower::Restart() {
  m_first_page = true;
  List({}, m_loop->now());
}

void TopicFollower::Schedule(Duration delay, void (TopicFollower::*step)()) {
  m_loop->After(delay, [this, step] { (this->*step)(); });
}

void TopicFollower::UpdateReachability(bool reachable) {
  m_callbacks.on_reachable(reachable);
  if (reachable == m_reachable) return;
  m_reachable = reachable;
  m_log->Write(reachable ? LogEvent::kLogBack : LogEvent::kLogLost,
               {{"partition", m_name}, {"call", "follow"}});
}

void TopicFollower::List(const std::string& after, Time began) {
  m_store->Newest(m_topic, after, kListTimeout,
                  [this, began](const StoreResult<NewestPage>& result) {
                    UpdateReachability(result.has_value());
                    if (!result) {
                      RetryList(result.error());
                      return;
                    }
                    m_list_delay = kRetryDelay;
                    LogUnreadable(result->unreadable);
                    // Pages are not a consistent snapshot. Following from the
                    // end of the first page replays what changed in between.
                    if (std::exchange(m_first_page, false)) {
                      m_next_offset = result->end;
                      m_callbacks.on_listing_began();
                    }
                    for (const LogRecord& record : result->records) {
                      m_callbacks.on_record(record);
                    }
                    if (result->more && !result->records.empty()) {
                      List(result->records.back().key, began);
                      return;
                    }
                    m_callbacks.on_listing_ended();
                    m_callbacks.on_current(began);
                    m_callbacks.on_followed(m_next_offset);
                    Follow();
                  });
}

// A page that cannot be read does not get better by asking often.
void TopicFollower::RetryList(const platform::StoreError& error) {
  const bool undecodable = error.failure == StoreFailure::kUndecodable;
  if (undecodable) {
    m_log->Write(LogEvent::kFault, {{"what", "undecodable page"},
                                    {"partition", m_name},
                                    {"status", error.status}});
  }
  Schedule(m_list_delay, &TopicFollower::Restart);
  m_list_delay =
      undecodable ? std::min(2 * m_list_delay, kMaxListDelay) : kRetryDelay;
}

void TopicFollower::LogUnreadable(int items) {
  if (items == 0) return;
  m_log->Write(LogEvent::kFault, {{"what", "undecodable items in a page"},
                                  {"partition", m_name},
                                  {"count", items}});
}

void TopicFollower::Follow() {
  // After a failure the read does not wait for a record, so that recovery is
  // noticed at once.
  const Duration wait = m_reachable ? m_poll.wait : 0;
  m_store->Read(
      m_topic, 0,
      {m_next_offset, platform::kPageBytes, wait, platform::CallKind::kFollow},
      wait + kResponseMargin,
      [this, began = m_loop->now()](const StoreResult<ReadPage>& result) {
        if (!result && result.error().failure == StoreFailure::kExpired) {
          Restart();
          return;
        }
        UpdateReachability(result.has_value());
        if (!result) {
          Schedule(kRetryDelay, &TopicFollower::Follow);
          return;
        }
        for (const LogRecord& record : result->records) {
          m_callbacks.on_record(record);
        }
        m_next_offset = result->next;
        if (result->end < m_next_offset) {
          // The log was truncated: list the topic again.
          Restart();
          return;
        }
        if (result->end == m_next_offset) m_callbacks.on_current(began);
        m_callbacks.on_followed(m_next_offset);
        Schedule(result->records.empty() ? 0 : m_poll.pause,
                 &TopicFollower::Follow);
      });
}

Follower::Follower(net::EventLoop* loop, platform::Store* store, Log* log,
                   Outputs outputs, std::optional<Duration> key_bound)
    : m_loop(loop),
      m_store(store),
      m_log(log),
      m_outputs(std::move(outputs)),
      m_origin_records(loop, store, log,
                       [this](const traffic::PossibleOrigins& origins) {
                         PublishOrigins(origins);
                       }),
      m_manifest_topic(
          loop, store, log, Topic::kOperator, "manifest",
          {ManifestReadWait(key_bound), kManifestPause},
          {[this](const LogRecord& record) { HandleManifest(record); },
           [this] { m_listing_manifest = true; },
           [this] { m_listing_manifest = false; },
           [this](bool reachable) { UpdateLogReachability(reachable); },
           [this](Time as_of) { m_outputs.manifest_current(as_of); },
           [this](std::int64_t offset) {
             m_outputs.followed(Topic::kOperator, offset);
           }}),
      m_servers(loop, store, log, Topic::kServers, "servers",
                {kMaxReadWait, kServersPause},
                {[this](const LogRecord& record) { HandleServer(record); },
                 [this] {
                   m_listing_servers = true;
                   m_entry_hashes.clear();
                   m_listing.clear();
                 },
                 [this] { EndServerListing(); },
                 [this](bool reachable) {
                   m_directory.SetReachable(reachable, m_loop->now());
                 },
                 [](Time) {},
                 [this](std::int64_t offset) {
                   m_outputs.followed(Topic::kServers, offset);
                 }}),
      m_nodes(loop, store, log, Topic::kNodes, "nodes",
              {kNodesWait, kNodesPause},
              {[this](const LogRecord& record) { HandleNode(record); }, [] {},
               [] {}, [](bool) {}, [](Time) {}, [](std::int64_t) {}}),
      m_history(
          loop, store, log, Topic::kHistory, "history",
          {kNodesWait, kHistoryPause},
          {[this](const LogRecord& record) { HandleHistory(record); }, [] {},
           [this] {
             m_origin_records.EndListing();
             m_outputs.history_listed();
           },
           [](bool) {}, [](Time) {}, [](std::int64_t) {}}) {}

void Follower::HandleHistory(const LogRecord& record) {
  if (!m_origin_records.Take(record)) m_outputs.history(record);
}

void Follower::PublishOrigins(const traffic::PossibleOrigins& origins) {
  m_software.origins =
      std::make_shared<const traffic::PossibleOrigins>(origins);
  m_outputs.software(m_software);
}

void Follower::UpdateLogReachability(bool reachable) {
  if (std::exchange(m_log_reachable, reachable) != reachable) {
    m_outputs.log_reachable(reachable);
  }
}

void Follower::Start() {
  m_manifest_topic.Start();
  m_servers.Start();
  m_nodes.Start();
  m_history.Start();
  Tick();
}

void Follower::Tick() {
  m_directory.Expire(m_loop->now());
  m_origin_records.DropExpired();
  PublishServers();
  m_log->Flush();
  m_loop->After(kExpiryInterval, [this] { Tick(); });
}

void Follower::HandleManifest(const LogRecord& record) {
  if (!platform::IsManifest(record) || record.removed) return;
  // A listing repeats the current manifest, which may be large.
  const auto hash = XXH3_64bits(record.value.data(), record.value.size());
  if (std::exchange(m_manifest_hash, hash) == hash) return;
  const auto manifest = platform::DecodeManifest(record.value);
  if (!manifest) {
    m_log->Write(LogEvent::kFault, {{"what", "undecodable manifest"},
                                    {"detail", manifest.error().detail}});
    return;
  }
  // A late or repeated record must not revert the manifest to an older version
  // whose replacement clients have already seen.
  if ((*manifest)->version <= m_version) return;
  m_version = (*manifest)->version;
  m_log->Write(LogEvent::kManifest, {{"version", m_version},
                                     {"routes", (*manifest)->routes.size()},
                                     {"offset", record.offset}});
  OriginRecords::Origins origins;
  for (const traffic::Route& route : (*manifest)->routes) {
    if (!route.resumable) continue;
    for (const traffic::WeightedService& each : route.services) {
      origins.insert(
          traffic::RouteOrigin(route.host, route.path_prefix, each.service));
    }
  }
  m_outputs.manifest(*manifest);
  m_route_history.TakeManifest(**manifest, m_listing_manifest, m_loop->now());
  m_software.routes =
      std::make_shared<const traffic::RouteHistory>(m_route_history);
  m_outputs.software(m_software);
  m_origin_records.SetRoutes(std::move(origins));
}

void Follower::HandleNode(const LogRecord& record) {
  if (record.removed) {
    m_node_names.erase(record.key);
    m_origin_records.SetNodeCount(m_node_names.size());
    m_outputs.node(record.key, std::nullopt);
    return;
  }
  const auto node = platform::IsPlainKey(record.key)
                        ? programs::DecodeNode(record.key, record.value)
                        : std::nullopt;
  if (!node) {
    m_log->Write(LogEvent::kFault,
                 {{"what", "undecodable node"}, {"peer", record.key}});
    return;
  }
  m_log->Write(LogEvent::kPeer, {{"peer", node->name},
                                 {"state", "announced"},
                                 {"address", node->address.Text()}});
  m_node_names.insert(record.key);
  m_origin_records.SetNodeCount(m_node_names.size());
  m_outputs.node(record.key, node);
}

// True if only the renewal time of the entry changed. Such entries are frequent
// and are not decoded.
bool Follower::IsRenewal(const LogRecord& record) {
  const std::string text = platform::WithoutRenewal(record.value);
  const auto        hash = XXH3_64bits(text.data(), text.size());
  const auto [entry, added] = m_entry_hashes.try_emplace(record.key, hash);
  return !added && std::exchange(entry->second, hash) == hash;
}

void Follower::HandleServer(const LogRecord& record) {
  if (record.removed) {
    m_log->Write(LogEvent::kServers, {{"server", record.key},
                                      {"state", "removed"},
                                      {"offset", record.offset}});
    m_entry_hashes.erase(record.key);
    m_directory.Remove(record.key, m_loop->now());
    if (!m_listing_servers) PublishServers();
    return;
  }
  if (!m_listing_servers && IsRenewal(record)) return;
  const auto server = platform::DecodeServer(record.key, record.value);
  if (!server) {
    m_log->Write(LogEvent::kFault, {{"what", "undecodable server"},
                                    {"server", record.key},
                                    {"detail", server.error().detail}});
    m_entry_hashes.erase(record.key);
    m_directory.Drop(record.key);
    if (!m_listing_servers) PublishServers();
    return;
  }
  if (m_listing_servers) {
    m_listing.push_back(*server);
    return;
  }
  m_directory.Put(*server);
  PublishServers();
}

void Follower::EndServerListing() {
  m_listing_servers = false;
  m_servers_listed = true;
  m_directory.ReplaceAll(m_listing, m_loop->now());
  m_servers_known = true;
  PublishServers();
}

void Follower::PublishServers() {
  if (!m_servers_known) return;
  const bool listed = std::exchange(m_servers_listed, false);
  const bool changed = m_directory.TakeChange();
  if (!changed && !listed) return;
  const auto list = m_directory.List();
  m_version_history.TakeServers(*list, listed, m_loop->now());
  m_software.versions =
      std::make_shared<const traffic::VersionHistory>(m_version_history);
  m_outputs.software(m_software);
  OriginRecords::Origins origins;
  for (const auto& server : *list)
    origins.insert(traffic::VersionOrigin(server));
  m_origin_records.SetVersions(std::move(origins));
  if (!changed) return;
  int draining = 0;
  for (const auto& server : *list) draining += server.draining ? 1 : 0;
  m_log->Write(LogEvent::kServers,
               {{"count", list->size()}, {"draining", draining}});
  m_outputs.servers(list);
}

}  // namespace yuccawick::gateway

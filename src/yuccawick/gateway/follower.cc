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

// A change must be in force within 2 s of its acknowledgement. A read waits for
// the next record for up to a second, so that a connection that went silent is
// noticed in time; with the pause the whole stays below that bound.
constexpr Duration kWait = 800;  // ms, for the first record
// A read tells how matters stood when it was sent, so it may not wait for long
// where the age of the manifest is bounded: two reads in a row and one that is
// lost have to fit before clients are sent elsewhere.
constexpr Duration kReadsPerBound = 10;
constexpr Duration kAnswerTime = 500;  // ms beyond it; a slow answer's time
// Nodes come and go rarely, and nothing depends on knowing them at once.
constexpr Duration kNodesWait = 4000;    // ms
constexpr Duration kNodesPause = 500;    // ms
constexpr Duration kListTimeout = 1000;  // ms
constexpr Duration kRetryDelay = 120;    // ms after a failure
constexpr Duration kManifestPause = 20;  // ms; manifests are rare
// Servers renew their entries all the time; reading a few renewals at once
// costs fewer calls, and 300 ms is small against the 2 s in which a leaving
// server must get no more work.
constexpr Duration kServersPause = 300;
constexpr Duration kTick = 100;  // ms; for removals that come due

Duration ManifestWait(std::optional<Duration> key_bound) {
  return std::min(kWait,
                  key_bound.value_or(kWait * kReadsPerBound) / kReadsPerBound);
}

}  // namespace

TopicFollower::TopicFollower(net::EventLoop* loop, platform::Store* store,
                             Log* log, Topic topic, std::string name,
                             PollSettings pace, Callbacks callbacks)
    : m_loop(loop),
      m_store(store),
      m_topic(topic),
      m_pace(pace),
      m_callbacks(std::move(callbacks)),
      m_log(log),
      m_name(std::move(name)) {}

void TopicFollower::Start() { Restart(); }

void TopicFollower::Restart() {
  m_first_page = true;
  List({}, m_loop->now());
}

void TopicFollower::Again(Duration delay, void (TopicFollower::*step)()) {
  m_loop->After(delay, [this, step] { (this->*step)(); });
}

void TopicFollower::NoteReachable(bool reachable) {
  m_callbacks.on_reachable(reachable);
  if (reachable == m_reachable) return;
  m_reachable = reachable;
  m_log->Write(reachable ? LogEvent::kLogBack : LogEvent::kLogLost,
               {{"partition", m_name}, {"call", "follow"}});
}

void TopicFollower::List(const std::string& after, Time began) {
  m_store->Newest(m_topic, after, kListTimeout,
                  [this, began](const StoreResult<NewestPage>& result) {
                    NoteReachable(result.has_value());
                    if (!result) {
                      Again(kRetryDelay, &TopicFollower::Restart);
                      return;
                    }
                    // Pages are no snapshot: following from the end of the
                    // first one repeats what changed between them.
                    if (std::exchange(m_first_page, false)) {
                      m_next = result->end;
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
                    Follow();
                  });
}

void TopicFollower::Follow() {
  // After a failure an answer at once shows that the log is back; one that
  // waits for a record shows it that much later.
  const Duration wait = m_reachable ? m_pace.wait : 0;
  m_store->Read(
      m_topic, 0,
      {m_next, platform::kPageBytes, wait, platform::CallKind::kFollow},
      wait + kAnswerTime,
      [this, began = m_loop->now()](const StoreResult<ReadPage>& result) {
        if (!result && result.error().failure == StoreFailure::kExpired) {
          Restart();
          return;
        }
        NoteReachable(result.has_value());
        if (!result) {
          Again(kRetryDelay, &TopicFollower::Follow);
          return;
        }
        for (const LogRecord& record : result->records) {
          m_callbacks.on_record(record);
        }
        m_next = result->next;
        if (result->end < m_next) {
          // The log is shorter than what was read of it: read it whole again.
          Restart();
          return;
        }
        if (result->end == m_next) m_callbacks.on_current(began);
        Again(result->records.empty() ? 0 : m_pace.pause,
              &TopicFollower::Follow);
      });
}

Follower::Follower(net::EventLoop* loop, platform::Store* store, Log* log,
                   Outputs outputs, std::optional<Duration> key_bound)
    : m_loop(loop),
      m_log(log),
      m_outputs(std::move(outputs)),
      m_operator(
          loop, store, log, Topic::kOperator, "manifest",
          {ManifestWait(key_bound), kManifestPause},
          {[this](const LogRecord& record) { TakeManifest(record); }, [] {},
           [] {}, [this](bool reachable) { NoteLogReachable(reachable); },
           [this](Time as_of) { m_outputs.manifest_current(as_of); }}),
      m_servers(loop, store, log, Topic::kServers, "servers",
                {kWait, kServersPause},
                {[this](const LogRecord& record) { TakeServer(record); },
                 [this] {
                   m_listing_servers = true;
                   m_entry_hashes.clear();
                   m_listing.clear();
                 },
                 [this] { EndServerListing(); },
                 [this](bool reachable) {
                   m_directory.SetReachable(reachable, m_loop->now());
                 },
                 [](Time) {}}),
      m_nodes(loop, store, log, Topic::kNodes, "nodes",
              {kNodesWait, kNodesPause},
              {[this](const LogRecord& record) { TakeNode(record); }, [] {},
               [] {}, [](bool) {}, [](Time) {}}) {}

void Follower::NoteLogReachable(bool reachable) {
  if (std::exchange(m_log_reachable, reachable) != reachable) {
    m_outputs.log_reachable(reachable);
  }
}

void Follower::Start() {
  m_operator.Start();
  m_servers.Start();
  m_nodes.Start();
  Tick();
}

void Follower::Tick() {
  m_directory.Expire(m_loop->now());
  PublishServers();
  m_log->Flush();
  m_loop->After(kTick, [this] { Tick(); });
}

void Follower::TakeManifest(const LogRecord& record) {
  if (!platform::IsManifest(record) || record.removed) return;
  // A listing brings the manifest in force again, which may be large.
  const auto hash = XXH3_64bits(record.value.data(), record.value.size());
  if (std::exchange(m_manifest_hash, hash) == hash) return;
  const auto manifest = platform::DecodeManifest(record.value);
  if (!manifest) {
    m_log->Write(LogEvent::kFault, {{"what", "undecodable manifest"},
                                    {"detail", manifest.error().detail}});
    return;
  }
  // A late or repeated record must not bring back an older version: clients
  // have seen the effects of the newer one.
  if ((*manifest)->version <= m_version) return;
  m_version = (*manifest)->version;
  m_log->Write(LogEvent::kManifest, {{"version", m_version},
                                     {"routes", (*manifest)->routes.size()},
                                     {"offset", record.offset}});
  m_outputs.manifest(*manifest);
}

void Follower::TakeNode(const LogRecord& record) {
  if (record.removed) {
    m_outputs.node(record.key, std::nullopt);
    return;
  }
  const auto node = programs::DecodeNode(record.key, record.value);
  if (!node) {
    m_log->Write(LogEvent::kFault,
                 {{"what", "undecodable node"}, {"peer", record.key}});
    return;
  }
  m_log->Write(LogEvent::kPeer, {{"peer", node->name},
                                 {"state", "announced"},
                                 {"address", node->address.Text()}});
  m_outputs.node(record.key, node);
}

// Servers renew their entries all the time. One that is the same but for that
// says nothing new, and is not decoded: 0.3 us in place of 5.6, in a loop.
bool Follower::IsRenewal(const LogRecord& record) {
  const std::string text = platform::WithoutRenewal(record.value);
  const auto        hash = XXH3_64bits(text.data(), text.size());
  const auto [entry, added] = m_entry_hashes.try_emplace(record.key, hash);
  return !added && std::exchange(entry->second, hash) == hash;
}

void Follower::TakeServer(const LogRecord& record) {
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
  m_directory.ReplaceAll(m_listing, m_loop->now());
  m_servers_known = true;
  PublishServers();
}

void Follower::PublishServers() {
  if (!m_servers_known || !m_directory.TakeChange()) return;
  const auto list = m_directory.List();
  int        draining = 0;
  for (const auto& server : *list) draining += server.draining ? 1 : 0;
  m_log->Write(LogEvent::kServers,
               {{"count", list->size()}, {"draining", draining}});
  m_outputs.servers(list);
}

}  // namespace yuccawick::gateway

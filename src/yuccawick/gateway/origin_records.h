// Keeps the possible origins of streams in the platform's log, so that they
// outlive a loss of all nodes; see traffic/software_history.h. Runs on the
// control thread.
//
// Each origin is a record of Topic::kHistory. It is written when a node first
// sees the origin, and deleted once none has seen it for long. One node writes
// for all: each waits for a random time, and looks whether it is done already.
//
//   records.Take(record);          // each record of the topic
//   records.EndListing();          // after those that existed at the start
//   records.SetVersions(origins);  // of the servers of now
//   records.SetRoutes(origins);    // of the manifest of now
//   records.DropExpired();         // often
#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "platform/store.h"
#include "yuccawick/gateway/log.h"
#include "yuccawick/traffic/software_history.h"

namespace yuccawick::gateway {

class OriginRecords {
 public:
  // Called with all origins when they changed, and after the listing.
  using Changed = std::function<void(const traffic::PossibleOrigins&)>;
  OriginRecords(net::EventLoop* loop, platform::Store* store, Log* log,
                Changed changed);

  using Origins = std::set<traffic::PossibleOrigin>;
  void SetVersions(Origins origins);
  void SetRoutes(Origins origins);
  // Nodes that share the writes.
  void SetNodeCount(std::size_t count) { m_node_count = count; }
  // Returns whether the record is one of an origin.
  bool Take(const platform::LogRecord& record);
  void EndListing();
  void DropExpired();

 private:
  void          Update();
  void          Publish();
  // Write the origins that no node has written, one after the other.
  void          WriteLater(net::Duration delay);
  void          WriteNext();
  // Deletes the record unless another node does; repeated until the log
  // acknowledges it.
  void          DeleteLater(const std::string& key, net::Duration delay);
  // Uniform in [0, kPausePerNode for each node).
  net::Duration DrawPause();

  net::EventLoop*          m_loop;
  platform::Store*         m_store;
  Log*                     m_log;
  Changed                  m_changed;
  traffic::PossibleOrigins m_origins;
  Origins                  m_versions;  // of now
  Origins                  m_routes;    // of now
  std::set<std::string>    m_written;   // keys of records in the log
  Origins                  m_unwritten;
  bool                     m_writing = false;
  bool                     m_listed = false;
  std::size_t              m_node_count = 0;
  std::mt19937_64          m_random;
};

}  // namespace yuccawick::gateway

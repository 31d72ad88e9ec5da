// Keeps the origins of streams that this node remembers for others in the
// platform's log, so that it knows them after a restart; see
// stream_origin_service.h.
//
// Origins are written in batches under a number of keys of Topic::kStreams in
// turn, so that new ones replace old ones. A node has keys of its own: after a
// loss of all nodes each reads what it remembered, and no more.
//
//   origins.Load(on_origin);   // once, at the start
//   origins.Put(key, origin);  // written at once, or with the next batch
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "platform/store.h"
#include "yuccawick/gateway/log.h"
#include "yuccawick/gateway/thresholds.h"
#include "yuccawick/programs/membership.h"
#include "yuccawick/programs/record.h"
#include "yuccawick/traffic/stream_origins.h"

namespace yuccawick::gateway {

class DurableOrigins {
 public:
  DurableOrigins(net::EventLoop* loop, const Thresholds* thresholds,
                 platform::Store* store, const programs::Membership* members,
                 Log* log);

  // Calls `on_origin` for each origin that the log keeps for this node, oldest
  // first, once the log answers.
  using OnOrigin = std::function<void(const traffic::StreamKey&    key,
                                      const traffic::StreamOrigin& origin)>;
  void Load(OnOrigin on_origin);
  // Origins are kept for `lifetime` ms at least.
  void SetLifetime(net::Duration lifetime) { m_lifetime = lifetime; }
  // Repeated until the log acknowledges it; the oldest are dropped if that
  // takes too long.
  void Put(const traffic::StreamKey& key, const traffic::StreamOrigin& origin);

 private:
  using Batch = std::vector<programs::OriginStreams>;

  void          List(const std::string& after);
  void          TakePage(const platform::NewestPage& page);
  void          EndLoading();
  // Between two batches, in ms; all nodes together write a bounded number.
  net::Duration Pause() const;
  std::string   NextKey();
  void          WriteLater();
  void          Write();
  // Adds the batch to those that are not written yet.
  void          Queue(const Batch& batch);

  net::EventLoop*                  m_loop;
  const Thresholds*                m_thresholds;
  platform::Store*                 m_store;
  const programs::Membership*      m_members;
  Log*                             m_log;
  std::string                      m_key_prefix;
  net::Duration                    m_lifetime;
  OnOrigin                         m_on_origin;
  std::vector<platform::LogRecord> m_records;  // while loading
  bool                             m_loaded = false;
  bool                             m_writing = false;
  net::Time                        m_written_at = 0;
  std::uint64_t                    m_next_slot = 0;
  Batch                            m_queue;
  std::size_t                      m_queued = 0;  // streams
};

}  // namespace yuccawick::gateway

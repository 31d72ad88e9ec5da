// Carries records to one partition of the log, one append at a time.
//
// Records that come while an append is under way go together with the next one,
// so the calls grow with the latency of the log and not with the load.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "platform/store.h"
#include "yuccawick/gateway/log_health.h"

namespace yuccawick::gateway {

class Appender {
 public:
  using Result = platform::StoreResult<platform::Appended>;
  using Done = std::function<void(const Result&)>;

  Appender(net::EventLoop* loop, const Thresholds* thresholds,
           platform::RecordLog* store, LogHealth* health, platform::Topic topic,
           int partition);
  // `done` is called once, with the append that carried the record. With
  // `insist`, failed appends are repeated until one succeeds: use it for
  // records that may be there twice.
  void Add(std::string record, bool insist, Done done);

 private:
  struct Item {
    std::string record;
    bool        insist;
    Done        done;
  };
  void Pump();
  void Finish(const Result& result);

  net::EventLoop*      m_loop;
  const Thresholds*    m_thresholds;
  platform::RecordLog* m_store;
  LogHealth*           m_health;
  platform::Topic      m_topic;
  int                  m_partition;
  std::vector<Item>    m_waiting;
  std::vector<Item>    m_flying;
  bool                 m_busy = false;
};

}  // namespace yuccawick::gateway

// Carries records to one partition of the log, one append at a time.
//
// Records that come while an append is under way go together with the next one,
// so the calls grow with the latency of the log and not with the load.
//
// An appender with a producer's name numbers its appends. One that got no
// answer is sent again with the same number until it gets one, so its records
// lie in the log once, and whoever added them hears of it. Records that may lie
// there twice need no number, and need not wait for one that hangs.
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
           int partition, std::string producer = {});
  // `done` is called once, with the record's own offset in place of the first
  // of its append. With `insist`, failed appends are repeated until one
  // succeeds; with a producer's name all are.
  void Add(std::string record, bool insist, Done done);
  // An append is under way, or waits to be sent again.
  bool busy() const { return m_busy; }

 private:
  struct Item {
    std::string record;
    bool        insist;
    Done        done;
  };
  void Pump();
  void Send();
  void Finish(const Result& result);
  void SendAgain(const platform::StoreError& error);

  net::EventLoop*      m_loop;
  const Thresholds*    m_thresholds;
  platform::RecordLog* m_store;
  LogHealth*           m_health;
  platform::Topic      m_topic;
  int                  m_partition;
  platform::AppendId   m_id;  // of the append under way, if it has a producer
  std::vector<Item>    m_waiting;
  std::vector<Item>    m_flying;
  bool                 m_busy = false;
};

}  // namespace yuccawick::gateway

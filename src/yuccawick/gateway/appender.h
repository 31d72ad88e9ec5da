// Carries records to one partition of the log, one append at a time.
//
// Records that come while an append is under way go together with the next one,
// so the calls grow with the latency of the log and not with the load.
//
// Appends are numbered. One that got no answer is sent again with the same
// number until it gets one, so its records lie in the log once, and whoever
// added them hears of it, however late. It is sent again soon: an answer that
// was lost costs a few round trips, not a whole timeout.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "platform/store.h"
#include "yuccawick/gateway/log_health.h"
#include "yuccawick/gateway/thresholds.h"

namespace yuccawick::gateway {

class Appender {
 public:
  using Result = platform::StoreResult<platform::Appended>;
  using Done = std::function<void(const Result&)>;
  using Wanted = std::function<bool()>;

  // `producer` names this writer; no other writer of the partition has it.
  Appender(net::EventLoop* loop, const Thresholds* thresholds,
           platform::RecordLog* store, LogHealth* health, platform::Topic topic,
           int partition, std::string producer);
  // `done` is called once, with the record's own offset in place of the first
  // of its append; with a failure only if the log will never take the record.
  // A record that is not wanted any more when its turn comes is dropped, and
  // `done` is not called.
  void Add(std::string record, Done done, Wanted wanted = {});
  // An append is under way, or waits to be sent again.
  bool busy() const { return m_busy; }

 private:
  struct Item {
    std::string record;
    Done        done;
    Wanted      wanted;  // none: always
  };
  void          Pump();
  void          DropUnwanted();
  void          TakeBatch();
  void          Send();
  void          Finish(const Result& result);
  void          SendAgain(const platform::StoreError& error);
  void          Refused(const platform::StoreError& error);
  void          BeginEpoch();
  net::Duration FirstTimeout() const;

  net::EventLoop*      m_loop;
  const Thresholds*    m_thresholds;
  platform::RecordLog* m_store;
  LogHealth*           m_health;
  platform::Topic      m_topic;
  int                  m_partition;
  platform::AppendId   m_id;  // of the append under way
  std::vector<Item>    m_waiting;
  std::vector<Item>    m_flying;
  bool                 m_busy = false;
  net::Time            m_sent_at = 0;
  net::Duration        m_timeout = 0;  // of the present try, in ms
  net::Duration        m_usual = 0;    // an answer takes, in ms
};

}  // namespace yuccawick::gateway

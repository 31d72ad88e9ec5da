// Appends records to one partition of the platform's log, one append at a time.
//
// Records added during an append are batched into the next one, so the number
// of calls follows the latency of the log rather than the load.
//
// Appends are numbered. An append without an answer is retried with the same
// number, so the log stores its records once and every `done` is called even
// after a long outage. The first retry follows after a few times the usual
// latency, so that a lost answer does not cost a whole timeout.
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
  // Records that are added during its lifetime go into one append.
  class Batch {
   public:
    explicit Batch(Appender* appender) : m_appender(appender) {
      m_appender->m_batching = true;
    }
    ~Batch() {
      m_appender->m_batching = false;
      m_appender->Pump();
    }
    Batch(const Batch&) = delete;
    Batch& operator=(const Batch&) = delete;

   private:
    Appender* m_appender;
  };

  // `producer` must be unique among the writers of the partition.
  Appender(net::EventLoop* loop, const Thresholds* thresholds,
           platform::RecordLog* store, LogHealth* health, platform::Topic topic,
           int partition, std::string producer);
  // Calls `done` once, with the record's own offset, or with a failure if the
  // log permanently refuses the record. A record whose `wanted` returns false
  // before it is sent is dropped without a call of `done`.
  void Add(std::string record, Done done, Wanted wanted = {});
  // Whether an append is in flight or waits for a retry.
  bool busy() const { return m_busy; }

 private:
  struct Item {
    std::string record;
    Done        done;
    Wanted      wanted;  // empty: always wanted
  };
  void          Pump();
  void          DropUnwanted();
  void          TakeBatch();
  void          Send();
  void          OnResult(const Result& result);
  void          Retry(const platform::StoreError& error);
  void          OnRefused(const platform::StoreError& error);
  void          BeginEpoch();
  net::Duration FirstTimeout() const;

  net::EventLoop*      m_loop;
  const Thresholds*    m_thresholds;
  platform::RecordLog* m_store;
  LogHealth*           m_health;
  platform::Topic      m_topic;
  int                  m_partition;
  platform::AppendId   m_id;  // of the append in flight
  std::vector<Item>    m_queue;
  std::vector<Item>    m_in_flight;
  bool                 m_busy = false;
  bool                 m_batching = false;  // a Batch exists
  net::Time            m_sent_at = 0;
  net::Duration        m_timeout = 0;       // of the current attempt, in ms
  net::Duration        m_mean_latency = 0;  // moving average, in ms
};

}  // namespace yuccawick::gateway

// Keeps marks of suspect requests in the platform's log, so that a loss of all
// nodes doesn't forget them; see suspect_service.h.
//
// Each mark is a record of its own under a key of Topic::kHistory, so that
// nodes never overwrite each other's marks. All nodes follow the topic. Once a
// mark is gone, the node that wrote its record and the one that ranks first for
// its key delete it.
//
//   marks.Save(mark);
//   marks.WhenSaved(server, done);   // before a client hears of the end
//   auto mark = marks.Take(record);  // of the topic, also its own
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "platform/store.h"
#include "yuccawick/gateway/log.h"
#include "yuccawick/gateway/thresholds.h"
#include "yuccawick/programs/membership.h"
#include "yuccawick/programs/record.h"
#include "yuccawick/traffic/suspect_requests.h"

namespace yuccawick::gateway {

class DurableMarks {
 public:
  // Optional marks that a node may save in a burst.
  static constexpr double kMaxAllowance = 4;

  DurableMarks(net::EventLoop* loop, const Thresholds* thresholds,
               platform::Store* store, const programs::Membership* members,
               Log* log)
      : m_loop(loop),
        m_thresholds(thresholds),
        m_store(store),
        m_members(members),
        m_log(log) {}

  // No effect if the log is known to hold it. Repeated until the log
  // acknowledges it or the mark is gone.
  void Save(const programs::KeptMark& mark);
  // Like Save() within the limit of `optional_marks`; no effect above it.
  void SaveOptional(const programs::KeptMark& mark);
  // Whether the log held the mark at any time, or this node is to write it.
  bool WasWritten(const programs::KeptMark& mark) const;
  // Calls `done` once no first try to save a mark of the server is under way:
  // at once, or after `mark_save_wait` ms at the latest.
  void WhenSaved(const std::string& server, std::function<void()> done);
  struct Change {
    programs::KeptMark mark;
    bool               removed = false;
  };
  // What a record of the topic changes here; empty if nothing.
  std::optional<Change> Take(const platform::LogRecord& record);
  using IsKnown = std::function<bool(const traffic::RequestKey& key,
                                     const std::string&         server)>;
  // Repeats what was not acknowledged, and deletes the records of marks that
  // are not known any more. Call about twice a second.
  void Sweep(const IsKnown& is_known);

 private:
  struct Record {
    programs::KeptMark mark;
    bool               own = false;  // written by this node
    bool               saved = false;
    bool               saving = false;
    bool               deleting = false;
    bool               deleted = false;
  };
  // Whether one more optional mark is within the limit. Counts it.
  bool TakeAllowance();
  void Write(const std::string& key);
  void Delete(const std::string& key);
  // Whether this node does what one node has to do for the record.
  bool RanksFirst(const std::string& key) const;
  void OnWritten(const std::string& key, const std::string& server,
                 bool written);

  net::EventLoop*               m_loop;
  const Thresholds*             m_thresholds;
  platform::Store*              m_store;
  const programs::Membership*   m_members;
  Log*                          m_log;
  std::map<std::string, Record> m_records;
  std::map<std::string, int>    m_saving;  // by server
  double                        m_allowance = kMaxAllowance;
  net::Time                     m_allowance_at = 0;
  std::map<std::string, std::vector<std::function<void()>>> m_waiting;
};

}  // namespace yuccawick::gateway

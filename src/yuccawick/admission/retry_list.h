// Programs that were refused and are expected to retry.
//
// Records when a program was first refused, which tells whether it can still
// finish in time, and counts the retries expected before a given program.
// Entries that can still finish in time have capacity reserved during their
// retry window. The size is bounded: when full, the entry whose window ends
// first is dropped.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

#include "yuccawick/net/event_loop.h"

namespace yuccawick::admission {

using net::Duration;
using net::Time;

class RetryList {
 public:
  struct Entry {
    Time                    first_refused_at = 0;
    std::optional<Duration> initial_time_left;  // ms left at the first refusal
    bool                    late = false;
    int                     refusals = 0;
    Time                    earliest = 0;  // start of the retry window
    Time                    latest = 0;    // its end
  };

  const Entry* Find(const std::string& program) const;
  // Records a refusal with the given retry delay, in ms.
  void        Put(const std::string& program, std::optional<Duration> time_left,
                  bool late, Duration retry_delay, Time now);
  void        Remove(const std::string& program);
  // Number of pending retries that go before the retry of one program. `late`:
  // that program can no longer finish in time, so late retries count as well.
  std::size_t CountAhead(bool late, Time now) const;
  // Number of programs in their retry window that can still finish in time.
  std::size_t CountDue(Time now) const;
  void        Sweep(Time now);
  std::size_t size() const { return m_entries.size(); }

 private:
  std::unordered_map<std::string, Entry> m_entries;  // keyed by program id
};

}  // namespace yuccawick::admission

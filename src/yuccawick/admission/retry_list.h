// Programs that were refused and told when to come back.
//
// The list knows when a program first asked, so that one that can no longer
// finish in time is told from one that can, and how many come back before a
// program that asks now. It holds room for those that can still finish in time
// until they should have come. Its size is bounded; the oldest are forgotten.
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
    Time                    first = 0;  // asked
    std::optional<Duration> stated;     // time that it had then
    bool                    late = false;
    int                     refusals = 0;
    Time                    from = 0;  // the earliest and the latest return
    Time                    until = 0;
  };

  const Entry* Find(const std::string& program) const;
  // Sent away now, to come back after about `retry`.
  void Put(const std::string& program, std::optional<Duration> left, bool late,
           Duration retry, Time now);
  void Remove(const std::string& program);
  // How many come back that go before a program that is, or is not, late.
  std::size_t CountAhead(bool late, Time now) const;
  // How many that are in time may come at any moment now.
  std::size_t CountDue(Time now) const;
  void        Sweep(Time now);
  std::size_t size() const { return m_entries.size(); }

 private:
  std::unordered_map<std::string, Entry> m_entries;  // by program
};

}  // namespace yuccawick::admission

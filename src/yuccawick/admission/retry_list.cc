#include "yuccawick/admission/retry_list.h"

#include <algorithm>

namespace yuccawick::admission {
namespace {

constexpr std::size_t kMaxEntries = 4096;
// Clients retry after 0.5 to 1.5 times the given delay, plus the network delay
// (ms).
constexpr double      kMinDelayFactor = 0.5;
constexpr double      kMaxDelayFactor = 1.5;
constexpr Duration    kNetworkDelay = 50;
// ms for which an entry is kept after its retry window, because a client may
// start a new attempt after giving up the previous one.
constexpr Duration    kRetention = 2000;

Duration Scale(Duration duration, double factor) {
  return static_cast<Duration>(static_cast<double>(duration) * factor);
}

}  // namespace

const RetryList::Entry* RetryList::Find(const std::string& program) const {
  const auto found = m_entries.find(program);
  return found == m_entries.end() ? nullptr : &found->second;
}

void RetryList::Put(const std::string&      program,
                    std::optional<Duration> time_left, bool late,
                    Duration retry_delay, Time now) {
  if (m_entries.size() >= kMaxEntries && !m_entries.contains(program)) {
    m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(),
                                     [](const auto& a, const auto& b) {
                                       return a.second.latest < b.second.latest;
                                     }));
  }
  const auto [entry, added] =
      m_entries.try_emplace(program, Entry{now, time_left, late, 0, 0, 0});
  entry->second.late = late;
  ++entry->second.refusals;
  entry->second.earliest = now + Scale(retry_delay, kMinDelayFactor);
  entry->second.latest =
      now + Scale(retry_delay, kMaxDelayFactor) + kNetworkDelay;
}

void RetryList::Remove(const std::string& program) { m_entries.erase(program); }

std::size_t RetryList::CountAhead(bool late, Time now) const {
  return static_cast<std::size_t>(
      std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& each) {
        return each.second.latest > now && (late || !each.second.late);
      }));
}

std::size_t RetryList::CountDue(Time now) const {
  return static_cast<std::size_t>(
      std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& each) {
        const Entry& entry = each.second;
        return !entry.late && entry.earliest <= now && now < entry.latest;
      }));
}

void RetryList::Sweep(Time now) {
  std::erase_if(m_entries, [now](const auto& each) {
    return now - each.second.latest > kRetention;
  });
}

}  // namespace yuccawick::admission

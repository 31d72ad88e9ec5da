#include "yuccawick/admission/retry_list.h"

#include <algorithm>

namespace yuccawick::admission {
namespace {

constexpr std::size_t kMost = 4096;
// Clients come back after half to one and a half of what they were told, and
// are some time under way.
constexpr double      kEarliest = 0.5;
constexpr double      kLatest = 1.5;
constexpr Duration    kWay = 50;
// A client may make a whole new attempt after the one that it gave up.
constexpr Duration    kMemory = 2000;

Duration Part(Duration duration, double part) {
  return static_cast<Duration>(static_cast<double>(duration) * part);
}

}  // namespace

const RetryList::Entry* RetryList::Find(const std::string& program) const {
  const auto found = m_entries.find(program);
  return found == m_entries.end() ? nullptr : &found->second;
}

void RetryList::Put(const std::string& program, std::optional<Duration> left,
                    bool late, Duration retry, Time now) {
  if (m_entries.size() >= kMost && !m_entries.contains(program)) {
    m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(),
                                     [](const auto& a, const auto& b) {
                                       return a.second.until < b.second.until;
                                     }));
  }
  const auto [entry, added] =
      m_entries.try_emplace(program, Entry{now, left, late, 0, 0, 0});
  entry->second.late = late;
  ++entry->second.refusals;
  entry->second.from = now + Part(retry, kEarliest);
  entry->second.until = now + Part(retry, kLatest) + kWay;
}

void RetryList::Remove(const std::string& program) { m_entries.erase(program); }

std::size_t RetryList::CountAhead(bool late, Time now) const {
  return static_cast<std::size_t>(
      std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& each) {
        return each.second.until > now && (late || !each.second.late);
      }));
}

std::size_t RetryList::CountDue(Time now) const {
  return static_cast<std::size_t>(
      std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& each) {
        const Entry& entry = each.second;
        return !entry.late && entry.from <= now && now < entry.until;
      }));
}

void RetryList::Sweep(Time now) {
  std::erase_if(m_entries, [now](const auto& each) {
    return now - each.second.until > kMemory;
  });
}

}  // namespace yuccawick::admission

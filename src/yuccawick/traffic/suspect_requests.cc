#include "yuccawick/traffic/suspect_requests.h"

#include <algorithm>
#include <array>
#include <utility>

namespace yuccawick::traffic {

std::string_view Name(SendState state) {
  constexpr std::array<std::string_view, kSendStateCount> kNames{
      "left", "under_way", "watched", "unresolved", "ended"};
  return kNames[static_cast<std::size_t>(state)];
}

bool SuspectRequests::HasLapsed(const SendMark& mark, Time now) {
  return mark.until > 0 && now >= mark.until;
}

SendState SuspectRequests::StateAt(const SendMark& mark, Time now) {
  return mark.state == SendState::kUnderWay && HasLapsed(mark, now)
             ? SendState::kUnresolved
             : mark.state;
}

bool SuspectRequests::Replaces(SendState now, SendState before) {
  switch (now) {
    case SendState::kLeft:
    case SendState::kUnderWay:
      return before == SendState::kLeft || before == SendState::kUnderWay;
    case SendState::kWatched:
    case SendState::kUnresolved:
      return before != SendState::kEnded;
    case SendState::kEnded:
      return true;
  }
  return true;
}

bool SuspectRequests::IsOpen(const SendMark& mark) {
  return mark.state == SendState::kWatched ||
         mark.state == SendState::kUnresolved;
}

bool SuspectRequests::Put(const RequestKey& key, const std::string& server,
                          const SendMark& mark, Time now) {
  auto found = m_requests.find(key);
  if (found == m_requests.end()) {
    if (m_requests.size() >= kMaxSuspectRequests) MakeRoom();
    found = m_requests.try_emplace(key).first;
  }
  Request& request = found->second;
  if (!request.marks.contains(server) && !MakeRoomFor(key, &request.marks))
    return false;
  const auto [old, added] = request.marks.try_emplace(server, mark);
  if (added) m_by_server[server].push_back(key);
  const SendMark before = old->second;
  if (!added && !Replaces(mark.state, before.state)) return false;
  // This node knows more of its own sends, but for an end.
  const bool is_outdated =
      mark.remote && !before.remote && mark.state != SendState::kEnded;
  if (!added && is_outdated) return false;
  const bool changed = added || before.state != mark.state;
  old->second = mark;
  old->second.told = mark.told || (!changed && before.told);
  old->second.remote = mark.remote && (added || before.remote);
  old->second.until = std::max(mark.until, changed ? 0 : before.until);
  old->second.at = now;
  request.changed_at = now;
  return changed;
}

bool SuspectRequests::MakeRoomFor(const RequestKey& key, Marks* marks) {
  if (marks->size() < kMaxMarks) return true;
  const auto weakest = std::find_if(
      marks->begin(), marks->end(),
      [](const auto& entry) { return entry.second.state == SendState::kLeft; });
  if (weakest == marks->end()) return false;
  const std::string server = weakest->first;
  EraseMark(key, server);
  return true;
}

void SuspectRequests::EraseMark(const RequestKey&  key,
                                const std::string& server) {
  const auto of_server = m_by_server.find(server);
  if (of_server != m_by_server.end()) {
    std::erase(of_server->second, key);
    if (of_server->second.empty()) m_by_server.erase(of_server);
  }
  const auto found = m_requests.find(key);
  if (found == m_requests.end()) return;
  found->second.marks.erase(server);
  if (found->second.marks.empty()) m_requests.erase(found);
}

void SuspectRequests::Withdraw(const RequestKey&  key,
                               const std::string& server) {
  EraseMark(key, server);
}

void SuspectRequests::WithdrawRemote(const RequestKey&  key,
                                     const std::string& server) {
  const Marks* marks = Find(key);
  if (marks == nullptr) return;
  const auto mark = marks->find(server);
  if (mark != marks->end() && mark->second.remote) EraseMark(key, server);
}

void SuspectRequests::SetAnswered(const RequestKey& key, Time now) {
  const auto found = m_requests.find(key);
  if (found == m_requests.end()) return;
  Erase(found);
  m_answered[key] = now;
}

bool SuspectRequests::WasAnswered(const RequestKey& key, Time now) const {
  const auto found = m_answered.find(key);
  return found != m_answered.end() && now - found->second < kAnswerMemory;
}

void SuspectRequests::Erase(Requests::iterator request) {
  const RequestKey key = request->first;
  const Marks      marks = request->second.marks;
  for (const auto& [server, mark] : marks) EraseMark(key, server);
  m_requests.erase(key);
}

// A copy, since callers erase marks.
std::vector<RequestKey> SuspectRequests::Under(
    const std::string& server) const {
  const auto found = m_by_server.find(server);
  return found == m_by_server.end() ? std::vector<RequestKey>() : found->second;
}

std::vector<RequestKey> SuspectRequests::OnRan(const std::string& server,
                                               Time               ran_at) {
  std::vector<RequestKey> told;
  for (const RequestKey& key : Under(server)) {
    SendMark& mark = m_requests.at(key).marks.at(server);
    if (mark.at > ran_at) continue;
    const bool was_wrong =
        mark.state == SendState::kEnded && ran_at - mark.at >= kRestartNotice;
    if (was_wrong || (IsOpen(mark) && ran_at >= mark.until)) {
      if (mark.told) told.push_back(key);
      EraseMark(key, server);
    } else if (mark.state == SendState::kUnresolved) {
      mark.state = SendState::kWatched;
    }
  }
  return told;
}

std::vector<RequestKey> SuspectRequests::MarkEnded(const std::string& server,
                                                   Time               now) {
  std::vector<RequestKey> under_server;
  for (const RequestKey& key : Under(server)) {
    SendMark& mark = m_requests.at(key).marks.at(server);
    if (mark.state == SendState::kLeft && HasLapsed(mark, now)) continue;
    // The node that sent it will see whether the server received it.
    if (mark.state == SendState::kUnderWay) continue;
    under_server.push_back(key);
    if (mark.state == SendState::kEnded) continue;
    mark = {SendState::kEnded, 0, false, mark.remote, now};
    m_requests.at(key).changed_at = now;
  }
  return under_server;
}

std::vector<RequestKey> SuspectRequests::MarkSilent(const std::string& server,
                                                    Time               now) {
  std::vector<RequestKey> under_server;
  for (const RequestKey& key : Under(server)) {
    SendMark&  mark = m_requests.at(key).marks.at(server);
    const bool left = mark.state == SendState::kLeft && !HasLapsed(mark, now);
    if (left) mark.told = false;
    if (left || mark.state == SendState::kWatched)
      mark.state = SendState::kUnresolved;
    if (mark.state == SendState::kUnresolved) under_server.push_back(key);
  }
  return under_server;
}

void SuspectRequests::OnLeaving(const std::string& server) {
  for (const RequestKey& key : Under(server)) {
    if (IsOpen(m_requests.at(key).marks.at(server))) EraseMark(key, server);
  }
}

bool SuspectRequests::HasOwnMarks(const std::string& server) const {
  const auto found = m_by_server.find(server);
  return found != m_by_server.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [&](const RequestKey& key) {
                       return !m_requests.at(key).marks.at(server).remote;
                     });
}

std::vector<std::string> SuspectRequests::ServersToAsk(Time now) const {
  std::vector<std::string> servers;
  for (const auto& [server, keys] : m_by_server) {
    const auto is_due = [&, &at = server](const RequestKey& key) {
      const SendMark& mark = m_requests.at(key).marks.at(at);
      const Time      since = mark.remote ? now - kRemoteGrace : now;
      return IsOpen(mark) && HasLapsed(mark, since);
    };
    if (std::any_of(keys.begin(), keys.end(), is_due))
      servers.push_back(server);
  }
  return servers;
}

SendDecision SuspectRequests::Judge(
    const RequestKey& key, bool is_shared,
    const std::vector<std::string>& usable_servers, Time now) const {
  const Marks* marks = Find(key);
  if (marks == nullptr) return {};
  const bool               is_harmless = is_shared && WasAnswered(key, now);
  int                      ended = 0;
  int                      possible = 0;  // ends that are not certain
  auto                     unmarked = static_cast<int>(usable_servers.size());
  // Marked servers that run.
  std::vector<std::string> running;
  for (const auto& [server, mark] : *marks) {
    const SendState state = StateAt(mark, now);
    const bool      counts = state == SendState::kEnded ||
                        state == SendState::kUnresolved ||
                        (state == SendState::kWatched && !is_harmless) ||
                        (state == SendState::kUnderWay && !is_shared);
    if (!counts) continue;
    ++(state == SendState::kEnded ? ended : possible);
    if (std::find(usable_servers.begin(), usable_servers.end(), server) ==
        usable_servers.end()) {
      continue;
    }
    --unmarked;
    if (state == SendState::kWatched || state == SendState::kUnderWay)
      running.push_back(server);
  }
  // The last server of a service is kept for the other requests.
  const int allowed = !m_complete     ? 1
                      : unmarked <= 1 ? kMaxServerEnds - 1
                                      : kMaxServerEnds;
  if (ended >= allowed) return {SendVerdict::kRefuse, {}};
  if (ended + possible < allowed) return {};
  if (running.empty()) return {SendVerdict::kResolve, {}};
  return {SendVerdict::kSend, std::move(running)};
}

bool SuspectRequests::IsSuspect(const RequestKey& key, Time now) const {
  const Marks* marks = Find(key);
  return marks != nullptr &&
         std::any_of(marks->begin(), marks->end(), [now](const auto& entry) {
           return StateAt(entry.second, now) != SendState::kLeft;
         });
}

int SuspectRequests::CountOpenAndEnded(const RequestKey& key) const {
  const Marks* marks = Find(key);
  if (marks == nullptr) return 0;
  return static_cast<int>(
      std::count_if(marks->begin(), marks->end(), [](const auto& entry) {
        return IsOpen(entry.second) || entry.second.state == SendState::kEnded;
      }));
}

int SuspectRequests::CountEnds(const RequestKey& key) const {
  const Marks* marks = Find(key);
  if (marks == nullptr) return 0;
  return static_cast<int>(
      std::count_if(marks->begin(), marks->end(), [](const auto& entry) {
        return entry.second.state == SendState::kEnded;
      }));
}

std::vector<std::string> SuspectRequests::ServersOfOthers(const RequestKey& key,
                                                          Time now) const {
  std::vector<std::string> servers;
  for (const auto& [server, keys] : m_by_server) {
    const auto is_crowding = [this, &key, now,
                              &at = server](const RequestKey& other) {
      const SendMark& mark = m_requests.at(other).marks.at(at);
      return other != key && StateAt(mark, now) == SendState::kUnderWay;
    };
    if (std::any_of(keys.begin(), keys.end(), is_crowding))
      servers.push_back(server);
  }
  return servers;
}

const SuspectRequests::Marks* SuspectRequests::Find(
    const RequestKey& key) const {
  const auto found = m_requests.find(key);
  return found == m_requests.end() ? nullptr : &found->second.marks;
}

bool SuspectRequests::IsCounted(const Request& request) {
  return std::any_of(
      request.marks.begin(), request.marks.end(),
      [](const auto& entry) { return entry.second.state != SendState::kLeft; });
}

std::vector<RequestKey> SuspectRequests::TellableRequests() const {
  std::vector<RequestKey> keys;
  for (const auto& [key, request] : m_requests) {
    const bool tellable =
        std::any_of(request.marks.begin(), request.marks.end(),
                    [](const auto& entry) { return entry.second.told; });
    if (tellable) keys.push_back(key);
  }
  return keys;
}

void SuspectRequests::SetTold(const RequestKey& key) {
  const auto found = m_requests.find(key);
  if (found == m_requests.end()) return;
  for (auto& [server, mark] : found->second.marks) {
    if (mark.state != SendState::kLeft) mark.told = true;
  }
}

void SuspectRequests::MakeRoom() {
  const auto oldest = std::min_element(
      m_requests.begin(), m_requests.end(), [](const auto& a, const auto& b) {
        return std::pair(IsCounted(a.second), a.second.changed_at) <
               std::pair(IsCounted(b.second), b.second.changed_at);
      });
  if (oldest != m_requests.end()) Erase(oldest);
}

void SuspectRequests::DropExpired(Time now) {
  std::vector<std::pair<RequestKey, std::string>> lapsed;
  std::vector<RequestKey>                         expired;
  for (auto& [key, request] : m_requests) {
    if (now - request.changed_at >= m_lifetime) expired.push_back(key);
    for (auto& [server, mark] : request.marks) {
      mark.state = StateAt(mark, now);
      if (mark.state == SendState::kLeft && HasLapsed(mark, now))
        lapsed.emplace_back(key, server);
    }
  }
  for (const auto& [key, server] : lapsed) EraseMark(key, server);
  for (const RequestKey& key : expired) {
    const auto found = m_requests.find(key);
    if (found != m_requests.end()) Erase(found);
  }
  std::erase_if(m_answered, [now](const auto& entry) {
    return now - entry.second >= kAnswerMemory;
  });
}

}  // namespace yuccawick::traffic

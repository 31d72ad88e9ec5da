#include "yuccawick/programs/turn_history.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <set>
#include <utility>

namespace yuccawick::programs {

namespace {

// Approximate memory of a turn and its table entry, in bytes.
std::size_t SizeOf(const Turn& turn) {
  return sizeof(Turn) + 2 * turn.id.size() + turn.previous.size() +
         turn.program.size() + turn.input.size() + turn.output.size();
}

std::size_t SizeOfPrompt(const std::vector<const Turn*>& chain_turns) {
  return std::accumulate(chain_turns.begin(), chain_turns.end(), std::size_t{0},
                         [](std::size_t bytes, const Turn* turn) {
                           return bytes + turn->input.size() +
                                  turn->output.size();
                         });
}

}  // namespace

void TurnHistory::Add(Turn turn, Time now, Duration retention) {
  auto& cached = m_turns[turn.id];
  cached.expires_at = std::max(cached.expires_at, now + retention);
  if (!cached.turn.id.empty()) return;
  m_bytes += SizeOf(turn);
  cached.turn = std::move(turn);
}

std::vector<const Turn*> TurnHistory::CollectChain(
    const std::string& id) const {
  std::vector<const Turn*> chain_turns;
  std::set<std::string>    visited;
  std::string              next = id;
  // Reused attempt ids may form a cycle of turns.
  while (!next.empty() && visited.insert(next).second) {
    const auto found = m_turns.find(next);
    if (found == m_turns.end()) break;
    chain_turns.push_back(&found->second.turn);
    next = found->second.turn.previous;
  }
  return chain_turns;
}

std::string TurnHistory::Missing(const std::string& id) const {
  const auto chain_turns = CollectChain(id);
  return chain_turns.empty() ? id : chain_turns.back()->previous;
}

std::size_t TurnHistory::PromptBytes(const std::string& previous) const {
  return SizeOfPrompt(CollectChain(previous));
}

PromptBuildResult TurnHistory::Build(const std::string& previous,
                                     const std::string& input, Time now,
                                     Duration retention) {
  PromptBuildResult result;
  result.missing = Missing(previous);
  if (!result.missing.empty()) return result;
  const auto chain_turns = CollectChain(previous);
  result.body.reserve(SizeOfPrompt(chain_turns) + input.size());
  for (auto turn = chain_turns.rbegin(); turn != chain_turns.rend(); ++turn) {
    result.body += (*turn)->input;
    result.body += (*turn)->output;
    auto& expires_at = m_turns[(*turn)->id].expires_at;
    expires_at = std::max(expires_at, now + retention);
  }
  result.body += input;
  return result;
}

void TurnHistory::Shrink(std::size_t bytes) {
  if (m_bytes <= bytes) return;
  std::vector<std::pair<Time, std::size_t>> by_expiry;
  by_expiry.reserve(m_turns.size());
  for (const auto& [id, cached] : m_turns) {
    by_expiry.emplace_back(cached.expires_at, SizeOf(cached.turn));
  }
  std::sort(by_expiry.begin(), by_expiry.end());
  std::size_t remaining_bytes = m_bytes;
  auto        evicted_end = by_expiry.begin();
  while (evicted_end != by_expiry.end() && remaining_bytes > bytes)
    remaining_bytes -= (evicted_end++)->second;
  Expire(std::prev(evicted_end)->first + 1);
}

void TurnHistory::Expire(Time now) {
  std::erase_if(m_turns, [this, now](const auto& entry) {
    const bool is_expired = entry.second.expires_at < now;
    if (is_expired) m_bytes -= SizeOf(entry.second.turn);
    return is_expired;
  });
}

}  // namespace yuccawick::programs

#include "yuccawick/programs/turn_history.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace yuccawick::programs {

namespace {

// Approximate memory of a turn and its table entry, in bytes.
std::size_t SizeOf(const Turn& turn) {
  return sizeof(Turn) + 2 * turn.id.size() + turn.previous.size() +
         turn.program.size() + turn.input.size() + turn.output.size();
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
  std::set<std::string>    seen;
  std::string              next = id;
  // Reused attempt ids may form a cycle of turns.
  while (!next.empty() && seen.insert(next).second) {
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

PromptBuildResult TurnHistory::Build(const std::string& previous,
                                     const std::string& input, Time now,
                                     Duration retention) {
  PromptBuildResult chain;
  chain.missing = Missing(previous);
  if (!chain.missing.empty()) return chain;
  const auto chain_turns = CollectChain(previous);
  for (auto turn = chain_turns.rbegin(); turn != chain_turns.rend(); ++turn) {
    chain.body += (*turn)->input;
    chain.body += (*turn)->output;
    auto& expires_at = m_turns[(*turn)->id].expires_at;
    expires_at = std::max(expires_at, now + retention);
  }
  chain.body += input;
  return chain;
}

void TurnHistory::Shrink(std::size_t bytes) {
  if (m_bytes <= bytes) return;
  std::vector<std::pair<Time, std::size_t>> by_age;
  by_age.reserve(m_turns.size());
  for (const auto& [id, cached] : m_turns) {
    by_age.emplace_back(cached.expires_at, SizeOf(cached.turn));
  }
  std::sort(by_age.begin(), by_age.end());
  std::size_t rest = m_bytes;
  auto        last = by_age.begin();
  while (last != by_age.end() && rest > bytes) rest -= (last++)->second;
  Expire(std::prev(last)->first + 1);
}

void TurnHistory::Expire(Time now) {
  std::erase_if(m_turns, [this, now](const auto& entry) {
    const bool old = entry.second.expires_at < now;
    if (old) m_bytes -= SizeOf(entry.second.turn);
    return old;
  });
}

}  // namespace yuccawick::programs

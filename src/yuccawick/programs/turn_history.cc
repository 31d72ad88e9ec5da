#include "yuccawick/programs/turn_history.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace yuccawick::programs {

namespace {

// Of a turn and its place in the table.
std::size_t SizeOf(const Turn& turn) {
  return sizeof(Turn) + 2 * turn.id.size() + turn.previous.size() +
         turn.program.size() + turn.input.size() + turn.output.size();
}

}  // namespace

void TurnHistory::Add(Turn turn, Time now, Duration retention) {
  auto& kept = m_turns[turn.id];
  kept.until = std::max(kept.until, now + retention);
  if (!kept.turn.id.empty()) return;
  m_bytes += SizeOf(turn);
  kept.turn = std::move(turn);
}

std::vector<const Turn*> TurnHistory::CollectChain(
    const std::string& id) const {
  std::vector<const Turn*> line;
  std::set<std::string>    seen;
  std::string              next = id;
  // A client that uses an id twice may close a circle of turns.
  while (!next.empty() && seen.insert(next).second) {
    const auto found = m_turns.find(next);
    if (found == m_turns.end()) break;
    line.push_back(&found->second.turn);
    next = found->second.turn.previous;
  }
  return line;
}

std::string TurnHistory::Missing(const std::string& id) const {
  const auto line = CollectChain(id);
  return line.empty() ? id : line.back()->previous;
}

PromptBuildResult TurnHistory::Build(const std::string& previous,
                                     const std::string& input, Time now,
                                     Duration retention) {
  PromptBuildResult chain;
  chain.missing = Missing(previous);
  if (!chain.missing.empty()) return chain;
  const auto line = CollectChain(previous);
  for (auto turn = line.rbegin(); turn != line.rend(); ++turn) {
    chain.body += (*turn)->input;
    chain.body += (*turn)->output;
    auto& until = m_turns[(*turn)->id].until;
    until = std::max(until, now + retention);
  }
  chain.body += input;
  return chain;
}

void TurnHistory::Shrink(std::size_t bytes) {
  if (m_bytes <= bytes) return;
  std::vector<std::pair<Time, std::size_t>> by_age;
  by_age.reserve(m_turns.size());
  for (const auto& [id, kept] : m_turns) {
    by_age.emplace_back(kept.until, SizeOf(kept.turn));
  }
  std::sort(by_age.begin(), by_age.end());
  std::size_t left = m_bytes;
  auto        last = by_age.begin();
  while (last != by_age.end() && left > bytes) left -= (last++)->second;
  Expire(std::prev(last)->first + 1);
}

void TurnHistory::Expire(Time now) {
  std::erase_if(m_turns, [this, now](const auto& entry) {
    const bool old = entry.second.until < now;
    if (old) m_bytes -= SizeOf(entry.second.turn);
    return old;
  });
}

}  // namespace yuccawick::programs

#include "yuccawick/core/program.h"

#include <tuple>

namespace yuccawick::core {

bool SameRequest(const Call& a, const Call& b) {
  return a.kind == b.kind && a.target == b.target && a.body == b.body &&
         a.unrepeatable == b.unrepeatable;
}

Outcome Turn::ToOutcome() const {
  if (failed) return tl::make_unexpected(failure);
  return answer;
}

std::string PromptOfTurn(const Turn& turn) {
  std::string text = "user: " + turn.call.body + "\n";
  if (!turn.failed) text += "assistant: " + turn.answer.text + "\n";
  return text;
}

std::string FullPrompt(std::string_view history, const Call& call) {
  return std::string(history) + "user: " + call.body + "\nassistant: ";
}

Sequence ProgramState::NextSequence() const {
  return turns.empty() ? 1 : turns.rbegin()->first + 1;
}

std::string ProgramState::Prompt() const {
  std::string prompt;
  for (const auto& [sequence, turn] : turns) {
    if (turn.call.kind == BackendKind::kModel) prompt += PromptOfTurn(turn);
  }
  return prompt;
}

void ProgramState::Apply(const ProgramDelta& delta) {
  for (const auto& turn : delta.turns) {
    const auto [it, added] = turns.emplace(turn.call.sequence, turn);
    // A coordinator that was replaced while paused may still write a turn that
    // was never acknowledged; the current owner's turn wins.
    if (!added && turn.fence > it->second.fence) it->second = turn;
  }
  const bool is_newer = std::tie(delta.meta.fence, delta.meta.revision) >
                        std::tie(meta.fence, meta.revision);
  if (is_newer || !meta.id.IsSet()) meta = delta.meta;
}

ProgramDelta ProgramState::ToDelta() const {
  ProgramDelta delta{meta, {}};
  delta.turns.reserve(turns.size());
  for (const auto& [sequence, turn] : turns) delta.turns.push_back(turn);
  return delta;
}

}  // namespace yuccawick::core

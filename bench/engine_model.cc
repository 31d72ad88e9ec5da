#include "engine_model.h"

#include <algorithm>

namespace yuccawick::bench {

core::Tokens EngineModel::cached_for(const core::ProgramId& program) const {
  const auto it = m_prefixes.find(program);
  return it == m_prefixes.end() ? 0 : it->second.tokens;
}

core::Tokens EngineModel::Start(std::uint64_t          run,
                                const core::ProgramId& program,
                                core::Tokens prompt, core::Tokens tokens) {
  const core::Tokens cached = std::min(prompt, cached_for(program));
  Call               call;
  call.program = program;
  call.prompt = prompt;
  call.prefill_left = static_cast<double>(prompt - cached);
  call.tokens_left = static_cast<double>(tokens);
  call.tokens = tokens;
  m_calls[run] = call;
  m_computed += prompt - cached;
  Store(program, prompt);
  return cached;
}

void EngineModel::Store(const core::ProgramId& program, core::Tokens tokens) {
  Release(program);
  m_lru.push_back(program);
  m_prefixes[program] = {tokens, std::prev(m_lru.end())};
  m_cached_tokens += tokens;
  while (m_cached_tokens > m_parameters.cache_tokens && m_prefixes.size() > 1)
    Release(core::ProgramId(m_lru.front()));
}

void EngineModel::Release(const core::ProgramId& program) {
  const auto it = m_prefixes.find(program);
  if (it == m_prefixes.end()) return;
  m_cached_tokens -= it->second.tokens;
  m_lru.erase(it->second.lru_position);
  m_prefixes.erase(it);
}

void EngineModel::Reset() {
  m_calls.clear();
  m_prefixes.clear();
  m_lru.clear();
  m_cached_tokens = 0;
}

std::vector<std::uint64_t> EngineModel::Advance(double now) {
  std::vector<std::uint64_t> finished;
  while (!m_calls.empty() && m_now < now) {
    // One step: each call past its prefill generates a token. The prefill
    // budget of the step goes to the other calls in order of their run number.
    const double step =
        (m_parameters.step_ms + m_parameters.step_ms_per_call *
                                    static_cast<double>(m_calls.size() - 1)) *
        m_parameters.slowdown;
    if (m_now + step > now) break;
    m_now += step;
    double chunk =
        step * m_parameters.prefill_tokens_per_ms / m_parameters.slowdown;
    for (auto it = m_calls.begin(); it != m_calls.end();) {
      Call& call = it->second;
      if (call.prefill_left > 0) {
        const double part = std::min(chunk, call.prefill_left);
        call.prefill_left -= part;
        chunk -= part;
      } else {
        call.tokens_left -= 1;
      }
      if (call.prefill_left <= 0 && call.tokens_left <= 0) {
        finished.push_back(it->first);
        Store(call.program, call.prompt + call.tokens);
        it = m_calls.erase(it);
      } else {
        ++it;
      }
    }
  }
  if (m_calls.empty()) m_now = std::max(m_now, now);
  return finished;
}

}  // namespace yuccawick::bench

#include "model_server.h"

#include <algorithm>

namespace yuccawick::bench {

void ModelServer::Start(std::uint64_t run, std::size_t program,
                        std::int64_t prompt, std::int64_t tokens) {
  m_queue.push_back({run, program, 0, prompt, tokens});
}

void ModelServer::Drop(std::uint64_t run) {
  std::erase_if(m_queue, [run](const Run& each) { return each.id == run; });
  std::erase_if(m_runs, [this, run](const Run& each) {
    if (each.id != run) return false;
    m_used_tokens -= each.used_tokens;
    return true;
  });
}

std::vector<ModelServer::Finished> ModelServer::Advance(double now) {
  std::vector<Finished> finished;
  while (m_now < now) {
    AdmitQueued();
    if (m_runs.empty()) {
      m_now = now;
    } else {
      Step(&m_now, &finished);
    }
  }
  return finished;
}

std::int64_t ModelServer::Free() const {
  return m_parameters.memory_tokens - m_used_tokens;
}

bool ModelServer::EvictFor(std::int64_t tokens) {
  while (Free() < tokens && !m_cache.empty()) {
    Cached&            least_recent = m_cache.front();
    const std::int64_t count = std::min(least_recent.tokens, tokens - Free());
    least_recent.tokens -= count;
    m_used_tokens -= count;
    if (least_recent.tokens > 0) continue;
    m_by_program.erase(least_recent.program);
    m_cache.pop_front();
  }
  return Free() >= tokens;
}

std::int64_t ModelServer::TakeCachedPrefix(std::size_t  program,
                                           std::int64_t limit) {
  const auto found = m_by_program.find(program);
  if (found == m_by_program.end()) return 0;
  const std::int64_t tokens = found->second->tokens;
  m_cache.erase(found->second);
  m_by_program.erase(found);
  m_used_tokens -= tokens;
  return std::min(tokens, limit);
}

void ModelServer::AdmitQueued() {
  while (m_runs.size() < m_parameters.slots && !m_queue.empty()) {
    Run                run = m_queue.front();
    const std::int64_t cached = TakeCachedPrefix(run.program, run.prefill_left);
    m_used_tokens += cached;
    run.used_tokens = cached;
    run.prefill_left -= cached;
    if (!EvictFor(run.prefill_left + 1)) {
      // Stays at the head of the queue; its prefix goes back to the cache.
      m_cache.push_back({run.program, cached});
      m_by_program[run.program] = std::prev(m_cache.end());
      return;
    }
    m_used_tokens += run.prefill_left;
    run.used_tokens += run.prefill_left;
    m_runs.push_back(run);
    m_queue.pop_front();
  }
}

void ModelServer::Preempt() {
  Run run = m_runs.back();
  m_runs.pop_back();
  m_used_tokens -= run.used_tokens;
  run.prefill_left = run.used_tokens;
  run.used_tokens = 0;
  m_queue.push_front(run);
  ++m_preempted;
}

void ModelServer::Step(double* now, std::vector<Finished>* finished) {
  std::int64_t prefill_budget = m_parameters.max_prefill_chunk;
  const auto   others = static_cast<double>(m_runs.size() - 1);
  std::int64_t generating = 0;
  for (Run& run : m_runs) {
    const std::int64_t count = std::min(prefill_budget, run.prefill_left);
    run.prefill_left -= count;
    prefill_budget -= count;
    if (run.prefill_left == 0) ++generating;
  }
  const std::int64_t prefilled =
      m_parameters.max_prefill_chunk - prefill_budget;
  m_prefilled += prefilled;
  *now +=
      (m_parameters.step_ms + m_parameters.step_ms_per_extra_run * others +
       static_cast<double>(prefilled) / m_parameters.prefill_tokens_per_ms) *
      m_parameters.slowdown;
  while (!EvictFor(generating) && m_runs.size() > 1) {
    if (m_runs.back().prefill_left == 0) --generating;
    Preempt();
  }
  for (std::size_t i = 0; i < m_runs.size();) {
    Run& run = m_runs[i];
    if (run.prefill_left > 0) {
      ++i;
      continue;
    }
    ++run.used_tokens;
    ++m_used_tokens;
    if (--run.output_left > 0) {
      ++i;
      continue;
    }
    finished->push_back({run.id, *now});
    TakeCachedPrefix(run.program, 0);
    m_cache.push_back({run.program, run.used_tokens});
    m_by_program[run.program] = std::prev(m_cache.end());
    m_runs.erase(m_runs.begin() + static_cast<std::ptrdiff_t>(i));
  }
}

}  // namespace yuccawick::bench

// Simulated model engine with continuous batching and an LRU prefix cache, for
// benchmarks that drive the core on a simulated clock.
//
// In each step every call that has finished its prefill generates one token;
// step time grows with the batch size. A call first computes the part of its
// prompt that is not in the prefix cache.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <vector>

#include "yuccawick/core/messages.h"

namespace yuccawick::bench {

struct EngineParameters {
  double       prefill_tokens_per_ms = 10;
  double       step_ms = 25;            // step time of a batch of one
  double       step_ms_per_call = 0.6;  // added by each further call
  std::size_t  max_batch = 16;
  core::Tokens cache_tokens = 300'000;  // prefix cache, without running calls
  double       slowdown = 1;            // multiplies the time of every step
};

class EngineModel {
 public:
  explicit EngineModel(EngineParameters parameters)
      : m_parameters(parameters) {}

  // Starts a call with a prompt of `prompt` tokens that generates `tokens`
  // tokens. Returns the number of prompt tokens found in the cache.
  core::Tokens Start(std::uint64_t run, const core::ProgramId& program,
                     core::Tokens prompt, core::Tokens tokens);
  // Simulates until `now` (ms). Returns the finished calls in order.
  std::vector<std::uint64_t> Advance(double now);
  void                       Release(const core::ProgramId& program);
  // Simulates a crash: drops all running calls and cached prefixes.
  void                       Reset();
  void SetSlowdown(double slowdown) { m_parameters.slowdown = slowdown; }

  std::size_t  running() const { return m_calls.size(); }
  core::Tokens computed() const {
    return m_computed;
  }  // prompt tokens computed
  core::Tokens cached_for(const core::ProgramId& program) const;

 private:
  struct Call {
    core::ProgramId program;
    core::Tokens    prompt = 0;
    double          prefill_left = 0;  // tokens
    double          tokens_left = 0;
    core::Tokens    tokens = 0;
  };
  struct Prefix {
    core::Tokens                         tokens = 0;
    std::list<core::ProgramId>::iterator lru_position;
  };

  void Store(const core::ProgramId& program, core::Tokens tokens);

  EngineParameters                  m_parameters;
  double                            m_now = 0;
  std::map<std::uint64_t, Call>     m_calls;
  std::map<core::ProgramId, Prefix> m_prefixes;
  std::list<core::ProgramId>        m_lru;  // least recently used first
  core::Tokens                      m_cached_tokens = 0;
  core::Tokens                      m_computed = 0;
};

}  // namespace yuccawick::bench

// A model of a model engine, to drive the core's decisions by events.
//
// Continuous batching: every call in the batch gets one token a step; a step
// takes longer the more calls are in it. A call first computes the part of its
// prompt that the prefix cache lacks, during which the batch slows down. The
// cache is limited and drops the least recently used prefix. Load is told with
// a lag by whoever asks.
//
// Parameters stand for a mid-size model on one accelerator group, from round
// numbers that operators commonly quote, not from measurements of ours:
// 10 prompt tokens a ms, 25 ms a step alone, 0.6 ms more for each further call.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <vector>

#include "yuccawick/core/messages.h"

namespace yuccawick::bench {

struct EngineParameters {
  double       prefill_tokens_per_ms = 10;
  double       step_ms = 25;            // one token for a batch of one
  double       step_ms_per_call = 0.6;  // more for each further call
  std::size_t  batch = 16;
  core::Tokens cache_tokens = 300'000;  // beside the calls under way
  double       slowdown = 1;            // of everything, for a slow engine
};

class EngineModel {
 public:
  explicit EngineModel(EngineParameters parameters)
      : m_parameters(parameters) {}

  // Takes a call whose prompt has `prompt` tokens and that will generate
  // `tokens`. Returns how many prompt tokens the cache had.
  core::Tokens Start(std::uint64_t run, const core::ProgramId& program,
                     core::Tokens prompt, core::Tokens tokens);
  // Runs until `now`; the calls that finished, in order.
  std::vector<std::uint64_t> Advance(double now);
  void                       Release(const core::ProgramId& program);
  // The engine dies: everything under way and cached is gone.
  void                       Reset();
  void SetSlowdown(double slowdown) { m_parameters.slowdown = slowdown; }

  std::size_t  running() const { return m_calls.size(); }
  core::Tokens computed() const { return m_computed; }  // prompt tokens
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
    std::list<core::ProgramId>::iterator age;
  };

  void Store(const core::ProgramId& program, core::Tokens tokens);

  EngineParameters                  m_parameters;
  double                            m_now = 0;
  std::map<std::uint64_t, Call>     m_calls;
  std::map<core::ProgramId, Prefix> m_prefixes;
  std::list<core::ProgramId>        m_ages;  // least recently used first
  core::Tokens                      m_held = 0;
  core::Tokens                      m_computed = 0;
};

}  // namespace yuccawick::bench

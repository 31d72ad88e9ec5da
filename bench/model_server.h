// Simulated model server that can be overloaded: a fixed number of slots, a
// FIFO queue, and KV memory shared by running turns and cached prefixes.
//
// Continuous batching with chunked prefill: in each step every run that has
// finished its prefill generates one token, and up to one chunk of prompt
// tokens is prefilled, which lengthens the step for all runs. The tokens of a
// finished run stay cached for the next turn of its program. Runs that need
// memory evict the least recently used prefixes; if none is left, the run
// admitted last is preempted and has to prefill again.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <vector>

namespace yuccawick::bench {

struct ModelServerParameters {
  std::size_t  slots = 6;
  std::int64_t memory_tokens = 45'935;  // tokens
  double       step_ms = 3.13;
  double       step_ms_per_extra_run = 0.0179;  // added by each further run
  double       prefill_tokens_per_ms = 78.6;
  std::int64_t max_prefill_chunk = 4096;  // prefill tokens per step
  double       slowdown = 1;              // multiplies the time of every step
};

class ModelServer {
 public:
  struct Finished {
    std::uint64_t run = 0;
    double        time = 0;
  };

  explicit ModelServer(const ModelServerParameters& parameters)
      : m_parameters(parameters) {}

  // Queues a turn with a prompt of `prompt` tokens that generates `tokens`
  // tokens.
  void Start(std::uint64_t run, std::size_t program, std::int64_t prompt,
             std::int64_t tokens);
  // Removes a queued or running turn whose client disconnected.
  void Drop(std::uint64_t run);
  // Simulates until `now` (ms). Returns the finished turns in order.
  std::vector<Finished> Advance(double now);

  std::int64_t prefilled() const {
    return m_prefilled;
  }  // prompt tokens in total
  int preempted() const { return m_preempted; }

 private:
  struct Run {
    std::uint64_t id = 0;
    std::size_t   program = 0;
    std::int64_t  used_tokens = 0;  // tokens in KV memory
    std::int64_t  prefill_left = 0;
    std::int64_t  output_left = 0;
  };
  struct Cached {
    std::size_t  program = 0;
    std::int64_t tokens = 0;
  };
  using Cache = std::list<Cached>;  // least recently used first

  std::int64_t Free() const;
  // Evicts prefixes until `tokens` are free; false if that is not possible.
  bool         EvictFor(std::int64_t tokens);
  // Removes the cached prefix of a program. Returns its tokens, at most
  // `limit`.
  std::int64_t TakeCachedPrefix(std::size_t program, std::int64_t limit);
  void         AdmitQueued();
  void         Preempt();
  void         Step(double* now, std::vector<Finished>* finished);

  ModelServerParameters                  m_parameters;
  double                                 m_now = 0;
  std::deque<Run>                        m_queue;
  std::vector<Run>                       m_runs;  // in order of admission
  Cache                                  m_cache;
  std::map<std::size_t, Cache::iterator> m_by_program;
  std::int64_t m_used_tokens = 0;  // by runs and cached prefixes
  std::int64_t m_prefilled = 0;
  int          m_preempted = 0;
};

}  // namespace yuccawick::bench

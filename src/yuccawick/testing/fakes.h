// In-memory fakes of the platform's log and of a backend server, for tests of
// the core. Failures can be injected, and effects are counted, so that a test
// can compare the replies to callers with what was executed.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "yuccawick/core/messages.h"

namespace yuccawick::testing {

// Failure mode of the log.
enum class LogMode : std::uint8_t {
  kUp,
  kDown,        // refuses all requests
  kLosesReply,  // appends take effect, but their replies are lost
};

class FakeLog {
 public:
  core::AppendDone Append(const core::AppendRecords& command);
  core::ReadDone   Read(const core::ReadRecords& command) const;
  // Deletes all records below `offset`, as retention does.
  void             Trim(const std::string& stream, core::Offset offset);

  void                             SetMode(LogMode mode) { m_mode = mode; }
  std::int64_t                     append_count() const { return m_appends; }
  std::int64_t                     append_bytes() const { return m_bytes; }
  core::Offset                     EndOf(const std::string& stream) const;
  const std::vector<core::Record>& Records(const std::string& stream);

 private:
  struct Stream {
    std::vector<core::Record> records;
    core::Offset              earliest = 0;
  };
  std::map<std::string, Stream> m_streams;
  LogMode                       m_mode = LogMode::kUp;
  std::int64_t                  m_appends = 0;
  std::int64_t                  m_bytes = 0;
};

// A model engine or an application server.
class FakeBackend {
 public:
  struct Running {
    core::RunCall order;
    core::Time    done_at = 0;
  };

  // Starts a call that runs for `takes` ms.
  void Run(const core::RunCall& order, core::Time now, core::Duration takes);
  void Cancel(std::uint64_t run);
  void Release(const core::ReleasePrefix& order);
  // Returns the calls that finished by `now` or were refused or cancelled since
  // the last call of this function.
  std::vector<core::RunDone> Finish(core::Time now);

  // While set, calls run but do not finish.
  void Hold(bool hold) { m_hold = hold; }
  // Whether requests with an old fencing number are refused.
  void CheckFence(bool check) { m_checks_fence = check; }

  // Number of executions of each call, by program and sequence.
  using Key = std::pair<core::ProgramId, core::Sequence>;
  const std::map<Key, int>& effects() const { return m_effects; }
  // Calls in the order of their execution.
  const std::vector<Key>&   order() const { return m_order; }
  int                       EffectsOf(const Key& key) const;
  std::size_t               prefixes_held() const { return m_prefixes.size(); }
  core::Tokens              tokens_served() const { return m_tokens; }
  core::Tokens              TokensOf(const std::string& customer) const;

  static std::string AnswerTo(const core::Call& call);

 private:
  std::map<std::uint64_t, Running>    m_running;
  std::map<Key, int>                  m_effects;
  std::vector<Key>                    m_order;
  std::set<core::ProgramId>           m_prefixes;
  std::map<std::string, core::Tokens> m_tokens_of;
  core::Tokens                        m_tokens = 0;
  core::Offset                        m_fence = core::kNoOffset;
  bool                                m_hold = false;
  bool                                m_checks_fence = false;
  std::vector<core::RunDone>          m_refused;
};

}  // namespace yuccawick::testing

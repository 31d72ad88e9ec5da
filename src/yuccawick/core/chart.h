// State charts: the states of an object and the events that change them.
//
// Charts are text files under charts/ with one transition per line:
//
//   # comment
//   start  queued
//   queued     dispatch   running
//
// They are compiled into the binary, because VMs keep no files, and are the
// only definition of legal transitions. Loading checks each chart against the
// enums of its states and events: unknown names, unreachable states and unused
// events are errors.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

namespace yuccawick::core {

enum class ChartFault : std::uint8_t {
  kBadLine,           // neither `start S` nor `S E S`
  kUnknownState,      // the state is not in the enum
  kUnknownEvent,      // the event is not in the enum
  kDuplicate,         // two transitions from one state on one event
  kNoStart,           // no start line, or more than one
  kUnreachableState,  // not reachable from the start state
  kUnusedEvent,       // no transition uses the event
};
std::string_view Name(ChartFault fault);

struct ChartError {
  ChartFault  fault;
  int         line = 0;  // 1-based; 0: the whole chart
  std::string word;      // the offending state or event
};

using NameList = std::vector<std::string_view>;

class Chart {
 public:
  static tl::expected<Chart, ChartError> Parse(std::string_view text,
                                               const NameList&  states,
                                               const NameList&  events);
  int                                    start() const { return m_start; }
  // The next state, or -1 if the event is not allowed in `state`.
  int                                    Next(int state, int event) const;

 private:
  Chart(std::size_t states, std::size_t events);
  tl::expected<void, ChartError> CheckReachability(
      const NameList& states, const NameList& events) const;

  std::size_t      m_events;
  int              m_start = -1;
  std::vector<int> m_next;  // [state * events + event]
};

// A chart whose states and events are enums that count from 0.
template <class State, class Event>
class TypedChart {
 public:
  explicit TypedChart(Chart chart) : m_chart(std::move(chart)) {}

  State Start() const { return static_cast<State>(m_chart.start()); }
  bool  Allows(State state, Event event) const {
     return m_chart.Next(Index(state), Index(event)) >= 0;
  }
  // Applies `event` to `state`. Returns false and leaves `state` unchanged if
  // the chart has no such transition.
  bool Fire(State* state, Event event) const {
    const int next = m_chart.Next(Index(*state), Index(event));
    if (next < 0) return false;
    *state = static_cast<State>(next);
    return true;
  }

 private:
  template <class E>
  static int Index(E value) {
    return static_cast<int>(value);
  }
  Chart m_chart;
};

// The built-in charts, parsed on first use. A chart that fails to load aborts
// the process with a message.
enum class ProgramPhase : std::uint8_t {
  kIdle,
  kFunding,
  kRecording,
  kRunning,
  kSettling,
  kRecovering,
  kEnded
};
enum class ProgramEvent : std::uint8_t {
  kCallReady,
  kFunded,
  kRecorded,
  kRefused,
  kAnswered,
  kDurable,
  kAdopted,
  kRecovered,
  kEnd
};
enum class CallPhase : std::uint8_t { kQueued, kRunning, kDone };
enum class CallEvent : std::uint8_t { kStart, kFinish, kGiveUp };
enum class PeerPhase : std::uint8_t {
  kUnknown,
  kAlive,
  kSuspect,
  kLeaving,
  kGone
};
enum class PeerEvent : std::uint8_t { kHeard, kSilent, kLeave, kRemoved };
enum class ConfigPhase : std::uint8_t { kNone, kCurrent, kBehind };
enum class ConfigEvent : std::uint8_t { kRead, kReadFailed, kFromPeer };

using ProgramChart = TypedChart<ProgramPhase, ProgramEvent>;
using CallChart = TypedChart<CallPhase, CallEvent>;
using PeerChart = TypedChart<PeerPhase, PeerEvent>;
using ConfigChart = TypedChart<ConfigPhase, ConfigEvent>;

const ProgramChart& GetProgramChart();
const CallChart&    GetCallChart();
const PeerChart&    GetPeerChart();
const ConfigChart&  GetConfigChart();

std::string_view Name(ProgramPhase phase);
std::string_view Name(CallPhase phase);
std::string_view Name(PeerPhase phase);
std::string_view Name(ConfigPhase phase);

// The text of one built-in chart and the names that it is checked against.
struct ChartSource {
  std::string_view name;
  std::string_view text;
  NameList         states;
  NameList         events;
};
const std::vector<ChartSource>& ChartSources();

}  // namespace yuccawick::core

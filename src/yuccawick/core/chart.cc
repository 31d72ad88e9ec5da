#include "yuccawick/core/chart.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <sstream>

#include "yuccawick/core/chart_text.h"

namespace yuccawick::core {
namespace {

// ---- Names

constexpr std::array<std::string_view, 7> kFaultNames{
    "bad_line", "unknown_state", "unknown_event", "duplicate",
    "no_start", "unreachable",   "unused_event"};
const NameList kProgramStates{"idle",     "funding",    "recording", "running",
                              "settling", "recovering", "ended"};
const NameList kProgramEvents{"call_ready", "funded",    "recorded",
                              "refused",    "answered",  "durable",
                              "adopted",    "recovered", "end"};
const NameList kCallStates{"queued", "running", "done"};
const NameList kCallEvents{"start", "finish", "give_up"};
const NameList kPeerStates{"unknown", "alive", "suspect", "leaving", "gone"};
const NameList kPeerEvents{"heard", "silent", "leave", "removed"};
const NameList kConfigStates{"none", "current", "behind"};
const NameList kConfigEvents{"read", "read_failed", "from_peer"};

// ---- Parsing

int IndexOf(const NameList& names, std::string_view name) {
  const auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

std::vector<std::string> Words(const std::string& line) {
  std::istringstream       in(line);
  std::vector<std::string> words;
  for (std::string word; in >> word;) words.push_back(word);
  return words;
}

tl::unexpected<ChartError> Fail(ChartFault fault, int line, std::string word) {
  return tl::make_unexpected(ChartError{fault, line, std::move(word)});
}

// ---- Loading

template <class State, class Event>
TypedChart<State, Event> Load(const ChartSource& source) {
  auto chart = Chart::Parse(source.text, source.states, source.events);
  if (!chart) {
    const std::string fault(Name(chart.error().fault));
    std::fprintf(stderr, "chart %s line %d: %s: %s\n",
                 std::string(source.name).c_str(), chart.error().line,
                 fault.c_str(), chart.error().word.c_str());
    std::abort();
  }
  return TypedChart<State, Event>(std::move(*chart));
}

enum ChartIndex : std::size_t { kProgram, kCall, kPeer, kConfiguration };

}  // namespace

std::string_view Name(ChartFault fault) {
  return kFaultNames[static_cast<std::size_t>(fault)];
}

Chart::Chart(std::size_t states, std::size_t events)
    : m_events(events), m_next(states * events, -1) {}

tl::expected<Chart, ChartError> Chart::Parse(std::string_view text,
                                             const NameList&  states,
                                             const NameList&  events) {
  Chart              chart(states.size(), events.size());
  std::istringstream in{std::string(text)};
  std::string        line;
  for (int number = 1; std::getline(in, line); ++number) {
    const auto words = Words(line);
    if (words.empty() || words[0][0] == '#') continue;
    if (words.size() == 2 && words[0] == "start") {
      if (chart.m_start >= 0)
        return Fail(ChartFault::kNoStart, number, words[1]);
      chart.m_start = IndexOf(states, words[1]);
      if (chart.m_start < 0)
        return Fail(ChartFault::kUnknownState, number, words[1]);
      continue;
    }
    if (words.size() != 3) return Fail(ChartFault::kBadLine, number, line);
    const int from = IndexOf(states, words[0]);
    const int event = IndexOf(events, words[1]);
    const int to = IndexOf(states, words[2]);
    if (from < 0) return Fail(ChartFault::kUnknownState, number, words[0]);
    if (event < 0) return Fail(ChartFault::kUnknownEvent, number, words[1]);
    if (to < 0) return Fail(ChartFault::kUnknownState, number, words[2]);
    int& next = chart.m_next[static_cast<std::size_t>(from) * events.size() +
                             static_cast<std::size_t>(event)];
    if (next >= 0) return Fail(ChartFault::kDuplicate, number, line);
    next = to;
  }
  if (chart.m_start < 0) return Fail(ChartFault::kNoStart, 0, "start");
  if (auto used = chart.CheckReachability(states, events); !used)
    return tl::make_unexpected(used.error());
  return chart;
}

int Chart::Next(int state, int event) const {
  return m_next[static_cast<std::size_t>(state) * m_events +
                static_cast<std::size_t>(event)];
}

tl::expected<void, ChartError> Chart::CheckReachability(
    const NameList& states, const NameList& events) const {
  std::vector<bool> reached(states.size(), false);
  std::vector<bool> used(events.size(), false);
  std::vector<int>  to_visit{m_start};
  reached[static_cast<std::size_t>(m_start)] = true;
  while (!to_visit.empty()) {
    const int state = to_visit.back();
    to_visit.pop_back();
    for (std::size_t event = 0; event < m_events; ++event) {
      const int next = Next(state, static_cast<int>(event));
      if (next < 0) continue;
      used[event] = true;
      if (reached[static_cast<std::size_t>(next)]) continue;
      reached[static_cast<std::size_t>(next)] = true;
      to_visit.push_back(next);
    }
  }
  for (std::size_t i = 0; i < states.size(); ++i) {
    if (!reached[i])
      return Fail(ChartFault::kUnreachableState, 0, std::string(states[i]));
  }
  for (std::size_t i = 0; i < events.size(); ++i) {
    if (!used[i])
      return Fail(ChartFault::kUnusedEvent, 0, std::string(events[i]));
  }
  return {};
}

const std::vector<ChartSource>& ChartSources() {
  static const std::vector<ChartSource> sources{
      {"program", kProgramChartText, kProgramStates, kProgramEvents},
      {"call", kCallChartText, kCallStates, kCallEvents},
      {"peer", kPeerChartText, kPeerStates, kPeerEvents},
      {"configuration", kConfigurationChartText, kConfigStates, kConfigEvents},
  };
  return sources;
}

const ProgramChart& GetProgramChart() {
  static const auto chart =
      Load<ProgramPhase, ProgramEvent>(ChartSources()[kProgram]);
  return chart;
}

const CallChart& GetCallChart() {
  static const auto chart = Load<CallPhase, CallEvent>(ChartSources()[kCall]);
  return chart;
}

const PeerChart& GetPeerChart() {
  static const auto chart = Load<PeerPhase, PeerEvent>(ChartSources()[kPeer]);
  return chart;
}

const ConfigChart& GetConfigChart() {
  static const auto chart =
      Load<ConfigPhase, ConfigEvent>(ChartSources()[kConfiguration]);
  return chart;
}

std::string_view Name(ProgramPhase phase) {
  return kProgramStates[static_cast<std::size_t>(phase)];
}
std::string_view Name(CallPhase phase) {
  return kCallStates[static_cast<std::size_t>(phase)];
}
std::string_view Name(PeerPhase phase) {
  return kPeerStates[static_cast<std::size_t>(phase)];
}
std::string_view Name(ConfigPhase phase) {
  return kConfigStates[static_cast<std::size_t>(phase)];
}

}  // namespace yuccawick::core

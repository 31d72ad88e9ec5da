#include "yuccawick/cli/explain.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <array>
#include <istream>
#include <optional>
#include <set>
#include <utility>

namespace yuccawick::cli {
namespace {

using Poco::JSON::Object;

// Events of a node up to this long before a request may explain the result, in
// ms. Covers the time for which placement and peers remember a failure.
constexpr std::int64_t kLookbackMs = 3000;

struct Line {
  std::int64_t time = 0;
  std::string  event;
  std::string  node;
  Object::Ptr  fields;

  std::string Text(const std::string& name) const {
    return fields->optValue<std::string>(name, "");
  }
};

// Events of the node itself that may explain how it treated a request.
bool IsNodeEvent(const std::string& event) {
  constexpr std::array<std::string_view, 10> kNodeEvents{
      "log_lost", "log_back", "manifest", "servers",  "peer",
      "started",  "stopping", "stopped",  "settings", "dropped"};
  return std::find(kNodeEvents.begin(), kNodeEvents.end(), event) !=
         kNodeEvents.end();
}

std::optional<Line> ReadLine(const std::string& text) {
  const auto brace = text.find('{');
  if (brace == std::string::npos) return std::nullopt;
  try {
    Poco::JSON::Parser parser;
    Line               line;
    line.fields = parser.parse(text.substr(brace)).extract<Object::Ptr>();
    line.time = line.fields->getValue<std::int64_t>("time_ms");
    line.event = line.fields->getValue<std::string>("event");
    line.node = line.fields->getValue<std::string>("node");
    return line;
  } catch (const Poco::Exception&) {
    // Output of another program, or a line truncated by a crash.
    return std::nullopt;
  }
}

std::vector<Line> ReadLines(std::istream& logs) {
  std::vector<Line> lines;
  std::string       text;
  while (std::getline(logs, text)) {
    auto line = ReadLine(text);
    if (line) lines.push_back(std::move(*line));
  }
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const Line& a, const Line& b) { return a.time < b.time; });
  return lines;
}

// The request with this id and the other attempts of it, or all requests of the
// program with this id.
std::set<std::string> RequestsOf(const std::vector<Line>& lines,
                                 const std::string&       id) {
  std::set<std::string> requests;
  std::set<std::string> keys;
  for (const Line& line : lines) {
    const bool own = line.Text("request") == id;
    if (own && !line.Text("request_key").empty())
      keys.insert(line.Text("request_key"));
  }
  for (const Line& line : lines) {
    if (keys.contains(line.Text("request_key")) &&
        !line.Text("request").empty())
      requests.insert(line.Text("request"));
  }
  for (const Line& line : lines) {
    if (line.Text("request") == id || line.Text("program") == id) {
      const std::string request = line.Text("request");
      if (!request.empty()) requests.insert(request);
    }
  }
  return requests;
}

struct Window {
  std::int64_t from = 0;
  std::int64_t to = 0;
};

std::string FormatEvent(const Line& line, std::int64_t start) {
  std::string text = std::to_string(line.time - start) + " ms  " + line.node +
                     "  " + line.event;
  for (const auto& [name, value] : *line.fields) {
    if (name == "time_ms" || name == "event" || name == "node") continue;
    const std::string shown = value.toString();
    if (!shown.empty()) text.append("  ").append(name).append("=" + shown);
  }
  return text;
}

}  // namespace

std::string_view Name(ExplainFault /*fault*/) { return "not_found"; }

tl::expected<Timeline, ExplainFault> Explain(std::istream&      logs,
                                             const std::string& id) {
  const std::vector<Line>     lines = ReadLines(logs);
  const std::set<std::string> requests = RequestsOf(lines, id);
  std::set<std::string>       programs;
  std::set<std::string>       nodes;
  // Servers that broke off one of the requests.
  std::set<std::string>       broken_servers;
  // Coordinators that refused the program for lack of capacity.
  std::set<std::string>       coordinators;
  std::optional<Window>       window;
  for (const Line& line : lines) {
    if (!requests.contains(line.Text("request"))) continue;
    if (!window) window = Window{line.time, line.time};
    window->to = line.time;
    nodes.insert(line.node);
    if (!line.Text("program").empty()) programs.insert(line.Text("program"));
    if (line.event == "loss") broken_servers.insert(line.Text("server"));
    if (line.Text("reason") == "no_room") {
      const std::string coordinator = line.Text("tokens_counted_by");
      coordinators.insert(coordinator.empty() ? line.node : coordinator);
    }
  }
  if (!window) return tl::unexpected(ExplainFault::kNotFound);
  Timeline timeline;
  for (const Line& line : lines) {
    const bool in_window =
        line.time >= window->from - kLookbackMs && line.time <= window->to;
    const bool own = requests.contains(line.Text("request"));
    const bool claim = in_window && line.event == "claim" &&
                       programs.contains(line.Text("program"));
    const bool node_event =
        in_window && IsNodeEvent(line.event) && nodes.contains(line.node);
    const bool capacity =
        in_window && line.event == "room" && coordinators.contains(line.node);
    const bool probe = in_window && line.event == "probed" &&
                       broken_servers.contains(line.Text("server"));
    if (own || claim || node_event || capacity || probe)
      timeline.push_back(FormatEvent(line, window->from));
  }
  return timeline;
}

}  // namespace yuccawick::cli

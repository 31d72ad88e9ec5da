// Reconstructs the timeline of one request or program from gateway logs.
//
// The input holds the log lines of all nodes in any order; a collector's prefix
// before the JSON is skipped, and other lines are ignored. The timeline holds
// the request's own lines, the token claims of its program, and the events
// shortly before that may explain the result: log outages, manifests, changes
// of servers and peers.
#pragma once

#include <iosfwd>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace yuccawick::cli {

enum class ExplainFault : std::uint8_t {
  kNotFound,  // no line names the id as a request or program
};
std::string_view Name(ExplainFault fault);

// Output lines, oldest first.
using Timeline = std::vector<std::string>;

tl::expected<Timeline, ExplainFault> Explain(std::istream&      logs,
                                             const std::string& id);

}  // namespace yuccawick::cli

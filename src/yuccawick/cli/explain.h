// Tells one request's or program's story from the logs of the gateways.
//
// Feed it the log lines of all nodes, in any order; lines that are no JSON, or
// come after a prefix that a collector adds, are coped with. The story holds
// the request's own lines, the token claims of its program, and what the node
// that took it learned shortly before: a lost log, a manifest, servers, peers.
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

// One line each, oldest first.
using Story = std::vector<std::string>;

tl::expected<Story, ExplainFault> Explain(std::istream&      logs,
                                          const std::string& id);

}  // namespace yuccawick::cli

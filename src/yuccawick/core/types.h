// Identifiers and units used throughout the core.
//
// A node is one process on one VM: an entry or a server agent. A restarted
// process is a different node with a different incarnation. Incarnations are
// chosen without agreement, so they have no order and are compared for equality
// only; order comes from log offsets, which serve as fencing numbers.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace yuccawick::core {

using Time = std::int64_t;       // milliseconds since the Unix epoch
using Duration = std::int64_t;   // milliseconds
using Tokens = std::int64_t;     // engine tokens, the unit of all budgets
using Offset = std::int64_t;     // position of a record in a log stream
using Sequence = std::uint32_t;  // position of a call in its program, from 1

constexpr Offset kNoOffset = -1;  // before the first record

// Bytes per token in estimates of texts that the engine has not counted.
constexpr Tokens kBytesPerToken = 4;

// Estimated token count of a text, for reservations.
Tokens EstimateTokens(std::string_view text);

struct NodeRef {
  std::string   vm;               // platform name of the VM
  std::uint64_t incarnation = 0;  // unique per process start; 0: unknown

  auto operator<=>(const NodeRef&) const = default;
  template <class V>
  void Visit(V& v) {
    v("vm", vm);
    v("incarnation", incarnation);
  }
};

// Identifies a program and the node that created it. Its text form is the token
// that callers hold; any entry can find the program's coordinator from it.
struct ProgramId {
  NodeRef       origin;      // coordinator that created the id
  std::uint64_t number = 0;  // unique within the origin

  auto operator<=>(const ProgramId&) const = default;
  bool IsSet() const { return number != 0; }
  template <class V>
  void Visit(V& v) {
    v("origin", origin);
    v("number", number);
  }
};

enum class ParseError { kBadProgramId };

// True if a message addressed to `to` is for `self`. Incarnation 0 matches any
// node on that VM.
inline bool IsMeant(const NodeRef& to, const NodeRef& self) {
  return to == self || (to.vm == self.vm && to.incarnation == 0);
}

std::string                         ToString(const NodeRef& node);
std::string                         ToString(const ProgramId& id);
tl::expected<ProgramId, ParseError> ParseProgramId(std::string_view text);

// True for names that are valid in ids, stream names and URLs: [a-z0-9-], 1 to
// 63 characters.
bool IsValidName(std::string_view name);

enum class BackendKind : std::uint8_t { kModel, kService };
std::string_view Name(BackendKind kind);

enum class Role : std::uint8_t { kEntry, kAgent };
std::string_view Name(Role role);

}  // namespace yuccawick::core

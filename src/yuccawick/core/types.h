// Identities and units used by every part of the core.
//
// A node is one process on one VM: an entry or a server agent. A node that
// restarts is a different node, told apart by its incarnation. Incarnations are
// compared for equality only: they are minted without agreement, so they carry
// no order. Order comes from log offsets, used as fencing numbers.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace yuccawick::core {

using Time = std::int64_t;       // milliseconds since the Unix epoch
using Duration = std::int64_t;   // milliseconds
using Tokens = std::int64_t;     // engine tokens, the unit of every budget
using Offset = std::int64_t;     // position of a record in a log stream
using Sequence = std::uint32_t;  // position of a call in its program, from 1

constexpr Offset kNoOffset = -1;  // "before every record"

// Bytes of text counted as one token wherever the engine has not told better.
constexpr Tokens kBytesPerToken = 4;

// Worst-case token count of a text, for reservations.
Tokens EstimateTokens(std::string_view text);

struct NodeRef {
  std::string   vm;               // platform name of the VM
  std::uint64_t incarnation = 0;  // unique per process start; 0 means unknown

  auto operator<=>(const NodeRef&) const = default;
  template <class V>
  void Visit(V& v) {
    v("vm", vm);
    v("incarnation", incarnation);
  }
};

// Names a program and the node that minted it. The text form is the token that
// callers hold; it leads any entry to the program's home.
struct ProgramId {
  NodeRef       origin;      // the home that minted the id
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

// True if a message addressed to `to` is for `self`. Incarnation 0 means
// whichever runs on that VM.
inline bool IsMeant(const NodeRef& to, const NodeRef& self) {
  return to == self || (to.vm == self.vm && to.incarnation == 0);
}

std::string                         ToString(const NodeRef& node);
std::string                         ToString(const ProgramId& id);
tl::expected<ProgramId, ParseError> ParseProgramId(std::string_view text);

// True for names safe in ids, stream names and URLs: [a-z0-9-], 1 to 63 long.
bool IsValidName(std::string_view name);

enum class BackendKind : std::uint8_t { kModel, kService };
std::string_view Name(BackendKind kind);

enum class Role : std::uint8_t { kEntry, kAgent };
std::string_view Name(Role role);

}  // namespace yuccawick::core

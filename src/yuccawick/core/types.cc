#include "yuccawick/core/types.h"

#include <algorithm>
#include <charconv>

namespace yuccawick::core {
namespace {

constexpr std::size_t kMaxNameLength = 63;
constexpr int         kHexBase = 16;
constexpr int         kDecimalBase = 10;

bool ParseNumber(std::string_view text, int base, std::uint64_t* value) {
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), *value, base);
  return error == std::errc() && end == text.data() + text.size();
}

std::string ToHex(std::uint64_t value) {
  char buffer[kHexBase];
  const auto [end, error] =
      std::to_chars(buffer, buffer + sizeof(buffer), value, kHexBase);
  return {buffer, end};
}

}  // namespace

Tokens EstimateTokens(std::string_view text) {
  const auto bytes = static_cast<Tokens>(text.size());
  return (bytes + kBytesPerToken - 1) / kBytesPerToken;
}

std::string ToString(const NodeRef& node) {
  return node.vm + "." + ToHex(node.incarnation);
}

std::string ToString(const ProgramId& id) {
  return ToString(id.origin) + "." + std::to_string(id.number);
}

tl::expected<ProgramId, ParseError> ParseProgramId(std::string_view text) {
  const auto bad = tl::make_unexpected(ParseError::kBadProgramId);
  const auto first = text.find('.');
  if (first == std::string_view::npos) return bad;
  const auto second = text.find('.', first + 1);
  if (second == std::string_view::npos) return bad;
  ProgramId id;
  id.origin.vm = std::string(text.substr(0, first));
  const auto hex = text.substr(first + 1, second - first - 1);
  if (!IsValidName(id.origin.vm)) return bad;
  if (!ParseNumber(hex, kHexBase, &id.origin.incarnation)) return bad;
  if (!ParseNumber(text.substr(second + 1), kDecimalBase, &id.number))
    return bad;
  if (!id.IsSet()) return bad;
  return id;
}

bool IsValidName(std::string_view name) {
  if (name.empty() || name.size() > kMaxNameLength) return false;
  return std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
  });
}

std::string_view Name(BackendKind kind) {
  return kind == BackendKind::kModel ? "model" : "service";
}

std::string_view Name(Role role) {
  return role == Role::kEntry ? "entry" : "agent";
}

}  // namespace yuccawick::core

// Identifies a request across the attempts of its client or program.
//
// Each attempt has an id of its own, less time left and perhaps another event
// to resume after, and may arrive at any node. The key is a hash of what stays
// the same: workspace, method, host, target, body, program, session and
// previous turn. Other headers are left out, since a client may change them
// from attempt to attempt.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "yuccawick/traffic/request.h"

namespace yuccawick::traffic {

struct RequestKey {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const RequestKey&) const = default;
};

// `body` is the client's, without the history of its turn.
RequestKey  RequestKeyOf(std::string_view workspace, std::string_view method,
                         std::string_view target, std::string_view body,
                         const RequestInfo& info);
// Hash of any text, as a key of the same form.
RequestKey  HashOf(std::string_view text);
// 32 hexadecimal digits, for logs.
std::string Text(const RequestKey& key);

}  // namespace yuccawick::traffic

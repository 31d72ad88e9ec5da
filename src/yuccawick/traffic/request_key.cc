#include "yuccawick/traffic/request_key.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace yuccawick::traffic {

RequestKey RequestKeyOf(std::string_view workspace, std::string_view method,
                        std::string_view target, std::string_view body,
                        const RequestInfo& info) {
  const std::array<std::string_view, 7> fields{
      workspace,    method,       info.host,         target,
      info.program, info.session, info.previous_turn};
  std::string text;
  // The length before each field keeps different requests from having the same
  // text.
  for (const std::string_view field : fields)
    text.append(std::to_string(field.size())).append(" ").append(field);
  const XXH128_hash_t of_body = XXH3_128bits(body.data(), body.size());
  text.append(std::to_string(of_body.high64)).append(" ");
  text.append(std::to_string(of_body.low64));
  return HashOf(text);
}

RequestKey HashOf(std::string_view text) {
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return {hash.high64, hash.low64};
}

std::string Text(const RequestKey& key) {
  constexpr std::size_t         kDigits = 32;
  std::array<char, kDigits + 1> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(key.high),
                static_cast<unsigned long long>(key.low));
  return {text.data(), kDigits};
}

}  // namespace yuccawick::traffic

// Blocking HTTP exchanges with JSON bodies and typed errors.
//
// An error tells whether the request may have been executed: a request that was
// not sent did not run; a request that was sent but not answered may have run.
#pragma once

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPClientSession.h>

#include <cstdint>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace yuccawick::backends {

struct Endpoint {
  std::string   host;
  std::uint16_t port = 0;
};

enum class EndpointError : std::uint8_t { kNotHostPort };
// Reads "host:port".
tl::expected<Endpoint, EndpointError> ParseEndpoint(const std::string& text);

enum class HttpError : std::uint8_t {
  kNotSent,    // no connection; not executed
  kNoAnswer,   // sent without a complete response; may have been executed
  kRefused,    // rejected by the server (4xx, 503); not executed
  kFailed,     // failed during execution (other 5xx)
  kBadAnswer,  // malformed response; may have been executed
};

struct HttpSettings {
  int connect_timeout_ms = 1000;
  int answer_timeout_ms = 3000;
};

using JsonResult = tl::expected<Poco::JSON::Object::Ptr, HttpError>;

JsonResult GetJson(const Endpoint& endpoint, const std::string& path,
                   const HttpSettings& settings);
JsonResult PostJson(const Endpoint& endpoint, const std::string& path,
                    const Poco::JSON::Object& body,
                    const HttpSettings&       settings);

std::string ToText(const Poco::JSON::Object& object);

// Maps an HTTP status of 400 or above to an error.
HttpError ErrorOf(int status);

}  // namespace yuccawick::backends

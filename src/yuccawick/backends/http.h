// One HTTP exchange with a JSON body, with a typed result.
//
// The difference that matters everywhere is kept: a request that was never sent
// did not run, one that was sent and not answered may have run.
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
  kNotSent,    // no connection: certainly not done
  kNoAnswer,   // sent, but no whole answer came: may have been done
  kRefused,    // the server says it did not do it (4xx, 503)
  kFailed,     // the server did something and failed (other 5xx)
  kBadAnswer,  // an answer that is not the protocol's
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

// Reads the error of a status code; only for codes from 400 on.
HttpError ErrorOf(int status);

}  // namespace yuccawick::backends

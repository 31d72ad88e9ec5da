#include "yuccawick/backends/http.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>

#include <charconv>
#include <sstream>

namespace yuccawick::backends {
namespace {

constexpr int kMicrosPerMilli = 1000;
constexpr int kFirstErrorStatus = 400;
constexpr int kFirstServerError = 500;

Poco::Timespan Millis(int ms) {
  return Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(ms) *
                        kMicrosPerMilli);
}

JsonResult Exchange(const Endpoint& endpoint, const std::string& method,
                    const std::string& path, const std::string& body,
                    const HttpSettings& settings) {
  bool sent = false;
  try {
    Poco::Net::HTTPClientSession session(endpoint.host, endpoint.port);
    session.setTimeout(Millis(settings.connect_timeout_ms),
                       Millis(settings.answer_timeout_ms),
                       Millis(settings.answer_timeout_ms));
    Poco::Net::HTTPRequest request(method, path,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    auto& out = session.sendRequest(request);
    sent = true;
    out << body << std::flush;
    Poco::Net::HTTPResponse response;
    auto&                   response_stream = session.receiveResponse(response);
    std::string             text;
    Poco::StreamCopier::copyToString(response_stream, text);
    if (response.getStatus() >= kFirstErrorStatus)
      return tl::make_unexpected(ErrorOf(response.getStatus()));
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Net::NetException&) {
    return tl::make_unexpected(sent ? HttpError::kNoAnswer
                                    : HttpError::kNotSent);
  } catch (const Poco::TimeoutException&) {
    return tl::make_unexpected(sent ? HttpError::kNoAnswer
                                    : HttpError::kNotSent);
  } catch (const Poco::IOException&) {
    return tl::make_unexpected(sent ? HttpError::kNoAnswer
                                    : HttpError::kNotSent);
  } catch (const Poco::Exception&) {
    return tl::make_unexpected(HttpError::kBadAnswer);
  }
}

}  // namespace

tl::expected<Endpoint, EndpointError> ParseEndpoint(const std::string& text) {
  const auto bad_endpoint = tl::make_unexpected(EndpointError::kNotHostPort);
  const auto colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return bad_endpoint;
  Endpoint endpoint;
  endpoint.host = text.substr(0, colon);
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(first, last, endpoint.port);
  if (error != std::errc() || end != last) return bad_endpoint;
  return endpoint;
}

HttpError ErrorOf(int status) {
  if (status == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE)
    return HttpError::kRefused;
  return status < kFirstServerError ? HttpError::kRefused : HttpError::kFailed;
}

JsonResult GetJson(const Endpoint& endpoint, const std::string& path,
                   const HttpSettings& settings) {
  return Exchange(endpoint, Poco::Net::HTTPRequest::HTTP_GET, path, "",
                  settings);
}

JsonResult PostJson(const Endpoint& endpoint, const std::string& path,
                    const Poco::JSON::Object& body,
                    const HttpSettings&       settings) {
  return Exchange(endpoint, Poco::Net::HTTPRequest::HTTP_POST, path,
                  ToText(body), settings);
}

std::string ToText(const Poco::JSON::Object& object) {
  std::ostringstream out;
  object.stringify(out);
  return out.str();
}

}  // namespace yuccawick::backends

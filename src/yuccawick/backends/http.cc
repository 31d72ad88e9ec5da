#include "yuccawick/backends/http.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

#include "yuccawick/net/http.h"

namespace yuccawick::backends {
namespace {

constexpr int             kMicrosPerMilli = 1000;
constexpr int             kFirstErrorStatus = 400;
constexpr int             kFirstServerError = 500;
constexpr int             kFirstFinalStatus = 200;
constexpr std::size_t     kReadBytes = 16UL * 1024;
constexpr net::HttpLimits kResponseLimits{64UL * 1024, 64UL << 20};

Poco::Timespan Millis(int ms) {
  return Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(ms) *
                        kMicrosPerMilli);
}

// Collects one response. The reader takes a head only with its blank line and a
// body only with its whole length, which POCO's client does not check.
class ResponseSink final : public net::HttpSink {
 public:
  void OnHead(net::Head head) override { m_status = head.status; }
  void OnBody(std::string_view bytes) override { m_body += bytes; }
  void OnMessageEnd() override {
    if (m_status >= kFirstFinalStatus) {
      m_complete = true;
    } else {
      m_body.clear();
    }
  }

  bool               complete() const { return m_complete; }
  int                status() const { return m_status; }
  const std::string& body() const { return m_body; }

 private:
  int         m_status = 0;
  std::string m_body;
  bool        m_complete = false;
};

std::string RequestText(const Endpoint& endpoint, const std::string& method,
                        const std::string& path, const std::string& body) {
  std::string text = method + " " + path + " HTTP/1.1\r\n";
  net::AppendHeader(&text, "Host",
                    endpoint.host + ":" + std::to_string(endpoint.port));
  net::AppendHeader(&text, "Content-Type", "application/json");
  net::AppendHeader(&text, "Content-Length", std::to_string(body.size()));
  net::AppendHeader(&text, "Connection", "close");
  return text + "\r\n" + body;
}

void SendAll(Poco::Net::StreamSocket* socket, std::string_view bytes) {
  while (!bytes.empty()) {
    const int sent =
        socket->sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    bytes.remove_prefix(static_cast<std::size_t>(std::max(0, sent)));
  }
}

void Receive(Poco::Net::StreamSocket* socket, const std::string& method,
             ResponseSink* response) {
  net::HttpReader reader(net::HttpRole::kResponses, kResponseLimits, response);
  reader.SetRequestMethod(method);
  std::array<char, kReadBytes> buffer{};
  while (!response->complete() && !reader.fault()) {
    const int size =
        socket->receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    if (size <= 0) {
      reader.FeedEnd();
      return;
    }
    std::string_view bytes(buffer.data(), static_cast<std::size_t>(size));
    while (!bytes.empty() && !response->complete() && !reader.fault())
      bytes.remove_prefix(reader.Feed(bytes));
  }
}

JsonResult ParseBody(const ResponseSink& response) {
  if (!response.complete()) return tl::make_unexpected(HttpError::kNoAnswer);
  if (response.status() >= kFirstErrorStatus)
    return tl::make_unexpected(ErrorOf(response.status()));
  try {
    Poco::JSON::Parser parser;
    return parser.parse(response.body()).extract<Poco::JSON::Object::Ptr>();
  } catch (const std::exception&) {  // the parser throws others than POCO's
    return tl::make_unexpected(HttpError::kBadAnswer);
  }
}

JsonResult Exchange(const Endpoint& endpoint, const std::string& method,
                    const std::string& path, const std::string& body,
                    const HttpSettings& settings) {
  bool sent = false;
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(endpoint.host, endpoint.port),
                   Millis(settings.connect_timeout_ms));
    socket.setSendTimeout(Millis(settings.answer_timeout_ms));
    socket.setReceiveTimeout(Millis(settings.answer_timeout_ms));
    sent = true;
    SendAll(&socket, RequestText(endpoint, method, path, body));
    ResponseSink response;
    Receive(&socket, method, &response);
    return ParseBody(response);
  } catch (const Poco::Exception&) {
    return tl::make_unexpected(sent ? HttpError::kNoAnswer
                                    : HttpError::kNotSent);
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

// Decides whether an HTTP/1.1 message has a body and how its end is marked
// (RFC 9110, 6.4.1 and 8.6; RFC 9112, 6).
//
// Whether a response has a body depends on the method of its request and on its
// status, not on its headers: those may describe a body that does not follow.
// HttpReader and everything that writes a response ask here. If the two ends of
// a connection disagree, one response is read as the start of the next.
//
//   const auto body = ResponseBody::OfLength(method, status, text.size());
//   body.AppendHeaders(&out);
//   out += "\r\n";
//   body.AppendPart(&out, text);  // appends nothing if there is no body
//   body.AppendEnd(&out);
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "yuccawick/net/http.h"

namespace yuccawick::net {

// `method`: of the request that the response answers; empty if it is not known.
bool ResponseHasBody(std::string_view method, int status);

// Whether the headers of a message name a body that is not empty. It follows
// only if the message has a body.
bool DescribesBody(const Headers& headers);

// Whether what follows the head on the connection is not HTTP.
bool OpensTunnel(std::string_view method, int status);

// Whether a request states the length of its body. Without a body, only methods
// that usually have one state that it is empty.
bool RequestStatesLength(std::string_view method, std::size_t body_bytes);

// The body of a response that is written: its headers, parts and end.
class ResponseBody {
 public:
  // A body of that many bytes. A response that has none states its length where
  // that is allowed, as the response to GET would.
  static ResponseBody OfLength(std::string_view method, int status,
                               std::size_t bytes);
  // The body of a response of another server, to be sent with a length in bytes
  // or, if there is none, in chunks. A response without a body keeps the length
  // that the server stated.
  static ResponseBody Forwarded(std::string_view method, int status,
                                const Headers&             headers,
                                std::optional<std::size_t> bytes);

  bool exists() const { return m_exists; }
  // Appends Content-Length or Transfer-Encoding to a head, or neither.
  void AppendHeaders(std::string* head) const;
  void AppendPart(std::string* out, std::string_view bytes) const;
  // Appends what marks the end of the body.
  void AppendEnd(std::string* out) const;

 private:
  ResponseBody(bool exists, std::optional<std::string> length)
      : m_exists(exists), m_length(std::move(length)) {}

  bool                       m_exists;
  std::optional<std::string> m_length;  // empty: in chunks, or not stated
};

}  // namespace yuccawick::net

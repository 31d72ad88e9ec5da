// Strict HTTP/1.1 parsing and message formatting.
//
// HttpReader wraps the http-parser library. It buffers the whole head and
// rejects anything that other parsers may read differently: bare line feeds,
// folded lines, whitespace before a colon, repeated framing headers. If two
// programs disagree on where a message ends, a client can smuggle a request
// into another client's connection.
#pragma once

#include <http_parser.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccawick::net {

struct Header {
  std::string name;  // spelled as received
  std::string value;
};

class Headers {
 public:
  void                       Add(std::string_view name, std::string_view value);
  // Returns the first header of that name, ignoring case, or nullptr.
  const std::string*         Find(std::string_view name) const;
  std::size_t                Count(std::string_view name) const;
  const std::vector<Header>& all() const { return m_headers; }
  // Bytes of memory.
  std::size_t                memory() const;

 private:
  std::vector<Header> m_headers;
};

bool SameName(std::string_view a, std::string_view b);  // case-insensitive

struct Head {
  std::string method;      // requests only
  std::string target;      // requests only: path and query as received
  int         status = 0;  // responses only
  std::string reason;      // responses only
  Headers     headers;
  bool        has_body = true;     // false: ends with its head
  bool        keep_alive = false;  // the sender allows reuse of the connection
  bool        ends_with_connection = false;  // response without a length

  std::size_t memory() const { return target.capacity() + headers.memory(); }
};

enum class HttpFault : std::uint8_t {
  kMalformed,     // not HTTP, or ambiguous
  kHeadTooLarge,  // head exceeds the limit
  kBodyTooLarge,  // body exceeds the limit
};

class HttpSink {
 public:
  virtual ~HttpSink() = default;
  virtual void OnHead(Head head) = 0;
  virtual void OnBody(std::string_view bytes) = 0;
  virtual void OnMessageEnd() = 0;
};

enum class HttpRole : std::uint8_t { kRequests, kResponses };

struct HttpLimits {
  std::size_t head_bytes = 0;
  std::size_t body_bytes = 0;
};

class HttpReader {
 public:
  // The limits that are in force now.
  using LimitsLookup = std::function<HttpLimits()>;

  HttpReader(HttpRole role, HttpLimits limits, HttpSink* sink)
      : HttpReader(
            role, [limits] { return limits; }, sink) {}
  // A message may use the limits in force at its first byte, or larger ones
  // that come into force before it exceeds those.
  HttpReader(HttpRole role, LimitsLookup limits, HttpSink* sink);
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  // kResponses: the method of the request that the next response answers. It
  // decides whether that response has a body; see message_body.h. Call before
  // each request that is sent.
  void                     SetRequestMethod(std::string_view method);
  // Method of the request that is read, also of one that is malformed or not
  // complete, or that the next response answers. Empty if not known.
  const std::string&       method() const { return m_method; }
  // Consumes bytes up to the end of the current message, so that the caller
  // decides when to read the next one. Returns the number consumed.
  std::size_t              Feed(std::string_view bytes);
  // The sender closed its side. Returns true if that completes a message.
  bool                     FeedEnd();
  std::optional<HttpFault> fault() const { return m_fault; }
  bool                     in_message() const;  // some of it was read
  bool                     in_body() const { return m_in_body; }
  // Memory of the part of a head that was read.
  std::size_t buffered_bytes() const { return m_raw_head.capacity(); }
  // Drops the message that is being read; nothing may be fed afterwards.
  void        Discard() { m_raw_head = {}; }

 private:
  static int OnField(http_parser* parser, const char* at, std::size_t size);
  static int OnValue(http_parser* parser, const char* at, std::size_t size);
  static int OnTarget(http_parser* parser, const char* at, std::size_t size);
  static int OnReason(http_parser* parser, const char* at, std::size_t size);
  static int OnHeadersEnd(http_parser* parser);
  static int OnBodyBytes(http_parser* parser, const char* at, std::size_t size);
  static int OnEnd(http_parser* parser);
  static const http_parser_settings& Callbacks();

  // Whether the message may have that many bytes of `part`.
  bool        IsWithin(std::size_t HttpLimits::*part, std::size_t bytes);
  std::size_t FeedHead(std::string_view bytes);
  std::size_t Parse(std::string_view bytes);
  void        AddHeader();
  void        StartMessage();

  HttpRole                 m_role;
  LimitsLookup             m_lookup;
  HttpLimits               m_limits;  // of the current message
  HttpSink*                m_sink;
  http_parser              m_parser{};
  std::optional<HttpFault> m_fault;
  std::string              m_raw_head;  // incomplete head
  std::string              m_method;    // see method()
  Head                     m_head;
  std::string              m_field;
  std::string              m_value;
  bool                     m_value_seen = false;
  bool                     m_in_body = false;
  bool                     m_ended = false;
  std::size_t              m_body_bytes = 0;
};

// Appends a header line or a chunk to `out`. The caller chooses the framing
// headers and ends the head with a blank line.
void AppendHeader(std::string* out, std::string_view name,
                  std::string_view value);
void AppendChunk(std::string* out, std::string_view bytes);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";
std::string_view                  StatusText(int status);

// True for headers that apply to a single connection and are not forwarded.
bool IsHopByHop(std::string_view name);

}  // namespace yuccawick::net

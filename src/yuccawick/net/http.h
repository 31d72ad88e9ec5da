// HTTP/1.1 messages, read strictly and written plainly.
//
// HttpReader wraps the http-parser library. It first collects the whole head
// and refuses what other programs might read differently: bare line feeds,
// folded lines, blanks before a colon, repeated framing headers. Two programs
// that disagree about where a message ends let one client smuggle a request
// into another's connection; refusing the message leaves no room for that.
#pragma once

#include <http_parser.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccawick::net {

struct Header {
  std::string name;  // as sent
  std::string value;
};

class Headers {
 public:
  void                       Add(std::string_view name, std::string_view value);
  // The first of that name, any case; nullptr if there is none.
  const std::string*         Find(std::string_view name) const;
  std::size_t                Count(std::string_view name) const;
  const std::vector<Header>& all() const { return m_headers; }

 private:
  std::vector<Header> m_headers;
};

bool SameName(std::string_view a, std::string_view b);  // ignoring case

struct Head {
  std::string method;      // of a request
  std::string target;      // of a request: path and query as sent
  int         status = 0;  // of a response
  std::string reason;      // of a response
  Headers     headers;
  bool        keep_alive = false;  // the sender will use the connection again
  bool        ends_with_connection = false;  // response without a length
};

enum class HttpFault : std::uint8_t {
  kMalformed,     // not HTTP, or open to more than one reading
  kHeadTooLarge,  // head above the limit
  kBodyTooLarge,  // body above the limit
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
  HttpReader(HttpRole role, HttpLimits limits, HttpSink* sink);
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  // Reads on; stops after the end of a message so that the caller decides when
  // the next one starts. Returns how many bytes were taken.
  std::size_t              Feed(std::string_view bytes);
  // The sender ended its side. True if that completes a message.
  bool                     FeedEnd();
  std::optional<HttpFault> fault() const { return m_fault; }
  bool                     in_message() const;  // some of it has been read
  bool                     in_body() const { return m_in_body; }

 private:
  static int OnField(http_parser* parser, const char* at, std::size_t size);
  static int OnValue(http_parser* parser, const char* at, std::size_t size);
  static int OnTarget(http_parser* parser, const char* at, std::size_t size);
  static int OnReason(http_parser* parser, const char* at, std::size_t size);
  static int OnHeadersEnd(http_parser* parser);
  static int OnBodyBytes(http_parser* parser, const char* at, std::size_t size);
  static int OnEnd(http_parser* parser);
  static const http_parser_settings& Callbacks();

  std::size_t FeedHead(std::string_view bytes);
  std::size_t Parse(std::string_view bytes);
  void        AddHeader();
  void        StartMessage();

  HttpRole                 m_role;
  HttpLimits               m_limits;
  HttpSink*                m_sink;
  http_parser              m_parser{};
  std::optional<HttpFault> m_fault;
  std::string              m_raw_head;  // bytes of a head not yet whole
  Head                     m_head;
  std::string              m_field;
  std::string              m_value;
  bool                     m_value_seen = false;
  bool                     m_in_body = false;
  bool                     m_ended = false;
  std::size_t              m_body_bytes = 0;
};

// "NAME: VALUE" lines and the blank line are added by these; framing headers
// are the caller's choice.
void AppendHeader(std::string* out, std::string_view name,
                  std::string_view value);
void AppendChunk(std::string* out, std::string_view bytes);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";
std::string_view                  StatusText(int status);

// True for headers that concern one connection only and are never passed on.
bool IsHopByHop(std::string_view name);

}  // namespace yuccawick::net

#include "yuccawick/net/http.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "yuccawick/net/message_body.h"

namespace yuccawick::net {
namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
// Result of on_headers_complete() for a message without a body.
constexpr int              kSkipBody = 1;

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool IsTokenChar(char c) {
  constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
         (c >= 'A' && c <= 'Z') ||
         kPunctuation.find(c) != std::string_view::npos;
}

bool HasNoLineBreaks(std::string_view line) {
  return std::none_of(line.begin(), line.end(), [](char c) {
    return c == '\r' || c == '\n' || c == '\0';
  });
}

bool IsValidField(std::string_view line) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0) return false;
  return std::all_of(line.begin(),
                     line.begin() + static_cast<std::ptrdiff_t>(colon),
                     IsTokenChar);
}

// The first word of a request line, or nothing if more of it may follow.
std::string_view MethodOf(std::string_view request_line) {
  const auto end = request_line.find(' ');
  return end == std::string_view::npos ? std::string_view()
                                       : request_line.substr(0, end);
}

// Accepts a head, including its blank line, only if every line is unambiguous.
bool IsStrictHead(std::string_view head) {
  bool first = true;
  while (head != "\r\n") {
    const auto end = head.find("\r\n");
    if (end == std::string_view::npos) return false;
    const std::string_view line = head.substr(0, end);
    if (line.empty() || !HasNoLineBreaks(line)) return false;
    if (!first && !IsValidField(line)) return false;
    first = false;
    head.remove_prefix(end + 2);
  }
  return !first;
}

bool HasValidFraming(const Headers& headers) {
  if (headers.Count("Content-Length") > 1) return false;
  const std::size_t encodings = headers.Count("Transfer-Encoding");
  if (encodings > 1) return false;
  if (encodings == 0) return true;
  if (headers.Find("Content-Length") != nullptr) return false;
  return SameName(*headers.Find("Transfer-Encoding"), "chunked");
}

// A body with neither a length nor chunks is delimited by connection close.
bool EndsWithConnection(const Head& head) {
  return head.has_body && head.headers.Find("Content-Length") == nullptr &&
         head.headers.Find("Transfer-Encoding") == nullptr;
}

}  // namespace

bool SameName(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return ToLower(x) == ToLower(y); });
}

void Headers::Add(std::string_view name, std::string_view value) {
  m_headers.push_back({std::string(name), std::string(value)});
}

const std::string* Headers::Find(std::string_view name) const {
  for (const Header& header : m_headers) {
    if (SameName(header.name, name)) return &header.value;
  }
  return nullptr;
}

std::size_t Headers::Count(std::string_view name) const {
  return static_cast<std::size_t>(
      std::count_if(m_headers.begin(), m_headers.end(),
                    [&](const Header& h) { return SameName(h.name, name); }));
}

std::size_t Headers::memory() const {
  // Short strings are stored in the Header itself.
  const auto allocated = [](const std::string& text) {
    return text.capacity() > std::string().capacity() ? text.capacity() : 0;
  };
  std::size_t bytes = m_headers.capacity() * sizeof(Header);
  for (const Header& header : m_headers)
    bytes += allocated(header.name) + allocated(header.value);
  return bytes;
}

HttpReader::HttpReader(HttpRole role, LimitsLookup limits, HttpSink* sink)
    : m_role(role), m_lookup(std::move(limits)), m_sink(sink) {
  http_parser_init(&m_parser,
                   role == HttpRole::kRequests ? HTTP_REQUEST : HTTP_RESPONSE);
  m_parser.data = this;
}

const http_parser_settings& HttpReader::Callbacks() {
  static const http_parser_settings kCallbacks = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = OnTarget;
    settings.on_status = OnReason;
    settings.on_header_field = OnField;
    settings.on_header_value = OnValue;
    settings.on_headers_complete = OnHeadersEnd;
    settings.on_body = OnBodyBytes;
    settings.on_message_complete = OnEnd;
    return settings;
  }();
  return kCallbacks;
}

void HttpReader::SetRequestMethod(std::string_view method) {
  m_method = method;
}

bool HttpReader::in_message() const { return m_in_body || !m_raw_head.empty(); }

void HttpReader::StartMessage() {
  m_head = {};
  m_field.clear();
  m_value.clear();
  m_value_seen = false;
  m_body_bytes = 0;
  m_ended = false;
}

std::size_t HttpReader::Feed(std::string_view bytes) {
  std::size_t consumed = 0;
  m_ended = false;
  while (consumed < bytes.size() && !m_fault && !m_ended) {
    const std::string_view rest = bytes.substr(consumed);
    consumed += m_in_body ? Parse(rest) : FeedHead(rest);
  }
  return consumed;
}

bool HttpReader::IsWithin(std::size_t HttpLimits::*part, std::size_t bytes) {
  if (bytes > m_limits.*part)
    m_limits.*part = std::max(m_limits.*part, m_lookup().*part);
  return bytes <= m_limits.*part;
}

std::size_t HttpReader::FeedHead(std::string_view bytes) {
  // The end of the head may span the buffered and the new bytes.
  const std::size_t before = m_raw_head.size();
  if (before == 0) m_limits = m_lookup();
  IsWithin(&HttpLimits::head_bytes, before + bytes.size());
  const std::size_t capacity = m_limits.head_bytes + kHeadEnd.size() - before;
  m_raw_head.append(bytes.substr(0, capacity));
  if (m_role == HttpRole::kRequests) m_method = MethodOf(m_raw_head);
  const std::size_t from =
      before > kHeadEnd.size() ? before - kHeadEnd.size() : 0;
  const auto end = m_raw_head.find(kHeadEnd, from);
  if (end == std::string::npos) {
    if (!IsWithin(&HttpLimits::head_bytes, m_raw_head.size())) {
      m_fault = HttpFault::kHeadTooLarge;
    }
    return std::min(bytes.size(), capacity);
  }
  m_raw_head.resize(end + kHeadEnd.size());
  const std::size_t consumed = m_raw_head.size() - before;
  if (!IsStrictHead(m_raw_head)) {
    m_fault = HttpFault::kMalformed;
    return consumed;
  }
  StartMessage();
  m_in_body = true;
  const std::string head = std::exchange(m_raw_head, {});
  Parse(head);
  return consumed;
}

std::size_t HttpReader::Parse(std::string_view bytes) {
  const std::size_t parsed =
      http_parser_execute(&m_parser, &Callbacks(), bytes.data(), bytes.size());
  const auto error = HTTP_PARSER_ERRNO(&m_parser);
  if (error == HPE_PAUSED) {
    http_parser_pause(&m_parser, 0);
  } else if (error != HPE_OK && !m_fault) {
    m_fault = HttpFault::kMalformed;
  }
  return m_fault ? bytes.size() : parsed;
}

bool HttpReader::FeedEnd() {
  if (!m_in_body || m_fault) return false;
  http_parser_execute(&m_parser, &Callbacks(), nullptr, 0);
  return m_ended;
}

int HttpReader::OnField(http_parser* parser, const char* at, std::size_t size) {
  auto* self = static_cast<HttpReader*>(parser->data);
  if (self->m_value_seen) self->AddHeader();
  self->m_field.append(at, size);
  return 0;
}

int HttpReader::OnValue(http_parser* parser, const char* at, std::size_t size) {
  auto* self = static_cast<HttpReader*>(parser->data);
  self->m_value_seen = true;
  self->m_value.append(at, size);
  return 0;
}

int HttpReader::OnTarget(http_parser* parser, const char* at,
                         std::size_t size) {
  static_cast<HttpReader*>(parser->data)->m_head.target.append(at, size);
  return 0;
}

int HttpReader::OnReason(http_parser* parser, const char* at,
                         std::size_t size) {
  static_cast<HttpReader*>(parser->data)->m_head.reason.append(at, size);
  return 0;
}

void HttpReader::AddHeader() {
  while (!m_value.empty() &&
         (m_value.back() == ' ' || m_value.back() == '\t')) {
    m_value.pop_back();
  }
  m_head.headers.Add(m_field, m_value);
  m_field.clear();
  m_value.clear();
  m_value_seen = false;
}

int HttpReader::OnHeadersEnd(http_parser* parser) {
  auto* self = static_cast<HttpReader*>(parser->data);
  if (self->m_value_seen || !self->m_field.empty()) self->AddHeader();
  Head& head = self->m_head;
  if (self->m_role == HttpRole::kRequests) {
    head.method = http_method_str(static_cast<http_method>(parser->method));
  } else {
    head.status = static_cast<int>(parser->status_code);
    head.has_body = ResponseHasBody(self->m_method, head.status);
    head.ends_with_connection = EndsWithConnection(head);
  }
  const bool has_body = head.has_body;
  // http_should_keep_alive() takes a body without a length into account.
  if (!has_body) parser->flags |= F_SKIPBODY;
  head.keep_alive = http_should_keep_alive(parser) != 0 &&
                    !OpensTunnel(self->m_method, head.status);
  if (parser->http_major != 1 || !HasValidFraming(head.headers)) {
    self->m_fault = HttpFault::kMalformed;
    return -1;
  }
  const bool has_length = head.headers.Find("Content-Length") != nullptr;
  if (has_body && has_length &&
      !self->IsWithin(&HttpLimits::body_bytes, parser->content_length)) {
    self->m_fault = HttpFault::kBodyTooLarge;
    return -1;
  }
  self->m_sink->OnHead(std::move(head));
  // Otherwise the parser would treat what follows as another protocol.
  parser->upgrade = 0;
  return has_body ? 0 : kSkipBody;
}

int HttpReader::OnBodyBytes(http_parser* parser, const char* at,
                            std::size_t size) {
  auto* self = static_cast<HttpReader*>(parser->data);
  self->m_body_bytes += size;
  if (!self->IsWithin(&HttpLimits::body_bytes, self->m_body_bytes)) {
    self->m_fault = HttpFault::kBodyTooLarge;
    return -1;
  }
  self->m_sink->OnBody({at, size});
  return 0;
}

int HttpReader::OnEnd(http_parser* parser) {
  auto* self = static_cast<HttpReader*>(parser->data);
  self->m_ended = true;
  self->m_in_body = false;
  self->m_sink->OnMessageEnd();
  http_parser_pause(parser, 1);
  return 0;
}

void AppendHeader(std::string* out, std::string_view name,
                  std::string_view value) {
  out->append(name).append(": ").append(value).append("\r\n");
}

void AppendChunk(std::string* out, std::string_view bytes) {
  if (bytes.empty()) return;  // an empty chunk would end the body
  std::array<char, 16> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 bytes.size(), 16);
  out->append(digits.data(), end.ptr);
  out->append("\r\n").append(bytes).append("\r\n");
}

std::string_view StatusText(int status) {
  switch (status) {
#define YUCCAWICK_STATUS(number, name, text) \
  case number:                               \
    return #text;
    HTTP_STATUS_MAP(YUCCAWICK_STATUS)
#undef YUCCAWICK_STATUS
    default:
      return "Unknown";
  }
}

bool IsHopByHop(std::string_view name) {
  constexpr std::array<std::string_view, 10> kNames{
      "Connection", "Keep-Alive",        "Proxy-Authenticate",
      "Trailer",    "Proxy-Connection",  "Proxy-Authorization",
      "TE",         "Transfer-Encoding", "Upgrade",
      "Expect"};
  return std::any_of(kNames.begin(), kNames.end(), [&](std::string_view known) {
    return SameName(known, name);
  });
}

}  // namespace yuccawick::net

#include "yuccawick/net/message_body.h"

#include <algorithm>
#include <array>

namespace yuccawick::net {
namespace {

constexpr int kFirstSuccess = 200;
constexpr int kLastSuccess = 299;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

// Whether Content-Length may tell the length of a body that does not follow.
bool MayStateMissingLength(std::string_view method, int status) {
  return status >= kFirstSuccess && status != kNoContent &&
         !OpensTunnel(method, status);
}

}  // namespace

bool ResponseHasBody(std::string_view method, int status) {
  return method != "HEAD" && status >= kFirstSuccess && status != kNoContent &&
         status != kNotModified && !OpensTunnel(method, status);
}

bool DescribesBody(const Headers& headers) {
  const std::string* length = headers.Find("Content-Length");
  const bool         empty =
      length == nullptr || length->find_first_not_of('0') == std::string::npos;
  return !empty || headers.Find("Transfer-Encoding") != nullptr;
}

bool OpensTunnel(std::string_view method, int status) {
  return method == "CONNECT" && status >= kFirstSuccess &&
         status <= kLastSuccess;
}

bool RequestStatesLength(std::string_view method, std::size_t body_bytes) {
  constexpr std::array<std::string_view, 5> kUsuallyWithoutBody{
      "GET", "HEAD", "DELETE", "CONNECT", "TRACE"};
  return body_bytes > 0 ||
         std::find(kUsuallyWithoutBody.begin(), kUsuallyWithoutBody.end(),
                   method) == kUsuallyWithoutBody.end();
}

ResponseBody ResponseBody::OfLength(std::string_view method, int status,
                                    std::size_t bytes) {
  const bool exists = ResponseHasBody(method, status);
  if (!exists && !MayStateMissingLength(method, status))
    return {false, std::nullopt};
  return {exists, std::to_string(bytes)};
}

ResponseBody ResponseBody::Forwarded(std::string_view method, int status,
                                     const Headers&             headers,
                                     std::optional<std::size_t> bytes) {
  if (ResponseHasBody(method, status)) {
    return bytes ? OfLength(method, status, *bytes)
                 : ResponseBody(true, std::nullopt);
  }
  const std::string* stated = headers.Find("Content-Length");
  if (stated == nullptr || !MayStateMissingLength(method, status))
    return {false, std::nullopt};
  return {false, *stated};
}

void ResponseBody::AppendHeaders(std::string* head) const {
  if (m_length) {
    AppendHeader(head, "Content-Length", *m_length);
  } else if (m_exists) {
    AppendHeader(head, "Transfer-Encoding", "chunked");
  }
}

void ResponseBody::AppendPart(std::string* out, std::string_view bytes) const {
  if (!m_exists) return;
  if (m_length) {
    out->append(bytes);
  } else {
    AppendChunk(out, bytes);
  }
}

void ResponseBody::AppendEnd(std::string* out) const {
  if (m_exists && !m_length) out->append(kLastChunk);
}

}  // namespace yuccawick::net

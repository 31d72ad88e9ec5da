#include "yuccawick/net/message_body.h"

namespace yuccawick::net {
namespace {

constexpr int kFirstSuccess = 200;
constexpr int kLastSuccess = 299;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

}  // namespace

bool ResponseHasBody(std::string_view method, int status) {
  return method != "HEAD" && status >= kFirstSuccess && status != kNoContent &&
         status != kNotModified && !OpensTunnel(method, status);
}

bool OpensTunnel(std::string_view method, int status) {
  return method == "CONNECT" && status >= kFirstSuccess &&
         status <= kLastSuccess;
}

}  // namespace yuccawick::net

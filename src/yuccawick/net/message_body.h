// Decides whether an HTTP/1.1 message has a body and how its end is marked
// (RFC 9110, 6.4.1 and 8.6; RFC 9112, 6).
//
// Whether a response has a body depends on the method of its request and on its
// status, not on its headers: those may describe a body that does not follow.
// If the two ends of a connection disagree, one response is read as the start
// of the next.
#pragma once

#include <string_view>

namespace yuccawick::net {

// `method`: of the request that the response answers; empty if it is not known.
bool ResponseHasBody(std::string_view method, int status);

// Whether what follows the head on the connection is not HTTP.
bool OpensTunnel(std::string_view method, int status);

}  // namespace yuccawick::net

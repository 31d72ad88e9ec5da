// Strict reading of HTTP messages, whole and in pieces.
#include "yuccawick/net/http.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace yuccawick::tests {
namespace {

using net::HttpFault;
using net::HttpReader;
using net::HttpRole;

struct Collected : net::HttpSink {
  void OnHead(net::Head head) override { heads.push_back(std::move(head)); }
  void OnBody(std::string_view bytes) override { body += bytes; }
  void OnMessageEnd() override { ++ended; }

  std::vector<net::Head> heads;
  std::string            body;
  int                    ended = 0;
};

struct Reading : Collected {
  explicit Reading(HttpRole role) : reader(role, {200, 20}, this) {}
  // All at once or byte by byte.
  void Feed(const std::string& bytes, std::size_t step) {
    std::size_t at = 0;
    while (at < bytes.size() && !reader.fault()) {
      std::string_view rest = bytes;
      at += reader.Feed(rest.substr(at, step));
    }
  }
  HttpReader reader;
};

Test(HttpReader, RequestInPiecesOfAnySize_ReadsTheSame) {
  const std::string request =
      "POST /a?b=c HTTP/1.1\r\nHost: h\r\nX:  v \r\n"
      "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\n"
      "Trailer: t\r\n\r\n";
  for (std::size_t step = 1; step <= request.size(); ++step) {
    Reading reading(HttpRole::kRequests);
    reading.Feed(request, step);
    cr_assert_eq(reading.ended, 1, "step %zu", step);
    cr_assert(reading.body == "abcde");
    cr_assert(reading.heads[0].target == "/a?b=c");
    cr_assert_str_eq(reading.heads[0].headers.Find("x")->c_str(), "v");
  }
}

Test(HttpReader, MessageEnds_StopsBeforeTheNext) {
  Reading           reading(HttpRole::kRequests);
  const std::string one = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
  cr_assert_eq(reading.reader.Feed(one + one), one.size());
  cr_assert_eq(reading.ended, 1);
  cr_assert_not(reading.reader.in_message());
}

Test(HttpReader, OpenToTwoReadings_IsMalformed) {
  const std::string start = "POST / HTTP/1.1\r\nHost: h\r\n";
  for (const std::string& bytes : std::vector<std::string>{
           "POST / HTTP/1.1\nHost: h\r\n\r\n",
           start + "Content-Length: 1\r\nContent-Length: 1\r\n\r\n",
           start + "Content-Length: +1\r\n\r\n",
           start + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
           start + "Transfer-Encoding: chunked, gzip\r\n\r\n",
           start + "Transfer-Encoding : chunked\r\n\r\n",
           start + "A: b\r\n c\r\n\r\n", start + "A: b\rc\r\n\r\n",
           start + "no colon\r\n\r\n", "\r\n\r\n",
           start + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
           "POST / HTTP/2.0\r\nHost: h\r\n\r\n"}) {
    Reading reading(HttpRole::kRequests);
    reading.Feed(bytes, bytes.size());
    cr_assert(reading.reader.fault() == HttpFault::kMalformed, "%s",
              bytes.c_str());
  }
}

Test(HttpReader, AboveALimit_SaysWhich) {
  Reading head(HttpRole::kRequests);
  head.Feed("GET / HTTP/1.1\r\nX: " + std::string(300, 'x'), 400);
  cr_assert(head.reader.fault() == HttpFault::kHeadTooLarge);
  Reading length(HttpRole::kRequests);
  length.Feed("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 21\r\n\r\n", 400);
  cr_assert(length.reader.fault() == HttpFault::kBodyTooLarge);
  Reading chunks(HttpRole::kRequests);
  chunks.Feed(
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "20\r\n" +
          std::string(32, 'x'),
      400);
  cr_assert(chunks.reader.fault() == HttpFault::kBodyTooLarge);
}

Test(HttpReader, ResponseWithoutLength_EndsWithTheConnection) {
  Reading reading(HttpRole::kResponses);
  reading.Feed("HTTP/1.1 200 OK\r\n\r\nabc", 400);
  cr_assert_eq(reading.ended, 0);
  cr_assert(reading.heads[0].ends_with_connection);
  cr_assert(reading.reader.FeedEnd());
  cr_assert(reading.body == "abc");
}

Test(HttpReader, ResponseCutShort_DoesNotEnd) {
  Reading reading(HttpRole::kResponses);
  reading.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", 400);
  cr_assert_not(reading.reader.FeedEnd());
  cr_assert_eq(reading.ended, 0);
}

}  // namespace
}  // namespace yuccawick::tests

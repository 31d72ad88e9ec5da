// Strict HTTP parsing, whole messages and in pieces.
#include "yuccawick/net/http.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace yuccawick::tests {
namespace {

using net::HttpFault;
using net::HttpReader;
using net::HttpRole;

struct CollectingSink : net::HttpSink {
  void OnHead(net::Head head) override { heads.push_back(std::move(head)); }
  void OnBody(std::string_view bytes) override { body += bytes; }
  void OnMessageEnd() override { ++ended; }

  std::vector<net::Head> heads;
  std::string            body;
  int                    ended = 0;
};

struct ParserRun : CollectingSink {
  explicit ParserRun(HttpRole role) : reader(role, {200, 20}, this) {}
  // Feeds `bytes` in pieces of `step`.
  void Feed(const std::string& bytes, std::size_t step) {
    std::size_t at = 0;
    while (at < bytes.size() && !reader.fault()) {
      std::string_view rest = bytes;
      at += reader.Feed(rest.substr(at, step));
    }
  }
  HttpReader reader;
};

Test(HttpReader, RequestInPiecesOfAnySize_IsParsedTheSame) {
  const std::string request =
      "POST /a?b=c HTTP/1.1\r\nHost: h\r\nX:  v \r\n"
      "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\n"
      "Trailer: t\r\n\r\n";
  for (std::size_t step = 1; step <= request.size(); ++step) {
    ParserRun run(HttpRole::kRequests);
    run.Feed(request, step);
    cr_assert_eq(run.ended, 1, "step %zu", step);
    cr_assert(run.body == "abcde");
    cr_assert(run.heads[0].target == "/a?b=c");
    cr_assert_str_eq(run.heads[0].headers.Find("x")->c_str(), "v");
  }
}

// Guards against parsing the next message before the caller asks for it.
Test(HttpReader, MessageEnds_StopsBeforeTheNext) {
  ParserRun         run(HttpRole::kRequests);
  const std::string one = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
  cr_assert_eq(run.reader.Feed(one + one), one.size());
  cr_assert_eq(run.ended, 1);
  cr_assert_not(run.reader.in_message());
}

// Guards against request smuggling through messages that parsers read
// differently.
Test(HttpReader, AmbiguousMessage_IsMalformed) {
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
    ParserRun run(HttpRole::kRequests);
    run.Feed(bytes, bytes.size());
    cr_assert(run.reader.fault() == HttpFault::kMalformed, "%s", bytes.c_str());
  }
}

Test(HttpReader, MessageAboveALimit_FaultNamesTheLimit) {
  ParserRun head(HttpRole::kRequests);
  head.Feed("GET / HTTP/1.1\r\nX: " + std::string(300, 'x'), 400);
  cr_assert(head.reader.fault() == HttpFault::kHeadTooLarge);
  ParserRun length(HttpRole::kRequests);
  length.Feed("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 21\r\n\r\n", 400);
  cr_assert(length.reader.fault() == HttpFault::kBodyTooLarge);
  ParserRun chunks(HttpRole::kRequests);
  chunks.Feed(
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "20\r\n" +
          std::string(32, 'x'),
      400);
  cr_assert(chunks.reader.fault() == HttpFault::kBodyTooLarge);
}

Test(HttpReader, ResponseWithoutLength_EndsWithTheConnection) {
  ParserRun run(HttpRole::kResponses);
  run.Feed("HTTP/1.1 200 OK\r\n\r\nabc", 400);
  cr_assert_eq(run.ended, 0);
  cr_assert(run.heads[0].ends_with_connection);
  cr_assert(run.reader.FeedEnd());
  cr_assert(run.body == "abc");
}

// Guards against taking a truncated response for a complete one.
Test(HttpReader, ResponseTruncated_IsNotComplete) {
  ParserRun run(HttpRole::kResponses);
  run.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", 400);
  cr_assert_not(run.reader.FeedEnd());
  cr_assert_eq(run.ended, 0);
}

}  // namespace
}  // namespace yuccawick::tests

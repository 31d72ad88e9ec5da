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

struct BodilessCase {
  std::string method;  // of the request
  std::string status;
  bool        has_body;
  bool        keep_alive = true;
};

// Guards against framing a response by its headers where its request's method
// or its status excludes a body: what follows would be lost or read twice.
Test(HttpReader, MethodOrStatusExcludesABody_ResponseEndsWithItsHead) {
  const std::vector<BodilessCase> cases{{"HEAD", "200 OK", false},
                                        {"HEAD", "404 Not Found", false},
                                        {"GET", "204 No Content", false},
                                        {"POST", "204 No Content", false},
                                        {"GET", "304 Not Modified", false},
                                        {"GET", "103 Early Hints", false},
                                        {"CONNECT", "200 OK", false, false},
                                        {"CONNECT", "404 Not Found", true},
                                        {"GET", "200 OK", true},
                                        {"POST", "205 Reset Content", true},
                                        {"", "200 OK", true}};
  for (const BodilessCase& c : cases) {
    for (const std::string framing :
         {"Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
      const std::string response =
          "HTTP/1.1 " + c.status + "\r\n" + framing + "\r\n";
      for (std::size_t step = 1; step <= response.size(); ++step) {
        ParserRun run(HttpRole::kResponses);
        run.reader.SetRequestMethod(c.method);
        run.Feed(response, step);
        cr_assert_eq(run.heads.size(), 1);
        const net::Head& head = run.heads[0];
        cr_assert_eq(head.has_body, c.has_body, "%s %s", c.method.c_str(),
                     c.status.c_str());
        cr_assert_eq(run.ended, c.has_body ? 0 : 1);
        cr_assert_eq(head.ends_with_connection, c.has_body && framing.empty());
        cr_assert_eq(head.keep_alive,
                     c.keep_alive && !head.ends_with_connection);
      }
    }
  }
}

// Guards against refusing a head for a body that does not follow it.
Test(HttpReader, LengthOfABodyThatDoesNotFollow_IsHeldAgainstNoLimit) {
  ParserRun run(HttpRole::kResponses);
  run.reader.SetRequestMethod("HEAD");
  run.Feed("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", 400);
  cr_assert_not(run.reader.fault());
  cr_assert_eq(run.ended, 1);
}

// Guards against a method that still applies to the response of the request
// after it.
Test(HttpReader, NextRequestHasAnotherMethod_ItsResponseHasABody) {
  ParserRun         run(HttpRole::kResponses);
  const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n";
  run.reader.SetRequestMethod("HEAD");
  cr_assert_eq(run.reader.Feed(response + "abc"), response.size());
  cr_assert_eq(run.ended, 1);
  run.reader.SetRequestMethod("GET");
  run.Feed(response + "abc", 400);
  cr_assert_eq(run.ended, 2);
  cr_assert(run.body == "abc");
}

}  // namespace
}  // namespace yuccawick::tests

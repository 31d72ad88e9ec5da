// The clients of model engines and platform services, against answers that end
// early or hold odd items.
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <criterion/criterion.h>

#include <array>
#include <string>
#include <thread>
#include <vector>

#include "yuccawick/backends/backend_client.h"
#include "yuccawick/backends/log_client.h"

namespace yuccawick::tests {
namespace {

const std::string kHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "Connection: close\r\n\r\n";
const std::string kText =
    "data: {\"choices\":[{\"delta\":{\"content\":\"part\"}}]}\n\n";
const std::string kError = "data: {\"error\":{\"message\":\"no memory\"}}\n\n";
const std::string kFailed =
    "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"error\"}]}\n\n";
const std::string kDone = "data: [DONE]\n\n";

// The result of a call whose engine writes `answer` and closes.
core::RunDone RunAgainst(const std::string& answer) {
  Poco::Net::ServerSocket listener(
      Poco::Net::SocketAddress("127.0.0.1", Poco::UInt16{0}));
  std::thread                  engine([&] {
    Poco::Net::StreamSocket connection = listener.acceptConnection();
    std::array<char, 4096>  request{};
    std::string             received;
    while (received.find("\"stream\":true") == std::string::npos) {
      const int size = connection.receiveBytes(
                           request.data(), static_cast<int>(request.size()));
      if (size <= 0) break;
      received.append(request.data(), static_cast<std::size_t>(size));
    }
    connection.sendBytes(answer.data(), static_cast<int>(answer.size()));
    connection.shutdownSend();
    while (connection.receiveBytes(request.data(),
                                                    static_cast<int>(request.size())) > 0) {
    }
  });
  const backends::EngineClient client({"127.0.0.1", listener.address().port()},
                                      {});
  core::RunCall                command;
  command.call.target = "m";
  command.call.body = "q";
  const std::atomic<bool> cancelled{false};
  core::RunDone           done =
      client.Run(command, cancelled, [](const std::string&) {});
  engine.join();
  return done;
}

Test(EngineClient, AnswerWithItsLastEvent_IsWhole) {
  const core::RunDone done = RunAgainst(kHead + kText + kDone);
  cr_assert(done.ok);
  cr_assert_str_eq(done.answer.text.c_str(), "part");
}

Test(EngineClient, AnswerEndsEarly_IsAFailure) {
  // Guards against a part of an answer being recorded as the whole one.
  const std::vector<std::string> answers{
      kHead + kText, kHead + kText + "data: [DO", kHead + kText + kError,
      kHead + kText + kError + kDone, kHead + kText + kFailed + kDone};
  for (std::size_t i = 0; i < answers.size(); ++i) {
    const core::RunDone done = RunAgainst(answers[i]);
    cr_expect_not(done.ok, "answer %zu: whole with '%s'", i,
                  done.answer.text.c_str());
  }
}

// How a server ends its connection after the bytes that it sent.
enum class Ended : std::uint8_t { kClosed, kReset };

// The result of a call of a server that writes `answer`, the first of several
// pieces, and ends the connection.
backends::JsonResult PostAgainst(const std::string& answer, Ended ended) {
  Poco::Net::ServerSocket listener(
      Poco::Net::SocketAddress("127.0.0.1", Poco::UInt16{0}));
  std::thread        server([&] {
    Poco::Net::StreamSocket connection = listener.acceptConnection();
    std::array<char, 4096>  buffer{};
    std::string             received;
    while (received.find('}') == std::string::npos) {
      const int size = connection.receiveBytes(buffer.data(),
                                                      static_cast<int>(buffer.size()));
      if (size <= 0) break;
      received.append(buffer.data(), static_cast<std::size_t>(size));
    }
    connection.sendBytes(answer.data(), static_cast<int>(answer.size()));
    if (ended == Ended::kReset) connection.setLinger(true, 0);
    connection.close();
  });
  Poco::JSON::Object body;
  body.set("key", "value");
  auto result = backends::PostJson({"127.0.0.1", listener.address().port()},
                                   "/v1/calls", body, {});
  server.join();
  return result;
}

// Guards against an answer that stops early being taken for a whole one: a
// result, or a refusal that promises that nothing ran.
Test(JsonClient, AnswerStopsEarly_RequestMayHaveRun) {
  const std::vector<std::string> answers{
      "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"result\":\"x\"}",
      "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n{}",
      "HTTP/1.1 400 Bad\r\nTransfer-Encoding: "
      "chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 500 No\r\nContent-Length: "
      "2\r\n\r\n{}"};
  for (std::size_t i = 0; i < answers.size(); ++i) {
    const std::string& answer = answers[i];
    for (const Ended ended : {Ended::kClosed, Ended::kReset}) {
      for (std::size_t size = 0; size < answer.size(); ++size) {
        const auto result = PostAgainst(answer.substr(0, size), ended);
        cr_expect(!result && result.error() == backends::HttpError::kNoAnswer,
                  "answer %zu, %zu bytes", i, size);
      }
    }
    const auto whole = PostAgainst(answer, Ended::kClosed);
    cr_expect(i == 0
                  ? whole.has_value()
                  : whole.error() == (i == 3 ? backends::HttpError::kFailed
                                             : backends::HttpError::kRefused),
              "answer %zu", i);
  }
}

// Guards against one odd item that hides all VMs from entries and agents.
Test(JsonClient, OddItemInTheListOfVms_OthersHold) {
  const std::string good = R"({"vm":"a","address":"h:1","leaving":false})";
  for (const std::string odd :
       {R"({})", R"(null)", R"(7)", R"({"vm":[],"address":"h:1","leaving":0})",
        R"({"vm":"b","address":{"a":1},"leaving":false})"}) {
    const std::string body = std::string(R"({"vms":[)")
                                 .append(good)
                                 .append(",")
                                 .append(odd)
                                 .append(",")
                                 .append(good)
                                 .append("]}");
    Poco::Net::ServerSocket listener(
        Poco::Net::SocketAddress("127.0.0.1", Poco::UInt16{0}));
    std::thread server([&] {
      Poco::Net::StreamSocket connection = listener.acceptConnection();
      std::array<char, 4096>  buffer{};
      connection.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
      const std::string answer =
          "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
          "\r\n\r\n" + body;
      connection.sendBytes(answer.data(), static_cast<int>(answer.size()));
      connection.close();
    });
    const auto  list =
        backends::VmListClient({"127.0.0.1", listener.address().port()}, {})
            .Read();
    server.join();
    cr_assert(list.has_value(), "%s", odd.c_str());
    cr_expect_eq(list->vms.size(), 2, "%s", odd.c_str());
    cr_expect_eq(list->unreadable, 1, "%s", odd.c_str());
  }
}

}  // namespace
}  // namespace yuccawick::tests

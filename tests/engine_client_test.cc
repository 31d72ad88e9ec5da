// The client of model engines, against answers that end early.
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <criterion/criterion.h>

#include <array>
#include <string>
#include <thread>
#include <vector>

#include "yuccawick/backends/backend_client.h"

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

}  // namespace
}  // namespace yuccawick::tests

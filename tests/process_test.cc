// Tests of the real daemons as processes on loopback. They synchronize on
// process output and answers to callers, not on time.
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <criterion/criterion.h>
#include <signal.h>

#include <cstdlib>
#include <string>

#include "caller.h"

namespace demo {
namespace {

const std::string              kModel = "laundry-7b";
const std::vector<std::string> kEntries{"entry-1", "entry-2"};

std::string Programs() {
  const char* folder = std::getenv("TEST_PROGRAMS");
  return folder == nullptr ? "build" : folder;
}

std::string Contract() { return Programs() + "/../contracts/sakhli.json"; }

// Three model agents in three zones, two service agents, two entries.
struct Running {
  Running() : group(Programs()) {
    group.StartPlatform();
    group.AddAgent({"model-1", "saburtalo", "model", kModel, true});
    group.AddAgent({"model-2", "gldani", "model", kModel, false});
    group.AddAgent({"model-3", "isani", "model", kModel, true});
    group.AddAgent({"desk-1", "gldani", "service", "booking", true});
    group.AddAgent({"desk-2", "isani", "service", "booking", true});
    for (const auto& entry : kEntries) group.AddEntry(entry, "saburtalo");
    ready = true;
    for (const auto* vm : {"model-1", "model-2", "model-3", "desk-1", "desk-2"})
      ready = ready && group.WaitUntilReady(vm);
    std::string output;
    ready = ready &&
            group.Operate({"contract", "publish", Contract()}, &output) == 0;
    for (const auto* vm : {"model-1", "model-2", "model-3"})
      ready = ready && group.WaitForContract(vm, "sakhli");
    for (const auto& entry : kEntries)
      ready = ready && group.WaitUntilReady(entry);
  }

  int CountBookings(const std::string& program, int sequence) {
    int total = 0;
    for (const auto* vm : {"desk-1", "desk-2"}) {
      const auto calls = group.Effects(vm).json->getObject("calls");
      total +=
          calls->optValue<int>(program + "/" + std::to_string(sequence), 0);
    }
    return total;
  }

  ProcessGroup group;
  bool         ready = false;
};

std::string CoordinatorOf(const std::string& program) {
  return program.substr(0, program.find('.'));
}

Test(Processes, CoordinatorKilledThenServiceCalled_RunsOnce) {
  // Guards against a repeated service call after a crash: a replica must claim
  // the program of the killed coordinator and serve it with its history.
  Running r;
  cr_assert(r.ready);
  Caller caller(r.group, kEntries, "sakhli", "household-1");
  cr_assert(caller.Start(kModel));
  cr_assert_eq(caller.Model(kModel, "a slot").status, 200);
  r.group.node(CoordinatorOf(caller.program())).Signal(SIGKILL);
  const Answer booking = caller.Service("booking", "friday 9");
  cr_assert_eq(booking.status, 200, "%s", booking.body.c_str());
  cr_assert_eq(r.CountBookings(caller.program(), 2), 1);
  const Answer history = caller.History();
  cr_assert_eq(history.json->getArray("turns")->size(), 2);
}

Test(Processes, PausedCoordinatorResumesAfterTakeover_Exits) {
  // Guards against a paused coordinator that goes on after a takeover: once
  // resumed, it must find its programs claimed and exit.
  Running r;
  cr_assert(r.ready);
  Caller caller(r.group, kEntries, "sakhli", "household-2");
  cr_assert(caller.Start(kModel));
  cr_assert_eq(caller.Model(kModel, "a slot").status, 200);
  auto& coordinator = r.group.node(CoordinatorOf(caller.program()));
  coordinator.Signal(SIGSTOP);
  cr_assert_eq(caller.Service("booking", "friday 9").status, 200);
  coordinator.Signal(SIGCONT);
  cr_assert_eq(coordinator.Wait(), 3);
  cr_assert_eq(r.CountBookings(caller.program(), 2), 1);
  cr_assert_eq(caller.Model(kModel, "confirm").status, 200);
}

Test(Processes, LogOutage_ProgramsContinueAndPublishIsRefused) {
  // Guards against programs that stop during a log outage, and against a
  // publish that fails without saying that it did not happen.
  Running r;
  cr_assert(r.ready);
  Caller caller(r.group, kEntries, "sakhli", "household-3");
  cr_assert(caller.Start(kModel));
  cr_assert_eq(caller.Model(kModel, "a slot").status, 200);
  r.group.ControlLog(R"({"mode": "down"})");
  cr_assert_eq(caller.Service("booking", "friday 9").status, 200);
  cr_assert_eq(caller.Model(kModel, "confirm").status, 200);
  std::string output;
  cr_assert_eq(r.group.Operate({"contract", "publish", Contract()}, &output),
               1);
  cr_assert_neq(output.find("log_unavailable, ran: no"), std::string::npos);
  r.group.ControlLog(R"({"mode": "up"})");
  cr_assert_eq(r.group.Operate({"contract", "publish", Contract()}, &output),
               0);
  cr_assert_eq(caller.End().status, 200);
}

Test(Processes, RollingSigterm_LosesNothing) {
  // Guards against calls lost or repeated while each process is stopped by
  // SIGTERM and restarted.
  Running r;
  cr_assert(r.ready);
  Caller caller(r.group, kEntries, "sakhli", "household-4");
  cr_assert(caller.Start(kModel));
  int bookings = 0;
  for (const auto* vm :
       {"model-1", "desk-1", "model-2", "desk-2", "model-3", "entry-1"}) {
    r.group.node(vm).Signal(SIGTERM);
    const Answer booking = caller.Service("booking", "slot");
    cr_assert_eq(booking.status, 200, "%s: %s", vm, booking.body.c_str());
    cr_assert_eq(r.CountBookings(caller.program(), ++bookings), 1);
    cr_assert_eq(r.group.node(vm).Wait(), 0, "%s", vm);
    r.group.Restart(vm);
    cr_assert(r.group.WaitUntilReady(vm), "%s", vm);
  }
  cr_assert_eq(caller.End().status, 200);
}

Headers ProgramHeaders(const Caller& caller, const std::string& workspace,
                       const std::string& sequence) {
  return {{"X-Yuccawick-Customer", "sakhli"},
          {"X-Yuccawick-Workspace", workspace},
          {"X-Yuccawick-Program", caller.program()},
          {"X-Yuccawick-Sequence", sequence}};
}

Test(Processes, InvalidInput_GetsTypedErrorsAndProgramContinues) {
  // Guards against invalid requests that crash a process, change a program or
  // get an untyped error.
  Running r;
  cr_assert(r.ready);
  Caller caller(r.group, kEntries, "sakhli", "household-5");
  cr_assert(caller.Start(kModel));
  cr_assert_eq(caller.Model(kModel, "a slot").status, 200);
  const std::string entry = r.group.HttpOf("entry-1");
  const std::string path = "/v1/chat/completions";
  const std::string good =
      R"({"model": "laundry-7b", "messages": [{"role": "user", "content": "x"}]})";
  const auto reason = [&](const Headers& headers, const std::string& body) {
    const Answer answer = r.group.Post(entry, path, headers, body);
    cr_assert_eq(answer.Ran(), "no");
    return answer.Reason();
  };
  const Headers fine = ProgramHeaders(caller, "household-5", "2");
  cr_assert_eq(reason(fine, "{not json"), "malformed");
  cr_assert_eq(reason(fine, R"({"model": 7, "messages": []})"), "malformed");
  cr_assert_eq(reason(fine, "{\"model\": \"\xff\"}"), "malformed");
  cr_assert_eq(reason(fine, std::string(2 << 20, 'x')), "too_large");
  cr_assert_eq(reason(ProgramHeaders(caller, "household-6", "2"), good),
               "wrong_workspace");
  cr_assert_eq(reason(ProgramHeaders(caller, "household-5", "50"), good),
               "sequence_gap");
  cr_assert_eq(reason(ProgramHeaders(caller, "household-5", "0"), good),
               "malformed");
  cr_assert_eq(reason(ProgramHeaders(caller, "household-5", "1"), good),
               "sequence_reused");
  Headers unknown = fine;
  unknown["X-Yuccawick-Program"] = "model-1.abc.5";
  cr_assert_eq(reason(unknown, good), "unknown_program");
  const Answer no_contract = r.group.Post(
      entry, "/v1/programs",
      {{"X-Yuccawick-Customer", "nobody"}, {"X-Yuccawick-Workspace", "w"}},
      R"({"model": "laundry-7b"})");
  cr_assert_eq(no_contract.Reason(), "no_contract");
  cr_assert_eq(caller.Model(kModel, "go on").status, 200);
  cr_assert_eq(r.group.Get(entry, "/healthz").status, 200);
}

// Sends raw bytes, shuts down the sending side and returns the answer.
std::string SendAndHalfClose(const std::string& address,
                             const std::string& bytes) {
  Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(address)};
  socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  socket.shutdownSend();
  std::string answer;
  char        buffer[1024];
  int         got = 0;
  while ((got = socket.receiveBytes(buffer, sizeof(buffer))) > 0)
    answer.append(buffer, static_cast<std::size_t>(got));
  return answer;
}

Test(Processes, ClientClosesMidRequest_GetsTypedError) {
  // Guards against a truncated body that is acted upon, and against an answer
  // that is dropped when the client half-closes after a whole request.
  Running r;
  cr_assert(r.ready);
  const std::string entry = r.group.HttpOf("entry-1");
  const std::string head =
      "POST /v1/programs HTTP/1.1\r\nHost: x\r\nContent-Length: 23\r\n"
      "X-Yuccawick-Customer: sakhli\r\nX-Yuccawick-Workspace: w\r\n\r\n";
  const std::string half = SendAndHalfClose(entry, head + "{\"model\"");
  cr_assert_neq(half.find("slow_client"), std::string::npos, "%s",
                half.c_str());
  const std::string whole =
      SendAndHalfClose(entry, head + "{\"model\":\"laundry-7b\"} ");
  cr_assert_neq(whole.find("201"), std::string::npos, "%s", whole.c_str());
}

Test(Processes, RequestIsHead_AnswerIsAHeadAlone) {
  // Guards against an answer to HEAD whose body is read as the next answer.
  Running r;
  cr_assert(r.ready);
  for (const std::string target :
       {"/healthz", "/status", "/metrics", "/v1/none", "/v1/programs/x"}) {
    const std::string answer =
        SendAndHalfClose(r.group.HttpOf("entry-1"),
                         "HEAD " + target + " HTTP/1.1\r\nHost: x\r\n\r\n");
    cr_expect(answer.starts_with("HTTP/1.1 "), "%s", target.c_str());
    cr_expect_eq(answer.find("\r\n\r\n") + 4, answer.size(), "%s: %s",
                 target.c_str(), answer.c_str());
  }
}

Test(Processes, ClientStallsMidRequest_GetsTypedErrorAfterTimeout) {
  // Guards against a stalled client that holds its connection forever or blocks
  // other callers.
  Running r;
  cr_assert(r.ready);
  Poco::Net::StreamSocket stalled{
      Poco::Net::SocketAddress(r.group.HttpOf("entry-1"))};
  const std::string half =
      "POST /v1/programs HTTP/1.1\r\nHost: x\r\nContent-Length: 23\r\n"
      "X-Yuccawick-Customer: sakhli\r\nX-Yuccawick-Workspace: w\r\n\r\n{";
  stalled.sendBytes(half.data(), static_cast<int>(half.size()));
  Caller caller(r.group, {"entry-1"}, "sakhli", "household-8");
  cr_assert(caller.Start(kModel));
  char      buffer[1024];
  const int got = stalled.receiveBytes(buffer, sizeof(buffer));
  cr_assert_gt(got, 0);
  const std::string answer(buffer, static_cast<std::size_t>(got));
  cr_assert_neq(answer.find("408"), std::string::npos, "%s", answer.c_str());
}

Test(Processes, StreamCutThenRetried_GetsWholeAnswer) {
  // Guards against a turn that is lost or repeated when a stream is cut and the
  // request retried through another entry.
  Running r;
  cr_assert(r.ready);
  Caller caller(r.group, kEntries, "sakhli", "household-9");
  cr_assert(caller.Start(kModel));
  const std::string body =
      R"({"model": "laundry-7b", "stream": true, "max_tokens": 64,)"
      R"( "messages": [{"role": "user", "content": "a slot"}]})";
  {
    Poco::Net::StreamSocket cut{
        Poco::Net::SocketAddress(r.group.HttpOf("entry-1"))};
    const std::string request =
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: " +
        std::to_string(body.size()) +
        "\r\nX-Yuccawick-Customer: sakhli\r\n"
        "X-Yuccawick-Workspace: household-9\r\nX-Yuccawick-Program: " +
        caller.program() + "\r\nX-Yuccawick-Sequence: 1\r\n\r\n" + body;
    cut.sendBytes(request.data(), static_cast<int>(request.size()));
    char buffer[64];
    cr_assert_gt(cut.receiveBytes(buffer, sizeof(buffer)), 0);
  }
  const Answer whole = caller.Model(kModel, "a slot", true);
  cr_assert_neq(whole.body.find("[DONE]"), std::string::npos, "%s",
                whole.body.c_str());
  cr_assert_eq(caller.History().json->getArray("turns")->size(), 1);
}

Test(Processes, StreamedAnswer_MatchesHistoryAndMetricsExist) {
  Running r;
  cr_assert(r.ready);
  Caller caller(r.group, kEntries, "sakhli", "household-7");
  cr_assert(caller.Start(kModel));
  const Answer streamed = caller.Model(kModel, "stream it", true);
  std::string  text;
  for (std::size_t at = 0;
       (at = streamed.body.find("\"content\":\"", at)) != std::string::npos;) {
    at += 11;
    text += streamed.body.substr(at, streamed.body.find('"', at) - at);
  }
  const Answer history = caller.History();
  cr_assert_eq(
      text,
      history.json->getArray("turns")->getObject(0)->getValue<std::string>(
          "answer"));
  const Answer metrics = r.group.Get(r.group.HttpOf("entry-1"), "/metrics");
  for (const auto* name :
       {"yuccawick_refusals_total{label=\"overloaded\"}",
        "yuccawick_retries_total{label=\"home_unreachable\"}",
        "yuccawick_refusals_total{label=\"slow_client\"}"})
    cr_assert_neq(metrics.body.find(name), std::string::npos, "%s", name);
}

Test(Processes, InvalidSettings_AreAllListedAndProcessExits) {
  Process agent(Programs() + "/yw-agent", {"--vm=Bad_Name", "--suspect_ms=200",
                                           "--kind=tool", "--listen=nowhere"});
  cr_assert_eq(agent.Wait(), 2);
  for (const auto* setting :
       {"vm: not_a_name", "zone: missing", "listen: not_an_endpoint",
        "kind: bad_value", "suspect_ms: contradiction"})
    cr_assert(agent.WaitForLine(setting), "%s", setting);
}

}  // namespace
}  // namespace demo

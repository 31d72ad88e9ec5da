#include "server.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include <chrono>
#include <csignal>
#include <iostream>
#include <sstream>
#include <thread>

namespace standins {
namespace {

constexpr int kThreads = 128;
constexpr int kBadRequest = 400;

Request ReadRequest(Poco::Net::HTTPServerRequest& http) {
  Request         request;
  const Poco::URI uri(http.getURI());
  request.method = http.getMethod();
  request.path = uri.getPath();
  for (const auto& [key, value] : uri.getQueryParameters())
    request.query[key] = value;
  std::string text;
  Poco::StreamCopier::copyToString(http.stream(), text);
  request.body = new Poco::JSON::Object;
  if (text.empty()) return request;
  Poco::JSON::Parser parser;
  request.body = parser.parse(text).extract<Poco::JSON::Object::Ptr>();
  return request;
}

class Handler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit Handler(StandIn& stand_in) : m_stand_in(stand_in) {}
  void handleRequest(Poco::Net::HTTPServerRequest&  request,
                     Poco::Net::HTTPServerResponse& response) override {
    try {
      m_stand_in.Serve(ReadRequest(request), response);
    } catch (const LostReply&) {
      dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().close();
    } catch (const Poco::Exception& error) {
      if (response.sent()) return;
      Poco::JSON::Object json;
      json.set("error", error.displayText());
      SendJson(response, kBadRequest, json);
    }
  }

 private:
  StandIn& m_stand_in;
};

class Factory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit Factory(StandIn& stand_in) : m_stand_in(stand_in) {}
  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new Handler(m_stand_in);
  }

 private:
  StandIn& m_stand_in;
};

}  // namespace

void SendJson(Poco::Net::HTTPServerResponse& response, int status,
              const Poco::JSON::Object& json) {
  std::ostringstream out;
  json.stringify(out);
  const std::string text = out.str();
  response.setStatus(
      static_cast<Poco::Net::HTTPServerResponse::HTTPStatus>(status));
  response.setContentType("application/json");
  response.sendBuffer(text.data(), text.size());
}

void SendStatus(Poco::Net::HTTPServerResponse& response, int status) {
  SendJson(response, status, Poco::JSON::Object());
}

int RunServer(StandIn& stand_in, const std::string& host, int port) {
  sigset_t stop;
  sigemptyset(&stop);
  sigaddset(&stop, SIGTERM);
  sigaddset(&stop, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop, nullptr);
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress(host, static_cast<std::uint16_t>(port)),
              true);
  socket.listen(kThreads);
  std::cout << socket.address().toString() << std::endl;
  auto* params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(kThreads);
  params->setMaxQueued(kThreads);
  Poco::ThreadPool      pool(2, kThreads + 2);
  Poco::Net::HTTPServer server(new Factory(stand_in), pool, socket, params);
  server.start();
  int number = 0;
  sigwait(&stop, &number);
  server.stopAll(true);
  return 0;
}

void SleepFor(int ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

}  // namespace standins

// The HTTP server that all stand-ins share.
#pragma once

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace standins {

struct Request {
  std::string                        method;
  std::string                        path;
  std::map<std::string, std::string> query;
  Poco::JSON::Object::Ptr            body;  // empty object if there was none
};

// One kind of stand-in.
class StandIn {
 public:
  virtual ~StandIn() = default;
  // Answers a request; may throw Poco::Exception for a bad one (400).
  virtual void Serve(const Request&                 request,
                     Poco::Net::HTTPServerResponse& response) = 0;
};

void SendJson(Poco::Net::HTTPServerResponse& response, int status,
              const Poco::JSON::Object& json);
void SendStatus(Poco::Net::HTTPServerResponse& response, int status);

// Thrown by a stand-in to close the connection without an answer, which is what
// a lost reply looks like.
struct LostReply {};

// Serves on host:port until SIGTERM; port 0 takes any and prints it.
int RunServer(StandIn& stand_in, const std::string& host, int port);

// Waits in the calling request's thread; the stand-in's way of being slow.
void Linger(int ms);

}  // namespace standins

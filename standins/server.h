// HTTP server shared by all stand-ins. Requests are served on several threads.
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
  Poco::JSON::Object::Ptr            body;  // an empty object without a body
};

// Request handler of one kind of stand-in.
class StandIn {
 public:
  virtual ~StandIn() = default;
  // Handles a request; called concurrently. A Poco::Exception is answered with
  // 400.
  virtual void Serve(const Request&                 request,
                     Poco::Net::HTTPServerResponse& response) = 0;
};

void SendJson(Poco::Net::HTTPServerResponse& response, int status,
              const Poco::JSON::Object& json);
void SendStatus(Poco::Net::HTTPServerResponse& response, int status);

// Thrown by a stand-in to close the connection without a response, to simulate
// a lost reply.
struct LostReply {};

// Serves on host:port until SIGTERM or SIGINT; prints the address. Port 0
// selects a free port.
int RunServer(StandIn& stand_in, const std::string& host, int port);

// Blocks the calling thread for `ms` to simulate processing time.
void SleepFor(int ms);

}  // namespace standins

#include "yuccawick/daemon/status_server.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>
#include <Poco/Timespan.h>
#include <Poco/URI.h>

#include <utility>

namespace yuccawick::daemon {
namespace {

constexpr int kMicrosPerMilli = 1000;
constexpr int kBacklog = 256;  // pending connections
constexpr int kMaxQueuedConnections = 256;
constexpr int kSpareThreads = 2;
constexpr int kIdleThreadSeconds = 60;

using Poco::Net::HTTPResponse;

// Serves a text that is generated per request; 503 if it is empty.
class PageHandler : public Poco::Net::HTTPRequestHandler {
 public:
  PageHandler(std::string type, std::function<std::string()> text)
      : m_type(std::move(type)), m_text(std::move(text)) {}

  void handleRequest(Poco::Net::HTTPServerRequest& /*request*/,
                     Poco::Net::HTTPServerResponse& response) override {
    const std::string text = m_text();
    const bool        available = !text.empty();
    response.setStatusAndReason(available
                                    ? HTTPResponse::HTTP_OK
                                    : HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
    response.setContentType(m_type);
    response.sendBuffer(text.data(), text.size());
  }

 private:
  std::string                  m_type;
  std::function<std::string()> m_text;
};

// Routes the built-in pages; other paths go to the daemon's factory.
class RequestRouter : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  RequestRouter(const Metrics& metrics, StatusServer::StatusText status,
                StatusServer::Factory factory)
      : m_metrics(metrics),
        m_status(std::move(status)),
        m_factory(std::move(factory)) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& request) override {
    const std::string path = Poco::URI(request.getURI()).getPath();
    if (path == "/healthz") {
      return new PageHandler("text/plain", [this] {
        return m_status().empty() ? std::string() : std::string("ok\n");
      });
    }
    if (path == "/status") return new PageHandler("application/json", m_status);
    if (path == "/metrics") {
      return new PageHandler("text/plain; version=0.0.4",
                             [this] { return m_metrics.Text(); });
    }
    return m_factory(request);
  }

 private:
  const Metrics&           m_metrics;
  StatusServer::StatusText m_status;
  StatusServer::Factory    m_factory;
};

}  // namespace

StatusServer::StatusServer(const HttpServerSettings& settings,
                           const Metrics& metrics, StatusText status,
                           Factory factory) {
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress(
                  settings.host, static_cast<std::uint16_t>(settings.port)),
              true);
  socket.listen(kBacklog);
  m_port = socket.address().port();
  auto* params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(settings.threads);
  params->setMaxQueued(kMaxQueuedConnections);
  params->setKeepAlive(true);
  params->setTimeout(Poco::Timespan(
      static_cast<Poco::Timespan::TimeDiff>(settings.client_timeout_ms) *
      kMicrosPerMilli));
  auto pool = new Poco::ThreadPool(
      kSpareThreads, settings.threads + kSpareThreads, kIdleThreadSeconds);
  m_server = std::make_unique<Poco::Net::HTTPServer>(
      new RequestRouter(metrics, std::move(status), std::move(factory)), *pool,
      socket, params);
}

StatusServer::~StatusServer() = default;

void StatusServer::Start() { m_server->start(); }

void StatusServer::Stop() { m_server->stopAll(false); }

int StatusServer::port() const { return m_port; }

}  // namespace yuccawick::daemon

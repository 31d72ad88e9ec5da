// Nodes of the gateway, the store's stand-in and backend servers, all on one
// event loop with a clock that only the fixture moves.
//
// Sockets are real, on loopback addresses made from the process id. Time passes
// only while nothing else happens, so verdicts do not depend on how busy the
// machine is.
#pragma once

#include <unistd.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "platform/standin/http_service.h"
#include "platform/standin/log_store.h"
#include "yuccawick/gateway/follower.h"
#include "yuccawick/gateway/gateway.h"

namespace yuccawick::tests {

using platform::standin::Ending;
using platform::standin::HttpService;
using platform::standin::LogStore;
using platform::standin::PlainAnswer;
using platform::standin::Request;
using platform::standin::StoreMode;

constexpr std::uint16_t kClientPort = 8000;
constexpr std::uint16_t kReadyPort = 8001;
constexpr std::uint16_t kPeerPort = 8002;
constexpr std::uint16_t kStorePort = 7000;
constexpr std::uint16_t kServerPort = 9000;
constexpr net::Duration kIdleStep = 5;       // ms that pass while all is quiet
constexpr net::Duration kPatience = 20'000;  // ms of the manual clock

inline net::Endpoint Address(int number, std::uint16_t port) {
  const auto pid = static_cast<std::uint32_t>(getpid());
  return {(127U << 24) | ((1 + pid % 200) << 16) | ((pid / 200 % 250) << 8) |
              static_cast<std::uint32_t>(number),
          port};
}

// One request on a connection of its own.
class Client final : public net::StreamOwner, public net::HttpSink {
 public:
  Client(net::EventLoop* loop, const net::Endpoint& to, std::string request)
      : m_request(std::move(request)),
        m_stream(loop, this, net::Connect(to, 60'000), true),
        m_reader(net::HttpRole::kResponses, {64UL * 1024, 64UL << 20}, this) {}

  void                Leave() { m_stream.Close(); }
  bool                done() const { return m_complete || m_closed; }
  bool                complete() const { return m_complete; }
  bool                closed() const { return m_closed; }
  int                 status() const { return m_head.status; }
  const std::string&  body() const { return m_body; }
  const net::Headers& headers() const { return m_head.headers; }

  void OnConnected() override { m_stream.Write(m_request); }
  void OnBytes(std::string_view bytes) override { m_reader.Feed(bytes); }
  void OnClosed(net::CloseCause /*cause*/) override { m_closed = true; }
  void OnHead(net::Head head) override { m_head = std::move(head); }
  void OnBody(std::string_view bytes) override { m_body += bytes; }
  void OnMessageEnd() override { m_complete = m_head.status >= 200; }

 private:
  std::string     m_request;
  net::Stream     m_stream;
  net::HttpReader m_reader;
  net::Head       m_head;
  std::string     m_body;
  bool            m_complete = false;
  bool            m_closed = false;
};

struct Server {
  std::string                                                    id;
  std::unique_ptr<HttpService>                                   service;
  std::vector<Request>                                           runs;
  std::function<void(const Request&, const HttpService::Reply&)> behave;
};

// Each node has a loop of its own, so that it can lose power between two events
// with everything that it would have done later.
struct Node {
  std::unique_ptr<net::EventLoop>    loop;
  platform::Settings                 settings;
  std::unique_ptr<gateway::Metrics>  metrics;
  std::unique_ptr<gateway::Gateway>  gateway;
  std::unique_ptr<platform::Store>   store;
  std::unique_ptr<gateway::Follower> follower;
};

inline std::string Id(const Request& request) {
  return *request.head.headers.Find("Attempt-Id");
}

// What a sound server adds to each answer.
inline std::string Signed(const Request& request) {
  return "Attempt-Id: " + Id(request) + "\r\nResponse-Stamp: s\r\n";
}

inline void AnswerPlain(const Request&            request,
                        const HttpService::Reply& reply) {
  reply(PlainAnswer(200, Signed(request), "done"), Ending::kKeep);
}

inline std::string EventText(int number) {
  return "id: " + std::to_string(number) + "\ndata: word" +
         std::to_string(number) + "\n\n";
}

inline std::string StreamHead(const Request& request) {
  return "HTTP/1.1 200 OK\r\n" + Signed(request) +
         "Content-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

inline std::string Chunk(const std::string& bytes) {
  std::string chunk;
  net::AppendChunk(&chunk, bytes);
  return chunk;
}

inline void AnswerStream(const Request&            request,
                         const HttpService::Reply& reply) {
  reply(StreamHead(request) + Chunk(EventText(1)) + Chunk(EventText(2)) +
            std::string(net::kLastChunk),
        Ending::kKeep);
}

// Routes: /tool/ safe, /post/ unsafe, /chat/ kept turns, /talk/ resumable
// streams. A turn may generate 20 tokens, an event counts 10.
inline std::string ManifestText(int version) {
  const auto route = [](const std::string& name, const std::string& more) {
    return R"({"name":")" + name + R"(","host":"h","pathPrefix":"/)" + name +
           R"(/","timeoutMs":3000,"targetLatencyMs":250,"priority":1,)"
           R"("maxAttempts":1,)" +
           more + "}";
  };
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
         route("tool", R"("kind":"safe","service":"app")") + "," +
         route("post", R"("kind":"unsafe","service":"app")") + "," +
         route("chat", R"("kind":"streaming","service":"llm","retain":true,)"
                       R"("retentionS":60,"sticky":true)") +
         "," +
         route("talk", R"("kind":"streaming","service":"llm",)"
                       R"("resumable":true)") +
         R"(],"services":[{"name":"app","healthPath":"/h","maxConns":50},)"
         R"({"name":"llm","healthPath":"/h","maxConns":50,"engine":{)"
         R"("slots":4,"kvCapacityTokens":1000,"eventTokens":10}}],)"
         R"("limits":{"maxHeaderBytes":2000,"maxBodyBytes":4000,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

class Deployment {
 public:
  Deployment()
      : m_now(1'000'000),
        loop([this] { return m_now; }),
        store(&loop, Address(1, kStorePort)),
        log("test", "zone") {
    store.Listen();
    store.Put("keyed.op", "config", ManifestText(1));
  }

  ~Deployment() {
    for (const auto& node : nodes) PowerOff(*node);
  }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Zones a, b, c in turn.
  Node& AddNode() {
    const int number = static_cast<int>(nodes.size());
    const int host = 10 + number;
    auto      node = std::make_unique<Node>();
    auto&     settings = node->settings;
    settings.node = "node-" + std::to_string(number);
    settings.zone = std::string(1, static_cast<char>('a' + number % 3));
    settings.clients = Address(host, kClientPort);
    settings.readiness = Address(host, kReadyPort);
    settings.address = settings.clients.address;
    settings.inner_ports = {kPeerPort};
    settings.store = Address(1, kStorePort);
    settings.stop_limit = 8000;
    nodes.push_back(std::move(node));
    Start(*nodes.back());
    return *nodes.back();
  }

  void PowerOff(Node& node) {
    node.follower.reset();
    node.store.reset();
    node.gateway.reset();
    node.loop.reset();
  }

  void Start(Node& node) {
    node.loop = std::make_unique<net::EventLoop>([this] { return m_now; });
    node.metrics = std::make_unique<gateway::Metrics>();
    node.gateway = std::make_unique<gateway::Gateway>(
        node.loop.get(), node.settings, &log, node.metrics.get(),
        node.settings.node + "/" + std::to_string(++m_starts));
    node.store =
        std::make_unique<platform::Store>(node.loop.get(), node.settings.store);
    gateway::Gateway* gateway = node.gateway.get();
    node.follower = std::make_unique<gateway::Follower>(
        node.loop.get(), node.store.get(), &log,
        gateway::Follower::Outputs{
            [gateway](const traffic::ManifestPtr& manifest) {
              gateway->TakeManifest(manifest);
            },
            [gateway](const traffic::ServerListPtr& servers) {
              gateway->TakeServers(servers);
            },
            [gateway](const std::string&                       name,
                      const std::optional<programs::NodeInfo>& info) {
              gateway->TakeNode(name, info);
            },
            [gateway] { gateway->TakeNodesKnown(); }});
    gateway->Listen();
    node.follower->Start();
  }

  Server& AddServer(const std::string& service, const std::string& zone) {
    const int number = static_cast<int>(servers.size());
    auto      server = std::make_unique<Server>();
    Server*   raw = server.get();
    raw->id = "i-" + std::to_string(number);
    raw->behave = service == "llm" ? AnswerStream : AnswerPlain;
    raw->service = std::make_unique<HttpService>(
        &loop, [raw](const Request& request, const HttpService::Reply& reply) {
          raw->runs.push_back(request);
          raw->behave(request, reply);
        });
    const auto at = Address(100 + number, kServerPort);
    raw->service->Listen(at);
    store.Put("keyed.servers", raw->id,
              R"({"service":")" + service + R"(","address":")" + at.Text() +
                  R"(","zone":")" + zone +
                  R"(","slots":4,"state":"ready","seq":1})");
    servers.push_back(std::move(server));
    return *raw;
  }

  // Runs the loop until `done`; time passes while nothing happens.
  bool Until(const std::function<bool()>& done,
             net::Duration                limit = kPatience) {
    const net::Time end = m_now + limit;
    while (!done() && m_now < end) {
      int events = loop.RunOnce(0);
      for (const auto& node : nodes) {
        if (node->loop) events += node->loop->RunOnce(0);
      }
      if (events == 0) m_now += kIdleStep;
    }
    return done();
  }
  void Pass(net::Duration time) {
    Until([] { return false; }, time);
  }
  // All nodes know the manifest, the servers and each other.
  void Settle() { Pass(7000); }

  Client Ask(const Node& node, const std::string& method,
             const std::string& target, const std::string& headers,
             const std::string& body = "") {
    std::string request =
        method + " " + target + " HTTP/1.1\r\nHost: h\r\n" + headers;
    if (!body.empty()) {
      request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return AskRaw(node, request + "\r\n" + body);
  }
  Client AskRaw(const Node& node, const std::string& request) {
    return Client(&loop, node.settings.clients, request);
  }
  bool Finish(const Client& client) {
    return Until([&] { return client.done(); });
  }

 private:
  net::Time m_now;
  int       m_starts = 0;

 public:
  net::EventLoop                       loop;
  LogStore                             store;
  gateway::Log                         log;
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::unique_ptr<Node>>   nodes;
};

inline std::string TurnHeaders(const std::string& id,
                               const std::string& program,
                               const std::string& previous = "",
                               int                budget = 1000) {
  std::string headers =
      "Attempt-Id: " + id + "\r\nProgram-Id: " + program +
      "\r\nSession-Id: l\r\nToken-Budget: " + std::to_string(budget) +
      "\r\nToken-Counts: 5,20\r\nDeadline-Ms: 2500\r\n";
  if (!previous.empty()) headers += "Previous-Turn: " + previous + "\r\n";
  return headers;
}

}  // namespace yuccawick::tests

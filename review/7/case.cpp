// A server that is leaving breaks off one of its streams more than drainMs
// after the store has acknowledged its notice.
#include "review/standin-2/case.hpp"

namespace review {
namespace {

constexpr int           kEvents = 18;
constexpr net::Duration kPause = 145;     // ms between events
constexpr net::Duration kDrainMs = 2000;  // bounds.drainMs
constexpr net::Duration kBreakAt = 2150;  // ms after the acknowledgement

struct Stream {
  Server::JobPtr job;
  int            next = 1;
  bool           ended = false;
};
using StreamPtr = std::shared_ptr<Stream>;

class Drain {
 public:
  explicit Drain(World* world) : m_world(world) {}

  int Run() {
    m_world->PutManifest(
        1,
        Route("talk", R"("kind":"streaming","timeoutMs":3000,"priority":0,)"
                      R"("service":"llm","maxAttempts":1,"retain":false,)"
                      R"("sticky":true,"resumable":true,"targetGapMs":150)"));
    for (int i = 0; i < 8; ++i) {
      Server* server =
          m_world->AddServer("i-" + std::to_string(i), "llm", 8, true);
      server->run = [this](Server* at, const Server::JobPtr& job) {
        Begin(at, job);
      };
      server->Start();
    }
    Gateway* gateway = m_world->AddGateway("front-a-1");
    if (!m_world->StartGateways()) return 2;
    m_world->Pass(3500);  // in touch
    // 50 streams, a new one each 20 ms, the last one about when the server
    // reports that it leaves.
    std::vector<std::unique_ptr<Client>> clients;
    std::vector<std::string>             attempts;
    for (int i = 0; i < 50; ++i) {
      attempts.push_back(m_world->NewAttempt());
      clients.push_back(m_world->Ask(*gateway, Turn(attempts.back())));
      m_world->Pass(20);
    }
    Server*         leaving = m_world->servers.front().get();
    const net::Time acknowledged = leaving->SetDraining();
    m_world->Until([&] { return m_world->now() >= acknowledged + kBreakAt; },
                   5000);
    if (Trouble() && !BreakOne(leaving)) {
      m_world->Note("no stream left to break off");
      return 2;
    }
    m_world->Until([&] { return AllDone(clients); }, 4000);
    int complete = 0;
    for (std::size_t i = 0; i < clients.size(); ++i) {
      m_world->NoteAnswer(attempts[i], *clients[i]);
      complete += clients[i]->complete() ? 1 : 0;
    }
    m_world->Note("streams answered whole: " + std::to_string(complete));
    int late = 0;
    for (const Arrival& arrival : m_world->arrivals) {
      const net::Duration after = arrival.at - acknowledged;
      if (arrival.server != leaving->id() || after <= kDrainMs) continue;
      ++late;
      m_world->Note("request " + arrival.attempt + " reached " +
                    arrival.server + " " + std::to_string(after) +
                    " ms after the acknowledgement");
    }
    return Verdict(m_world, late > 0,
                   std::to_string(late) +
                       " requests reached a leaving server later than drainMs "
                       "after the acknowledgement");
  }

 private:
  static std::string Turn(const std::string& id) {
    return Text("POST", "/talk/x",
                "Attempt-Id: " + id +
                    "\r\nModel: m\r\nToken-Counts: 400,252\r\n"
                    "Prompt-Prefix: " +
                    id.substr(8) + ":400\r\nDeadline-Ms: 3000\r\n",
                std::string(800, 'p'));
  }
  static bool AllDone(const std::vector<std::unique_ptr<Client>>& clients) {
    for (const auto& client : clients) {
      if (!client->done()) return false;
    }
    return true;
  }

  void Begin(Server* server, const Server::JobPtr& job) {
    const auto         stream = std::make_shared<Stream>();
    const std::string* last = job->request.head.headers.Find("Last-Event-Id");
    stream->job = job;
    if (last != nullptr) stream->next = std::stoi(*last) + 1;
    m_streams[server].push_back(stream);
    m_world->loop.After(100, [this, server, stream] {
      stream->job->reply("HTTP/1.1 200 OK\r\n" + Headers(stream->job->request) +
                             "Content-Type: text/event-stream\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n",
                         Ending::kKeep);
      Next(server, stream);
    });
  }

  void Next(Server* server, const StreamPtr& stream) {
    if (stream->ended) return;
    std::string part;
    net::AppendChunk(&part, Event(stream->next, "w"));
    const bool last = stream->next++ >= kEvents;
    if (last) part += net::kLastChunk;
    stream->job->reply(part, Ending::kKeep);
    if (last) {
      stream->ended = true;
      server->Done(stream->job);
    } else {
      m_world->loop.After(kPause,
                          [this, server, stream] { Next(server, stream); });
    }
  }

  // Breaks off the youngest stream, in the middle of an event.
  bool BreakOne(Server* server) {
    auto& streams = m_streams[server];
    for (auto each = streams.rbegin(); each != streams.rend(); ++each) {
      Stream& stream = **each;
      if (stream.ended || stream.next > kEvents - 1) continue;
      stream.ended = true;
      m_world->Note("server " + server->id() + " breaks off " +
                    stream.job->attempt + " in event " +
                    std::to_string(stream.next));
      stream.job->reply("9\r\nid: ", Ending::kReset);
      server->Done(stream.job);
      return true;
    }
    return false;
  }

  World*                                    m_world;
  std::map<Server*, std::vector<StreamPtr>> m_streams;
};

}  // namespace

int RunCase(World* world) { return Drain(world).Run(); }

}  // namespace review

// A node is killed and starts again while the store is down. Its clients keep
// the channels that they opened then.
#include "review/standin-2/case.hpp"

namespace review {
namespace {

constexpr int           kClients = 12;
constexpr std::size_t   kBody = 2'000'000;  // maxBodyBytes is 4,194,304
constexpr net::Duration kDown = 4500;

class Limits {
 public:
  explicit Limits(World* world) : m_world(world) {}

  int Run() {
    m_world->PutManifest(
        1,
        Route("page", R"("kind":"safe","timeoutMs":1200,"priority":2,)"
                      R"("service":"app","maxAttempts":2)") +
            "," +
            Route("file", R"("kind":"unsafe","timeoutMs":3000,)"
                          R"("priority":2,"service":"app","maxAttempts":1)"));
    for (int i = 0; i < 2; ++i) {
      Server* server =
          m_world->AddServer("i-" + std::to_string(i), "app", 6, false);
      server->run = AnswerWhole;
      server->Start();
    }
    Gateway* gateway = m_world->AddGateway("front-a-1");
    if (!m_world->StartGateways()) return 2;
    m_world->Pass(3500);
    if (Trouble()) {
      m_world->Note("the store is down");
      m_world->store.SetMode(Store::Mode::kBusy);
      const net::Time back = m_world->now() + kDown;
      m_world->Pass(1000);
      gateway->Kill();
      m_world->Pass(500);
      gateway->Start();
      m_world->Pass(300);
      Open(*gateway);
      while (m_world->now() < back) Calls(*gateway);
      m_world->store.SetMode(Store::Mode::kUp);
      m_world->Note("the store is up again");
    } else {
      Open(*gateway);
    }
    const net::Time calm = m_world->now() + 4000;  // contactMs and 1 s
    while (m_world->now() < calm) Calls(*gateway);
    int refused = 0;
    for (std::size_t i = 0; i < m_clients.size(); ++i) {
      auto& client = m_clients[i];
      if (client->closed()) {
        m_world->Note("a kept channel was closed");
        continue;
      }
      m_world->AskNext(client.get(), Text("POST", "/file/x",
                                          Call(m_world->NewAttempt(), i) +
                                              "Deadline-Ms: 3000\r\n",
                                          std::string(kBody, 'b')));
      ++m_requests;
      m_world->Until([&] { return client->done(); }, 3500);
      m_world->Note("POST of " + std::to_string(kBody) +
                    " bytes on a kept channel: " +
                    (client->complete() ? std::to_string(client->status())
                                        : std::string("closed")));
      if (client->complete() && client->status() == 413) ++refused;
    }
    const auto other = m_world->Ask(
        *gateway, Text("POST", "/file/x",
                       Call(m_world->NewAttempt(), m_clients.size()) +
                           "Deadline-Ms: 3000\r\n",
                       std::string(kBody, 'b')));
    ++m_requests;
    m_world->Until([&] { return other->done(); }, 3500);
    m_world->Note("the same POST on a new channel: " +
                  std::to_string(other->status()));
    return Verdict(
        m_world, refused > 5 + m_requests / 500,
        std::to_string(refused) + " of " + std::to_string(m_requests) +
            " requests were ended with 413 though the manifest allows them; "
            "more than 5 and one in 500 break the rule");
  }

 private:
  // Headers of a call of the program that uses a channel.
  static std::string Call(const std::string& id, std::size_t channel) {
    const std::string program = "p" + std::to_string(channel);
    return "Attempt-Id: " + id + "\r\nProgram-Id: " + program +
           "\r\nSession-Id: " + program + "\r\nProgram-Deadline-Ms: 20000\r\n";
  }
  static std::string Page(const std::string& id, std::size_t channel) {
    return Text("GET", "/page/x", Call(id, channel) + "Deadline-Ms: 1200\r\n");
  }
  void Open(const Gateway& gateway) {
    for (int i = 0; i < kClients; ++i) {
      m_clients.push_back(
          m_world->Ask(gateway, Page(m_world->NewAttempt(), m_clients.size())));
      ++m_requests;
    }
    m_world->Until(
        [&] {
          for (const auto& client : m_clients) {
            if (!client->done()) return false;
          }
          return true;
        },
        1500);
    Tell();
  }
  // One more request on each kept channel, then a pause of a second.
  void Calls(const Gateway& /*gateway*/) {
    for (std::size_t i = 0; i < m_clients.size(); ++i) {
      auto& client = m_clients[i];
      if (client->closed()) continue;
      m_world->AskNext(client.get(), Page(m_world->NewAttempt(), i));
      ++m_requests;
    }
    m_world->Pass(1000);
    Tell();
  }
  void Tell() {
    std::map<std::string, int> answers;
    for (const auto& client : m_clients) {
      ++answers[client->complete() ? std::to_string(client->status())
                : client->closed() ? "closed"
                                   : "none"];
    }
    for (const auto& [answer, count] : answers) {
      m_world->Note("GET on kept channels: " + answer + " x " +
                    std::to_string(count));
    }
  }

  World*                               m_world;
  std::vector<std::unique_ptr<Client>> m_clients;
  int                                  m_requests = 0;
};

}  // namespace

int RunCase(World* world) { return Limits(world).Run(); }

}  // namespace review

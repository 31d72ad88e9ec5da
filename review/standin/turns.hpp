// A small deployment for scripts about agent programs: gateways, model servers
// and clients that send turns over kept channels.
#pragma once

#include "world.hpp"

namespace review {

constexpr double kRetentionS = 60;   // of the route
constexpr int    kTimeoutMs = 3000;  // of the route
constexpr int    kEvents = 5;        // of a turn
constexpr int    kEventGapMs = 20;

// One route that keeps turns. The engine is that of cardon-central.toml, whose
// memory holds 377,056 tokens; the limits are those of PROTOCOL.md's example.
inline std::string TurnManifest() {
  return R"({"version":1,"routes":[{"name":"chat","host":"h.example",)"
         R"("pathPrefix":"/chat/","kind":"streaming","timeoutMs":3000,)"
         R"("targetLatencyMs":250,"priority":0,"service":"llm",)"
         R"("maxAttempts":1,"retain":true,"retentionS":60.0,"sticky":true,)"
         R"("resumable":false,"targetGapMs":150}],"services":[{"name":"llm",)"
         R"("healthPath":"/health","maxConns":160,"protocol":"h1",)"
         R"("tls":false,"engine":{"slots":12,"kvCapacityTokens":377056,)"
         R"("kvTokenBytes":35136,"linkMbps":2200000.0,"moves":true,)"
         R"("backups":true,"eventTokens":14,"most":12,"pinMs":4000.0,)"
         R"("holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],)"
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

struct Turn {
  std::string  id;
  std::string  program;
  std::string  previous;  // empty: the first of its program
  std::size_t  input_bytes = 0;
  std::size_t  prompt_bytes = 0;  // of the whole chain
  // Filled in by the client.
  int          gateway = -1;
  std::int64_t sent_at = 0;
  std::int64_t ended_at = 0;
  int          status = 0;  // 0: no answer
  bool         whole = false;
  std::string  text;  // body of an answer without success
  std::string  retry_after;
};

// A deployment of `gateways` gateways in three zones and of nine servers.
class TurnWorld {
 public:
  TurnWorld(const std::string& folder, int gateways, int memory_mb,
            const Store::Limits& limits, Record* record)
      : m_record(record), m_store({Ip(1), FreePort(Ip(1))}, limits, record) {
    m_store.Put("keyed.op", "config", TurnManifest());
    for (int i = 0; i < kServers; ++i) {
      const auto ip = Ip(100 + i);
      m_servers.push_back(std::make_unique<Server>(
          &m_store, "i-" + std::to_string(i), "llm",
          std::string(1, static_cast<char>('a' + i % 3)),
          Address{ip, FreePort(ip)}, 12,
          [this](Server* server, const Message& request, Channel* channel) {
            NoteReached(request.Get("Attempt-Id"));
            return ServeStream(server, request, channel, kEvents, kEventGapMs);
          }));
    }
    std::thread([this] {
      for (;; Sleep(1200))
        for (const auto& server : m_servers) server->Beat();
    }).detach();
    for (int i = 1; i <= gateways; ++i)
      m_gateways.push_back(std::make_unique<Gateway>(
          MakeSettings(i, memory_mb), m_store.at(), folder, record));
  }
  bool ok() const {
    bool all = m_store.ok();
    for (const auto& server : m_servers) all = all && server->ok();
    return all;
  }
  bool Start() {
    for (const auto& gateway : m_gateways) gateway->Start();
    return WaitReady();
  }
  bool WaitReady() {
    for (const auto& gateway : m_gateways)
      if (!gateway->WaitReady(10'000)) return false;
    return true;
  }
  void KillAll() {
    for (const auto& gateway : m_gateways) gateway->Kill(SIGKILL);
  }
  Store&   store() { return m_store; }
  Gateway& gateway(int index) {
    return *m_gateways[static_cast<std::size_t>(index)];
  }
  int  gateways() const { return static_cast<int>(m_gateways.size()); }
  // Whether a server has begun to work on the attempt.
  bool Reached(const std::string& attempt) {
    const std::scoped_lock lock(m_lock);
    return m_reached.contains(attempt);
  }
  // Share of the servers' places that are taken.
  double Load() const {
    int running = 0;
    for (const auto& server : m_servers) running += server->running();
    return running / (12.0 * kServers);
  }
  // Gateways that ended without a signal of the script.
  int UnexpectedEnds() {
    int ends = 0;
    for (const auto& gateway : m_gateways) {
      int status = 0;
      if (!gateway->Ended(&status)) continue;
      ++ends;
      m_record->Line("%s: ended by itself, status %d",
                     gateway->settings().name.c_str(), status);
    }
    return ends;
  }

 private:
  static constexpr int kServers = 9;
  void                 NoteReached(const std::string& attempt) {
                    {
                      const std::scoped_lock lock(m_lock);
                      m_reached.insert(attempt);
    }
                    m_record->Line("server: runs %s", attempt.c_str());
  }
  Record*                               m_record;
  Store                                 m_store;
  std::vector<std::unique_ptr<Server>>  m_servers;
  std::vector<std::unique_ptr<Gateway>> m_gateways;
  std::mutex                            m_lock;
  std::set<std::string>                 m_reached;
};

// A client with one kept channel to a gateway, which it opens when needed.
class TurnClient {
 public:
  TurnClient(TurnWorld* world, int gateway, Record* record)
      : m_world(world), m_gateway(gateway), m_record(record) {}
  void Send(Turn* turn) {
    turn->gateway = m_gateway;
    turn->sent_at = NowMs();
    Exchange(turn);
    turn->ended_at = NowMs();
    if (!turn->whole) m_channel.reset();
    m_record->Line("client: %s program %s previous %s to %s: %d %s, %lld ms %s",
                   turn->id.c_str(), turn->program.c_str(),
                   turn->previous.empty() ? "-" : turn->previous.c_str(),
                   m_world->gateway(m_gateway).settings().name.c_str(),
                   turn->status, turn->whole ? "whole" : "ended early",
                   static_cast<long long>(turn->ended_at - turn->sent_at),
                   turn->text.c_str());
  }

 private:
  void Exchange(Turn* turn) {
    if (!m_channel || !m_channel->open() || m_channel->PeerLeft())
      m_channel = Channel::Connect(m_world->gateway(m_gateway).front());
    if (!m_channel) return;
    std::string input(turn->input_bytes, 'x');
    input += " input of " + turn->id + "\n";
    const auto  tokens = turn->prompt_bytes / 2;  // two bytes a token
    std::string head = "POST /chat/a HTTP/1.1\r\nHost: h.example\r\n";
    head += "Attempt-Id: " + turn->id + "\r\nProgram-Id: " + turn->program +
            "\r\nSession-Id: s" + turn->program +
            "\r\nProgram-Deadline-Ms: 60000\r\nToken-Budget: 2240\r\n" +
            "Model: m\r\nToken-Counts: " + std::to_string(tokens) +
            ",280\r\nPrompt-Prefix: a1:512,b" + turn->program.substr(0, 6) +
            ":" + std::to_string(tokens > 512 ? tokens - 512 : 1) +
            "\r\nDeadline-Ms: " + std::to_string(kTimeoutMs) + "\r\n";
    if (!turn->previous.empty())
      head += "Previous-Turn: " + turn->previous + "\r\n";
    head += "Content-Length: " + std::to_string(input.size()) + "\r\n\r\n";
    Message answer;
    if (!m_channel->Write(head) || !m_channel->Write(input) ||
        !m_channel->ReadHead(&answer, kTimeoutMs + 500))
      return;
    turn->status = answer.status();
    turn->retry_after = answer.Get("Retry-After");
    turn->whole = m_channel->ReadBody(&answer, kTimeoutMs + 500);
    if (turn->status != 200) turn->text = answer.body;
  }
  TurnWorld*               m_world;
  int                      m_gateway;
  Record*                  m_record;
  std::unique_ptr<Channel> m_channel;
};

}  // namespace review

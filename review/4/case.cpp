// Programs run sub-agents in parallel when the node that counts the tokens of
// some of them is restarted with SIGTERM.
#include "review/standin-2/case.hpp"

#include <signal.h>

#include <algorithm>

namespace review {
namespace {

constexpr int           kBudget = 2240;  // Token-Budget
constexpr int           kMost = 280;     // tokens of one turn at most
constexpr int           kEventTokens = 14;
constexpr int           kEvents = 5;
constexpr int           kWidth = 6;      // sub-agents
constexpr int           kLast = 12;      // turns after them
constexpr net::Duration kThink = 300;    // ms before each of these
constexpr net::Duration kTools = 1200;   // ms after the sub-agents
constexpr net::Duration kSettle = 1000;  // bounds.settleMs
constexpr int           kPrograms = 12;  // at a time
constexpr int           kWaves = 3;
// From SIGTERM to the sub-agents' turns, which take 1 s. A machine without
// clients ends some 2.7 s after SIGTERM.
constexpr net::Duration kHeadStart = 2200;
constexpr net::Duration kGrace = 8000;  // bounds.graceS
constexpr net::Duration kDown = 1000;   // until it is started again

class Budget {
 public:
  explicit Budget(World* world) : m_world(world) {}

  int Run() {
    m_world->PutManifest(
        1, Route("chat", R"("kind":"streaming","timeoutMs":3000,"priority":1,)"
                         R"("service":"llm","maxAttempts":1,"retain":true,)"
                         R"("retentionS":60.0,"sticky":true,)"
                         R"("resumable":false,"targetGapMs":150)"));
    for (int i = 0; i < 12; ++i) {
      Server* server =
          m_world->AddServer("i-" + std::to_string(i), "llm", 8, true);
      server->run = [this](Server* at, const Server::JobPtr& job) {
        Stream(at, job);
      };
      server->Start();
    }
    m_near = m_world->AddGateway("front-a-1", "a");
    m_far = m_world->AddGateway("front-b-1", "b");
    if (!m_world->StartGateways()) return 2;
    m_world->Pass(4000);  // in touch
    for (int wave = 0; wave < kWaves; ++wave) Wave();
    m_world->Note("answers 402 while the budget held one more turn: " +
                  std::to_string(m_wrong) +
                  ", other 402: " + std::to_string(m_right));
    return Verdict(
        m_world, m_wrong > 5 + m_requests / 500,
        std::to_string(m_wrong) + " of " + std::to_string(m_requests) +
            " requests were ended with 402 though their program's budget held "
            "one more turn; more than 5 and one in 500 break the rule");
  }

 private:
  struct Program {
    std::string            name;
    std::vector<net::Time> whole;       // ends of the turns that ended whole
    int                    handed = 0;  // tokens in events that the client got
    int                    under_way = 0;  // turns without an answer yet
    int                    broken = 0;     // turns that did not end whole
    int                    lines = 0;      // sub-agents under way
    bool                   ended = false;
    std::string            last;  // last turn of the main line that ended whole
  };
  using ProgramPtr = std::shared_ptr<Program>;
  struct Turn {
    ProgramPtr              program;
    std::string             session;
    std::string             attempt;
    int                     left = 0;   // turns of this line after this one
    int                     tries = 0;  // so far
    std::unique_ptr<Client> client;
  };

  void Wave() {
    std::vector<ProgramPtr> programs;
    for (int i = 0; i < kPrograms; ++i) {
      const auto program = std::make_shared<Program>();
      program->name = "p" + m_world->NewAttempt();
      programs.push_back(program);
      Send(program, program->name + "m", 0, 0);
    }
    Settle(2000);
    m_world->Pass(300);
    if (Trouble()) {
      Restart();
      Drive(kHeadStart);
    }
    m_phase = 1;
    for (const auto& program : programs) {
      program->lines = kWidth;
      for (int i = 0; i < kWidth; ++i)
        Send(program, program->name + "s" + std::to_string(i), 0, 0);
    }
    Settle(8000);
    Drive(kTools);
    m_phase = 2;
    for (const auto& program : programs) {
      if (!program->ended) Send(program, program->name + "m", kLast - 1, 0);
    }
    Settle(12'000);
    m_phase = 0;
    Drive(4000);
  }

  // Stops the far machine as the platform does, and starts it again.
  void Restart() {
    m_world->Note("SIGTERM to front-b-1");
    m_far->Signal(SIGTERM);
    AwaitEnd(m_world->now() + kGrace);
  }
  void AwaitEnd(net::Time kill_at) {
    if (m_far->running() && m_world->now() < kill_at) {
      m_world->loop.After(20, [this, kill_at] { AwaitEnd(kill_at); });
      return;
    }
    m_far->Kill();
    m_world->Note("front-b-1 has ended");
    m_world->loop.After(kDown, [this] { m_far->Start(); });
  }

  void Send(const ProgramPtr& program, const std::string& session, int left,
            int tries) {
    if (program->ended) return;
    auto turn = std::make_unique<Turn>();
    turn->program = program;
    turn->session = session;
    turn->attempt = m_world->NewAttempt();
    turn->left = left;
    turn->tries = tries;
    ++program->under_way;
    ++m_requests;
    turn->client = m_world->Ask(
        *m_near, Text("POST", "/chat/x",
                      "Attempt-Id: " + turn->attempt + "\r\nProgram-Id: " +
                          program->name + "\r\nSession-Id: " + session +
                          "\r\nModel: m\r\nProgram-Deadline-Ms: 20000\r\n" +
                          Previous(*program) +
                          "Token-Budget: " + std::to_string(kBudget) +
                          "\r\nToken-Counts: 400," + std::to_string(kMost) +
                          "\r\nPrompt-Prefix: " + turn->attempt.substr(8) +
                          ":400\r\nDeadline-Ms: 3000\r\n",
                      std::string(800, 'p')));
    m_turns.push_back(std::move(turn));
  }

  static std::string Previous(const Program& program) {
    return program.last.empty() ? std::string()
                                : "Previous-Turn: " + program.last + "\r\n";
  }

  // Runs the programs until nothing is under way.
  void Settle(net::Duration limit) {
    const net::Time end = m_world->now() + limit;
    while ((!m_turns.empty() || m_pausing > 0) && m_world->now() < end)
      Drive(5);
  }
  void Drive(net::Duration time) {
    const net::Time end = m_world->now() + time;
    while (m_world->now() < end) {
      m_world->Pass(2);
      std::vector<std::unique_ptr<Turn>> ended;
      for (auto& turn : m_turns) {
        if (turn->client->done()) ended.push_back(std::move(turn));
      }
      std::erase(m_turns, nullptr);
      for (const auto& turn : ended) OnAnswer(*turn);
    }
  }

  void OnAnswer(const Turn& turn) {
    const Client& client = *turn.client;
    Program&      program = *turn.program;
    m_world->NoteAnswer(turn.attempt, client);
    --program.under_way;
    int events = 0;
    for (auto at = client.body().find("id: "); at != std::string::npos;
         at = client.body().find("id: ", at + 1))
      ++events;
    if (client.complete() && client.status() == 200) {
      program.handed += events * kEventTokens;
      program.whole.push_back(m_world->now());
      if (turn.session == program.name + "m") program.last = turn.attempt;
      if (turn.left > 0) SendLater(turn, turn.left - 1, 0, kThink);
      return;
    }
    if (client.complete() && client.status() == 402) {
      // Turns that had not ended whole settleMs before count at their most.
      const auto unsettled = std::count_if(
          program.whole.begin(), program.whole.end(),
          [this](net::Time end) { return m_world->now() - end < kSettle; });
      const int at_most =
          program.handed + (program.under_way + program.broken) * kMost +
          static_cast<int>(unsettled) * (kMost - kEvents * kEventTokens);
      const bool held = at_most + kMost <= kBudget;
      m_world->Note("402 for " + program.name + ": handed " +
                    std::to_string(program.handed) +
                    ", with the turns that "
                    "had not ended whole a second before " +
                    std::to_string(at_most) + ", one more makes " +
                    std::to_string(at_most + kMost) + " of " +
                    std::to_string(kBudget));
      ++(held ? m_wrong : m_right);
      program.ended = true;
      return;
    }
    // 503 promises that the turn did not run.
    if (!(client.complete() && client.status() == 503)) ++program.broken;
    if (turn.tries >= 3) {
      program.ended = true;
      return;
    }
    SendLater(turn, turn.left, turn.tries + 1, 250);
  }

  void SendLater(const Turn& turn, int left, int tries, net::Duration pause) {
    ++m_pausing;
    m_world->loop.After(pause, [this, program = turn.program,
                                session = turn.session, left, tries] {
      --m_pausing;
      Send(program, session, left, tries);
    });
  }

  void Stream(Server* server, const Server::JobPtr& job) {
    // Sub-agents' turns take about a second, the others 0.2 s.
    const net::Duration first = m_phase == 1 ? 420 : 40;
    const net::Duration pause = m_phase == 1 ? 140 : 30;
    m_world->loop.After(first, [this, server, job, pause] {
      job->reply("HTTP/1.1 200 OK\r\n" + Headers(job->request) +
                     "Content-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n",
                 Ending::kKeep);
      Next(server, job, 1, pause);
    });
  }
  void Next(Server* server, const Server::JobPtr& job, int number,
            net::Duration pause) {
    std::string part;
    net::AppendChunk(&part, Event(number, "w"));
    if (number == kEvents) part += net::kLastChunk;
    job->reply(part, Ending::kKeep);
    if (number == kEvents) {
      server->Done(job);
    } else {
      m_world->loop.After(pause, [this, server, job, number, pause] {
        Next(server, job, number + 1, pause);
      });
    }
  }

  World*                             m_world;
  Gateway*                           m_near = nullptr;
  Gateway*                           m_far = nullptr;
  std::vector<std::unique_ptr<Turn>> m_turns;
  int                                m_phase = 0;
  int                                m_pausing = 0;
  int                                m_requests = 0;
  int                                m_wrong = 0;
  int                                m_right = 0;
};

}  // namespace

int RunCase(World* world) { return Budget(world).Run(); }

}  // namespace review

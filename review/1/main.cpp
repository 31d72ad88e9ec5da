// Review, case 1: in a rolling restart, machines take requests from new
// channels until 5.5 s after SIGTERM, end 7.3 s after it, and cut off those
// that last longer than the rest.
//
// Three gateways of one zone get SIGTERM in turn, as in a roll_term, and start
// again once they have ended. The platform's entry stand-in asks for readiness
// once a second and sends new channels as PROTOCOL.md says. Clients send unsafe
// requests at a steady rate, each over a new channel; the servers work on each
// for 2.4 s, which is within the route's timeoutMs. With TROUBLE=0 no gateway
// is stopped.
//
// Usage, from the repository's root: review/1/case FOLDER
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
#include "../standin/world.hpp"

using namespace review;

namespace {

constexpr int          kGateways = 3;
constexpr int          kServers = 12;
constexpr int          kSlots = 6;
constexpr std::int64_t kWorkMs = 2400;
constexpr std::int64_t kTimeoutMs = 3000;
constexpr double       kPerS = 16;
constexpr int          kRolls = 3;
constexpr std::int64_t kGapMs = 1300;     // between two SIGTERMs
constexpr std::int64_t kRestartMs = 500;  // from a process's end to its start
constexpr std::int64_t kRollEveryMs = 22'000;
constexpr std::int64_t kGraceMs = 8000;
constexpr std::int64_t kLateMs = 3000;  // "sent no later than 3 s after"

std::string Manifest() {
  return R"({"version":1,"routes":[{"name":"report","host":"h.example",)"
         R"("pathPrefix":"/report/","kind":"unsafe","timeoutMs":3000,)"
         R"("targetLatencyMs":3000,"priority":0,"service":"app",)"
         R"("maxAttempts":1,"retain":false,"retentionS":0,"sticky":false,)"
         R"("resumable":false,"targetGapMs":0}],"services":[{"name":"app",)"
         R"("healthPath":"/health","maxConns":110,"protocol":"h1",)"
         R"("tls":false}],"limits":{"maxHeaderBytes":16384,)"
         R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
         R"("idleTimeoutMs":15000}})";
}

struct Request {
  std::string  id;
  int          gateway = -1;
  std::int64_t sent_at = 0;
  std::int64_t ended_at = 0;
  int          status = 0;
  bool         whole = false;
};

// SIGTERMs of one gateway.
struct Stops {
  std::mutex                lock;
  std::vector<std::int64_t> at;
};

// The platform's entry: which gateways get new channels.
class Entry {
 public:
  explicit Entry(std::vector<std::unique_ptr<Gateway>>* gateways,
                 Record*                                record)
      : m_gateways(gateways), m_record(record), m_misses(gateways->size(), 0) {}
  void Run() {
    for (std::size_t i = 0; i < m_gateways->size(); ++i)
      std::thread([this, i] {
        for (auto next = NowMs() + 137 * static_cast<std::int64_t>(i);;
             next += 1000) {
          Sleep(next - NowMs());
          const bool             ready = (*m_gateways)[i]->Ready();
          const std::scoped_lock hold(m_lock);
          const bool             was_in = m_misses[i] < 2;
          m_misses[i] = ready ? 0 : m_misses[i] + 1;
          if (was_in != (m_misses[i] < 2))
            m_record->Line("entry: front-%zu is %s rotation", i + 1,
                           was_in ? "out of" : "in");
        }
      }).detach();
  }
  // If fewer than half of the zone's machines are in rotation, all are used.
  std::vector<int> Usable() {
    const std::scoped_lock hold(m_lock);
    std::vector<int>       in;
    std::vector<int>       all;
    for (std::size_t i = 0; i < m_misses.size(); ++i) {
      all.push_back(static_cast<int>(i));
      if (m_misses[i] < 2) in.push_back(static_cast<int>(i));
    }
    return 2 * in.size() < all.size() ? all : in;
  }

 private:
  std::vector<std::unique_ptr<Gateway>>* m_gateways;
  Record*                                m_record;
  std::mutex                             m_lock;
  std::vector<int>                       m_misses;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  signal(SIGPIPE, SIG_IGN);
  const std::string folder = TemporaryFolder();
  if (folder.empty()) return 2;
  Record record(std::string(argv[1]) + "/record.txt");
  Store  store({Ip(1), FreePort(Ip(1))}, Store::Limits{}, &record);
  store.Put("keyed.op", "config", Manifest());
  std::mutex                           lock;
  std::map<std::string, std::int64_t>  reached;  // attempt: when
  std::vector<std::unique_ptr<Server>> servers;
  bool                                 ok = store.ok();
  for (int i = 0; i < kServers; ++i) {
    const auto ip = Ip(100 + i);
    servers.push_back(std::make_unique<Server>(
        &store, "i-" + std::to_string(i), "app", "a", Address{ip, FreePort(ip)},
        kSlots, [&](Server* server, const Message& request, Channel* channel) {
          const auto run = server->Begin(request);
          const auto id = request.Get("Attempt-Id");
          {
            const std::scoped_lock hold(lock);
            reached[id] = NowMs();
          }
          record.Line("server %s: runs %s", server->id().c_str(), id.c_str());
          Sleep(kWorkMs);
          server->End(run);
          return channel->Write(Answer(200, Stamp(request), "done " + id));
        }));
    ok = ok && servers.back()->ok();
  }
  std::thread([&] {
    for (;; Sleep(1200))
      for (const auto& server : servers) server->Beat();
  }).detach();

  std::vector<std::unique_ptr<Gateway>> gateways;
  std::vector<Stops>                    stops(kGateways);
  for (int i = 1; i <= kGateways; ++i) {
    auto settings = MakeSettings(i, 130);
    settings.zone = "a";
    gateways.push_back(
        std::make_unique<Gateway>(settings, store.at(), folder, &record));
  }
  const auto finish = [&](int code) {
    for (const auto& gateway : gateways) gateway->Kill(SIGKILL);
    RemoveFolder(folder);
    _exit(code);
  };
  for (const auto& gateway : gateways) gateway->Start();
  for (const auto& gateway : gateways) ok = ok && gateway->WaitReady(10'000);
  if (!ok) {
    record.Line("the deployment did not start");
    finish(2);
  }
  Entry entry(&gateways, &record);
  entry.Run();
  Sleep(4000);  // longer than contactMs

  // The rolling restarts. Each machine has a thread until the end: its process
  // is tied to the thread that started it.
  const auto roll_start = NowMs();
  for (int i = 0; i < kGateways; ++i) {
    std::thread([&, i] {
      Gateway& gateway = *gateways[static_cast<std::size_t>(i)];
      Stops&   stop = stops[static_cast<std::size_t>(i)];
      for (int n = 0; Trouble() && n < kRolls; ++n) {
        Sleep(roll_start + n * kRollEveryMs + i * kGapMs - NowMs());
        const auto term = NowMs();
        {
          const std::scoped_lock hold(stop.lock);
          stop.at.push_back(term);
        }
        record.Line("%s: SIGTERM", gateway.settings().name.c_str());
        gateway.Signal(SIGTERM);
        int status = 0;
        while (!gateway.Ended(&status) && NowMs() - term < kGraceMs) Sleep(5);
        record.Line("%s: ended %lld ms after SIGTERM, status %d",
                    gateway.settings().name.c_str(),
                    static_cast<long long>(NowMs() - term), status);
        gateway.Kill(SIGKILL);
        Sleep(kRestartMs);
        gateway.Start();
      }
      Sleep(600'000);
    }).detach();
  }

  // Clients.
  std::vector<Request> requests;
  std::atomic<int>     under_way = 0;
  std::mt19937         random(1);
  const auto           start = NowMs();
  for (int i = 0; NowMs() - start < kRolls * kRollEveryMs; ++i) {
    Sleep(start + static_cast<std::int64_t>(1000.0 * i / kPerS) - NowMs());
    const auto usable = entry.Usable();
    const int  gateway = usable[random() % usable.size()];
    ++under_way;
    std::thread([&, gateway] {
      Request    request{NewId(), gateway, NowMs(), 0, 0, false};
      const auto channel = Channel::Connect(
          gateways[static_cast<std::size_t>(gateway)]->front(), 1000);
      Message answer;
      if (channel &&
          channel->Write("POST /report/a HTTP/1.1\r\nHost: h.example\r\n"
                         "Attempt-Id: " +
                         request.id +
                         "\r\nDeadline-Ms: " + std::to_string(kTimeoutMs) +
                         "\r\nContent-Length: 4\r\n\r\nbody") &&
          channel->ReadHead(&answer, kTimeoutMs)) {
        request.status = answer.status();
        request.whole = channel->ReadBody(&answer, 1000);
      }
      request.ended_at = NowMs();
      record.Line("client: %s to front-%d: %s %d, %lld ms", request.id.c_str(),
                  gateway + 1,
                  !channel        ? "no channel"
                  : request.whole ? "answered"
                                  : "channel ended",
                  request.status,
                  static_cast<long long>(request.ended_at - request.sent_at));
      const std::scoped_lock hold(lock);
      requests.push_back(request);
      --under_way;
    }).detach();
  }
  while (under_way > 0) Sleep(10);

  int served = 0;
  int refused = 0;
  int unread = 0;
  int late = 0;  // ended at their deadline
  int excused = 0;
  int lost = 0;
  for (const Request& request : requests) {
    if (request.whole) {
      ++(request.status == 200 ? served : refused);
      continue;
    }
    if (!reached.contains(request.id)) {
      ++unread;
      continue;
    }
    if (request.ended_at - request.sent_at >= kTimeoutMs - 50) {
      ++late;
      continue;
    }
    std::int64_t term = 0;  // the last SIGTERM before the end
    for (const auto at : stops[static_cast<std::size_t>(request.gateway)].at)
      if (at <= request.ended_at) term = at;
    const bool planned = term > 0 && request.ended_at - term <= kGraceMs + 1000;
    if (planned && request.sent_at - term <= kLateMs) {
      ++excused;  // the server was still at work in the last sixth of graceS
      continue;
    }
    if (!planned) continue;
    ++lost;
    record.Line(
        "lost: %s, sent %lld ms after the SIGTERM of front-%d, run by "
        "a server, channel ended %lld ms after the SIGTERM",
        request.id.c_str(), static_cast<long long>(request.sent_at - term),
        request.gateway + 1, static_cast<long long>(request.ended_at - term));
  }
  record.Line(
      "requests: %zu sent, %d served, %d refused, %d not read, %d at "
      "their deadline, %d excused, %d lost",
      requests.size(), served, refused, unread, late, excused, lost);
  if (served * 2 < static_cast<int>(requests.size())) {
    record.Line("too few requests were served");
    finish(2);
  }
  record.Line("rule LOST: %s", lost > 0 ? "broken" : "held");
  std::printf(
      "sent %zu, served %d, refused %d, not read %d, late %d, "
      "excused %d, lost %d: %s\n",
      requests.size(), served, refused, unread, late, excused, lost,
      lost > 0 ? "broken" : "held");
  std::fflush(stdout);
  finish(lost > 0 ? 1 : 0);
}

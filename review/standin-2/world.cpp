#include "review/standin-2/world.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>

namespace review {
namespace {

using platform::standin::PlainAnswer;

constexpr int         kStorePort = 7000;
constexpr int         kServerPort = 8080;
constexpr int         kClientsPort = 8149;
constexpr int         kReadyPort = 8141;
constexpr std::size_t kQueue = 24;
constexpr int         kBeat = 1200;  // ms

std::string Find(const Request& request, const char* name) {
  const std::string* value = request.head.headers.Find(name);
  return value == nullptr ? std::string() : *value;
}

}  // namespace

// Texts -----------------------------------------------------------------------

std::string Text(const std::string& method, const std::string& target,
                 const std::string& headers, const std::string& body) {
  std::string text =
      method + " " + target + " HTTP/1.1\r\nHost: a.example\r\n" + headers;
  if (!body.empty() || method == "POST")
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

std::string Route(const std::string& prefix, const std::string& more) {
  return R"({"name":"r-)" + prefix + R"(","host":"a.example","pathPrefix":"/)" +
         prefix + R"(/","targetLatencyMs":250,)" + more + "}";
}

std::string Headers(const Request& request) {
  return "Attempt-Id: " + Find(request, "Attempt-Id") +
         "\r\nResponse-Stamp: stamp\r\n";
}

std::string Event(int number, const std::string& words) {
  return "id: " + std::to_string(number) + "\ndata: " + words + "\n\n";
}

// Server ----------------------------------------------------------------------

Server::Server(World* world, std::string id, std::string service, int host,
               int slots, bool is_model)
    : m_world(world),
      m_id(std::move(id)),
      m_service(std::move(service)),
      m_at(world->At(host, kServerPort)),
      m_slots(slots),
      m_is_model(is_model),
      m_http(&world->loop,
             [this](const Request& request, const HttpService::Reply& reply) {
               Take(request, reply);
             }) {}

void Server::Start() {
  if (!m_http.Listen(m_at)) std::exit(2);
  Beat();
}

std::string Server::Entry() const {
  return R"({"service":")" + m_service + R"(","address":")" + m_at.Text() +
         R"(","zone":"a","version":"v1","slots":)" + std::to_string(m_slots) +
         R"(,"state":")" + (m_draining ? "draining" : "ready") +
         R"(","coldLeftMs":0,"seq":)" + std::to_string(m_seq) + "}";
}

void Server::Beat() {
  if (m_gone) return;
  ++m_seq;
  m_world->store.Put("keyed.servers", m_id, Entry());
  m_world->loop.After(kBeat, [this] { Beat(); });
}

net::Time Server::SetDraining() {
  m_draining = true;
  ++m_seq;
  m_world->Note("server " + m_id + " reports draining; acknowledged");
  return m_world->store.Put("keyed.servers", m_id, Entry());
}

void Server::Take(const Request& request, const HttpService::Reply& reply) {
  const std::string expected = Find(request, "Expect-Instance");
  if (!expected.empty() && expected != m_id) {
    reply(PlainAnswer(421, "Instance-Id: " + m_id + "\r\n", ""), Ending::kKeep);
    return;
  }
  if (m_is_model && request.head.target == "/yuccawick/report") {
    reply(PlainAnswer(200, "Content-Type: application/json\r\n",
                      R"({"stage":"both","queueDepth":0})"),
          Ending::kKeep);
    return;
  }
  const auto job = std::make_shared<Job>();
  job->request = request;
  job->reply = reply;
  job->attempt = Find(request, "Attempt-Id");
  job->arrived = m_world->now();
  job->is_health = request.head.target == "/health";
  const std::string deadline = Find(request, "Deadline-Ms");
  if (!deadline.empty())
    job->give_up_at = m_world->now() + std::atoll(deadline.c_str());
  const std::string line = request.head.method + " " + request.head.target;
  if (!job->is_health) {
    m_world->Note("server " + m_id + " gets " + line + " id=" + job->attempt +
                  " last=" + Find(request, "Last-Event-Id") +
                  " left=" + deadline);
    m_world->arrivals.push_back({m_id, job->attempt, line, m_world->now()});
  }
  if (!job->is_health && job->attempt.empty()) {
    reply(PlainAnswer(400, "Not-Executed: 1\r\n", ""), Ending::kKeep);
  } else if (m_queue.size() >= kQueue) {
    reply(PlainAnswer(503,
                      "Not-Executed: 1\r\n" +
                          (job->attempt.empty()
                               ? std::string()
                               : "Attempt-Id: " + job->attempt + "\r\n"),
                      ""),
          Ending::kKeep);
  } else {
    m_queue.push_back(job);
    StartJobs();
  }
}

void Server::StartJobs() {
  while (m_busy < m_slots && !m_queue.empty()) {
    const JobPtr job = m_queue.front();
    m_queue.pop_front();
    if (job->give_up_at > 0 && m_world->now() >= job->give_up_at) {
      job->reply(
          PlainAnswer(503,
                      "Not-Executed: 1\r\nAttempt-Id: " + job->attempt + "\r\n",
                      ""),
          Ending::kKeep);
      continue;
    }
    ++m_busy;
    if (job->is_health) {
      m_world->loop.After(1, [this, job] {
        job->reply(PlainAnswer(m_draining ? 503 : 200,
                               "Instance-Id: " + m_id + "\r\n", ""),
                   Ending::kKeep);
        Done(job);
      });
    } else {
      run(this, job);
    }
  }
}

void Server::Done(const JobPtr& /*job*/) {
  --m_busy;
  StartJobs();
}

// Gateway ---------------------------------------------------------------------

Gateway::Gateway(World* world, std::string name, const std::string& zone,
                 int host)
    : m_world(world),
      m_name(std::move(name)),
      m_settings(world->folder + "/" + m_name + ".toml"),
      m_clients(world->At(host, kClientsPort)),
      m_ready(world->At(host, kReadyPort)) {
  const std::string ip = world->Ip(host);
  std::ofstream     file(m_settings);
  file << "nodeName = \"" << m_name << "\"\nrole = \"gateway\"\n"
       << "machineClass = \"front\"\nserves = [\"front\"]\nip = \"" << ip
       << "\"\nzone = \"" << zone
       << "\"\nregion = \"r\"\ninternalPorts = [7380,7395]\n"
       << "seeds = []\nfirstStart = true\ndiscovery = \"platform\"\n"
       << "entry = \"vip\"\nheartbeatMs = 1200\n"
       << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\","
          "\"agent\",\"stream\",\"engine\",\"platform\"]\n"
       << "[zones]\na = \"r\"\nb = \"r\"\n[listen]\nfront = \""
       << m_clients.Text() << "\"\nready = \"" << m_ready.Text() << "\"\n"
       << "[limits]\ncpuShare = 0.5\ncores = 1\nmemoryMb = " << world->memory_mb
       << "\n"
          "maxFds = 8200\nlinkMbps = 1000.0\ndiskMb = 0\n"
       << "[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n"
       << "[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\n"
          "ackMs = 4000\ncatchUpS = 4.4\ndrainMs = 2000\ngraceS = 8\n"
          "lossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\n"
          "outerMs = 5000\nrecoveryS = 12\npassMs = 120\nretryAfterS = 0\n"
          "deadlineS = 10\nsettleMs = 1000\n"
       << "[provider]\naddress = \"" << world->At(1, kStorePort).Text()
       << "\"\nform = \"log\"\nwritesPerS = 800\nreadsPerS = 2000\n"
          "parts = 12\nappendMs = 2.0\npartitionMbS = 20.0\nreadMbS = 80.0\n"
          "recordBytes = 262144\nrequestBytes = 2097152\nretentionS = 300\n"
          "partitionMb = 200\nminTtlMs = 1000\n";
}

Gateway::~Gateway() { Kill(); }

void Gateway::Start() {
  const std::string log = m_world->folder + "/" + m_name + ".log";
  const std::string config = "YUCCAWICK_CONFIG=" + m_settings;
  const pid_t       parent = getpid();
  m_pid = fork();
  if (m_pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(127);
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    std::string path = std::string("PATH=") + std::getenv("PATH");
    std::string settings = config;
    char        program[] = "target/yw-gateway";  // as in deploy/system.toml
    char*       arguments[] = {program, nullptr};
    char*       environment[] = {path.data(), settings.data(), nullptr};
    execve(program, arguments, environment);
    _exit(127);
  }
  m_world->Note("gateway " + m_name + " started");
}

void Gateway::Signal(int signal) const {
  if (m_pid > 0) kill(m_pid, signal);
}

bool Gateway::running() const {
  if (m_pid <= 0) return false;
  int status = 0;
  if (waitpid(m_pid, &status, WNOHANG) == 0) return true;
  m_pid = 0;
  return false;
}

void Gateway::Kill() {
  if (m_pid <= 0) return;
  kill(m_pid, SIGCONT);
  kill(m_pid, SIGKILL);
  waitpid(m_pid, nullptr, 0);
  m_pid = 0;
  m_world->Note("gateway " + m_name + " killed");
}

// World -----------------------------------------------------------------------

World::World(const std::string& record)
    : store(&loop, At(1, kStorePort)), m_started(loop.now()), m_record(record) {
  char        name[] = "/tmp/yw-review-XXXXXX";
  const char* made = mkdtemp(name);
  if (made == nullptr) std::exit(2);
  folder = made;
  if (!store.Listen()) std::exit(2);
}

World::~World() {
  gateways.clear();
  if (std::getenv("KEEP_LOGS") == nullptr)
    std::system(("rm -rf " + folder).c_str());
}

void World::Note(const std::string& line) {
  m_record << (loop.now() - m_started) << " ms " << line << "\n";
  m_record.flush();
}

void World::NoteSent(const std::string& request) {
  const std::string name = "Attempt-Id: ";
  const auto        at = request.find(name);
  const std::string id =
      at == std::string::npos
          ? std::string("?")
          : request.substr(at + name.size(),
                           request.find("\r\n", at) - at - name.size());
  Note("client sends " + request.substr(0, request.find(" HTTP")) +
       " id=" + id);
}

void World::NoteAnswer(const std::string& attempt, const Client& client) {
  const std::string answer =
      client.complete() ? "answered " + std::to_string(client.status())
      : client.closed() ? std::string("channel closed without a whole answer")
                        : std::string("no answer");
  Note("client id=" + attempt + " " + answer);
}

bool World::Until(const std::function<bool()>& done, net::Duration limit) {
  const net::Time end = net::Now() + limit;
  while (!done() && net::Now() < end) loop.RunOnce(2);
  return done();
}

net::Endpoint World::At(int host, int port) const {
  const auto pid = static_cast<std::uint32_t>(getpid());
  return {(127U << 24) | ((1 + pid % 200) << 16) | ((pid / 200 % 250) << 8) |
              static_cast<std::uint32_t>(host),
          static_cast<std::uint16_t>(port)};
}

std::string World::Ip(int host) const {
  const std::string text = At(host, 0).Text();
  return text.substr(0, text.find(':'));
}

Server* World::AddServer(const std::string& id, const std::string& service,
                         int slots, bool is_model) {
  const int host = 100 + static_cast<int>(servers.size());
  servers.push_back(
      std::make_unique<Server>(this, id, service, host, slots, is_model));
  return servers.back().get();
}

Gateway* World::AddGateway(const std::string& name, const std::string& zone) {
  const int host = 10 + static_cast<int>(gateways.size());
  gateways.push_back(std::make_unique<Gateway>(this, name, zone, host));
  return gateways.back().get();
}

bool World::IsReady(const Gateway& gateway) {
  Client client(&loop, gateway.ready(),
                "GET /yuccawick/readiness HTTP/1.1\r\nHost: a\r\n\r\n");
  Until([&] { return client.done(); }, 500);
  return client.complete() && client.status() == 200;
}

bool World::StartGateways() {
  for (const auto& gateway : gateways) gateway->Start();
  for (const auto& gateway : gateways) {
    const net::Time end = net::Now() + 10'000;
    while (!IsReady(*gateway)) {
      if (net::Now() > end) return false;
      Pass(50);
    }
  }
  Note("all gateways are ready");
  return true;
}

void World::PutManifest(int version, const std::string& routes,
                        std::size_t body_bytes, int kv_tokens) {
  store.Put(
      "keyed.op", "config",
      R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes +
          R"(],"services":[{"name":"app","healthPath":"/health","maxConns":110,)"
          R"("protocol":"h1","tls":false},{"name":"llm","healthPath":"/health",)"
          R"("maxConns":140,"protocol":"h1","tls":false,"engine":{"slots":8,)"
          R"("kvCapacityTokens":)" +
          std::to_string(kv_tokens) +
          R"(,"kvTokenBytes":35136,"eventTokens":14,)"
          R"("models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,)"
          R"("maxBodyBytes":)" +
          std::to_string(body_bytes) +
          R"(,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})");
  Note("manifest " + std::to_string(version) + " put; acknowledged");
}

std::string World::NewAttempt() {
  char text[32];
  std::snprintf(text, sizeof text, "%08x%08llx",
                static_cast<unsigned>(getpid()),
                static_cast<unsigned long long>(++m_last_attempt));
  return text;
}

}  // namespace review

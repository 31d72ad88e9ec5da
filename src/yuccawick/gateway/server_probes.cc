#include "yuccawick/gateway/server_probes.h"

#include <array>
#include <utility>

#include "platform/requests.h"

namespace yuccawick::gateway {
namespace {

// Bytes of an answer to a probe after which its connection is closed.
constexpr std::size_t kMaxBodyBytes = 64UL * 1024;
// ms until the next connection after the server reset a new one.
constexpr Duration    kReconnectPause = 30;

}  // namespace

std::string_view Name(ProbeOutcome outcome) {
  constexpr std::array<std::string_view, kProbeOutcomeCount> kNames{
      "answered", "ended", "silent"};
  return kNames[static_cast<std::size_t>(outcome)];
}

// One question to one server, over as many connections as it takes.
class ServerProbes::Run final : public BackendHandler {
 public:
  Run(ServerProbes* probes, const traffic::BackendServer& server)
      : m_probes(probes), m_server(server) {
    m_timer = probes->m_loop->After(probes->m_thresholds->probe_wait, [this] {
      m_timer = 0;
      Finish(m_outcome);
    });
    Connect();
  }
  ~Run() override {
    m_probes->m_loop->Cancel(&m_timer);
    m_probes->m_loop->Cancel(&m_reconnect_timer);
    if (m_connection != nullptr) m_probes->m_backends->Discard(m_connection);
  }

  void OnBackendConnected() override {}
  bool OnBackendHead(const net::Head& head) override {
    m_outcome = platform::IsFromStart(head, m_server) ? ProbeOutcome::kAnswered
                                                      : ProbeOutcome::kEnded;
    return true;
  }
  void OnBackendBody(std::string_view bytes) override {
    m_body_bytes += bytes.size();
    if (m_body_bytes > kMaxBodyBytes) Finish(m_outcome);
  }
  void OnBackendEnd() override {
    m_probes->m_backends->Release(std::exchange(m_connection, nullptr));
    Finish(m_outcome);
  }
  void OnBackendFailed(traffic::SendFailureCause cause) override {
    m_probes->m_backends->Discard(std::exchange(m_connection, nullptr));
    if (m_outcome != ProbeOutcome::kSilent) {
      Finish(m_outcome);
    } else if (cause == traffic::SendFailureCause::kNotConnected) {
      Finish(TimedOut() ? ProbeOutcome::kSilent : ProbeOutcome::kEnded);
    } else if (cause == traffic::SendFailureCause::kBadAnswer) {
      Finish(ProbeOutcome::kAnswered);
    } else {
      Reconnect();
    }
  }

 private:
  // Whether the connection was not refused, but not established in time.
  bool TimedOut() const {
    return m_probes->m_loop->now() - m_connecting_since >=
           m_probes->m_thresholds->connect_timeout;
  }
  // A connection in the pool was opened before the question, so it tells of
  // the same start as long as it is open.
  void Connect() {
    m_connecting_since = m_probes->m_loop->now();
    m_connection = m_probes->m_backends->Acquire(m_server.id, m_fresh);
    if (m_connection == nullptr) {
      Finish(ProbeOutcome::kSilent);
      return;
    }
    const auto& manifest = m_probes->m_manifest;
    m_connection->Send(
        this, platform::kProbeMethod,
        platform::EncodeProbe(m_server,
                              manifest == nullptr
                                  ? nullptr
                                  : manifest->FindService(m_server.service)));
  }
  // A crash closes connections of the pool, which this node may not have seen
  // yet.
  void Reconnect() {
    const Duration pause = m_fresh ? kReconnectPause : 0;
    m_fresh = true;
    m_reconnect_timer = m_probes->m_loop->After(pause, [this] {
      m_reconnect_timer = 0;
      Connect();
    });
  }
  // Deferred: the probe ends with its run, which is on the call stack.
  void Finish(ProbeOutcome outcome) {
    if (std::exchange(m_finished, true)) return;
    m_probes->m_loop->Cancel(&m_timer);
    m_probes->m_loop->Defer([probes = m_probes, server = m_server.id, outcome] {
      probes->Finish(server, outcome);
    });
  }

  ServerProbes*          m_probes;
  traffic::BackendServer m_server;
  BackendConnection*     m_connection = nullptr;
  Time                   m_connecting_since = 0;
  net::TimerId           m_timer = 0;
  net::TimerId           m_reconnect_timer = 0;
  bool                   m_fresh = false;  // opens a new connection
  bool                   m_finished = false;
  std::size_t            m_body_bytes = 0;
  ProbeOutcome           m_outcome = ProbeOutcome::kSilent;  // by its head
};

ServerProbes::ServerProbes(net::EventLoop* loop, const Thresholds* thresholds,
                           Backends* backends, Log* log, Metrics* metrics)
    : m_loop(loop),
      m_thresholds(thresholds),
      m_backends(backends),
      m_log(log),
      m_metrics(metrics) {}

ServerProbes::~ServerProbes() = default;

void ServerProbes::Probe(const std::string& server, Done done) {
  const auto [probed, added] = m_probes.try_emplace(server);
  (added ? probed->second.waiting : probed->second.next)
      .push_back(std::move(done));
  if (added) Start(server);
}

void ServerProbes::Start(const std::string& server) {
  const auto* known = m_backends->FindKnown(server);
  if (known != nullptr) {
    m_probes[server].run = std::make_shared<Run>(this, *known);
  } else {
    m_loop->Defer([this, server] { Finish(server, ProbeOutcome::kSilent); });
  }
}

void ServerProbes::Finish(const std::string& server, ProbeOutcome outcome) {
  const auto found = m_probes.find(server);
  if (found == m_probes.end()) return;
  Probed probed = std::move(found->second);
  m_probes.erase(found);
  m_metrics->CountProbe(outcome);
  m_log->Write(LogEvent::kProbed, {{"server", server},
                                   {"outcome", Name(outcome)},
                                   {"questions", probed.waiting.size()}});
  if (outcome == ProbeOutcome::kAnswered) {
    for (Done& done : probed.next) Probe(server, std::move(done));
  } else {
    for (Done& done : probed.next) probed.waiting.push_back(std::move(done));
  }
  for (const Done& done : probed.waiting) done(outcome);
}

}  // namespace yuccawick::gateway

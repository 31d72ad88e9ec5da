#include "yuccawick/daemon/node_shell.h"

#include <kj/async-unix.h>
#include <kj/exception.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <future>
#include <mutex>
#include <random>
#include <type_traits>
#include <utility>

namespace yuccawick::daemon {

namespace {

constexpr std::size_t kLogReadThreads = 2;
constexpr std::size_t kMaxUnsent = 4096;  // messages queued per peer

// ---- Link

// A connection to one peer. Delivers messages in order and at most once: a
// failed message is not resent, so receivers see no duplicates.
class Link {
 public:
  // `unsent` is set if the message was certainly not sent, null otherwise.
  using OnFailed = std::function<void(const core::Message* unsent)>;

  Link(kj::Network& network, std::string address, OnFailed on_failed)
      : m_address(std::move(address)),
        m_on_failed(std::move(on_failed)),
        m_connected(Connect(network).fork()) {}

  const std::string& address() const { return m_address; }
  bool               IsBroken() const { return m_broken; }

  kj::Promise<void> Send(const rpc::Envelope& envelope) {
    ++m_unsent;
    return m_connected.addBranch()
        .then([this, envelope]() {
          auto request = m_node->deliverRequest();
          rpc::Write(envelope, request.initEnvelope());
          return request.send().ignoreResult();
        })
        .then([this]() { --m_unsent; },
              [this, envelope](kj::Exception&&) {
                --m_unsent;
                m_broken = true;
                m_on_failed(m_node ? nullptr : &envelope.message);
              });
  }
  bool IsFull() const { return m_unsent >= kMaxUnsent; }

 private:
  kj::Promise<void> Connect(kj::Network& network) {
    return network.parseAddress(m_address)
        .then([this](kj::Own<kj::NetworkAddress>&& address) {
          m_network_address = kj::mv(address);
          return m_network_address->connect();
        })
        .then([this](kj::Own<kj::AsyncIoStream>&& stream) {
          m_stream = kj::mv(stream);
          m_client = kj::heap<capnp::TwoPartyClient>(*m_stream);
          m_node = m_client->bootstrap().castAs<rpc::wire::Node>();
          // Detects a disconnect at once: messages sent to a closed connection
          // would be lost.
          m_disconnected = m_client->onDisconnect()
                               .then([this] { m_broken = true; })
                               .eagerlyEvaluate(nullptr);
        });
  }

  std::string                            m_address;
  OnFailed                               m_on_failed;
  bool                                   m_broken = false;
  std::size_t                            m_unsent = 0;
  kj::Own<kj::NetworkAddress>            m_network_address;
  kj::Own<kj::AsyncIoStream>             m_stream;
  kj::Own<capnp::TwoPartyClient>         m_client;
  std::optional<rpc::wire::Node::Client> m_node;
  kj::Promise<void>                      m_disconnected = nullptr;
  kj::ForkedPromise<void>                m_connected;
};

// ---- Server

class NodeServer final : public rpc::wire::Node::Server {
 public:
  using OnEnvelope = std::function<void(rpc::Envelope)>;
  explicit NodeServer(OnEnvelope on_envelope)
      : m_on_envelope(std::move(on_envelope)) {}

  kj::Promise<void> deliver(DeliverContext context) override {
    auto envelope = rpc::Read(context.getParams().getEnvelope());
    KJ_REQUIRE(envelope.has_value(), "not an envelope of this protocol");
    m_on_envelope(std::move(*envelope));
    return kj::READY_NOW;
  }

 private:
  OnEnvelope m_on_envelope;
};

}  // namespace

// ---- Loop

class NodeShell::Loop : private kj::TaskSet::ErrorHandler {
 public:
  using Job = std::function<void()>;

  explicit Loop(NodeShell& shell)
      : m_shell(shell),
        m_io(SetUpIo()),
        m_append_pool(1),
        m_read_pool(kLogReadThreads),
        m_vm_list_pool(1),
        m_tasks(*this) {}

  core::StopCause Run(const std::function<void()>& on_ready) {
    Listen();
    m_tasks.add(JobLoop());
    WaitForSignal(SIGTERM);
    WaitForSignal(SIGINT);
    m_tasks.add(TickLoop());
    on_ready();
    auto stopped = kj::newPromiseAndFulfiller<void>();
    m_stopped = kj::mv(stopped.fulfiller);
    stopped.promise.wait(m_io.waitScope);
    // Let the last messages be sent before the links are closed.
    const auto grace = kGraceMs * kj::MILLISECONDS;
    m_io.provider->getTimer().afterDelay(grace).wait(m_io.waitScope);
    Close();
    return m_cause;
  }

  // Schedules the job on the control thread. Thread-safe. Returns false if the
  // loop has ended and the job will not run.
  bool Add(Job job) {
    const std::lock_guard lock(m_jobs_mutex);
    if (m_closed) return false;
    m_jobs.push_back(std::move(job));
    if (m_wake.get() == nullptr) return true;
    m_wake->fulfill();
    m_wake = nullptr;
    return true;
  }

  void Handle(const core::Event& event) {
    for (const auto& command : m_shell.m_decider.Handle(WallClock(), event))
      Execute(command);
  }

 private:
  // Rejects further jobs and runs the queued ones.
  void Close() {
    std::deque<Job> jobs;
    {
      const std::lock_guard lock(m_jobs_mutex);
      m_closed = true;
      jobs.swap(m_jobs);
    }
    for (const auto& job : jobs) job();
  }

  static constexpr int kGraceMs = 100;  // for the last messages

  // Captures the signals before other threads start.
  static kj::AsyncIoContext SetUpIo() {
    kj::UnixEventPort::captureSignal(SIGTERM);
    kj::UnixEventPort::captureSignal(SIGINT);
    return kj::setupAsyncIo();
  }

  // Runs jobs of other threads in FIFO order.
  kj::Promise<void> JobLoop() {
    std::deque<Job>   jobs;
    kj::Promise<void> woken = kj::READY_NOW;
    {
      const std::lock_guard lock(m_jobs_mutex);
      jobs.swap(m_jobs);
      if (jobs.empty()) {
        auto wake = kj::newPromiseAndCrossThreadFulfiller<void>();
        m_wake = kj::mv(wake.fulfiller);
        woken = kj::mv(wake.promise);
      }
    }
    for (const auto& job : jobs) job();
    return woken.then([this] { return JobLoop(); });
  }

  void Listen() {
    auto address = m_io.provider->getNetwork()
                       .parseAddress(m_shell.m_settings.listen)
                       .wait(m_io.waitScope);
    m_listener = address->listen();
    m_server = kj::heap<capnp::TwoPartyServer>(
        kj::heap<NodeServer>([this](rpc::Envelope envelope) {
          m_addresses[envelope.from.vm] = envelope.from_address;
          Handle(core::MessageReceived{envelope.from, envelope.to,
                                       std::move(envelope.message)});
        }));
    m_tasks.add(m_server->listen(*m_listener));
  }

  void WaitForSignal(int number) {
    m_tasks.add(m_io.unixEventPort.onSignal(number).then(
        [this](siginfo_t) { Handle(core::StopRequested{}); }));
  }

  kj::Promise<void> TickLoop() {
    return m_io.provider->getTimer()
        .afterDelay(m_shell.m_settings.tick * kj::MILLISECONDS)
        .then([this] {
          Handle(core::Tick{});
          ReadVmListIfDue();
          return TickLoop();
        });
  }

  void ReadVmListIfDue() {
    const auto now = WallClock();
    if (now < m_next_vm_list_read) return;
    m_next_vm_list_read = now + m_shell.m_settings.vm_list_interval;
    m_vm_list_pool.Add([this] {
      const auto list = m_shell.m_vm_client.Read();
      if (!list) {
        // The last list stays in force.
        if (list.error() == backends::HttpError::kBadAnswer)
          Add([this] { LogOddVmList("not readable"); });
        return;
      }
      Add([this, list = *list] {
        if (list.unreadable > 0)
          LogOddVmList(std::to_string(list.unreadable) + " items");
        for (const auto& vm : list.vms) {
          // An address reported by the node itself takes precedence over the
          // list, which lags behind.
          if (!vm.address.empty()) m_addresses.try_emplace(vm.vm, vm.address);
        }
        Handle(list);
      });
    });
  }

  void LogOddVmList(const std::string& detail) {
    core::LogLine line;
    line.severity = core::Severity::kWarning;
    line.event = core::LogEvent::kVmListOdd;
    line.detail = detail;
    m_shell.m_log.Write(line);
  }

  void Execute(const core::Command& command) {
    std::visit(
        [&](const auto& c) {
          using C = std::decay_t<decltype(c)>;
          if constexpr (std::is_same_v<C, core::SendMessage>) {
            Send(c);
          } else if constexpr (std::is_same_v<C, core::AppendRecords>) {
            m_append_pool.Add(
                [this, c] { m_shell.Post(m_shell.m_log_client.Append(c)); });
          } else if constexpr (std::is_same_v<C, core::ReadRecords>) {
            m_read_pool.Add(
                [this, c] { m_shell.Post(m_shell.m_log_client.Read(c)); });
          } else if constexpr (std::is_same_v<C, core::LogLine>) {
            m_shell.m_log.Write(c);
          } else if constexpr (std::is_same_v<C, core::Count>) {
            m_shell.m_metrics.Add(c);
          } else if constexpr (std::is_same_v<C, core::Stop>) {
            m_cause = c.cause;
            if (m_stopped.get() != nullptr) m_stopped->fulfill();
          } else {
            m_shell.m_on_command(c);
          }
        },
        command);
  }

  std::string AddressOf(const core::NodeRef& node) const {
    const auto& control = m_shell.m_decider.control();
    if (const auto* member = control.FindMember(node); member != nullptr)
      return member->join.address;
    const auto entry = m_addresses.find(node.vm);
    return entry == m_addresses.end() ? "" : entry->second;
  }

  void Send(const core::SendMessage& send) {
    const std::string address = AddressOf(send.to);
    if (address.empty()) return ReportSendFailure(send.to, &send.message);
    auto&      link = m_links[send.to.vm];
    const bool stale = link.get() != nullptr &&
                       (link->IsBroken() || link->address() != address);
    // A link must not be destroyed inside its own callback.
    if (stale) {
      m_closed_links.push_back(kj::mv(link));
      link = nullptr;
    }
    if (link.get() == nullptr) {
      link = kj::heap<Link>(m_io.provider->getNetwork(), address,
                            [this, to = send.to](const core::Message* unsent) {
                              ReportSendFailure(to, unsent);
                            });
    }
    if (link->IsFull()) return ReportSendFailure(send.to, &send.message);
    m_tasks.add(link->Send({m_shell.m_settings.self, send.to,
                            m_shell.m_settings.listen, send.message}));
  }

  // Deferred: the core may be handling an event now.
  void ReportSendFailure(const core::NodeRef& to, const core::Message* unsent) {
    core::SendFailed failed{to, {}};
    if (unsent != nullptr) failed.unsent = *unsent;
    m_tasks.add(kj::evalLater([this, failed] { Handle(failed); }));
  }

  void taskFailed(kj::Exception&& exception) override {
    (void)exception;  // a peer disconnected; its link has reported that
  }

  NodeShell&                                     m_shell;
  kj::AsyncIoContext                             m_io;
  std::mutex                                     m_jobs_mutex;
  std::deque<Job>                                m_jobs;
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_wake;
  bool                                           m_closed = false;
  core::StopCause                      m_cause = core::StopCause::kDrained;
  core::Time                           m_next_vm_list_read = 0;
  WorkerPool                           m_append_pool;
  WorkerPool                           m_read_pool;
  WorkerPool                           m_vm_list_pool;
  std::map<std::string, std::string>   m_addresses;
  kj::Own<kj::ConnectionReceiver>      m_listener;
  kj::Own<capnp::TwoPartyServer>       m_server;
  std::map<std::string, kj::Own<Link>> m_links;
  std::vector<kj::Own<Link>>           m_closed_links;
  kj::Own<kj::PromiseFulfiller<void>>  m_stopped;
  kj::TaskSet                          m_tasks;
};

// ---- Shell

NodeShell::NodeShell(ShellSettings settings, Decider& decider, JsonLog& log,
                     Metrics& metrics, CommandSink on_command)
    : m_settings(std::move(settings)),
      m_decider(decider),
      m_log(log),
      m_metrics(metrics),
      m_on_command(std::move(on_command)),
      m_log_client(m_settings.log, m_settings.http),
      m_vm_client(m_settings.vm_list, m_settings.http),
      m_loop(std::make_unique<Loop>(*this)) {}

NodeShell::~NodeShell() = default;

core::StopCause NodeShell::Run(const std::function<void()>& on_ready) {
  return m_loop->Run(on_ready);
}

bool NodeShell::Post(const core::Event& event) {
  return m_loop->Add([this, event] { m_loop->Handle(event); });
}

std::string NodeShell::Status() {
  const auto status = std::make_shared<std::promise<std::string>>();
  auto       status_future = status->get_future();
  const bool added =
      m_loop->Add([this, status] { status->set_value(m_decider.Status()); });
  if (!added) return {};
  const auto limit =
      std::chrono::milliseconds(m_settings.http.answer_timeout_ms);
  if (status_future.wait_for(limit) != std::future_status::ready) return {};
  return status_future.get();
}

void BlockStopSignals() {
  sigset_t stop;
  sigemptyset(&stop);
  sigaddset(&stop, SIGTERM);
  sigaddset(&stop, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

core::Time WallClock() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::uint64_t GenerateIncarnation() {
  constexpr unsigned kRandomBits = 16;
  std::random_device random;
  return (static_cast<std::uint64_t>(WallClock()) << kRandomBits) |
         (random() & ((1U << kRandomBits) - 1));
}

}  // namespace yuccawick::daemon

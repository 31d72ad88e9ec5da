// yw-gateway: the gateway daemon, which serves clients' traffic on the
// platform.
//
// The main thread serves traffic; the control thread follows the manifest and
// the list of backend servers. SIGTERM and SIGINT stop gracefully, SIGHUP
// reloads the settings file.
#include <gflags/gflags.h>
#include <malloc.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>
#include <random>
#include <thread>

#include "platform/settings.h"
#include "yuccawick/gateway/follower.h"
#include "yuccawick/gateway/gateway.h"
#include "yuccawick/gateway/thresholds.h"
#include "yuccawick/net/newest.h"

DEFINE_bool(check, false,
            "check the settings file and the thresholds, print them and exit");
DEFINE_string(
    thresholds, "",
    "comma-separated name=value pairs; override those of the environment "
    "variable YUCCAWICK_THRESHOLDS; --check prints all");
DEFINE_string(settings, "", "settings file; default: the platform's path");

namespace yuccawick::daemon {
namespace {

constexpr int         kExitBadSettings = 2;
constexpr const char* kThresholdsVariable = "YUCCAWICK_THRESHOLDS";

sigset_t HandledSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGHUP);
  return set;
}

// Blocks the handled signals in this thread and all threads started later. A
// signal during startup would otherwise end the process.
void BlockSignals() {
  const sigset_t set = HandledSignals();
  sigprocmask(SIG_BLOCK, &set, nullptr);
}

// Delivers the blocked signals through the event loop.
class Signals final : public net::SocketHandler {
 public:
  Signals(net::EventLoop* loop, std::function<void(int)> on_signal)
      : m_loop(loop), m_on_signal(std::move(on_signal)) {
    const sigset_t set = HandledSignals();
    m_fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
    if (m_fd >= 0) m_loop->Watch(m_fd, this, true, false);
  }
  ~Signals() override {
    if (m_fd < 0) return;
    m_loop->Forget(m_fd);
    close(m_fd);
  }
  void OnReadable() override {
    signalfd_siginfo info{};
    while (read(m_fd, &info, sizeof info) ==
           static_cast<ssize_t>(sizeof info)) {
      m_on_signal(static_cast<int>(info.ssi_signo));
    }
  }
  void OnWritable() override {}
  void OnHangup() override {}

 private:
  net::EventLoop*          m_loop;
  std::function<void(int)> m_on_signal;
  int                      m_fd = -1;
};

// A unique name of this process run.
std::string NewIncarnation(const std::string& node) {
  std::random_device random;
  return node + "/" + std::to_string(random()) + std::to_string(random());
}

void ReloadSettings(const std::string& path, gateway::Log* log) {
  const auto settings = platform::ReadSettings(path);
  if (settings) {
    log->Write(gateway::LogEvent::kSettings, {{"outcome", "read"}});
  } else {
    log->Write(gateway::LogEvent::kSettings,
               {{"outcome", Name(settings.error().fault)},
                {"field", settings.error().field}});
  }
}

// Passes what the follower finds on the control thread to the gateway's loop.
class TrafficOutputs {
 public:
  TrafficOutputs(net::EventLoop* traffic, gateway::Gateway* gateway)
      : m_traffic(traffic),
        m_gateway(gateway),
        m_servers(traffic,
                  [gateway](const traffic::ServerListPtr& servers) {
                    gateway->TakeServers(servers);
                  }),
        m_software(traffic,
                   [gateway](const traffic::SoftwareHistory& software) {
                     gateway->TakeSoftware(software);
                   }) {}

  gateway::Follower::Outputs Make() {
    return {
        [this](traffic::ManifestPtr manifest) {
          Post([manifest = std::move(manifest)](gateway::Gateway* gateway) {
            gateway->TakeManifest(manifest);
          });
        },
        [this](traffic::ServerListPtr servers) {
          m_servers.Put(std::move(servers));
        },
        [this](std::string name, std::optional<programs::NodeInfo> node) {
          Post([name = std::move(name),
                node = std::move(node)](gateway::Gateway* gateway) {
            gateway->TakeNode(name, node);
          });
        },
        [this](bool reachable) {
          Post([reachable](gateway::Gateway* gateway) {
            gateway->TakeLogReachable(reachable);
          });
        },
        [this](net::Time as_of) {
          Post([as_of](gateway::Gateway* gateway) {
            gateway->TakeManifestCurrent(as_of);
          });
        },
        [this](traffic::SoftwareHistory software) {
          m_software.Put(std::move(software));
        },
        [this](platform::Topic topic, std::int64_t offset) {
          Post([topic, offset](gateway::Gateway* gateway) {
            gateway->TakeFollowed(topic, offset);
          });
        },
        [this](platform::LogRecord record) {
          Post([record = std::move(record)](gateway::Gateway* gateway) {
            gateway->TakeHistory(record);
          });
        },
        [this] {
          Post([](gateway::Gateway* gateway) { gateway->TakeHistoryListed(); });
        }};
  }

 private:
  template <class Call>
  void Post(Call call) {
    m_traffic->Post(
        [gateway = m_gateway, call = std::move(call)] { call(gateway); });
  }

  net::EventLoop*                       m_traffic;
  gateway::Gateway*                     m_gateway;
  net::Newest<traffic::ServerListPtr>   m_servers;
  net::Newest<traffic::SoftwareHistory> m_software;
};

// Limit of the kernel on this process; 0: unlimited.
std::size_t DescriptorLimit() {
  rlimit     limit{};
  const bool known = getrlimit(RLIMIT_NOFILE, &limit) == 0;
  return known && limit.rlim_cur != RLIM_INFINITY ? limit.rlim_cur : 0;
}

int Serve(const platform::Settings& settings, const std::string& path,
          const gateway::Thresholds& thresholds) {
  const std::string incarnation = NewIncarnation(settings.node);
  net::EventLoop    traffic;
  net::EventLoop    control;
  gateway::Log      log(settings.node, settings.zone);
  gateway::Metrics  metrics;
  log.Write(gateway::LogEvent::kStarted,
            {{"incarnation", incarnation}, {"settings", path}});
  gateway::Gateway gateway(&traffic, &thresholds, settings, &log, &metrics,
                           incarnation);
  const Signals    signals(&traffic, [&](int signal) {
    if (signal == SIGHUP) {
      ReloadSettings(path, &log);
    } else {
      gateway.Stop();
    }
  });
  if (!gateway.Listen()) {
    log.Write(gateway::LogEvent::kFault, {{"what", "cannot listen"}});
    return 1;
  }
  platform::Store   store(&control, settings.store,
                          [&metrics](const platform::CallReport& call) {
                          metrics.CountStoreCall(call);
                        });
  TrafficOutputs    outputs(&traffic, &gateway);
  gateway::Follower follower(&control, &store, &log, outputs.Make(),
                             settings.key_bound);
  control.Post([&] { follower.Start(); });
  std::thread control_thread([&] { control.Run(); });
  traffic.Run();
  control.Post([&] { control.Stop(); });
  control_thread.join();
  return 0;
}

// Merges the thresholds of the environment and of the command line, which takes
// precedence. Prints every error to standard error.
std::optional<gateway::Thresholds> ReadThresholds() {
  const char* variable = std::getenv(kThresholdsVariable);
  auto result = gateway::ParseThresholds(variable == nullptr ? "" : variable,
                                         gateway::Thresholds());
  if (result) result = gateway::ParseThresholds(FLAGS_thresholds, *result);
  if (result) return *result;
  for (const auto& error : result.error()) {
    std::cerr << "threshold " << error.threshold << ": " << Name(error.fault)
              << ": " << error.detail << "\n";
  }
  return std::nullopt;
}

// Returns large blocks to the system as soon as they are freed. Otherwise
// bodies that grow leave holes, and the process may be twice as large as what
// it holds.
void LimitFragmentation() {
  constexpr int kMappedBytes = 256 * 1024;
  mallopt(M_MMAP_THRESHOLD, kMappedBytes);
  mallopt(M_TRIM_THRESHOLD, kMappedBytes);
}

int Main() {
  LimitFragmentation();
  const std::string path =
      FLAGS_settings.empty() ? platform::SettingsPath() : FLAGS_settings;
  auto settings = platform::ReadSettings(path);
  if (settings && settings->descriptors == 0)
    settings->descriptors = DescriptorLimit();
  if (!settings) {
    std::cerr << path << ": " << Name(settings.error().fault) << " "
              << settings.error().field << "\n";
  }
  const auto thresholds = ReadThresholds();
  if (!settings || !thresholds) return kExitBadSettings;
  if (!FLAGS_check) return Serve(*settings, path, *thresholds);
  std::cout << "settings are valid; thresholds:\n" << Describe(*thresholds);
  return 0;
}

}  // namespace
}  // namespace yuccawick::daemon

int main(int argc, char** argv) {
  yuccawick::daemon::BlockSignals();
  gflags::SetUsageMessage("serves clients' traffic on the platform");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return yuccawick::daemon::Main();
}

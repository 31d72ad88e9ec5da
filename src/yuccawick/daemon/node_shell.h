// What every daemon has around its core: the control thread with its event
// loop, the links to other nodes, and the platform's log and VM list.
//
// The control thread runs Cap'n Proto's event loop and is the only one that
// touches the core. Other threads hand it events with Post().
#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "yuccawick/backends/log_client.h"
#include "yuccawick/core/control.h"
#include "yuccawick/core/messages.h"
#include "yuccawick/daemon/telemetry.h"
#include "yuccawick/daemon/worker_pool.h"
#include "yuccawick/rpc/convert.h"

namespace yuccawick::daemon {

// The core of one daemon, an agent's or an entry's.
class Decider {
 public:
  virtual ~Decider() = default;
  virtual std::vector<core::Command> Handle(core::Time         now,
                                            const core::Event& event) = 0;
  virtual const core::Control&       control() const = 0;
  // A readable page of the present state, as JSON.
  virtual std::string                Status() const = 0;
};

struct ShellSettings {
  core::NodeRef          self;
  std::string            listen;  // host:port of the RPC listener
  backends::Endpoint     log;
  backends::Endpoint     vm_list;
  backends::HttpSettings http;
  core::Duration         tick = 50;                // ms
  core::Duration         vm_list_interval = 1000;  // ms
};

class NodeShell {
 public:
  // `on_command` gets the commands that only this kind of daemon knows.
  using CommandSink = std::function<void(const core::Command&)>;
  NodeShell(ShellSettings settings, Decider& decider, JsonLog& log,
            Metrics& metrics, CommandSink on_command);
  ~NodeShell();
  NodeShell(const NodeShell&) = delete;
  NodeShell& operator=(const NodeShell&) = delete;

  // Runs until the core says stop, in the calling thread, which becomes the
  // control thread. Returns why it stopped. `on_ready` runs once it listens.
  core::StopCause Run(const std::function<void()>& on_ready);

  // From any other thread. False once the loop has ended: the core will not see
  // the event.
  bool        Post(const core::Event& event);
  // The decider's status, read in the control thread; empty after the end.
  std::string Status();

 private:
  class Loop;

  ShellSettings          m_settings;
  Decider&               m_decider;
  JsonLog&               m_log;
  Metrics&               m_metrics;
  CommandSink            m_on_command;
  backends::LogClient    m_log_client;
  backends::VmListClient m_vm_client;
  std::unique_ptr<Loop>  m_loop;
};

// Leaves SIGTERM and SIGINT to the control thread. Call it before any thread is
// started: one started earlier would take the signal, and the process would end
// in the middle of its work.
void BlockStopSignals();

core::Time WallClock();  // ms since the epoch

// A number for a new incarnation; unique in time and by chance.
std::uint64_t GenerateIncarnation();

}  // namespace yuccawick::daemon

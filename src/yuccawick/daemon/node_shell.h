// Runs the core of an agent or entry daemon: the control thread with its event
// loop, the connections to other nodes, and the clients of the platform's log
// and VM list.
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

// The core of one daemon: turns events into commands.
class Decider {
 public:
  virtual ~Decider() = default;
  virtual std::vector<core::Command> Handle(core::Time         now,
                                            const core::Event& event) = 0;
  virtual const core::Control&       control() const = 0;
  // The current state as indented JSON.
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
  // `on_command` receives the commands that NodeShell does not execute itself.
  using CommandSink = std::function<void(const core::Command&)>;
  NodeShell(ShellSettings settings, Decider& decider, JsonLog& log,
            Metrics& metrics, CommandSink on_command);
  ~NodeShell();
  NodeShell(const NodeShell&) = delete;
  NodeShell& operator=(const NodeShell&) = delete;

  // Runs the event loop in the calling thread, which becomes the control
  // thread, until the core stops. Calls `on_ready` once the node listens.
  // Returns the cause of the stop.
  core::StopCause Run(const std::function<void()>& on_ready);

  // Hands an event to the core. Thread-safe. Returns false if the loop has
  // ended and the core will not see the event.
  bool        Post(const core::Event& event);
  // The decider's status, read on the control thread; empty after the loop has
  // ended or on timeout.
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

// Blocks SIGTERM and SIGINT, which the control thread handles. Call it before
// any thread starts: an earlier thread would receive the signal, and the
// process would end without draining.
void BlockStopSignals();

core::Time WallClock();  // ms since the epoch

// A number for a new incarnation: the time with random low bits.
std::uint64_t GenerateIncarnation();

}  // namespace yuccawick::daemon

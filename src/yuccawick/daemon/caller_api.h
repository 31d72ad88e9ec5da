// HTTP interface for callers of an entry node, described in docs/API.md.
//
// Each request runs on its own thread. The thread posts a message to the
// control thread and waits for the replies in a mailbox.
#pragma once

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>

#include "yuccawick/core/messages.h"
#include "yuccawick/daemon/caller_json.h"
#include "yuccawick/daemon/node_shell.h"
#include "yuccawick/daemon/telemetry.h"

namespace yuccawick::daemon {

// Queue of the replies to one request. Thread-safe.
class Mailbox {
 public:
  void Put(core::Message message);
  // Waits up to `limit` ms for the next reply; returns false on timeout.
  bool Take(core::Message* message, core::Duration limit);

 private:
  std::mutex                m_mutex;
  std::condition_variable   m_message_added;
  std::deque<core::Message> m_messages;
};

class CallerApi {
 public:
  CallerApi(CallerApiSettings settings, NodeShell& shell, Metrics& metrics);

  // Creates the handler for the request's path. An unknown path gets a handler
  // that answers 404.
  Poco::Net::HTTPRequestHandler* Make(
      const Poco::Net::HTTPServerRequest& request);
  // Passes a reply of the core to the waiting thread. Called on the control
  // thread; a reply to a closed mailbox is dropped.
  void Deliver(const core::ReplyToCaller& reply);

  // Used by the handlers.
  std::uint64_t            NextRequest() { return ++m_requests; }
  std::shared_ptr<Mailbox> Open(std::uint64_t request);
  void                     Close(std::uint64_t request);
  void Post(std::uint64_t request, const core::Message& message);
  const CallerApiSettings& settings() const { return m_settings; }
  Metrics&                 metrics() { return m_metrics; }

 private:
  CallerApiSettings                                 m_settings;
  NodeShell&                                        m_shell;
  Metrics&                                          m_metrics;
  std::atomic<std::uint64_t>                        m_requests = 0;
  std::mutex                                        m_mutex;
  std::map<std::uint64_t, std::shared_ptr<Mailbox>> m_mailboxes;
};

}  // namespace yuccawick::daemon

// The callers' HTTP interface of an entry; docs/API.md describes it.
//
// Each request is served by a thread of its own, which hands it to the control
// thread and waits for its replies in a mailbox.
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

// Replies to one request, as they come.
class Mailbox {
 public:
  void Put(core::Message message);
  // The next reply; none within `limit` ms gives false.
  bool Take(core::Message* message, core::Duration limit);

 private:
  std::mutex                m_mutex;
  std::condition_variable   m_put;
  std::deque<core::Message> m_messages;
};

class CallerApi {
 public:
  CallerApi(CallerApiSettings settings, NodeShell& shell, Metrics& metrics);

  // A handler for the request's path; for an unknown path one that says so.
  Poco::Net::HTTPRequestHandler* Make(
      const Poco::Net::HTTPServerRequest& request);
  // A reply of the core; called in the control thread.
  void Deliver(const core::ReplyToCaller& reply);

  // For the handlers.
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
  std::map<std::uint64_t, std::shared_ptr<Mailbox>> m_boxes;
};

}  // namespace yuccawick::daemon

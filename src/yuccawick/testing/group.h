// Test harness: a group of real agents and entries on a simulated network and
// clock, with fakes of the log and of the backend servers.
//
// Tests can drop, repeat or delay messages, cut connections, and kill, freeze
// or restart nodes. A run depends on the seed only and never sleeps. Used by
// tests and benchmarks, and available to embedders.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "yuccawick/core/agent.h"
#include "yuccawick/core/entry.h"
#include "yuccawick/testing/fakes.h"

namespace yuccawick::testing {

struct GroupSettings {
  std::uint64_t    seed = 1;
  core::Safeguards safeguards = core::Safeguards::All();
  core::Duration   latency = 1;         // ms, one way
  core::Duration   jitter = 0;          // maximum random extra latency, ms
  core::Duration   tick = 50;           // ms between ticks
  core::Duration   model_time = 100;    // duration of a model call, ms
  core::Duration   service_time = 20;   // duration of a service call, ms
  core::Duration   control_poll = 500;  // poll interval of the control log, ms
  std::size_t      replicas = 2;
  // Adjusts the settings of each agent before it starts.
  std::function<void(core::AgentSettings*)> tune;
};

// What the simulated network does with a message.
enum class Fate : std::uint8_t { kDeliver, kLose, kRepeat, kDelay };

class Group {
 public:
  explicit Group(GroupSettings settings);

  // Nodes. The test names the VMs; a restart creates a new incarnation.
  core::NodeRef AddAgent(const std::string& vm, const std::string& zone,
                         core::BackendKind kind, const std::string& target);
  core::NodeRef AddEntry(const std::string& vm, const std::string& zone);
  void          Kill(const std::string& vm);
  core::NodeRef Restart(const std::string& vm);
  void          Freeze(const std::string& vm);
  void          Thaw(const std::string& vm);
  void          Stop(const std::string& vm);  // planned stop
  void          Cut(const std::string& a, const std::string& b);
  void          Heal();
  void          CutLog(const std::string& vm, bool cut);
  // Sets the platform's list of VMs, which every node receives with each tick.
  void          SetVmList(const std::vector<core::VmEntry>& vms);

  // Time.
  void Advance(core::Duration ms);
  // Advances until `done` returns true; returns false after `limit` ms.
  bool AdvanceUntil(const std::function<bool()>& done, core::Duration limit);
  core::Time now() const { return m_now; }
  // Decides the fate of each message as it is sent.
  using Filter = std::function<Fate(const core::NodeRef&     from,
                                    const core::SendMessage& send)>;
  void SetFilter(Filter filter) { m_filter = std::move(filter); }
  // Extra latency of repeated and delayed messages, ms.
  void SetLateness(core::Duration late) { m_lateness = late; }
  // Delivers an event to a node directly.
  void Inject(const std::string& vm, const core::Event& event);

  // Contracts, as published by an operator.
  void                  Publish(const core::Contract& contract);
  static core::Contract DefaultContract(const std::string& customer);

  // Requests of callers. Each function returns the request number.
  std::uint64_t Start(const std::string& entry, const std::string& customer,
                      const std::string&     workspace,
                      const std::string&     model = "m",
                      const core::ProgramId& parent = {});
  std::uint64_t Call(const std::string& entry, core::Call call);
  // Call() with a given request number, to simulate a restarted entry whose
  // numbers start over.
  std::uint64_t CallAs(const std::string& entry, std::uint64_t request,
                       core::Call call);
  std::uint64_t Query(const std::string& entry, const core::ProgramId& program,
                      const std::string& customer, const std::string& workspace,
                      bool end);
  // A model call with default values; ServiceCall() is unrepeatable.
  core::Call ModelCall(const core::ProgramId& program, core::Sequence sequence,
                       const std::string& body);
  core::Call ServiceCall(const core::ProgramId& program,
                         core::Sequence sequence, const std::string& body);
  // Send a request and advance until it is answered.
  std::optional<core::ProgramId> StartNow(const std::string& entry,
                                          const std::string& customer,
                                          const std::string& workspace);
  core::CallReply CallNow(const std::string& entry, core::Call call);
  // Retries a call with the same sequence, as a caller does, until it succeeds
  // or fails without a retry delay. Uses the entries in turn.
  core::CallReply CallThrough(const std::vector<std::string>& entries,
                              core::Call call, core::Duration limit);

  bool                 IsAnswered(std::uint64_t request) const;
  const core::Message* AnswerTo(std::uint64_t request) const;
  std::size_t          AnswerCount(std::uint64_t request) const;
  core::Time           AnsweredAt(std::uint64_t request) const;

  // Inspection.
  core::Agent& agent(const std::string& vm);
  core::Entry& entry(const std::string& vm);
  FakeBackend& backend(const std::string& vm);
  FakeLog&     log() { return m_log; }
  bool         IsRunning(const std::string& vm) const;
  std::int64_t message_count() const { return m_messages; }
  std::int64_t CountOf(core::Counter counter, const std::string& label) const;
  int          TotalEffects(const FakeBackend::Key& key) const;
  // Advances until all agents have joined, have their replicas and have read
  // the control log. Returns false after `limit` ms.
  bool         Settle(core::Duration limit = 20000);

 private:
  struct Node {
    core::NodeRef                ref;
    std::string                  zone;
    core::BackendKind            kind = core::BackendKind::kModel;
    std::string                  target;
    std::unique_ptr<core::Agent> agent;
    std::unique_ptr<core::Entry> entry;
    bool                         alive = false;
    bool                         frozen = false;
    bool                         log_cut = false;
    std::deque<core::Event>      buffered;  // events received while frozen
  };
  struct ScheduledEvent {
    core::Time    at = 0;
    std::uint64_t order = 0;
    std::string   vm;
    std::uint64_t incarnation = 0;  // 0: any incarnation
    core::Event   event;
    bool          operator>(const ScheduledEvent& other) const {
               return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void           CreateNode(Node* node);
  void           Deliver(Node* node, const core::Event& event);
  void           Execute(Node* node, const core::Command& command);
  void           RouteMessage(Node* node, const core::SendMessage& send);
  void           Schedule(const std::string& vm, std::uint64_t incarnation,
                          core::Duration after, core::Event event);
  void           DeliverUntil(core::Time time);
  void           FinishRuns();
  std::size_t    ExpectedReplicas(const Node& node) const;
  bool           IsCut(const std::string& a, const std::string& b) const;
  core::Duration Latency();
  std::uint64_t  SendToEntry(const std::string& entry, core::Message message,
                             std::uint64_t request);

  GroupSettings                                 m_settings;
  std::mt19937_64                               m_random;
  core::OldestProgramQueue                      m_queue_policy;
  core::CacheAwareRoute                         m_route_policy{10, 5000, 30};
  core::Time                                    m_now = 1'000'000'000;
  core::Time                                    m_next_tick = 0;
  std::uint64_t                                 m_last_sequence = 0;
  std::uint64_t                                 m_incarnations = 0;
  std::uint64_t                                 m_requests = 0;
  std::int64_t                                  m_messages = 0;
  FakeLog                                       m_log;
  std::map<std::string, Node>                   m_nodes;
  std::map<std::string, FakeBackend>            m_backends;
  std::set<std::pair<std::string, std::string>> m_cuts;
  std::vector<core::VmEntry>                    m_vm_list;
  bool                                          m_has_vm_list = false;
  core::Duration                                m_lateness = 700;  // ms
  Filter                                        m_filter;
  std::map<std::uint64_t, std::vector<core::Message>>           m_answers;
  std::map<std::uint64_t, core::Time>                           m_answered_at;
  std::map<std::pair<core::Counter, std::string>, std::int64_t> m_counts;
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>,
                      std::greater<>>
      m_events;
};

}  // namespace yuccawick::testing

// Decides which programs may start at the model servers of a service.
//
// Without a limit, a burst fills the servers' memory with the prompts of more
// programs than fit. Cached prompts of pausing programs are evicted, their next
// turns recompute them, turns take longer, more programs overlap, and the
// servers keep thrashing after the burst.
//
// The unit of admission is the program. An admitted program reserves its
// expected final tokens, and one slot for each running turn, until it has been
// idle for longer than the think time of its route. A new program is admitted
// while the capacity lasts; otherwise it is refused before its first turn, with
// a retry delay. Turns of admitted programs are never refused.
//
// One AdmissionController counts the programs of one service on one coordinator
// (gateway/token_coordinator.h); coordinators exchange their usage. All state
// is soft: after a restart, programs are learned from their next turns.
//
//   TryAdmit               decides on a turn; final for this attempt
//   OnTurnEnded            records the tokens that the turn generated
//   CancelAdmission        undoes TryAdmit for a turn that did not run
//   Sweep                  releases the capacity of idle programs; call often
//   LocalUsageByPartition  usage counted here, to send to the peers
//   SetPeerUsage           stores the usage that a peer reported
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "yuccawick/admission/retry_list.h"
#include "yuccawick/admission/route_profile.h"
#include "yuccawick/capacity/service_capacity.h"
#include "yuccawick/fairness/fairness_policy.h"
#include "yuccawick/net/event_loop.h"

namespace yuccawick::admission {

struct AdmissionSettings {
  // Running turns per slot of the service up to which a program without slack
  // is admitted; programs with slack are admitted at a higher ratio. 0 turns
  // admission control off.
  double   slot_overcommit = 1.6;
  // Expected final tokens of the running programs, as a share of the memory of
  // the service.
  double   memory = 1.0;
  // While at most this share of the slots is in use, programs are admitted
  // beyond `memory`, up to twice the memory of the service: half-idle servers
  // can recompute an evicted prompt without delaying other turns.
  double   idle = 0.5;
  // Share of the capacity for programs that can no longer finish in time.
  double   late = 0.8;
  // ms after the start in which only idle slots are granted, until the running
  // programs have been learned from their next turns.
  Duration settling = 1000;
  // Initial estimate of a route's think time, in ms, and the factor from the
  // estimated think time to the idle timeout.
  Duration default_think_time = 500;
  double   think_time_factor = 1.25;
  // Bounds of the retry delay, in ms: about the length of a turn, and the
  // longest that clients wait of the few seconds that they have.
  Duration min_retry_delay = 100;
  Duration max_retry_delay = 1200;
  // ms for which a usage report of a peer is valid.
  Duration usage_report_ttl = 700;
};

struct AdmissionRequest {
  std::string             program;
  std::string             service;  // empty: not subject to admission
  int                     partition = 0;
  std::string             route;
  std::string             workspace;          // empty: no workspace
  int                     priority = 0;       // 0 is most urgent
  bool                    under_way = false;  // had turns before this one
  Tokens                  prompt_tokens = 0;  // without shared prefixes
  Tokens                  max_tokens = 0;     // limit of generated tokens
  std::optional<Duration> left;               // ms to the program's deadline
};

// Capacity of a service used by programs; memory in tokens.
struct CapacityUsage {
  int    programs = 0;
  double slots = 0;  // running turns
  Tokens memory = 0;

  bool           operator==(const CapacityUsage&) const = default;
  CapacityUsage& operator+=(const CapacityUsage& other);
};
using UsageByPartition = std::map<int, CapacityUsage>;  // keyed by partition

struct AdmissionDecision {
  bool     admitted = true;
  Duration retry_delay = 0;  // ms; the caller adds jitter
};

class AdmissionController {
 public:
  AdmissionController(const AdmissionSettings*  settings,
                      fairness::FairnessPolicy* policy, Time started);

  AdmissionDecision TryAdmit(const AdmissionRequest&          request,
                             const capacity::ServiceCapacity& capacity,
                             Time                             now);
  // `generated`: tokens that the turn generated.
  void OnTurnEnded(const AdmissionRequest& request, Tokens generated, Time now);
  void CancelAdmission(const AdmissionRequest& request, Time now);
  // ms after which a refused program should retry.
  Duration RetryDelay(const std::string& program, Time now) const;
  void     Sweep(Time now);

  const UsageByPartition& LocalUsageByPartition() const {
    return m_local_usage;
  }
  CapacityUsage LocalUsage() const;
  void SetPeerUsage(const std::string& peer, const UsageByPartition& usage,
                    Time now);
  // Usage of all coordinators, from the valid reports of the peers. A program
  // whose partition is moving, or is served by two coordinators during a
  // network partition, is counted by both.
  CapacityUsage TotalUse(Time now) const;
  // Programs refused since the last call.
  int           TakeRefusedCount();
  bool          empty() const { return m_programs.empty(); }

 private:
  struct Program {
    int         partition = 0;
    std::string route;
    std::string workspace;
    Time        admitted_at = 0;
    Duration    initial_time_left = 0;  // ms at admission; 0: no deadline
    Tokens      peak_tokens = 0;        // after its largest turn
    Tokens      reserved_memory = 0;    // tokens; included in m_local_usage
    int         running_turns = 0;
    Time        turns_changed_at = 0;  // last change of running_turns
    double      uncharged_work = 0;    // ms of slot time since last charge
    bool        is_counted = false;
  };
  struct Peer {
    UsageByPartition usage;
    Time             received_at = 0;
    CapacityUsage    admitted_before;  // m_admitted at that time
  };

  // Number of peers with a valid usage report.
  int      ReportingPeers(Time now) const;
  double   MaxSlots(const AdmissionRequest& request, bool late);
  bool     Fits(const AdmissionRequest& request, std::optional<Duration> slack,
                bool is_retrying, const capacity::ServiceCapacity& capacity,
                Time now);
  // `refusals`: earlier refusals of the program.
  Duration ComputeRetryDelay(std::optional<Duration> slack, int refusals,
                             Time now) const;
  // How long the program can wait and still finish in time; nullopt if it has
  // no deadline.
  std::optional<Duration> SlackOf(const AdmissionRequest& request,
                                  const RetryList::Entry* retry_entry);
  RouteProfile&           ProfileOf(const std::string& route);
  Tokens                  EstimateTokens(const AdmissionRequest& request);
  void     AdmitProgram(const AdmissionRequest& request, Time now);
  void     AddTurn(Program* program, const AdmissionRequest& request, Time now);
  void     EndTurn(Program* program, Time now);
  void     UpdateReservation(Program* program);
  void     Release(Program* program);
  Duration IdleTimeout(const Program& program);

  const AdmissionSettings*                 m_settings;
  fairness::FairnessPolicy*                m_policy;
  Time                                     m_started;
  std::unordered_map<std::string, Program> m_programs;  // keyed by program id
  RetryList                                m_retries;
  std::map<std::string, RouteProfile>      m_profiles;  // keyed by route
  UsageByPartition                         m_local_usage;
  CapacityUsage                            m_admitted;      // since the start
  std::map<std::string, Peer>              m_peers;         // keyed by node
  RunningMean                              m_end_interval;  // ms between ends
  Time                                     m_last_end = 0;
  int                                      m_refused = 0;
};

}  // namespace yuccawick::admission

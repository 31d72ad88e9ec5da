// Which programs may begin at a service's model servers.
//
// Load pattern: a burst fills the servers' memory with the prompts of programs
// under way. One program more, and the prompts of those in their pauses are
// evicted and running turns are preempted; each turn that comes back is read
// again in front of the others, turns get longer, more programs are under way,
// more is evicted. The burst ends and the state stays: the servers work as hard
// as they can on prompts that they had read before. It is the thrashing of an
// operating system that runs more processes than their working sets fit.
//
// So the unit is the program. One that has begun holds room, tokens at its
// likely end and a place for each of its turns, until it is silent for longer
// than its route's programs pause. A new one begins where its room is free;
// else it is refused before any turn is wasted, and told when to come back.
// Turns of programs under way are never refused here.
//
// One AdmissionController counts the programs of one service that one home
// counts the tokens of (gateway/token_coordinator.h); homes tell each other
// what theirs take. All of it is soft state: a home that starts anew learns of
// the programs under way by their next turns.
//
//   TryAdmit               a turn wants to run; the answer is final for this
//                          attempt
//   OnTurnEnded            with the tokens that its program now has
//   CancelAdmission        a turn that was let in did not run after all
//   Sweep                  takes back the room of programs that were silent;
//                          call it often
//   LocalUsageByPartition  what the programs counted here take, for the other
//                          homes
//   SetPeerUsage           what another home said so
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
  // Turns under way at which a program without time to spare begins, in places
  // of the service: some wait for tokens or are on their way. More for those
  // with time to spare, by as much as their turns may take longer. 0: programs
  // are not counted, all begin.
  double   slot_overcommit = 1.6;
  // Memory that programs under way may take at their likely ends, in the
  // service's memory.
  double   memory = 1.0;
  // Up to this part of the places a program begins also beyond `memory`, up to
  // twice: servers that are half idle read an evicted prompt again at nobody's
  // cost.
  double   idle = 0.5;
  // Part of the room for programs that can't finish in time any more.
  double   late = 0.8;
  // ms after the start in which only idle places are given away: programs under
  // way show with their next turns, after a pause.
  Duration settling = 1000;
  // Pauses of a route's programs until some were seen, in ms, and what is added
  // to the longest usual one.
  Duration default_think_time = 500;
  double   think_time_factor = 1.25;
  // Bounds of the time after which a program may come back, in ms: a turn, and
  // what clients wait of the few seconds that they have.
  Duration min_retry_delay = 100;
  Duration max_retry_delay = 1200;
  // ms for which the word of another home holds.
  Duration usage_report_ttl = 700;
};

struct AdmissionRequest {
  std::string             program;
  std::string             service;        // empty: wants no room
  int                     partition = 0;  // of programs, that it belongs to
  std::string             route;
  std::string             workspace;          // empty: none
  int                     priority = 0;       // 0 is first
  bool                    under_way = false;  // known from before this turn
  Tokens                  prompt_tokens = 0;  // but those that programs share
  Tokens                  max_tokens = 0;     // that the turn may generate
  std::optional<Duration> left;  // ms until the program should be finished
};

// What programs take of a service.
struct CapacityUsage {
  int    programs = 0;
  double slots = 0;  // turns under way
  Tokens memory = 0;

  bool           operator==(const CapacityUsage&) const = default;
  CapacityUsage& operator+=(const CapacityUsage& other);
};
using UsageByPartition = std::map<int, CapacityUsage>;  // by partition

struct AdmissionDecision {
  bool     admitted = true;
  Duration retry_delay =
      0;  // ms until there will be room; spread by the caller
};

class AdmissionController {
 public:
  AdmissionController(const AdmissionSettings*  settings,
                      fairness::FairnessPolicy* share, Time started);

  AdmissionDecision TryAdmit(const AdmissionRequest&          ask,
                             const capacity::ServiceCapacity& room, Time now);
  // `used`: tokens that the turn generated.
  void     OnTurnEnded(const AdmissionRequest& ask, Tokens used, Time now);
  void     CancelAdmission(const AdmissionRequest& ask, Time now);
  // Until a program that was refused should come back, in ms.
  Duration RetryDelay(const std::string& program, Time now) const;
  void     Sweep(Time now);

  const UsageByPartition& LocalUsageByPartition() const { return m_own; }
  CapacityUsage           LocalUsage() const;
  void SetPeerUsage(const std::string& home, const UsageByPartition& uses,
                    Time now);
  // Of all homes, as far as known. Programs whose partition moves from one home
  // to another, or has two while nodes are cut off, are seen by both.
  CapacityUsage TotalUse(Time now) const;
  // Refused since the last call.
  int           TakeRefusedCount();
  bool          empty() const { return m_programs.empty(); }

 private:
  struct Program {
    int         partition = 0;
    std::string route;
    std::string workspace;
    Time        began = 0;
    Duration    stated = 0;   // time that it had then; 0: not said
    Tokens      tokens = 0;   // after its largest turn
    Tokens      held = 0;     // of the memory; counted in m_own
    int         turns = 0;    // under way
    Time        changed = 0;  // `turns`
    double      work = 0;     // ms of places since it was last charged
    bool        counted = false;
  };
  struct Home {
    UsageByPartition uses;
    Time             heard = 0;
    CapacityUsage    begun_before;  // here, when it was heard
  };

  double   MostPlaces(const AdmissionRequest& ask, bool late);
  bool     Fits(const AdmissionRequest& ask, std::optional<Duration> slack,
                bool returns, const capacity::ServiceCapacity& room, Time now);
  // `refusals`: those before this one.
  Duration RetryAfter(std::optional<Duration> slack, int refusals,
                      Time now) const;
  // What it may still wait and be in time; nothing: it has no time to keep.
  std::optional<Duration> SlackOf(const AdmissionRequest& ask,
                                  const RetryList::Entry* sent_away);
  RouteProfile&           ProfileOf(const std::string& route);
  Tokens                  LikelyTokens(const AdmissionRequest& ask);
  void                    Begin(const AdmissionRequest& ask, Time now);
  void     AddTurn(Program* program, const AdmissionRequest& ask, Time now);
  void     EndTurn(Program* program, Time now);
  void     Hold(Program* program);
  void     Release(Program* program);
  Duration LongestSilence(const Program& program);

  const AdmissionSettings*                 m_settings;
  fairness::FairnessPolicy*                m_share;
  Time                                     m_started;
  std::unordered_map<std::string, Program> m_programs;  // by name
  RetryList                                m_returns;
  std::map<std::string, RouteProfile>      m_profiles;  // by route
  UsageByPartition                         m_own;
  CapacityUsage                            m_begun;  // here, since the start
  std::map<std::string, Home>              m_homes;  // the other ones, by node
  RunningMean m_end_gap;  // ms between two programs' ends
  Time        m_ended_at = 0;
  int         m_refused = 0;
};

}  // namespace yuccawick::admission

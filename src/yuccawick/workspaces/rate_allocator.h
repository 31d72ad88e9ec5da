// What a node decides for the workspaces whose tokens it grants to all nodes.
//
// Load pattern: one workspace sends many times what it may, for seconds, beside
// others that keep to their limits. Programs are worth something only whole, so
// turning away requests at random would stop nearly all of its programs midway
// and waste what their turns cost. Tokens go to programs under way first; while
// they are scarce a program begins only as fast as the rate holds all requests
// that one needs, by what is observed here. The others are told when one will
// have room, each another time.
//
//   Submit()      a node asks; what it wants is counted, and which programs
//                 may begin is settled
//   TryRespond()  what it gets now; nothing: wait for the next claim
//   NextClaim()   what to claim in the log; nothing: enough is at hand
//   OnGranted()   the log has the claim
//
// No clock, socket or log in here; gateway/rate_coordinator.h carries it out.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "yuccawick/workspaces/rate_ledger.h"
#include "yuccawick/workspaces/token_pool.h"

namespace yuccawick::workspaces {

using ProgramHash = std::uint64_t;

// What a node asks for one workspace.
struct RateRequest {
  struct Step {
    ProgramHash  program = 0;
    std::int64_t tokens = 0;
  };

  std::string workspace;
  int         want = 0;  // for programs that the node knows, a little ahead
  // Requests that wait, by programs that the node does not know.
  std::vector<ProgramHash> waiting;
  // What programs took since the last question.
  std::vector<Step>        steps;
  // Tokens that ended unused.
  std::vector<RateEntry>   unused;
};

struct RateResponse {
  bool unsure = false;  // nothing can be granted or refused now
  int  tokens = 0;
  std::vector<ProgramHash> may_go_on;  // programs of those that wait
  std::int64_t origin = -1;      // of the tokens, to tell what ends unused
  Duration     valid = 0;        // ms, of the tokens, from when it was asked
  Duration     retry_delay = 0;  // ms until there may be a token
  Duration     new_program_retry_delay = 0;  // ms until a program may begin
  bool         scarce = false;               // ask before any program begins
  bool         plenty = false;  // ask ahead of need: nobody else lacks tokens
};

// Programs under way, what they took, and what they will most likely need.
//
// A limit holds a new program if what will be left of it within the next second
// covers what those under way still need, and the new one whole.
class ProgramDemand {
 public:
  // `typical`: requests that a program needs; shared by all workspaces of a
  // home, since few programs of a small one end.
  explicit ProgramDemand(double* typical) : m_typical(typical) {}

  bool Knows(ProgramHash program) const { return m_programs.contains(program); }
  // The program took so many tokens; 0: it begins.
  void Observe(ProgramHash program, std::int64_t taken, Time now);
  // Tokens that those under way still need.
  double Committed(Time now);
  // Forgets those that have ended. `whole`: none was refused a token lately,
  // so that what they took is what they needed.
  void   Sweep(Time now, bool whole);

 private:
  struct Program {
    Time         seen = 0;
    std::int64_t taken = 0;
  };
  double*                                  m_typical;
  std::unordered_map<ProgramHash, Program> m_programs;
  double                                   m_committed = 0;  // as of then
  Time                                     m_committed_at = -1;
};

class RateAllocator {
 public:
  RateAllocator(const RateLedger::LimitLookup& limit_of,
                const RateWindow&              window)
      : m_limit_of(limit_of), m_window(window), m_ledger(limit_of, window) {}

  RateLedger& ledger() { return m_ledger; }

  // A question whose programs were settled.
  struct SubmittedRequest {
    std::string              workspace;
    int                      need = 0;  // tokens
    std::vector<ProgramHash> may_go_on;
    bool                     refused = false;  // some programs
  };
  SubmittedRequest            Submit(const RateRequest& ask, Time now);
  std::optional<RateResponse> TryRespond(const SubmittedRequest& entered,
                                         Time                    now);
  // Entries of the next claim; none: enough is at hand.
  // `pause`: ms until there can be another.
  std::vector<RateEntry>      NextClaim(Duration pause, Time now);
  // Entries that give back what ended unused. Call now and then: a claim does
  // it for the workspaces that it is for.
  std::vector<RateEntry>      NextReleases(Time now);
  // `claim` was taken by the ledger just now. What it took beyond what was
  // there is not granted.
  void OnGranted(const LoggedRate& claim, Time sent, Time now);
  void Sweep(Time now);

  // For operators: a workspace of which something was turned away.
  struct RefusalReport {
    std::string  workspace;
    double       asked_per_second = 0;
    double       allowance = 0;  // of a window
    double       left = 0;       // that may still be claimed
    std::int64_t pool = 0;       // claimed and not handed out
    double       need = 0;       // requests that a program takes
    std::int64_t refused = 0;
  };
  // Those since the last call.
  std::vector<RefusalReport> TakeRefusalReports(Time now);

 private:
  struct State {
    explicit State(double* typical) : programs(typical) {}
    TokenPool              pool;
    RateMeter              demand{kDemandMemory};
    ProgramDemand          programs;
    std::vector<RateEntry> unused;           // to be given back
    Time                   next_return = 0;  // of a program turned away
    Time                   refused_at = 0;   // a token, last
    std::int64_t           turned_away = 0;
    Time                   used = 0;
  };
  State&       StateOf(const std::string& workspace);
  // Requests a second that the limit allows in the long run.
  double       LongRun(const RateLimit& limit) const;
  bool         IsScarce(const std::string& workspace, const RateLimit& limit,
                        Time now) const;
  // What the limit will hold beside what programs under way need.
  double       Free(const std::string& workspace, State* state, Time now) const;
  // When the next program that is turned away should come back, in ms.
  Duration     NextReturn(State* state, const RateLimit& limit, Time now) const;
  static void  TakeUnused(const std::string& workspace, State* state, Time now,
                          std::vector<RateEntry>* entries);
  // Tokens to claim: for who waits, and what is asked for soon.
  std::int64_t Lacking(const std::string& workspace, State* state,
                       const RateLimit& limit, Duration pause, Time now) const;
  // Tokens that a node gets beyond what it asked for.
  std::int64_t Extra(const std::string& workspace, const RateLimit& limit,
                     Time now) const;
  RateLedger::LimitLookup                m_limit_of;
  RateWindow                             m_window;
  RateLedger                             m_ledger;
  std::unordered_map<std::string, State> m_states;  // by workspace
  std::set<std::string>                  m_due;     // may need a claim
  double m_typical = kFirstTypical;  // requests that a program needs

  static constexpr Duration kDemandMemory = 500;  // ms
  // Until programs have ended here.
  static constexpr double   kFirstTypical = 20;
};

}  // namespace yuccawick::workspaces

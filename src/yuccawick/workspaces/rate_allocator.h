// Decides how many request tokens to grant for the workspaces that this node
// coordinates, and which new programs may start.
//
// When a workspace exceeds its limit, refusing requests at random would cut off
// most of its programs midway and waste the work already done. Running programs
// therefore receive tokens first. A new program starts only if the available
// tokens cover its typical need and the remaining need of the running programs.
// Other new programs are refused, with different retry delays.
//
//   Submit()      registers a node's request and decides which programs start
//   TryRespond()  returns the grant; nullopt: wait for the next claim
//   NextClaim()   returns what to claim in the log; empty: enough is available
//   OnGranted()   adds the tokens of a claim that was written to the log
//
// Uses no clock, socket or log; gateway/rate_coordinator.h drives it.
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

// A node's request for one workspace.
struct RateRequest {
  struct Step {
    ProgramHash  program = 0;
    std::int64_t tokens = 0;
  };

  std::string workspace;
  int         want = 0;  // tokens for known programs, with a small reserve
  // Programs that the node does not know, one entry for each waiting request.
  std::vector<ProgramHash> waiting;
  // Tokens used by programs since the last request.
  std::vector<Step>        steps;
  // Tokens that expired unused.
  std::vector<RateEntry>   unused;
};

struct RateResponse {
  bool                     unsure = false;  // cannot grant or refuse at present
  int                      tokens = 0;
  std::vector<ProgramHash> may_go_on;    // waiting programs that may run
  std::int64_t             origin = -1;  // log offset of the tokens' claim
  Duration valid = 0;        // lifetime of the tokens from the request, in ms
  Duration retry_delay = 0;  // ms until a token may be available
  Duration new_program_retry_delay = 0;  // ms until a program may start
  bool     scarce = false;               // ask before starting any program
  bool     plenty = false;  // tokens may be requested ahead of need
};

// Tracks running programs and estimates the tokens they still need.
//
// A new program fits if the tokens available in the near future cover the
// remaining need of running programs and the whole need of the new one.
class ProgramDemand {
 public:
  // `typical_need`: requests per program, as a moving average. Shared by all
  // workspaces, because small ones finish too few programs to learn from.
  explicit ProgramDemand(double* typical_need) : m_typical_need(typical_need) {}

  bool Knows(ProgramHash program) const { return m_programs.contains(program); }
  // Records that the program used `taken` tokens; 0 when it starts.
  void Observe(ProgramHash program, std::int64_t taken, Time now);
  // Estimated tokens that running programs still need.
  double Committed(Time now);
  // Drops finished programs. `unthrottled`: no token was refused recently, so
  // the usage of these programs reflects their need and is learned from.
  void   Sweep(Time now, bool unthrottled);

 private:
  struct Program {
    Time         last_seen = 0;
    std::int64_t taken = 0;
  };
  double*                                  m_typical_need;
  std::unordered_map<ProgramHash, Program> m_programs;
  double m_committed = 0;  // as of m_committed_at
  Time   m_committed_at = -1;
};

class RateAllocator {
 public:
  RateAllocator(const RateLedger::LimitLookup& limit_of,
                const RateWindow&              window)
      : m_limit_of(limit_of), m_window(window), m_ledger(limit_of, window) {}

  RateLedger& ledger() { return m_ledger; }

  // A request after its new programs were admitted or refused.
  struct SubmittedRequest {
    std::string              workspace;
    int                      need = 0;  // tokens
    std::vector<ProgramHash> may_go_on;
    bool                     refused = false;  // some program was refused
  };
  SubmittedRequest            Submit(const RateRequest& request, Time now);
  std::optional<RateResponse> TryRespond(const SubmittedRequest& submitted,
                                         Time                    now);
  // Returns the entries of the next claim; empty if enough tokens are
  // available. `delay`: ms until another claim can be written.
  std::vector<RateEntry>      NextClaim(Duration delay, Time now);
  // Returns entries that release unused tokens of all workspaces. Call
  // periodically: NextClaim() covers only the workspaces it claims for.
  std::vector<RateEntry>      NextReleases(Time now);
  // Call right after the ledger applied `claim`. Tokens beyond the allowance
  // are not granted.
  void OnGranted(const LoggedRate& claim, Time sent, Time now);
  void Sweep(Time now);

  // Usage of a workspace that had refusals, for log lines to operators.
  struct RefusalReport {
    std::string  workspace;
    double       asked_per_second = 0;
    double       allowance = 0;  // tokens per window
    double       left = 0;       // tokens that may still be claimed
    std::int64_t pool = 0;       // tokens claimed but not handed out
    double       need = 0;       // requests per program
    std::int64_t refused = 0;
  };
  // Returns the reports since the last call.
  std::vector<RefusalReport> TakeRefusalReports(Time now);

 private:
  struct State {
    explicit State(double* typical_need) : programs(typical_need) {}
    TokenPool              pool;
    RateMeter              demand{kDemandDecayTime};
    ProgramDemand          programs;
    std::vector<RateEntry> unused;   // to be released
    Time         next_retry_at = 0;  // when the next refused program may retry
    Time         refused_at = 0;     // last refusal of a token
    std::int64_t refused_count = 0;
    Time         last_used = 0;
  };
  State&   StateOf(const std::string& workspace);
  // Sustained rate of the limit, in requests per second.
  double   SustainedRate(const RateLimit& limit) const;
  bool     IsScarce(const std::string& workspace, const RateLimit& limit,
                    Time now) const;
  // Tokens available in the near future beyond the need of running programs.
  double   UncommittedTokens(const std::string& workspace, State* state,
                             Time now) const;
  // Retry delay in ms for the next refused program.
  Duration NextRetryDelay(State* state, const RateLimit& limit, Time now) const;
  static void  TakeUnused(const std::string& workspace, State* state, Time now,
                          std::vector<RateEntry>* entries);
  // Tokens to claim for waiting requests and expected demand.
  std::int64_t TokensToClaim(const std::string& workspace, State* state,
                             const RateLimit& limit, Duration delay,
                             Time now) const;
  // Tokens granted to a node beyond its request.
  std::int64_t ExtraTokens(const std::string& workspace, const RateLimit& limit,
                           Time now) const;
  RateLedger::LimitLookup                m_limit_of;
  RateWindow                             m_window;
  RateLedger                             m_ledger;
  std::unordered_map<std::string, State> m_states;  // by workspace
  std::set<std::string> m_claims_due;  // workspaces that may need a claim
  double m_typical_need = kInitialTypicalNeed;  // requests per program

  static constexpr Duration kDemandDecayTime = 500;  // ms
  // Used until the first programs have ended.
  static constexpr double   kInitialTypicalNeed = 20;
};

}  // namespace yuccawick::workspaces

// Enforces the rate limit of each workspace across all nodes.
//
// Each workspace has a coordinator, a node that claims tokens in the platform's
// log and grants them to the other nodes; workspaces/rate_ledger.h explains why
// two coordinators cannot exceed the limit together. A request takes a local
// token, or waits for the coordinator's response.
//
//   Acquire(workspace, step, done)  calls `done` once with the result
//   Refund(workspace, token)        returns the token of an unsent request
//   Charge(workspace)               charges a resend that may run twice
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "yuccawick/gateway/metrics.h"
#include "yuccawick/gateway/peer_network.h"
#include "yuccawick/gateway/rate_coordinator.h"
#include "yuccawick/workspaces/workspace.h"

namespace yuccawick::gateway {

enum class RateLimitOutcome : std::uint8_t {
  kAdmitted,
  kOverLimit,  // the workspace has reached its limit
  kUnsure,     // no coordinator is reachable
};

struct RateLimitResult {
  RateLimitOutcome             outcome = RateLimitOutcome::kUnsure;
  Duration                     retry_delay = 0;  // ms
  workspaces::TokenPool::Batch token;            // 0 tokens if unlimited
};

// The program of a request, for the order of admission.
struct ProgramStep {
  std::string program;            // scoped; empty: none
  bool        continues = false;  // continues an earlier turn
  Duration    max_wait = 0;       // ms to wait for a coordinator
};

class RateLimiter {
 public:
  using Done = std::function<void(const RateLimitResult&)>;
  // The nodes that may coordinate a key, best candidate first.
  using CoordinatorLookup =
      std::function<std::vector<programs::NodeInfo>(const std::string& key)>;

  RateLimiter(net::EventLoop* loop, const Thresholds* thresholds,
              const programs::NodeInfo& self, PeerNetwork* network,
              std::vector<RateCoordinator>* coordinators,
              CoordinatorLookup             rank_coordinators);

  void Acquire(const workspaces::Workspace& workspace, const ProgramStep& step,
               Done done);
  void Refund(const std::string&                  workspace,
              const workspaces::TokenPool::Batch& token);
  void Charge(const std::string& workspace);

  // Handles a rate request of another node.
  void ServeRequest(PeerMessage::Reader       message,
                    const PeerNetwork::Reply& reply);
  // Opens the partitions that this node coordinates; call about twice a
  // second. `limits`: whether the manifest has rate limits.
  void Sweep(bool limits);

 private:
  struct Waiter {
    workspaces::ProgramHash program = 0;  // 0 if none
    bool     known_program = true;        // seen by this node, or no program
    Time     since = 0;
    Duration max_wait = 0;  // ms to wait for a coordinator
    Done     done;
  };
  struct WorkspaceState {
    workspaces::TokenPool                           pool;
    workspaces::RateMeter                           demand{kDemandWindow};
    std::deque<Waiter>                              waiting;
    bool                                            request_pending = false;
    Time                                            scarce_until = 0;
    Time                                            plenty_until = 0;
    // Tokens taken by each program since the last request.
    std::map<workspaces::ProgramHash, std::int64_t> steps;
    std::int64_t debt = 0;  // tokens used but not granted
    Time         last_used = 0;
  };

  bool                    TakeToken(WorkspaceState* state, const Waiter& waiter,
                                    RateLimitResult* result);
  workspaces::RateRequest BuildRequest(const std::string& workspace,
                                       WorkspaceState*    state) const;
  // Requests tokens if requests wait, or in advance while tokens are plentiful.
  void                    RequestMore(const std::string& workspace);
  void RequestFromRank(const workspaces::RateRequest& request, std::size_t rank,
                       Time requested_at);
  void RequestFromNode(const programs::NodeInfo&      coordinator,
                       const workspaces::RateRequest& request,
                       const RateCoordinator::Done&   done);
  void OnResponse(const workspaces::RateRequest&  request,
                  const workspaces::RateResponse& response, Time requested_at);
  void ScheduleRequest(const std::string& workspace, Duration delay);
  // Admits waiting requests with local tokens.
  void ServeWaiting(const std::string& workspace);
  // Refuses the waiting requests that would wait too long and, while tokens are
  // scarce, those of new programs.
  void RefuseWaiting(const std::string& workspace, RateLimitOutcome outcome,
                     const workspaces::RateResponse& response);
  RateCoordinator& CoordinatorFor(const std::string& workspace);

  net::EventLoop*               m_loop;
  const Thresholds*             m_thresholds;
  programs::NodeInfo            m_self;
  PeerNetwork*                  m_network;
  std::vector<RateCoordinator>* m_coordinators;  // by partition
  CoordinatorLookup             m_rank_coordinators;
  std::unordered_map<std::string, WorkspaceState>   m_workspaces;  // by name
  // Active programs, with the time at which this node last saw them.
  std::unordered_map<workspaces::ProgramHash, Time> m_programs;

  static constexpr Duration kDemandWindow = 400;  // ms
};

}  // namespace yuccawick::gateway

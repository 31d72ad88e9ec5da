// Keeps each workspace within its rate limit, over all nodes.
//
// Each workspace has a home, a node that claims tokens in the platform's log
// and hands them to the others; see workspaces/rate_ledger.h for why no two
// homes together can hand out too many. A request takes a token that is at
// hand, or waits for the home's answer, a few ms. What a request took and did
// not use goes back.
//
//   Acquire(workspace, program, done)  `done` once: admitted, or why not
//   Refund(workspace, token)           the request was not sent to a server
//   Charge(workspace)                  a request is sent again, may run twice
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
  kOver,    // the workspace has used up its limit
  kUnsure,  // no home answers
};

struct RateLimitResult {
  RateLimitOutcome             outcome = RateLimitOutcome::kUnsure;
  Duration                     retry_delay = 0;  // ms until there may be room
  workspaces::TokenPool::Batch token;            // none: no limit
};

// What a request says of the program that it belongs to.
struct ProgramStep {
  std::string program;            // scoped; empty: none
  bool        continues = false;  // names an earlier turn
  Duration    patience = 0;       // ms that it waits while no home answers
};

class RateLimiter {
 public:
  using Done = std::function<void(const RateLimitResult&)>;
  // The nodes that may be home of a key, the first choice first.
  using CoordinatorLookup =
      std::function<std::vector<programs::NodeInfo>(const std::string& key)>;

  RateLimiter(net::EventLoop* loop, const Thresholds* thresholds,
              const programs::NodeInfo& self, PeerNetwork* network,
              std::vector<RateCoordinator>* desks, CoordinatorLookup homes_for);

  void Acquire(const workspaces::Workspace& workspace, const ProgramStep& step,
               Done done);
  void Refund(const std::string&                  workspace,
              const workspaces::TokenPool::Batch& token);
  void Charge(const std::string& workspace);

  // A question of another node.
  void ServeRequest(PeerMessage::Reader       message,
                    const PeerNetwork::Reply& reply);
  // Opens the desks that this node is home of; call about twice a second.
  // `limits`: the manifest has any.
  void Sweep(bool limits);

 private:
  struct Waiter {
    workspaces::ProgramHash program = 0;   // 0: none
    bool                    known = true;  // to this node, or no program
    Time                    since = 0;
    Duration                patience = 0;  // while no home answers
    Done                    done;
  };
  struct Local {
    workspaces::TokenPool                           pool;
    workspaces::RateMeter                           demand{kDemandMemory};
    std::deque<Waiter>                              waiting;
    bool                                            asking = false;
    Time                                            scarce_until = 0;
    Time                                            plenty_until = 0;
    // What programs took since the last question.
    std::map<workspaces::ProgramHash, std::int64_t> steps;
    std::int64_t debt = 0;  // tokens used without having them
    Time         used = 0;
  };

  bool                    TakeToken(Local* local, const Waiter& waiter,
                                    RateLimitResult* admission);
  workspaces::RateRequest NextAsk(const std::string& workspace,
                                  Local*             local) const;
  // Asks if a request waits, or if tokens are plenty and nearly gone here.
  void                    Ask(const std::string& workspace);
  void AskRank(const workspaces::RateRequest& ask, std::size_t rank,
               Time asked);
  void AskNode(const programs::NodeInfo&      home,
               const workspaces::RateRequest& ask,
               const RateCoordinator::Done&   done);
  void TakeAnswer(const workspaces::RateRequest&  ask,
                  const workspaces::RateResponse& answer, Time asked);
  void AskLater(const std::string& workspace, Duration delay);
  // Answers whom it can from what is at hand.
  void ServeWaiting(const std::string& workspace);
  // Ends the waits of those that would wait too long.
  void TurnAway(const std::string& workspace, RateLimitOutcome outcome,
                const workspaces::RateResponse& answer);
  RateCoordinator& DeskOf(const std::string& workspace);

  net::EventLoop*                                   m_loop;
  const Thresholds*                                 m_thresholds;
  programs::NodeInfo                                m_self;
  PeerNetwork*                                      m_network;
  std::vector<RateCoordinator>*                     m_desks;  // by partition
  CoordinatorLookup                                 m_homes_for;
  std::unordered_map<std::string, Local>            m_locals;  // by workspace
  // Programs under way, when they were last seen here.
  std::unordered_map<workspaces::ProgramHash, Time> m_programs;

  static constexpr Duration kDemandMemory = 400;  // ms
};

}  // namespace yuccawick::gateway

// Simulates programs of two routes on model servers that they can overload,
// with the real AdmissionController, FairnessPolicy and Placement. Several
// coordinators and nodes exchange reports periodically on a simulated clock.
//
// A refused client retries once, after the retry delay it received. A client
// whose turn times out sends the turn again, at most twice.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "model_server.h"

namespace yuccawick::bench {

// Which programs are admitted.
enum class AdmissionMode : std::uint8_t {
  kAdmitAll,      // no admission control
  kCapacityOnly,  // by free capacity, first come, first served
  kFairShare,     // by free capacity and fair share
};
std::string_view Name(AdmissionMode mode);

enum class Outcome : std::uint8_t {
  kUnderWay,
  kInTime,
  kLate,
  kRefused,
  kFailed
};

struct PlannedTurn {
  std::int64_t input = 0;  // new prompt tokens
  std::int64_t output_tokens = 0;
  double       think_time = 0;  // ms after the turn
};

struct OverloadProgram {
  double                   arrival = 0;  // ms
  std::size_t              route = 0;
  std::size_t              workspace = 0;
  std::vector<PlannedTurn> turns;
  double                   work = 0;          // slot time at an idle server, ms
  double                   latency_goal = 0;  // ms from arrival to the end
  Outcome                  outcome = Outcome::kUnderWay;
};

// Offered load; 1 is the load that the servers can sustain. From `from` to
// `until` (ms) the load of the workspace `hot`, or of all workspaces if it is
// -1, is multiplied by `factor`.
struct Load {
  double   base = 1;
  double   factor = 1;
  double   from = 0;
  double   until = 0;
  int      hot = -1;
  double   length = 18'000;
  int      workspaces = 10;
  unsigned seed = 1;
};

struct OverloadSettings {
  AdmissionMode       mode = AdmissionMode::kFairShare;
  // Until this time (ms) all programs are admitted. The coordinators start
  // then, without knowledge of the programs already running.
  double              admit_all_until = 0;
  std::vector<double> slowdowns;  // per server; empty: none is slow
};

struct OverloadResult {
  std::vector<OverloadProgram> programs;
  std::vector<int>             turns_of_server;
  std::int64_t                 prefilled = 0;  // prompt tokens computed
  int                          preempted = 0;

  struct Count {
    int    arrived = 0;
    int    in_time = 0;
    int    late = 0;
    int    refused = 0;
    int    failed = 0;
    double goodput = 0;  // average slots used by programs in time
  };
  // Counts the programs that arrived between `from` and `until` (ms),
  // optionally only those of `route` or without those of `excluded_workspace`.
  Count CountPrograms(double from, double until, int route = -1,
                      int excluded_workspace = -1) const;
};

inline constexpr int kOverloadServers = 12;

OverloadResult RunOverload(const Load& load, const OverloadSettings& settings);

}  // namespace yuccawick::bench

// Programs of two routes before model servers that they can overload: the real
// AdmissionController, FairnessPolicy and Placement at several homes and nodes
// that hear of each other now and then, on a manual clock.
//
// A client that is refused comes back once, after the time that it was told.
// One whose turn is not answered within its patience sends it again, twice at
// most.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "model_server.h"

namespace yuccawick::bench {

// How programs are let in.
enum class Door : std::uint8_t {
  kOpen,  // all begin
  kRoom,  // where there is room, first come, first served
  kShares,
};
std::string_view Name(Door door);

enum class Outcome : std::uint8_t {
  kUnderWay,
  kInTime,
  kLate,
  kRefused,
  kFailed
};

struct PlannedTurn {
  std::int64_t input = 0;  // new tokens
  std::int64_t made = 0;
  double       pause = 0;  // ms after it
};

struct OverloadProgram {
  double                   asks = 0;  // ms
  std::size_t              route = 0;
  std::size_t              workspace = 0;
  std::vector<PlannedTurn> turns;
  double                   work = 0;  // ms of places, alone at a server
  double                   aim = 0;   // ms within which it should end
  Outcome                  outcome = Outcome::kUnderWay;
};

// Load 1 is what the servers carry. Between the two times it is `times` as
// much, of one workspace or, if that is -1, of all.
struct Load {
  double   base = 1;
  double   times = 1;
  double   from = 0;
  double   until = 0;
  int      hot = -1;
  double   length = 18'000;
  int      workspaces = 10;
  unsigned seed = 1;
};

struct OverloadSettings {
  Door                door = Door::kShares;
  // Until then the door is open, and the homes know nothing of what came
  // before.
  double              open_until = 0;
  std::vector<double> slowdowns;  // of servers; empty: all alike
};

struct OverloadResult {
  std::vector<OverloadProgram> programs;
  std::vector<int>             turns_of_server;
  std::int64_t                 read = 0;  // prompt tokens
  int                          preempted = 0;

  struct Count {
    int    asked = 0;
    int    in_time = 0;
    int    late = 0;
    int    refused = 0;
    int    failed = 0;
    double goodput = 0;  // work of those in time, in places
  };
  // Those that asked in that time; of one route or of all but one workspace, if
  // these are not -1.
  Count Of(double from, double until, int route = -1,
           int but_workspace = -1) const;
};

inline constexpr int kOverloadServers = 12;

OverloadResult RunOverload(const Load& load, const OverloadSettings& settings);

}  // namespace yuccawick::bench

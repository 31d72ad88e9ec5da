// What an operator may tune on a node: times, counts and weights, each with its
// unit, the value that runs by default and where that comes from.
//
// Every threshold can be set by name, on the command line or in the
// environment; see daemon/gateway_main.cc. Sizes of formats and bounds of the
// protocols are not here: changing them on one node breaks it.
//
// Pass one `const Thresholds*` to all parts of a node; it must outlive them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

#include "yuccawick/admission/admission_controller.h"
#include "yuccawick/capacity/server_slowdown.h"
#include "yuccawick/fairness/fair_share_policy.h"
#include "yuccawick/net/event_loop.h"
#include "yuccawick/pressure/memory_budget.h"
#include "yuccawick/traffic/concurrency_limit.h"
#include "yuccawick/traffic/outage_retry.h"
#include "yuccawick/traffic/placement.h"

namespace yuccawick::gateway {

using net::Duration;

// All durations in ms.
struct Thresholds {
  // Backend servers ----------------------------------------------------------
  Duration     connect_timeout = 400;  // a round trip is below 30
  // How long bytes may stay unacknowledged. A server that lost power or was cut
  // off sends no reset; with this bound a request on a kept connection to it
  // fails within the shortest route timeout.
  Duration     server_silence = 1000;
  // How long a connection may rest and be used again where the server does not
  // say when it closes idle ones; and the share of it where it does.
  Duration     idle_limit = 600;
  double       idle_share = 0.6;
  std::int64_t idle_connections = 16;  // kept for one server
  Duration     failure_memory = 1500;  // a failed server is avoided for so long
  Duration     prefix_memory = 20'000;  // a cached prompt lasts less
  Duration     load_memory = 700;  // what peers said of loads; older is noise
  // Load per slot at which a near or a warm server is no better any more, and
  // the load that a failure counts as: any healthy server goes first.
  traffic::PlacementWeights         placement;
  traffic::Sampling                 sampling;
  // How fast the picture of a server's speed follows what is observed, and
  // from which lasting pace on it is called slow.
  capacity::SlowdownSettings        slowdown;
  // How slow first events of model servers show that turns wait there.
  traffic::ConcurrencyLimitSettings concurrency_limit;
  // Which programs may begin while model servers are full.
  admission::AdmissionSettings      admission;
  // What programs leave free to others when they begin.
  fairness::FairShareSettings       fairness;

  // Requests -----------------------------------------------------------------
  // Given up this long before the client stops listening, so that the answer
  // still reaches it.
  Duration answer_way = 5;
  // Clients come back after this time on average: a turn's length, the time in
  // which a place at a server comes free.
  Duration return_delay = 150;
  Duration start_delay = 300;  // the same, at least, while this node starts
  // How long bytes to a client may stay unacknowledged; it gives up sooner.
  Duration client_silence = 5000;
  // After an answer that ends the connection, what the client still sends is
  // read and dropped for this long. Closing with unread bytes would reset the
  // connection, and the reset can overtake the answer.
  Duration linger = 1000;

  // Memory held for others ---------------------------------------------------
  // How long a client may take nothing of a whole answer that waits for it;
  // before the end its route's time bounds it.
  Duration                       reader_patience = 5000;
  pressure::MemoryBudgetSettings memory;

  // The platform's log -------------------------------------------------------
  Duration log_timeout = 600;  // a call takes 6, in a slow spell 250
  // How long an append may take before another partition, then another node,
  // is tried as well: longer than in a slow spell, shorter than the pause in
  // which a client gives a stream up.
  Duration log_patience = 280;
  // An append without an answer is first sent again after four usual answers,
  // and not before this; then after twice that, up to log_timeout.
  Duration append_first_timeout = 120;
  // A node that is asked to append a turn answers within this time, also if the
  // log does not; its asker waits a little longer, then tries others.
  Duration relay_answer = 500;
  Duration relay_timeout = 650;
  Duration relay_pause = 150;
  // Between two calls while the log is away: a few a second find its return
  // early enough, since nothing waits for it by then.
  Duration log_away_pause = 150;
  // How long a turn waits for the log, because its end could not be kept or for
  // its tokens, before it is refused; and the part of its client's time that
  // all its waits may take together, so that the client can come back.
  Duration log_wait = 1000;
  double   wait_share = 0.5;
  Duration log_wait_pause = 50;
  // Clients that are refused for the log come back after as long as it has been
  // away, or as this node has been starting, up to this: an outage goes on
  // about as long as it has lasted, and clients wait a third of their time at
  // the most.
  Duration outage_return = 900;
  // How long a request waits while the log answers no node, at the most, and
  // the part of its client's time. Below wait_share.
  Duration outage_hold = 2000;
  double   outage_hold_share = 0.45;

  // Tokens -------------------------------------------------------------------
  // Tokens that a turn left are given back after this long: the next turn, or
  // another that starts beside it, may need them by then.
  Duration     give_back_delay = 60;
  // A program whose budget holds this many turns keeps a part of it ahead while
  // it runs, one of so many: that much is lost each time its home loses power.
  // Smaller budgets could not spare it.
  std::int64_t ahead_turns = 11;
  std::int64_t ahead_divisor = 8;
  // And for so long after its last turn: longer than its pauses.
  Duration     ahead_memory = 1500;
  // A home that must claim first takes a call of the log. A home given up too
  // early claims all the same, and another claims for the same turn.
  Duration     reserve_timeout = 700;
  // A home answers within this time; "hold" if it waits for the log or for
  // turns to end. The asker asks again; another home would only split the
  // tokens.
  Duration     home_answer = 350;
  Duration     reserve_pause = 80;  // between two tries for tokens

  // Limits of workspaces ------------------------------------------------------
  // A home that must claim first takes a call of the log; it answers within the
  // first time whatever the log does, its asker waits a little longer.
  Duration rate_answer = 200;
  Duration rate_timeout = 300;
  // How long a request of a program under way waits for a token: clients come
  // back only for a whole attempt, of which they have few.
  Duration rate_wait = 400;

  // Other nodes --------------------------------------------------------------
  Duration peer_connect_timeout = 150;  // ten round trips
  Duration find_timeout = 250;
  // A reader answers after one read of the log's end, some 10; after a restart
  // it has a minute of records to read first. It answers within the first time
  // whatever the log does; its asker waits a little longer.
  Duration reader_answer = 400;
  // A reader that still reads is asked after the other one of its zone for this
  // long; reading a partition whole takes up to some seconds.
  Duration reading_memory = 2000;
  Duration reader_timeout = 550;
  // A node that no partition of the log answers says so this often, and is
  // believed for this long.
  Duration outage_pause = 200;
  Duration outage_memory = 600;
  // A node that was without the log itself so lately takes what others say of
  // it for an outage of all, which ends for each at another time.
  Duration outage_settling = 3000;
  // How long the log and most nodes must be silent before this node takes
  // itself for cut off: longer than a connection attempt and a lost answer.
  Duration isolation_delay = 500;
  // Loads are told this often if they changed: a turn takes some 200, so peers
  // learn of most turns while they run. And this often if they did not.
  Duration news_pause = 50;
  Duration news_anyway = 400;

  // Stopping -----------------------------------------------------------------
  // The balancer asks once a second and turns away after two misses.
  Duration balancer_lag = 2600;
  Duration stop_margin = 700;  // before the kill after SIGTERM
  // No new connection for this long after the balancer's lag: it asks once a
  // second, so it has turned away.
  Duration stop_quiet = 1200;
  Duration last_requests = 1800;  // left for them: a turn at a busy server
};

enum class ThresholdFault : std::uint8_t {
  kUnknownName,
  kBadValue,       // not a number
  kOutOfRange,     // outside its bounds
  kContradiction,  // excludes another one
};
std::string_view Name(ThresholdFault fault);

struct ThresholdError {
  ThresholdFault fault;
  std::string    threshold;  // its name, as given
  std::string    detail;     // what would be right
};

// Sets what `text` lists as name=value, separated by commas, over `base`. All
// faults are returned, not only the first.
tl::expected<Thresholds, std::vector<ThresholdError>> ParseThresholds(
    std::string_view text, const Thresholds& base);

// One line for each threshold: name, value, lowest, highest.
std::string Describe(const Thresholds& thresholds);

}  // namespace yuccawick::gateway

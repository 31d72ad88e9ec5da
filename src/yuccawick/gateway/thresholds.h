// Operator-tunable settings of a gateway node: timeouts, limits and weights
// with their defaults.
//
// Each setting can be changed by name on the command line or in the
// environment; see daemon/gateway_main.cc. Wire format sizes and protocol
// limits are not settings: they must be equal on all nodes.
//
// All parts of a node share one `const Thresholds*`, which must outlive them.
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
  // A round trip takes less than 30.
  Duration     connect_timeout = 400;
  // Longest time that sent bytes may stay unacknowledged. A server that loses
  // power sends no reset; without this limit a request on a reused connection
  // would hang until its route's timeout.
  Duration     server_silence = 1000;
  // Longest time that a probe waits for a server. A server that runs answers
  // in a round trip, unless all its slots are taken.
  Duration     probe_wait = 300;
  // A request under which a server ended is remembered this long: a program may
  // be stopped and come back.
  Duration     suspect_memory = 600'000;
  // A server that ends within this time of a send that ended without a whole
  // answer may have been ended by it.
  Duration     end_watch = 10'000;
  // Longest time that the answer to a client waits until the log has the mark
  // of a server that ended. Longer than an append while the log is well.
  Duration     mark_save_wait = 150;
  // First early ends of requests that all nodes together write to the log, per
  // second; 0: none.
  double       optional_marks = 10;
  // Shortest time between two probes of a server that may have ended.
  Duration     probe_pause = 300;
  // A send that is given up after this time without a byte from its server
  // counts as one under which the server ended, until the server answers.
  Duration     doubt_after = 1000;
  // Longest idle time of a pooled connection when the server announces none,
  // and the fraction of the announced time that is used otherwise.
  Duration     idle_limit = 600;
  double       idle_share = 0.6;
  std::int64_t idle_connections = 16;  // per server
  // After an answer whose headers describe a body that must not follow, the
  // connection is not used for this long: a server that sends the body anyway
  // would have it read as the next answer. Must be shorter than idle_limit.
  Duration     unexpected_body_wait = 200;
  // A leaving server still takes requests that no other may serve for this
  // long. The platform lets it serve for 2000 after its notice, which nodes
  // learn within 1000.
  Duration     leaving_use = 800;
  Duration     failure_memory = 1500;   // a failed server is avoided this long
  Duration     prefix_memory = 20'000;  // a prompt is assumed cached this long
  Duration     load_memory = 700;  // a peer's load report is valid this long
  // Weights for choosing a server, as load per slot.
  traffic::PlacementWeights         placement;
  traffic::Sampling                 sampling;
  // Estimation of server slowdown and the thresholds for "slow".
  capacity::SlowdownSettings        slowdown;
  // Concurrency limit, driven by the time to the first event.
  traffic::ConcurrencyLimitSettings concurrency_limit;
  // Admission of new programs while model servers are full.
  admission::AdmissionSettings      admission;
  // Capacity that a new program must leave free for other workspaces.
  fairness::FairShareSettings       fairness;

  // Requests -----------------------------------------------------------------
  // Time reserved for the answer's way back: an attempt ends this long before
  // the client's deadline.
  Duration answer_way = 5;
  // Mean retry delay sent to refused clients: about the length of a turn, after
  // which a slot of a server becomes free.
  Duration return_delay = 150;
  Duration start_delay = 300;  // lower bound of the retry delay during startup
  // Time for the first request of a new connection to arrive before the
  // connection counts as idle.
  Duration first_request = 200;
  // Longest time that bytes to a client may stay unacknowledged. Clients give
  // up sooner.
  Duration client_silence = 5000;
  // Once an answer that ends the connection is sent, input is still read and
  // discarded for this long. Closing with unread input would send a reset,
  // which can overtake the answer.
  Duration linger = 1000;

  // Memory -------------------------------------------------------------------
  // Longest time that a client may read nothing of a complete answer. Before an
  // answer is complete, its route's timeout applies.
  Duration                       reader_patience = 5000;
  pressure::MemoryBudgetSettings memory;

  // The platform's log -------------------------------------------------------
  // Per call. Well above a call while the log is slow, about 250.
  Duration log_timeout = 600;
  // After this time an append is also tried on another partition, then through
  // another node. Must be longer than a slow append and shorter than the time
  // after which clients abandon a stream.
  Duration log_patience = 280;
  // Lower bound of the first timeout of an append, which follows the usual
  // latency and doubles with each retry up to log_timeout.
  Duration append_first_timeout = 120;
  // A node that appends a turn for a peer answers within relay_answer even if
  // the log does not; the peer waits for relay_timeout, then tries another
  // node.
  Duration relay_answer = 500;
  Duration relay_timeout = 650;
  Duration relay_pause = 150;
  // Between two calls while the log is unavailable.
  Duration log_away_pause = 150;
  // Longest time that a turn waits for the log before it is refused, and the
  // fraction of the client's deadline that all its waits may use. The rest
  // leaves the client time to retry.
  Duration log_wait = 1000;
  double   wait_share = 0.5;
  Duration log_wait_pause = 50;
  // Upper bound of the retry delay while the log is unavailable. The delay
  // grows with the length of the outage or of this node's startup, since an
  // outage goes on for about as long as it has lasted. Clients wait for a third
  // of their time at most.
  Duration outage_return = 900;
  // Longest time that a request waits while the log answers no node, and the
  // fraction of its deadline. The fraction must be below wait_share.
  Duration outage_hold = 2000;
  double   outage_hold_share = 0.45;

  // Tokens -------------------------------------------------------------------
  // What a turn used is appended after this delay, so that one append carries
  // several settlements. A loss of all nodes before that counts the turn in
  // full. The coordinator confirms it within settle_answer, whatever the log
  // does.
  Duration settle_delay = 20;
  Duration settle_answer = 600;
  // Includes the log call of a coordinator.
  Duration reserve_timeout = 700;
  // A coordinator answers within this time, whatever the log does. The
  // requester then asks the next one under the same id, so the turn is granted
  // once.
  Duration home_answer = 350;
  Duration reserve_pause = 80;  // between two attempts to reserve tokens

  // Limits of workspaces ------------------------------------------------------
  // A coordinator that must claim first needs a log call, but answers within
  // rate_answer whatever the log does; the requester waits for rate_timeout.
  Duration rate_answer = 200;
  Duration rate_timeout = 300;
  // Longest time that a request of a running program waits for a token. A
  // refusal would cost its client a whole attempt.
  Duration rate_wait = 400;

  // Other nodes --------------------------------------------------------------
  Duration peer_connect_timeout = 150;  // about ten round trips
  Duration find_timeout = 250;
  // Nodes tell each other within this time, or twice the longest timeout of a
  // resumable route, which software they sent streams to.
  Duration stream_memory = 5000;
  // Software that began a stream is remembered this long, as far as there is
  // room: a client may resume long after its stream broke off.
  Duration origin_memory = 60'000;
  // Longest time that a resumed stream waits for the nodes that remember its
  // origin, then until this node has followed the log to its end.
  Duration origin_timeout = 250;
  Duration origin_wait = 900;
  // A turn reader needs one read at the end of the log; after a restart it has
  // earlier records to read first. It answers within reader_answer whatever the
  // log does; the requester waits for reader_timeout.
  Duration reader_answer = 400;
  // A reader that is still catching up is asked only after the other reader of
  // its zone, for this long. Reading a whole partition can take seconds.
  Duration reading_memory = 2000;
  Duration reader_timeout = 550;
  // A node that no partition of the log answers reports this every
  // outage_pause; each report is valid for outage_memory.
  Duration outage_pause = 200;
  Duration outage_memory = 600;
  // For this long after its own log outage, a node takes peers' outage reports
  // for the same outage, which ends at different times on different nodes, and
  // does not rank these peers last as coordinators.
  Duration outage_settling = 3000;
  // A node considers itself isolated after the log and most peers have been
  // unreachable for this long. Must be longer than a connection attempt plus a
  // lost answer.
  Duration isolation_delay = 500;
  // Interval of load reports after a change, and without one. A turn takes
  // about 200, so peers learn of most turns while they run.
  Duration news_pause = 50;
  Duration news_anyway = 400;

  // Stopping -----------------------------------------------------------------
  // Time until the balancer has noticed a failing readiness check and sends no
  // more connections: it checks once a second and needs two misses.
  Duration balancer_lag = 2600;
  // Between the end of the last answer and the kill that follows SIGTERM: the
  // answer reaches its client, and claimed tokens are given back.
  Duration stop_margin = 700;
  // Shutdown goes on once no connection has arrived for this long after
  // balancer_lag. Must exceed the second between two checks of the balancer.
  Duration stop_quiet = 1200;
  // Mean retry delay of a client that a stopping node refuses while other nodes
  // of its zone serve: these can take it at once.
  Duration handover_delay = 20;
};

enum class ThresholdFault : std::uint8_t {
  kUnknownName,
  kBadValue,       // not a number
  kOutOfRange,     // outside its valid range
  kContradiction,  // conflicts with another threshold
};
std::string_view Name(ThresholdFault fault);

struct ThresholdError {
  ThresholdFault fault;
  std::string    threshold;  // name as given
  std::string    detail;     // valid range or expected form
};

// Applies the comma-separated name=value pairs of `text` to `base`. Returns all
// errors, not only the first.
tl::expected<Thresholds, std::vector<ThresholdError>> ParseThresholds(
    std::string_view text, const Thresholds& base);

// One line per threshold: name, value, lowest and highest valid value.
std::string Describe(const Thresholds& thresholds);

}  // namespace yuccawick::gateway

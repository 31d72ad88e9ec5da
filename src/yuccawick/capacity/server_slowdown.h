// Estimates how slow a backend server is relative to the others of its service.
//
// Servers of one service may differ in speed by a factor of two or more, and
// each may slow down several times for a few hundred milliseconds. Placement by
// load alone sends all of them the same work, and the queues of slow servers
// delay whole programs.
//
// A slowdown is the time that the same work takes, divided by the median over
// the service: 1 is the median, 2 takes twice as long. It is the product of a
// lasting part, which changes slowly, and a transient part, which is detected
// within two or three events and forgotten as quickly.
//
//   SlowdownBaseline  one per service: converts the duration of a piece of work
//                     to a slowdown, given how long that kind of work usually
//                     takes
//   ServerSlowdown    one per start of a server: the estimate for that server
//
//   if (auto observed = baseline.Compare("events", 40, server.At(now), now))
//     server.Observe(*observed, now);
//   peer.MergePeer(server.TakeUnsent(), now);
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "yuccawick/net/event_loop.h"

namespace yuccawick::capacity {

using net::Duration;
using net::Time;

struct SlowdownEstimate {
  double factor = 1.0;   // multiple of the median time
  double samples = 0.0;  // effective count; old ones weigh less
};

struct SlowdownSettings {
  double   max_samples = 200.0;        // window of the lasting estimate
  Duration transient_half_life = 150;  // ms
  // A server becomes slow at or above `slow`, and fast again below
  // `fast_again`.
  double   slow = 1.4;
  double   fast_again = 1.25;
};

// Weighted mean of logarithms that shrinks towards zero while samples are few.
struct LogMean {
  double sum = 0;
  double weight = 0;

  void   Decay(double decay);
  void   Add(double value, double value_weight);
  double ShrunkMean(double prior_weight) const {
    return sum / (weight + prior_weight);
  }
};

class ServerSlowdown {
 public:
  explicit ServerSlowdown(const SlowdownSettings& settings)
      : m_settings(settings) {}

  // Adds a local observation; it will be sent to the peers.
  void             Observe(const SlowdownEstimate& observed, Time now);
  // Adds the observations of a peer.
  void             MergePeer(const SlowdownEstimate& observed, Time now);
  SlowdownEstimate Lasting() const;
  // Lasting and transient slowdown combined.
  double           At(Time now) const;

  SlowdownEstimate Unsent() const;
  SlowdownEstimate TakeUnsent();
  // True if the unsent observations differ so much from the lasting slowdown
  // that they should be sent without waiting for the next periodic report.
  bool             NeedsImmediateReport() const;

  // Multiplies the past observations by `factor`, because the median changed;
  // later observations are not affected.
  void Rescale(double factor);
  bool slow() const { return m_slow; }
  // Updates slow() and returns true if it changed. Call periodically.
  bool UpdateSlow();

 private:
  void   Add(const SlowdownEstimate& observed, Time now);
  double TransientDecay(Time now) const;

  SlowdownSettings m_settings;
  LogMean          m_lasting;
  LogMean          m_transient;  // relative to the lasting slowdown
  LogMean          m_unsent;
  Time             m_transient_time = 0;
  bool             m_slow = false;
};

class SlowdownBaseline {
 public:
  // Returns the slowdown shown by a piece of work of the given kind, which took
  // `duration` ms at a server with the given slowdown; nullopt while there are
  // too few samples of that kind.
  std::optional<SlowdownEstimate> Compare(std::string_view kind,
                                          double duration, double slowdown,
                                          Time now);
  // Rescales the servers so that their median lasting slowdown is 1. Servers
  // without observations are left out of the median.
  void        Recenter(const std::vector<ServerSlowdown*>& servers);
  // Drops kinds of work not seen since `before`.
  void        Forget(Time before);
  std::size_t kinds() const { return m_kinds.size(); }

 private:
  struct Baseline {
    double log_time = 0;
    double variance = 0;  // of the log duration
    int    count = 0;
    Time   last_used = 0;
  };
  std::unordered_map<std::string, Baseline> m_kinds;
};

}  // namespace yuccawick::capacity

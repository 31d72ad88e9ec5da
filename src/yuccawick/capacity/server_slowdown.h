// How fast a backend server works, against the others of its service.
//
// Load pattern: servers of one service differ in speed by a factor of two and
// more, and each is several times as slow for some hundred milliseconds now and
// then. Counting requests per slot sends all of them the same, and the slow
// ones' queues decide when programs end.
//
// A pace is how long the same work takes there, in medians of the service: 1 is
// the median, 2 takes twice as long. It is the product of a lasting pace, which
// a server keeps, and of a spell, which is noticed within two or three events
// and forgotten as fast.
//
//   SlowdownBaseline  of a service: turns the time that a piece of work took
//                     into a pace, by what that kind of work usually takes
//   ServerSlowdown    of one start of a server: what was observed there
//
//   if (auto seen = scale.Compare("events", 40, server.At(now), now))
//     server.Observe(*seen, now);
//   neighbour.MergePeer(server.TakeUnsent(), now);  // what it has not yet told
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
  double factor = 1.0;   // of the median time
  double samples = 0.0;  // observations that it rests on; older ones count less
};

struct SlowdownSettings {
  double   max_samples = 200.0;  // observations that the lasting pace rests on
  Duration transient_half_life = 150;  // ms
  // A server is slow from the first on, until it is below the second.
  double   slow = 1.4;
  double   fast_again = 1.25;
};

// Weighted mean of logarithms, held near zero while it rests on little.
struct LogMean {
  double sum = 0;
  double weight = 0;

  void   Fade(double keep);
  void   Add(double value, double value_weight);
  double Held(double doubt) const { return sum / (weight + doubt); }
};

class ServerSlowdown {
 public:
  explicit ServerSlowdown(const SlowdownSettings& settings)
      : m_settings(settings) {}

  // Seen here; to be told to neighbours.
  void             Observe(const SlowdownEstimate& seen, Time now);
  // Seen by a neighbour.
  void             MergePeer(const SlowdownEstimate& seen, Time now);
  SlowdownEstimate Lasting() const;
  // Lasting pace and spell together.
  double           At(Time now) const;

  SlowdownEstimate Unsent() const;
  SlowdownEstimate TakeUnsent();
  // Whether untold observations are far from the lasting pace, so that they
  // are worth a message of their own.
  bool             NeedsImmediateReport() const;

  // Changes the unit of what was observed, not what follows.
  void Rescale(double by);
  bool slow() const { return m_slow; }
  // Whether slow() changed; to be called now and then.
  bool UpdateSlow();

 private:
  void   Add(const SlowdownEstimate& seen, Time now);
  double SpellKept(Time now) const;

  SlowdownSettings m_settings;
  LogMean          m_lasting;
  LogMean          m_spell;  // against the lasting pace
  LogMean          m_untold;
  Time             m_spell_as_of = 0;
  bool             m_slow = false;
};

class SlowdownBaseline {
 public:
  // Pace that a piece of work of this kind shows, which took `took` ms at a
  // server of the given pace; nothing while too few were seen to compare with.
  std::optional<SlowdownEstimate> Compare(std::string_view kind, double took,
                                          double pace, Time now);
  // Makes the median of these lasting paces 1. Observations of servers that
  // nothing is known of say nothing.
  void        Recenter(const std::vector<ServerSlowdown*>& servers);
  // Drops kinds of work that were not seen since then.
  void        Forget(Time before);
  std::size_t kinds() const { return m_kinds.size(); }

 private:
  struct Usual {
    double log_time = 0;
    double scatter = 0;  // variance of the logarithm
    int    seen = 0;
    Time   used = 0;
  };
  std::unordered_map<std::string, Usual> m_kinds;
};

}  // namespace yuccawick::capacity

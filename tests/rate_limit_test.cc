// Limits of workspaces without clocks, sockets or a log: what is granted never
// exceeds a window's limit, whatever order things happen in, and what is
// granted goes to programs that can end.
#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>

#include "yuccawick/workspaces/rate_allocator.h"

namespace yuccawick::tests {
namespace {

using net::Duration;
using net::Time;
using workspaces::LoggedRate;
using workspaces::RateAllocator;
using workspaces::RateLimit;
using workspaces::RateRecord;
using workspaces::RateRequest;
using workspaces::RateResponse;
using workspaces::RateWindow;

const std::string    kWorkspace = "w";
constexpr RateWindow kWindow{5000, 0.1, 20};

// A log in which claims are carried out late, or never, and whose answers come
// late, or never; homes that grant at once; nodes that use what they got at the
// worst moment.
class Explorer {
 public:
  Explorer(unsigned seed, RateLimit limit, int homes)
      : m_random(seed), m_limit(limit) {
    for (int i = 0; i < homes; ++i) m_homes.push_back(NewHome(i));
  }

  void Run(Duration length) {
    const Time end = m_now + length;
    while (m_now < end) {
      m_now += Pick(1, 20);
      CarryOut();
      for (Home& home : m_homes) Act(&home);
      if (Pick(0, 400) == 0) RestartAll();
      if (Pick(0, 200) == 0) m_slow_until = m_now + Pick(100, 3000);
    }
  }

  // The most uses in any window, and all of them.
  std::size_t Worst() {
    std::sort(m_uses.begin(), m_uses.end());
    std::size_t worst = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < m_uses.size(); ++last) {
      while (m_uses[last] - m_uses[first] >= kWindow.length) ++first;
      worst = std::max(worst, last - first + 1);
    }
    return worst;
  }
  std::size_t uses() const { return m_uses.size(); }
  Time        now() const { return m_now; }

 private:
  struct Home {
    std::string                    node;
    std::unique_ptr<RateAllocator> home;
    std::int64_t                   next = -1;  // -1: not open
    std::int64_t                   last = -1;
    Time                           acked = 0;
    bool                           waiting = false;  // a record is under way
    std::uint64_t                  life = 0;
    std::optional<RateAllocator::SubmittedRequest> question;
  };
  // A record on its way into the log, and its answer on the way back.
  struct Flight {
    std::size_t                 home = 0;
    std::uint64_t               life = 0;
    RateRecord                  record;
    Time                        append_at = 0;
    Time                        answer_at = 0;
    std::optional<std::int64_t> offset;
  };

  int Pick(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(m_random);
  }

  Home NewHome(int number) {
    Home home;
    home.life = ++m_lives;
    home.node = "n" + std::to_string(number) + "/" + std::to_string(home.life);
    home.home = std::make_unique<RateAllocator>(
        [this](const std::string&) { return std::optional(m_limit); }, kWindow);
    return home;
  }

  void RestartAll() {
    for (std::size_t i = 0; i < m_homes.size(); ++i) {
      // Some of them stay.
      if (Pick(0, 3) > 0) m_homes[i] = NewHome(static_cast<int>(i));
    }
  }

  void Send(Home* home, RateRecord record) {
    const auto     number = static_cast<std::size_t>(home - m_homes.data());
    const Duration slow = m_now < m_slow_until ? Pick(0, 2500) : 0;
    Flight         flight{number, home->life, std::move(record), 0, 0, {}};
    flight.append_at = m_now + Pick(1, 10) + slow;
    // One in ten answers is late or never comes while its home lives.
    flight.answer_at = flight.append_at + Pick(1, 10) +
                       (Pick(0, 9) == 0 ? Pick(100, 4000) : 0);
    home->waiting = true;
    m_flights.push_back(std::move(flight));
  }

  void CarryOut() {
    for (Flight& flight : m_flights) {
      if (flight.offset || flight.append_at > m_now) continue;
      flight.offset = static_cast<std::int64_t>(m_log.size());
      m_log.push_back(flight.record);
    }
    for (std::size_t i = 0; i < m_flights.size();) {
      if (!m_flights[i].offset || m_flights[i].answer_at > m_now) {
        ++i;
        continue;
      }
      const Flight flight = m_flights[i];
      m_flights.erase(m_flights.begin() + static_cast<std::ptrdiff_t>(i));
      Home& home = m_homes[flight.home];
      if (home.life == flight.life) Answered(&home, flight);
    }
  }

  void Answered(Home* home, const Flight& flight) {
    home->waiting = false;
    const Time sent = flight.record.sent;
    if (home->next < 0) {
      std::vector<LoggedRate> before;
      for (std::int64_t i = 0; i < *flight.offset; ++i) {
        before.push_back({i, m_log[static_cast<std::size_t>(i)]});
      }
      home->home->ledger().Begin(before, m_now);
    } else {
      for (std::int64_t i = home->next; i < *flight.offset; ++i) {
        home->home->ledger().Apply({i, m_log[static_cast<std::size_t>(i)]},
                                   m_now);
      }
      const LoggedRate claim{*flight.offset, flight.record};
      home->home->ledger().Apply(claim, m_now);
      home->home->OnGranted(claim, sent, m_now);
    }
    home->next = *flight.offset + 1;
    home->last = *flight.offset;
    home->acked = m_now;
  }

  void Act(Home* home) {
    if (home->next < 0) {
      if (!home->waiting) Send(home, {home->node, -1, m_now, 0, {}});
      return;
    }
    if (!home->question && Pick(0, 2) == 0) {
      RateRequest ask;
      ask.workspace = kWorkspace;
      ask.want = Pick(1, 12);
      for (const auto& unused : m_unused) ask.unused.push_back(unused);
      m_unused.clear();
      home->question = home->home->Submit(ask, m_now);
    }
    if (home->question) {
      const auto answer = home->home->TryRespond(*home->question, m_now);
      if (answer) {
        home->question.reset();
        Use(*answer);
      }
    }
    if (home->waiting) return;
    auto entries = Pick(0, 9) == 0 ? home->home->NextReleases(m_now)
                                   : home->home->NextClaim(10, m_now);
    if (entries.empty()) return;
    Send(home,
         {home->node, home->last, m_now, home->acked, std::move(entries)});
  }

  void Use(const RateResponse& answer) {
    for (int i = 0; i < answer.tokens; ++i) {
      if (Pick(0, 9) == 0) {
        m_unused.push_back({kWorkspace, -1, answer.origin});
        continue;
      }
      // At once, or as late as it may be.
      const bool late = Pick(0, 1) == 0;
      m_uses.push_back(late ? m_now + answer.valid - 1 : m_now);
    }
  }

  std::mt19937                       m_random;
  RateLimit                          m_limit;
  Time                               m_now = 1'000'000;
  Time                               m_slow_until = 0;
  std::uint64_t                      m_lives = 0;
  std::vector<RateRecord>            m_log;
  std::vector<Flight>                m_flights;
  std::vector<Home>                  m_homes;
  std::vector<workspaces::RateEntry> m_unused;
  std::vector<Time>                  m_uses;
};

// One home that owns the log, with one workspace.
class OneHome {
 public:
  explicit OneHome(RateLimit limit)
      : m_limit(limit),
        home([this](const std::string&) { return std::optional(m_limit); },
             kWindow) {
    home.ledger().Begin({}, now);
  }

  // Asks, and claims until there is an answer.
  RateResponse Ask(RateRequest ask) {
    ask.workspace = kWorkspace;
    const auto entered = home.Submit(ask, now);
    for (;;) {
      if (const auto answer = home.TryRespond(entered, now)) return *answer;
      Claim();
    }
  }
  // Uses up to so many, as a node does that keeps what it gets beyond.
  int Take(int tokens) {
    for (int taken = 0; taken < tokens; ++taken) {
      if (at_hand.Take(now)) continue;
      RateRequest ask;
      ask.want = tokens - taken;
      for (const auto& ended : at_hand.TakeExpired(now)) {
        ask.unused.push_back({kWorkspace, -ended.tokens, ended.origin});
      }
      const RateResponse answer = Ask(ask);
      at_hand.Add({answer.tokens, now + answer.valid, answer.origin});
      if (!at_hand.Take(now)) return taken;
    }
    return tokens;
  }
  // What a node has at hand and did not use.
  void TellUnused() {
    RateRequest ask;
    ask.workspace = kWorkspace;
    for (const auto& ended : at_hand.TakeExpired(now)) {
      ask.unused.push_back({kWorkspace, -ended.tokens, ended.origin});
    }
    home.Submit(ask, now);
  }
  void Claim() { Append(home.NextClaim(10, now)); }
  void Append(std::vector<workspaces::RateEntry> entries) {
    if (entries.empty()) return;
    const LoggedRate claim{m_offset, {"n", m_offset - 1, now, now, entries}};
    ++m_offset;
    home.ledger().Apply(claim, now);
    home.OnGranted(claim, now, now);
  }
  void Pass(Duration time) {
    now += time;
    home.Sweep(now);
    Append(home.NextReleases(now));
  }

 private:
  std::int64_t m_offset = 0;

 public:
  RateLimit             m_limit;
  Time                  now = 1'000'000;
  RateAllocator         home;
  workspaces::TokenPool at_hand;  // of a node
};

RateRecord Record(const std::string& node, std::int64_t previous, Time sent,
                  Time acked, std::int64_t tokens) {
  return {node, previous, sent, acked, {{kWorkspace, tokens, -1}}};
}

}  // namespace

// The bound -------------------------------------------------------------------

// Four nodes that do not hear of each other take each the workspace's home;
// claims and answers are late or lost, nodes lose power and start anew, what
// was not used is given back. In no window is there more than the limit allows.
Test(RateLimits, HomesBesideEachOtherAndLosses_NoWindowHoldsMore) {
  for (const RateLimit limit : {RateLimit{6, 6}, RateLimit{66, 66},
                                RateLimit{3, 0}, RateLimit{300, 20}}) {
    for (unsigned seed = 1; seed <= 40; ++seed) {
      Explorer explorer(seed, limit, 4);
      explorer.Run(40'000);
      const auto worst = static_cast<double>(explorer.Worst());
      cr_assert_leq(worst, workspaces::Allowance(limit, kWindow),
                    "rate %f, seed %u: %f", limit.per_second, seed, worst);
    }
  }
}

// The same with one home that lives on: it must not refuse what may be sent.
Test(RateLimits, OneHomeThatLives_GrantsNearlyAll) {
  OneHome d({66, 66});
  int     granted = 0;
  for (int i = 0; i < 40'000 / 20; ++i) {
    granted += d.Take(3);  // 150 a second
    d.Pass(20);
  }
  const double spans = 40'000.0 / static_cast<double>(d.home.ledger().Span());
  const double most = spans * workspaces::Allowance(d.m_limit, kWindow);
  cr_assert_geq(granted, 0.95 * most, "%d of %f", granted, most);
}

Test(RateLimits, BelowTheLimit_NothingIsRefused) {
  OneHome d({20, 20});
  for (int i = 0; i < 2000; ++i) {
    cr_assert_eq(d.Take(4), 4, "after %d ms", i * 250);  // 16 a second
    d.Pass(250);
  }
}

// What was claimed and not used comes back within its window.
Test(RateLimits, ClaimedAheadAndNotUsed_IsGivenBack) {
  OneHome d({20, 20});
  for (int i = 0; i < 40; ++i) {
    cr_assert_eq(d.Take(2), 2);
    d.Pass(25);
  }
  // All that is at hand and at its home ends.
  for (int i = 0; i < 3; ++i) {
    d.Pass(workspaces::kRateTokenLifetime);
    d.TellUnused();
  }
  const double used = workspaces::Allowance(d.m_limit, kWindow) -
                      d.home.ledger().Remaining(kWorkspace, d.now);
  cr_assert_eq(used, 80.0, "%f", used);
}

// A claim is late, and lies in the log behind those that gave back what came
// with it; whoever reads them must not take more off than was claimed.
Test(RateLimits, GivenBackTwiceOrOfAnother_TakesNothingOff) {
  workspaces::RateLedger ledger(
      [](const std::string&) {
        return std::optional(RateLimit{20, 20});
      },
      kWindow);
  ledger.Begin({}, 0);
  const double all = ledger.Remaining(kWorkspace, 0);
  ledger.Apply({0, Record("a", -1, 0, 0, 10)}, 0);
  ledger.Apply({1, {"b", -1, 0, 0, {{kWorkspace, -10, 0}}}}, 0);  // not b's
  cr_assert_eq(ledger.Remaining(kWorkspace, 0), all - 10);
  ledger.Apply({2, {"a", 0, 0, 0, {{kWorkspace, -30, 0}}}}, 0);
  cr_assert_eq(ledger.Remaining(kWorkspace, 0), all);
  ledger.Apply({3, Record("a", 2, 0, 0, 7)}, 0);
  ledger.Apply({4, {"a", 3, 0, 0, {{kWorkspace, -7, 2}}}},
               0);  // an older origin
  cr_assert_eq(ledger.Remaining(kWorkspace, 0), all - 7);
}

Test(RateLimits, LimitLowered_BindsAtOnce) {
  OneHome d({100, 100});
  cr_assert_eq(d.Take(200), 200);
  d.m_limit = {10, 10};
  d.Pass(workspaces::kRateTokenLifetime);  // what is at hand may still be used
  cr_assert_eq(d.Take(1), 0);
  d.Pass(d.home.ledger().Span());
  cr_assert_geq(d.Take(100), 60);
}

// After a start ---------------------------------------------------------------

// All nodes lose power and start again. What the log holds tells how long ago
// claims were made, at the least; nobody is refused for what is over.
Test(RateLimits, AllStartAnew_OldClaimsDoNotCount) {
  std::vector<LoggedRate> claims;
  // A claim every 20 ms for 12 s; each took 6 ms to be acknowledged.
  for (std::int64_t i = 0; i < 600; ++i) {
    claims.push_back({i, Record("a", i - 1, 20 * i, 20 * (i - 1) + 6, 1)});
  }
  const auto ages = workspaces::MinAges(claims);
  for (std::size_t i = 0; i < claims.size(); ++i) {
    const Duration passed = 20 * static_cast<Duration>(claims.size() - 1 - i);
    cr_assert_leq(ages[i], passed);
    cr_assert_geq(ages[i], passed - 6);
  }
  workspaces::RateLedger ledger(
      [](const std::string&) {
        return std::optional(RateLimit{100, 100});
      },
      kWindow);
  ledger.Begin(claims, 0);
  const double used = workspaces::Allowance({100, 100}, kWindow) -
                      ledger.Remaining(kWorkspace, 0);
  cr_assert_leq(used, static_cast<double>(ledger.Span()) / 20 + 3);
}

Test(RateLimits, ClaimsOfSeveralHomesInTheLog_AgesAreNeverTooHigh) {
  std::mt19937 random(7);
  const auto   pick = [&random](int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random);
  };
  for (int round = 0; round < 200; ++round) {
    // By home: offset and acknowledgement of its last, offset of its clock.
    std::map<int, std::pair<std::int64_t, Time>> last;
    std::vector<LoggedRate>                      claims;
    std::vector<Time>                            appended;
    Time                                         now = 0;
    for (std::int64_t i = 0; i < 60; ++i) {
      const int  home = pick(0, 2);
      const Time skew = 1000L * home;
      const auto before = last.find(home);
      const Time sent = now + pick(0, 5);
      now = sent + pick(0, 30);
      const Time acked = now + pick(0, 30);
      // Its next claim comes after that.
      if (before != last.end() && before->second.second > sent + skew) continue;
      RateRecord record =
          Record("n" + std::to_string(home), -1, sent + skew, 0, 1);
      if (before != last.end()) {
        record.previous = before->second.first;
        record.previous_acked = before->second.second;
      }
      const auto offset = static_cast<std::int64_t>(claims.size());
      claims.push_back({offset, record});
      appended.push_back(now);
      last[home] = {offset, acked + skew};
    }
    const auto ages = workspaces::MinAges(claims);
    for (std::size_t i = 0; i < claims.size(); ++i) {
      cr_assert_leq(ages[i], appended.back() - appended[i]);
    }
  }
}

// Whole programs --------------------------------------------------------------

// A workspace sends eight times what it may, in programs of fifteen requests,
// one each 60 ms. Its limit holds some programs whole; those must end, the
// others must be turned away at their beginning and told when to come back,
// each another time.
Test(RateLimits, WorkspaceFarAboveItsLimit_ProgramsThatBeginEnd) {
  constexpr int kSteps = 15;
  OneHome       d({50, 50});
  struct Program {
    workspaces::ProgramHash hash = 0;
    int                     steps = 0;
    bool                    known = false;
    Time                    next = 0;
    Time                    tried = 0;  // this step, first
  };
  std::vector<Program>    programs;
  std::set<Duration>      returns;
  workspaces::ProgramHash last = 0;
  int                     turned_away = 0;
  int                     cut = 0;
  int                     ended = 0;
  const Time              begin = d.now;
  while (d.now < begin + 40'000) {
    // 27 programs a second.
    if (d.now / 37 != (d.now - 10) / 37) {
      programs.push_back({++last, 0, false, d.now, 0});
    }
    for (Program& program : programs) {
      if (program.next > d.now) continue;
      RateRequest ask;
      if (program.known) {
        ask.want = 1;
      } else {
        ask.waiting = {program.hash};
      }
      if (program.tried == 0) program.tried = d.now;
      if (program.steps > 0) ask.steps = {{program.hash, 1}};
      const RateResponse answer = d.Ask(ask);
      if (answer.tokens > 0) {
        program.known = true;
        program.tried = 0;
        program.next = d.now + 60;
        ++program.steps;
      } else if (!program.known && answer.may_go_on.empty()) {
        ++turned_away;
        returns.insert(answer.new_program_retry_delay);
        program.steps = -1;
      } else if (d.now - program.tried > 1000) {
        ++cut;
        program.steps = -1;
      } else {
        program.known = true;
        program.next = d.now + std::max<Duration>(25, answer.retry_delay);
      }
    }
    std::erase_if(programs, [&ended](const Program& program) {
      if (program.steps == kSteps) ++ended;
      return program.steps < 0 || program.steps == kSteps;
    });
    d.Pass(10);
  }
  // 50 a second and the burst hold some 3.6 programs a second.
  cr_assert_geq(ended, 100, "%d ended, %d cut, %d turned away", ended, cut,
                turned_away);
  cr_assert_leq(cut, ended / 5, "%d ended, %d cut, %d turned away", ended, cut,
                turned_away);
  cr_assert_geq(returns.size(), 20);
}

// A limit holds fewer requests than a program usually needs. Nothing else is
// asked for, so a program begins all the same, and goes on at the limit's pace.
Test(RateLimits, LimitSmallerThanOneProgram_AProgramBeginsAndGoesOn) {
  constexpr RateWindow                kExact{5000, 0, 0};
  workspaces::RateLedger::LimitLookup limit_of = [](const std::string&) {
    return std::optional(RateLimit{1, 0});
  };
  RateAllocator home(limit_of, kExact);
  home.ledger().Begin({}, 0);
  RateRequest ask;
  ask.workspace = kWorkspace;
  ask.waiting = {17};
  const auto entered = home.Submit(ask, 0);
  cr_assert_eq(entered.may_go_on.size(), 1);
  cr_assert_not(entered.refused);
}

}  // namespace yuccawick::tests

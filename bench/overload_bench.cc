// Benchmark of goodput and fairness under overload: the real admission,
// fairness and placement code with simulated model servers, compared with no
// admission control under the same load. Runs on a simulated clock, so results
// are deterministic. Exits 1 if a bound is broken.
#include <algorithm>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

#include "overload_run.h"

namespace yuccawick::bench {
namespace {

constexpr unsigned      kSeeds = 4;
// Load outside of bursts, as a fraction of the sustainable load.
constexpr double        kNormalLoad = 0.8;
constexpr AdmissionMode kModes[] = {AdmissionMode::kAdmitAll,
                                    AdmissionMode::kCapacityOnly,
                                    AdmissionMode::kFairShare};

using Count = OverloadResult::Count;

// Adds up the counts of all seeds; goodput is averaged.
Count CountOverSeeds(Load load, const OverloadSettings& settings, double from,
                     double until, int route = -1,
                     int excluded_workspace = -1) {
  Count sum;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    load.seed = seed;
    const auto one = RunOverload(load, settings)
                         .CountPrograms(from, until, route, excluded_workspace);
    sum.arrived += one.arrived;
    sum.in_time += one.in_time;
    sum.late += one.late;
    sum.refused += one.refused;
    sum.failed += one.failed;
    sum.goodput += one.goodput / kSeeds;
  }
  return sum;
}

// Work of all programs that arrive from `from` until `until` (ms), as the
// average number of slots that it takes at idle servers; mean over the seeds.
double OfferedWork(Load load, double from, double until) {
  double sum = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    load.seed = seed;
    const auto result = RunOverload(load, {AdmissionMode::kAdmitAll, 0, {}});
    for (const OverloadProgram& program : result.programs) {
      if (program.arrival >= from && program.arrival < until)
        sum += program.work;
    }
  }
  return sum / kSeeds / (until - from);
}

double Fraction(int part, int whole) {
  return whole == 0 ? 0 : static_cast<double>(part) / whole;
}

bool Check(bool holds, const std::string& name, const std::string& what) {
  std::cout << (holds ? "bound holds:  " : "BOUND BROKEN: ")
            << "Overload::" << name << ": " << what << "\n";
  return holds;
}

// Goodput must not collapse when the load exceeds the capacity: at every load
// it reaches nine tenths of its peak, or of the offered work if that is less.
bool CheckGoodputUnderLoad() {
  constexpr double kBegin = 3000;
  constexpr double kEnd = 12'000;
  std::cout
      << "\nLoad        mode             goodput  in time     late  refused"
         "   failed\n";
  bool holds = true;
  for (const AdmissionMode mode : kModes) {
    std::vector<double> goodput;
    std::vector<double> offered_work;
    for (const double factor : {1.0, 1.5, 2.0, 3.0}) {
      Load load;
      load.base = factor;
      const Count count = CountOverSeeds(load, {mode, 0, {}}, kBegin, kEnd);
      goodput.push_back(count.goodput);
      offered_work.push_back(OfferedWork(load, kBegin, kEnd));
      std::cout << std::setw(4) << factor << "        " << std::left
                << std::setw(15) << Name(mode) << std::right << std::setw(9)
                << count.goodput << std::setw(9)
                << Fraction(count.in_time, count.arrived) << std::setw(9)
                << Fraction(count.late, count.arrived) << std::setw(9)
                << Fraction(count.refused, count.arrived) << std::setw(9)
                << Fraction(count.failed, count.arrived) << "\n";
    }
    const double peak = *std::max_element(goodput.begin(), goodput.end());
    double       least = 1;  // of the peak or of the offered work
    for (std::size_t i = 0; i < goodput.size(); ++i)
      least = std::min(least, goodput[i] / std::min(peak, offered_work[i]));
    if (mode == AdmissionMode::kFairShare) {
      holds = Check(least >= 0.9, "GoodputAtThreeTimesTheLoad",
                    "goodput at 1, 1.5, 2 and 3 times the load stays within a "
                    "tenth of its peak, or of the offered work if that is "
                    "less: " +
                        std::to_string(least));
    }
  }
  return holds;
}

// Goodput must recover after a burst of 4 s at three times the sustainable
// load. In its first half all programs are admitted and server memory fills up;
// then the coordinators start. If they start only at the end of the burst, the
// backlog has to be worked off first, so that case has no bound.
bool CheckGoodputAfterBurst() {
  constexpr double kBurstEnd = 6000;
  constexpr double kBegin = kBurstEnd + 3000;
  constexpr double kEnd = kBegin + 5000;
  Load             normal_load;
  normal_load.base = kNormalLoad;
  Load burst = normal_load;
  burst.factor = 3 / kNormalLoad;
  burst.from = kBurstEnd - 4000;
  burst.until = kBurstEnd;
  const double normal =
      CountOverSeeds(normal_load, {AdmissionMode::kAdmitAll, 0, {}}, kBegin,
                     kEnd)
          .goodput;
  std::cout << "\nGoodput from 3 s after a burst that filled the servers; "
            << normal
            << " without it\nmode    coordinators start in the burst"
               "   at its end\n";
  bool holds = true;
  for (const AdmissionMode mode : kModes) {
    const auto after = [&](double admit_all_until) {
      return CountOverSeeds(burst, {mode, admit_all_until, {}}, kBegin, kEnd)
          .goodput;
    };
    const double during_burst = after(kBurstEnd - 2000);
    std::cout << std::left << std::setw(15) << Name(mode) << std::right
              << std::setw(24) << during_burst << std::setw(13)
              << after(kBurstEnd) << "\n";
    if (mode == AdmissionMode::kFairShare) {
      holds = Check(during_burst >= 0.9 * normal, "GoodputAfterBurst",
                    "goodput is at least 90% of normal 3 s after the burst: " +
                        std::to_string(during_burst / normal));
    }
  }
  return holds;
}

// A workspace that sends eight times its normal load for 8 s must not slow down
// the other nine.
bool CheckCostOfHotWorkspace() {
  constexpr int    kHotWorkspace = 0;
  constexpr double kBegin = 4000;
  constexpr double kEnd = 12'000;
  Load             normal_load;
  normal_load.base = kNormalLoad;
  Load hot = normal_load;
  hot.hot = kHotWorkspace;
  hot.factor = 8;
  hot.from = kBegin;
  hot.until = kEnd;
  std::cout << "\nFraction in time of other workspaces while one sends "
               "eight times its normal load\n";
  bool holds = true;
  for (const AdmissionMode mode : kModes) {
    const auto part = [&](const Load& load) {
      const Count count =
          CountOverSeeds(load, {mode, 0, {}}, kBegin, kEnd, -1, kHotWorkspace);
      return Fraction(count.in_time, count.arrived);
    };
    const double before = part(normal_load);
    const double with_hot = part(hot);
    std::cout << std::left << std::setw(15) << Name(mode) << std::right
              << std::setw(9) << with_hot << ", without it " << before << "\n";
    if (mode == AdmissionMode::kFairShare) {
      holds = Check(with_hot >= 0.95 * before, "CostOfHotWorkspace",
                    "a hot workspace costs the others less than 5%: " +
                        std::to_string(1 - with_hot / before));
    }
  }
  return holds;
}

int Run() {
  std::cout << std::fixed << std::setprecision(2);
  bool holds = CheckGoodputUnderLoad();
  holds = CheckGoodputAfterBurst() && holds;
  holds = CheckCostOfHotWorkspace() && holds;
  return holds ? 0 : 1;
}

}  // namespace
}  // namespace yuccawick::bench

int main() { return yuccawick::bench::Run(); }

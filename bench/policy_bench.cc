// Compares scheduling policies on the same programs: program latency, completed
// programs, wasted prefill, refusals; with and without engine faults, at one to
// three times the capacity. Runs on a simulated clock, so results are
// deterministic. Exits 1 if a regression bound is broken.
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <gflags/gflags.h>

#include <fstream>
#include <future>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "policy_run.h"
#include "svg.h"

DEFINE_uint64(seed, 1, "seed of the generated programs");
DEFINE_string(json, "", "file to which the results are written, as JSON");
DEFINE_string(plots, "", "directory to which the plots are written, as SVG");

namespace yuccawick::bench {
namespace {

struct Row {
  std::string scenario;
  double      load = 1;
  std::string fault;
  RunResult   result;
};

const char* FaultName(Fault fault) {
  switch (fault) {
    case Fault::kEngineCrash:
      return "engine lost";
    case Fault::kEngineSlowdown:
      return "engine slow";
    case Fault::kNone:
      break;
  }
  return "none";
}

void Print(const Row& row) {
  int refusals = 0;
  for (const auto& [reason, count] : row.result.refusals) refusals += count;
  std::cout << std::left << std::setw(10) << row.scenario << std::right
            << std::fixed << std::setprecision(0) << std::setw(3) << row.load
            << "x " << std::left << std::setw(12) << row.fault << std::setw(22)
            << row.result.policy << std::right << std::setprecision(1)
            << std::setw(8) << row.result.p50 << std::setw(8) << row.result.p95
            << std::setw(8) << row.result.p99 << std::setw(6)
            << row.result.finished << "/" << std::left << std::setw(6)
            << row.result.programs << std::right << std::setw(10)
            << row.result.wasted << std::setw(8) << refusals << std::setw(9)
            << row.result.goodput << std::setw(10) << row.result.first_class_p95
            << "\n";
}

Poco::JSON::Object::Ptr ToJson(const Row& row) {
  Poco::JSON::Object::Ptr json =
      new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
  json->set("scenario", row.scenario);
  json->set("load", row.load);
  json->set("trouble", row.fault);
  json->set("policy", row.result.policy);
  json->set("programs", row.result.programs);
  json->set("finished", row.result.finished);
  json->set("p50_s", row.result.p50);
  json->set("p95_s", row.result.p95);
  json->set("p99_s", row.result.p99);
  json->set("computed_tokens", row.result.computed);
  json->set("wasted_tokens", row.result.wasted);
  json->set("finished_per_minute", row.result.goodput);
  Poco::JSON::Object::Ptr refusals = new Poco::JSON::Object;
  for (const auto& [reason, count] : row.result.refusals)
    refusals->set(reason, count);
  json->set("first_class_p95_s", row.result.first_class_p95);
  json->set("refusals", refusals);
  return json;
}

Scenario Make(const std::string& name, double load) {
  return name == "sakhli" ? MakeSakhli(FLAGS_seed, load)
                          : MakeMandacaru(FLAGS_seed, load);
}

class Bench {
 public:
  void RunAll() {
    const core::FifoQueue            fifo;
    const core::AttainedServiceQueue attained;
    const core::OldestProgramQueue   oldest;
    const core::CacheAwareRoute      crowding(10, 5000, 30);
    const core::LeastLoadedRoute     least_loaded;
    const core::StickyRoute          sticky;
    const core::CacheAwareRoute      cache_aware(10, 0, 0);
    const std::vector<Policy>        policies{
        {"fifo+least_loaded", fifo, least_loaded},
        {"fifo+sticky", fifo, sticky},
        {"attained+cache_aware", attained, cache_aware},
        {"oldest+crowding", oldest, crowding},
        {"oldest+crowding+room", oldest, crowding, true}};
    std::cout << "customer  load trouble     policy                     p50 s"
                 "   p95 s   p99 s  done in time     wasted refused  per min  "
                 "1st class p95\n";
    for (const auto* name : {"sakhli", "mandacaru"}) {
      for (const double load : {1.0, 2.0, 3.0}) Run(name, load, policies, {});
      for (const auto fault : {Fault::kEngineCrash, Fault::kEngineSlowdown}) {
        RunSettings settings;
        settings.fault = fault;
        Run(name, 1, policies, settings);
      }
    }
  }

  const std::vector<Row>& rows() const { return m_rows; }

 private:
  void Run(const std::string& name, double load,
           const std::vector<Policy>& policies, const RunSettings& settings) {
    const Scenario                      scenario = Make(name, load);
    std::vector<std::future<RunResult>> results;
    results.reserve(policies.size());
    for (const auto& policy : policies) {
      results.push_back(std::async(std::launch::async, [&] {
        return RunPolicy(scenario, policy, settings);
      }));
    }
    for (auto& result : results) {
      m_rows.push_back({name, load, FaultName(settings.fault), result.get()});
      Print(m_rows.back());
    }
  }

  std::vector<Row> m_rows;
};

const RunResult& Find(const std::vector<Row>& rows, const std::string& scenario,
                      double load, const std::string& policy) {
  for (const auto& row : rows) {
    const bool same = row.scenario == scenario && row.load == load &&
                      row.fault == "none" && row.result.policy == policy;
    if (same) return row.result;
  }
  std::cerr << "result of a bound is missing\n";
  std::exit(1);
}

// Checks bounds on ratios between results of this run.
bool BoundsHold(const std::vector<Row>& rows) {
  bool       all_hold = true;
  const auto expect = [&all_hold](bool ok, const std::string& what) {
    std::cout << (ok ? "bound holds:  " : "BOUND BROKEN: ") << what << "\n";
    all_hold = all_hold && ok;
  };
  const std::string candidate = "oldest+crowding+room";
  for (const double load : {1.0, 2.0, 3.0}) {
    const auto  at = " at " + std::to_string(static_cast<int>(load)) + "x";
    const auto& s = Find(rows, "sakhli", load, candidate);
    const auto& s1 = Find(rows, "sakhli", load, "fifo+least_loaded");
    const auto& s2 = Find(rows, "sakhli", load, "fifo+sticky");
    expect(s.p95 <= 1.02 * std::min(s1.p95, s2.p95),
           "sakhli p95 no more than 1.02 of the better baseline" + at);
    const auto& m = Find(rows, "mandacaru", load, candidate);
    const auto& m1 = Find(rows, "mandacaru", load, "fifo+least_loaded");
    const auto& m2 = Find(rows, "mandacaru", load, "fifo+sticky");
    expect(static_cast<double>(m.wasted) <=
               1.02 * static_cast<double>(std::min(m1.wasted, m2.wasted)),
           "mandacaru waste no more than 1.02 of the better baseline" + at);
    expect(
        m.first_class_p95 <=
            1.02 * std::min(m1.first_class_p95, m2.first_class_p95),
        "mandacaru urgent p95 no more than 1.02 of the better baseline" + at);
    expect(m.p95 <= 1.10 * std::min(m1.p95, m2.p95),
           "mandacaru p95 no more than 1.10 of the better baseline" + at);
  }
  for (const auto* name : {"sakhli", "mandacaru"}) {
    const double one = Find(rows, name, 1, candidate).goodput;
    const double three = Find(rows, name, 3, candidate).goodput;
    expect(three >= 0.9 * one,
           std::string(name) + " goodput at 3x no less than 0.9 of 1x");
  }
  return all_hold;
}

void WriteJson(const std::vector<Row>& rows) {
  if (FLAGS_json.empty()) return;
  Poco::JSON::Array::Ptr list = new Poco::JSON::Array;
  for (const auto& row : rows) list->add(ToJson(row));
  Poco::JSON::Object json(Poco::JSON_PRESERVE_KEY_ORDER);
  json.set("seed", FLAGS_seed);
  json.set("version", YUCCAWICK_VERSION);
  json.set("rows", list);
  std::ofstream out(FLAGS_json);
  json.stringify(out, 1);
}

void Plot(const std::vector<Row>& rows, const std::string& name,
          const std::string& title, double (*value)(const RunResult&)) {
  std::vector<std::string> series;
  std::vector<BarGroup>    groups;
  for (const auto& row : rows) {
    if (row.fault != "none") continue;
    const std::string label =
        row.scenario + " " + std::to_string(static_cast<int>(row.load)) + "x";
    if (groups.empty() || groups.back().label != label)
      groups.push_back({label, {}});
    groups.back().values.push_back(value(row.result));
    if (groups.size() == 1) series.push_back(row.result.policy);
  }
  std::ofstream out(FLAGS_plots + "/" + name + ".svg");
  out << BarChart(title, series, groups);
}

void WritePlots(const std::vector<Row>& rows) {
  if (FLAGS_plots.empty()) return;
  Plot(rows, "policy-p95", "Program latency, 95th percentile, s",
       [](const RunResult& r) { return r.p95; });
  Plot(rows, "policy-waste", "Prompt tokens computed again, millions",
       [](const RunResult& r) { return static_cast<double>(r.wasted) / 1e6; });
  Plot(rows, "policy-whole", "Programs completed in time, percent",
       [](const RunResult& r) {
         return 100.0 * static_cast<double>(r.finished) /
                static_cast<double>(r.programs);
       });
}

}  // namespace
}  // namespace yuccawick::bench

int main(int argc, char** argv) {
  namespace bench = yuccawick::bench;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  bench::Bench run;
  run.RunAll();
  bench::WriteJson(run.rows());
  bench::WritePlots(run.rows());
  return bench::BoundsHold(run.rows()) ? 0 : 1;
}

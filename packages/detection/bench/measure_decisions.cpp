#include <atomic>
#include <cstdio>
#include <map>
#include <random>
#include <thread>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <nlohmann/json.hpp>

#include "streams.h"

namespace {

using namespace bg;
using namespace bg::detection::measure;

struct Options
{
  uint64_t seed = 0;
  uint32_t repetitions = 200;
  uint32_t threads = 4;
  double hours = 0;                  ///< 0: use the repetitions.
  double taller = 16;                ///< Detection threshold.
  double huron = 26;                 ///< Detection threshold.
  std::vector<std::string> policies; ///< Empty: all.
  std::vector<std::string> faults;   ///< Empty: all.
  StreamInit stream;
};

std::vector<PolicySpec> MakePolicySpecs(const Options& aOptions)
{
  return {
    { PolicyKind::Consecutive, 5, "five_in_a_row" },
    { PolicyKind::RateWindow, 0.5, "rate_window_50" },
    { PolicyKind::RateWindow, 0.3, "rate_window_30" },
    { PolicyKind::LocalCusum, aOptions.taller, "local_taller" },
    { PolicyKind::LocalCusum, aOptions.huron, "local_huron" },
    { PolicyKind::PooledCusum, aOptions.taller, "pooled_taller" },
    { PolicyKind::PooledCusum, aOptions.huron, "pooled_huron" },
  };
}

double Percentile(std::vector<double>& aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::ranges::sort(aValues);
  return aValues[static_cast<size_t>(aShare * static_cast<double>(aValues.size() - 1))];
}

void Merge(StreamResult& aInto, const StreamResult& aFrom)
{
  aInto.detectionMs.insert(
    aInto.detectionMs.end(), aFrom.detectionMs.begin(), aFrom.detectionMs.end());
  aInto.missed += aFrom.missed;
  aInto.requests += aFrom.requests;
  aInto.sent += aFrom.sent;
  aInto.wasted += aFrom.wasted;
  aInto.falseEjections += aFrom.falseEjections;
  aInto.falseAvoidances += aFrom.falseAvoidances;
  aInto.hours += aFrom.hours;
}

void PrintResult(const Options& aOptions,
                 const PolicySpec& aPolicy,
                 FaultKind aFault,
                 uint32_t aRuns,
                 StreamResult& aResult)
{
  nlohmann::ordered_json line;
  line["policy"] = aPolicy.name;
  line["limit"] = aPolicy.limit;
  line["fault"] = ToString(aFault);
  line["seed"] = aOptions.seed;
  line["runs"] = aRuns;
  if (IsUpstreamFault(aFault)) {
    line["detection_ms_median"] = std::round(Percentile(aResult.detectionMs, 0.5));
    line["detection_ms_p99"] = std::round(Percentile(aResult.detectionMs, 0.99));
    line["missed_share"] =
      static_cast<double>(aResult.missed) / static_cast<double>(aResult.detectionMs.size());
    line["sent_per_run"] = static_cast<double>(aResult.sent) / aRuns;
    line["wasted_per_run"] = static_cast<double>(aResult.wasted) / aRuns;
  }
  line["false_ejections"] = aResult.falseEjections;
  line["false_ejections_per_hour"] = aResult.falseEjections / aResult.hours;
  line["false_avoidances"] = aResult.falseAvoidances;
  line["false_avoidances_per_hour"] = aResult.falseAvoidances / aResult.hours;
  line["simulated_hours"] = aResult.hours;
  line["requests"] = aResult.requests;
  std::printf("%s\n", line.dump().c_str());
  std::fflush(stdout);
}

bool IsSelected(const std::vector<std::string>& aNames, std::string_view aName)
{
  return aNames.empty() || std::ranges::find(aNames, aName) != aNames.end();
}

/// Runs one policy against one fault with all seeds. The results are merged in the order of the
/// seeds, so that the number of threads has no effect.
void MeasurePolicy(const Options& aOptions, const PolicySpec& aPolicy, FaultKind aFault)
{
  StreamInit init = aOptions.stream;
  init.fault = aFault;
  uint32_t runs = aOptions.repetitions;
  if (aOptions.hours > 0) {
    // A long run is split into runs of at most an hour, which run in parallel.
    runs = static_cast<uint32_t>(std::ceil(aOptions.hours));
    init.runSeconds = 3600 * aOptions.hours / runs;
  } else if (aFault == FaultKind::Flapping) {
    init.runSeconds = 300;
    runs = std::max(1U, runs / 10);
  }
  std::vector<StreamResult> results(runs);
  std::atomic<uint32_t> next = 0;
  std::vector<std::thread> threads;
  for (uint32_t i = 0; i < std::min(runs, aOptions.threads); ++i) {
    threads.emplace_back([&] {
      for (uint32_t run = next++; run < runs; run = next++) {
        results[run] = RunStream(init, aPolicy, aOptions.seed + run);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  StreamResult merged;
  for (const StreamResult& result : results) {
    Merge(merged, result);
  }
  PrintResult(aOptions, aPolicy, aFault, runs, merged);
}

} // namespace

int main(int argc, char** argv)
{
  Options options;
  options.seed = std::random_device{}();
  CLI::App app{ "Compares detection policies on seeded streams; one JSON line each." };
  app.add_option("--seed", options.seed, "Seed of the first run; random by default");
  app.add_option("--repetitions", options.repetitions, "Seeds per policy and fault");
  app.add_option("--threads", options.threads, "Threads, at most 4")->check(CLI::Range(1, 4));
  app.add_option("--hours", options.hours, "Simulated hours per stream instead of repetitions");
  app.add_option("--taller", options.taller, "Detection threshold of the Taller");
  app.add_option("--huron", options.huron, "Detection threshold of Huron");
  app.add_option("--policy", options.policies, "Only these policies");
  app.add_option("--fault", options.faults, "Only these faults");
  app.add_option("--service-ms", options.stream.serviceMs, "Mean service time");
  app.add_option("--sigma", options.stream.sigma, "Sigma of the lognormal service time");
  app.add_option("--load", options.stream.load, "Share of all slots in use");
  app.add_option("--failure-rate",
                 options.stream.failureRate,
                 "Share of requests that fail at a healthy upstream");
  app.add_option("--domains", options.stream.fleet.domains, "Failure domains")
    ->check(CLI::Range(1, 12));
  CLI11_PARSE(app, argc, argv);
  std::fprintf(stderr, "seed %llu\n", static_cast<unsigned long long>(options.seed));

  for (size_t f = 0; f < static_cast<size_t>(FaultKind::Count); ++f) {
    const auto fault = static_cast<FaultKind>(f);
    if (!IsSelected(options.faults, ToString(fault))) {
      continue;
    }
    for (const PolicySpec& policy : MakePolicySpecs(options)) {
      if (IsSelected(options.policies, policy.name)) {
        MeasurePolicy(options, policy, fault);
      }
    }
  }
  return 0;
}

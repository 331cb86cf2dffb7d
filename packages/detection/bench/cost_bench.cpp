#include <benchmark/benchmark.h>

#include "boragegauge/detection.h"

// Measures the decision code at the design scale: 24,000 upstreams, 1,200 services, 12 domains.
namespace {

using namespace bg;
using namespace bg::detection;

constexpr uint16_t kUpstreams = 24000;
constexpr uint16_t kServices = 1200;
constexpr uint16_t kDomains = 12;

const Configuration& DesignScaleConfiguration()
{
  static const Configuration configuration = [] {
    Configuration created;
    created.failureDomains.resize(kDomains);
    created.services.resize(kServices);
    created.upstreams.resize(kUpstreams);
    for (uint16_t s = 0; s < kServices; ++s) {
      created.services[s].id = std::to_string(s);
    }
    for (uint16_t u = 0; u < kUpstreams; ++u) {
      created.upstreams[u].id = std::to_string(u);
      created.upstreams[u].service = ServiceHandle{ static_cast<uint16_t>(u % kServices) };
    }
    return created;
  }();
  return configuration;
}

TimePoint At(int64_t aMs)
{
  return TimePoint(std::chrono::hours(1)) + Milliseconds(aMs);
}

void Observe(benchmark::State& aState)
{
  LocalDetector detector;
  detector.Configure(DesignScaleConfiguration());
  uint32_t n = 0;
  for ([[maybe_unused]] auto each : aState) {
    // 48271 is coprime to the number of upstreams, so the accesses are spread over all of them.
    const UpstreamHandle upstream{ static_cast<uint16_t>(uint64_t{ ++n } * 48271 % kUpstreams) };
    detector.Observe(upstream, OutcomeClass::Good, Milliseconds(25), At(n / 200));
  }
}
BENCHMARK(Observe);

/// Measures one Evaluate() with new bad outcomes for the given number of upstreams.
void Evaluate(benchmark::State& aState)
{
  PooledDetector detector;
  detector.Configure(DesignScaleConfiguration());
  const auto suspectCount = static_cast<uint16_t>(aState.range(0));
  int64_t ms = 0;
  for ([[maybe_unused]] auto each : aState) {
    aState.PauseTiming();
    for (uint16_t u = 0; u < suspectCount; ++u) {
      const FailureDomainHandle domain{ static_cast<uint16_t>(u % kDomains) };
      detector.Add(
        "proxy", domain, { UpstreamHandle{ u }, { 300, 1, 0 }, Milliseconds(200) }, At(ms));
    }
    ms += 50;
    aState.ResumeTiming();
    benchmark::DoNotOptimize(detector.Evaluate(At(ms)));
  }
}
BENCHMARK(Evaluate)->Arg(0)->Arg(20)->Arg(2000);

} // namespace

BENCHMARK_MAIN();

#include <doctest/doctest.h>

#include "load_model.h"

using namespace bg;
using namespace bg::placement::model;

namespace {

constexpr double kSlots = 99;

Load MakeLoad(double aUtilization)
{
  Load load;
  load.requestsPerSecond = aUtilization * kSlots / (load.serviceTimeMs / 1000);
  return load;
}

} // namespace

TEST_CASE("callers of a healthy service")
{
  SUBCASE("are served in time up to a utilization of 90 %")
  {
    // Without coordination, requests queue at some upstreams while others are idle: independent
    // choices serve 79 % in time under this load.
    const ClassResult result = Simulate(MakeLoad(0.9), Policy::Allocator).Total();
    CHECK(result.ServedShare() > 0.985);
    CHECK(result.OnTargetShare() > 0.97);
  }
  SUBCASE("are served in time or refused under overload")
  {
    // A long queue under overload must not make all responses late.
    const ClassResult result = Simulate(MakeLoad(1.1), Policy::Allocator).Total();
    CHECK(result.OnTargetShare() > 0.8);
    CHECK(result.late < result.requests / 20);
  }
  SUBCASE("have urgent requests served first without starving others")
  {
    const LoadResult result = Simulate(MakeLoad(1.1), Policy::Allocator);
    CHECK(result.other.ServedShare() > 0.95);
    CHECK(result.idempotent.ServedShare() > 0.25);
  }
}

TEST_CASE("callers of a service with error bursts at 30 % of its upstreams")
{
  Load load = MakeLoad(0.4);
  load.faults.upstreamShare = 1;
  const LoadResult shared = Simulate(load, Policy::Allocator);
  const LoadResult localOnly = Simulate(load, Policy::OwnCounts);
  SUBCASE("see less than an eighth of the failures of hosts that share no health data")
  {
    // Without shared health data, each host has to detect each failing upstream with its own
    // requests.
    CHECK(shared.Total().failed * 8 < localOnly.Total().failed);
  }
  SUBCASE("are not retried beyond the budget")
  {
    const uint32_t requests = shared.Total().requests;
    CHECK(shared.retries < requests / 5);
  }
  SUBCASE("have non-idempotent requests served like idempotent ones")
  {
    CHECK(shared.other.ServedShare() > 0.97);
    CHECK(shared.idempotent.ServedShare() > 0.97);
  }
}

TEST_CASE("callers of a service with slow upstreams")
{
  Load load = MakeLoad(0.56);
  load.faults.upstreamShare = 0.16;
  load.faults.periodSeconds = 9;
  load.faults.durationSeconds = 6.5;
  load.faults.failShare = load.errorShare;
  load.faults.slowFactor = 5;
  CHECK(Simulate(load, Policy::Allocator).Total().OnTargetShare() > 0.96);
}

#include <doctest/doctest.h>

#include <rapidcheck.h>

#include <array>
#include <optional>
#include <random>

#include "permit_fleet.h"

using namespace bg;
using namespace bg::test;

namespace {

constexpr size_t kProxies = 4;
constexpr size_t kUpstreams = 8;
constexpr uint32_t kFloor = 6;

using Random = std::mt19937_64;

/// Random number from 0 to aLimit - 1.
size_t RandomBelow(Random& aRandom, size_t aLimit)
{
  return static_cast<size_t>(aRandom() % aLimit);
}

/// Injects a fault of any kind into 15 % of the platform calls.
void InjectFaults(PermitFleet& aFleet, Random& aRandom)
{
  // The clocks run at different rates, for which removeAfterExpiry compensates.
  static constexpr std::array<double, kProxies> kDrifts{ -0.08, 0.08, 0, 0.03 };
  for (size_t i = 0; i < kProxies; ++i) {
    auto& proxy = aFleet.proxies[i];
    proxy.drift = kDrifts[i];
    proxy.platform->fault = [&aRandom, platform = proxy.platform.get()](bool) {
      platform->delay = Milliseconds(1 + RandomBelow(aRandom, 40));
      platform->lateDelay = Milliseconds(500 + RandomBelow(aRandom, 15000));
      return RandomBelow(aRandom, 100) < 15
               ? static_cast<Fault>(RandomBelow(aRandom, size_t(Fault::Count)))
               : Fault::None;
    };
  }
}

void RandomStep(PermitFleet& aFleet, Random& aRandom)
{
  const size_t index = RandomBelow(aRandom, kProxies);
  auto& proxy = aFleet.proxies[index];
  const std::string upstream = "d" + std::to_string(RandomBelow(aRandom, kUpstreams));
  switch (RandomBelow(aRandom, 12)) {
    case 0:
      aFleet.SetPaused(index, !proxy.paused);
      return;
    case 1:
      proxy.platform->down = !proxy.platform->down;
      return;
    case 2:
      if (RandomBelow(aRandom, 4) == 0) {
        aFleet.SetPaused(index, false);
        aFleet.Restart(index);
      }
      return;
    case 3:
    case 4:
      if (!proxy.paused) {
        proxy.permits->Release("desk", upstream);
      }
      return;
    default:
      if (!proxy.paused) {
        aFleet.Acquire(index, upstream);
      }
  }
}

/// Runs a random schedule of 90 s. Returns the elapsed time in ms when the floor is first violated,
/// if it is. Adds the granted permits to aGranted otherwise.
std::optional<int64_t> FindViolation(uint64_t aSeed,
                                     EjectionPermitsInit aOptions,
                                     uint64_t& aGranted)
{
  Random random(aSeed);
  PermitFleet fleet(kProxies, kUpstreams, kFloor, std::move(aOptions));
  InjectFaults(fleet, random);
  while (fleet.simulation.ElapsedMs() < 90000) {
    RandomStep(fleet, random);
    const size_t steps = 1 + RandomBelow(random, 30);
    for (size_t i = 0; i < steps; ++i) {
      fleet.simulation.RunFor(Milliseconds(25));
      if (!fleet.FloorHolds()) {
        return fleet.simulation.ElapsedMs();
      }
    }
  }
  for (const auto& proxy : fleet.proxies) {
    aGranted += proxy.permits->Stats().granted;
  }
  return std::nullopt;
}

/// Returns whether any of 200 seeds violates the floor.
bool AnyViolation(const EjectionPermitsInit& aOptions)
{
  uint64_t granted = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    if (const auto time = FindViolation(seed, aOptions, granted)) {
      MESSAGE("seed " << seed << " violates the floor at " << *time << " ms");
      return true;
    }
  }
  return false;
}

} // namespace

TEST_CASE(
  "the floor holds for all proxies together in random schedules with pauses and lost responses")
{
  uint64_t granted = 0;
  CHECK(rc::check("random schedule", [&](uint64_t aSeed) {
    const auto time = FindViolation(aSeed, {}, granted);
    RC_ASSERT(!time);
  }));
  // Guards against schedules that pass because nothing is ever ejected.
  CHECK(granted > 300);
}

TEST_CASE("the same schedules violate the floor if a safety rule is disabled")
{
  SUBCASE("without the floor check")
  {
    EjectionPermitsInit options;
    options.testIgnoreFloor = true;
    CHECK(AnyViolation(options));
  }
  SUBCASE("without the lease")
  {
    EjectionPermitsInit options;
    options.testIgnoreLease = true;
    CHECK(AnyViolation(options));
  }
  SUBCASE("without the condition on the row's version")
  {
    EjectionPermitsInit options;
    options.testUnconditional = true;
    CHECK(AnyViolation(options));
  }
  SUBCASE("with entries that are removed as soon as they expire")
  {
    EjectionPermitsInit options;
    options.removeAfterExpiry = Milliseconds(0);
    CHECK(AnyViolation(options));
  }
  SUBCASE("with capacity that is freed as soon as a permit is released")
  {
    EjectionPermitsInit options;
    options.testFreeReleased = true;
    CHECK(AnyViolation(options));
  }
}

#include <doctest/doctest.h>

#include <rapidcheck.h>

#include <random>

#include "configuration_fleet.h"

using namespace bg;
using namespace bg::test;

namespace {

constexpr size_t kProxies = 4;

using Random = std::mt19937_64;

/// Random number from 0 to aLimit - 1.
size_t RandomBelow(Random& aRandom, size_t aLimit)
{
  return static_cast<size_t>(aRandom() % aLimit);
}

/// Returns an empty string unless a proxy activated a lower revision or another body of the same
/// one.
std::string CheckHistories(const ConfigurationFleet& aFleet)
{
  for (const auto& proxy : aFleet.proxies) {
    for (size_t i = 1; i < proxy.activations.size(); ++i) {
      const auto& [before, beforeDigest] = proxy.activations[i - 1];
      const auto& [after, afterDigest] = proxy.activations[i];
      if (after < before) {
        return "revision went down";
      }
      if (after == before) {
        return "body of a revision changed";
      }
    }
  }
  return "";
}

void RandomStep(ConfigurationFleet& aFleet, Random& aRandom, std::vector<FakeStore>& aCopies)
{
  const size_t index = RandomBelow(aRandom, kProxies);
  const size_t other = RandomBelow(aRandom, kProxies);
  auto& proxy = aFleet.proxies[index];
  switch (RandomBelow(aRandom, 10)) {
    case 0:
      return aFleet.SetRunning(index, !proxy.running);
    case 1:
      proxy.platform->down = !proxy.platform->down;
      return;
    case 2:
      return aFleet.network.SetCut(
        proxy.host, aFleet.proxies[other].host, RandomBelow(aRandom, 2) == 0);
    case 3:
      aCopies.push_back(aFleet.store);
      return;
    case 4:
      if (!aCopies.empty() && RandomBelow(aRandom, 2) == 0) {
        aFleet.store = aCopies[RandomBelow(aRandom, aCopies.size())];
      }
      return;
    case 5:
      return aFleet.Restart(index);
    default:
      aFleet.Apply((RandomBelow(aRandom, 5) == 0 ? "invalid " : "body ") +
                   std::to_string(aRandom()));
  }
}

void InjectFaults(ConfigurationFleet& aFleet, Random& aRandom)
{
  for (auto& proxy : aFleet.proxies) {
    proxy.platform->fault = [&aRandom, platform = proxy.platform.get()](bool) {
      platform->delay = Milliseconds(1 + RandomBelow(aRandom, 60));
      platform->lateDelay = Milliseconds(500 + RandomBelow(aRandom, 8000));
      return RandomBelow(aRandom, 100) < 15
               ? static_cast<Fault>(RandomBelow(aRandom, size_t(Fault::Count)))
               : Fault::None;
    };
  }
}

void RemoveFaults(ConfigurationFleet& aFleet)
{
  for (size_t i = 0; i < kProxies; ++i) {
    aFleet.SetRunning(i, true);
    aFleet.proxies[i].platform->fault = nullptr;
    aFleet.network.SetCutAll(aFleet.proxies[i].host, false);
  }
  aFleet.SetPlatformDown(false);
}

/// Runs a random schedule of 60 s, then removes all faults and applies one more change. Returns the
/// problem, or an empty string.
std::string RunSchedule(uint64_t aSeed, ConfigurationSyncInit aOptions)
{
  Random random(aSeed);
  ConfigurationFleet fleet(kProxies, std::move(aOptions));
  std::vector<FakeStore> copies;
  InjectFaults(fleet, random);
  while (fleet.simulation.ElapsedMs() < 60000) {
    RandomStep(fleet, random, copies);
    fleet.simulation.RunFor(Milliseconds(20 * RandomBelow(random, 40)));
    if (std::string problem = CheckHistories(fleet); !problem.empty()) {
      return problem;
    }
  }
  RemoveFaults(fleet);
  fleet.simulation.RunFor(Milliseconds(20000));
  const uint64_t last = fleet.Apply("last body");
  fleet.simulation.RunFor(Milliseconds(4000));
  for (size_t i = 0; i < kProxies; ++i) {
    if (fleet.Revision(i) != last || !fleet.Ready(i)) {
      return "not the last revision after 4 s";
    }
  }
  return CheckHistories(fleet);
}

/// Returns whether any of 200 seeds shows the expected problem.
bool AnyProblem(const ConfigurationSyncInit& aOptions, const std::string& aExpected)
{
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    if (RunSchedule(seed, aOptions) == aExpected) {
      MESSAGE("seed " << seed << ": " << aExpected);
      return true;
    }
  }
  return false;
}

} // namespace

TEST_CASE("revisions never decrease and all proxies converge in random schedules")
{
  CHECK(rc::check("random schedule", [](uint64_t aSeed) {
    const std::string problem = RunSchedule(aSeed, {});
    RC_ASSERT(problem == std::string());
  }));
}

TEST_CASE("the same schedules fail if a safety rule is disabled")
{
  ConfigurationSyncInit options;
  SUBCASE("lower revisions are activated")
  {
    options.testAllowLower = true;
    CHECK(AnyProblem(options, "revision went down"));
  }
  SUBCASE("another body of the same revision is activated")
  {
    options.testAllowFork = true;
    CHECK(AnyProblem(options, "body of a revision changed"));
  }
}

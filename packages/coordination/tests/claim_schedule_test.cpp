#include <doctest/doctest.h>

#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>

#include "claim_fleet.h"

using namespace bg;
using namespace bg::test;

namespace {

constexpr size_t kClaimants = 3;
constexpr size_t kFaults = static_cast<size_t>(Fault::Count);
constexpr size_t kOffsets = 4;

/// Faults of a claimant's first commit and first read, and the time of its claim.
struct Claimant
{
  Fault commit = Fault::None;
  Fault read = Fault::None;
  Milliseconds start{ 0 };
};

/// Maps an index below Combinations() to one combination of faults and start times.
std::array<Claimant, kClaimants> Combination(size_t aIndex)
{
  std::array<Claimant, kClaimants> claimants;
  for (Claimant& claimant : claimants) {
    claimant.commit = static_cast<Fault>(aIndex % kFaults);
    aIndex /= kFaults;
    claimant.read = aIndex % 2 == 0 ? Fault::None : Fault::Lost;
    aIndex /= 2;
    // The start times overlap with commits in flight, with reads after lost responses and with
    // commits that take effect late.
    static constexpr std::array<int, kOffsets> kStarts{ 0, 1, 150, 450 };
    claimant.start = Milliseconds(kStarts[aIndex % kOffsets]);
    aIndex /= kOffsets;
  }
  return claimants;
}

/// Injects the claimant's faults into its first commit and its first read.
void InjectFaults(FakePlatform& aPlatform, const Claimant& aClaimant)
{
  aPlatform.lateDelay = Milliseconds(420);
  aPlatform.fault = [claimant = aClaimant, commits = 0, reads = 0](bool aWrite) mutable {
    if (aWrite) {
      return commits++ == 0 ? claimant.commit : Fault::None;
    }
    return reads++ == 0 ? claimant.read : Fault::None;
  };
}

/// Returns the number of winners, or 100 if a claimant has no valid result or the row does not
/// match.
size_t Race(size_t aIndex, const ClaimStoreInit& aOptions)
{
  ClaimFleet fleet(kClaimants, aOptions);
  const auto claimants = Combination(aIndex);
  for (size_t i = 0; i < kClaimants; ++i) {
    fleet.Claim(i, ClaimFleet::Request("first, to learn the table's clock " + std::to_string(i)));
  }
  fleet.simulation.RunFor(Milliseconds(20));
  for (size_t i = 0; i < kClaimants; ++i) {
    fleet.proxies[i].results.clear();
    InjectFaults(*fleet.proxies[i].platform, claimants[i]);
    fleet.simulation.After(claimants[i].start, [&fleet, i] { fleet.Claim(i); });
  }
  fleet.simulation.RunFor(Milliseconds(4000));
  const size_t winners = fleet.Count(ClaimStatus::Won);
  const bool hasRow = fleet.store.rows.contains(ClaimKey("desk", "account-7", "key"));
  const bool allAnswered = winners + fleet.Count(ClaimStatus::StoreUnavailable) +
                             fleet.Count(ClaimStatus::InProgressOrUnknown) ==
                           kClaimants;
  return allAnswered && hasRow == (winners > 0) ? winners : 100;
}

size_t Combinations()
{
  size_t count = 1;
  for (size_t i = 0; i < kClaimants; ++i) {
    count *= kFaults * 2 * kOffsets;
  }
  return count;
}

void CheckRaces(size_t aBegin, size_t aEnd)
{
  for (size_t index = aBegin; index < aEnd; ++index) {
    const auto claimants = Combination(index);
    const bool allRefused =
      std::all_of(claimants.begin(), claimants.end(), [](const Claimant& aClaimant) {
        return aClaimant.commit == Fault::Refused;
      });
    CAPTURE(index);
    REQUIRE(Race(index, {}) == (allRefused ? 0 : 1));
  }
}

using Random = std::mt19937_64;

/// Random number from 0 to aLimit - 1.
size_t RandomBelow(Random& aRandom, size_t aLimit)
{
  return static_cast<size_t>(aRandom() % aLimit);
}

/// Runs claims, outcomes, releases, pauses and faults in random order on a few keys. Returns
/// whether any request was executed twice, and adds the number of executed keys to aRuns.
bool RunsTwice(uint64_t aSeed, const ClaimStoreInit& aOptions, size_t& aRuns)
{
  Random random(aSeed);
  ClaimFleet fleet(kClaimants, aOptions);
  std::map<std::string, int> runs;
  for (auto& proxy : fleet.proxies) {
    proxy.platform->fault = [&random, platform = proxy.platform.get()](bool) {
      platform->delay = Milliseconds(1 + RandomBelow(random, 50));
      platform->lateDelay = Milliseconds(100 + RandomBelow(random, 5000));
      return RandomBelow(random, 100) < 30 ? static_cast<Fault>(RandomBelow(random, kFaults))
                                           : Fault::None;
    };
  }
  const auto finish =
    [&](ClaimStore& aClaims, const std::string& aKey, const ClaimResult& aResult) {
      if (aResult.status != ClaimStatus::Won) {
        return;
      }
      const size_t choice = RandomBelow(random, 4);
      if (choice == 0) {
        return aClaims.Release(aResult.rowKey);
      }
      ++runs[aKey];
      if (choice == 1) {
        return aClaims.Abandon(aResult.rowKey);
      }
      aClaims.Complete(aResult.rowKey, { 200, {}, "done" });
    };
  for (int step = 0; step < 150; ++step) {
    auto& proxy = fleet.proxies[RandomBelow(random, kClaimants)];
    if (RandomBelow(random, 10) == 0) {
      proxy.paused = !proxy.paused;
      proxy.platform->SetPaused(proxy.paused);
    } else if (!proxy.paused) {
      const std::string key = std::to_string(RandomBelow(random, 6));
      proxy.claims->Claim(
        ClaimFleet::Request(key),
        fleet.simulation.Now() + Milliseconds(200 + RandomBelow(random, 1000)),
        [&, key](const ClaimResult& aResult) { finish(*proxy.claims, key, aResult); });
    }
    fleet.simulation.RunFor(Milliseconds(RandomBelow(random, 200)));
  }
  for (const auto& [key, count] : runs) {
    aRuns += 1;
    if (count > 1) {
      return true;
    }
  }
  return false;
}

} // namespace

// Split into two tests, so that each stays far below the time limit of a test under a sanitizer.
TEST_CASE("racing claimants have exactly one winner in every combination of faults, first half")
{
  CheckRaces(0, Combinations() / 2);
}

TEST_CASE("racing claimants have exactly one winner in every combination of faults, second half")
{
  CheckRaces(Combinations() / 2, Combinations());
}

TEST_CASE("a request runs at most once in random schedules")
{
  size_t runs = 0;
  CHECK(
    rc::check("random schedule", [&](uint64_t aSeed) { RC_ASSERT(!RunsTwice(aSeed, {}, runs)); }));
  CHECK(runs > 300);
}

TEST_CASE("the same races have two winners if a safety rule is disabled")
{
  ClaimStoreInit options;
  SUBCASE("a lost response is treated as a won claim")
  {
    options.testTrustLostResponse = true;
  }
  SUBCASE("the claim is committed without condition")
  {
    options.testIgnoreExistingClaim = true;
  }
  size_t doubleWins = 0;
  for (size_t index = 0; index < Combinations(); index += 97) {
    const size_t winners = Race(index, options);
    doubleWins += winners == 2 || winners == 3 ? 1 : 0;
  }
  CHECK(doubleWins > 0);
  size_t runs = 0;
  bool ranTwice = false;
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    ranTwice = ranTwice || RunsTwice(seed, options, runs);
  }
  CHECK(ranTwice);
}

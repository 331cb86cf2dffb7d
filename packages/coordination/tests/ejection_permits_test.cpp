#include <doctest/doctest.h>

#include "permit_fleet.h"

using namespace bg;
using namespace bg::test;

namespace {

using Upstreams = std::set<std::string>;

const std::string kRowKey = "ejections/desk";

} // namespace

TEST_CASE("permits are granted, applied by all proxies, renewed and released")
{
  PermitFleet fleet(3, 6, 4);
  fleet.simulation.RunFor(Milliseconds(500));
  fleet.Acquire(0, "d1");
  fleet.simulation.RunFor(Milliseconds(50));
  CHECK(fleet.EjectedBy(0) == Upstreams{ "d1" });
  fleet.simulation.RunFor(Milliseconds(1200));
  CHECK(fleet.EjectedBy(1) == Upstreams{ "d1" });
  CHECK(fleet.EjectedBy(2) == Upstreams{ "d1" });

  SUBCASE("renewal keeps the permit with about one commit per 2 s")
  {
    const uint64_t version = fleet.store.version;
    fleet.simulation.RunFor(Milliseconds(60000));
    CHECK(fleet.EjectedBy(2) == Upstreams{ "d1" });
    CHECK(fleet.store.version - version <= 31);
    CHECK(fleet.Count(0, PermitEvent::LeaseLost) == 0);
  }

  SUBCASE("the floor limits the number of permits of all proxies together")
  {
    fleet.Acquire(1, "d2");
    fleet.simulation.RunFor(Milliseconds(100));
    fleet.Acquire(2, "d3");
    fleet.simulation.RunFor(Milliseconds(1200));
    CHECK(fleet.Count(1, PermitEvent::Granted) == 1);
    CHECK(fleet.Count(2, PermitEvent::FloorReached) == 1);
    CHECK(fleet.EjectedByAny() == Upstreams{ "d1", "d2" });

    // A released permit counts until its lease ends, because an isolated proxy may still apply it.
    fleet.proxies[2].platform->down = true;
    fleet.proxies[0].permits->Release("desk", "d1");
    fleet.simulation.RunFor(Milliseconds(200));
    CHECK(fleet.Count(0, PermitEvent::Released) == 1);
    CHECK(fleet.EjectedBy(2).contains("d1"));
    fleet.Acquire(1, "d3");
    fleet.simulation.RunFor(Milliseconds(200));
    CHECK(fleet.Count(1, PermitEvent::FloorReached) == 1);
    fleet.simulation.RunFor(Milliseconds(7000));
    CHECK_FALSE(fleet.EjectedBy(2).contains("d1"));
    fleet.Acquire(1, "d3");
    fleet.simulation.RunFor(Milliseconds(200));
    CHECK(fleet.Count(1, PermitEvent::Granted) == 2);
  }

  SUBCASE("permits for an ejected or an unknown upstream are denied")
  {
    fleet.Acquire(1, "d1");
    fleet.Acquire(1, "d9");
    fleet.simulation.RunFor(Milliseconds(100));
    CHECK(fleet.Count(1, PermitEvent::HeldByOther) == 1);
    CHECK(fleet.Count(1, PermitEvent::NotHealthy) == 1);
  }

  SUBCASE("a paused holder loses its permit")
  {
    // Guards against a process that still applies its expired lease after it was paused.
    fleet.SetPaused(0, true);
    fleet.simulation.RunFor(Milliseconds(9000));
    CHECK(fleet.EjectedByAny().empty());
    fleet.SetPaused(0, false);
    CHECK(fleet.EjectedBy(0).empty());
    CHECK_FALSE(fleet.proxies[0].permits->Holds("desk", "d1", fleet.simulation.Now()));
    fleet.simulation.RunFor(Milliseconds(2000));
    CHECK(fleet.Count(0, PermitEvent::LeaseLost) == 1);
    CHECK(fleet.EjectedByAny().empty());
  }

  SUBCASE("during a table outage every proxy ends the ejection when the lease expires")
  {
    for (auto& proxy : fleet.proxies) {
      proxy.platform->down = true;
    }
    fleet.simulation.RunFor(Milliseconds(6500));
    CHECK(fleet.EjectedByAny().empty());
    CHECK(fleet.Count(0, PermitEvent::LeaseLost) == 1);
    fleet.Acquire(0, "d1");
    fleet.simulation.RunFor(Milliseconds(3500));
    CHECK(fleet.Count(0, PermitEvent::Unavailable) == 1);
  }

  SUBCASE(
    "when upstreams leave, readers ignore the newest permits at once and holders release them")
  {
    fleet.Acquire(1, "d2");
    fleet.simulation.RunFor(Milliseconds(1200));
    REQUIRE(fleet.EjectedByAny() == Upstreams{ "d1", "d2" });
    fleet.health.healthy.pop_back();
    CHECK(fleet.EjectedByAny() == Upstreams{ "d1" });
    fleet.simulation.RunFor(Milliseconds(1500));
    CHECK(fleet.Count(1, PermitEvent::ReleasedByFloor) == 1);
    CHECK(fleet.Count(0, PermitEvent::ReleasedByFloor) == 0);
    CHECK(DecodeEjections(fleet.store.rows[kRowKey].value)->entries[1].released);
  }

  SUBCASE("the entry of a stopped proxy is removed, but not within 1 s of its expiry")
  {
    const auto entry = DecodeEjections(fleet.store.rows[kRowKey].value)->entries.at(0);
    fleet.SetPaused(0, true);
    while (!DecodeEjections(fleet.store.rows[kRowKey].value)->entries.empty()) {
      const bool overdue = fleet.proxies[0].platform->TableNowMs() > entry.expiresMs + 30000;
      REQUIRE_FALSE(overdue);
      fleet.simulation.RunFor(Milliseconds(10));
    }
    CHECK(fleet.proxies[0].platform->TableNowMs() >= entry.expiresMs + 1000);
  }
}

TEST_CASE("the outcome of a commit without response is resolved by a read")
{
  PermitFleet fleet(2, 6, 5);
  fleet.simulation.RunFor(Milliseconds(500));
  FakePlatform& platform = *fleet.proxies[0].platform;
  const auto acquireWithFault = [&](Fault aFault) {
    platform.fault = [&platform, aFault](bool aCommit) {
      if (!aCommit) {
        return Fault::None;
      }
      platform.fault = nullptr;
      return aFault;
    };
    fleet.Acquire(0, "d1");
  };

  SUBCASE("the commit took effect")
  {
    acquireWithFault(Fault::Lost);
    fleet.simulation.RunFor(Milliseconds(1000));
    CHECK(fleet.Count(0, PermitEvent::Granted) == 1);
    CHECK(fleet.proxies[0].permits->Stats().unknownOutcomes == 1);
    fleet.simulation.RunFor(Milliseconds(10000));
    CHECK(fleet.EjectedBy(1) == Upstreams{ "d1" });
  }

  SUBCASE("the commit took no effect and is retried")
  {
    acquireWithFault(Fault::Dropped);
    fleet.simulation.RunFor(Milliseconds(2000));
    CHECK(fleet.Count(0, PermitEvent::Granted) == 1);
  }

  SUBCASE("a commit that takes effect after Release() is undone")
  {
    // Guards against an upstream that stays ejected by an entry that no proxy tracks.
    platform.lateDelay = Milliseconds(4000);
    acquireWithFault(Fault::Late);
    fleet.simulation.RunFor(Milliseconds(50));
    fleet.proxies[0].permits->Release("desk", "d1");
    fleet.simulation.RunFor(Milliseconds(8000));
    CHECK(fleet.EjectedByAny().empty());
    CHECK(fleet.proxies[0].events.back().first == PermitEvent::Released);
    fleet.simulation.RunFor(Milliseconds(10000));
    CHECK(DecodeEjections(fleet.store.rows[kRowKey].value)->entries.empty());
  }

  SUBCASE("a late renewal cannot restore a permit whose capacity another proxy uses")
  {
    fleet.Acquire(0, "d1");
    fleet.simulation.RunFor(Milliseconds(1500));
    platform.lateDelay = Milliseconds(9000);
    platform.fault = [](bool aCommit) { return aCommit ? Fault::Late : Fault::None; };
    fleet.simulation.RunFor(Milliseconds(1000));
    fleet.SetPaused(0, true);
    fleet.simulation.RunFor(Milliseconds(7000));
    fleet.Acquire(1, "d2");
    for (int i = 0; i < 100; ++i) {
      fleet.simulation.RunFor(Milliseconds(50));
      REQUIRE(fleet.FloorHolds());
    }
    CHECK(fleet.EjectedByAny() == Upstreams{ "d2" });
  }
}

TEST_CASE("a table restored from an older copy does not free capacity that is still in use")
{
  PermitFleet fleet(2, 6, 5);
  fleet.simulation.RunFor(Milliseconds(500));
  const FakeStore olderCopy = fleet.store;
  fleet.Acquire(0, "d1");
  fleet.simulation.RunFor(Milliseconds(1500));
  REQUIRE(fleet.EjectedByAny() == Upstreams{ "d1" });
  fleet.proxies[0].platform->down = true;
  fleet.store = olderCopy;
  fleet.simulation.RunFor(Milliseconds(1200));
  fleet.Acquire(1, "d2");
  fleet.simulation.RunFor(Milliseconds(100));
  CHECK(fleet.Count(1, PermitEvent::FloorReached) == 1);
  CHECK(fleet.FloorHolds());
  fleet.simulation.RunFor(Milliseconds(7000));
  fleet.Acquire(1, "d2");
  fleet.simulation.RunFor(Milliseconds(100));
  CHECK(fleet.Count(1, PermitEvent::Granted) == 1);
}

TEST_CASE("a row of a later format is neither applied nor overwritten")
{
  PermitFleet fleet(1, 6, 4);
  fleet.store.Put(kRowKey, R"({"format":2,"entries":[]})");
  fleet.simulation.RunFor(Milliseconds(500));
  fleet.Acquire(0, "d1");
  fleet.simulation.RunFor(Milliseconds(5000));
  CHECK(fleet.Count(0, PermitEvent::Unavailable) == 1);
  CHECK(fleet.store.rows[kRowKey].value == R"({"format":2,"entries":[]})");
}

#include <doctest/doctest.h>

#include "configuration_fleet.h"

using namespace bg;
using namespace bg::test;

TEST_CASE("an accepted configuration reaches every proxy")
{
  ConfigurationFleet fleet(3);
  fleet.simulation.RunFor(Milliseconds(3000));
  CHECK_FALSE(fleet.Ready(0));
  fleet.Apply("body 1");
  fleet.simulation.RunFor(Milliseconds(1300));
  for (size_t i = 0; i < 3; ++i) {
    CHECK(fleet.Revision(i) == 1);
    CHECK(fleet.proxies[i].sync->Body() == "body 1");
    CHECK(fleet.Ready(i));
  }
  CHECK(fleet.proxies[0].records.at(0).kind == DecisionKind::ConfigurationInForce);

  SUBCASE("within 4 s while the store is slow and loses responses")
  {
    for (auto& proxy : fleet.proxies) {
      proxy.platform->delay = Milliseconds(400);
    }
    fleet.proxies[1].platform->fault = [](bool) { return Fault::Lost; };
    fleet.Apply("body 2");
    fleet.simulation.RunFor(Milliseconds(4000));
    CHECK(fleet.Revision(0) == 2);
    CHECK(fleet.Revision(1) == 2);
  }

  SUBCASE("from a peer if the store is down or its object is missing")
  {
    fleet.proxies[2].platform->down = true;
    fleet.Apply("body 2");
    fleet.simulation.RunFor(Milliseconds(4000));
    CHECK(fleet.Revision(2) == 2);

    fleet.proxies[2].platform->down = false;
    fleet.Restart(2);
    fleet.store.objects.clear();
    fleet.simulation.RunFor(Milliseconds(4000));
    CHECK(fleet.Revision(2) == 2);
    CHECK(fleet.Ready(2));
  }

  SUBCASE("an invalid body is rejected once and the previous revision stays active")
  {
    fleet.Apply("invalid body");
    fleet.simulation.RunFor(Milliseconds(5000));
    CHECK(fleet.Revision(0) == 1);
    CHECK(fleet.Ready(0));
    CHECK(fleet.proxies[0].sync->Stats().rejected == 1);
    CHECK(fleet.proxies[0].records.back().kind == DecisionKind::ConfigurationRejected);
    CHECK(fleet.proxies[0].records.back().subject == "not valid");
    fleet.Apply("body 3");
    fleet.simulation.RunFor(Milliseconds(1300));
    CHECK(fleet.Revision(0) == 3);
  }

  SUBCASE("a damaged object is not activated")
  {
    fleet.Apply("body 2");
    fleet.store.objects[ConfigurationObjectName(Sha256Hex("body 2"))] = "damaged";
    fleet.simulation.RunFor(Milliseconds(5000));
    CHECK(fleet.Revision(0) == 1);
  }

  SUBCASE("polls back off while the store is down and resume when it is back")
  {
    fleet.SetPlatformDown(true);
    const uint64_t pollsBefore = fleet.proxies[0].sync->Stats().polls;
    fleet.simulation.RunFor(Milliseconds(40000));
    CHECK(fleet.proxies[0].sync->Stats().polls - pollsBefore < 15);
    fleet.SetPlatformDown(false);
    fleet.Apply("body 2");
    fleet.simulation.RunFor(Milliseconds(4200));
    CHECK(fleet.Revision(0) == 2);
  }
}

TEST_CASE("readiness depends on contact to the store or the peers")
{
  ConfigurationFleet fleet(3);
  fleet.Apply("body 1");
  fleet.simulation.RunFor(Milliseconds(3000));
  REQUIRE(fleet.Ready(0));

  SUBCASE("losing only the platform, or only the peers, keeps a proxy ready")
  {
    fleet.SetPlatformDown(true);
    fleet.simulation.RunFor(std::chrono::hours(2));
    CHECK(fleet.Ready(0));
    fleet.SetPlatformDown(false);
    fleet.simulation.RunFor(Milliseconds(5000));
    fleet.network.SetCutAll("p0", true);
    fleet.simulation.RunFor(std::chrono::minutes(5));
    CHECK(fleet.Ready(0));
  }

  SUBCASE("a proxy isolated from both is unready after 4 s, and ready again after the isolation")
  {
    fleet.proxies[0].platform->down = true;
    fleet.network.SetCutAll("p0", true);
    fleet.simulation.RunFor(Milliseconds(2900));
    CHECK(fleet.Ready(0));
    fleet.simulation.RunFor(Milliseconds(1200));
    CHECK_FALSE(fleet.Ready(0));
    CHECK(fleet.Revision(0) == 1);
    fleet.network.SetCutAll("p0", false);
    fleet.simulation.RunFor(Milliseconds(1100));
    CHECK(fleet.Ready(0));
  }

  SUBCASE("a paused proxy is unready when it resumes")
  {
    fleet.SetRunning(0, false);
    fleet.simulation.RunFor(Milliseconds(10000));
    fleet.SetRunning(0, true);
    CHECK_FALSE(fleet.Ready(0));
    fleet.simulation.RunFor(Milliseconds(1100));
    CHECK(fleet.Ready(0));
  }

  SUBCASE("the last proxy of a fleet stays ready without the store")
  {
    // Guards against a remaining proxy that takes its stopped peers for a sign of isolation and
    // becomes unready.
    fleet.SetRunning(1, false);
    fleet.SetRunning(2, false);
    fleet.simulation.RunFor(Milliseconds(62000));
    fleet.proxies[0].platform->down = true;
    fleet.simulation.RunFor(Milliseconds(60000));
    CHECK(fleet.Ready(0));
  }

  SUBCASE("a new proxy activates the highest revision of its peers while the store is down")
  {
    fleet.network.SetCutAll("p1", true);
    fleet.proxies[1].platform->down = true;
    fleet.Apply("body 2");
    fleet.simulation.RunFor(Milliseconds(3000));
    REQUIRE(fleet.Revision(1) == 1);
    fleet.SetPlatformDown(true);
    fleet.network.SetCutAll("p1", false);
    fleet.network.SetCut("p0", "p1", true);
    fleet.Restart(2);
    fleet.simulation.RunFor(Milliseconds(900));
    CHECK_FALSE(fleet.Ready(2));
    fleet.simulation.RunFor(Milliseconds(4000));
    CHECK(fleet.Revision(2) == 2);
    CHECK(fleet.Ready(2));
  }

  SUBCASE("a new proxy is ready with a lower revision if no peer delivers the highest one")
  {
    fleet.network.SetCut("p2", "p0", true);
    fleet.proxies[1].platform->down = true;
    fleet.network.SetCutAll("p1", true);
    fleet.Apply("body 2");
    fleet.simulation.RunFor(Milliseconds(3000));
    fleet.SetPlatformDown(true);
    fleet.network.SetCut("p1", "p2", false);
    fleet.network.SetCut("p2", "p1", false);
    fleet.Restart(2);
    fleet.simulation.RunFor(Milliseconds(8000));
    CHECK(fleet.Revision(2) == 1);
    CHECK(fleet.Ready(2));
  }
}

TEST_CASE("a store restored from an older copy is repaired and its lower revision is not activated")
{
  ConfigurationFleet fleet(3);
  fleet.Apply("body 1");
  fleet.simulation.RunFor(Milliseconds(2000));
  const FakeStore olderCopy = fleet.store;
  fleet.Apply("body 2");
  fleet.simulation.RunFor(Milliseconds(2000));
  REQUIRE(fleet.Revision(0) == 2);
  fleet.store = olderCopy;

  SUBCASE("head, body and revision row are written back")
  {
    fleet.simulation.RunFor(Milliseconds(5000));
    const auto head = DecodeHead(fleet.store.rows[std::string(kHeadKey)].value);
    CHECK(head->revision == 2);
    CHECK(head->changeId == "change-" + Sha256Hex("body 2"));
    CHECK(fleet.store.objects[ConfigurationObjectName(Sha256Hex("body 2"))] == "body 2");
    CHECK(DecodeRevision(fleet.store.rows[RevisionKey(2)].value)->digest == head->digest);
    uint64_t repairs = 0;
    for (const auto& proxy : fleet.proxies) {
      CHECK(proxy.sync->Stats().regressions == 1);
      repairs += proxy.sync->Stats().repairs;
    }
    CHECK(repairs == 1);
  }

  SUBCASE("a new proxy activates the higher revision of its peers")
  {
    for (auto& proxy : fleet.proxies) {
      proxy.platform->fault = [](bool aWrite) { return aWrite ? Fault::Refused : Fault::None; };
    }
    fleet.Restart(1);
    fleet.simulation.RunFor(Milliseconds(4000));
    CHECK(fleet.Revision(1) == 2);
  }

  SUBCASE("a change accepted by the restored store is a fork and is not activated")
  {
    CHECK(fleet.Apply("body 2b") == 2);
    fleet.simulation.RunFor(Milliseconds(10000));
    CHECK(fleet.proxies[0].sync->Body() == "body 2");
    CHECK(fleet.proxies[0].sync->Stats().forks == 1);
    fleet.Apply("body 3");
    fleet.simulation.RunFor(Milliseconds(1300));
    CHECK(fleet.proxies[0].sync->Body() == "body 3");
  }
}

#include <doctest/doctest.h>

#include <algorithm>

#include "boragegauge/coordination.h"
#include "fake_platform.h"

using namespace bg;
using namespace bg::test;

TEST_CASE("records are stored in batches, also after failed uploads")
{
  Simulation simulation;
  FakeStore store;
  FakePlatform platform(simulation, store);
  RecordRing ring({ "p1", "7", "xela-a", 100, Milliseconds(10000) });
  RecordUploader uploader(
    { .host = "p1", .incarnation = 7, .platform = &platform, .ring = &ring, .wallClockMs = [&] {
       return simulation.ElapsedMs();
     } });
  simulation.Every(Milliseconds(100), [&] { uploader.Tick(simulation.Now()); });
  const auto add = [&](int aCount) {
    for (int i = 0; i < aCount; ++i) {
      DecisionRecord record;
      record.kind = DecisionKind::Ejection;
      ring.Add(record, simulation.ElapsedMs());
    }
  };
  const auto lines = [&] {
    int64_t count = 0;
    for (const auto& [name, text] : store.objects) {
      count += std::count(text.begin(), text.end(), '\n');
    }
    return count;
  };

  simulation.RunFor(Milliseconds(20000));
  CHECK(store.objects.empty());

  add(3);
  simulation.RunFor(Milliseconds(6000));
  REQUIRE(store.objects.size() == 1);
  CHECK(store.objects.begin()->first == "decisions/p1/7-00000001");
  CHECK(lines() == 3);

  SUBCASE("an outage keeps the records")
  {
    platform.down = true;
    add(2);
    simulation.RunFor(Milliseconds(30000));
    CHECK(uploader.Stats().failures > 0);
    platform.down = false;
    simulation.RunFor(Milliseconds(6000));
    CHECK(lines() == 5);
  }

  SUBCASE("an upload whose response was lost is overwritten and not duplicated")
  {
    platform.fault = [](bool) { return Fault::Lost; };
    add(2);
    simulation.RunFor(Milliseconds(8000));
    platform.fault = nullptr;
    add(1);
    simulation.RunFor(Milliseconds(8000));
    CHECK(store.objects.size() == 2);
    CHECK(lines() == 6);
  }

  SUBCASE("a flush does not wait for the interval")
  {
    add(1);
    uploader.Flush();
    CHECK(uploader.Busy());
    simulation.RunFor(Milliseconds(10));
    CHECK_FALSE(uploader.Busy());
    CHECK(lines() == 4);
  }
}

#include <doctest/doctest.h>

#include "slot_fleet.h"

using namespace bg;
using namespace bg::fleet;
using namespace bg::fleet::detail;
using bg::placement::Outcome;

TEST_CASE("hosts that share the slots of a service")
{
  SlotFleet fleet(4, 4, 1);
  const std::string allocator = fleet.AllocatorHost();
  const std::string one = fleet.OtherHost();
  const std::string two = fleet.OtherHost(one);

  SUBCASE("never get the same slot")
  {
    std::set<std::string> upstreams;
    for (const auto& [name, host] : fleet.hosts) {
      upstreams.insert(fleet.Granted(name, fleet.Acquire(name)));
    }
    CHECK(upstreams.size() == 4);
    SUBCASE("and the next request waits for a slot that ends at another host")
    {
      const uint64_t waiting = fleet.Acquire(one);
      CHECK(fleet.Granted(one, waiting).empty());
      fleet.Release(two, 1);
      CHECK_FALSE(fleet.Granted(one, waiting).empty());
    }
    SUBCASE("and a queue longer than the deadline is refused with a time to come back")
    {
      uint64_t last = 0;
      for (int i = 0; i < 60; ++i) {
        last = fleet.Acquire(one);
      }
      const SlotResult& result = fleet.hosts.at(one).results.at(last);
      CHECK_FALSE(result.isGranted);
      CHECK(result.reason == "overload");
      CHECK(result.retryAfter > std::chrono::seconds(1));
    }
  }
  SUBCASE("share what they see of an upstream at once")
  {
    // Guards against each host learning of a gray upstream by failures of its own.
    const uint64_t failed = fleet.Acquire(one);
    const std::string gray = fleet.Granted(one, failed);
    fleet.Release(one, failed, Outcome::Failed);
    for (int i = 0; i < 3; ++i) {
      CHECK(fleet.Granted(two, fleet.Acquire(two)) != gray);
    }
  }
  SUBCASE("keep what is known of an upstream when the allocator dies")
  {
    // Guards against a successor that sends work to an upstream that is known to fail.
    const uint64_t failed = fleet.Acquire(one);
    const std::string gray = fleet.Granted(one, failed);
    fleet.Release(one, failed, Outcome::Failed);
    fleet.Pass(Milliseconds(600));
    fleet.dead.insert(allocator);
    for (int i = 0; i < 3; ++i) {
      const uint64_t request = fleet.Acquire(two);
      fleet.Pass(Milliseconds(80));
      CHECK(fleet.Granted(two, request) != gray);
    }
  }
  SUBCASE("ask the next allocator when the first one is silent")
  {
    fleet.dead.insert(allocator);
    const uint64_t request = fleet.Acquire(one);
    CHECK(fleet.Granted(one, request).empty());
    fleet.Pass(Milliseconds(80));
    CHECK_FALSE(fleet.Granted(one, request).empty());
    SUBCASE("which learns the slots that are held")
    {
      fleet.Pass(Milliseconds(80));
      const uint64_t second = fleet.Acquire(two);
      fleet.Pass(Milliseconds(80));
      CHECK_FALSE(fleet.Granted(two, second).empty());
      CHECK(fleet.Granted(two, second) != fleet.Granted(one, request));
    }
  }
  SUBCASE("place requests themselves when no allocator answers")
  {
    for (const auto& [name, host] : fleet.hosts) {
      if (name != one) {
        fleet.dead.insert(name);
      }
    }
    const uint64_t request = fleet.Acquire(one);
    fleet.Pass(Milliseconds(200));
    CHECK_FALSE(fleet.Granted(one, request).empty());
  }
  SUBCASE("do not send to an upstream that they know to be leaving")
  {
    // Guards against an allocator whose registry is older than the host's.
    RegisteredUpstream only;
    only.id = "upstream0";
    only.service = "desk";
    only.isDraining = true;
    SlotFleet::Host& host = fleet.hosts.at(one);
    const EntryChange entry{ only.id, only };
    host.registry->Replace({ &entry, 1 }, 9, fleet.now);
    host.slots->Update(fleet.now);
    const uint64_t request = fleet.Acquire(one);
    CHECK(fleet.Granted(one, request).empty());
  }
  SUBCASE("give a waiting request up when its caller has gone")
  {
    for (int i = 0; i < 4; ++i) {
      fleet.Acquire(one);
    }
    const uint64_t gone = fleet.Acquire(two);
    fleet.Release(two, gone, Outcome::Cancelled);
    fleet.Release(one, 1);
    CHECK(fleet.Granted(two, gone).empty());
    CHECK_FALSE(fleet.Granted(one, fleet.Acquire(one)).empty());
  }
  SUBCASE("keep a queued request when its allocator dies")
  {
    for (int i = 0; i < 4; ++i) {
      fleet.Acquire(one);
    }
    const uint64_t waiting = fleet.Acquire(two);
    fleet.dead.insert(allocator);
    fleet.Pass(Milliseconds(500));
    CHECK_FALSE(fleet.Granted(two, waiting).empty());
  }
}

TEST_CASE("messages between hosts")
{
  SUBCASE("that cannot be read are refused")
  {
    CHECK_FALSE(ParseEnvelope("\xff\xff\xff"));
    CHECK_FALSE(ParseEnvelope(""));
  }
  SUBCASE("without an address to answer to are refused")
  {
    wire::Envelope envelope;
    envelope.mutable_sender()->set_host("one");
    CHECK_FALSE(ParseEnvelope(envelope.SerializeAsString()));
  }
}

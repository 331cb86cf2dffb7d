#include <doctest/doctest.h>

#include <thread>

#include "control_host.h"
#include "raw_tcp.h"

using namespace bg;
using namespace bg::fleet;
using namespace bg::fleet::detail;
using namespace bg::fleet::test;
using bg::test::Eventually;

namespace {

/// A configuration of some 200 KB. Two revisions differ in their first line only.
std::string LargeConfiguration(uint64_t aRevision)
{
  std::string document = std::to_string(aRevision) + "\n";
  for (uint64_t route = 0; route < 4000; ++route) {
    document +=
      "{\"route\":\"" + std::to_string(Hash64("route", route)) + "\",\"timeout\":\"2s\"},";
  }
  return document;
}

} // namespace

TEST_CASE("a configuration reaches hosts with limited access to the store")
{
  FakeTables tables;
  tables.Put(kConfigurationTable, "current", "1");
  tables.Put(kUpstreamTable, "one", "ready");
  const uint16_t port = FreePort();

  SUBCASE("over a link that takes two seconds for a large configuration")
  {
    // With a shorter deadline, a host with a slow link cancels and repeats the read forever.
    ControlHost host(tables, "narrow", 2, port);
    host.faults.readDelayMs = 2000;
    CHECK(Eventually([&] { return host.Revision() == 1; }));
  }
  SUBCASE("while the store refuses the host that watches for the fleet")
  {
    // Without a fallback to the other hosts, the fleet misses the change while that watch fails.
    constexpr Duration kActivationLimit = std::chrono::seconds(2);
    ControlHost one(tables, "one", 3, port);
    ControlHost two(tables, "two", 4, port);
    const auto revisionIs = [&](uint64_t aRevision) {
      return Eventually([&] { return one.Revision() == aRevision && two.Revision() == aRevision; });
    };
    REQUIRE(revisionIs(1));
    uint64_t revision = 1;
    for (ControlHost* refused : { &one, &two }) {
      refused->faults.refuses = true;
      tables.Put(kConfigurationTable, "current", std::to_string(++revision));
      const TimePoint changedAt = Now();
      CHECK(revisionIs(revision));
      CHECK(Now() - changedAt < kActivationLimit);
      refused->faults.refuses = false;
    }
  }
}

TEST_CASE("a change of a large configuration reaches a host that cannot read the document in time")
{
  constexpr Duration kActivationLimit = std::chrono::seconds(2);
  FakeTables tables;
  tables.Put(kConfigurationTable, "current", LargeConfiguration(1));
  tables.Put(kUpstreamTable, "one", "ready");
  const uint16_t port = FreePort();
  ControlHost one(tables, "one", 3, port);
  ControlHost two(tables, "two", 4, port);
  const auto isActive = [&](uint64_t aRevision) {
    return Eventually([&] { return one.Revision() == aRevision && two.Revision() == aRevision; });
  };
  REQUIRE(isActive(1));
  // Either host may be the one that reads the store for the fleet.
  uint64_t revision = 1;
  const auto changeWhile = [&](const std::function<void(FakeFaults&, bool)>& aSetFault) {
    for (ControlHost* limited : { &one, &two }) {
      aSetFault(limited->faults, true);
      tables.Put(kConfigurationTable, "current", LargeConfiguration(++revision));
      const TimePoint changedAt = Now();
      CHECK(isActive(revision));
      CHECK(Now() - changedAt < kActivationLimit);
      aSetFault(limited->faults, false);
    }
  };
  SUBCASE("because the store refuses it")
  {
    changeWhile([](FakeFaults& aFaults, bool aIsOn) { aFaults.refuses = aIsOn; });
  }
  SUBCASE("because its calls get no response")
  {
    changeWhile([](FakeFaults& aFaults, bool aIsOn) { aFaults.hangs = aIsOn; });
  }
  SUBCASE("because of its slow network link")
  {
    changeWhile([](FakeFaults& aFaults, bool aIsOn) { aFaults.readDelayMs = aIsOn ? 3000 : 0; });
  }
}

TEST_CASE("a watch over a slow network link delivers a large configuration")
{
  // A watch that is given up is followed by a read, which transfers the document once more.
  FakeTables tables;
  tables.Put(kConfigurationTable, "current", LargeConfiguration(1));
  tables.Put(kUpstreamTable, "one", "ready");
  ControlHost host(tables, "narrow", 2, FreePort());
  REQUIRE(Eventually([&] { return host.Revision() == 1 && host.GrantsSlotOf("one"); }));
  const int readsBefore = host.faults.reads;
  host.faults.rowDelayMs = 700;
  host.faults.readDelayMs = 700;
  tables.Put(kConfigurationTable, "current", LargeConfiguration(2));
  CHECK(Eventually([&] { return host.Revision() == 2; }));
  CHECK(host.faults.reads == readsBefore);
}

TEST_CASE("a host that the store refuses does not call it in a loop")
{
  // Otherwise the calls of refused hosts use up the rate that the store grants to the fleet.
  FakeTables tables;
  tables.Put(kConfigurationTable, "current", LargeConfiguration(1));
  tables.Put(kUpstreamTable, "one", "ready");
  const uint16_t port = FreePort();
  ControlHost one(tables, "one", 3, port);
  ControlHost two(tables, "two", 4, port);
  REQUIRE(Eventually([&] { return one.Revision() == 1 && two.Revision() == 1; }));
  one.faults.refuses = true;
  const int callsBefore = one.faults.reads + one.faults.watches;
  tables.Put(kConfigurationTable, "current", LargeConfiguration(2));
  std::this_thread::sleep_for(std::chrono::seconds(3));
  CHECK(one.faults.reads + one.faults.watches - callsBefore <= 9);
}

TEST_CASE("a configuration that is not activated is read once")
{
  // Otherwise hosts read it again and again, from the store or as the newer one of a peer.
  FakeTables tables;
  tables.Put(kConfigurationTable, "current", "2");
  tables.Put(kUpstreamTable, "one", "ready");
  const uint16_t port = FreePort();
  ControlHost one(tables, "one", 3, port);
  ControlHost two(tables, "two", 4, port);
  REQUIRE(Eventually([&] { return one.Revision() == 2 && two.Revision() == 2; }));
  const auto calls = [&] {
    return one.faults.reads + one.faults.watches + two.faults.reads + two.faults.watches;
  };
  const auto callsOfTwoSeconds = [&] {
    const int before = calls();
    std::this_thread::sleep_for(std::chrono::seconds(2));
    return calls() - before;
  };
  // Four watches of the upstreams, three of the configuration and two of the members, and some more
  // when the host that reads for both changes.
  constexpr int kUsualCalls = 16;
  CHECK(callsOfTwoSeconds() <= kUsualCalls);
  SUBCASE("because it cannot be read")
  {
    tables.Put(kConfigurationTable, "current", "unreadable");
    CHECK(callsOfTwoSeconds() <= kUsualCalls);
  }
  SUBCASE("because its revision is in force already")
  {
    tables.Put(kConfigurationTable, "current", "2");
    CHECK(callsOfTwoSeconds() <= kUsualCalls);
    SUBCASE("although a restarted host has activated it")
    {
      ControlHost three(tables, "three", 5, port);
      REQUIRE(Eventually([&] { return three.Revision() == 2; }));
      CHECK(callsOfTwoSeconds() <= kUsualCalls);
    }
  }
  tables.Put(kConfigurationTable, "current", "3");
  CHECK(Eventually([&] { return one.Revision() == 3 && two.Revision() == 3; }));
}

TEST_CASE("changes of upstreams reach all hosts")
{
  FakeTables tables;
  tables.Put(kConfigurationTable, "current", "1");
  tables.Put(kUpstreamTable, "one", "ready");
  const uint16_t port = FreePort();
  ControlHost one(tables, "one", 3, port);
  ControlHost two(tables, "two", 4, port);
  REQUIRE(Eventually([&] { return one.GrantsSlotOf("one") && two.GrantsSlotOf("one"); }));
  SUBCASE("when one is replaced by another")
  {
    tables.Put(kUpstreamTable, "two", "ready");
    tables.Put(kUpstreamTable, "one", "draining");
    CHECK(Eventually([&] { return one.GrantsSlotOf("two") && two.GrantsSlotOf("two"); }));
    // Changes are read one by one; whole tables are read only at the start.
    CHECK(one.faults.reads + two.faults.reads <= 8);
  }
  SUBCASE("when the store no longer has the change in its history")
  {
    tables.Put(kUpstreamTable, "two", "ready");
    tables.Remove(kUpstreamTable, "one");
    tables.DropHistory();
    CHECK(Eventually([&] { return one.GrantsSlotOf("two") && two.GrantsSlotOf("two"); }));
  }
}

TEST_CASE("a restarted host")
{
  FakeTables tables;
  tables.Put(kConfigurationTable, "current", "1");
  tables.Put(kUpstreamTable, "one", "ready");
  const uint16_t port = FreePort();
  const auto isServing = [](ControlHost& aHost) {
    return Eventually([&] { return aHost.Revision() == 1 && aHost.GrantsSlotOf("one"); });
  };
  {
    ControlHost earlier(tables, "again", 2, port);
    REQUIRE(isServing(earlier));
    CHECK(Eventually([&] { return earlier.faults.writes == 1; }));
  }
  SUBCASE("does not write its row again")
  {
    // Otherwise all hosts write to the store when they restart together after a failure.
    ControlHost host(tables, "again", 2, port);
    CHECK(isServing(host));
    CHECK(Eventually([&] { return host.faults.reads >= 3; }));
    CHECK(host.faults.writes == 0);
  }
  SUBCASE("writes its row if its address has changed")
  {
    ControlHost host(tables, "again", 3, port);
    CHECK(Eventually([&] { return host.faults.writes == 1; }));
  }
  SUBCASE("makes one call at a time while the store is unavailable")
  {
    // Otherwise all hosts flood the store with calls, each of which is charged and may be refused.
    ControlHost host(tables, "again", 2, port, true);
    std::this_thread::sleep_for(std::chrono::seconds(3));
    CHECK(host.faults.reads + host.faults.writes + host.faults.watches <= 9);
    host.faults.refuses = false;
    CHECK(isServing(host));
  }
}

TEST_CASE("a host that joins a fleet gets the upstreams from a peer")
{
  // Otherwise each start of many hosts reads the whole table as often.
  FakeTables tables;
  tables.Put(kConfigurationTable, "current", "1");
  tables.Put(kUpstreamTable, "one", "ready");
  const uint16_t port = FreePort();
  std::vector<std::string> names;
  names.reserve(8);
  for (int i = 0; i < 8; ++i) {
    names.push_back("host" + std::to_string(i));
  }
  std::vector<std::unique_ptr<ControlHost>> hosts;
  hosts.reserve(8);
  for (int i = 0; i < 8; ++i) {
    hosts.push_back(std::make_unique<ControlHost>(tables, names[i], 10 + i, port));
  }
  for (const auto& host : hosts) {
    REQUIRE(Eventually([&] { return host->Revision() == 1 && host->GrantsSlotOf("one"); }));
  }
  // The first hosts in the order read the table; the joining one comes after them.
  std::string joining = "joining";
  const auto order = [&names](const std::string& aHost) {
    overlay::DisseminationTree tree({ aHost, "a" });
    for (const std::string& name : names) {
      tree.Add(name, "a");
    }
    return tree.Order();
  };
  while (order(joining) < 6) {
    joining += "+";
  }
  ControlHost host(tables, joining, 18, port, false, 4);
  CHECK(Eventually([&] { return host.Revision() == 1 && host.GrantsSlotOf("one"); }));
  // The members before and after it registers, and the configuration.
  CHECK(host.faults.reads <= 3);
  SUBCASE("and changes from then on")
  {
    tables.Put(kUpstreamTable, "two", "ready");
    tables.Put(kUpstreamTable, "one", "draining");
    tables.Put(kConfigurationTable, "current", "2");
    CHECK(Eventually([&] { return host.Revision() == 2 && host.GrantsSlotOf("two"); }));
    CHECK(host.faults.reads <= 3);
  }
}

TEST_CASE("a host does not serve from stale state after a pause of its process")
{
  // Otherwise requests are routed by a configuration that was replaced during the pause.
  FakeTables tables;
  tables.Put(kConfigurationTable, "current", "1");
  tables.Put(kUpstreamTable, "one", "ready");
  ControlHost host(tables, "paused", 2, FreePort());
  REQUIRE(Eventually([&] { return host.Revision() == 1 && host.GrantsSlotOf("one"); }));
  host.faults.readDelayMs = 200;
  host.loop->Post([] { std::this_thread::sleep_for(Milliseconds(1300)); });
  tables.Put(kConfigurationTable, "current", "2");
  CHECK(Eventually([&] { return host.hasDetectedPause.load(); }));
  CHECK(Eventually([&] { return host.shared.isStateConfirmed.load(); }));
  CHECK(host.Revision() == 2);
}

TEST_CASE("a read from before a pause of the process does not delay the one after it")
{
  FakeTables tables;
  tables.Put(kConfigurationTable, "current", "1");
  tables.Put(kUpstreamTable, "one", "ready");
  ControlHost host(tables, "paused", 2, FreePort());
  REQUIRE(Eventually([&] { return host.Revision() == 1 && host.GrantsSlotOf("one"); }));
  const int readsBefore = host.faults.reads;
  host.faults.hangs = true;
  // The watch is given up, and the read that follows it hangs.
  REQUIRE(Eventually([&] { return host.faults.reads > readsBefore; }));
  host.loop->Post([] { std::this_thread::sleep_for(Milliseconds(1300)); });
  host.faults.hangs = false;
  tables.Put(kConfigurationTable, "current", "2");
  CHECK(Eventually([&] { return host.hasDetectedPause.load(); }));
  CHECK(Eventually([&] { return host.shared.isStateConfirmed.load(); }));
  CHECK(host.Revision() == 2);
}

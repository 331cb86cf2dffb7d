#include <doctest/doctest.h>

#include <thread>

#include "control_host.h"
#include "raw_tcp.h"

using namespace bg;
using namespace bg::fleet;
using namespace bg::fleet::test;
using bg::test::Eventually;

namespace {

/// Two hosts and a store that comes back from a copy which lacks the last change.
class RestoredFleet
{
public:
  static constexpr Duration kActivationLimit = std::chrono::seconds(2);

  RestoredFleet()
  {
    tables.Put(kConfigurationTable, "current", "1");
    tables.Put(kUpstreamTable, "one", "ready");
    one = std::make_unique<ControlHost>(tables, "one", 3, port_);
    two = std::make_unique<ControlHost>(tables, "two", 4, port_);
    REQUIRE(IsActive(1));
    REQUIRE(Eventually([this] { return one->GrantsSlotOf("one") && two->GrantsSlotOf("one"); }));
    REQUIRE(Eventually(
      [this] { return tables.Contains("members", "one") && tables.Contains("members", "two"); }));
    tables.SaveCopy();
    tables.Put(kConfigurationTable, "current", "5");
    REQUIRE(IsActive(5));
  }

  bool IsActive(uint64_t aRevision)
  {
    return Eventually([&] { return one->Revision() == aRevision && two->Revision() == aRevision; });
  }

  /// Whether a new configuration becomes active at all hosts in time.
  bool Activates(const std::string& aRevision)
  {
    tables.Put(kConfigurationTable, "current", aRevision);
    const TimePoint changedAt = Now();
    return IsActive(std::stoull(aRevision)) && Now() - changedAt < kActivationLimit;
  }

  void RefuseCalls(bool aRefuse)
  {
    one->faults.refuses = aRefuse;
    two->faults.refuses = aRefuse;
  }

  int Calls() const
  {
    return one->faults.reads + one->faults.watches + two->faults.reads + two->faults.watches;
  }

  std::unique_ptr<ControlHost> Start(const std::string& aName, int aNumber)
  {
    return std::make_unique<ControlHost>(tables, aName, aNumber, port_);
  }

  FakeTables tables;
  std::unique_ptr<ControlHost> one;
  std::unique_ptr<ControlHost> two;

private:
  uint16_t port_ = FreePort();
};

} // namespace

TEST_CASE("a change after a restore of the store is active in time although its version was used")
{
  RestoredFleet fleet;
  SUBCASE("by a lost change")
  {
    fleet.tables.RestoreCopy();
    CHECK(fleet.Activates("7"));
  }
  SUBCASE("and versions have passed the old ones before a host looks again")
  {
    fleet.RefuseCalls(true);
    fleet.tables.RestoreCopy();
    fleet.tables.Put(kConfigurationTable, "current", "7");
    for (int i = 0; i < 20; ++i) {
      fleet.tables.Put(kUpstreamTable, "one", "ready");
    }
    fleet.RefuseCalls(false);
    CHECK(fleet.IsActive(7));
    CHECK(fleet.Activates("8"));
  }
  SUBCASE("after two restores")
  {
    fleet.tables.RestoreCopy();
    CHECK(fleet.Activates("7"));
    fleet.tables.RestoreCopy();
    CHECK(fleet.Activates("9"));
  }
  SUBCASE("and the store refuses one of the hosts")
  {
    fleet.one->faults.refuses = true;
    fleet.tables.RestoreCopy();
    CHECK(fleet.Activates("7"));
    fleet.one->faults.refuses = false;
    fleet.two->faults.refuses = true;
    CHECK(fleet.Activates("8"));
  }
}

TEST_CASE("a change of the upstreams after a restore of the store reaches all hosts")
{
  RestoredFleet fleet;
  fleet.tables.Put(kUpstreamTable, "unused", "draining");
  std::this_thread::sleep_for(std::chrono::seconds(1));
  fleet.tables.RestoreCopy();
  fleet.tables.Put(kUpstreamTable, "two", "ready");
  fleet.tables.Put(kUpstreamTable, "one", "draining");
  CHECK(
    Eventually([&] { return fleet.one->GrantsSlotOf("two") && fleet.two->GrantsSlotOf("two"); }));
}

TEST_CASE("hosts do not read a restored store in a loop")
{
  RestoredFleet fleet;
  fleet.tables.RestoreCopy();
  std::this_thread::sleep_for(std::chrono::seconds(1));
  const int callsBefore = fleet.Calls();
  std::this_thread::sleep_for(std::chrono::seconds(2));
  // Four watches of the upstreams, three of the configuration and two of the members, and some more
  // when the host that reads for both changes.
  CHECK(fleet.Calls() - callsBefore <= 16);
}

TEST_CASE("the configuration in force does not go back with a restored store")
{
  RestoredFleet fleet;
  fleet.tables.RestoreCopy();
  std::this_thread::sleep_for(std::chrono::seconds(1));
  CHECK(fleet.one->Revision() == 5);
  CHECK(fleet.two->Revision() == 5);
  SUBCASE("and a host that starts prefers that of its peers")
  {
    SUBCASE("which answer at once") {}
    SUBCASE("which take a while to answer")
    {
      for (const auto* host : { fleet.one.get(), fleet.two.get() }) {
        host->loop->Post([] { std::this_thread::sleep_for(Milliseconds(180)); });
      }
    }
    const auto three = fleet.Start("three", 5);
    REQUIRE(Eventually([&] { return three->firstRevision != 0; }));
    CHECK(three->firstRevision.load() == 5);
    CHECK(three->Revision() == 5);
  }
}

TEST_CASE("a host whose row a restored store has lost registers again")
{
  RestoredFleet fleet;
  const auto three = fleet.Start("three", 5);
  REQUIRE(Eventually([&] { return fleet.tables.Contains("members", "three"); }));
  std::this_thread::sleep_for(Milliseconds(500));
  fleet.tables.RestoreCopy();
  REQUIRE_FALSE(fleet.tables.Contains("members", "three"));
  CHECK(Eventually([&] { return fleet.tables.Contains("members", "three"); }));
}

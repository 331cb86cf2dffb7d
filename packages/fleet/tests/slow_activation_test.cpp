#include <doctest/doctest.h>

#include <algorithm>
#include <thread>

#include "control_host.h"
#include "raw_tcp.h"

using namespace bg;
using namespace bg::fleet;
using namespace bg::fleet::detail;
using namespace bg::fleet::test;
using bg::test::Eventually;

namespace {

/// Bound of the users: a change is in force this long after it was acknowledged.
constexpr Duration kActivationLimit = std::chrono::seconds(2);
/// What hosts with a tenth of a core need for some thousand routes when they are busy.
constexpr int kActivationMs = 700;
/// Hosts of the second failure domain: 16 heads, and leaves that have different pairs of parents.
constexpr int kDomainHosts = 24;

std::string HostName(int aIndex)
{
  return "b" + std::to_string(aIndex);
}

size_t Depth(const std::string& aHost)
{
  overlay::DisseminationTree tree({ aHost, "b" });
  for (int i = 0; i < kDomainHosts; ++i) {
    tree.Add(HostName(i), "b");
  }
  return tree.Depth();
}

} // namespace

TEST_CASE("a change is in force in time although hosts on its way need long to activate it")
{
  FakeTables tables;
  tables.Put(kConfigurationTable, "current", "1");
  tables.Put(kUpstreamTable, "one", "ready");
  const uint16_t port = FreePort();
  ControlHost reader(tables, "reader", 2, port, false, 150, "a");
  std::vector<std::unique_ptr<ControlHost>> hosts;
  hosts.reserve(kDomainHosts);
  for (int i = 0; i < kDomainHosts; ++i) {
    hosts.push_back(
      std::make_unique<ControlHost>(tables, HostName(i), 10 + i, port, false, 150, "b"));
  }
  const auto isActive = [&](uint64_t aRevision) {
    return Eventually([&] {
      return reader.Revision() == aRevision &&
             std::all_of(hosts.begin(), hosts.end(), [&](const auto& aHost) {
               return aHost->Revision() == aRevision;
             });
    });
  };
  REQUIRE(isActive(1));
  for (const auto& host : hosts) {
    host->faults.refuses = true; // The change has to come from the other failure domain.
  }
  std::this_thread::sleep_for(std::chrono::seconds(4)); // No host follows the reader any longer.

  const auto timeOfChange = [&] {
    tables.Put(kConfigurationTable, "current", "2");
    const TimePoint changedAt = Now();
    REQUIRE(isActive(2));
    return Now() - changedAt;
  };
  SUBCASE("at hosts that are as slow")
  {
    reader.activationMs = kActivationMs;
    for (const auto& host : hosts) {
      host->activationMs = kActivationMs;
    }
    CHECK(timeOfChange() < kActivationLimit);
  }
  SUBCASE("at strong hosts that get it from slow ones")
  {
    reader.activationMs = kActivationMs;
    for (int i = 0; i < kDomainHosts; ++i) {
      hosts[static_cast<size_t>(i)]->activationMs = Depth(HostName(i)) == 0 ? kActivationMs : 0;
    }
    CHECK(timeOfChange() < kActivationLimit);
  }
}

TEST_CASE("a host that was paused does not read a large configuration again that has not changed")
{
  FakeTables tables;
  tables.Put(kConfigurationTable, "current", "1");
  tables.Put(kUpstreamTable, "one", "ready");
  ControlHost host(tables, "paused", 2, FreePort());
  REQUIRE(Eventually([&] { return host.Revision() == 1 && host.GrantsSlotOf("one"); }));
  const int readsBefore = host.faults.reads;
  host.faults.readDelayMs = 3000; // A table takes this long over the link of the host.
  host.loop->Post([] { std::this_thread::sleep_for(Milliseconds(1300)); });
  CHECK(Eventually([&] { return host.hasDetectedPause.load(); }));
  const TimePoint resumedAt = Now();
  CHECK(Eventually([&] { return host.shared.isStateConfirmed.load(); }));
  CHECK(Now() - resumedAt < Milliseconds(500));
  CHECK(host.faults.reads == readsBefore);
  SUBCASE("and gets a change of the time in which it was paused")
  {
    host.hasDetectedPause = false;
    host.loop->Post([] { std::this_thread::sleep_for(Milliseconds(1300)); });
    tables.Put(kConfigurationTable, "current", "2");
    CHECK(Eventually([&] { return host.hasDetectedPause.load(); }));
    CHECK(Eventually([&] { return host.shared.isStateConfirmed.load(); }));
    CHECK(host.Revision() == 2);
  }
  SUBCASE("unless the store has forgotten what has changed meanwhile")
  {
    host.faults.readDelayMs = 0;
    host.loop->Post([] { std::this_thread::sleep_for(Milliseconds(1300)); });
    tables.Put(kConfigurationTable, "current", "2");
    tables.DropHistory();
    CHECK(Eventually([&] { return host.Revision() == 2; }));
  }
}

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
/// Hosts of each of two failure domains: 16 heads and 8 leaves.
constexpr int kDomainHosts = 24;
constexpr int kFirstAddress = 10;

/// After it, connections and subscriptions from the start are gone.
constexpr Duration kQuietTime = std::chrono::seconds(12);

constexpr Duration kCutTime = Milliseconds(5500);
/// A host counts this long after a cut before the bound of the change that follows ends.
constexpr Duration kSettleTime = std::chrono::seconds(1);
constexpr uint16_t kPort = 7000;

std::string HostName(int aIndex)
{
  return (aIndex < kDomainHosts ? "a" : "b") + std::to_string(aIndex);
}

std::string Domain(int aIndex)
{
  return aIndex < kDomainHosts ? "a" : "b";
}

std::string Address(int aIndex)
{
  return "127.0.0." + std::to_string(kFirstAddress + aIndex);
}

overlay::DisseminationTree Tree(int aIndex)
{
  overlay::DisseminationTree tree({ HostName(aIndex), Domain(aIndex) });
  for (int i = 0; i < 2 * kDomainHosts; ++i) {
    tree.Add(HostName(i), Domain(i));
  }
  return tree;
}

/// Two failure domains whose hosts take some time to connect to each other.
struct Fleet
{
  explicit Fleet(Duration aConnectTime)
  {
    network.connectTime = aConnectTime;
    tables.Put(kConfigurationTable, "current", "1");
    tables.Put(kUpstreamTable, "one", "ready");
    for (int i = 0; i < 2 * kDomainHosts; ++i) {
      hosts.push_back(std::make_unique<ControlHost>(
        tables, HostName(i), kFirstAddress + i, kPort, false, 150, Domain(i), &network));
    }
  }

  bool Has(uint64_t aRevision) const
  {
    return std::all_of(hosts.begin(), hosts.end(), [&](const auto& aHost) {
      return aHost->Revision() == aRevision;
    });
  }

  /// Messages from their parents to the hosts below the heads are lost, and the store turns these
  /// hosts away.
  void OrphanLeaves()
  {
    std::set<std::pair<std::string, std::string>> lost;
    for (int i = 0; i < 2 * kDomainHosts; ++i) {
      const overlay::DisseminationTree tree = Tree(i);
      for (const std::string& parent : tree.Parents()) {
        lost.emplace(Address(std::stoi(parent.substr(1))), Address(i));
      }
      hosts[static_cast<size_t>(i)]->faults.refuses = !tree.Parents().empty();
    }
    network.Change([&](FakePeerNetwork& aNetwork) {
      aNetwork.isLost = [=](const std::string& aFrom, const std::string& aTo) {
        return lost.contains({ aFrom, aTo });
      };
    });
  }

  /// Addresses of the hosts below the heads.
  static std::set<std::string> Leaves()
  {
    std::set<std::string> leaves;
    for (int i = 0; i < 2 * kDomainHosts; ++i) {
      if (Tree(i).Depth() > 0) {
        leaves.insert(Address(i));
      }
    }
    return leaves;
  }

  FakePeerNetwork network;
  FakeTables tables;
  std::vector<std::unique_ptr<ControlHost>> hosts;
};

} // namespace

// Questions and answers were dropped if a connection was not ready within 20 ms.
TEST_CASE("hosts whose parents are gone and that the store turns away get a change in time")
{
  Fleet fleet(Milliseconds(200));
  REQUIRE(Eventually([&] { return fleet.Has(1); }));
  std::this_thread::sleep_for(kQuietTime);
  fleet.OrphanLeaves();
  fleet.tables.Put(kConfigurationTable, "current", "2");
  const TimePoint changedAt = Now();
  CHECK(Eventually([&] { return fleet.Has(2); }));
  CHECK(Now() - changedAt < kActivationLimit);
}

// Connections that were opened during a cut waited for seconds before they were tried again.
TEST_CASE("hosts that were cut off and that the store turns away get the next change in time")
{
  Fleet fleet(Milliseconds(50));
  REQUIRE(Eventually([&] { return fleet.Has(1); }));
  std::this_thread::sleep_for(kQuietTime);
  const std::set<std::string> cutOff = fleet.Leaves();
  for (int i = 0; i < 2 * kDomainHosts; ++i) {
    fleet.hosts[static_cast<size_t>(i)]->faults.refuses = cutOff.contains(Address(i));
  }
  fleet.network.Change([&](FakePeerNetwork& aNetwork) {
    aNetwork.isLost = [=](const std::string& aFrom, const std::string& aTo) {
      return cutOff.contains(aFrom) || cutOff.contains(aTo);
    };
  });
  std::this_thread::sleep_for(kCutTime);
  fleet.network.Change([](FakePeerNetwork& aNetwork) { aNetwork.isLost = nullptr; });
  std::this_thread::sleep_for(kSettleTime);
  fleet.tables.Put(kConfigurationTable, "current", "2");
  const TimePoint changedAt = Now();
  CHECK(Eventually([&] { return fleet.Has(2); }));
  CHECK(Now() - changedAt < kActivationLimit);
}

// The question was sent as the connection to the seed was opened, and dropped.
TEST_CASE("a host that starts and that the store turns away is answered by a seed at once")
{
  FakePeerNetwork network;
  network.connectTime = Milliseconds(100);
  FakeTables tables;
  tables.Put(kConfigurationTable, "current", "1");
  tables.Put(kUpstreamTable, "one", "ready");
  const ControlHost seed(tables, "seed", 2, kPort, false, 150, "a", &network);
  REQUIRE(Eventually([&] { return seed.Revision() == 1; }));
  const TimePoint startedAt = Now();
  const ControlHost host(tables, "host", 3, kPort, true, 150, "a", &network, { "127.0.0.2" });
  CHECK(Eventually([&] { return host.Revision() == 1; }));
  CHECK(Now() - startedAt < std::chrono::seconds(1));
}

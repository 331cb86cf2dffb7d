#include <doctest/doctest.h>

#include <algorithm>
#include <memory>

#include "boragegauge/coordination.h"
#include "fake_platform.h"

using namespace bg;
using namespace bg::test;

namespace {

/// A simulated proxy with its membership.
struct Node
{
  Node(Simulation& aSimulation,
       FakeStore& aStore,
       FakeNetwork& aNetwork,
       const std::string& aHost,
       uint64_t aIncarnation)
    : platform(aSimulation, aStore)
    , sender({ aHost,
               aIncarnation,
               [&aNetwork, aHost](std::string_view aTo, std::string_view aBytes) {
                 aNetwork.Send(aHost, aTo, aBytes);
               } })
    , membership({ .sender = &sender,
                   .platform = &platform,
                   .now = [&aSimulation] { return aSimulation.Now(); },
                   .heartbeat = [this] { return heartbeat; },
                   .onPeer = [this](const PeerInfo&) { ++addressChanges; },
                   .onPeerRemoved = [this](std::string_view) { ++removals; },
                   .seeds = {} })
  {
    heartbeat.state = ProxyState::Ready;
    aNetwork.Attach(aHost, [this](std::string_view aBytes) {
      if (running) {
        membership.Receive(aBytes);
      }
    });
  }

  FakePlatform platform;
  Heartbeat heartbeat;
  PeerSender sender;
  Membership membership;
  bool running = true;
  int addressChanges = 0;
  int removals = 0;
};

HostEntry MakeProxyEntry(const std::string& aHost)
{
  HostEntry entry;
  entry.host = aHost;
  entry.role = HostRole::Proxy;
  entry.address = "127.0.0.1";
  entry.peerPort = 7000;
  entry.failureDomain = "xela-a";
  return entry;
}

bool Contains(const std::vector<std::string>& aHosts, const std::string& aHost)
{
  return std::find(aHosts.begin(), aHosts.end(), aHost) != aHosts.end();
}

} // namespace

TEST_CASE("membership of several proxies")
{
  Simulation simulation;
  FakeStore store;
  FakeNetwork network(simulation);
  std::vector<std::unique_ptr<Node>> nodes;
  for (int i = 0; i < 5; ++i) {
    const std::string host = "p" + std::to_string(i);
    store.hosts.push_back(MakeProxyEntry(host));
    nodes.push_back(std::make_unique<Node>(simulation, store, network, host, 100));
  }
  simulation.Every(Milliseconds(100), [&] {
    for (const auto& node : nodes) {
      if (node->running) {
        node->membership.Tick(simulation.Now());
      }
    }
  });
  simulation.RunFor(Milliseconds(4000));
  const auto aggregators = [&](int aNode, uint64_t aKey) {
    return nodes[aNode]->membership.Aggregators(aKey, 2, simulation.Now());
  };

  SUBCASE("all proxies select the same aggregators, and health readers are spread over the fleet")
  {
    std::map<std::string, int> load;
    for (uint64_t key = 0; key < 1000; ++key) {
      CHECK(aggregators(0, key) == aggregators(4, key));
      CHECK(aggregators(0, key).size() == 2);
      ++load[nodes[0]->membership.HealthReader(key, simulation.Now())];
    }
    REQUIRE(load.size() == 5);
    for (const auto& [host, count] : load) {
      CHECK(count > 100);
    }
    CHECK(nodes[0]->addressChanges == 4);
  }

  SUBCASE("a stopped peer is not used after 5 s, and removed when it leaves the host list")
  {
    nodes[1]->running = false;
    // The last heartbeat may have arrived up to 1 s before the stop.
    simulation.RunFor(Milliseconds(3900));
    CHECK(Contains(nodes[0]->membership.LivePeers(simulation.Now()), "p1"));
    simulation.RunFor(Milliseconds(1200));
    CHECK_FALSE(Contains(nodes[0]->membership.LivePeers(simulation.Now()), "p1"));
    CHECK(nodes[0]->removals == 0);
    store.hosts.erase(store.hosts.begin() + 1);
    simulation.RunFor(Milliseconds(2000));
    CHECK(nodes[0]->removals == 1);
    CHECK_FALSE(nodes[0]->membership.Find("p1"));
  }

  SUBCASE("a peer that does not receive from this proxy is live but not an aggregator")
  {
    // Guards against evidence that is lost because the link to the peer is cut in one direction.
    network.SetCut("p0", "p1", true);
    simulation.RunFor(Milliseconds(8000));
    CHECK(Contains(nodes[0]->membership.LivePeers(simulation.Now()), "p1"));
    CHECK_FALSE(nodes[0]->membership.Find("p1")->receivesFromUs);
    CHECK_FALSE(Contains(nodes[1]->membership.LivePeers(simulation.Now()), "p0"));
    for (uint64_t key = 0; key < 100; ++key) {
      CHECK_FALSE(Contains(aggregators(0, key), "p1"));
    }
    network.SetCut("p0", "p1", false);
    simulation.RunFor(Milliseconds(3000));
    CHECK(nodes[0]->membership.Find("p1")->receivesFromUs);
  }

  SUBCASE("a restarted host replaces its older incarnation, whose late messages are dropped")
  {
    const std::string lateMessage = EncodeMessage(
      { "p1", 100, 1000000, Heartbeat{ 7, 0, "xela-a", ProxyState::Leaving, 0, "", 0 } });
    nodes[1] = std::make_unique<Node>(simulation, store, network, "p1", 200);
    simulation.RunFor(Milliseconds(2000));
    CHECK(nodes[0]->membership.Find("p1")->incarnation == 200);
    CHECK_FALSE(nodes[0]->membership.Receive(lateMessage));
    CHECK(nodes[0]->membership.Find("p1")->state == ProxyState::Ready);
    CHECK(nodes[0]->membership.Stats().outdated == 1);

    // A duplicate and an older sequence of the same type are dropped too.
    const auto message = [](uint64_t aSequence) {
      return EncodeMessage({ "p1", 200, aSequence, LeavingNotice{ "s", "u", "b", "host_list" } });
    };
    CHECK(nodes[0]->membership.Receive(message(900)));
    CHECK_FALSE(nodes[0]->membership.Receive(message(900)));
    CHECK_FALSE(nodes[0]->membership.Receive(message(899)));
    CHECK_FALSE(nodes[0]->membership.Receive("garbage"));
    CHECK(nodes[0]->membership.Stats().malformed == 1);
  }

  SUBCASE("peers stay live while the platform is down")
  {
    for (const auto& node : nodes) {
      node->platform.down = true;
    }
    simulation.RunFor(std::chrono::minutes(10));
    CHECK(nodes[0]->membership.LivePeers(simulation.Now()).size() == 4);
    CHECK(aggregators(0, 1) == aggregators(3, 1));
  }
}

TEST_CASE("a new proxy finds its peers through a seed while the platform is unavailable")
{
  // Guards against a host that is replaced during an outage and never finds a peer, because only
  // the host list would name one.
  Simulation simulation;
  FakeStore store;
  FakeNetwork network(simulation);
  Node existing(simulation, store, network, "p1", 100);
  Node joining(simulation, store, network, "p2", 200);
  for (Node* node : { &existing, &joining }) {
    node->platform.down = true;
    node->heartbeat.address = "127.0.0.1";
    node->heartbeat.port = node == &existing ? 7000 : 7001;
  }
  network.Attach("seed:127.0.0.1:7000",
                 [&](std::string_view aBytes) { existing.membership.Receive(aBytes); });
  Membership seeded({ .sender = &joining.sender,
                      .platform = &joining.platform,
                      .now = [&] { return simulation.Now(); },
                      .heartbeat = [&] { return joining.heartbeat; },
                      .seeds = { { "127.0.0.1", 7000 } } });
  bool lastHeartbeatHasAddress = false;
  network.Attach("p2", [&](std::string_view aBytes) {
    const auto message = seeded.Receive(aBytes);
    const auto* heartbeat = message ? std::get_if<Heartbeat>(&message->body) : nullptr;
    lastHeartbeatHasAddress = heartbeat != nullptr && !heartbeat->address.empty();
  });
  simulation.Every(Milliseconds(100), [&] {
    existing.membership.Tick(simulation.Now());
    seeded.Tick(simulation.Now());
  });
  simulation.RunFor(Milliseconds(4000));
  REQUIRE(seeded.Find("p1").has_value());
  CHECK(seeded.Find("p1")->port == 7000);
  REQUIRE(existing.membership.Find("p2").has_value());
  CHECK(existing.membership.Find("p2")->port == 7001);
  CHECK(seeded.LivePeers(simulation.Now()) == std::vector<std::string>{ "p1" });
  // Guards against addresses in every heartbeat, which would exceed the traffic budget.
  CHECK_FALSE(lastHeartbeatHasAddress);
}

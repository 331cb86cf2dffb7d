#include <doctest/doctest.h>

#include <future>
#include <thread>

#include "serving_host.h"

using namespace bg;
using namespace bg::fleet;
using namespace bg::fleet::test;
using bg::test::Eventually;

namespace {

/// Hosts of which some can lose their links to the upstreams.
class CutFleet
{
public:
  static constexpr int kRequests = 40;

  explicit CutFleet(int aHosts)
    : upstreams(tables_, 6)
  {
    tables_.Put(kConfigurationTable, "current", "1");
    const uint16_t peerPort = FreePort();
    const uint16_t relayPort = FreePort();
    for (int i = 0; i < aHosts; ++i) {
      hosts.push_back(std::make_unique<ServingHost>(
        tables_, "host" + std::to_string(i), kFirstAddress + i, peerPort, relayPort));
    }
    for (const auto& host : hosts) {
      REQUIRE(Eventually([&] { return host->IsServing(); }));
    }
  }

  void Cut(int aHosts, LinkState aState)
  {
    for (int i = 0; i < aHosts; ++i) {
      hosts[static_cast<size_t>(i)]->links = aState;
    }
  }

  /// Sends idempotent and other requests in turn. @return Number that were served at the first try.
  int Serve(int aHost, int aRequests = kRequests)
  {
    int served = 0;
    for (int i = 0; i < aRequests; ++i) {
      const std::string id = "r" + std::to_string(++requests_);
      const std::string method = i % 2 == 0 ? "GET" : "POST";
      const UpstreamResult result = hosts[static_cast<size_t>(aHost)]->Call(method, id);
      const int executions = upstreams.Executions(id);
      if (result.status == 200) {
        ++served;
        CHECK(*FindHeader(result.headers, "Signature") == "sig-" + id);
        CHECK(result.body == TestUpstreams::Body(method, id));
        CHECK(executions >= 1);
      }
      if (result.status == 503) {
        CHECK(executions == 0);
      }
      if (method == "POST") {
        CHECK(executions <= 1);
      }
    }
    return served;
  }

private:
  static constexpr int kFirstAddress = 20;

  FakeTables tables_;
  int requests_ = 0;

public:
  TestUpstreams upstreams;
  std::vector<std::unique_ptr<ServingHost>> hosts;
};

} // namespace

TEST_CASE("callers of a host that reaches no upstream are served")
{
  CutFleet fleet(3);
  REQUIRE(fleet.Serve(0) == CutFleet::kRequests);

  SUBCASE("if its connections are refused")
  {
    fleet.Cut(1, LinkState::Refusing);
  }
  SUBCASE("if its connections hang")
  {
    fleet.Cut(1, LinkState::Hanging);
  }
  SUBCASE("if most other hosts reach none either")
  {
    fleet.Cut(2, LinkState::Refusing);
  }

  // The rule of the users asks for two thirds of what the other hosts serve.
  CHECK(fleet.Serve(0) >= CutFleet::kRequests * 2 / 3);
  CHECK(fleet.Serve(2) == CutFleet::kRequests);
}

TEST_CASE("a host notices when it has lost its links and when they are back")
{
  CutFleet fleet(2);
  const auto hasLostLinks = [&] {
    return fleet.hosts[0]->Metrics().find("\nboragegauge_fleet_upstream_links_lost 1") !=
           std::string::npos;
  };
  fleet.Cut(1, LinkState::Refusing);
  CHECK(fleet.Serve(0) == CutFleet::kRequests);
  CHECK(hasLostLinks());
  fleet.Cut(1, LinkState::Well);
  CHECK(Eventually([&] {
    fleet.Serve(0, 1);
    return !hasLostLinks();
  }));
  CHECK(fleet.Serve(0) == CutFleet::kRequests);
}

TEST_CASE("if no host reaches an upstream, requests are refused at once and have not run")
{
  CutFleet fleet(3);
  fleet.Cut(3, LinkState::Hanging);
  for (int host = 0; host < 3; ++host) {
    fleet.Serve(host, 6);
  }
  const TimePoint start = Now();
  CHECK(fleet.Serve(0, 4) == 0);
  CHECK(Now() - start < std::chrono::seconds(1));
  fleet.Cut(3, LinkState::Well);
  CHECK(Eventually([&] { return fleet.Serve(0, 1) == 1; }));
}

TEST_CASE("a host relays only what another host may ask for")
{
  CutFleet fleet(1);
  const auto outcome = [&](std::vector<HttpHeader> aHeaders) {
    const UpstreamResult result = fleet.hosts[0]->CallRelay(std::move(aHeaders));
    const std::string* name = FindHeader(result.headers, "Relay-Outcome");
    return std::to_string(result.status) + " " + (name == nullptr ? "" : *name);
  };
  CHECK(outcome({ { "Relay-Upstream", "u1" } }) == "400 ");
  CHECK(outcome({ { "Relay-Time-Left-Ms", "500" } }) == "400 ");
  CHECK(outcome({ { "Relay-Upstream", "u1" }, { "Relay-Time-Left-Ms", "soon" } }) == "400 ");
  CHECK(outcome({ { "Relay-Upstream", "nobody" }, { "Relay-Time-Left-Ms", "500" } }) ==
        "502 unknown");
  // The upstream itself rejects a request without an id.
  CHECK(outcome({ { "Relay-Upstream", "u1" }, { "Relay-Time-Left-Ms", "500" } }) == "400 response");
  fleet.Cut(1, LinkState::Refusing);
  fleet.Serve(0, 4);
  CHECK(outcome({ { "Relay-Upstream", "u1" }, { "Relay-Time-Left-Ms", "500" } }) == "502 no_links");
}

TEST_CASE("a relayed request is not sent again after its connection was lost")
{
  CutFleet fleet(3);
  fleet.Cut(2, LinkState::Refusing); // Host 2 relays.
  REQUIRE(fleet.Serve(0) == CutFleet::kRequests);

  SUBCASE("the relaying host ends while the upstream works")
  {
    auto result =
      std::async(std::launch::async, [&] { return fleet.hosts[0]->Call("POST", "slow-order"); });
    REQUIRE(Eventually([&] { return fleet.upstreams.Executions("slow-order") == 1; }));
    fleet.hosts[2].reset();
    CHECK(result.get().status == 502);
    std::this_thread::sleep_for(TestUpstreams::kSlowTime);
    CHECK(fleet.upstreams.Executions("slow-order") == 1);
  }

  SUBCASE("the upstream is released when the caller leaves")
  {
    const UpstreamResult result = fleet.hosts[0]->Call("GET", "slow-look", Milliseconds(200));
    CHECK(result.failure == UpstreamFailure::Timeout);
    CHECK(Eventually([&] { return fleet.upstreams.Abandoned() == 1; }));
    CHECK(fleet.upstreams.Executions("slow-look") == 1);
  }
}

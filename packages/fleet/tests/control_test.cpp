#include <doctest/doctest.h>

#include <cctype>
#include <future>
#include <random>
#include <thread>

#include "control_p.h"
#include "fake_row_store.h"
#include "raw_tcp.h"

using namespace bg;
using namespace bg::fleet;
using namespace bg::fleet::detail;
using namespace bg::fleet::test;
using bg::test::Eventually;

namespace {

constexpr const char* kConfigurationTable = "settings";
constexpr const char* kUpstreamTable = "upstreams";

/// A port below those that the system gives to sockets that name none, so that no host of a test
/// takes the peer port of another one for its readiness or admin address.
uint16_t FreePort()
{
  constexpr uint16_t kFirst = 12000;
  constexpr uint16_t kLast = 31999; // Linux gives ports from 32768 on.
  static std::random_device device;
  return std::uniform_int_distribution<uint16_t>(kFirst, kLast)(device);
}

/// The control thread of a host whose access to the shared tables can fail.
class ControlHost
{
public:
  ControlHost(FakeTables& aTables,
              const std::string& aName,
              int aNumber,
              uint16_t aPeerPort,
              bool aRefuseStoreCalls = false,
              size_t aMaxDirectReaders = 150)
  {
    init_.maxDirectReaders = aMaxDirectReaders;
    init_.capacity = 10;
    init_.host = aName;
    init_.failureDomain = "a";
    init_.address = "127.0.0." + std::to_string(aNumber);
    init_.readinessAddress = init_.address;
    init_.peerPort = aPeerPort;
    init_.createPlatform = [this, &aTables](EventLoop& aLoop) {
      loop = &aLoop;
      return MakeAdapter(aLoop, aTables);
    };
    faults.refuses = aRefuseStoreCalls;
    shared.onResumed = [this] { hasDetectedPause = !shared.isStateConfirmed; };
    control_ = std::make_unique<FleetControl>(init_, shared);
    const auto error = control_->Bind();
    const std::string detail =
      error ? error->step + ' ' + error->peer + ' ' + error->detail : std::string();
    CAPTURE(detail);
    REQUIRE_FALSE(error);
    control_->Start();
  }

  uint64_t Revision() const
  {
    const auto routes = shared.routes.load();
    return routes ? routes->Configuration().revision : 0;
  }

  /// Acquires a slot for a request. @return Whether it is a slot of the given upstream.
  bool GrantsSlotOf(const std::string& aUpstream)
  {
    std::promise<bool> promise;
    loop->Post([&] {
      SlotQuery query;
      query.service = "desk";
      query.idempotent = true;
      query.receivedAt = Now();
      query.deadline = Now() + std::chrono::seconds(2);
      const uint64_t sequence = ++sequence_;
      control_->Acquire(
        sequence, query, [this, &promise, sequence, &aUpstream](const SlotResult& aSlot) {
          control_->Release(sequence, {});
          promise.set_value(aSlot.isGranted && aSlot.upstream.id == aUpstream);
        });
    });
    return promise.get_future().get();
  }

  FakeFaults faults;
  FleetShared shared;
  EventLoop* loop = nullptr;
  std::atomic<bool> hasDetectedPause = false; ///< The host has detected a pause of its process.

private:
  PlatformAdapter MakeAdapter(EventLoop& aLoop, FakeTables& aTables)
  {
    PlatformAdapter adapter;
    adapter.store = std::make_unique<FakeRowStore>(aLoop, aTables, faults);
    adapter.configurationTable = kConfigurationTable;
    adapter.configurationKey = "current";
    adapter.upstreamTable = kUpstreamTable;
    adapter.parseConfiguration = [](std::string_view aDocument) -> Result<FleetConfiguration> {
      if (aDocument.empty() || std::isdigit(static_cast<unsigned char>(aDocument.front())) == 0) {
        return Error{ Errc::InvalidArgument, "fake.parse", "", "no revision" };
      }
      FleetConfiguration configuration;
      configuration.revision = std::stoull(std::string(aDocument));
      return configuration;
    };
    adapter.parseUpstream = [](std::string_view aId,
                               std::string_view aEntry) -> Result<RegisteredUpstream> {
      RegisteredUpstream upstream;
      upstream.id = aId;
      upstream.service = "desk";
      upstream.isDraining = aEntry == "draining";
      return upstream;
    };
    return adapter;
  }

  FleetInit init_;
  std::unique_ptr<FleetControl> control_;
  uint64_t sequence_ = 0;
};

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

#include <doctest/doctest.h>

#include "slot_fleet.h"

using namespace bg;
using namespace bg::fleet;
using namespace bg::fleet::detail;
using bg::placement::Outcome;

namespace {

std::vector<RegisteredUpstream> MakeUpstreams(size_t aCount, int64_t aStartedAtMs = 1000)
{
  std::vector<RegisteredUpstream> upstreams;
  for (size_t i = 0; i < aCount; ++i) {
    RegisteredUpstream& upstream = upstreams.emplace_back();
    upstream.id = "upstream" + std::to_string(i);
    upstream.service = "desk";
    upstream.slots = 3;
    upstream.startedAtMs = aStartedAtMs;
  }
  return upstreams;
}

/// Sends requests one after the other and counts those that reach an upstream.
size_t CountGrants(SlotFleet& aFleet, const std::string& aHost, const std::string& aUpstream)
{
  size_t count = 0;
  for (int i = 0; i < 40; ++i) {
    const uint64_t request = aFleet.Acquire(aHost, i % 3 == 0);
    aFleet.Advance(Milliseconds(150)); // Long enough for two allocators that do not respond.
    const std::string granted = aFleet.GrantedUpstream(aHost, request);
    CHECK_FALSE(granted.empty());
    count += granted == aUpstream ? 1 : 0;
    aFleet.Release(aHost, request);
  }
  return count;
}

/// Sends requests until one reaches the upstream, which answers with a report.
void AnswerFrom(SlotFleet& aFleet,
                const std::string& aHost,
                const std::string& aUpstream,
                const SlotReport& aReport)
{
  std::vector<uint64_t> others;
  for (int i = 0; i < 100; ++i) {
    const uint64_t request = aFleet.Acquire(aHost, true);
    aFleet.Advance(Milliseconds(20));
    if (aFleet.GrantedUpstream(aHost, request) == aUpstream) {
      SlotReport report = aReport;
      report.answeredAt = aFleet.now;
      aFleet.hosts.at(aHost).slots->Release(request, report);
      aFleet.Deliver();
      for (const uint64_t other : others) {
        aFleet.Release(aHost, other);
      }
      return;
    }
    others.push_back(request);
  }
  FAIL("no request reached the upstream");
}

} // namespace

TEST_CASE("an upstream that has told a host that it leaves gets no more requests")
{
  SlotFleet fleet(4, 0);
  fleet.SetUpstreams(MakeUpstreams(4));
  const std::string teller = fleet.OtherHost();
  const std::string other = fleet.OtherHost(teller);
  SlotReport leaving;
  leaving.latency = Milliseconds(200);
  leaving.outcome = Outcome::Good;
  leaving.isLeaving = true;
  SUBCASE("from that host, nor from others through their allocator")
  {
    AnswerFrom(fleet, teller, "upstream1", leaving);
    CHECK(CountGrants(fleet, teller, "upstream1") == 0);
    CHECK(CountGrants(fleet, other, "upstream1") == 0);
    SUBCASE("although the store still calls it ready")
    {
      auto again = MakeUpstreams(4);
      again[1].sequence = 9;
      fleet.SetUpstreams(again);
      CHECK(CountGrants(fleet, teller, "upstream1") == 0);
    }
    SUBCASE("until its next run under the same id")
    {
      auto next = MakeUpstreams(4);
      next[1].startedAtMs = 2000;
      fleet.SetUpstreams(next);
      CHECK(CountGrants(fleet, teller, "upstream1") > 0);
    }
  }
  SUBCASE("although its allocator does not know")
  {
    AnswerFrom(fleet, teller, "upstream1", leaving);
    fleet.Restart(fleet.AllocatorHost());
    CHECK(CountGrants(fleet, teller, "upstream1") == 0);
  }
  SUBCASE("although the host reaches no other")
  {
    AnswerFrom(fleet, teller, "upstream1", leaving);
    for (const auto& [name, host] : fleet.hosts) {
      if (name != teller) {
        fleet.stopped.insert(name);
      }
    }
    CHECK(CountGrants(fleet, teller, "upstream1") == 0);
  }
  SUBCASE("from hosts that a peer has told")
  {
    AnswerFrom(fleet, teller, "upstream1", leaving);
    const auto told = fleet.hosts.at(teller).slots->UnregisteredLeaving();
    REQUIRE(told.size() == 1);
    CHECK(told.front().source == teller);
    fleet.Restart(other);
    CHECK(fleet.hosts.at(other).slots->HandleLeaving(told));
    CHECK_FALSE(fleet.hosts.at(other).slots->HandleLeaving(told));
    fleet.stopped = { fleet.AllocatorHost() };
    CHECK(CountGrants(fleet, other, "upstream1") == 0);
    SUBCASE("who do not pass it on once the store says so")
    {
      auto draining = MakeUpstreams(4);
      draining[1].isDraining = true;
      fleet.SetUpstreams(draining);
      CHECK(fleet.hosts.at(other).slots->UnregisteredLeaving().empty());
    }
  }
  SUBCASE("and requests go on while half of the service leaves")
  {
    AnswerFrom(fleet, teller, "upstream1", leaving);
    AnswerFrom(fleet, teller, "upstream2", leaving);
    CHECK(CountGrants(fleet, other, "upstream1") + CountGrants(fleet, other, "upstream2") == 0);
  }
  SUBCASE("and requests are refused at once when all leave")
  {
    for (int i = 0; i < 4; ++i) {
      AnswerFrom(fleet, teller, "upstream" + std::to_string(i), leaving);
    }
    const uint64_t request = fleet.Acquire(other);
    fleet.Advance(Milliseconds(20));
    const auto& results = fleet.hosts.at(other).results;
    REQUIRE(results.contains(request));
    CHECK_FALSE(results.at(request).isGranted);
    CHECK(results.at(request).retryAfter > Duration(0));
    CHECK(results.at(request).retryAfter <= std::chrono::seconds(1));
  }
}

TEST_CASE("an upstream that has asked a host for a pause gets no requests of that host")
{
  SlotFleet fleet(4, 0);
  fleet.SetUpstreams(MakeUpstreams(4));
  const std::string paused = fleet.OtherHost();
  const std::string other = fleet.OtherHost(paused);
  SlotReport refusal;
  refusal.outcome = Outcome::Refused;
  refusal.latency = Milliseconds(5);
  refusal.pause = Milliseconds(30000);
  const auto refuse = [&](std::initializer_list<int> aUpstreams) {
    for (const int upstream : aUpstreams) {
      AnswerFrom(fleet, paused, "upstream" + std::to_string(upstream), refusal);
    }
    fleet.Advance(Milliseconds(400));
  };
  SUBCASE("while it gets those of others")
  {
    refuse({ 1 });
    CHECK(CountGrants(fleet, paused, "upstream1") == 0);
    CHECK(CountGrants(fleet, other, "upstream1") > 0);
  }
  SUBCASE("until the pause ends")
  {
    refusal.pause = Milliseconds(2000);
    refuse({ 1 });
    fleet.Advance(Milliseconds(1600));
    CHECK(CountGrants(fleet, paused, "upstream1") > 0);
  }
  SUBCASE("although its allocator has restarted")
  {
    refuse({ 1 });
    fleet.Restart(fleet.AllocatorHost());
    CHECK(CountGrants(fleet, paused, "upstream1") == 0);
  }
  SUBCASE("although the host reaches no other")
  {
    refuse({ 1 });
    for (const auto& [name, host] : fleet.hosts) {
      if (name != paused) {
        fleet.stopped.insert(name);
      }
    }
    CHECK(CountGrants(fleet, paused, "upstream1") == 0);
  }
  SUBCASE("nor does a host that is the allocator itself")
  {
    const std::string allocator = fleet.AllocatorHost();
    AnswerFrom(fleet, allocator, "upstream1", refusal);
    fleet.Advance(Milliseconds(400));
    CHECK(CountGrants(fleet, allocator, "upstream1") == 0);
    CHECK(CountGrants(fleet, other, "upstream1") > 0);
  }
  SUBCASE("also for requests that were queued before")
  {
    refuse({ 0, 1, 2 });
    std::vector<uint64_t> held;
    for (int i = 0; i < 12; ++i) {
      held.push_back(fleet.Acquire(other));
      fleet.Advance(Milliseconds(10));
    }
    const uint64_t queued = fleet.Acquire(paused);
    const uint64_t behind = fleet.Acquire(other);
    REQUIRE(fleet.hosts.at(paused).results.count(queued) == 0);
    for (const uint64_t request : held) {
      if (fleet.GrantedUpstream(other, request) == "upstream1") {
        fleet.Release(other, request);
        break;
      }
    }
    CHECK(fleet.GrantedUpstream(other, behind) == "upstream1");
    CHECK(fleet.GrantedUpstream(paused, queued).empty());
  }
  SUBCASE("and its requests are refused at once while all upstreams are paused for it")
  {
    refusal.pause = Milliseconds(600);
    for (int i = 0; i < 4; ++i) {
      AnswerFrom(fleet, paused, "upstream" + std::to_string(i), refusal);
    }
    const uint64_t request = fleet.Acquire(paused);
    const auto& results = fleet.hosts.at(paused).results;
    REQUIRE(results.contains(request));
    CHECK_FALSE(results.at(request).isGranted);
    CHECK(results.at(request).reason == "upstreams_paused");
    CHECK(results.at(request).retryAfter > Duration(0));
    CHECK(results.at(request).retryAfter <= Milliseconds(600));
    CHECK_FALSE(fleet.GrantedUpstream(other, fleet.Acquire(other)).empty());
  }
}

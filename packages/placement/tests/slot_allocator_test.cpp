#include <doctest/doctest.h>

#include "allocator_fixture.h"

using namespace bg;
using namespace bg::placement;

TEST_CASE("slots of healthy upstreams")
{
  AllocatorFixture fixture;
  SUBCASE("are taken in the caller's failure domain first")
  {
    fixture.SetUpstreams({ { "near", "a", 2 }, { "far", "b", 2 } });
    CHECK(fixture.Ask() == "near");
    CHECK(fixture.Ask() == "near");
    CHECK(fixture.Ask() == "far");
  }
  SUBCASE("go to upstreams that have just succeeded, when the work cannot be repeated")
  {
    // Guards against the first failure of a spell at each of many upstreams.
    fixture.SetUpstreams({ { "one", "a", 3 }, { "two", "a", 3 }, { "three", "a", 3 } });
    const std::string first = fixture.Run(Outcome::Good);
    for (int i = 0; i < 5; ++i) {
      fixture.now += Milliseconds(300);
      CHECK(fixture.Run(Outcome::Good) == first);
    }
  }
  SUBCASE("go to the upstreams without a recent success, when the work can be repeated")
  {
    fixture.SetUpstreams({ { "one", "a", 3 }, { "two", "a", 3 }, { "three", "a", 3 } });
    std::set<std::string> explored;
    for (int i = 0; i < 3; ++i) {
      fixture.now += Milliseconds(300);
      explored.insert(fixture.Run(Outcome::Good, true));
    }
    CHECK(explored.size() == 3);
  }
  SUBCASE("are used at every upstream while many requests fail")
  {
    // Guards against leaving sound upstreams out while the ones in use fail.
    fixture.SetUpstreams({ { "one", "a", 3 }, { "two", "a", 3 }, { "three", "a", 3 } });
    std::set<std::string> used;
    for (int i = 0; i < 40; ++i) {
      fixture.now += Milliseconds(100);
      used.insert(fixture.Run(i % 2 == 0 ? Outcome::Refused : Outcome::Good));
    }
    CHECK(used.size() == 3);
  }
  SUBCASE("are used again at upstreams that rested, when no request can be repeated")
  {
    // Guards against leaving out upstreams that failed once, in a service of uploads only.
    fixture.SetUpstreams({ { "one", "a", 3 }, { "two", "a", 3 }, { "three", "a", 3 } });
    fixture.Run(Outcome::Failed);
    fixture.Run(Outcome::Failed);
    std::map<std::string, TimePoint> lastUsed;
    Duration longest{ 0 };
    const TimePoint start = fixture.now + std::chrono::seconds(3);
    for (int i = 0; i < 160; ++i) {
      // Longer than the pause after a refusal, so that no other upstream has to stand in.
      fixture.now += Milliseconds(50);
      // Seven in a hundred are not served, none of them at the upstreams that rest.
      const std::string upstream = fixture.Run(i % 14 == 0 ? Outcome::Refused : Outcome::Good);
      TimePoint& last = lastUsed.try_emplace(upstream, start).first->second;
      longest = std::max(longest, fixture.now - last);
      last = fixture.now;
    }
    CHECK(lastUsed.size() == 3);
    CHECK(longest < std::chrono::seconds(2));
  }
  SUBCASE("are not spread for failures that callers do not see")
  {
    // Guards against work that cannot be repeated at upstreams whose health is not known, only
    // because trials at failing upstreams fail.
    std::vector<UpstreamSlots> upstreams;
    upstreams.reserve(40);
    for (int i = 0; i < 40; ++i) {
      upstreams.push_back({ (i % 2 == 0 ? "sound" : "failing") + std::to_string(i), "a", 3 });
    }
    fixture.allocator.SetUpstreams(upstreams, fixture.now);
    std::map<std::string, TimePoint> lastGood;
    int unproven = 0;
    const auto run = [&](bool aIdempotent) {
      const std::string upstream = fixture.Ask(aIdempotent);
      const bool isGood = upstream.starts_with("sound");
      unproven += !aIdempotent && fixture.now - lastGood[upstream] > std::chrono::seconds(1);
      fixture.now += Milliseconds(25);
      fixture.End(fixture.sequence, isGood ? Outcome::Good : Outcome::Failed);
      if (isGood) {
        lastGood[upstream] = fixture.now;
      }
    };
    for (int i = 0; i < 200; ++i) {
      run(true);
      run(false);
    }
    CHECK(unproven <= 2);
  }
  SUBCASE("are never taken twice")
  {
    // Guards against work that queues at an upstream while another one is idle.
    fixture.SetUpstreams({ { "one", "a", 2 } });
    CHECK(fixture.Ask() == "one");
    CHECK(fixture.Ask() == "one");
    CHECK(fixture.Ask().empty());
    CHECK(fixture.allocator.Stats().waiting == 1);
    SUBCASE("and a slot that ends goes to the request that waits")
    {
      fixture.End(1, Outcome::Good);
      CHECK(fixture.granted[3] == "one");
    }
    SUBCASE("and a slot whose host has gone is free after its deadline")
    {
      fixture.Pass(std::chrono::seconds(1));
      CHECK(fixture.granted[3].empty());
      const SlotRequest late = fixture.MakeRequest();
      fixture.allocator.Request(late, fixture.now);
      fixture.Pass(Milliseconds(1300));
      CHECK(fixture.granted[late.lease.sequence] == "one");
    }
  }
  SUBCASE("a repeated request gets the same answer")
  {
    // Guards against two slots for one request when an answer was lost.
    fixture.SetUpstreams({ { "one", "a", 2 }, { "two", "a", 2 } });
    const SlotRequest request = fixture.MakeRequest();
    const std::string first = fixture.Ask(request);
    CHECK(fixture.Ask(request) == first);
    CHECK(fixture.allocator.Stats().inFlight == 1);
  }
  SUBCASE("an upstream that was tried is not offered again")
  {
    fixture.SetUpstreams({ { "one", "a", 1 }, { "two", "b", 1 } });
    SlotRequest request = fixture.MakeRequest();
    request.exclude = { "one" };
    CHECK(fixture.Ask(request) == "two");
  }
  SUBCASE("a cold upstream is the last choice")
  {
    fixture.SetUpstreams(
      { { "cold", "a", 3, fixture.now + std::chrono::seconds(3) }, { "warm", "b", 3 } });
    CHECK(fixture.Ask() == "warm");
  }
  SUBCASE("a slow upstream gets less work")
  {
    fixture.SetUpstreams({ { "slow", "a", 3 }, { "usual", "b", 3 } });
    for (int i = 0; i < 8; ++i) {
      const SlotRequest request = fixture.MakeRequest();
      const std::string upstream = fixture.Ask(request);
      fixture.End(request.lease.sequence,
                  Outcome::Good,
                  upstream == "slow" ? Milliseconds(1500) : Milliseconds(200));
    }
    CHECK(fixture.Ask() == "usual");
  }
}

TEST_CASE("requests that wait")
{
  AllocatorFixture fixture;
  fixture.SetUpstreams({ { "one", "a", 1 } });
  fixture.Ask();
  SUBCASE("go by priority, then by arrival")
  {
    SlotRequest low = fixture.MakeRequest();
    low.priority = 2;
    fixture.Ask(low);
    fixture.now += Milliseconds(1);
    const SlotRequest high = fixture.MakeRequest();
    fixture.Ask(high);
    fixture.End(1, Outcome::Good);
    CHECK(fixture.granted[high.lease.sequence] == "one");
    CHECK(fixture.granted[low.lease.sequence].empty());
  }
  SUBCASE("are refused at once when their turn would come too late")
  {
    // Guards against holding a request that is known to be hopeless until its deadline.
    for (int i = 0; i < 9; ++i) {
      fixture.Ask();
    }
    const SlotRequest hopeless = fixture.MakeRequest();
    fixture.Ask(hopeless);
    REQUIRE(fixture.refused.contains(hopeless.lease.sequence));
    const Refusal& refusal = fixture.refused[hopeless.lease.sequence];
    CHECK(refusal.reason == "overload");
    CHECK(refusal.retryAfter >= std::chrono::seconds(1));
  }
  SUBCASE("are refused as soon as more urgent ones make them hopeless")
  {
    SlotRequest low = fixture.MakeRequest();
    low.priority = 2;
    low.deadline = fixture.now + Milliseconds(500);
    fixture.Ask(low);
    CHECK(fixture.refused.empty());
    fixture.Ask();
    fixture.Ask();
    fixture.Pass(Milliseconds(1));
    CHECK(fixture.refused.contains(low.lease.sequence));
  }
  SUBCASE("are refused at once when the service has no upstream")
  {
    fixture.SetUpstreams({});
    const SlotRequest request = fixture.MakeRequest();
    fixture.Ask(request);
    REQUIRE(fixture.refused.contains(request.lease.sequence));
    CHECK(fixture.refused[request.lease.sequence].reason == "no_upstream");
  }
  SUBCASE("are forgotten when their caller has gone")
  {
    const SlotRequest request = fixture.MakeRequest();
    fixture.Ask(request);
    fixture.End(request.lease.sequence, Outcome::Cancelled);
    CHECK(fixture.allocator.Stats().waiting == 0);
  }
}

TEST_CASE("an upstream that failed")
{
  AllocatorFixture fixture;
  fixture.SetUpstreams({ { "bad", "a", 3 }, { "good", "b", 3 } });
  REQUIRE(fixture.Run(Outcome::Failed) == "bad");
  SUBCASE("gets no further work that cannot be repeated while others have slots")
  {
    CHECK(fixture.Ask() == "good");
    CHECK(fixture.Ask() == "good");
    CHECK(fixture.Ask() == "good");
  }
  SUBCASE("is tried with one idempotent request at a time, after a pause")
  {
    CHECK(fixture.Ask(true) == "good");
    fixture.now += Milliseconds(350);
    CHECK(fixture.Ask(true) == "bad");
    CHECK(fixture.Ask(true) == "good");
  }
  SUBCASE("is used again after two successful trials")
  {
    fixture.now += Milliseconds(350);
    CHECK(fixture.Run(Outcome::Good, true) == "bad");
    CHECK(fixture.Ask() == "good");
    CHECK(fixture.Run(Outcome::Good, true) == "bad");
    CHECK(fixture.allocator.Suspects().empty());
    CHECK(fixture.Ask() == "bad");
  }
  SUBCASE("waits longer after each failed trial")
  {
    fixture.now += Milliseconds(350);
    CHECK(fixture.Run(Outcome::Failed, true) == "bad");
    fixture.now += Milliseconds(350);
    CHECK(fixture.Ask(true) == "good");
    fixture.now += Milliseconds(350);
    CHECK(fixture.Ask(true) == "bad");
  }
  SUBCASE("is not cleared by work that began before the failure")
  {
    // Guards against readmission by responses from before a spell of errors.
    AllocatorFixture other;
    other.SetUpstreams({ { "only", "a", 3 } });
    other.Ask();
    other.Ask();
    other.now += Milliseconds(10);
    other.End(1, Outcome::Failed);
    other.now += Milliseconds(10);
    other.End(2, Outcome::Good);
    CHECK(other.allocator.Suspects().size() == 1);
  }
  SUBCASE("still serves requests that would wait too long for others")
  {
    // Guards against losing capacity to a suspicion.
    for (int i = 0; i < 3; ++i) {
      fixture.Ask();
    }
    const SlotRequest request = fixture.MakeRequest();
    CHECK(fixture.Ask(request).empty());
    fixture.Pass(Milliseconds(300));
    CHECK(fixture.granted[request.lease.sequence] == "bad");
  }
  SUBCASE("starts afresh when it is started again under its id")
  {
    fixture.SetUpstreams({ { "bad", "a", 3, {}, 7 }, { "good", "b", 3 } });
    CHECK(fixture.Ask() == "bad");
  }
}

TEST_CASE("an upstream that refuses")
{
  AllocatorFixture fixture;
  fixture.SetUpstreams({ { "full", "a", 3 }, { "free", "b", 3 } });
  SUBCASE("is not a suspect, but gets a pause")
  {
    CHECK(fixture.Run(Outcome::Refused) == "full");
    CHECK(fixture.allocator.Suspects().empty());
    CHECK(fixture.Ask() == "free");
  }
}

TEST_CASE("an upstream that one host cannot reach")
{
  AllocatorFixture fixture;
  fixture.SetUpstreams({ { "cut", "a", 3 }, { "other", "b", 3 } });
  // Guards against taking an upstream out for all because of the network of one host.
  CHECK(fixture.Run(Outcome::Unreachable) == "cut");
  CHECK(fixture.allocator.Suspects().empty());
}

TEST_CASE("a host without an allocator")
{
  AllocatorFixture fixture;
  fixture.SetUpstreams({ { "one", "a", 1 }, { "two", "a", 1 } });
  SUBCASE("chooses an upstream also when all its known slots are taken")
  {
    fixture.Ask();
    fixture.Ask();
    CHECK_FALSE(fixture.allocator.PickUpstream(fixture.MakeRequest(), fixture.now).empty());
  }
  SUBCASE("counts what it chose")
  {
    const SlotRequest request = fixture.MakeRequest();
    fixture.allocator.AddLease(request, "one", fixture.now);
    CHECK(fixture.Ask() == "two");
    CHECK(fixture.Ask().empty());
  }
}

TEST_CASE("the budget for repeats")
{
  TimePoint now{ std::chrono::hours(1) };
  RetryWindow window({ 0.2, 40, std::chrono::seconds(10) });
  const auto takeAll = [&] {
    int taken = 0;
    while (window.TryTake(10, now)) {
      ++taken;
    }
    return taken;
  };
  SUBCASE("is a share of the slack without requests")
  {
    CHECK(takeAll() == 3);
  }
  SUBCASE("grows with the requests of the window and is given back after it")
  {
    for (int i = 0; i < 100; ++i) {
      window.OnRequest(now);
    }
    CHECK(takeAll() == 21);
    now += std::chrono::seconds(5);
    CHECK(takeAll() == 0);
    now += std::chrono::seconds(6);
    CHECK(takeAll() == 3);
  }
}

TEST_CASE("an allocator that may take over")
{
  AllocatorFixture fixture;
  fixture.SetUpstreams({ { "one", "a", 3 }, { "two", "a", 3 } });
  const std::vector<std::string> suspects = { "one" };
  SUBCASE("knows the suspects of the one before it")
  {
    fixture.allocator.SetSuspects(suspects, fixture.now);
    CHECK(fixture.Ask() == "two");
    SUBCASE("and which of them are no suspects any more")
    {
      fixture.allocator.SetSuspects({}, fixture.now);
      CHECK(fixture.allocator.Suspects().empty());
    }
  }
  SUBCASE("takes an upstream that moves to it as the suspect that it was")
  {
    fixture.SetUpstreams(
      { { "one", "a", 3 }, { "two", "a", 3 }, { "moved", "a", 3, {}, 0, true } });
    CHECK(fixture.allocator.Suspects() == std::vector<std::string>{ "moved" });
  }
}

TEST_CASE("the ranking of hosts")
{
  const std::vector<std::string> hosts = { "one", "two", "three", "four" };
  const std::vector<std::string> ranked = RankHosts("service#0", hosts);
  SUBCASE("keeps its order when a host leaves")
  {
    std::vector<std::string> fewer(ranked.begin() + 1, ranked.end());
    CHECK(RankHosts("service#0", fewer) == fewer);
  }
  SUBCASE("is the same at each host")
  {
    const std::vector<std::string> reversed(hosts.rbegin(), hosts.rend());
    CHECK(RankHosts("service#0", reversed) == ranked);
  }
}

TEST_CASE("shards of a service")
{
  CHECK(ShardCount(0) == 1);
  CHECK(ShardCount(kUpstreamsPerShard) == 1);
  CHECK(ShardCount(kUpstreamsPerShard + 1) == 2);
  CHECK(ShardOf("upstream", 1) == 0);
  SUBCASE("keep most upstreams when their number changes")
  {
    // Guards against allocators that know nothing of their upstreams after a scale-out.
    int moved = 0;
    for (int i = 0; i < 1000; ++i) {
      const std::string upstream = "upstream" + std::to_string(i);
      moved += ShardOf(upstream, 5) != ShardOf(upstream, 6) ? 1 : 0;
    }
    CHECK(moved < 250);
    CHECK(moved > 100);
  }
}

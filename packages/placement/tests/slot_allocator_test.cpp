#include <doctest/doctest.h>

#include "allocator_fixture.h"

using namespace bg;
using namespace bg::placement;

TEST_CASE("slots of healthy upstreams")
{
  AllocatorFixture fixture;
  SUBCASE("are granted in the failure domain of the requesting host first")
  {
    fixture.SetUpstreams({ { "near", "a", 2 }, { "far", "b", 2 } });
    CHECK(fixture.Acquire() == "near");
    CHECK(fixture.Acquire() == "near");
    CHECK(fixture.Acquire() == "far");
  }
  SUBCASE("go to recently successful upstreams for non-idempotent requests")
  {
    // If non-idempotent requests were spread over many upstreams, a failure burst at each of them
    // would first hit such a request.
    fixture.SetUpstreams({ { "one", "a", 3 }, { "two", "a", 3 }, { "three", "a", 3 } });
    const std::string first = fixture.Run(Outcome::Good);
    for (int i = 0; i < 5; ++i) {
      fixture.now += Milliseconds(300);
      CHECK(fixture.Run(Outcome::Good) == first);
    }
  }
  SUBCASE("go to upstreams without a recent success for idempotent requests")
  {
    fixture.SetUpstreams({ { "one", "a", 3 }, { "two", "a", 3 }, { "three", "a", 3 } });
    std::set<std::string> explored;
    for (int i = 0; i < 3; ++i) {
      fixture.now += Milliseconds(300);
      explored.insert(fixture.Run(Outcome::Good, true));
    }
    CHECK(explored.size() == 3);
  }
  SUBCASE("are used at every upstream while many requests are not served")
  {
    // Healthy upstreams must not stay idle because requests keep to the ones that fail.
    fixture.SetUpstreams({ { "one", "a", 3 }, { "two", "a", 3 }, { "three", "a", 3 } });
    std::set<std::string> used;
    for (int i = 0; i < 40; ++i) {
      fixture.now += Milliseconds(100);
      used.insert(fixture.Run(i % 2 == 0 ? Outcome::Refused : Outcome::Good));
    }
    CHECK(used.size() == 3);
  }
  SUBCASE("are used again at recovered suspects without idempotent requests")
  {
    // In a service of uploads only, there are no idempotent requests for trials, and an upstream
    // that failed once would stay unused.
    fixture.SetUpstreams({ { "one", "a", 3 }, { "two", "a", 3 }, { "three", "a", 3 } });
    fixture.Run(Outcome::Failed);
    fixture.Run(Outcome::Failed);
    std::map<std::string, TimePoint> lastUsed;
    Duration longestIdle{ 0 };
    const TimePoint start = fixture.now + std::chrono::seconds(3);
    for (int i = 0; i < 160; ++i) {
      // Longer than the pause after a refusal, so that no request is diverted by it.
      fixture.now += Milliseconds(50);
      // 7 % of the requests are not served, none of them by the suspects.
      const std::string upstream = fixture.Run(i % 14 == 0 ? Outcome::Refused : Outcome::Good);
      TimePoint& last = lastUsed.try_emplace(upstream, start).first->second;
      longestIdle = std::max(longestIdle, fixture.now - last);
      last = fixture.now;
    }
    CHECK(lastUsed.size() == 3);
    CHECK(longestIdle < std::chrono::seconds(2));
  }
  SUBCASE("are not spread because of failed trials that are retried")
  {
    // Failed trials do not reach the caller. If they counted as unserved, non-idempotent requests
    // would be sent to upstreams without a recent success.
    std::vector<UpstreamSlots> upstreams;
    upstreams.reserve(40);
    for (int i = 0; i < 40; ++i) {
      upstreams.push_back({ (i % 2 == 0 ? "sound" : "failing") + std::to_string(i), "a", 3 });
    }
    fixture.allocator.SetUpstreams(upstreams, fixture.now);
    std::map<std::string, TimePoint> lastSuccess;
    int unverified = 0;
    const auto run = [&](bool aIdempotent) {
      const std::string upstream = fixture.Acquire(aIdempotent);
      const bool isGood = upstream.starts_with("sound");
      unverified += !aIdempotent && fixture.now - lastSuccess[upstream] > std::chrono::seconds(1);
      fixture.now += Milliseconds(25);
      fixture.Release(fixture.sequence, isGood ? Outcome::Good : Outcome::Failed);
      if (isGood) {
        lastSuccess[upstream] = fixture.now;
      }
    };
    for (int i = 0; i < 200; ++i) {
      run(true);
      run(false);
    }
    CHECK(unverified <= 2);
  }
  SUBCASE("are never granted twice")
  {
    // A slot granted twice would make requests queue at one upstream while another is idle.
    fixture.SetUpstreams({ { "one", "a", 2 } });
    CHECK(fixture.Acquire() == "one");
    CHECK(fixture.Acquire() == "one");
    CHECK(fixture.Acquire().empty());
    CHECK(fixture.allocator.Stats().waiting == 1);
    SUBCASE("and a released slot goes to the queued request")
    {
      fixture.Release(1, Outcome::Good);
      CHECK(fixture.granted[3] == "one");
    }
    SUBCASE("and a lease that its host never releases expires after the deadline")
    {
      fixture.Advance(std::chrono::seconds(1));
      CHECK(fixture.granted[3].empty());
      const SlotRequest late = fixture.MakeRequest();
      fixture.allocator.Request(late, fixture.now);
      fixture.Advance(Milliseconds(1300));
      CHECK(fixture.granted[late.lease.sequence] == "one");
    }
  }
  SUBCASE("a request that is sent again gets the same grant")
  {
    // The host sends a request again when the grant was lost. It must not take a second slot.
    fixture.SetUpstreams({ { "one", "a", 2 }, { "two", "a", 2 } });
    const SlotRequest request = fixture.MakeRequest();
    const std::string first = fixture.Acquire(request);
    CHECK(fixture.Acquire(request) == first);
    CHECK(fixture.allocator.Stats().inFlight == 1);
  }
  SUBCASE("an excluded upstream is not granted")
  {
    fixture.SetUpstreams({ { "one", "a", 1 }, { "two", "b", 1 } });
    SlotRequest request = fixture.MakeRequest();
    request.exclude = { "one" };
    CHECK(fixture.Acquire(request) == "two");
  }
  SUBCASE("a cold upstream is the last choice")
  {
    fixture.SetUpstreams(
      { { "cold", "a", 3, fixture.now + std::chrono::seconds(3) }, { "warm", "b", 3 } });
    CHECK(fixture.Acquire() == "warm");
  }
  SUBCASE("a slow upstream gets less work")
  {
    fixture.SetUpstreams({ { "slow", "a", 3 }, { "usual", "b", 3 } });
    for (int i = 0; i < 8; ++i) {
      const SlotRequest request = fixture.MakeRequest();
      const std::string upstream = fixture.Acquire(request);
      fixture.Release(request.lease.sequence,
                      Outcome::Good,
                      upstream == "slow" ? Milliseconds(1500) : Milliseconds(200));
    }
    CHECK(fixture.Acquire() == "usual");
  }
}

TEST_CASE("queued requests")
{
  AllocatorFixture fixture;
  fixture.SetUpstreams({ { "one", "a", 1 } });
  fixture.Acquire();
  SUBCASE("are granted by priority, then by arrival")
  {
    SlotRequest low = fixture.MakeRequest();
    low.priority = 2;
    fixture.Acquire(low);
    fixture.now += Milliseconds(1);
    const SlotRequest high = fixture.MakeRequest();
    fixture.Acquire(high);
    fixture.Release(1, Outcome::Good);
    CHECK(fixture.granted[high.lease.sequence] == "one");
    CHECK(fixture.granted[low.lease.sequence].empty());
  }
  SUBCASE("are refused at once when they cannot meet their deadline")
  {
    // A request that will not get a slot in time must not stay queued until its deadline.
    for (int i = 0; i < 9; ++i) {
      fixture.Acquire();
    }
    const SlotRequest last = fixture.MakeRequest();
    fixture.Acquire(last);
    REQUIRE(fixture.refused.contains(last.lease.sequence));
    const Refusal& refusal = fixture.refused[last.lease.sequence];
    CHECK(refusal.reason == "overload");
    CHECK(refusal.retryAfter >= std::chrono::seconds(1));
  }
  SUBCASE("are refused as soon as more urgent ones make them miss their deadline")
  {
    SlotRequest low = fixture.MakeRequest();
    low.priority = 2;
    low.deadline = fixture.now + Milliseconds(500);
    fixture.Acquire(low);
    CHECK(fixture.refused.empty());
    fixture.Acquire();
    fixture.Acquire();
    fixture.Advance(Milliseconds(1));
    CHECK(fixture.refused.contains(low.lease.sequence));
  }
  SUBCASE("are refused at once when the service has no upstream")
  {
    fixture.SetUpstreams({});
    const SlotRequest request = fixture.MakeRequest();
    fixture.Acquire(request);
    REQUIRE(fixture.refused.contains(request.lease.sequence));
    CHECK(fixture.refused[request.lease.sequence].reason == "no_upstream");
    CHECK(fixture.refused[request.lease.sequence].retryAfter <= std::chrono::seconds(1));
  }
  SUBCASE("are removed when their caller disconnects")
  {
    const SlotRequest request = fixture.MakeRequest();
    fixture.Acquire(request);
    fixture.Release(request.lease.sequence, Outcome::Cancelled);
    CHECK(fixture.allocator.Stats().waiting == 0);
  }
}

TEST_CASE("an upstream that failed")
{
  AllocatorFixture fixture;
  fixture.SetUpstreams({ { "bad", "a", 3 }, { "good", "b", 3 } });
  REQUIRE(fixture.Run(Outcome::Failed) == "bad");
  SUBCASE("gets no non-idempotent requests while others have free slots")
  {
    CHECK(fixture.Acquire() == "good");
    CHECK(fixture.Acquire() == "good");
    CHECK(fixture.Acquire() == "good");
  }
  SUBCASE("gets one idempotent trial request at a time after a backoff")
  {
    CHECK(fixture.Acquire(true) == "good");
    fixture.now += Milliseconds(350);
    CHECK(fixture.Acquire(true) == "bad");
    CHECK(fixture.Acquire(true) == "good");
  }
  SUBCASE("is used again after two successful trials")
  {
    fixture.now += Milliseconds(350);
    CHECK(fixture.Run(Outcome::Good, true) == "bad");
    CHECK(fixture.Acquire() == "good");
    CHECK(fixture.Run(Outcome::Good, true) == "bad");
    CHECK(fixture.allocator.Suspects().empty());
    CHECK(fixture.Acquire() == "bad");
  }
  SUBCASE("has its backoff extended by a failed trial")
  {
    fixture.now += Milliseconds(350);
    CHECK(fixture.Run(Outcome::Failed, true) == "bad");
    fixture.now += Milliseconds(350);
    CHECK(fixture.Acquire(true) == "good");
    fixture.now += Milliseconds(350);
    CHECK(fixture.Acquire(true) == "bad");
  }
  SUBCASE("is not readmitted by requests that started before the failure")
  {
    // A response to a request from before a failure burst does not show that the burst is over.
    AllocatorFixture single;
    single.SetUpstreams({ { "only", "a", 3 } });
    single.Acquire();
    single.Acquire();
    single.now += Milliseconds(10);
    single.Release(1, Outcome::Failed);
    single.now += Milliseconds(10);
    single.Release(2, Outcome::Good);
    CHECK(single.allocator.Suspects().size() == 1);
  }
  SUBCASE("still serves requests that have waited too long for others")
  {
    // A suspicion must not reduce the capacity of the service when the other upstreams are full.
    for (int i = 0; i < 3; ++i) {
      fixture.Acquire();
    }
    const SlotRequest request = fixture.MakeRequest();
    CHECK(fixture.Acquire(request).empty());
    fixture.Advance(Milliseconds(300));
    CHECK(fixture.granted[request.lease.sequence] == "bad");
  }
  SUBCASE("is not a suspect after a restart under the same id")
  {
    fixture.SetUpstreams({ { "bad", "a", 3, {}, 7 }, { "good", "b", 3 } });
    CHECK(fixture.Acquire() == "bad");
  }
}

TEST_CASE("an upstream that refuses requests")
{
  AllocatorFixture fixture;
  fixture.SetUpstreams({ { "full", "a", 3 }, { "free", "b", 3 } });
  SUBCASE("is paused but not a suspect")
  {
    CHECK(fixture.Run(Outcome::Refused) == "full");
    CHECK(fixture.allocator.Suspects().empty());
    CHECK(fixture.Acquire() == "free");
  }
}

TEST_CASE("an upstream that one host cannot reach")
{
  AllocatorFixture fixture;
  fixture.SetUpstreams({ { "cut", "a", 3 }, { "other", "b", 3 } });
  // A network fault of one host must not make the upstream a suspect for all hosts.
  CHECK(fixture.Run(Outcome::Unreachable) == "cut");
  CHECK(fixture.allocator.Suspects().empty());
}

TEST_CASE("an upstream that wants no requests of one host")
{
  AllocatorFixture fixture;
  fixture.SetUpstreams({ { "one", "a", 12 }, { "two", "a", 12 } });
  const auto makePaused = [&] {
    SlotRequest request = fixture.MakeRequest();
    request.avoid = { "one" };
    return request;
  };
  SUBCASE("is not granted to that host")
  {
    for (int i = 0; i < 12; ++i) {
      CHECK(fixture.Acquire(makePaused()) == "two");
    }
    CHECK(fixture.Acquire(makePaused()).empty());
    CHECK(fixture.Acquire() == "one");
  }
  SUBCASE("is granted to requests of other hosts behind many of that host")
  {
    for (int i = 0; i < 24; ++i) {
      REQUIRE_FALSE(fixture.Acquire().empty());
    }
    for (int i = 0; i < 12; ++i) {
      fixture.now += Milliseconds(1);
      fixture.Acquire(makePaused());
    }
    fixture.now += Milliseconds(1);
    fixture.Acquire();
    const uint64_t behind = fixture.sequence;
    for (uint64_t sequence = 1; sequence <= 24; ++sequence) {
      if (fixture.granted[sequence] == "one") {
        fixture.Release(sequence, Outcome::Good);
        break;
      }
    }
    CHECK(fixture.granted[behind] == "one");
  }
  SUBCASE("counts as excluded for a host that no other wants either")
  {
    SlotRequest request = makePaused();
    request.exclude = { "two" };
    CHECK(fixture.Acquire(request).empty());
    REQUIRE(fixture.refused.contains(request.lease.sequence));
    CHECK(fixture.refused[request.lease.sequence].reason == "upstreams_paused");
    CHECK(fixture.refused[request.lease.sequence].retryAfter > Duration(0));
    SUBCASE("also when the others leave while its request is queued")
    {
      for (int i = 0; i < 12; ++i) {
        fixture.Acquire(makePaused());
      }
      const SlotRequest queued = makePaused();
      CHECK(fixture.Acquire(queued).empty());
      CHECK_FALSE(fixture.refused.contains(queued.lease.sequence));
      fixture.SetUpstreams({ { "one", "a", 12 } });
      CHECK(fixture.refused.contains(queued.lease.sequence));
    }
  }
}

TEST_CASE("a host that cannot reach the shared allocator")
{
  AllocatorFixture fixture;
  fixture.SetUpstreams({ { "one", "a", 1 }, { "two", "a", 1 } });
  SUBCASE("picks an upstream even when all slots are in use")
  {
    fixture.Acquire();
    fixture.Acquire();
    CHECK_FALSE(fixture.allocator.PickUpstream(fixture.MakeRequest(), 1, fixture.now).empty());
  }
  SUBCASE("counts the leases that it adds itself")
  {
    const SlotRequest request = fixture.MakeRequest();
    fixture.allocator.AddLease(request, "one", fixture.now);
    CHECK(fixture.Acquire() == "two");
    CHECK(fixture.Acquire().empty());
  }
}

TEST_CASE("the retry budget")
{
  TimePoint now{ std::chrono::hours(1) };
  RetryBudget budget({ 0.2, 40, std::chrono::seconds(10) });
  RetryBudget::Share share{ .slack = 0.1, .hosts = 4 };
  const auto consumeAll = [&] {
    int retries = 0;
    while (budget.TryTake(share, now)) {
      ++retries;
    }
    return retries;
  };
  const auto count = [&](int aRequests) {
    for (int i = 0; i < aRequests; ++i) {
      budget.OnRequest(now);
    }
  };
  SUBCASE("allows its share of the slack without requests")
  {
    CHECK(consumeAll() == 3);
  }
  SUBCASE("allows more retries with more requests and frees them after the window")
  {
    count(100);
    CHECK(consumeAll() == 21);
    now += std::chrono::seconds(5);
    CHECK(consumeAll() == 0);
    now += std::chrono::seconds(6);
    CHECK(consumeAll() == 3);
  }
  SUBCASE("grants what other holders have counted and not granted")
  {
    budget.SetElsewhere(1, { 100, 10 }, true, now);
    budget.SetElsewhere(2, { 100, 10 }, true, now);
    budget.SetElsewhere(3, { 0, 0 }, true, now);
    budget.SetElsewhere(4, { 0, 0 }, true, now);
    CHECK(consumeAll() == 19);
    SUBCASE("until the window has passed")
    {
      now += std::chrono::seconds(11);
      CHECK(consumeAll() == 3);
    }
  }
  SUBCASE("takes hosts that do not know what they had spent to owe as much as the others")
  {
    count(500);
    budget.SetElsewhere(1, { 100, 38 }, true, now);
    budget.SetElsewhere(2, { 100, 38 }, true, now);
    budget.SetElsewhere(3, { 0, 0 }, false, now);
    CHECK(consumeAll() == 90 + 1 - 80);
  }
  SUBCASE("does not take them to have left as much as the others")
  {
    budget.SetElsewhere(1, { 100, 0 }, true, now);
    CHECK(consumeAll() == 18);
  }
  SUBCASE("does not count old reports of requests, some of which have left the window")
  {
    budget.SetElsewhere(1, { 100, 5 }, true, now);
    now += std::chrono::seconds(3);
    count(200);
    CHECK(consumeAll() == 36 - 4 * 5);
  }
  SUBCASE("is empty while nobody knows what an earlier process has granted")
  {
    budget.SetStart(now);
    count(100);
    budget.SetElsewhere(1, { 100, 0 }, false, now);
    CHECK(consumeAll() == 0);
    SUBCASE("but not when a host that has run for a window tells")
    {
      budget.SetElsewhere(2, { 0, 0 }, true, now);
      CHECK(consumeAll() > 0);
    }
    SUBCASE("nor after a window")
    {
      now += std::chrono::seconds(11);
      count(100);
      CHECK(consumeAll() > 0);
    }
  }
}

TEST_CASE("the retry budget of an allocator")
{
  SlotAllocatorInit init;
  int granted = 0;
  init.onGrant = [&](const Grant&) { ++granted; };
  init.onRefusal = [](const Refusal&) {};
  init.retries = { 0.2, 40, std::chrono::seconds(10) };
  SlotAllocator allocator(init);
  TimePoint now{ std::chrono::hours(1) };
  const UpstreamSlots upstream{ "one", "a", 5000 };
  allocator.SetUpstreams({ &upstream, 1 }, now, 1);
  uint64_t sequence = 0;
  const auto send = [&](int aCount, bool aIsRetry, bool aIsCounted) {
    granted = 0;
    for (int i = 0; i < aCount; ++i) {
      SlotRequest request;
      request.lease = { 1, ++sequence };
      request.isRetry = aIsRetry;
      request.isCounted = aIsCounted;
      request.receivedAt = now;
      request.deadline = now + std::chrono::seconds(5);
      allocator.Request(request, now);
    }
    return granted;
  };
  SUBCASE("is its part of the slack")
  {
    CHECK(send(60, true, false) == 36);
  }
  SUBCASE("which is that of the hosts that use it")
  {
    allocator.SetReach(20, 40);
    CHECK(send(60, true, false) == 18);
  }
  SUBCASE("is not charged for a retry that another holder has granted")
  {
    CHECK(send(60, true, true) == 60);
    CHECK(send(60, true, false) == 36);
  }
  SUBCASE("counts no request that another holder has counted")
  {
    send(500, false, true);
    CHECK(send(60, true, false) == 36);
    send(50, false, false);
    CHECK(send(60, true, false) == 9);
  }
}

TEST_CASE("an upstream that does not answer")
{
  // It would fill its slots with requests that all wait until their deadlines.
  AllocatorFixture fixture;
  fixture.SetUpstreams(
    { { "hangs", "a", 3 }, { "two", "b", 3 }, { "three", "b", 3 }, { "four", "b", 3 } });
  REQUIRE(fixture.Acquire() == "hangs");
  fixture.Advance(Milliseconds(300));
  CHECK(fixture.Acquire() == "hangs");
  fixture.Advance(Milliseconds(600));
  CHECK(fixture.Acquire() != "hangs");
  CHECK(fixture.Acquire(true) != "hangs");
  SUBCASE("is used again when it has answered")
  {
    fixture.Release(1, Outcome::Good, Milliseconds(900));
    fixture.Release(2, Outcome::Good, Milliseconds(600));
    fixture.Advance(Milliseconds(1));
    CHECK(fixture.Acquire() == "hangs");
  }
}

TEST_CASE("coverage of idle upstreams")
{
  CoverageMonitor monitor;
  SUBCASE("is due when too many of them are idle")
  {
    monitor.Update(1, 10, 50);
    CHECK_FALSE(monitor.IsDue());
    monitor.Update(4, 10, 50);
    CHECK(monitor.IsDue());
  }
  SUBCASE("is not due in a service with few requests")
  {
    // Most of them would meet an upstream of which nothing is known.
    monitor.Update(8, 10, 6);
    CHECK_FALSE(monitor.IsDue());
  }
  SUBCASE("takes a bounded share of the requests")
  {
    monitor.Update(8, 10, 50);
    int covered = 0;
    for (int i = 0; i < 1000; ++i) {
      const bool isDue = monitor.IsDue();
      covered += isDue ? 1 : 0;
      monitor.OnGrant(isDue);
    }
    CHECK(covered > 200);
    CHECK(covered < 300);
  }
}

TEST_CASE("a standby allocator")
{
  AllocatorFixture fixture;
  fixture.SetUpstreams({ { "one", "a", 3 }, { "two", "a", 3 } });
  const std::vector<std::string> suspects = { "one" };
  SUBCASE("copies the suspects of the active allocator")
  {
    fixture.allocator.SetSuspects(suspects, fixture.now);
    CHECK(fixture.Acquire() == "two");
    SUBCASE("and clears those that are no longer suspects")
    {
      fixture.allocator.SetSuspects({}, fixture.now);
      CHECK(fixture.allocator.Suspects().empty());
    }
  }
  SUBCASE("keeps an upstream that moves to it from another shard a suspect")
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
  SUBCASE("keeps its order when a host is removed")
  {
    std::vector<std::string> fewer(ranked.begin() + 1, ranked.end());
    CHECK(RankHosts("service#0", fewer) == fewer);
  }
  SUBCASE("does not depend on the order of the list")
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
  SUBCASE("keep most upstreams when the number of shards changes")
  {
    // An allocator has no health data of upstreams that move to it, so few may move on a scale-out.
    int moved = 0;
    for (int i = 0; i < 1000; ++i) {
      const std::string upstream = "upstream" + std::to_string(i);
      moved += ShardOf(upstream, 5) != ShardOf(upstream, 6) ? 1 : 0;
    }
    CHECK(moved < 250);
    CHECK(moved > 100);
  }
}

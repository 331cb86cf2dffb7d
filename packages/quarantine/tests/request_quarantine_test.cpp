#include <doctest/doctest.h>

#include "boragegauge/config.h"
#include "boragegauge/quarantine.h"

using namespace bg;
using namespace bg::quarantine;

namespace {

constexpr uint64_t kRequest = 0xabc;

struct Fixture
{
  /// The next upstream crashes 100 ms after it was sent the request.
  bool Run(uint64_t aFingerprint = kRequest)
  {
    const TimePoint sentAt = now;
    now += Milliseconds(100);
    return RecordCrash(aFingerprint, "upstream" + std::to_string(++upstreams), sentAt);
  }

  bool RecordCrash(uint64_t aFingerprint, const std::string& aUpstream, TimePoint aSentAt)
  {
    return quarantine.RecordCrash(aFingerprint, { aUpstream, 1, aSentAt, now, "edge-1" }, now);
  }

  Verdict Check(uint64_t aFingerprint = kRequest) const
  {
    return quarantine.Check(aFingerprint, now);
  }

  RequestQuarantine quarantine;
  TimePoint now{ std::chrono::hours(100) };
  int upstreams = 0;
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "a request that crashes upstream after upstream is kept from the others")
{
  CHECK(Check().decision == Decision::Allow);
  CHECK(Run());
  CHECK(Check().decision == Decision::Allow);
  CHECK(Run());
  CHECK(Check().decision == Decision::Trial);
  CHECK(Run());
  REQUIRE(Check().decision == Decision::Reject);
  CHECK(Check().retryAfter == std::chrono::minutes(1));
  CHECK(Check(kRequest + 1).decision == Decision::Allow);
  CHECK(quarantine.CountQuarantined(now) == 1);

  SUBCASE("its trials grow rare: two in a day")
  {
    now += std::chrono::seconds(59);
    CHECK(Check().retryAfter == std::chrono::seconds(1));
    int sent = 0;
    const TimePoint end = now + std::chrono::hours(23);
    for (; now < end; now += std::chrono::seconds(10)) {
      if (Check().decision != Decision::Reject) {
        Run();
        ++sent;
      }
    }
    CHECK(sent == 2);
  }

  SUBCASE("a trial that an upstream survives clears it")
  {
    now += std::chrono::minutes(1);
    REQUIRE(Check().decision == Decision::Trial);
    CHECK(quarantine.RecordSurvival(kRequest, now));
    CHECK(Check().decision == Decision::Allow);
    CHECK_FALSE(quarantine.RecordSurvival(kRequest, now));
  }

  SUBCASE("it is forgotten a day after its last crash")
  {
    now += std::chrono::hours(25);
    quarantine.Expire(now);
    CHECK(quarantine.Requests().empty());
  }
}

TEST_CASE_FIXTURE(Fixture, "a request beside one that crashes upstreams is not convicted")
{
  Run();
  Run();

  SUBCASE("because it has succeeded in between")
  {
    CHECK(quarantine.RecordSurvival(kRequest, now));
    now += Milliseconds(1);
    Run();
    Run();
    CHECK(Check().decision == Decision::Trial);
  }

  SUBCASE("because its attempts ended at the same time")
  {
    const TimePoint sentAt = now - Milliseconds(50); // Before the last crash.
    CHECK(RecordCrash(kRequest, "other1", sentAt));
    CHECK(RecordCrash(kRequest, "other2", sentAt));
    CHECK(Check().decision == Decision::Trial);
  }

  SUBCASE("because several hosts or attempts have seen the same crash")
  {
    CHECK_FALSE(RecordCrash(kRequest, "upstream2", now));
    CHECK(Check().decision == Decision::Trial);
  }

  SUBCASE("because an upstream has answered it after a late report")
  {
    quarantine.RecordSurvival(kRequest, now);
    CHECK_FALSE(RecordCrash(kRequest, "late", now - Milliseconds(200)));
  }
}

TEST_CASE_FIXTURE(Fixture, "hosts learn from each other in any order")
{
  RequestQuarantine other;
  Run();
  Run();
  Run();
  const SuspectRequest known = *quarantine.Find(kRequest);
  CHECK(other.Merge(known, now));
  CHECK_FALSE(other.Merge(known, now));
  CHECK(other.Check(kRequest, now).decision == Decision::Reject);

  SUBCASE("a survival outweighs the crashes before it, wherever they are still known")
  {
    now += Milliseconds(5);
    quarantine.RecordSurvival(kRequest, now);
    CHECK(other.Merge(*quarantine.Find(kRequest), now));
    CHECK(other.Check(kRequest, now).decision == Decision::Allow);
    CHECK_FALSE(quarantine.Merge(known, now));
    CHECK(Check().decision == Decision::Allow);
  }

  SUBCASE("crashes at two hosts add up")
  {
    RequestQuarantine left;
    RequestQuarantine right;
    left.RecordCrash(kRequest, known.crashes[0], now);
    left.RecordCrash(kRequest, known.crashes[2], now);
    right.RecordCrash(kRequest, known.crashes[1], now);
    left.Merge(*right.Find(kRequest), now);
    CHECK(left.Check(kRequest, now).decision == Decision::Reject);
  }
}

TEST_CASE_FIXTURE(Fixture,
                  "the number of requests is bounded, and the best known culprits are kept")
{
  Run();
  Run();
  Run();
  for (uint64_t request = 1; request < 2 * kMaxSuspectRequests; ++request) {
    Run(kRequest + request);
  }
  CHECK(quarantine.Requests().size() == kMaxSuspectRequests);
  REQUIRE(quarantine.Find(kRequest) != nullptr);
  CHECK(quarantine.Find(kRequest)->CountSequentialCrashes() == 3);
}

TEST_CASE("only one attempt of a suspect request runs in the fleet")
{
  TrialLocks locks;
  TimePoint now{ std::chrono::hours(1) };
  const TimePoint deadline = now + std::chrono::seconds(2);
  const TrialLocks::Owner first{ 1, 7 };
  const TrialLocks::Owner second{ 2, 7 };
  CHECK(locks.TryAcquire(kRequest, first, deadline, now));
  CHECK(locks.TryAcquire(kRequest, first, deadline, now)); // The same message again.
  CHECK_FALSE(locks.TryAcquire(kRequest, second, deadline, now));
  CHECK(locks.TryAcquire(kRequest + 1, second, deadline, now));

  SUBCASE("the next one waits until all hosts know how it ended")
  {
    locks.Release(first, now);
    CHECK_FALSE(locks.TryAcquire(kRequest, second, deadline, now + Milliseconds(900)));
    CHECK(locks.TryAcquire(kRequest, second, deadline, now + Milliseconds(1100)));
  }

  SUBCASE("a host that is gone does not hold it for longer than the deadline")
  {
    CHECK(locks.TryAcquire(kRequest, second, deadline + Milliseconds(1), deadline));
  }
}

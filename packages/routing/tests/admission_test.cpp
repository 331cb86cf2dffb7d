#include <doctest/doctest.h>

#include <algorithm>

#include "boragegauge/routing.h"

using namespace bg;

namespace {

const TimePoint kStart = TimePoint{} + std::chrono::hours(1);
const TimePoint kLater = kStart + std::chrono::seconds(10);

std::vector<CallerConfig> MakeCallers()
{
  std::vector<CallerConfig> callers(2);
  callers[0].weight = 1;
  callers[1].weight = 3;
  return callers;
}

} // namespace

TEST_CASE("admission to a service")
{
  const auto callers = MakeCallers();
  ServiceAdmission admission({ 2, 4, callers });
  const CallerHandle lightClass{ 0 };
  const CallerHandle heavyClass{ 1 };
  REQUIRE(admission.Admit(1, lightClass, kLater, kStart).result == AdmissionResult::Start);
  REQUIRE(admission.Admit(2, lightClass, kLater, kStart).result == AdmissionResult::Start);

  SUBCASE("requests over the limit are queued and start by earliest deadline")
  {
    CHECK(admission.Admit(3, lightClass, kLater, kStart).result == AdmissionResult::Queued);
    CHECK(admission.Admit(4, lightClass, kLater - Milliseconds(1), kStart).result ==
          AdmissionResult::Queued);
    CHECK(admission.TakeReady(kStart).empty());
    admission.Finish(Milliseconds(25));
    CHECK(admission.TakeReady(kStart) == std::vector<Ticket>{ 4 });
  }

  SUBCASE("a full queue evicts a request of the class that exceeds its share")
  {
    // Otherwise one caller class could fill the queue and starve the others.
    for (Ticket ticket = 3; ticket <= 6; ++ticket) {
      CHECK(admission.Admit(ticket, lightClass, kLater + Milliseconds(ticket), kStart).result ==
            AdmissionResult::Queued);
    }
    CHECK(admission.Admit(7, lightClass, kLater, kStart).result == AdmissionResult::QueueFull);
    const auto decision = admission.Admit(8, heavyClass, kLater, kStart);
    CHECK(decision.result == AdmissionResult::Queued);
    CHECK(decision.evicted == Ticket{ 6 });
  }

  SUBCASE("queued classes are served in proportion to their weights")
  {
    ServiceAdmission fair({ 1, 100, callers });
    CHECK(fair.Admit(1000, lightClass, kLater, kStart).result == AdmissionResult::Start);
    for (Ticket ticket = 0; ticket < 40; ++ticket) {
      CHECK(fair.Admit(ticket, ticket < 20 ? lightClass : heavyClass, kLater, kStart).result ==
            AdmissionResult::Queued);
    }
    int servedHeavy = 0;
    for (int i = 0; i < 20; ++i) {
      fair.Finish(Milliseconds(1));
      const auto ready = fair.TakeReady(kStart);
      REQUIRE(ready.size() == 1);
      servedHeavy += ready[0] >= 20 ? 1 : 0;
    }
    CHECK(servedHeavy == 15);
  }

  SUBCASE("requests that cannot meet their deadline are refused at once or expire in the queue")
  {
    admission.Finish(Milliseconds(100));
    CHECK(admission.Admit(3, lightClass, kLater, kStart).result == AdmissionResult::Start);
    CHECK(admission.Admit(4, lightClass, kStart + Milliseconds(60), kStart).result ==
          AdmissionResult::Queued);
    CHECK(admission.Admit(5, lightClass, kStart + Milliseconds(40), kStart).result ==
          AdmissionResult::DeadlineShort);
    CHECK(admission.TakeExpired(kStart + Milliseconds(60)) == std::vector<Ticket>{ 4 });
    CHECK(admission.Stats().queued == 0);
  }

  SUBCASE("a cancelled request is removed from the queue")
  {
    CHECK(admission.Admit(3, lightClass, kLater, kStart).result == AdmissionResult::Queued);
    admission.Cancel(3);
    admission.Finish(Milliseconds(1));
    CHECK(admission.TakeReady(kStart).empty());
  }

  SUBCASE("shed responses lower the limit once per interval, and finished requests raise it")
  {
    ServiceAdmission adaptive({ 40, 0, callers });
    for (Ticket ticket = 0; ticket < 20; ++ticket) {
      CHECK(adaptive.Admit(ticket, lightClass, kLater, kStart).result == AdmissionResult::Start);
    }
    for (int i = 0; i < 30; ++i) {
      adaptive.OnShed(kStart);
    }
    // The limit drops below the 20 requests in flight. Starting from the limit of 40 it would take
    // several intervals to have any effect.
    CHECK(adaptive.Stats().limit == doctest::Approx(18));
    for (int i = 0; i < 1000; ++i) {
      adaptive.Finish(Milliseconds(25));
    }
    CHECK(adaptive.Stats().limit == doctest::Approx(40));
  }
}

TEST_CASE("retries do not exceed their share of the requests")
{
  // Prevents retry storms: a service that fails every request gets 10 % more requests, not twice as
  // many.
  RetryBudget budget(0.1, 5);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest();
    retries += budget.TryTake() ? 1 : 0;
  }
  CHECK(retries <= 105);
  CHECK(retries >= 100);
}

TEST_CASE("a rate limiter allows a burst of one second, then only its rate")
{
  RateLimiter limiter(100);
  int allowed = 0;
  for (int i = 0; i < 3000; ++i) {
    allowed += limiter.TryTake(kStart + Milliseconds(i)) ? 1 : 0;
  }
  CHECK(allowed >= 390);
  CHECK(allowed <= 400);
}

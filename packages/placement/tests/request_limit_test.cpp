#include <doctest/doctest.h>

#include "boragegauge/placement.h"

using namespace bg;
using namespace bg::placement;

TEST_CASE("the request limit of an upstream")
{
  const TimePoint start{ std::chrono::hours(1) };
  TimePoint now = start;
  RequestLimit limit;
  CHECK_FALSE(limit.IsInForce());
  CHECK(limit.MaySend(now));
  /// Sends as many requests as the limit allows for a time.
  const auto sendFor = [&](Duration aTime) {
    uint32_t sent = 0;
    for (const TimePoint end = now + aTime; now < end; now += Milliseconds(10)) {
      while (limit.MaySend(now)) {
        limit.RecordSends(1, now);
        ++sent;
        REQUIRE(sent < 1000);
      }
    }
    return sent;
  };

  SUBCASE("is kept from the response that names it on")
  {
    CHECK(limit.Record(3, now));
    CHECK(limit.Since() == start);
    CHECK_FALSE(limit.MaySend(now));
    CHECK(sendFor(std::chrono::seconds(4)) == 11);
    SUBCASE("with a burst of half a second after a pause")
    {
      now += std::chrono::seconds(60);
      CHECK(sendFor(Milliseconds(10)) == 1);
      limit.Record(8, now);
      now += std::chrono::seconds(60);
      CHECK(sendFor(Milliseconds(10)) == 4);
    }
    SUBCASE("together with the requests of another allocator")
    {
      limit.RecordSends(6, now);
      CHECK(sendFor(std::chrono::seconds(4)) <= 6);
    }
  }
  SUBCASE("changes and ends with the newest response")
  {
    limit.Record(1, now);
    CHECK(limit.Record(4, now + std::chrono::seconds(2)));
    CHECK(limit.Since() == start);
    SUBCASE("not with one that arrives late")
    {
      CHECK_FALSE(limit.Record(1, now + std::chrono::seconds(1)));
      CHECK_FALSE(limit.Record(RequestLimit::kUnlimited, now + std::chrono::seconds(1)));
      CHECK(limit.PerSecond() == 4);
    }
    SUBCASE("which may name none")
    {
      CHECK(limit.Record(RequestLimit::kUnlimited, now + std::chrono::seconds(3)));
      CHECK_FALSE(limit.IsInForce());
      CHECK(limit.MaySend(now));
    }
  }
  SUBCASE("of less than one request in four seconds leaves one to find its end")
  {
    for (const double perSecond : { 0.0, 0.01 }) {
      limit.Record(perSecond, now);
      CHECK(sendFor(std::chrono::seconds(40)) >= 9);
      CHECK(sendFor(std::chrono::seconds(40)) <= 10);
    }
  }
  SUBCASE("is shared by hosts that cannot reach each other")
  {
    constexpr size_t kHosts = 48;
    constexpr double kPerSecond = 3;
    std::vector<RequestLimit> hosts(kHosts);
    for (RequestLimit& host : hosts) {
      host.Record(kPerSecond, now);
    }
    // Each host always has a request, after a long time without any.
    now += std::chrono::seconds(60);
    uint32_t sent = 0;
    for (const TimePoint end = now + std::chrono::seconds(16); now < end; now += Milliseconds(10)) {
      for (size_t i = 0; i < kHosts; ++i) {
        if (hosts[i].HasTurn(kHosts, 1, i, now)) {
          hosts[i].RecordSends(1, now);
          ++sent;
        }
      }
    }
    CHECK(sent >= 16 * kPerSecond - 1);
    CHECK(sent <= 16 * kPerSecond + 1);
  }
}

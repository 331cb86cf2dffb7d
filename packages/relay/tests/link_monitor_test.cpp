#include <doctest/doctest.h>

#include "boragegauge/relay.h"

using namespace bg;
using namespace bg::relay;

TEST_CASE("a host that reaches no upstream has lost its links")
{
  LinkMonitor links;
  TimePoint now{ std::chrono::hours(1) };
  CHECK_FALSE(links.RecordUnreachable("u1", now));
  CHECK(links.IsInDoubt());
  CHECK_FALSE(links.RecordUnreachable("u1", now));
  CHECK_FALSE(links.RecordUnreachable("u2", now));

  SUBCASE("unless it has reached another one in between")
  {
    CHECK_FALSE(links.RecordConnected("u3", now));
    CHECK_FALSE(links.IsInDoubt());
    CHECK_FALSE(links.RecordUnreachable("u1", now));
    CHECK_FALSE(links.RecordUnreachable("u2", now));
  }

  SUBCASE("unless the failures are far apart")
  {
    CHECK_FALSE(links.RecordUnreachable("u3", now + std::chrono::seconds(11)));
  }

  SUBCASE("until it reaches two upstreams again")
  {
    CHECK(links.RecordUnreachable("u3", now));
    CHECK(links.HasLostLinks());
    CHECK(links.Since() == now);
    CHECK(links.IsTrialDue(now));
    links.RecordTrial(now);
    CHECK_FALSE(links.IsTrialDue(now + Milliseconds(400)));
    CHECK(links.IsTrialDue(now + Milliseconds(500)));
    CHECK_FALSE(links.RecordConnected("u1", now));
    CHECK_FALSE(links.RecordUnreachable("u2", now)); // The links come and go.
    CHECK_FALSE(links.RecordConnected("u3", now));
    CHECK_FALSE(links.RecordConnected("u3", now));
    CHECK(links.HasLostLinks());
    CHECK(links.RecordConnected("u4", now));
    CHECK_FALSE(links.HasLostLinks());
    CHECK_FALSE(links.IsTrialDue(now + std::chrono::seconds(1)));
  }
}

#include <doctest/doctest.h>

#include "upstream_notices_p.h"

using namespace bg;
using namespace bg::fleet;
using namespace bg::fleet::detail;

namespace {

RegisteredUpstream Run(int64_t aStartedAtMs, bool aDraining = false)
{
  RegisteredUpstream upstream;
  upstream.id = "one";
  upstream.startedAtMs = aStartedAtMs;
  upstream.isDraining = aDraining;
  return upstream;
}

const TimePoint kStart{ std::chrono::hours(1) };

} // namespace

TEST_CASE("an upstream that has said that it leaves")
{
  UpstreamNotices notices;
  REQUIRE(notices.RecordLeaving({ "one", 1000, kStart, "host" }));
  CHECK(notices.IsLeaving(Run(1000)));
  SUBCASE("leaves whatever its entry in the store says")
  {
    CHECK(notices.IsLeaving(Run(1000, false)));
    SUBCASE("also when a restored entry is of an earlier run, or of none")
    {
      CHECK(notices.IsLeaving(Run(900)));
      CHECK(notices.IsLeaving(Run(0)));
    }
  }
  SUBCASE("is known once")
  {
    CHECK_FALSE(notices.RecordLeaving({ "one", 1000, kStart + Milliseconds(9), "other" }));
    CHECK_FALSE(notices.RecordLeaving({ "one", 900, kStart + Milliseconds(9), "other" }));
    CHECK(notices.Leaving().at("one").source == "host");
  }
  SUBCASE("accepts requests again in its next run under the same id")
  {
    CHECK_FALSE(notices.IsLeaving(Run(1001)));
    SUBCASE("which may leave as well")
    {
      CHECK(notices.RecordLeaving({ "one", 1001, kStart + Milliseconds(9), "host" }));
      CHECK(notices.IsLeaving(Run(1001)));
    }
  }
  SUBCASE("is forgotten when it cannot get requests any more")
  {
    const RegisteredUpstream same = Run(1000);
    const RegisteredUpstream next = Run(1001);
    const TimePoint later = kStart + std::chrono::minutes(10);
    notices.Expire([&](std::string_view) { return &same; }, later);
    CHECK(notices.IsLeaving(same));
    SUBCASE("because it runs again")
    {
      notices.Expire([&](std::string_view) { return &next; }, kStart);
      CHECK(notices.Leaving().empty());
    }
    SUBCASE("because its entry has been gone for a while")
    {
      const auto none = [](std::string_view) -> const RegisteredUpstream* { return nullptr; };
      notices.Expire(none, kStart + std::chrono::seconds(30));
      CHECK(notices.IsLeaving(same));
      notices.Expire(none, later);
      CHECK(notices.Leaving().empty());
    }
  }
}

TEST_CASE("an upstream that has asked a host for a pause")
{
  UpstreamNotices notices;
  const auto pause = [](int64_t aRun, Duration aSince, Duration aLength) {
    return UpstreamPause{ aRun, kStart + aSince, kStart + aSince + aLength };
  };
  const auto at = [](int64_t aMs) { return kStart + Milliseconds(aMs); };
  REQUIRE(notices.RecordPause("one", pause(1000, Duration(0), Milliseconds(2000))));
  SUBCASE("is paused until it ends")
  {
    CHECK(notices.IsPaused(Run(1000), at(0)));
    CHECK(notices.IsPaused(Run(1000), at(1999)));
    CHECK_FALSE(notices.IsPaused(Run(1000), at(2000)));
  }
  SUBCASE("is paused until the last of several ends, in whichever order they arrive")
  {
    CHECK_FALSE(notices.RecordPause("one", pause(1000, Milliseconds(100), Milliseconds(500))));
    CHECK(notices.IsPaused(Run(1000), at(1999)));
    CHECK(notices.RecordPause("one", pause(1000, Milliseconds(100), Milliseconds(3000))));
    CHECK(notices.IsPaused(Run(1000), at(3099)));
  }
  SUBCASE("is not paused in its next run under the same id")
  {
    CHECK_FALSE(notices.IsPaused(Run(1001), at(100)));
    SUBCASE("unless that asks for one as well")
    {
      CHECK(notices.RecordPause("one", pause(1001, Milliseconds(100), Milliseconds(500))));
      CHECK(notices.IsPaused(Run(1001), at(599)));
      CHECK_FALSE(notices.IsPaused(Run(1001), at(600)));
    }
  }
  SUBCASE("is forgotten after its end")
  {
    const RegisteredUpstream same = Run(1000);
    notices.Expire([&](std::string_view) { return &same; }, at(1999));
    CHECK(notices.Pauses().size() == 1);
    notices.Expire([&](std::string_view) { return &same; }, at(2000));
    CHECK(notices.Pauses().empty());
  }
}

#include <doctest/doctest.h>

#include "support.h"

using namespace bg;
using namespace bg::detection;
using namespace bg::detection::test;

namespace {

/// Runs trials until the upstream is readmitted. Returns the time of the last one.
TimePoint Readmit(ReadmissionState& aState, const ReadmissionInit& aInit)
{
  const TimePoint now = aState.NextTrial();
  for (uint32_t i = 0; i < aInit.trialsNeeded; ++i) {
    REQUIRE(aState.StartTrial(aInit, now));
    CHECK(aState.ObserveTrial(aInit, OutcomeClass::Good, now) == (i + 1 == aInit.trialsNeeded));
  }
  return now;
}

} // namespace

TEST_CASE("readmission of an upstream with a verdict")
{
  const ReadmissionInit init;
  ReadmissionState state;
  state.OnVerdict(init, At(0));
  CHECK(state.Backoff() == Milliseconds(5000));

  SUBCASE("one trial at a time, and a bad one doubles the back-off up to its limit")
  {
    // Guards against an upstream that still fails and gets more than a request per back-off.
    Milliseconds expected{ 5000 };
    for (int64_t i = 0; i < 10; ++i) {
      CHECK_FALSE(state.StartTrial(init, state.NextTrial() - Milliseconds(1)));
      const TimePoint now = state.NextTrial();
      REQUIRE(state.StartTrial(init, now));
      CHECK_FALSE(state.StartTrial(init, now));
      CHECK_FALSE(state.ObserveTrial(init, OutcomeClass::Failed, now));
      expected = std::min(expected * 2, Milliseconds(300000));
      CHECK(state.Backoff() == expected);
    }
  }

  SUBCASE("an upstream that flaps backs off longer; after a long healthy time it starts over")
  {
    // Guards against an upstream that is readmitted every few seconds, and against one that is
    // punished for a fault of last week.
    TimePoint now = Readmit(state, init);
    state.OnVerdict(init, now + Milliseconds(20000));
    CHECK(state.Backoff() == Milliseconds(10000));
    now = Readmit(state, init);
    state.OnVerdict(init, now + init.healthyReset);
    CHECK(state.Backoff() == Milliseconds(5000));
  }

  SUBCASE("a trial without an outcome does not block readmission")
  {
    // Guards against a lost trial that would exclude the upstream for ever.
    REQUIRE(state.StartTrial(init, At(5000)));
    CHECK_FALSE(state.StartTrial(init, At(14999)));
    CHECK(state.StartTrial(init, At(15000)));
  }

  SUBCASE("a refusal neither readmits nor extends")
  {
    REQUIRE(state.StartTrial(init, At(5000)));
    CHECK_FALSE(state.ObserveTrial(init, OutcomeClass::Neutral, At(5001)));
    CHECK(state.Backoff() == Milliseconds(5000));
    CHECK(state.StartTrial(init, At(5001)));
  }
}

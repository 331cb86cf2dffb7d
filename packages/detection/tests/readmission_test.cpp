#include <doctest/doctest.h>

#include "support.h"

using namespace bg;
using namespace bg::detection;
using namespace bg::detection::test;

namespace {

/// Runs successful trials until the upstream is readmitted. Returns the time of the readmission.
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

  SUBCASE("only one trial runs at a time, and a failed one doubles the back-off up to its limit")
  {
    // An upstream that still fails must not get more than one request per back-off.
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

  SUBCASE("the back-off of a flapping upstream grows; a long healthy time resets it")
  {
    // Without growth, a flapping upstream would be readmitted every few seconds. Without the reset,
    // a fault of last week would still lengthen the back-off.
    TimePoint now = Readmit(state, init);
    state.OnVerdict(init, now + Milliseconds(20000));
    CHECK(state.Backoff() == Milliseconds(10000));
    now = Readmit(state, init);
    state.OnVerdict(init, now + init.healthyReset);
    CHECK(state.Backoff() == Milliseconds(5000));
  }

  SUBCASE("a trial without an outcome does not block readmission")
  {
    // Otherwise a lost trial request would exclude the upstream for ever.
    REQUIRE(state.StartTrial(init, At(5000)));
    CHECK_FALSE(state.StartTrial(init, At(14999)));
    CHECK(state.StartTrial(init, At(15000)));
  }

  SUBCASE("a neutral outcome neither readmits the upstream nor extends its back-off")
  {
    REQUIRE(state.StartTrial(init, At(5000)));
    CHECK_FALSE(state.ObserveTrial(init, OutcomeClass::Neutral, At(5001)));
    CHECK(state.Backoff() == Milliseconds(5000));
    CHECK(state.StartTrial(init, At(5001)));
  }
}

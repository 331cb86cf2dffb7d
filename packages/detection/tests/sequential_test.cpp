#include <algorithm>
#include <limits>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "boragegauge/detection.h"

using namespace bg;
using namespace bg::detection;

namespace {

VerdictEvidence GenerateEvidence()
{
  VerdictEvidence evidence;
  evidence.rates = RatesFor({ .badRate = *rc::gen::inRange(0, 1000) / 1000.0 });
  evidence.threshold = *rc::gen::inRange(1, 30);
  evidence.scoreBefore = *rc::gen::inRange(0, 3000) / 100.0;
  evidence.pooled = *rc::gen::arbitrary<bool>();
  evidence.suspects = *rc::gen::inRange(0, 30);
  evidence.members = *rc::gen::inRange(1, 30);
  evidence.guardActive = *rc::gen::arbitrary<bool>();
  const auto domains = *rc::gen::inRange<uint16_t>(0, 5);
  for (uint16_t d = 0; d < domains; ++d) {
    DomainEvidence& domain = evidence.domains.emplace_back();
    domain.domain = evidence.pooled ? FailureDomainHandle{ d } : FailureDomainHandle{};
    domain.scoreBefore = *rc::gen::inRange(0, 3000) / 100.0;
    domain.counts = { *rc::gen::inRange(0U, 50U),
                      *rc::gen::inRange(0U, 50U),
                      *rc::gen::inRange(0U, 50U) };
    domain.assumedGood = *rc::gen::inRange(0, 5000) / 100.0;
    domain.enoughObservers = *rc::gen::arbitrary<bool>();
    domain.avoided = *rc::gen::arbitrary<bool>();
    if (!evidence.pooled) {
      break;
    }
  }
  return evidence;
}

DomainEvidence Domain(uint16_t aIndex, double aScore)
{
  DomainEvidence domain;
  domain.domain.idx = aIndex;
  domain.scoreBefore = aScore;
  return domain;
}

} // namespace

TEST_CASE("properties of the sequential test")
{
  SUBCASE("a score is never negative and rises at most by the ratio of its bad outcomes")
  {
    // With a negative score, an upstream with a long healthy time would need many more bad outcomes
    // to reach the threshold.
    CHECK(rc::check([] {
      const TestRates rates = RatesFor({ .badRate = *rc::gen::inRange(0, 1000) / 1000.0 });
      const double before = *rc::gen::inRange(0, 3000) / 100.0;
      const int good = *rc::gen::inRange(0, 100000);
      const int bad = *rc::gen::inRange(0, 1000);
      const double after = NextScore(before, rates, good, bad);
      RC_ASSERT(after >= 0);
      RC_ASSERT(after <= before + LogLikelihoodRatio(rates, 0, bad) + 1e-9);
    }));
  }

  SUBCASE("bad outcomes raise and good outcomes lower the score for every baseline")
  {
    // If p0 and p1 were equal, no outcome would change the score.
    CHECK(rc::check([] {
      const TestRates rates = RatesFor({ .badRate = *rc::gen::inRange(0, 2000) / 1000.0 });
      RC_ASSERT(LogLikelihoodRatio(rates, 0, 1) > 0);
      RC_ASSERT(LogLikelihoodRatio(rates, 1, 0) < 0);
    }));
  }

  SUBCASE("replaying recorded evidence gives the same decision")
  {
    // The decision record must contain the complete input of the decision.
    CHECK(rc::check([] {
      const VerdictEvidence evidence = GenerateEvidence();
      const auto parsed = ParseEvidenceValues(ToEvidenceValues(evidence));
      RC_ASSERT(static_cast<bool>(parsed));
      RC_ASSERT(Decide(*parsed) == Decide(evidence));
    }));
  }

  SUBCASE("the guard suppresses every decision while there are too many suspects")
  {
    // In a service-wide fault no upstream must be ejected.
    CHECK(rc::check([] {
      VerdictEvidence evidence = GenerateEvidence();
      evidence.members = *rc::gen::inRange(2, 100);
      evidence.suspects = *rc::gen::inRange(evidence.members / 2 + 1, evidence.members + 1);
      RC_ASSERT(Decide(evidence).guarded);
    }));
  }
}

TEST_CASE("scope of a pooled decision")
{
  VerdictEvidence evidence;
  evidence.threshold = 12;
  evidence.members = 30;

  SUBCASE("evidence from one domain gives a path verdict, however strong it is")
  {
    // A broken switch near the proxies of one domain is no fault of the upstream.
    evidence.scoreBefore = 500;
    evidence.domains = { Domain(0, 500), Domain(1, 0), Domain(2, 3.5) };
    CHECK(Decide(evidence).scope == VerdictScope::Path);
    CHECK(Decide(evidence).domain.idx == 0);
  }

  SUBCASE("evidence from two domains gives an upstream verdict")
  {
    evidence.scoreBefore = 14;
    evidence.domains = { Domain(0, 7), Domain(1, 7) };
    CHECK(Decide(evidence).scope == VerdictScope::Upstream);
  }

  SUBCASE("evidence from a single proxy gives no verdict")
  {
    // A proxy with a broken network link sees every upstream fail.
    evidence.domains = { Domain(0, 50) };
    evidence.domains[0].enoughObservers = false;
    CHECK(Decide(evidence).scope == VerdictScope::None);
  }

  SUBCASE("a path verdict does not prevent one for another domain")
  {
    evidence.scoreBefore = 5;
    evidence.domains = { Domain(0, 20), Domain(1, 13) };
    evidence.domains[0].avoided = true;
    CHECK(Decide(evidence).scope == VerdictScope::Path);
    CHECK(Decide(evidence).domain.idx == 1);
  }
}

TEST_CASE("parsing of recorded evidence names a missing or invalid number")
{
  // A replay must not replace a missing number by a default value.
  std::vector<EvidenceValue> values = ToEvidenceValues({});
  std::erase_if(values, [](const EvidenceValue& aValue) { return aValue.name == "threshold"; });
  const auto parsed = ParseEvidenceValues(values);
  REQUIRE_FALSE(static_cast<bool>(parsed));
  CHECK(parsed.Failure().detail == "no valid value threshold");

  // Converting an out-of-range number of a damaged record would be undefined behaviour.
  values = ToEvidenceValues({});
  values.front().value = std::numeric_limits<double>::quiet_NaN();
  CHECK(ParseEvidenceValues(values).Failure().detail == "no valid value p0");
  values = ToEvidenceValues({});
  std::ranges::find(values, "members", &EvidenceValue::name)->value = -1;
  CHECK(ParseEvidenceValues(values).Failure().detail == "no valid value members");
}

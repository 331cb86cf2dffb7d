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
  evidence.guardHeld = *rc::gen::arbitrary<bool>();
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
  SUBCASE("a score is never negative and never above the plain sum of its evidence")
  {
    // Guards against a long healthy time that would have to be "paid back" before a verdict.
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
    // Guards against p0 and p1 meeting, where the test would lose its direction.
    CHECK(rc::check([] {
      const TestRates rates = RatesFor({ .badRate = *rc::gen::inRange(0, 2000) / 1000.0 });
      RC_ASSERT(LogLikelihoodRatio(rates, 0, 1) > 0);
      RC_ASSERT(LogLikelihoodRatio(rates, 1, 0) < 0);
    }));
  }

  SUBCASE("a replay of the recorded numbers gives the same decision")
  {
    // Guards against records that show something else than what was decided.
    CHECK(rc::check([] {
      const VerdictEvidence evidence = GenerateEvidence();
      const auto parsed = ParseEvidenceValues(ToEvidenceValues(evidence));
      RC_ASSERT(static_cast<bool>(parsed));
      RC_ASSERT(Decide(*parsed) == Decide(evidence));
    }));
  }

  SUBCASE("too many suspects guard every decision")
  {
    // Guards against the fleet ejecting a service that has a shared problem.
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
    // Guards against ejecting an upstream for a broken switch near its callers.
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

  SUBCASE("one proxy does not speak for its domain")
  {
    // Guards against one proxy with a broken network, which sees every upstream fail.
    evidence.domains = { Domain(0, 50) };
    evidence.domains[0].enoughObservers = false;
    CHECK(Decide(evidence).scope == VerdictScope::None);
  }

  SUBCASE("a path verdict does not hide a second bad path")
  {
    evidence.scoreBefore = 5;
    evidence.domains = { Domain(0, 20), Domain(1, 13) };
    evidence.domains[0].avoided = true;
    CHECK(Decide(evidence).scope == VerdictScope::Path);
    CHECK(Decide(evidence).domain.idx == 1);
  }
}

TEST_CASE("parsing of recorded evidence names a missing or impossible number")
{
  // Guards against a replay that silently uses a default.
  std::vector<EvidenceValue> values = ToEvidenceValues({});
  std::erase_if(values, [](const EvidenceValue& aValue) { return aValue.name == "threshold"; });
  const auto parsed = ParseEvidenceValues(values);
  REQUIRE_FALSE(static_cast<bool>(parsed));
  CHECK(parsed.Failure().detail == "no valid value threshold");

  // Guards against undefined conversions of numbers from a damaged record.
  values = ToEvidenceValues({});
  values.front().value = std::numeric_limits<double>::quiet_NaN();
  CHECK(ParseEvidenceValues(values).Failure().detail == "no valid value p0");
  values = ToEvidenceValues({});
  std::ranges::find(values, "members", &EvidenceValue::name)->value = -1;
  CHECK(ParseEvidenceValues(values).Failure().detail == "no valid value members");
}

#include <algorithm>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "support.h"

using namespace bg;
using namespace bg::detection;
using namespace bg::detection::test;

namespace {

constexpr ServiceHandle kService{ 0 };

EvidenceReport Report(uint16_t aUpstream, uint32_t aGood, uint32_t aBad, int64_t aIntervalMs = 200)
{
  return { UpstreamHandle{ aUpstream },
           { .good = aGood, .failed = aBad },
           Milliseconds(aIntervalMs) };
}

/// Observes one good outcome of 25 ms for each upstream, aRounds times.
void WarmUp(LocalDetector& aDetector, uint16_t aUpstreams, int aRounds)
{
  for (int round = 0; round < aRounds; ++round) {
    for (uint16_t u = 0; u < aUpstreams; ++u) {
      aDetector.Observe(UpstreamHandle{ u }, OutcomeClass::Good, Milliseconds(25), At(round));
    }
  }
}

} // namespace

TEST_CASE("the slow limit of a service is known after its first 32 requests")
{
  // Fails if the slow limit waits until most upstreams have enough outcomes of their own. With
  // little traffic a restarted proxy would then not detect slow upstreams for minutes.
  LocalDetector detector;
  detector.Configure(MakeConfiguration(30, 8));
  for (uint16_t i = 0; i < 32; ++i) {
    CHECK(detector.SlowLimit(kService) == Duration::max());
    const UpstreamHandle upstream{ static_cast<uint16_t>(i % 30) };
    detector.Observe(upstream, OutcomeClass::Good, Milliseconds(25), At(int64_t{ 100 } * i));
  }
  CHECK(detector.SlowLimit(kService) == Milliseconds(100));
}

TEST_CASE("local detection at one proxy")
{
  LocalDetector detector;
  detector.Configure(MakeConfiguration(10, 8));
  CHECK(detector.SlowLimit(kService) == Duration::max());
  WarmUp(detector, 10, 10);
  CHECK(detector.SlowLimit(kService) == Milliseconds(100));
  const UpstreamHandle bad{ 3 };

  SUBCASE("a failing upstream is avoided, and readmitted by trials after its back-off")
  {
    for (int64_t i = 0; i < 3; ++i) {
      detector.Observe(bad, OutcomeClass::Failed, Milliseconds(5), At(100 + i));
    }
    REQUIRE(detector.IsAvoided(bad));
    const std::vector<Verdict> verdicts = detector.TakeVerdicts();
    REQUIRE(verdicts.size() == 1);
    CHECK(verdicts[0].evidence.domains[0].total.failed == 3);
    CHECK(Decide(verdicts[0].evidence).scope == VerdictScope::Local);

    CHECK_FALSE(detector.StartTrial(bad, At(5000)));
    for (int64_t i = 0; i < 5; ++i) {
      REQUIRE(detector.StartTrial(bad, At(5200 + 100 * i)));
      detector.Observe(bad, OutcomeClass::Good, Milliseconds(25), At(5250 + 100 * i));
    }
    CHECK_FALSE(detector.IsAvoided(bad));
  }

  SUBCASE("neutral outcomes never give a verdict or a report")
  {
    // An upstream that sheds load in the documented way must not be ejected.
    for (int64_t i = 0; i < 1000; ++i) {
      detector.Observe(bad, OutcomeClass::Neutral, Milliseconds(1), At(100 + i));
    }
    CHECK_FALSE(detector.IsAvoided(bad));
    CHECK(detector.TakeReports(At(2000)).empty());
  }

  SUBCASE("state follows an upstream whose handle changes with the configuration")
  {
    // Handles are indices. After a new configuration the verdict must not apply to another upstream
    // that now has the same index.
    for (int64_t i = 0; i < 3; ++i) {
      detector.Observe(bad, OutcomeClass::Failed, Milliseconds(5), At(100 + i));
    }
    Configuration changed = MakeConfiguration(10, 8);
    std::swap(changed.upstreams[3], changed.upstreams[7]);
    changed.upstreams[0].id = "new";
    detector.Configure(changed);
    CHECK(detector.IsAvoided(UpstreamHandle{ 7 }));
    CHECK_FALSE(detector.IsAvoided(bad));
    CHECK(detector.SlowLimit(kService) == Milliseconds(100));
    REQUIRE(detector.TakeReports(At(400)).size() == 1);
  }

  SUBCASE("a report needs a bad outcome, includes the good ones and waits for the interval")
  {
    // More frequent reports would exceed the traffic budget of 3 KB/s; skipped ones would lose
    // counts.
    CHECK(detector.TakeReports(At(50)).empty());
    detector.Observe(bad, OutcomeClass::Slow, Milliseconds(100), At(100));
    const std::vector<EvidenceReport> reports = detector.TakeReports(At(300));
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].counts == EvidenceCounts{ .good = 10, .slow = 1 });
    detector.Observe(bad, OutcomeClass::Failed, Milliseconds(5), At(310));
    CHECK(detector.TakeReports(At(400)).empty());
    REQUIRE(detector.TakeReports(At(500)).size() == 1);
  }

  SUBCASE("a service-wide slow-down raises the baseline and no upstream is avoided")
  {
    // All upstreams of an overloaded service are slow; avoiding them would be a false alarm.
    for (int64_t round = 0; round < 100; ++round) {
      for (uint16_t u = 0; u < 10; ++u) {
        const Duration latency =
          std::min<Duration>(Milliseconds(150), detector.SlowLimit(kService));
        const bool slow = latency < Milliseconds(150);
        detector.Observe(UpstreamHandle{ u },
                         slow ? OutcomeClass::Slow : OutcomeClass::Good,
                         latency,
                         At(1000 + 500 * round + u));
      }
    }
    for (uint16_t u = 0; u < 10; ++u) {
      CHECK_FALSE(detector.IsAvoided(UpstreamHandle{ u }));
    }
    CHECK(detector.SlowLimit(kService) > Milliseconds(300));
    CHECK(detector.Stats().verdicts == 0);
  }
}

TEST_CASE("pooled detection at an aggregator")
{
  PooledDetector detector;
  detector.Configure(MakeConfiguration(30, 12));
  detector.SetObservers(std::vector<uint32_t>{ 10, 10, 10, 10 });
  const UpstreamHandle bad{ 4 };
  const auto reportFailures = [&](uint16_t aUpstream, int64_t aMs) {
    for (uint16_t d = 0; d < 4; ++d) {
      detector.Add(
        "p" + std::to_string(d), FailureDomainHandle{ d }, Report(aUpstream, 0, 2), At(aMs));
    }
  };

  SUBCASE("evidence from all domains gives a verdict at once and confirms it later")
  {
    reportFailures(4, 0);
    std::vector<Verdict> verdicts = detector.Evaluate(At(50));
    REQUIRE(verdicts.size() == 1);
    CHECK(verdicts[0].scope == VerdictScope::Upstream);
    CHECK_FALSE(verdicts[0].confirmed);
    CHECK(Decide(verdicts[0].evidence).scope == VerdictScope::Upstream);
    CHECK(detector.Evaluate(At(1000)).empty());
    verdicts = detector.Evaluate(At(1050));
    REQUIRE(verdicts.size() == 1);
    CHECK(verdicts[0].confirmed);

    // Without further reports the verdict remains until trials succeed.
    CHECK(detector.Evaluate(At(4000)).empty());
    for (int64_t i = 0; i < 5; ++i) {
      REQUIRE(detector.StartTrial(bad, At(5100 + i)));
      detector.ObserveTrial(bad, OutcomeClass::Good, At(5100 + i));
    }
    verdicts = detector.Evaluate(At(5200));
    REQUIRE(verdicts.size() == 1);
    CHECK_FALSE(verdicts[0].avoid);
    CHECK_FALSE(detector.HasVerdict(bad));
  }

  SUBCASE("a configuration change does not prevent the confirmation of a verdict")
  {
    // With 15,000 configuration changes a day, verdicts would otherwise often be lost.
    reportFailures(4, 0);
    REQUIRE(detector.Evaluate(At(50)).size() == 1);
    Configuration changed = MakeConfiguration(30, 12);
    std::swap(changed.upstreams[4], changed.upstreams[9]);
    detector.Configure(changed);
    const std::vector<Verdict> verdicts = detector.Evaluate(At(1050));
    REQUIRE(verdicts.size() == 1);
    CHECK(verdicts[0].upstream.idx == 9);
    CHECK(verdicts[0].confirmed);
  }

  SUBCASE("one failure per hour never accumulates to a verdict")
  {
    // If good outcomes did not lower the score, rare failures would eject every upstream in the
    // end.
    for (int64_t hour = 0; hour < 500; ++hour) {
      const auto domain = static_cast<uint16_t>(hour % 4);
      const int64_t ms = hour * 3600000;
      detector.Add("p" + std::to_string(domain),
                   FailureDomainHandle{ domain },
                   Report(4, 5400, 1, 3600000),
                   At(ms));
      for (int64_t tick = 1; tick < 10; ++tick) {
        CHECK(detector.Evaluate(At(ms + 50 * tick)).empty());
      }
    }
    CHECK(detector.Score(bad) == 0);
  }

  SUBCASE("good outcomes of a long report interval do not outweigh new failures")
  {
    // The first reports after a long healthy time contain many old good outcomes. If all of them
    // lowered the score, the fault would be detected late.
    for (uint16_t p = 0; p < 8; ++p) {
      detector.Add("p" + std::to_string(p),
                   FailureDomainHandle{ static_cast<uint16_t>(p % 4) },
                   Report(4, 5400, 1, 3600000),
                   At(0));
    }
    CHECK(detector.Evaluate(At(50)).size() == 1);
  }

  SUBCASE("the guard revokes recent verdicts when most upstreams are suspects")
  {
    // In an overloaded service, ejections would take away capacity that is still needed.
    std::vector<bool> avoided(30, false);
    bool confirmed = false;
    for (int64_t ms = 0; ms < 4000; ms += 50) {
      for (uint16_t u = 0; u < 30; ++u) {
        reportFailures(u, ms);
      }
      for (const Verdict& verdict : detector.Evaluate(At(ms))) {
        if (!verdict.guarded) {
          avoided[verdict.upstream.idx] = verdict.avoid;
        }
        confirmed = confirmed || verdict.confirmed;
      }
      CHECK(std::ranges::count(avoided, true) <= 10);
    }
    CHECK_FALSE(confirmed);
    CHECK(std::ranges::count(avoided, true) == 0);
    CHECK(detector.Stats().guarded == 1);
  }
}

TEST_CASE("the order of reports between two evaluations has no effect")
{
  // A decision that depends on message order could not be replayed from its record.
  CHECK(rc::check([] {
    using ReportSpec = std::tuple<uint16_t, uint16_t, uint32_t, uint32_t>;
    auto reports = *rc::gen::container<std::vector<ReportSpec>>(
      rc::gen::tuple(rc::gen::inRange<uint16_t>(0, 4),
                     rc::gen::inRange<uint16_t>(0, 3),
                     rc::gen::inRange<uint32_t>(0, 10),
                     rc::gen::inRange<uint32_t>(1, 4)));
    const auto run = [](const std::vector<ReportSpec>& aReports) {
      PooledDetector detector;
      detector.Configure(MakeConfiguration(10, 8));
      for (const auto& [domain, upstream, good, failures] : aReports) {
        detector.Add("p" + std::to_string(good),
                     FailureDomainHandle{ domain },
                     Report(upstream, good, failures),
                     At(0));
      }
      std::vector<std::tuple<uint16_t, VerdictScope, double>> results;
      for (const Verdict& verdict : detector.Evaluate(At(50))) {
        results.emplace_back(verdict.upstream.idx, verdict.scope, Decide(verdict.evidence).score);
      }
      for (uint16_t u = 0; u < 3; ++u) {
        results.emplace_back(
          u, detector.Scope(UpstreamHandle{ u }), detector.Score(UpstreamHandle{ u }));
      }
      return results;
    };
    const auto expected = run(reports);
    std::ranges::reverse(reports);
    const auto actual = run(reports);
    RC_ASSERT(actual.size() == expected.size());
    for (size_t i = 0; i < actual.size(); ++i) {
      RC_ASSERT(std::get<0>(actual[i]) == std::get<0>(expected[i]));
      RC_ASSERT(std::get<1>(actual[i]) == std::get<1>(expected[i]));
      RC_ASSERT(std::abs(std::get<2>(actual[i]) - std::get<2>(expected[i])) < 1e-9);
    }
  }));
}

#include <algorithm>
#include <cmath>

#include "boragegauge/detection.h"

namespace bg::detection {

namespace {

constexpr double kMinNormalRate = 0.01;
/// Above this rate the test cannot tell a normal upstream from an unhealthy one.
constexpr double kMaxNormalRate = 0.45;
constexpr double kMinUnhealthyRate = 0.35;

/// Share of the threshold that the scores of all domains except the worst must reach in total for
/// an Upstream verdict. At usual thresholds this takes at least two bad outcomes in quick
/// succession.
constexpr double kOtherDomainsShare = 0.5;

struct DomainSummary
{
  /// Index of the domain with the strongest evidence for a new Path verdict, or SIZE_MAX.
  size_t pathCandidate = SIZE_MAX;
  /// Sum of the scores of all domains except the worst. A domain whose path is already avoided
  /// ranks as worse than all others.
  double otherDomainsScore = 0;
};

DomainSummary Summarize(const VerdictEvidence& aEvidence, const Decision& aDecision)
{
  DomainSummary summary;
  double total = 0;
  std::pair<bool, double> worst{ false, 0 };
  for (size_t i = 0; i < aEvidence.domains.size(); ++i) {
    const DomainEvidence& domain = aEvidence.domains[i];
    const double score = aDecision.domainScores[i];
    total += score;
    worst = std::max(worst, std::pair(domain.avoided, score));
    if (!domain.avoided && domain.enoughObservers && score >= aEvidence.threshold &&
        (summary.pathCandidate == SIZE_MAX ||
         score > aDecision.domainScores[summary.pathCandidate])) {
      summary.pathCandidate = i;
    }
  }
  summary.otherDomainsScore = total - worst.second;
  return summary;
}

} // namespace

EvidenceCounts& EvidenceCounts::operator+=(const EvidenceCounts& aOther)
{
  good += aOther.good;
  failed += aOther.failed;
  slow += aOther.slow;
  return *this;
}

TestRates RatesFor(const ServiceBaseline& aBaseline)
{
  TestRates rates;
  rates.normal = std::clamp(aBaseline.badRate, kMinNormalRate, kMaxNormalRate);
  rates.unhealthy = std::max(kMinUnhealthyRate, 2 * rates.normal);
  return rates;
}

double LogLikelihoodRatio(const TestRates& aRates, double aGood, double aBad)
{
  return aBad * std::log(aRates.unhealthy / aRates.normal) +
         aGood * std::log((1 - aRates.unhealthy) / (1 - aRates.normal));
}

double NextScore(double aScore, const TestRates& aRates, double aGood, double aBad)
{
  return std::max(0.0, aScore + LogLikelihoodRatio(aRates, aGood, aBad));
}

std::string_view ToString(VerdictScope aScope)
{
  static constexpr std::array<std::string_view, 4> kNames = { "none", "local", "path", "upstream" };
  const auto index = static_cast<size_t>(aScope);
  return index < kNames.size() ? kNames[index] : "unknown";
}

bool TooManySuspects(uint32_t aSuspects, uint32_t aMembers, double aMaxFraction)
{
  // A single suspect never activates the guard; otherwise detection would be off for services with
  // one or two upstreams. The healthy floor still limits their ejections.
  return aSuspects > 1 && aSuspects > aMaxFraction * aMembers;
}

Decision Decide(const VerdictEvidence& aEvidence)
{
  Decision decision;
  Decide(aEvidence, decision);
  return decision;
}

void Decide(const VerdictEvidence& aEvidence, Decision& aDecision)
{
  aDecision.scope = VerdictScope::None;
  aDecision.domain = {};
  aDecision.domainScores.clear();
  double good = 0;
  double bad = 0;
  for (const DomainEvidence& domain : aEvidence.domains) {
    aDecision.domainScores.push_back(
      NextScore(domain.scoreBefore, aEvidence.rates, domain.assumedGood, domain.counts.Bad()));
    good += domain.assumedGood;
    bad += domain.counts.Bad();
  }
  aDecision.score = NextScore(aEvidence.scoreBefore, aEvidence.rates, good, bad);

  aDecision.guarded =
    aEvidence.guardActive ||
    TooManySuspects(aEvidence.suspects, aEvidence.members, aEvidence.maxBadFraction);
  if (!aEvidence.pooled) {
    aDecision.scope =
      aDecision.score >= aEvidence.threshold ? VerdictScope::Local : VerdictScope::None;
    return;
  }
  const DomainSummary summary = Summarize(aEvidence, aDecision);
  if (aDecision.score >= aEvidence.threshold &&
      summary.otherDomainsScore >= aEvidence.threshold * kOtherDomainsShare) {
    aDecision.scope = VerdictScope::Upstream;
  } else if (summary.pathCandidate != SIZE_MAX) {
    aDecision.scope = VerdictScope::Path;
    aDecision.domain = aEvidence.domains[summary.pathCandidate].domain;
  }
}

} // namespace bg::detection

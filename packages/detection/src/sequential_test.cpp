#include <algorithm>
#include <cmath>

#include "boragegauge/detection.h"

namespace bg::detection {

namespace {

constexpr double kMinNormalRate = 0.01;
// Above this rate "normal" and "unhealthy" can no longer be told apart.
constexpr double kMaxNormalRate = 0.45;
constexpr double kUnhealthyRate = 0.35;

/// Share of the threshold that all domains but the worst must reach together for an Upstream
/// verdict. At usual thresholds it takes at least two bad outcomes in quick succession.
constexpr double kOtherDomainsShare = 0.5;

struct DomainSummary
{
  size_t path = SIZE_MAX; ///< Domain for which a path verdict may be given.
  double othersScore = 0; ///< All domains but the worst; one with a path verdict is the worst.
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
        (summary.path == SIZE_MAX || score > aDecision.domainScores[summary.path])) {
      summary.path = i;
    }
  }
  summary.othersScore = total - worst.second;
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
  rates.unhealthy = std::max(kUnhealthyRate, 2 * rates.normal);
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
  // A single suspect is never "too many"; otherwise services of one or two upstreams would have no
  // detection at all. The floor still protects them.
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
    aEvidence.guardHeld ||
    TooManySuspects(aEvidence.suspects, aEvidence.members, aEvidence.maxBadFraction);
  if (!aEvidence.pooled) {
    aDecision.scope =
      aDecision.score >= aEvidence.threshold ? VerdictScope::Local : VerdictScope::None;
    return;
  }
  const DomainSummary summary = Summarize(aEvidence, aDecision);
  if (aDecision.score >= aEvidence.threshold &&
      summary.othersScore >= aEvidence.threshold * kOtherDomainsShare) {
    aDecision.scope = VerdictScope::Upstream;
  } else if (summary.path != SIZE_MAX) {
    aDecision.scope = VerdictScope::Path;
    aDecision.domain = aEvidence.domains[summary.path].domain;
  }
}

} // namespace bg::detection

#include <algorithm>

#include "boragegauge/detection.h"

namespace bg::detection {

namespace {

// Window lengths of the moving averages, in outcomes. Estimating a failure rate near 1 % takes some
// hundred outcomes, while the latency must follow a service-wide slow-down within seconds.
constexpr uint32_t kBadRateHorizonOutcomes = 256;
constexpr uint32_t kLatencyHorizonOutcomes = 32;

/// Factor by which the recent counts decay at each refresh of the baseline. The baseline is
/// refreshed after one outcome per upstream on average, so the counts cover about four outcomes per
/// upstream. With a shorter window the baseline rises so fast in a service-wide slow-down that only
/// the first few upstreams reach the threshold, which are too few to activate the guard.
constexpr float kRecentCountDecay = 0.75F;

/// Outcomes that an upstream needs before its averages enter the medians of the baseline.
constexpr uint32_t kMinBaselineOutcomes = 5;

void UpdateMovingAverage(float& aAverage, double aSample, uint32_t aSampleCount, uint32_t aHorizon)
{
  const double weight = 1.0 / std::min(aSampleCount, aHorizon);
  aAverage += static_cast<float>(weight * (aSample - aAverage));
}

double ToMilliseconds(Duration aLatency)
{
  return std::chrono::duration<double, std::milli>(aLatency).count();
}

float LowerMedian(std::vector<float>& aValues)
{
  const auto middle = aValues.begin() + static_cast<std::ptrdiff_t>((aValues.size() - 1) / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}

bool IsBad(OutcomeClass aOutcome)
{
  return aOutcome == OutcomeClass::Failed || aOutcome == OutcomeClass::Slow;
}

void UpdateAverages(detail::LocalUpstream& aUpstream, OutcomeClass aOutcome, Duration aLatency)
{
  ++aUpstream.outcomeCount;
  UpdateMovingAverage(
    aUpstream.badRate, IsBad(aOutcome) ? 1 : 0, aUpstream.outcomeCount, kBadRateHorizonOutcomes);
  // Failed requests are left out: they may end long before the work would have.
  if (aOutcome != OutcomeClass::Failed) {
    UpdateMovingAverage(aUpstream.latencyMs,
                        ToMilliseconds(aLatency),
                        aUpstream.outcomeCount,
                        kLatencyHorizonOutcomes);
  }
  aUpstream.isLastOutcomeBad = IsBad(aOutcome);
  aUpstream.recentTotal += 1;
  aUpstream.recentBad += IsBad(aOutcome) ? 1 : 0;
}

void SetBaselineLatency(detail::LocalService& aService, double aLatencyMs, Duration aSlowFloor)
{
  aService.baseline.known = true;
  aService.baseline.latency = Duration(static_cast<int64_t>(aLatencyMs * 1e6));
  const auto limit = static_cast<int64_t>(aLatencyMs * 1e6 * aService.members.config.slowFactor);
  aService.slowLimit = std::max(aSlowFloor, Duration(limit));
}

/// Sets the latency baseline from the first good outcomes of the service, whichever upstream they
/// come from. A proxy with little traffic needs minutes to collect outcomes of most upstreams; this
/// lets it detect slow upstreams soon after a start.
void UpdateStartupLatency(detail::LocalService& aService, float aLatencyMs, Duration aSlowFloor)
{
  std::array<float, 32>& latencies = aService.startupLatenciesMs;
  latencies[aService.startupLatencyCount++] = aLatencyMs;
  if (aService.startupLatencyCount < latencies.size()) {
    return;
  }
  const auto middle = latencies.begin() + latencies.size() / 2;
  std::nth_element(latencies.begin(), middle, latencies.end());
  SetBaselineLatency(aService, *middle, aSlowFloor);
}

void AddOutcome(EvidenceCounts& aCounts, OutcomeClass aOutcome)
{
  if (aOutcome == OutcomeClass::Good) {
    ++aCounts.good;
  } else if (aOutcome == OutcomeClass::Failed) {
    ++aCounts.failed;
  } else {
    ++aCounts.slow;
  }
}

} // namespace

LocalDetector::LocalDetector(LocalDetectorInit aInit)
  : init_(aInit)
{
}

void LocalDetector::Configure(const Configuration& aConfiguration)
{
  const std::vector<uint16_t> formerIndices = table_.Rebuild(aConfiguration);
  std::vector<detail::LocalUpstream> upstreams(formerIndices.size());
  reportQueue_.clear();
  for (size_t i = 0; i < formerIndices.size(); ++i) {
    if (formerIndices[i] != UINT16_MAX) {
      upstreams[i] = upstreams_[formerIndices[i]];
    }
    upstreams[i].service = aConfiguration.upstreams[i].service.idx;
    if (upstreams[i].isReportQueued) {
      reportQueue_.push_back(static_cast<uint16_t>(i));
    }
  }
  upstreams_ = std::move(upstreams);

  detail::ReplaceMembers(services_, detail::CollectServices(aConfiguration));
  reportQueue_.reserve(upstreams_.size());
  medianValues_.reserve(upstreams_.size());
}

void LocalDetector::Observe(UpstreamHandle aUpstream,
                            OutcomeClass aOutcome,
                            Duration aLatency,
                            TimePoint aNow)
{
  if (aUpstream.idx >= upstreams_.size()) {
    return; // The handle belongs to an older configuration.
  }
  ++stats_.observed;
  detail::LocalUpstream& upstream = upstreams_[aUpstream.idx];
  detail::LocalService& service = services_[upstream.service];
  if (upstream.readmission.IsExcluded() &&
      upstream.readmission.ObserveTrial(service.members.readmission, aOutcome, aNow)) {
    upstream.countsSinceZero = {};
    upstream.score = 0;
    upstream.isLastOutcomeBad = false;
    QueueVerdict(aUpstream, false, false);
  }
  if (aOutcome == OutcomeClass::Neutral) {
    return;
  }
  if (service.firstReportStart == TimePoint{}) {
    service.firstReportStart = aNow - init_.reportInterval;
  }
  if (upstream.outcomeCount == 0) {
    // The first report covers the time since the first outcome of the service, in which this
    // upstream had no requests. A shorter interval would make the aggregators overestimate its
    // traffic, part of which they count as good outcomes.
    upstream.lastReportAt = service.firstReportStart;
  }
  UpdateAverages(upstream, aOutcome, aLatency);
  AddOutcome(upstream.unreportedCounts, aOutcome);
  AddOutcome(upstream.countsSinceZero, aOutcome);
  if (IsBad(aOutcome) && !upstream.isReportQueued) {
    upstream.isReportQueued = true;
    reportQueue_.push_back(aUpstream.idx);
  }
  if (!service.baseline.known && aOutcome == OutcomeClass::Good) {
    UpdateStartupLatency(service, ToMilliseconds(aLatency), init_.slowFloor);
  }
  if (service.outcomesUntilRefresh-- == 0) {
    RefreshBaseline(service);
  }
  UpdateScore(aUpstream, aOutcome, aNow);
}

void LocalDetector::RefreshBaseline(detail::LocalService& aService)
{
  const std::vector<uint16_t>& members = aService.members.upstreams;
  aService.outcomesUntilRefresh = static_cast<uint32_t>(members.size());
  const double recentRate = UpdateRecentBadRate(members);
  medianValues_.clear();
  for (const uint16_t index : members) {
    if (upstreams_[index].outcomeCount >= kMinBaselineOutcomes) {
      medianValues_.push_back(upstreams_[index].badRate);
    }
  }
  if (medianValues_.empty() || medianValues_.size() * 2 < members.size()) {
    return;
  }
  const double median = LowerMedian(medianValues_);
  aService.baseline.badRate = std::max(median, recentRate);
  medianValues_.clear();
  for (const uint16_t index : members) {
    if (upstreams_[index].outcomeCount >= kMinBaselineOutcomes) {
      medianValues_.push_back(upstreams_[index].latencyMs);
    }
  }
  const double latencyMs = LowerMedian(medianValues_);
  SetBaselineLatency(aService, latencyMs, init_.slowFloor);
}

double LocalDetector::UpdateRecentBadRate(const std::vector<uint16_t>& aMembers)
{
  float total = 0;
  float bad = 0;
  uint16_t worst = UINT16_MAX;
  for (const uint16_t index : aMembers) {
    total += upstreams_[index].recentTotal;
    bad += upstreams_[index].recentBad;
    if (worst == UINT16_MAX || upstreams_[index].recentBad > upstreams_[worst].recentBad) {
      worst = index;
    }
  }
  // The worst upstream is left out, so that it does not raise the rate that it is compared with.
  if (worst != UINT16_MAX) {
    total -= upstreams_[worst].recentTotal;
    bad -= upstreams_[worst].recentBad;
  }
  for (const uint16_t index : aMembers) {
    upstreams_[index].recentTotal *= kRecentCountDecay;
    upstreams_[index].recentBad *= kRecentCountDecay;
  }
  return total >= 1 ? bad / total : 0;
}

void LocalDetector::UpdateScore(UpstreamHandle aUpstream, OutcomeClass aOutcome, TimePoint aNow)
{
  detail::LocalUpstream& upstream = upstreams_[aUpstream.idx];
  const detail::LocalService& service = services_[upstream.service];
  const double scoreBefore = upstream.score;
  const int badCount = IsBad(aOutcome) ? 1 : 0;
  // Each outcome is scored once, with the baseline at that time. If earlier outcomes were scored
  // again with the current baseline, bad outcomes of a service-wide slow-down would give a verdict
  // as soon as the baseline has recovered.
  upstream.score = NextScore(scoreBefore, RatesFor(service.baseline), 1 - badCount, badCount);
  if (upstream.score == 0) {
    upstream.countsSinceZero = {};
  } else if (upstream.score >= service.members.config.threshold &&
             !upstream.readmission.IsExcluded()) {
    DecideVerdict(aUpstream, aOutcome, scoreBefore, aNow);
  }
}

void LocalDetector::DecideVerdict(UpstreamHandle aUpstream,
                                  OutcomeClass aOutcome,
                                  double aScoreBefore,
                                  TimePoint aNow)
{
  detail::LocalUpstream& upstream = upstreams_[aUpstream.idx];
  const detail::LocalService& service = services_[upstream.service];
  evidence_.rates = RatesFor(service.baseline);
  evidence_.threshold = service.members.config.threshold;
  evidence_.scoreBefore = aScoreBefore;
  evidence_.pooled = false;
  evidence_.suspects = CountSuspects(service);
  evidence_.members = static_cast<uint32_t>(service.members.upstreams.size());
  evidence_.maxBadFraction = service.members.config.maxBadFraction;
  evidence_.guardActive = aNow < service.guardUntil;
  evidence_.domains.assign(1, {});
  DomainEvidence& domain = evidence_.domains[0];
  domain.scoreBefore = aScoreBefore;
  AddOutcome(domain.counts, aOutcome);
  domain.assumedGood = domain.counts.good;
  domain.total = upstream.countsSinceZero;
  domain.observers = 1;
  Decide(evidence_, decision_);
  if (decision_.scope == VerdictScope::None) {
    return;
  }
  if (decision_.guarded) {
    SuspendVerdicts(aUpstream, aNow);
    return;
  }
  ++stats_.verdicts;
  upstream.readmission.OnVerdict(service.members.readmission, aNow);
  QueueVerdict(aUpstream, true, false);
}

uint32_t LocalDetector::CountSuspects(const detail::LocalService& aService) const
{
  // An upstream whose last outcome was bad counts as a suspect before its own test reaches the
  // threshold. In a service-wide fault this activates the guard before the first verdicts.
  uint32_t suspects = 0;
  for (const uint16_t index : aService.members.upstreams) {
    const detail::LocalUpstream& upstream = upstreams_[index];
    suspects += upstream.isLastOutcomeBad || upstream.readmission.IsExcluded() ? 1 : 0;
  }
  return suspects;
}

void LocalDetector::SuspendVerdicts(UpstreamHandle aUpstream, TimePoint aNow)
{
  detail::LocalService& service = services_[upstreams_[aUpstream.idx].service];
  const bool isSuspended = aNow < service.guardUntil;
  if (!isSuspended) {
    ++stats_.guarded;
    QueueVerdict(aUpstream, true, true);
  }
  if (!isSuspended ||
      TooManySuspects(evidence_.suspects, evidence_.members, evidence_.maxBadFraction)) {
    service.guardUntil = aNow + init_.guardDuration;
  }
  // Outcomes during a service-wide fault are no evidence against a single upstream.
  for (const uint16_t index : service.members.upstreams) {
    detail::LocalUpstream& upstream = upstreams_[index];
    upstream.countsSinceZero = {};
    upstream.score = 0;
    if (upstream.readmission.IsExcluded() &&
        aNow - upstream.readmission.ExcludedSince() < init_.guardDuration) {
      upstream.readmission.Revoke();
      QueueVerdict(UpstreamHandle{ index }, false, false);
    }
  }
}

void LocalDetector::QueueVerdict(UpstreamHandle aUpstream, bool aAvoid, bool aGuarded)
{
  Verdict& verdict = pendingVerdicts_.emplace_back();
  verdict.upstream = aUpstream;
  verdict.service = ServiceHandle{ upstreams_[aUpstream.idx].service };
  verdict.scope = VerdictScope::Local;
  verdict.avoid = aAvoid;
  verdict.guarded = aGuarded;
  if (aAvoid) {
    verdict.evidence = evidence_;
  }
}

Duration LocalDetector::SlowLimit(ServiceHandle aService) const
{
  return aService.idx < services_.size() ? services_[aService.idx].slowLimit : Duration::max();
}

ServiceBaseline LocalDetector::Baseline(ServiceHandle aService) const
{
  if (aService.idx >= services_.size()) {
    return {};
  }
  ServiceBaseline baseline = services_[aService.idx].baseline;
  baseline.suspects = CountSuspects(services_[aService.idx]);
  return baseline;
}

bool LocalDetector::IsAvoided(UpstreamHandle aUpstream) const
{
  return aUpstream.idx < upstreams_.size() && upstreams_[aUpstream.idx].readmission.IsExcluded();
}

bool LocalDetector::StartTrial(UpstreamHandle aUpstream, TimePoint aNow)
{
  if (aUpstream.idx >= upstreams_.size()) {
    return false;
  }
  detail::LocalUpstream& upstream = upstreams_[aUpstream.idx];
  return upstream.readmission.StartTrial(services_[upstream.service].members.readmission, aNow);
}

std::vector<Verdict> LocalDetector::TakeVerdicts()
{
  return std::exchange(pendingVerdicts_, {});
}

std::vector<EvidenceReport> LocalDetector::TakeReports(TimePoint aNow)
{
  std::vector<EvidenceReport> reports;
  std::erase_if(reportQueue_, [&](uint16_t aUpstream) {
    detail::LocalUpstream& upstream = upstreams_[aUpstream];
    const Duration interval = aNow - upstream.lastReportAt;
    if (interval < init_.reportInterval) {
      return false;
    }
    reports.push_back({ UpstreamHandle{ aUpstream },
                        upstream.unreportedCounts,
                        std::chrono::duration_cast<Milliseconds>(interval) });
    upstream.unreportedCounts = {};
    upstream.lastReportAt = aNow;
    upstream.isReportQueued = false;
    return true;
  });
  std::ranges::sort(reports, {}, &EvidenceReport::upstream);
  return reports;
}

} // namespace bg::detection

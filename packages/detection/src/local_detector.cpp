#include <algorithm>

#include "boragegauge/detection.h"

namespace bg::detection {

namespace {

// Horizons of the moving averages, in outcomes. A failure rate near 1 % needs some hundred outcomes
// to be known; latency must follow a shared slow-down within seconds.
constexpr uint32_t kBadRateHorizon = 256;
constexpr uint32_t kLatencyHorizon = 32;

/// Weight that the recent counts keep at each refresh of the baseline. A refresh follows after one
/// outcome per upstream on average, so the horizon is four outcomes per upstream. With a shorter
/// one the bad rate rises so fast in a shared slow-down that only the first few upstreams reach the
/// threshold, which the guard does not notice.
constexpr float kRecentDecay = 0.75F;

/// Outcomes after which an upstream counts for the medians.
constexpr uint32_t kMinSamples = 5;

void MoveAverage(float& aAverage, double aSample, uint32_t aSamples, uint32_t aHorizon)
{
  const double weight = 1.0 / std::min(aSamples, aHorizon);
  aAverage += static_cast<float>(weight * (aSample - aAverage));
}

double LatencyMs(Duration aLatency)
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

void Learn(detail::LocalCell& aCell, OutcomeClass aOutcome, Duration aLatency)
{
  ++aCell.samples;
  MoveAverage(aCell.badRate, IsBad(aOutcome) ? 1 : 0, aCell.samples, kBadRateHorizon);
  // The time to a failure says nothing about how long real work takes.
  if (aOutcome != OutcomeClass::Failed) {
    MoveAverage(aCell.latencyMs, LatencyMs(aLatency), aCell.samples, kLatencyHorizon);
  }
  aCell.lastBad = IsBad(aOutcome);
  aCell.recentTotal += 1;
  aCell.recentBad += IsBad(aOutcome) ? 1 : 0;
}

void SetLatency(detail::LocalService& aService, double aLatencyMs, Duration aSlowFloor)
{
  aService.baseline.known = true;
  aService.baseline.latency = Duration(static_cast<int64_t>(aLatencyMs * 1e6));
  const auto limit = static_cast<int64_t>(aLatencyMs * 1e6 * aService.members.config.slowFactor);
  aService.slowLimit = std::max(aSlowFloor, Duration(limit));
}

/// A proxy with little traffic needs minutes for outcomes of most upstreams. Until then the median
/// over the first outcomes of the whole service is the baseline, so that slow upstreams are found
/// soon after a start.
void LearnFirst(detail::LocalService& aService, float aLatencyMs, Duration aSlowFloor)
{
  std::array<float, 32>& latencies = aService.firstLatenciesMs;
  latencies[aService.firstCount++] = aLatencyMs;
  if (aService.firstCount < latencies.size()) {
    return;
  }
  const auto middle = latencies.begin() + latencies.size() / 2;
  std::nth_element(latencies.begin(), middle, latencies.end());
  SetLatency(aService, *middle, aSlowFloor);
}

void Count(EvidenceCounts& aCounts, OutcomeClass aOutcome)
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
  const std::vector<uint16_t> former = table_.Rebuild(aConfiguration);
  std::vector<detail::LocalCell> cells(former.size());
  reportQueue_.clear();
  for (size_t i = 0; i < former.size(); ++i) {
    if (former[i] != UINT16_MAX) {
      cells[i] = cells_[former[i]];
    }
    cells[i].service = aConfiguration.upstreams[i].service.idx;
    if (cells[i].reportQueued) {
      reportQueue_.push_back(static_cast<uint16_t>(i));
    }
  }
  cells_ = std::move(cells);

  detail::ReplaceMembers(services_, detail::CollectServices(aConfiguration));
  reportQueue_.reserve(cells_.size());
  scratch_.reserve(cells_.size());
}

void LocalDetector::Observe(UpstreamHandle aUpstream,
                            OutcomeClass aOutcome,
                            Duration aLatency,
                            TimePoint aNow)
{
  if (aUpstream.idx >= cells_.size()) {
    return; // From a configuration that is no longer in force.
  }
  ++stats_.observed;
  detail::LocalCell& cell = cells_[aUpstream.idx];
  detail::LocalService& service = services_[cell.service];
  if (cell.readmission.Excluded() &&
      cell.readmission.ObserveTrial(service.members.readmission, aOutcome, aNow)) {
    cell.total = {};
    cell.score = 0;
    cell.lastBad = false;
    Emit(aUpstream, false, false);
  }
  if (aOutcome == OutcomeClass::Neutral) {
    return;
  }
  if (service.firstSeen == TimePoint{}) {
    service.firstSeen = aNow - init_.reportInterval;
  }
  if (cell.samples == 0) {
    // The counts cover all the time without requests to this upstream; a shorter interval would
    // overstate its traffic to the aggregators, which count unreported outcomes as good.
    cell.lastReport = service.firstSeen;
  }
  Learn(cell, aOutcome, aLatency);
  Count(cell.unreported, aOutcome);
  Count(cell.total, aOutcome);
  if (IsBad(aOutcome) && !cell.reportQueued) {
    cell.reportQueued = true;
    reportQueue_.push_back(aUpstream.idx);
  }
  if (!service.baseline.known && aOutcome == OutcomeClass::Good) {
    LearnFirst(service, LatencyMs(aLatency), init_.slowFloor);
  }
  if (service.untilRefresh-- == 0) {
    RefreshBaseline(service);
  }
  Step(aUpstream, aOutcome, aNow);
}

void LocalDetector::RefreshBaseline(detail::LocalService& aService)
{
  const std::vector<uint16_t>& members = aService.members.upstreams;
  aService.untilRefresh = static_cast<uint32_t>(members.size());
  const double recentRate = TakeRecentRate(members);
  scratch_.clear();
  for (const uint16_t upstream : members) {
    if (cells_[upstream].samples >= kMinSamples) {
      scratch_.push_back(cells_[upstream].badRate);
    }
  }
  if (scratch_.empty() || scratch_.size() * 2 < members.size()) {
    return;
  }
  const double median = LowerMedian(scratch_);
  aService.baseline.badRate = std::max(median, recentRate);
  scratch_.clear();
  for (const uint16_t upstream : members) {
    if (cells_[upstream].samples >= kMinSamples) {
      scratch_.push_back(cells_[upstream].latencyMs);
    }
  }
  const double latencyMs = LowerMedian(scratch_);
  SetLatency(aService, latencyMs, init_.slowFloor);
}

double LocalDetector::TakeRecentRate(const std::vector<uint16_t>& aMembers)
{
  float total = 0;
  float bad = 0;
  uint16_t worst = UINT16_MAX;
  for (const uint16_t upstream : aMembers) {
    total += cells_[upstream].recentTotal;
    bad += cells_[upstream].recentBad;
    if (worst == UINT16_MAX || cells_[upstream].recentBad > cells_[worst].recentBad) {
      worst = upstream;
    }
  }
  // A single bad upstream must not raise the rate that it is compared with.
  if (worst != UINT16_MAX) {
    total -= cells_[worst].recentTotal;
    bad -= cells_[worst].recentBad;
  }
  for (const uint16_t upstream : aMembers) {
    cells_[upstream].recentTotal *= kRecentDecay;
    cells_[upstream].recentBad *= kRecentDecay;
  }
  return total >= 1 ? bad / total : 0;
}

void LocalDetector::Step(UpstreamHandle aUpstream, OutcomeClass aOutcome, TimePoint aNow)
{
  detail::LocalCell& cell = cells_[aUpstream.idx];
  const detail::LocalService& service = services_[cell.service];
  const double before = cell.score;
  const int bad = IsBad(aOutcome) ? 1 : 0;
  // Each outcome is judged by the rates of its own time. Judging earlier ones again would turn
  // outcomes of a shared slow-down into a verdict as soon as the baseline has recovered.
  cell.score = NextScore(before, RatesFor(service.baseline), 1 - bad, bad);
  if (cell.score == 0) {
    cell.total = {};
  } else if (cell.score >= service.members.config.threshold && !cell.readmission.Excluded()) {
    Judge(aUpstream, aOutcome, before, aNow);
  }
}

void LocalDetector::Judge(UpstreamHandle aUpstream,
                          OutcomeClass aOutcome,
                          double aScoreBefore,
                          TimePoint aNow)
{
  detail::LocalCell& cell = cells_[aUpstream.idx];
  const detail::LocalService& service = services_[cell.service];
  evidence_.rates = RatesFor(service.baseline);
  evidence_.threshold = service.members.config.threshold;
  evidence_.scoreBefore = aScoreBefore;
  evidence_.pooled = false;
  evidence_.suspects = CountSuspects(service);
  evidence_.members = static_cast<uint32_t>(service.members.upstreams.size());
  evidence_.maxBadFraction = service.members.config.maxBadFraction;
  evidence_.guardHeld = aNow < service.guardUntil;
  evidence_.domains.assign(1, {});
  DomainEvidence& domain = evidence_.domains[0];
  domain.scoreBefore = aScoreBefore;
  Count(domain.counts, aOutcome);
  domain.assumedGood = domain.counts.good;
  domain.total = cell.total;
  domain.observers = 1;
  Decide(evidence_, decision_);
  if (decision_.scope == VerdictScope::None) {
    return;
  }
  if (decision_.guarded) {
    TripGuard(aUpstream, aNow);
    return;
  }
  ++stats_.verdicts;
  cell.readmission.OnVerdict(service.members.readmission, aNow);
  Emit(aUpstream, true, false);
}

uint32_t LocalDetector::CountSuspects(const detail::LocalService& aService) const
{
  // The last outcome of each upstream shows a shared problem before the single tests do; otherwise
  // the first upstreams would get their verdicts before the guard can hold.
  uint32_t suspects = 0;
  for (const uint16_t upstream : aService.members.upstreams) {
    const detail::LocalCell& cell = cells_[upstream];
    suspects += cell.lastBad || cell.readmission.Excluded() ? 1 : 0;
  }
  return suspects;
}

void LocalDetector::TripGuard(UpstreamHandle aUpstream, TimePoint aNow)
{
  detail::LocalService& service = services_[cells_[aUpstream.idx].service];
  const bool held = aNow < service.guardUntil;
  if (!held) {
    ++stats_.guarded;
    Emit(aUpstream, true, true);
  }
  if (!held || TooManySuspects(evidence_.suspects, evidence_.members, evidence_.maxBadFraction)) {
    service.guardUntil = aNow + init_.guardHold;
  }
  // Evidence gathered during a shared problem says nothing about a single upstream.
  for (const uint16_t upstream : service.members.upstreams) {
    detail::LocalCell& cell = cells_[upstream];
    cell.total = {};
    cell.score = 0;
    if (cell.readmission.Excluded() && aNow - cell.readmission.Since() < init_.guardHold) {
      cell.readmission.Revoke();
      Emit(UpstreamHandle{ upstream }, false, false);
    }
  }
}

void LocalDetector::Emit(UpstreamHandle aUpstream, bool aAvoid, bool aGuarded)
{
  Verdict& verdict = verdicts_.emplace_back();
  verdict.upstream = aUpstream;
  verdict.service = ServiceHandle{ cells_[aUpstream.idx].service };
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
  return aUpstream.idx < cells_.size() && cells_[aUpstream.idx].readmission.Excluded();
}

bool LocalDetector::StartTrial(UpstreamHandle aUpstream, TimePoint aNow)
{
  if (aUpstream.idx >= cells_.size()) {
    return false;
  }
  detail::LocalCell& cell = cells_[aUpstream.idx];
  return cell.readmission.StartTrial(services_[cell.service].members.readmission, aNow);
}

std::vector<Verdict> LocalDetector::TakeVerdicts()
{
  return std::exchange(verdicts_, {});
}

std::vector<EvidenceReport> LocalDetector::TakeReports(TimePoint aNow)
{
  std::vector<EvidenceReport> reports;
  std::erase_if(reportQueue_, [&](uint16_t aUpstream) {
    detail::LocalCell& cell = cells_[aUpstream];
    const Duration interval = aNow - cell.lastReport;
    if (interval < init_.reportInterval) {
      return false;
    }
    reports.push_back({ UpstreamHandle{ aUpstream },
                        cell.unreported,
                        std::chrono::duration_cast<Milliseconds>(interval) });
    cell.unreported = {};
    cell.lastReport = aNow;
    cell.reportQueued = false;
    return true;
  });
  std::ranges::sort(reports, {}, &EvidenceReport::upstream);
  return reports;
}

} // namespace bg::detection

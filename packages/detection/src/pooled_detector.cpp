#include <algorithm>
#include <bit>

#include "boragegauge/detection.h"

namespace bg::detection {

namespace {

/// Time, in seconds, for which the good outcomes of a report enter the score; equals the report
/// interval. A report may cover hours. Its older good outcomes happened before the bad ones and say
/// nothing about the current state of the upstream.
constexpr double kRecentGoodSeconds = 0.2;

/// Share of the estimated traffic that counts as good outcomes. A slow upstream refuses part of the
/// estimated requests, and refusals are not reported. With the full estimate the p99 of the
/// detection time of such an upstream is twice as long (docs/DECISIONS.md).
constexpr double kEstimatedTrafficShare = 0.5;

/// Longest time for which one score update estimates good outcomes. The score of an idle upstream
/// is already 0, so longer gaps have nothing to reduce.
constexpr Duration kMaxStepDuration = Milliseconds(250);

/// Multiple of the service's slow limit that must pass before an Upstream verdict is confirmed; see
/// PooledDetectorInit::confirmation.
constexpr double kConfirmationSlowLimits = 4;

/// Reported time per proxy, in seconds, after which the traffic estimate halves the weight of older
/// reports.
constexpr double kTrafficHorizonSeconds = 600;

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

PooledDetector::PooledDetector(PooledDetectorInit aInit)
  : init_(aInit)
{
}

void PooledDetector::Configure(const Configuration& aConfiguration)
{
  const std::vector<uint16_t> formerIndices = table_.Rebuild(aConfiguration);
  const size_t domainCount = aConfiguration.failureDomains.size();
  std::vector<detail::PooledUpstream> upstreams(formerIndices.size());
  std::vector<detail::PathState> paths(formerIndices.size() * domainCount);
  std::map<uint16_t, Verdict> unconfirmed;
  activeUpstreams_.clear();
  for (size_t i = 0; i < formerIndices.size(); ++i) {
    if (formerIndices[i] != UINT16_MAX) {
      upstreams[i] = upstreams_[formerIndices[i]];
      for (size_t d = 0; d < std::min(domainCount, domainCount_); ++d) {
        paths[i * domainCount + d] = Path(formerIndices[i], d);
      }
    }
    upstreams[i].service = aConfiguration.upstreams[i].service.idx;
    if (auto node = unconfirmed_.extract(formerIndices[i])) {
      node.key() = static_cast<uint16_t>(i);
      node.mapped().upstream = UpstreamHandle{ node.key() };
      node.mapped().service = ServiceHandle{ upstreams[i].service };
      unconfirmed.insert(std::move(node));
    }
    if (upstreams[i].isActive) {
      activeUpstreams_.push_back(static_cast<uint16_t>(i));
    }
  }
  unconfirmed_ = std::move(unconfirmed);
  upstreams_ = std::move(upstreams);
  paths_ = std::move(paths);
  domainCount_ = domainCount;
  proxiesPerDomain_.resize(domainCount, 1);
  detail::ReplaceMembers(services_, detail::CollectServices(aConfiguration));
}

void PooledDetector::SetObservers(std::span<const uint32_t> aProxiesPerDomain)
{
  for (size_t d = 0; d < domainCount_; ++d) {
    proxiesPerDomain_[d] = d < aProxiesPerDomain.size() ? aProxiesPerDomain[d] : 0;
  }
}

void PooledDetector::SetBaseline(ServiceHandle aService, const ServiceBaseline& aBaseline)
{
  if (aService.idx < services_.size()) {
    services_[aService.idx].rates = RatesFor(aBaseline);
    services_[aService.idx].localSuspects = aBaseline.suspects;
    services_[aService.idx].latency = aBaseline.latency;
  }
}

void PooledDetector::SetRemoteVerdict(UpstreamHandle aUpstream, bool aAvoid)
{
  if (aUpstream.idx < upstreams_.size()) {
    upstreams_[aUpstream.idx].hasRemoteVerdict = aAvoid;
  }
}

void PooledDetector::Add(std::string_view aObserver,
                         FailureDomainHandle aDomain,
                         const EvidenceReport& aReport,
                         TimePoint aNow)
{
  if (aReport.upstream.idx >= upstreams_.size() || aDomain.idx >= domainCount_) {
    return;
  }
  ++stats_.reports;
  detail::PooledUpstream& upstream = upstreams_[aReport.upstream.idx];
  if (!upstream.isActive) {
    upstream.isActive = true;
    upstream.lastStepAt = aNow;
    activeUpstreams_.push_back(aReport.upstream.idx);
  }
  detail::PathState& path = Path(aReport.upstream.idx, aDomain.idx);
  const double seconds = std::max(Seconds(aReport.interval), kRecentGoodSeconds);
  path.newCounts += aReport.counts;
  path.recentGood += aReport.counts.good * std::min(1.0, kRecentGoodSeconds / seconds);
  path.observerHashBits |= uint64_t{ 1 } << (Hash64(aObserver) & 63);
  path.reportedOutcomes += aReport.counts.Total();
  path.reportedSeconds += seconds;
  if (path.reportedSeconds >
      kTrafficHorizonSeconds * std::max(1U, proxiesPerDomain_[aDomain.idx])) {
    path.reportedOutcomes /= 2;
    path.reportedSeconds /= 2;
  }
}

std::vector<Verdict> PooledDetector::Evaluate(TimePoint aNow)
{
  ResumeVerdicts(aNow);
  // Sorted, so that the order in which reports arrived since the last call has no effect.
  std::ranges::sort(activeUpstreams_);
  for (const uint16_t upstream : activeUpstreams_) {
    UpdateScores(upstream, aNow);
  }
  for (const uint16_t upstream : activeUpstreams_) {
    ConfirmVerdict(upstream, aNow);
  }
  std::erase_if(activeUpstreams_, [&](UpstreamIndex aUpstream) {
    upstreams_[aUpstream].isActive = !IsIdle(aUpstream);
    return !upstreams_[aUpstream].isActive;
  });
  return std::exchange(pendingVerdicts_, {});
}

double PooledDetector::EstimateGoodOutcomes(const detail::PathState& aPath,
                                            size_t aDomain,
                                            double aSeconds) const
{
  if (aPath.avoided) {
    // The traffic estimate dates from before the verdict; an avoided path gets few requests.
    return aPath.recentGood;
  }
  const double outcomesPerSecond =
    proxiesPerDomain_[aDomain] * aPath.reportedOutcomes / aPath.reportedSeconds;
  return std::max(kEstimatedTrafficShare * outcomesPerSecond * aSeconds - aPath.newCounts.Bad(),
                  aPath.recentGood);
}

void PooledDetector::CollectEvidence(UpstreamIndex aUpstream, TimePoint aNow)
{
  detail::PooledUpstream& upstream = upstreams_[aUpstream];
  const detail::PooledService& service = services_[upstream.service];
  const double seconds = Seconds(std::min(aNow - upstream.lastStepAt, kMaxStepDuration));
  evidence_.rates = service.rates;
  evidence_.threshold = service.members.config.threshold;
  evidence_.scoreBefore = upstream.score;
  evidence_.pooled = true;
  evidence_.suspects = 0; // Set by ApplyDecision() and ConfirmVerdict(), which need it.
  evidence_.members = static_cast<uint32_t>(service.members.upstreams.size());
  evidence_.maxBadFraction = service.members.config.maxBadFraction;
  evidence_.guardActive = service.isGuardActive;
  evidence_.domains.clear();
  for (size_t d = 0; d < domainCount_; ++d) {
    detail::PathState& path = Path(aUpstream, d);
    if (path.reportedSeconds == 0) {
      continue;
    }
    DomainEvidence& domain = evidence_.domains.emplace_back();
    domain.domain.idx = static_cast<uint16_t>(d);
    domain.scoreBefore = path.score;
    domain.counts = path.newCounts;
    path.countsSinceZero += path.newCounts;
    domain.total = path.countsSinceZero;
    domain.assumedGood = EstimateGoodOutcomes(path, d, seconds);
    domain.observers = static_cast<uint32_t>(std::popcount(path.observerHashBits));
    // Bad outcomes of one proxy are not enough, because its own network link may be broken. A
    // domain with a single proxy is the exception.
    domain.enoughObservers = domain.observers >= std::min(2U, proxiesPerDomain_[d]);
    domain.avoided = path.avoided;
    path.newCounts = {};
    path.recentGood = 0;
  }
}

void PooledDetector::UpdateScores(UpstreamIndex aUpstream, TimePoint aNow)
{
  detail::PooledUpstream& upstream = upstreams_[aUpstream];
  CollectEvidence(aUpstream, aNow);
  upstream.lastStepAt = aNow;
  if (upstream.scope == VerdictScope::Upstream) {
    return; // Only trial requests can end this verdict.
  }
  Decide(evidence_, decision_);
  upstream.score = decision_.score;
  for (size_t i = 0; i < evidence_.domains.size(); ++i) {
    detail::PathState& path = Path(aUpstream, evidence_.domains[i].domain.idx);
    path.score = decision_.domainScores[i];
    if (path.score == 0) {
      path.observerHashBits = 0;
      path.countsSinceZero = {};
    }
  }
  if (decision_.scope != VerdictScope::None) {
    ApplyDecision(aUpstream, aNow);
  }
}

void PooledDetector::ApplyDecision(UpstreamIndex aUpstream, TimePoint aNow)
{
  detail::PooledUpstream& upstream = upstreams_[aUpstream];
  const detail::PooledService& service = services_[upstream.service];
  evidence_.suspects = CountSuspects(service);
  Decide(evidence_, decision_);
  if (decision_.guarded) {
    SuspendVerdicts(aUpstream, aNow);
    return;
  }
  ++stats_.verdicts;
  upstream.scope = decision_.scope;
  upstream.verdictAt = aNow;
  upstream.readmission.OnVerdict(service.members.readmission, aNow);
  if (decision_.scope == VerdictScope::Path) {
    Path(aUpstream, decision_.domain.idx).avoided = true;
  }
  pendingVerdicts_.push_back(MakeVerdict(aUpstream));
  if (decision_.scope == VerdictScope::Upstream) {
    unconfirmed_[aUpstream] = pendingVerdicts_.back();
  }
}

void PooledDetector::ConfirmVerdict(UpstreamIndex aUpstream, TimePoint aNow)
{
  detail::PooledUpstream& upstream = upstreams_[aUpstream];
  const detail::PooledService& service = services_[upstream.service];
  const double slowLimitSeconds = Seconds(service.latency) * service.members.config.slowFactor;
  const double requiredSeconds =
    std::max(Seconds(init_.confirmation), kConfirmationSlowLimits * slowLimitSeconds);
  if (upstream.scope != VerdictScope::Upstream || upstream.confirmed ||
      Seconds(aNow - upstream.verdictAt) < requiredSeconds) {
    return;
  }
  if (HasTooManySuspects(service)) {
    CollectEvidence(aUpstream, aNow);
    evidence_.suspects = CountSuspects(service);
    decision_.scope = upstream.scope;
    SuspendVerdicts(aUpstream, aNow);
    return;
  }
  upstream.confirmed = true;
  if (auto node = unconfirmed_.extract(aUpstream)) {
    node.mapped().confirmed = true;
    pendingVerdicts_.push_back(std::move(node.mapped()));
  }
}

void PooledDetector::SuspendVerdicts(UpstreamIndex aUpstream, TimePoint aNow)
{
  detail::PooledService& service = services_[upstreams_[aUpstream].service];
  if (TooManySuspects(evidence_.suspects, evidence_.members, evidence_.maxBadFraction)) {
    service.guardUntil = aNow + init_.guardDuration;
  }
  if (service.isGuardActive) {
    return;
  }
  service.isGuardActive = true;
  ++stats_.guarded;
  Verdict verdict = MakeVerdict(aUpstream);
  verdict.guarded = true;
  pendingVerdicts_.push_back(std::move(verdict));
  // Recent verdicts are taken to be false alarms from the same service-wide fault.
  for (const uint16_t member : service.members.upstreams) {
    const detail::PooledUpstream& upstream = upstreams_[member];
    if (upstream.scope != VerdictScope::None && aNow - upstream.verdictAt < init_.guardDuration) {
      upstreams_[member].readmission.Revoke();
      ClearVerdict(member);
    }
  }
}

void PooledDetector::ResumeVerdicts(TimePoint aNow)
{
  for (detail::PooledService& service : services_) {
    if (service.isGuardActive && aNow >= service.guardUntil) {
      service.isGuardActive = false;
      // Outcomes during a service-wide fault are no evidence against a single upstream.
      for (const uint16_t upstream : service.members.upstreams) {
        ResetScores(upstream);
      }
    }
  }
}

void PooledDetector::ClearVerdict(UpstreamIndex aUpstream)
{
  detail::PooledUpstream& upstream = upstreams_[aUpstream];
  Verdict& verdict = pendingVerdicts_.emplace_back();
  verdict.upstream = UpstreamHandle{ aUpstream };
  verdict.service = ServiceHandle{ upstream.service };
  verdict.scope = upstream.scope;
  upstream.scope = VerdictScope::None;
  upstream.confirmed = false;
  unconfirmed_.erase(aUpstream);
  for (size_t d = 0; d < domainCount_; ++d) {
    detail::PathState& path = Path(aUpstream, d);
    if (path.avoided) {
      verdict.domain.idx = static_cast<uint16_t>(d);
    }
    path.avoided = false;
  }
  ResetScores(aUpstream);
}

void PooledDetector::ResetScores(UpstreamIndex aUpstream)
{
  upstreams_[aUpstream].score = 0;
  for (size_t d = 0; d < domainCount_; ++d) {
    detail::PathState& path = Path(aUpstream, d);
    path.score = 0;
    path.observerHashBits = 0;
    path.countsSinceZero = {};
  }
}

Verdict PooledDetector::MakeVerdict(UpstreamIndex aUpstream) const
{
  Verdict verdict;
  verdict.upstream = UpstreamHandle{ aUpstream };
  verdict.service = ServiceHandle{ upstreams_[aUpstream].service };
  verdict.scope = decision_.scope;
  verdict.domain = decision_.domain;
  verdict.avoid = true;
  verdict.evidence = evidence_;
  return verdict;
}

uint32_t PooledDetector::CountSuspects(const detail::PooledService& aService) const
{
  uint32_t suspects = 0;
  for (const uint16_t member : aService.members.upstreams) {
    const detail::PooledUpstream& upstream = upstreams_[member];
    suspects += upstream.scope != VerdictScope::None || upstream.hasRemoteVerdict ||
                    upstream.score >= aService.members.config.threshold
                  ? 1
                  : 0;
  }
  return std::max(suspects, aService.localSuspects);
}

bool PooledDetector::HasTooManySuspects(const detail::PooledService& aService) const
{
  return TooManySuspects(CountSuspects(aService),
                         static_cast<uint32_t>(aService.members.upstreams.size()),
                         aService.members.config.maxBadFraction);
}

bool PooledDetector::IsIdle(UpstreamIndex aUpstream) const
{
  const detail::PooledUpstream& upstream = upstreams_[aUpstream];
  if (upstream.score > 0 || (upstream.scope == VerdictScope::Upstream && !upstream.confirmed)) {
    return false;
  }
  for (size_t d = 0; d < domainCount_; ++d) {
    if (Path(aUpstream, d).score > 0) {
      return false;
    }
  }
  return true;
}

bool PooledDetector::HasVerdict(UpstreamHandle aUpstream) const
{
  return Scope(aUpstream) != VerdictScope::None;
}

VerdictScope PooledDetector::Scope(UpstreamHandle aUpstream) const
{
  return aUpstream.idx < upstreams_.size() ? upstreams_[aUpstream.idx].scope : VerdictScope::None;
}

bool PooledDetector::IsPathAvoided(UpstreamHandle aUpstream, FailureDomainHandle aDomain) const
{
  return aUpstream.idx < upstreams_.size() && aDomain.idx < domainCount_ &&
         Path(aUpstream.idx, aDomain.idx).avoided;
}

double PooledDetector::Score(UpstreamHandle aUpstream) const
{
  return aUpstream.idx < upstreams_.size() ? upstreams_[aUpstream.idx].score : 0;
}

bool PooledDetector::StartTrial(UpstreamHandle aUpstream, TimePoint aNow)
{
  if (aUpstream.idx >= upstreams_.size()) {
    return false;
  }
  detail::PooledUpstream& upstream = upstreams_[aUpstream.idx];
  return upstream.readmission.StartTrial(services_[upstream.service].members.readmission, aNow);
}

void PooledDetector::ObserveTrial(UpstreamHandle aUpstream, OutcomeClass aOutcome, TimePoint aNow)
{
  if (aUpstream.idx >= upstreams_.size()) {
    return;
  }
  detail::PooledUpstream& upstream = upstreams_[aUpstream.idx];
  const ReadmissionInit& init = services_[upstream.service].members.readmission;
  if (upstream.readmission.ObserveTrial(init, aOutcome, aNow)) {
    ClearVerdict(aUpstream.idx);
  }
}

void PooledDetector::ResetUpstream(UpstreamHandle aUpstream)
{
  if (aUpstream.idx < upstreams_.size()) {
    upstreams_[aUpstream.idx].readmission.Clear();
    ClearVerdict(aUpstream.idx);
  }
}

detail::PathState& PooledDetector::Path(UpstreamIndex aUpstream, size_t aDomain)
{
  return paths_[aUpstream * domainCount_ + aDomain];
}

const detail::PathState& PooledDetector::Path(UpstreamIndex aUpstream, size_t aDomain) const
{
  return paths_[aUpstream * domainCount_ + aDomain];
}

} // namespace bg::detection

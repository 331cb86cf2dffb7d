#include <algorithm>
#include <bit>

#include "boragegauge/detection.h"

namespace bg::detection {

namespace {

/// Time of good outcomes that a report contributes to a step; matches the report interval. Older
/// good outcomes of the same report happened before the bad ones and say nothing about now.
constexpr double kRecentSeconds = 0.2;

/// Share of the estimated traffic that counts as good outcomes. A slow upstream refuses part of the
/// work that the estimate expects, and refusals are not reported; with the full estimate the p99 of
/// the detection time of such an upstream is twice as long (docs/DECISIONS.md).
constexpr double kAssumedShare = 0.5;

/// Longest time that one step covers; an upstream that was idle has no score to reduce.
constexpr Duration kMaxStep = Milliseconds(250);

/// An ejection waits for this many slow limits of the service, see PooledDetectorInit.
constexpr double kConfirmationLimits = 4;

/// Traffic estimates cover this time per proxy before older reports lose weight.
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
  const std::vector<uint16_t> former = table_.Rebuild(aConfiguration);
  const size_t domains = aConfiguration.failureDomains.size();
  std::vector<detail::PooledUpstream> upstreams(former.size());
  std::vector<detail::PooledCell> cells(former.size() * domains);
  std::map<uint16_t, Verdict> unconfirmed;
  active_.clear();
  for (size_t i = 0; i < former.size(); ++i) {
    if (former[i] != UINT16_MAX) {
      upstreams[i] = upstreams_[former[i]];
      for (size_t d = 0; d < std::min(domains, domains_); ++d) {
        cells[i * domains + d] = Cell(former[i], d);
      }
    }
    upstreams[i].service = aConfiguration.upstreams[i].service.idx;
    if (auto node = unconfirmed_.extract(former[i])) {
      node.key() = static_cast<uint16_t>(i);
      node.mapped().upstream = UpstreamHandle{ node.key() };
      node.mapped().service = ServiceHandle{ upstreams[i].service };
      unconfirmed.insert(std::move(node));
    }
    if (upstreams[i].active) {
      active_.push_back(static_cast<uint16_t>(i));
    }
  }
  unconfirmed_ = std::move(unconfirmed);
  upstreams_ = std::move(upstreams);
  cells_ = std::move(cells);
  domains_ = domains;
  observers_.resize(domains, 1);
  detail::ReplaceMembers(services_, detail::CollectServices(aConfiguration));
}

void PooledDetector::SetObservers(std::span<const uint32_t> aProxiesPerDomain)
{
  for (size_t d = 0; d < domains_; ++d) {
    observers_[d] = d < aProxiesPerDomain.size() ? aProxiesPerDomain[d] : 0;
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
    upstreams_[aUpstream.idx].remoteVerdict = aAvoid;
  }
}

void PooledDetector::Add(std::string_view aObserver,
                         FailureDomainHandle aDomain,
                         const EvidenceReport& aReport,
                         TimePoint aNow)
{
  if (aReport.upstream.idx >= upstreams_.size() || aDomain.idx >= domains_) {
    return;
  }
  ++stats_.reports;
  detail::PooledUpstream& upstream = upstreams_[aReport.upstream.idx];
  if (!upstream.active) {
    upstream.active = true;
    upstream.stepped = aNow;
    active_.push_back(aReport.upstream.idx);
  }
  detail::PooledCell& cell = Cell(aReport.upstream.idx, aDomain.idx);
  const double seconds = std::max(Seconds(aReport.interval), kRecentSeconds);
  cell.pending += aReport.counts;
  cell.pendingGood += aReport.counts.good * std::min(1.0, kRecentSeconds / seconds);
  cell.observerBits |= uint64_t{ 1 } << (Hash64(aObserver) & 63);
  cell.reported += aReport.counts.Total();
  cell.reportedSeconds += seconds;
  if (cell.reportedSeconds > kTrafficHorizonSeconds * std::max(1U, observers_[aDomain.idx])) {
    cell.reported /= 2;
    cell.reportedSeconds /= 2;
  }
}

std::vector<Verdict> PooledDetector::Evaluate(TimePoint aNow)
{
  EndGuards(aNow);
  // Ordered by upstream, so that the order of reports within a tick has no effect.
  std::ranges::sort(active_);
  for (const uint16_t upstream : active_) {
    Step(upstream, aNow);
  }
  for (const uint16_t upstream : active_) {
    Confirm(upstream, aNow);
  }
  std::erase_if(active_, [&](uint16_t aUpstream) {
    upstreams_[aUpstream].active = !IsQuiet(aUpstream);
    return !upstreams_[aUpstream].active;
  });
  return std::exchange(changes_, {});
}

double PooledDetector::AssumedGood(const detail::PooledCell& aCell,
                                   size_t aDomain,
                                   double aSeconds) const
{
  if (aCell.avoided) {
    return aCell
      .pendingGood; // The estimate is from before the verdict; little work goes there now.
  }
  const double perSecond = observers_[aDomain] * aCell.reported / aCell.reportedSeconds;
  return std::max(kAssumedShare * perSecond * aSeconds - aCell.pending.Bad(), aCell.pendingGood);
}

void PooledDetector::CollectEvidence(uint16_t aUpstream, TimePoint aNow)
{
  detail::PooledUpstream& upstream = upstreams_[aUpstream];
  const detail::PooledService& service = services_[upstream.service];
  const double seconds = Seconds(std::min(aNow - upstream.stepped, kMaxStep));
  evidence_.rates = service.rates;
  evidence_.threshold = service.members.config.threshold;
  evidence_.scoreBefore = upstream.score;
  evidence_.pooled = true;
  evidence_.suspects = 0; // Counted only when there is something to decide.
  evidence_.members = static_cast<uint32_t>(service.members.upstreams.size());
  evidence_.maxBadFraction = service.members.config.maxBadFraction;
  evidence_.guardHeld = service.guardHeld;
  evidence_.domains.clear();
  for (size_t d = 0; d < domains_; ++d) {
    detail::PooledCell& cell = Cell(aUpstream, d);
    if (cell.reportedSeconds == 0) {
      continue;
    }
    DomainEvidence& domain = evidence_.domains.emplace_back();
    domain.domain.idx = static_cast<uint16_t>(d);
    domain.scoreBefore = cell.score;
    domain.counts = cell.pending;
    cell.total += cell.pending;
    domain.total = cell.total;
    domain.assumedGood = AssumedGood(cell, d, seconds);
    domain.observers = static_cast<uint32_t>(std::popcount(cell.observerBits));
    // One proxy with a broken network must not speak for its whole domain.
    domain.enoughObservers = domain.observers >= std::min(2U, observers_[d]);
    domain.avoided = cell.avoided;
    cell.pending = {};
    cell.pendingGood = 0;
  }
}

void PooledDetector::Step(uint16_t aUpstream, TimePoint aNow)
{
  detail::PooledUpstream& upstream = upstreams_[aUpstream];
  CollectEvidence(aUpstream, aNow);
  upstream.stepped = aNow;
  if (upstream.scope == VerdictScope::Upstream) {
    return; // The verdict stands until trial requests succeed.
  }
  Decide(evidence_, decision_);
  upstream.score = decision_.score;
  for (size_t i = 0; i < evidence_.domains.size(); ++i) {
    detail::PooledCell& cell = Cell(aUpstream, evidence_.domains[i].domain.idx);
    cell.score = decision_.domainScores[i];
    if (cell.score == 0) {
      cell.observerBits = 0;
      cell.total = {};
    }
  }
  if (decision_.scope != VerdictScope::None) {
    Act(aUpstream, aNow);
  }
}

void PooledDetector::Act(uint16_t aUpstream, TimePoint aNow)
{
  detail::PooledUpstream& upstream = upstreams_[aUpstream];
  const detail::PooledService& service = services_[upstream.service];
  evidence_.suspects = CountSuspects(service);
  Decide(evidence_, decision_);
  if (decision_.guarded) {
    TripGuard(aUpstream, aNow);
    return;
  }
  ++stats_.verdicts;
  upstream.scope = decision_.scope;
  upstream.verdictAt = aNow;
  upstream.readmission.OnVerdict(service.members.readmission, aNow);
  if (decision_.scope == VerdictScope::Path) {
    Cell(aUpstream, decision_.domain.idx).avoided = true;
  }
  changes_.push_back(MakeVerdict(aUpstream));
  if (decision_.scope == VerdictScope::Upstream) {
    unconfirmed_[aUpstream] = changes_.back();
  }
}

void PooledDetector::Confirm(uint16_t aUpstream, TimePoint aNow)
{
  detail::PooledUpstream& upstream = upstreams_[aUpstream];
  const detail::PooledService& service = services_[upstream.service];
  const double slowLimit = Seconds(service.latency) * service.members.config.slowFactor;
  const double wait = std::max(Seconds(init_.confirmation), kConfirmationLimits * slowLimit);
  if (upstream.scope != VerdictScope::Upstream || upstream.confirmed ||
      Seconds(aNow - upstream.verdictAt) < wait) {
    return;
  }
  if (IsGuardDue(service)) {
    CollectEvidence(aUpstream, aNow);
    evidence_.suspects = CountSuspects(service);
    decision_.scope = upstream.scope;
    TripGuard(aUpstream, aNow);
    return;
  }
  upstream.confirmed = true;
  if (auto node = unconfirmed_.extract(aUpstream)) {
    node.mapped().confirmed = true;
    changes_.push_back(std::move(node.mapped()));
  }
}

void PooledDetector::TripGuard(uint16_t aUpstream, TimePoint aNow)
{
  detail::PooledService& service = services_[upstreams_[aUpstream].service];
  if (TooManySuspects(evidence_.suspects, evidence_.members, evidence_.maxBadFraction)) {
    service.guardUntil = aNow + init_.guardHold;
  }
  if (service.guardHeld) {
    return;
  }
  service.guardHeld = true;
  ++stats_.guarded;
  Verdict verdict = MakeVerdict(aUpstream);
  verdict.guarded = true;
  changes_.push_back(std::move(verdict));
  // Verdicts of the last seconds came from the same shared problem.
  for (const uint16_t member : service.members.upstreams) {
    const detail::PooledUpstream& upstream = upstreams_[member];
    if (upstream.scope != VerdictScope::None && aNow - upstream.verdictAt < init_.guardHold) {
      upstreams_[member].readmission.Revoke();
      Release(member);
    }
  }
}

void PooledDetector::EndGuards(TimePoint aNow)
{
  for (detail::PooledService& service : services_) {
    if (service.guardHeld && aNow >= service.guardUntil) {
      service.guardHeld = false;
      // Evidence gathered during a shared problem says nothing about a single upstream.
      for (const uint16_t upstream : service.members.upstreams) {
        ResetScores(upstream);
      }
    }
  }
}

void PooledDetector::Release(uint16_t aUpstream)
{
  detail::PooledUpstream& upstream = upstreams_[aUpstream];
  Verdict& verdict = changes_.emplace_back();
  verdict.upstream = UpstreamHandle{ aUpstream };
  verdict.service = ServiceHandle{ upstream.service };
  verdict.scope = upstream.scope;
  upstream.scope = VerdictScope::None;
  upstream.confirmed = false;
  unconfirmed_.erase(aUpstream);
  for (size_t d = 0; d < domains_; ++d) {
    detail::PooledCell& cell = Cell(aUpstream, d);
    if (cell.avoided) {
      verdict.domain.idx = static_cast<uint16_t>(d);
    }
    cell.avoided = false;
  }
  ResetScores(aUpstream);
}

void PooledDetector::ResetScores(uint16_t aUpstream)
{
  upstreams_[aUpstream].score = 0;
  for (size_t d = 0; d < domains_; ++d) {
    detail::PooledCell& cell = Cell(aUpstream, d);
    cell.score = 0;
    cell.observerBits = 0;
    cell.total = {};
  }
}

Verdict PooledDetector::MakeVerdict(uint16_t aUpstream) const
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
    suspects += upstream.scope != VerdictScope::None || upstream.remoteVerdict ||
                    upstream.score >= aService.members.config.threshold
                  ? 1
                  : 0;
  }
  return std::max(suspects, aService.localSuspects);
}

bool PooledDetector::IsGuardDue(const detail::PooledService& aService) const
{
  return TooManySuspects(CountSuspects(aService),
                         static_cast<uint32_t>(aService.members.upstreams.size()),
                         aService.members.config.maxBadFraction);
}

bool PooledDetector::IsQuiet(uint16_t aUpstream) const
{
  const detail::PooledUpstream& upstream = upstreams_[aUpstream];
  if (upstream.score > 0 || (upstream.scope == VerdictScope::Upstream && !upstream.confirmed)) {
    return false;
  }
  for (size_t d = 0; d < domains_; ++d) {
    if (Cell(aUpstream, d).score > 0) {
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

bool PooledDetector::PathAvoided(UpstreamHandle aUpstream, FailureDomainHandle aDomain) const
{
  return aUpstream.idx < upstreams_.size() && aDomain.idx < domains_ &&
         Cell(aUpstream.idx, aDomain.idx).avoided;
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
    Release(aUpstream.idx);
  }
}

void PooledDetector::Forget(UpstreamHandle aUpstream)
{
  if (aUpstream.idx < upstreams_.size()) {
    upstreams_[aUpstream.idx].readmission.Clear();
    Release(aUpstream.idx);
  }
}

detail::PooledCell& PooledDetector::Cell(uint16_t aUpstream, size_t aDomain)
{
  return cells_[aUpstream * domains_ + aDomain];
}

const detail::PooledCell& PooledDetector::Cell(uint16_t aUpstream, size_t aDomain) const
{
  return cells_[aUpstream * domains_ + aDomain];
}

} // namespace bg::detection

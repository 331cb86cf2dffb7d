#include "health_control.h"

#include <algorithm>

namespace bg {

namespace {

/// Active verdicts are sent again, so that peers that missed a message or restarted receive them.
constexpr Duration kVerdictResendInterval = std::chrono::seconds(3);
/// A peer's verdict expires if the peer does not send it again within this time.
constexpr Duration kVerdictTimeout = std::chrono::seconds(10);
/// A proxy that avoids an upstream sends it no requests, so it collects no further evidence. It
/// reports the evidence of its verdict again while the verdict is active; otherwise the proxies of
/// several failure domains, which all stop early, would not collect enough evidence for a pooled
/// verdict.
constexpr Duration kLocalEvidenceResendInterval = std::chrono::seconds(1);
/// Interval at which the pooled detector gets new baselines and observer counts.
constexpr Duration kPooledInputInterval = Milliseconds(500);

detection::OutcomeClass ToOutcomeClass(OutcomeKind aKind)
{
  switch (aKind) {
    case OutcomeKind::Good:
      return detection::OutcomeClass::Good;
    case OutcomeKind::Failed:
      return detection::OutcomeClass::Failed;
    case OutcomeKind::Slow:
      return detection::OutcomeClass::Slow;
    case OutcomeKind::Neutral:
    case OutcomeKind::Count:
      break;
  }
  return detection::OutcomeClass::Neutral;
}

FailureDomainHandle FindFailureDomain(const Configuration& aConfiguration, std::string_view aName)
{
  const auto& domains = aConfiguration.failureDomains;
  const auto found = std::find(domains.begin(), domains.end(), aName);
  return found == domains.end()
           ? FailureDomainHandle{}
           : FailureDomainHandle{ static_cast<uint16_t>(found - domains.begin()) };
}

} // namespace

HealthControl::HealthControl(HealthControlInit aInit)
  : init_(std::move(aInit))
{
}

void HealthControl::Configure(std::shared_ptr<const Configuration> aConfiguration,
                              std::shared_ptr<LoadTable> aLoad)
{
  std::vector<Upstream> upstreams(aConfiguration->upstreams.size());
  std::unordered_map<uint64_t, UpstreamHandle> upstreamsByKey;
  std::map<uint16_t, Verdict> activeVerdicts;
  std::map<uint16_t, EvidenceCounts> localVerdictEvidence;
  for (size_t i = 0; i < upstreams.size(); ++i) {
    const UpstreamConfig& config = aConfiguration->upstreams[i];
    const UpstreamHandle handle{ static_cast<uint16_t>(i) };
    const uint64_t key = UpstreamKey(aConfiguration->services[config.service.idx].id, config.id);
    upstreamsByKey[key] = handle;
    if (const auto previous = upstreamsByKey_.find(key); previous != upstreamsByKey_.end()) {
      upstreams[i] = std::move(upstreams_[previous->second.idx]);
      if (auto node = activeVerdicts_.extract(previous->second.idx)) {
        activeVerdicts[handle.idx] = std::move(node.mapped());
      }
      if (auto node = localVerdictEvidence_.extract(previous->second.idx)) {
        localVerdictEvidence[handle.idx] = node.mapped();
      }
    }
  }
  upstreams_ = std::move(upstreams);
  upstreamsByKey_ = std::move(upstreamsByKey);
  activeVerdicts_ = std::move(activeVerdicts);
  localVerdictEvidence_ = std::move(localVerdictEvidence);
  configuration_ = std::move(aConfiguration);
  load_ = std::move(aLoad);
  localDomain_ = FindFailureDomain(*configuration_, init_.settings->failureDomain);
  localDetector_.Configure(*configuration_);
  pooledDetector_.Configure(*configuration_);
}

UpstreamHandle HealthControl::FindUpstreamByKey(uint64_t aKey) const
{
  const auto found = upstreamsByKey_.find(aKey);
  return found == upstreamsByKey_.end() ? UpstreamHandle{} : found->second;
}

UpstreamHandle HealthControl::FindUpstream(std::string_view aService,
                                           std::string_view aUpstream) const
{
  return FindUpstreamByKey(UpstreamKey(aService, aUpstream));
}

void HealthControl::OnOutcomes(const std::vector<AttemptOutcome>& aOutcomes)
{
  if (init_.settings->IsDisabled("detection")) {
    return;
  }
  for (const AttemptOutcome& outcome : aOutcomes) {
    UpstreamHandle upstream = outcome.upstream;
    if (outcome.snapshot->configuration != configuration_) {
      const Configuration& old = *outcome.snapshot->configuration;
      const UpstreamConfig& config = old.upstreams[upstream.idx];
      upstream = FindUpstream(old.services[config.service.idx].id, config.id);
    }
    if (!IsValid(upstream)) {
      continue;
    }
    const detection::OutcomeClass outcomeClass = ToOutcomeClass(outcome.kind);
    localDetector_.Observe(upstream, outcomeClass, outcome.latency, outcome.observedAt);
    if (outcome.isTrial) {
      pooledDetector_.ObserveTrial(upstream, outcomeClass, outcome.observedAt);
    }
  }
}

void HealthControl::OnPeerReport(std::string_view aHost,
                                 const EvidenceReport& aReport,
                                 TimePoint aNow)
{
  if (!configuration_) {
    return;
  }
  const FailureDomainHandle domain = FindFailureDomain(*configuration_, aReport.failureDomain);
  for (const EvidenceCounts& counts : aReport.counts) {
    const UpstreamHandle upstream = FindUpstreamByKey(counts.upstream);
    if (IsValid(upstream) && IsValid(domain)) {
      Log(LogLevel::Debug,
          "evidence_received",
          { { "peer", aHost },
            { "upstream", configuration_->upstreams[upstream.idx].id },
            { "good", counts.good },
            { "failed", counts.failed },
            { "slow", counts.slow },
            { "interval_ms", counts.intervalMs },
            { "score", pooledDetector_.Score(upstream) } });
      pooledDetector_.Add(
        aHost,
        domain,
        { upstream, { counts.good, counts.failed, counts.slow }, Milliseconds(counts.intervalMs) },
        aNow);
    }
  }
}

void HealthControl::OnPeerVerdict(std::string_view aHost, const Verdict& aVerdict, TimePoint aNow)
{
  ApplyPublishedVerdict(aVerdict, aHost, aNow);
}

void HealthControl::ApplyPublishedVerdict(const Verdict& aVerdict,
                                          std::string_view aHost,
                                          TimePoint aNow)
{
  if (!configuration_) {
    return;
  }
  const UpstreamHandle upstream = FindUpstream(aVerdict.service, aVerdict.upstream);
  const bool isOtherDomainPath =
    aVerdict.scope == VerdictScope::Path && aVerdict.failureDomain != init_.settings->failureDomain;
  if (!IsValid(upstream) || isOtherDomainPath) {
    return;
  }
  auto& avoidedBy = upstreams_[upstream.idx].avoidedBy;
  if (aVerdict.action == VerdictAction::Avoid) {
    avoidedBy.insert_or_assign(std::string(aHost), aNow);
  } else if (const auto found = avoidedBy.find(aHost); found != avoidedBy.end()) {
    avoidedBy.erase(found);
  }
  pooledDetector_.SetRemoteVerdict(upstream, !avoidedBy.empty());
}

void HealthControl::ExpirePeerVerdicts(TimePoint aNow)
{
  for (size_t i = 0; i < upstreams_.size(); ++i) {
    auto& avoidedBy = upstreams_[i].avoidedBy;
    const size_t removed = std::erase_if(
      avoidedBy, [&](const auto& aEntry) { return aNow - aEntry.second > kVerdictTimeout; });
    if (removed > 0) {
      pooledDetector_.SetRemoteVerdict(UpstreamHandle{ static_cast<uint16_t>(i) },
                                       !avoidedBy.empty());
    }
  }
}

void HealthControl::OnHostList(const std::vector<HostEntry>& aHosts, TimePoint aNow)
{
  for (Upstream& upstream : upstreams_) {
    upstream.isListedLive = false;
  }
  for (const HostEntry& entry : aHosts) {
    if (entry.role != HostRole::Upstream) {
      continue;
    }
    const UpstreamHandle handle = FindUpstream(entry.service, entry.host);
    if (!IsValid(handle)) {
      continue;
    }
    upstreams_[handle.idx].isListedLive = entry.state == HostState::Live;
    if (entry.state == HostState::Leaving) {
      init_.leaving->Signal(entry.service, entry.host, entry.bootId, "host_list", aNow);
    } else if (!entry.bootId.empty()) {
      OnBootId(entry.service, entry.host, entry.bootId, aNow);
    }
  }
}

void HealthControl::OnBootId(std::string_view aService,
                             std::string_view aUpstream,
                             std::string_view aBootId,
                             TimePoint aNow)
{
  const UpstreamHandle handle = FindUpstream(aService, aUpstream);
  if (!IsValid(handle) || aBootId.empty()) {
    return;
  }
  Upstream& upstream = upstreams_[handle.idx];
  if (upstream.bootId == aBootId) {
    return;
  }
  const bool hasRestarted = !upstream.bootId.empty();
  upstream.bootId = aBootId;
  if (hasRestarted) {
    init_.leaving->ObserveBoot(aService, aUpstream, aBootId);
    upstream.slowStartFrom = aNow;
    pooledDetector_.ResetUpstream(handle);
  }
}

void HealthControl::OnLeavingChange(const LeavingMark& aMark, bool aIsLeaving)
{
  const UpstreamHandle handle = FindUpstream(aMark.service, aMark.upstream);
  if (!IsValid(handle)) {
    return;
  }
  DecisionRecord record =
    CreateRecord(DecisionKind::Drain, handle, aIsLeaving ? "leaving_signal" : "leaving_ended");
  record.context.push_back("source=" + aMark.source);
  record.context.push_back("boot_id=" + aMark.bootId);
  init_.addRecord(std::move(record));
}

void HealthControl::OnPermitEvent(PermitEvent aEvent,
                                  const std::string& aService,
                                  const std::string& aUpstream)
{
  const UpstreamHandle handle = FindUpstream(aService, aUpstream);
  if (!IsValid(handle)) {
    return;
  }
  const auto kind = [&] {
    switch (aEvent) {
      case PermitEvent::Granted:
        return DecisionKind::Ejection;
      case PermitEvent::Released:
        return DecisionKind::Readmission;
      case PermitEvent::ReleasedByFloor:
        return DecisionKind::PermitReleased;
      case PermitEvent::LeaseLost:
        return DecisionKind::LeaseLost;
      default:
        return DecisionKind::Guard;
    }
  }();
  DecisionRecord record = CreateRecord(kind, handle, std::string("permit_") += ToString(aEvent));
  const ServiceHealth health = Health(aService);
  record.threshold = health.floor;
  record.evidence = { { "healthy", static_cast<double>(health.healthy.size()) },
                      { "floor", static_cast<double>(health.floor) },
                      { "ejected",
                        static_cast<double>(init_.permits->Ejected(aService, lastTick_).size()) },
                      { "score", pooledDetector_.Score(handle) } };
  if (!upstreams_[handle.idx].verdictRecordId.empty()) {
    record.context.push_back("verdict=" + upstreams_[handle.idx].verdictRecordId);
  }
  if (aEvent == PermitEvent::FloorReached || aEvent == PermitEvent::ReleasedByFloor) {
    record.opposing.emplace_back("floor");
  }
  init_.addRecord(std::move(record));
}

DecisionRecord HealthControl::CreateRecord(DecisionKind aKind,
                                           UpstreamHandle aUpstream,
                                           std::string_view aRule) const
{
  const UpstreamConfig& upstream = configuration_->upstreams[aUpstream.idx];
  DecisionRecord record;
  record.kind = aKind;
  record.service = configuration_->services[upstream.service.idx].id;
  record.subject = upstream.id;
  record.rule = aRule;
  return record;
}

std::string HealthControl::RecordVerdict(DecisionKind aKind,
                                         const detection::Verdict& aVerdict,
                                         std::string_view aRule)
{
  DecisionRecord record = CreateRecord(aKind, aVerdict.upstream, aRule);
  record.threshold = aVerdict.evidence.threshold;
  if (aVerdict.avoid) {
    detection::VerdictEvidence evidence = aVerdict.evidence;
    if (!evidence.pooled) {
      evidence.domains.front().domain = localDomain_;
    }
    record.evidence = detection::ToEvidenceValues(evidence);
  }
  if (aVerdict.guarded) {
    record.opposing.emplace_back("guard");
  }
  if (aVerdict.scope == detection::VerdictScope::Path && IsValid(aVerdict.domain)) {
    record.context.push_back("only_domain=" + configuration_->failureDomains[aVerdict.domain.idx]);
  }
  return init_.addRecord(std::move(record));
}

void HealthControl::SendEvidenceReports(TimePoint aNow)
{
  for (const detection::EvidenceReport& report : localDetector_.TakeReports(aNow)) {
    const UpstreamConfig& upstream = configuration_->upstreams[report.upstream.idx];
    const std::string& service = configuration_->services[upstream.service.idx].id;
    init_.exchange->Add({ UpstreamKey(service, upstream.id),
                          report.counts.good,
                          report.counts.failed,
                          report.counts.slow,
                          static_cast<uint32_t>(report.interval.count()) });
  }
}

void HealthControl::ResendLocalEvidence(TimePoint aNow)
{
  if (aNow - lastLocalEvidenceResend_ < kLocalEvidenceResendInterval) {
    return;
  }
  lastLocalEvidenceResend_ = aNow;
  for (const auto& [index, counts] : localVerdictEvidence_) {
    init_.exchange->Add(counts);
  }
}

void HealthControl::UpdatePooledInputs(TimePoint aNow,
                                       const std::map<std::string, uint32_t>& aProxiesPerDomain)
{
  if (aNow - lastPooledInputUpdate_ < kPooledInputInterval) {
    return;
  }
  lastPooledInputUpdate_ = aNow;
  std::vector<uint32_t> observers;
  for (const std::string& domain : configuration_->failureDomains) {
    const auto found = aProxiesPerDomain.find(domain);
    observers.push_back(found == aProxiesPerDomain.end() ? 0 : found->second);
  }
  pooledDetector_.SetObservers(observers);
  for (size_t i = 0; i < configuration_->services.size(); ++i) {
    const ServiceHandle service{ static_cast<uint16_t>(i) };
    pooledDetector_.SetBaseline(service, localDetector_.Baseline(service));
  }
}

void HealthControl::Tick(TimePoint aNow, const std::map<std::string, uint32_t>& aProxiesPerDomain)
{
  lastTick_ = aNow;
  if (!configuration_) {
    return;
  }
  SendEvidenceReports(aNow);
  ResendLocalEvidence(aNow);
  UpdatePooledInputs(aNow, aProxiesPerDomain);
  for (const detection::Verdict& verdict : localDetector_.TakeVerdicts()) {
    ApplyLocalVerdict(verdict);
  }
  for (const detection::Verdict& verdict : pooledDetector_.Evaluate(aNow)) {
    ApplyPooledVerdict(verdict);
  }
  GrantTrials(aNow);
  ResendVerdicts(aNow);
  ExpirePeerVerdicts(aNow);
}

void HealthControl::ApplyLocalVerdict(const detection::Verdict& aVerdict)
{
  const DecisionKind kind = aVerdict.guarded ? DecisionKind::Guard
                            : aVerdict.avoid ? DecisionKind::Avoidance
                                             : DecisionKind::Clearance;
  RecordVerdict(kind, aVerdict, "local_cusum");
  if (kind != DecisionKind::Avoidance) {
    localVerdictEvidence_.erase(aVerdict.upstream.idx);
    return;
  }
  const UpstreamConfig& upstream = configuration_->upstreams[aVerdict.upstream.idx];
  const std::string& service = configuration_->services[upstream.service.idx].id;
  const detection::EvidenceCounts& total = aVerdict.evidence.domains.front().total;
  localVerdictEvidence_[aVerdict.upstream.idx] = {
    UpstreamKey(service, upstream.id),
    total.good,
    total.failed,
    total.slow,
    static_cast<uint32_t>(kLocalEvidenceResendInterval / Milliseconds(1))
  };
}

void HealthControl::ApplyPooledVerdict(const detection::Verdict& aVerdict)
{
  const bool isPathVerdict = aVerdict.scope == detection::VerdictScope::Path;
  const std::string_view rule = isPathVerdict ? "path_cusum" : "pooled_cusum";
  Upstream& upstream = upstreams_[aVerdict.upstream.idx];
  const UpstreamConfig& config = configuration_->upstreams[aVerdict.upstream.idx];
  const std::string& service = configuration_->services[config.service.idx].id;
  if (aVerdict.guarded) {
    RecordVerdict(DecisionKind::Guard, aVerdict, rule);
    return;
  }
  if (!aVerdict.avoid) {
    RecordVerdict(DecisionKind::Clearance, aVerdict, rule);
    PublishVerdict(aVerdict, VerdictAction::Clear);
    if (init_.permits->Holds(service, config.id, lastTick_)) {
      init_.permits->Release(service, config.id);
    }
    upstream.verdictRecordId.clear();
    return;
  }
  if (aVerdict.confirmed) {
    init_.permits->Acquire(service, config.id, upstream.verdictRecordId);
    return;
  }
  upstream.verdictRecordId = RecordVerdict(DecisionKind::Avoidance, aVerdict, rule);
  PublishVerdict(aVerdict, VerdictAction::Avoid);
}

void HealthControl::PublishVerdict(const detection::Verdict& aVerdict, VerdictAction aAction)
{
  const UpstreamConfig& config = configuration_->upstreams[aVerdict.upstream.idx];
  Verdict verdict;
  verdict.service = configuration_->services[config.service.idx].id;
  verdict.upstream = config.id;
  verdict.action = aAction;
  if (aVerdict.scope == detection::VerdictScope::Path && IsValid(aVerdict.domain)) {
    verdict.scope = VerdictScope::Path;
    verdict.failureDomain = configuration_->failureDomains[aVerdict.domain.idx];
  }
  verdict.recordId = upstreams_[aVerdict.upstream.idx].verdictRecordId;
  verdict.evidence = { { "score", pooledDetector_.Score(aVerdict.upstream) } };
  ApplyPublishedVerdict(verdict, init_.settings->host, lastTick_);
  init_.exchange->Publish(verdict);
  if (aAction == VerdictAction::Avoid) {
    activeVerdicts_[aVerdict.upstream.idx] = std::move(verdict);
  } else {
    activeVerdicts_.erase(aVerdict.upstream.idx);
  }
}

void HealthControl::ResendVerdicts(TimePoint aNow)
{
  if (aNow - lastVerdictResend_ < kVerdictResendInterval) {
    return;
  }
  lastVerdictResend_ = aNow;
  for (const auto& [index, verdict] : activeVerdicts_) {
    ApplyPublishedVerdict(verdict, init_.settings->host, aNow);
    init_.exchange->Publish(verdict);
  }
}

void HealthControl::GrantTrials(TimePoint aNow)
{
  for (size_t i = 0; i < upstreams_.size(); ++i) {
    const UpstreamHandle upstream{ static_cast<uint16_t>(i) };
    const bool isPathVerdict = pooledDetector_.Scope(upstream) == detection::VerdictScope::Path;
    if (isPathVerdict && !pooledDetector_.IsPathAvoided(upstream, localDomain_)) {
      // This proxy cannot send trial requests over the path of another failure domain. It simulates
      // successful trials, so the verdict ends after its backoff. If the path is still bad, a new
      // verdict with a longer backoff follows.
      while (pooledDetector_.StartTrial(upstream, aNow)) {
        pooledDetector_.ObserveTrial(upstream, detection::OutcomeClass::Good, aNow);
      }
      continue;
    }
    const bool isPooledTrialDue = pooledDetector_.StartTrial(upstream, aNow);
    if (localDetector_.StartTrial(upstream, aNow) || isPooledTrialDue) {
      load_->GrantTrials(upstream, 1);
    }
  }
}

} // namespace bg

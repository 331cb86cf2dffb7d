#include "health_control.h"

#include <algorithm>

namespace bg {

namespace {

/// Verdicts are repeated, so that a lost message or a restarted peer does not matter for long.
constexpr Duration kVerdictRepeat = std::chrono::seconds(3);
/// A verdict of a peer that is not repeated for this time no longer counts.
constexpr Duration kVerdictLifetime = std::chrono::seconds(10);
/// A proxy that avoids an upstream sends it no requests that could give more evidence. Its
/// verdict's evidence is reported again while the verdict stands, so that proxies of several
/// failure domains can agree although each of them stopped early.
constexpr Duration kLocalRepeat = std::chrono::seconds(1);
constexpr Duration kBaselineInterval = Milliseconds(500);

detection::OutcomeClass ToOutcome(OutcomeKind aKind)
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

FailureDomainHandle FindDomain(const Configuration& aConfiguration, std::string_view aName)
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
  std::unordered_map<uint64_t, UpstreamHandle> byKey;
  std::map<uint16_t, Verdict> published;
  std::map<uint16_t, EvidenceCounts> localEvidence;
  for (size_t i = 0; i < upstreams.size(); ++i) {
    const UpstreamConfig& config = aConfiguration->upstreams[i];
    const UpstreamHandle handle{ static_cast<uint16_t>(i) };
    const uint64_t key = UpstreamKey(aConfiguration->services[config.service.idx].id, config.id);
    byKey[key] = handle;
    if (const auto previous = byKey_.find(key); previous != byKey_.end()) {
      upstreams[i] = std::move(upstreams_[previous->second.idx]);
      if (auto node = published_.extract(previous->second.idx)) {
        published[handle.idx] = std::move(node.mapped());
      }
      if (auto node = localEvidence_.extract(previous->second.idx)) {
        localEvidence[handle.idx] = node.mapped();
      }
    }
  }
  upstreams_ = std::move(upstreams);
  byKey_ = std::move(byKey);
  published_ = std::move(published);
  localEvidence_ = std::move(localEvidence);
  configuration_ = std::move(aConfiguration);
  load_ = std::move(aLoad);
  localDomain_ = FindDomain(*configuration_, init_.settings->failureDomain);
  local_.Configure(*configuration_);
  pooled_.Configure(*configuration_);
}

UpstreamHandle HealthControl::FindByKey(uint64_t aKey) const
{
  const auto found = byKey_.find(aKey);
  return found == byKey_.end() ? UpstreamHandle{} : found->second;
}

UpstreamHandle HealthControl::Find(std::string_view aService, std::string_view aUpstream) const
{
  return FindByKey(UpstreamKey(aService, aUpstream));
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
      upstream = Find(old.services[config.service.idx].id, config.id);
    }
    if (!IsValid(upstream)) {
      continue;
    }
    const detection::OutcomeClass outcomeClass = ToOutcome(outcome.kind);
    local_.Observe(upstream, outcomeClass, outcome.latency, outcome.observedAt);
    if (outcome.isTrial) {
      pooled_.ObserveTrial(upstream, outcomeClass, outcome.observedAt);
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
  const FailureDomainHandle domain = FindDomain(*configuration_, aReport.failureDomain);
  for (const EvidenceCounts& counts : aReport.counts) {
    const UpstreamHandle upstream = FindByKey(counts.upstream);
    if (IsValid(upstream) && IsValid(domain)) {
      Log(LogLevel::Debug,
          "evidence_received",
          { { "peer", aHost },
            { "upstream", configuration_->upstreams[upstream.idx].id },
            { "good", counts.good },
            { "failed", counts.failed },
            { "slow", counts.slow },
            { "interval_ms", counts.intervalMs },
            { "score", pooled_.Score(upstream) } });
      pooled_.Add(
        aHost,
        domain,
        { upstream, { counts.good, counts.failed, counts.slow }, Milliseconds(counts.intervalMs) },
        aNow);
    }
  }
}

void HealthControl::OnPeerVerdict(std::string_view aHost, const Verdict& aVerdict, TimePoint aNow)
{
  ApplyAvoidance(aVerdict, aHost, aNow);
}

void HealthControl::ApplyAvoidance(const Verdict& aVerdict, std::string_view aHost, TimePoint aNow)
{
  if (!configuration_) {
    return;
  }
  const UpstreamHandle upstream = Find(aVerdict.service, aVerdict.upstream);
  const bool isOtherPath =
    aVerdict.scope == VerdictScope::Path && aVerdict.failureDomain != init_.settings->failureDomain;
  if (!IsValid(upstream) || isOtherPath) {
    return;
  }
  auto& avoidedBy = upstreams_[upstream.idx].avoidedBy;
  if (aVerdict.action == VerdictAction::Avoid) {
    avoidedBy.insert_or_assign(std::string(aHost), aNow);
  } else if (const auto found = avoidedBy.find(aHost); found != avoidedBy.end()) {
    avoidedBy.erase(found);
  }
  pooled_.SetRemoteVerdict(upstream, !avoidedBy.empty());
}

void HealthControl::ExpirePeerVerdicts(TimePoint aNow)
{
  for (size_t i = 0; i < upstreams_.size(); ++i) {
    auto& avoidedBy = upstreams_[i].avoidedBy;
    const size_t removed = std::erase_if(
      avoidedBy, [&](const auto& aEntry) { return aNow - aEntry.second > kVerdictLifetime; });
    if (removed > 0) {
      pooled_.SetRemoteVerdict(UpstreamHandle{ static_cast<uint16_t>(i) }, !avoidedBy.empty());
    }
  }
}

void HealthControl::OnHosts(const std::vector<HostEntry>& aHosts, TimePoint aNow)
{
  for (Upstream& upstream : upstreams_) {
    upstream.listedLive = false;
  }
  for (const HostEntry& entry : aHosts) {
    if (entry.role != HostRole::Upstream) {
      continue;
    }
    const UpstreamHandle handle = Find(entry.service, entry.host);
    if (!IsValid(handle)) {
      continue;
    }
    upstreams_[handle.idx].listedLive = entry.state == HostState::Live;
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
  const UpstreamHandle handle = Find(aService, aUpstream);
  if (!IsValid(handle) || aBootId.empty()) {
    return;
  }
  Upstream& upstream = upstreams_[handle.idx];
  if (upstream.bootId == aBootId) {
    return;
  }
  const bool isRestart = !upstream.bootId.empty();
  upstream.bootId = aBootId;
  if (isRestart) {
    init_.leaving->ObserveBoot(aService, aUpstream, aBootId);
    upstream.slowStartFrom = aNow;
    pooled_.Forget(handle);
  }
}

void HealthControl::OnLeavingChange(const LeavingMark& aMark, bool aLeaving)
{
  const UpstreamHandle handle = Find(aMark.service, aMark.upstream);
  if (!IsValid(handle)) {
    return;
  }
  DecisionRecord record =
    MakeRecord(DecisionKind::Drain, handle, aLeaving ? "leaving_signal" : "leaving_ended");
  record.context.push_back("source=" + aMark.source);
  record.context.push_back("boot_id=" + aMark.bootId);
  init_.record(std::move(record));
}

void HealthControl::OnPermitEvent(PermitEvent aEvent,
                                  const std::string& aService,
                                  const std::string& aUpstream)
{
  const UpstreamHandle handle = Find(aService, aUpstream);
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
  DecisionRecord record = MakeRecord(kind, handle, std::string("permit_") += ToString(aEvent));
  const ServiceHealth health = Health(aService);
  record.threshold = health.floor;
  record.evidence = { { "healthy", static_cast<double>(health.healthy.size()) },
                      { "floor", static_cast<double>(health.floor) },
                      { "ejected",
                        static_cast<double>(init_.permits->Ejected(aService, now_).size()) },
                      { "score", pooled_.Score(handle) } };
  if (!upstreams_[handle.idx].recordId.empty()) {
    record.context.push_back("verdict=" + upstreams_[handle.idx].recordId);
  }
  if (aEvent == PermitEvent::FloorReached || aEvent == PermitEvent::ReleasedByFloor) {
    record.opposing.emplace_back("floor");
  }
  init_.record(std::move(record));
}

DecisionRecord HealthControl::MakeRecord(DecisionKind aKind,
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
  DecisionRecord record = MakeRecord(aKind, aVerdict.upstream, aRule);
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
  return init_.record(std::move(record));
}

void HealthControl::SendReports(TimePoint aNow)
{
  for (const detection::EvidenceReport& report : local_.TakeReports(aNow)) {
    const UpstreamConfig& upstream = configuration_->upstreams[report.upstream.idx];
    const std::string& service = configuration_->services[upstream.service.idx].id;
    init_.exchange->Add({ UpstreamKey(service, upstream.id),
                          report.counts.good,
                          report.counts.failed,
                          report.counts.slow,
                          static_cast<uint32_t>(report.interval.count()) });
  }
}

void HealthControl::RepeatLocalEvidence(TimePoint aNow)
{
  if (aNow - lastLocalRepeat_ < kLocalRepeat) {
    return;
  }
  lastLocalRepeat_ = aNow;
  for (const auto& [index, counts] : localEvidence_) {
    init_.exchange->Add(counts);
  }
}

void HealthControl::UpdatePooled(TimePoint aNow,
                                 const std::map<std::string, uint32_t>& aProxiesPerDomain)
{
  if (aNow - lastBaseline_ < kBaselineInterval) {
    return;
  }
  lastBaseline_ = aNow;
  std::vector<uint32_t> observers;
  for (const std::string& domain : configuration_->failureDomains) {
    const auto found = aProxiesPerDomain.find(domain);
    observers.push_back(found == aProxiesPerDomain.end() ? 0 : found->second);
  }
  pooled_.SetObservers(observers);
  for (size_t i = 0; i < configuration_->services.size(); ++i) {
    const ServiceHandle service{ static_cast<uint16_t>(i) };
    pooled_.SetBaseline(service, local_.Baseline(service));
  }
}

void HealthControl::Tick(TimePoint aNow, const std::map<std::string, uint32_t>& aProxiesPerDomain)
{
  now_ = aNow;
  if (!configuration_) {
    return;
  }
  SendReports(aNow);
  RepeatLocalEvidence(aNow);
  UpdatePooled(aNow, aProxiesPerDomain);
  for (const detection::Verdict& verdict : local_.TakeVerdicts()) {
    ActOnLocal(verdict);
  }
  for (const detection::Verdict& verdict : pooled_.Evaluate(aNow)) {
    ActOnPooled(verdict);
  }
  GrantTrials(aNow);
  RepeatVerdicts(aNow);
  ExpirePeerVerdicts(aNow);
}

void HealthControl::ActOnLocal(const detection::Verdict& aVerdict)
{
  const DecisionKind kind = aVerdict.guarded ? DecisionKind::Guard
                            : aVerdict.avoid ? DecisionKind::Avoidance
                                             : DecisionKind::Clearance;
  RecordVerdict(kind, aVerdict, "local_cusum");
  if (kind != DecisionKind::Avoidance) {
    localEvidence_.erase(aVerdict.upstream.idx);
    return;
  }
  const UpstreamConfig& upstream = configuration_->upstreams[aVerdict.upstream.idx];
  const std::string& service = configuration_->services[upstream.service.idx].id;
  const detection::EvidenceCounts& total = aVerdict.evidence.domains.front().total;
  localEvidence_[aVerdict.upstream.idx] = { UpstreamKey(service, upstream.id),
                                            total.good,
                                            total.failed,
                                            total.slow,
                                            static_cast<uint32_t>(kLocalRepeat / Milliseconds(1)) };
}

void HealthControl::ActOnPooled(const detection::Verdict& aVerdict)
{
  const bool isPath = aVerdict.scope == detection::VerdictScope::Path;
  const std::string_view rule = isPath ? "path_cusum" : "pooled_cusum";
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
    if (init_.permits->Holds(service, config.id, now_)) {
      init_.permits->Release(service, config.id);
    }
    upstream.recordId.clear();
    return;
  }
  if (aVerdict.confirmed) {
    init_.permits->Acquire(service, config.id, upstream.recordId);
    return;
  }
  upstream.recordId = RecordVerdict(DecisionKind::Avoidance, aVerdict, rule);
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
  verdict.recordId = upstreams_[aVerdict.upstream.idx].recordId;
  verdict.evidence = { { "score", pooled_.Score(aVerdict.upstream) } };
  ApplyAvoidance(verdict, init_.settings->host, now_);
  init_.exchange->Publish(verdict);
  if (aAction == VerdictAction::Avoid) {
    published_[aVerdict.upstream.idx] = std::move(verdict);
  } else {
    published_.erase(aVerdict.upstream.idx);
  }
}

void HealthControl::RepeatVerdicts(TimePoint aNow)
{
  if (aNow - lastRepeat_ < kVerdictRepeat) {
    return;
  }
  lastRepeat_ = aNow;
  for (const auto& [index, verdict] : published_) {
    ApplyAvoidance(verdict, init_.settings->host, aNow);
    init_.exchange->Publish(verdict);
  }
}

void HealthControl::GrantTrials(TimePoint aNow)
{
  for (size_t i = 0; i < upstreams_.size(); ++i) {
    const UpstreamHandle upstream{ static_cast<uint16_t>(i) };
    const bool isPath = pooled_.Scope(upstream) == detection::VerdictScope::Path;
    if (isPath && !pooled_.PathAvoided(upstream, localDomain_)) {
      // This proxy cannot try the path of another domain. The verdict ends with its back-off and
      // returns with a longer one if the path is still bad.
      while (pooled_.StartTrial(upstream, aNow)) {
        pooled_.ObserveTrial(upstream, detection::OutcomeClass::Good, aNow);
      }
      continue;
    }
    const bool isDue = pooled_.StartTrial(upstream, aNow);
    if (local_.StartTrial(upstream, aNow) || isDue) {
      load_->GrantTrials(upstream, 1);
    }
  }
}

} // namespace bg

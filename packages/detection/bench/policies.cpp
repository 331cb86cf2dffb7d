#include "policies.h"

#include <limits>

namespace bg::detection::measure {

namespace {

Configuration MakeConfiguration(const Fleet& aFleet, double aThreshold)
{
  Configuration configuration;
  for (uint16_t d = 0; d < aFleet.domains; ++d) {
    configuration.failureDomains.push_back("domain-" + std::to_string(d));
  }
  ServiceConfig service;
  service.id = "order-desk";
  service.detection.threshold = aThreshold;
  for (uint16_t u = 0; u < aFleet.upstreams; ++u) {
    UpstreamConfig upstream;
    upstream.id = "upstream-" + std::to_string(u);
    upstream.service = ServiceHandle{ 0 };
    upstream.failureDomain = FailureDomainHandle{ static_cast<uint16_t>(u % aFleet.domains) };
    service.upstreams.push_back(UpstreamHandle{ u });
    configuration.upstreams.push_back(upstream);
  }
  configuration.services.push_back(service);
  return configuration;
}

bool IsBad(OutcomeClass aOutcome)
{
  return aOutcome == OutcomeClass::Failed || aOutcome == OutcomeClass::Slow;
}

/// Policies that count the bad outcomes at each proxy. An exclusion counts as an ejection, since
/// the proxy stops using the upstream.
class CounterPolicy : public Policy
{
public:
  using Policy::Policy;

  void Observe(uint16_t aProxy,
               uint16_t aUpstream,
               OutcomeClass aOutcome,
               Duration aLatency,
               TimePoint aNow) override
  {
    const UpstreamHandle handle{ aUpstream };
    localDetectors_[aProxy].Observe(handle, aOutcome, aLatency, aNow);
    Counters& counters = counters_[IndexOf(aProxy, aUpstream)];
    if (counters.readmission.ObserveTrial({}, aOutcome, aNow)) {
      counters = { .readmission = counters.readmission };
      SetExcluded(aProxy, aUpstream, false, aNow);
      return;
    }
    if (aOutcome == OutcomeClass::Neutral || counters.readmission.IsExcluded()) {
      return;
    }
    const bool isOverLimit = spec_.kind == PolicyKind::Consecutive
                               ? IsRunOverLimit(counters, aOutcome)
                               : IsWindowOverLimit(counters, aOutcome, aNow);
    if (isOverLimit) {
      counters.readmission.OnVerdict({}, aNow);
      hooks_.onVerdict({ .upstream = aUpstream, .proxy = aProxy, .ejection = true }, aNow);
      SetExcluded(aProxy, aUpstream, true, aNow);
    }
  }

  bool StartTrial(uint16_t aProxy, uint16_t aUpstream, TimePoint aNow) override
  {
    return counters_[IndexOf(aProxy, aUpstream)].readmission.StartTrial({}, aNow);
  }

private:
  static constexpr size_t kWindowSeconds = 10;
  static constexpr uint32_t kMinWindowOutcomes = 5;

  struct Bucket
  {
    int64_t second = -1;
    uint32_t total = 0;
    uint32_t bad = 0;
  };

  struct Counters
  {
    uint32_t consecutiveBad = 0;
    std::array<Bucket, kWindowSeconds> buckets{};
    ReadmissionState readmission;
  };

  bool IsRunOverLimit(Counters& aCounters, OutcomeClass aOutcome)
  {
    aCounters.consecutiveBad = IsBad(aOutcome) ? aCounters.consecutiveBad + 1 : 0;
    return aCounters.consecutiveBad >= spec_.limit;
  }

  bool IsWindowOverLimit(Counters& aCounters, OutcomeClass aOutcome, TimePoint aNow)
  {
    const int64_t second =
      std::chrono::duration_cast<std::chrono::seconds>(aNow.time_since_epoch()).count();
    Bucket& bucket = aCounters.buckets[static_cast<size_t>(second) % kWindowSeconds];
    if (bucket.second != second) {
      bucket = { .second = second };
    }
    ++bucket.total;
    bucket.bad += IsBad(aOutcome) ? 1 : 0;
    uint32_t total = 0;
    uint32_t bad = 0;
    for (const Bucket& each : aCounters.buckets) {
      if (each.second > second - static_cast<int64_t>(kWindowSeconds)) {
        total += each.total;
        bad += each.bad;
      }
    }
    return total >= kMinWindowOutcomes && bad >= spec_.limit * total;
  }

  std::vector<Counters> counters_{ size_t{ fleet_.proxies } * fleet_.upstreams };
};

/// LocalDetector on each proxy. Its verdicts count as ejections under PolicyKind::LocalCusum and as
/// avoidances when PooledPolicy uses them as well.
class LocalPolicy : public Policy
{
public:
  using Policy::Policy;

  void Observe(uint16_t aProxy,
               uint16_t aUpstream,
               OutcomeClass aOutcome,
               Duration aLatency,
               TimePoint aNow) override
  {
    localDetectors_[aProxy].Observe(UpstreamHandle{ aUpstream }, aOutcome, aLatency, aNow);
    for (const Verdict& verdict : localDetectors_[aProxy].TakeVerdicts()) {
      if (verdict.guarded) {
        continue;
      }
      if (verdict.avoid) {
        hooks_.onVerdict({ .upstream = verdict.upstream.idx,
                           .proxy = aProxy,
                           .ejection = spec_.kind == PolicyKind::LocalCusum },
                         aNow);
      }
      UpdateExclusion(aProxy, verdict.upstream.idx, aNow);
    }
  }

  bool StartTrial(uint16_t aProxy, uint16_t aUpstream, TimePoint aNow) override
  {
    return localDetectors_[aProxy].StartTrial(UpstreamHandle{ aUpstream }, aNow);
  }

protected:
  virtual void UpdateExclusion(uint16_t aProxy, uint16_t aUpstream, TimePoint aNow)
  {
    SetExcluded(
      aProxy, aUpstream, localDetectors_[aProxy].IsAvoided(UpstreamHandle{ aUpstream }), aNow);
  }
};

/// The shipped policy: local avoidance, pooled avoidance and confirmed ejection. A single pooled
/// detector replaces the aggregators of all upstreams.
class PooledPolicy : public LocalPolicy
{
public:
  PooledPolicy(const Fleet& aFleet, const PolicySpec& aSpec, PolicyHooks aHooks)
    : LocalPolicy(aFleet, aSpec, std::move(aHooks))
    , pooledAvoided_(aFleet.proxies * size_t{ aFleet.upstreams }, 0)
  {
    pooledDetector_.Configure(MakeConfiguration(aFleet, aSpec.limit));
    std::vector<uint32_t> observers(aFleet.domains, 0);
    for (uint16_t p = 0; p < aFleet.proxies; ++p) {
      ++observers[aFleet.DomainOf(p)];
      proxyNames_.push_back("proxy-" + std::to_string(p));
    }
    pooledDetector_.SetObservers(observers);
  }

  void Tick(TimePoint aNow) override
  {
    // Each proxy reports every 200 ms, evenly spread over the 5 ms ticks.
    for (uint16_t p = tick_ % kReportTicks; p < fleet_.proxies; p += kReportTicks) {
      for (EvidenceReport& report : localDetectors_[p].TakeReports(aNow)) {
        reportsInTransit_.push_back({ aNow + kReportDelay, p, report });
      }
    }
    for (; !reportsInTransit_.empty() && reportsInTransit_.front().arrivesAt <= aNow;
         reportsInTransit_.pop_front()) {
      const ReportMessage& message = reportsInTransit_.front();
      const FailureDomainHandle domain{ fleet_.DomainOf(message.proxy) };
      pooledDetector_.Add(proxyNames_[message.proxy], domain, message.report, aNow);
    }
    for (; !verdictsInTransit_.empty() && verdictsInTransit_.front().first <= aNow;
         verdictsInTransit_.pop_front()) {
      ApplyVerdict(verdictsInTransit_.front().second, aNow);
    }
    if (tick_++ % kEvaluateTicks == 0) {
      pooledDetector_.SetBaseline(ServiceHandle{ 0 },
                                  localDetectors_[0].Baseline(ServiceHandle{ 0 }));
      for (const Verdict& verdict : pooledDetector_.Evaluate(aNow)) {
        if (!verdict.guarded) {
          verdictsInTransit_.emplace_back(aNow + kVerdictDelay, verdict);
        }
      }
    }
  }

  bool StartTrial(uint16_t aProxy, uint16_t aUpstream, TimePoint aNow) override
  {
    const UpstreamHandle handle{ aUpstream };
    const FailureDomainHandle domain{ fleet_.DomainOf(aProxy) };
    const VerdictScope scope = pooledDetector_.Scope(handle);
    const bool inScope =
      scope == VerdictScope::Upstream ||
      (scope == VerdictScope::Path && pooledDetector_.IsPathAvoided(handle, domain));
    const bool local = LocalPolicy::StartTrial(aProxy, aUpstream, aNow);
    return (inScope && pooledDetector_.StartTrial(handle, aNow)) || (local && !inScope);
  }

  void ObserveTrial(uint16_t aUpstream, OutcomeClass aOutcome, TimePoint aNow) override
  {
    pooledDetector_.ObserveTrial(UpstreamHandle{ aUpstream }, aOutcome, aNow);
  }

private:
  static constexpr uint16_t kReportTicks = 40;   // 200 ms
  static constexpr uint16_t kEvaluateTicks = 10; // 50 ms
  static constexpr Milliseconds kReportDelay{ 1 };
  static constexpr Milliseconds kVerdictDelay{ 5 };

  struct ReportMessage
  {
    TimePoint arrivesAt;
    uint16_t proxy;
    EvidenceReport report;
  };

  void ApplyVerdict(const Verdict& aVerdict, TimePoint aNow)
  {
    const bool isPath = aVerdict.scope == VerdictScope::Path;
    if (aVerdict.avoid) {
      hooks_.onVerdict({ .upstream = aVerdict.upstream.idx,
                         .domain = isPath ? aVerdict.domain.idx : uint16_t{ UINT16_MAX },
                         .ejection = aVerdict.confirmed },
                       aNow);
    }
    for (uint16_t p = 0; p < fleet_.proxies; ++p) {
      if (!aVerdict.avoid || !isPath || fleet_.DomainOf(p) == aVerdict.domain.idx) {
        pooledAvoided_[IndexOf(p, aVerdict.upstream.idx)] = aVerdict.avoid;
        UpdateExclusion(p, aVerdict.upstream.idx, aNow);
      }
    }
  }

  void UpdateExclusion(uint16_t aProxy, uint16_t aUpstream, TimePoint aNow) override
  {
    const bool local = localDetectors_[aProxy].IsAvoided(UpstreamHandle{ aUpstream });
    SetExcluded(aProxy, aUpstream, local || pooledAvoided_[IndexOf(aProxy, aUpstream)], aNow);
  }

  PooledDetector pooledDetector_;
  std::vector<uint8_t> pooledAvoided_;
  std::vector<std::string> proxyNames_;
  std::deque<ReportMessage> reportsInTransit_;
  std::deque<std::pair<TimePoint, Verdict>> verdictsInTransit_;
  uint64_t tick_ = 0;
};

} // namespace

Policy::Policy(const Fleet& aFleet, const PolicySpec& aSpec, PolicyHooks aHooks)
  : fleet_(aFleet)
  , spec_(aSpec)
  , hooks_(std::move(aHooks))
  , localDetectors_(aFleet.proxies)
  , excluded_(size_t{ aFleet.proxies } * aFleet.upstreams, 0)
  , excludedCount_(aFleet.proxies, 0)
{
  const bool isCusum =
    aSpec.kind == PolicyKind::LocalCusum || aSpec.kind == PolicyKind::PooledCusum;
  const double threshold = isCusum ? aSpec.limit : std::numeric_limits<double>::infinity();
  const Configuration configuration = MakeConfiguration(aFleet, threshold);
  for (LocalDetector& local : localDetectors_) {
    local.Configure(configuration);
  }
}

void Policy::SetExcluded(uint16_t aProxy, uint16_t aUpstream, bool aExcluded, TimePoint aNow)
{
  uint8_t& excluded = excluded_[IndexOf(aProxy, aUpstream)];
  if (excluded == static_cast<uint8_t>(aExcluded)) {
    return;
  }
  excluded = aExcluded ? 1 : 0;
  excludedCount_[aProxy] = static_cast<uint16_t>(excludedCount_[aProxy] + (aExcluded ? 1 : -1));
  hooks_.onExclusion({ aProxy, aUpstream, aExcluded }, aNow);
}

std::unique_ptr<Policy> MakePolicy(const Fleet& aFleet, const PolicySpec& aSpec, PolicyHooks aHooks)
{
  switch (aSpec.kind) {
    case PolicyKind::Consecutive:
    case PolicyKind::RateWindow:
      return std::make_unique<CounterPolicy>(aFleet, aSpec, std::move(aHooks));
    case PolicyKind::LocalCusum:
      return std::make_unique<LocalPolicy>(aFleet, aSpec, std::move(aHooks));
    case PolicyKind::PooledCusum:
    case PolicyKind::Count:
      break;
  }
  return std::make_unique<PooledPolicy>(aFleet, aSpec, std::move(aHooks));
}

} // namespace bg::detection::measure

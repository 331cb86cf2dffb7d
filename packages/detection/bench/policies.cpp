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

/// Baselines of one proxy each; exclusions are ejections, since the proxy stops using the upstream.
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
    locals_[aProxy].Observe(handle, aOutcome, aLatency, aNow);
    Cell& cell = cells_[At(aProxy, aUpstream)];
    if (cell.readmission.ObserveTrial({}, aOutcome, aNow)) {
      cell = { .readmission = cell.readmission };
      SetExcluded(aProxy, aUpstream, false, aNow);
      return;
    }
    if (aOutcome == OutcomeClass::Neutral || cell.readmission.Excluded()) {
      return;
    }
    const bool over = spec_.kind == PolicyKind::Consecutive ? CountRun(cell, aOutcome)
                                                            : CountWindow(cell, aOutcome, aNow);
    if (over) {
      cell.readmission.OnVerdict({}, aNow);
      hooks_.onVerdict({ .upstream = aUpstream, .proxy = aProxy, .ejection = true }, aNow);
      SetExcluded(aProxy, aUpstream, true, aNow);
    }
  }

  bool StartTrial(uint16_t aProxy, uint16_t aUpstream, TimePoint aNow) override
  {
    return cells_[At(aProxy, aUpstream)].readmission.StartTrial({}, aNow);
  }

private:
  static constexpr size_t kWindowSeconds = 10;
  static constexpr uint32_t kWindowMinimum = 5;

  struct Bucket
  {
    int64_t second = -1;
    uint32_t total = 0;
    uint32_t bad = 0;
  };

  struct Cell
  {
    uint32_t run = 0;
    std::array<Bucket, kWindowSeconds> buckets{};
    ReadmissionState readmission;
  };

  bool CountRun(Cell& aCell, OutcomeClass aOutcome)
  {
    aCell.run = IsBad(aOutcome) ? aCell.run + 1 : 0;
    return aCell.run >= spec_.limit;
  }

  bool CountWindow(Cell& aCell, OutcomeClass aOutcome, TimePoint aNow)
  {
    const int64_t second =
      std::chrono::duration_cast<std::chrono::seconds>(aNow.time_since_epoch()).count();
    Bucket& bucket = aCell.buckets[static_cast<size_t>(second) % kWindowSeconds];
    if (bucket.second != second) {
      bucket = { .second = second };
    }
    ++bucket.total;
    bucket.bad += IsBad(aOutcome) ? 1 : 0;
    uint32_t total = 0;
    uint32_t bad = 0;
    for (const Bucket& each : aCell.buckets) {
      if (each.second > second - static_cast<int64_t>(kWindowSeconds)) {
        total += each.total;
        bad += each.bad;
      }
    }
    return total >= kWindowMinimum && bad >= spec_.limit * total;
  }

  std::vector<Cell> cells_{ size_t{ fleet_.proxies } * fleet_.upstreams };
};

/// LocalDetector on each proxy; its verdicts count as ejections when nothing is shared.
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
    locals_[aProxy].Observe(UpstreamHandle{ aUpstream }, aOutcome, aLatency, aNow);
    for (const Verdict& verdict : locals_[aProxy].TakeVerdicts()) {
      if (verdict.guarded) {
        continue;
      }
      if (verdict.avoid) {
        hooks_.onVerdict({ .upstream = verdict.upstream.idx,
                           .proxy = aProxy,
                           .ejection = spec_.kind == PolicyKind::LocalCusum },
                         aNow);
      }
      Update(aProxy, verdict.upstream.idx, aNow);
    }
  }

  bool StartTrial(uint16_t aProxy, uint16_t aUpstream, TimePoint aNow) override
  {
    return locals_[aProxy].StartTrial(UpstreamHandle{ aUpstream }, aNow);
  }

protected:
  virtual void Update(uint16_t aProxy, uint16_t aUpstream, TimePoint aNow)
  {
    SetExcluded(aProxy, aUpstream, locals_[aProxy].IsAvoided(UpstreamHandle{ aUpstream }), aNow);
  }
};

/// The shipped policy: local avoidance, pooled avoidance and confirmed ejection. The pooled
/// detector stands for the aggregators of all upstreams.
class PooledPolicy : public LocalPolicy
{
public:
  PooledPolicy(const Fleet& aFleet, const PolicySpec& aSpec, PolicyHooks aHooks)
    : LocalPolicy(aFleet, aSpec, std::move(aHooks))
    , pooled_(aFleet.proxies * size_t{ aFleet.upstreams }, 0)
  {
    detector_.Configure(MakeConfiguration(aFleet, aSpec.limit));
    std::vector<uint32_t> observers(aFleet.domains, 0);
    for (uint16_t p = 0; p < aFleet.proxies; ++p) {
      ++observers[aFleet.DomainOf(p)];
      names_.push_back("proxy-" + std::to_string(p));
    }
    detector_.SetObservers(observers);
  }

  void Tick(TimePoint aNow) override
  {
    // Each proxy reports every 200 ms, evenly spread over the 5 ms ticks.
    for (uint16_t p = tick_ % kReportTicks; p < fleet_.proxies; p += kReportTicks) {
      for (EvidenceReport& report : locals_[p].TakeReports(aNow)) {
        inbox_.push_back({ aNow + kNetworkDelay, p, report });
      }
    }
    for (; !inbox_.empty() && inbox_.front().at <= aNow; inbox_.pop_front()) {
      const Message& message = inbox_.front();
      const FailureDomainHandle domain{ fleet_.DomainOf(message.proxy) };
      detector_.Add(names_[message.proxy], domain, message.report, aNow);
    }
    for (; !outbox_.empty() && outbox_.front().first <= aNow; outbox_.pop_front()) {
      Spread(outbox_.front().second, aNow);
    }
    if (tick_++ % kEvaluateTicks == 0) {
      detector_.SetBaseline(ServiceHandle{ 0 }, locals_[0].Baseline(ServiceHandle{ 0 }));
      for (const Verdict& verdict : detector_.Evaluate(aNow)) {
        if (!verdict.guarded) {
          outbox_.emplace_back(aNow + kSpreadDelay, verdict);
        }
      }
    }
  }

  bool StartTrial(uint16_t aProxy, uint16_t aUpstream, TimePoint aNow) override
  {
    const UpstreamHandle handle{ aUpstream };
    const FailureDomainHandle domain{ fleet_.DomainOf(aProxy) };
    const VerdictScope scope = detector_.Scope(handle);
    const bool inScope = scope == VerdictScope::Upstream ||
                         (scope == VerdictScope::Path && detector_.PathAvoided(handle, domain));
    const bool local = LocalPolicy::StartTrial(aProxy, aUpstream, aNow);
    return (inScope && detector_.StartTrial(handle, aNow)) || (local && !inScope);
  }

  void ObserveTrial(uint16_t aUpstream, OutcomeClass aOutcome, TimePoint aNow) override
  {
    detector_.ObserveTrial(UpstreamHandle{ aUpstream }, aOutcome, aNow);
  }

private:
  static constexpr uint16_t kReportTicks = 40;   // 200 ms
  static constexpr uint16_t kEvaluateTicks = 10; // 50 ms
  static constexpr Milliseconds kNetworkDelay{ 1 };
  static constexpr Milliseconds kSpreadDelay{ 5 };

  struct Message
  {
    TimePoint at;
    uint16_t proxy;
    EvidenceReport report;
  };

  void Spread(const Verdict& aVerdict, TimePoint aNow)
  {
    const bool path = aVerdict.scope == VerdictScope::Path;
    if (aVerdict.avoid) {
      hooks_.onVerdict({ .upstream = aVerdict.upstream.idx,
                         .domain = path ? aVerdict.domain.idx : uint16_t{ UINT16_MAX },
                         .ejection = aVerdict.confirmed },
                       aNow);
    }
    for (uint16_t p = 0; p < fleet_.proxies; ++p) {
      if (!aVerdict.avoid || !path || fleet_.DomainOf(p) == aVerdict.domain.idx) {
        pooled_[At(p, aVerdict.upstream.idx)] = aVerdict.avoid;
        Update(p, aVerdict.upstream.idx, aNow);
      }
    }
  }

  void Update(uint16_t aProxy, uint16_t aUpstream, TimePoint aNow) override
  {
    const bool local = locals_[aProxy].IsAvoided(UpstreamHandle{ aUpstream });
    SetExcluded(aProxy, aUpstream, local || pooled_[At(aProxy, aUpstream)], aNow);
  }

  PooledDetector detector_;
  std::vector<uint8_t> pooled_;
  std::vector<std::string> names_;
  std::deque<Message> inbox_;
  std::deque<std::pair<TimePoint, Verdict>> outbox_;
  uint64_t tick_ = 0;
};

} // namespace

Policy::Policy(const Fleet& aFleet, const PolicySpec& aSpec, PolicyHooks aHooks)
  : fleet_(aFleet)
  , spec_(aSpec)
  , hooks_(std::move(aHooks))
  , locals_(aFleet.proxies)
  , excluded_(size_t{ aFleet.proxies } * aFleet.upstreams, 0)
  , excludedCount_(aFleet.proxies, 0)
{
  const bool cusum = aSpec.kind == PolicyKind::LocalCusum || aSpec.kind == PolicyKind::PooledCusum;
  const double threshold = cusum ? aSpec.limit : std::numeric_limits<double>::infinity();
  const Configuration configuration = MakeConfiguration(aFleet, threshold);
  for (LocalDetector& local : locals_) {
    local.Configure(configuration);
  }
}

void Policy::SetExcluded(uint16_t aProxy, uint16_t aUpstream, bool aExcluded, TimePoint aNow)
{
  uint8_t& excluded = excluded_[At(aProxy, aUpstream)];
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

#pragma once

#include <deque>
#include <functional>
#include <memory>

#include "boragegauge/detection.h"

/// Detection policies with a common interface, for the comparison in docs/DECISIONS.md.
namespace bg::detection::measure {

/// Size of the simulated fleet.
struct Fleet
{
  uint16_t proxies = 40;
  uint16_t upstreams = 30;
  uint16_t domains = 4;

  uint16_t DomainOf(uint16_t aProxy) const { return aProxy % domains; }
};

enum class PolicyKind
{
  Consecutive, ///< "limit" consecutive bad outcomes at one proxy.
  RateWindow,  ///< At least the share "limit" of bad outcomes in the last 10 s at one proxy.
  LocalCusum,  ///< LocalDetector without sharing; "limit" is the threshold.
  PooledCusum, ///< The shipped policy; "limit" is the threshold.

  Count
};

struct PolicySpec
{
  PolicyKind kind = PolicyKind::PooledCusum;
  double limit = 8;
  std::string name;
};

/// One proxy has excluded an upstream from use or uses it again.
struct Exclusion
{
  uint16_t proxy = 0;
  uint16_t upstream = 0;
  bool excluded = false;
};

/// A verdict as the measurement counts it: an ejection or an avoidance.
struct VerdictEvent
{
  uint16_t upstream = 0;
  uint16_t proxy = UINT16_MAX;  ///< The proxy of a verdict that is not shared.
  uint16_t domain = UINT16_MAX; ///< The domain of a Path verdict.
  bool ejection = false;
};

struct PolicyHooks
{
  std::function<void(const Exclusion&, TimePoint)> onExclusion;
  std::function<void(const VerdictEvent&, TimePoint)> onVerdict;
};

class Policy
{
public:
  Policy(const Fleet& aFleet, const PolicySpec& aSpec, PolicyHooks aHooks);
  virtual ~Policy() = default;

  virtual void Observe(uint16_t aProxy,
                       uint16_t aUpstream,
                       OutcomeClass aOutcome,
                       Duration aLatency,
                       TimePoint aNow) = 0;
  /// Called every 5 ms.
  virtual void Tick(TimePoint) {}
  virtual bool StartTrial(uint16_t aProxy, uint16_t aUpstream, TimePoint aNow) = 0;
  virtual void ObserveTrial(uint16_t, OutcomeClass, TimePoint) {}

  bool IsExcluded(uint16_t aProxy, uint16_t aUpstream) const
  {
    return excluded_[IndexOf(aProxy, aUpstream)];
  }
  uint16_t ExcludedCount(uint16_t aProxy) const { return excludedCount_[aProxy]; }
  /// Slow limit from the baseline of the proxy. It does not depend on the policy, so that all
  /// policies see the same outcomes.
  Duration SlowLimit(uint16_t aProxy) const
  {
    return localDetectors_[aProxy].SlowLimit(ServiceHandle{ 0 });
  }

protected:
  size_t IndexOf(uint16_t aProxy, uint16_t aUpstream) const
  {
    return size_t{ aProxy } * fleet_.upstreams + aUpstream;
  }
  void SetExcluded(uint16_t aProxy, uint16_t aUpstream, bool aExcluded, TimePoint aNow);

  Fleet fleet_;
  PolicySpec spec_;
  PolicyHooks hooks_;
  std::vector<LocalDetector> localDetectors_;
  std::vector<uint8_t> excluded_;       ///< Index: IndexOf().
  std::vector<uint16_t> excludedCount_; ///< Number of excluded upstreams per proxy.
};

std::unique_ptr<Policy> MakePolicy(const Fleet& aFleet,
                                   const PolicySpec& aSpec,
                                   PolicyHooks aHooks);

} // namespace bg::detection::measure

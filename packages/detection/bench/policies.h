#pragma once

#include <deque>
#include <functional>
#include <memory>

#include "boragegauge/detection.h"

/// Detection policies behind one interface, for the comparison in docs/DECISIONS.md.
namespace bg::detection::measure {

/// Size of the fleet that the streams come from.
struct Fleet
{
  uint16_t proxies = 40;
  uint16_t upstreams = 30;
  uint16_t domains = 4;

  uint16_t DomainOf(uint16_t aProxy) const { return aProxy % domains; }
};

enum class PolicyKind
{
  Consecutive, ///< "limit" bad outcomes in a row at one proxy.
  RateWindow,  ///< Share "limit" of bad outcomes in the last 10 s at one proxy.
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

/// One change of what a proxy may use.
struct Exclusion
{
  uint16_t proxy = 0;
  uint16_t upstream = 0;
  bool excluded = false;
};

/// A verdict that the measurement counts as an ejection or as an avoidance.
struct VerdictEvent
{
  uint16_t upstream = 0;
  uint16_t proxy = UINT16_MAX;  ///< Set for verdicts of one proxy.
  uint16_t domain = UINT16_MAX; ///< Set for path verdicts.
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

  bool Excluded(uint16_t aProxy, uint16_t aUpstream) const
  {
    return excluded_[At(aProxy, aUpstream)];
  }
  uint16_t ExcludedCount(uint16_t aProxy) const { return excludedCount_[aProxy]; }
  /// The limit from the proxy's own baseline; all policies classify outcomes alike.
  Duration SlowLimit(uint16_t aProxy) const
  {
    return locals_[aProxy].SlowLimit(ServiceHandle{ 0 });
  }

protected:
  size_t At(uint16_t aProxy, uint16_t aUpstream) const
  {
    return size_t{ aProxy } * fleet_.upstreams + aUpstream;
  }
  void SetExcluded(uint16_t aProxy, uint16_t aUpstream, bool aExcluded, TimePoint aNow);

  Fleet fleet_;
  PolicySpec spec_;
  PolicyHooks hooks_;
  std::vector<LocalDetector> locals_;
  std::vector<uint8_t> excluded_;
  std::vector<uint16_t> excludedCount_;
};

std::unique_ptr<Policy> MakePolicy(const Fleet& aFleet,
                                   const PolicySpec& aSpec,
                                   PolicyHooks aHooks);

} // namespace bg::detection::measure

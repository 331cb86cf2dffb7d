#include "boragegauge/domain_balance.h"

#include <algorithm>
#include <cmath>

namespace bg::placement {

namespace {

/// Failure risk that is worth the traffic of a KiB between domains: 0.6 % for a request and
/// response of 6 KB. A constant cost that kept 2,800 requests at home and lost 48 of them by
/// that, 1.7 % each, was too high.
constexpr double kRiskPerKib = 0.001;
/// Lower bound of the bytes of a request, which has header fields and packets of its own.
constexpr double kMinKib = 1;
/// Limits of the cost of leaving a domain that has free healthy slots, in the unit of
/// SlotAllocator::Cost(). The upper one exceeds the largest difference between healthy upstreams
/// that comes from the age of their last success and the slots in use.
constexpr double kMinStayCost = 0.6;
constexpr double kMaxStayCost = 8;
/// Cost of leaving a domain at any time, and per KiB of the body.
constexpr double kCrossingCost = 0.6;
constexpr double kCrossingCostPerKib = 0.02;
constexpr double kMaxCrossingCost = 1.5;
/// Cost for requests that explore, if the other domain has no such requests of its own: they go
/// there once an upstream is this much older, in seconds since its last success.
constexpr double kExploringCost = 1.5;
/// Cost of a domain without any spare slots relative to the one with the most. It is as much as the
/// largest age of a success counts.
constexpr double kSpareCost = 3;
/// Share of the healthy slots of a domain that are left to its own requests while another domain
/// has more spare slots. The demand of a domain varies by about that within a service time.
constexpr double kReservedShare = 0.1;
/// Domains whose path fails are used last.
constexpr double kFailingPathCost = 20;
/// A domain in which requests that explore arrived within this time tests its upstreams itself.
/// Suspects are tried again after half a second at the earliest.
constexpr Duration kExplorerWindow = Milliseconds(500);
/// Number of results over which the share of failures of a path is taken.
constexpr double kPathWindow = 20;
/// Fewer results do not show that a path fails.
constexpr double kMinPathResults = 5;
/// Above this share of failures, the path fails. Failures of single upstreams stay below it,
/// because they get no further requests.
constexpr double kFailingShare = 0.5;
/// A failing path is tested this often.
constexpr Duration kPathProbeInterval = Milliseconds(500);
/// Successful tests in a row after which a path is used again.
constexpr uint32_t kPathProbes = 2;
/// Number of results over which the risk is learned. With fewer, the usual share of failures of 1 %
/// would hide the risk that a crossing is worth.
constexpr double kRiskWindow = 4000;
/// Risk that is assumed at first, that of an upstream which begins to fail every 30 s, and its
/// weight in results. After a start, nothing is known of any upstream, and requests need all
/// domains to find healthy ones.
constexpr double kInitialRisk = 1.0 / 30;
constexpr double kInitialWeight = 200;
/// Number of results after which the initial risk has lost most of its weight.
constexpr double kInitialResults = 300;
/// Weight of the assumption that there is no risk, which keeps chance failures from counting.
constexpr double kNoRiskWeight = 20;
/// The age of a success counts up to this, as in SlotAllocator::Cost().
constexpr double kMaxAgeSeconds = 3;
/// A domain that had to send no request elsewhere for this time is well again.
constexpr Duration kLeavingPeriod = std::chrono::seconds(2);

bool IsForced(CrossingReason aReason)
{
  return aReason != CrossingReason::None && aReason != CrossingReason::FailureRisk &&
         aReason != CrossingReason::Exploration;
}

} // namespace

std::string_view ToString(CrossingReason aReason)
{
  static constexpr std::string_view kNames[] = { "none",         "no_upstream",  "unhealthy",
                                                 "path_failing", "no_free_slot", "failure_risk",
                                                 "exploration" };
  return aReason < CrossingReason::Count ? kNames[static_cast<size_t>(aReason)] : "unknown";
}

size_t DomainBalance::IndexOf(std::string_view aDomain)
{
  const auto found = std::find(names_.begin(), names_.end(), aDomain);
  if (found != names_.end()) {
    return static_cast<size_t>(found - names_.begin());
  }
  names_.emplace_back(aDomain);
  lastExplorerAt_.emplace_back();
  outflows_.emplace_back();
  return names_.size() - 1;
}

void DomainBalance::RecordRequest(size_t aHome, bool aIsExploring, TimePoint aNow)
{
  if (aIsExploring) {
    lastExplorerAt_[aHome] = aNow;
  }
}

bool DomainBalance::HasOwnExplorers(size_t aDomain, TimePoint aNow) const
{
  return aNow - lastExplorerAt_[aDomain] < kExplorerWindow && !IsPathFailing(aDomain, aDomain);
}

bool DomainBalance::IsPathFailing(size_t aHome, size_t aDomain) const
{
  const auto found = paths_.find({ aHome, aDomain });
  return found != paths_.end() && found->second.isFailing;
}

bool DomainBalance::IsPathProbeDue(size_t aHome, size_t aDomain, TimePoint aNow) const
{
  const auto found = paths_.find({ aHome, aDomain });
  return found != paths_.end() && aNow - found->second.lastGrantAt > kPathProbeInterval;
}

std::span<const double> DomainBalance::Costs(size_t aHome,
                                             std::span<const DomainSlots> aSlots,
                                             size_t aBytes,
                                             bool aIsExploring,
                                             TimePoint aNow)
{
  costs_.assign(aSlots.size(), 0);
  const auto spare = [&](size_t aDomain) {
    const DomainSlots& slots = aSlots[aDomain];
    return std::max(0.0, slots.freeSlots - kReservedShare * slots.slots);
  };
  double mostSpare = 0;
  for (size_t i = 0; i < aSlots.size(); ++i) {
    mostSpare = i == aHome ? mostSpare : std::max(mostSpare, spare(i));
  }
  const double kib = std::max(kMinKib, static_cast<double>(aBytes) / 1024);
  const double stayCost =
    std::clamp(kRiskPerKib * kib / std::max(RiskPerSecond(), 1e-6), kMinStayCost, kMaxStayCost);
  const bool mayStay = aSlots[aHome].freeSlots > 0 && !IsPathFailing(aHome, aHome);
  for (size_t i = 0; i < aSlots.size(); ++i) {
    costs_[i] += IsPathFailing(aHome, i) ? kFailingPathCost : 0;
    if (i == aHome) {
      continue;
    }
    if (mayStay && aIsExploring) {
      costs_[i] += HasOwnExplorers(i, aNow) ? kMaxStayCost : kExploringCost;
    } else if (mayStay) {
      costs_[i] += stayCost;
    }
    costs_[i] += mostSpare > 0 ? kSpareCost * (1 - spare(i) / mostSpare) : 0;
  }
  return costs_;
}

std::span<const double> DomainBalance::CrossingCosts(size_t aHome,
                                                     size_t aDomains,
                                                     size_t aBodyBytes)
{
  const double cost = std::min(
    kMaxCrossingCost, kCrossingCost + kCrossingCostPerKib * static_cast<double>(aBodyBytes) / 1024);
  costs_.assign(aDomains, cost);
  costs_[aHome] = 0;
  for (size_t i = 0; i < aDomains; ++i) {
    costs_[i] += IsPathFailing(aHome, i) ? kFailingPathCost : 0;
  }
  return costs_;
}

CrossingReason DomainBalance::Reason(size_t aHome,
                                     size_t aTarget,
                                     std::span<const DomainSlots> aSlots) const
{
  const DomainSlots& home = aSlots[aHome];
  return aHome == aTarget              ? CrossingReason::None
         : home.upstreams == 0         ? CrossingReason::NoUpstream
         : IsPathFailing(aHome, aHome) ? CrossingReason::PathFailing
         : home.healthy == 0           ? CrossingReason::Unhealthy
         : home.freeSlots == 0         ? CrossingReason::NoFreeSlot
                                       : CrossingReason::FailureRisk;
}

void DomainBalance::RecordGrant(size_t aHome,
                                size_t aTarget,
                                CrossingReason aReason,
                                TimePoint aNow)
{
  PathOf(aHome, aTarget).lastGrantAt = aNow;
  Outflow& outflow = outflows_[aHome];
  ++outflow.grants[static_cast<size_t>(aReason)];
  if (IsForced(aReason)) {
    outflow.since = IsLeaving(aHome, aNow) ? outflow.since : aNow;
    outflow.reason = aReason;
    outflow.lastAt = aNow;
  }
}

bool DomainBalance::IsLeaving(size_t aHome, TimePoint aNow) const
{
  const Outflow& outflow = outflows_[aHome];
  return outflow.reason != CrossingReason::None && aNow - outflow.lastAt < kLeavingPeriod;
}

void DomainBalance::RecordResult(size_t aHome,
                                 size_t aTarget,
                                 bool aHasFailed,
                                 Duration aSuccessAge)
{
  Path& path = PathOf(aHome, aTarget);
  const double failure = aHasFailed ? 1 : 0;
  path.results = path.results * (1 - 1 / kPathWindow) + 1;
  path.failures = path.failures * (1 - 1 / kPathWindow) + failure;
  path.probeSuccesses = aHasFailed ? 0 : path.probeSuccesses + 1;
  if (path.isFailing && path.probeSuccesses >= kPathProbes) {
    path.results = 0;
    path.failures = 0;
    path.isFailing = false;
  }
  path.isFailing = path.isFailing || (path.results >= kMinPathResults &&
                                      path.failures > kFailingShare * path.results);

  const double age =
    std::clamp(std::chrono::duration<double>(aSuccessAge).count(), 0.0, kMaxAgeSeconds);
  const double decay = 1 - 1 / kRiskWindow;
  samples_ = samples_ * decay + 1;
  ages_ = ages_ * decay + age;
  failures_ = failures_ * decay + failure;
  squaredAges_ = squaredAges_ * decay + age * age;
  failedAges_ = failedAges_ * decay + age * failure;
}

double DomainBalance::RiskPerSecond() const
{
  const double initial = kInitialWeight * std::exp(-samples_ / kInitialResults);
  const double samples = std::max(1.0, samples_);
  const double variance = squaredAges_ - ages_ * ages_ / samples;
  const double covariance = failedAges_ - ages_ * failures_ / samples;
  return std::max(0.0,
                  (covariance + initial * kInitialRisk) / (variance + initial + kNoRiskWeight));
}

} // namespace bg::placement

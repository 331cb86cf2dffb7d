// The part of SlotAllocator that selects the upstream of a request.
#include <algorithm>
#include <cmath>

#include "boragegauge/placement.h"

namespace bg::placement {

namespace {

/// A request that has waited this long per consecutive failure of a suspect is sent to it
/// rather than being held back further.
constexpr Duration kSuspectWaitPerFailure = Milliseconds(250);
/// Cost of a suspect that is used for coverage, less the seconds since it became one: failure
/// bursts end, so that the oldest suspicion is the least certain.
constexpr double kSuspectCoverageCost = 100;

// Costs by which upstreams are compared. The unit is the risk that an upstream has begun to fail in
// one second since its last success.

constexpr double kColdCost = 1.0;
/// A moving average of the latency above this multiple of the usual one is not by chance.
constexpr double kUsualLatencyRatio = 1.3;
/// An upstream that takes more than this multiple of the usual latency, or refuses a larger share
/// of its requests, does not keep requests in its domain: the caller waits longer than for the
/// path.
constexpr double kSlowRatio = 2;
constexpr double kMaxRefusedShare = 0.25;
constexpr double kSlowCost = 1.5;    ///< Per multiple of the usual latency.
constexpr double kRefusedCost = 3.0; ///< Scaled by the share of refused requests.
/// Cost per slot in use. It is negative so that requests keep to upstreams that have just
/// succeeded.
constexpr double kBusySlotCost = -0.5;
/// The same for requests that explore. They spread over the upstreams and so detect failing ones
/// before other requests reach them.
constexpr double kExploringBusySlotCost = 1.0;
constexpr double kMaxSuccessAgeSeconds = 3;
constexpr double kConsecutiveFailureCost = 4; ///< Per consecutive failure of a suspect.

/// Whether the request must not be sent to an upstream.
bool IsExcluded(const SlotRequest& aRequest, const std::string& aUpstream)
{
  const auto contains = [&](const std::vector<std::string>& aIds) {
    return std::find(aIds.begin(), aIds.end(), aUpstream) != aIds.end();
  };
  return contains(aRequest.exclude) || contains(aRequest.avoid);
}

} // namespace

bool SlotAllocator::HasCandidate(const SlotRequest& aRequest) const
{
  return std::any_of(upstreams_.begin(), upstreams_.end(), [&](const auto& aUpstream) {
    return !IsExcluded(aRequest, aUpstream.first);
  });
}

void SlotAllocator::RecordDomain(const SlotRequest& aRequest, TimePoint aNow)
{
  const bool mayExplore =
    !aRequest.isRetry && (aRequest.idempotent || !HasRecentIdempotentRequests(aNow));
  domains_.RecordRequest(domains_.IndexOf(aRequest.failureDomain), mayExplore, aNow);
}

std::optional<SlotAllocator::LeaseDomains> SlotAllocator::RecordDomainGrant(
  const SlotRequest& aRequest,
  const Selection& aSelection,
  TimePoint aNow)
{
  const size_t home = domains_.IndexOf(aRequest.failureDomain);
  domains_.RecordGrant(home, aSelection.upstream->domain, aSelection.reason, aNow);
  if (aSelection.isSuspect) {
    return std::nullopt;
  }
  return LeaseDomains{ home, aSelection.upstream->health.TimeSinceSuccess(aNow) };
}

double SlotAllocator::Cost(const Upstream& aUpstream, bool aIsExploring, TimePoint aNow)
{
  const double age =
    std::min(kMaxSuccessAgeSeconds,
             std::chrono::duration<double>(aUpstream.health.TimeSinceSuccess(aNow)).count());
  double cost = aIsExploring ? aUpstream.inFlight * kExploringBusySlotCost - age
                             : aUpstream.inFlight * kBusySlotCost + age;
  cost += aUpstream.info.coldUntil > aNow ? kColdCost : 0;
  cost += std::max(0.0, aUpstream.latencyRatio - kUsualLatencyRatio) * kSlowCost;
  cost += aUpstream.health.RefusedShare(aNow) * kRefusedCost;
  // The random part breaks ties between upstreams of equal cost.
  return cost + static_cast<double>(Random() % 1024) / 4096;
}

bool SlotAllocator::PrefersOwnDomain(TimePoint aNow) const
{
  return init_.alwaysPrefersOwnDomain || !HasRecentIdempotentRequests(aNow);
}

SlotAllocator::DomainTests SlotAllocator::TestsOf(size_t aHome,
                                                  size_t aDomain,
                                                  const SelectionContext& aContext,
                                                  TimePoint aNow) const
{
  if (domains_.IsPathFailing(aHome, aDomain)) {
    const bool isDue = domains_.IsPathProbeDue(aHome, aDomain, aNow);
    return { isDue, isDue };
  }
  return { aDomain == aHome || !PrefersOwnDomain(aNow) ||
             !domains_.HasOwnExplorers(aDomain, aNow) || aContext.demand == CapacityDemand::Waiting,
           false };
}

std::optional<SlotAllocator::Candidate> SlotAllocator::EvaluateCandidate(
  Upstream& aUpstream,
  const DomainTests& aTests,
  const SlotRequest& aRequest,
  const SelectionContext& aContext,
  TimePoint aNow,
  bool aRequireFreeSlot)
{
  const UpstreamHealth& health = aUpstream.health;
  Candidate candidate;
  candidate.upstream = &aUpstream;
  candidate.isFree = aUpstream.inFlight < (aRequest.isIsolated ? 1 : aUpstream.info.slots) &&
                     !aUpstream.isReserved && health.PausedUntil() <= aNow &&
                     aUpstream.bodies.MayTake(aRequest.bodyBytes);
  const bool isFailing =
    health.IsSuspect() && health.ConsecutiveFailures() >= aContext.suspectThreshold;
  candidate.isSuspect = isFailing || (aUpstream.isOverdue && !isOverdueCommon_);
  if (aRequireFreeSlot && !candidate.isFree) {
    return candidate; // Under overload, this is the case for most upstreams.
  }
  if (IsExcluded(aRequest, aUpstream.info.id) || IsOverLimit(aUpstream, aContext, aNow)) {
    return std::nullopt;
  }
  const bool isScout = aRequest.idempotent && !aRequest.isRetry && aContext.mayRunTrial;
  const bool isStarved = IsStarved(aUpstream, aContext, aNow);
  const bool isUnproven = IsUnproven(aUpstream, aNow);
  candidate.isUsable = true;
  if (aRequireFreeSlot && aContext.mayAwaitProof && isUnproven && !isStarved) {
    candidate.isUsable = false;
    candidate.isUnproven = true;
  }
  candidate.isTrial = isFailing && aContext.isFirstAttempt && aUpstream.trialsInFlight == 0 &&
                      aContext.isExploring && aContext.mayRunTrial && aTests.mayTest &&
                      health.IsTrialDue(aRequest.idempotent, aContext.demand, aNow);
  const bool maySendToSuspect =
    !aRequireFreeSlot ||
    (!aContext.mayAwaitProof &&
     aContext.waited >= kSuspectWaitPerFailure * std::max(1U, health.ConsecutiveFailures()));
  if (candidate.isSuspect && !candidate.isTrial && !maySendToSuspect && !isStarved) {
    candidate.isUsable = false;
  }
  // Only idempotent requests prefer a suspect to healthy upstreams with free slots.
  const bool isPreferred = isStarved || (candidate.isTrial && aRequest.idempotent) ||
                           (isScout && isUnproven && aContext.isProofAwaited && aTests.mayTest) ||
                           (isScout && aTests.isPathProbeDue && !candidate.isSuspect);
  candidate.rank = isPreferred           ? Candidate::Preferred
                   : candidate.isSuspect ? Candidate::Suspect
                                         : Candidate::Healthy;
  candidate.isStarved = isStarved;
  candidate.mayBypassQueue =
    candidate.isTrial || (candidate.isSuspect && isStarved) || (isScout && isUnproven);
  candidate.isSlow =
    aUpstream.latencyRatio > kSlowRatio || health.RefusedShare(aNow) > kMaxRefusedShare;
  return candidate;
}

void SlotAllocator::CollectCandidates(size_t aHome,
                                      const SlotRequest& aRequest,
                                      const SelectionContext& aContext,
                                      TimePoint aNow,
                                      bool aRequireFreeSlot)
{
  candidates_.clear();
  domainSlots_.assign(domains_.Count(), {});
  domainTests_.clear();
  for (size_t i = 0; i < domains_.Count(); ++i) {
    domainTests_.push_back(TestsOf(aHome, i, aContext, aNow));
  }
  for (auto& [id, upstream] : upstreams_) {
    const auto candidate = EvaluateCandidate(
      upstream, domainTests_[upstream.domain], aRequest, aContext, aNow, aRequireFreeSlot);
    if (!candidate) {
      continue;
    }
    DomainSlots& slots = domainSlots_[upstream.domain];
    ++slots.upstreams;
    if (!candidate->isSuspect && !candidate->isSlow && !candidate->isUnproven) {
      ++slots.healthy;
      slots.slots += upstream.info.slots;
      slots.freeSlots += candidate->isFree ? upstream.info.slots - upstream.inFlight : 0;
    }
    if (candidate->isUsable) {
      candidates_.push_back(*candidate);
    }
  }
}

SlotAllocator::Selection SlotAllocator::SelectUpstream(const SlotRequest& aRequest,
                                                       const SelectionContext& aContext,
                                                       TimePoint aNow,
                                                       bool aRequireFreeSlot)
{
  const bool isScout = aRequest.idempotent && !aRequest.isRetry && aContext.mayRunTrial;
  const size_t home = domains_.IndexOf(aRequest.failureDomain);
  CollectCandidates(home, aRequest, aContext, aNow, aRequireFreeSlot);
  if (candidates_.empty()) {
    return {};
  }
  const std::span<const double> domainCosts =
    PrefersOwnDomain(aNow)
      ? domains_.Costs(
          home, domainSlots_, aRequest.bodyBytes + aRequest.responseBytes, isScout, aNow)
      : domains_.CrossingCosts(home, domainSlots_.size(), aRequest.bodyBytes);
  const Candidate* best = nullptr;
  std::pair<int, double> bestCost{ INT32_MAX, 0 };
  for (const Candidate& candidate : candidates_) {
    const Upstream& upstream = *candidate.upstream;
    double penalty = domainCosts[upstream.domain] + upstream.bodies.SpreadCost(aRequest.bodyBytes);
    if (candidate.isSuspect && !candidate.isStarved) {
      penalty += upstream.health.ConsecutiveFailures() * kConsecutiveFailureCost;
    } else if (candidate.isSuspect) {
      penalty += kSuspectCoverageCost -
                 std::chrono::duration<double>(upstream.health.TimeSuspected(aNow)).count();
    }
    const std::pair<int, double> cost{ candidate.rank, Cost(upstream, isScout, aNow) + penalty };
    if (cost < bestCost) {
      bestCost = cost;
      best = &candidate;
    }
  }
  Selection selection;
  selection.upstream = best->upstream;
  selection.isSuspect = best->isSuspect;
  selection.isTrial = best->isTrial || (best->isSuspect && best->isStarved);
  selection.isCoverage = best->isStarved;
  selection.mayBypassQueue = best->mayBypassQueue;
  selection.reason = domains_.Reason(home, best->upstream->domain, domainSlots_);
  if (selection.reason == CrossingReason::FailureRisk && best->rank == Candidate::Preferred) {
    selection.reason = CrossingReason::Exploration;
  }
  return selection;
}

} // namespace bg::placement

#include <algorithm>
#include <cmath>

#include "boragegauge/placement.h"

namespace bg::placement {

namespace {

/// Assumed service time before the first response.
constexpr Duration kInitialServiceTime = Milliseconds(200);
/// Weights of the newest response in the moving averages.
constexpr double kServiceTimeWeight = 0.02;
constexpr double kLatencyWeight = 0.25;
/// If an idempotent request arrived within this time, trials are left to idempotent requests; if
/// none but these arrived, no other request gains from trials.
constexpr Duration kRequestKindWindow = std::chrono::seconds(3);
/// The state that Tick() derives is brought up to date before a request when it is older than this.
constexpr Duration kMaxUpdateAge = Milliseconds(100);
/// A lease that its host does not release expires this long after the deadline of the request.
constexpr Duration kLeaseGracePeriod = Milliseconds(250);
/// A larger share of suspects indicates a fault of the whole service, not of single upstreams.
constexpr double kMaxSuspectShare = 0.5;
/// During a service-wide fault, suspects with fewer consecutive failures are treated as healthy.
constexpr uint32_t kServiceWideFaultFailures = 3;

/// When a larger share of the requests is not served, every upstream that may be healthy gets work.
/// Otherwise the load piles up on a few upstreams while healthy ones stay idle. Healthy upstreams
/// must not be left out once twice this share is not served; the limit is halved because each
/// allocator sees only part of the requests.
constexpr double kHighUnservedShare = 0.05;
/// Above this share, non-idempotent requests are sent to starved suspects as well.
constexpr double kCriticalUnservedShare = 0.09;
/// Time constant of the unserved share. Healthy upstreams must not be left out for two seconds.
constexpr std::chrono::duration<double> kUnservedDecayTime{ 1 };
/// Lower bound of the request count that the share is taken of, so that a single failure does not
/// exceed the limits.
constexpr double kMinRecentResults = 20;
/// Above kHighUnservedShare, an upstream without work for this time is served first.
constexpr Duration kStarvationTime = Milliseconds(1500);
/// The same for requests that explore. It is shorter because a healthy idle upstream cannot be told
/// from one that has begun to fail, and idempotent requests can be retried.
constexpr Duration kExploringStarvationTime = Milliseconds(900);
/// An upstream without work for this time counts as idle for the CoverageMonitor.
constexpr Duration kCoverageIdleTime = Milliseconds(1600);
/// A suspect without a failure for this time may have recovered.
constexpr Duration kSuspectRecoveryTime = std::chrono::seconds(2);
/// An upstream that has not answered a request for this multiple of the usual service time gets no
/// further requests until it does. Answers the load of upstreams that hang or have become slow,
/// which show no failure before the deadlines of the first requests.
constexpr int kOverdueFactor = 4;
constexpr Duration kMinOverdueTime = Milliseconds(500);
/// Hosts that do not reach most others use one of so many turns that a limit leaves them, because
/// an allocator of the others may use all of the limit.
constexpr size_t kTurnsPerHost = 2;
/// If more of the upstreams are overdue, the service is slow and all are used.
constexpr double kMaxOverdueShare = 0.3;
/// Part of the slots of suspects that requests are expected to get as trials or after a wait.
constexpr double kSuspectCapacity = 0.25;
/// Below this share of healthy slots in use, the capacity of suspects is not needed.
constexpr double kSpareUtilization = 0.6;
/// Below this share, queued requests wait for a proven upstream rather than for a slot.
constexpr double kFullUtilization = 0.85;
/// In a service of idempotent requests only, they explore until retries have used up this share of
/// the budget. The rest is kept for failures that are not due to trials.
constexpr double kTrialRetryShare = 0.3;
/// An upstream without a success for this time may have begun to fail. Non-idempotent requests wait
/// for a proven upstream instead, as long as they can still meet their latency target, because
/// idempotent requests are about to find one. Answers the load of the first second after a start,
/// when nothing is known of any upstream.
constexpr Duration kMaxProofAge = std::chrono::seconds(3);
/// Divides the time to the latency target; the quotient is the longest wait for a proven upstream.
constexpr int kProofWaitDivisor = 2;
/// Returns true when the caller receives the failure of this attempt instead of a retry.
bool IsFinalAttempt(const SlotRequest& aRequest)
{
  return !aRequest.idempotent || aRequest.isRetry;
}

/// Decay of the counts of recent results over a time.
double ResultDecay(Duration aTime)
{
  return std::exp(-std::chrono::duration<double>(aTime).count() / kUnservedDecayTime.count());
}

} // namespace

SlotAllocator::SlotAllocator(SlotAllocatorInit aInit)
  : init_(std::move(aInit))
  , serviceTime_(kInitialServiceTime)
  , retries_(init_.retries)
  , randomState_(init_.seed * 0x9E3779B97F4A7C15ULL + 1)
{
}

uint64_t SlotAllocator::Random()
{
  randomState_ ^= randomState_ << 13;
  randomState_ ^= randomState_ >> 7;
  randomState_ ^= randomState_ << 17;
  return randomState_;
}

void SlotAllocator::SetUpstreams(std::span<const UpstreamSlots> aUpstreams,
                                 TimePoint aNow,
                                 size_t aShardCount)
{
  shardCount_ = aShardCount;
  std::map<std::string, Upstream, std::less<>> upstreams;
  for (const UpstreamSlots& info : aUpstreams) {
    auto node = upstreams_.extract(info.id);
    if (node.empty() || node.mapped().info.incarnation != info.incarnation) {
      Upstream& added =
        upstreams.insert_or_assign(info.id, Upstream{ .info = info, .health = {} }).first->second;
      added.lastGrantAt = aNow;
      added.health.SetSuspect(info.isSuspect, aNow);
    } else {
      node.mapped().info = info;
      upstreams.insert(std::move(node));
    }
  }
  upstreams_ = std::move(upstreams);
  totalSlots_ = 0;
  for (auto& [id, upstream] : upstreams_) {
    upstream.domain = domains_.IndexOf(upstream.info.failureDomain);
    totalSlots_ += upstream.info.slots;
  }
  Update(aNow);
}

bool SlotAllocator::Request(const SlotRequest& aRequest, TimePoint aNow)
{
  if (aNow - lastUpdate_ > kMaxUpdateAge) {
    Update(aNow);
  }
  if (aRequest.idempotent) {
    recentIdempotent_ = recentIdempotent_ * ResultDecay(aNow - lastIdempotentRequest_) + 1;
    lastIdempotentRequest_ = aNow;
  } else {
    lastOtherRequest_ = aNow;
  }
  RecordDomain(aRequest, aNow);
  if (const auto lease = leases_.find(aRequest.lease); lease != leases_.end()) {
    init_.onGrant({ aRequest.lease, lease->second.upstream });
    return true;
  }
  if (queue_.Contains(aRequest.lease)) {
    return false;
  }
  if (!aRequest.avoid.empty() && !HasCandidate(aRequest)) {
    Refuse(aRequest, "upstreams_paused", serviceTime_, aNow);
    return true;
  }
  queue_.RecordArrival(aRequest, aNow);
  if (!TakeRetry(aRequest, aNow)) {
    Refuse(aRequest, "retry_budget", serviceTime_, aNow);
    return true;
  }
  const bool isLate = IsLate(aRequest, aNow);
  const bool isFirstInQueue = queue_.IsFirst(aRequest, isLate);
  const Selection selection = isFirstInQueue || aRequest.idempotent
                                ? SelectUpstream(aRequest, MakeContext(aRequest, aNow), aNow, true)
                                : Selection{};
  if (selection.upstream != nullptr && (isFirstInQueue || selection.mayBypassQueue)) {
    queue_.RecordBypass(aRequest);
    GrantSlot(aRequest, selection, aNow);
    return true;
  }
  queue_.Add(aRequest, isLate, aNow);
  GrantQueued(aNow);
  if (queue_.Contains(aRequest.lease)) {
    Admit(aRequest, aNow);
  }
  return !queue_.Contains(aRequest.lease);
}

bool SlotAllocator::TakeRetry(const SlotRequest& aRequest, TimePoint aNow)
{
  if (!aRequest.isRetry) {
    retryReserve_.RecordRequest(aRequest, aNow);
  }
  if (aRequest.isCounted) {
    return true;
  }
  if (!aRequest.isRetry) {
    retries_.OnRequest(aNow);
    return true;
  }
  retryReserve_.RecordRetry(aRequest, aNow);
  const RetryBudget::Share share = RetryShare();
  return retries_.TryTake(
    share,
    aNow,
    retryReserve_.Share(
      aRequest, retries_.PerSecond(share, aNow), retries_.UsedShare(share, aNow), aNow));
}

std::string SlotAllocator::PickUpstream(const SlotRequest& aRequest, size_t aHosts, TimePoint aNow)
{
  SelectionContext context = MakeContext(aRequest, aNow);
  context.unaidedHosts = aHosts;
  const Selection selection = SelectUpstream(aRequest, context, aNow, false);
  return selection.upstream == nullptr ? std::string() : selection.upstream->info.id;
}

bool SlotAllocator::IsOverLimit(const Upstream& aUpstream,
                                const SelectionContext& aContext,
                                TimePoint aNow) const
{
  if (aContext.unaidedHosts == 0 && !IsInMinority()) {
    return !aUpstream.limit.MaySend(aNow);
  }
  const bool isUnaided = aContext.unaidedHosts != 0;
  return !aUpstream.limit.HasTurn(kTurnsPerHost * (isUnaided ? aContext.unaidedHosts : hosts_),
                                  isUnaided ? 1 : reachableHosts_,
                                  Hash64(aUpstream.info.id, init_.seed),
                                  aNow);
}

void SlotAllocator::SetReach(size_t aReachable, size_t aHosts)
{
  reachableHosts_ = aReachable;
  hosts_ = aHosts;
}

RetryBudget::Share SlotAllocator::RetryShare() const
{
  const double reach =
    static_cast<double>(reachableHosts_) / static_cast<double>(std::max<size_t>(1, hosts_));
  return { std::min(1.0, reach) / static_cast<double>(std::max<size_t>(1, shardCount_)), hosts_ };
}

double SlotAllocator::UsableSlots(const Upstream& aUpstream) const
{
  const double slots = aUpstream.info.slots;
  if (!aUpstream.limit.IsInForce()) {
    return slots;
  }
  const double share = IsInMinority() ? static_cast<double>(reachableHosts_) /
                                          static_cast<double>(kTurnsPerHost * hosts_)
                                      : 1;
  return std::min(slots,
                  aUpstream.limit.SendRate() * share *
                    std::chrono::duration<double>(serviceTime_).count());
}

void SlotAllocator::AddLease(const SlotRequest& aRequest,
                             std::string_view aUpstream,
                             TimePoint aNow)
{
  const auto found = upstreams_.find(aUpstream);
  if (found == upstreams_.end() || leases_.contains(aRequest.lease)) {
    return;
  }
  ++found->second.inFlight;
  found->second.limit.RecordSends(1, aNow);
  found->second.bodies.Add(aRequest.bodyBytes);
  leases_.emplace(aRequest.lease,
                  Lease{ std::string(aUpstream),
                         aNow,
                         aRequest.deadline + kLeaseGracePeriod,
                         false,
                         IsFinalAttempt(aRequest),
                         aRequest.isIsolated,
                         aRequest.bodyBytes });
}

void SlotAllocator::GrantSlot(const SlotRequest& aRequest,
                              const Selection& aSelection,
                              TimePoint aNow)
{
  Upstream& upstream = *aSelection.upstream;
  ++upstream.inFlight;
  upstream.isReserved = aRequest.isIsolated;
  upstream.lastGrantAt = aNow;
  upstream.limit.RecordSends(1, aNow);
  upstream.bodies.Add(aRequest.bodyBytes);
  upstream.limitedSends += upstream.limit.IsInForce() ? 1 : 0;
  upstream.trialsInFlight += aSelection.isTrial ? 1 : 0;
  coverage_.OnGrant(aSelection.isCoverage);
  ++granted_;
  leases_.emplace(aRequest.lease,
                  Lease{ upstream.info.id,
                         aNow,
                         aRequest.deadline + kLeaseGracePeriod,
                         aSelection.isTrial,
                         IsFinalAttempt(aRequest),
                         aRequest.isIsolated,
                         aRequest.bodyBytes,
                         RecordDomainGrant(aRequest, aSelection, aNow) });
  init_.onGrant({ aRequest.lease, upstream.info.id });
}

bool SlotAllocator::IsServiceWideFault() const
{
  return suspectCount_ > kMaxSuspectShare * static_cast<double>(upstreams_.size());
}

bool SlotAllocator::HasRecentIdempotentRequests(TimePoint aNow) const
{
  return aNow - lastIdempotentRequest_ < kRequestKindWindow;
}

CapacityDemand SlotAllocator::Demand() const
{
  const double inUse = static_cast<double>(leases_.size()) / std::max(1.0, healthySlots_);
  if (!queue_.IsEmpty()) {
    return inUse < kFullUtilization ? CapacityDemand::Normal : CapacityDemand::Waiting;
  }
  return inUse < kSpareUtilization ? CapacityDemand::Spare : CapacityDemand::Normal;
}

SlotAllocator::SelectionContext SlotAllocator::MakeContext(const SlotRequest& aRequest,
                                                           TimePoint aNow) const
{
  SelectionContext context;
  context.waited = aNow - aRequest.receivedAt;
  context.isFirstAttempt = aRequest.exclude.empty();
  // Without idempotent traffic, all requests have to find out which upstreams are healthy.
  const bool hasRecentIdempotent = HasRecentIdempotentRequests(aNow);
  context.isRetry = aRequest.isRetry;
  context.isExploring = !aRequest.isRetry && (aRequest.idempotent || !hasRecentIdempotent);
  context.mayCover =
    !aRequest.isRetry && (context.isExploring || AreIdempotentRequestsScarce(aNow));
  context.demand = Demand();
  context.mayRunTrial = context.demand == CapacityDemand::Waiting ||
                        aNow - lastOtherRequest_ < kRequestKindWindow ||
                        retries_.UsedShare(RetryShare(), aNow) < kTrialRetryShare;
  context.mayAwaitProof =
    !aRequest.idempotent && hasRecentIdempotent && !IsLate(aRequest, aNow) &&
    context.waited < (aRequest.targetBy - aRequest.receivedAt) / kProofWaitDivisor;
  context.isProofAwaited = !queue_.IsEmpty() && context.demand != CapacityDemand::Waiting;
  context.suspectThreshold = IsServiceWideFault() ? kServiceWideFaultFailures : 0;
  context.unservedShare = UnservedShare();
  return context;
}

bool SlotAllocator::IsUnproven(const Upstream& aUpstream, TimePoint aNow)
{
  return aUpstream.health.TimeSinceSuccess(aNow) > kMaxProofAge;
}

bool SlotAllocator::IsStarved(const Upstream& aUpstream,
                              const SelectionContext& aContext,
                              TimePoint aNow) const
{
  if (aContext.isRetry || aUpstream.inFlight > 0) {
    return false;
  }
  if (aContext.mayCover && coverage_.IsDue() && IsIdle(aUpstream, aNow)) {
    return true;
  }
  const bool isSuspect = aUpstream.health.IsSuspect();
  if (isSuspect && aUpstream.health.TimeSinceFailure(aNow) <= kSuspectRecoveryTime) {
    return false;
  }
  const bool isCritical = !aContext.isExploring && isSuspect;
  return aContext.unservedShare > (isCritical ? kCriticalUnservedShare : kHighUnservedShare) &&
         aNow - aUpstream.lastGrantAt >
           (aContext.isExploring ? kExploringStarvationTime : kStarvationTime);
}

bool SlotAllocator::MayBeHealthy(const Upstream& aUpstream, TimePoint aNow)
{
  return !aUpstream.health.IsSuspect() ||
         aUpstream.health.TimeSinceFailure(aNow) > kSuspectRecoveryTime + kCoverageIdleTime;
}

bool SlotAllocator::IsIdle(const Upstream& aUpstream, TimePoint aNow)
{
  return MayBeHealthy(aUpstream, aNow) && aUpstream.inFlight == 0 &&
         aUpstream.limit.MaySend(aNow) && aNow - aUpstream.lastGrantAt > kCoverageIdleTime;
}

bool SlotAllocator::AreIdempotentRequestsScarce(TimePoint aNow) const
{
  const double perSecond = recentIdempotent_ * ResultDecay(aNow - lastIdempotentRequest_);
  return perSecond * std::chrono::duration<double>(kCoverageIdleTime).count() <
         static_cast<double>(healthyUpstreams_);
}

void SlotAllocator::UpdateOverdue(TimePoint aNow)
{
  const Duration limit = std::max<Duration>(kMinOverdueTime, serviceTime_ * kOverdueFactor);
  for (auto& [id, upstream] : upstreams_) {
    upstream.isOverdue = false;
  }
  size_t overdue = 0;
  for (const auto& [id, lease] : leases_) {
    const auto upstream = upstreams_.find(lease.upstream);
    if (aNow - lease.startedAt > limit && upstream != upstreams_.end()) {
      overdue += upstream->second.isOverdue ? 0 : 1;
      upstream->second.isOverdue = true;
    }
  }
  isOverdueCommon_ =
    static_cast<double>(overdue) > kMaxOverdueShare * static_cast<double>(upstreams_.size());
}

void SlotAllocator::UpdateCoverage(TimePoint aNow)
{
  size_t idle = 0;
  size_t healthy = 0;
  usableSlots_ = 0;
  healthySlots_ = 0;
  for (const auto& [id, upstream] : upstreams_) {
    const double usable = UsableSlots(upstream);
    usableSlots_ += usable;
    healthySlots_ += upstream.health.IsSuspect() ? 0 : usable;
    healthy += MayBeHealthy(upstream, aNow) ? 1 : 0;
    idle += IsIdle(upstream, aNow) ? 1 : 0;
  }
  healthyUpstreams_ = healthy;
  expectedSlots_ = IsServiceWideFault()
                     ? usableSlots_
                     : healthySlots_ + kSuspectCapacity * (usableSlots_ - healthySlots_);
  coverage_.Update(idle, healthy, ResultRate(aNow));
}

void SlotAllocator::RecordFinalResult(bool aIsServed, TimePoint aNow)
{
  const double decay = ResultDecay(aNow - lastResultAt_);
  lastResultAt_ = aNow;
  recentResults_ = recentResults_ * decay + 1;
  recentUnserved_ = recentUnserved_ * decay + (aIsServed ? 0 : 1);
}

double SlotAllocator::ResultRate(TimePoint aNow) const
{
  return recentResults_ * ResultDecay(aNow - lastResultAt_) / kUnservedDecayTime.count();
}

double SlotAllocator::UnservedShare() const
{
  return recentUnserved_ / std::max(recentResults_, kMinRecentResults);
}

void SlotAllocator::RecordOutcome(Upstream& aUpstream,
                                  Outcome aOutcome,
                                  Duration aLatency,
                                  const Lease& aLease,
                                  TimePoint aNow)
{
  // The failure of an attempt that will be retried is not yet the final result for the caller. A
  // failed trial must not lead to more trials.
  const bool hasFailed = aOutcome == Outcome::Failed || aOutcome == Outcome::TimedOut;
  const bool isExpected = hasFailed && (!aLease.isFinalAttempt || aLease.isTrial);
  if (aOutcome != Outcome::Cancelled && !isExpected) {
    RecordFinalResult(aOutcome == Outcome::Good, aNow);
  }
  if (aLease.domains && (hasFailed || aOutcome == Outcome::Good)) {
    domains_.RecordResult(
      aLease.domains->home, aUpstream.domain, hasFailed, aLease.domains->successAge);
  }
  const bool wasSuspect = aUpstream.health.IsSuspect();
  aUpstream.health.Observe(aOutcome, aLease.startedAt, aNow, aLease.isTrial);
  if (wasSuspect != aUpstream.health.IsSuspect()) {
    suspectCount_ += wasSuspect ? -1 : 1;
  }
  if (aOutcome != Outcome::Good || aLatency <= Duration(0)) {
    return;
  }
  const double ratio =
    static_cast<double>(aLatency.count()) / static_cast<double>(serviceTime_.count());
  aUpstream.latencyRatio += kLatencyWeight * (std::min(ratio, 10.0) - aUpstream.latencyRatio);
  serviceTime_ += std::chrono::duration_cast<Duration>(
    (std::min(aLatency, serviceTime_ * 4) - serviceTime_) * kServiceTimeWeight);
}

void SlotAllocator::Release(LeaseId aLease, Outcome aOutcome, Duration aLatency, TimePoint aNow)
{
  if (queue_.Remove(aLease)) {
    return;
  }
  const auto found = leases_.find(aLease);
  if (found == leases_.end()) {
    return;
  }
  const Lease lease = std::move(found->second);
  leases_.erase(found);
  const auto upstream = upstreams_.find(lease.upstream);
  if (upstream != upstreams_.end()) {
    upstream->second.inFlight -= upstream->second.inFlight > 0 ? 1 : 0;
    upstream->second.bodies.Remove(lease.bodyBytes);
    upstream->second.trialsInFlight -= lease.isTrial && upstream->second.trialsInFlight > 0 ? 1 : 0;
    upstream->second.isReserved = upstream->second.isReserved && !lease.isIsolated;
    RecordOutcome(upstream->second, aOutcome, aLatency, lease, aNow);
  }
  GrantQueued(aNow);
}

void SlotAllocator::DropQueued(uint64_t aHost)
{
  queue_.RemoveHost(aHost);
}

void SlotAllocator::DropLeases(uint64_t aHost, TimePoint aNow)
{
  for (auto next = leases_.lower_bound({ aHost, 0 });
       next != leases_.end() && next->first.host == aHost;
       next = leases_.lower_bound({ aHost, 0 })) {
    const LeaseId lease = next->first;
    Release(lease, Outcome::Cancelled, Duration(0), aNow);
  }
}

std::vector<HeldLease> SlotAllocator::Leases() const
{
  std::vector<HeldLease> leases;
  for (const auto& [id, lease] : leases_) {
    leases.push_back(
      { id, lease.upstream, !lease.isFinalAttempt, lease.expiresAt - kLeaseGracePeriod });
  }
  return leases;
}

void SlotAllocator::ExpireLeases(TimePoint aNow)
{
  for (auto next = leases_.begin(); next != leases_.end();) {
    const auto current = next++;
    if (current->second.expiresAt <= aNow) {
      const LeaseId lease = current->first;
      // The host failed to release the lease, which is no evidence about the upstream.
      Release(lease, Outcome::Cancelled, Duration(0), aNow);
      next = leases_.upper_bound(lease);
    }
  }
}

void SlotAllocator::Tick(TimePoint aNow)
{
  if (leases_.empty() && queue_.IsEmpty()) {
    return; // Request() catches up.
  }
  Update(aNow);
}

void SlotAllocator::Update(TimePoint aNow)
{
  lastUpdate_ = aNow;
  suspectCount_ = static_cast<uint32_t>(
    std::count_if(upstreams_.begin(), upstreams_.end(), [](const auto& aUpstream) {
      return aUpstream.second.health.IsSuspect();
    }));
  UpdateCoverage(aNow);
  UpdateOverdue(aNow);
  queue_.ForgetIdleFlows(aNow);
  ExpireLeases(aNow);
  DemoteLateRequests(aNow);
  GrantTrials(aNow);
  GrantQueued(aNow);
  RefuseUnservable(aNow);
}

void SlotAllocator::Refuse(const SlotRequest& aRequest,
                           std::string_view aReason,
                           Duration aRetryAfter,
                           TimePoint aNow)
{
  ++refused_;
  ++refusals_[{ aRequest.priority, std::string(aReason) }];
  RecordFinalResult(false, aNow);
  init_.onRefusal({ aRequest.lease, aReason, aRetryAfter });
}

SlotAllocatorStats SlotAllocator::Stats() const
{
  SlotAllocatorStats stats;
  stats.slots = totalSlots_;
  for (const auto& [id, upstream] : upstreams_) {
    stats.inFlight += upstream.inFlight;
  }
  stats.waiting = static_cast<uint32_t>(queue_.Size());
  stats.suspects = suspectCount_;
  stats.granted = granted_;
  stats.refused = refused_;
  stats.serviceTimeMs = std::chrono::duration<double, std::milli>(serviceTime_).count();
  return stats;
}

void SlotAllocator::SetSuspects(std::span<const std::string> aSuspects, TimePoint aNow)
{
  for (auto& [id, upstream] : upstreams_) {
    const bool isSuspect = std::find(aSuspects.begin(), aSuspects.end(), id) != aSuspects.end();
    upstream.health.SetSuspect(isSuspect, aNow);
  }
}

bool SlotAllocator::RecordLimit(std::string_view aUpstream,
                                double aPerSecond,
                                TimePoint aAnsweredAt)
{
  const auto found = upstreams_.find(aUpstream);
  return found != upstreams_.end() && found->second.limit.Record(aPerSecond, aAnsweredAt);
}

std::vector<LimitedUpstream> SlotAllocator::LimitedUpstreams() const
{
  std::vector<LimitedUpstream> limited;
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.limit.IsInForce()) {
      limited.push_back({ id, upstream.limit, upstream.limitedSends });
    }
  }
  return limited;
}

std::vector<LimitedUpstream> SlotAllocator::TakeLimitedUpstreams()
{
  std::vector<LimitedUpstream> limited = LimitedUpstreams();
  for (auto& [id, upstream] : upstreams_) {
    upstream.limitedSends = 0;
  }
  return limited;
}

void SlotAllocator::RecordSends(std::string_view aUpstream, uint32_t aCount, TimePoint aNow)
{
  if (const auto found = upstreams_.find(aUpstream); found != upstreams_.end()) {
    found->second.limit.RecordSends(aCount, aNow);
  }
}

std::vector<std::string> SlotAllocator::Suspects() const
{
  std::vector<std::string> suspects;
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.health.IsSuspect()) {
      suspects.push_back(id);
    }
  }
  return suspects;
}

} // namespace bg::placement

#include <algorithm>
#include <cmath>

#include "boragegauge/placement.h"

namespace bg::placement {

namespace {

/// Assumed service time before the first response.
constexpr Duration kInitialServiceTime = Milliseconds(200);
/// Weight of the newest response in the moving averages.
constexpr double kServiceTimeWeight = 0.02;
constexpr double kLatencyWeight = 0.25;
/// A request that waited this long for each failure in a row of a suspect is sent to it rather than
/// held back further.
constexpr Duration kSuspectWait = Milliseconds(250);
/// The last moment for a start is this multiple of the usual service time before the aim or the
/// deadline, because half of the work takes longer than usual.
constexpr double kStartMargin = 1.5;
/// Part of the retry budget for idempotent requests; the rest is for refused requests that cannot
/// be repeated otherwise, which are the more urgent ones.
constexpr double kIdempotentRetryPart = 0.6;
/// Late requests are hopeless when none of them got a slot for this time.
constexpr Duration kLatePatience = Milliseconds(400);
/// While less urgent requests wait, one of them follows this many urgent ones, so that none starve.
constexpr uint32_t kUrgentInRow = 24;
/// Idempotent requests within this time mean that trials can be left to them.
constexpr Duration kIdempotentMemory = std::chrono::seconds(3);
/// A lease whose host does not end it is ended this long after its deadline.
constexpr Duration kLeaseSlack = Milliseconds(250);
/// More suspects than this share are a problem of the service, not of its upstreams.
constexpr double kMaxSuspectShare = 0.5;
/// With a shared problem only upstreams with this many failures in a row stay suspects.
constexpr uint32_t kSharedProblemFailures = 3;

/// When more than this share of the requests is not served, every upstream that may be sound gets
/// work: otherwise it piles up on a few while sound ones are left out. Half of the share from which
/// sound upstreams must not be left out, because each allocator sees a part of the requests.
constexpr double kManyUnserved = 0.05;
/// From this share on, work that cannot be repeated goes to neglected suspects as well.
constexpr double kMostUnserved = 0.09;
/// Time over which the share is taken; sound upstreams must not be left out for two seconds.
constexpr std::chrono::duration<double> kUnservedWindow{ 1 };
/// The share is taken of at least so many requests, so that a single failure is not many.
constexpr double kMinAnswered = 20;
/// Then an upstream without work for this time is served first. Requests that can be repeated go
/// there earlier, because a sound upstream cannot be told from one that has begun to fail.
constexpr Duration kNeglectTime = Milliseconds(1500);
constexpr Duration kNeglectTimeOfTrials = Milliseconds(900);
/// A suspect without a failure for this time may be sound again.
constexpr Duration kSuspectRest = std::chrono::seconds(2);

// Costs of a choice. The unit is the risk that an upstream has begun to fail within a second since
// its last success.
/// Bytes between failure domains are charged: for a request with little body, and for each KiB of
/// it.
constexpr double kOtherDomainCost = 0.6;
constexpr double kOtherDomainCostPerKb = 0.02;
constexpr double kMaxOtherDomainCost = 1.5;
constexpr double kColdCost = 1.0;
constexpr double kSlowCost = 1.5; ///< For each multiple of the usual latency.
constexpr double kRefusedCost = 3.0;
/// A taken slot costs requests that can be repeated more: they spread, and so find failing
/// upstreams before others meet them. The others keep to upstreams that have just succeeded.
constexpr double kTakenCost = -0.5;
constexpr double kTakenCostOfTrials = 1.0;
constexpr double kMaxAgeSeconds = 3;

/// Whether a failure of the upstream is what the caller gets.
bool IsLastTry(const SlotRequest& aRequest)
{
  return !aRequest.idempotent || aRequest.isRepeat;
}

} // namespace

SlotAllocator::SlotAllocator(SlotAllocatorInit aInit)
  : init_(std::move(aInit))
  , serviceTime_(kInitialServiceTime)
  , retries_(init_.retries)
  , random_(init_.seed * 0x9E3779B97F4A7C15ULL + 1)
{
}

uint64_t SlotAllocator::Random()
{
  random_ ^= random_ << 13;
  random_ ^= random_ >> 7;
  random_ ^= random_ << 17;
  return random_;
}

void SlotAllocator::SetUpstreams(std::span<const UpstreamSlots> aUpstreams,
                                 TimePoint aNow,
                                 size_t aShards)
{
  shards_ = aShards;
  std::map<std::string, Upstream, std::less<>> upstreams;
  for (const UpstreamSlots& slots : aUpstreams) {
    auto node = upstreams_.extract(slots.id);
    if (node.empty() || node.mapped().slots.incarnation != slots.incarnation) {
      Upstream& added =
        upstreams.insert_or_assign(slots.id, Upstream{ .slots = slots, .health = {} })
          .first->second;
      added.health.Mirror(slots.isSuspect, aNow);
    } else {
      node.mapped().slots = slots;
      upstreams.insert(std::move(node));
    }
  }
  upstreams_ = std::move(upstreams);
  Tick(aNow);
}

bool SlotAllocator::Request(const SlotRequest& aRequest, TimePoint aNow)
{
  if (aRequest.idempotent) {
    lastIdempotent_ = aNow;
  }
  if (const auto lease = leases_.find(aRequest.lease); lease != leases_.end()) {
    init_.onGrant({ aRequest.lease, lease->second.upstream });
    return true;
  }
  if (places_.contains(aRequest.lease)) {
    return false;
  }
  if (!aRequest.isRepeat) {
    retries_.OnRequest(aNow);
  } else if (!retries_.TryTake(shards_, aNow, aRequest.idempotent ? kIdempotentRetryPart : 1)) {
    Refuse(aRequest.lease, "retry_budget", serviceTime_, aNow);
    return true;
  }
  const Place place{
    IsLate(aRequest, aNow), aRequest.priority, aRequest.receivedAt, aRequest.lease
  };
  // A trial takes no slot that the requests ahead could use.
  const bool isFirst = waiting_.empty() || place < waiting_.begin()->first;
  const Choice choice = isFirst || aRequest.idempotent ? Choose(aRequest, aNow, true) : Choice{};
  if (choice.upstream != nullptr && (isFirst || choice.isTrial)) {
    Start(aRequest, choice, aNow);
    return true;
  }
  Enqueue(aRequest, place);
  GrantWaiting(aNow);
  RefuseHopeless(aNow);
  return !places_.contains(aRequest.lease);
}

void SlotAllocator::Enqueue(const SlotRequest& aRequest, const Place& aPlace)
{
  waiting_.emplace(aPlace, aRequest);
  places_.insert_or_assign(aRequest.lease, aPlace);
}

bool SlotAllocator::IsLate(const SlotRequest& aRequest, TimePoint aNow) const
{
  const auto needed = std::chrono::duration_cast<Duration>(serviceTime_ * kStartMargin);
  return aRequest.aimBy != TimePoint{} && aNow + needed > aRequest.aimBy;
}

std::string SlotAllocator::PickNow(const SlotRequest& aRequest, TimePoint aNow)
{
  const Choice choice = Choose(aRequest, aNow, false);
  return choice.upstream == nullptr ? std::string() : choice.upstream->slots.id;
}

void SlotAllocator::Adopt(const SlotRequest& aRequest, std::string_view aUpstream, TimePoint aNow)
{
  const auto found = upstreams_.find(aUpstream);
  if (found == upstreams_.end() || leases_.contains(aRequest.lease)) {
    return;
  }
  ++found->second.inFlight;
  leases_.emplace(
    aRequest.lease,
    Lease{
      std::string(aUpstream), aNow, aRequest.deadline + kLeaseSlack, false, IsLastTry(aRequest) });
}

void SlotAllocator::Start(const SlotRequest& aRequest, const Choice& aChoice, TimePoint aNow)
{
  Upstream& upstream = *aChoice.upstream;
  ++upstream.inFlight;
  upstream.lastStart = aNow;
  upstream.trials += aChoice.isTrial ? 1 : 0;
  ++granted_;
  leases_.emplace(aRequest.lease,
                  Lease{ upstream.slots.id,
                         aNow,
                         aRequest.deadline + kLeaseSlack,
                         aChoice.isTrial,
                         IsLastTry(aRequest) });
  init_.onGrant({ aRequest.lease, upstream.slots.id });
}

bool SlotAllocator::IsSharedProblem() const
{
  return suspects_ > kMaxSuspectShare * static_cast<double>(upstreams_.size());
}

bool SlotAllocator::LeavesTrials(TimePoint aNow) const
{
  return aNow - lastIdempotent_ < kIdempotentMemory;
}

bool SlotAllocator::IsNeglected(const Upstream& aUpstream, bool aIdempotent, TimePoint aNow) const
{
  const double unserved = UnservedShare();
  // Without idempotent requests all others have to find out which upstreams are sound.
  const bool explores = aIdempotent || !LeavesTrials(aNow);
  const Duration limit = explores ? kNeglectTimeOfTrials : kNeglectTime;
  if (unserved <= kManyUnserved || aUpstream.inFlight > 0 || aNow - aUpstream.lastStart <= limit) {
    return false;
  }
  return !aUpstream.health.IsSuspect() || (aUpstream.health.FailureAge(aNow) > kSuspectRest &&
                                           (explores || unserved > kMostUnserved));
}

double SlotAllocator::Cost(const Upstream& aUpstream, const SlotRequest& aRequest, TimePoint aNow)
{
  const bool explores = aRequest.idempotent && !aRequest.isRepeat;
  const double age = std::min(
    kMaxAgeSeconds, std::chrono::duration<double>(aUpstream.health.SuccessAge(aNow)).count());
  double cost = explores ? aUpstream.inFlight * kTakenCostOfTrials - age
                         : aUpstream.inFlight * kTakenCost + age;
  if (aUpstream.slots.failureDomain != aRequest.failureDomain) {
    cost += std::min(kMaxOtherDomainCost,
                     kOtherDomainCost +
                       kOtherDomainCostPerKb * static_cast<double>(aRequest.bodyBytes) / 1024);
  }
  cost += aUpstream.slots.coldUntil > aNow ? kColdCost : 0;
  cost += std::max(0.0, aUpstream.latencyRatio - 1.3) * kSlowCost;
  cost += aUpstream.health.RefusedShare(aNow) * kRefusedCost;
  // A fraction of a slot spreads equal choices.
  return cost + static_cast<double>(Random() % 1024) / 4096;
}

SlotAllocator::Choice SlotAllocator::Choose(const SlotRequest& aRequest,
                                            TimePoint aNow,
                                            bool aOnlyFree)
{
  enum Rank
  {
    First,
    Healthy,
    Suspect
  };
  const Duration waited = aNow - aRequest.receivedAt;
  const bool leavesTrials = LeavesTrials(aNow);
  const bool isFirst = aRequest.exclude.empty();
  const uint32_t tolerated = IsSharedProblem() ? kSharedProblemFailures : 0;
  Choice best;
  std::pair<int, double> bestCost{ INT32_MAX, 0 };
  for (auto& [id, upstream] : upstreams_) {
    const bool isExcluded =
      std::find(aRequest.exclude.begin(), aRequest.exclude.end(), id) != aRequest.exclude.end();
    const bool isFull =
      upstream.inFlight >= upstream.slots.slots || upstream.health.RefusedUntil() > aNow;
    if (isExcluded || (aOnlyFree && isFull)) {
      continue;
    }
    const bool isSuspect =
      upstream.health.IsSuspect() && upstream.health.FailuresInRow() >= tolerated;
    const bool isNeglected = IsNeglected(upstream, aRequest.idempotent, aNow);
    const bool isTrial = isSuspect && isFirst && upstream.trials == 0 &&
                         (aRequest.idempotent || !leavesTrials) &&
                         upstream.health.IsTrialDue(aRequest.idempotent, !waiting_.empty(), aNow);
    const bool hasWaited =
      !aOnlyFree || waited >= kSuspectWait * std::max(1U, upstream.health.FailuresInRow());
    if (isSuspect && !isTrial && !hasWaited && !isNeglected) {
      continue;
    }
    // Only requests that can be repeated are sent to a suspect while others have free slots.
    const bool goesFirst = isNeglected || (isTrial && aRequest.idempotent);
    const int rank = goesFirst ? First : isSuspect ? Suspect : Healthy;
    const double penalty = rank == Suspect ? upstream.health.FailuresInRow() * 4.0 : 0;
    const std::pair<int, double> cost{ rank, Cost(upstream, aRequest, aNow) + penalty };
    if (cost < bestCost) {
      bestCost = cost;
      best = { &upstream, isTrial || (isSuspect && isNeglected) };
    }
  }
  return best;
}

void SlotAllocator::CountServed(bool aIsServed, TimePoint aNow)
{
  const double fade =
    std::exp(-std::chrono::duration<double>(aNow - lastCounted_).count() / kUnservedWindow.count());
  lastCounted_ = aNow;
  answered_ = answered_ * fade + 1;
  unserved_ = unserved_ * fade + (aIsServed ? 0 : 1);
}

double SlotAllocator::UnservedShare() const
{
  return unserved_ / std::max(answered_, kMinAnswered);
}

void SlotAllocator::CountOutcome(Upstream& aUpstream,
                                 Outcome aOutcome,
                                 Duration aLatency,
                                 const Lease& aLease,
                                 TimePoint aNow)
{
  // A failure of a request that is sent once more is no answer to its caller yet.
  const bool isRepeated =
    !aLease.isLastTry && (aOutcome == Outcome::Failed || aOutcome == Outcome::TimedOut);
  if (aOutcome != Outcome::Cancelled && !isRepeated) {
    CountServed(aOutcome == Outcome::Good, aNow);
  }
  const bool wasSuspect = aUpstream.health.IsSuspect();
  aUpstream.health.Observe(aOutcome, aLease.startedAt, aNow, aLease.isTrial);
  if (wasSuspect != aUpstream.health.IsSuspect()) {
    suspects_ += wasSuspect ? -1 : 1;
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
  if (const auto place = places_.find(aLease); place != places_.end()) {
    waiting_.erase(place->second);
    places_.erase(place);
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
    upstream->second.trials -= lease.isTrial && upstream->second.trials > 0 ? 1 : 0;
    CountOutcome(upstream->second, aOutcome, aLatency, lease, aNow);
  }
  GrantWaiting(aNow);
}

void SlotAllocator::GrantWaiting(TimePoint aNow)
{
  while (!waiting_.empty()) {
    const uint32_t first = waiting_.begin()->first.priority;
    const bool hasOthers = std::prev(waiting_.end())->first.priority != first;
    const bool servesLessUrgent =
      hasOthers && urgentGrants_ >= kUrgentInRow && GrantFirst(first + 1, aNow);
    if (!servesLessUrgent && !GrantFirst(0, aNow)) {
      return;
    }
    urgentGrants_ = hasOthers && !servesLessUrgent ? urgentGrants_ + 1 : 0;
  }
}

/// Grants the first waiting request that fits, of this priority or a less urgent one.
bool SlotAllocator::GrantFirst(uint32_t aMinPriority, TimePoint aNow)
{
  // A request that excludes the only free upstream must not hold back the ones behind it, but the
  // search is bounded: beyond this many nothing is likely to fit.
  constexpr int kMaxMisses = 8;
  int misses = 0;
  for (auto next = waiting_.begin(); next != waiting_.end() && misses < kMaxMisses; ++next) {
    if (next->first.priority < aMinPriority) {
      continue;
    }
    const Choice choice = Choose(next->second, aNow, true);
    if (choice.upstream == nullptr) {
      ++misses;
      continue;
    }
    if (next->first.isLate) {
      lastLateGrant_ = aNow;
    }
    const SlotRequest request = std::move(next->second);
    places_.erase(request.lease);
    waiting_.erase(next);
    Start(request, choice, aNow);
    return true;
  }
  return false;
}

/// Starts trials with idempotent requests that wait, wherever they stand in the queue: a trial
/// takes no slot that the requests ahead could use.
void SlotAllocator::StartTrials(TimePoint aNow)
{
  if (suspects_ == 0) {
    return;
  }
  for (auto next = waiting_.begin(); next != waiting_.end();) {
    const auto current = next++;
    if (!current->second.idempotent || current->second.isRepeat) {
      continue;
    }
    const Choice choice = Choose(current->second, aNow, true);
    if (choice.isTrial) {
      const SlotRequest request = std::move(current->second);
      places_.erase(request.lease);
      waiting_.erase(current);
      Start(request, choice, aNow);
    }
  }
}

/// Moves requests that cannot be answered in time any more behind the others of their priority.
void SlotAllocator::MarkLate(TimePoint aNow)
{
  std::vector<Place> late;
  for (const auto& [place, request] : waiting_) {
    if (!place.isLate && IsLate(request, aNow)) {
      late.push_back(place);
    }
  }
  if (!late.empty() && lastLateGrant_ < aNow - kLatePatience &&
      std::none_of(
        waiting_.begin(), waiting_.end(), [](const auto& aEntry) { return aEntry.first.isLate; })) {
    lastLateGrant_ = aNow; // The patience begins with the first late request.
  }
  for (const Place& place : late) {
    auto node = waiting_.extract(place);
    Place moved = place;
    moved.isLate = true;
    Enqueue(node.mapped(), moved);
  }
}

void SlotAllocator::RefuseHopeless(TimePoint aNow)
{
  const bool lateIsHopeless = aNow - lastLateGrant_ > kLatePatience;
  size_t ahead = 0;
  for (auto next = waiting_.begin(); next != waiting_.end();) {
    const Duration wait = ExpectedWait(ahead);
    const bool isInTime = aNow + wait <= LatestStart(next->second);
    if (Capacity() > 0 && isInTime && !(next->first.isLate && lateIsHopeless)) {
      ++ahead;
      ++next;
      continue;
    }
    const LeaseId lease = next->second.lease;
    places_.erase(lease);
    next = waiting_.erase(next);
    Refuse(lease, Capacity() == 0 ? "no_upstream" : "overload", wait, aNow);
  }
}

void SlotAllocator::ExpireLeases(TimePoint aNow)
{
  for (auto next = leases_.begin(); next != leases_.end();) {
    const auto current = next++;
    if (current->second.expiresAt <= aNow) {
      const LeaseId lease = current->first;
      // The host that held the lease is gone; that says nothing about the upstream.
      Release(lease, Outcome::Cancelled, Duration(0), aNow);
      next = leases_.upper_bound(lease);
    }
  }
}

void SlotAllocator::Tick(TimePoint aNow)
{
  suspects_ = static_cast<uint32_t>(
    std::count_if(upstreams_.begin(), upstreams_.end(), [](const auto& aUpstream) {
      return aUpstream.second.health.IsSuspect();
    }));
  ExpireLeases(aNow);
  MarkLate(aNow);
  StartTrials(aNow);
  GrantWaiting(aNow);
  RefuseHopeless(aNow);
}

Duration SlotAllocator::ExpectedWait(size_t aAhead) const
{
  const uint32_t capacity = std::max<uint32_t>(1, Capacity());
  return serviceTime_ * (aAhead + 1) / capacity;
}

uint32_t SlotAllocator::Capacity() const
{
  uint32_t slots = 0;
  for (const auto& [id, upstream] : upstreams_) {
    slots += upstream.slots.slots;
  }
  return slots;
}

TimePoint SlotAllocator::LatestStart(const SlotRequest& aRequest) const
{
  return aRequest.deadline - std::chrono::duration_cast<Duration>(serviceTime_ * kStartMargin);
}

void SlotAllocator::Refuse(LeaseId aLease,
                           std::string_view aReason,
                           Duration aRetryAfter,
                           TimePoint aNow)
{
  ++refused_;
  CountServed(false, aNow);
  init_.onRefusal({ aLease, aReason, aRetryAfter });
}

SlotAllocatorStats SlotAllocator::Stats() const
{
  SlotAllocatorStats stats;
  stats.slots = Capacity();
  for (const auto& [id, upstream] : upstreams_) {
    stats.inFlight += upstream.inFlight;
  }
  stats.waiting = static_cast<uint32_t>(waiting_.size());
  stats.suspects = suspects_;
  stats.granted = granted_;
  stats.refused = refused_;
  stats.serviceTimeMs = std::chrono::duration<double, std::milli>(serviceTime_).count();
  return stats;
}

void SlotAllocator::Mirror(std::span<const std::string> aSuspects, TimePoint aNow)
{
  for (auto& [id, upstream] : upstreams_) {
    const bool isSuspect = std::find(aSuspects.begin(), aSuspects.end(), id) != aSuspects.end();
    upstream.health.Mirror(isSuspect, aNow);
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

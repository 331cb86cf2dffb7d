#include <algorithm>
#include <optional>

#include "boragegauge/placement.h"

// The part of SlotAllocator that orders, grants and refuses queued requests.

namespace bg::placement {

namespace {

/// Requests that were admitted are refused when they would miss their deadline even with this
/// multiple of the expected capacity: a change of load or capacity, and not the error of an
/// estimate.
constexpr double kReviewCapacityFactor = 1.25;

} // namespace

bool SlotAllocator::IsLate(const SlotRequest& aRequest, TimePoint aNow) const
{
  return placement::IsLate(aRequest, serviceTime_, aNow);
}

ServiceCapacity SlotAllocator::Capacity() const
{
  return { std::min<double>(totalSlots_, expectedSlots_), serviceTime_ };
}

void SlotAllocator::GrantQueued(TimePoint aNow)
{
  while (!queue_.IsEmpty()) {
    const std::vector<std::pair<uint32_t, size_t>> waiting = queue_.SizeByPriority();
    const bool hasLessUrgent = waiting.size() > 1;
    bool grantedLessUrgent = false;
    if (hasLessUrgent && consecutiveUrgentGrants_ >= kMaxConsecutiveUrgentGrants) {
      // The less urgent priorities take turns.
      const auto next =
        std::find_if(waiting.begin() + 1, waiting.end(), [this](const auto& aEntry) {
          return aEntry.first > lastLessUrgent_;
        });
      lastLessUrgent_ = next == waiting.end() ? waiting[1].first : next->first;
      grantedLessUrgent = GrantFirstFitting(lastLessUrgent_, aNow);
    }
    if (!grantedLessUrgent && !GrantFirstFitting({}, aNow)) {
      return;
    }
    consecutiveUrgentGrants_ =
      hasLessUrgent && !grantedLessUrgent ? consecutiveUrgentGrants_ + 1 : 0;
  }
}

bool SlotAllocator::GrantFirstFitting(std::optional<uint32_t> aPriority, TimePoint aNow)
{
  // A request that excludes the only free upstream must not block the ones behind it. The search is
  // bounded because after this many misses a fitting request is unlikely.
  constexpr int kMaxMisses = 8;
  int misses = 0;
  bool hasProvenSlot = true;
  Selection selection;
  LeaseId lease;
  queue_.ForEach([&](const RequestQueue::Entry& aEntry) {
    if (aPriority && aEntry.request.priority != *aPriority) {
      return true;
    }
    const SelectionContext context = MakeContext(aEntry.request, aNow);
    if (context.mayAwaitProof && !hasProvenSlot) {
      return true;
    }
    selection = SelectUpstream(aEntry.request, context, aNow, true);
    if (selection.upstream == nullptr) {
      hasProvenSlot = hasProvenSlot && !context.mayAwaitProof;
      // Requests of a paused host must not block those of others.
      misses += context.mayAwaitProof || !aEntry.request.avoid.empty() ? 0 : 1;
      return misses < kMaxMisses;
    }
    lease = aEntry.request.lease;
    return false;
  });
  if (selection.upstream == nullptr) {
    return false;
  }
  GrantSlot(queue_.Take(lease, aNow), selection, aNow);
  return true;
}

void SlotAllocator::GrantTrials(TimePoint aNow)
{
  std::vector<LeaseId> candidates;
  queue_.ForEach([&](const RequestQueue::Entry& aEntry) {
    if (aEntry.request.idempotent && !aEntry.request.isRetry) {
      candidates.push_back(aEntry.request.lease);
    }
    return true;
  });
  for (const LeaseId& lease : candidates) {
    const SlotRequest* request = queue_.Find(lease);
    if (request == nullptr) {
      continue; // A callback has removed it.
    }
    const Selection selection = SelectUpstream(*request, MakeContext(*request, aNow), aNow, true);
    if (selection.mayBypassQueue) {
      GrantSlot(queue_.Take(lease, aNow), selection, aNow);
    }
  }
}

void SlotAllocator::DemoteLateRequests(TimePoint aNow)
{
  queue_.DemoteLate([&](const SlotRequest& aRequest) { return IsLate(aRequest, aNow); }, aNow);
}

void SlotAllocator::Admit(const SlotRequest& aRequest, TimePoint aNow)
{
  const AdmissionDecision decision = DecideAdmission(queue_, aRequest, Capacity(), aNow);
  const bool hasCandidate = aRequest.avoid.empty() || HasCandidate(aRequest);
  if (totalSlots_ > 0 && hasCandidate && decision.isAdmitted) {
    return;
  }
  queue_.Remove(aRequest.lease);
  RefuseWaiting(aRequest.lease, hasCandidate, decision.wait, aNow);
}

void SlotAllocator::RefuseWaiting(LeaseId aLease,
                                  bool aHasCandidate,
                                  Duration aWait,
                                  TimePoint aNow)
{
  Refuse(aLease,
         totalSlots_ == 0 ? "no_upstream"
         : aHasCandidate  ? "overload"
                          : "upstreams_paused",
         totalSlots_ == 0 ? serviceTime_ : aWait,
         aNow);
}

void SlotAllocator::RefuseUnservable(TimePoint aNow)
{
  struct Unservable
  {
    LeaseId lease;
    bool hasCandidate;
    Duration wait;
  };
  ServiceCapacity capacity = Capacity();
  capacity.slots *= kReviewCapacityFactor;
  const double starts = capacity.StartsPerSecond();
  std::vector<Unservable> unservable;
  size_t ahead = 0;
  size_t aheadInPriority = 0;
  std::optional<uint32_t> priority;
  std::optional<uint32_t> mostUrgent;
  queue_.ForEach([&](const RequestQueue::Entry& aEntry) {
    const SlotRequest& request = aEntry.request;
    mostUrgent = mostUrgent.value_or(request.priority);
    aheadInPriority = priority == request.priority ? aheadInPriority : 0;
    priority = request.priority;
    double seconds = static_cast<double>(ahead + 1) / starts;
    if (priority != mostUrgent) {
      seconds =
        std::min(seconds, static_cast<double>(aheadInPriority + 1) / (starts * kLessUrgentShare));
    }
    const auto wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    const bool isInTime = aNow + wait <= LatestStart(request.deadline, serviceTime_);
    const bool hasCandidate = request.avoid.empty() || HasCandidate(request);
    if (totalSlots_ > 0 && hasCandidate && isInTime) {
      ++ahead;
      ++aheadInPriority;
    } else {
      unservable.push_back({ request.lease, hasCandidate, wait });
    }
    return true;
  });
  for (const Unservable& request : unservable) {
    if (queue_.Remove(request.lease)) { // Else a callback has removed it.
      RefuseWaiting(request.lease, request.hasCandidate, request.wait, aNow);
    }
  }
}

} // namespace bg::placement

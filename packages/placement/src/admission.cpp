#include "boragegauge/admission.h"

#include <algorithm>
#include <cmath>

namespace bg::placement {

namespace {

/// A request must start this multiple of the usual service time before its latency target or
/// deadline. It exceeds 1 because half of the requests take longer than usual.
constexpr double kServiceTimeMargin = 1.5;
/// Lower bound of the slots by which the time until a slot is free is estimated.
constexpr double kMinUsableSlots = 0.01;
/// Upper bound of an expected wait. Longer than any deadline and any useful Retry-After.
constexpr std::chrono::duration<double> kMaxWait{ 30 };
/// Upper bound of a Retry-After. The load is not known to last longer.
constexpr std::chrono::duration<double> kMaxRetryAfter{ 10 };
/// The wait is the fixed point of an increasing function. More steps change it by less than its own
/// variation, except close to overload, where it is above the limit.
constexpr int kMaxSteps = 12;
constexpr double kStepTolerance = 0.02;
/// Standard deviations of the wait by which it must end before the deadline. Without them, half of
/// the last requests that are admitted would be rejected after they have waited. A request that
/// only misses its latency target is still served, and slots stay free if too few requests wait, so
/// that the margin to the target is at most that for the error.
constexpr int kWaitDeviations = 2;
/// Part of the wait that is added to it, because the service time is an average of some 50
/// responses.
constexpr double kWaitErrorShare = 0.08;
/// Below this multiple of the expected capacity, late requests wait as long as one of them got a
/// slot within the time: rates close to the capacity vary by some percent, and requests that could
/// have been served would be rejected.
constexpr double kFullLoad = 1.1;
constexpr Duration kLateStartTimeout = std::chrono::seconds(1);
/// Share of the retry budget that idempotent requests may use up. The rest is reserved for
/// refused non-idempotent requests, which are more urgent and cannot be retried otherwise.
constexpr double kIdempotentRetryShare = 0.6;
/// Priorities without non-idempotent requests for this time need no reserve for them.
constexpr Duration kRequestKindWindow = std::chrono::seconds(3);
/// While less of the retry budget is used up, none of it is kept for more urgent requests: a retry
/// that is refused fails its request, and retries that are not needed are lost after the window.
constexpr double kAmpleUsedShare = 0.35;
/// Share of the retry budget that less urgent requests may use up in any case, so that a few of
/// their retries find out when upstreams have recovered.
constexpr double kMinRetryShare = 0.05;

Duration ToDuration(std::chrono::duration<double> aTime)
{
  return std::chrono::duration_cast<Duration>(std::min(aTime, kMaxWait));
}

} // namespace

double ServiceCapacity::StartsPerSecond() const
{
  return std::max(slots, kMinUsableSlots) / std::chrono::duration<double>(serviceTime).count();
}

TimePoint LatestStart(TimePoint aEnd, Duration aServiceTime)
{
  return aEnd - std::chrono::duration_cast<Duration>(aServiceTime * kServiceTimeMargin);
}

bool IsLate(const SlotRequest& aRequest, Duration aServiceTime, TimePoint aNow)
{
  return aRequest.targetBy != TimePoint{} && aNow > LatestStart(aRequest.targetBy, aServiceTime);
}

WaitEstimate EstimateWait(const RequestQueue& aQueue,
                          const SlotRequest& aRequest,
                          bool aIsLate,
                          const ServiceCapacity& aCapacity,
                          TimePoint aNow)
{
  const double starts = aCapacity.StartsPerSecond();
  const auto moreUrgent = static_cast<double>(aQueue.MoreUrgent(aRequest.priority));
  const double moreUrgentRate = aQueue.MoreUrgentRate(aRequest.priority, aNow);
  // A request that can meet its target must not miss it because more urgent ones arrive; a late one
  // is rejected only if it is certain that there is no capacity left for it.
  const double taken =
    moreUrgentRate + (aIsLate ? -1 : kWaitDeviations) * DecayingRate::Deviation(moreUrgentRate);
  const double left = std::max(starts - taken, starts * kLessUrgentShare);
  // Measured while requests of the priority wait, it has no error from the difference of two large
  // rates.
  const double own = std::max(starts * kLessUrgentShare, aQueue.StartRate(aRequest.priority, aNow));
  const RequestsAhead requestsAhead = aQueue.Ahead(aRequest, aIsLate, aNow);
  std::chrono::duration<double> wait{ 0 };
  for (int step = 0; step < kMaxSteps && wait < kMaxWait; ++step) {
    const double ahead = requestsAhead.At(ToDuration(wait)) + 1;
    const double behindUrgent = (ahead + moreUrgent) / left;
    const double byShare = ahead / own;
    const std::chrono::duration<double> next{ std::min(behindUrgent, byShare) };
    const bool isStable = next <= wait * (1 + kStepTolerance);
    wait = next;
    if (isStable) {
      break;
    }
  }
  // Slots that become free and requests that overtake it vary independently like Poisson processes.
  const double overtaking = requestsAhead.OvertakingRate(ToDuration(wait));
  const double events = std::max(0.0, (starts + moreUrgentRate + overtaking) * wait.count() - 1);
  const double used = std::max(std::max(left, own) - overtaking, starts * kLessUrgentShare);
  const std::chrono::duration<double> deviation{ std::sqrt(events) / used };
  const std::chrono::duration<double> free{ 1 / starts };
  return { ToDuration(wait),
           ToDuration(deviation),
           ToDuration(std::max(wait - free, wait.zero()) * kWaitErrorShare),
           starts / used };
}

AdmissionDecision DecideAdmission(const RequestQueue& aQueue,
                                  const SlotRequest& aRequest,
                                  const ServiceCapacity& aCapacity,
                                  TimePoint aNow)
{
  const double starts = aCapacity.StartsPerSecond();
  const auto meetsTarget = [&](const WaitEstimate& aWait) {
    const Duration variation = std::min(kWaitDeviations * aWait.deviation, aWait.error);
    return aNow + aWait.expected + aWait.error + variation <=
           LatestStart(aRequest.targetBy, aCapacity.serviceTime);
  };
  const auto meetsDeadline = [&](const WaitEstimate& aWait) {
    return aNow + aWait.expected + ToDuration(aWait.error * aWait.leverage) +
             kWaitDeviations * aWait.deviation <=
           LatestStart(aRequest.deadline, aCapacity.serviceTime);
  };
  const bool isLate = IsLate(aRequest, aCapacity.serviceTime, aNow);
  const bool hasTarget = aRequest.targetBy != TimePoint{} && aRequest.targetBy < aRequest.deadline;
  const WaitEstimate wait = EstimateWait(aQueue, aRequest, isLate, aCapacity, aNow);
  if (!isLate && meetsDeadline(wait) && (!hasTarget || meetsTarget(wait))) {
    return { .isAdmitted = true, .wait = wait.expected };
  }
  const double arrivals = aQueue.MoreUrgentRate(aRequest.priority + 1, aNow);
  const bool hasRoom = arrivals < starts * kFullLoad &&
                       aNow - aQueue.LastLateStart(aRequest.priority) < kLateStartTimeout;
  // While there is room, late requests get their turn like others.
  const bool isOvertaken = !hasRoom;
  const WaitEstimate lateWait =
    isOvertaken == isLate ? wait : EstimateWait(aQueue, aRequest, isOvertaken, aCapacity, aNow);
  // As long as more requests arrive than get slots, only a part of those that come back after the
  // wait is admitted.
  const double own = arrivals - aQueue.MoreUrgentRate(aRequest.priority, aNow);
  const double excess = std::max(1.0, own * wait.leverage / starts);
  return { .isAdmitted = (isLate || hasTarget) && meetsDeadline(lateWait),
           .wait = wait.expected,
           .retryAfter = std::max(aCapacity.serviceTime,
                                  ToDuration(std::min<std::chrono::duration<double>>(
                                    wait.expected * excess, kMaxRetryAfter))) };
}

void RetryReserve::RecordRequest(const SlotRequest& aRequest, TimePoint aNow)
{
  if (!aRequest.idempotent) {
    demands_[aRequest.priority].lastNonIdempotent = aNow;
  }
}

void RetryReserve::RecordRetry(const SlotRequest& aRequest, TimePoint aNow)
{
  demands_[aRequest.priority].retries.Add(aNow);
}

double RetryReserve::Share(const SlotRequest& aRequest,
                           double aRetriesPerSecond,
                           double aUsedShare,
                           TimePoint aNow) const
{
  double moreUrgent = 0;
  double all = 0;
  for (const auto& [priority, demand] : demands_) {
    all += demand.retries.PerSecond(aNow);
  }
  bool hasNonIdempotent = false;
  for (auto demand = demands_.begin();
       demand != demands_.end() && demand->first <= aRequest.priority;
       ++demand) {
    moreUrgent += demand->first < aRequest.priority ? demand->second.retries.PerSecond(aNow) : 0;
    hasNonIdempotent =
      hasNonIdempotent || aNow - demand->second.lastNonIdempotent < kRequestKindWindow;
  }
  const double base = aRequest.idempotent && hasNonIdempotent ? kIdempotentRetryShare : 1;
  if (aUsedShare < kAmpleUsedShare || all <= aRetriesPerSecond) {
    return base;
  }
  const double reserved = aRetriesPerSecond > 0 ? moreUrgent / aRetriesPerSecond : 0;
  return base * std::max(kMinRetryShare, 1 - reserved);
}

} // namespace bg::placement

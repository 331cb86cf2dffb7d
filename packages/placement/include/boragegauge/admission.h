#pragma once

#include <cstdint>
#include <map>

#include "boragegauge/request_queue.h"

/// Admission of requests to the queue of an allocator. Pure decisions: the time is an argument.
namespace bg::placement {

/// While less urgent requests wait, one of them is granted after this many urgent ones, so that
/// none starve.
constexpr uint32_t kMaxConsecutiveUrgentGrants = 24;
/// Part of the slots that the less urgent requests get in any case.
constexpr double kLessUrgentShare = 1.0 / (kMaxConsecutiveUrgentGrants + 1);

/// How fast a group of upstreams takes requests.
struct ServiceCapacity
{
  double slots = 0; ///< Slots of healthy upstreams.
  Duration serviceTime{ 0 };
  double StartsPerSecond() const;
};

/// Latest time at which a request may be sent to an upstream for its response to arrive in time.
TimePoint LatestStart(TimePoint aEnd, Duration aServiceTime);
/// Whether a request that starts now misses its latency target.
bool IsLate(const SlotRequest& aRequest, Duration aServiceTime, TimePoint aNow);

struct WaitEstimate
{
  Duration expected{ 0 };
  Duration deviation{ 0 }; ///< Standard deviation of the wait at this capacity.
  Duration error{ 0 };     ///< Due to the error of the capacity, as far as all of it is used.
  double leverage = 1;     ///< Capacity as a multiple of what requests that overtake leave of it.
};

/// Estimates the time until a request gets a slot: for the requests ahead of it, those that will
/// overtake it, and the capacity that more urgent requests will take meanwhile.
/// @param aIsLate It waits behind the requests of its flow that can meet their latency target.
WaitEstimate EstimateWait(const RequestQueue& aQueue,
                          const SlotRequest& aRequest,
                          bool aIsLate,
                          const ServiceCapacity& aCapacity,
                          TimePoint aNow);

struct AdmissionDecision
{
  bool isAdmitted = false;
  Duration wait{ 0 };       ///< Expected, while it can meet its latency target.
  Duration retryAfter{ 0 }; ///< Expected time until such a request is admitted.
};

/// Decides whether a request that finds no free slot may wait for one.
///
/// Answers the load of a service that is asked for more than it can run: a request waits only if it
/// is expected to start in time, so that a rejected one is rejected on arrival rather than after it
/// has waited. A request that will miss its latency target, but not its deadline, may wait only if
/// there is capacity left for it once all others have been served.
AdmissionDecision DecideAdmission(const RequestQueue& aQueue,
                                  const SlotRequest& aRequest,
                                  const ServiceCapacity& aCapacity,
                                  TimePoint aNow);

/// Divides a scarce retry budget between priorities.
///
/// Answers the load of a service whose upstreams refuse most requests: the budget covers a part of
/// the retries, and the most urgent requests get it first.
class RetryReserve
{
public:
  /// Counts a request that was not sent before.
  void RecordRequest(const SlotRequest& aRequest, TimePoint aNow);
  /// Counts a request that asks for a retry, whether or not it gets one.
  void RecordRetry(const SlotRequest& aRequest, TimePoint aNow);
  /// Share of the budget that may be used up before the request gets no retry, 0 to 1.
  /// @param aRetriesPerSecond Retries that the budget allows in the long run.
  /// @param aUsedShare Share of the budget that is used up now.
  double Share(const SlotRequest& aRequest,
               double aRetriesPerSecond,
               double aUsedShare,
               TimePoint aNow) const;

private:
  struct Demand
  {
    DecayingRate retries{};
    TimePoint lastNonIdempotent{};
  };
  std::map<uint32_t, Demand> demands_; ///< By priority.
};

} // namespace bg::placement

#pragma once

#include <compare>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "boragegauge/base.h"

namespace bg::placement {

/// Identifies one request of one host of the fleet.
struct LeaseId
{
  uint64_t host = 0;     ///< Hash of the requesting host and its incarnation.
  uint64_t sequence = 0; ///< Unique for that host.
  friend auto operator<=>(const LeaseId&, const LeaseId&) = default;
};

struct SlotRequest
{
  LeaseId lease;
  std::string failureDomain; ///< Failure domain of the requesting host.
  bool idempotent = false;
  bool isRetry = false;   ///< The request was already sent to another upstream.
  bool isCounted = false; ///< Another holder of the retry budget has counted it, see RetryBudget.
  uint32_t priority = 0;  ///< 0 is the most urgent.
  uint64_t account = 0;   ///< Hash of the name of the client account; 0: none.
  TimePoint receivedAt{};
  size_t bodyBytes = 0;             ///< Size of the request body.
  size_t responseBytes = 0;         ///< Expected size of the response; 0: unknown.
  TimePoint targetBy{};             ///< Latency target; unset when there is none.
  TimePoint deadline{};             ///< A later response is useless to the caller.
  std::vector<std::string> exclude; ///< Ids of upstreams already tried or unreachable.
  std::vector<std::string> avoid;   ///< Ids of upstreams that want no requests of the host now.
  bool isIsolated = false;          ///< Runs only by itself at an upstream.
};

/// Rate of events, as an exponentially decaying count. It is right from the first second on, so
/// that an allocator that takes over knows the load, and follows a sharp rise at once.
class DecayingRate
{
public:
  void Add(TimePoint aNow);
  double PerSecond(TimePoint aNow) const;
  /// Standard deviation of PerSecond() for independent events of a rate.
  static double Deviation(double aPerSecond);

private:
  struct Count
  {
    std::chrono::duration<double> decayTime;
    double events = 0; ///< As of at_.
    void Add(Duration aElapsed);
    double PerSecond(Duration aElapsed, Duration aAge) const;
  };

  Count slow_{ std::chrono::seconds(1) };
  Count fast_{ Milliseconds(150) };
  TimePoint at_{};
  TimePoint since_{}; ///< First event after a time without any.
};

/// Requests that wait for a slot, in the order in which they get one.
///
/// More urgent requests go first. Requests of one priority are divided into flows, one for each
/// client account and one for all requests without an account, which get equal shares by start-time
/// fair queueing. Within a flow, requests that can still meet their latency target go first, then
/// those that arrived first. Without accounts, the order is that of one flow.
class RequestQueue
{
public:
  struct Entry
  {
    const SlotRequest& request;
    bool isLate; ///< Cannot meet its latency target any more.
  };

  bool IsEmpty() const { return stored_.empty(); }
  size_t Size() const { return stored_.size(); }
  bool Contains(LeaseId aLease) const { return stored_.contains(aLease); }
  /// @return The request if it waits, or null.
  const SlotRequest* Find(LeaseId aLease) const;
  /// Priorities of the requests that wait, most urgent first, and their numbers.
  std::vector<std::pair<uint32_t, size_t>> SizeByPriority() const;
  /// Whether a request would be ahead of all others.
  bool IsFirst(const SlotRequest& aRequest, bool aIsLate) const;

  /// Counts a request for the arrival rates, whether or not it has to wait.
  void RecordArrival(const SlotRequest& aRequest, TimePoint aNow);
  /// Charges a request that got a slot while others wait without being queued itself.
  void RecordBypass(const SlotRequest& aRequest);
  void Add(const SlotRequest& aRequest, bool aIsLate, TimePoint aNow);
  /// @return False if the request does not wait.
  bool Remove(LeaseId aLease);
  /// Removes the requests of a process, see LeaseId::host.
  void RemoveHost(uint64_t aHost);
  /// Removes a request that gets a slot and returns it. Its flow is charged for the slot.
  SlotRequest Take(LeaseId aLease, TimePoint aNow);
  /// Moves the requests that the predicate selects behind those of their flow that can meet their
  /// latency target.
  void DemoteLate(const std::function<bool(const SlotRequest&)>& aIsLate, TimePoint aNow);
  /// Calls a function for the requests in order until it returns false. It must not change the
  /// queue.
  void ForEach(const std::function<bool(const Entry&)>& aFunction) const;

  /// Number of requests that wait and are more urgent than a priority.
  size_t MoreUrgent(uint32_t aPriority) const;
  /// Arrivals per second of requests that are more urgent than a priority.
  double MoreUrgentRate(uint32_t aPriority, TimePoint aNow) const;
  /// Requests of a priority per second that got a slot after they had waited. While some wait, it
  /// is what the priority gets.
  double StartRate(uint32_t aPriority, TimePoint aNow) const;
  /// When a late request of a priority last got a slot, or the first one that waits became late. In
  /// the future if none waits.
  TimePoint LastLateStart(uint32_t aPriority) const;
  /// Number of requests of the same priority that get a slot before a request: those that wait, and
  /// those expected to arrive and overtake it while it waits for some time.
  double ExpectedAhead(const SlotRequest& aRequest,
                       bool aIsLate,
                       Duration aWait,
                       TimePoint aNow) const;
  /// Forgets flows without requests whose next request would be treated as that of a new flow.
  void ForgetIdleFlows(TimePoint aNow);

private:
  struct Key
  {
    bool isLate;
    TimePoint receivedAt;
    LeaseId lease;
    friend auto operator<=>(const Key&, const Key&) = default;
  };
  /// The requests of one account and priority. Each slot moves the start tag on by one.
  struct Flow
  {
    std::map<Key, const SlotRequest*> requests{};
    size_t late = 0;  ///< Number of the requests that are late.
    double start = 0; ///< Start tag of the first request.
    DecayingRate arrivals{};
  };
  /// The requests of one priority.
  struct Level
  {
    std::map<uint64_t, Flow> flows{}; ///< By SlotRequest::account.
    size_t size = 0;
    /// Start tag of a flow that gets its first request, so that a flow gains nothing by being idle.
    double virtualTime = 0;
    DecayingRate arrivals{};
    size_t late = 0; ///< Number of the requests that are late.
    TimePoint lastLateStart{};
    DecayingRate starts{}; ///< Requests that got a slot after they had waited.
  };
  struct Stored
  {
    SlotRequest request;
    bool isLate = false;
  };
  static Key MakeKey(const SlotRequest& aRequest, bool aIsLate);
  static double StartOf(const Level& aLevel, const Flow& aFlow);
  static void AdvanceVirtualTime(Level& aLevel);
  static bool ForEachOfLevel(const Level& aLevel,
                             const std::function<bool(const Entry&)>& aFunction);
  static void CountLate(Level& aLevel, Flow& aFlow, TimePoint aNow);
  /// Removes a request from its flow.
  Level& Unlink(const Stored& aStored);

  std::map<uint32_t, Level> levels_; ///< By priority.
  std::map<LeaseId, Stored> stored_;
};

} // namespace bg::placement

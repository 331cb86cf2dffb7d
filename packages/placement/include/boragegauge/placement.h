#pragma once

#include <array>
#include <compare>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "boragegauge/base.h"

/// Admission of requests to the slots of a service: queueing, load shedding and choice of the
/// upstream. Pure decision code without I/O and clocks: callers pass events and the time, and
/// receive grants and refusals.
namespace bg::placement {

/// Identifies one request of one host of the fleet.
struct LeaseId
{
  uint64_t host = 0;     ///< Hash of the requesting host and its incarnation.
  uint64_t sequence = 0; ///< Unique for that host.
  friend auto operator<=>(const LeaseId&, const LeaseId&) = default;
};

/// How an attempt at an upstream ended.
enum class Outcome
{
  Good,
  Failed,      ///< Error, invalid or incomplete response.
  TimedOut,    ///< No response by the deadline.
  Refused,     ///< The upstream reported that it did not execute the request.
  Unreachable, ///< No connection; nothing was sent.
  Misdirected, ///< Another upstream answered at the address.
  Cancelled,   ///< The caller disconnected.

  Count
};

std::string_view ToString(Outcome aOutcome);

/// An upstream that may receive work.
struct UpstreamSlots
{
  std::string id;
  std::string failureDomain;
  uint32_t slots = 1;      ///< Requests that it may run concurrently.
  TimePoint coldUntil{};   ///< End of its warm-up, during which it is slower.
  int64_t incarnation = 0; ///< Changes when it restarts under the same id.
  bool isSuspect = false;  ///< Initial state; set when another allocator suspects it.
};

struct SlotRequest
{
  LeaseId lease;
  std::string failureDomain; ///< Failure domain of the requesting host.
  bool idempotent = false;
  bool isRetry = false;  ///< The request was already sent to another upstream.
  uint32_t priority = 0; ///< 0 is the most urgent.
  TimePoint receivedAt{};
  size_t bodyBytes = 0;             ///< Size of the request body.
  TimePoint targetBy{};             ///< Latency target; unset when there is none.
  TimePoint deadline{};             ///< A later response is useless to the caller.
  std::vector<std::string> exclude; ///< Ids of upstreams already tried or unreachable.
};

struct Grant
{
  LeaseId lease;
  std::string upstream;
};

struct Refusal
{
  LeaseId lease;
  std::string_view reason;  ///< "no_upstream", "overload" or "retry_budget".
  Duration retryAfter{ 0 }; ///< Expected time until a slot is free.
};

/// Circuit breaker of one upstream, driven by the outcomes of real requests.
///
/// One failure makes an upstream a suspect, because failures come in bursts and a false suspicion
/// is cheap to clear: a suspect receives idempotent requests as trials and is readmitted when they
/// succeed.
class UpstreamHealth
{
public:
  /// Records the outcome of an attempt.
  /// @param aStartedAt When the attempt was granted. A success of an attempt that started before
  /// the last failure does not clear the suspicion.
  void Observe(Outcome aOutcome, TimePoint aStartedAt, TimePoint aNow, bool aIsTrial);

  /// Sets the state to that of another allocator.
  void SetSuspect(bool aIsSuspect, TimePoint aNow);

  bool IsSuspect() const { return isSuspect_; }
  /// Returns true when the backoff before the next trial is over.
  /// @param aIsIdempotent The request can be retried when the trial fails.
  /// @param aHasQueue Requests wait for slots, so that readmission is worth an earlier trial.
  bool IsTrialDue(bool aIsIdempotent, bool aHasQueue, TimePoint aNow) const;
  uint32_t ConsecutiveFailures() const { return consecutiveFailures_; }
  /// Share of recent requests that the upstream refused, 0 to 1.
  double RefusedShare(TimePoint aNow) const;
  /// End of the pause after a refusal, during which the upstream gets no requests.
  TimePoint PausedUntil() const { return pausedUntil_; }
  /// Time since the last failure; before the first one, since the epoch of the clock.
  Duration TimeSinceFailure(TimePoint aNow) const { return aNow - lastFailure_; }
  /// Time since the last success; before the first one, since the epoch of the clock.
  Duration TimeSinceSuccess(TimePoint aNow) const { return aNow - lastSuccess_; }

private:
  void MarkSuspect(Duration aMinBackoff, Duration aMaxBackoff, TimePoint aNow);

  bool isSuspect_ = false;
  uint32_t consecutiveFailures_ = 0;
  uint32_t trialSuccesses_ = 0;
  uint32_t unreachableReports_ = 0;
  Duration backoff_{ 0 };
  TimePoint lastFailure_{};
  TimePoint lastUnreachable_{};
  TimePoint pausedUntil_{};
  TimePoint lastRefused_{};
  double refusedShare_ = 0;
  TimePoint lastSuccess_{};
};

/// Retry budget over a sliding window. It limits how many requests are sent to a second upstream.
class RetryWindow
{
public:
  struct Init
  {
    double ratio = 0.2; ///< Retries per request.
    double slack = 0;   ///< Retries per window allowed in addition to the ratio.
    Duration window = std::chrono::seconds(10);
  };
  explicit RetryWindow(const Init& aInit);

  void OnRequest(TimePoint aNow);
  /// Spends one retry of the budget if one is left.
  /// @param aWindowCount Number of windows that share the slack.
  /// @param aBudgetShare Share of the budget that this kind of retry may use up, 0 to 1.
  bool TryTake(size_t aWindowCount, TimePoint aNow, double aBudgetShare = 1);

private:
  static constexpr size_t kBuckets = 10;
  struct Bucket
  {
    int64_t index = -1;
    uint32_t requests = 0;
    uint32_t retries = 0;
  };
  Bucket& BucketAt(TimePoint aNow);

  Init init_;
  std::array<Bucket, kBuckets> buckets_;
};

struct SlotAllocatorInit
{
  std::function<void(const Grant&)> onGrant = nullptr;
  std::function<void(const Refusal&)> onRefusal = nullptr;
  RetryWindow::Init retries{}; ///< Retry budget of the whole service.
  uint64_t seed = 1;
};

struct SlotAllocatorStats
{
  uint32_t slots = 0;
  uint32_t inFlight = 0;
  uint32_t waiting = 0;
  uint32_t suspects = 0;
  uint64_t granted = 0;
  uint64_t refused = 0;
  double serviceTimeMs = 0; ///< Moving average over good responses.
};

/// Grants the slots of a group of upstreams to requests of all hosts.
///
/// Requests that find no free slot are queued. Those that can still meet their latency target go
/// first, then by priority, then by arrival. A request is refused as soon as it is expected to miss
/// its deadline.
class SlotAllocator
{
public:
  explicit SlotAllocator(SlotAllocatorInit aInit);

  /// Replaces the set of upstreams. Health and leases of upstreams that remain are kept; an
  /// upstream with another incarnation starts anew.
  /// @param aShardCount Number of allocators that share the upstreams of the service.
  void SetUpstreams(std::span<const UpstreamSlots> aUpstreams,
                    TimePoint aNow,
                    size_t aShardCount = 1);

  /// Grants, refuses or queues a request. A request with the id of an active lease gets the same
  /// grant again, so that the host can send it again after a lost response.
  /// @return False when the request is queued.
  bool Request(const SlotRequest& aRequest, TimePoint aNow);

  /// Picks an upstream without queueing and regardless of free slots. For hosts that cannot reach
  /// the shared allocator. @return Id of the upstream; empty when all are excluded.
  std::string PickUpstream(const SlotRequest& aRequest, TimePoint aNow);

  /// Records a lease that was not granted by this allocator, so that its slot counts as used.
  void AddLease(const SlotRequest& aRequest, std::string_view aUpstream, TimePoint aNow);

  /// Ends a lease, or removes a queued request.
  /// @param aLatency Time from sending the request to its response; 0 when unknown.
  void Release(LeaseId aLease, Outcome aOutcome, Duration aLatency, TimePoint aNow);

  /// Expires leases, grants queued requests and refuses those that cannot meet their deadline. To
  /// be called periodically.
  void Tick(TimePoint aNow);

  SlotAllocatorStats Stats() const;
  /// Ids of the suspected upstreams.
  std::vector<std::string> Suspects() const;
  /// Copies the suspects of the active allocator of the same upstreams, so that this one can
  /// replace it.
  /// @param aSuspects Ids of all suspected upstreams; the suspicion of all others is cleared.
  void SetSuspects(std::span<const std::string> aSuspects, TimePoint aNow);

private:
  struct Upstream
  {
    UpstreamSlots info;
    UpstreamHealth health;
    uint32_t inFlight = 0;
    uint32_t trialsInFlight = 0;
    TimePoint lastGrantAt{};
    double latencyRatio = 1; ///< Moving average of latency relative to that of the service.
  };
  struct Lease
  {
    std::string upstream;
    TimePoint startedAt;
    TimePoint expiresAt;
    bool isTrial = false;
    bool isFinalAttempt = false; ///< A failure is returned to the caller, not retried.
  };
  /// Sort key of the queue.
  struct QueueKey
  {
    bool isLate; ///< Cannot meet its latency target any more.
    uint32_t priority;
    TimePoint receivedAt;
    LeaseId lease;
    friend auto operator<=>(const QueueKey&, const QueueKey&) = default;
  };
  struct Selection
  {
    Upstream* upstream = nullptr;
    bool isTrial = false;
  };

  /// @param aRequireFreeSlot Skip upstreams that have no free slot or refused a request just now.
  Selection SelectUpstream(const SlotRequest& aRequest, TimePoint aNow, bool aRequireFreeSlot);
  double Cost(const Upstream& aUpstream, const SlotRequest& aRequest, TimePoint aNow);
  /// Returns true when so many upstreams are suspects that the cause is not in single ones.
  bool IsServiceWideFault() const;
  bool HasRecentIdempotentRequests(TimePoint aNow) const;
  /// Returns true when the upstream has had no work for too long while many requests are not
  /// served.
  bool IsStarved(const Upstream& aUpstream, bool aIdempotent, TimePoint aNow) const;
  void GrantSlot(const SlotRequest& aRequest, const Selection& aSelection, TimePoint aNow);
  void GrantQueued(TimePoint aNow);
  /// Grants the first queued request that fits an upstream, at this priority or a less urgent one.
  bool GrantFirstFitting(uint32_t aMinPriority, TimePoint aNow);
  /// Grants trials to queued idempotent requests regardless of their position. A trial uses a
  /// suspect, which the requests ahead cannot use.
  void GrantTrials(TimePoint aNow);
  /// Moves requests that cannot meet their latency target any more behind all others.
  void DemoteLateRequests(TimePoint aNow);
  void Enqueue(const SlotRequest& aRequest, const QueueKey& aKey);
  bool IsLate(const SlotRequest& aRequest, TimePoint aNow) const;
  /// Refuses queued requests that cannot meet their deadline, and late ones after a timeout.
  void RefuseUnservable(TimePoint aNow);
  void ExpireLeases(TimePoint aNow);
  void RecordOutcome(Upstream& aUpstream,
                     Outcome aOutcome,
                     Duration aLatency,
                     const Lease& aLease,
                     TimePoint aNow);
  /// Counts the final result of a request for UnservedShare().
  void RecordFinalResult(bool aIsServed, TimePoint aNow);
  /// Share of recent requests that got no good response, 0 to 1.
  double UnservedShare() const;
  Duration ExpectedWait(size_t aRequestsAhead) const;
  uint32_t TotalSlots() const;
  TimePoint LatestStart(const SlotRequest& aRequest) const;
  void Refuse(LeaseId aLease, std::string_view aReason, Duration aRetryAfter, TimePoint aNow);
  uint64_t Random();

  SlotAllocatorInit init_;
  std::map<std::string, Upstream, std::less<>> upstreams_;
  std::map<LeaseId, Lease> leases_;
  std::map<QueueKey, SlotRequest> queue_;
  std::map<LeaseId, QueueKey> queueKeys_;
  Duration serviceTime_;
  RetryWindow retries_;
  size_t shardCount_ = 1;
  TimePoint lastIdempotentRequest_{};
  TimePoint lastLateGrant_{}; ///< Last grant of a late request, or when the first one was demoted.
  uint32_t consecutiveUrgentGrants_ = 0; ///< Urgent grants while less urgent requests waited.
  uint32_t suspectCount_ = 0;
  double recentResults_ = 0;  ///< Exponentially decaying count of requests with a final result.
  double recentUnserved_ = 0; ///< The part of recentResults_ without a good response.
  TimePoint lastResultAt_{};
  uint64_t granted_ = 0;
  uint64_t refused_ = 0;
  uint64_t randomState_;
};

/// Ranks hosts for a key by rendezvous hashing, best first.
std::vector<std::string> RankHosts(std::string_view aKey, std::span<const std::string> aHosts);

/// Maximum number of upstreams per allocator; larger services are divided into shards.
constexpr size_t kUpstreamsPerShard = 64;

/// Number of shards, and thus of allocators, of a service.
size_t ShardCount(size_t aUpstreams);

/// Shard of an upstream, by consistent hashing: few upstreams move when the number
/// of shards changes.
size_t ShardOf(std::string_view aUpstream, size_t aShardCount);

} // namespace bg::placement

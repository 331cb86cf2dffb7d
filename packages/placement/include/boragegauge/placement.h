#pragma once

#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "boragegauge/admission.h"
#include "boragegauge/base.h"
#include "boragegauge/body_bytes.h"
#include "boragegauge/domain_balance.h"
#include "boragegauge/request_queue.h"
#include "boragegauge/retry_budget.h"

/// Admission of requests to the slots of a service: queueing, load shedding and choice of the
/// upstream. Pure decision code without I/O and clocks: callers pass events and the time, and
/// receive grants and refusals.
namespace bg::placement {

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

struct Grant
{
  LeaseId lease;
  std::string upstream;
};

struct Refusal
{
  LeaseId lease;
  /// "no_upstream", "upstreams_paused", "overload" or "retry_budget".
  std::string_view reason;
  Duration retryAfter{ 0 }; ///< Expected time until a slot is free.
};

/// How much the other upstreams of a service need the capacity of a suspect.
enum class CapacityDemand
{
  Spare,   ///< Most of their slots are free.
  Normal,  ///< They have free slots.
  Waiting, ///< Requests wait for slots.

  Count
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
  bool IsTrialDue(bool aIsIdempotent, CapacityDemand aDemand, TimePoint aNow) const;
  uint32_t ConsecutiveFailures() const { return consecutiveFailures_; }
  /// Share of recent requests that the upstream refused, 0 to 1.
  double RefusedShare(TimePoint aNow) const;
  /// End of the pause after a refusal, during which the upstream gets no requests.
  TimePoint PausedUntil() const { return pausedUntil_; }
  /// Time since the last failure; before the first one, since the epoch of the clock.
  Duration TimeSinceFailure(TimePoint aNow) const { return aNow - lastFailure_; }
  /// Time since the upstream became a suspect. Only valid for a suspect.
  Duration TimeSuspected(TimePoint aNow) const { return aNow - suspectSince_; }
  /// Time since the last success; before the first one, since the epoch of the clock.
  Duration TimeSinceSuccess(TimePoint aNow) const { return aNow - lastSuccess_; }

private:
  void MarkSuspect(Duration aMinBackoff, Duration aMaxBackoff, TimePoint aNow);

  bool isSuspect_ = false;
  uint32_t consecutiveFailures_ = 0;
  uint32_t trialSuccesses_ = 0;
  uint32_t unreachableReports_ = 0;
  Duration backoff_{ 0 };
  TimePoint suspectSince_{};
  TimePoint lastFailure_{};
  TimePoint lastUnreachable_{};
  TimePoint pausedUntil_{};
  TimePoint lastRefused_{};
  double refusedShare_ = 0;
  TimePoint lastSuccess_{};
};

/// The rate of requests that an upstream accepts from all hosts together, as its responses name it,
/// and how much of it is left.
///
/// An allocator sends with a token bucket that holds half a second of requests. Hosts that cannot
/// reach the others know nothing of their requests: time is divided into turns of one request each,
/// and every group of hosts that reach each other uses a part of the turns.
class RequestLimit
{
public:
  /// Rate of an upstream whose responses name no limit.
  static constexpr double kUnlimited = std::numeric_limits<double>::infinity();

  /// Records what a response says. A response that is older than the last one is ignored.
  /// @param aPerSecond kUnlimited if it names no limit.
  /// @return True if the limit has changed.
  bool Record(double aPerSecond, TimePoint aAnsweredAt);

  bool IsInForce() const { return perSecond_ != kUnlimited; }
  double PerSecond() const { return perSecond_; }
  /// When a response first named a limit. Only valid while one is in force.
  TimePoint Since() const { return since_; }
  /// Time of the last response that was recorded.
  TimePoint AnsweredAt() const { return answeredAt_; }

  /// Rate at which requests are sent. It is not 0, so that the end of the limit is found.
  double SendRate() const;
  /// Whether the allocator may send a request now.
  bool MaySend(TimePoint aNow) const;
  /// Records requests that were sent, whichever host sent them.
  void RecordSends(uint32_t aCount, TimePoint aNow);
  /// Whether a group of hosts that cannot reach the others may send a request now.
  /// @param aHosts All hosts. @param aGroup Hosts in the group.
  /// @param aNumber Tells the groups apart.
  bool HasTurn(size_t aHosts, size_t aGroup, uint64_t aNumber, TimePoint aNow) const;

private:
  double BurstSize() const;
  double TokensAt(TimePoint aNow) const;
  int64_t TurnAt(TimePoint aNow) const;

  double perSecond_ = kUnlimited;
  TimePoint since_{};
  TimePoint answeredAt_{};
  double tokens_ = 0; ///< Requests that may be sent, as of countedAt_; negative: overdrawn.
  TimePoint countedAt_{};
  int64_t lastTurn_ = -1; ///< Of the last request.
};

/// Finds out when too many upstreams of a service are left without work.
///
/// Non-idempotent requests keep to upstreams that have just succeeded. Without a bound, a service
/// with spare capacity would be served by a few upstreams, and the loss of these would hit all of
/// its requests while healthy upstreams are idle. Answers the load of a service whose traffic needs
/// less than its healthy upstreams can serve.
class CoverageMonitor
{
public:
  /// Sets how many upstreams may be healthy, and how many of these are idle.
  void Update(size_t aIdle, size_t aHealthy, double aRequestsPerSecond);
  /// Whether the next request should go to an idle upstream: more than the allowed share is idle,
  /// and the share of requests that are sent to idle upstreams leaves room for it.
  bool IsDue() const;
  void OnGrant(bool aIsCoverage);

private:
  bool isIdleShareHigh_ = false; ///< And there are enough requests.
  double grants_ = 0;            ///< Exponentially decaying count.
  double coverageGrants_ = 0;    ///< The part of grants_ to idle upstreams.
};

/// An upstream that accepts a limited rate of requests.
struct LimitedUpstream
{
  std::string id;
  RequestLimit limit;
  uint32_t sends = 0; ///< Requests that the allocator has sent to it since TakeLimitedUpstreams().
};

struct SlotAllocatorInit
{
  std::function<void(const Grant&)> onGrant = nullptr;
  std::function<void(const Refusal&)> onRefusal = nullptr;
  RetryBudget::Init retries{}; ///< Of the whole service.
  uint64_t seed = 1;
  /// Requests stay in their failure domain while it can run them, also where idempotent requests
  /// test the upstreams, see SlotAllocator::PrefersOwnDomain().
  bool alwaysPrefersOwnDomain = false;
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

/// The requests of one priority that wait for a slot.
struct PriorityStats
{
  uint32_t priority = 0;
  size_t waiting = 0;
  Duration longestWait{ 0 }; ///< Since the request arrived.
};

/// Number of refused requests by priority and reason, see Refusal::reason.
using RefusalCounts = std::map<std::pair<uint32_t, std::string>, uint64_t>;

/// A slot in use.
struct HeldLease
{
  LeaseId lease;
  std::string upstream;
  bool idempotent = false;
  TimePoint deadline{}; ///< Of its request.
};

/// Grants the slots of a group of upstreams to requests of all hosts.
///
/// Requests that find no free slot are queued, see RequestQueue, or refused on arrival, see
/// DecideAdmission(). A queued request is refused as soon as it will miss its deadline because load
/// or capacity have changed.
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

  /// Whether any upstream may be used for a request, now or later.
  bool HasCandidate(const SlotRequest& aRequest) const;

  /// Picks an upstream without queueing and regardless of free slots. For hosts that cannot reach
  /// the shared allocator. @return Id of the upstream; empty when all are excluded or limited.
  /// @param aHosts Hosts that may do the same; they share the limits of upstreams.
  std::string PickUpstream(const SlotRequest& aRequest, size_t aHosts, TimePoint aNow);

  /// Records a lease that was not granted by this allocator, so that its slot counts as used.
  void AddLease(const SlotRequest& aRequest, std::string_view aUpstream, TimePoint aNow);

  /// Ends a lease, or removes a queued request.
  /// @param aLatency Time from sending the request to its response; 0 when unknown.
  void Release(LeaseId aLease, Outcome aOutcome, Duration aLatency, TimePoint aNow);

  /// Removes the queued requests of a process that is gone. Its leases stay until they expire.
  /// @param aHost See LeaseId::host.
  void DropQueued(uint64_t aHost);
  /// Forgets the leases of a process, which another allocator counts from now on.
  void DropLeases(uint64_t aHost, TimePoint aNow);
  /// The leases, for the allocator that replaces this one.
  std::vector<HeldLease> Leases() const;

  /// Records the rate of requests that a response of an upstream names, see RequestLimit::Record().
  /// @return True if the limit of the upstream has changed.
  bool RecordLimit(std::string_view aUpstream, double aPerSecond, TimePoint aAnsweredAt);
  /// Sets how many of all hosts use this allocator or would, including its own host. An allocator
  /// that less than half of them reach uses a part of the limits of upstreams.
  void SetReach(size_t aReachable, size_t aHosts);
  /// Retry budget of the shard, for what hosts report.
  RetryBudget& Retries() { return retries_; }
  /// Counts requests that another allocator has sent against the limit of an upstream.
  void RecordSends(std::string_view aUpstream, uint32_t aCount, TimePoint aNow);

  /// Expires leases, grants queued requests and refuses those that cannot meet their deadline. To
  /// be called periodically.
  void Tick(TimePoint aNow);

  SlotAllocatorStats Stats() const;
  /// What leaves each failure domain, and why.
  const DomainBalance& Domains() const { return domains_; }
  /// The priorities with requests that wait, most urgent first.
  std::vector<PriorityStats> WaitingByPriority(TimePoint aNow) const;
  /// Refused requests since the start.
  const RefusalCounts& Refusals() const { return refusals_; }
  /// The upstreams that name a limit.
  std::vector<LimitedUpstream> LimitedUpstreams() const;
  /// The same, and resets LimitedUpstream::sends.
  std::vector<LimitedUpstream> TakeLimitedUpstreams();
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
    RequestLimit limit{};
    uint32_t limitedSends = 0; ///< See LimitedUpstream::sends.
    BodyBytesInFlight bodies{};
    uint32_t inFlight = 0;
    uint32_t trialsInFlight = 0;
    bool isReserved = false; ///< It runs an isolated request and gets no other one.
    bool isOverdue = false;  ///< It has not answered a request for much longer than usual.
    TimePoint lastGrantAt{};
    size_t domain = 0;       ///< See DomainBalance::IndexOf().
    double latencyRatio = 1; ///< Moving average of latency relative to that of the service.
  };
  /// For DomainBalance::RecordResult().
  struct LeaseDomains
  {
    size_t home = 0;
    Duration successAge{ 0 };
  };
  struct Lease
  {
    std::string upstream;
    TimePoint startedAt;
    TimePoint expiresAt;
    bool isTrial = false;
    bool isFinalAttempt = false; ///< A failure is returned to the caller, not retried.
    bool isIsolated = false;     ///< See SlotRequest::isIsolated.
    size_t bodyBytes = 0;
    std::optional<LeaseDomains> domains{}; ///< Unset if the upstream was a suspect.
  };
  /// Properties of a request and of the shard that hold for all upstreams of one selection.
  struct SelectionContext
  {
    Duration waited{ 0 };
    bool isFirstAttempt = false;
    bool isRetry = false;
    bool isExploring = false;      ///< Finds out which upstreams are healthy.
    bool mayCover = false;         ///< May be sent to an upstream because that is idle.
    bool mayRunTrial = false;      ///< A failed trial is within the retry budget.
    bool mayAwaitProof = false;    ///< Can wait until another request has proved an upstream.
    bool isProofAwaited = false;   ///< Queued requests wait for a proven upstream.
    uint32_t suspectThreshold = 0; ///< Consecutive failures of a suspect.
    size_t unaidedHosts = 0;       ///< Hosts that place requests without the allocator; 0: it does.
    double unservedShare = 0;
    CapacityDemand demand = CapacityDemand::Normal;
  };
  struct Selection
  {
    Upstream* upstream = nullptr;
    bool isTrial = false;
    bool isSuspect = false;
    bool isCoverage = false; ///< The upstream was idle for too long.
    CrossingReason reason = CrossingReason::None;
    /// The queued non-idempotent requests do not use this upstream, so that the request may bypass
    /// them.
    bool mayBypassQueue = false;
  };

  /// An upstream as one request sees it.
  struct Candidate
  {
    enum Rank
    {
      Preferred,
      Healthy,
      Suspect
    };
    Upstream* upstream = nullptr;
    Rank rank = Healthy;
    bool isUsable = false; ///< The request may be sent to it now.
    bool isFree = false;   ///< It has a free slot and is not paused.
    bool isSuspect = false;
    bool isSlow = false;     ///< It is slow or refuses requests.
    bool isUnproven = false; ///< The request waits for a proven upstream instead.
    bool isTrial = false;
    bool isStarved = false;
    bool mayBypassQueue = false; ///< See Selection.
  };

  /// What a request of one failure domain may find out about upstreams of another, or of its own.
  struct DomainTests
  {
    /// It may test whether an upstream is healthy. The requests of the domain of the upstream do so
    /// if there are any.
    bool mayTest = false;
    bool isPathProbeDue = false; ///< See DomainBalance.
  };

  /// @param aRequireFreeSlot Skip upstreams that have no free slot or refused a request just now.
  Selection SelectUpstream(const SlotRequest& aRequest,
                           const SelectionContext& aContext,
                           TimePoint aNow,
                           bool aRequireFreeSlot);
  /// Finds the upstreams that a request may use, and sums up those of each failure domain.
  void CollectCandidates(size_t aHome,
                         const SlotRequest& aRequest,
                         const SelectionContext& aContext,
                         TimePoint aNow,
                         bool aRequireFreeSlot);
  /// @return Nothing if the request must never be sent to the upstream.
  std::optional<Candidate> EvaluateCandidate(Upstream& aUpstream,
                                             const DomainTests& aTests,
                                             const SlotRequest& aRequest,
                                             const SelectionContext& aContext,
                                             TimePoint aNow,
                                             bool aRequireFreeSlot);
  DomainTests TestsOf(size_t aHome,
                      size_t aDomain,
                      const SelectionContext& aContext,
                      TimePoint aNow) const;
  void RecordDomain(const SlotRequest& aRequest, TimePoint aNow);
  /// Whether requests stay in their failure domain while it can run them. If not, they follow the
  /// upstreams of any domain that have just succeeded, and leave their domain for a small cost.
  bool PrefersOwnDomain(TimePoint aNow) const;
  std::optional<LeaseDomains> RecordDomainGrant(const SlotRequest& aRequest,
                                                const Selection& aSelection,
                                                TimePoint aNow);
  /// Cost of an upstream, without that of its failure domain.
  double Cost(const Upstream& aUpstream, bool aIsExploring, TimePoint aNow);
  /// Returns true when so many upstreams are suspects that the cause is not in single ones.
  bool IsServiceWideFault() const;
  bool HasRecentIdempotentRequests(TimePoint aNow) const;
  SelectionContext MakeContext(const SlotRequest& aRequest, TimePoint aNow) const;
  CapacityDemand Demand() const;
  /// Returns true when the upstream has had no work for so long that it should be used next.
  bool IsStarved(const Upstream& aUpstream, const SelectionContext& aContext, TimePoint aNow) const;
  /// Whether a request to the upstream would exceed its limit.
  bool IsOverLimit(const Upstream& aUpstream,
                   const SelectionContext& aContext,
                   TimePoint aNow) const;
  /// Whether this allocator is cut off from most hosts, which may use another one.
  bool IsInMinority() const { return 2 * reachableHosts_ < hosts_; }
  /// The part of the retry budget of the service that belongs to this allocator.
  RetryBudget::Share RetryShare() const;
  /// Slots that the limit of the upstream allows to use.
  double UsableSlots(const Upstream& aUpstream) const;
  /// Returns true when the upstream has not succeeded recently.
  static bool IsUnproven(const Upstream& aUpstream, TimePoint aNow);
  /// Returns true when the upstream is not a suspect, or one that may have recovered by now.
  static bool MayBeHealthy(const Upstream& aUpstream, TimePoint aNow);
  /// Returns true when the upstream may be healthy and could have work, but had none for a while.
  static bool IsIdle(const Upstream& aUpstream, TimePoint aNow);
  /// Returns true when there are too few idempotent requests to reach each healthy upstream in
  /// time.
  bool AreIdempotentRequestsScarce(TimePoint aNow) const;
  void UpdateCoverage(TimePoint aNow);
  void UpdateOverdue(TimePoint aNow);
  /// See Tick().
  void Update(TimePoint aNow);
  void GrantSlot(const SlotRequest& aRequest, const Selection& aSelection, TimePoint aNow);
  void GrantQueued(TimePoint aNow);
  /// Grants the first queued request that fits an upstream. @param aPriority Of this priority only.
  bool GrantFirstFitting(std::optional<uint32_t> aPriority, TimePoint aNow);
  /// Grants trials to queued idempotent requests regardless of their position. A trial uses a
  /// suspect, which the requests ahead cannot use.
  void GrantTrials(TimePoint aNow);
  /// Moves requests that cannot meet their latency target any more behind all others.
  void DemoteLateRequests(TimePoint aNow);
  bool IsLate(const SlotRequest& aRequest, TimePoint aNow) const;
  /// Slots that the queued requests can expect.
  ServiceCapacity Capacity() const;
  /// Refuses a request that has just been queued if it cannot start in time.
  void Admit(const SlotRequest& aRequest, TimePoint aNow);
  /// Refuses a request that was queued.
  void RefuseWaiting(LeaseId aLease, bool aHasCandidate, Duration aWait, TimePoint aNow);
  /// Whether a request may be sent as far as the retry budget is concerned, which it is charged to.
  bool TakeRetry(const SlotRequest& aRequest, TimePoint aNow);
  /// Refuses queued requests that cannot meet their deadline any more, and late ones after a
  /// timeout.
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
  /// Requests with a final result per second, over the last second.
  double ResultRate(TimePoint aNow) const;
  void Refuse(const SlotRequest& aRequest,
              std::string_view aReason,
              Duration aRetryAfter,
              TimePoint aNow);
  uint64_t Random();

  SlotAllocatorInit init_;
  std::map<std::string, Upstream, std::less<>> upstreams_;
  std::map<LeaseId, Lease> leases_;
  RequestQueue queue_;
  Duration serviceTime_;
  RetryBudget retries_;
  RetryReserve retryReserve_;
  CoverageMonitor coverage_;
  DomainBalance domains_;
  std::vector<Candidate> candidates_;    ///< Of the current selection.
  std::vector<DomainSlots> domainSlots_; ///< The same, by failure domain.
  std::vector<DomainTests> domainTests_; ///< By failure domain.
  size_t shardCount_ = 1;
  size_t reachableHosts_ = 1; ///< See SetReach().
  size_t hosts_ = 1;
  TimePoint lastUpdate_{};
  uint32_t totalSlots_ = 0;
  bool isOverdueCommon_ = false; ///< So many upstreams are overdue that the service is slow.
  double usableSlots_ =
    0; ///< Slots that the limits of the upstreams allow to use, as of the last tick.
  double expectedSlots_ = 0;    ///< See Capacity().
  double healthySlots_ = 0;     ///< The same of the upstreams that are no suspects.
  double recentIdempotent_ = 0; ///< Exponentially decaying count, as of lastIdempotentRequest_.
  size_t healthyUpstreams_ = 0; ///< Upstreams that may be healthy, as of the last update.
  TimePoint lastIdempotentRequest_{};
  TimePoint lastOtherRequest_{};
  uint32_t consecutiveUrgentGrants_ = 0; ///< Urgent grants while less urgent requests waited.
  uint32_t lastLessUrgent_ = 0; ///< Priority that got the last slot kept for less urgent requests.
  uint32_t suspectCount_ = 0;
  double recentResults_ = 0;  ///< Exponentially decaying count of requests with a final result.
  double recentUnserved_ = 0; ///< The part of recentResults_ without a good response.
  TimePoint lastResultAt_{};
  uint64_t granted_ = 0;
  uint64_t refused_ = 0;
  RefusalCounts refusals_;
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

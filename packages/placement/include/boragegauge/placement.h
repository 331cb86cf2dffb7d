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

/// Queueing, refusing and placing of requests on the slots of one service. Pure decision code:
/// events and the time come in, grants and refusals go out.
namespace bg::placement {

/// Names one request at one host of the fleet.
struct LeaseId
{
  uint64_t host = 0;     ///< Hash of the requesting host and its incarnation.
  uint64_t sequence = 0; ///< Unique at that host.
  friend auto operator<=>(const LeaseId&, const LeaseId&) = default;
};

/// How the work on a slot ended.
enum class Outcome
{
  Good,
  Failed,      ///< Error, invalid or incomplete response.
  TimedOut,    ///< No response by the deadline.
  Refused,     ///< The upstream said that it did not run the request.
  Unreachable, ///< No connection; nothing was sent.
  Misdirected, ///< Another upstream has the address.
  Cancelled,   ///< The caller has gone.

  Count
};

std::string_view ToString(Outcome aOutcome);

/// An upstream that may receive work.
struct UpstreamSlots
{
  std::string id;
  std::string failureDomain;
  uint32_t slots = 1;
  TimePoint coldUntil{};   ///< Slower than usual before this time.
  int64_t incarnation = 0; ///< Differs after a restart under the same id.
  bool isSuspect = false;  ///< When new here: another allocator suspects it.
};

struct SlotRequest
{
  LeaseId lease;
  std::string failureDomain; ///< Of the requesting host.
  bool idempotent = false;
  bool isRepeat = false; ///< The request was sent to another upstream before.
  uint32_t priority = 0; ///< 0 is the most urgent.
  TimePoint receivedAt{};
  size_t bodyBytes = 0;             ///< Of the request.
  TimePoint aimBy{};                ///< A response by then is worth most.
  TimePoint deadline{};             ///< A response after it is of no use.
  std::vector<std::string> exclude; ///< Upstreams that were tried or cannot be reached.
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
  Duration retryAfter{ 0 }; ///< When a slot is expected to be free.
};

/// Health of one upstream, derived from outcomes of real work.
///
/// One failure makes an upstream a suspect, because failures come in spells and single ones are
/// cheap to disprove: a suspect gets idempotent requests as trials and is readmitted by successes.
class UpstreamHealth
{
public:
  /// @param aStartedAt When the work was granted; successes of earlier work do not clear a failure.
  void Observe(Outcome aOutcome, TimePoint aStartedAt, TimePoint aNow, bool aTrial);

  /// Takes the judgement of another allocator.
  void Mirror(bool aIsSuspect, TimePoint aNow);

  bool IsSuspect() const { return isSuspect_; }
  /// A trial may be started. @param aIdempotent The request may be repeated when the trial fails.
  /// @param aSlotsAreShort Requests wait for slots, so that readmission matters more than its cost.
  bool IsTrialDue(bool aIdempotent, bool aSlotsAreShort, TimePoint aNow) const;
  uint32_t FailuresInRow() const { return failuresInRow_; }
  /// Share of recent requests that the upstream refused, 0 to 1.
  double RefusedShare(TimePoint aNow) const;
  TimePoint RefusedUntil() const { return refusedUntil_; }
  Duration FailureAge(TimePoint aNow) const { return aNow - lastFailure_; }
  /// Time since the last success; a success at the start of the process is assumed.
  Duration SuccessAge(TimePoint aNow) const { return aNow - lastSuccess_; }

private:
  void Fail(Duration aMinBackoff, Duration aMaxBackoff, TimePoint aNow);

  bool isSuspect_ = false;
  uint32_t failuresInRow_ = 0;
  uint32_t trialSuccesses_ = 0;
  uint32_t unreachable_ = 0;
  Duration backoff_{ 0 };
  TimePoint lastFailure_{};
  TimePoint lastUnreachable_{};
  TimePoint refusedUntil_{};
  TimePoint lastRefused_{};
  double refusedShare_ = 0;
  TimePoint lastSuccess_{};
};

/// Sliding budget for sending requests to a second upstream.
class RetryWindow
{
public:
  struct Init
  {
    double ratio = 0.2; ///< Repeats per request.
    double slack = 0;   ///< Repeats allowed beside the ratio.
    Duration window = std::chrono::seconds(10);
  };
  explicit RetryWindow(const Init& aInit);

  void OnRequest(TimePoint aNow);
  /// Takes one repeat. @param aSharers Windows that share the slack.
  /// @param aPart Part of the budget that may be used up by this kind of repeat.
  bool TryTake(size_t aSharers, TimePoint aNow, double aPart = 1);

private:
  static constexpr size_t kBuckets = 10;
  struct Bucket
  {
    int64_t index = -1;
    uint32_t requests = 0;
    uint32_t repeats = 0;
  };
  Bucket& At(TimePoint aNow);

  Init init_;
  std::array<Bucket, kBuckets> buckets_;
};

struct SlotAllocatorInit
{
  std::function<void(const Grant&)> onGrant = nullptr;
  std::function<void(const Refusal&)> onRefusal = nullptr;
  RetryWindow::Init retries{}; ///< Of the whole service.
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
  double serviceTimeMs = 0; ///< Moving average of good responses.
};

/// Grants the slots of a group of upstreams to requests of all hosts.
///
/// Requests that find no slot wait. Those that can still be answered in time go first, then the
/// more urgent ones, then by arrival. A request whose turn comes too late is refused as soon as
/// that is known.
class SlotAllocator
{
public:
  explicit SlotAllocator(SlotAllocatorInit aInit);

  /// @param aShards Allocators that serve the service.
  void SetUpstreams(std::span<const UpstreamSlots> aUpstreams, TimePoint aNow, size_t aShards = 1);

  /// Grants, refuses or queues. A repeated lease is answered again, so that a lost answer does no
  /// harm. @return False when the request waits.
  bool Request(const SlotRequest& aRequest, TimePoint aNow);

  /// Chooses at once from what this host knows, for use without the allocator of the fleet. Empty
  /// when no upstream is left.
  std::string PickNow(const SlotRequest& aRequest, TimePoint aNow);

  /// Counts a lease that was granted elsewhere.
  void Adopt(const SlotRequest& aRequest, std::string_view aUpstream, TimePoint aNow);

  /// Ends a lease, or a wait for one. @param aLatency Time from the request to its response.
  void Release(LeaseId aLease, Outcome aOutcome, Duration aLatency, TimePoint aNow);

  /// Grants what has become possible, refuses what has become hopeless, ends abandoned leases.
  void Tick(TimePoint aNow);

  SlotAllocatorStats Stats() const;
  /// Names of the upstreams that are suspects.
  std::vector<std::string> Suspects() const;
  /// Takes the suspects of the allocator that serves the same upstreams, in case this one takes
  /// over.
  void Mirror(std::span<const std::string> aSuspects, TimePoint aNow);

private:
  struct Upstream
  {
    UpstreamSlots slots;
    UpstreamHealth health;
    uint32_t inFlight = 0;
    uint32_t trials = 0;
    TimePoint lastStart{};
    double latencyRatio = 1; ///< Moving average of latency over the service's.
  };
  struct Lease
  {
    std::string upstream;
    TimePoint startedAt;
    TimePoint expiresAt;
    bool isTrial = false;
    bool isLastTry = false; ///< The caller gets a failure of the upstream.
  };
  /// Order of the queue.
  struct Place
  {
    bool isLate; ///< The response would come after its aim.
    uint32_t priority;
    TimePoint receivedAt;
    LeaseId lease;
    friend auto operator<=>(const Place&, const Place&) = default;
  };
  struct Choice
  {
    Upstream* upstream = nullptr;
    bool isTrial = false;
  };

  Choice Choose(const SlotRequest& aRequest, TimePoint aNow, bool aOnlyFree);
  double Cost(const Upstream& aUpstream, const SlotRequest& aRequest, TimePoint aNow);
  bool IsSharedProblem() const;
  /// Whether idempotent requests are there to try suspects.
  bool LeavesTrials(TimePoint aNow) const;
  bool IsNeglected(const Upstream& aUpstream, bool aIdempotent, TimePoint aNow) const;
  void Start(const SlotRequest& aRequest, const Choice& aChoice, TimePoint aNow);
  void GrantWaiting(TimePoint aNow);
  bool GrantFirst(uint32_t aMinPriority, TimePoint aNow);
  void StartTrials(TimePoint aNow);
  void MarkLate(TimePoint aNow);
  void Enqueue(const SlotRequest& aRequest, const Place& aPlace);
  bool IsLate(const SlotRequest& aRequest, TimePoint aNow) const;
  void RefuseHopeless(TimePoint aNow);
  void ExpireLeases(TimePoint aNow);
  void CountOutcome(Upstream& aUpstream,
                    Outcome aOutcome,
                    Duration aLatency,
                    const Lease& aLease,
                    TimePoint aNow);
  void CountServed(bool aIsServed, TimePoint aNow);
  double UnservedShare() const;
  Duration ExpectedWait(size_t aAhead) const;
  uint32_t Capacity() const;
  TimePoint LatestStart(const SlotRequest& aRequest) const;
  void Refuse(LeaseId aLease, std::string_view aReason, Duration aRetryAfter, TimePoint aNow);
  uint64_t Random();

  SlotAllocatorInit init_;
  std::map<std::string, Upstream, std::less<>> upstreams_;
  std::map<LeaseId, Lease> leases_;
  std::map<Place, SlotRequest> waiting_;
  std::map<LeaseId, Place> places_;
  Duration serviceTime_;
  RetryWindow retries_;
  size_t shards_ = 1;
  TimePoint lastIdempotent_{};
  TimePoint lastLateGrant_{};
  uint32_t urgentGrants_ = 0; ///< In a row while less urgent requests waited.
  uint32_t suspects_ = 0;
  double answered_ = 0; ///< Recent requests with a final answer, fading.
  double unserved_ = 0; ///< Those among them that were not served.
  TimePoint lastCounted_{};
  uint64_t granted_ = 0;
  uint64_t refused_ = 0;
  uint64_t random_;
};

/// Orders hosts by rendezvous hash for a key, best first.
std::vector<std::string> RankHosts(std::string_view aKey, std::span<const std::string> aHosts);

/// Upstreams that one allocator serves at most; larger services are divided.
constexpr size_t kUpstreamsPerShard = 64;

/// Number of allocators of a service.
size_t ShardCount(size_t aUpstreams);

/// Allocator that serves an upstream. Few upstreams move when the number of allocators changes.
size_t ShardOf(std::string_view aUpstream, size_t aShards);

} // namespace bg::placement

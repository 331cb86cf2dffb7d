#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "boragegauge/placement.h"
#include "boragegauge/quarantine.h"
#include "domain_crossings_p.h"
#include "messages_p.h"
#include "response_sizes_p.h"
#include "slot_queues_p.h"
#include "upstream_notices_p.h"

namespace bg::fleet::detail {

/// A request for a slot of an upstream.
struct SlotQuery
{
  std::string requestId;    ///< For logs.
  uint64_t fingerprint = 0; ///< See RequestFingerprint().
  std::string service;
  bool idempotent = false;
  bool isRetry = false; ///< The request was sent to an upstream before.
  uint32_t priority = 0;
  std::shared_ptr<const ClientAccount> account; ///< Null: the request belongs to none.
  /// Identifies the request for the quota of its account, through all its attempts: it is charged
  /// once. See FleetControl::SettleCharge(). 0: it has a single attempt.
  uint64_t charge = 0;
  size_t bodyBytes = 0;
  TimePoint receivedAt{};
  TimePoint targetBy{}; ///< Latency target; default-constructed: none.
  TimePoint deadline{};
  std::vector<std::string> exclude; ///< Upstreams that were tried or are unreachable.
};

/// The granted upstream, or the reason why no slot was granted.
struct SlotResult
{
  bool isGranted = false;
  bool isSuspectTrial = false; ///< The request is suspected to crash upstreams.
  RegisteredUpstream upstream;
  std::string reason; ///< Why the slot was refused.
  Duration retryAfter{ 0 };
};

/// SlotResult::reason of a request over the quota of its account. It has not been sent.
constexpr const char* kQuotaReason = "quota";

using SlotCallback = std::function<void(SlotResult)>;

/// How the use of a slot ended.
struct SlotReport
{
  placement::Outcome outcome = placement::Outcome::Cancelled;
  Duration latency{ 0 }; ///< From sending the request to its response; 0: unknown.
  /// Requests per second that the response names, or RequestLimit::kUnlimited; nothing if there was
  /// no response of the upstream.
  std::optional<double> requestLimit;
  TimePoint answeredAt{}; ///< Of the response that names requestLimit.
  bool isLeaving = false; ///< The response says that the upstream leaves.
  /// The upstream wants no requests of this host for so long.
  std::optional<Milliseconds> pause;
  /// Fingerprint of the request if the upstream has answered it, so that it does not crash
  /// upstreams; 0: there was no response.
  uint64_t survivor = 0;
  size_t responseBytes = 0; ///< Of header fields and body; 0: there was no whole response.
};

/// When to come back to a host that turns a suspect request away because it is on trial. A trial
/// takes about as long as the request.
constexpr Duration kTrialRetryAfter = std::chrono::seconds(1);

/// Name of a shard of a service.
std::string ShardKey(std::string_view aService, size_t aShard);

/// Number of hosts that use one of the shards of a service, on average.
size_t HostsPerShard(size_t aHosts, size_t aShards);

struct SlotClientInit
{
  Members* members = nullptr;
  const Registry* registry = nullptr;
  std::function<void(std::string_view aHost, wire::Envelope aMessage)> send = nullptr;
  /// Runs a callback once after a delay; a destroyed handle cancels it.
  std::function<std::shared_ptr<void>(Duration, std::function<void()>)> runAfter = nullptr;
  std::function<TimePoint()> now = nullptr;
  /// This host has learned something that all hosts have to know: that an upstream leaves, or of a
  /// request that crashes upstreams.
  std::function<void()> onNews = nullptr;
  /// The upstreams that accept requests may have changed.
  std::function<void(std::span<const RegisteredUpstream* const>)> onUpstreams = nullptr;
  bool alwaysPrefersOwnDomain = true;          ///< See FleetInit.
  placement::RetryBudget::Init retries{};      ///< Budget per service, over all hosts.
  bool isFirstStart = false;                   ///< No process of the fleet has run before this one.
  Duration responseTimeout = Milliseconds(60); ///< Until the next allocator is asked.
  Duration queueCheckInterval = Milliseconds(200);    ///< Between repeats of a queued request.
  Duration suspectsShareInterval = Milliseconds(500); ///< Between messages with the suspects.
};

struct SlotClientStats
{
  uint64_t granted = 0;
  uint64_t refused = 0;
  uint64_t localFallbacks = 0; ///< Requests placed by this host because no allocator responded.
  uint64_t timeouts = 0;       ///< Requests to which an allocator did not respond.
};

/// Acquires slots for the requests of this host from the allocators of the fleet, and allocates the
/// slots of the shards whose allocator is this host. Control thread only.
///
/// The allocator of a shard is the first host of a rendezvous ranking. Its state is not replicated:
/// hosts report the slots that they hold to a new allocator, and select upstreams themselves if no
/// allocator responds.
class SlotClient
{
public:
  explicit SlotClient(SlotClientInit aInit);
  SlotClient(const SlotClient&) = delete;
  SlotClient& operator=(const SlotClient&) = delete;

  /// Requests a slot.
  /// @param aSequence Identifies the request and its slot at this host.
  /// @param aCallback Called once, possibly before this call returns, unless the request is
  /// released first.
  void Acquire(uint64_t aSequence, SlotQuery aQuery, SlotCallback aCallback);
  /// Returns a slot, or cancels the request for one.
  void Release(uint64_t aSequence, const SlotReport& aReport);

  void HandleMessage(const wire::Envelope& aMessage);
  /// Records which process of a host has sent a message, and drops the queued requests of an
  /// earlier one. Its leases stay until they expire, because upstreams may still run its requests.
  /// @return Key of the process in leases.
  uint64_t RecordProcess(const wire::Member& aMember);
  /// Applies the upstreams of the registry to the shards. Must be called when the registry has
  /// changed.
  void UpdateUpstreams(TimePoint aNow);
  void Tick(TimePoint aNow);
  /// Moves the requests and slots of this host from an allocator that is stopping to the next one.
  /// If this host is stopping, it also forgets the requests and slots of others, which do the same.
  void LeaveAllocator(std::string_view aHost);
  /// Drops the queued requests of the earlier process of a host that has started again, and tells
  /// the host of the slots in use of the shards that it allocates now.
  void OnRestarted(const Member& aMember);

  /// The other hosts that are the allocator of a shard or would replace it.
  std::vector<std::string> Allocators(TimePoint aNow) const;
  const SlotClientStats& Stats() const { return stats_; }
  /// Records that upstreams leave, as a peer reports. @return True if any was not known.
  bool HandleLeaving(std::span<const LeavingUpstream> aUpstreams);
  /// The upstreams that leave while their entries in the store do not say so.
  std::vector<LeavingUpstream> UnregisteredLeaving() const;
  /// Number of upstreams that have said that they leave and still have an entry, by service.
  std::map<std::string, size_t> LeavingUpstreams() const;
  /// Number of upstreams that want no requests of this host now, by service.
  std::map<std::string, size_t> PausedUpstreams() const;
  /// Records that an upstream wants no requests of this host for a while, as the response to a
  /// request that this host has relayed says.
  void ReportPause(const std::string& aUpstream,
                   int64_t aStartedAtMs,
                   Milliseconds aPause,
                   TimePoint aAnsweredAt);
  /// Records that an upstream has crashed under a request of this host.
  /// @param aRequestId For logs. @param aTarget Target of the request, for logs.
  void ReportCrash(uint64_t aFingerprint,
                   quarantine::Crash aCrash,
                   std::string_view aRequestId,
                   std::string_view aTarget);
  /// Adds what a peer knows of requests that crash upstreams. @return True if any was not known.
  bool HandleSuspectRequests(std::span<const quarantine::SuspectRequest> aRequests,
                             std::string_view aPeer);
  const quarantine::RequestQuarantine& Quarantine() const { return quarantine_; }
  /// Fingerprints of requests that this host has seen quarantined or cleared since they were last
  /// written to the store.
  std::set<uint64_t>& UnsavedSuspects() { return unsavedSuspects_; }
  /// Number of upstreams with a limit in force, by service, as far as this host knows them.
  std::map<std::string, size_t> LimitedUpstreams() const;
  /// Requests that have left their failure domain by grants of this host.
  std::vector<DomainCrossings> Crossings() const;
  /// Requests that wait at the allocators of this host, by service and priority.
  QueueMetrics Queues() const;
  std::string Describe() const; ///< One "shard=... " line for each shard, for /state.

private:
  /// "queue=... " and "refused=... " lines of one shard, for /state.
  std::string DescribeQueue(const std::string& aKey,
                            const placement::SlotAllocator& aAllocator) const;
  struct Shard
  {
    std::unique_ptr<placement::SlotAllocator> allocator;
    std::string allocatorHost;         ///< Host that this host asks for slots; empty: none yet.
    uint32_t queueLength = 0;          ///< As of the last response of the allocator.
    std::vector<std::string> suspects; ///< As of the last LogSuspects(), sorted.
    std::set<std::string> leftDomains; ///< As of the last LogDomains().
    std::unordered_map<uint64_t, TimePoint> limitsSentAt; ///< With answers, by HostKey().
    TimePoint lastRequestAt{}; ///< Last request for a slot that this host served.
    std::map<uint64_t, placement::RetryUsage> counted; ///< See RecordCounted().
  };
  /// A request of this host that waits for a slot.
  struct PendingRequest
  {
    SlotQuery query;
    SlotCallback callback;
    std::string shard;
    std::string
      allocatorHost;       ///< Host that was asked; empty: this host selects the upstream itself.
    uint32_t timeouts = 0; ///< Allocators that did not respond.
    uint32_t pausedGrants = 0; ///< Grants of paused upstreams, which were turned down.
    bool isQueued = false;
    bool isCounted = false;      ///< For the retry budget, see RetryBudget.
    bool isSuspectTrial = false; ///< See quarantine::Decision::Trial.
    std::shared_ptr<void> timer;
  };
  /// A limit that an upstream has named. It is kept when the upstream moves to another shard or its
  /// entry in the store expires for a while.
  struct KnownLimit
  {
    int64_t startedAtMs = 0; ///< Of the upstream.
    double perSecond = placement::RequestLimit::kUnlimited;
    TimePoint answeredAt{};
    std::string source; ///< Host that received the response.
  };
  /// A slot that a request of this host uses.
  struct HeldSlot
  {
    std::string shard;
    std::vector<std::string> allocators; ///< Hosts that granted the slot or were told of it.
    std::string upstream;
    int64_t startedAtMs = 0; ///< Of the upstream.
    bool idempotent = false;
    TimePoint deadline{};
  };

  /// Returns the shard, which is created with its upstreams if necessary.
  Shard& GetShard(std::string_view aKey);
  /// Applies the upstreams of the registry to some shards.
  void FillShards(std::span<const std::string> aKeys, TimePoint aNow);
  /// Part of the retry budget for requests that this host places itself. Its slack belongs to the
  /// allocators.
  placement::RetryBudget& LocalRetryBudget(const std::string& aService);
  /// Records that a process has counted a request for the retry budget. @param aHolder Its
  /// HostKey(), or kPlacedLocally.
  void RecordCounted(PendingRequest& aPending, uint64_t aHolder);
  /// What others than a process have counted for requests of this host to a shard.
  placement::RetryCounts CountedElsewhere(const Shard& aShard, uint64_t aHolder) const;
  /// Whether this process knows all that was counted for this host within the window of the retry
  /// budget.
  bool KnowsRetryWindow() const;
  bool IsSharedSuspect(std::string_view aUpstream, TimePoint aNow) const;
  std::string SelectShard(const std::string& aService);
  void SelectUsedShards();
  /// Whether an upstream accepts new requests, as far as this host knows.
  bool IsAccepting(const RegisteredUpstream& aUpstream) const;
  /// @return True if it was not known, so that the shards have to be updated.
  bool RecordLeaving(const LeavingUpstream& aUpstream);
  void RecordPause(const HeldSlot& aSlot, Milliseconds aPause, TimePoint aAnsweredAt);
  /// The upstreams of a service that are paused for this host.
  std::vector<std::string> PausedUpstreams(std::string_view aService, TimePoint aNow) const;
  /// Finds a shard with an upstream that is not paused for the request. @return False if it was
  /// refused because there is none.
  bool FindUnpausedShard(uint64_t aSequence, TimePoint aNow);
  /// Gives up the place of a request in the queue of its allocator.
  void CancelAtAllocator(uint64_t aSequence, const PendingRequest& aPending);
  void RequestSlot(uint64_t aSequence);
  /// Returns a granted slot that this host must not use, and places the request elsewhere.
  void RejectGrant(uint64_t aSequence, const std::string& aUpstream, bool aIsPaused);
  /// Calls a function that ends the wait of a request for the grant in progress, at once or, if the
  /// allocator of this host is going through its queue, right after that.
  void AfterGrant(uint64_t aSequence, std::function<void()> aFunction);
  /// Decides whether a request may be sent, by what is known of its earlier attempts. @return False
  /// if it was refused.
  bool CheckQuarantine(uint64_t aSequence);
  /// Allocator of the requests with a fingerprint: one for all hosts.
  std::string TrialShard(const std::string& aService, uint64_t aFingerprint) const;
  /// Refuses a request that is on trial elsewhere. @return False if it was refused.
  bool StartTrial(uint64_t aSequence, TimePoint aNow);
  void NotifyNews();
  void RecordSurvival(uint64_t aFingerprint, TimePoint aNow);
  void LogCrash(uint64_t aFingerprint,
                const quarantine::Crash& aCrash,
                std::string_view aRequestId,
                std::string_view aTarget) const;
  void PlaceElsewhere(uint64_t aSequence, bool aAskAgain);
  void OnResponseTimer(uint64_t aSequence);
  void PlaceLocally(uint64_t aSequence);
  void OnGranted(uint64_t aSequence, const std::string& aUpstream);
  void OnRefused(uint64_t aSequence, std::string aReason, Duration aRetryAfter);
  /// Makes a host the allocator of a shard and tells it what it has not granted itself.
  void UseAllocator(const std::string& aKey, Shard& aShard, const std::string& aHost);
  /// Whether this host is stopping and another one allocates the shard.
  bool HasHandedOver(std::string_view aShard);
  /// Tells a host that this one is stopping.
  void SendLeaving(const std::string& aHost);
  /// Tells the next allocator of a shard which slots are in use, and forgets what other hosts have
  /// at the one of this host.
  void HandOver(const std::string& aKey, Shard& aShard, const std::string& aSuccessor);
  /// Passes on the end of a slot to the allocator that this host has handed a shard over to.
  void ForwardRelease(uint64_t aHolder, const wire::Envelope& aMessage);
  /// Tells a host of a slot that it has not granted.
  void SendHolding(const std::string& aHost, uint64_t aSequence, HeldSlot& aSlot);
  void SendRelease(std::string_view aHost,
                   uint64_t aSequence,
                   std::string_view aShard,
                   const HeldSlot* aSlot,
                   const SlotReport& aReport);
  placement::SlotRequest MakeRequest(uint64_t aSequence, const SlotQuery& aQuery) const;
  void OnAllocatorGrant(std::string_view aShard, const placement::Grant& aGrant);
  void OnAllocatorRefusal(const placement::Refusal& aRefusal);
  void HandleRequest(const wire::Envelope& aMessage);
  void HandleAnswer(const wire::Envelope& aMessage);
  void HandleRelease(const wire::Envelope& aMessage);
  void HandleHolding(const wire::Envelope& aMessage);
  void HandleSuspects(const wire::Suspects& aSuspects);
  void ShareSuspects(TimePoint aNow);
  /// @param aSource Host that received the response.
  void RecordLimit(std::string_view aShard,
                   std::string_view aUpstream,
                   double aPerSecond,
                   TimePoint aAnsweredAt,
                   std::string_view aSource);
  /// Tells the allocator of a shard how many hosts reach this one.
  void UpdateReach(std::string_view aKey, Shard& aShard, TimePoint aNow);
  /// Records that this host serves a request for a slot of the shard.
  void RecordServing(std::string_view aKey, Shard& aShard, TimePoint aNow);
  void ShareLimits(std::string_view aShard,
                   placement::SlotAllocator& aAllocator,
                   std::span<const std::string> aHosts);
  /// Adds the limits of the upstreams of a shard to an answer, if the host has not got them
  /// recently.
  void AddLimits(std::string_view aShard, uint64_t aHostKey, wire::SlotAnswer& aAnswer);
  /// Tells a new allocator of a shard the limits that this host knows.
  void ReportLimits(std::string_view aHost, std::string_view aShard);
  /// Encodes the limits of a shard. @param aWithSends For other allocators.
  wire::Limits EncodeLimits(std::string_view aShard,
                            std::span<const placement::LimitedUpstream> aUpstreams,
                            bool aWithSends) const;
  void HandleLimits(const wire::Limits& aMessage);
  /// Logs each failure domain that requests have begun or ceased to leave for lack of healthy free
  /// slots.
  static void LogDomains(std::string_view aKey, Shard& aShard, TimePoint aNow);
  /// One "domain=..." line for each failure domain that requests have left.
  static std::string DescribeDomains(std::string_view aKey, const Shard& aShard, TimePoint aNow);
  static void LogSuspects(std::string_view aKey, Shard& aShard);
  const std::string& Self() const { return init_.members->Self().host; }
  /// A process of a host.
  struct HostProcess
  {
    std::string host;
    uint64_t incarnation = 0;
  };
  /// Key of a process in leases.
  static uint64_t HostKey(const wire::Member& aMember);
  /// Starts an answer to a request of another host.
  wire::Envelope MakeAnswer(const placement::LeaseId& aLease, wire::SlotAnswer::Kind aKind) const;
  /// Sends an answer to the host of a lease, unless that has been replaced by another process.
  void SendAnswer(const placement::LeaseId& aLease, wire::Envelope aAnswer);

  SlotClientInit init_;
  uint64_t selfKey_;
  TimePoint startedAt_;
  std::map<std::string, Shard, std::less<>> shards_;
  std::unordered_map<std::string, size_t> shardCounts_; ///< By service.
  /// Shards of each service to which this host sends requests.
  std::unordered_map<std::string, std::vector<std::string>> usedShards_;
  std::unordered_map<std::string, placement::RetryBudget> localRetryBudgets_;
  std::unordered_map<uint64_t, PendingRequest> pendingRequests_;
  std::unordered_map<uint64_t, HeldSlot> heldSlots_;
  std::vector<wire::Envelope> earlyHoldings_; ///< Received before the upstreams were known.
  std::unordered_map<uint64_t, HostProcess> processes_;          ///< By HostKey().
  std::map<std::string, uint64_t, std::less<>> processKeys_;     ///< HostKey() by host.
  std::map<std::string, TimePoint, std::less<>> sharedSuspects_; ///< Expiry by upstream.
  std::map<std::string, KnownLimit, std::less<>> limits_;        ///< By upstream.
  ResponseSizes responseSizes_;
  UpstreamNotices notices_;
  quarantine::RequestQuarantine quarantine_;
  std::set<uint64_t> unsavedSuspects_;
  quarantine::TrialLocks trials_; ///< Of the shards that this host allocates.
  TimePoint nextSuspectsShare_{};
  uint64_t roundRobin_ = 0; ///< Position for SelectShard().
  SlotClientStats stats_;
};

} // namespace bg::fleet::detail

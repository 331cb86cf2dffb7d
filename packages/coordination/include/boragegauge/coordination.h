#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "boragegauge/base.h"
#include "boragegauge/platform.h"
#include "boragegauge/protocol.h"
#include "boragegauge/records.h"

/// Coordination of one proxy with its peers and the platform. No class is thread-safe: all calls
/// and the callbacks of the platform must run on the control thread. Tick() performs all work that
/// is due and may be called at any rate; every 100 ms is enough for all classes. The objects behind
/// plain pointers belong to the caller and must outlive the class that uses them. Example:
///
///   1. PeerSender sender({ "p1", incarnation, transportSend });
///   2. Membership membership({ .sender = &sender, .platform = platform, ... });
///   3. On each message: if (auto m = membership.Receive(bytes)) { sync.Handle(*m); ... }
///   4. Every 100 ms: membership.Tick(Now()); sync.Tick(Now()); ...
namespace bg {

using ClockHook = std::function<TimePoint()>;
using RecordHook = std::function<void(DecisionRecord)>;
using PeersHook = std::function<std::vector<std::string>()>;

struct PeerSenderInit
{
  std::string host;
  /// Identifies this run of the process and is higher after each restart, for example the start
  /// time in ms; never 0.
  uint64_t incarnation = 0;
  std::function<void(std::string_view aHost, std::string_view aBytes)> send = nullptr;
};

/// Encodes the messages of this proxy, numbers them and passes them to PeerSenderInit::send.
class PeerSender
{
public:
  explicit PeerSender(PeerSenderInit aInit);
  /// Returns the encoded size in bytes.
  size_t Send(std::string_view aHost, PeerBody aBody);
  const std::string& Host() const { return init_.host; }
  uint64_t Incarnation() const { return init_.incarnation; }
  uint64_t BytesSent() const { return bytesSent_; }

private:
  PeerSenderInit init_;
  uint64_t sequence_ = 0;
  uint64_t bytesSent_ = 0;
};

/// State of one other proxy.
struct PeerInfo
{
  std::string host;
  std::string address;
  uint16_t port = 0; ///< 0 until the host list or a heartbeat names the address.
  std::string failureDomain;
  uint64_t incarnation = 0; ///< 0 until the first message.
  ProxyState state = ProxyState::Starting;
  TimePoint lastReceivedAt; ///< When the last message was received from the peer.
  /// The last heartbeat of the peer shows that it receives from this proxy.
  bool receivesFromUs = false;
  uint64_t revision = 0; ///< Active configuration revision in the last heartbeat.
};

/// Address of a peer whose host name is unknown.
struct SeedAddress
{
  std::string address; ///< IP address.
  uint16_t port = 0;
};

struct MembershipInit
{
  PeerSender* sender = nullptr;
  Platform* platform = nullptr;
  ClockHook now = nullptr;
  /// Returns the heartbeat of this proxy; heardIncarnation is filled in for each recipient.
  std::function<Heartbeat()> heartbeat = nullptr;
  /// Called when the address of a peer is set or changes, for PeerTransport::SetPeer.
  std::function<void(const PeerInfo& aPeer)> onPeer = nullptr;
  std::function<void(std::string_view aHost)> onPeerRemoved = nullptr;
  /// Called with the whole host list after each successful read.
  std::function<void(const std::vector<HostEntry>& aHosts)> onHosts = nullptr;
  /// Heartbeats are also sent to these addresses while no peer is live, so that a proxy finds its
  /// peers when it starts without access to the host list.
  std::vector<SeedAddress> seeds;
  Milliseconds heartbeatInterval{ 1000 };
  Milliseconds hostsInterval{ 1000 };
  Milliseconds peerTimeout{ 5000 }; ///< A peer without a message for this time is not live.
};

struct MembershipStats
{
  uint64_t received = 0;
  uint64_t malformed = 0;
  /// Messages dropped for their incarnation or sequence, as sent by this host itself, or as one
  /// peer too many.
  uint64_t outdated = 0;
};

/// Tracks the peers by the host list and their heartbeats. Decides only where messages are sent
/// (docs/design.md, section 5.8).
class Membership
{
public:
  explicit Membership(MembershipInit aInit);
  ~Membership();

  void Tick(TimePoint aNow);

  /// Decodes a message and updates the state of its sender. Returns nothing for a malformed message
  /// and for one that is counted as outdated.
  std::optional<PeerMessage> Receive(std::string_view aBytes);

  /// All peers with a known address, live or not. Leaving notices and verdicts are sent to them.
  std::vector<std::string> Peers() const;
  /// Peers from which a message was received within peerTimeout.
  std::vector<std::string> LivePeers(TimePoint aNow) const;
  std::optional<PeerInfo> Find(std::string_view aHost) const;

  /// Selects up to aCount proxies that aggregate the evidence of an upstream, by rendezvous hashing
  /// with the highest score first. Candidates are this proxy and the live peers that are ready, not
  /// leaving and receive from this proxy.
  std::vector<std::string> Aggregators(uint64_t aUpstreamKey, size_t aCount, TimePoint aNow) const;
  /// Host of the one proxy that reads the health endpoint of an upstream, by consistent hashing
  /// over the candidates of Aggregators(). Cheap enough to be called for each of 24,000 upstreams
  /// every 2 s, because the hash ring is only rebuilt when the candidates change.
  std::string HealthReader(uint64_t aUpstreamKey, TimePoint aNow) const;

  const MembershipStats& Stats() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

struct ConfigurationSyncInit
{
  PeerSender* sender = nullptr;
  Platform* platform = nullptr;
  ClockHook now = nullptr;
  /// Validates a body whose digest matches. Returns the problem, or an empty string if it is valid.
  std::function<std::string(std::string_view aBody)> validate = nullptr;
  /// Called when a revision becomes active.
  std::function<void(uint64_t aRevision, const std::string& aDigest, const std::string& aBody)>
    onActivated = nullptr;
  RecordHook record = nullptr;
  Milliseconds pollInterval{ 1000 };
  Milliseconds maxBackoff{ 4000 };
  Milliseconds callDeadline{ 800 };
  /// A proxy with peers is not ready after this time without contact to the store and to any peer.
  Milliseconds isolationTimeout{ 4000 };
  /// A new proxy is not ready before this time, so that a heartbeat of each peer can arrive.
  Milliseconds startupWait{ 1500 };
  bool testAllowLower = false; ///< Test only: activates lower revisions.
  bool testAllowFork = false;  ///< Test only: activates another digest of the same revision.
};

struct ConfigurationSyncStats
{
  uint64_t polls = 0;
  uint64_t pollFailures = 0;
  uint64_t activated = 0;   ///< Revisions that became active.
  uint64_t rejected = 0;    ///< Revisions whose body is invalid.
  uint64_t forks = 0;       ///< Other digests received for a revision while it was active.
  uint64_t regressions = 0; ///< Versions of the head row below the active revision.
  uint64_t repairs = 0;     ///< Regressed heads that this proxy replaced.
};

/// Activates the highest accepted configuration from the store and the peers (docs/design.md,
/// section 5.7). The active revision never decreases. A store that was restored from an older copy
/// is repaired.
class ConfigurationSync
{
public:
  explicit ConfigurationSync(ConfigurationSyncInit aInit);
  ~ConfigurationSync();

  void Tick(TimePoint aNow);
  /// Uses heartbeats, configuration requests and replies; ignores other messages.
  void Handle(const PeerMessage& aMessage);

  /// Whether startup has completed with an active configuration and this proxy is not isolated from
  /// the store and all peers.
  bool Ready(TimePoint aNow) const;
  uint64_t Revision() const;
  const std::string& Digest() const;
  const std::string& Body() const;
  const ConfigurationSyncStats& Stats() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

/// Capacity of a service in the view of this proxy.
struct ServiceHealth
{
  /// Ids of the upstreams that are configured, live, not leaving and not cold. Ejected upstreams
  /// are included.
  std::vector<std::string> healthy;
  uint32_t floor = 0; ///< Minimum number of healthy upstreams that must not be ejected.
};

/// An active ejection; it ends at a deadline on the local monotonic clock.
struct Ejection
{
  std::string service;
  std::string upstream;
  std::string holder; ///< Host of the proxy that holds the permit.
  std::string recordId;
  TimePoint deadline;
};

enum class PermitEvent
{
  Granted,
  FloorReached,    ///< Denied: fewer healthy upstreams than the floor would remain.
  HeldByOther,     ///< Denied: another proxy has already ejected the upstream.
  NotHealthy,      ///< Denied: the upstream is not healthy, so it needs no ejection.
  Unavailable,     ///< Denied: no response of the table led to a decision in time.
  Released,        ///< Ended by Release().
  ReleasedByFloor, ///< Ended because fewer healthy upstreams than the floor remained.
  LeaseLost,       ///< The lease was not renewed in time, for example after a pause.

  Count
};

std::string_view ToString(PermitEvent aEvent);

struct EjectionPermitsInit
{
  std::string host;
  uint64_t incarnation = 0;
  Platform* platform = nullptr;
  ClockHook now = nullptr;
  std::function<std::vector<std::string>()> services = nullptr; ///< Configured services.
  std::function<ServiceHealth(std::string_view aService)> health = nullptr;
  std::function<void(PermitEvent aEvent, const std::string& aService, const std::string& aUpstream)>
    onEvent = nullptr;
  Milliseconds lease{ 6000 };      ///< Validity of a permit after each renewal.
  Milliseconds renewAfter{ 2000 }; ///< Age of the lease at which it is renewed.
  /// An expired entry stays in the row and counts against the floor for this time, which
  /// compensates for clocks of different rates.
  Milliseconds removeAfterExpiry{ 1000 };
  Milliseconds pollInterval{ 1000 };
  Milliseconds callDeadline{ 800 };
  Milliseconds acquireTimeout{ 3000 }; ///< A request that is older is denied with Unavailable.
  bool testIgnoreFloor = false;        ///< Test only: grants and applies without the floor check.
  bool testIgnoreLease = false;        ///< Test only: applies and renews ejections after expiry.
  bool testUnconditional = false;      ///< Test only: commits without the condition on the version.
  bool testFreeReleased = false;       ///< Test only: a released entry frees capacity at once.
};

struct EjectionPermitsStats
{
  uint64_t commits = 0;
  uint64_t conflicts = 0;
  uint64_t unknownOutcomes = 0; ///< Commits whose response was lost.
  uint64_t granted = 0;
  uint64_t leasesLost = 0; ///< LeaseLost events.
};

/// Permits to eject upstreams from the whole fleet. A permit is a lease in the table row
/// ejections/SERVICE; all proxies together respect the floor of the service (docs/design.md,
/// section 5.2).
class EjectionPermits
{
public:
  explicit EjectionPermits(EjectionPermitsInit aInit);
  ~EjectionPermits();

  void Tick(TimePoint aNow);

  /// Requests a permit. Unless Release() is called first, the request ends with exactly one event:
  /// Granted or a denial. A granted permit is renewed until it ends with Released, ReleasedByFloor
  /// or LeaseLost.
  void Acquire(std::string_view aService, std::string_view aUpstream, std::string aRecordId);
  void Release(std::string_view aService, std::string_view aUpstream);

  /// Active ejections within the floor, by grant time and then upstream id. A caller that stores
  /// the result must check each deadline before using it.
  std::vector<Ejection> Ejected(TimePoint aNow) const;
  std::vector<Ejection> Ejected(std::string_view aService, TimePoint aNow) const;
  /// Whether this proxy holds the permit and its lease is valid.
  bool Holds(std::string_view aService, std::string_view aUpstream, TimePoint aNow) const;
  const EjectionPermitsStats& Stats() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

enum class ClaimStatus
{
  Won,                 ///< The request may be sent once.
  AlreadyDone,         ///< The request was completed before; `outcome` is its response.
  InProgressOrUnknown, ///< Another claim of the key has no outcome.
  KeyReused,           ///< The key was used for a request with another digest.
  StoreUnavailable,    ///< The key was not claimed; the request must not be sent.

  Count
};

std::string_view ToString(ClaimStatus aStatus);

struct ClaimRequest
{
  std::string service;
  std::string account;
  std::string idempotencyKey;
  std::string requestDigest; ///< SHA-256 of method, target and body.
};

struct ClaimResult
{
  ClaimStatus status = ClaimStatus::StoreUnavailable;
  std::string rowKey;   ///< Set if Won: identifies the claim in later calls.
  ClaimOutcome outcome; ///< Set if AlreadyDone.
};

struct ClaimStoreInit
{
  Platform* platform = nullptr;
  ClockHook now = nullptr;
  std::function<uint32_t()> retentionHours = nullptr; ///< Age at which a claim is deleted.
  /// Services whose expired claims this proxy deletes, for example assigned by
  /// Membership::HealthReader.
  std::function<std::vector<std::string>()> sweptServices = nullptr;
  Milliseconds callDeadline{ 1000 };
  Milliseconds retryInterval{ 500 };     ///< Delay before an outcome or deletion is retried.
  Milliseconds outcomeTimeout{ 600000 }; ///< Retries of an outcome or deletion end after this time.
  Milliseconds sweepInterval{ 2000 }; ///< Time between reads of 1/256 of the keys of one service.
  size_t sweepLimit = 16;           ///< Maximum number of rows deleted by one sweep, in one commit.
  size_t maxUndecidedClaims = 1024; ///< Maximum number of undecided claims; more are refused.
  bool testTrustLostResponse = false;   ///< Test only: treats a lost response as a won claim.
  bool testIgnoreExistingClaim = false; ///< Test only: commits a claim over an existing row.
};

struct ClaimStoreStats
{
  uint64_t won = 0;
  uint64_t refused = 0;         ///< StoreUnavailable.
  uint64_t unknownOutcomes = 0; ///< Commits whose response was lost.
  uint64_t outcomesStored = 0;
  uint64_t outcomesDropped = 0; ///< Not stored, by timeout or because the row was replaced.
  uint64_t swept = 0;           ///< Expired claims deleted by this proxy.
};

/// Claims idempotency keys in the table, so that at most one proxy sends the request of a key
/// (docs/design.md, section 5.4).
class ClaimStore
{
public:
  using Callback = std::function<void(ClaimResult)>;

  explicit ClaimStore(ClaimStoreInit aInit);
  ~ClaimStore();

  void Tick(TimePoint aNow);

  /// Claims a key. The callback is called exactly once: possibly before Claim() returns,
  /// and at the latest by the first Tick() at or after the deadline.
  void Claim(ClaimRequest aRequest, TimePoint aDeadline, Callback aCallback);

  /// Stores the response to the request of a won claim; retried for up to outcomeTimeout.
  void Complete(const std::string& aRowKey, ClaimOutcome aOutcome);

  /// Deletes a won claim whose request was certainly not executed, so that the key can be used
  /// again.
  void Release(const std::string& aRowKey);

  /// Leaves a won claim in the table without an outcome, because it is unknown whether its request
  /// was executed. The key stays in use until the claim expires.
  void Abandon(const std::string& aRowKey);

  const ClaimStoreStats& Stats() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

/// Marks an upstream as leaving.
struct LeavingMark
{
  std::string service;
  std::string upstream;
  std::string bootId;
  std::string source;   ///< Origin of the first signal, for example host_list.
  TimePoint lastSignal; ///< The mark ends markLifetime later.
};

struct LeavingMarksInit
{
  PeerSender* sender = nullptr;
  PeersHook peers = nullptr;
  /// Called when a mark is set or ends, so that the routing snapshot can be updated.
  std::function<void(const LeavingMark& aMark, bool aLeaving)> onChange = nullptr;
  Milliseconds markLifetime{ 60000 };
  /// Minimum time between notices for one upstream. Notices are repeated while signals continue, so
  /// that the marks of the peers do not end.
  Milliseconds noticeInterval{ 20000 };
};

/// Tracks the upstreams that are leaving and therefore get no new requests (docs/design.md,
/// section 5.6).
class LeavingMarks
{
public:
  explicit LeavingMarks(LeavingMarksInit aInit);
  ~LeavingMarks();

  void Tick(TimePoint aNow);

  /// Handles a leaving signal that this proxy received itself. Notifies the peers of the first
  /// signal and then at most every noticeInterval.
  void Signal(std::string_view aService,
              std::string_view aUpstream,
              std::string_view aBootId,
              std::string_view aSource,
              TimePoint aNow);
  /// Reports the boot id with which the upstream runs; ends a mark of another boot id.
  void ObserveBoot(std::string_view aService, std::string_view aUpstream, std::string_view aBootId);
  /// Uses leaving notices; ignores other messages.
  void Handle(const PeerMessage& aMessage, TimePoint aNow);

  bool IsLeaving(std::string_view aService, std::string_view aUpstream, TimePoint aNow) const;
  std::vector<LeavingMark> Marks(TimePoint aNow) const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

struct EvidenceExchangeInit
{
  PeerSender* sender = nullptr;
  std::string failureDomain;
  /// Hosts to which the counts of an upstream are reported; may include this proxy. For example
  /// Membership::Aggregators(aUpstreamKey, 2, now).
  std::function<std::vector<std::string>(uint64_t aUpstreamKey)> aggregators = nullptr;
  PeersHook peers = nullptr; ///< Recipients of verdicts.
  /// Called with the counts of a proxy for which this proxy is an aggregator, also with its own
  /// counts.
  std::function<void(std::string_view aHost, const EvidenceReport& aReport)> onReport = nullptr;
  std::function<void(std::string_view aHost, const Verdict& aVerdict)> onVerdict = nullptr;
  Milliseconds reportInterval{ 200 };
  double bytesPerSecond = 3000; ///< Refill rate of the token bucket.
  double burstBytes = 3000;     ///< Size of the token bucket.
};

struct EvidenceExchangeStats
{
  uint64_t reports = 0;
  uint64_t reportBytes = 0;
  uint64_t postponed =
    0; ///< Upstreams left for the next interval, by lack of tokens or aggregators.
};

/// Sends evidence to the aggregators, limited by a token bucket, and verdicts to all peers
/// (docs/design.md, section 4.1).
class EvidenceExchange
{
public:
  explicit EvidenceExchange(EvidenceExchangeInit aInit);
  ~EvidenceExchange();

  void Tick(TimePoint aNow);
  /// Adds the outcomes of an upstream. They are reported once a failed or slow one is among them.
  void Add(const EvidenceCounts& aCounts);
  /// Sends a verdict at once. It consumes tokens but does not wait for them.
  void Publish(const Verdict& aVerdict);
  /// Uses evidence reports and verdicts; ignores other messages.
  void Handle(const PeerMessage& aMessage);
  const EvidenceExchangeStats& Stats() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

struct RecordUploaderInit
{
  std::string host;
  uint64_t incarnation = 0;
  Platform* platform = nullptr;
  RecordRing* ring = nullptr;
  std::function<int64_t()> wallClockMs = nullptr;
  Milliseconds interval{ 5000 };
  Milliseconds callDeadline{ 2000 };
  size_t batchLimit = 1000;
};

struct RecordUploaderStats
{
  uint64_t batches = 0;
  uint64_t records = 0;
  uint64_t failures = 0;
};

/// Stores decision records as objects decisions/HOST/INCARNATION-SEQUENCE with one JSON record per
/// line.
class RecordUploader
{
public:
  explicit RecordUploader(RecordUploaderInit aInit);
  ~RecordUploader();

  void Tick(TimePoint aNow);
  /// Starts an upload of the pending records unless one is in progress, for example before the
  /// process ends.
  void Flush();
  bool Busy() const; ///< An upload is in progress.
  const RecordUploaderStats& Stats() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace bg

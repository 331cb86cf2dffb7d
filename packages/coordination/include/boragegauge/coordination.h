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

/// Control work of one proxy. All classes belong to the control thread: calls, ticks and the
/// callbacks of the platform run there. Tick() does what is due and may be called at any rate;
/// 100 ms is enough for all of them. Example:
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
  uint64_t incarnation = 0; ///< For example the start time in ms; never 0.
  std::function<void(std::string_view aHost, std::string_view aBytes)> send = nullptr;
};

/// Numbers and encodes the messages of this proxy.
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

/// What is known about one other proxy.
struct PeerInfo
{
  std::string host;
  std::string address;
  uint16_t port = 0; ///< 0: not in the host list.
  std::string failureDomain;
  uint64_t incarnation = 0; ///< 0: never heard.
  ProxyState state = ProxyState::Starting;
  TimePoint lastHeard;
  bool hearsUs = false; ///< By its last heartbeat.
  uint64_t revision = 0;
};

/// A peer whose host name is not known yet.
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
  /// Fields of the own heartbeat, without heardIncarnation.
  std::function<Heartbeat()> heartbeat = nullptr;
  /// A peer appeared or moved, for PeerTransport::SetPeer.
  std::function<void(const PeerInfo& aPeer)> onPeer = nullptr;
  std::function<void(std::string_view aHost)> onPeerRemoved = nullptr;
  /// The whole host list, after each successful read.
  std::function<void(const std::vector<HostEntry>& aHosts)> onHosts = nullptr;
  /// Addresses to which heartbeats go while no peer is heard, for a start without the host list.
  std::vector<SeedAddress> seeds;
  Milliseconds heartbeatInterval{ 1000 };
  Milliseconds hostsInterval{ 1000 };
  Milliseconds peerTimeout{ 5000 }; ///< A peer not heard from for so long is not used.
};

struct MembershipStats
{
  uint64_t received = 0;
  uint64_t malformed = 0;
  uint64_t outdated = 0; ///< Dropped by incarnation or sequence.
};

/// Peers from the host list and heartbeats. Only decides where messages go (section 5.8).
class Membership
{
public:
  explicit Membership(MembershipInit aInit);
  ~Membership();

  void Tick(TimePoint aNow);

  /// Decodes a message and updates the peer. Empty for a malformed message and for one of an older
  /// incarnation or sequence.
  std::optional<PeerMessage> Receive(std::string_view aBytes);

  /// Peers that notices are sent to: all in the host list.
  std::vector<std::string> Peers() const;
  /// Peers heard from within peerTimeout.
  std::vector<std::string> LivePeers(TimePoint aNow) const;
  std::optional<PeerInfo> Find(std::string_view aHost) const;

  /// The proxies that pool the evidence of an upstream, best first, this proxy included. Only
  /// ready peers that are heard and that hear this proxy.
  std::vector<std::string> Aggregators(uint64_t aUpstreamKey, size_t aCount, TimePoint aNow) const;
  /// The one proxy that reads the health endpoint of an upstream, by a hash ring that is rebuilt
  /// when the usable peers change. Cheap enough to ask for each of 24,000 upstreams every 2 s.
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
  /// Problem of a body whose digest is right; empty when it is valid.
  std::function<std::string(std::string_view aBody)> validate = nullptr;
  std::function<void(uint64_t aRevision, const std::string& aDigest, const std::string& aBody)>
    onAdopted = nullptr;
  RecordHook record = nullptr;
  Milliseconds pollInterval{ 1000 };
  Milliseconds maxBackoff{ 4000 };
  Milliseconds callDeadline{ 800 };
  Milliseconds isolationLimit{ 4000 }; ///< Not ready when cut off for longer.
  Milliseconds startupWait{ 1500 };    ///< Not ready earlier: each peer's heartbeat can arrive.
  bool testAllowLower = false;         ///< Test only: adopts lower revisions.
  bool testAllowFork = false;          ///< Test only: adopts another digest of the same revision.
};

struct ConfigurationSyncStats
{
  uint64_t polls = 0;
  uint64_t pollFailures = 0;
  uint64_t adopted = 0;
  uint64_t rejected = 0;
  uint64_t forks = 0;
  uint64_t regressions = 0;
  uint64_t repairs = 0; ///< Committed by this proxy.
};

/// Accepted configuration from the store and the peers (section 5.7).
class ConfigurationSync
{
public:
  explicit ConfigurationSync(ConfigurationSyncInit aInit);
  ~ConfigurationSync();

  void Tick(TimePoint aNow);
  /// Uses heartbeats, configuration requests and replies; ignores other messages.
  void Handle(const PeerMessage& aMessage);

  /// Has a configuration and contact to the store or a peer.
  bool Ready(TimePoint aNow) const;
  uint64_t Revision() const;
  const std::string& Digest() const;
  const std::string& Body() const;
  const ConfigurationSyncStats& Stats() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

/// Capacity of a service as this proxy sees it.
struct ServiceHealth
{
  /// Ids of the upstreams that are configured, live, not leaving and not cold. Ejected upstreams
  /// are included.
  std::vector<std::string> healthy;
  uint32_t floor = 0;
};

/// An ejection that holds until a deadline on the local monotonic clock.
struct Ejection
{
  std::string service;
  std::string upstream;
  std::string holder;
  std::string recordId;
  TimePoint deadline;
};

enum class PermitEvent
{
  Granted,
  FloorReached,    ///< Not granted: the floor would not hold.
  HeldByOther,     ///< Not granted: another proxy ejected the upstream already.
  NotHealthy,      ///< Not granted: the upstream is not healthy anyway.
  Unavailable,     ///< Not granted: the table did not answer in time.
  Released,        ///< By Release().
  ReleasedByFloor, ///< The floor did not hold any more.
  LeaseLost,       ///< Not renewed in time, for example after a pause.

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
  Milliseconds lease{ 6000 };
  Milliseconds renewAfter{ 2000 };
  Milliseconds removeAfterExpiry{ 1000 };
  Milliseconds pollInterval{ 1000 };
  Milliseconds callDeadline{ 800 };
  Milliseconds acquireLimit{ 3000 }; ///< Then Unavailable is reported.
  bool testIgnoreFloor = false;      ///< Test only: grants and applies without the floor check.
  bool testIgnoreLease = false;      ///< Test only: applies and renews ejections after expiry.
  bool testUnconditional = false;    ///< Test only: commits without the row's version.
  bool testFreeReleased = false;     ///< Test only: a released entry frees capacity at once.
};

struct EjectionPermitsStats
{
  uint64_t commits = 0;
  uint64_t conflicts = 0;
  uint64_t unknown = 0; ///< Commits whose response was lost.
  uint64_t granted = 0;
  uint64_t lost = 0;
};

/// Permits to eject upstreams from the whole fleet, in the rows ejections/SERVICE (section 5.2).
class EjectionPermits
{
public:
  explicit EjectionPermits(EjectionPermitsInit aInit);
  ~EjectionPermits();

  void Tick(TimePoint aNow);

  /// Asks for a permit; exactly one event other than Released follows. A granted permit is renewed
  /// until Release(), ReleasedByFloor or LeaseLost.
  void Acquire(std::string_view aService, std::string_view aUpstream, std::string aRecordId);
  void Release(std::string_view aService, std::string_view aUpstream);

  /// Ejections in force, in grant order, ties by upstream id, cut by the floor. A caller that keeps
  /// the result must check each deadline when it is used.
  std::vector<Ejection> Ejected(TimePoint aNow) const;
  std::vector<Ejection> Ejected(std::string_view aService, TimePoint aNow) const;
  /// Whether this proxy holds the permit.
  bool Holds(std::string_view aService, std::string_view aUpstream, TimePoint aNow) const;
  const EjectionPermitsStats& Stats() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

enum class ClaimStatus
{
  Won,                 ///< The request may be sent, once.
  AlreadyDone,         ///< Answer with the outcome.
  InProgressOrUnknown, ///< Another claim without outcome exists.
  KeyReused,           ///< The key was used for another request.
  StoreUnavailable,    ///< Not claimed; the request was not and will not be sent.

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
  std::string rowKey; ///< With Won: names the claim in Complete() and Withdraw().
  ClaimOutcome outcome;
};

struct ClaimStoreInit
{
  Platform* platform = nullptr;
  ClockHook now = nullptr;
  std::function<uint32_t()> retentionHours = nullptr;
  /// Services whose old claims this proxy deletes, for example by rendezvous hash.
  std::function<std::vector<std::string>()> sweptServices = nullptr;
  Milliseconds callDeadline{ 1000 };
  Milliseconds retryInterval{ 500 };    ///< Of outcomes and withdrawals.
  Milliseconds outcomeLimit{ 600000 };  ///< Outcomes not stored by then are given up.
  Milliseconds sweepInterval{ 2000 };   ///< One 1/256 part of a service's keys is read each time.
  size_t sweepLimit = 16;               ///< Rows deleted per interval, in one commit.
  size_t maxWaiting = 1024;             ///< Claims in progress; more get StoreUnavailable.
  bool testTrustLostResponse = false;   ///< Test only: takes a lost response as a won claim.
  bool testIgnoreExistingClaim = false; ///< Test only: commits without the condition.
};

struct ClaimStoreStats
{
  uint64_t won = 0;
  uint64_t refused = 0; ///< StoreUnavailable.
  uint64_t unknown = 0; ///< Commits whose response was lost.
  uint64_t outcomesStored = 0;
  uint64_t outcomesGivenUp = 0;
  uint64_t swept = 0;
};

/// Claims of idempotency keys (section 5.4).
class ClaimStore
{
public:
  using Callback = std::function<void(ClaimResult)>;

  explicit ClaimStore(ClaimStoreInit aInit);
  ~ClaimStore();

  void Tick(TimePoint aNow);

  /// Claims a key. The callback is called once, at the deadline at the latest (by Tick()), and
  /// possibly before Claim() returns.
  void Claim(ClaimRequest aRequest, TimePoint aDeadline, Callback aCallback);

  /// Stores the response to a claimed request; retried until outcomeLimit.
  void Complete(const std::string& aRowKey, ClaimOutcome aOutcome);

  /// Deletes a claim whose request was certainly not run, so that the key can be used again.
  void Withdraw(const std::string& aRowKey);

  /// Keeps a claim without outcome, because it is not known whether the request was run.
  void Forget(const std::string& aRowKey);

  const ClaimStoreStats& Stats() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

/// A mark on an upstream that is leaving.
struct LeavingMark
{
  std::string service;
  std::string upstream;
  std::string bootId;
  std::string source;   ///< Of the first signal.
  TimePoint lastSignal; ///< The mark ends markLifetime later.
};

struct LeavingMarksInit
{
  PeerSender* sender = nullptr;
  PeersHook peers = nullptr;
  /// A mark was set or has ended, for the routing snapshot.
  std::function<void(const LeavingMark& aMark, bool aLeaving)> onChange = nullptr;
  Milliseconds markLifetime{ 60000 };
  /// A notice is repeated when signals continue, so that the marks of peers do not end.
  Milliseconds noticeInterval{ 20000 };
};

/// Upstreams that get no new work because they are leaving (section 5.6).
class LeavingMarks
{
public:
  explicit LeavingMarks(LeavingMarksInit aInit);
  ~LeavingMarks();

  void Tick(TimePoint aNow);

  /// A leaving signal that this proxy saw itself.
  void Signal(std::string_view aService,
              std::string_view aUpstream,
              std::string_view aBootId,
              std::string_view aSource,
              TimePoint aNow);
  /// The upstream runs with this boot id; ends the mark of another boot id.
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
  /// For example Membership::Aggregators(aUpstreamKey, 2, now); may include this proxy.
  std::function<std::vector<std::string>(uint64_t aUpstreamKey)> aggregators = nullptr;
  PeersHook peers = nullptr; ///< Recipients of verdicts.
  /// Counts for which this proxy is an aggregator, its own included.
  std::function<void(std::string_view aHost, const EvidenceReport& aReport)> onReport = nullptr;
  std::function<void(std::string_view aHost, const Verdict& aVerdict)> onVerdict = nullptr;
  Milliseconds reportInterval{ 200 };
  double bytesPerSecond = 3000;
  double burstBytes = 3000;
};

struct EvidenceExchangeStats
{
  uint64_t reports = 0;
  uint64_t reportBytes = 0;
  uint64_t postponed = 0; ///< Upstreams that had to wait for the token bucket.
};

/// Sends evidence to the aggregators and verdicts to all peers (section 4.1).
class EvidenceExchange
{
public:
  explicit EvidenceExchange(EvidenceExchangeInit aInit);
  ~EvidenceExchange();

  void Tick(TimePoint aNow);
  /// Adds outcomes. They are sent once there is a failed or slow one.
  void Add(const EvidenceCounts& aCounts);
  /// Sends at once; takes from the token bucket but does not wait for it.
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

/// Stores decision records as objects decisions/HOST/INCARNATION-SEQUENCE, one JSON record a line.
class RecordUploader
{
public:
  explicit RecordUploader(RecordUploaderInit aInit);
  ~RecordUploader();

  void Tick(TimePoint aNow);
  /// Uploads what is pending now, for example before the process ends.
  void Flush();
  bool Busy() const; ///< An upload is in progress.
  const RecordUploaderStats& Stats() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace bg

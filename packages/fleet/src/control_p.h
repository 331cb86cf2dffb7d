#pragma once

#include <algorithm>
#include <atomic>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <span>
#include <thread>

#include "boragegauge/httpd.h"
#include "boragegauge/overlay.h"
#include "boragegauge/peering.h"
#include "boragegauge/relay.h"
#include "configuration_schedule_p.h"
#include "dropped_messages_p.h"
#include "metered_store_p.h"
#include "metrics_p.h"
#include "pending_messages_p.h"
#include "quota_client_p.h"
#include "read_schedule_p.h"
#include "routes_p.h"
#include "shared_document_p.h"
#include "slot_client_p.h"

namespace bg::fleet::detail {

/// On the first start, hosts register within this time, because the store performs only some 100
/// writes per second. They read the members after it.
constexpr Duration kRegisterSpread = Milliseconds(2500);

/// Table of the hosts, and of what they have to know after a stop of all.
constexpr std::string_view kMembersTable = "members";

/// Before anything that counts.
constexpr TimePoint kLongAgo{ -std::chrono::hours(1) };

/// Hosts of a lower order than this are connected to the hosts that a reader sends to, and share
/// their state even if the store does not respond.
constexpr size_t kStandbyReaders = 8;

/// The upstreams that accept requests, by id.
using UpstreamEndpoints = std::map<std::string, RegisteredUpstream, std::less<>>;

/// State that the control thread shares with the traffic threads.
struct FleetShared
{
  std::atomic<std::shared_ptr<const RouteTable>> routes; ///< Null until a configuration is active.
  /// False from the end of a pause of the process until the store or a peer has confirmed the state
  /// of this host. New requests wait while it is false.
  std::atomic<bool> isStateConfirmed{ true };
  /// When the active configuration was last known to be the newest one.
  std::atomic<TimePoint> configurationFreshAt{};
  /// The other hosts that send requests for this one; null until they are known.
  std::atomic<std::shared_ptr<const relay::RelayPeers>> relayPeers;
  /// Null if this host does not relay, or knows no upstreams yet.
  std::atomic<std::shared_ptr<const UpstreamEndpoints>> endpoints;
  /// Called on the control thread after routes has changed or isStateConfirmed has become true.
  /// Must be set before the control thread starts.
  std::function<void()> onRoutes;
  /// Called on the control thread after a pause of the process. Must be set before the control
  /// thread starts.
  std::function<void()> onResumed;
  /// Called on the control thread with the bytes of each message to a host of another failure
  /// domain; may be null. Must be set before the control thread starts.
  std::function<void(std::string_view aDomain, DomainBytesKind aKind, size_t aBytes)> onDomainBytes;
  /// Called on the control thread with the time by which it is late for its regular work; may be
  /// null. Must be set before the control thread starts.
  std::function<void(Duration aDelay)> onControlDelay;
};

/// Where a configuration came from, and the delays of its way to this host.
struct ActivationSource
{
  std::string name;       ///< A peer, or the store.
  TimePoint startedAt{};  ///< When this host began to read it.
  Duration lag{ 0 };      ///< Since this host has known of a newer configuration.
  Duration unconfirmed{}; ///< Since the one before was known to be the newest one.
  Duration backlog{ 0 };  ///< See PeerTransportStats::receiveBacklog.
};

/// Control thread of a host: reads the store, exchanges the state with its peers and acquires slots
/// for requests.
class FleetControl
{
public:
  FleetControl(const FleetInit& aInit, FleetShared& aShared);
  ~FleetControl();
  FleetControl(const FleetControl&) = delete;
  FleetControl& operator=(const FleetControl&) = delete;

  /// Binds the readiness, admin and peer addresses.
  std::optional<Error> Bind();
  void Start();
  const RequestDialect& Dialect() const { return platform_.dialect; }

  /// Makes the readiness check fail and announces the stop to the peers. Callable from any thread,
  /// like the functions below.
  void BeginStop();
  /// Number of connections to the admin address that lose something if the process ends now. Waits
  /// for the control thread.
  size_t Unfinished();
  void Stop();
  /// The callback runs on the control thread.
  void Acquire(uint64_t aSequence, SlotQuery aQuery, SlotCallback aCallback);
  void Release(uint64_t aSequence, const SlotReport& aReport);
  /// See QuotaClient::Settle().
  void SettleCharge(uint64_t aCharge, bool aMayHaveRun);
  /// See SlotClient::ReportPause().
  void ReportPause(std::string aUpstream,
                   int64_t aStartedAtMs,
                   Milliseconds aPause,
                   TimePoint aAnsweredAt);
  /// See SlotClient::ReportCrash().
  void ReportCrash(uint64_t aFingerprint,
                   quarantine::Crash aCrash,
                   std::string aRequestId,
                   std::string aTarget);
  /// Number of upstreams with a request limit in force, by service. Control thread only.
  std::map<std::string, size_t> LimitedUpstreams() const { return slots_->LimitedUpstreams(); }
  /// Number of upstreams that leave by their responses, by service. Control thread only.
  std::map<std::string, size_t> LeavingUpstreams() const { return slots_->LeavingUpstreams(); }
  /// Number of upstreams that want no requests of this host now, by service. Control thread only.
  QueueMetrics Queues() const { return slots_->Queues(); }
  std::map<std::string, size_t> PausedUpstreams() const { return slots_->PausedUpstreams(); }
  /// Requests that have left their failure domain by grants of this host. Control thread only.
  std::vector<DomainCrossings> Crossings() const { return slots_->Crossings(); }
  /// Number of requests that are rejected because they crash upstreams. Control thread only.
  size_t QuarantinedRequests() const { return slots_->Quarantine().CountQuarantined(Now()); }
  /// Control thread only.
  QuotaClientStats QuotaStats() const { return quota_->Stats(); }
  /// Control thread only, like StoreEpoch().
  const MeteredStore::Counts& StoreCallCounts() const { return store_->Calls(); }
  uint64_t StoreEpoch() const { return storeEpoch_.value_or(0); }
  /// Control thread only.
  ConfigurationMetrics ConfigurationState() const;
  /// Sets the source of the metrics page, which is called on the control thread. Must be set before
  /// Start().
  void SetMetrics(std::function<std::string()> aMetrics) { metrics_ = std::move(aMetrics); }

private:
  void Tick();
  QuotaClientInit MakeQuotaInit();
  /// Whether a configuration contains accounts with a quota.
  bool HasQuotas(const std::shared_ptr<const RouteTable>& aRoutes);
  /// Counts and logs by how much the control thread is late.
  void RecordControlDelay(TimePoint aNow);
  void LogDroppedMessages(TimePoint aNow);
  void LogUnconfirmed(TimePoint aNow);
  /// Records that the active configuration was the newest one at a time.
  void ConfirmConfiguration(TimePoint aFreshAt);
  void RevalidateAfterPause(TimePoint aNow);
  void Register();
  TimePoint MembersReadStart() const;
  void ReadMembers();
  void ReadMemberChanges();
  void OnMembersFailure(const Error& aError);
  void ReadUpstreams();
  void ReadConfiguration();
  /// Asks the store for a configuration that is newer than the one of this host. Costs little if
  /// there is none, however large a configuration is.
  void CheckConfiguration();
  void WatchConfiguration();
  void OnUpstreamRows(const StoreRows& aRows, bool aIsIncremental);
  void OnConfigurationRows(const Result<StoreRows>& aRows);
  /// Records that a peer has a newer configuration than this host.
  void RecordNewerConfiguration(const ConfigurationId& aId,
                                const std::string& aPeer,
                                TimePoint aNow);
  void LogConfigurationReadFailure(const Error& aError, TimePoint aRequestedAt);
  /// Whether a configuration would replace the active one.
  bool IsWanted(const ConfigurationId& aId) const;
  /// Position after which a watch returns the configurations that this host does not have.
  StorePosition ConfigurationWatchPosition() const;
  /// Records that the active configuration was written again.
  void RebaseConfiguration(StorePosition aPosition, std::string_view aSource);
  /// Sends the active configuration to a peer whose own one has been replaced for a while.
  void CorrectConfiguration(const ConfigurationId& aId, const std::string& aPeer, TimePoint aNow);
  /// How long this host has known of a newer configuration than the active one; 0: it knows of
  /// none.
  Duration ConfigurationLag(TimePoint aNow) const;
  /// Activates a configuration of the store if it is newer than the one of this host. @return True
  /// if it was activated.
  bool ActivateConfiguration(StorePosition aPosition, std::string aDocument);
  /// Takes the newer configuration of a peer, if its document fits this host. It is passed on by
  /// the caller and activated a moment later, because activation takes long on a small host and all
  /// hosts behind this one would wait for it. @return True if it was taken.
  bool TakeFromPeer(const ConfigurationId& aId,
                    const wire::Document& aDocument,
                    const std::string& aPeer);
  /// Activates the configuration that TakeFromPeer() has taken last.
  void ActivateTaken();
  /// Serves by a configuration from now on.
  void Activate(FleetConfiguration aConfiguration, const ActivationSource& aSource);
  void LogRejectedConfiguration(StorePosition aPosition,
                                std::string_view aSource,
                                const Error& aError);
  /// What is known of a new configuration before it replaces the document of this host.
  ActivationSource DescribeSource(std::string_view aSource) const;
  /// Gets the newer configuration that a peer has reported, from peers or from the store.
  void FetchConfiguration(TimePoint aNow);
  /// Passes on a configuration that this host has got later than its version.
  void ForwardConfiguration(TimePoint aNow);
  void OnRegistryChange(const RegistryChange& aChange, std::string_view aSource);
  void LogUpstreamChanges(const RegistryChange& aChange, std::string_view aSource) const;
  void RecordStoreResult(bool aIsAvailable, const Error* aError);
  /// Records the epoch of the store as of a response or the state of a peer.
  void RecordStoreEpoch(uint64_t aEpoch, std::string_view aSource);
  /// Writes the row of this host again if a restore of the store has lost it.
  void CheckRegistration();
  /// Records a configuration that is not activated, so that it is not fetched again.
  void RejectConfiguration(StorePosition aPosition);

  void HandleMessage(std::string_view aBytes);
  /// Parses a message. @return Nothing if it is malformed or of an unknown sender.
  std::optional<wire::Envelope> ReadMessage(std::string_view aBytes);
  void HandleHello(const wire::Envelope& aMessage);
  void HandleView(const wire::Envelope& aMessage);
  void Send(std::string_view aHost, wire::Envelope aMessage);
  void SendHello(std::string_view aHost);
  /// Asks a peer for its state, and for the members as well if aWantsMembers is true.
  void AskForState(std::string_view aHost, bool aWantsMembers);
  /// Sends a change, or a full snapshot if aChange is null.
  /// @param aWithAllSuspects Add all suspect requests, not only those with news.
  void SendView(std::span<const std::string> aHosts,
                const RegistryChange* aChange,
                const wire::Document* aConfiguration,
                std::span<const std::string> aJoined = {},
                bool aWithAllSuspects = false);
  /// @return True if any request or crash was not known.
  bool HandleSuspects(const google::protobuf::RepeatedPtrField<wire::SuspectRequest>& aRequests,
                      const std::string& aHost,
                      TimePoint aNow);
  void CheckSuspects(const wire::View& aView, const std::string& aHost, TimePoint aNow);
  /// Reads a request that was quarantined before all hosts stopped at once. @return False if the
  /// row is that of a member.
  bool LoadSuspect(const StoreRow& aRow);
  void SaveSuspects(TimePoint aNow);
  void AddSuspectRequests(wire::View& aView, bool aAll, TimePoint aNow) const;
  /// Returns the encoded configuration if it is small enough to go along with a view; otherwise
  /// null.
  /// @param aKnownDigest See SharedDocument::Encode().
  const wire::Document* SmallDocument(uint64_t aKnownDigest) const;
  /// The same for all hosts, most of which have the configuration before.
  const wire::Document* SharedChange() const;
  /// Sends state that this host has read from the store.
  void ShareView(const RegistryChange& aChange,
                 bool aWithConfiguration,
                 std::span<const std::string> aJoined = {});
  void AnswerHello(const wire::Envelope& aMessage);
  void AnswerConfigurationRequest(const wire::Envelope& aMessage);
  void HandleConfiguration(const wire::Envelope& aMessage);
  bool ApplyView(const wire::View& aView, TimePoint aSentAt, RegistryChange& aLocalChange);
  void CheckMembers(const wire::View& aView, const std::string& aHost, TimePoint aNow);
  /// @return True if the member was unknown.
  bool AddMember(const Member& aMember);
  /// Tells the traffic thread which hosts relay requests.
  void ShareRelayPeers();
  void ShareEndpoints(std::span<const RegisteredUpstream* const> aAccepting);
  /// Connects to a member unless there is a connection.
  void ConnectPeer(const std::string& aHost);
  /// Closes a connection that does not get ready, so that the next message opens one. A connection
  /// that failed during a cut may wait for seconds before it is tried again.
  void RenewConnection(const std::string& aHost);
  /// Connects to a host of which only the address is known.
  void ConnectSeed(const std::string& aSeed, const std::string& aAddress);
  void SendOrKeep(PeerMessage aMessage);
  void SendNow(const PeerMessage& aMessage);
  void RecordDrop(const std::string& aHost, DomainBytesKind aKind);
  /// Counts the bytes of a message if the host is in another failure domain.
  void RecordPeerBytes(std::string_view aHost, DomainBytesKind aKind, size_t aBytes) const;
  void SendPendingMessages();
  /// Connects to the allocators that this host uses and to the hosts that it sends state to.
  void ConnectPeers(TimePoint aNow);
  void ConnectStatePeers();
  void RemoveIdlePeers(TimePoint aNow);
  void AskPeerForState(TimePoint aNow);
  void ReadStore(TimePoint aNow);
  void ReadAtStart(TimePoint aNow);
  ReadSchedule::Contact PeerContact(TimePoint aNow) const;
  /// Records what the sender of a view knows of the store. @return True if it is news that the
  /// store fails.
  bool RecordStoreReport(const wire::View& aView, TimePoint aSentAt, TimePoint aNow);

  bool AwaitsPeerState(TimePoint aNow) const;
  bool IsReady() const;
  void ServeAdmin(const HttpRequest& aRequest, HttpReply& aReply);
  Duration Jitter(Duration aMax);

  const FleetInit& init_;
  FleetShared& shared_;
  EventLoop loop_;
  PlatformAdapter platform_;
  MeteredStore* store_ = nullptr; ///< The store of platform_.
  std::unique_ptr<HttpServer> readiness_;
  std::unique_ptr<HttpServer> admin_;
  std::unique_ptr<PeerTransport> transport_;
  std::unique_ptr<Members> members_;
  std::unique_ptr<overlay::Spreader> spreader_;
  Registry registry_;
  ReadSchedule schedule_;
  ConfigurationSchedule configurationSchedule_;
  std::unique_ptr<SlotClient> slots_;
  std::unique_ptr<QuotaClient> quota_;
  std::shared_ptr<const RouteTable> quotaRoutes_; ///< That hasQuotas_ is about.
  std::atomic<bool> hasQuotas_ = false;           ///< Written on the control thread only.
  std::unique_ptr<EventLoop::Timer> tick_;
  std::function<std::string()> metrics_;
  std::thread thread_;
  std::minstd_rand random_;
  struct PeerConnection
  {
    TimePoint lastUse{};
    TimePoint openedAt{};
  };
  std::map<std::string, PeerConnection, std::less<>> connectedPeers_; ///< By host.
  PendingMessages pendingMessages_;
  std::unique_ptr<EventLoop::Timer> pendingTimer_;
  DroppedMessages drops_;   ///< Since the last log line about them.
  uint64_t totalDrops_ = 0; ///< Since the start.

  uint64_t revision_ = 0; ///< Of the active configuration; 0: none.
  /// The active configuration; a newer one while activationTimer_ is set.
  SharedDocument document_;
  std::unique_ptr<EventLoop::Timer> activationTimer_; ///< See ActivateTaken().
  ActivationSource taken_;                            ///< Of the configuration that waits for it.
  bool isReader_ = false;              ///< This host was the last one to read the store.
  uint32_t readerOrder_ = 0;           ///< Order of the host that was, plus 1; 0: unknown.
  std::set<StorePosition> rejected_;   ///< The last configurations that were not activated.
  StorePosition configurationRead_;    ///< Up to which this host has read the configuration.
  TimePoint activatedAt_{};            ///< When the active configuration became active.
  TimePoint nextCorrection_{};         ///< See CorrectConfiguration().
  TimePoint nextWatch_{};              ///< Of the configuration, after a failure.
  std::string newerConfigurationPeer_; ///< The last peer that reported a newer configuration.
  TimePoint configurationFreshAt_{};   ///< When the active configuration was last the newest one.
  ConfigurationId newestKnown_;        ///< Newest configuration known to a peer.
  TimePoint newestKnownAt_{};          ///< When a peer last reported it.
  TimePoint newerKnownSince_{};        ///< When this host first heard of a newer configuration.
  bool isNewerLarge_ = false;          ///< Peers send the change to some hosts only.
  uint32_t configurationRequests_ = 0; ///< To peers since then.
  TimePoint nextConfigurationRequest_{};
  TimePoint documentBytesSince_{};     ///< Start of the second in which documentBytes_ were sent.
  size_t documentBytes_ = 0;           ///< Of large documents.
  TimePoint lastReadFailureLog_{};     ///< Of a read of the configuration.
  TimePoint nextConfigurationRead_{};  ///< After a failed read; earlier ones are not worth a call.
  std::optional<uint64_t> storeEpoch_; ///< The newest one that this host knows of.
  TimePoint nextRegistrationCheck_ = TimePoint::max();
  TimePoint lastDroppedReadLog_{}; ///< Of a read of the upstreams.
  bool isWatching_ = false;
  bool isReadingUpstreams_ = false;
  bool isReadingConfiguration_ = false;
  bool isRegistered_ = false;
  bool isStoreAvailable_ = true;
  bool isReady_ = false;
  bool hasNews_ = false; ///< See SlotClientInit::onNews.
  bool isStopping_ = false;
  TimePoint lastStoreFailure_{}; ///< Valid while storeFailures_ is not 0.
  TimePoint nextAllocatorHello_{};
  TimePoint nextIdleCheck_{};
  bool areRelayPeersShared_ = false; ///< Since the last change of the members.
  bool arePeersConnected_ = false;   ///< Since the last change of members or shards.
  bool hasReadMembers_ = false;
  TimePoint membersReadAt_{};
  StorePosition membersPosition_; ///< Of the store, as of the last read of the members.
  TimePoint nextMemberChangesRead_{};
  TimePoint nextMembersRequest_{}; ///< Of the members that a peer knows.
  Duration membersRequestInterval_{ 0 };
  TimePoint nextSuspectsRequest_{}; ///< See CheckSuspects().
  Duration suspectsRequestInterval_ = Milliseconds(500);
  TimePoint nextSuspectsSave_{};     ///< After a failed write.
  bool hasComparedSuspects_ = false; ///< With those of a peer, since the start.
  bool awaitsSuspects_ = false;      ///< A peer was asked for its suspect requests at the start.
  TimePoint nextViewRequest_{};      ///< To a peer whose change did not fit the state of this host.
  TimePoint fullViewsSince_{};       ///< Start of the second in which fullViews_ were sent.
  uint32_t fullViews_ = 0;
  /// Time of the next read of the members or attempt to register; TimePoint::max() during a call.
  TimePoint nextMembersRead_{};
  TimePoint startedAt_{};
  TimePoint lastTick_{};
  TimePoint lastDelayLog_{};
  TimePoint lastDropLog_{};
  bool isUnconfirmedLogged_ = false;
  uint32_t peersAsked_ = 0;           ///< For state, since the configuration was last confirmed.
  TimePoint receivedViewAt_{};        ///< Of the last view of a peer.
  std::string heardFrom_;             ///< The host that sent it.
  TimePoint heardFreshAt_ = kLongAgo; ///< Of the last view with new state.
  TimePoint ownStoreFailureAt_ = kLongAgo;  ///< Last failed call of this host to the store.
  TimePoint peerStoreFailureAt_ = kLongAgo; ///< The same of the first hosts, as peers report.
  TimePoint resumedAt_{};                   ///< End of the last pause of the process.
  uint32_t storeFailures_ = 0; ///< Failed calls to the store since the last successful read.
};

} // namespace bg::fleet::detail

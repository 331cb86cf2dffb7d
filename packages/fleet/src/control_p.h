#pragma once

#include <atomic>
#include <memory>
#include <random>
#include <set>
#include <thread>

#include "boragegauge/httpd.h"
#include "boragegauge/peering.h"
#include "routes_p.h"
#include "slot_client_p.h"

namespace bg::fleet::detail {

/// When the configuration has not been confirmed for this long, the next host by rank reads it.
constexpr Duration kConfigurationMaxAge = Milliseconds(1000);

/// State that the control thread shares with the traffic threads.
struct FleetShared
{
  std::atomic<std::shared_ptr<const RouteTable>> routes; ///< Null until a configuration is active.
  /// False from the end of a pause of the process until the store or a peer has confirmed the state
  /// of this host. New requests wait while it is false.
  std::atomic<bool> isStateConfirmed{ true };
  /// Called on the control thread after routes has changed or isStateConfirmed has become true.
  /// Must be set before the control thread starts.
  std::function<void()> onRoutes;
  /// Called on the control thread after a pause of the process. Must be set before the control
  /// thread starts.
  std::function<void()> onResumed;
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
  void Stop();
  /// The callback runs on the control thread.
  void Acquire(uint64_t aSequence, SlotQuery aQuery, SlotCallback aCallback);
  void Release(uint64_t aSequence, placement::Outcome aOutcome, Duration aLatency);
  /// Sets the source of the metrics page, which is called on the control thread. Must be set before
  /// Start().
  void SetMetrics(std::function<std::string()> aMetrics) { metrics_ = std::move(aMetrics); }

private:
  void Tick();
  void RevalidateAfterPause(TimePoint aNow);
  void Register();
  void ReadMembers();
  void OnMembersFailure(const Error& aError);
  void ReadUpstreams();
  void ReadConfiguration();
  void WatchConfiguration();
  void OnUpstreamRows(const StoreRows& aRows, bool aIsIncremental);
  void OnConfigurationRows(const Result<StoreRows>& aRows);
  /// Activates a configuration that is newer than the active one. @return True if it was activated.
  bool ActivateConfiguration(uint64_t aVersion,
                             std::string_view aDocument,
                             std::string_view aSource);
  void OnRegistryChange(const RegistryChange& aChange, std::string_view aSource);
  void LogUpstreamChanges(const RegistryChange& aChange, std::string_view aSource) const;
  void RecordStoreResult(bool aIsAvailable, const Error* aError);

  void HandleMessage(std::string_view aBytes);
  void HandleHello(const wire::Envelope& aMessage);
  void HandleView(const wire::Envelope& aMessage);
  void Send(std::string_view aHost, wire::Envelope aMessage);
  void SendHello(std::string_view aHost, bool aWantsView);
  /// Sends a change, or a full snapshot if aChange is null.
  void SendView(std::string_view aHost, const RegistryChange* aChange, bool aWithConfiguration);
  enum class ViewScope
  {
    Fleet,       ///< The domain peers and a few hosts of each other failure domain.
    DomainPeers, ///< The other hosts of this failure domain.

    Count
  };
  void ShareView(const RegistryChange& aChange,
                 bool aWithConfiguration,
                 ViewScope aScope = ViewScope::Fleet);
  void AddMember(const Member& aMember);
  void ConnectPeer(const std::string& aHost);
  void SendPendingHellos();
  void SendHeartbeats(TimePoint aNow);
  void RequestViewFromPeer(TimePoint aNow);
  void ReadStore(TimePoint aNow);
  void ReadAtStart(TimePoint aNow);

  bool IsReady() const;
  void ServeAdmin(const HttpRequest& aRequest, HttpReply& aReply);
  Duration Jitter(Duration aMax);

  const FleetInit& init_;
  FleetShared& shared_;
  EventLoop loop_;
  PlatformAdapter platform_;
  std::unique_ptr<HttpServer> readiness_;
  std::unique_ptr<HttpServer> admin_;
  std::unique_ptr<PeerTransport> transport_;
  std::unique_ptr<Members> members_;
  Registry registry_;
  ReadSchedule schedule_;
  std::unique_ptr<SlotClient> slots_;
  std::unique_ptr<EventLoop::Timer> tick_;
  std::function<std::string()> metrics_;
  std::thread thread_;
  std::minstd_rand random_;
  std::set<std::string, std::less<>> connectedPeers_;

  uint64_t configurationVersion_ = 0; ///< Store version of the active configuration.
  uint64_t revision_ = 0;             ///< Of the active configuration; 0: none.
  std::string configurationDocument_;
  std::string newerConfigurationPeer_; ///< Peer that reported a newer configuration; empty: none.
  TimePoint configurationFreshAt_{};   ///< When the active configuration was last the newest one.
  bool isWatching_ = false;
  bool isReadingUpstreams_ = false;
  bool isReadingConfiguration_ = false;
  bool isRegistered_ = false;
  bool isStoreAvailable_ = true;
  bool isReady_ = false;
  bool isStopping_ = false;
  TimePoint lastStoreFailure_{}; ///< Valid while storeFailures_ is not 0.
  TimePoint nextHeartbeat_{};
  std::vector<std::string> pendingHellos_; ///< New peers that are sent a hello at the next tick.
  /// Time of the next read of the members or attempt to register; TimePoint::max() during a call.
  TimePoint nextMembersRead_{};
  TimePoint nextViewRequest_{};
  TimePoint startedAt_{};
  TimePoint lastTick_{};
  TimePoint resumedAt_{};      ///< End of the last pause of the process.
  uint32_t storeFailures_ = 0; ///< Failed calls to the store since the last successful read.
};

} // namespace bg::fleet::detail

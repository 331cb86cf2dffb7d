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

/// A configuration not confirmed for so long is read by the next host in rank.
constexpr Duration kConfigurationStale = Milliseconds(1000);

/// What traffic threads share with the control thread.
struct FleetShared
{
  std::atomic<std::shared_ptr<const HostRoutes>> routes; ///< Null until a configuration is known.
  /// False after this host has stood still until the store or a peer has confirmed what this host
  /// knows; requests wait for it.
  std::atomic<bool> isCurrent{ true };
  /// Called on the control thread after routes or isCurrent has changed; set before the control
  /// thread starts.
  std::function<void()> onRoutes;
  /// Called on the control thread when this host has stood still, like onRoutes.
  std::function<void()> onResumed;
};

/// Control thread of a host: reads the store, exchanges what was read with the peers, and places
/// requests.
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

  /// Makes readiness fail and tells the peers. Callable from any thread, like the members below.
  void BeginStop();
  void Stop();
  /// The callback runs on the control thread.
  void Acquire(uint64_t aSequence, SlotQuery aQuery, SlotCallback aCallback);
  void Release(uint64_t aSequence, placement::Outcome aOutcome, Duration aLatency);
  /// Text for the metrics page, collected on the control thread.
  void SetMetrics(std::function<std::string()> aMetrics) { metrics_ = std::move(aMetrics); }

private:
  void Tick();
  void NoticeStall(TimePoint aNow);
  void Register();
  void ReadMembers();
  void OnMembersFailure(const Error& aError);
  void ReadUpstreams();
  void ReadConfiguration();
  void WatchConfiguration();
  void OnUpstreamRows(const StoreRows& aRows, bool aIsMerge);
  void OnConfigurationRows(const Result<StoreRows>& aRows);
  /// @return Whether the configuration is in force now and was not before.
  bool AdoptConfiguration(uint64_t aVersion, std::string_view aDocument, std::string_view aSource);
  void OnRegistryChange(const RegistryChange& aChange, std::string_view aSource);
  void LogUpstreams(const RegistryChange& aChange, std::string_view aSource) const;
  void NoteStoreResult(bool aIsUp, const Error* aError);

  void HandleMessage(std::string_view aBytes);
  void HandleHello(const wire::Envelope& aMessage);
  void HandleView(const wire::Envelope& aMessage);
  void Send(std::string_view aHost, wire::Envelope aMessage);
  void SendHello(std::string_view aHost, bool aWantsView);
  void SendView(std::string_view aHost, const RegistryChange* aChange, bool aWithConfiguration);
  enum class ViewScope
  {
    Fleet,
    Neighbours,

    Count
  };
  void ShareView(const RegistryChange& aChange,
                 bool aWithConfiguration,
                 ViewScope aScope = ViewScope::Fleet);
  void AddMember(const Member& aMember);
  void Link(const std::string& aHost);
  void SendGreetings();
  void SendHeartbeats(TimePoint aNow);
  void AskPeer(TimePoint aNow);
  void ReadStore(TimePoint aNow);
  void ReadAtStart(TimePoint aNow);

  bool IsReady() const;
  void ServeAdmin(const HttpRequest& aRequest, HttpReply& aReply);
  Duration Jitter(Duration aUpTo);

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
  std::set<std::string, std::less<>> linked_;

  uint64_t configurationVersion_ = 0; ///< Store version of the row in force.
  uint64_t revision_ = 0;
  std::string document_;
  std::string newerConfigurationAt_; ///< Peer with a newer row; empty: none known.
  TimePoint configurationFresh_{};   ///< Last time that the row was known to be the newest.
  bool isWatching_ = false;
  bool isReadingUpstreams_ = false;
  bool isReadingConfiguration_ = false;
  bool isRegistered_ = false;
  bool isStoreUp_ = true;
  bool isReady_ = false;
  bool isStopping_ = false;
  TimePoint lastReadFailure_{}; ///< Meaningful while readFailures_ is not 0.
  TimePoint nextHeartbeat_{};
  std::vector<std::string> greetings_; ///< New peers that have not been greeted.
  TimePoint nextMembersRead_{}; ///< Or the next attempt to register; the latest while one runs.
  TimePoint nextAsk_{};
  TimePoint startedAt_{};
  TimePoint lastTick_{};
  TimePoint resumedAt_{};     ///< When the last stall was noticed.
  uint32_t readFailures_ = 0; ///< Since the last success.
};

} // namespace bg::fleet::detail

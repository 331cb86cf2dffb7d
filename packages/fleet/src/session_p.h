#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "boragegauge/http_util.h"
#include "control_p.h"
#include "metrics_p.h"
#include "relay_p.h"
#include "stop_schedule_p.h"

namespace bg::fleet::detail {

class FleetSession;

/// A traffic thread: the connections of callers and upstreams and the sessions of its requests.
class FleetTraffic
{
public:
  FleetTraffic(const FleetInit& aInit,
               FleetShared& aShared,
               FleetControl& aControl,
               FleetMetrics& aMetrics);
  ~FleetTraffic();
  FleetTraffic(const FleetTraffic&) = delete;
  FleetTraffic& operator=(const FleetTraffic&) = delete;

  std::optional<Error> Start();
  /// From now on responses close their connections, and requests that this host cannot finish in
  /// time are refused. Callable from any thread, like the functions up to Stop().
  void BeginStop(const StopSchedule& aSchedule);
  void StopAccepting();
  /// Number of sessions that have not ended.
  size_t Active() const { return active_.load(); }
  /// Number of connections of callers and other hosts that lose something if the process ends now,
  /// see HttpServer::Unfinished(). Waits for the thread of the loop.
  size_t Unfinished();
  void Stop();

  // For sessions, on the thread of the loop.
  EventLoop& Loop() { return loop_; }
  size_t MaxResponseBytes() const { return init_.maxResponseBytes; }
  UpstreamClient& Client() { return *client_; }
  FleetShared& Shared() { return shared_; }
  FleetControl& Control() { return control_; }
  FleetMetrics& Metrics() { return metrics_; }
  /// Number of a request for a slot; not the same as that of an earlier process of this host, to
  /// which an allocator may still answer.
  uint64_t NextSequence() { return ++sequence_; }
  uint64_t Random();
  /// Starts the session when the configuration has been confirmed, at the latest after a timeout.
  /// The session fails if there is no configuration by then.
  void AwaitConfiguration(std::shared_ptr<FleetSession> aSession);
  /// Makes the requests of this thread avoid the path to an upstream for a while after a failed
  /// connection.
  void RecordUnreachable(const std::string& aUpstream, TimePoint aNow);
  /// Records that an upstream was reached from this host.
  void RecordConnected(const std::string& aUpstream, TimePoint aNow);
  /// Makes the requests of this thread avoid an upstream for a while that no host reaches.
  void RecordDown(const std::string& aUpstream, TimePoint aNow);
  /// The upstreams that no request is to be sent to, on any path.
  std::vector<std::string> AvoidedUpstreams(TimePoint aNow);
  const relay::LinkMonitor& Links() const { return links_; }
  /// Tries a connection to some upstream, if one is due, to find out whether lost links are back.
  void TryLinks();
  /// Whether a request to the upstream is better sent by way of another host.
  bool PrefersRelay(const std::string& aUpstream, TimePoint aNow) const;
  /// See relay::RelaySelector::Select().
  const relay::RelayPeer* SelectRelay(std::span<const std::string> aTried, TimePoint aNow);
  relay::RelaySelector& Relays() { return relays_; }
  /// Records that an upstream wants no requests of this host for a while, its own or relayed ones.
  void RecordPause(const RegisteredUpstream& aUpstream, Milliseconds aPause, TimePoint aNow);
  bool IsPaused(const RegisteredUpstream& aUpstream, TimePoint aNow) const;
  /// Sets the limits of a request that is sent to an upstream.
  void SetTransferLimits(UpstreamRequest& aRequest, Duration aTimeLeft) const;
  /// Finds out whether an upstream that has cut off a response has crashed: it accepts no new
  /// connection, while others do.
  void VerifyCrash(const RegisteredUpstream& aUpstream,
                   std::function<void(bool aHasCrashed)> aCallback);
  /// Counts bytes of requests or responses if the upstream is in another failure domain. By way of
  /// a relay, the domain of the upstream counts.
  void RecordDomainBytes(std::string_view aDomain, DomainBytesKind aKind, size_t aBytes);
  /// Bounds the log lines about header fields of upstreams that cannot be read.
  bool MayLogInvalidNotice(TimePoint aNow);
  /// Number of requests of other hosts that are being relayed.
  size_t Relayed() const { return relayed_; }
  void RelayStarted() { ++relayed_; }
  void RelayEnded() { --relayed_; }
  /// Whether a request that is sent to an upstream now can be finished before this host ends.
  /// @param aLatencyTarget Time that its response should take.
  bool MaySend(Duration aLatencyTarget, TimePoint aNow) const
  {
    return !stop_ || aNow < stop_->SendBy(aLatencyTarget);
  }
  /// Sessions that wait for a slot are told of new configurations.
  void AddWaitingForSlot(FleetSession& aSession);
  void RemoveWaitingForSlot(FleetSession& aSession) { waitingForSlot_.erase(&aSession); }
  void SessionStarted() { active_.fetch_add(1); }
  void SessionEnded() { active_.fetch_sub(1); }

private:
  /// Finds out whether this host reaches any upstream but one.
  /// @param aProbes Upstreams to try.
  void VerifyLinks(const std::string& aExcept,
                   int aProbes,
                   std::function<void(bool aAreWell)> aCallback);
  void ApplyConfiguration();
  void ServeWaitingSessions();
  std::vector<std::shared_ptr<FleetSession>> SessionsWaitingForSlot() const;
  /// Refuses the requests that this host cannot finish before it ends.
  void RefuseUnfinishable();

  const FleetInit& init_;
  FleetShared& shared_;
  FleetControl& control_;
  FleetMetrics& metrics_;
  EventLoop loop_;
  std::vector<std::shared_ptr<FleetSession>> waitingSessions_; ///< See AwaitConfiguration().
  std::unique_ptr<EventLoop::Timer> waitTimer_;
  std::unordered_map<FleetSession*, std::weak_ptr<FleetSession>> waitingForSlot_;
  std::optional<StopSchedule> stop_; ///< Set once this host is stopping.
  std::unique_ptr<EventLoop::Timer> stopTimer_;
  std::unique_ptr<UpstreamClient> client_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<RelayServer> relayServer_; ///< Null if this host does not relay.
  std::thread thread_;
  std::atomic<size_t> active_{ 0 };
  size_t relayed_ = 0;
  uint64_t sequence_;
  uint64_t random_;
  /// Upstreams to which this host has failed to connect, and those that no host reaches; until when
  /// they are avoided.
  std::map<std::string, TimePoint, std::less<>> unreachableUntil_;
  std::map<std::string, TimePoint, std::less<>> downUntil_;
  TimePoint nextInvalidNoticeLog_{};
  UpstreamNotices
    notices_; ///< Pauses only; for relayed requests, which get no slot from this host.
  relay::LinkMonitor links_;
  relay::RelaySelector relays_;
};

/// A request of a caller from its arrival to its response. Pending callbacks share the ownership of
/// the session.
class FleetSession : public std::enable_shared_from_this<FleetSession>
{
public:
  static void Start(FleetTraffic& aTraffic,
                    HttpRequest aRequest,
                    std::shared_ptr<HttpReply> aReply);

  FleetSession(FleetTraffic& aTraffic, HttpRequest aRequest, std::shared_ptr<HttpReply> aReply);
  ~FleetSession();
  FleetSession(const FleetSession&) = delete;
  FleetSession& operator=(const FleetSession&) = delete;

  /// Routes the request by the active configuration, or fails it if there is none.
  void Serve();
  /// Checks the key of a request that waits for a slot against a new configuration.
  void OnConfigurationChange();
  /// Refuses a request that waits, if this host stops before it could be finished.
  void OnStopping();

private:
  /// Selects the route and service and starts the deadline. @return False if the request has
  /// failed.
  bool SelectRoute();
  /// Finds the client account by the route and the key. @return False if the request has failed.
  bool Authenticate();
  /// Checks the key against the configuration in force, immediately before a send. @return False if
  /// the request has failed, because the key was revoked.
  bool ConfirmAccount();
  /// The client account of the request under the given routes, and the reason if there is none
  /// although the route requires one; the reason is empty otherwise.
  std::shared_ptr<const ClientAccount> AccountBy(const RouteTable& aRoutes,
                                                 const FleetRoute& aRoute,
                                                 std::string_view& aReason) const;
  void SetAccount(std::shared_ptr<const ClientAccount> aAccount);
  /// Makes the fingerprint that of the current account. A slot that is requested or held belongs to
  /// the fingerprint that it was requested for.
  void UpdateFingerprint();
  /// Urgency of the request; that of the account takes precedence over that of the route.
  uint32_t Priority() const;
  /// Time that the response should take.
  Duration LatencyTarget() const;
  void RefuseForStop();
  void AcquireSlot();
  void OnSlotResult(uint64_t aSequence, SlotResult aResult);
  void Send();
  UpstreamRequest MakeUpstreamRequest(Duration aTimeLeft) const;
  /// Sends the request by way of a host that has not been tried for it.
  void SendByRelay();
  void OnRelayResult(UpstreamResult aResult);
  void OnRelaysExhausted();
  void OnResult(UpstreamResult aResult);
  void OnResponse(UpstreamResult aResult);
  /// Notes the request limit that a response of the upstream names, for FinishAttempt().
  void ReadLimit(const ResponseMetadata& aMetadata);
  /// Notes that the upstream leaves or asks for a pause, for FinishAttempt().
  void ReadNotices(const ResponseMetadata& aMetadata);
  void OnTransportFailure(const UpstreamResult& aResult);
  /// Reports the crash of the upstream if it has crashed, then calls a function.
  void ReportCrash(std::function<void()> aDone);
  void RetryOrFail(const std::string& aDetail);
  /// @param aOutcome Cancelled if the upstream is not to blame.
  void OnUnreachable(placement::Outcome aOutcome, const std::string& aDetail);
  void OnRefused(placement::Outcome aOutcome);
  /// @return False if no further attempt is allowed by the route or the time left.
  bool Retry(std::string_view aReason);
  /// Size of the header fields and body of a response.
  static size_t SizeOf(const UpstreamResult& aResult);
  /// Counts the bytes of an attempt that have passed between failure domains.
  void RecordDomainBytes(placement::Outcome aOutcome);
  /// Returns the slot, and counts and logs the result of the attempt.
  void FinishAttempt(placement::Outcome aOutcome, std::string_view aDetail);
  /// Refunds the token of the request if it has not run and never will.
  void SettleCharge();
  void OnDeadline();
  void OnCallerGone();
  void Deliver(UpstreamResult aResult);
  /// Fails a request that is not sent (again): with the response of an upstream to an earlier
  /// attempt if there is one, with 502 if an upstream may have run it, otherwise with aStatus.
  void FailUnsent(int aStatus, std::string_view aRule, std::string aDetail, Duration aRetryAfter);
  void Fail(int aStatus, std::string_view aRule, std::string aDetail, Duration aRetryAfter);
  void Respond(HttpResponse aResponse, std::string_view aOutcome);
  bool IsIdempotent() const { return route_->idempotent; }

  FleetTraffic& traffic_;
  HttpRequest request_;
  std::shared_ptr<HttpReply> reply_;
  CallerMetadata caller_;
  uint64_t fingerprint_; ///< See RequestFingerprint().
  bool isFingerprintCurrent_ = true;
  std::shared_ptr<const RouteTable> routes_; ///< Keeps the route alive.
  TimePoint confirmedAt_{}; ///< When routes_ were last known to be the newest ones, at routing.
  const FleetRoute* route_ = nullptr;
  std::shared_ptr<const ClientAccount> account_;    ///< Null: the request belongs to none.
  std::shared_ptr<const RouteTable> accountRoutes_; ///< By which account_ was last determined.
  std::string service_;
  TimePoint receivedAt_;
  TimePoint deadline_{};
  std::unique_ptr<EventLoop::Timer> deadlineTimer_;
  uint64_t slotSequence_ = 0; ///< Of the requested or held slot; 0: none.
  uint64_t charge_ = 0;       ///< See SlotQuery::charge; 0: no slot was requested yet.
  uint64_t transfer_ = 0;     ///< Running upstream request; 0: none.
  TimePoint sentAt_{};
  std::optional<double> namedLimit_; ///< See SlotReport::requestLimit.
  TimePoint answeredAt_{};
  bool isLeaving_ = false;            ///< See SlotReport::isLeaving.
  std::optional<Milliseconds> pause_; ///< See SlotReport::pause.
  bool hasSurvived_ = false;          ///< See SlotReport::survivor.
  size_t responseBytes_ = 0;          ///< Of the current attempt, as far as it was received.
  RegisteredUpstream upstream_;
  bool isSuspectTrial_ = false;             ///< See SlotResult::isSuspectTrial.
  std::vector<std::string> triedRelays_;    ///< Hosts asked to relay the current attempt.
  std::string relay_;                       ///< Host that relays it; empty: it was sent directly.
  std::vector<std::string> triedUpstreams_; ///< Not selected again.
  uint32_t attempts_ = 0;                   ///< Upstreams that the request was sent to.
  uint32_t unreachableCount_ = 0;           ///< Failed connections to upstreams.
  std::optional<UpstreamResult>
    lastErrorResponse_;          ///< Sent to the caller if the retry gets no slot.
  bool mayHaveExecuted_ = false; ///< By any upstream.
  bool hasResponded_ = false;
};

} // namespace bg::fleet::detail

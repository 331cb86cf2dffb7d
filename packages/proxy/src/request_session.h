#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "boragegauge/http_util.h"
#include "proxy_p.h"
#include "traffic_thread.h"

namespace bg {

/// One caller's request from its arrival to its response: checks, idempotency claim, admission,
/// attempts at upstreams and retries. Pending callbacks share ownership of the session. Runs on the
/// loop of its traffic thread only.
class RequestSession : public std::enable_shared_from_this<RequestSession>
{
public:
  /// Creates a session and starts to process the request; the session sends the reply.
  static void Start(TrafficThread& aThread,
                    HttpRequest aRequest,
                    std::shared_ptr<HttpReply> aReply);

  RequestSession(TrafficThread& aThread, HttpRequest aRequest, std::shared_ptr<HttpReply> aReply);
  ~RequestSession();
  RequestSession(const RequestSession&) = delete;
  RequestSession& operator=(const RequestSession&) = delete;

  // Called by the service's queue.
  void OnAdmitted();
  void OnQueueTimeout();
  void OnEvicted();

private:
  /// One transfer of the request to one upstream.
  struct Attempt
  {
    UpstreamHandle upstream;
    uint64_t transferId = 0;
    TimePoint startedAt{};
    bool usesNewConnection = false; ///< No pooled connection may be used.
    bool isTrial = false;
    bool isRunning = false;
    bool isOutcomeReported = false; ///< Each attempt reports at most one outcome.
    std::unique_ptr<EventLoop::Timer> slowTimer;
    std::unique_ptr<EventLoop::Timer> unresponsiveTimer;
  };

  // Request checks, in the order of their use. Each sends the refusal and returns false if it
  // fails.
  bool MatchRoute();
  bool CheckRequestLimits();
  bool CheckIdempotencyKey();
  void ReadDeadline();
  void Admit();

  // Claim of the idempotency key in the platform's table.
  void ClaimOrAdmit();
  void RequestClaim();
  void OnClaimResult(ClaimResult aResult);
  void ReplayOutcome(ClaimOutcome aOutcome);
  /// Withdraws an open claim if the request was certainly not executed, else abandons it.
  void CloseClaimWithoutOutcome(Executed aExecuted);

  // Attempts at upstreams.
  void StartFirstAttempt();
  /// Sends the request to the next upstream. False, without a reply to the caller, when the
  /// deadline has passed or no upstream is available.
  bool StartAttempt(bool aRequireNewConnection);
  /// Refuses the request after StartAttempt() returned false.
  void FailUnstartedAttempt();
  UpstreamRequest BuildUpstreamRequest(const UpstreamConfig& aUpstream, Duration aRemaining) const;
  void ArmTimers(size_t aIndex);
  void OnSlowLimitReached(size_t aIndex);
  void OnUnresponsive(size_t aIndex);
  void OnAttemptResult(size_t aIndex, UpstreamResult aResult);
  void OnUpstreamRefusal(size_t aIndex, std::string_view aReason);
  void OnTransportFailure(size_t aIndex, const UpstreamResult& aResult);
  void OnResponse(size_t aIndex, UpstreamResult aResult);
  void ReadLoadAndDrainHeaders(UpstreamHandle aUpstream, const UpstreamResult& aResult);
  void ReportOutcome(size_t aIndex, OutcomeKind aKind);
  /// Starts another attempt if the deadline and the service's retry budget allow it.
  bool TryRetry(bool aRequireNewConnection);
  /// Starts another attempt, at once or after a backoff. False when the deadline is too near.
  bool TryRetryAfterRefusal();
  bool HasRunningAttempt() const;
  /// Whether a request that may have been executed can be sent to another upstream.
  bool IsRetryAllowed() const;

  // End of the request.
  void SendUpstreamResponse(UpstreamResult aResult);
  void Fail(const Problem& aProblem, std::string_view aRule);
  void Respond(HttpResponse aResponse, std::string_view aOutcome);
  void OnCallerDisconnected();
  void ReleaseAdmission();
  void ReportRefusal(std::string_view aRule);
  /// Latency above which an attempt counts as slow.
  Duration SlowLimit() const;
  Duration Remaining(TimePoint aNow) const { return deadline_ - aNow; }
  const RouteConfig& MatchedRoute() const
  {
    return snapshot_->configuration->routes[routeMatch_.route.idx];
  }
  const ServiceConfig& MatchedService() const
  {
    return snapshot_->configuration->services[MatchedRoute().service.idx];
  }

  static constexpr uint32_t kMaxAttempts = 3; ///< Documented refusals do not count.

  TrafficThread& thread_;
  HttpRequest request_;
  std::shared_ptr<HttpReply> reply_;
  SnapshotPtr snapshot_;
  std::shared_ptr<ServiceTraffic> serviceTraffic_;
  RouteMatch routeMatch_;
  std::string requestId_;
  std::string account_;        ///< Client account, from X-Account.
  std::string idempotencyKey_; ///< Empty: the request needs no claim.
  TimePoint receivedAt_;
  TimePoint deadline_{};
  TimePoint admittedAt_{};
  Ticket ticket_ = 0; ///< Identifies the request in the service's queue.
  bool isQueued_ = false;
  bool isAdmitted_ = false;
  bool hasResponded_ = false;
  bool isCallerDisconnected_ = false;
  bool wasMaybeExecuted_ = false;  ///< An upstream may have received at least part of the request.
  bool wasClaimRequested_ = false; ///< Also set while the claim is pending.
  std::string openClaimRowKey_;    ///< Claim that was won and has no outcome yet; empty: none.
  std::deque<Attempt> attempts_;   ///< In start order, refused ones included.
  std::vector<UpstreamHandle> excludedUpstreams_; ///< Tried already; reset by a refusal backoff.
  uint32_t nonRefusedAttempts_ = 0;               ///< Attempts that count towards kMaxAttempts.
  uint32_t refusalCount_ = 0;                     ///< Documented refusals by upstreams (X-Not-Run).
  std::unique_ptr<EventLoop::Timer> refusalRetryTimer_;
};

} // namespace bg

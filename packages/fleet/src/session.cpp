#include "session_p.h"

#include "request_fingerprint_p.h"

namespace bg::fleet::detail {

namespace {

using placement::Outcome;

/// Subtracted from the deadline of the caller, so that the final response arrives in time.
constexpr Duration kResponseMargin = Milliseconds(30);
/// Time for a request if its route has no timeout.
constexpr Duration kDefaultDeadline = std::chrono::seconds(30);
/// Connection failures after which a request fails.
constexpr uint32_t kMaxUnreachableUpstreams = 5;
/// A request is not retried with less time until its deadline.
constexpr Duration kMinRetryTime = Milliseconds(100);
/// Retry-After of responses while the host has no configuration.
constexpr Duration kStartupRetryAfter = std::chrono::seconds(1);
/// A caller that comes back reaches another host.
constexpr Duration kStopRetryAfter = Milliseconds(100);
/// Authentication scheme that the responses with status 401 name.
constexpr std::string_view kChallenge = "ApiKey";

double ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

} // namespace

void FleetSession::Start(FleetTraffic& aTraffic,
                         HttpRequest aRequest,
                         std::shared_ptr<HttpReply> aReply)
{
  auto session = std::make_shared<FleetSession>(aTraffic, std::move(aRequest), std::move(aReply));
  session->reply_->OnCallerGone([weak = std::weak_ptr<FleetSession>(session)] {
    if (const auto self = weak.lock()) {
      self->OnCallerGone();
    }
  });
  if (aTraffic.Shared().routes.load() && aTraffic.Shared().isStateConfirmed) {
    session->Serve();
  } else {
    aTraffic.AwaitConfiguration(std::move(session));
  }
}

void FleetSession::Serve()
{
  if (!hasResponded_ && SelectRoute()) {
    AcquireSlot();
  }
}

FleetSession::FleetSession(FleetTraffic& aTraffic,
                           HttpRequest aRequest,
                           std::shared_ptr<HttpReply> aReply)
  : traffic_(aTraffic)
  , request_(std::move(aRequest))
  , reply_(std::move(aReply))
  , caller_(traffic_.Control().Dialect().readCaller(request_.headers))
  , fingerprint_(RequestFingerprint(request_, caller_))
  , receivedAt_(Now())
{
  traffic_.SessionStarted();
}

FleetSession::~FleetSession()
{
  traffic_.SessionEnded();
}

bool FleetSession::SelectRoute()
{
  confirmedAt_ = traffic_.Shared().configurationFreshAt;
  routes_ = traffic_.Shared().routes.load();
  if (!routes_) {
    Fail(503, "no_configuration", "this host has no configuration yet", kStartupRetryAfter);
    return false;
  }
  const std::string* host = FindHeader(request_.headers, "Host");
  route_ = host == nullptr ? nullptr : routes_->Match(*host, request_.target);
  if (route_ == nullptr) {
    Fail(404, "unknown_route", "no route has this host and path", Duration(0));
    return false;
  }
  if (!Authenticate()) {
    return false;
  }
  Duration wait = route_->timeout > Milliseconds(0) ? Duration(route_->timeout) : kDefaultDeadline;
  if (caller_.deadline) {
    wait = std::min(wait, Duration(*caller_.deadline) - kResponseMargin);
  }
  deadline_ = receivedAt_ + wait;
  wait = deadline_ - Now();
  service_ = SelectService(*route_, traffic_.Random());
  deadlineTimer_ = traffic_.Loop().RunAfter(wait, [self = shared_from_this()] {
    // Breaks the reference cycle between the session and its timer.
    const auto timer = std::move(self->deadlineTimer_);
    self->OnDeadline();
  });
  return true;
}

Duration FleetSession::LatencyTarget() const
{
  return route_->latencyTarget > Milliseconds(0) ? route_->latencyTarget : route_->timeout;
}

void FleetSession::OnStopping()
{
  if (!hasResponded_ && (route_ == nullptr || !traffic_.MaySend(LatencyTarget(), Now()))) {
    RefuseForStop();
  }
}

void FleetSession::RefuseForStop()
{
  FailUnsent(503,
             "host_stopping",
             "this host is stopping before the request could be finished",
             kStopRetryAfter);
}

void FleetSession::AcquireSlot()
{
  if (!ConfirmAccount()) {
    return;
  }
  if (!traffic_.MaySend(LatencyTarget(), Now())) {
    return RefuseForStop();
  }
  slotSequence_ = traffic_.NextSequence();
  traffic_.AddWaitingForSlot(*this);
  UpdateFingerprint();
  const TimePoint now = Now();
  SlotQuery query;
  query.requestId = caller_.requestId;
  query.fingerprint = fingerprint_;
  query.service = service_;
  query.idempotent = IsIdempotent();
  query.isRetry = attempts_ > 0;
  query.charge = charge_ = charge_ == 0 ? slotSequence_ : charge_;
  query.priority = Priority();
  query.account = account_;
  query.bodyBytes = request_.body ? request_.body->size() : 0;
  query.receivedAt = receivedAt_;
  query.targetBy = receivedAt_ + LatencyTarget();
  query.deadline = deadline_;
  query.exclude = triedUpstreams_;
  for (std::string& upstream : traffic_.AvoidedUpstreams(now)) {
    query.exclude.push_back(std::move(upstream));
  }
  traffic_.Control().Acquire(
    slotSequence_,
    std::move(query),
    [self = shared_from_this(), sequence = slotSequence_](SlotResult aResult) {
      self->traffic_.Loop().Post([self, sequence, aResult = std::move(aResult)]() mutable {
        self->OnSlotResult(sequence, std::move(aResult));
      });
    });
}

void FleetSession::OnSlotResult(uint64_t aSequence, SlotResult aResult)
{
  if (hasResponded_ || aSequence != slotSequence_) {
    if (aResult.isGranted) {
      traffic_.Control().Release(aSequence, {});
    }
    return;
  }
  traffic_.RemoveWaitingForSlot(*this);
  if (!aResult.isGranted) {
    slotSequence_ = 0;
    const bool isOverQuota = aResult.reason == kQuotaReason;
    return FailUnsent(isOverQuota ? 429 : 503,
                      aResult.reason,
                      isOverQuota ? "the client account is over its quota"
                                  : "no upstream could take the request in time",
                      aResult.retryAfter);
  }
  if (!traffic_.MaySend(LatencyTarget(), Now())) {
    return RefuseForStop();
  }
  upstream_ = std::move(aResult.upstream);
  isSuspectTrial_ = aResult.isSuspectTrial;
  Send();
}

void FleetSession::Send()
{
  const TimePoint now = Now();
  const Duration timeLeft = deadline_ - now;
  if (timeLeft <= Duration(0)) {
    return OnDeadline();
  }
  if (!ConfirmAccount()) {
    return;
  }
  ++attempts_;
  sentAt_ = now;
  namedLimit_.reset();
  isLeaving_ = false;
  pause_.reset();
  hasSurvived_ = false;
  responseBytes_ = 0;
  triedRelays_.clear();
  relay_.clear();
  traffic_.TryLinks();
  if (traffic_.PrefersRelay(upstream_.id, now)) {
    return SendByRelay();
  }
  transfer_ = traffic_.Client().Send(
    MakeUpstreamRequest(timeLeft),
    [self = shared_from_this()](UpstreamResult aResult) { self->OnResult(std::move(aResult)); });
}

void FleetSession::OnResult(UpstreamResult aResult)
{
  transfer_ = 0;
  if (hasResponded_) {
    return;
  }
  if (aResult.failure == UpstreamFailure::Connect || !aResult.maybeSent) {
    traffic_.RecordUnreachable(upstream_.id, Now());
    return SendByRelay();
  }
  traffic_.RecordConnected(upstream_.id, Now());
  responseBytes_ = SizeOf(aResult);
  if (aResult.failure != UpstreamFailure::None) {
    return OnTransportFailure(aResult);
  }
  OnResponse(std::move(aResult));
}

void FleetSession::OnUnreachable(Outcome aOutcome, const std::string& aDetail)
{
  --attempts_;
  ++unreachableCount_;
  FinishAttempt(aOutcome, aDetail);
  traffic_.RecordDown(upstream_.id, Now());
  if (unreachableCount_ < kMaxUnreachableUpstreams && deadline_ - Now() > kMinRetryTime) {
    return AcquireSlot();
  }
  Fail(mayHaveExecuted_ ? 502 : 503, "unreachable", aDetail, Milliseconds(500));
}

void FleetSession::OnTransportFailure(const UpstreamResult& aResult)
{
  const bool isTimeout = aResult.failure == UpstreamFailure::Timeout;
  mayHaveExecuted_ = true;
  if (aResult.status != 0) { // The body is incomplete.
    ReadNotices(traffic_.Control().Dialect().readResponse(aResult.status, aResult.headers));
  }
  FinishAttempt(isTimeout ? Outcome::TimedOut : Outcome::Failed, aResult.detail);
  if (isTimeout) {
    return Fail(504, "upstream_timeout", aResult.detail, Duration(0));
  }
  const bool isCutOff =
    aResult.failure == UpstreamFailure::Reset || aResult.failure == UpstreamFailure::Truncated;
  if (!isCutOff || !relay_.empty()) { // The relaying host has looked whether it has crashed.
    return RetryOrFail(aResult.detail);
  }
  if (!IsIdempotent()) { // There is no retry that depends on the result.
    ReportCrash([] {});
    return RetryOrFail(aResult.detail);
  }
  ReportCrash([self = shared_from_this(), detail = aResult.detail] {
    if (!self->hasResponded_) {
      self->RetryOrFail(detail);
    }
  });
}

void FleetSession::RetryOrFail(const std::string& aDetail)
{
  if (IsIdempotent() && Retry("incomplete")) {
    return;
  }
  Fail(502, "upstream_failure", aDetail, Duration(0));
}

void FleetSession::ReportCrash(std::function<void()> aDone)
{
  quarantine::Crash crash{ upstream_.id, upstream_.startedAtMs, sentAt_, Now(), "" };
  traffic_.VerifyCrash(upstream_,
                       [self = shared_from_this(),
                        crash = std::move(crash),
                        isTrial = isSuspectTrial_,
                        done = std::move(aDone)](bool aHasCrashed) {
                         // A trial runs by itself, so that no other request has ended the
                         // connection.
                         if (aHasCrashed || isTrial) {
                           self->traffic_.Control().ReportCrash(self->fingerprint_,
                                                                crash,
                                                                self->caller_.requestId,
                                                                self->request_.target);
                         }
                         done();
                       });
}

void FleetSession::OnRefused(Outcome aOutcome)
{
  FinishAttempt(aOutcome, "not executed");
  if (Retry(ToString(aOutcome))) {
    return;
  }
  Fail(mayHaveExecuted_ ? 502 : 503,
       "upstreams_refused",
       "the upstreams refused the request",
       Milliseconds(500));
}

void FleetSession::OnResponse(UpstreamResult aResult)
{
  const ResponseMetadata metadata =
    traffic_.Control().Dialect().readResponse(aResult.status, aResult.headers);
  ReadLimit(metadata);
  ReadNotices(metadata);
  if (metadata.isMisdirected) {
    return OnRefused(Outcome::Misdirected);
  }
  if (metadata.isNotExecuted) {
    return OnRefused(Outcome::Refused);
  }
  mayHaveExecuted_ = true;
  const bool isAuthentic =
    metadata.isSigned && (metadata.requestId.empty() || metadata.requestId == caller_.requestId);
  const bool isError = !isAuthentic || aResult.status >= 500;
  hasSurvived_ = isAuthentic;
  FinishAttempt(isError ? Outcome::Failed : Outcome::Good,
                isAuthentic ? "status " + std::to_string(aResult.status)
                            : "response is not from the upstream");
  if (!isAuthentic) {
    if (IsIdempotent() && Retry("error")) {
      return;
    }
    return Fail(502, "invalid_response", "the response is not the upstream's own", Duration(0));
  }
  if (isError && IsIdempotent()) {
    // Delivered if the request is not sent again, or the retry gets no slot.
    lastErrorResponse_ = std::move(aResult);
    if (!Retry("error")) {
      Deliver(*std::exchange(lastErrorResponse_, std::nullopt));
    }
    return;
  }
  Deliver(std::move(aResult));
}

bool FleetSession::Retry(std::string_view aReason)
{
  const TimePoint now = Now();
  triedUpstreams_.push_back(upstream_.id);
  if (attempts_ >= route_->maxAttempts || deadline_ - now < kMinRetryTime) {
    return false;
  }
  Log(LogLevel::Info,
      "request_repeated",
      { { "request_id", caller_.requestId },
        { "service", service_ },
        { "reason", aReason },
        { "attempts", attempts_ },
        { "attempt_limit", route_->maxAttempts },
        { "left_ms", ToMilliseconds(deadline_ - now) } });
  AcquireSlot();
  return true;
}

void FleetSession::OnDeadline()
{
  if (hasResponded_) {
    return;
  }
  if (transfer_ != 0) {
    mayHaveExecuted_ = true;
    traffic_.Client().Cancel(std::exchange(transfer_, 0));
    FinishAttempt(Outcome::TimedOut, "deadline");
  }
  Fail(mayHaveExecuted_ ? 504 : 503,
       "deadline",
       "the time for the request is over",
       Milliseconds(500));
}

void FleetSession::OnCallerGone()
{
  if (hasResponded_) {
    return;
  }
  if (transfer_ != 0) {
    mayHaveExecuted_ = true;
    traffic_.Client().Cancel(std::exchange(transfer_, 0));
  }
  if (slotSequence_ != 0) {
    traffic_.Control().Release(std::exchange(slotSequence_, 0), {});
  }
  Respond({}, "caller_gone");
}

void FleetSession::Deliver(UpstreamResult aResult)
{
  HttpResponse response;
  response.status = aResult.status;
  response.headers = EndToEndHeaders(aResult.headers);
  response.body = std::move(aResult.body);
  response.reservation = std::move(aResult.reservation);
  Respond(std::move(response), aResult.status >= 500 ? "upstream_error" : "ok");
}

void FleetSession::Fail(int aStatus,
                        std::string_view aRule,
                        std::string aDetail,
                        Duration aRetryAfter)
{
  if (hasResponded_) {
    return;
  }
  if (slotSequence_ != 0) {
    traffic_.Control().Release(std::exchange(slotSequence_, 0), {});
  }
  Log(LogLevel::Info,
      "request_failed",
      { { "request_id", caller_.requestId },
        { "status", aStatus },
        { "rule", aRule },
        { "service", service_ },
        { "route", route_ == nullptr ? "" : route_->id },
        { "account", account_ ? std::string_view(account_->name) : "" },
        { "fingerprint", FormatFingerprint(fingerprint_) },
        { "revision", routes_ ? routes_->Configuration().revision : 0 },
        { "confirmed_ms", routes_ ? ToMilliseconds(receivedAt_ - confirmedAt_) : 0 },
        { "attempts", attempts_ },
        { "unreachable", unreachableCount_ },
        { "held_ms", ToMilliseconds(Now() - receivedAt_) },
        { "detail", aDetail } });
  Problem problem;
  problem.status = aStatus;
  problem.type = aRule;
  problem.detail = std::move(aDetail);
  problem.executed = mayHaveExecuted_ ? Executed::Unknown : Executed::No;
  problem.retryAfterSeconds =
    aStatus == 503 || aStatus == 429 ? std::chrono::duration<double>(aRetryAfter).count() : 0;
  HttpResponse response = MakeProblemResponse(problem, caller_.requestId);
  if (aStatus == 401) { // The field is mandatory in such a response.
    response.headers.push_back({ "WWW-Authenticate", std::string(kChallenge) });
  }
  Respond(std::move(response), aRule);
}

void FleetSession::Respond(HttpResponse aResponse, std::string_view aOutcome)
{
  hasResponded_ = true;
  deadlineTimer_.reset();
  traffic_.RemoveWaitingForSlot(*this);
  SettleCharge();
  traffic_.Metrics().RecordRequest(service_,
                                   route_ != nullptr && IsIdempotent() ? "idempotent"
                                                                       : "non_idempotent",
                                   aOutcome,
                                   std::chrono::duration<double>(Now() - receivedAt_).count());
  if (account_) {
    traffic_.Metrics().RecordAccountRequest(account_->name, aOutcome);
  }
  reply_->Send(std::move(aResponse));
}

} // namespace bg::fleet::detail

#include "request_session.h"

namespace bg {

namespace {

/// Longest wait for the platform's table; after it a request with an idempotency key is refused as
/// not executed.
constexpr Duration kMaxClaimWait = std::chrono::seconds(2);

double ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

struct RouteProblem
{
  int status;
  std::string_view type;
  std::string_view detail;
};

RouteProblem DescribeRouteError(RouteError aError)
{
  switch (aError) {
    case RouteError::UnknownCaller:
      return { 403, "unknown-caller", "no caller class matches the account in X-Account" };
    case RouteError::MethodNotAllowed:
      return { 405, "method-not-allowed", "the route does not allow this method" };
    case RouteError::CallerNotAllowed:
      return { 403, "caller-not-allowed", "the route does not serve this caller class" };
    case RouteError::UnknownPath:
    case RouteError::None:
    case RouteError::Count:
      break;
  }
  return { 404, "unknown-route", "no route has this path" };
}

} // namespace

void RequestSession::Start(TrafficThread& aThread,
                           HttpRequest aRequest,
                           std::shared_ptr<HttpReply> aReply)
{
  auto session = std::make_shared<RequestSession>(aThread, std::move(aRequest), std::move(aReply));
  session->reply_->OnCallerGone([weak = std::weak_ptr<RequestSession>(session)] {
    if (const auto self = weak.lock()) {
      self->OnCallerDisconnected();
    }
  });
  if (session->MatchRoute() && session->CheckRequestLimits() && session->CheckIdempotencyKey()) {
    session->ReadDeadline();
    session->ClaimOrAdmit();
  }
}

RequestSession::RequestSession(TrafficThread& aThread,
                               HttpRequest aRequest,
                               std::shared_ptr<HttpReply> aReply)
  : thread_(aThread)
  , request_(std::move(aRequest))
  , reply_(std::move(aReply))
  , requestId_(RequestIdFrom(request_.headers))
  , receivedAt_(Now())
{
  thread_.OnSessionStarted();
}

RequestSession::~RequestSession()
{
  thread_.OnSessionEnded();
}

bool RequestSession::MatchRoute()
{
  snapshot_ = thread_.Context().Snapshot();
  if (!snapshot_) {
    Fail(
      { 503, "no-configuration", "the proxy has no accepted configuration yet", Executed::No, 1 },
      "no_configuration");
    return false;
  }
  const std::string* account = FindHeader(request_.headers, "X-Account");
  if (account == nullptr) {
    Fail({ 401, "no-account", "the X-Account header is missing" }, "no_account");
    return false;
  }
  account_ = *account;
  routeMatch_ = snapshot_->routes->Match(request_.method, request_.target, account_);
  if (routeMatch_.error != RouteError::None) {
    const RouteProblem problem = DescribeRouteError(routeMatch_.error);
    Fail({ problem.status, problem.type, std::string(problem.detail) }, problem.type);
    return false;
  }
  return true;
}

bool RequestSession::CheckRequestLimits()
{
  const size_t size = request_.body ? request_.body->size() : 0;
  if (size > MatchedRoute().maxBodyBytes) {
    Fail({ 413,
           "body-too-large",
           "the body has " + std::to_string(size) + " bytes; the route allows " +
             std::to_string(MatchedRoute().maxBodyBytes) },
         "body_too_large");
    return false;
  }
  if (!thread_.RateLimiterFor(snapshot_, routeMatch_.caller).TryTake(receivedAt_)) {
    Fail({ 429, "rate-limit", "the caller class is over its request rate", Executed::No, 1 },
         "rate_limit");
    return false;
  }
  return true;
}

bool RequestSession::CheckIdempotencyKey()
{
  if (MatchedRoute().idempotent) {
    return true;
  }
  const std::string* key = FindHeader(request_.headers, "Idempotency-Key");
  if (key == nullptr) {
    if (MatchedRoute().requireIdempotencyKey) {
      Fail({ 400, "key-required", "the route requires an Idempotency-Key header" }, "key_required");
      return false;
    }
    return true;
  }
  if (key->empty() || key->size() > kMaxIdempotencyKeyBytes) {
    Fail({ 400, "bad-key", "Idempotency-Key must have 1 to 256 characters" }, "bad_key");
    return false;
  }
  idempotencyKey_ = *key;
  return true;
}

void RequestSession::ReadDeadline()
{
  Milliseconds limit = MatchedRoute().deadline;
  if (const std::string* given = FindHeader(request_.headers, "X-Request-Deadline-Ms")) {
    if (const auto milliseconds = ParseNumber(*given)) {
      limit = std::min(limit, Milliseconds(*milliseconds));
    }
  }
  deadline_ = receivedAt_ + limit;
}

void RequestSession::Admit()
{
  serviceTraffic_ = thread_.ServiceTrafficFor(snapshot_, MatchedRoute().service);
  serviceTraffic_->retryBudget.OnRequest();
  serviceTraffic_->refusalRetryBudget.OnRequest();
  ticket_ = thread_.NextTicket();
  const auto decision =
    serviceTraffic_->admission.Admit(ticket_, routeMatch_.caller, deadline_, receivedAt_);
  if (decision.evicted) {
    if (auto node = serviceTraffic_->queuedSessions.extract(*decision.evicted)) {
      node.mapped()->OnEvicted();
    }
  }
  switch (decision.result) {
    case AdmissionResult::Start:
      return OnAdmitted();
    case AdmissionResult::Queued:
      isQueued_ = true;
      serviceTraffic_->queuedSessions.emplace(ticket_, shared_from_this());
      return;
    case AdmissionResult::DeadlineShort:
      return Fail(
        { 503, "deadline-short", "the expected wait is longer than the deadline", Executed::No, 1 },
        "deadline_short");
    case AdmissionResult::QueueFull:
    case AdmissionResult::Count:
      break;
  }
  OnEvicted();
}

void RequestSession::OnEvicted()
{
  isQueued_ = false;
  Fail({ 503, "queue-full", "the service's queue is full", Executed::No, 1 }, "queue_full");
}

void RequestSession::OnQueueTimeout()
{
  isQueued_ = false;
  Fail({ 503, "queue-timeout", "the deadline passed in the queue", Executed::No, 1 },
       "queue_timeout");
}

void RequestSession::OnAdmitted()
{
  isQueued_ = false;
  isAdmitted_ = true;
  admittedAt_ = Now();
  StartFirstAttempt();
}

void RequestSession::ClaimOrAdmit()
{
  // The claim precedes admission: a request that waits for the platform must not occupy a
  // concurrency slot or queue entry that requests without a key could use.
  if (!idempotencyKey_.empty() && !thread_.Context().settings->IsDisabled("once")) {
    RequestClaim();
  } else {
    Admit();
  }
}

void RequestSession::StartFirstAttempt()
{
  if (!StartAttempt(/*aRequireNewConnection=*/false)) {
    FailUnstartedAttempt();
  }
}

void RequestSession::FailUnstartedAttempt()
{
  const Executed executed = wasMaybeExecuted_ ? Executed::Unknown : Executed::No;
  if (Remaining(Now()) <= Duration(0)) {
    return Fail({ 504, "deadline", "the deadline passed", executed, 0, "http_response_timeout" },
                "deadline");
  }
  Fail({ 503,
         "no-upstream",
         "no upstream of the service may receive this request",
         executed,
         1,
         "destination_unavailable" },
       "no_upstream");
}

void RequestSession::RequestClaim()
{
  const std::string_view body = request_.body ? std::string_view(*request_.body) : "";
  const std::string head = request_.method + '\n' + request_.target + '\n';
  wasClaimRequested_ = true;
  ClaimRequest claim{
    MatchedService().id, account_, idempotencyKey_, Sha256Hex(head + Sha256Hex(body))
  };
  thread_.Context().hooks.claim(
    std::move(claim),
    std::min(deadline_, receivedAt_ + kMaxClaimWait),
    [self = shared_from_this(), &loop = thread_.Loop()](ClaimResult aResult) {
      loop.Post([self, aResult = std::move(aResult)]() mutable {
        self->OnClaimResult(std::move(aResult));
      });
    });
}

void RequestSession::OnClaimResult(ClaimResult aResult)
{
  switch (aResult.status) {
    case ClaimStatus::Won:
      openClaimRowKey_ = std::move(aResult.rowKey);
      if (isCallerDisconnected_) {
        CloseClaimWithoutOutcome(Executed::No);
        return Respond({}, "caller_gone");
      }
      return Admit();
    case ClaimStatus::AlreadyDone:
      return ReplayOutcome(std::move(aResult.outcome));
    case ClaimStatus::KeyReused:
      return Fail({ 422, "key-reused", "the Idempotency-Key was used with another request" },
                  "key_reused");
    case ClaimStatus::InProgressOrUnknown:
      return Fail({ 409,
                    "outcome-unknown",
                    "an earlier request with this Idempotency-Key has no known outcome",
                    Executed::Unknown },
                  "outcome_unknown");
    case ClaimStatus::StoreUnavailable:
    case ClaimStatus::Count:
      break;
  }
  Fail(
    { 503,
      "claim-unavailable",
      "this attempt was not run, because the platform's table did not answer; repeat it with the "
      "same Idempotency-Key",
      Executed::No,
      2 },
    "claim_unavailable");
}

void RequestSession::ReplayOutcome(ClaimOutcome aOutcome)
{
  if (!aOutcome.body) {
    return Fail({ 409,
                  "answer-not-kept",
                  "the request has run with status " + std::to_string(aOutcome.status) +
                    "; its answer was too large to keep",
                  Executed::Unknown },
                "answer_not_kept");
  }
  HttpResponse response;
  response.status = aOutcome.status;
  for (auto& [name, value] : aOutcome.headers) {
    if (!EqualsIgnoreCase(name, "X-Request-Id")) {
      response.headers.push_back({ std::move(name), std::move(value) });
    }
  }
  response.headers.push_back({ "Idempotency-Replayed", "true" });
  response.headers.push_back({ "X-Request-Id", requestId_ });
  response.body = std::move(*aOutcome.body);
  Respond(std::move(response), "replayed");
}

void RequestSession::CloseClaimWithoutOutcome(Executed aExecuted)
{
  if (openClaimRowKey_.empty()) {
    return;
  }
  const ControlHooks& hooks = thread_.Context().hooks;
  if (aExecuted == Executed::No) {
    hooks.withdrawClaim(std::exchange(openClaimRowKey_, {}));
  } else {
    hooks.abandonClaim(std::exchange(openClaimRowKey_, {}));
  }
}

Duration RequestSession::SlowLimit() const
{
  return snapshot_->slowLimits[MatchedRoute().service.idx];
}

void RequestSession::SendUpstreamResponse(UpstreamResult aResult)
{
  HttpResponse response;
  response.status = aResult.status;
  response.headers = EndToEndHeaders(aResult.headers);
  response.headers.push_back({ "Via", "1.1 boragegauge" });
  if (FindHeader(response.headers, "X-Request-Id") == nullptr) {
    response.headers.push_back({ "X-Request-Id", requestId_ });
  }
  response.body = std::move(aResult.body);
  if (!openClaimRowKey_.empty()) {
    ClaimOutcome outcome;
    outcome.status = static_cast<uint16_t>(response.status);
    for (const HttpHeader& header : response.headers) {
      outcome.headers.emplace_back(header.name, header.value);
    }
    if (response.body.size() <= kMaxClaimBodyBytes) {
      outcome.body = response.body;
    }
    thread_.Context().hooks.completeClaim(std::exchange(openClaimRowKey_, {}), std::move(outcome));
  }
  Respond(std::move(response), aResult.status >= 500 ? "upstream_error" : "ok");
}

void RequestSession::Fail(const Problem& aProblem, std::string_view aRule)
{
  if (hasResponded_) {
    return;
  }
  CloseClaimWithoutOutcome(aProblem.executed);
  ReportRefusal(aRule);
  Respond(MakeProblemResponse(aProblem, requestId_), aRule);
}

void RequestSession::ReportRefusal(std::string_view aRule)
{
  RefusalEvent event;
  event.rule = aRule;
  event.requestId = requestId_;
  if (snapshot_ && IsValid(routeMatch_.caller)) {
    event.caller = snapshot_->configuration->callers[routeMatch_.caller.idx].id;
  }
  if (IsValid(routeMatch_.route)) {
    event.service = MatchedService().id;
  }
  if (serviceTraffic_) {
    const AdmissionStats stats = serviceTraffic_->admission.Stats();
    event.evidence = { { "concurrency_limit", stats.limit },
                       { "in_flight", stats.inFlight },
                       { "queued", stats.queued },
                       { "service_time_ms", stats.serviceTimeMs } };
  }
  event.evidence.emplace_back("waited_ms", ToMilliseconds(Now() - receivedAt_));
  event.evidence.emplace_back("attempts", static_cast<double>(attempts_.size()));
  thread_.Context().hooks.onRefusal(std::move(event));
}

void RequestSession::Respond(HttpResponse aResponse, std::string_view aOutcome)
{
  if (hasResponded_) {
    return;
  }
  hasResponded_ = true;
  RequestMetrics metrics;
  if (IsValid(routeMatch_.route)) {
    metrics.service = MatchedService().id;
  }
  if (snapshot_ && IsValid(routeMatch_.caller)) {
    metrics.caller = snapshot_->configuration->callers[routeMatch_.caller.idx].id;
  }
  metrics.outcome = aOutcome;
  metrics.seconds = std::chrono::duration<double>(Now() - receivedAt_).count();
  metrics.attempts = static_cast<uint32_t>(attempts_.size());
  thread_.Context().onRequestDone(metrics);
  reply_->Send(std::move(aResponse));
  ReleaseAdmission();
}

void RequestSession::ReleaseAdmission()
{
  if (!isAdmitted_) {
    return;
  }
  isAdmitted_ = false;
  const TimePoint now = Now();
  serviceTraffic_->admission.Finish(now - admittedAt_);
  serviceTraffic_->ProcessQueue(now);
}

void RequestSession::OnCallerDisconnected()
{
  if (hasResponded_) {
    return;
  }
  isCallerDisconnected_ = true;
  if (isQueued_) {
    isQueued_ = false;
    serviceTraffic_->admission.Cancel(ticket_);
    const auto self = shared_from_this();
    serviceTraffic_->queuedSessions.erase(ticket_);
    CloseClaimWithoutOutcome(Executed::No);
    hasResponded_ = true;
    return;
  }
  if (wasClaimRequested_) {
    // The request continues, so that its outcome is stored for a retry with the same key.
    return;
  }
  for (Attempt& attempt : attempts_) {
    if (attempt.isRunning) {
      attempt.isOutcomeReported = true;
      thread_.Client().Cancel(attempt.transferId);
    }
  }
  Respond({}, "caller_gone");
}

} // namespace bg

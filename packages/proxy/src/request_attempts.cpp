#include <algorithm>

#include "request_session.h"

namespace bg {

namespace {

/// A pooled connection without a response for this multiple of the slow limit is unresponsive.
constexpr int kUnresponsiveFactor = 4;
constexpr Duration kMinUnresponsiveTimeout = Milliseconds(250);
/// Time for which requests to an upstream avoid its pooled connections after one of them was
/// unresponsive or failed.
constexpr Duration kNewConnectionPeriod = std::chrono::seconds(2);
/// Refusals after which a request backs off before the next attempt. The refusals before it are
/// retried at once, because a refusal costs an upstream almost nothing.
constexpr uint32_t kRefusalsPerRound = 3;
/// Base of the backoff, which doubles with each round of refusals.
constexpr Duration kRefusalBackoff = Milliseconds(4);
constexpr uint32_t kMaxBackoffDoublings = 4;

} // namespace

bool RequestSession::StartAttempt(bool aRequireNewConnection)
{
  const TimePoint now = Now();
  const Duration remaining = Remaining(now);
  if (remaining <= Duration(0)) {
    return false;
  }
  // The latest snapshot of the same configuration has the current ejections and leaving marks.
  const SnapshotPtr latest = thread_.Context().Snapshot();
  if (latest->configuration == snapshot_->configuration) {
    snapshot_ = latest;
  }
  PickRequest selectionRequest;
  selectionRequest.service = MatchedRoute().service;
  selectionRequest.localDomain = snapshot_->localDomain;
  selectionRequest.allowTrial = MatchedRoute().idempotent && attempts_.empty();
  selectionRequest.exclude = excludedUpstreams_;
  selectionRequest.random = thread_.Random();
  selectionRequest.now = now;
  const PickResult selection = PickUpstream(*snapshot_->configuration,
                                            snapshot_->upstreamStatus,
                                            *snapshot_->load,
                                            thread_.Context().settings->balancePolicy,
                                            selectionRequest);
  if (!IsValid(selection.upstream)) {
    return false;
  }

  const size_t index = attempts_.size();
  excludedUpstreams_.push_back(selection.upstream);
  ++nonRefusedAttempts_;
  Attempt& attempt = attempts_.emplace_back();
  attempt.upstream = selection.upstream;
  attempt.isTrial = selection.trial;
  attempt.usesNewConnection = aRequireNewConnection || !MatchedRoute().idempotent ||
                              thread_.RequiresNewConnection(snapshot_, selection.upstream, now);
  attempt.isRunning = true;
  attempt.startedAt = now;
  snapshot_->load->Begin(selection.upstream);
  UpstreamRequest request =
    BuildUpstreamRequest(snapshot_->configuration->upstreams[selection.upstream.idx], remaining);
  request.freshConnection = attempt.usesNewConnection;
  attempt.transferId = thread_.Client().Send(
    std::move(request), [self = shared_from_this(), index](UpstreamResult aResult) {
      self->OnAttemptResult(index, std::move(aResult));
    });
  ArmTimers(index);
  return true;
}

UpstreamRequest RequestSession::BuildUpstreamRequest(const UpstreamConfig& aUpstream,
                                                     Duration aRemaining) const
{
  UpstreamRequest request;
  request.address = aUpstream.address;
  request.port = aUpstream.port;
  request.method = request_.method;
  request.target = request_.target;
  request.headers = EndToEndHeaders(request_.headers);
  std::erase_if(request.headers, [](const HttpHeader& aHeader) {
    return EqualsIgnoreCase(aHeader.name, "X-Request-Id") ||
           EqualsIgnoreCase(aHeader.name, "X-Request-Deadline-Ms") ||
           EqualsIgnoreCase(aHeader.name, "Expect");
  });
  const auto remainingMs = std::chrono::duration_cast<Milliseconds>(aRemaining).count();
  request.headers.push_back({ "X-Request-Id", requestId_ });
  request.headers.push_back({ "X-Request-Deadline-Ms", std::to_string(remainingMs) });
  request.headers.push_back({ "X-Proxy-Domain", thread_.Context().settings->failureDomain });
  request.headers.push_back({ "Via", "1.1 boragegauge" });
  request.body = request_.body;
  request.connectTimeout = std::min<Duration>(MatchedService().connectTimeout, aRemaining);
  request.deadline = aRemaining;
  return request;
}

void RequestSession::ArmTimers(size_t aIndex)
{
  const auto weak = weak_from_this();
  const Duration slowLimit = SlowLimit();
  attempts_[aIndex].slowTimer = thread_.Loop().RunAfter(slowLimit, [weak, aIndex] {
    if (const auto self = weak.lock()) {
      self->OnSlowLimitReached(aIndex);
    }
  });
  if (!attempts_[aIndex].usesNewConnection) {
    const Duration timeout = std::max(kMinUnresponsiveTimeout, slowLimit * kUnresponsiveFactor);
    attempts_[aIndex].unresponsiveTimer = thread_.Loop().RunAfter(timeout, [weak, aIndex] {
      if (const auto self = weak.lock()) {
        self->OnUnresponsive(aIndex);
      }
    });
  }
}

void RequestSession::OnSlowLimitReached(size_t aIndex)
{
  Attempt& attempt = attempts_[aIndex];
  if (!attempt.isRunning) {
    return;
  }
  if (attempt.usesNewConnection) {
    // On a new connection, a stale pooled connection cannot be the cause of the delay.
    ReportOutcome(aIndex, OutcomeKind::Slow);
  }
  if (MatchedService().hedge && !hasResponded_ && IsRetryAllowed()) {
    TryRetry(/*aRequireNewConnection=*/false);
  }
}

void RequestSession::OnUnresponsive(size_t aIndex)
{
  Attempt& attempt = attempts_[aIndex];
  if (!attempt.isRunning) {
    return;
  }
  // The pooled connection may be dead although the upstream is healthy, so the outcome is neutral.
  // The next requests to the upstream use new connections, on which a delay counts as slow.
  ReportOutcome(aIndex, OutcomeKind::Neutral);
  thread_.RequireNewConnections(snapshot_, attempt.upstream, Now() + kNewConnectionPeriod);
  if (hasResponded_) {
    thread_.Client().Cancel(attempt.transferId);
    return;
  }
  if (IsRetryAllowed() && TryRetry(/*aRequireNewConnection=*/true)) {
    wasMaybeExecuted_ = true;
    thread_.Client().Cancel(attempt.transferId);
  }
}

void RequestSession::ReportOutcome(size_t aIndex, OutcomeKind aKind)
{
  Attempt& attempt = attempts_[aIndex];
  if (attempt.isOutcomeReported) {
    return;
  }
  attempt.isOutcomeReported = true;
  const TimePoint now = Now();
  thread_.AddOutcome(
    { snapshot_, attempt.upstream, aKind, now - attempt.startedAt, now, attempt.isTrial });
}

void RequestSession::OnAttemptResult(size_t aIndex, UpstreamResult aResult)
{
  Attempt& attempt = attempts_[aIndex];
  attempt.isRunning = false;
  attempt.slowTimer.reset();
  attempt.unresponsiveTimer.reset();
  snapshot_->load->End(attempt.upstream);
  if (aResult.failure == UpstreamFailure::Cancelled) {
    return;
  }
  if (aResult.failure == UpstreamFailure::Truncated &&
      thread_.Context().settings->IsDisabled("truncation")) {
    aResult.failure = UpstreamFailure::None;
  }
  if (aResult.failure != UpstreamFailure::None) {
    return OnTransportFailure(aIndex, aResult);
  }
  ReadLoadAndDrainHeaders(attempt.upstream, aResult);
  const std::string* reason = FindHeader(aResult.headers, "X-Not-Run");
  if (aResult.status == 503 && reason != nullptr) {
    return OnUpstreamRefusal(aIndex, *reason);
  }
  wasMaybeExecuted_ = true;
  OnResponse(aIndex, std::move(aResult));
}

void RequestSession::ReadLoadAndDrainHeaders(UpstreamHandle aUpstream,
                                             const UpstreamResult& aResult)
{
  if (const std::string* load = FindHeader(aResult.headers, "X-Load")) {
    if (const auto parsed = ParseLoadHeader(*load)) {
      snapshot_->load->Report(aUpstream, parsed->busy, Now());
    }
  }
  const std::string* refusal = FindHeader(aResult.headers, "X-Not-Run");
  const bool isDraining = FindHeader(aResult.headers, "X-Draining") != nullptr ||
                          (refusal != nullptr && *refusal == "draining");
  if (isDraining) {
    const UpstreamConfig& upstream = snapshot_->configuration->upstreams[aUpstream.idx];
    const std::string* bootId = FindHeader(aResult.headers, "X-Boot-Id");
    thread_.Context().hooks.onLeavingSignal(
      snapshot_->configuration->services[upstream.service.idx].id,
      upstream.id,
      bootId == nullptr ? "" : *bootId,
      "response");
  }
}

void RequestSession::OnUpstreamRefusal(size_t aIndex, std::string_view aReason)
{
  ReportOutcome(aIndex, OutcomeKind::Neutral);
  if (hasResponded_ || HasRunningAttempt()) {
    return;
  }
  // A documented refusal proves that the upstream did not execute the request, so even a
  // non-idempotent request may be sent to another upstream.
  --nonRefusedAttempts_;
  if (aReason != "deadline" && TryRetryAfterRefusal()) {
    return;
  }
  const bool isShed = aReason == "shed";
  Fail({ 503,
         "upstreams-refused",
         "upstreams refused the request: " + std::string(aReason),
         wasMaybeExecuted_ ? Executed::Unknown : Executed::No,
         1,
         "destination_unavailable" },
       isShed ? "shed" : "upstream_refusal");
}

bool RequestSession::TryRetryAfterRefusal()
{
  ++refusalCount_;
  const bool isRoundOver = refusalCount_ % kRefusalsPerRound == 0;
  if (!isRoundOver && serviceTraffic_->refusalRetryBudget.TryTake() &&
      StartAttempt(/*aRequireNewConnection=*/false)) {
    return true;
  }
  // Upstream slots become free all the time, so the request backs off and keeps its concurrency
  // slot while later requests queue.
  serviceTraffic_->admission.OnShed(Now());
  const uint32_t doublings = std::min(refusalCount_ / kRefusalsPerRound, kMaxBackoffDoublings);
  const Duration backoff = kRefusalBackoff * (1U << doublings) + Milliseconds(thread_.Random() % 8);
  if (Remaining(Now()) <= backoff * 2) {
    return false;
  }
  excludedUpstreams_.clear();
  refusalRetryTimer_ = thread_.Loop().RunAfter(backoff, [self = shared_from_this()] {
    // Breaks the ownership cycle between the session and its timer.
    const auto timer = std::move(self->refusalRetryTimer_);
    if (!self->hasResponded_ && !self->StartAttempt(/*aRequireNewConnection=*/false)) {
      self->FailUnstartedAttempt();
    }
  });
  return true;
}

void RequestSession::OnTransportFailure(size_t aIndex, const UpstreamResult& aResult)
{
  Attempt& attempt = attempts_[aIndex];
  const bool tracksExecution = !thread_.Context().settings->IsDisabled("notrun");
  wasMaybeExecuted_ = wasMaybeExecuted_ || (aResult.maybeSent && tracksExecution);
  const bool wasConnectionReused = aResult.connectionReused;
  ReportOutcome(aIndex, wasConnectionReused ? OutcomeKind::Neutral : OutcomeKind::Failed);
  if (wasConnectionReused) {
    thread_.RequireNewConnections(snapshot_, attempt.upstream, Now() + kNewConnectionPeriod);
  }
  if (hasResponded_ || HasRunningAttempt()) {
    return;
  }
  // A request of which nothing was sent can be retried even if it is not idempotent.
  const bool mayRetry = !aResult.maybeSent ? nonRefusedAttempts_ < kMaxAttempts : IsRetryAllowed();
  if (mayRetry && TryRetry(wasConnectionReused)) {
    return;
  }
  const bool isTimeout = aResult.failure == UpstreamFailure::Timeout;
  Fail({ isTimeout ? 504 : 502,
         "upstream-failure",
         "no complete response from an upstream: " + aResult.detail,
         wasMaybeExecuted_ ? Executed::Unknown : Executed::No,
         0,
         isTimeout ? "http_response_timeout" : "http_response_incomplete" },
       isTimeout ? "upstream_timeout" : "upstream_failure");
}

void RequestSession::OnResponse(size_t aIndex, UpstreamResult aResult)
{
  const Duration elapsed = Now() - attempts_[aIndex].startedAt;
  const bool isError = aResult.status >= 500;
  ReportOutcome(aIndex,
                isError                 ? OutcomeKind::Failed
                : elapsed > SlowLimit() ? OutcomeKind::Slow
                                        : OutcomeKind::Good);
  if (hasResponded_) {
    return;
  }
  if (isError &&
      (HasRunningAttempt() || (IsRetryAllowed() && TryRetry(/*aRequireNewConnection=*/false)))) {
    return;
  }
  SendUpstreamResponse(std::move(aResult));
}

bool RequestSession::IsRetryAllowed() const
{
  const bool isSafeToRetry =
    MatchedRoute().idempotent || thread_.Context().settings->IsDisabled("retry_guard");
  return isSafeToRetry && nonRefusedAttempts_ < kMaxAttempts &&
         excludedUpstreams_.size() < MatchedService().upstreams.size();
}

bool RequestSession::TryRetry(bool aRequireNewConnection)
{
  return Remaining(Now()) > Duration(0) && serviceTraffic_->retryBudget.TryTake() &&
         StartAttempt(aRequireNewConnection);
}

bool RequestSession::HasRunningAttempt() const
{
  return std::any_of(
    attempts_.begin(), attempts_.end(), [](const Attempt& aAttempt) { return aAttempt.isRunning; });
}

} // namespace bg

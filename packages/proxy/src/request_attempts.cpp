#include <algorithm>

#include "request_session.h"

namespace bg {

namespace {

/// A pooled connection without a response for this multiple of the slow limit counts as silent.
constexpr int kSilenceFactor = 4;
constexpr Duration kMinSilence = Milliseconds(250);
/// After a silent connection, requests to the upstream avoid its other pooled connections.
constexpr Duration kFreshPeriod = std::chrono::seconds(2);
/// Refusals before a request waits; the wait doubles with each round. A refusal costs an upstream
/// almost nothing.
constexpr uint32_t kRefusalsPerRound = 3;
constexpr Duration kRefusalWait = Milliseconds(4);
constexpr uint32_t kMaxWaitDoublings = 4;

} // namespace

bool RequestSession::StartAttempt(bool aFresh)
{
  const TimePoint now = Now();
  const Duration remaining = Remaining(now);
  if (remaining <= Duration(0)) {
    return false;
  }
  // The newest snapshot of the same configuration has the latest ejections and leaving marks.
  const SnapshotPtr latest = thread_.Shared().Snapshot();
  if (latest->configuration == snapshot_->configuration) {
    snapshot_ = latest;
  }
  PickRequest pick;
  pick.service = RouteOf().service;
  pick.localDomain = snapshot_->localDomain;
  pick.allowTrial = RouteOf().idempotent && attempts_.empty();
  pick.exclude = exclude_;
  pick.random = thread_.Random();
  pick.now = now;
  const PickResult picked = PickUpstream(*snapshot_->configuration,
                                         snapshot_->status,
                                         *snapshot_->load,
                                         thread_.Shared().settings->balancePolicy,
                                         pick);
  if (!IsValid(picked.upstream)) {
    return false;
  }

  const size_t index = attempts_.size();
  exclude_.push_back(picked.upstream);
  ++sent_;
  Attempt& attempt = attempts_.emplace_back();
  attempt.upstream = picked.upstream;
  attempt.isTrial = picked.trial;
  attempt.isFresh = aFresh || !RouteOf().idempotent ||
                    thread_.NeedsFreshConnection(snapshot_, picked.upstream, now);
  attempt.isRunning = true;
  attempt.startedAt = now;
  snapshot_->load->Begin(picked.upstream);
  UpstreamRequest request =
    MakeUpstreamRequest(snapshot_->configuration->upstreams[picked.upstream.idx], remaining);
  request.freshConnection = attempt.isFresh;
  attempt.transfer = thread_.Client().Send(
    std::move(request), [self = shared_from_this(), index](UpstreamResult aResult) {
      self->OnResult(index, std::move(aResult));
    });
  ArmTimers(index);
  return true;
}

UpstreamRequest RequestSession::MakeUpstreamRequest(const UpstreamConfig& aUpstream,
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
  request.headers.push_back({ "X-Proxy-Domain", thread_.Shared().settings->failureDomain });
  request.headers.push_back({ "Via", "1.1 boragegauge" });
  request.body = request_.body;
  request.connectTimeout = std::min<Duration>(ServiceOf().connectTimeout, aRemaining);
  request.deadline = aRemaining;
  return request;
}

void RequestSession::ArmTimers(size_t aIndex)
{
  const auto weak = weak_from_this();
  const Duration slow = SlowLimit();
  attempts_[aIndex].slowTimer = thread_.Loop().RunAfter(slow, [weak, aIndex] {
    if (const auto self = weak.lock()) {
      self->OnSlow(aIndex);
    }
  });
  if (!attempts_[aIndex].isFresh) {
    const Duration silence = std::max(kMinSilence, slow * kSilenceFactor);
    attempts_[aIndex].silenceTimer = thread_.Loop().RunAfter(silence, [weak, aIndex] {
      if (const auto self = weak.lock()) {
        self->OnSilent(aIndex);
      }
    });
  }
}

void RequestSession::OnSlow(size_t aIndex)
{
  Attempt& attempt = attempts_[aIndex];
  if (!attempt.isRunning) {
    return;
  }
  if (attempt.isFresh) {
    // On a new connection the delay is the upstream's or the path's, not an old connection's.
    CountEvidence(aIndex, EvidenceKind::Slow);
  }
  if (ServiceOf().hedge && !isAnswered_ && MaySendAgain()) {
    TryRetry(false);
  }
}

void RequestSession::OnSilent(size_t aIndex)
{
  Attempt& attempt = attempts_[aIndex];
  if (!attempt.isRunning) {
    return;
  }
  // The connection may be dead while the upstream works: nothing is held against the upstream, and
  // its next requests use new connections, where a delay does count.
  CountEvidence(aIndex, EvidenceKind::Neutral);
  thread_.RequireFreshConnections(snapshot_, attempt.upstream, Now() + kFreshPeriod);
  if (isAnswered_) {
    thread_.Client().Cancel(attempt.transfer);
    return;
  }
  if (MaySendAgain() && TryRetry(true)) {
    wasMaybeSent_ = true;
    thread_.Client().Cancel(attempt.transfer);
  }
}

void RequestSession::CountEvidence(size_t aIndex, EvidenceKind aKind)
{
  Attempt& attempt = attempts_[aIndex];
  if (attempt.isCounted) {
    return;
  }
  attempt.isCounted = true;
  const TimePoint now = Now();
  thread_.AddEvidence(
    { snapshot_, attempt.upstream, aKind, now - attempt.startedAt, now, attempt.isTrial });
}

void RequestSession::OnResult(size_t aIndex, UpstreamResult aResult)
{
  Attempt& attempt = attempts_[aIndex];
  attempt.isRunning = false;
  attempt.slowTimer.reset();
  attempt.silenceTimer.reset();
  snapshot_->load->End(attempt.upstream);
  if (aResult.failure == UpstreamFailure::Cancelled) {
    return;
  }
  if (aResult.failure == UpstreamFailure::Truncated &&
      thread_.Shared().settings->IsDisabled("truncation")) {
    aResult.failure = UpstreamFailure::None;
  }
  if (aResult.failure != UpstreamFailure::None) {
    return OnTransportFailure(aIndex, aResult);
  }
  ReadLoadAndDrain(attempt.upstream, aResult);
  const std::string* reason = FindHeader(aResult.headers, "X-Not-Run");
  if (aResult.status == 503 && reason != nullptr) {
    return OnRefused(aIndex, *reason);
  }
  wasMaybeSent_ = true;
  OnResponse(aIndex, std::move(aResult));
}

void RequestSession::ReadLoadAndDrain(UpstreamHandle aUpstream, const UpstreamResult& aResult)
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
    thread_.Shared().hooks.onLeaving(snapshot_->configuration->services[upstream.service.idx].id,
                                     upstream.id,
                                     bootId == nullptr ? "" : *bootId,
                                     "response");
  }
}

void RequestSession::OnRefused(size_t aIndex, std::string_view aReason)
{
  CountEvidence(aIndex, EvidenceKind::Neutral);
  if (isAnswered_ || HasRunningAttempt()) {
    return;
  }
  // A documented refusal proves that the request was not run, so that any request may go elsewhere.
  --sent_;
  if (aReason != "deadline" && RetryRefused()) {
    return;
  }
  const bool isShed = aReason == "shed";
  Fail({ 503,
         "upstreams-refused",
         "upstreams refused the request: " + std::string(aReason),
         wasMaybeSent_ ? Executed::Unknown : Executed::No,
         1,
         "destination_unavailable" },
       isShed ? "shed" : "upstream_refusal");
}

bool RequestSession::RetryRefused()
{
  ++refusals_;
  const bool isRoundOver = refusals_ % kRefusalsPerRound == 0;
  if (!isRoundOver && service_->refusalRetries.TryTake() && StartAttempt(false)) {
    return true;
  }
  // Slots become free all the time, so the request waits in its place while later ones queue behind
  // the concurrency limit.
  service_->admission.OnShed(Now());
  const uint32_t round = std::min(refusals_ / kRefusalsPerRound, kMaxWaitDoublings);
  const Duration wait = kRefusalWait * (1U << round) + Milliseconds(thread_.Random() % 8);
  if (Remaining(Now()) <= wait * 2) {
    return false;
  }
  exclude_.clear();
  retryTimer_ = thread_.Loop().RunAfter(wait, [self = shared_from_this()] {
    // Ends the cycle of the session and its timer.
    const auto timer = std::move(self->retryTimer_);
    if (!self->isAnswered_ && !self->StartAttempt(false)) {
      self->FailUnsent();
    }
  });
  return true;
}

void RequestSession::OnTransportFailure(size_t aIndex, const UpstreamResult& aResult)
{
  Attempt& attempt = attempts_[aIndex];
  const bool tellsTruth = !thread_.Shared().settings->IsDisabled("notrun");
  wasMaybeSent_ = wasMaybeSent_ || (aResult.maybeSent && tellsTruth);
  const bool isOldConnection = aResult.connectionReused;
  CountEvidence(aIndex, isOldConnection ? EvidenceKind::Neutral : EvidenceKind::Failed);
  if (isOldConnection) {
    thread_.RequireFreshConnections(snapshot_, attempt.upstream, Now() + kFreshPeriod);
  }
  if (isAnswered_ || HasRunningAttempt()) {
    return;
  }
  const bool maySend = !aResult.maybeSent ? sent_ < kMaxAttempts : MaySendAgain();
  if (maySend && TryRetry(isOldConnection)) {
    return;
  }
  const bool isTimeout = aResult.failure == UpstreamFailure::Timeout;
  Fail({ isTimeout ? 504 : 502,
         "upstream-failure",
         "no complete response from an upstream: " + aResult.detail,
         wasMaybeSent_ ? Executed::Unknown : Executed::No,
         0,
         isTimeout ? "http_response_timeout" : "http_response_incomplete" },
       isTimeout ? "upstream_timeout" : "upstream_failure");
}

void RequestSession::OnResponse(size_t aIndex, UpstreamResult aResult)
{
  const Duration elapsed = Now() - attempts_[aIndex].startedAt;
  const bool isError = aResult.status >= 500;
  CountEvidence(aIndex,
                isError                 ? EvidenceKind::Failed
                : elapsed > SlowLimit() ? EvidenceKind::Slow
                                        : EvidenceKind::Good);
  if (isAnswered_) {
    return;
  }
  if (isError && (HasRunningAttempt() || (MaySendAgain() && TryRetry(false)))) {
    return;
  }
  Deliver(std::move(aResult));
}

bool RequestSession::MaySendAgain() const
{
  const bool isSafe = RouteOf().idempotent || thread_.Shared().settings->IsDisabled("retry_guard");
  return isSafe && sent_ < kMaxAttempts && exclude_.size() < ServiceOf().upstreams.size();
}

bool RequestSession::TryRetry(bool aFresh)
{
  return Remaining(Now()) > Duration(0) && service_->retries.TryTake() && StartAttempt(aFresh);
}

bool RequestSession::HasRunningAttempt() const
{
  return std::any_of(
    attempts_.begin(), attempts_.end(), [](const Attempt& aAttempt) { return aAttempt.isRunning; });
}

} // namespace bg

#include "session_p.h"

namespace bg::fleet::detail {

namespace {

using placement::Outcome;

/// Kept from the caller's deadline so that a final response still arrives in time.
constexpr Duration kReplyMargin = Milliseconds(30);
/// Deadline of callers that state none and whose route has no timeout.
constexpr Duration kDefaultDeadline = std::chrono::seconds(30);
/// Between hosts of a region a connection takes a few ms; a lost packet delays it by a second.
constexpr Duration kConnectTimeout = Milliseconds(150);
/// Upstreams tried without a connection before the request is given up.
constexpr uint32_t kMaxUnreachable = 5;
/// A repeat needs at least this much time to be of use.
constexpr Duration kMinRepeatTime = Milliseconds(100);
/// Retry-After while the host has no configuration.
constexpr Duration kStartupRetryAfter = std::chrono::seconds(1);

double MillisecondsOf(Duration aDuration)
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
  if (aTraffic.Shared().routes.load() && aTraffic.Shared().isCurrent) {
    session->Serve();
  } else {
    aTraffic.AwaitConfiguration(std::move(session));
  }
}

void FleetSession::Serve()
{
  if (!isAnswered_ && Route()) {
    AskForSlot();
  }
}

FleetSession::FleetSession(FleetTraffic& aTraffic,
                           HttpRequest aRequest,
                           std::shared_ptr<HttpReply> aReply)
  : traffic_(aTraffic)
  , request_(std::move(aRequest))
  , reply_(std::move(aReply))
  , caller_(traffic_.Control().Dialect().readCaller(request_.headers))
  , receivedAt_(Now())
{
  traffic_.SessionStarted();
}

FleetSession::~FleetSession()
{
  traffic_.SessionEnded();
}

bool FleetSession::Route()
{
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
  Duration wait = route_->timeout > Milliseconds(0) ? Duration(route_->timeout) : kDefaultDeadline;
  if (caller_.deadline) {
    wait = std::min(wait, Duration(*caller_.deadline) - kReplyMargin);
  }
  deadline_ = receivedAt_ + wait;
  wait = deadline_ - Now();
  service_ = ChooseService(*route_, traffic_.Random());
  deadlineTimer_ = traffic_.Loop().RunAfter(wait, [self = shared_from_this()] {
    // Ends the cycle of the session and its timer.
    const auto timer = std::move(self->deadlineTimer_);
    self->OnDeadline();
  });
  return true;
}

void FleetSession::AskForSlot()
{
  sequence_ = traffic_.NextSequence();
  const TimePoint now = Now();
  SlotQuery query;
  query.requestId = caller_.requestId;
  query.service = service_;
  query.idempotent = IsIdempotent();
  query.isRepeat = attempts_ > 0;
  query.priority = route_->priority;
  query.bodyBytes = request_.body ? request_.body->size() : 0;
  query.receivedAt = receivedAt_;
  query.aimBy = receivedAt_ +
                (route_->latencyTarget > Milliseconds(0) ? route_->latencyTarget : route_->timeout);
  query.deadline = deadline_;
  query.exclude = tried_;
  for (std::string& upstream : traffic_.Unreachable(now)) {
    query.exclude.push_back(std::move(upstream));
  }
  traffic_.Control().Acquire(sequence_,
                             std::move(query),
                             [self = shared_from_this(), sequence = sequence_](SlotResult aResult) {
                               self->traffic_.Loop().Post(
                                 [self, sequence, aResult = std::move(aResult)]() mutable {
                                   self->OnSlot(sequence, std::move(aResult));
                                 });
                             });
}

void FleetSession::OnSlot(uint64_t aSequence, SlotResult aResult)
{
  if (isAnswered_ || aSequence != sequence_) {
    if (aResult.isGranted) {
      traffic_.Control().Release(aSequence, Outcome::Cancelled, Duration(0));
    }
    return;
  }
  if (!aResult.isGranted) {
    sequence_ = 0;
    if (lastError_) {
      Log(LogLevel::Info,
          "repeat_refused",
          { { "request_id", caller_.requestId },
            { "service", service_ },
            { "reason", aResult.reason },
            { "delivered_status", lastError_->status } });
      return Deliver(*std::exchange(lastError_, std::nullopt));
    }
    return Fail(mayHaveRun_ ? 502 : 503,
                aResult.reason,
                "no upstream could take the request in time",
                aResult.retryAfter);
  }
  upstream_ = std::move(aResult.upstream);
  Send();
}

void FleetSession::Send()
{
  const TimePoint now = Now();
  const Duration left = deadline_ - now;
  if (left <= Duration(0)) {
    return OnDeadline();
  }
  ++attempts_;
  sentAt_ = now;
  UpstreamRequest upstream;
  upstream.address = upstream_.address;
  upstream.port = upstream_.port;
  upstream.method = request_.method;
  upstream.target = request_.target;
  upstream.body = request_.body;
  upstream.headers = EndToEndHeaders(request_.headers);
  if (const std::string* host = FindHeader(request_.headers, "Host")) {
    upstream.headers.push_back({ "Host", *host });
  }
  traffic_.Control().Dialect().writeUpstream(
    upstream.headers, std::chrono::duration_cast<Milliseconds>(left), upstream_.id);
  upstream.connectTimeout = kConnectTimeout;
  upstream.deadline = left;
  // A fresh connection proves that the path works in both directions and cannot hold bytes of an
  // earlier response; each host meets an upstream so rarely that an idle one would have been
  // closed.
  upstream.freshConnection = true;
  upstream.acceptClosedEnd = true;
  transfer_ = traffic_.Client().Send(
    std::move(upstream),
    [self = shared_from_this()](UpstreamResult aResult) { self->OnResult(std::move(aResult)); });
}

void FleetSession::EndSlot(Outcome aOutcome, std::string_view aDetail)
{
  const Duration latency = Now() - sentAt_;
  if (sequence_ != 0) {
    traffic_.Control().Release(std::exchange(sequence_, 0), aOutcome, latency);
  }
  traffic_.Metrics().CountAttempt(service_, aOutcome);
  if (aOutcome != Outcome::Good) {
    Log(LogLevel::Info,
        "attempt_failed",
        { { "request_id", caller_.requestId },
          { "upstream", upstream_.id },
          { "service", service_ },
          { "attempt", attempts_ },
          { "outcome", ToString(aOutcome) },
          { "latency_ms", MillisecondsOf(latency) },
          { "detail", aDetail } });
  }
}

void FleetSession::OnResult(UpstreamResult aResult)
{
  transfer_ = 0;
  if (isAnswered_) {
    return;
  }
  if (aResult.failure == UpstreamFailure::Connect || !aResult.maybeSent) {
    return OnUnreachable(aResult);
  }
  if (aResult.failure != UpstreamFailure::None) {
    return OnTransportFailure(aResult);
  }
  OnResponse(std::move(aResult));
}

void FleetSession::OnUnreachable(const UpstreamResult& aResult)
{
  --attempts_;
  ++unreachable_;
  EndSlot(Outcome::Unreachable, aResult.detail);
  traffic_.MarkUnreachable(upstream_.id, Now());
  if (unreachable_ < kMaxUnreachable && deadline_ - Now() > kMinRepeatTime) {
    return AskForSlot();
  }
  Fail(mayHaveRun_ ? 502 : 503, "unreachable", aResult.detail, Milliseconds(500));
}

void FleetSession::OnTransportFailure(const UpstreamResult& aResult)
{
  const bool isTimeout = aResult.failure == UpstreamFailure::Timeout;
  mayHaveRun_ = true;
  EndSlot(isTimeout ? Outcome::TimedOut : Outcome::Failed, aResult.detail);
  if (isTimeout) {
    return Fail(504, "upstream_timeout", aResult.detail, Duration(0));
  }
  if (IsIdempotent() && TryAgain("incomplete")) {
    return;
  }
  Fail(502, "upstream_failure", aResult.detail, Duration(0));
}

void FleetSession::OnRefused(Outcome aOutcome)
{
  EndSlot(aOutcome, "not executed");
  if (TryAgain(ToString(aOutcome))) {
    return;
  }
  Fail(mayHaveRun_ ? 502 : 503,
       "upstreams_refused",
       "the upstreams refused the request",
       Milliseconds(500));
}

void FleetSession::OnResponse(UpstreamResult aResult)
{
  const ResponseMetadata meta =
    traffic_.Control().Dialect().readResponse(aResult.status, aResult.headers);
  if (meta.isMisdirected) {
    return OnRefused(Outcome::Misdirected);
  }
  if (meta.isNotExecuted) {
    return OnRefused(Outcome::Refused);
  }
  mayHaveRun_ = true;
  const bool isOwn =
    meta.isSigned && (meta.requestId.empty() || meta.requestId == caller_.requestId);
  const bool isError = !isOwn || aResult.status >= 500;
  EndSlot(isError ? Outcome::Failed : Outcome::Good,
          isOwn ? "status " + std::to_string(aResult.status) : "response is not the upstream's");
  if (isError && IsIdempotent() && TryAgain("error")) {
    if (isOwn) {
      lastError_ = std::move(aResult);
    }
    return;
  }
  if (!isOwn) {
    return Fail(502, "invalid_response", "the response is not the upstream's own", Duration(0));
  }
  Deliver(std::move(aResult));
}

bool FleetSession::TryAgain(std::string_view aReason)
{
  const TimePoint now = Now();
  tried_.push_back(upstream_.id);
  if (attempts_ >= route_->maxAttempts || deadline_ - now < kMinRepeatTime) {
    return false;
  }
  Log(LogLevel::Info,
      "request_repeated",
      { { "request_id", caller_.requestId },
        { "service", service_ },
        { "reason", aReason },
        { "attempts", attempts_ },
        { "attempt_limit", route_->maxAttempts },
        { "left_ms", MillisecondsOf(deadline_ - now) } });
  AskForSlot();
  return true;
}

void FleetSession::OnDeadline()
{
  if (isAnswered_) {
    return;
  }
  if (transfer_ != 0) {
    mayHaveRun_ = true;
    traffic_.Client().Cancel(std::exchange(transfer_, 0));
    EndSlot(Outcome::TimedOut, "deadline");
  }
  Fail(mayHaveRun_ ? 504 : 503, "deadline", "the time for the request is over", Milliseconds(500));
}

void FleetSession::OnCallerGone()
{
  if (isAnswered_) {
    return;
  }
  if (transfer_ != 0) {
    traffic_.Client().Cancel(std::exchange(transfer_, 0));
  }
  if (sequence_ != 0) {
    traffic_.Control().Release(std::exchange(sequence_, 0), Outcome::Cancelled, Duration(0));
  }
  Respond({}, "caller_gone");
}

void FleetSession::Deliver(UpstreamResult aResult)
{
  HttpResponse response;
  response.status = aResult.status;
  response.headers = EndToEndHeaders(aResult.headers);
  response.body = std::move(aResult.body);
  Respond(std::move(response), aResult.status >= 500 ? "upstream_error" : "ok");
}

void FleetSession::Fail(int aStatus,
                        std::string_view aRule,
                        std::string aDetail,
                        Duration aRetryAfter)
{
  if (isAnswered_) {
    return;
  }
  if (sequence_ != 0) {
    traffic_.Control().Release(std::exchange(sequence_, 0), Outcome::Cancelled, Duration(0));
  }
  Log(LogLevel::Info,
      "request_failed",
      { { "request_id", caller_.requestId },
        { "status", aStatus },
        { "rule", aRule },
        { "service", service_ },
        { "route", route_ == nullptr ? "" : route_->id },
        { "revision", routes_ ? routes_->Configuration().revision : 0 },
        { "attempts", attempts_ },
        { "unreachable", unreachable_ },
        { "held_ms", MillisecondsOf(Now() - receivedAt_) },
        { "detail", aDetail } });
  Problem problem;
  problem.status = aStatus;
  problem.type = aRule;
  problem.detail = std::move(aDetail);
  problem.executed = mayHaveRun_ ? Executed::Unknown : Executed::No;
  problem.retryAfterSeconds =
    aStatus == 503 ? std::chrono::duration<double>(aRetryAfter).count() : 0;
  Respond(MakeProblemResponse(problem, caller_.requestId), aRule);
}

void FleetSession::Respond(HttpResponse aResponse, std::string_view aOutcome)
{
  isAnswered_ = true;
  deadlineTimer_.reset();
  traffic_.Metrics().CountRequest(service_,
                                  route_ != nullptr && IsIdempotent() ? "idempotent"
                                                                      : "non_idempotent",
                                  aOutcome,
                                  std::chrono::duration<double>(Now() - receivedAt_).count());
  reply_->Send(std::move(aResponse));
}

} // namespace bg::fleet::detail

#include "boragegauge/config.h"
#include "boragegauge/http_util.h"
#include "relay_headers_p.h"
#include "relay_p.h"
#include "session_p.h"

namespace bg::fleet::detail {

namespace {

/// Requests of other hosts that run at the same time. More would slow down those of the own
/// callers.
constexpr size_t kMaxRelayedRequests = 64;

RelayOutcome OutcomeOf(UpstreamFailure aFailure)
{
  switch (aFailure) {
    case UpstreamFailure::Reset:
      return RelayOutcome::Reset;
    case UpstreamFailure::Truncated:
      return RelayOutcome::Truncated;
    case UpstreamFailure::Timeout:
      return RelayOutcome::TimedOut;
    default:
      return RelayOutcome::Invalid;
  }
}

void SendOutcome(FleetTraffic& aTraffic,
                 HttpReply& aReply,
                 RelayOutcome aOutcome,
                 std::string aDetail)
{
  aTraffic.Metrics().RecordRelay("served", ToString(aOutcome));
  aReply.Send(
    { .status = 502,
      .headers = { { std::string(kRelayOutcomeHeader), std::string(ToString(aOutcome)) } },
      .body = std::move(aDetail) });
}

/// A request of another host. Pending callbacks share the ownership of the session.
class RelaySession : public std::enable_shared_from_this<RelaySession>
{
public:
  RelaySession(FleetTraffic& aTraffic,
               RegisteredUpstream aUpstream,
               std::shared_ptr<HttpReply> aReply)
    : traffic_(aTraffic)
    , upstream_(std::move(aUpstream))
    , reply_(std::move(aReply))
  {
    traffic_.SessionStarted();
    traffic_.RelayStarted();
  }

  ~RelaySession()
  {
    traffic_.RelayEnded();
    traffic_.SessionEnded();
  }

  RelaySession(const RelaySession&) = delete;
  RelaySession& operator=(const RelaySession&) = delete;

  void Start(const HttpRequest& aRequest, Duration aTimeLeft)
  {
    reply_->OnCallerGone([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->traffic_.Client().Cancel(std::exchange(self->transfer_, 0));
      }
    });
    UpstreamRequest request;
    request.address = upstream_.address;
    request.port = upstream_.port;
    request.method = aRequest.method;
    request.target = aRequest.target;
    request.body = aRequest.body;
    request.headers = EndToEndHeaders(aRequest.headers);
    RemoveRelayHeaders(request.headers);
    if (const std::string* host = FindHeader(aRequest.headers, "Host")) {
      request.headers.push_back({ "Host", *host });
    }
    traffic_.SetTransferLimits(request, aTimeLeft);
    transfer_ = traffic_.Client().Send(std::move(request),
                                       [self = shared_from_this()](UpstreamResult aResult) {
                                         self->transfer_ = 0;
                                         self->OnResult(std::move(aResult));
                                       });
  }

private:
  void OnResult(UpstreamResult aResult)
  {
    const TimePoint now = Now();
    if (aResult.failure == UpstreamFailure::Connect || !aResult.maybeSent) {
      traffic_.RecordUnreachable(upstream_.id, now);
      const bool isOwnFault = traffic_.Links().IsInDoubtBeside(upstream_.id);
      return SendOutcome(traffic_,
                         *reply_,
                         isOwnFault ? RelayOutcome::NoLinks : RelayOutcome::Unreachable,
                         std::move(aResult.detail));
    }
    traffic_.RecordConnected(upstream_.id, now);
    if (aResult.failure == UpstreamFailure::Reset ||
        aResult.failure == UpstreamFailure::Truncated) {
      return traffic_.VerifyCrash(
        upstream_, [self = shared_from_this(), aResult](bool aHasCrashed) {
          SendOutcome(self->traffic_,
                      *self->reply_,
                      aHasCrashed ? RelayOutcome::Crashed : OutcomeOf(aResult.failure),
                      aResult.detail);
        });
    }
    if (aResult.failure != UpstreamFailure::None) {
      return SendOutcome(traffic_, *reply_, OutcomeOf(aResult.failure), std::move(aResult.detail));
    }
    const ResponseMetadata metadata =
      traffic_.Control().Dialect().readResponse(aResult.status, aResult.headers);
    if (metadata.pause && !metadata.isMisdirected) {
      traffic_.RecordPause(upstream_, *metadata.pause, now);
      traffic_.Control().ReportPause(upstream_.id, upstream_.startedAtMs, *metadata.pause, now);
    }
    traffic_.Metrics().RecordRelay("served", ToString(RelayOutcome::Response));
    HttpResponse response;
    response.status = aResult.status;
    response.headers = EndToEndHeaders(aResult.headers);
    RemoveRelayHeaders(response.headers);
    response.headers.push_back(
      { std::string(kRelayOutcomeHeader), std::string(ToString(RelayOutcome::Response)) });
    response.body = std::move(aResult.body);
    response.reservation = std::move(aResult.reservation);
    reply_->Send(std::move(response));
  }

  FleetTraffic& traffic_;
  RegisteredUpstream upstream_;
  std::shared_ptr<HttpReply> reply_;
  uint64_t transfer_ = 0; ///< Running upstream request; 0: none.
};

} // namespace

RelayServer::RelayServer(FleetTraffic& aTraffic)
  : traffic_(aTraffic)
{
}

std::optional<Error> RelayServer::Start(const FleetInit& aInit,
                                        EventLoop& aLoop,
                                        std::shared_ptr<ByteBudget> aBudget)
{
  HttpServerInit init;
  init.loop = &aLoop;
  init.address = aInit.address;
  init.port = aInit.relayPort;
  init.maxBodyBytes = kMaxBodyBytesLimit;
  init.budget = std::move(aBudget);
  init.handler = [this](const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply) {
    Handle(aRequest, aReply);
  };
  auto server = CreateHttpServer(std::move(init));
  if (!server) {
    return server.Failure();
  }
  server_ = std::move(*server);
  return std::nullopt;
}

void RelayServer::Handle(const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply)
{
  const std::string* id = FindHeader(aRequest.headers, kRelayUpstreamHeader);
  const std::string* timeLeft = FindHeader(aRequest.headers, kRelayTimeLeftHeader);
  const auto milliseconds = timeLeft == nullptr ? std::nullopt : ParseNumber(*timeLeft);
  if (id == nullptr || !milliseconds) {
    return aReply->Send({ .status = 400, .headers = {}, .body = "not a relayed request" });
  }
  if (isStopping_ || traffic_.Relayed() >= kMaxRelayedRequests) {
    return SendOutcome(
      traffic_, *aReply, RelayOutcome::Busy, "too many relayed requests, or stopping");
  }
  if (traffic_.Links().HasLostLinks()) {
    traffic_.TryLinks();
    return SendOutcome(
      traffic_, *aReply, RelayOutcome::NoLinks, "this host reaches no upstream either");
  }
  const auto endpoints = traffic_.Shared().endpoints.load();
  const auto upstream = endpoints ? endpoints->find(*id) : UpstreamEndpoints::const_iterator{};
  if (!endpoints || upstream == endpoints->end()) {
    return SendOutcome(
      traffic_, *aReply, RelayOutcome::Unknown, "no such upstream accepts requests");
  }
  if (traffic_.IsPaused(upstream->second, Now())) {
    return SendOutcome(
      traffic_, *aReply, RelayOutcome::Busy, "the upstream wants no requests of this host now");
  }
  std::make_shared<RelaySession>(traffic_, upstream->second, aReply)
    ->Start(aRequest, Milliseconds(*milliseconds));
}

} // namespace bg::fleet::detail

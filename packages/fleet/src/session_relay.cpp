// The part of FleetSession that sends requests by way of other hosts.
#include "session_p.h"

namespace bg::fleet::detail {

namespace {

using placement::Outcome;

/// Hosts that are asked to relay one attempt. With most hosts cut off, most of the others are known
/// after a few requests.
constexpr size_t kMaxRelays = 4;
/// A host that cannot be connected to, or has lost its links, is not asked again for this long.
constexpr Duration kRelayUnablePeriod = std::chrono::seconds(2);
constexpr Duration kRelayBusyPeriod = Milliseconds(100);
/// A caller that comes back reaches another host, which probably has its links.
constexpr Duration kNoLinksRetryAfter = Milliseconds(100);

} // namespace

void FleetSession::SendByRelay()
{
  const TimePoint now = Now();
  const Duration timeLeft = deadline_ - now;
  if (timeLeft <= Duration(0)) {
    return OnDeadline();
  }
  if (!ConfirmAccount()) {
    return;
  }
  const relay::RelayPeer* peer =
    triedRelays_.size() < kMaxRelays ? traffic_.SelectRelay(triedRelays_, now) : nullptr;
  if (peer == nullptr) {
    return OnRelaysExhausted();
  }
  relay_ = peer->host;
  triedRelays_.push_back(relay_);
  sentAt_ = now;
  Log(LogLevel::Info,
      "attempt_relayed",
      { { "request_id", caller_.requestId },
        { "upstream", upstream_.id },
        { "service", service_ },
        { "peer", relay_ },
        { "links_lost", traffic_.Links().HasLostLinks() } });
  transfer_ =
    traffic_.Client().Send(MakeRelayRequest(MakeUpstreamRequest(timeLeft), upstream_.id, *peer),
                           [self = shared_from_this()](UpstreamResult aResult) {
                             self->OnRelayResult(std::move(aResult));
                           });
}

void FleetSession::OnRelayResult(UpstreamResult aResult)
{
  transfer_ = 0;
  if (hasResponded_) {
    return;
  }
  const TimePoint now = Now();
  relay::RelaySelector& relays = traffic_.Relays();
  if (aResult.failure == UpstreamFailure::Connect || !aResult.maybeSent) {
    traffic_.Metrics().RecordRelay("sent", "unconnected");
    relays.RecordUnable(relay_, kRelayUnablePeriod, now);
    return SendByRelay();
  }
  const auto outcome = aResult.failure == UpstreamFailure::None ? ReadRelayResult(aResult)
                                                                : std::optional<RelayOutcome>();
  traffic_.Metrics().RecordRelay("sent", outcome ? ToString(*outcome) : "broken");
  if (!outcome) { // The relaying host may have sent the request before the connection ended.
    relays.RecordUnable(relay_, kRelayUnablePeriod, now);
    if (aResult.failure == UpstreamFailure::None) {
      aResult.failure = UpstreamFailure::Protocol;
    }
    return OnTransportFailure(aResult);
  }
  switch (*outcome) {
    case RelayOutcome::NoLinks:
      relays.RecordUnable(relay_, kRelayUnablePeriod, now);
      return SendByRelay();
    case RelayOutcome::Busy:
      relays.RecordUnable(relay_, kRelayBusyPeriod, now);
      return SendByRelay();
    case RelayOutcome::Unreachable:
      return OnUnreachable(Outcome::Unreachable, aResult.detail);
    case RelayOutcome::Unknown:
      return OnUnreachable(Outcome::Cancelled, aResult.detail);
    default:
      break;
  }
  relays.RecordServed(relay_, now);
  responseBytes_ = SizeOf(aResult);
  if (*outcome == RelayOutcome::Crashed) {
    traffic_.Control().ReportCrash(fingerprint_,
                                   { upstream_.id, upstream_.startedAtMs, sentAt_, now, "" },
                                   caller_.requestId,
                                   request_.target);
  }
  if (aResult.failure != UpstreamFailure::None) {
    return OnTransportFailure(aResult);
  }
  OnResponse(std::move(aResult));
}

/// Neither this host nor one that it can ask reaches the upstream.
void FleetSession::OnRelaysExhausted()
{
  if (!traffic_.Links().HasLostLinks() || !traffic_.Relays().HasPeers()) {
    // Without a relay at all, nobody else can tell whether the upstream is down.
    const bool isOwnFault = traffic_.Links().IsInDoubtBeside(upstream_.id);
    return OnUnreachable(isOwnFault ? Outcome::Cancelled : Outcome::Unreachable,
                         "the upstream cannot be connected to");
  }
  --attempts_;
  FinishAttempt(Outcome::Cancelled, "this host reaches no upstream, and no other host relays");
  Fail(
    mayHaveExecuted_ ? 502 : 503, "no_links", "this host reaches no upstream", kNoLinksRetryAfter);
}

} // namespace bg::fleet::detail

// The part of FleetSession that starts and ends an attempt at an upstream.
#include <numeric>

#include "request_fingerprint_p.h"
#include "session_p.h"

namespace bg::fleet::detail {

namespace {

using placement::Outcome;

/// Bytes of a header field beside its name and value: a colon, a space and the end of the line.
constexpr size_t kFieldOverhead = 4;
/// Bytes of a request line or status line beside the method and target, or the reason.
constexpr size_t kStartLineOverhead = 12;

double ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

size_t SizeOf(std::span<const HttpHeader> aHeaders)
{
  return std::accumulate(
    aHeaders.begin(), aHeaders.end(), size_t{ 0 }, [](size_t aSum, const HttpHeader& aHeader) {
      return aSum + aHeader.name.size() + aHeader.value.size() + kFieldOverhead;
    });
}

} // namespace

size_t FleetSession::SizeOf(const UpstreamResult& aResult)
{
  return kStartLineOverhead + detail::SizeOf(aResult.headers) + aResult.body.size();
}

void FleetSession::RecordDomainBytes(Outcome aOutcome)
{
  if (aOutcome == Outcome::Unreachable || aOutcome == Outcome::Cancelled) {
    return; // Nothing was sent.
  }
  const size_t body = request_.body ? request_.body->size() : 0;
  traffic_.RecordDomainBytes(upstream_.failureDomain,
                             DomainBytesKind::Request,
                             kStartLineOverhead + request_.method.size() + request_.target.size() +
                               detail::SizeOf(request_.headers) + body);
  traffic_.RecordDomainBytes(upstream_.failureDomain, DomainBytesKind::Response, responseBytes_);
}

UpstreamRequest FleetSession::MakeUpstreamRequest(Duration aTimeLeft) const
{
  UpstreamRequest request;
  request.address = upstream_.address;
  request.port = upstream_.port;
  request.method = request_.method;
  request.target = request_.target;
  request.body = request_.body;
  request.headers = EndToEndHeaders(request_.headers);
  if (const std::string* host = FindHeader(request_.headers, "Host")) {
    request.headers.push_back({ "Host", *host });
  }
  traffic_.Control().Dialect().writeUpstream(request.headers,
                                             std::chrono::duration_cast<Milliseconds>(aTimeLeft),
                                             upstream_.id,
                                             account_ ? std::string_view(account_->name) : "");
  traffic_.SetTransferLimits(request, aTimeLeft);
  return request;
}

void FleetSession::FinishAttempt(Outcome aOutcome, std::string_view aDetail)
{
  const Duration latency = Now() - sentAt_;
  if (slotSequence_ != 0) {
    traffic_.Control().Release(std::exchange(slotSequence_, 0),
                               { aOutcome,
                                 latency,
                                 namedLimit_,
                                 answeredAt_,
                                 isLeaving_,
                                 pause_,
                                 hasSurvived_ ? fingerprint_ : 0,
                                 aOutcome == Outcome::Good ? responseBytes_ : 0 });
  }
  traffic_.Metrics().RecordAttempt(service_, aOutcome);
  RecordDomainBytes(aOutcome);
  if (aOutcome != Outcome::Good) {
    Log(LogLevel::Info,
        "attempt_failed",
        { { "request_id", caller_.requestId },
          { "upstream", upstream_.id },
          { "service", service_ },
          { "attempt", attempts_ },
          { "outcome", ToString(aOutcome) },
          { "fingerprint", FormatFingerprint(fingerprint_) },
          { "latency_ms", ToMilliseconds(latency) },
          { "revision", routes_->Configuration().revision },
          { "confirmed_ms", ToMilliseconds(sentAt_ - confirmedAt_) },
          { "peer", relay_ },
          { "detail", aDetail } });
  }
}

} // namespace bg::fleet::detail

#include <algorithm>

#include "boragegauge/http_util.h"
#include "relay_headers_p.h"
#include "relay_p.h"

namespace bg::fleet::detail {

namespace {

/// Hosts of a fleet are at most some 10 ms apart.
constexpr Duration kRelayConnectTimeout = Milliseconds(100);

UpstreamFailure FailureOf(RelayOutcome aOutcome)
{
  switch (aOutcome) {
    case RelayOutcome::Response:
      return UpstreamFailure::None;
    case RelayOutcome::Crashed:
    case RelayOutcome::Reset:
      return UpstreamFailure::Reset;
    case RelayOutcome::Truncated:
      return UpstreamFailure::Truncated;
    case RelayOutcome::TimedOut:
      return UpstreamFailure::Timeout;
    case RelayOutcome::Invalid:
      return UpstreamFailure::Protocol;
    default:
      return UpstreamFailure::Connect;
  }
}

} // namespace

std::string_view ToString(RelayOutcome aOutcome)
{
  static constexpr std::string_view kNames[] = { "response", "unreachable", "no_links", "busy",
                                                 "unknown",  "crashed",     "reset",    "truncated",
                                                 "timeout",  "invalid" };
  static_assert(std::size(kNames) == static_cast<size_t>(RelayOutcome::Count));
  return aOutcome < RelayOutcome::Count ? kNames[static_cast<size_t>(aOutcome)] : "";
}

UpstreamRequest MakeRelayRequest(UpstreamRequest aRequest,
                                 std::string_view aUpstream,
                                 const relay::RelayPeer& aPeer)
{
  aRequest.address = aPeer.address;
  aRequest.port = aPeer.port;
  aRequest.connectTimeout = kRelayConnectTimeout;
  aRequest.headers.push_back({ std::string(kRelayUpstreamHeader), std::string(aUpstream) });
  aRequest.headers.push_back(
    { std::string(kRelayTimeLeftHeader),
      std::to_string(std::chrono::duration_cast<Milliseconds>(aRequest.deadline).count()) });
  return aRequest;
}

std::optional<RelayOutcome> ReadRelayResult(UpstreamResult& aResult)
{
  const std::string* name = FindHeader(aResult.headers, kRelayOutcomeHeader);
  if (name == nullptr) {
    return std::nullopt;
  }
  for (size_t i = 0; i < static_cast<size_t>(RelayOutcome::Count); ++i) {
    const auto outcome = static_cast<RelayOutcome>(i);
    if (*name != ToString(outcome)) {
      continue;
    }
    if (outcome != RelayOutcome::Response) {
      aResult.detail = std::move(aResult.body);
      aResult.failure = FailureOf(outcome);
      aResult.maybeSent = aResult.failure != UpstreamFailure::Connect;
      aResult.status = 0;
    }
    RemoveRelayHeaders(aResult.headers);
    return outcome;
  }
  return std::nullopt;
}

} // namespace bg::fleet::detail

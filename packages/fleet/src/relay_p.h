#pragma once

#include <memory>
#include <optional>
#include <string>

#include "boragegauge/httpd.h"
#include "boragegauge/relay.h"
#include "boragegauge/upstream.h"
#include "control_p.h"

namespace bg::fleet::detail {

class FleetTraffic;

/// How a request ended at the host that it was relayed by.
enum class RelayOutcome
{
  Response,    ///< The upstream has responded.
  Unreachable, ///< The upstream could not be connected to; nothing was sent.
  NoLinks,     ///< The relaying host has lost its links as well; nothing was sent.
  Busy,        ///< The relaying host relays enough requests, or is stopping; nothing was sent.
  Unknown,     ///< The relaying host knows no such upstream that accepts requests.
  Crashed,     ///< The upstream has cut the response off, and accepts no connections since.
  Reset,       ///< See UpstreamFailure, like the ones below.
  Truncated,
  TimedOut,
  Invalid,

  Count
};

std::string_view ToString(RelayOutcome aOutcome);

/// Turns a request to an upstream into one to a host that relays it.
UpstreamRequest MakeRelayRequest(UpstreamRequest aRequest,
                                 std::string_view aUpstream,
                                 const relay::RelayPeer& aPeer);

/// Reads how a relayed request ended, and makes the result look as if it had been sent directly.
/// @return Nothing if the response is not that of a relaying host.
std::optional<RelayOutcome> ReadRelayResult(UpstreamResult& aResult);

/// Sends requests to upstreams for hosts that do not reach them. It neither routes nor retries: the
/// other host has the slot, the limits and the deadline of the request. A request is never relayed
/// twice. Traffic thread only.
class RelayServer
{
public:
  explicit RelayServer(FleetTraffic& aTraffic);

  /// @param aBudget Of the bodies in memory.
  std::optional<Error> Start(const FleetInit& aInit,
                             EventLoop& aLoop,
                             std::shared_ptr<ByteBudget> aBudget);
  /// From now on further requests are refused.
  void BeginStop() { isStopping_ = true; }
  /// See HttpServer::Unfinished().
  size_t Unfinished() const { return server_->Unfinished(); }

private:
  void Handle(const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply);

  FleetTraffic& traffic_;
  bool isStopping_ = false;
  std::unique_ptr<HttpServer> server_;
};

} // namespace bg::fleet::detail

#pragma once

#include <functional>
#include <span>
#include <string_view>

#include "boragegauge/framing.h"

struct curl_slist;
struct sockaddr;

namespace bg::detail {

/// ASCII case-insensitive equality.
bool EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight);

/// True for a name as of a method or a header field.
bool IsToken(std::string_view aText);

/// True for fields that are valid for one connection only: those of RFC 9110, section 7.6.1, and
/// those listed in the Connection field.
bool IsHopByHop(std::string_view aName, std::span<const HttpHeader> aHeaders);

/// Returns an empty string if the request can be sent, otherwise the reason why it cannot. Rejects
/// all characters that could end the request line or a header line early (header injection).
std::string CheckRequest(const UpstreamRequest& aRequest);

/// Waits for events of one curl socket, by a descriptor of its own. curl closes the other one, for
/// attempts to connect without a call of its close function, and the system may give its number to
/// any thread before this object knows.
class SocketWatch
{
public:
  virtual ~SocketWatch() = default;
  /// Sets the events to wait for.
  /// @param aWhat One of curl's CURL_POLL values.
  virtual void SetInterest(int aWhat) = 0;
  /// Returns the ConnectionName(); empty until the system has chosen the local port.
  virtual const std::string& Name() = 0;
  /// True if the socket has unread bytes, was closed by the peer or has failed.
  virtual bool HasUnreadInput() = 0;
  /// Whether curl has given the socket up: its number is closed, or it was never connected.
  /// Meaningful when curl no longer waits for events.
  virtual bool IsGivenUp() = 0;
  /// Closes the descriptor of the watch; no event is reported afterwards.
  virtual void Close() = 0;
};

/// Identifies a connection as "PEER_IP PEER_PORT LOCAL_PORT".
std::string ConnectionName(std::string_view aIp, int aPort, int aLocalPort);

/// The socket stays curl's own. @return Null if no descriptor is left.
/// @param aReady Called with the socket and the CURL_CSELECT value of an event.
std::shared_ptr<SocketWatch> WatchSocket(asio::io_context& aContext,
                                         int aSocket,
                                         const sockaddr* aPeer,
                                         std::function<void(int, int)> aReady);

/// See UpstreamClient::Probe().
void ProbeConnection(EventLoop& aLoop,
                     const std::string& aAddress,
                     uint16_t aPort,
                     Duration aTimeout,
                     std::function<void(ProbeResult)> aCallback);

/// Largest number of bytes of a response with all its framing: header sections, chunk sizes and
/// extensions, trailers.
size_t MaxReceivedBytes(size_t aMaxBodyBytes);

/// Sets those options of a curl easy handle that are the same for all transfers.
void SetFixedOptions(void* aEasy);

/// Maps curl's result code of an incomplete transfer to a failure.
/// @param aCode A CURLcode.
UpstreamFailure ClassifyFailure(int aCode,
                                const ResponseReader& aResponse,
                                std::string_view aErrorText,
                                bool aMaybeSent,
                                bool aDeadlinePassed);

/// Sets the time limits and the connection reuse of one attempt.
/// @param aTimeLeft Time until the request's deadline.
/// @param aForceFreshConnection Opens a new connection even if the request allows a reused one.
void SetLimits(void* aEasy,
               const UpstreamRequest& aRequest,
               Duration aTimeLeft,
               Duration aMaxConnectionAge,
               bool aForceFreshConnection);

/// Sets the options of one request and returns its header list. The request, the response and the
/// list must live as long as the transfer; the caller frees the list.
curl_slist* SetRequest(void* aEasy, const UpstreamRequest& aRequest, ResponseReader& aResponse);

} // namespace bg::detail

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "boragegauge/byte_budget.h"
#include "boragegauge/eventloop.h"

namespace bg {

struct HttpHeader
{
  std::string name;
  std::string value;
};

/// One HTTP request to one upstream.
struct UpstreamRequest
{
  std::string address; ///< IP address.
  uint16_t port = 0;
  std::string method;
  std::string target; ///< Request target in origin form: path and query.
  std::vector<HttpHeader> headers;
  std::shared_ptr<const std::string> body; ///< Null or empty for no body.
  Duration connectTimeout = Milliseconds(500);
  Duration deadline = Milliseconds(5000); ///< Time limit of the whole exchange, from Send() on.
  /// Uses a new connection for this request only. Required for non-idempotent requests, because
  /// libcurl itself sends a request again if a reused connection turns out to be dead.
  bool freshConnection = false;
  size_t maxResponseBytes = 64UL << 20; ///< Maximum size of the response body.
  /// Accepts a close-delimited response (without Content-Length and not chunked) as complete if its
  /// connection is closed without an error.
  bool acceptClosedEnd = false;
};

enum class UpstreamFailure
{
  None,
  Connect, ///< No connection was established; nothing was sent.
  Timeout, ///< The deadline passed before the response was complete.
  Reset,   ///< The connection was closed before the response headers were complete.
  /// The body ended before its Content-Length or its last chunk, or is close-delimited and the
  /// request does not accept that.
  Truncated,
  /// The response exceeds a limit: of its headers, its body, its bytes with all framing, or of the
  /// memory for all responses.
  TooLarge,
  Protocol,  ///< The response is not valid HTTP, or the request is malformed and was not sent.
  Cancelled, ///< Cancel() was called.

  Count
};

struct UpstreamResult
{
  UpstreamFailure failure = UpstreamFailure::None;
  std::string detail;            ///< Error text; empty on success.
  bool maybeSent = false;        ///< At least one request byte may have reached the upstream.
  bool connectionReused = false; ///< The request was sent on a pooled connection.
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
  std::shared_ptr<ByteReservation> reservation; ///< Of the body, in UpstreamClientInit::budget.
  Duration connectTime{ 0 };
  Duration totalTime{ 0 };
};

enum class ProbeResult
{
  Accepted,
  Refused, ///< Nothing listens at the address.
  Silent,  ///< No answer in time.

  Count
};

struct UpstreamClientStats
{
  uint64_t transfers = 0;
  uint64_t newConnections = 0;
  uint64_t reusedConnections = 0;
  uint64_t active = 0; ///< Unfinished transfers.
};

/// HTTP client of one traffic thread. All functions must be called on the event loop's thread,
/// where the callbacks run as well. Destroying the client drops its transfers without callbacks.
class UpstreamClient
{
public:
  using Callback = std::function<void(UpstreamResult)>;

  virtual ~UpstreamClient() = default;

  /// Starts a transfer and returns its id. The callback is never called from inside Send().
  virtual uint64_t Send(UpstreamRequest aRequest, Callback aCallback) = 0;

  /// Closes the transfer's connection; its callback gets Cancelled. Ignores unknown ids.
  virtual void Cancel(uint64_t aTransferId) = 0;

  /// Opens a connection to an upstream and closes it without a request, to find out whether the
  /// upstream still runs. The callback is never called from inside Probe().
  /// @param aAddress IP address.
  virtual void Probe(const std::string& aAddress,
                     uint16_t aPort,
                     Duration aTimeout,
                     std::function<void(ProbeResult)> aCallback) = 0;

  virtual UpstreamClientStats Stats() const = 0;
};

struct UpstreamClientInit
{
  EventLoop* loop = nullptr;
  size_t maxConnectionsPerUpstream = 64;
  Duration maxConnectionAge = std::chrono::seconds(60); ///< Older connections are not reused.
  /// Bounds the response bodies in memory. When it is used up, the largest unfinished response is
  /// given up. Null: no limit.
  std::shared_ptr<ByteBudget> budget{};
};

std::unique_ptr<UpstreamClient> CreateCurlUpstreamClient(const UpstreamClientInit& aInit);

/// Looks up a header field by its case-insensitive name; returns null if there is none.
const std::string* FindHeader(const std::vector<HttpHeader>& aHeaders, std::string_view aName);

} // namespace bg

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "boragegauge/byte_budget.h"
#include "boragegauge/upstream.h"

namespace bg {

/// A complete request of a caller.
struct HttpRequest
{
  std::string method;
  std::string target;
  std::vector<HttpHeader> headers;
  std::shared_ptr<const std::string> body;
  std::string remoteAddress;
};

struct HttpResponse
{
  int status = 200;
  std::vector<HttpHeader> headers{}; ///< Content-Length is added by the server.
  std::string body{};
  std::shared_ptr<ByteReservation> reservation{}; ///< Of the body; held until it is written.
};

/// Answers one request, once; later calls are ignored. Loop thread only.
class HttpReply
{
public:
  virtual ~HttpReply() = default;
  virtual void Send(HttpResponse aResponse) = 0;
  /// Closes the connection without a response.
  virtual void Abort() = 0;
  /// Called when the caller's connection closes before Send().
  virtual void OnCallerGone(std::function<void()> aCallback) = 0;
};

enum class HttpBackend
{
  /// Answers every refusal with a status and Expect with "100 Continue"; for callers.
  Asio,
  /// Closes the connection without a status on bodies over the limit and on malformed HTTP, joins
  /// folded header lines, ignores Expect, has no byte budget, answers Abort() with 500 and closes
  /// idle connections only after idleTimeout when it stops, and keeps its limits; for the admin
  /// address.
  Restinio,

  Count
};

struct HttpServerStats
{
  uint64_t connections = 0; ///< Open now.
  uint64_t requests = 0;    ///< Complete requests since the start.
  uint64_t inFlight = 0;    ///< Requests without a response yet.
  uint64_t rejected = 0;    ///< Malformed or over a limit.
  uint64_t cutOff = 0;      ///< Connections closed because their callers did not read.
  uint64_t callerBytes = 0; ///< Held now for callers that have not read or sent everything.
};

/// Limits that may change while a server runs; 0 leaves one as it is.
struct HttpLimits
{
  size_t maxHeaderBytes = 0; ///< Of the header section, up to kMaxHeaderBytes.
  size_t maxBodyBytes = 0;
  Duration idleTimeout{ 0 }; ///< Between two requests.
  Duration headTimeout{ 0 }; ///< For a head after its first byte.
};

/// Time without a byte from or to a caller in the middle of a message. After a partition of 5 s,
/// TCP sends again 6.2 s after the first loss (its retransmission timeout starts at 0.2 s and
/// doubles).
constexpr Duration kCallerStallTimeout = std::chrono::seconds(10);

struct HttpServerInit
{
  EventLoop* loop = nullptr;
  std::string address = "127.0.0.1";
  uint16_t port = 0;      ///< 0: chosen by the system.
  bool reusePort = false; ///< Several servers, one per traffic thread, share the port.
  size_t maxHeaderBytes = kMaxHeaderBytes; ///< Of the header section.
  size_t maxBodyBytes = 1UL << 20;
  HttpBackend backend = HttpBackend::Asio;
  std::shared_ptr<ByteBudget> budget{}; ///< Requests over it are answered with 503; null: no limit.
  Duration idleTimeout = std::chrono::seconds(60); ///< Between two requests.
  Duration headTimeout = std::chrono::seconds(10); ///< For a head after its first byte.
  Duration bodyTimeout = kCallerStallTimeout;      ///< Without progress in a body or a response.
  /// Unread responses and incomplete request bodies in memory. Beyond it, the connections whose
  /// last progress is the oldest are given up. 0: half of the budget, so that slow callers leave
  /// the rest to others.
  size_t maxCallerBytes = 0;
  /// Called when a connection is closed because its caller did not read a response. Reasons:
  /// "stalled", "memory".
  std::function<void(std::string_view aReason)> onCallerCutOff = nullptr;
  std::function<void(HttpRequest, std::shared_ptr<HttpReply>)> handler{};
};

/// HTTP/1.1 server. Refuses requests with several or no Host headers, folded header lines,
/// absolute-form targets and headers over the limits of config.h with a 4xx and a log line.
class HttpServer
{
public:
  virtual ~HttpServer() = default;
  virtual uint16_t Port() const = 0;
  /// Closes the listening socket and idle connections; requests in flight are finished, their
  /// responses carry "Connection: close".
  virtual void StopAccepting() = 0;
  virtual HttpServerStats Stats() const = 0;
  /// Number of connections whose callers would lose something if the process ended now: requests
  /// that are arriving or handled, and responses that the system of the caller has not taken.
  virtual size_t Unfinished() const = 0;
  /// Answers the requests that are still arriving with 503, for the end of a stop.
  virtual void RefuseIncomplete() = 0;
  /// Responses carry "Connection: close" from now on; new connections are still accepted.
  virtual void CloseAfterResponses() = 0;
  /// Holds for requests that begin later. Loop thread only.
  virtual void SetLimits(const HttpLimits& aLimits) = 0;
};

/// Fails with Unavailable when the address cannot be bound.
Result<std::unique_ptr<HttpServer>> CreateHttpServer(HttpServerInit aInit);

} // namespace bg

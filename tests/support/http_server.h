#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "boragegauge/eventloop.h"

/// Small HTTP/1.1 server for the stand-ins. It can also violate the protocol on purpose.
namespace bg::support {

/// Case-insensitive header names.
struct HeaderLess
{
  bool operator()(const std::string& aLeft, const std::string& aRight) const;
};
using Headers = std::map<std::string, std::string, HeaderLess>;

struct HttpRequest
{
  std::string method;
  std::string target;
  std::string path;                         ///< Target without the query.
  std::map<std::string, std::string> query; ///< Percent-decoded.
  Headers headers;
  std::string body;

  /// Empty when the header is absent.
  std::string Header(const std::string& aName) const;
  /// The default when the query parameter is absent.
  std::string Query(const std::string& aName, const std::string& aDefault = "") const;
};

struct HttpResponse
{
  int status = 200;
  Headers headers;
  std::string body;
  bool close = false;
};

/// One request and its response. All calls after the exchange ended do nothing.
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;
  virtual const HttpRequest& Request() const = 0;
  /// Time since the connection was accepted.
  virtual Duration ConnectionAge() const = 0;
  virtual bool Ended() const = 0;
  virtual void Respond(HttpResponse aResponse) = 0;
  /// Writes the bytes as they are, then closes the connection.
  virtual void SendRawAndClose(std::string aBytes) = 0;
  /// Writes the response, then resets the connection.
  virtual void RespondAndReset(HttpResponse aResponse) = 0;
  virtual void Close() = 0;
  virtual void Reset() = 0;
  /// Called when the caller closes the connection before the response.
  virtual void OnClosed(std::function<void()> aCallback) = 0;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

struct HttpServerInit
{
  EventLoop* loop = nullptr;
  uint16_t port = 0; ///< 0: chosen by the system.
  HttpHandler handler;
};

/// Listens on 127.0.0.1. Destroying it closes the listener and all connections; it must not happen
/// inside the handler.
class HttpServer
{
public:
  virtual ~HttpServer() = default;
  virtual uint16_t Port() const = 0;
  virtual void StopAccepting() = 0;
  virtual size_t Connections() const = 0;
  /// Responses that are not completely written yet.
  virtual size_t PendingWrites() const = 0;
  /// Closes the listener and resets all connections, as when the process is killed.
  virtual void Abort() = 0;
};

/// Throws std::system_error when the port cannot be bound.
std::unique_ptr<HttpServer> CreateHttpServer(HttpServerInit aInit);

/// Bytes of the response as they go to the connection.
std::string Serialize(const HttpResponse& aResponse, bool aHead);

/// Runs the callback once when SIGTERM or SIGINT arrives.
void OnTerminate(EventLoop& aLoop, std::function<void()> aCallback);

/// Ignores SIGPIPE, prints "listening port=N" and flushes.
void PrintListening(uint16_t aPort);

} // namespace bg::support

#pragma once

#include <functional>
#include <memory>
#include <string>

#include "http_server.h"

namespace bg::support {

enum class ClientOutcome
{
  Complete,
  ConnectFailed, ///< Nothing was sent.
  Broken,        ///< The connection ended before the first byte of the response.
  Truncated,     ///< The connection ended inside the response.
  Invalid,       ///< The response is not HTTP.

  Count
};

struct ClientResult
{
  ClientOutcome outcome = ClientOutcome::Complete;
  int status = 0;
  Headers headers;
  std::string body;
};

/// One client connection with keep-alive; one request at a time.
class HttpConnection
{
public:
  using Callback = std::function<void(ClientResult)>;

  virtual ~HttpConnection() = default;
  /// Connects when needed, writes the bytes and reads one response. The callback is never called
  /// from inside Send().
  virtual void Send(std::string aBytes, bool aHead, Callback aCallback) = 0;
  /// Idle, and not closed by the peer so far.
  virtual bool Usable() const = 0;
  /// Completed at least one request.
  virtual bool Reused() const = 0;
  /// Closes the connection; a pending callback gets Broken or Truncated.
  virtual void Close() = 0;
};

std::shared_ptr<HttpConnection> CreateHttpConnection(EventLoop& aLoop,
                                                     const std::string& aAddress,
                                                     uint16_t aPort);

} // namespace bg::support

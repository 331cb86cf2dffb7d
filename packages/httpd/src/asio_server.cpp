// Standard headers come before Asio, which otherwise misses aligned_alloc and then frees memory of
// other files with the wrong function.
#include <algorithm>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <sys/socket.h>

#include "asio_server_p.h"
#include "boragegauge/boot_timer.h"

namespace bg {

namespace {

using namespace detail;
using asio::ip::tcp;
using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

/// Time that connections accepted during a stop have to send their request.
constexpr auto kLastRequestTime = std::chrono::seconds(1);

/// Wait after a failure to accept, for example without free descriptors.
constexpr auto kAcceptRetryTime = std::chrono::milliseconds(50);

/// Interval between log lines on connections that were cut off.
constexpr Duration kCutOffLogInterval = std::chrono::seconds(1);

/// See HttpServerInit::maxCallerBytes.
size_t MaxCallerBytes(const HttpServerInit& aInit)
{
  if (aInit.maxCallerBytes > 0) {
    return aInit.maxCallerBytes;
  }
  return aInit.budget ? aInit.budget->Limit() / 2 : SIZE_MAX;
}

std::vector<std::shared_ptr<CallerConnection>> OpenConnections(const ConnectionContext& aContext)
{
  std::vector<std::shared_ptr<CallerConnection>> open;
  for (const auto& [key, weak] : aContext.connections) {
    if (auto connection = weak.lock()) {
      open.push_back(std::move(connection));
    }
  }
  return open;
}

/// Accepts connections until it is closed; kept alive by its pending operation.
class Listener : public std::enable_shared_from_this<Listener>
{
public:
  explicit Listener(std::shared_ptr<ConnectionContext> aContext)
    : context_(std::move(aContext))
    , acceptor_(context_->init.loop->Context())
    , timer_(context_->init.loop->Context())
  {
  }

  /// Throws std::system_error when the address cannot be bound.
  uint16_t Open()
  {
    const HttpServerInit& init = context_->init;
    const tcp::endpoint endpoint(asio::ip::make_address(init.address), init.port);
    isV6_ = endpoint.address().is_v6();
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    if (init.reusePort) {
      acceptor_.set_option(ReusePort(true));
    }
    acceptor_.bind(endpoint);
    acceptor_.listen();
    acceptor_.non_blocking(true);
    Wait();
    return acceptor_.local_endpoint().port();
  }

  void Close()
  {
    std::error_code ignored;
    acceptor_.close(ignored);
    timer_.cancel();
  }

  /// Accepts what the system has queued; false after a failure.
  bool AcceptAll(Duration aIdleTimeout)
  {
    while (true) {
      const int socket =
        ::accept4(acceptor_.native_handle(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (socket >= 0) {
        OpenConnection(context_, socket, isV6_, aIdleTimeout);
      } else if (errno == EAGAIN) {
        return true;
      } else if (errno != ECONNABORTED && errno != EINTR) {
        const std::error_code error(errno, std::generic_category());
        Log(LogLevel::Error, "accept_failed", { { "error", error.message() } });
        return false;
      }
    }
  }

private:
  void Wait()
  {
    acceptor_.async_wait(tcp::acceptor::wait_read,
                         [self = shared_from_this()](const std::error_code& aError) {
                           if (!aError && self->acceptor_.is_open()) {
                             self->Ready();
                           }
                         });
  }

  void Ready()
  {
    if (AcceptAll(context_->init.idleTimeout)) {
      Wait();
      return;
    }
    timer_.expires_after(kAcceptRetryTime);
    timer_.async_wait([self = shared_from_this()](const std::error_code& aError) {
      if (!aError && self->acceptor_.is_open()) {
        self->Wait();
      }
    });
  }

  std::shared_ptr<ConnectionContext> context_;
  tcp::acceptor acceptor_;
  BootTimer timer_;
  bool isV6_ = false;
};

class AsioServer : public HttpServer
{
public:
  explicit AsioServer(HttpServerInit aInit)
    : context_(std::make_shared<ConnectionContext>(std::move(aInit)))
    , listener_(std::make_shared<Listener>(context_))
    , port_(listener_->Open())
  {
  }

  ~AsioServer() override
  {
    context_->stopping = true;
    listener_->Close();
    for (const auto& connection : OpenConnections(*context_)) {
      connection->End();
    }
  }

  AsioServer(const AsioServer&) = delete;
  AsioServer& operator=(const AsioServer&) = delete;

  uint16_t Port() const override { return port_; }

  void StopAccepting() override
  {
    if (std::exchange(context_->stopping, true)) {
      return;
    }
    const auto earlier = OpenConnections(*context_);
    // Closing the listening socket would reset connections that the system has already accepted.
    listener_->AcceptAll(kLastRequestTime);
    listener_->Close();
    for (const auto& connection : earlier) {
      connection->StopIfIdle();
    }
  }

  HttpServerStats Stats() const override
  {
    HttpServerStats stats = context_->stats;
    stats.callerBytes = context_->callerMemory.Bytes();
    return stats;
  }

  size_t Unfinished() const override
  {
    const auto open = OpenConnections(*context_);
    return static_cast<size_t>(std::count_if(
      open.begin(), open.end(), [](const auto& aEntry) { return aEntry->IsUnfinished(); }));
  }

  void RefuseIncomplete() override
  {
    for (const auto& connection : OpenConnections(*context_)) {
      connection->RefuseIncomplete();
    }
  }

  void CloseAfterResponses() override { context_->closing = true; }

  void SetLimits(const HttpLimits& aLimits) override
  {
    HttpServerInit& init = context_->init;
    if (aLimits.maxHeaderBytes > 0) {
      init.maxHeaderBytes = std::min(aLimits.maxHeaderBytes, kMaxHeaderBytes);
    }
    if (aLimits.maxBodyBytes > 0) {
      init.maxBodyBytes = aLimits.maxBodyBytes;
    }
    if (aLimits.idleTimeout > Duration(0)) {
      init.idleTimeout = aLimits.idleTimeout;
    }
    if (aLimits.headTimeout > Duration(0)) {
      init.headTimeout = aLimits.headTimeout;
    }
  }

private:
  std::shared_ptr<ConnectionContext> context_;
  std::shared_ptr<Listener> listener_;
  uint16_t port_;
};

} // namespace

namespace detail {

ConnectionContext::ConnectionContext(HttpServerInit aInit)
  : init(std::move(aInit))
  , callerMemory(MaxCallerBytes(init))
{
}

void ConnectionContext::TrimCallerMemory()
{
  if (std::exchange(isTrimming, true)) {
    return;
  }
  while (CallerConnection* excess = callerMemory.Excess()) {
    callerMemory.Remove(excess);
    const auto found = connections.find(excess);
    if (const auto connection = found == connections.end() ? nullptr : found->second.lock()) {
      connection->GiveUp();
    }
  }
  isTrimming = false;
}

void ConnectionContext::RecordCutOff(std::string_view aReason,
                                     std::string_view aPeer,
                                     size_t aUnreadBytes,
                                     Duration aStalled)
{
  ++stats.cutOff;
  if (init.onCallerCutOff) {
    init.onCallerCutOff(aReason);
  }
  if (Now() < nextCutOffLog) {
    return;
  }
  nextCutOffLog = Now() + kCutOffLogInterval;
  Log(LogLevel::Warning,
      "caller_cut_off",
      { { "peer", aPeer },
        { "reason", aReason },
        { "unread_bytes", aUnreadBytes },
        { "stalled_ms", aStalled / Milliseconds(1) },
        { "caller_bytes", callerMemory.Bytes() },
        { "connections", stats.connections },
        { "total", stats.cutOff } });
}

Result<std::unique_ptr<HttpServer>> CreateAsioServer(HttpServerInit aInit)
{
  const std::string peer = aInit.address + ":" + std::to_string(aInit.port);
  try {
    return std::unique_ptr<HttpServer>(std::make_unique<AsioServer>(std::move(aInit)));
  } catch (const std::system_error& error) {
    return Error{ Errc::Unavailable, "http.bind", peer, error.what() };
  }
}

} // namespace detail

Result<std::unique_ptr<HttpServer>> CreateHttpServer(HttpServerInit aInit)
{
  return aInit.backend == HttpBackend::Restinio ? detail::CreateRestinioServer(std::move(aInit))
                                                : detail::CreateAsioServer(std::move(aInit));
}

} // namespace bg

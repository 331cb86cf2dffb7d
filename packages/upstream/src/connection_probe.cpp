#include <functional>
#include <memory>
#include <string>

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>

#include "upstream_p.h"

namespace bg::detail {

namespace {

/// Keeps itself alive through its callbacks until it has a result.
class ProbeSession : public std::enable_shared_from_this<ProbeSession>
{
public:
  ProbeSession(EventLoop& aLoop, std::function<void(ProbeResult)> aCallback)
    : loop_(aLoop)
    , socket_(aLoop.Context())
    , callback_(std::move(aCallback))
  {
  }

  void Start(const asio::ip::tcp::endpoint& aEndpoint, Duration aTimeout)
  {
    timer_ =
      loop_.RunAfter(aTimeout, [self = shared_from_this()] { self->Finish(ProbeResult::Silent); });
    socket_.async_connect(aEndpoint, [self = shared_from_this()](const std::error_code& aError) {
      self->Finish(aError ? ProbeResult::Refused : ProbeResult::Accepted);
    });
  }

private:
  void Finish(ProbeResult aResult)
  {
    if (!callback_) {
      return;
    }
    const auto self = shared_from_this(); // The timer may hold the last reference.
    const auto callback = std::exchange(callback_, nullptr);
    timer_.reset();
    std::error_code ignored;
    socket_.close(ignored);
    callback(aResult);
  }

  EventLoop& loop_;
  asio::ip::tcp::socket socket_;
  std::unique_ptr<EventLoop::Timer> timer_;
  std::function<void(ProbeResult)> callback_;
};

} // namespace

void ProbeConnection(EventLoop& aLoop,
                     const std::string& aAddress,
                     uint16_t aPort,
                     Duration aTimeout,
                     std::function<void(ProbeResult)> aCallback)
{
  std::error_code error;
  const auto address = asio::ip::make_address(aAddress, error);
  if (error) {
    return aLoop.Post([callback = std::move(aCallback)] { callback(ProbeResult::Refused); });
  }
  std::make_shared<ProbeSession>(aLoop, std::move(aCallback))->Start({ address, aPort }, aTimeout);
}

} // namespace bg::detail

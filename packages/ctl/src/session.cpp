#include <future>
#include <thread>

#include "boragegauge/ctl.h"
#include "boragegauge/upstream.h"

namespace bg::ctl {

namespace {

constexpr Milliseconds kProxyDeadline{ 3000 };

/// Runs the loop on its own thread; calls and callbacks of the clients are made there.
class LoopThread
{
public:
  LoopThread()
    : thread_([this] { loop_.Run(); })
  {
  }
  ~LoopThread()
  {
    loop_.Post([this] { client_.reset(); });
    loop_.Post([this] { loop_.Stop(); });
    thread_.join();
  }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  EventLoop& Loop() { return loop_; }

  std::vector<Result<std::string>> Get(std::span<const ProxyAddress> aProxies,
                                       std::string_view aTarget)
  {
    std::vector<std::future<Result<std::string>>> waiting;
    for (const auto& proxy : aProxies)
      waiting.push_back(Start(proxy, std::string(aTarget)));
    std::vector<Result<std::string>> bodies;
    bodies.reserve(waiting.size());
    for (auto& body : waiting)
      bodies.push_back(body.get());
    return bodies;
  }

private:
  std::future<Result<std::string>> Start(const ProxyAddress& aProxy, std::string aTarget)
  {
    auto promise = std::make_shared<std::promise<Result<std::string>>>();
    UpstreamRequest request;
    request.address = aProxy.address;
    request.port = aProxy.adminPort;
    request.method = "GET";
    request.target = std::move(aTarget);
    request.deadline = kProxyDeadline;
    loop_.Post([this, promise, request = std::move(request)]() mutable {
      if (!client_)
        client_ = CreateCurlUpstreamClient({ .loop = &loop_ });
      const auto peer = request.address + ":" + std::to_string(request.port);
      client_->Send(std::move(request), [promise, peer](UpstreamResult aResult) {
        promise->set_value(ToResult(std::move(aResult), peer));
      });
    });
    return promise->get_future();
  }

  static Result<std::string> ToResult(UpstreamResult aResult, const std::string& aPeer)
  {
    if (aResult.failure == UpstreamFailure::Timeout)
      return Error{ Errc::Timeout, "proxy.get", aPeer, aResult.detail };
    if (aResult.failure != UpstreamFailure::None)
      return Error{ Errc::Unavailable, "proxy.get", aPeer, aResult.detail };
    if (aResult.status != 200)
      return Error{
        Errc::ProtocolViolation, "proxy.get", aPeer, "status " + std::to_string(aResult.status)
      };
    return std::move(aResult.body);
  }

  EventLoop loop_;
  std::unique_ptr<UpstreamClient> client_; ///< Loop thread only.
  std::thread thread_;
};

} // namespace

Session Connect(const std::string& aAddress, uint16_t aPort)
{
  auto thread = std::make_shared<LoopThread>();
  HttpPlatformInit init;
  init.address = aAddress;
  init.port = aPort;
  init.post = [loop = &thread->Loop()](std::function<void()> aCallback) {
    loop->Post(std::move(aCallback));
  };
  auto platform = CreateHttpPlatform(std::move(init));
  Session session;
  // The thread outlives the platform, whose callbacks run on it.
  session.platform = std::shared_ptr<Platform>(platform.release(), [thread](Platform* aPlatform) {
    std::default_delete<Platform>()(aPlatform);
  });
  session.queryProxies = [thread](std::span<const ProxyAddress> aProxies,
                                  std::string_view aTarget) {
    return thread->Get(aProxies, aTarget);
  };
  return session;
}

} // namespace bg::ctl

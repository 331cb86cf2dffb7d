#include "session_p.h"

namespace bg::fleet::detail {

namespace {

/// An upstream without a connection from this host is avoided for this long; cuts last seconds.
constexpr Duration kUnreachablePeriod = std::chrono::seconds(2);
/// A host that starts or resumes has a current configuration after some 100 ms, or after 600 ms
/// when it is large and the link is narrow; a request that waits for it is still answered in time.
constexpr Duration kConfigurationWait = std::chrono::seconds(1);
/// Largest body that is read before the configuration states a limit.
constexpr size_t kMaxBodyBytes = kMaxBodyBytesLimit;

} // namespace

FleetTraffic::FleetTraffic(const FleetInit& aInit,
                           FleetShared& aShared,
                           FleetControl& aControl,
                           FleetMetrics& aMetrics)
  : init_(aInit)
  , shared_(aShared)
  , control_(aControl)
  , metrics_(aMetrics)
  , random_(Hash64(RandomToken()) | 1)
{
}

FleetTraffic::~FleetTraffic()
{
  Stop();
}

std::optional<Error> FleetTraffic::Start()
{
  client_ = CreateCurlUpstreamClient({ .loop = &loop_ });
  HttpServerInit init;
  init.loop = &loop_;
  init.address = init_.address;
  init.port = init_.callerPort;
  init.maxBodyBytes = kMaxBodyBytes;
  init.budget = std::make_shared<ByteBudget>(init_.bodyBudgetBytes);
  init.handler = [this](HttpRequest aRequest, std::shared_ptr<HttpReply> aReply) {
    FleetSession::Start(*this, std::move(aRequest), std::move(aReply));
  };
  auto server = CreateHttpServer(std::move(init));
  if (!server) {
    return server.Failure();
  }
  server_ = std::move(*server);
  shared_.onRoutes = [this] { loop_.Post([this] { TakeConfiguration(); }); };
  shared_.onResumed = [this] { loop_.CheckTimers(); };
  thread_ = std::thread([this] { loop_.Run(); });
  return std::nullopt;
}

void FleetTraffic::CloseAfterResponses()
{
  loop_.Post([this] { server_->CloseAfterResponses(); });
}

void FleetTraffic::StopAccepting()
{
  loop_.Post([this] { server_->StopAccepting(); });
}

void FleetTraffic::Stop()
{
  if (!thread_.joinable()) {
    return;
  }
  loop_.Post([this] {
    awaitingTimer_.reset();
    awaiting_.clear();
    server_.reset();
    client_.reset();
    loop_.Stop();
  });
  thread_.join();
}

void FleetTraffic::AwaitConfiguration(std::shared_ptr<FleetSession> aSession)
{
  if (awaiting_.empty()) {
    awaitingTimer_ = loop_.RunAfter(kConfigurationWait, [this] { StartAwaiting(); });
  }
  awaiting_.push_back(std::move(aSession));
}

void FleetTraffic::TakeConfiguration()
{
  if (const auto routes = shared_.routes.load(); routes && server_) {
    const CallerLimits& limits = routes->Configuration().limits;
    server_->SetLimits(
      { limits.maxHeaderBytes, limits.maxBodyBytes, limits.idleTimeout, limits.headTimeout });
  }
  StartAwaiting();
}

void FleetTraffic::StartAwaiting()
{
  for (const auto& session : std::exchange(awaiting_, {})) {
    session->Serve();
  }
}

uint64_t FleetTraffic::Random()
{
  random_ ^= random_ << 13;
  random_ ^= random_ >> 7;
  random_ ^= random_ << 17;
  return random_;
}

void FleetTraffic::MarkUnreachable(const std::string& aUpstream, TimePoint aNow)
{
  unreachable_[aUpstream] = aNow + kUnreachablePeriod;
}

std::vector<std::string> FleetTraffic::Unreachable(TimePoint aNow)
{
  std::erase_if(unreachable_, [aNow](const auto& aEntry) { return aEntry.second <= aNow; });
  std::vector<std::string> upstreams;
  for (const auto& [upstream, until] : unreachable_) {
    upstreams.push_back(upstream);
  }
  return upstreams;
}

} // namespace bg::fleet::detail

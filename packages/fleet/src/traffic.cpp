#include "session_p.h"

namespace bg::fleet::detail {

namespace {

/// An upstream is avoided for this long after a failed connection, because network partitions last
/// for seconds.
constexpr Duration kUnreachablePeriod = std::chrono::seconds(2);
/// After a start or a pause, a host has the current configuration within some 100 ms, or 600 ms if
/// it is large and the network link slow. Requests that wait for it can still meet their deadlines.
constexpr Duration kConfigurationTimeout = std::chrono::seconds(1);
/// Time for a connection to an upstream that may have crashed. It is tried twice, because a packet
/// may be lost.
constexpr Duration kProbeTimeout = Milliseconds(150);
constexpr Duration kInvalidNoticeLogInterval = std::chrono::seconds(1);
/// Body size limit until a configuration is active.
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
  const auto budget = std::make_shared<ByteBudget>(init_.bodyBudgetBytes);
  const UpstreamClientInit client{ .loop = &loop_, .budget = budget };
  client_ = init_.createUpstreamClient ? init_.createUpstreamClient(client)
                                       : CreateCurlUpstreamClient(client);
  HttpServerInit init;
  init.loop = &loop_;
  init.address = init_.address;
  init.port = init_.callerPort;
  init.maxBodyBytes = kMaxBodyBytes;
  init.budget = budget;
  init.handler = [this](HttpRequest aRequest, std::shared_ptr<HttpReply> aReply) {
    FleetSession::Start(*this, std::move(aRequest), std::move(aReply));
  };
  auto server = CreateHttpServer(std::move(init));
  if (!server) {
    return server.Failure();
  }
  server_ = std::move(*server);
  shared_.onRoutes = [this] { loop_.Post([this] { ApplyConfiguration(); }); };
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
    waitTimer_.reset();
    waitingSessions_.clear();
    server_.reset();
    client_.reset();
    loop_.Stop();
  });
  thread_.join();
}

void FleetTraffic::AwaitConfiguration(std::shared_ptr<FleetSession> aSession)
{
  if (waitingSessions_.empty()) {
    waitTimer_ = loop_.RunAfter(kConfigurationTimeout, [this] { ServeWaitingSessions(); });
  }
  waitingSessions_.push_back(std::move(aSession));
}

void FleetTraffic::ApplyConfiguration()
{
  if (const auto routes = shared_.routes.load(); routes && server_) {
    const CallerLimits& limits = routes->Configuration().limits;
    server_->SetLimits(
      { limits.maxHeaderBytes, limits.maxBodyBytes, limits.idleTimeout, limits.headTimeout });
  }
  ServeWaitingSessions();
}

void FleetTraffic::ServeWaitingSessions()
{
  for (const auto& session : std::exchange(waitingSessions_, {})) {
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

void FleetTraffic::RecordUnreachable(const std::string& aUpstream, TimePoint aNow)
{
  unreachableUntil_[aUpstream] = aNow + kUnreachablePeriod;
  if (links_.RecordUnreachable(aUpstream, aNow)) {
    metrics_.SetHasLostLinks(true);
    Log(LogLevel::Warning,
        "upstream_links_lost",
        { { "upstream", aUpstream },
          { "unreachable", unreachableUntil_.size() },
          { "reason", "no connection to several upstreams in a row" } });
  }
}

void FleetTraffic::RecordConnected(const std::string& aUpstream, TimePoint aNow)
{
  const TimePoint lostAt = links_.Since();
  if (links_.RecordConnected(aUpstream, aNow)) {
    metrics_.SetHasLostLinks(false);
    Log(LogLevel::Warning,
        "upstream_links_regained",
        { { "upstream", aUpstream }, { "lost_ms", (aNow - lostAt) / Milliseconds(1) } });
  }
}

void FleetTraffic::VerifyCrash(const RegisteredUpstream& aUpstream,
                               std::function<void(bool aHasCrashed)> aCallback)
{
  const auto probe = [this, address = aUpstream.address, port = aUpstream.port](
                       std::function<void(ProbeResult)> aOnResult) {
    client_->Probe(address, port, kProbeTimeout, std::move(aOnResult));
  };
  probe([probe, callback = std::move(aCallback)](ProbeResult aResult) {
    if (aResult != ProbeResult::Silent) {
      return callback(aResult == ProbeResult::Refused);
    }
    probe([callback](ProbeResult aSecond) { callback(aSecond != ProbeResult::Accepted); });
  });
}

bool FleetTraffic::MayLogInvalidNotice(TimePoint aNow)
{
  if (aNow < nextInvalidNoticeLog_) {
    return false;
  }
  nextInvalidNoticeLog_ = aNow + kInvalidNoticeLogInterval;
  return true;
}

std::vector<std::string> FleetTraffic::UnreachableUpstreams(TimePoint aNow)
{
  std::erase_if(unreachableUntil_, [aNow](const auto& aEntry) { return aEntry.second <= aNow; });
  std::vector<std::string> upstreams;
  for (const auto& [upstream, until] : unreachableUntil_) {
    upstreams.push_back(upstream);
  }
  return upstreams;
}

} // namespace bg::fleet::detail

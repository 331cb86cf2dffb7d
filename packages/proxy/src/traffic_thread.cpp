#include "traffic_thread.h"

#include <algorithm>
#include <map>

#include "request_session.h"

namespace bg {

namespace {

constexpr Duration kTickInterval = Milliseconds(5);
constexpr size_t kEvidenceBatch = 256;
/// With 3 slots per upstream and 40 proxies, 15 % of the attempts meet a full upstream at half
/// load. One repeat per request on average keeps the cost of an overload bounded.
constexpr double kRefusalRetryRatio = 1;

/// Queues are indexed by caller class, so that they survive only when the classes stay the same.
bool HasSameClasses(const Configuration& aLeft, const Configuration& aRight)
{
  return std::equal(aLeft.callers.begin(),
                    aLeft.callers.end(),
                    aRight.callers.begin(),
                    aRight.callers.end(),
                    [](const CallerConfig& aOne, const CallerConfig& aTwo) {
                      return aOne.id == aTwo.id && aOne.weight == aTwo.weight;
                    });
}

} // namespace

ServiceTraffic::ServiceTraffic(const ServiceConfig& aService,
                               std::span<const CallerConfig> aCallers)
  : maxConcurrency(aService.maxConcurrency)
  , queueLimit(aService.queueLimit)
  , retryBudget(aService.retryBudget)
  , admission({ aService.maxConcurrency, aService.queueLimit, aCallers })
  , retries(aService.retryBudget)
  , refusalRetries(kRefusalRetryRatio)
{
}

bool ServiceTraffic::HasLimitsOf(const ServiceConfig& aService) const
{
  return maxConcurrency == aService.maxConcurrency && queueLimit == aService.queueLimit &&
         retryBudget == aService.retryBudget;
}

void ServiceTraffic::Pump(TimePoint aNow)
{
  for (const Ticket ticket : admission.TakeExpired(aNow)) {
    if (auto node = waiting.extract(ticket)) {
      node.mapped()->OnQueueTimeout();
    }
  }
  for (const Ticket ticket : admission.TakeReady(aNow)) {
    if (auto node = waiting.extract(ticket)) {
      node.mapped()->OnAdmitted();
    } else {
      admission.Finish(Duration(0));
    }
  }
}

TrafficThread::TrafficThread(TrafficShared& aShared)
  : shared_(aShared)
  , random_(Hash64(RandomToken()))
{
}

TrafficThread::~TrafficThread()
{
  Stop();
}

Result<uint16_t> TrafficThread::Start(uint16_t aPort)
{
  client_ = CreateCurlUpstreamClient({ .loop = &loop_ });
  HttpServerInit init;
  init.loop = &loop_;
  init.address = shared_.settings->listenAddress;
  init.port = aPort;
  init.reusePort = shared_.settings->trafficThreads > 1;
  init.maxBodyBytes = kMaxBodyBytesLimit;
  init.budget = shared_.bodyBudget;
  init.handler = [this](HttpRequest aRequest, std::shared_ptr<HttpReply> aReply) {
    RequestSession::Start(*this, std::move(aRequest), std::move(aReply));
  };
  auto server = CreateHttpServer(std::move(init));
  if (!server) {
    return server.Failure();
  }
  server_ = std::move(*server);
  tick_ = loop_.RunEvery(kTickInterval, [this] { Tick(); });
  const uint16_t port = server_->Port();
  thread_ = std::thread([this] { loop_.Run(); });
  return port;
}

void TrafficThread::StopAccepting()
{
  loop_.Post([this] {
    if (server_) {
      server_->StopAccepting();
    }
  });
}

void TrafficThread::Stop()
{
  if (!thread_.joinable()) {
    return;
  }
  loop_.Post([this] {
    tick_.reset();
    server_.reset();
    client_.reset();
    loop_.Stop();
  });
  thread_.join();
}

void TrafficThread::Tick()
{
  const TimePoint now = Now();
  for (const auto& service : services_) {
    service->Pump(now);
  }
  std::erase_if(retired_, [now](const std::weak_ptr<ServiceTraffic>& aService) {
    const auto service = aService.lock();
    if (service) {
      service->Pump(now);
    }
    return service == nullptr;
  });
  FlushEvidence();
}

void TrafficThread::AddEvidence(UpstreamEvidence aEvidence)
{
  evidence_.push_back(std::move(aEvidence));
  if (evidence_.size() >= kEvidenceBatch) {
    FlushEvidence();
  }
}

void TrafficThread::FlushEvidence()
{
  if (!evidence_.empty()) {
    shared_.hooks.onEvidence(std::exchange(evidence_, {}));
  }
}

void TrafficThread::AdoptConfiguration(const SnapshotPtr& aSnapshot)
{
  if (configuration_ == aSnapshot->configuration) {
    return;
  }
  const std::shared_ptr<const Configuration> old =
    std::exchange(configuration_, aSnapshot->configuration);
  const bool hasSameCallers = old && HasSameClasses(*old, *configuration_);
  std::map<std::string_view, std::shared_ptr<ServiceTraffic>> previous;
  for (size_t i = 0; i < services_.size(); ++i) {
    previous[old->services[i].id] = services_[i];
  }
  std::vector<std::shared_ptr<ServiceTraffic>> services;
  for (const ServiceConfig& service : configuration_->services) {
    const auto found = previous.find(service.id);
    if (hasSameCallers && found != previous.end() && found->second->HasLimitsOf(service)) {
      services.push_back(std::move(found->second));
      previous.erase(found);
    } else {
      services.push_back(std::make_shared<ServiceTraffic>(service, configuration_->callers));
    }
  }
  services_ = std::move(services);
  // Sessions that still wait in an old queue keep its state alive; Tick() serves it.
  for (const auto& [id, service] : previous) {
    retired_.emplace_back(service);
  }
  limiters_.clear();
  for (const CallerConfig& caller : configuration_->callers) {
    limiters_.emplace_back(caller.maxRequestsPerSecond);
  }
  freshUntil_.assign(configuration_->upstreams.size(), TimePoint{});
}

std::shared_ptr<ServiceTraffic> TrafficThread::Service(const SnapshotPtr& aSnapshot,
                                                       ServiceHandle aService)
{
  AdoptConfiguration(aSnapshot);
  return services_[aService.idx];
}

RateLimiter& TrafficThread::Limiter(const SnapshotPtr& aSnapshot, CallerHandle aCaller)
{
  AdoptConfiguration(aSnapshot);
  return limiters_[aCaller.idx];
}

void TrafficThread::RequireFreshConnections(const SnapshotPtr& aSnapshot,
                                            UpstreamHandle aUpstream,
                                            TimePoint aUntil)
{
  if (configuration_ == aSnapshot->configuration) {
    freshUntil_[aUpstream.idx] = aUntil;
  }
}

bool TrafficThread::NeedsFreshConnection(const SnapshotPtr& aSnapshot,
                                         UpstreamHandle aUpstream,
                                         TimePoint aNow)
{
  return configuration_ == aSnapshot->configuration && freshUntil_[aUpstream.idx] > aNow;
}

} // namespace bg

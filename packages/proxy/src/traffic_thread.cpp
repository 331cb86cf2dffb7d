#include "traffic_thread.h"

#include <algorithm>
#include <map>

#include "request_session.h"

namespace bg {

namespace {

constexpr Duration kTickInterval = Milliseconds(5);
constexpr size_t kOutcomeBatchSize = 256;
/// Retries after refusals per request, on average. With 3 slots per upstream and 40 proxies, 15 %
/// of the attempts reach a full upstream at half load; one retry per request bounds the extra load
/// of an overload.
constexpr double kRefusalRetryRatio = 1;

/// Queues are indexed by caller class, so they can be kept only if the classes stay the same.
bool HasSameCallerClasses(const Configuration& aLeft, const Configuration& aRight)
{
  return std::equal(aLeft.callers.begin(),
                    aLeft.callers.end(),
                    aRight.callers.begin(),
                    aRight.callers.end(),
                    [](const CallerConfig& aLeftClass, const CallerConfig& aRightClass) {
                      return aLeftClass.id == aRightClass.id &&
                             aLeftClass.weight == aRightClass.weight;
                    });
}

} // namespace

ServiceTraffic::ServiceTraffic(const ServiceConfig& aService,
                               std::span<const CallerConfig> aCallers)
  : maxConcurrency(aService.maxConcurrency)
  , queueLimit(aService.queueLimit)
  , retryRatio(aService.retryBudget)
  , admission({ aService.maxConcurrency, aService.queueLimit, aCallers })
  , retryBudget(aService.retryBudget)
  , refusalRetryBudget(kRefusalRetryRatio)
{
}

bool ServiceTraffic::HasSameLimits(const ServiceConfig& aService) const
{
  return maxConcurrency == aService.maxConcurrency && queueLimit == aService.queueLimit &&
         retryRatio == aService.retryBudget;
}

void ServiceTraffic::ProcessQueue(TimePoint aNow)
{
  for (const Ticket ticket : admission.TakeExpired(aNow)) {
    if (auto node = queuedSessions.extract(ticket)) {
      node.mapped()->OnQueueTimeout();
    }
  }
  for (const Ticket ticket : admission.TakeReady(aNow)) {
    if (auto node = queuedSessions.extract(ticket)) {
      node.mapped()->OnAdmitted();
    } else {
      admission.Finish(Duration(0));
    }
  }
}

TrafficThread::TrafficThread(TrafficContext& aContext)
  : context_(aContext)
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
  init.address = context_.settings->listenAddress;
  init.port = aPort;
  init.reusePort = context_.settings->trafficThreads > 1;
  init.maxBodyBytes = kMaxBodyBytesLimit;
  init.budget = context_.bodyBudget;
  // The threads share the part of the budget that slow callers may use.
  init.maxCallerBytes = context_.bodyBudget->Limit() / 2 / context_.settings->trafficThreads;
  init.handler = [this](HttpRequest aRequest, std::shared_ptr<HttpReply> aReply) {
    RequestSession::Start(*this, std::move(aRequest), std::move(aReply));
  };
  auto server = CreateHttpServer(std::move(init));
  if (!server) {
    return server.Failure();
  }
  server_ = std::move(*server);
  tickTimer_ = loop_.RunEvery(kTickInterval, [this] { Tick(); });
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
    tickTimer_.reset();
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
    service->ProcessQueue(now);
  }
  std::erase_if(retiredServices_, [now](const std::weak_ptr<ServiceTraffic>& aService) {
    const auto service = aService.lock();
    if (service) {
      service->ProcessQueue(now);
    }
    return service == nullptr;
  });
  FlushOutcomes();
}

void TrafficThread::AddOutcome(AttemptOutcome aOutcome)
{
  pendingOutcomes_.push_back(std::move(aOutcome));
  if (pendingOutcomes_.size() >= kOutcomeBatchSize) {
    FlushOutcomes();
  }
}

void TrafficThread::FlushOutcomes()
{
  if (!pendingOutcomes_.empty()) {
    context_.hooks.onOutcomes(std::exchange(pendingOutcomes_, {}));
  }
}

void TrafficThread::ApplyConfiguration(const SnapshotPtr& aSnapshot)
{
  if (configuration_ == aSnapshot->configuration) {
    return;
  }
  const std::shared_ptr<const Configuration> old =
    std::exchange(configuration_, aSnapshot->configuration);
  const bool hasSameCallerClasses = old && HasSameCallerClasses(*old, *configuration_);
  std::map<std::string_view, std::shared_ptr<ServiceTraffic>> previous;
  for (size_t i = 0; i < services_.size(); ++i) {
    previous[old->services[i].id] = services_[i];
  }
  std::vector<std::shared_ptr<ServiceTraffic>> services;
  for (const ServiceConfig& service : configuration_->services) {
    const auto found = previous.find(service.id);
    if (hasSameCallerClasses && found != previous.end() && found->second->HasSameLimits(service)) {
      services.push_back(std::move(found->second));
      previous.erase(found);
    } else {
      services.push_back(std::make_shared<ServiceTraffic>(service, configuration_->callers));
    }
  }
  services_ = std::move(services);
  // Sessions in an old queue keep its state alive; Tick() processes the queue.
  for (const auto& [id, service] : previous) {
    retiredServices_.emplace_back(service);
  }
  rateLimiters_.clear();
  for (const CallerConfig& caller : configuration_->callers) {
    rateLimiters_.emplace_back(caller.maxRequestsPerSecond);
  }
  newConnectionsUntil_.assign(configuration_->upstreams.size(), TimePoint{});
}

std::shared_ptr<ServiceTraffic> TrafficThread::ServiceTrafficFor(const SnapshotPtr& aSnapshot,
                                                                 ServiceHandle aService)
{
  ApplyConfiguration(aSnapshot);
  return services_[aService.idx];
}

RateLimiter& TrafficThread::RateLimiterFor(const SnapshotPtr& aSnapshot, CallerHandle aCaller)
{
  ApplyConfiguration(aSnapshot);
  return rateLimiters_[aCaller.idx];
}

void TrafficThread::RequireNewConnections(const SnapshotPtr& aSnapshot,
                                          UpstreamHandle aUpstream,
                                          TimePoint aUntil)
{
  if (configuration_ == aSnapshot->configuration) {
    newConnectionsUntil_[aUpstream.idx] = aUntil;
  }
}

bool TrafficThread::RequiresNewConnection(const SnapshotPtr& aSnapshot,
                                          UpstreamHandle aUpstream,
                                          TimePoint aNow)
{
  return configuration_ == aSnapshot->configuration && newConnectionsUntil_[aUpstream.idx] > aNow;
}

} // namespace bg

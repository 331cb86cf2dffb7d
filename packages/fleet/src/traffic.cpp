#include "session_p.h"

#include <future>

namespace bg::fleet::detail {

namespace {

/// An upstream is avoided for this long after a failed connection, because network partitions last
/// for seconds.
constexpr Duration kUnreachablePeriod = std::chrono::seconds(2);
/// After a start or a pause, a host has the current configuration within some 100 ms, or 600 ms if
/// it is large and the network link slow. Requests that wait for it can still meet their deadlines.
constexpr Duration kConfigurationTimeout = std::chrono::seconds(1);
/// A connection within a region takes a few ms, or a second more after a lost packet. Another
/// upstream is tried instead of waiting for the retransmission.
constexpr Duration kConnectTimeout = Milliseconds(150);
/// Time for a connection to an upstream that may have crashed. It is tried twice, because a packet
/// may be lost.
constexpr Duration kProbeTimeout = Milliseconds(150);
/// Other upstreams that are probed before one counts as crashed: if none of them accepts a
/// connection either, this host has lost its links.
constexpr int kCrashLinkProbes = 2;
constexpr Duration kInvalidNoticeLogInterval = std::chrono::seconds(1);
/// Between checks for requests that a stopping host cannot finish.
constexpr Duration kStopCheckInterval = Milliseconds(50);
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
  , sequence_(Hash64(RandomToken()))
  , random_(Hash64(RandomToken()) | 1)
  , relays_(init_.failureDomain)
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
  init.onCallerCutOff = [this](std::string_view aReason) { metrics_.RecordCallerCutOff(aReason); };
  init.handler = [this](HttpRequest aRequest, std::shared_ptr<HttpReply> aReply) {
    FleetSession::Start(*this, std::move(aRequest), std::move(aReply));
  };
  auto server = CreateHttpServer(std::move(init));
  if (!server) {
    return server.Failure();
  }
  server_ = std::move(*server);
  if (init_.relayPort != 0) {
    relayServer_ = std::make_unique<RelayServer>(*this);
    if (auto error = relayServer_->Start(init_, loop_, budget)) {
      return error;
    }
  }
  shared_.onRoutes = [this] { loop_.Post([this] { ApplyConfiguration(); }); };
  shared_.onResumed = [this] { loop_.CheckTimers(); };
  thread_ = std::thread([this] { loop_.Run(); });
  return std::nullopt;
}

void FleetTraffic::BeginStop(const StopSchedule& aSchedule)
{
  loop_.Post([this, aSchedule] {
    server_->CloseAfterResponses();
    if (relayServer_) {
      relayServer_->BeginStop();
    }
    stop_ = aSchedule;
    stopTimer_ = loop_.RunEvery(kStopCheckInterval, [this] { RefuseUnfinishable(); });
  });
}

void FleetTraffic::RefuseUnfinishable()
{
  for (const auto& session : SessionsWaitingForSlot()) {
    session->OnStopping();
  }
  if (Now() >= stop_->RefuseAt()) {
    for (const auto& session : std::exchange(waitingSessions_, {})) {
      session->OnStopping();
    }
    server_->RefuseIncomplete();
  }
}

void FleetTraffic::StopAccepting()
{
  loop_.Post([this] { server_->StopAccepting(); });
}

size_t FleetTraffic::Unfinished()
{
  std::promise<size_t> count;
  loop_.Post([&] {
    count.set_value(server_->Unfinished() + (relayServer_ ? relayServer_->Unfinished() : 0));
  });
  return count.get_future().get();
}

void FleetTraffic::Stop()
{
  if (!thread_.joinable()) {
    return;
  }
  loop_.Post([this] {
    waitTimer_.reset();
    stopTimer_.reset();
    waitingSessions_.clear();
    server_.reset();
    relayServer_.reset();
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
  for (const auto& session : SessionsWaitingForSlot()) {
    session->OnConfigurationChange();
  }
  ServeWaitingSessions();
}

std::vector<std::shared_ptr<FleetSession>> FleetTraffic::SessionsWaitingForSlot() const
{
  std::vector<std::shared_ptr<FleetSession>> sessions;
  for (const auto& [key, weak] : waitingForSlot_) {
    if (auto session = weak.lock()) {
      sessions.push_back(std::move(session));
    }
  }
  return sessions;
}

void FleetTraffic::AddWaitingForSlot(FleetSession& aSession)
{
  waitingForSlot_.insert_or_assign(&aSession, aSession.weak_from_this());
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
    unreachableUntil_.clear();
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
  const auto onResult =
    [this, id = aUpstream.id, callback = std::move(aCallback)](ProbeResult aResult) {
      if (aResult == ProbeResult::Accepted) {
        return callback(false);
      }
      VerifyLinks(id, kCrashLinkProbes, callback);
    };
  probe([probe, onResult](ProbeResult aResult) {
    return aResult == ProbeResult::Silent ? probe(onResult) : onResult(aResult);
  });
}

void FleetTraffic::VerifyLinks(const std::string& aExcept,
                               int aProbes,
                               std::function<void(bool aAreWell)> aCallback)
{
  const auto endpoints = shared_.endpoints.load();
  const size_t others = endpoints ? endpoints->size() - (endpoints->contains(aExcept) ? 1 : 0) : 0;
  if (others == 0) {
    return aCallback(true); // There is nothing to compare with.
  }
  if (aProbes == 0) {
    return aCallback(false);
  }
  auto other = std::next(endpoints->begin(), static_cast<int64_t>(Random() % others));
  const auto except = endpoints->lower_bound(aExcept);
  if (endpoints->contains(aExcept) && other->first >= except->first) {
    ++other;
  }
  client_->Probe(
    other->second.address,
    other->second.port,
    kProbeTimeout,
    [this, except = aExcept, aProbes, callback = std::move(aCallback)](ProbeResult aResult) {
      if (aResult == ProbeResult::Accepted) {
        return callback(true);
      }
      VerifyLinks(except, aProbes - 1, callback);
    });
}

void FleetTraffic::RecordDomainBytes(std::string_view aDomain, DomainBytesKind aKind, size_t aBytes)
{
  if (aDomain != init_.failureDomain && aBytes > 0) {
    metrics_.RecordDomainBytes(aDomain, aKind, aBytes);
  }
}

bool FleetTraffic::MayLogInvalidNotice(TimePoint aNow)
{
  if (aNow < nextInvalidNoticeLog_) {
    return false;
  }
  nextInvalidNoticeLog_ = aNow + kInvalidNoticeLogInterval;
  return true;
}

void FleetTraffic::RecordDown(const std::string& aUpstream, TimePoint aNow)
{
  downUntil_[aUpstream] = aNow + kUnreachablePeriod;
}

std::vector<std::string> FleetTraffic::AvoidedUpstreams(TimePoint aNow)
{
  const auto isOver = [aNow](const auto& aEntry) { return aEntry.second <= aNow; };
  std::erase_if(unreachableUntil_, isOver);
  std::erase_if(downUntil_, isOver);
  if (unreachableUntil_.empty() && downUntil_.empty()) {
    return {};
  }
  const bool mayRelay = SelectRelay({}, aNow) != nullptr;
  std::vector<std::string> upstreams;
  for (const auto& [upstream, until] : mayRelay ? downUntil_ : unreachableUntil_) {
    upstreams.push_back(upstream);
  }
  return upstreams;
}

bool FleetTraffic::PrefersRelay(const std::string& aUpstream, TimePoint aNow) const
{
  const auto unreachable = unreachableUntil_.find(aUpstream);
  if (!relays_.HasPeers()) {
    return false;
  }
  return links_.HasLostLinks() ||
         (unreachable != unreachableUntil_.end() && unreachable->second > aNow);
}

const relay::RelayPeer* FleetTraffic::SelectRelay(std::span<const std::string> aTried,
                                                  TimePoint aNow)
{
  relays_.SetPeers(shared_.relayPeers.load());
  return relays_.Select(aTried, Random(), aNow);
}

void FleetTraffic::TryLinks()
{
  const TimePoint now = Now();
  const auto endpoints = shared_.endpoints.load();
  if (!links_.IsTrialDue(now) || !endpoints || endpoints->empty()) {
    return;
  }
  links_.RecordTrial(now);
  const auto index = static_cast<int64_t>(Random() % endpoints->size());
  const RegisteredUpstream& upstream = std::next(endpoints->begin(), index)->second;
  client_->Probe(
    upstream.address, upstream.port, kProbeTimeout, [this, id = upstream.id](ProbeResult aResult) {
      if (aResult == ProbeResult::Accepted) {
        RecordConnected(id, Now());
      } else {
        RecordUnreachable(id, Now());
      }
    });
}

void FleetTraffic::RecordPause(const RegisteredUpstream& aUpstream,
                               Milliseconds aPause,
                               TimePoint aNow)
{
  notices_.Expire([](std::string_view) { return nullptr; }, aNow);
  notices_.RecordPause(aUpstream.id, { aUpstream.startedAtMs, aNow, aNow + aPause });
}

bool FleetTraffic::IsPaused(const RegisteredUpstream& aUpstream, TimePoint aNow) const
{
  return notices_.IsPaused(aUpstream, aNow);
}

void FleetTraffic::SetTransferLimits(UpstreamRequest& aRequest, Duration aTimeLeft) const
{
  aRequest.connectTimeout = kConnectTimeout;
  aRequest.deadline = aTimeLeft;
  // A new connection proves that the network path works in both directions, and cannot hold bytes
  // of an earlier response. Pooling would not help: a host sends to each upstream so rarely that an
  // idle connection would have been closed.
  aRequest.freshConnection = true;
  aRequest.acceptClosedEnd = true;
  aRequest.maxResponseBytes = init_.maxResponseBytes;
}

} // namespace bg::fleet::detail

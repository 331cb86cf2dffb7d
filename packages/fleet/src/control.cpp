#include "control_p.h"

#include <future>

namespace bg::fleet::detail {

namespace {

constexpr Duration kTickInterval = Milliseconds(50);
/// A gap of this length between ticks means that the process was paused (suspended or without CPU
/// time) and may have missed a change. A shorter pause delays updates no more than the usual
/// intervals between reads of the store do.
constexpr Duration kMinProcessPause = std::chrono::seconds(1);
/// Longest wait for the store or a peer to confirm the state of this host after a pause. After it
/// the host serves from its last state.
constexpr Duration kConfirmationTimeout = std::chrono::seconds(1);
/// Longest wait of a host that starts for the state of a peer, besides that of the store.
constexpr Duration kPeerStateTimeout = Milliseconds(300);
/// A control thread that is late by this much is logged, no more often than the interval.
constexpr Duration kLoggedControlDelay = Milliseconds(250);
constexpr Duration kControlDelayLogInterval = std::chrono::seconds(1);
/// Messages to peers that were dropped are logged no more often than this.
constexpr Duration kDropLogInterval = std::chrono::seconds(5);
/// The configuration is usually confirmed several times a second.
constexpr Duration kLoggedUnconfirmedAge = Milliseconds(1700);

} // namespace

FleetControl::FleetControl(const FleetInit& aInit, FleetShared& aShared)
  : init_(aInit)
  , shared_(aShared)
  , random_(static_cast<uint32_t>(Hash64(aInit.host, static_cast<uint64_t>(WallClockMs()))))
{
  MembersInit members;
  members.self = { init_.host,
                   init_.address,
                   init_.peerPort,
                   init_.failureDomain,
                   static_cast<uint64_t>(WallClockMs()),
                   init_.capacity,
                   init_.relayPort };
  members_ = std::make_unique<Members>(std::move(members));
  spreader_ = std::make_unique<overlay::Spreader>(overlay::SpreaderInit{
    .tree = {
      .host = init_.host, .failureDomain = init_.failureDomain, .capacity = init_.capacity } });
  platform_ = init_.createPlatform(loop_);
  auto store = std::make_unique<MeteredStore>(
    std::move(platform_.store), [this](uint64_t aEpoch) { RecordStoreEpoch(aEpoch, "store"); });
  store_ = store.get();
  platform_.store = std::move(store);
  SlotClientInit slots;
  slots.members = members_.get();
  slots.registry = &registry_;
  slots.send = [this](std::string_view aHost, wire::Envelope aMessage) {
    Send(aHost, std::move(aMessage));
  };
  slots.runAfter = [this](Duration aDelay, std::function<void()> aCallback) {
    return std::shared_ptr<void>(
      std::shared_ptr<EventLoop::Timer>(loop_.RunAfter(aDelay, std::move(aCallback))));
  };
  slots.now = Now;
  slots.onUpstreams = [this](std::span<const RegisteredUpstream* const> aAccepting) {
    ShareEndpoints(aAccepting);
  };
  slots.onNews = [this] { hasNews_ = true; };
  slots.alwaysPrefersOwnDomain = init_.alwaysPrefersOwnDomain;
  slots.retries = { init_.retryRatio, init_.retrySlack, init_.retryWindow };
  slots.isFirstStart = init_.isFirstStart;
  slots_ = std::make_unique<SlotClient>(std::move(slots));
  quota_ = std::make_unique<QuotaClient>(MakeQuotaInit());
}

FleetControl::~FleetControl()
{
  Stop();
}

std::optional<Error> FleetControl::Bind()
{
  HttpServerInit readiness;
  readiness.loop = &loop_;
  readiness.address = init_.readinessAddress;
  readiness.port = init_.readinessPort;
  readiness.handler = [this](const HttpRequest& aRequest,
                             const std::shared_ptr<HttpReply>& aReply) {
    const bool isReadinessPath = aRequest.target == init_.readinessPath;
    aReply->Send({ .status = !isReadinessPath ? 404 : IsReady() ? 200 : 503 });
  };
  auto readinessServer = CreateHttpServer(std::move(readiness));
  if (!readinessServer) {
    return readinessServer.Failure();
  }
  readiness_ = std::move(*readinessServer);

  HttpServerInit admin;
  admin.loop = &loop_;
  admin.address = init_.address;
  admin.port = init_.adminPort;
  admin.handler = [this](const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply) {
    ServeAdmin(aRequest, *aReply);
  };
  auto adminServer = CreateHttpServer(std::move(admin));
  if (!adminServer) {
    return adminServer.Failure();
  }
  admin_ = std::move(*adminServer);

  PeerTransportInit peers;
  peers.loop = &loop_;
  peers.address = init_.address;
  peers.port = init_.peerPort;
  peers.onMessage = [this](std::string_view aBytes) { HandleMessage(aBytes); };
  auto transport = init_.createPeerTransport ? init_.createPeerTransport(std::move(peers))
                                             : CreateZmqPeerTransport(std::move(peers));
  if (!transport) {
    return transport.Failure();
  }
  transport_ = std::move(*transport);
  return std::nullopt;
}

void FleetControl::Start()
{
  thread_ = std::thread([this] {
    lastTick_ = Now();
    tick_ = loop_.RunEvery(kTickInterval, [this] { Tick(); });
    startedAt_ = Now();
    resumedAt_ = startedAt_;
    shared_.isStateConfirmed = false; // Until the state has been read for the first time.
    nextMembersRead_ = startedAt_ + (init_.isFirstStart ? Jitter(kRegisterSpread) : Duration(0));
    ReadStore(startedAt_);
    loop_.Run();
    tick_.reset();
    pendingTimer_.reset();
    activationTimer_.reset();
    quota_->Stop();
  });
}

void FleetControl::Stop()
{
  if (thread_.joinable()) {
    loop_.Post([this] { loop_.Stop(); });
    thread_.join();
  }
}

void FleetControl::BeginStop()
{
  loop_.Post([this] {
    isStopping_ = true;
    for (const auto& [host, connection] : connectedPeers_) {
      wire::Envelope envelope;
      envelope.mutable_hello()->set_leaving(true);
      Send(host, std::move(envelope));
    }
    members_->RecordLeaving(init_.host, Now());
    slots_->LeaveAllocator(init_.host);
  });
}

size_t FleetControl::Unfinished()
{
  std::promise<size_t> count;
  loop_.Post([&] { count.set_value(admin_->Unfinished()); });
  return count.get_future().get();
}

void FleetControl::ReportPause(std::string aUpstream,
                               int64_t aStartedAtMs,
                               Milliseconds aPause,
                               TimePoint aAnsweredAt)
{
  loop_.Post([=, this, aUpstream = std::move(aUpstream)] {
    slots_->ReportPause(aUpstream, aStartedAtMs, aPause, aAnsweredAt);
  });
}

void FleetControl::ReportCrash(uint64_t aFingerprint,
                               quarantine::Crash aCrash,
                               std::string aRequestId,
                               std::string aTarget)
{
  loop_.Post([this,
              aFingerprint,
              aCrash = std::move(aCrash),
              aRequestId = std::move(aRequestId),
              aTarget = std::move(aTarget)]() mutable {
    slots_->ReportCrash(aFingerprint, std::move(aCrash), aRequestId, aTarget);
  });
}

Duration FleetControl::Jitter(Duration aMax)
{
  return aMax * static_cast<int64_t>(random_() % 1024) / 1024;
}

void FleetControl::Tick()
{
  const TimePoint now = Now();
  RecordControlDelay(now);
  LogDroppedMessages(now);
  LogUnconfirmed(now);
  RevalidateAfterPause(now);
  slots_->Tick(now);
  quota_->Tick(now);
  if (std::exchange(hasNews_, false)) {
    ShareView({}, false);
  }
  ReadStore(now);
  ConnectPeers(now);
  ShareRelayPeers();
  SaveSuspects(now);
  AskPeerForState(now);
  FetchConfiguration(now);
  if (IsReady() != isReady_) {
    isReady_ = IsReady();
    Log(LogLevel::Info,
        isReady_ ? "ready" : "not_ready",
        { { "revision", revision_ },
          { "upstreams", registry_.Upstreams().size() },
          { "hosts", members_->Count() },
          { "stopping", isStopping_ } });
  }
}

void FleetControl::RecordControlDelay(TimePoint aNow)
{
  const Duration delay = std::max(aNow - lastTick_ - kTickInterval, Duration(0));
  if (shared_.onControlDelay) {
    shared_.onControlDelay(delay);
  }
  const Duration backlog = transport_->Stats().receiveBacklog;
  if (std::max(delay, backlog) < kLoggedControlDelay ||
      aNow - lastDelayLog_ < kControlDelayLogInterval) {
    return;
  }
  lastDelayLog_ = aNow;
  Log(LogLevel::Warning,
      "control_delayed",
      { { "delay_ms", delay / Milliseconds(1) },
        { "backlog_ms", backlog / Milliseconds(1) },
        { "revision", revision_ },
        { "confirmed_ms", (aNow - configurationFreshAt_) / Milliseconds(1) } });
}

void FleetControl::LogDroppedMessages(TimePoint aNow)
{
  if (drops_.Empty() || aNow - lastDropLog_ < kDropLogInterval) {
    return;
  }
  lastDropLog_ = aNow;
  const DroppedMessages drops = std::exchange(drops_, {});
  const auto [host, count] = drops.Most();
  Log(LogLevel::Warning,
      "peer_messages_dropped",
      { { "count", drops.Count() },
        { "slot_messages", drops.Count(DomainBytesKind::Slot) },
        { "state_messages", drops.Count(DomainBytesKind::State) },
        { "hosts", drops.Hosts() },
        { "most", host },
        { "most_count", count },
        { "reason", "no connection to the host, or a full queue" } });
}

/// Logs once when nobody has confirmed the configuration for long, with what this host has tried.
void FleetControl::LogUnconfirmed(TimePoint aNow)
{
  const Duration age = aNow - configurationFreshAt_;
  if (revision_ == 0 || age < kLoggedUnconfirmedAge) {
    isUnconfirmedLogged_ = false;
    return;
  }
  if (std::exchange(isUnconfirmedLogged_, true)) {
    return;
  }
  Log(LogLevel::Warning,
      "configuration_unconfirmed",
      { { "revision", revision_ },
        { "confirmed_ms", age / Milliseconds(1) },
        { "heard_ms", (aNow - receivedViewAt_) / Milliseconds(1) },
        { "heard_from", heardFrom_ },
        { "peers_asked", peersAsked_ },
        { "order", spreader_->Tree().Order() },
        { "reading", isReadingConfiguration_ },
        { "store_failures", storeFailures_ } });
}

ConfigurationMetrics FleetControl::ConfigurationState() const
{
  return { revision_, Now() - configurationFreshAt_, totalDrops_ };
}

/// After a pause of the process, requests wait until the store or a peer has confirmed the state
/// that was read before the pause, or until kConfirmationTimeout.
void FleetControl::RevalidateAfterPause(TimePoint aNow)
{
  const Duration pause = aNow - std::exchange(lastTick_, aNow);
  if (pause >= kMinProcessPause) {
    Log(LogLevel::Warning,
        "resumed",
        { { "stalled_ms", pause / Milliseconds(1) },
          { "revision", revision_ },
          { "registry_version", registry_.Position().version } });
    resumedAt_ = aNow;
    shared_.isStateConfirmed = false;
    if (shared_.onResumed) {
      shared_.onResumed();
    }
    registry_.RecordStoreTrouble(aNow);
    // Reads from before the pause may return its state, or nothing.
    isReadingConfiguration_ = false;
    isReadingUpstreams_ = false;
    CheckConfiguration();
    ReadUpstreams();
  }
  if (shared_.isStateConfirmed) {
    return;
  }
  const bool isConfirmed = registry_.FreshAt() > resumedAt_ && configurationFreshAt_ > resumedAt_ &&
                           !activationTimer_ && !AwaitsPeerState(aNow);
  if (isConfirmed || aNow - resumedAt_ > kConfirmationTimeout) {
    Log(LogLevel::Info,
        "knowledge_confirmed",
        { { "confirmed", isConfirmed },
          { "waited_ms", (aNow - resumedAt_) / Milliseconds(1) },
          { "revision", revision_ } });
    shared_.isStateConfirmed = true;
    if (shared_.onRoutes) {
      shared_.onRoutes();
    }
  }
}

/// A store that was restored may have an older configuration than the peers of a host that starts.
bool FleetControl::AwaitsPeerState(TimePoint aNow) const
{
  const bool hasPeerState =
    receivedViewAt_ > startedAt_ && !IsWanted(newestKnown_) && !awaitsSuspects_;
  const bool mayHavePeers = members_->Count() > 1 || !hasReadMembers_;
  return resumedAt_ == startedAt_ && !init_.isFirstStart && mayHavePeers && !hasPeerState &&
         aNow - startedAt_ < kPeerStateTimeout;
}

bool FleetControl::IsReady() const
{
  return !isStopping_ && shared_.isStateConfirmed && revision_ != 0 && registry_.HasState();
}

void FleetControl::ServeAdmin(const HttpRequest& aRequest, HttpReply& aReply)
{
  if (aRequest.target == "/metrics") {
    return aReply.Send({ .status = 200,
                         .headers = { { "Content-Type", "text/plain; version=0.0.4" } },
                         .body = metrics_ ? metrics_() : "" });
  }
  if (aRequest.target == "/state") {
    const SlotClientStats& stats = slots_->Stats();
    StoreCalls calls;
    for (const StoreCalls& operation : store_->Calls()) {
      calls.succeeded += operation.succeeded;
      calls.refused += operation.refused;
      calls.unanswered += operation.unanswered;
      calls.historyGone += operation.historyGone;
    }
    std::string text =
      "host=" + init_.host + " revision=" + std::to_string(revision_) +
      " registry_version=" + std::to_string(registry_.Position().version) +
      " upstreams=" + std::to_string(registry_.Upstreams().size()) +
      " hosts=" + std::to_string(members_->Count()) +
      " peers=" + std::to_string(connectedPeers_.size()) +
      " tree_depth=" + std::to_string(spreader_->Tree().Depth()) +
      " tree_children=" + std::to_string(spreader_->Tree().Children().size()) +
      " reads_store=" + (isReader_ ? "yes" : "no") +
      " store_epoch=" + std::to_string(StoreEpoch()) +
      " registry_epoch=" + std::to_string(registry_.Position().epoch) +
      " configuration_epoch=" + std::to_string(document_.Id().position.epoch) +
      " store_calls=" + std::to_string(calls.succeeded) +
      " store_calls_refused=" + std::to_string(calls.refused) +
      " store_calls_unanswered=" + std::to_string(calls.unanswered) +
      " store_calls_history_gone=" + std::to_string(calls.historyGone) +
      " registry_age_ms=" + std::to_string(ToWireMs(Now() - registry_.FreshAt())) +
      " configuration_age_ms=" + std::to_string(ToWireMs(Now() - configurationFreshAt_)) +
      " configuration_lag_ms=" + std::to_string(ToWireMs(ConfigurationLag(Now()))) +
      " granted=" + std::to_string(stats.granted) + " refused=" + std::to_string(stats.refused) +
      " unaided=" + std::to_string(stats.localFallbacks) +
      " allocator_timeouts=" + std::to_string(stats.timeouts) + "\n";
    return aReply.Send({ .status = 200,
                         .headers = { { "Content-Type", "text/plain" } },
                         .body = text + quota_->Describe() + slots_->Describe() });
  }
  aReply.Send({ .status = 404 });
}

} // namespace bg::fleet::detail

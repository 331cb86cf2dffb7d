#include "control.h"

#include <algorithm>

namespace bg {

namespace {

constexpr Duration kTickInterval = Milliseconds(50);
constexpr Duration kSlowTickInterval = Milliseconds(100);
constexpr size_t kAggregators = 2;

/// A configuration must be in force 4 s after its acceptance, also when the platform was slow just
/// before; with a back-off of 4 s scripts/prove config saw 7.4 s.
constexpr Milliseconds kMaxPollBackoff{ 1000 };

/// Calls of the control thread to the platform. A platform that answers in 800 ms is slow but
/// usable; with a deadline of 800 ms no proxy could read a new configuration from it.
constexpr Milliseconds kPlatformDeadline{ 1500 };

/// Upper bound of the slow limit while the baseline of a service is unknown.
constexpr Duration kUnknownSlowLimit = std::chrono::seconds(2);

bool IsSame(const UpstreamStatus& aLeft, const UpstreamStatus& aRight)
{
  return aLeft.leaving == aRight.leaving && aLeft.avoided == aRight.avoided &&
         aLeft.ejectedUntil == aRight.ejectedUntil && aLeft.slowStartFrom == aRight.slowStartFrom;
}

} // namespace

Control::Control(const ProxySettings& aSettings, TrafficShared& aShared, Metrics& aMetrics)
  : settings_(aSettings)
  , shared_(aShared)
  , metrics_(aMetrics)
  , incarnation_(static_cast<uint64_t>(WallClockMs()))
{
}

Control::~Control()
{
  Stop(Duration(0));
}

Result<ProxyPorts> Control::Bind()
{
  ProxyPorts ports;
  HttpServerInit admin;
  admin.loop = &loop_;
  admin.address = settings_.listenAddress;
  admin.port = settings_.adminPort;
  admin.backend = HttpBackend::Restinio;
  admin.handler = [this](const HttpRequest& aRequest, const std::shared_ptr<HttpReply>& aReply) {
    ServeAdmin(aRequest, *aReply);
  };
  auto server = CreateHttpServer(std::move(admin));
  if (!server) {
    return server.Failure();
  }
  admin_ = std::move(*server);
  ports.adminPort = admin_->Port();

  PeerTransportInit peers;
  peers.loop = &loop_;
  peers.address = settings_.listenAddress;
  peers.port = settings_.peerPort;
  peers.onMessage = [this](std::string_view aBytes) { HandleMessage(aBytes); };
  auto transport = CreateZmqPeerTransport(std::move(peers));
  if (!transport) {
    return transport.Failure();
  }
  transport_ = std::move(*transport);
  ports.peerPort = transport_->Port();
  platform_ = CreateHttpPlatform(
    { settings_.platformAddress, settings_.platformPort, [this](std::function<void()> aCallback) {
       loop_.Post(std::move(aCallback));
     } });
  CreateCoordination();
  shared_.hooks = MakeHooks();
  return ports;
}

void Control::CreateCoordination()
{
  ring_ = std::make_unique<RecordRing>(
    RecordRingInit{ settings_.host, std::to_string(incarnation_), settings_.failureDomain });
  sender_ = std::make_unique<PeerSender>(PeerSenderInit{
    settings_.host, incarnation_, [this](std::string_view aHost, std::string_view aBytes) {
      transport_->Send(aHost, aBytes);
    } });
  const auto allPeers = [this] { return membership_->Peers(); };

  MembershipInit membership;
  membership.sender = sender_.get();
  membership.platform = platform_.get();
  membership.now = Now;
  membership.heartbeat = [this] { return MakeHeartbeat(); };
  membership.onPeer = [this](const PeerInfo& aPeer) {
    transport_->SetPeer(aPeer.host, aPeer.address, aPeer.port);
  };
  membership.onPeerRemoved = [this](std::string_view aHost) { transport_->RemovePeer(aHost); };
  membership.onHosts = [this](const std::vector<HostEntry>& aHosts) {
    health_->OnHosts(aHosts, Now());
  };
  for (const SeedPeer& seed : settings_.seeds) {
    membership.seeds.push_back({ seed.address, seed.port });
  }
  membership_ = std::make_unique<Membership>(std::move(membership));

  LeavingMarksInit leaving;
  leaving.sender = sender_.get();
  leaving.peers = allPeers;
  leaving.onChange = [this](const LeavingMark& aMark, bool aLeaving) {
    health_->OnLeavingChange(aMark, aLeaving);
    PublishSnapshot(Now());
  };
  leaving_ = std::make_unique<LeavingMarks>(std::move(leaving));

  EvidenceExchangeInit exchange;
  exchange.sender = sender_.get();
  exchange.failureDomain = settings_.failureDomain;
  exchange.aggregators = [this](uint64_t aKey) {
    return membership_->Aggregators(aKey, kAggregators, Now());
  };
  exchange.peers = allPeers;
  exchange.onReport = [this](std::string_view aHost, const EvidenceReport& aReport) {
    health_->OnPeerReport(aHost, aReport, Now());
  };
  exchange.onVerdict = [this](std::string_view aHost, const Verdict& aVerdict) {
    health_->OnPeerVerdict(aHost, aVerdict, Now());
    PublishSnapshot(Now());
  };
  exchange_ = std::make_unique<EvidenceExchange>(std::move(exchange));

  EjectionPermitsInit permits;
  permits.host = settings_.host;
  permits.incarnation = incarnation_;
  permits.platform = platform_.get();
  permits.now = Now;
  permits.services = [this] {
    std::vector<std::string> services;
    if (configuration_) {
      for (const ServiceConfig& service : configuration_->services) {
        services.push_back(service.id);
      }
    }
    return services;
  };
  permits.health = [this](std::string_view aService) { return health_->Health(aService); };
  permits.onEvent =
    [this](PermitEvent aEvent, const std::string& aService, const std::string& aUpstream) {
      health_->OnPermitEvent(aEvent, aService, aUpstream);
    };
  permits.callDeadline = kPlatformDeadline;
  permits.testIgnoreFloor = settings_.IsDisabled("floor");
  permits.testIgnoreLease = settings_.IsDisabled("lease");
  permits_ = std::make_unique<EjectionPermits>(std::move(permits));

  ClaimStoreInit claims;
  claims.platform = platform_.get();
  claims.now = Now;
  claims.retentionHours = [this] {
    return configuration_ ? configuration_->claimRetentionHours : 24U;
  };
  claims.sweptServices = [this] {
    std::vector<std::string> swept;
    if (configuration_) {
      for (const ServiceConfig& service : configuration_->services) {
        if (membership_->HealthReader(Hash64(service.id), Now()) == settings_.host) {
          swept.push_back(service.id);
        }
      }
    }
    return swept;
  };
  claims_ = std::make_unique<ClaimStore>(std::move(claims));

  ConfigurationSyncInit sync;
  sync.sender = sender_.get();
  sync.platform = platform_.get();
  sync.now = Now;
  sync.validate = [this](std::string_view aBody) {
    // Kept for Adopt(): parsing a body of the design scale twice would exceed the processor budget.
    parsed_ = ParseConfiguration(aBody);
    return parsed_.problems.empty() ? std::string() : ToString(parsed_.problems.front());
  };
  sync.maxBackoff = kMaxPollBackoff;
  sync.callDeadline = kPlatformDeadline;
  sync.onActivated = [this](uint64_t aRevision,
                            const std::string& aDigest,
                            const std::string& aBody) { Adopt(aRevision, aDigest, aBody); };
  sync.record = [this](DecisionRecord aRecord) { Record(std::move(aRecord)); };
  sync.testAllowLower = settings_.IsDisabled("config_monotonic");
  sync.testAllowFork = settings_.IsDisabled("config_monotonic");
  sync_ = std::make_unique<ConfigurationSync>(std::move(sync));

  uploader_ = std::make_unique<RecordUploader>(
    RecordUploaderInit{ settings_.host, incarnation_, platform_.get(), ring_.get(), WallClockMs });

  health_ = std::make_unique<HealthControl>(HealthControlInit{
    &settings_, exchange_.get(), permits_.get(), leaving_.get(), [this](DecisionRecord aRecord) {
      return Record(std::move(aRecord));
    } });
  HealthReaderInit reader;
  reader.loop = &loop_;
  reader.isReader = [this](std::string_view aService, std::string_view aUpstream) {
    return membership_->HealthReader(UpstreamKey(aService, aUpstream), Now()) == settings_.host;
  };
  reader.onHealth = [this](std::string_view aService,
                           std::string_view aUpstream,
                           std::string_view aStatus,
                           std::string_view aBootId) {
    if (aStatus == "draining") {
      leaving_->Signal(aService, aUpstream, aBootId, "health", Now());
    } else {
      health_->OnBootId(aService, aUpstream, aBootId, Now());
    }
  };
  healthReader_ = std::make_unique<HealthReader>(std::move(reader));
}

ControlHooks Control::MakeHooks()
{
  ControlHooks hooks;
  hooks.onEvidence = [this](std::vector<UpstreamEvidence> aEvidence) {
    for (const UpstreamEvidence& evidence : aEvidence) {
      const Configuration& configuration = *evidence.snapshot->configuration;
      const ServiceHandle service = configuration.upstreams[evidence.upstream.idx].service;
      metrics_.CountEvidence(configuration.services[service.idx].id, evidence.kind);
    }
    loop_.Post([this, aEvidence = std::move(aEvidence)] { health_->OnEvidence(aEvidence); });
  };
  hooks.onRefusal = [this](RefusalEvent aEvent) {
    loop_.Post([this, aEvent = std::move(aEvent)]() mutable { RecordRefusal(std::move(aEvent)); });
  };
  hooks.onLeaving = [this](const std::string& aService,
                           const std::string& aUpstream,
                           const std::string& aBootId,
                           const std::string& aSource) {
    loop_.Post([=, this] { leaving_->Signal(aService, aUpstream, aBootId, aSource, Now()); });
  };
  hooks.claim =
    [this](ClaimRequest aRequest, TimePoint aDeadline, std::function<void(ClaimResult)> aCallback) {
      loop_.Post([=, this, aRequest = std::move(aRequest), aCallback = std::move(aCallback)] {
        claims_->Claim(aRequest, aDeadline, aCallback);
      });
    };
  hooks.completeClaim = [this](std::string aRowKey, ClaimOutcome aOutcome) {
    loop_.Post([this, aRowKey = std::move(aRowKey), aOutcome = std::move(aOutcome)]() mutable {
      claims_->Complete(aRowKey, std::move(aOutcome));
    });
  };
  hooks.withdrawClaim = [this](std::string aRowKey) {
    loop_.Post([this, aRowKey = std::move(aRowKey)] { claims_->Release(aRowKey); });
  };
  hooks.forgetClaim = [this](std::string aRowKey) {
    loop_.Post([this, aRowKey = std::move(aRowKey)] { claims_->Abandon(aRowKey); });
  };
  return hooks;
}

void Control::Start()
{
  thread_ = std::thread([this] {
    tick_ = loop_.RunEvery(kTickInterval, [this] { Tick(); });
    Tick();
    loop_.Run();
    tick_.reset();
  });
}

void Control::Tick()
{
  const TimePoint now = Now();
  health_->Tick(now, CountProxiesPerDomain(now));
  exchange_->Tick(now);
  if (now - lastSlowTick_ >= kSlowTickInterval) {
    lastSlowTick_ = now;
    membership_->Tick(now);
    sync_->Tick(now);
    permits_->Tick(now);
    claims_->Tick(now);
    leaving_->Tick(now);
    uploader_->Tick(now);
    healthReader_->Tick(now);
  }
  PublishSnapshot(now);
}

std::map<std::string, uint32_t> Control::CountProxiesPerDomain(TimePoint aNow) const
{
  std::map<std::string, uint32_t> counts;
  ++counts[settings_.failureDomain];
  for (const std::string& host : membership_->LivePeers(aNow)) {
    if (const auto peer = membership_->Find(host)) {
      ++counts[peer->failureDomain];
    }
  }
  return counts;
}

void Control::HandleMessage(std::string_view aBytes)
{
  const auto message = membership_->Receive(aBytes);
  if (!message) {
    return;
  }
  sync_->Handle(*message);
  leaving_->Handle(*message, Now());
  exchange_->Handle(*message);
}

Heartbeat Control::MakeHeartbeat() const
{
  Heartbeat heartbeat;
  heartbeat.revision = sync_->Revision();
  heartbeat.digestPrefix = DigestPrefix(sync_->Digest());
  heartbeat.failureDomain = settings_.failureDomain;
  heartbeat.address = settings_.listenAddress;
  heartbeat.port = transport_->Port();
  heartbeat.state = isShuttingDown_  ? ProxyState::Leaving
                    : configuration_ ? ProxyState::Ready
                                     : ProxyState::Starting;
  return heartbeat;
}

void Control::Adopt(uint64_t aRevision, const std::string& aDigest, const std::string& aBody)
{
  ConfigurationReport report = std::exchange(parsed_, {});
  if (!report.configuration || report.body != aBody) {
    report = ParseConfiguration(aBody);
  }
  if (!report.configuration) {
    return;
  }
  auto configuration = std::make_shared<Configuration>(*report.configuration);
  configuration->revision = aRevision;
  configuration->digest = aDigest;

  std::vector<UpstreamHandle> previous;
  for (const UpstreamConfig& upstream : configuration->upstreams) {
    previous.push_back(
      health_->Find(configuration->services[upstream.service.idx].id, upstream.id));
  }
  load_ = load_ ? std::make_shared<LoadTable>(*load_, previous)
                : std::make_shared<LoadTable>(previous.size());
  configuration_ = configuration;
  routes_ = std::make_shared<RouteTable>(configuration_);
  const auto& domains = configuration_->failureDomains;
  const auto domain = std::find(domains.begin(), domains.end(), settings_.failureDomain);
  localDomain_ = domain == domains.end()
                   ? FailureDomainHandle{}
                   : FailureDomainHandle{ static_cast<uint16_t>(domain - domains.begin()) };
  if (!IsValid(localDomain_)) {
    Log(LogLevel::Warning,
        "unknown_failure_domain",
        { { "failure_domain", settings_.failureDomain }, { "revision", aRevision } });
  }
  health_->Configure(configuration_, load_);
  healthReader_->Configure(configuration_);

  PublishSnapshot(Now());
}

void Control::PublishSnapshot(TimePoint aNow)
{
  if (!configuration_) {
    return;
  }
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->status = health_->Status(aNow);
  snapshot->slowLimits = health_->SlowLimits();
  for (Duration& limit : snapshot->slowLimits) {
    limit = std::min(limit, kUnknownSlowLimit);
  }
  const SnapshotPtr current = shared_.Snapshot();
  if (current && current->configuration == configuration_ &&
      current->slowLimits == snapshot->slowLimits &&
      std::equal(current->status.begin(),
                 current->status.end(),
                 snapshot->status.begin(),
                 snapshot->status.end(),
                 IsSame)) {
    return;
  }
  snapshot->configuration = configuration_;
  snapshot->routes = routes_;
  snapshot->load = load_;
  snapshot->localDomain = localDomain_;
  shared_.Publish(std::move(snapshot));
}

std::string Control::Record(DecisionRecord aRecord)
{
  if (aRecord.revision == 0) {
    aRecord.revision = sync_->Revision();
    aRecord.digest = sync_->Digest();
  }
  aRecord.timeMs = WallClockMs();
  aRecord.proxy = settings_.host;
  aRecord.failureDomain = settings_.failureDomain;
  const std::string sentence = Describe(aRecord);
  const DecisionKind kind = aRecord.kind;
  const std::string service = aRecord.service;
  const std::string subject = aRecord.subject;
  const std::string rule = aRecord.rule;
  std::string id = ring_->Add(std::move(aRecord), WallClockMs());
  if (!id.empty()) {
    Log(LogLevel::Info,
        "decision",
        { { "id", id },
          { "kind", ToString(kind) },
          { "service", service },
          { "subject", subject },
          { "rule", rule },
          { "text", sentence } });
  }
  return id;
}

void Control::RecordRefusal(RefusalEvent aEvent)
{
  DecisionRecord record;
  record.kind = DecisionKind::Refusal;
  record.service = std::move(aEvent.service);
  record.subject = std::move(aEvent.caller);
  record.rule = std::move(aEvent.rule);
  record.requestId = std::move(aEvent.requestId);
  for (auto& [name, value] : aEvent.evidence) {
    record.evidence.push_back({ std::move(name), value });
  }
  Record(std::move(record));
}

bool Control::IsReady(TimePoint aNow) const
{
  return configuration_ != nullptr && !isShuttingDown_ && sync_->Ready(aNow);
}

void Control::BeginShutdown()
{
  loop_.Post([this] { isShuttingDown_ = true; });
}

void Control::Stop(Duration aLimit)
{
  if (!thread_.joinable()) {
    return;
  }
  loop_.Post([this, aLimit] {
    uploader_->Flush();
    const TimePoint end = Now() + aLimit;
    tick_ = loop_.RunEvery(Milliseconds(10), [this, end] {
      if (!uploader_->Busy() || Now() >= end) {
        loop_.Stop();
      }
    });
  });
  thread_.join();
}

} // namespace bg

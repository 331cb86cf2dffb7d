#include "control.h"

#include <algorithm>

namespace bg {

namespace {

/// Interval of the health control and the evidence exchange.
constexpr Duration kTickInterval = Milliseconds(50);
/// Interval of the other work, such as membership, configuration and permits.
constexpr Duration kCoordinationTickInterval = Milliseconds(100);
/// Proxies that pool the evidence of one upstream.
constexpr size_t kAggregatorsPerUpstream = 2;

/// A configuration must be active within 4 s of its acceptance, also right after the platform was
/// slow. With a maximum backoff of 4 s, scripts/prove config measured 7.4 s.
constexpr Milliseconds kMaxPollBackoff{ 1000 };

/// Timeout of the control thread's calls to the platform. A platform that responds in 800 ms is
/// slow but usable; with a timeout of 800 ms no proxy could read a new configuration from it.
constexpr Milliseconds kPlatformCallTimeout{ 1500 };

/// Upper bound of a service's slow limit. Needed while its latency baseline is unknown, when
/// the detector's limit is unbounded.
constexpr Duration kMaxSlowLimit = std::chrono::seconds(2);

bool IsSameStatus(const UpstreamStatus& aLeft, const UpstreamStatus& aRight)
{
  return aLeft.leaving == aRight.leaving && aLeft.avoided == aRight.avoided &&
         aLeft.ejectedUntil == aRight.ejectedUntil && aLeft.slowStartFrom == aRight.slowStartFrom;
}

} // namespace

ControlThread::ControlThread(const ProxySettings& aSettings,
                             TrafficContext& aContext,
                             Metrics& aMetrics)
  : settings_(aSettings)
  , context_(aContext)
  , metrics_(aMetrics)
  , incarnation_(static_cast<uint64_t>(WallClockMs()))
{
}

ControlThread::~ControlThread()
{
  Stop(Duration(0));
}

Result<ProxyPorts> ControlThread::Bind()
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
  adminServer_ = std::move(*server);
  ports.adminPort = adminServer_->Port();

  PeerTransportInit peers;
  peers.loop = &loop_;
  peers.address = settings_.listenAddress;
  peers.port = settings_.peerPort;
  peers.onMessage = [this](std::string_view aBytes) { OnPeerMessage(aBytes); };
  auto transport = CreateZmqPeerTransport(std::move(peers));
  if (!transport) {
    return transport.Failure();
  }
  peerTransport_ = std::move(*transport);
  ports.peerPort = peerTransport_->Port();
  platform_ = CreateHttpPlatform(
    { settings_.platformAddress, settings_.platformPort, [this](std::function<void()> aCallback) {
       loop_.Post(std::move(aCallback));
     } });
  CreateCoordination();
  context_.hooks = CreateHooks();
  return ports;
}

void ControlThread::CreateCoordination()
{
  recordRing_ = std::make_unique<RecordRing>(
    RecordRingInit{ settings_.host, std::to_string(incarnation_), settings_.failureDomain });
  peerSender_ = std::make_unique<PeerSender>(PeerSenderInit{
    settings_.host, incarnation_, [this](std::string_view aHost, std::string_view aBytes) {
      peerTransport_->Send(aHost, aBytes);
    } });
  const auto listedPeers = [this] { return membership_->Peers(); };

  MembershipInit membership;
  membership.sender = peerSender_.get();
  membership.platform = platform_.get();
  membership.now = Now;
  membership.heartbeat = [this] { return CreateHeartbeat(); };
  membership.onPeer = [this](const PeerInfo& aPeer) {
    peerTransport_->SetPeer(aPeer.host, aPeer.address, aPeer.port);
  };
  membership.onPeerRemoved = [this](std::string_view aHost) { peerTransport_->RemovePeer(aHost); };
  membership.onHosts = [this](const std::vector<HostEntry>& aHosts) {
    healthControl_->OnHostList(aHosts, Now());
  };
  for (const SeedPeer& seed : settings_.seeds) {
    membership.seeds.push_back({ seed.address, seed.port });
  }
  membership_ = std::make_unique<Membership>(std::move(membership));

  LeavingMarksInit leaving;
  leaving.sender = peerSender_.get();
  leaving.peers = listedPeers;
  leaving.onChange = [this](const LeavingMark& aMark, bool aIsLeaving) {
    healthControl_->OnLeavingChange(aMark, aIsLeaving);
    PublishSnapshot(Now());
  };
  leavingMarks_ = std::make_unique<LeavingMarks>(std::move(leaving));

  EvidenceExchangeInit exchange;
  exchange.sender = peerSender_.get();
  exchange.failureDomain = settings_.failureDomain;
  exchange.aggregators = [this](uint64_t aKey) {
    return membership_->Aggregators(aKey, kAggregatorsPerUpstream, Now());
  };
  exchange.peers = listedPeers;
  exchange.onReport = [this](std::string_view aHost, const EvidenceReport& aReport) {
    healthControl_->OnPeerReport(aHost, aReport, Now());
  };
  exchange.onVerdict = [this](std::string_view aHost, const Verdict& aVerdict) {
    healthControl_->OnPeerVerdict(aHost, aVerdict, Now());
    PublishSnapshot(Now());
  };
  evidenceExchange_ = std::make_unique<EvidenceExchange>(std::move(exchange));

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
  permits.health = [this](std::string_view aService) { return healthControl_->Health(aService); };
  permits.onEvent =
    [this](PermitEvent aEvent, const std::string& aService, const std::string& aUpstream) {
      healthControl_->OnPermitEvent(aEvent, aService, aUpstream);
    };
  permits.callDeadline = kPlatformCallTimeout;
  permits.testIgnoreFloor = settings_.IsDisabled("floor");
  permits.testIgnoreLease = settings_.IsDisabled("lease");
  ejectionPermits_ = std::make_unique<EjectionPermits>(std::move(permits));

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
  claimStore_ = std::make_unique<ClaimStore>(std::move(claims));

  ConfigurationSyncInit sync;
  sync.sender = peerSender_.get();
  sync.platform = platform_.get();
  sync.now = Now;
  sync.validate = [this](std::string_view aBody) {
    // ApplyConfiguration() uses the parsed result. Parsing the body of a large fleet twice would
    // exceed the CPU budget.
    lastValidated_ = ParseConfiguration(aBody);
    return lastValidated_.problems.empty() ? std::string()
                                           : ToString(lastValidated_.problems.front());
  };
  sync.maxBackoff = kMaxPollBackoff;
  sync.callDeadline = kPlatformCallTimeout;
  sync.onActivated =
    [this](uint64_t aRevision, const std::string& aDigest, const std::string& aBody) {
      ApplyConfiguration(aRevision, aDigest, aBody);
    };
  sync.record = [this](DecisionRecord aRecord) { AddRecord(std::move(aRecord)); };
  sync.testAllowLower = settings_.IsDisabled("config_monotonic");
  sync.testAllowFork = settings_.IsDisabled("config_monotonic");
  configurationSync_ = std::make_unique<ConfigurationSync>(std::move(sync));

  recordUploader_ = std::make_unique<RecordUploader>(RecordUploaderInit{
    settings_.host, incarnation_, platform_.get(), recordRing_.get(), WallClockMs });

  healthControl_ = std::make_unique<HealthControl>(
    HealthControlInit{ &settings_,
                       evidenceExchange_.get(),
                       ejectionPermits_.get(),
                       leavingMarks_.get(),
                       [this](DecisionRecord aRecord) { return AddRecord(std::move(aRecord)); } });
  HealthReaderInit reader;
  reader.loop = &loop_;
  reader.isAssigned = [this](std::string_view aService, std::string_view aUpstream) {
    return membership_->HealthReader(UpstreamKey(aService, aUpstream), Now()) == settings_.host;
  };
  reader.onHealthRead = [this](std::string_view aService,
                               std::string_view aUpstream,
                               std::string_view aStatus,
                               std::string_view aBootId) {
    if (aStatus == "draining") {
      leavingMarks_->Signal(aService, aUpstream, aBootId, "health", Now());
    } else {
      healthControl_->OnBootId(aService, aUpstream, aBootId, Now());
    }
  };
  healthReader_ = std::make_unique<HealthReader>(std::move(reader));
}

ControlHooks ControlThread::CreateHooks()
{
  ControlHooks hooks;
  hooks.onOutcomes = [this](std::vector<AttemptOutcome> aOutcomes) {
    for (const AttemptOutcome& outcome : aOutcomes) {
      const Configuration& configuration = *outcome.snapshot->configuration;
      const ServiceHandle service = configuration.upstreams[outcome.upstream.idx].service;
      metrics_.CountOutcome(configuration.services[service.idx].id, outcome.kind);
    }
    loop_.Post([this, aOutcomes = std::move(aOutcomes)] { healthControl_->OnOutcomes(aOutcomes); });
  };
  hooks.onRefusal = [this](RefusalEvent aEvent) {
    loop_.Post([this, aEvent = std::move(aEvent)]() mutable { RecordRefusal(std::move(aEvent)); });
  };
  hooks.onLeavingSignal = [this](const std::string& aService,
                                 const std::string& aUpstream,
                                 const std::string& aBootId,
                                 const std::string& aSource) {
    loop_.Post([=, this] { leavingMarks_->Signal(aService, aUpstream, aBootId, aSource, Now()); });
  };
  hooks.claim =
    [this](ClaimRequest aRequest, TimePoint aDeadline, std::function<void(ClaimResult)> aCallback) {
      loop_.Post([=, this, aRequest = std::move(aRequest), aCallback = std::move(aCallback)] {
        claimStore_->Claim(aRequest, aDeadline, aCallback);
      });
    };
  hooks.completeClaim = [this](std::string aRowKey, ClaimOutcome aOutcome) {
    loop_.Post([this, aRowKey = std::move(aRowKey), aOutcome = std::move(aOutcome)]() mutable {
      claimStore_->Complete(aRowKey, std::move(aOutcome));
    });
  };
  hooks.withdrawClaim = [this](std::string aRowKey) {
    loop_.Post([this, aRowKey = std::move(aRowKey)] { claimStore_->Release(aRowKey); });
  };
  hooks.abandonClaim = [this](std::string aRowKey) {
    loop_.Post([this, aRowKey = std::move(aRowKey)] { claimStore_->Abandon(aRowKey); });
  };
  return hooks;
}

void ControlThread::Start()
{
  thread_ = std::thread([this] {
    tickTimer_ = loop_.RunEvery(kTickInterval, [this] { Tick(); });
    Tick();
    loop_.Run();
    tickTimer_.reset();
  });
}

void ControlThread::Tick()
{
  const TimePoint now = Now();
  healthControl_->Tick(now, CountLiveProxiesPerDomain(now));
  evidenceExchange_->Tick(now);
  if (now - lastCoordinationTick_ >= kCoordinationTickInterval) {
    lastCoordinationTick_ = now;
    membership_->Tick(now);
    configurationSync_->Tick(now);
    ejectionPermits_->Tick(now);
    claimStore_->Tick(now);
    leavingMarks_->Tick(now);
    recordUploader_->Tick(now);
    healthReader_->Tick(now);
  }
  PublishSnapshot(now);
}

std::map<std::string, uint32_t> ControlThread::CountLiveProxiesPerDomain(TimePoint aNow) const
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

void ControlThread::OnPeerMessage(std::string_view aBytes)
{
  const auto message = membership_->Receive(aBytes);
  if (!message) {
    return;
  }
  configurationSync_->Handle(*message);
  leavingMarks_->Handle(*message, Now());
  evidenceExchange_->Handle(*message);
}

Heartbeat ControlThread::CreateHeartbeat() const
{
  Heartbeat heartbeat;
  heartbeat.revision = configurationSync_->Revision();
  heartbeat.digestPrefix = DigestPrefix(configurationSync_->Digest());
  heartbeat.failureDomain = settings_.failureDomain;
  heartbeat.address = settings_.listenAddress;
  heartbeat.port = peerTransport_->Port();
  heartbeat.state = isShuttingDown_  ? ProxyState::Leaving
                    : configuration_ ? ProxyState::Ready
                                     : ProxyState::Starting;
  return heartbeat;
}

void ControlThread::ApplyConfiguration(uint64_t aRevision,
                                       const std::string& aDigest,
                                       const std::string& aBody)
{
  ConfigurationReport report = std::exchange(lastValidated_, {});
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
      healthControl_->FindUpstream(configuration->services[upstream.service.idx].id, upstream.id));
  }
  loadTable_ = loadTable_ ? std::make_shared<LoadTable>(*loadTable_, previous)
                          : std::make_shared<LoadTable>(previous.size());
  configuration_ = configuration;
  routeTable_ = std::make_shared<RouteTable>(configuration_);
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
  healthControl_->Configure(configuration_, loadTable_);
  healthReader_->Configure(configuration_);

  PublishSnapshot(Now());
}

void ControlThread::PublishSnapshot(TimePoint aNow)
{
  if (!configuration_) {
    return;
  }
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->upstreamStatus = healthControl_->UpstreamStatuses(aNow);
  snapshot->slowLimits = healthControl_->SlowLimits();
  for (Duration& limit : snapshot->slowLimits) {
    limit = std::min(limit, kMaxSlowLimit);
  }
  const SnapshotPtr current = context_.Snapshot();
  if (current && current->configuration == configuration_ &&
      current->slowLimits == snapshot->slowLimits &&
      std::equal(current->upstreamStatus.begin(),
                 current->upstreamStatus.end(),
                 snapshot->upstreamStatus.begin(),
                 snapshot->upstreamStatus.end(),
                 IsSameStatus)) {
    return;
  }
  snapshot->configuration = configuration_;
  snapshot->routes = routeTable_;
  snapshot->load = loadTable_;
  snapshot->localDomain = localDomain_;
  context_.Publish(std::move(snapshot));
}

std::string ControlThread::AddRecord(DecisionRecord aRecord)
{
  if (aRecord.revision == 0) {
    aRecord.revision = configurationSync_->Revision();
    aRecord.digest = configurationSync_->Digest();
  }
  aRecord.timeMs = WallClockMs();
  aRecord.proxy = settings_.host;
  aRecord.failureDomain = settings_.failureDomain;
  const std::string sentence = Describe(aRecord);
  const DecisionKind kind = aRecord.kind;
  const std::string service = aRecord.service;
  const std::string subject = aRecord.subject;
  const std::string rule = aRecord.rule;
  std::string id = recordRing_->Add(std::move(aRecord), WallClockMs());
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

void ControlThread::RecordRefusal(RefusalEvent aEvent)
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
  AddRecord(std::move(record));
}

bool ControlThread::IsReady(TimePoint aNow) const
{
  return configuration_ != nullptr && !isShuttingDown_ && configurationSync_->Ready(aNow);
}

void ControlThread::BeginShutdown()
{
  loop_.Post([this] { isShuttingDown_ = true; });
}

void ControlThread::Stop(Duration aUploadTimeout)
{
  if (!thread_.joinable()) {
    return;
  }
  loop_.Post([this, aUploadTimeout] {
    recordUploader_->Flush();
    const TimePoint end = Now() + aUploadTimeout;
    tickTimer_ = loop_.RunEvery(Milliseconds(10), [this, end] {
      if (!recordUploader_->Busy() || Now() >= end) {
        loop_.Stop();
      }
    });
  });
  thread_.join();
}

} // namespace bg

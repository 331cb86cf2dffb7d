// The part of FleetControl that gets the configuration from the store and from peers.
#include <algorithm>

#include "control_p.h"

namespace bg::fleet::detail {

namespace {

/// Deadline of a configuration read. A configuration of 1,000 routes has 300 KB, which takes over
/// 2 s on a host with a slow network link.
constexpr Duration kConfigurationDeadline = std::chrono::seconds(4);
/// How long the store may hold a watch open without a change. A change must be active within 2 s
/// even if the store refuses the watching host or its open connection stops delivering data.
constexpr Duration kWatchWait = Milliseconds(700);
/// Time for the response to a watch after kWatchWait, besides that for the transfer of the
/// document. The table is read if there is no response.
constexpr Duration kWatchDeadline = Milliseconds(500);
/// Rate at which the slowest host receives a document from the store.
constexpr size_t kMinStoreBytesPerSecond = 400'000;
/// Failed reads of the configuration are logged no more often than this.
constexpr Duration kReadFailureLogInterval = std::chrono::seconds(1);
/// A configuration up to this size is sent along with changes as a whole, which also serves hosts
/// that have missed the version before; of a larger one, the patch is.
constexpr size_t kMaxWholeDocumentBytes = 32UL << 10;
/// A larger encoded configuration is not sent along with changes, to spare the network link of the
/// sender. Hosts ask for it.
constexpr size_t kMaxSharedDocumentBytes = 8UL << 10;
/// Larger encoded configurations that a host sends per second. Hosts that get no answer ask others.
constexpr size_t kMaxDocumentBytesPerSecond = 256UL << 10;
/// A host reads a newer configuration from the store if no peer has sent it in this time. A large
/// change is read at once, because peers send it to some hosts only.
constexpr Duration kPeerConfigurationTime = Milliseconds(150);
/// Interval between requests for a newer configuration.
constexpr Duration kConfigurationRequestInterval = Milliseconds(200);
/// Delay between reads that return an older configuration than a peer has reported.
constexpr Duration kFruitlessReadDelay = Milliseconds(400);
/// A newer configuration that no peer has reported for this long is given up.
constexpr Duration kAnnouncementPeriod = std::chrono::seconds(5);
/// Delay between a watch that failed and the next one.
constexpr Duration kWatchRetryDelay = Milliseconds(400);
/// Peers get a configuration from others within this time after it became active here.
constexpr Duration kCorrectionDelay = Milliseconds(500);
/// Between the receipt of a configuration from a peer and its activation, so that it leaves for the
/// next hosts first.
constexpr Duration kActivationDelay = Milliseconds(1);
/// Configurations that are remembered as not activated.
constexpr size_t kMaxRejectedConfigurations = 8;

/// Longest time that a document takes from the store to a host.
Duration TransferTime(size_t aBytes)
{
  return Milliseconds(aBytes * 1000 / kMinStoreBytesPerSecond);
}

} // namespace

void FleetControl::ReadConfiguration()
{
  if (isReadingConfiguration_) {
    return;
  }
  isReadingConfiguration_ = true;
  platform_.store->Read(
    platform_.configurationTable,
    kConfigurationDeadline,
    [this, requestedAt = Now()](const Result<StoreRows>& aRows) {
      if (requestedAt < resumedAt_) {
        return; // RevalidateAfterPause() has started another read.
      }
      isReadingConfiguration_ = false;
      RecordStoreResult(static_cast<bool>(aRows), aRows ? nullptr : &aRows.Failure());
      if (!aRows) {
        nextConfigurationRead_ =
          schedule_.NextRead(Duration(0), TimePoint{}, lastStoreFailure_, storeFailures_);
        LogConfigurationReadFailure(aRows.Failure(), requestedAt);
      }
      OnConfigurationRows(aRows);
      if (aRows && IsWanted(newestKnown_)) {
        nextConfigurationRead_ = Now() + kFruitlessReadDelay;
      }
    });
}

void FleetControl::CheckConfiguration()
{
  if (revision_ == 0) {
    return ReadConfiguration();
  }
  if (isReadingConfiguration_) {
    return;
  }
  isReadingConfiguration_ = true;
  platform_.store->Watch(
    platform_.configurationTable,
    ConfigurationWatchPosition(),
    Duration(0),
    kWatchDeadline + TransferTime(document_.Text().size()),
    [this, requestedAt = Now()](const Result<StoreRows>& aRows) {
      if (requestedAt < resumedAt_) {
        return; // RevalidateAfterPause() has started another check.
      }
      isReadingConfiguration_ = false;
      if (!aRows && aRows.Failure().code == make_error_code(Errc::NotFound)) {
        return ReadConfiguration(); // The store no longer has the changes since that position.
      }
      RecordStoreResult(static_cast<bool>(aRows), aRows ? nullptr : &aRows.Failure());
      if (!aRows) {
        LogConfigurationReadFailure(aRows.Failure(), requestedAt);
      }
      OnConfigurationRows(aRows);
    });
}

void FleetControl::WatchConfiguration()
{
  if (isWatching_ || isReadingConfiguration_ || Now() < nextWatch_) {
    return;
  }
  isWatching_ = true;
  platform_.store->Watch(platform_.configurationTable,
                         ConfigurationWatchPosition(),
                         kWatchWait,
                         kWatchDeadline + TransferTime(document_.Text().size()),
                         [this, requestedAt = Now()](const Result<StoreRows>& aRows) {
                           isWatching_ = false;
                           if (!aRows || requestedAt < resumedAt_) {
                             // The table may hold a change that the watch did not deliver.
                             nextWatch_ = Now() + kWatchRetryDelay;
                             ReadConfiguration();
                             return;
                           }
                           OnConfigurationRows(aRows);
                         });
}

void FleetControl::OnConfigurationRows(const Result<StoreRows>& aRows)
{
  if (!aRows) {
    return;
  }
  if (aRows->position < configurationRead_) {
    return; // A late response, possibly from before a restore of the store.
  }
  configurationRead_ = aRows->position;
  const TimePoint receivedAt = Now();
  const StoreRow* newest = nullptr;
  for (const StoreRow& row : aRows->rows) {
    const bool isConfigurationRow = row.key == platform_.configurationKey && !row.isDeleted;
    if (isConfigurationRow && (newest == nullptr || row.version > newest->version)) {
      newest = &row;
    }
  }
  const bool isNew =
    newest != nullptr &&
    ActivateConfiguration({ aRows->position.epoch, newest->version }, newest->value);
  ConfirmConfiguration(receivedAt);
  if (isNew && !document_.Id().IsNewerThan(newestKnown_)) {
    // The host that announced it has told all others.
    return ForwardConfiguration(Now());
  }
  ShareView({}, isNew);
}

void FleetControl::ConfirmConfiguration(TimePoint aFreshAt)
{
  peersAsked_ = aFreshAt > configurationFreshAt_ ? 0 : peersAsked_;
  configurationFreshAt_ = std::max(configurationFreshAt_, aFreshAt);
  if (!activationTimer_) {
    shared_.configurationFreshAt = configurationFreshAt_;
  }
}

bool FleetControl::IsWanted(const ConfigurationId& aId) const
{
  return aId.IsNewerThan(document_.Id()) && !aId.HasSameText(document_.Id()) &&
         !rejected_.contains(aId.position);
}

StorePosition FleetControl::ConfigurationWatchPosition() const
{
  return std::max(configurationRead_, document_.Id().position);
}

void FleetControl::RejectConfiguration(StorePosition aPosition)
{
  rejected_.insert(aPosition);
  if (rejected_.size() > kMaxRejectedConfigurations) {
    rejected_.erase(rejected_.begin());
  }
}

void FleetControl::RebaseConfiguration(StorePosition aPosition, std::string_view aSource)
{
  const StorePosition previous = document_.Id().position;
  if (aPosition <= previous) {
    return;
  }
  document_.SetPosition(aPosition);
  Log(LogLevel::Info,
      "configuration_rebased",
      { { "revision", revision_ },
        { "store_version", aPosition.version },
        { "store_epoch", aPosition.epoch },
        { "previous_version", previous.version },
        { "previous_epoch", previous.epoch },
        { "source", aSource } });
}

void FleetControl::CorrectConfiguration(const ConfigurationId& aId,
                                        const std::string& aPeer,
                                        TimePoint aNow)
{
  const bool isReplaced =
    aId.revision != 0 && document_.Id().IsNewerThan(aId) && aNow - activatedAt_ > kCorrectionDelay;
  if (!isReplaced || aNow < nextCorrection_ || !registry_.HasState()) {
    return;
  }
  nextCorrection_ = aNow + kConfigurationRequestInterval;
  const RegistryChange none;
  SendView({ &aPeer, 1 }, &none, SmallDocument(aId.digest));
}

bool FleetControl::ActivateConfiguration(StorePosition aPosition, std::string aDocument)
{
  if (aPosition == document_.Id().position || rejected_.contains(aPosition)) {
    return false;
  }
  const ActivationSource source = DescribeSource("store");
  auto configuration = platform_.parseConfiguration(aDocument);
  if (!configuration) {
    LogRejectedConfiguration(aPosition, source.name, configuration.Failure());
    return false;
  }
  const ConfigurationId id{ configuration->revision, aPosition, Hash64(aDocument) };
  if (id.HasSameText(document_.Id())) {
    RebaseConfiguration(aPosition, source.name);
    return false;
  }
  if (!id.IsNewerThan(document_.Id())) {
    Log(LogLevel::Warning,
        "configuration_ignored",
        { { "revision", id.revision },
          { "store_version", aPosition.version },
          { "store_epoch", aPosition.epoch },
          { "source", source.name },
          { "revision_in_force", revision_ },
          { "version_in_force", document_.Id().position.version },
          { "epoch_in_force", document_.Id().position.epoch } });
    RejectConfiguration(aPosition);
    return false;
  }
  document_.Replace(id, std::move(aDocument), nullptr);
  Activate(std::move(*configuration), source);
  return true;
}

bool FleetControl::TakeFromPeer(const ConfigurationId& aId,
                                const wire::Document& aDocument,
                                const std::string& aPeer)
{
  if (!IsWanted(aId) || aDocument.data().empty()) {
    return false;
  }
  auto text = document_.Decode(aDocument);
  if (!text || aDocument.digest() != aId.digest) {
    return false;
  }
  taken_ = DescribeSource(aPeer);
  document_.Replace(aId, std::move(*text), &aDocument);
  activationTimer_ = loop_.RunAfter(kActivationDelay, [this] { ActivateTaken(); });
  return true;
}

void FleetControl::ActivateTaken()
{
  activationTimer_.reset();
  const ConfigurationId id = document_.Id();
  auto configuration = platform_.parseConfiguration(document_.Text());
  if (configuration && configuration->revision != id.revision) {
    configuration = Error{ Errc::InvalidArgument,
                           "configuration.activate",
                           taken_.name,
                           "the document has revision " + std::to_string(configuration->revision) };
  }
  if (!configuration) {
    return LogRejectedConfiguration(id.position, taken_.name, configuration.Failure());
  }
  Activate(std::move(*configuration), taken_);
}

void FleetControl::Activate(FleetConfiguration aConfiguration, const ActivationSource& aSource)
{
  activationTimer_.reset();
  revision_ = aConfiguration.revision;
  const auto routes = std::make_shared<const RouteTable>(
    std::make_shared<const FleetConfiguration>(std::move(aConfiguration)));
  shared_.routes.store(routes);
  shared_.configurationFreshAt = configurationFreshAt_;
  activatedAt_ = Now();
  Log(LogLevel::Info,
      "configuration_adopted",
      { { "revision", revision_ },
        { "store_version", document_.Id().position.version },
        { "store_epoch", document_.Id().position.epoch },
        { "source", aSource.name },
        { "routes", routes->Configuration().routes.size() },
        { "accounts", routes->Configuration().accounts.size() },
        { "lag_ms", aSource.lag / Milliseconds(1) },
        { "confirmed_ms", aSource.unconfirmed / Milliseconds(1) },
        { "backlog_ms", aSource.backlog / Milliseconds(1) },
        { "activation_ms", (activatedAt_ - aSource.startedAt) / Milliseconds(1) } });
  if (shared_.onRoutes) {
    shared_.onRoutes();
  }
}

void FleetControl::LogRejectedConfiguration(StorePosition aPosition,
                                            std::string_view aSource,
                                            const Error& aError)
{
  Log(LogLevel::Error,
      "configuration_rejected",
      { { "store_version", aPosition.version },
        { "store_epoch", aPosition.epoch },
        { "source", aSource },
        { "detail", aError.detail },
        { "revision_in_force", revision_ } });
  RejectConfiguration(aPosition);
}

ActivationSource FleetControl::DescribeSource(std::string_view aSource) const
{
  const TimePoint now = Now();
  return { std::string(aSource),
           now,
           ConfigurationLag(now),
           now - configurationFreshAt_,
           transport_->Stats().receiveBacklog };
}

void FleetControl::RecordNewerConfiguration(const ConfigurationId& aId,
                                            const std::string& aPeer,
                                            TimePoint aNow)
{
  const bool isKnown = IsWanted(newestKnown_);
  if (isKnown && !aId.IsNewerThan(newestKnown_)) {
    newestKnownAt_ = newestKnown_.IsNewerThan(aId) ? newestKnownAt_ : aNow;
    return;
  }
  if (!isKnown) {
    newerKnownSince_ = aNow;
    configurationRequests_ = 0;
    nextConfigurationRequest_ = aNow;
  }
  newestKnown_ = aId;
  newestKnownAt_ = aNow;
  Log(LogLevel::Info,
      "configuration_announced",
      { { "announced_revision", aId.revision },
        { "store_version", aId.position.version },
        { "store_epoch", aId.position.epoch },
        { "peer", aPeer },
        { "revision", revision_ },
        { "confirmed_ms", (aNow - configurationFreshAt_) / Milliseconds(1) },
        { "reading", isReadingConfiguration_ } });
}

void FleetControl::FetchConfiguration(TimePoint aNow)
{
  if (!IsWanted(newestKnown_)) {
    return;
  }
  if (aNow - newestKnownAt_ > kAnnouncementPeriod) {
    Log(LogLevel::Warning,
        "configuration_unavailable",
        { { "announced_revision", newestKnown_.revision },
          { "peer", newerConfigurationPeer_ },
          { "revision", revision_ } });
    newestKnown_ = {};
    return;
  }
  if (aNow >= nextConfigurationRequest_) {
    nextConfigurationRequest_ = aNow + kConfigurationRequestInterval;
    const bool isFirst = configurationRequests_++ == 0;
    const std::string host =
      isFirst ? newerConfigurationPeer_
              : spreader_->Tree().RandomHead(random_(), configurationRequests_ % 2 == 0);
    if (!host.empty()) {
      wire::Envelope envelope;
      *envelope.mutable_configuration_request()->mutable_id() = ToWire(document_.Id());
      RenewConnection(host);
      Send(host, std::move(envelope));
    }
  }
  if (newestKnown_.position.epoch < StoreEpoch()) {
    return; // The restored store does not have it.
  }
  const Duration wait = isNewerLarge_ ? Duration(0) : kPeerConfigurationTime;
  if (aNow >= std::max(nextConfigurationRead_, newerKnownSince_ + wait)) {
    ReadConfiguration();
  }
}

void FleetControl::AnswerConfigurationRequest(const wire::Envelope& aMessage)
{
  const ConfigurationId known = FromWire(aMessage.configuration_request().id());
  if (!document_.Id().IsNewerThan(known)) {
    return;
  }
  const wire::Document& document = document_.Encode(known.digest);
  const TimePoint now = Now();
  if (now - documentBytesSince_ >= std::chrono::seconds(1)) {
    documentBytesSince_ = now;
    documentBytes_ = 0;
  }
  if (documentBytes_ != 0 && documentBytes_ + document.data().size() > kMaxDocumentBytesPerSecond) {
    return;
  }
  documentBytes_ += document.data().size();
  wire::Envelope envelope;
  wire::Configuration& configuration = *envelope.mutable_configuration();
  *configuration.mutable_id() = ToWire(document_.Id());
  configuration.set_age_ms(ToWireMs(now - configurationFreshAt_));
  *configuration.mutable_document() = document;
  RenewConnection(aMessage.sender().host());
  Send(aMessage.sender().host(), std::move(envelope));
}

void FleetControl::HandleConfiguration(const wire::Envelope& aMessage)
{
  const wire::Configuration& configuration = aMessage.configuration();
  const TimePoint now = Now();
  if (TakeFromPeer(
        FromWire(configuration.id()), configuration.document(), aMessage.sender().host())) {
    ConfirmConfiguration(now - Milliseconds(aMessage.held_ms() + configuration.age_ms()));
    ForwardConfiguration(now);
  }
}

void FleetControl::ForwardConfiguration(TimePoint aNow)
{
  const Member* announcer = members_->Find(newerConfigurationPeer_);
  const std::vector<std::string> targets = spreader_->ForwardTargets(
    announcer == nullptr ? init_.failureDomain : announcer->failureDomain, aNow);
  if (registry_.HasState()) {
    const RegistryChange none;
    SendView(targets, &none, SharedChange());
  }
}

const wire::Document* FleetControl::SmallDocument(uint64_t aKnownDigest) const
{
  const wire::Document& document = document_.Encode(aKnownDigest);
  return document.data().size() <= kMaxSharedDocumentBytes ? &document : nullptr;
}

const wire::Document* FleetControl::SharedChange() const
{
  return SmallDocument(document_.Text().size() <= kMaxWholeDocumentBytes ? 0
                                                                         : document_.PatchBase());
}

Duration FleetControl::ConfigurationLag(TimePoint aNow) const
{
  return IsWanted(newestKnown_) ? aNow - newerKnownSince_ : Duration(0);
}

void FleetControl::LogConfigurationReadFailure(const Error& aError, TimePoint aRequestedAt)
{
  const TimePoint now = Now();
  if (now - lastReadFailureLog_ < kReadFailureLogInterval) {
    return;
  }
  lastReadFailureLog_ = now;
  Log(LogLevel::Warning,
      "configuration_read_failed",
      { { "step", aError.step },
        { "peer", aError.peer },
        { "error", aError.code.message() },
        { "detail", aError.detail },
        { "duration_ms", (now - aRequestedAt) / Milliseconds(1) },
        { "revision", revision_ },
        { "lag_ms", ConfigurationLag(now) / Milliseconds(1) } });
}

} // namespace bg::fleet::detail

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
    });
}

void FleetControl::WatchConfiguration()
{
  if (isWatching_ || isReadingConfiguration_) {
    return;
  }
  isWatching_ = true;
  platform_.store->Watch(platform_.configurationTable,
                         SeenVersion(),
                         kWatchWait,
                         kWatchDeadline + TransferTime(document_.Text().size()),
                         [this, requestedAt = Now()](const Result<StoreRows>& aRows) {
                           isWatching_ = false;
                           if (!aRows || requestedAt < resumedAt_) {
                             // The table may hold a change that the watch did not deliver.
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
  configurationFreshAt_ = Now();
  const StoreRow* newest = nullptr;
  for (const StoreRow& row : aRows->rows) {
    const bool isConfigurationRow = row.key == platform_.configurationKey && !row.isDeleted;
    if (isConfigurationRow && (newest == nullptr || row.version > newest->version)) {
      newest = &row;
    }
  }
  const bool wasAnnounced = newest != nullptr && newest->version <= newestKnownVersion_;
  if (newest != nullptr && newest->version <= SeenVersion() && newest->version != ignoredVersion_ &&
      newest->value != document_.Text()) {
    const auto configuration = platform_.parseConfiguration(newest->value);
    LogIgnoredConfiguration(newest->version,
                            configuration ? configuration->revision : 0,
                            "its store version is not above that of a configuration seen before");
  }
  const bool isNew =
    newest != nullptr && ActivateConfiguration(newest->version, newest->value, nullptr, "store");
  if (isNew && wasAnnounced) {
    // The host that announced it has told all others.
    return ForwardConfiguration(Now());
  }
  ShareView({}, isNew);
}

bool FleetControl::ActivateConfiguration(uint64_t aVersion,
                                         std::string aDocument,
                                         const wire::Document* aReceived,
                                         std::string_view aSource)
{
  if (aVersion <= SeenVersion()) {
    return false;
  }
  auto configuration = platform_.parseConfiguration(aDocument);
  if (!configuration) {
    Log(LogLevel::Error,
        "configuration_rejected",
        { { "store_version", aVersion },
          { "source", aSource },
          { "detail", configuration.Failure().detail },
          { "revision_in_force", revision_ } });
    rejectedVersion_ = aVersion;
    return false;
  }
  if (configuration->revision <= revision_) {
    LogIgnoredConfiguration(aVersion, configuration->revision, "its revision is not above");
    rejectedVersion_ = aVersion;
    return false;
  }
  const Duration lag = ConfigurationLag(Now());
  revision_ = configuration->revision;
  document_.Replace(aVersion, std::move(aDocument), aReceived);
  shared_.routes.store(std::make_shared<const RouteTable>(
    std::make_shared<const FleetConfiguration>(std::move(*configuration))));
  Log(LogLevel::Info,
      "configuration_adopted",
      { { "revision", revision_ },
        { "store_version", aVersion },
        { "source", aSource },
        { "routes", shared_.routes.load()->Configuration().routes.size() },
        { "lag_ms", lag / Milliseconds(1) } });
  if (shared_.onRoutes) {
    shared_.onRoutes();
  }
  return true;
}

void FleetControl::LogIgnoredConfiguration(uint64_t aVersion,
                                           uint64_t aRevision,
                                           std::string_view aReason)
{
  if (std::exchange(ignoredVersion_, aVersion) == aVersion) {
    return;
  }
  Log(LogLevel::Warning,
      "configuration_ignored",
      { { "store_version", aVersion },
        { "store_epoch", StoreEpoch() },
        { "revision", aRevision },
        { "revision_in_force", revision_ },
        { "version_in_force", document_.Version() },
        { "reason", aReason } });
}

void FleetControl::RecordNewerConfiguration(uint64_t aVersion,
                                            const std::string& aPeer,
                                            TimePoint aNow)
{
  if (aVersion <= newestKnownVersion_) {
    return;
  }
  if (newestKnownVersion_ <= SeenVersion()) {
    newerKnownSince_ = aNow;
    configurationRequests_ = 0;
    nextConfigurationRequest_ = aNow;
  }
  newestKnownVersion_ = aVersion;
  Log(LogLevel::Info,
      "configuration_announced",
      { { "store_version", aVersion },
        { "peer", aPeer },
        { "revision", revision_ },
        { "confirmed_ms", (aNow - configurationFreshAt_) / Milliseconds(1) },
        { "reading", isReadingConfiguration_ } });
}

void FleetControl::FetchConfiguration(TimePoint aNow)
{
  if (newestKnownVersion_ <= SeenVersion()) {
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
      envelope.mutable_configuration_request()->set_version(document_.Version());
      Send(host, std::move(envelope));
    }
  }
  const Duration wait = isNewerLarge_ ? Duration(0) : kPeerConfigurationTime;
  if (aNow >= std::max(nextConfigurationRead_, newerKnownSince_ + wait)) {
    ReadConfiguration();
  }
}

void FleetControl::AnswerConfigurationRequest(const wire::Envelope& aMessage)
{
  const uint64_t known = aMessage.configuration_request().version();
  if (known >= document_.Version()) {
    return;
  }
  const wire::Document& document = document_.Encode(known);
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
  configuration.set_version(document_.Version());
  configuration.set_age_ms(ToWireMs(now - configurationFreshAt_));
  *configuration.mutable_document() = document;
  Send(aMessage.sender().host(), std::move(envelope));
}

void FleetControl::HandleConfiguration(const wire::Envelope& aMessage)
{
  const wire::Configuration& configuration = aMessage.configuration();
  const TimePoint now = Now();
  if (ActivateFromPeer(
        configuration.version(), configuration.document(), aMessage.sender().host())) {
    configurationFreshAt_ =
      std::max(configurationFreshAt_, now - Milliseconds(configuration.age_ms()));
    ForwardConfiguration(now);
  }
}

bool FleetControl::ActivateFromPeer(uint64_t aVersion,
                                    const wire::Document& aDocument,
                                    const std::string& aPeer)
{
  if (aVersion <= document_.Version() || aDocument.data().empty()) {
    return false;
  }
  auto text = document_.Decode(aDocument);
  return text && ActivateConfiguration(aVersion, std::move(*text), &aDocument, aPeer);
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

const wire::Document* FleetControl::SmallDocument(uint64_t aKnownVersion) const
{
  const wire::Document& document = document_.Encode(aKnownVersion);
  return document.data().size() <= kMaxSharedDocumentBytes ? &document : nullptr;
}

const wire::Document* FleetControl::SharedChange() const
{
  return SmallDocument(document_.Text().size() <= kMaxWholeDocumentBytes ? 0
                                                                         : document_.PatchBase());
}

Duration FleetControl::ConfigurationLag(TimePoint aNow) const
{
  return newestKnownVersion_ > SeenVersion() ? aNow - newerKnownSince_ : Duration(0);
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

#include <algorithm>

#include "control_p.h"

namespace bg::fleet::detail {

namespace {

/// Interval of the heartbeats to the peers of this failure domain and to the allocators.
constexpr Duration kHeartbeatInterval = std::chrono::seconds(1);
/// When neither the store nor a peer has confirmed the state of this host for this long, a view is
/// requested from random peers, one per kViewRequestInterval.
constexpr Duration kViewRequestDelay = Milliseconds(1500);
constexpr Duration kViewRequestInterval = Milliseconds(400);
/// A larger configuration is not sent along with changes, to spare the network link of the sender.
/// Each host reads it from the store.
constexpr size_t kMaxSharedDocumentBytes = 32UL << 10;

} // namespace

void FleetControl::AddMember(const Member& aMember)
{
  if (members_->Add(aMember)) {
    connectedPeers_.erase(aMember.host);
    nextHeartbeat_ = {}; // The allocators may have changed.
  }
  if (aMember.failureDomain == init_.failureDomain) {
    ConnectPeer(aMember.host);
  }
}

void FleetControl::ConnectPeer(const std::string& aHost)
{
  const Member* member = members_->Find(aHost);
  if (member == nullptr || aHost == init_.host || !connectedPeers_.insert(aHost).second) {
    return;
  }
  transport_->SetPeer(aHost, member->address, member->port);
  pendingHellos_.push_back(aHost);
}

/// Sends a hello to new peers, one tick after the start of their connection because messages that
/// are sent earlier are dropped.
void FleetControl::SendPendingHellos()
{
  for (const std::string& host : std::exchange(pendingHellos_, {})) {
    SendHello(host, false);
  }
}

void FleetControl::SendHeartbeats(TimePoint aNow)
{
  SendPendingHellos();
  if (aNow < nextHeartbeat_) {
    return;
  }
  nextHeartbeat_ = aNow + kHeartbeatInterval;
  std::set<std::string> hosts;
  for (const std::string& host : members_->DomainPeers()) {
    hosts.insert(host);
  }
  for (const std::string& host : slots_->Allocators(aNow)) {
    hosts.insert(host);
  }
  for (const std::string& host : hosts) {
    ConnectPeer(host);
    SendHello(host, false);
  }
}

void FleetControl::RequestViewFromPeer(TimePoint aNow)
{
  const bool isOutdated = !shared_.isStateConfirmed || !registry_.HasState() || revision_ == 0 ||
                          aNow - registry_.FreshAt() > kViewRequestDelay ||
                          aNow - configurationFreshAt_ > kConfigurationMaxAge + kViewRequestDelay;
  if (!isOutdated || aNow < nextViewRequest_ || members_->Count() < 2) {
    return;
  }
  nextViewRequest_ = aNow + kViewRequestInterval;
  const std::vector<Member> all = members_->All();
  const Member& member = all[random_() % all.size()];
  if (member.host != init_.host) {
    ConnectPeer(member.host);
    SendHello(member.host, true);
  }
}

void FleetControl::Send(std::string_view aHost, wire::Envelope aMessage)
{
  *aMessage.mutable_sender() = ToWire(members_->Self());
  transport_->Send(aHost, aMessage.SerializeAsString());
}

void FleetControl::SendHello(std::string_view aHost, bool aWantsView)
{
  wire::Envelope envelope;
  envelope.mutable_hello()->set_wants_view(aWantsView);
  Send(aHost, std::move(envelope));
}

void FleetControl::SendView(std::string_view aHost,
                            const RegistryChange* aChange,
                            bool aWithConfiguration)
{
  wire::Envelope envelope;
  wire::View& view = *envelope.mutable_view();
  view.set_version(registry_.Version());
  view.set_full(aChange == nullptr);
  view.set_digest(registry_.Digest());
  if (aChange == nullptr) {
    for (const auto& [id, upstream] : registry_.Upstreams()) {
      *view.add_changed() = ToWire(upstream);
    }
  } else {
    for (const RegisteredUpstream& upstream : aChange->changed) {
      *view.add_changed() = ToWire(upstream);
    }
    for (const std::string& id : aChange->removed) {
      view.add_removed(id);
    }
  }
  const TimePoint now = Now();
  view.set_registry_age_ms(ToWireMs(now - registry_.FreshAt()));
  view.set_configuration_version(configurationVersion_);
  view.set_configuration_age_ms(ToWireMs(now - configurationFreshAt_));
  if (aWithConfiguration) {
    view.set_configuration(configurationDocument_);
  }
  Send(aHost, std::move(envelope));
}

void FleetControl::ShareView(const RegistryChange& aChange,
                             bool aWithConfiguration,
                             ViewScope aScope)
{
  const bool withDocument =
    aWithConfiguration && configurationDocument_.size() <= kMaxSharedDocumentBytes;
  if (!registry_.HasState()) {
    return;
  }
  for (const std::string& host : members_->DomainPeers()) {
    SendView(host, &aChange, withDocument);
  }
  if (aScope == ViewScope::DomainPeers) {
    return;
  }
  for (const std::string& host : members_->CrossDomainPeers()) {
    ConnectPeer(host);
    SendView(host, &aChange, withDocument);
  }
}

void FleetControl::HandleMessage(std::string_view aBytes)
{
  const auto message = ParseEnvelope(aBytes);
  if (!message) {
    Log(LogLevel::Warning,
        "peer_message_malformed",
        { { "peer", message.Failure().peer }, { "bytes", aBytes.size() } });
    return;
  }
  const Member sender = FromWire(message->sender());
  AddMember(sender);
  ConnectPeer(sender.host);
  members_->RecordMessage(sender.host, Now());
  switch (message->body_case()) {
    case wire::Envelope::kHello:
      return HandleHello(*message);
    case wire::Envelope::kView:
      return HandleView(*message);
    default:
      return slots_->HandleMessage(*message);
  }
}

void FleetControl::HandleHello(const wire::Envelope& aMessage)
{
  const wire::Hello& hello = aMessage.hello();
  for (const wire::Member& member : hello.known()) {
    AddMember(FromWire(member));
  }
  if (hello.leaving()) {
    members_->RecordLeaving(aMessage.sender().host(), Now());
    return;
  }
  if (!hello.wants_view()) {
    return;
  }
  wire::Envelope envelope;
  for (const Member& member : members_->All()) {
    *envelope.mutable_hello()->add_known() = ToWire(member);
  }
  Send(aMessage.sender().host(), std::move(envelope));
  if (registry_.HasState() && revision_ != 0) {
    SendView(aMessage.sender().host(), nullptr, true);
  }
}

void FleetControl::HandleView(const wire::Envelope& aMessage)
{
  const wire::View& view = aMessage.view();
  const std::string& host = aMessage.sender().host();
  RegistryChange change;
  for (const wire::Upstream& upstream : view.changed()) {
    change.changed.push_back(FromWire(upstream));
  }
  change.removed.assign(view.removed().begin(), view.removed().end());
  const TimePoint now = Now();
  const TimePoint previousFreshAt = registry_.FreshAt();
  const TimePoint previousConfigurationFreshAt = configurationFreshAt_;
  bool isActivated = false;
  if (view.version() >= registry_.Version()) {
    const TimePoint freshAt = now - Milliseconds(view.registry_age_ms());
    RegistryChange localChange;
    if (!registry_.ApplyPeerView(
          change, view.full(), view.version(), view.digest(), freshAt, now, localChange)) {
      SendHello(host, true);
    }
    OnRegistryChange(localChange, host);
  }
  if (!view.configuration().empty()) {
    isActivated = ActivateConfiguration(view.configuration_version(), view.configuration(), host);
  }
  if (view.configuration_version() > configurationVersion_) {
    newerConfigurationPeer_ = host;
    ReadConfiguration();
  } else if (view.configuration_version() == configurationVersion_ && configurationVersion_ != 0) {
    configurationFreshAt_ =
      std::max(configurationFreshAt_, now - Milliseconds(view.configuration_age_ms()));
  }
  // Changes are sent to only a few hosts of another domain, which forward them within theirs.
  const bool isCrossDomain = aMessage.sender().failure_domain() != init_.failureDomain;
  const bool isFresher =
    registry_.FreshAt() > previousFreshAt || configurationFreshAt_ > previousConfigurationFreshAt;
  if (isCrossDomain && !view.full() && (isFresher || isActivated)) {
    ShareView(change, isActivated, ViewScope::DomainPeers);
  }
}

} // namespace bg::fleet::detail

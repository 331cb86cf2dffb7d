#include <algorithm>

#include "control_p.h"

namespace bg::fleet::detail {

namespace {

/// Peers of the own failure domain and the allocators hear from this host so often.
constexpr Duration kHeartbeatInterval = std::chrono::seconds(1);
/// Without fresh state from the store and the neighbours, any peer is asked.
constexpr Duration kAskAfter = Milliseconds(1500);
constexpr Duration kAskInterval = Milliseconds(400);
/// Larger documents are read from the store by each host, to spare the sender's network link.
constexpr size_t kMaxSharedDocumentBytes = 32UL << 10;

} // namespace

void FleetControl::AddMember(const Member& aMember)
{
  if (members_->Add(aMember)) {
    linked_.erase(aMember.host);
    nextHeartbeat_ = {}; // The allocators may have changed.
  }
  if (aMember.failureDomain == init_.failureDomain) {
    Link(aMember.host);
  }
}

void FleetControl::Link(const std::string& aHost)
{
  const Member* member = members_->Find(aHost);
  if (member == nullptr || aHost == init_.host || !linked_.insert(aHost).second) {
    return;
  }
  transport_->SetPeer(aHost, member->address, member->port);
  greetings_.push_back(aHost);
}

/// Greets new peers one tick after their connection was started: what is sent earlier is dropped.
void FleetControl::SendGreetings()
{
  for (const std::string& host : std::exchange(greetings_, {})) {
    SendHello(host, false);
  }
}

void FleetControl::SendHeartbeats(TimePoint aNow)
{
  SendGreetings();
  if (aNow < nextHeartbeat_) {
    return;
  }
  nextHeartbeat_ = aNow + kHeartbeatInterval;
  std::set<std::string> hosts;
  for (const std::string& host : members_->Neighbours()) {
    hosts.insert(host);
  }
  for (const std::string& host : slots_->Allocators(aNow)) {
    hosts.insert(host);
  }
  for (const std::string& host : hosts) {
    Link(host);
    SendHello(host, false);
  }
}

void FleetControl::AskPeer(TimePoint aNow)
{
  const bool isStale = !shared_.isCurrent || !registry_.IsKnown() || revision_ == 0 ||
                       aNow - registry_.LastFresh() > kAskAfter ||
                       aNow - configurationFresh_ > kConfigurationStale + kAskAfter;
  if (!isStale || aNow < nextAsk_ || members_->Count() < 2) {
    return;
  }
  nextAsk_ = aNow + kAskInterval;
  const std::vector<Member> all = members_->All();
  const Member& member = all[random_() % all.size()];
  if (member.host != init_.host) {
    Link(member.host);
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
  view.set_registry_age_ms(ToWireMs(now - registry_.LastFresh()));
  view.set_configuration_version(configurationVersion_);
  view.set_configuration_age_ms(ToWireMs(now - configurationFresh_));
  if (aWithConfiguration) {
    view.set_configuration(document_);
  }
  Send(aHost, std::move(envelope));
}

void FleetControl::ShareView(const RegistryChange& aChange,
                             bool aWithConfiguration,
                             ViewScope aScope)
{
  const bool withDocument = aWithConfiguration && document_.size() <= kMaxSharedDocumentBytes;
  if (!registry_.IsKnown()) {
    return;
  }
  for (const std::string& host : members_->Neighbours()) {
    SendView(host, &aChange, withDocument);
  }
  if (aScope == ViewScope::Neighbours) {
    return;
  }
  for (const std::string& host : members_->ForeignContacts()) {
    Link(host);
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
  Link(sender.host);
  members_->Heard(sender.host, Now());
  switch (message->body_case()) {
    case wire::Envelope::kHello:
      return HandleHello(*message);
    case wire::Envelope::kView:
      return HandleView(*message);
    default:
      return slots_->Handle(*message);
  }
}

void FleetControl::HandleHello(const wire::Envelope& aMessage)
{
  const wire::Hello& hello = aMessage.hello();
  for (const wire::Member& member : hello.known()) {
    AddMember(FromWire(member));
  }
  if (hello.leaving()) {
    members_->Leave(aMessage.sender().host(), Now());
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
  if (registry_.IsKnown() && revision_ != 0) {
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
  const TimePoint wasFresh = registry_.LastFresh();
  const TimePoint wasConfirmed = configurationFresh_;
  bool isAdopted = false;
  if (view.version() >= registry_.Version()) {
    const TimePoint freshAt = now - Milliseconds(view.registry_age_ms());
    RegistryChange effect;
    if (!registry_.Apply(
          change, view.full(), view.version(), view.digest(), freshAt, now, effect)) {
      SendHello(host, true);
    }
    OnRegistryChange(effect, host);
  }
  if (!view.configuration().empty()) {
    isAdopted = AdoptConfiguration(view.configuration_version(), view.configuration(), host);
  }
  if (view.configuration_version() > configurationVersion_) {
    newerConfigurationAt_ = host;
    ReadConfiguration();
  } else if (view.configuration_version() == configurationVersion_ && configurationVersion_ != 0) {
    configurationFresh_ =
      std::max(configurationFresh_, now - Milliseconds(view.configuration_age_ms()));
  }
  // One host of a failure domain hears from another domain, and tells its neighbours.
  const bool isForeign = aMessage.sender().failure_domain() != init_.failureDomain;
  const bool isFresher = registry_.LastFresh() > wasFresh || configurationFresh_ > wasConfirmed;
  if (isForeign && !view.full() && (isFresher || isAdopted)) {
    ShareView(change, isAdopted, ViewScope::Neighbours);
  }
}

} // namespace bg::fleet::detail

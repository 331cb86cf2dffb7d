#include "control_p.h"
#include "message_sender_p.h"

#include <algorithm>

namespace bg::fleet::detail {

namespace {

/// Interval of the hellos to the allocators that this host uses. They make a restarted allocator
/// connect to this host before the next request.
constexpr Duration kAllocatorHelloInterval = std::chrono::seconds(3);
/// A connection that was not used for this long is closed. Connections that are in use carry a
/// hello or a view every few seconds.
constexpr Duration kIdlePeerPeriod = std::chrono::seconds(10);
constexpr Duration kIdleCheckInterval = std::chrono::seconds(2);
/// When neither the store nor a peer has confirmed the state of this host for this long, it asks
/// peers for theirs.
constexpr Duration kStateRequestAge = Milliseconds(1500);
/// Interval between requests for a full view after changes that did not fit.
constexpr Duration kViewRequestInterval = Milliseconds(200);
/// Full views that a host sends per second. A view of 1,000 upstreams takes 50 ms on a link of
/// 20 Mbit/s.
constexpr uint32_t kMaxFullViewsPerSecond = 8;
/// Limits of the interval between requests for the members.
constexpr Duration kMinMembersRequestInterval = std::chrono::seconds(1);
constexpr Duration kMaxMembersRequestInterval = std::chrono::seconds(32);
/// A confirmation that is fresher by less than this is no news: it came over a slower path.
constexpr Duration kMinFreshnessGain = Milliseconds(50);
/// The failure of a call to the store that is newer by less than this is no news.
constexpr Duration kMinFailureGain = Milliseconds(300);
/// A reader gives way to one of a lower order whose state is younger than this.
constexpr Duration kMaxReaderAge = std::chrono::seconds(1);

} // namespace

bool FleetControl::AddMember(const Member& aMember)
{
  const Member* known = members_->Find(aMember.host);
  const bool isNew = known == nullptr;
  const bool isRestarted = !isNew && known->incarnation < aMember.incarnation;
  if (isRestarted && aMember.host != init_.host) {
    // The connection to the earlier process may wait for seconds before it is tried again.
    transport_->RemovePeer(aMember.host);
    connectedPeers_.erase(aMember.host);
    arePeersConnected_ = false;
  }
  areRelayPeersShared_ = areRelayPeersShared_ && !isNew && !isRestarted;
  if (members_->Add(aMember)) {
    connectedPeers_.erase(aMember.host);
    arePeersConnected_ = false;
  }
  spreader_->Tree().Add(aMember.host, aMember.failureDomain, aMember.capacity);
  if (isRestarted && aMember.host != init_.host) {
    slots_->OnRestarted(aMember);
  }
  return isNew;
}

void FleetControl::ShareRelayPeers()
{
  if (std::exchange(areRelayPeersShared_, true)) {
    return;
  }
  auto peers = std::make_shared<relay::RelayPeers>();
  for (const Member& member : members_->All()) {
    if (member.relayPort != 0 && member.host != init_.host) {
      peers->push_back({ member.host, member.address, member.relayPort, member.failureDomain });
    }
  }
  shared_.relayPeers = std::move(peers);
}

void FleetControl::ShareEndpoints(std::span<const RegisteredUpstream* const> aAccepting)
{
  if (init_.relayPort == 0) {
    return;
  }
  auto endpoints = std::make_shared<UpstreamEndpoints>();
  for (const RegisteredUpstream* upstream : aAccepting) {
    endpoints->emplace(upstream->id, *upstream);
  }
  shared_.endpoints = std::move(endpoints);
}

void FleetControl::ConnectPeers(TimePoint aNow)
{
  const bool isHelloDue = aNow >= nextAllocatorHello_;
  if (isHelloDue || !arePeersConnected_) {
    for (const std::string& host : slots_->Allocators(aNow)) {
      // The hello makes a new allocator connect to this host.
      if (isHelloDue || !connectedPeers_.contains(host)) {
        SendHello(host);
      }
    }
  }
  if (isHelloDue) {
    nextAllocatorHello_ = aNow + kAllocatorHelloInterval;
  }
  if (!std::exchange(arePeersConnected_, true)) {
    ConnectStatePeers();
  }
  RemoveIdlePeers(aNow);
}

/// Connects to the hosts that this host sends state to, or would as the reader of the store.
void FleetControl::ConnectStatePeers()
{
  const overlay::DisseminationTree& tree = spreader_->Tree();
  for (const std::string& host : tree.Children()) {
    RenewConnection(host);
    ConnectPeer(host);
  }
  if (tree.Order() < kStandbyReaders) {
    for (const std::string& host : tree.Heads()) {
      ConnectPeer(host);
    }
  }
}

void FleetControl::RemoveIdlePeers(TimePoint aNow)
{
  if (aNow < nextIdleCheck_) {
    return;
  }
  nextIdleCheck_ = aNow + kIdleCheckInterval;
  ConnectStatePeers(); // These connections are kept, used or not.
  std::erase_if(connectedPeers_, [&](const auto& aPeer) {
    const bool isIdle = aNow - aPeer.second.lastUse > kIdlePeerPeriod;
    if (isIdle) {
      transport_->RemovePeer(aPeer.first);
    }
    return isIdle;
  });
}

void FleetControl::AskPeerForState(TimePoint aNow)
{
  if (members_->Count() < 2) {
    return;
  }
  const bool isOutdated = !registry_.HasState() || revision_ == 0 || !shared_.isStateConfirmed ||
                          aNow - registry_.FreshAt() > kStateRequestAge ||
                          aNow - configurationFreshAt_ > configurationSchedule_.askAge;
  const std::string peer = spreader_->PeerToAsk(isOutdated, random_(), aNow);
  if (!peer.empty()) {
    ++peersAsked_;
    AskForState(peer, false);
  }
}

void FleetControl::AskForState(std::string_view aHost, bool aWantsMembers)
{
  wire::Envelope envelope;
  wire::Hello& hello = *envelope.mutable_hello();
  hello.set_wants_view(true);
  hello.set_wants_members(aWantsMembers);
  if (registry_.HasState()) {
    hello.set_registry_digest(registry_.Digest());
  }
  *hello.mutable_configuration_id() = ToWire(document_.Id());
  RenewConnection(std::string(aHost));
  Send(aHost, std::move(envelope));
}

void FleetControl::SendView(std::span<const std::string> aHosts,
                            const RegistryChange* aChange,
                            const wire::Document* aConfiguration,
                            std::span<const std::string> aJoined,
                            bool aWithAllSuspects)
{
  if (aHosts.empty()) {
    return;
  }
  wire::Envelope envelope;
  *envelope.mutable_sender() = ToWire(members_->Self());
  wire::View& view = *envelope.mutable_view();
  *view.mutable_position() = ToWire(registry_.Position());
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
    for (const RegisteredUpstream& upstream : aChange->lastReports) {
      *view.add_last_reports() = ToWire(upstream);
    }
    for (const std::string& id : aChange->removed) {
      view.add_removed(id);
    }
  }
  const TimePoint now = Now();
  view.set_registry_age_ms(ToWireMs(now - registry_.FreshAt()));
  *view.mutable_configuration_id() = ToWire(document_.Id());
  view.set_configuration_age_ms(ToWireMs(now - configurationFreshAt_));
  view.set_configuration_large(SharedChange() == nullptr);
  if (aConfiguration != nullptr) {
    *view.mutable_configuration() = *aConfiguration;
  }
  for (const std::string& host : aJoined) {
    *view.add_joined() = ToWire(*members_->Find(host));
  }
  for (const LeavingUpstream& upstream : slots_->UnregisteredLeaving()) {
    *view.add_leaving() = ToWire(upstream, now);
  }
  AddSuspectRequests(view, aWithAllSuspects, now);
  // Others wait for those that come first only, so that the failures of the rest are no reason to.
  const bool isFirst = ReadSchedule::IsFirst(spreader_->Tree().Order());
  const TimePoint failureAt =
    isFirst ? std::max(ownStoreFailureAt_, peerStoreFailureAt_) : peerStoreFailureAt_;
  if (now - failureAt < schedule_.failurePeriod) {
    view.set_store_failure_age_ms(ToWireMs(now - failureAt));
  }
  view.set_members_digest(members_->Digest());
  view.set_reader_order(readerOrder_);
  CompressView(envelope);
  const std::string bytes = envelope.SerializeAsString();
  for (const std::string& host : aHosts) {
    RecordPeerBytes(host, DomainBytesKind::State, bytes.size());
    SendOrKeep({ host, DomainBytesKind::State, bytes, now, kMaxConnectTime });
  }
}

void FleetControl::ShareView(const RegistryChange& aChange,
                             bool aWithConfiguration,
                             std::span<const std::string> aJoined)
{
  if (registry_.HasState()) {
    SendView(spreader_->SourceTargets(Now(), aWithConfiguration),
             &aChange,
             aWithConfiguration ? SharedChange() : nullptr,
             aJoined);
  }
}

void FleetControl::HandleMessage(std::string_view aBytes)
{
  const auto message = ReadMessage(aBytes);
  if (!message) {
    return;
  }
  const Member sender = FromWire(message->sender());
  AddMember(sender);
  members_->RecordMessage(sender.host, Now());
  switch (message->body_case()) {
    case wire::Envelope::kHello:
      ConnectPeer(sender.host); // For the answers to its requests.
      return HandleHello(*message);
    case wire::Envelope::kView:
      return HandleView(*message);
    case wire::Envelope::kConfigurationRequest:
      ConnectPeer(sender.host);
      return AnswerConfigurationRequest(*message);
    case wire::Envelope::kConfiguration:
      return HandleConfiguration(*message);
    case wire::Envelope::kSlotRequest:
      ConnectPeer(sender.host);
      RecordKnowledge(*message, *members_);
      return slots_->HandleMessage(*message);
    case wire::Envelope::kQuotaRequest:
      ConnectPeer(sender.host);
      return quota_->HandleMessage(*message);
    case wire::Envelope::kQuotaAnswer:
      return quota_->HandleMessage(*message);
    default:
      RecordKnowledge(*message, *members_);
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
    slots_->LeaveAllocator(aMessage.sender().host());
    quota_->RecordLeaving(aMessage.sender().host());
    return;
  }
  if (hello.wants_suspects()) {
    const std::string& host = aMessage.sender().host();
    hasNews_ = HandleSuspects(hello.suspects(), host, Now()) || hasNews_;
    const RegistryChange none;
    return registry_.HasState() ? SendView({ &host, 1 }, &none, nullptr, {}, true) : void();
  }
  if (hello.wants_view()) {
    return AnswerHello(aMessage);
  }
  if (hello.known().empty()) { // The hello of a host to its allocators.
    members_->RecordClient(aMessage.sender().host(), Now());
    slots_->RecordProcess(aMessage.sender());
  }
}

/// Sends the state that the sender of a hello lacks.
void FleetControl::AnswerHello(const wire::Envelope& aMessage)
{
  const wire::Hello& hello = aMessage.hello();
  const std::string& host = aMessage.sender().host();
  const TimePoint now = Now();
  spreader_->AddFollower(host, now);
  RenewConnection(host);
  if (hello.wants_members()) {
    wire::Envelope envelope;
    for (const Member& member : members_->All()) {
      *envelope.mutable_hello()->add_known() = ToWire(member);
    }
    Send(host, std::move(envelope));
  }
  if (!registry_.HasState() || revision_ == 0) {
    return;
  }
  const ConfigurationId known = FromWire(hello.configuration_id());
  const wire::Document* configuration =
    document_.Id().IsNewerThan(known) ? SmallDocument(known.digest) : nullptr;
  if (hello.has_registry_digest() && hello.registry_digest() == registry_.Digest()) {
    const RegistryChange none;
    return SendView({ &host, 1 }, &none, configuration, {}, true);
  }
  if (now - fullViewsSince_ >= std::chrono::seconds(1)) {
    fullViewsSince_ = now;
    fullViews_ = 0;
  }
  if (fullViews_ < kMaxFullViewsPerSecond) {
    ++fullViews_;
    SendView({ &host, 1 }, nullptr, configuration, {}, true);
  }
}

/// Records the upstreams of a view. The caller passes the change on, then uses it itself.
/// @return False if they do not fit the state of this host.
bool FleetControl::ApplyView(const wire::View& aView,
                             TimePoint aSentAt,
                             RegistryChange& aLocalChange)
{
  const TimePoint now = Now();
  const StorePosition position = FromWire(aView.position());
  if (position < registry_.Position()) {
    return true;
  }
  RegistryChange change;
  for (const wire::Upstream& upstream : aView.changed()) {
    change.changed.push_back(FromWire(upstream));
  }
  for (const wire::Upstream& upstream : aView.last_reports()) {
    change.lastReports.push_back(FromWire(upstream));
  }
  change.removed.assign(aView.removed().begin(), aView.removed().end());
  return registry_.ApplyPeerView(change,
                                 aView.full(),
                                 position,
                                 aView.digest(),
                                 aSentAt - Milliseconds(aView.registry_age_ms()),
                                 now,
                                 aLocalChange);
}

/// Asks for the members if the sender of a view knows others, less and less often: it may be this
/// host that knows more.
void FleetControl::CheckMembers(const wire::View& aView, const std::string& aHost, TimePoint aNow)
{
  if (aView.members_digest() == members_->Digest()) {
    membersRequestInterval_ = Duration(0);
    nextMembersRequest_ = aNow + kMinMembersRequestInterval;
    return;
  }
  if (aNow < nextMembersRequest_) {
    return;
  }
  membersRequestInterval_ =
    std::clamp(membersRequestInterval_ * 2, kMinMembersRequestInterval, kMaxMembersRequestInterval);
  nextMembersRequest_ = aNow + membersRequestInterval_ + Jitter(membersRequestInterval_);
  AskForState(aHost, true);
}

bool FleetControl::RecordStoreReport(const wire::View& aView, TimePoint aSentAt, TimePoint aNow)
{
  if (aView.registry_age_ms() < kMaxReaderAge / Milliseconds(1)) {
    heardFreshAt_ = aNow;
  }
  if (!aView.has_store_failure_age_ms()) {
    return false;
  }
  const TimePoint failureAt = aSentAt - Milliseconds(aView.store_failure_age_ms());
  const bool isNews =
    failureAt > std::max(ownStoreFailureAt_, peerStoreFailureAt_) + kMinFailureGain;
  peerStoreFailureAt_ = std::max(peerStoreFailureAt_, failureAt);
  registry_.RecordStoreTrouble(peerStoreFailureAt_);
  return isNews;
}

void FleetControl::HandleView(const wire::Envelope& aMessage)
{
  const wire::View& view = aMessage.view();
  const std::string& host = aMessage.sender().host();
  const TimePoint now = Now();
  const TimePoint sentAt = now - Milliseconds(aMessage.held_ms());
  receivedViewAt_ = now;
  heardFrom_ = host;
  const bool isStoreFailing = RecordStoreReport(view, sentAt, now);
  const TimePoint previousFreshAt = registry_.FreshAt();
  const TimePoint previousConfigurationFreshAt = configurationFreshAt_;
  const StorePosition previousPosition = registry_.Position();
  RecordStoreEpoch(view.position().epoch(), host);

  std::vector<std::string> joined;
  for (const wire::Member& member : view.joined()) {
    if (AddMember(FromWire(member))) {
      joined.push_back(member.host());
    }
  }
  CheckMembers(view, host, now);

  RegistryChange localChange;
  if (!ApplyView(view, sentAt, localChange) && now >= nextViewRequest_) {
    nextViewRequest_ = now + kViewRequestInterval;
    AskForState(host, false);
  }
  std::vector<LeavingUpstream> leaving;
  for (const wire::LeavingUpstream& upstream : view.leaving()) {
    leaving.push_back(FromWire(upstream, sentAt));
  }
  const bool hasNewLeaving = slots_->HandleLeaving(leaving);
  const bool hasNewSuspects = HandleSuspects(view.suspects(), host, sentAt);
  CheckSuspects(view, host, now);
  const ConfigurationId configuration = FromWire(view.configuration_id());
  const bool isTaken = TakeFromPeer(configuration, view.configuration(), host);
  if (IsWanted(configuration)) {
    newerConfigurationPeer_ = host;
    isNewerLarge_ = view.configuration_large();
    RecordNewerConfiguration(configuration, host, now);
    FetchConfiguration(now);
  } else if (document_.Id().revision != 0 && configuration.HasSameText(document_.Id())) {
    RebaseConfiguration(configuration.position, host);
    ConfirmConfiguration(sentAt - Milliseconds(view.configuration_age_ms()));
  } else {
    CorrectConfiguration(configuration, host, now);
  }
  if (registry_.FreshAt() > previousFreshAt && view.reader_order() != 0) {
    const bool isFresh = view.registry_age_ms() < kMaxReaderAge / Milliseconds(1);
    isReader_ = isReader_ && !(isFresh && view.reader_order() < readerOrder_);
    readerOrder_ = isReader_ ? readerOrder_ : view.reader_order();
  }
  const bool isNews = registry_.Position() > previousPosition || !localChange.Empty() || isTaken ||
                      !joined.empty() || hasNewLeaving || hasNewSuspects || isStoreFailing ||
                      registry_.FreshAt() > previousFreshAt + kMinFreshnessGain ||
                      configurationFreshAt_ > previousConfigurationFreshAt + kMinFreshnessGain;
  const std::vector<std::string> targets =
    spreader_->OnReceived(host, aMessage.sender().failure_domain(), isNews, now);
  if (registry_.HasState()) {
    SendView(targets, &localChange, isTaken ? SharedChange() : nullptr, joined);
  }
  OnRegistryChange(localChange, host);
}

} // namespace bg::fleet::detail

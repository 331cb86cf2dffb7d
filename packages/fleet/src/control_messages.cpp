// The part of FleetControl that sends messages to other hosts.
#include "control_p.h"
#include "message_sender_p.h"

namespace bg::fleet::detail {

namespace {

/// Requests to an allocator or to the owner of a quota are placed elsewhere after some 60 ms.
constexpr Duration kMaxRequestWait = Milliseconds(20);
constexpr Duration kPendingInterval = Milliseconds(20); ///< Between attempts to send.

/// How long a message may wait for a new connection.
Duration MaxWait(const wire::Envelope& aMessage)
{
  switch (aMessage.body_case()) {
    case wire::Envelope::kHello:
    case wire::Envelope::kView:
    case wire::Envelope::kConfigurationRequest:
    case wire::Envelope::kConfiguration:
    case wire::Envelope::kSlotHolding: // A host that has just started is told of all slots in use.
      return kMaxConnectTime;
    default:
      return kMaxRequestWait;
  }
}

} // namespace

void FleetControl::ConnectPeer(const std::string& aHost)
{
  const Member* member = members_->Find(aHost);
  if (member == nullptr || aHost == init_.host) {
    return;
  }
  const TimePoint now = Now();
  const auto [connected, isNew] = connectedPeers_.try_emplace(aHost);
  connected->second.lastUse = now;
  if (isNew) {
    connected->second.openedAt = now;
    members_->ForgetKnownBy(aHost);
    transport_->SetPeer(aHost, member->address, member->port);
  }
}

void FleetControl::RenewConnection(const std::string& aHost)
{
  const auto connected = connectedPeers_.find(aHost);
  if (connected == connectedPeers_.end() || transport_->IsReady(aHost) ||
      Now() - connected->second.openedAt < kMaxConnectTime) {
    return;
  }
  transport_->RemovePeer(aHost);
  connectedPeers_.erase(connected);
}

void FleetControl::ConnectSeed(const std::string& aSeed, const std::string& aAddress)
{
  RenewConnection(aSeed);
  transport_->SetPeer(aSeed, aAddress, init_.peerPort);
  const TimePoint now = Now();
  const auto [connected, isNew] = connectedPeers_.try_emplace(aSeed);
  connected->second.lastUse = now;
  connected->second.openedAt = isNew ? now : connected->second.openedAt;
}

/// Sends a message, or keeps it until a new connection is ready.
void FleetControl::SendOrKeep(PeerMessage aMessage)
{
  ConnectPeer(aMessage.host);
  const auto connected = connectedPeers_.find(aMessage.host);
  const bool isNew = connected != connectedPeers_.end() &&
                     aMessage.createdAt - connected->second.openedAt < kMaxConnectTime;
  const bool mustWait =
    isNew && (pendingMessages_.Contains(aMessage.host) || !transport_->IsReady(aMessage.host));
  if (!mustWait) {
    return SendNow(aMessage);
  }
  const std::string host = aMessage.host;
  const DomainBytesKind kind = aMessage.kind;
  if (!pendingMessages_.Add(std::move(aMessage))) {
    RecordDrop(host, kind);
  }
  if (!pendingTimer_) {
    pendingTimer_ = loop_.RunAfter(kPendingInterval, [this] { SendPendingMessages(); });
  }
}

void FleetControl::SendNow(const PeerMessage& aMessage)
{
  if (!transport_->Send(aMessage.host, aMessage.bytes)) {
    RecordDrop(aMessage.host, aMessage.kind);
  }
}

void FleetControl::RecordDrop(const std::string& aHost, DomainBytesKind aKind)
{
  drops_.Record(aHost, aKind);
  ++totalDrops_;
}

void FleetControl::SendPendingMessages()
{
  pendingTimer_.reset();
  const TimePoint now = Now();
  const auto isReady = [this](const std::string& aHost) {
    ConnectPeer(aHost); // The host may have been restarted since.
    return transport_->IsReady(aHost);
  };
  for (PeerMessage& message : pendingMessages_.TakeReady(isReady)) {
    message.bytes += EncodeHeldTime(now - message.createdAt);
    SendNow(message);
  }
  for (const PeerMessage& message : pendingMessages_.TakeExpired(now)) {
    RecordDrop(message.host, message.kind);
  }
  if (!pendingMessages_.Empty()) {
    pendingTimer_ = loop_.RunAfter(kPendingInterval, [this] { SendPendingMessages(); });
  }
}

void FleetControl::Send(std::string_view aHost, wire::Envelope aMessage)
{
  SetSender(aMessage, aHost, *members_);
  const DomainBytesKind kind =
    IsSlotMessage(aMessage) ? DomainBytesKind::Slot : DomainBytesKind::State;
  std::string bytes = aMessage.SerializeAsString();
  RecordPeerBytes(aHost, kind, bytes.size());
  SendOrKeep({ std::string(aHost), kind, std::move(bytes), Now(), MaxWait(aMessage) });
}

void FleetControl::SendHello(std::string_view aHost)
{
  wire::Envelope envelope;
  envelope.mutable_hello();
  Send(aHost, std::move(envelope));
}

void FleetControl::RecordPeerBytes(std::string_view aHost,
                                   DomainBytesKind aKind,
                                   size_t aBytes) const
{
  const Member* member = members_->Find(aHost);
  if (shared_.onDomainBytes && member != nullptr && aHost != init_.host &&
      member->failureDomain != init_.failureDomain) {
    shared_.onDomainBytes(member->failureDomain, aKind, aBytes);
  }
}

std::optional<wire::Envelope> FleetControl::ReadMessage(std::string_view aBytes)
{
  auto message = ParseEnvelope(aBytes);
  if (!message) {
    Log(LogLevel::Warning,
        "peer_message_malformed",
        { { "peer", message.Failure().peer }, { "bytes", aBytes.size() } });
    return std::nullopt;
  }
  if (!ResolveSender(*message, *members_)) {
    Log(LogLevel::Warning,
        "peer_unknown",
        { { "sender_key", message->sender_key() },
          { "kind", static_cast<int>(message->body_case()) },
          { "bytes", aBytes.size() } });
    return std::nullopt;
  }
  return std::move(*message);
}

} // namespace bg::fleet::detail

// The part of FleetControl that sends messages to other hosts.
#include "control_p.h"
#include "message_sender_p.h"

namespace bg::fleet::detail {

namespace {

/// Time for a new connection to a peer. Messages that are sent earlier would be dropped.
constexpr Duration kPeerConnectTime = Milliseconds(20);
/// Messages that wait for new connections.
constexpr size_t kMaxPendingMessages = 256;

} // namespace

bool FleetControl::ConnectPeer(const std::string& aHost)
{
  const Member* member = members_->Find(aHost);
  if (member == nullptr || aHost == init_.host) {
    return false;
  }
  const TimePoint now = Now();
  const auto [connected, isNew] = connectedPeers_.try_emplace(aHost);
  connected->second.lastUse = now;
  if (isNew) {
    members_->ForgetKnownBy(aHost);
    transport_->SetPeer(aHost, member->address, member->port);
    connected->second.readyAt = now + kPeerConnectTime;
  }
  return connected->second.readyAt <= now;
}

/// Sends a message, or keeps it until a new connection is ready.
void FleetControl::SendBytes(const std::string& aHost, DomainBytesKind aKind, std::string aBytes)
{
  if (ConnectPeer(aHost) || !connectedPeers_.contains(aHost)) {
    if (!transport_->Send(aHost, aBytes)) {
      drops_.Record(aHost, aKind);
    }
    return;
  }
  if (pendingMessages_.size() == kMaxPendingMessages) {
    drops_.Record(aHost, aKind);
    return;
  }
  pendingMessages_.push_back({ aHost, aKind, std::move(aBytes) });
  if (!pendingTimer_) {
    pendingTimer_ = loop_.RunAfter(kPeerConnectTime, [this] { SendPendingMessages(); });
  }
}

void FleetControl::SendPendingMessages()
{
  pendingTimer_.reset();
  for (PendingMessage& message : std::exchange(pendingMessages_, {})) {
    // Kept again if its connection is newer than the timer.
    SendBytes(message.host, message.kind, std::move(message.bytes));
  }
}

void FleetControl::Send(std::string_view aHost, wire::Envelope aMessage)
{
  SetSender(aMessage, aHost, *members_);
  const DomainBytesKind kind =
    IsSlotMessage(aMessage) ? DomainBytesKind::Slot : DomainBytesKind::State;
  std::string bytes = aMessage.SerializeAsString();
  RecordPeerBytes(aHost, kind, bytes.size());
  SendBytes(std::string(aHost), kind, std::move(bytes));
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

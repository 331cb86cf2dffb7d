#pragma once

#include <functional>
#include <memory>
#include <string>

#include "boragegauge/eventloop.h"

namespace bg {

struct PeerTransportStats
{
  uint64_t messagesSent = 0;
  uint64_t messagesReceived = 0;
  uint64_t bytesSent = 0;
  uint64_t bytesReceived = 0;
  uint64_t dropped = 0; ///< Unknown or unconnected peer, or its queue was full.
};

/// Datagram-like messages between proxies: unordered between peers, may be lost, never blocks.
class PeerTransport
{
public:
  virtual ~PeerTransport() = default;
  /// Adds or moves a peer. Address is an IP address.
  virtual void SetPeer(std::string_view aHost, std::string_view aAddress, uint16_t aPort) = 0;
  virtual void RemovePeer(std::string_view aHost) = 0;
  /// Queues a message; drops it when the peer's queue is full or the peer is unknown.
  virtual void Send(std::string_view aHost, std::string_view aBytes) = 0;
  virtual uint16_t Port() const = 0;
  virtual PeerTransportStats Stats() const = 0;
};

struct PeerTransportInit
{
  EventLoop* loop = nullptr;
  std::string address = "127.0.0.1";
  uint16_t port = 0; ///< 0: chosen by the system.
  std::function<void(std::string_view aBytes)> onMessage{};
  /// A connection that was silent for silenceTimeout is closed and opened anew. Each peer costs
  /// 16 bytes per heartbeatInterval.
  Duration heartbeatInterval = std::chrono::seconds(2);
  Duration silenceTimeout = std::chrono::seconds(4);
};

/// Fails with Unavailable when the address cannot be bound.
Result<std::unique_ptr<PeerTransport>> CreateZmqPeerTransport(PeerTransportInit aInit);

} // namespace bg

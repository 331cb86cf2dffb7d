#pragma once

#include <functional>
#include <memory>
#include <string>

#include "boragegauge/eventloop.h"

namespace bg {

/// Totals since the transport was created. Bytes count message bodies only.
struct PeerTransportStats
{
  uint64_t messagesSent = 0;
  uint64_t messagesReceived = 0;
  uint64_t bytesSent = 0;
  uint64_t bytesReceived = 0;
  uint64_t dropped = 0; ///< Messages not sent: the peer is unknown or not connected, its
                        ///< queue is full, or the message exceeds kMaxPeerMessageBytes.
  /// For how long there have been received messages without a break, not counting the time that
  /// the loop needed to notice the first one. A message that is handled now has waited no longer.
  Duration receiveBacklog{ 0 };
};

/// Sends and receives datagram-like messages between proxies. Messages may be lost, and there is no
/// order between messages of different peers. No call blocks.
class PeerTransport
{
public:
  virtual ~PeerTransport() = default;
  /// Adds a peer, or replaces the connection of a known peer whose address or port has changed.
  /// aAddress is an IPv4 or IPv6 address. Logs a warning if the socket cannot connect.
  virtual void SetPeer(std::string_view aHost, std::string_view aAddress, uint16_t aPort) = 0;
  virtual void RemovePeer(std::string_view aHost) = 0;
  /// Queues a message. Drops it and counts it in PeerTransportStats::dropped if the peer is unknown
  /// or not connected, its queue is full, or the message exceeds kMaxPeerMessageBytes.
  /// @return False if the message was dropped.
  virtual bool Send(std::string_view aHost, std::string_view aBytes) = 0;
  /// Whether the peer is connected and has room in its queue, so that a message would be queued.
  virtual bool IsReady(std::string_view aHost) const = 0;
  /// Port on which the transport listens.
  virtual uint16_t Port() const = 0;
  virtual PeerTransportStats Stats() const = 0;
};

struct PeerTransportInit
{
  EventLoop* loop = nullptr; ///< Not owned; must outlive the transport.
  /// Local IP address to bind.
  std::string address = "127.0.0.1";
  uint16_t port = 0; ///< 0: the system chooses a free port.
  /// Runs on the loop thread for each received message; aBytes is valid only during the call. It
  /// may destroy the transport.
  std::function<void(std::string_view aBytes)> onMessage{};
  /// Interval between heartbeats; each peer costs 16 bytes per interval.
  Duration heartbeatInterval = std::chrono::seconds(2);
  /// A connection on which nothing was received for this time is closed and opened again.
  Duration silenceTimeout = std::chrono::seconds(4);
};

/// Starts to listen for messages. Fails with Errc::Unavailable when the address cannot be bound.
Result<std::unique_ptr<PeerTransport>> CreateZmqPeerTransport(PeerTransportInit aInit);

} // namespace bg

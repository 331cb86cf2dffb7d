#include <cerrno>
#include <map>
#include <optional>

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <zmq.hpp>

#include "boragegauge/peering.h"

namespace bg {

namespace {

/// ZeroMQ high-water mark per peer: further messages to that peer are dropped.
constexpr int kMaxQueuedSends = 1000;
/// ZeroMQ high-water mark per incoming connection.
constexpr int kMaxQueuedReceives = 10000;
/// TCP keepalive: idle time before the first probe and interval between probes.
constexpr int kTcpKeepaliveSeconds = 10;
/// Reconnection backoff starts at the minimum and grows to the maximum.
constexpr int kMinReconnectDelayMs = 100;
constexpr int kMaxReconnectDelayMs = 2000;

/// Message size limit of the sending (DEALER) sockets. They receive nothing but heartbeats, so a
/// larger message can only be an error.
constexpr int64_t kMaxDealerReceiveBytes = 256;

/// Allows one socket for each of kMaxPeers peers and some spare ones; the ZeroMQ default is 1023.
constexpr int kMaxSockets = static_cast<int>(kMaxPeers) + 64;

/// Number of messages received in a row before other callbacks of the event loop run.
constexpr int kReceiveBatchSize = 256;

std::string Endpoint(std::string_view aAddress, std::string_view aPort)
{
  const bool isIpv6 = aAddress.find(':') != std::string_view::npos;
  std::string endpoint = "tcp://";
  endpoint += isIpv6 ? "[" + std::string(aAddress) + "]" : std::string(aAddress);
  return endpoint + ":" + std::string(aPort);
}

int ToMs(Duration aDuration)
{
  return static_cast<int>(std::chrono::ceil<Milliseconds>(aDuration).count());
}

/// Sets the timeouts that detect unresponsive connections. The TCP limit for unacknowledged data
/// misses connections on which a middlebox still acknowledges data; ZeroMQ heartbeats detect both.
/// Only the connecting side sends heartbeats, which halves their cost. Each heartbeat carries the
/// time (TTL) after which the accepting side may close an idle connection.
void SetConnectionTimeouts(zmq::socket_t& aSocket, const PeerTransportInit& aInit)
{
  const int timeoutMs = ToMs(aInit.silenceTimeout);
  aSocket.set(zmq::sockopt::heartbeat_ivl, ToMs(aInit.heartbeatInterval));
  aSocket.set(zmq::sockopt::heartbeat_timeout, timeoutMs);
  aSocket.set(zmq::sockopt::heartbeat_ttl, timeoutMs);
  aSocket.set(zmq::sockopt::handshake_ivl, timeoutMs);
  aSocket.set(zmq::sockopt::connect_timeout, timeoutMs);
  aSocket.set(zmq::sockopt::tcp_maxrt, timeoutMs);
}

/// Raises the socket limit of the context; the limit applies only to sockets created afterwards.
zmq::context_t& WithSocketLimit(zmq::context_t& aContext)
{
  aContext.set(zmq::ctxopt::max_sockets, kMaxSockets);
  return aContext;
}

/// DEALER socket that is connected to one peer.
struct Peer
{
  std::string endpoint;
  zmq::socket_t socket;
};

/// Receives messages on a ROUTER socket that the event loop watches. Shared ownership keeps the
/// object alive for a pending wait after the transport is destroyed.
class Receiver : public std::enable_shared_from_this<Receiver>
{
public:
  Receiver(zmq::context_t& aContext, const PeerTransportInit& aInit)
    : socket_(aContext, zmq::socket_type::router)
    , descriptor_(aInit.loop->Context())
    , onMessage_(aInit.onMessage)
  {
    socket_.set(zmq::sockopt::handshake_ivl, ToMs(aInit.silenceTimeout));
    socket_.set(zmq::sockopt::linger, 0);
    socket_.set(zmq::sockopt::ipv6, true);
    socket_.set(zmq::sockopt::rcvhwm, kMaxQueuedReceives);
    socket_.set(zmq::sockopt::maxmsgsize, static_cast<int64_t>(kMaxPeerMessageBytes));
    socket_.set(zmq::sockopt::tcp_keepalive, 1);
    socket_.set(zmq::sockopt::tcp_keepalive_idle, kTcpKeepaliveSeconds);
    socket_.set(zmq::sockopt::tcp_keepalive_intvl, kTcpKeepaliveSeconds);
    socket_.set(zmq::sockopt::tcp_keepalive_cnt, 3);
  }

  uint16_t Bind(std::string_view aAddress, uint16_t aPort)
  {
    socket_.bind(Endpoint(aAddress, aPort == 0 ? "*" : std::to_string(aPort)));
    descriptor_.assign(socket_.get(zmq::sockopt::fd));
    const std::string bound = socket_.get(zmq::sockopt::last_endpoint);
    return static_cast<uint16_t>(std::stoi(bound.substr(bound.rfind(':') + 1)));
  }

  void WaitReadable()
  {
    descriptor_.async_wait(asio::posix::descriptor_base::wait_read,
                           [self = shared_from_this()](const std::error_code& aError) {
                             if (!aError && !self->isClosed_) {
                               self->backlogSince_ = Now();
                               self->ReceiveBatch();
                             }
                           });
  }

  void Close()
  {
    isClosed_ = true;
    // ZeroMQ owns the descriptor and closes it.
    descriptor_.release();
    socket_.close();
  }

  uint64_t MessagesReceived() const { return messagesReceived_; }
  uint64_t BytesReceived() const { return bytesReceived_; }
  Duration Backlog() const { return backlogSince_ ? Now() - *backlogSince_ : Duration(0); }

private:
  /// Receives up to kReceiveBatchSize messages, then yields to the loop. The descriptor is
  /// edge-triggered: waiting for it while messages are left would leave them unread.
  void ReceiveBatch()
  {
    for (int i = 0; i < kReceiveBatchSize; ++i) {
      if (!ReceiveMessage()) {
        backlogSince_.reset();
        if (!isClosed_) {
          WaitReadable();
        }
        return;
      }
    }
    asio::post(descriptor_.get_executor(), [self = shared_from_this()] {
      if (!self->isClosed_) {
        self->ReceiveBatch();
      }
    });
  }

  /// Returns false when no message is available or the receiver is closed.
  bool ReceiveMessage()
  {
    zmq::message_t frame;
    if (isClosed_ || !socket_.recv(frame, zmq::recv_flags::dontwait)) {
      return false;
    }
    // A valid message has two frames: the sender's routing id and the body. Others are discarded.
    zmq::message_t body;
    size_t frames = 1;
    while (socket_.get(zmq::sockopt::rcvmore) != 0) {
      zmq::message_t next;
      if (!socket_.recv(next, zmq::recv_flags::dontwait)) {
        break;
      }
      if (++frames == 2) {
        body = std::move(next);
      }
    }
    if (frames == 2) {
      ++messagesReceived_;
      bytesReceived_ += body.size();
      onMessage_(body.to_string_view());
    }
    return true;
  }

  zmq::socket_t socket_;
  asio::posix::stream_descriptor descriptor_;
  std::function<void(std::string_view)> onMessage_;
  uint64_t messagesReceived_ = 0;
  uint64_t bytesReceived_ = 0;
  std::optional<TimePoint> backlogSince_; ///< Start of a series of messages that has not ended.
  bool isClosed_ = false;
};

class ZmqPeerTransport : public PeerTransport
{
public:
  explicit ZmqPeerTransport(PeerTransportInit aInit)
    : init_(std::move(aInit))
    , receiver_(std::make_shared<Receiver>(WithSocketLimit(context_), init_))
    , port_(receiver_->Bind(init_.address, init_.port))
  {
    receiver_->WaitReadable();
  }

  ~ZmqPeerTransport() override
  {
    receiver_->Close();
    peers_.clear();
  }
  ZmqPeerTransport(const ZmqPeerTransport&) = delete;
  ZmqPeerTransport& operator=(const ZmqPeerTransport&) = delete;

  void SetPeer(std::string_view aHost, std::string_view aAddress, uint16_t aPort) override
  {
    std::string endpoint = Endpoint(aAddress, std::to_string(aPort));
    const auto existing = peers_.find(aHost);
    if (existing != peers_.end() && existing->second.endpoint == endpoint) {
      return;
    }
    zmq::socket_t socket(context_, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::ipv6, true);
    socket.set(zmq::sockopt::sndhwm, kMaxQueuedSends);
    socket.set(zmq::sockopt::reconnect_ivl, kMinReconnectDelayMs);
    socket.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectDelayMs);
    socket.set(zmq::sockopt::rcvhwm, 1);
    socket.set(zmq::sockopt::maxmsgsize, kMaxDealerReceiveBytes);
    SetConnectionTimeouts(socket, init_);
    // Messages are not queued while the peer is disconnected: they would be stale when delivered.
    socket.set(zmq::sockopt::immediate, true);
    try {
      socket.connect(endpoint);
    } catch (const zmq::error_t& error) {
      Log(LogLevel::Warning,
          "peer_connect_failed",
          { { "step", "peer.connect" },
            { "peer", aHost },
            { "endpoint", endpoint },
            { "error", error.what() } });
      return;
    }
    peers_.insert_or_assign(std::string(aHost), Peer{ std::move(endpoint), std::move(socket) });
  }

  void RemovePeer(std::string_view aHost) override
  {
    if (const auto found = peers_.find(aHost); found != peers_.end()) {
      peers_.erase(found);
    }
  }

  bool Send(std::string_view aHost, std::string_view aBytes) override
  {
    const auto found = peers_.find(aHost);
    if (found == peers_.end() || aBytes.size() > kMaxPeerMessageBytes ||
        !found->second.socket.send(zmq::buffer(aBytes), zmq::send_flags::dontwait)) {
      ++messagesDropped_;
      return false;
    }
    ++messagesSent_;
    bytesSent_ += aBytes.size();
    return true;
  }

  bool IsReady(std::string_view aHost) const override
  {
    const auto found = peers_.find(aHost);
    return found != peers_.end() &&
           (found->second.socket.get(zmq::sockopt::events) & ZMQ_POLLOUT) != 0;
  }

  uint16_t Port() const override { return port_; }

  PeerTransportStats Stats() const override
  {
    return { messagesSent_,    receiver_->MessagesReceived(),
             bytesSent_,       receiver_->BytesReceived(),
             messagesDropped_, receiver_->Backlog() };
  }

private:
  PeerTransportInit init_;
  zmq::context_t context_{ 1 };
  std::shared_ptr<Receiver> receiver_;
  uint16_t port_;
  std::map<std::string, Peer, std::less<>> peers_;
  uint64_t messagesSent_ = 0;
  uint64_t bytesSent_ = 0;
  uint64_t messagesDropped_ = 0;
};

} // namespace

Result<std::unique_ptr<PeerTransport>> CreateZmqPeerTransport(PeerTransportInit aInit)
{
  const std::string bindAddress = aInit.address + ":" + std::to_string(aInit.port);
  try {
    return std::unique_ptr<PeerTransport>(std::make_unique<ZmqPeerTransport>(std::move(aInit)));
  } catch (const zmq::error_t& error) {
    return Error{ Errc::Unavailable, "peer.bind", bindAddress, error.what() };
  }
}

} // namespace bg

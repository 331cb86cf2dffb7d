#include <cerrno>
#include <map>

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <zmq.hpp>

#include "boragegauge/peering.h"

namespace bg {

namespace {

/// Messages queued for one peer before new ones are dropped.
constexpr int kSendQueue = 1000;
constexpr int kReceiveQueue = 10000;
constexpr int kKeepaliveSeconds = 10;
constexpr int kReconnectMs = 100;
constexpr int kMaxReconnectMs = 2000;

/// A DEALER receives nothing but heartbeats; larger messages can only be an error.
constexpr int64_t kMaxUnexpectedBytes = 256;

/// Covers kMaxPeers; the library's default is 1023.
constexpr int kMaxSockets = static_cast<int>(kMaxPeers) + 64;

/// Messages handled before other work of the loop gets its turn.
constexpr int kReceiveBatch = 256;

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

/// Finds connections that have gone silent. TCP's limit for unacknowledged data misses those that
/// a middle box still acknowledges; the library's heartbeats find both. Only the connecting side
/// sends heartbeats, which halves their cost; they state how long the other side may wait.
void SetSilenceLimits(zmq::socket_t& aSocket, const PeerTransportInit& aInit)
{
  const int limit = ToMs(aInit.silenceTimeout);
  aSocket.set(zmq::sockopt::heartbeat_ivl, ToMs(aInit.heartbeatInterval));
  aSocket.set(zmq::sockopt::heartbeat_timeout, limit);
  aSocket.set(zmq::sockopt::heartbeat_ttl, limit);
  aSocket.set(zmq::sockopt::handshake_ivl, limit);
  aSocket.set(zmq::sockopt::connect_timeout, limit);
  aSocket.set(zmq::sockopt::tcp_maxrt, limit);
}

/// Applies to sockets that are created afterwards.
zmq::context_t& WithSocketLimit(zmq::context_t& aContext)
{
  aContext.set(zmq::ctxopt::max_sockets, kMaxSockets);
  return aContext;
}

struct Peer
{
  std::string endpoint;
  zmq::socket_t socket;
};

/// Receives through a watched ROUTER socket; shared so that a pending wait outlives the transport.
class Receiver : public std::enable_shared_from_this<Receiver>
{
public:
  Receiver(zmq::context_t& aZmq, const PeerTransportInit& aInit)
    : socket_(aZmq, zmq::socket_type::router)
    , descriptor_(aInit.loop->Context())
    , onMessage_(aInit.onMessage)
  {
    socket_.set(zmq::sockopt::handshake_ivl, ToMs(aInit.silenceTimeout));
    socket_.set(zmq::sockopt::linger, 0);
    socket_.set(zmq::sockopt::ipv6, true);
    socket_.set(zmq::sockopt::rcvhwm, kReceiveQueue);
    socket_.set(zmq::sockopt::maxmsgsize, static_cast<int64_t>(kMaxPeerMessageBytes));
    socket_.set(zmq::sockopt::tcp_keepalive, 1);
    socket_.set(zmq::sockopt::tcp_keepalive_idle, kKeepaliveSeconds);
    socket_.set(zmq::sockopt::tcp_keepalive_intvl, kKeepaliveSeconds);
    socket_.set(zmq::sockopt::tcp_keepalive_cnt, 3);
  }

  uint16_t Bind(std::string_view aAddress, uint16_t aPort)
  {
    socket_.bind(Endpoint(aAddress, aPort == 0 ? "*" : std::to_string(aPort)));
    descriptor_.assign(socket_.get(zmq::sockopt::fd));
    const std::string bound = socket_.get(zmq::sockopt::last_endpoint);
    return static_cast<uint16_t>(std::stoi(bound.substr(bound.rfind(':') + 1)));
  }

  void Wait()
  {
    descriptor_.async_wait(asio::posix::descriptor_base::wait_read,
                           [self = shared_from_this()](const std::error_code& aError) {
                             if (!aError && !self->isClosed_) {
                               self->Drain();
                             }
                           });
  }

  void Close()
  {
    isClosed_ = true;
    // The descriptor belongs to ZeroMQ.
    descriptor_.release();
    socket_.close();
  }

  uint64_t Messages() const { return messages_; }
  uint64_t Bytes() const { return bytes_; }

private:
  /// The descriptor is edge-triggered: it must not be waited for while messages are left.
  void Drain()
  {
    for (int i = 0; i < kReceiveBatch; ++i) {
      if (!ReceiveOne()) {
        if (!isClosed_) {
          Wait();
        }
        return;
      }
    }
    asio::post(descriptor_.get_executor(), [self = shared_from_this()] {
      if (!self->isClosed_) {
        self->Drain();
      }
    });
  }

  bool ReceiveOne()
  {
    zmq::message_t frame;
    if (isClosed_ || !socket_.recv(frame, zmq::recv_flags::dontwait)) {
      return false;
    }
    // The first frame is the sender's routing id; a message has exactly one more.
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
      ++messages_;
      bytes_ += body.size();
      onMessage_(body.to_string_view());
    }
    return true;
  }

  zmq::socket_t socket_;
  asio::posix::stream_descriptor descriptor_;
  std::function<void(std::string_view)> onMessage_;
  uint64_t messages_ = 0;
  uint64_t bytes_ = 0;
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
    receiver_->Wait();
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
    const auto known = peers_.find(aHost);
    if (known != peers_.end() && known->second.endpoint == endpoint) {
      return;
    }
    zmq::socket_t socket(context_, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::ipv6, true);
    socket.set(zmq::sockopt::sndhwm, kSendQueue);
    socket.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
    socket.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectMs);
    socket.set(zmq::sockopt::rcvhwm, 1);
    socket.set(zmq::sockopt::maxmsgsize, kMaxUnexpectedBytes);
    SetSilenceLimits(socket, init_);
    // Nothing is queued for a peer that is not connected: old messages would mislead it later.
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

  void Send(std::string_view aHost, std::string_view aBytes) override
  {
    const auto found = peers_.find(aHost);
    if (found == peers_.end() || aBytes.size() > kMaxPeerMessageBytes ||
        !found->second.socket.send(zmq::buffer(aBytes), zmq::send_flags::dontwait)) {
      ++dropped_;
      return;
    }
    ++messagesSent_;
    bytesSent_ += aBytes.size();
  }

  uint16_t Port() const override { return port_; }

  PeerTransportStats Stats() const override
  {
    return { messagesSent_, receiver_->Messages(), bytesSent_, receiver_->Bytes(), dropped_ };
  }

private:
  PeerTransportInit init_;
  zmq::context_t context_{ 1 };
  std::shared_ptr<Receiver> receiver_;
  uint16_t port_;
  std::map<std::string, Peer, std::less<>> peers_;
  uint64_t messagesSent_ = 0;
  uint64_t bytesSent_ = 0;
  uint64_t dropped_ = 0;
};

} // namespace

Result<std::unique_ptr<PeerTransport>> CreateZmqPeerTransport(PeerTransportInit aInit)
{
  const std::string peer = aInit.address + ":" + std::to_string(aInit.port);
  try {
    return std::unique_ptr<PeerTransport>(std::make_unique<ZmqPeerTransport>(std::move(aInit)));
  } catch (const zmq::error_t& error) {
    return Error{ Errc::Unavailable, "peer.bind", peer, error.what() };
  }
}

} // namespace bg

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <zmq.hpp>

#include <deque>
#include <map>

#include "boragegauge/peering.h"

namespace bg {

namespace {

/// Messages queued for one peer, in ZeroMQ and again in the waiting list.
constexpr int kMaxQueuedMessages = 64;

/// Messages received from one peer and not yet handled.
constexpr int kMaxReceivedMessages = 256;

/// Messages handled before other work of the loop gets its turn.
constexpr int kMessagesPerEvent = 64;

/// Bytes that wait for a connection to one peer.
constexpr size_t kMaxWaitingBytes = kMaxPeerMessageBytes;

/// Nothing is sent to a DEALER, so that larger messages can only be an error.
constexpr int64_t kMaxUnexpectedBytes = 256;

constexpr int kReconnectMs = 50;
constexpr int kReconnectMaxMs = 2000;
constexpr auto kRetryInterval = std::chrono::milliseconds(10);

/// Covers kMaxPeers; ZeroMQ's default is 1023.
constexpr int kMaxSockets = 2 * static_cast<int>(kMaxPeers);

int ToMs(Duration aDuration)
{
  return static_cast<int>(std::chrono::ceil<Milliseconds>(aDuration).count());
}

std::string Endpoint(std::string_view aAddress, const std::string& aPort)
{
  const std::string address(aAddress);
  const bool v6 = address.find(':') != std::string::npos;
  return "tcp://" + (v6 ? "[" + address + "]" : address) + ":" + aPort;
}

/// Options of both socket types. Heartbeats and keep-alive find connections that have silently
/// stopped working; they are closed and, by a DEALER, opened again.
void SetCommonOptions(zmq::socket_t& aSocket, const PeerTransportInit& aInit)
{
  aSocket.set(zmq::sockopt::linger, 0);
  aSocket.set(zmq::sockopt::ipv6, true);
  aSocket.set(zmq::sockopt::heartbeat_ivl, ToMs(aInit.heartbeatInterval));
  aSocket.set(zmq::sockopt::heartbeat_timeout, ToMs(aInit.silenceTimeout));
  aSocket.set(zmq::sockopt::handshake_ivl, ToMs(aInit.silenceTimeout));
  aSocket.set(zmq::sockopt::tcp_keepalive, 1);
  aSocket.set(zmq::sockopt::tcp_keepalive_idle, 10);
  aSocket.set(zmq::sockopt::tcp_keepalive_intvl, 5);
  aSocket.set(zmq::sockopt::tcp_keepalive_cnt, 3);
}

/// A message that waits for a connection.
struct Waiting
{
  TimePoint since;
  std::string bytes;
};

struct Peer
{
  std::string endpoint;
  zmq::socket_t socket;
  std::deque<Waiting> waiting;
  size_t waitingBytes = 0;
};

class ZmqTransport : public std::enable_shared_from_this<ZmqTransport>
{
public:
  explicit ZmqTransport(PeerTransportInit aInit)
    : init_(std::move(aInit))
    , router_(MakeContext(context_), zmq::socket_type::router)
    , descriptor_(init_.loop->Context())
  {
    SetCommonOptions(router_, init_);
    router_.set(zmq::sockopt::rcvhwm, kMaxReceivedMessages);
    router_.set(zmq::sockopt::maxmsgsize, static_cast<int64_t>(kMaxPeerMessageBytes));
    router_.bind(Endpoint(init_.address, init_.port == 0 ? "*" : std::to_string(init_.port)));
    const std::string bound = router_.get(zmq::sockopt::last_endpoint);
    port_ = static_cast<uint16_t>(std::stoul(bound.substr(bound.rfind(':') + 1)));
    descriptor_.assign(router_.get(zmq::sockopt::fd));
  }

  ~ZmqTransport() { Stop(); }
  ZmqTransport(const ZmqTransport&) = delete;
  ZmqTransport& operator=(const ZmqTransport&) = delete;

  /// ZMQ_FD only says that ZMQ_EVENTS may have changed, and says so once: messages are received
  /// until there are none before it is waited for again.
  void WaitForMessages()
  {
    descriptor_.async_wait(asio::posix::stream_descriptor::wait_read,
                           [weak = weak_from_this()](const std::error_code& aError) {
                             const auto self = weak.lock();
                             if (!aError && self) {
                               self->ReceiveMessages();
                             }
                           });
  }

  /// The descriptor belongs to ZeroMQ and is only released.
  void Stop()
  {
    if (std::exchange(stopped_, true)) {
      return;
    }
    descriptor_.release();
    retryTimer_.reset();
    peers_.clear();
    router_.close();
  }

  void SetPeer(std::string_view aHost, std::string_view aAddress, uint16_t aPort);
  void RemovePeer(std::string_view aHost);
  void Send(std::string_view aHost, std::string_view aBytes);
  uint16_t Port() const { return port_; }
  PeerTransportStats Stats() const { return stats_; }

private:
  static zmq::context_t& MakeContext(zmq::context_t& aContext)
  {
    aContext.set(zmq::ctxopt::max_sockets, kMaxSockets);
    return aContext;
  }

  void ReceiveMessages();
  bool ReceiveOne();
  bool TrySend(Peer& aPeer, std::string_view aBytes);
  void SendWaiting(Peer& aPeer);
  void RetryAll();

  PeerTransportInit init_;
  zmq::context_t context_;
  zmq::socket_t router_;
  asio::posix::stream_descriptor descriptor_;
  uint16_t port_ = 0;
  bool stopped_ = false;
  PeerTransportStats stats_;
  std::map<std::string, Peer, std::less<>> peers_;
  std::unique_ptr<EventLoop::Timer> retryTimer_;
};

void ZmqTransport::ReceiveMessages()
{
  for (int i = 0; i < kMessagesPerEvent && !stopped_; ++i) {
    if (!ReceiveOne()) {
      if (!stopped_) {
        WaitForMessages();
      }
      return;
    }
  }
  asio::post(init_.loop->Context(), [weak = weak_from_this()] {
    if (const auto self = weak.lock(); self && !self->stopped_) {
      self->ReceiveMessages();
    }
  });
}

/// False when there is no message left.
bool ZmqTransport::ReceiveOne()
{
  zmq::message_t sender;
  zmq::message_t payload;
  if (!router_.recv(sender, zmq::recv_flags::dontwait)) {
    return false;
  }
  size_t frames = 1;
  bool more = sender.more();
  while (more) {
    zmq::message_t frame;
    if (!router_.recv(frame, zmq::recv_flags::dontwait)) {
      return false;
    }
    more = frame.more();
    payload = std::move(frame);
    ++frames;
  }
  // Peers of this version send one frame; anything else is not theirs.
  if (frames == 2) {
    ++stats_.messagesReceived;
    stats_.bytesReceived += payload.size();
    init_.onMessage(payload.to_string_view());
  }
  return true;
}

void ZmqTransport::SetPeer(std::string_view aHost, std::string_view aAddress, uint16_t aPort)
{
  std::string endpoint = Endpoint(aAddress, std::to_string(aPort));
  const auto found = peers_.find(aHost);
  if (found != peers_.end() && found->second.endpoint == endpoint) {
    return;
  }
  try {
    zmq::socket_t socket(context_, zmq::socket_type::dealer);
    SetCommonOptions(socket, init_);
    socket.set(zmq::sockopt::sndhwm, kMaxQueuedMessages);
    socket.set(zmq::sockopt::rcvhwm, 1);
    socket.set(zmq::sockopt::maxmsgsize, kMaxUnexpectedBytes);
    // Without a connection ZeroMQ queues nothing, so that no old messages arrive after a break.
    socket.set(zmq::sockopt::immediate, true);
    socket.set(zmq::sockopt::connect_timeout, ToMs(init_.silenceTimeout));
    socket.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
    socket.set(zmq::sockopt::reconnect_ivl_max, kReconnectMaxMs);
    socket.connect(endpoint);
    peers_.insert_or_assign(std::string(aHost),
                            Peer{ std::move(endpoint), std::move(socket), {}, 0 });
  } catch (const zmq::error_t& error) {
    Log(LogLevel::Error,
        "peer_connect_failed",
        { { "host", aHost }, { "endpoint", endpoint }, { "error", error.what() } });
  }
}

void ZmqTransport::RemovePeer(std::string_view aHost)
{
  if (const auto found = peers_.find(aHost); found != peers_.end()) {
    peers_.erase(found);
  }
}

bool ZmqTransport::TrySend(Peer& aPeer, std::string_view aBytes)
{
  try {
    if (!aPeer.socket.send(zmq::buffer(aBytes), zmq::send_flags::dontwait)) {
      return false;
    }
  } catch (const zmq::error_t&) { // Also an error of the connection; the message stays queued.
    return false;
  }
  ++stats_.messagesSent;
  stats_.bytesSent += aBytes.size();
  return true;
}

void ZmqTransport::Send(std::string_view aHost, std::string_view aBytes)
{
  const auto found = peers_.find(aHost);
  if (found == peers_.end() || aBytes.size() > kMaxPeerMessageBytes) {
    ++stats_.dropped;
    return;
  }
  Peer& peer = found->second;
  SendWaiting(peer);
  if (peer.waiting.empty() && TrySend(peer, aBytes)) {
    return;
  }
  if (peer.waiting.size() >= kMaxQueuedMessages ||
      peer.waitingBytes + aBytes.size() > kMaxWaitingBytes) {
    ++stats_.dropped;
    return;
  }
  peer.waiting.push_back({ Now(), std::string(aBytes) });
  peer.waitingBytes += aBytes.size();
  if (!retryTimer_) {
    retryTimer_ = init_.loop->RunEvery(kRetryInterval, [this] { RetryAll(); });
  }
}

/// Sends what can be sent and drops what has waited too long.
void ZmqTransport::SendWaiting(Peer& aPeer)
{
  const TimePoint oldest = Now() - init_.maxQueueTime;
  while (!aPeer.waiting.empty()) {
    const Waiting& first = aPeer.waiting.front();
    if (first.since < oldest) {
      ++stats_.dropped;
    } else if (!TrySend(aPeer, first.bytes)) {
      return;
    }
    aPeer.waitingBytes -= first.bytes.size();
    aPeer.waiting.pop_front();
  }
}

void ZmqTransport::RetryAll()
{
  bool waiting = false;
  for (auto& [host, peer] : peers_) {
    SendWaiting(peer);
    waiting = waiting || !peer.waiting.empty();
  }
  if (!waiting) {
    retryTimer_.reset();
  }
}

/// Ends the transport with its owner's handle, also inside onMessage.
class TransportOwner : public PeerTransport
{
public:
  explicit TransportOwner(std::shared_ptr<ZmqTransport> aTransport)
    : transport_(std::move(aTransport))
  {
  }
  ~TransportOwner() override { transport_->Stop(); }
  TransportOwner(const TransportOwner&) = delete;
  TransportOwner& operator=(const TransportOwner&) = delete;

  void SetPeer(std::string_view aHost, std::string_view aAddress, uint16_t aPort) override
  {
    transport_->SetPeer(aHost, aAddress, aPort);
  }
  void RemovePeer(std::string_view aHost) override { transport_->RemovePeer(aHost); }
  void Send(std::string_view aHost, std::string_view aBytes) override
  {
    transport_->Send(aHost, aBytes);
  }
  uint16_t Port() const override { return transport_->Port(); }
  PeerTransportStats Stats() const override { return transport_->Stats(); }

private:
  std::shared_ptr<ZmqTransport> transport_;
};

} // namespace

Result<std::unique_ptr<PeerTransport>> CreateZmqPeerTransport(PeerTransportInit aInit)
{
  const std::string peer = aInit.address + ":" + std::to_string(aInit.port);
  try {
    auto transport = std::make_shared<ZmqTransport>(std::move(aInit));
    transport->WaitForMessages();
    return std::unique_ptr<PeerTransport>(std::make_unique<TransportOwner>(std::move(transport)));
  } catch (const std::exception& error) {
    return Error{ Errc::Unavailable, "peering.bind", peer, error.what() };
  }
}

} // namespace bg

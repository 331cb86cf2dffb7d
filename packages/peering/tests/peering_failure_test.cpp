#include <doctest/doctest.h>

#include "boragegauge/peering.h"
#include "raw_tcp.h"

using namespace bg;
using namespace bg::test;

namespace {

/// Peer transport on its own event loop thread. Records the messages that it receives.
struct Node
{
  explicit Node(uint16_t aPort = 0)
  {
    loop.Call([&] {
      auto created = CreateZmqPeerTransport({ .loop = &loop.Loop(),
                                              .port = aPort,
                                              .onMessage =
                                                [this](std::string_view aBytes) {
                                                  received.emplace_back(aBytes);
                                                  ++receivedCount;
                                                },
                                              .heartbeatInterval = Milliseconds(50),
                                              .silenceTimeout = Milliseconds(200) });
      REQUIRE(created);
      transport = std::move(*created);
      port = transport->Port();
    });
  }
  ~Node()
  {
    loop.Call([&] { transport.reset(); });
  }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  void SetPeer(const char* aHost, uint16_t aPort)
  {
    loop.Call([&] { transport->SetPeer(aHost, "127.0.0.1", aPort); });
  }
  void Send(const char* aHost, const std::string& aBytes)
  {
    loop.Call([&] { transport->Send(aHost, aBytes); });
  }
  PeerTransportStats Stats()
  {
    PeerTransportStats stats;
    loop.Call([&] { stats = transport->Stats(); });
    return stats;
  }
  /// Sends a message repeatedly until the other node receives one.
  bool SendUntilReceived(const char* aHost, const Node& aOther)
  {
    const int before = aOther.receivedCount;
    return Eventually([&] {
      Send(aHost, "ping");
      return aOther.receivedCount > before;
    });
  }

  LoopThread loop;
  std::vector<std::string> received; ///< Used on the loop thread only.
  std::atomic<int> receivedCount = 0;
  std::unique_ptr<PeerTransport> transport;
  uint16_t port = 0;
};

/// Forwards bytes until one side closes the connection; discards them while aDrop is set.
void ForwardBytes(RawConnection& aFrom, const RawConnection& aTo, const std::atomic<bool>& aDrop)
{
  std::string bytes = aFrom.ReadSome();
  while (!bytes.empty() && (aDrop || aTo.Write(bytes))) {
    bytes = aFrom.ReadSome();
  }
  aTo.Interrupt();
}

} // namespace

TEST_CASE(
  "a peer that restarts on the same port receives new messages and none from before the restart")
{
  // If messages were queued while the peer is down, it would treat stale evidence as current.
  Node sender;
  auto receiver = std::make_unique<Node>();
  const uint16_t port = receiver->port;
  sender.SetPeer("b", port);
  REQUIRE(sender.SendUntilReceived("b", *receiver));
  receiver.reset();
  sender.Send("b", "old");
  receiver = std::make_unique<Node>(port);
  CHECK(sender.SendUntilReceived("b", *receiver));
  receiver->loop.Call(
    [&] { CHECK(std::count(receiver->received.begin(), receiver->received.end(), "old") == 0); });
}

TEST_CASE("an unresponsive connection is replaced")
{
  // The connection stays open, but a middlebox discards the data of both directions.
  Node sender;
  Node receiver;
  std::atomic<bool> drop = false;
  const std::atomic<bool> never = false;
  RawServer link([&](RawConnection& aConnection, int aIndex) {
    const auto toReceiver = RawConnection::Connect(receiver.port);
    const std::atomic<bool>& isDropping = aIndex == 0 ? drop : never;
    std::thread reverse([&] { ForwardBytes(*toReceiver, aConnection, isDropping); });
    ForwardBytes(aConnection, *toReceiver, isDropping);
    reverse.join();
  });
  sender.SetPeer("b", link.Port());
  REQUIRE(sender.SendUntilReceived("b", receiver));
  CHECK(link.Connections() == 1);
  drop = true;
  CHECK(Eventually([&] { return link.Connections() >= 2; }));
  CHECK(sender.SendUntilReceived("b", receiver));
}

TEST_CASE("a peer that accepts a connection but sends no handshake is connected again")
{
  // Without a handshake timeout the sender would wait forever.
  RawServer unresponsiveServer([](RawConnection& aConnection, int) { aConnection.WaitForClose(); });
  Node sender;
  sender.SetPeer("b", unresponsiveServer.Port());
  CHECK(Eventually([&] { return unresponsiveServer.Connections() >= 2; }));
}

TEST_CASE("a message above the size limit is dropped")
{
  // The receiver would close the connection when it receives a message above the limit.
  Node sender;
  Node receiver;
  sender.SetPeer("b", receiver.port);
  REQUIRE(sender.SendUntilReceived("b", receiver));
  const uint64_t dropped = sender.Stats().dropped;
  sender.Send("b", std::string(kMaxPeerMessageBytes + 1, 'a'));
  CHECK(sender.Stats().dropped == dropped + 1);
}

TEST_CASE("a peer can change its address and be removed")
{
  // After SetPeer() with a new port, no message may go to the previous one.
  Node sender;
  Node first;
  Node second;
  sender.SetPeer("b", first.port);
  REQUIRE(sender.SendUntilReceived("b", first));
  REQUIRE(
    Eventually([&] { return first.Stats().messagesReceived == sender.Stats().messagesSent; }));
  sender.SetPeer("b", second.port);
  const int before = first.receivedCount;
  CHECK(sender.SendUntilReceived("b", second));
  CHECK(first.receivedCount == before);
  sender.loop.Call([&] { sender.transport->RemovePeer("b"); });
  const uint64_t dropped = sender.Stats().dropped;
  sender.Send("b", "x");
  CHECK(sender.Stats().dropped == dropped + 1);
}

TEST_CASE("a connection with invalid ZMTP data does not affect other connections")
{
  // An HTTP client that connects to the peer port must not stop the receiver.
  Node sender;
  Node receiver;
  const auto stray = RawConnection::Connect(receiver.port);
  stray->Write("GET / HTTP/1.1\r\nHost: x\r\n\r\n" + TestBody(1000));
  CHECK(stray->WaitForClose());
  sender.SetPeer("b", receiver.port);
  CHECK(sender.SendUntilReceived("b", receiver));
}

TEST_CASE("a transport can be destroyed in its own callback")
{
  // A program that stops because of a message destroys the transport while it receives. A later
  // access to the transport would be a use after free.
  Node sender;
  LoopThread loop;
  std::unique_ptr<PeerTransport> receiver;
  Signal destroyed;
  uint16_t port = 0;
  loop.Call([&] {
    auto created = CreateZmqPeerTransport({ .loop = &loop.Loop(), .onMessage = [&](auto) {
                                             receiver.reset();
                                             destroyed.Set();
                                           } });
    receiver = std::move(*created);
    port = receiver->Port();
  });
  sender.SetPeer("b", port);
  REQUIRE(Eventually([&] {
    sender.Send("b", "x");
    return sender.Stats().messagesSent > 0;
  }));
  CHECK(destroyed.Wait());
  loop.Call([] {});
}

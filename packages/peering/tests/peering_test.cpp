#include <doctest/doctest.h>

#include "boragegauge/peering.h"
#include "raw_tcp.h"

using namespace bg;
using namespace bg::test;

namespace {

/// A transport on a loop of its own that keeps what it receives.
struct Node
{
  explicit Node(uint16_t aPort = 0)
  {
    loop.Call([&] {
      auto created = CreateZmqPeerTransport({ .loop = &loop.Loop(),
                                              .port = aPort,
                                              .heartbeatInterval = Milliseconds(50),
                                              .silenceTimeout = Milliseconds(200),
                                              .onMessage = [this](std::string_view aBytes) {
                                                received.emplace_back(aBytes);
                                                ++count;
                                              } });
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
  /// Repeats a message, as heartbeats are repeated, until the other node gets one.
  bool Reach(const char* aHost, const Node& aOther)
  {
    const int before = aOther.count;
    return Eventually([&] {
      Send(aHost, "ping");
      return aOther.count > before;
    });
  }

  LoopThread loop;
  std::vector<std::string> received; ///< Loop thread only.
  std::atomic<int> count = 0;
  std::unique_ptr<PeerTransport> transport;
  uint16_t port = 0;
};

/// Copies bytes until one side closes; drops them while the flag is set.
void Copy(RawConnection& aFrom, const RawConnection& aTo, const std::atomic<bool>& aDrop)
{
  std::string bytes = aFrom.ReadSome();
  while (!bytes.empty() && (aDrop || aTo.Write(bytes))) {
    bytes = aFrom.ReadSome();
  }
  aTo.Interrupt();
}

} // namespace

TEST_CASE("messages arrive whole and in order")
{
  // Guards against messages lost before the first connection is up, against a missed edge of
  // ZMQ_FD (messages that wait for the next one) and against altered bytes.
  Node sender;
  Node receiver;
  sender.SetPeer("b", receiver.port);
  std::vector<std::string> sent = { "", "x", TestBody(1UL << 20), TestBody(70000) };
  for (const std::string& message : sent) {
    sender.Send("b", message);
  }
  REQUIRE(Eventually([&] { return receiver.count == 4; }));
  for (int i = 0; i < 1000; ++i) {
    sent.push_back(std::to_string(i));
    sender.Send("b", sent.back());
    // A full queue drops messages; this test is about those that are not dropped.
    if (i % 20 == 0) {
      REQUIRE(Eventually([&] { return receiver.count + 20 > i; }));
    }
  }
  CHECK(Eventually([&] { return receiver.count == static_cast<int>(sent.size()); }));
  receiver.loop.Call([&] { CHECK((receiver.received == sent)); });
  CHECK(sender.Stats().messagesSent == sent.size());
  CHECK(sender.Stats().dropped == 0);
  CHECK(receiver.Stats().bytesReceived == sender.Stats().bytesSent);
}

TEST_CASE("messages to unknown and unreachable peers are dropped within bounds")
{
  // Guards against blocking and against memory that grows while a peer is away.
  Node node;
  node.Send("nobody", "x");
  CHECK(node.Stats().dropped == 1);
  const ClosedPort closed;
  node.SetPeer("away", closed.Port());
  for (int i = 0; i < 1000; ++i) {
    node.Send("away", "x");
  }
  CHECK(node.Stats().dropped >= 1 + 1000 - 64);
  // What still waits is dropped when it is too old.
  CHECK(Eventually([&] { return node.Stats().dropped == 1001; }));
  CHECK(node.Stats().messagesSent == 0);
  node.Send("away", std::string(kMaxPeerMessageBytes + 1, 'a'));
  CHECK(node.Stats().dropped == 1002);
}

TEST_CASE("a peer that restarts on the same port gets new messages and no old ones")
{
  // Guards against evidence from before a break that is taken for current.
  Node sender;
  auto receiver = std::make_unique<Node>();
  const uint16_t port = receiver->port;
  sender.SetPeer("b", port);
  REQUIRE(sender.Reach("b", *receiver));
  receiver.reset();
  const PeerTransportStats before = sender.Stats();
  sender.Send("b", "old");
  // The message goes to the connection that is closing, or is dropped after maxQueueTime.
  CHECK(Eventually([&] {
    const PeerTransportStats stats = sender.Stats();
    return stats.dropped > before.dropped || stats.messagesSent > before.messagesSent;
  }));
  receiver = std::make_unique<Node>(port);
  CHECK(sender.Reach("b", *receiver));
  receiver->loop.Call(
    [&] { CHECK(std::count(receiver->received.begin(), receiver->received.end(), "old") == 0); });
}

TEST_CASE("a silent connection is replaced")
{
  // Guards against a connection that stays open but passes nothing on, in either direction.
  Node sender;
  Node receiver;
  std::atomic<bool> drop = false;
  const std::atomic<bool> never = false;
  RawServer link([&](RawConnection& aConnection, int aIndex) {
    const auto onward = RawConnection::Connect(receiver.port);
    const std::atomic<bool>& flag = aIndex == 0 ? drop : never;
    std::thread back([&] { Copy(*onward, aConnection, flag); });
    Copy(aConnection, *onward, flag);
    back.join();
  });
  sender.SetPeer("b", link.Port());
  REQUIRE(sender.Reach("b", receiver));
  CHECK(link.Connections() == 1);
  drop = true;
  CHECK(Eventually([&] { return link.Connections() >= 2; }));
  CHECK(sender.Reach("b", receiver));
}

TEST_CASE("a peer that accepts and says nothing is tried again")
{
  // Guards against a handshake that waits for ever.
  RawServer silent([](RawConnection& aConnection, int) { aConnection.WaitForClose(); });
  Node sender;
  sender.SetPeer("b", silent.Port());
  CHECK(Eventually([&] { return silent.Connections() >= 2; }));
}

TEST_CASE("a peer can be moved and removed")
{
  // Guards against messages that go to the earlier address of a host.
  Node sender;
  Node first;
  Node second;
  sender.SetPeer("b", first.port);
  REQUIRE(sender.Reach("b", first));
  REQUIRE(
    Eventually([&] { return first.Stats().messagesReceived == sender.Stats().messagesSent; }));
  sender.SetPeer("b", second.port);
  const int before = first.count;
  CHECK(sender.Reach("b", second));
  CHECK(first.count == before);
  sender.loop.Call([&] { sender.transport->RemovePeer("b"); });
  const uint64_t dropped = sender.Stats().dropped;
  sender.Send("b", "x");
  CHECK(sender.Stats().dropped == dropped + 1);
}

TEST_CASE("bytes that are not ZMTP do no harm")
{
  // Guards against a stray connection that stops the receiver.
  Node sender;
  Node receiver;
  const auto stray = RawConnection::Connect(receiver.port);
  stray->Write("GET / HTTP/1.1\r\nHost: x\r\n\r\n" + TestBody(1000));
  CHECK(stray->WaitForClose());
  sender.SetPeer("b", receiver.port);
  CHECK(sender.Reach("b", receiver));
}

TEST_CASE("an address in use is reported with step and peer")
{
  Node node;
  const auto second = CreateZmqPeerTransport({ .loop = &node.loop.Loop(), .port = node.port });
  REQUIRE_FALSE(second);
  CHECK(second.Failure().code == Errc::Unavailable);
  CHECK(second.Failure().step == "peering.bind");
  CHECK(second.Failure().peer == "127.0.0.1:" + std::to_string(node.port));
}

TEST_CASE("a transport destroyed in its own callback stays silent")
{
  // Guards against use after free when a program stops on a message.
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
  sender.Send("b", "x");
  CHECK(destroyed.Wait());
  loop.Call([] {});
}

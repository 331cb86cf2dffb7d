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
                                              .onMessage =
                                                [this](std::string_view aBytes) {
                                                  received.emplace_back(aBytes);
                                                  ++count;
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

TEST_CASE("a peer that restarts on the same port gets new messages and no old ones")
{
  // Guards against evidence from before a break that is taken for current.
  Node sender;
  auto receiver = std::make_unique<Node>();
  const uint16_t port = receiver->port;
  sender.SetPeer("b", port);
  REQUIRE(sender.Reach("b", *receiver));
  receiver.reset();
  sender.Send("b", "old");
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

TEST_CASE("a message over the limit is not sent")
{
  // Guards against a message that makes the receiver close the connection.
  Node sender;
  Node receiver;
  sender.SetPeer("b", receiver.port);
  REQUIRE(sender.Reach("b", receiver));
  const uint64_t dropped = sender.Stats().dropped;
  sender.Send("b", std::string(kMaxPeerMessageBytes + 1, 'a'));
  CHECK(sender.Stats().dropped == dropped + 1);
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
  REQUIRE(Eventually([&] {
    sender.Send("b", "x");
    return sender.Stats().messagesSent > 0;
  }));
  CHECK(destroyed.Wait());
  loop.Call([] {});
}
